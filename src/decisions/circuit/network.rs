//! Distinguishes a fault in this VM's own network from faults of endpoints.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use crate::units::{DataCentreName, EndpointName, Time};

/// Settings of a [`NetworkWatch`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NetworkConfig {
    /// Length of the time window in which failures count and in which a single success rules out a
    /// fault of this VM's own network.
    pub window: Duration,
    /// Number of endpoints that must fail in each other data centre. In a data centre with fewer
    /// endpoints, all of them must fail.
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

/// Recent results of attempts at endpoints in data centres other than this VM's.
///
/// Endpoints in all other data centres rarely fail at the same time, but appear to do so when this
/// VM is cut off. Opening their circuits would then only prolong the outage.
#[derive(Debug)]
pub struct NetworkWatch {
    config: NetworkConfig,
    own_data_centre: DataCentreName,
    /// Data centres of the endpoints that are not in the own one.
    remote_endpoints: HashMap<EndpointName, DataCentreName>,
    failed_at: HashMap<EndpointName, Time>,
    succeeded_at: Option<Time>,
}

impl NetworkWatch {
    /// Creates a watch without results, for a VM in `own_data_centre`.
    pub fn new(config: NetworkConfig, own_data_centre: DataCentreName) -> Self {
        Self {
            config,
            own_data_centre,
            remote_endpoints: HashMap::new(),
            failed_at: HashMap::new(),
            succeeded_at: None,
        }
    }

    /// Sets the endpoints that are in service according to the current manifest.
    pub fn set_endpoints(
        &mut self,
        endpoints: impl IntoIterator<Item = (EndpointName, DataCentreName)>,
    ) {
        let endpoints = endpoints.into_iter();
        self.remote_endpoints = endpoints
            .filter(|(_, data_centre)| *data_centre != self.own_data_centre)
            .collect();
        let remote_endpoints = &self.remote_endpoints;
        self.failed_at
            .retain(|endpoint, _| remote_endpoints.contains_key(endpoint));
    }

    /// Records that an endpoint answered, be it with a result or an error.
    pub fn on_success(&mut self, now: Time, endpoint: &EndpointName) {
        if self.remote_endpoints.contains_key(endpoint) {
            self.succeeded_at = Some(now);
            self.failed_at.remove(endpoint);
        }
    }

    /// Records a transient failure of an endpoint, such as a timeout or a connection error.
    pub fn on_failure(&mut self, now: Time, endpoint: &EndpointName) {
        if self.remote_endpoints.contains_key(endpoint) {
            self.failed_at.insert(endpoint.clone(), now);
        }
    }

    /// Returns whether the recent failures indicate a fault in this VM's own network.
    ///
    /// A data centre with a single endpoint counts as failed if that endpoint failed. In total, at
    /// least two endpoints (`endpoints_to_fail`) must have failed.
    pub fn is_own_fault(&self, now: Time) -> bool {
        let recent = |at: Time| now.since(at) < self.config.window;
        if self.succeeded_at.is_some_and(recent) {
            return false;
        }
        let data_centres: HashSet<&DataCentreName> = self.remote_endpoints.values().collect();
        let failures = data_centres.into_iter().map(|data_centre| {
            let endpoints = self
                .remote_endpoints
                .iter()
                .filter(|(_, other)| *other == data_centre);
            let (mut total, mut failed) = (0, 0);
            for (endpoint, _) in endpoints {
                total += 1;
                failed += usize::from(self.failed_at.get(endpoint).is_some_and(|at| recent(*at)));
            }
            (failed >= self.config.endpoints_to_fail.min(total), failed)
        });
        let (mut all_failed, mut failed_endpoints) = (true, 0);
        for (has_failed, failed) in failures {
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
