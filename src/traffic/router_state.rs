//! Endpoint slots of this VM: the router, the queues and the retry budget behind one mutex.
//!
//! A [`Slot`] holds one slot and releases it when it is dropped, so that an early return
//! cannot leak a slot.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use smallvec::SmallVec;
use tokio::sync::{Notify, oneshot};

use crate::blackboard::{Catalogue, SharedSnapshot, SlotDemand, Snapshot};
use crate::clock;
use crate::decisions::circuit::FailureClass;
use crate::decisions::fair_queue::{FairQueue, Ticket};
use crate::decisions::retry::RetryBudget;
use crate::decisions::routing::{Attempt, Choice, RouteRequest, Router};
use crate::manifest::{Endpoint, Stage, StageKind};
use crate::settings::RoutingMode;
use crate::traffic::cold_starts::ColdStarts;
use crate::traffic::config::TrafficConfig;
use crate::units::{DataCentreName, EndpointName, ModelName, OrganisationName, ServiceName, Time};

/// Requests for the same kind of stage and the same service share a queue.
type ServiceKey = (StageKind, ServiceName);

/// A stage's request for a slot at an endpoint.
#[derive(Debug, Clone)]
pub struct SlotRequest {
    /// Stage to run in the slot.
    pub stage: Stage,
    /// Organisation that the request runs for.
    pub organisation: OrganisationName,
    /// Weight of the organisation in the fair queue.
    pub weight: f64,
    /// Endpoints that failed earlier attempts of the stage and must not be chosen.
    pub exclude: Vec<EndpointName>,
    /// Data centre of the endpoint that failed last, which routing avoids.
    pub avoid: Option<DataCentreName>,
    /// Hash of the prompt prefix.
    pub prefix: Option<u64>,
}

impl SlotRequest {
    fn route(&self) -> RouteRequest<'_> {
        RouteRequest {
            stage: &self.stage,
            exclude: &self.exclude,
            avoid: self.avoid.as_ref(),
            prefix: self.prefix,
        }
    }
}

/// Why a request got no slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoSlot {
    /// No endpoint in service offers the stage.
    NoEndpoint,
    /// No slot became free within the maximum wait.
    TimedOut,
}

/// A queued request for a slot.
struct Waiter {
    request: SlotRequest,
    reply: oneshot::Sender<Slot>,
}

struct Inner {
    router: Router,
    queues: HashMap<ServiceKey, FairQueue<Waiter>>,
    /// Number of waiting requests by service and model, for the demand report.
    waiting: HashMap<(ServiceKey, Option<ModelName>), u32>,
    cold_starts: ColdStarts,
    retry_budget: RetryBudget,
    rng: ChaCha8Rng,
}

/// Router, queues and retry budget, shared by all requests of the VM.
pub struct RouterState {
    inner: Mutex<Inner>,
    snapshot: Arc<SharedSnapshot>,
    routing_mode: RoutingMode,
    retry_budget_enabled: bool,
    attempts_per_stage: u32,
    /// Notified when demand is to be reported at once: a request begins to wait, or a slot is
    /// released that the grant no longer covers.
    pub demand_report_due: Notify,
    /// Notified when a request begins to wait, so that no queue is checked while all are empty.
    pub queue_check_due: Notify,
}

/// One slot at an endpoint.
pub struct Slot {
    state: Arc<RouterState>,
    /// Entry of the endpoint in the manifest that was in force when the slot was assigned.
    pub endpoint: Endpoint,
    /// Why the endpoint was chosen.
    pub reason: &'static str,
    /// The router's record of the attempt; `None` once the slot is released.
    attempt: Option<Attempt>,
    result: Option<Result<(), FailureClass>>,
}

impl Slot {
    /// Releases the slot and records the attempt's result.
    pub fn finish(mut self, result: Result<(), FailureClass>) {
        self.result = Some(result);
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if let Some(attempt) = self.attempt.take() {
            self.state.release(&self.endpoint, attempt, self.result);
        }
    }
}

/// Removes a waiting request from its queue on drop, for whatever reason the wait ends.
struct QueueEntry<'a> {
    state: &'a RouterState,
    key: ServiceKey,
    ticket: Ticket,
}

