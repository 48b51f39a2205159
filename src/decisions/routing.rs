//! Choice of an endpoint for an attempt.
//!
//! `docs/design.md`, 3.5 gives the order of preference.

mod choice;
mod prefix;
mod score;

use std::collections::HashMap;
use std::sync::Arc;

use crate::blackboard::{Catalogue, Snapshot};
use crate::decisions::circuit::{
    Circuit, CircuitConfig, FailureClass, NetworkConfig, NetworkWatch, Role,
};
use crate::decisions::slots::SlotsConfig;
use crate::manifest::Stage;
use crate::units::{DataCentreName, EndpointName, ModelName, Time};
use prefix::PrefixMemory;

pub use prefix::PrefixConfig;
pub use score::ScoreConfig;

/// Settings of routing.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RoutingConfig {
    /// How one of several endpoints is picked.
    pub policy: Policy,
    /// Whether the VM's own data centre comes first; off is a baseline.
    pub own_data_centre_first: bool,
    /// Whether a cached prefix counts; off is a baseline.
    pub prefix_affinity: bool,
    /// Load of the own data centre from which others serve as well, and load of an engine
    /// from which its cached prefix does not count.
    pub load_limit: f64,
    /// How loads are blended.
    pub score: ScoreConfig,
    /// What is remembered of prefixes.
    pub prefix: PrefixConfig,
    /// Settings of circuits.
    pub circuit: CircuitConfig,
    /// Settings of the detection of own network faults.
    pub network: NetworkConfig,
    /// Settings of slots, for the age of grants.
    pub slots: SlotsConfig,
}

impl Default for RoutingConfig {
    fn default() -> Self {
        Self {
            policy: Policy::default(),
            own_data_centre_first: true,
            prefix_affinity: true,
            load_limit: 0.8,
            score: ScoreConfig::default(),
            prefix: PrefixConfig::default(),
            circuit: CircuitConfig::default(),
            network: NetworkConfig::default(),
            slots: SlotsConfig::default(),
        }
    }
}

/// How one of several endpoints is picked.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// The lower load of two drawn at random.
    #[default]
    PowerOfTwoChoices,
    /// One drawn at random; the baseline.
    Random,
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

/// An attempt under way, for [`Router::finish`].
#[derive(Debug, PartialEq, Eq)]
#[must_use = "an attempt that is not finished keeps its slot"]
pub struct Attempt {
    endpoint: EndpointName,
    model: Option<ModelName>,
    role: Role,
    model_role: Role,
}

impl Attempt {
    /// Returns the endpoint that the attempt goes to.
    pub fn endpoint(&self) -> &EndpointName {
        &self.endpoint
    }
}

/// Own knowledge about endpoints: in-flight counts and circuits.
#[derive(Debug)]
pub struct Router {
    config: RoutingConfig,
    data_centre: DataCentreName,
    catalogue: Option<Arc<Catalogue>>,
    in_flight: HashMap<EndpointName, u32>,
    circuits: HashMap<EndpointName, Circuit>,
    model_circuits: HashMap<(EndpointName, ModelName), Circuit>,
    network: NetworkWatch,
    prefixes: PrefixMemory,
    /// Only grants that answer a message sent after this time count.
    cold_at: HashMap<EndpointName, Time>,
}

impl Router {
    /// Starts without knowledge, in the VM's own data centre.
    pub fn new(config: RoutingConfig, data_centre: DataCentreName) -> Self {
        Self {
            config,
            network: NetworkWatch::new(config.network, data_centre.clone()),
            prefixes: PrefixMemory::new(config.prefix),
            data_centre,
            catalogue: None,
            in_flight: HashMap::new(),
            circuits: HashMap::new(),
            model_circuits: HashMap::new(),
            cold_at: HashMap::new(),
        }
    }

    /// Takes up a manifest that differs from the one known.
    fn learn(&mut self, snapshot: &Snapshot) {
        let same = match (&self.catalogue, &snapshot.catalogue) {
            (Some(known), Some(new)) => Arc::ptr_eq(known, new),
            (_, new) => new.is_none(),
        };
        if same {
            return;
        }
        self.catalogue.clone_from(&snapshot.catalogue);
        let Some(catalogue) = &self.catalogue else {
            return;
        };
        let exists = |name: &EndpointName| catalogue.endpoint(name).is_some();
        self.circuits.retain(|name, _| exists(name));
        self.model_circuits.retain(|(name, _), _| exists(name));
        self.cold_at.retain(|name, _| exists(name));
        for circuit in self.circuits.values_mut() {
            circuit.on_manifest_change();
        }
        let endpoints = catalogue.manifest.endpoints.iter();
        let serving = endpoints.filter(|endpoint| catalogue.accepts_work(endpoint));
        let places = serving.map(|item| (item.name.clone(), item.data_centre.clone()));
        self.network.set_endpoints(places);
    }

