//! What all parts of a VM's traffic share.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;

use parking_lot::Mutex;
use slog::Logger;
use tokio::sync::{mpsc, watch};

use crate::clock;
use crate::decisions::endpoint_choice::{
    AttemptEnd, ChoiceConfig, EndpointChoice, StartedAttempt, cold_share,
};
use crate::decisions::rendezvous::rendezvous_order;
use crate::decisions::retry::{RetryBudget, RetryConfig};
use crate::decisions::stage_times::StageTimes;
use crate::fleet::dispatcher::BatchDispatcher;
use crate::fleet::metric;
use crate::fleet::model::{Endpoint, FleetView};
use crate::fleet::peers::Peers;
use crate::fleet::settings::FleetSettings;
use crate::fleet::stages::free_unused_inputs;
use crate::units::{ServiceName, Time};

/// Sends of one request, the first included, whatever its route allows to run.
pub const MAX_SENDS: u32 = 4;

/// State of a VM's traffic; the control state comes with `view`.
pub struct Node {
    /// The settings of the start; the addresses never change while a process runs.
    pub settings: FleetSettings,
    /// Receives one line per decision.
    pub logger: Logger,
    /// The control thread's latest view.
    pub view: watch::Receiver<Arc<FleetView>>,
    /// Turns true at a planned stop.
    pub stopping: watch::Receiver<bool>,
    /// Calls to other VMs.
    pub peers: Arc<Peers>,
    /// Stage items that this VM runs for the fleet.
    pub dispatcher: Arc<BatchDispatcher>,
    /// Observations of endpoints.
    pub choice: Mutex<EndpointChoice>,
    /// Retries that each service may still get from this VM.
    pub budgets: Mutex<HashMap<ServiceName, RetryBudget>>,
    /// Recent times of stages.
    pub stage_times: Mutex<StageTimes>,
    /// Requests under way.
    pub active: AtomicUsize,
    /// When the planned stop began.
    pub stop_began: Mutex<Option<Time>>,
}

impl Node {
    /// Assembles the shared state.
    pub fn new(
        settings: FleetSettings,
        logger: Logger,
        view: watch::Receiver<Arc<FleetView>>,
        stopping: watch::Receiver<bool>,
    ) -> Arc<Self> {
        let (unused_inputs, unused) = mpsc::unbounded_channel();
        let dispatcher = BatchDispatcher::new(
            logger.clone(),
            view.clone(),
            settings.retry_ratio,
            settings.retry_reserve,
            unused_inputs,
        );
        let node = Arc::new(Self {
            peers: Peers::new(settings.peer_port, logger.clone()),
            settings,
            logger,
            view,
            stopping,
            dispatcher,
            choice: Mutex::new(EndpointChoice::new(ChoiceConfig::default())),
            budgets: Mutex::default(),
            stage_times: Mutex::default(),
            active: AtomicUsize::new(0),
            stop_began: Mutex::default(),
        });
        tokio::spawn(free_unused_inputs(Arc::clone(&node), unused));
        node
    }

    /// Returns the latest view.
    pub fn view(&self) -> Arc<FleetView> {
        Arc::clone(&self.view.borrow())
    }

    /// Returns whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        *self.stopping.borrow()
    }

    /// Notes a request for a service, which earns retries.
    pub fn note_request(&self, service: &ServiceName) {
        self.with_budget(service, RetryBudget::on_first_attempt);
    }

    /// Takes a retry from the service's budget; `sent` is how often the request was sent.
    pub fn take_retry(&self, service: &ServiceName, sent: u32) -> bool {
        self.with_budget(service, |budget| budget.take(sent))
    }

    /// Notes how an attempt ended, for later choices and the metrics.
    pub fn end_attempt(&self, started: StartedAttempt, end: AttemptEnd) {
        metric::attempt_ended(end);
        self.choice.lock().finish(clock::now(), started, end);
    }

    /// Returns how many requests a second this VM may send to a cold endpoint.
    pub fn cold_sends(&self, view: &FleetView, endpoint: &Endpoint) -> usize {
        let services = view.configuration.as_ref().map(|known| &known.services);
        let service = services.and_then(|services| services.get(&endpoint.service));
        let rate = service.map_or(0.0, |service| service.cold_per_s);
        if rate <= 0.0 {
            return usize::MAX;
        }
        let order = rendezvous_order(endpoint.id.as_str(), view.vms.keys());
        let rank = order.iter().position(|vm| **vm == self.settings.vm);
        cold_share(rate, view.share_count, rank.unwrap_or(usize::MAX))
    }

    fn with_budget<T>(
        &self,
        service: &ServiceName,
        use_it: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        let mut budgets = self.budgets.lock();
        if !budgets.contains_key(service) {
            let shares = f64::from(self.view.borrow().share_count.max(1));
            let config = RetryConfig {
                earned_per_request: self.settings.retry_ratio,
                reserve: self.settings.retry_reserve / shares,
                attempts_per_stage: MAX_SENDS,
            };
            budgets.insert(service.clone(), RetryBudget::new(config));
        }
        let budget = budgets.get_mut(service);
        use_it(budget.unwrap_or_else(|| unreachable!("the budget was inserted above")))
    }
}
