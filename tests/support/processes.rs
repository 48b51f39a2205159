//! Child processes that are ended by their id.

use std::fs::File;
use std::path::Path;
use std::process::{Child, Command, Stdio};

pub use rustix::process::Signal;
use rustix::process::{Pid, kill_process};

/// A process that is killed and reaped when it is dropped.
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts a program; its standard error goes to `log` if one is given.
    pub fn start(program: &str, flags: &[impl AsRef<str>], log: Option<&Path>) -> Self {
        let mut command = Command::new(program);
        command
            .args(flags.iter().map(AsRef::as_ref))
            .stdin(Stdio::null());
        if let Some(log) = log {
            let file = File::options().create(true).append(true).open(log).unwrap();
            command.stderr(file);
        }
        Self {
            child: command.spawn().unwrap(),
        }
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).unwrap();
    }

    /// Returns the exit code once the process has ended.
    pub fn exit_code(&mut self) -> Option<i32> {
        self.child
            .try_wait()
            .unwrap()
            .map(|status| status.code().unwrap_or(-1))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
