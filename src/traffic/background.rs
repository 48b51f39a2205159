//! Tasks that run beside the requests: queues, demand reports and expiry.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::{Instant, MissedTickBehavior, interval, timeout};

use crate::blackboard::ControlCommand;
use crate::traffic::state::Traffic;

/// How often waiting requests are matched with new grants.
const QUEUE_CHECK: Duration = Duration::from_millis(2);

/// How often they are matched without a new snapshot, for circuits whose pause is over.
const QUEUE_RECHECK: Duration = Duration::from_millis(25);

/// How often demand is reported while nothing changes.
const DEMAND_INTERVAL: Duration = Duration::from_millis(100);

/// Shortest time between two reports, so that a burst of waiting requests sends few.
const DEMAND_PAUSE: Duration = Duration::from_millis(5);

/// How often expired request ids are dropped.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(5);

/// Gives slots of new grants to waiting requests.
pub async fn serve_queues(traffic: Arc<Traffic>) {
    let mut ticks = interval(QUEUE_CHECK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut seen = 0;
    let mut last = Instant::now();
    loop {
        if !traffic.router.has_waiters() {
            traffic.router.queue_began.notified().await;
        }
        ticks.tick().await;
        let latest = Arc::as_ptr(&traffic.context.snapshot.load()) as usize;
        if latest != seen || last.elapsed() >= QUEUE_RECHECK {
            seen = latest;
            last = Instant::now();
            traffic.router.serve_all_queues();
        }
    }
}

/// Reports demand regularly and at once when a request begins to wait.
pub async fn report_demand(traffic: Arc<Traffic>) {
    loop {
        let waits = traffic.router.wait_began.notified();
        // Either way it is time to report.
        let _ = timeout(DEMAND_INTERVAL, waits).await;
        let by_endpoint = traffic.router.demand();
        traffic.report(ControlCommand::Demand { by_endpoint });
        tokio::time::sleep(DEMAND_PAUSE).await;
    }
}

/// Drops expired request ids.
pub async fn expire_ids(traffic: Arc<Traffic>) {
    let mut ticks = interval(EXPIRY_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        traffic.ids.expire();
    }
}
