//! What control costs: processor time of the control thread.
//!
//! Messages and bytes are counted where they are sent and received.

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

/// Measures the control thread once a second for ever. It must run on that thread.
pub async fn measure_cost() {
    let mut ticks = interval(Duration::from_secs(1));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut before = thread_cpu();
    loop {
        ticks.tick().await;
        let now = thread_cpu();
        let spent = now.saturating_sub(before).as_micros();
        before = now;
        counter!("primrosewalk_control_cpu_microseconds_total").increment(spent as u64);
        gauge!("primrosewalk_control_cpu_last_second_microseconds").set(spent as f64);
    }
}
