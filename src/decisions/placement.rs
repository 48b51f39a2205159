//! Orders to engines to load and unload models.
//!
//! `docs/design.md`, 3.8 gives the rules. Only the owner of the key `placement` gives orders.

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
use loads::{Backoff, InProgress};

pub use fencing::FencingNumber;

/// Settings of placement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlacementConfig {
    /// A new owner gives no order for this long: one lease plus margin, so that the orders of
    /// its predecessor have arrived or failed.
    pub settle: Duration,
    /// An order that is not delivered this long after it was decided is given up. It must not
    /// be longer than `settle`.
    pub order_timeout: Duration,
    /// A load report describes the engine at most this long before it was read.
    pub load_lag: Duration,
    /// No order goes to an engine whose last report is older.
    pub report_life: Duration,
    /// Maximum time that an engine takes to load a model. What cannot be seen counts as a
    /// load in progress for this long.
    pub max_load_time: Duration,
    /// Pause before a model that failed to load is ordered there again; doubles each time.
    pub initial_backoff: Duration,
    /// Maximum pause of this kind.
    pub max_backoff: Duration,
    /// Loads at once when the manifest gives no number.
    pub default_loads: u32,
}

impl Default for PlacementConfig {
    fn default() -> Self {
        Self {
            settle: Duration::from_millis(1_100),
            order_timeout: Duration::from_secs(1),
            load_lag: Duration::from_secs(1),
            report_life: Duration::from_secs(5),
            max_load_time: Duration::from_secs(300),
            initial_backoff: Duration::from_secs(5),
            max_backoff: Duration::from_secs(300),
            default_loads: 1,
        }
    }
}

/// What an engine says of itself.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct EngineReport {
    /// When this VM asked for the report.
    pub read_at: Time,
    /// Models that are loaded.
    pub loaded: Vec<ModelName>,
    /// Models that are being loaded.
    pub loading: Vec<ModelName>,
    /// The highest number that the engine has been given, if it keeps one.
    pub fencing: Option<FencingNumber>,
}

/// What an engine should do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderKind {
    /// Load a model from the weight store.
    Load(ModelName),
    /// Drop a model.
    Unload(ModelName),
}

/// Why an order is issued.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderReason {
    /// Too few engines hold the model.
    TooFew {
        /// Engines that hold or load it.
        holding: u32,
        /// Engines that should.
        wanted: u32,
    },
    /// The manifest does not name the model for this engine.
    NotAllowed,
    /// More engines hold the model than should.
    TooMany {
        /// Engines that hold it.
        holding: u32,
        /// Engines that should.
        wanted: u32,
    },
}

impl fmt::Display for OrderReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooFew { holding, wanted } => {
                write!(formatter, "{holding} of {wanted} wanted engines hold it")
            }
            Self::NotAllowed => formatter.write_str("the manifest does not name it there"),
            Self::TooMany { holding, wanted } => {
                write!(formatter, "{holding} engines hold it and {wanted} should")
            }
        }
    }
}

/// One order to one engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// The engine.
    pub engine: EndpointName,
    /// What it should do.
    pub kind: OrderKind,
    /// Higher than any number that the engine was given before.
    pub number: FencingNumber,
    /// Why, for the decision log.
    pub reason: OrderReason,
    /// The order is sent before this time or not at all.
    pub send_before: Time,
}

/// How an engine took an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderAnswer {
    /// It carries the order out.
    Accepted,
    /// It has been given this higher number before.
    Fenced(FencingNumber),
    /// It did not take the order for another reason.
    Refused,
    /// No answer came; the order may have arrived.
    Unknown,
}

#[derive(Debug, Clone)]
struct IssuedOrder {
    kind: OrderKind,
    number: FencingNumber,
    at: Time,
}

/// The time and right by which [`Placement::decide`] acts.
#[derive(Debug, Clone, Copy)]
pub struct OwnershipContext<'a> {
    /// The present time.
    pub now: Time,
    /// This VM.
    pub me: &'a VmId,
    /// The VM list that this VM goes by.
    pub list: &'a MemberList,
    /// This VM's ownership epoch for the key `placement`.
    pub epoch: OwnershipEpoch,
}

/// Placement state of one VM. A VM that is not the owner only keeps the highest number.
#[derive(Debug)]
pub struct Placement {
    config: PlacementConfig,
    fencing: Fencing,
    /// Ordered, so that a plan does not depend on hashing.
    reports: BTreeMap<EndpointName, EngineReport>,
    issued: BTreeMap<EndpointName, IssuedOrder>,
    last_number: BTreeMap<EndpointName, FencingNumber>,
    backoff: Backoff,
}

impl Placement {
    /// Starts without reports.
    pub fn new(config: PlacementConfig) -> Self {
        Self {
            config,
            fencing: Fencing::default(),
            reports: BTreeMap::new(),
            issued: BTreeMap::new(),
            last_number: BTreeMap::new(),
            backoff: Backoff::default(),
        }
    }

