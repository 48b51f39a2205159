//! The daemon, one for each VM.

use std::process::ExitCode;

fn main() -> ExitCode {
    primrosewalk::daemon::run_daemon()
}