impl Drop for QueueEntry<'_> {
    fn drop(&mut self) {
        let waiter = {
            let mut inner = self.state.inner.lock();
            let queue = inner.queues.get_mut(&self.key);
            let waiter = queue.and_then(|queue| queue.remove(self.ticket));
            if let Some(waiter) = &waiter {
                inner.on_wait_ended(&self.key, &waiter.request.stage);
            }
            waiter
        };
        drop(waiter);
    }
}

impl Inner {
    fn on_wait_began(&mut self, key: &ServiceKey, stage: &Stage) {
        let group = (key.clone(), stage.model.clone());
        *self.waiting.entry(group).or_default() += 1;
    }

    fn on_wait_ended(&mut self, key: &ServiceKey, stage: &Stage) {
        let group = (key.clone(), stage.model.clone());
        if let Some(count) = self.waiting.get_mut(&group) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                self.waiting.remove(&group);
            }
        }
    }
}

impl RouterState {
    /// Creates the state without requests.
    pub fn new(
        config: &TrafficConfig,
        data_centre: DataCentreName,
        snapshot: Arc<SharedSnapshot>,
    ) -> Self {
        let inner = Inner {
            router: Router::new(config.routing, data_centre),
            queues: HashMap::new(),
            waiting: HashMap::new(),
            cold_starts: ColdStarts::default(),
            retry_budget: RetryBudget::new(config.retry),
            rng: ChaCha8Rng::from_rng(&mut rand::rng()),
        };
        Self {
            inner: Mutex::new(inner),
            snapshot,
            routing_mode: config.routing_mode,
            retry_budget_enabled: config.retry_budget_enabled,
            attempts_per_stage: config.retry.attempts_per_stage,
            demand_report_due: Notify::new(),
            queue_check_due: Notify::new(),
        }
    }

    /// Waits for a slot, in fair order among organisations.
    ///
    /// # Errors
    ///
    /// Returns why the request got no slot. No work has started then.
    pub async fn acquire(
        self: &Arc<Self>,
        request: SlotRequest,
        max_wait: Duration,
    ) -> Result<Slot, NoSlot> {
        let key = (request.stage.kind, request.stage.service.clone());
        let (entry, mut receiver) = {
            let mut inner = self.inner.lock();
            let snapshot = self.snapshot.load();
            let queue_is_empty = inner.queues.get(&key).is_none_or(FairQueue::is_empty);
            match self.choose(&mut inner, &snapshot, &request) {
                Choice::Endpoint { name, reason } if queue_is_empty => {
                    let slot = self.start_attempt(&mut inner, &snapshot, &request, &name, reason);
                    return slot.ok_or(NoSlot::NoEndpoint);
                }
                Choice::None => return Err(NoSlot::NoEndpoint),
                Choice::Endpoint { .. } | Choice::Busy => {}
            }
            let (reply, receiver) = oneshot::channel();
            inner.on_wait_began(&key, &request.stage);
            let queue = inner.queues.entry(key.clone()).or_default();
            let organisation = request.organisation.clone();
            let weight = request.weight;
            let ticket = queue.push(&organisation, weight, Waiter { request, reply });
            let entry = QueueEntry {
                state: self,
                key: key.clone(),
                ticket,
            };
            (entry, receiver)
        };
        self.demand_report_due.notify_one();
        self.queue_check_due.notify_one();
        self.serve_queue(&key);
        let slot = tokio::time::timeout(max_wait, &mut receiver).await;
        drop(entry);
        match slot {
            Ok(Ok(slot)) => Ok(slot),
            // A slot that was assigned just as the timeout passed is still valid.
            _ => receiver.try_recv().map_err(|_| NoSlot::TimedOut),
        }
    }

    fn choose(&self, inner: &mut Inner, snapshot: &Snapshot, request: &SlotRequest) -> Choice {
        let now = clock::now();
        let Inner { router, rng, .. } = inner;
        match self.routing_mode {
            RoutingMode::Scored => router.choose(now, snapshot, &request.route(), rng),
            RoutingMode::Random => choose_at_random(router, now, snapshot, request, rng),
        }
    }

    fn start_attempt(
        self: &Arc<Self>,
        inner: &mut Inner,
        snapshot: &Snapshot,
        request: &SlotRequest,
        name: &EndpointName,
        reason: &'static str,
    ) -> Option<Slot> {
        let endpoint = snapshot.catalogue.as_ref()?.endpoint(name)?.clone();
        let attempt = inner.router.start(clock::now(), name, &request.route());
        Some(Slot {
            state: Arc::clone(self),
            endpoint,
            reason,
            attempt: Some(attempt),
            result: None,
        })
    }

