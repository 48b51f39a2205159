//! Child processes that are killed through their own handle or id.

use std::fs::File;
use std::path::Path;
use std::process::{Child, Command, Stdio};

pub use rustix::process::Signal;
use rustix::process::{Pid, kill_process};

/// Child process that is killed and reaped when this value is dropped.
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts a program and appends its standard error to the file `log` if one is given.
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

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).unwrap();
    }

    /// Returns the exit code, -1 if a signal ended the process, or `None` while it runs.
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
