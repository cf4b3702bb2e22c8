//! The daemon's executable, `mimosausherd`.

use std::process::ExitCode;

fn main() -> ExitCode {
    mimosausher_daemon::run()
}
