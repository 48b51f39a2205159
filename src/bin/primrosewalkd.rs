//! Entry point of the daemon `primrosewalkd`, which runs once on each VM.

use std::process::ExitCode;

fn main() -> ExitCode {
    primrosewalk::daemon::run_daemon()
}
