//! Placement of models: orders to engines to load and unload models.
//!
//! `docs/design.md`, 3.8 gives the rules. Only the owner of the key `placement` issues orders.

mod fencing;
mod loads;
mod plan;

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use smallvec::SmallVec;

use crate::blackboard::Catalogue;
use crate::decisions::membership::{MemberList, OwnershipEpoch};
use crate::units::{EndpointName, ModelName, Time, VmId};
use fencing::Fencing;
use loads::{InProgress, LoadBackoff};

pub use fencing::FencingNumber;

/// Settings of model placement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlacementConfig {
    /// How long a new owner waits before its first order: one lease plus a margin, so that the
    /// orders of its predecessor have arrived or failed.
    pub takeover_delay: Duration,
    /// Timeout for the delivery of an order, counted from the decision. It must not be longer than
    /// `takeover_delay`.
    pub order_timeout: Duration,
    /// Maximum age of what a load report describes, at the time when it is read.
    pub load_lag: Duration,
    /// Maximum age of an engine's last report for the engine to get an order.
    pub max_report_age: Duration,
    /// Maximum time that an engine takes to load a model. A load that no report can show counts
    /// as in progress for this long.
    pub max_load_time: Duration,
    /// Pause before an engine is ordered again to load a model that it failed to load. The pause
    /// doubles with each failure.
    pub initial_backoff: Duration,
    /// Maximum pause after failed loads.
    pub max_backoff: Duration,
    /// Maximum number of concurrent loads when the manifest sets none.
    pub default_max_loads: u32,
}

impl Default for PlacementConfig {
    fn default() -> Self {
        Self {
            takeover_delay: Duration::from_millis(1_100),
            order_timeout: Duration::from_secs(1),
            load_lag: Duration::from_secs(1),
            max_report_age: Duration::from_secs(5),
            max_load_time: Duration::from_secs(300),
            initial_backoff: Duration::from_secs(5),
            max_backoff: Duration::from_secs(300),
            default_max_loads: 1,
        }
    }
}

/// An engine's report of its models.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct EngineReport {
    /// When this VM requested the report.
    pub read_at: Time,
    /// Models that are loaded.
    pub loaded: Vec<ModelName>,
    /// Models that are being loaded.
    pub loading: Vec<ModelName>,
    /// The highest fencing number that the engine has received, if it records one.
    pub fencing: Option<FencingNumber>,
}

/// What an order tells an engine to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderKind {
    /// Load a model from the weight store.
    Load(ModelName),
    /// Unload a model from memory.
    Unload(ModelName),
}

/// Why an order is issued.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderReason {
    /// Too few engines hold the model.
    TooFew {
        /// Number of engines that hold the model, load it or are ordered to load it.
        holding: u32,
        /// Number of engines that should hold the model.
        wanted: u32,
    },
    /// The manifest does not list the model for this engine.
    NotAllowed,
    /// More engines hold the model than should.
    TooMany {
        /// Number of engines that surely hold the model.
        holding: u32,
        /// Number of engines that should hold the model.
        wanted: u32,
    },
}

impl fmt::Display for OrderReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooFew { holding, wanted } => {
                write!(
                    formatter,
                    "{holding} of {wanted} wanted engines hold the model"
                )
            }
            Self::NotAllowed => {
                formatter.write_str("the manifest does not list the model for this engine")
            }
            Self::TooMany { holding, wanted } => {
                write!(
                    formatter,
                    "{holding} engines hold the model and {wanted} should"
                )
            }
        }
    }
}

/// One order to one engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// The engine that gets the order.
    pub engine: EndpointName,
    /// What the engine should do.
    pub kind: OrderKind,
    /// Fencing number, higher than any that the engine received before.
    pub number: FencingNumber,
    /// Why the order is issued, for the decision log.
    pub reason: OrderReason,
    /// Time before which the order must be sent; later it is dropped.
    pub send_before: Time,
}

