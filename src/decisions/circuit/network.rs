//! Tells a fault of this VM's own network from faults of endpoints.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use crate::units::{DataCentreName, EndpointName, Time};

/// Settings of the detection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NetworkConfig {
    /// Failures count for this long, and a success rules the fault out for this long.
    pub window: Duration,
    /// Endpoints that must fail in every other data centre that has as many.
    pub endpoints_to_fail: usize,
}

impl Default for NetworkConfig {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(2),
            endpoints_to_fail: 2,
        }
    }
}

/// Recent results at endpoints in other data centres than this VM's.
///
/// Endpoints in all other data centres seldom fail together, but do so together when this VM
/// is cut off. Opening their circuits would then only prolong the outage.
#[derive(Debug)]
pub struct NetworkWatch {
    config: NetworkConfig,
    own: DataCentreName,
    remote: HashMap<EndpointName, DataCentreName>,
    failed_at: HashMap<EndpointName, Time>,
    succeeded_at: Option<Time>,
}

impl NetworkWatch {
    /// Starts without results, in the VM's own data centre.
    pub fn new(config: NetworkConfig, own: DataCentreName) -> Self {
        Self {
            config,
            own,
            remote: HashMap::new(),
            failed_at: HashMap::new(),
            succeeded_at: None,
        }
    }

    /// Takes the endpoints of the manifest in force that are in service.
    pub fn set_endpoints(
        &mut self,
        endpoints: impl IntoIterator<Item = (EndpointName, DataCentreName)>,
    ) {
        let endpoints = endpoints.into_iter();
        self.remote = endpoints
            .filter(|(_, centre)| *centre != self.own)
            .collect();
        let remote = &self.remote;
        self.failed_at
            .retain(|endpoint, _| remote.contains_key(endpoint));
    }

    /// Notes that an endpoint answered, well or not.
    pub fn on_success(&mut self, now: Time, endpoint: &EndpointName) {
        if self.remote.contains_key(endpoint) {
            self.succeeded_at = Some(now);
            self.failed_at.remove(endpoint);
        }
    }

    /// Notes that an endpoint timed out or could not be reached.
    pub fn on_failure(&mut self, now: Time, endpoint: &EndpointName) {
        if self.remote.contains_key(endpoint) {
            self.failed_at.insert(endpoint.clone(), now);
        }
    }

    /// Returns whether the recent failures point to this VM's own network.
    ///
    /// A data centre with a single endpoint counts as failed with that one. At least two
    /// failed endpoints are needed in all.
    pub fn is_own_fault(&self, now: Time) -> bool {
        let recent = |at: Time| now.since(at) < self.config.window;
        if self.succeeded_at.is_some_and(recent) {
            return false;
        }
        let centres: HashSet<&DataCentreName> = self.remote.values().collect();
        let counts = centres.into_iter().map(|centre| {
            let endpoints = self.remote.iter().filter(|(_, other)| *other == centre);
            let (mut known, mut failed) = (0, 0);
            for (endpoint, _) in endpoints {
                known += 1;
                failed += usize::from(self.failed_at.get(endpoint).is_some_and(|at| recent(*at)));
            }
            (failed >= self.config.endpoints_to_fail.min(known), failed)
        });
        let (mut all_failed, mut failed_endpoints) = (true, 0);
        for (has_failed, failed) in counts {
            all_failed &= has_failed;
            failed_endpoints += failed;
        }
        all_failed && failed_endpoints >= self.config.endpoints_to_fail
    }

    /// Returns the start of the window that ends now.
    pub fn window_start(&self, now: Time) -> Time {
        now - self.config.window
    }
}
