//! Ways of distribution at 13,000 daemons: time to the last one, and bytes.

mod network;
mod place;
mod report;
mod ways;

use ways::Way;

fn main() {
    for way in Way::ALL {
        way.measure(Some(13_000));
    }
    Way::Direct.measure(None);
}