    fn release(
        self: &Arc<Self>,
        endpoint: &Endpoint,
        attempt: Attempt,
        result: Option<Result<(), FailureClass>>,
    ) {
        let now = clock::now();
        let mut inner = self.inner.lock();
        inner.router.finish(now, attempt, result);
        let in_flight = inner.router.in_flight(&endpoint.name);
        drop(inner);
        let snapshot = self.snapshot.load();
        let grant = snapshot.grants.get(&endpoint.name);
        if grant.is_some_and(|grant| in_flight >= grant.slots) {
            // The grant shrank while the request ran: other VMs wait for the released slot.
            self.demand_report_due.notify_one();
        }
        self.serve_queue(&(endpoint.kind, endpoint.service.clone()));
    }

    /// Assigns free slots to the waiting requests of all services.
    pub fn serve_all_queues(self: &Arc<Self>) {
        let keys: Vec<ServiceKey> = {
            let mut inner = self.inner.lock();
            inner.queues.retain(|_, queue| !queue.is_empty());
            inner.queues.keys().cloned().collect()
        };
        for key in keys {
            self.serve_queue(&key);
        }
    }

    fn serve_queue(self: &Arc<Self>, key: &ServiceKey) {
        loop {
            let Some((waiter, slot)) = self.pop_with_slot(key) else {
                return;
            };
            // If the request stopped waiting, its slot is dropped and so released here, where
            // the lock is not held.
            drop(waiter.reply.send(slot));
        }
    }

    fn pop_with_slot(self: &Arc<Self>, key: &ServiceKey) -> Option<(Waiter, Slot)> {
        let mut inner = self.inner.lock();
        let snapshot = self.snapshot.load();
        let mut queue = inner.queues.remove(key)?;
        let mut chosen = None;
        let mut busy_models: SmallVec<[Option<ModelName>; 4]> = SmallVec::new();
        let waiter = queue.pop(|waiter| {
            let request = &waiter.request;
            if busy_models.contains(&request.stage.model) {
                return false;
            }
            match self.choose(&mut inner, &snapshot, request) {
                Choice::Endpoint { name, reason } => chosen = Some((name, reason)),
                // A request that excludes no endpoint found no free slot, so no other request
                // for the model will find one.
                _ if request.exclude.is_empty() => busy_models.push(request.stage.model.clone()),
                _ => {}
            }
            chosen.is_some()
        });
        inner.queues.insert(key.clone(), queue);
        let waiter = waiter?;
        inner.on_wait_ended(key, &waiter.request.stage);
        let (name, reason) = chosen?;
        let slot = self.start_attempt(&mut inner, &snapshot, &waiter.request, &name, reason)?;
        Some((waiter, slot))
    }

    /// Returns whether any request waits for a slot.
    pub fn has_waiters(&self) -> bool {
        let inner = self.inner.lock();
        inner.queues.values().any(|queue| !queue.is_empty())
    }

    /// Counts the first attempt of a stage, which adds to the retry budget.
    pub fn on_first_attempt(&self) {
        self.inner.lock().retry_budget.on_first_attempt();
    }

    /// Takes a retry from the budget for a stage that has made `attempts` attempts. Returns
    /// whether the stage may be retried.
    pub fn take_retry(&self, attempts: u32) -> bool {
        if !self.retry_budget_enabled {
            return attempts < self.attempts_per_stage;
        }
        self.inner.lock().retry_budget.take(attempts)
    }

    /// Records a sign of a cold start. Returns whether it is the first sign of that cold start.
    pub fn on_cold_sign(&self, endpoint: &EndpointName) -> bool {
        let snapshot = self.snapshot.load();
        let mut inner = self.inner.lock();
        let now = clock::now();
        let is_first = inner.cold_starts.on_sign(now, &snapshot, endpoint);
        if is_first {
            // The control thread drops the grant as well, but an attempt could start before
            // the snapshot without the grant is published.
            inner.router.on_cold(now, endpoint);
        }
        is_first
    }

