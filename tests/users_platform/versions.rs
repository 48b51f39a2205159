//! Versions of the configuration that follow each other, and how late VMs have them in force.
//!
//! Each version adds a route of its own, so that a request shows whether it is in force at a VM.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use serde_json::json;
use tokio::time::sleep;

use super::Fleet;
use super::caller::request;

/// Pause between two requests that ask for a version.
const POLL_PAUSE: Duration = Duration::from_millis(25);
/// Number of the newest versions that have a route; older routes are removed.
const MAX_ROUTES: usize = 40;

/// When the store acknowledged each version, the first one with number 0.
#[derive(Clone, Default)]
pub struct Versions(Arc<Mutex<Vec<Instant>>>);

impl Versions {
    /// Publishes the next version.
    pub fn publish(&self, fleet: &mut Fleet) {
        let mut acked = self.0.lock();
        let number = acked.len();
        fleet.change_configuration(|configuration| {
            let routes = configuration["Routes"].as_array_mut().unwrap();
            let mut route = routes[0].clone();
            route["Name"] = json!(format!("version-{number}"));
            route["PathPrefix"] = json!(format!("/version-{number}/"));
            routes.push(route);
            let is_version = |route: &serde_json::Value| {
                let name = route["Name"].as_str().unwrap_or_default();
                name.starts_with("version-")
            };
            if let Some(number) = number.checked_sub(MAX_ROUTES) {
                let old = json!(format!("version-{number}"));
                routes.retain(|route| !is_version(route) || route["Name"] != old);
            }
        });
        acked.push(Instant::now());
    }

    fn acked_at(&self, number: usize) -> Option<Instant> {
        self.0.lock().get(number).copied()
    }

    fn count(&self) -> usize {
        self.0.lock().len()
    }
}

/// How late one VM had versions in force.
#[derive(Debug, Default)]
pub struct Lateness {
    /// Largest time from the acknowledgement of a version until the VM served it.
    pub longest: Duration,
    /// Versions that the VM did not serve in time.
    pub late: Vec<String>,
}

/// Asks a VM for each version in turn until `stop` is set. `is_bound` says whether a request that is sent now has to
/// be served by a version that was acknowledged more than `limit` before.
pub async fn observe(
    vm: SocketAddr,
    versions: Versions,
    limit: Duration,
    is_bound: impl Fn() -> bool,
    stop: Arc<AtomicBool>,
) -> Lateness {
    let mut lateness = Lateness::default();
    let mut number = 0;
    let mut is_late = false;
    while !stop.load(Ordering::Relaxed) {
        let Some(acked_at) = versions.acked_at(number) else {
            sleep(POLL_PAUSE).await;
            continue;
        };
        let was_bound = is_bound();
        let sent_at = Instant::now();
        let path = format!("/version-{number}/x");
        let answer = request(vm, &path, "version", "key-1").await;
        match answer.map(|answer| answer.status) {
            Some(404) => {
                let age = sent_at.duration_since(acked_at);
                if age > limit && was_bound && is_bound() && !is_late {
                    is_late = true;
                    let line = format!("{vm} does not serve version {number} after {age:.2?}");
                    lateness.late.push(line);
                }
                sleep(POLL_PAUSE).await;
            }
            Some(200..300) => {
                if was_bound {
                    lateness.longest = lateness.longest.max(acked_at.elapsed());
                }
                number += 1;
                is_late = false;
            }
            // Says nothing about the version.
            _ => sleep(POLL_PAUSE).await,
        }
        // A VM that was away for long need not show all versions.
        number = number.max(versions.count().saturating_sub(MAX_ROUTES / 2));
    }
    lateness
}
