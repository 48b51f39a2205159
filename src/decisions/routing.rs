//! Choice of an endpoint for an attempt.
//!
//! `docs/design.md`, 3.5 gives the order of preference.

use std::collections::HashMap;

use rand::Rng;

use crate::blackboard::Snapshot;
use crate::decisions::circuit::{Circuit, CircuitConfig, FailureClass};
use crate::manifest::{Endpoint, Stage};
use crate::units::{DataCentreName, EndpointName, Time};

/// Settings of routing.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct RoutingConfig {
    /// Settings of circuits.
    pub circuit: CircuitConfig,
}

/// What an attempt needs.
#[derive(Debug)]
pub struct RouteRequest<'a> {
    /// The stage to run.
    pub stage: &'a Stage,
    /// Endpoints that failed earlier attempts of this stage.
    pub exclude: &'a [EndpointName],
    /// A data centre to stay away from if another can serve, after a failure there.
    pub avoid: Option<&'a DataCentreName>,
    /// Hash of the prompt prefix, for engines that may have it cached.
    pub prefix: Option<u64>,
}

/// Outcome of a choice.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Choice {
    /// Send the attempt there; the reason is for the log.
    Endpoint {
        /// The endpoint.
        name: EndpointName,
        /// Why it was chosen, for the decision log.
        reason: &'static str,
    },
    /// Endpoints exist, but none has a free slot or an allowed circuit now.
    Busy,
    /// No endpoint in service offers the stage.
    None,
}

/// Own knowledge about endpoints: in-flight counts and circuits.
#[derive(Debug)]
pub struct Router {
    config: RoutingConfig,
    data_centre: DataCentreName,
    in_flight: HashMap<EndpointName, u32>,
    circuits: HashMap<EndpointName, Circuit>,
}

impl Router {
    /// Starts without knowledge, in the VM's own data centre.
    pub fn new(config: RoutingConfig, data_centre: DataCentreName) -> Self {
        Self {
            config,
            data_centre,
            in_flight: HashMap::new(),
            circuits: HashMap::new(),
        }
    }

    /// Chooses an endpoint. The caller follows with [`Router::on_start`] under the same lock.
    pub fn choose(
        &self,
        now: Time,
        snapshot: &Snapshot,
        request: &RouteRequest<'_>,
        random: &mut impl Rng,
    ) -> Choice {
        let _ = random;
        let Some(catalogue) = &snapshot.catalogue else {
            return Choice::None;
        };
        let offers = |endpoint: &&Endpoint| {
            endpoint.kind == request.stage.kind
                && endpoint.service == request.stage.service
                && !request.exclude.contains(&endpoint.name)
                && catalogue.accepts_work(endpoint)
        };
        let offered: Vec<&Endpoint> = catalogue.manifest.endpoints.iter().filter(offers).collect();
        if offered.is_empty() {
            return Choice::None;
        }
        let free = offered
            .into_iter()
            .filter(|endpoint| self.has_slot(now, snapshot, &endpoint.name))
            .filter(|endpoint| self.circuit(&endpoint.name).allows(now));
        let best = free.min_by_key(|endpoint| {
            let avoided = request.avoid == Some(&endpoint.data_centre);
            let remote = endpoint.data_centre != self.data_centre;
            (avoided, remote, self.in_flight(&endpoint.name))
        });
        match best {
            None => Choice::Busy,
            Some(endpoint) => Choice::Endpoint {
                name: endpoint.name.clone(),
                reason: "fewest in flight, own data centre first",
            },
        }
    }

    fn has_slot(&self, now: Time, snapshot: &Snapshot, endpoint: &EndpointName) -> bool {
        let grant = snapshot.grants.get(endpoint);
        grant.is_some_and(|grant| now < grant.valid_until && self.in_flight(endpoint) < grant.slots)
    }

    /// Returns the state of an endpoint's circuit, for the status page.
    pub fn circuit(&self, endpoint: &EndpointName) -> Circuit {
        self.circuits.get(endpoint).copied().unwrap_or_default()
    }

    /// Returns this VM's requests in flight at an endpoint.
    pub fn in_flight(&self, endpoint: &EndpointName) -> u32 {
        self.in_flight.get(endpoint).copied().unwrap_or(0)
    }

    /// Notes the start of an attempt.
    pub fn on_start(&mut self, endpoint: &EndpointName) {
        *self.in_flight.entry(endpoint.clone()).or_default() += 1;
        if let Some(circuit) = self.circuits.get_mut(endpoint) {
            circuit.on_start();
        }
    }

    /// Notes the end of an attempt. `None` is an attempt that was cancelled.
    pub fn on_end(
        &mut self,
        now: Time,
        endpoint: &EndpointName,
        result: Option<Result<(), FailureClass>>,
    ) {
        if let Some(count) = self.in_flight.get_mut(endpoint) {
            *count = count.saturating_sub(1);
        }
        let circuit = self.circuits.entry(endpoint.clone()).or_default();
        match result {
            Some(Ok(())) => circuit.on_success(),
            Some(Err(FailureClass::Transient)) => circuit.on_failure(now, &self.config.circuit),
            Some(Err(_)) | None => {}
        }
    }
}