    /// Returns this VM's requests in flight at an endpoint.
    pub fn in_flight(&self, endpoint: &EndpointName) -> u32 {
        self.in_flight.get(endpoint).copied().unwrap_or(0)
    }

    /// Returns the circuit of an endpoint.
    pub fn circuit(&self, endpoint: &EndpointName) -> Circuit {
        self.circuits.get(endpoint).copied().unwrap_or_default()
    }

    fn model_circuit(&self, endpoint: &EndpointName, model: &ModelName) -> Circuit {
        let key = (endpoint.clone(), model.clone());
        self.model_circuits.get(&key).copied().unwrap_or_default()
    }

    /// Notes the start of an attempt at the chosen endpoint, with the model and prefix that
    /// it was chosen for.
    pub fn start(
        &mut self,
        now: Time,
        endpoint: &EndpointName,
        request: &RouteRequest<'_>,
    ) -> Attempt {
        if let Some(prefix) = request.prefix {
            self.prefixes.on_sent(now, prefix, endpoint);
        }
        let model = request.stage.model.clone();
        let key = model.clone().map(|model| (endpoint.clone(), model));
        let model_circuit = key.and_then(|key| self.model_circuits.get_mut(&key));
        let model_role = model_circuit.map_or(Role::Ordinary, Circuit::on_start);
        Attempt {
            endpoint: endpoint.clone(),
            model,
            role: self.on_start(endpoint),
            model_role,
        }
    }

    /// Notes the start of an attempt.
    pub fn on_start(&mut self, endpoint: &EndpointName) -> Role {
        *self.in_flight.entry(endpoint.clone()).or_default() += 1;
        let circuit = self.circuits.get_mut(endpoint);
        circuit.map_or(Role::Ordinary, Circuit::on_start)
    }

    /// Notes the end of an attempt. `None` is an attempt that was cancelled.
    pub fn finish(
        &mut self,
        now: Time,
        attempt: Attempt,
        result: Option<Result<(), FailureClass>>,
    ) {
        self.release(&attempt.endpoint);
        self.note_model(now, &attempt, result);
        self.note_result(now, &attempt.endpoint, attempt.role, result);
    }

    fn release(&mut self, endpoint: &EndpointName) {
        let Some(count) = self.in_flight.get_mut(endpoint) else {
            debug_assert!(false, "an attempt ended that never started");
            return;
        };
        *count -= 1;
        if *count == 0 {
            self.in_flight.remove(endpoint);
        }
    }

    fn note_result(
        &mut self,
        now: Time,
        endpoint: &EndpointName,
        role: Role,
        result: Option<Result<(), FailureClass>>,
    ) {
        if result == Some(Err(FailureClass::Transient)) {
            self.note_transient(now, endpoint, role);
            return;
        }
        let circuit = self.circuits.entry(endpoint.clone()).or_default();
        let Some(result) = result else {
            circuit.on_inconclusive(role);
            return;
        };
        // Any answer shows that the endpoint can be reached.
        circuit.on_success();
        match result {
            Err(FailureClass::Permanent) => circuit.on_permanent(),
            Err(FailureClass::Cold) => self.on_cold(now, endpoint),
            Ok(()) | Err(FailureClass::Model | FailureClass::Transient) => {}
        }
        self.network.on_success(now, endpoint);
    }

    fn note_transient(&mut self, now: Time, endpoint: &EndpointName, role: Role) {
        self.network.on_failure(now, endpoint);
        if self.network.is_own_fault(now) {
            let since = self.network.window_start(now);
            for circuit in self.circuits.values_mut() {
                circuit.withdraw_since(since);
            }
            self.circuits
                .entry(endpoint.clone())
                .or_default()
                .on_inconclusive(role);
            return;
        }
        let circuit = self.circuits.entry(endpoint.clone()).or_default();
        circuit.on_failure(now, role, &self.config.circuit);
    }

    fn note_model(
        &mut self,
        now: Time,
        attempt: &Attempt,
        result: Option<Result<(), FailureClass>>,
    ) {
        let Some(model) = &attempt.model else {
            return;
        };
        let key = (attempt.endpoint.clone(), model.clone());
        if result == Some(Err(FailureClass::Model)) {
            // One refusal is certain, so that one opens the circuit.
            let config = CircuitConfig {
                failures_to_open: 1,
                ..self.config.circuit
            };
            let circuit = self.model_circuits.entry(key).or_default();
            circuit.on_failure(now, attempt.model_role, &config);
        } else if let Some(circuit) = self.model_circuits.get_mut(&key) {
            match result {
                Some(Ok(())) => circuit.on_success(),
                _ => circuit.on_inconclusive(attempt.model_role),
            }
        }
    }

    /// Takes a sign of a cold start at once, without waiting for the next snapshot. Grants
    /// from before it are not used any more, and the engine's cache is gone.
    pub fn on_cold(&mut self, now: Time, endpoint: &EndpointName) {
        self.cold_at.insert(endpoint.clone(), now);
        self.prefixes.forget(endpoint);
    }
}
