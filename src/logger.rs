//! Builds the loggers of the daemons: text or JSON lines on standard error, or JSON lines on
//! standard output.

use std::panic::{RefUnwindSafe, UnwindSafe};

use slog::{Drain, Level, Logger, Never, SendSyncRefUnwindSafeDrain, o};
use slog_async::{Async, AsyncGuard, OverflowStrategy};

/// Maximum number of log lines that wait for the writer. Further lines are dropped and counted,
/// so that a slow reader of the log never delays a decision.
const MAX_WAITING_LINES: usize = 4_096;

/// Format of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogFormat {
    /// One line of text for people.
    Text,
    /// One JSON object a line for machines.
    Json,
}

/// Builds a logger that writes to standard error. `decisions` also receives every line of the
/// level or above, for the record of decisions that operators query.
///
/// The returned guard writes the lines that still wait when it is dropped.
pub fn build_logger<D>(format: LogFormat, level: Level, decisions: D) -> (Logger, AsyncGuard)
where
    D: SendSyncRefUnwindSafeDrain<Ok = (), Err = Never> + UnwindSafe + RefUnwindSafe + 'static,
{
    let (writer, guard) = match format {
        LogFormat::Text => {
            let decorator = slog_term::PlainDecorator::new(std::io::stderr());
            let drain = slog_term::FullFormat::new(decorator).build().ignore_res();
            buffer(drain)
        }
        LogFormat::Json => buffer(slog_json::Json::default(std::io::stderr()).ignore_res()),
    };
    let both = slog::Duplicate::new(writer.ignore_res(), decisions).ignore_res();
    let filtered = both.filter_level(level).ignore_res();
    (Logger::root(filtered, o!()), guard)
}

/// Builds the logger of a VM on the users' platform: JSON lines on standard output.
///
/// The returned guard writes the lines that still wait when it is dropped.
pub fn build_stdout_logger(level: Level) -> (Logger, AsyncGuard) {
    let (writer, guard) = buffer(slog_json::Json::default(std::io::stdout()).ignore_res());
    let filtered = writer.ignore_res().filter_level(level).ignore_res();
    (Logger::root(filtered, o!()), guard)
}

/// Puts a bounded queue and a writer thread in front of `drain`.
fn buffer<D>(drain: D) -> (Async, AsyncGuard)
where
    D: Drain<Ok = (), Err = Never> + Send + 'static,
{
    Async::new(drain)
        .chan_size(MAX_WAITING_LINES)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .build_with_guard()
}