/// An engine's answer to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderAnswer {
    /// The engine carries the order out.
    Accepted,
    /// The engine rejected the order, because it received this higher fencing number before.
    Fenced(FencingNumber),
    /// The engine rejected the order for another reason.
    Refused,
    /// No answer arrived; the engine may have received the order.
    Unknown,
}

/// An order that no answer or report has shown to be carried out or failed yet.
#[derive(Debug, Clone)]
struct IssuedOrder {
    kind: OrderKind,
    number: FencingNumber,
    issued_at: Time,
}

/// The time, VM list and ownership epoch with which [`Placement::decide`] decides.
#[derive(Debug, Clone, Copy)]
pub struct OwnershipContext<'a> {
    /// The present time.
    pub now: Time,
    /// This VM.
    pub me: &'a VmId,
    /// The VM list that this VM uses.
    pub list: &'a MemberList,
    /// This VM's ownership epoch for the key `placement`.
    pub epoch: OwnershipEpoch,
}

/// Placement state of one VM. On a VM that is not the owner, only the highest fencing number is
/// used.
#[derive(Debug)]
pub struct Placement {
    config: PlacementConfig,
    fencing: Fencing,
    /// Newest report of each engine, sorted by name, so that a plan does not depend on hash order.
    reports: BTreeMap<EndpointName, EngineReport>,
    issued: BTreeMap<EndpointName, IssuedOrder>,
    /// Fencing number of the last order to each engine.
    last_number: BTreeMap<EndpointName, FencingNumber>,
    backoff: LoadBackoff,
}

impl Placement {
    /// Creates a placement without reports.
    pub fn new(config: PlacementConfig) -> Self {
        Self {
            config,
            fencing: Fencing::default(),
            reports: BTreeMap::new(),
            issued: BTreeMap::new(),
            last_number: BTreeMap::new(),
            backoff: LoadBackoff::default(),
        }
    }

    /// Returns the highest known fencing number, which is sent in every state message.
    pub fn highest_number(&self) -> FencingNumber {
        self.fencing.highest()
    }

    /// Records the highest fencing number in a peer's state message. `asked_at` is the send time
    /// of this VM's message that the peer's message acknowledges.
    pub fn on_peer_number(&mut self, asked_at: Time, vm: &VmId, number: FencingNumber) {
        self.fencing.on_peer(asked_at, vm, number);
    }

    /// Records an engine's report, unless a later one is known.
    pub fn on_report(&mut self, engine: &EndpointName, report: EngineReport) {
        let previous = self.reports.get(engine);
        if previous.is_some_and(|previous| previous.read_at > report.read_at) {
            return;
        }
        if let Some(number) = report.fencing {
            self.fencing.observe(number);
        }
        self.resolve_order(engine, &report);
        self.reports.insert(engine.clone(), report);
    }

    /// Returns the models that an engine was ordered to load and that its reports do not yet
    /// show to be loaded or failed.
    pub fn ordered_loads(&self, engine: &EndpointName) -> Vec<ModelName> {
        let issued = self.issued.get(engine).map(|issued| &issued.kind);
        match issued {
            Some(OrderKind::Load(model)) => vec![model.clone()],
            _ => Vec::new(),
        }
    }

    /// Records an engine's answer to an order. A rejected order is no longer in progress.
    pub fn on_answer(&mut self, engine: &EndpointName, number: FencingNumber, answer: OrderAnswer) {
        if let OrderAnswer::Fenced(higher) = answer {
            self.fencing.observe(higher);
        }
        let is_rejected = matches!(answer, OrderAnswer::Fenced(_) | OrderAnswer::Refused);
        let current = self.issued.get(engine);
        let Some(issued) = current.filter(|issued| is_rejected && issued.number == number) else {
            return;
        };
        if let (OrderKind::Load(model), OrderAnswer::Refused) = (&issued.kind, answer) {
            self.backoff
                .on_failure(engine, model, issued.issued_at, &self.config);
        }
        self.issued.remove(engine);
    }

