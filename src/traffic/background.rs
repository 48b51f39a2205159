//! Background tasks: giving slots to waiting requests, demand reports and expiry of request
//! ids.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::{Instant, MissedTickBehavior, interval, timeout};

use crate::blackboard::{ControlCommand, SlotGrant};
use crate::traffic::state::Traffic;
use crate::units::EndpointName;

/// Interval at which waiting requests are matched with the grants of a new snapshot.
const QUEUE_CHECK_INTERVAL: Duration = Duration::from_millis(2);

/// Interval at which waiting requests are matched with slots even without a new snapshot,
/// because the pause of a circuit may be over.
const QUEUE_RECHECK_INTERVAL: Duration = Duration::from_millis(25);

/// Interval at which demand is reported while nothing changes.
const DEMAND_INTERVAL: Duration = Duration::from_millis(100);

/// Interval at which grants are checked for a decrease. A decrease is reported as applied at
/// once, because only then does the allocator grant the freed slots to another VM.
const GRANT_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Minimum time between two demand reports, so that a burst of waiting requests causes only a
/// few.
const MIN_DEMAND_INTERVAL: Duration = Duration::from_millis(5);

/// Interval at which expired request ids are dropped.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(5);

/// Gives slots to waiting requests after new grants and when a circuit's pause is over.
pub async fn serve_queues(traffic: Arc<Traffic>) {
    let mut ticks = interval(QUEUE_CHECK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut served_snapshot = 0;
    let mut served_at = Instant::now();
    loop {
        if !traffic.router.has_waiters() {
            traffic.router.queue_check_due.notified().await;
        }
        ticks.tick().await;
        let current_snapshot = Arc::as_ptr(&traffic.context.snapshot.load()) as usize;
        if current_snapshot != served_snapshot || served_at.elapsed() >= QUEUE_RECHECK_INTERVAL {
            served_snapshot = current_snapshot;
            served_at = Instant::now();
            traffic.router.serve_all_queues();
        }
    }
}

/// Reports demand to the control thread: at a fixed interval, and at once when a request begins
/// to wait or a grant shrank.
pub async fn report_demand(traffic: Arc<Traffic>) {
    let mut grants = Arc::clone(&traffic.context.snapshot.load().grants);
    loop {
        let due = Instant::now() + DEMAND_INTERVAL;
        while Instant::now() < due {
            let report_due = traffic.router.demand_report_due.notified();
            let report_due = timeout(GRANT_CHECK_INTERVAL, report_due).await.is_ok();
            let current = Arc::clone(&traffic.context.snapshot.load().grants);
            let before = std::mem::replace(&mut grants, current);
            if report_due || any_grant_shrank(&before, &grants) {
                break;
            }
        }
        let (counted_at, by_endpoint) = traffic.router.demand();
        traffic.report(ControlCommand::Demand {
            counted_at,
            by_endpoint,
        });
        tokio::time::sleep(MIN_DEMAND_INTERVAL).await;
    }
}

type Grants = Arc<HashMap<EndpointName, SlotGrant>>;

/// Returns whether any endpoint has fewer slots in `after` than in `before`.
fn any_grant_shrank(before: &Grants, after: &Grants) -> bool {
    let slots_after = |endpoint| after.get(endpoint).map_or(0, |grant| grant.slots);
    !Arc::ptr_eq(before, after)
        && before
            .iter()
            .any(|(endpoint, grant)| slots_after(endpoint) < grant.slots)
}

/// Drops expired request ids at a fixed interval.
pub async fn expire_ids(traffic: Arc<Traffic>) {
    let mut ticks = interval(EXPIRY_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        traffic.ids.expire();
    }
}
