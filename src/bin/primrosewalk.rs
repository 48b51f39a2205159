//! The command-line tool.

use std::process::ExitCode;

use clap::Parser as _;

fn main() -> ExitCode {
    primrosewalk::cli::run(primrosewalk::cli::Arguments::parse())
}
