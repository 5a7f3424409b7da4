//! Command line of the router fleet.

mod cli;

use std::process::ExitCode;

fn main() -> ExitCode {
    cli::run()
}
