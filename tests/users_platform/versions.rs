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

/// When the store acknowledged each version of a series, the first one with number 0.
#[derive(Clone, Default)]
pub struct Versions {
    acked: Arc<Mutex<Vec<Instant>>>,
    /// Distinguishes the series from those before it in the same fleet.
    series: usize,
}

impl Versions {
    /// Returns a series without versions.
    pub fn of_series(series: usize) -> Self {
        Self {
            series,
            ..Self::default()
        }
    }

    /// Returns the name of a version's route, which is also its path.
    fn name(&self, number: usize) -> String {
        format!("version-{}-{number}", self.series)
    }

    /// Publishes the next version.
    pub fn publish(&self, fleet: &mut Fleet) {
        let mut acked = self.acked.lock();
        let name = self.name(acked.len());
        fleet.change_configuration(|configuration| {
            let routes = configuration["Routes"].as_array_mut().unwrap();
            let mut route = routes[0].clone();
            route["Name"] = json!(name);
            route["PathPrefix"] = json!(format!("/{name}/"));
            routes.push(route);
            let is_version = |route: &serde_json::Value| {
                let name = route["Name"].as_str().unwrap_or_default();
                name.starts_with("version-")
            };
            let count = routes.iter().filter(|route| is_version(route)).count();
            if count > MAX_ROUTES {
                let oldest = routes.iter().position(is_version);
                oldest.map(|index| routes.remove(index));
            }
        });
        acked.push(Instant::now());
    }

    fn acked_at(&self, number: usize) -> Option<Instant> {
        self.acked.lock().get(number).copied()
    }

    fn count(&self) -> usize {
        self.acked.lock().len()
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
        let path = format!("/{}/x", versions.name(number));
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
