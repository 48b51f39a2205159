//! Chooses the endpoint of an attempt.
//!
//! `docs/design.md`, 3.5 defines the order of preference among endpoints.

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

/// Settings of a [`Router`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RoutingConfig {
    /// Policy that picks one of several suitable endpoints.
    pub policy: Policy,
    /// Whether endpoints in the VM's own data centre are preferred. `false` serves as a baseline
    /// for comparisons.
    pub own_data_centre_first: bool,
    /// Whether engines that have the prompt prefix cached are preferred. `false` serves as a
    /// baseline for comparisons.
    pub prefix_affinity: bool,
    /// Load of the own data centre from which endpoints in other data centres are considered too,
    /// and load of an engine from which its cached prefix is ignored.
    pub load_limit: f64,
    /// Settings of the load score.
    pub score: ScoreConfig,
    /// Settings of the memory of sent prefixes.
    pub prefix: PrefixConfig,
    /// Settings of the endpoints' circuits.
    pub circuit: CircuitConfig,
    /// Settings of the detection of faults in this VM's own network.
    pub network: NetworkConfig,
    /// Settings of slots, which give the lifetime of grants.
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

/// Policy that picks one of several suitable endpoints.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// The endpoint with the lower load of two that are drawn at random.
    #[default]
    PowerOfTwoChoices,
    /// An endpoint that is drawn at random; a baseline for comparisons.
    Random,
}

/// Requirements of an attempt.
#[derive(Debug)]
pub struct RouteRequest<'a> {
    /// Stage that the attempt runs.
    pub stage: &'a Stage,
    /// Endpoints that failed earlier attempts of this stage.
    pub exclude: &'a [EndpointName],
    /// Data centre that is avoided after a failure there, if an endpoint elsewhere is free.
    pub avoid: Option<&'a DataCentreName>,
    /// Hash of the prompt prefix, which finds engines that may have it cached.
    pub prefix: Option<u64>,
}

/// Outcome of [`Router::choose`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Choice {
    /// The attempt goes to this endpoint.
    Endpoint {
        /// Name of the endpoint.
        name: EndpointName,
        /// Reason of the choice, for the decision log.
        reason: &'static str,
    },
    /// Endpoints offer the stage, but at present none of them has both a free slot and a circuit
    /// that allows an attempt.
    Busy,
    /// No endpoint in service offers the stage.
    None,
}

/// Attempt in progress, for [`Router::finish`].
#[derive(Debug, PartialEq, Eq)]
#[must_use = "an attempt that is not finished keeps its slot"]
pub struct Attempt {
    endpoint: EndpointName,
    model: Option<ModelName>,
    role: Role,
    model_role: Role,
}

impl Attempt {
    /// Returns the name of the endpoint that the attempt goes to.
    pub fn endpoint(&self) -> &EndpointName {
        &self.endpoint
    }
}

/// Chooses endpoints by this VM's own observations of them, such as attempts in flight and
/// circuits.
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
    /// Time of the last sign of a cold start at an endpoint. Grants count only if they answer a
    /// message that was sent after this time.
    cold_sign_at: HashMap<EndpointName, Time>,
}

