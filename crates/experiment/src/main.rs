//! Command line for experiments on placement.

use std::process::ExitCode;

fn main() -> ExitCode {
    mimosausher_experiment::run()
}
