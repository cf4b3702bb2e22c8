//! The operators' command line `mimosausher`.

use std::process::ExitCode;

fn main() -> ExitCode {
    mimosausher_cli::run()
}
