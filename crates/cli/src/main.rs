//! The `mimosausher` command-line tool for operators.

use std::process::ExitCode;

fn main() -> ExitCode {
    mimosausher_cli::run()
}