    /// Removes the order to an engine once a report shows that it was carried out or has failed.
    fn resolve_order(&mut self, engine: &EndpointName, report: &EngineReport) {
        let Some(issued) = self.issued.get(engine) else {
            return;
        };
        // An earlier report may describe the engine before the order arrived. If the engine
        // restarted in the meantime, such a report can also show a model that it has lost since.
        let conclusive_from = issued.issued_at + self.config.order_timeout + self.config.load_lag;
        if report.read_at < conclusive_from {
            return;
        }
        let (done, failed) = match &issued.kind {
            OrderKind::Load(model) => {
                let loaded = report.loaded.contains(model);
                let idle = !loaded && !report.loading.contains(model);
                (loaded, idle)
            }
            OrderKind::Unload(model) => {
                let gone = !report.loaded.contains(model);
                (gone, !gone)
            }
        };
        if let (OrderKind::Load(model), true) = (&issued.kind, failed) {
            self.backoff
                .on_failure(engine, model, report.read_at, &self.config);
        } else if let (OrderKind::Load(model), true) = (&issued.kind, done) {
            self.backoff.on_success(engine, model);
        }
        if done || failed {
            self.issued.remove(engine);
        }
    }

    /// Returns the orders to send now, and records them as issued.
    pub fn decide(
        &mut self,
        context: OwnershipContext<'_>,
        catalogue: &Catalogue,
    ) -> SmallVec<[Order; 4]> {
        let mut orders = SmallVec::new();
        let OwnershipContext { now, epoch, .. } = context;
        let orders_allowed_from = epoch.since + self.config.takeover_delay;
        if now >= epoch.until || now < orders_allowed_from || !self.fencing.is_ready(context) {
            return orders;
        }
        self.drop_expired(now);
        let conclusive_from = orders_allowed_from + self.config.load_lag;
        let max_loads = catalogue.manifest.weight_store_loads;
        let max_loads = max_loads.unwrap_or(self.config.default_max_loads);
        loop {
            let progress = self.in_progress(now, conclusive_from, catalogue);
            let may_load = progress.loads < max_loads;
            let next = self.next_order(now, conclusive_from, may_load, catalogue);
            let Some((engine, kind, reason)) = next else {
                return orders;
            };
            let number = self.fencing.next();
            self.record_issued(now, &engine, &kind, number);
            orders.push(Order {
                engine,
                kind,
                number,
                reason,
                send_before: epoch.until,
            });
            let progress = self.in_progress(now, conclusive_from, catalogue);
            assert!(
                !may_load || progress.loads <= max_loads,
                "too many concurrent loads"
            );
        }
    }

    fn record_issued(
        &mut self,
        now: Time,
        engine: &EndpointName,
        kind: &OrderKind,
        number: FencingNumber,
    ) {
        let last = self.last_number.insert(engine.clone(), number);
        assert!(
            last.is_none_or(|last| last < number),
            "the fencing numbers of an engine's orders must increase"
        );
        let issued = IssuedOrder {
            kind: kind.clone(),
            number,
            issued_at: now,
        };
        let replaced = self.issued.insert(engine.clone(), issued);
        debug_assert!(
            replaced.is_none(),
            "an engine must have at most one order in progress"
        );
    }

    /// Drops orders and reports older than `max_load_time`: a load has ended by then, even at an
    /// engine that sends no reports.
    fn drop_expired(&mut self, now: Time) {
        let max_age = self.config.max_load_time;
        self.issued
            .retain(|_, issued| now.since(issued.issued_at) < max_age);
        self.reports
            .retain(|_, report| now.since(report.read_at) < max_age);
        self.backoff.drop_expired(now, &self.config);
    }

    /// Counts the loads in progress. Until `max_load_time` after `conclusive_from`, unreported
    /// loads that an earlier owner ordered count as well.
    fn in_progress(&self, now: Time, conclusive_from: Time, catalogue: &Catalogue) -> InProgress {
        let unreported_until = conclusive_from + self.config.max_load_time;
        loads::in_progress(
            catalogue,
            &self.reports,
            &self.issued,
            conclusive_from,
            now < unreported_until,
        )
    }
}
