//! Distribution strategies with 13,000 daemons: time to distribute a change, and traffic.

mod centre;
mod network;
mod report;
mod strategies;

use strategies::Strategy;

fn main() {
    for strategy in Strategy::ALL {
        strategy.measure(Some(13_000));
    }
    Strategy::Direct.measure(None);
}