impl Router {
    /// Creates a router without observations, for a VM in `data_centre`.
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
            cold_sign_at: HashMap::new(),
        }
    }

    /// Adopts the catalogue of the snapshot if it differs from the current one.
    fn update_catalogue(&mut self, snapshot: &Snapshot) {
        let is_unchanged = match (&self.catalogue, &snapshot.catalogue) {
            (Some(current), Some(new)) => Arc::ptr_eq(current, new),
            (_, new) => new.is_none(),
        };
        if is_unchanged {
            return;
        }
        self.catalogue.clone_from(&snapshot.catalogue);
        let Some(catalogue) = &self.catalogue else {
            return;
        };
        let exists = |name: &EndpointName| catalogue.endpoint(name).is_some();
        self.circuits.retain(|name, _| exists(name));
        self.model_circuits.retain(|(name, _), _| exists(name));
        self.cold_sign_at.retain(|name, _| exists(name));
        for circuit in self.circuits.values_mut() {
            circuit.on_manifest_change();
        }
        let endpoints = catalogue.manifest.endpoints.iter();
        let serving = endpoints.filter(|endpoint| catalogue.accepts_work(endpoint));
        let locations = serving.map(|item| (item.name.clone(), item.data_centre.clone()));
        self.network.set_endpoints(locations);
    }

    /// Returns the number of this VM's attempts in flight at an endpoint.
    pub fn in_flight(&self, endpoint: &EndpointName) -> u32 {
        self.in_flight.get(endpoint).copied().unwrap_or(0)
    }

    /// Returns the circuit of an endpoint, which is closed if no failure was recorded.
    pub fn circuit(&self, endpoint: &EndpointName) -> Circuit {
        self.circuits.get(endpoint).copied().unwrap_or_default()
    }

    fn model_circuit(&self, endpoint: &EndpointName, model: &ModelName) -> Circuit {
        let key = (endpoint.clone(), model.clone());
        self.model_circuits.get(&key).copied().unwrap_or_default()
    }

    /// Records the start of an attempt at the chosen endpoint, with the model and the prompt prefix
    /// that the endpoint was chosen for.
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

    /// Counts an attempt at an endpoint as in flight and returns its role for the endpoint's
    /// circuit.
    pub fn on_start(&mut self, endpoint: &EndpointName) -> Role {
        *self.in_flight.entry(endpoint.clone()).or_default() += 1;
        let circuit = self.circuits.get_mut(endpoint);
        circuit.map_or(Role::Ordinary, Circuit::on_start)
    }

    /// Records the end of an attempt. A `result` of `None` means that the attempt was cancelled.
    pub fn finish(
        &mut self,
        now: Time,
        attempt: Attempt,
        result: Option<Result<(), FailureClass>>,
    ) {
        self.release(&attempt.endpoint);
        self.record_model_result(now, &attempt, result);
        self.record_result(now, &attempt.endpoint, attempt.role, result);
    }

    fn release(&mut self, endpoint: &EndpointName) {
        let Some(count) = self.in_flight.get_mut(endpoint) else {
            debug_assert!(false, "an attempt at {endpoint:?} ended but never started");
            return;
        };
        *count -= 1;
        if *count == 0 {
            self.in_flight.remove(endpoint);
        }
    }

    fn record_result(
        &mut self,
        now: Time,
        endpoint: &EndpointName,
        role: Role,
        result: Option<Result<(), FailureClass>>,
    ) {
        if result == Some(Err(FailureClass::Transient)) {
            self.record_transient_failure(now, endpoint, role);
            return;
        }
        let circuit = self.circuits.entry(endpoint.clone()).or_default();
        let Some(result) = result else {
            circuit.on_inconclusive(role);
            return;
        };
        // Any answer, even a refusal, shows that the endpoint can be reached.
        circuit.on_success();
        match result {
            Err(FailureClass::Permanent) => circuit.on_permanent(),
            Err(FailureClass::Cold) => self.on_cold(now, endpoint),
            Ok(()) | Err(FailureClass::Model | FailureClass::Transient) => {}
        }
        self.network.on_success(now, endpoint);
    }

    fn record_transient_failure(&mut self, now: Time, endpoint: &EndpointName, role: Role) {
        self.network.on_failure(now, endpoint);
        if self.network.is_own_fault(now) {
            let since = self.network.window_start(now);
            for circuit in self.circuits.values_mut() {
                circuit.close_if_opened_since(since);
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

    fn record_model_result(
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
            // An endpoint that refuses a model certainly lacks it, so one refusal opens the
            // circuit.
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

    /// Applies a sign of a cold start at once, without waiting for the next snapshot. Grants from
    /// before the sign are no longer used, and the engine's prefix cache counts as lost.
    pub fn on_cold(&mut self, now: Time, endpoint: &EndpointName) {
        self.cold_sign_at.insert(endpoint.clone(), now);
        self.prefixes.forget(endpoint);
    }
}
