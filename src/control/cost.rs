//! Measures the processor time of the control thread.
//!
//! The other costs of control, messages and bytes, are counted where they are sent and received.

use std::time::Duration;

use metrics::{counter, gauge};
use rustix::time::{ClockId, clock_gettime};
use tokio::time::{MissedTickBehavior, interval};

/// Returns the processor time that the calling thread has used.
pub fn thread_cpu() -> Duration {
    let reading = clock_gettime(ClockId::ThreadCPUTime);
    let seconds = u64::try_from(reading.tv_sec).unwrap_or(0);
    let nanos = u32::try_from(reading.tv_nsec).unwrap_or(0);
    Duration::new(seconds, nanos)
}

/// Exports the processor time of the control thread once a second, until the task is dropped. It
/// must run on that thread.
pub async fn measure_cost() {
    let mut ticks = interval(Duration::from_secs(1));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut previous = thread_cpu();
    loop {
        ticks.tick().await;
        let now = thread_cpu();
        let used_us = now.saturating_sub(previous).as_micros();
        previous = now;
        counter!("primrosewalk_control_cpu_microseconds_total").increment(used_us as u64);
        gauge!("primrosewalk_control_cpu_last_second_microseconds").set(used_us as f64);
    }
}
