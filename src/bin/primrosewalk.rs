//! Entry point of the command-line tool `primrosewalk`.

use std::process::ExitCode;

use clap::Parser as _;

fn main() -> ExitCode {
    primrosewalk::cli::run(primrosewalk::cli::Arguments::parse())
}
