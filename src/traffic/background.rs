//! Tasks that run beside the requests: queues, demand reports and expiry.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::{Instant, MissedTickBehavior, interval, timeout};

use crate::blackboard::{ControlCommand, SlotGrant};
use crate::traffic::state::Traffic;
use crate::units::EndpointName;

/// How often waiting requests are matched with new grants.
const QUEUE_CHECK: Duration = Duration::from_millis(2);

/// How often they are matched without a new snapshot, for circuits whose pause is over.
const QUEUE_RECHECK: Duration = Duration::from_millis(25);

/// How often demand is reported while nothing changes.
const DEMAND_INTERVAL: Duration = Duration::from_millis(100);

/// How often grants are looked at. A smaller one is reported as obeyed at once, because the
/// allocator passes the difference on only then.
const GRANTS_CHECK: Duration = Duration::from_millis(5);

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
            traffic.router.queue_check_due.notified().await;
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

/// Reports demand regularly, at once when a request begins to wait, and when a grant shrank.
pub async fn report_demand(traffic: Arc<Traffic>) {
    let mut grants = Arc::clone(&traffic.context.snapshot.load().grants);
    loop {
        let due = Instant::now() + DEMAND_INTERVAL;
        while Instant::now() < due {
            let waits = traffic.router.demand_report_due.notified();
            let waits = timeout(GRANTS_CHECK, waits).await.is_ok();
            let current = Arc::clone(&traffic.context.snapshot.load().grants);
            let before = std::mem::replace(&mut grants, current);
            if waits || shrank(&before, &grants) {
                break;
            }
        }
        let (counted_at, by_endpoint) = traffic.router.demand();
        traffic.report(ControlCommand::Demand {
            counted_at,
            by_endpoint,
        });
        tokio::time::sleep(DEMAND_PAUSE).await;
    }
}

type Grants = Arc<HashMap<EndpointName, SlotGrant>>;

fn shrank(before: &Grants, after: &Grants) -> bool {
    let slots = |endpoint| after.get(endpoint).map_or(0, |grant| grant.slots);
    !Arc::ptr_eq(before, after)
        && before
            .iter()
            .any(|(endpoint, grant)| slots(endpoint) < grant.slots)
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
