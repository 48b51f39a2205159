//! Starts tasks again that have panicked.
//!
//! A task that ends unnoticed leaves a VM that answers and no longer follows the store, reads gossip or
//! runs a queue. All state that tasks share outlives them, so that a task can go on where it was.

use std::panic::AssertUnwindSafe;
use std::time::Duration;

use futures::FutureExt;
use slog::{Logger, error};
use tokio::time::sleep;

use crate::fleet::metric;

/// Pause before a task starts again, so that one that fails at once does not use up the processor.
const RESTART_PAUSE: Duration = Duration::from_millis(100);

/// Runs the future that `start` makes, again and again until one ends without a panic.
pub async fn supervise<F: Future<Output = ()>>(
    logger: Logger,
    task: &'static str,
    start: impl Fn() -> F,
) {
    while let Err(panic) = AssertUnwindSafe(start()).catch_unwind().await {
        let message = panic
            .downcast_ref::<String>()
            .map(String::as_str)
            .or_else(|| panic.downcast_ref::<&str>().copied());
        error!(logger, "vm: a task failed and starts again"; "task" => task, "error" => message);
        metric::task_failed(task);
        sleep(RESTART_PAUSE).await;
    }
}
