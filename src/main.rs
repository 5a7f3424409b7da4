//! The program `sequoiaridge`.

mod cli;

use std::process::ExitCode;

fn main() -> ExitCode {
    cli::run()
}