    /// Records that an endpoint answered without a sign of a cold start.
    pub fn on_warm_answer(&self, endpoint: &EndpointName) {
        self.inner.lock().cold_starts.on_warm_answer(endpoint);
    }

    /// Returns the number of this VM's requests in flight at an endpoint and whether the
    /// endpoint's circuit allows another one to start.
    pub fn endpoint_state(&self, now: Time, endpoint: &EndpointName) -> (u32, bool) {
        let inner = self.inner.lock();
        let allowed = inner.router.circuit(endpoint).allows(now);
        (inner.router.in_flight(endpoint), allowed)
    }

    /// Returns this VM's demand for slots by endpoint, and the time at which it was counted.
    ///
    /// The time is read under the lock under which requests start with the newest grants.
    /// Every request that starts after the count therefore uses the grants that were published
    /// before that time, or newer ones.
    ///
    /// Requests that wait for a service count at each endpoint in service that offers it,
    /// in proportion to the endpoint's slots and rounded up, because any of these endpoints
    /// can end the wait.
    pub fn demand(&self) -> (Time, HashMap<EndpointName, SlotDemand>) {
        let inner = self.inner.lock();
        let counted_at = clock::now();
        let snapshot = self.snapshot.load();
        let Some(catalogue) = &snapshot.catalogue else {
            return (counted_at, HashMap::new());
        };
        let mut demand: HashMap<EndpointName, SlotDemand> = HashMap::new();
        for endpoint in &catalogue.manifest.endpoints {
            let in_flight = inner.router.in_flight(&endpoint.name);
            if in_flight > 0 {
                let entry = demand.entry(endpoint.name.clone()).or_default();
                entry.in_flight = in_flight;
            }
        }
        for ((key, model), waiting) in &inner.waiting {
            add_waiting(&mut demand, catalogue, key, model.as_ref(), *waiting);
        }
        (counted_at, demand)
    }
}

/// Adds the waiting requests of one service and model to the demand at each endpoint that
/// offers them, in proportion to the endpoint's slots.
fn add_waiting(
    demand: &mut HashMap<EndpointName, SlotDemand>,
    catalogue: &Catalogue,
    key: &ServiceKey,
    model: Option<&ModelName>,
    waiting: u32,
) {
    let offers = |endpoint: &&Endpoint| {
        endpoint.kind == key.0
            && endpoint.service == key.1
            && model.is_none_or(|model| endpoint.models.contains(model))
            && catalogue.accepts_work(endpoint)
    };
    let offered: Vec<&Endpoint> = catalogue.manifest.endpoints.iter().filter(offers).collect();
    let total_slots: u64 = offered.iter().map(|item| u64::from(item.slots)).sum();
    for endpoint in offered {
        let share = (u64::from(waiting) * u64::from(endpoint.slots)).div_ceil(total_slots.max(1));
        let entry = demand.entry(endpoint.name.clone()).or_default();
        let share = u32::try_from(share).unwrap_or(u32::MAX);
        entry.waiting = entry.waiting.saturating_add(share);
    }
}

/// Chooses at random among the endpoints with a free slot, without scores.
fn choose_at_random(
    router: &Router,
    now: Time,
    snapshot: &Snapshot,
    request: &SlotRequest,
    rng: &mut ChaCha8Rng,
) -> Choice {
    let Some(catalogue) = &snapshot.catalogue else {
        return Choice::None;
    };
    let stage = &request.stage;
    let offers = |endpoint: &&Endpoint| {
        let model = stage.model.as_ref();
        endpoint.kind == stage.kind
            && endpoint.service == stage.service
            && model.is_none_or(|model| endpoint.models.contains(model))
            && !request.exclude.contains(&endpoint.name)
            && catalogue.accepts_work(endpoint)
    };
    let offered: Vec<&Endpoint> = catalogue.manifest.endpoints.iter().filter(offers).collect();
    if offered.is_empty() {
        return Choice::None;
    }
    let has_slot = |endpoint: &&&Endpoint| router.has_slot(now, snapshot, &endpoint.name);
    let free: Vec<&&Endpoint> = offered.iter().filter(has_slot).collect();
    if free.is_empty() {
        return Choice::Busy;
    }
    let endpoint = free[rng.random_range(0..free.len())];
    Choice::Endpoint {
        name: endpoint.name.clone(),
        reason: "random among endpoints with a free slot",
    }
}