    /// Returns the highest number known; it goes out in every state message.
    pub fn highest_number(&self) -> FencingNumber {
        self.fencing.highest()
    }

    /// Takes the highest number that a peer's state message carries. `asked_at` is the send
    /// time of this VM's message that the peer's message acknowledges.
    pub fn on_peer_number(&mut self, asked_at: Time, vm: &VmId, number: FencingNumber) {
        self.fencing.on_peer(asked_at, vm, number);
    }

    /// Takes an engine's report.
    pub fn on_report(&mut self, engine: &EndpointName, report: EngineReport) {
        let known = self.reports.get(engine);
        if known.is_some_and(|known| known.read_at > report.read_at) {
            return;
        }
        if let Some(number) = report.fencing {
            self.fencing.observe(number);
        }
        self.settle(engine, &report);
        self.reports.insert(engine.clone(), report);
    }

    /// Returns the models that an engine was ordered to load and that it has not shown yet.
    pub fn ordered_loads(&self, engine: &EndpointName) -> Vec<ModelName> {
        let issued = self.issued.get(engine).map(|issued| &issued.kind);
        match issued {
            Some(OrderKind::Load(model)) => vec![model.clone()],
            _ => Vec::new(),
        }
    }

    /// Takes an engine's answer to an order.
    pub fn on_answer(&mut self, engine: &EndpointName, number: FencingNumber, answer: OrderAnswer) {
        if let OrderAnswer::Fenced(higher) = answer {
            self.fencing.observe(higher);
        }
        let ended = matches!(answer, OrderAnswer::Fenced(_) | OrderAnswer::Refused);
        let current = self.issued.get(engine);
        let Some(issued) = current.filter(|issued| ended && issued.number == number) else {
            return;
        };
        if let (OrderKind::Load(model), OrderAnswer::Refused) = (&issued.kind, answer) {
            self.backoff
                .on_failure(engine, model, issued.at, &self.config);
        }
        self.issued.remove(engine);
    }

    /// Ends an order that a report shows to be carried out, or to have failed.
    fn settle(&mut self, engine: &EndpointName, report: &EngineReport) {
        let Some(issued) = self.issued.get(engine) else {
            return;
        };
        // An earlier report may describe the engine before the order arrived, and an engine
        // that restarted meanwhile can show a model that it has lost since.
        let surely_after = issued.at + self.config.order_timeout + self.config.load_lag;
        if report.read_at < surely_after {
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

    /// Returns the orders to issue now. They count as issued.
    pub fn decide(
        &mut self,
        context: OwnershipContext<'_>,
        catalogue: &Catalogue,
    ) -> SmallVec<[Order; 4]> {
        let mut orders = SmallVec::new();
        let OwnershipContext { now, epoch, .. } = context;
        let open_from = epoch.since + self.config.settle;
        if now >= epoch.until || now < open_from || !self.fencing.is_ready(context) {
            return orders;
        }
        self.forget_old(now);
        let seen_from = open_from + self.config.load_lag;
        let limit = catalogue.manifest.weight_store_loads;
        let limit = limit.unwrap_or(self.config.default_loads);
        loop {
            let progress = self.in_progress(now, seen_from, catalogue);
            let may_load = progress.loads < limit;
            let next = self.next_order(now, seen_from, may_load, catalogue);
            let Some((engine, kind, reason)) = next else {
                return orders;
            };
            let number = self.fencing.next();
            self.note_given(now, &engine, &kind, number);
            orders.push(Order {
                engine,
                kind,
                number,
                reason,
                send_before: epoch.until,
            });
            let progress = self.in_progress(now, seen_from, catalogue);
            assert!(!may_load || progress.loads <= limit, "too many loads");
        }
    }

    fn note_given(
        &mut self,
        now: Time,
        engine: &EndpointName,
        kind: &OrderKind,
        number: FencingNumber,
    ) {
        let last = self.last_number.insert(engine.clone(), number);
        assert!(last.is_none_or(|last| last < number), "numbers rise");
        let issued = IssuedOrder {
            kind: kind.clone(),
            number,
            at: now,
        };
        let replaced = self.issued.insert(engine.clone(), issued);
        debug_assert!(replaced.is_none(), "one order at a time for an engine");
    }

    /// An engine that went silent ends its load within `max_load_time`.
    fn forget_old(&mut self, now: Time) {
        let life = self.config.max_load_time;
        self.issued.retain(|_, issued| now.since(issued.at) < life);
        self.reports
            .retain(|_, report| now.since(report.read_at) < life);
        self.backoff.forget_old(now, &self.config);
    }

    fn in_progress(&self, now: Time, seen_from: Time, catalogue: &Catalogue) -> InProgress {
        let hidden_until = seen_from + self.config.max_load_time;
        loads::in_progress(
            catalogue,
            &self.reports,
            &self.issued,
            seen_from,
            now < hidden_until,
        )
    }
}
