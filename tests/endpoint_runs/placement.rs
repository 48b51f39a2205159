//! Placement by successive owners, with engines that check fencing numbers or ignore them.
//!
//! Guards the weight store against more loads at once than it allows, and engines against orders
//! whose fencing numbers fall.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use primrosewalk::blackboard::Catalogue;
use primrosewalk::decisions::membership::{MemberList, OwnershipEpoch};
use primrosewalk::decisions::placement::{
    EngineReport, FencingNumber, Order, OrderAnswer, OrderKind, OwnershipContext, Placement,
    PlacementConfig,
};
use primrosewalk::manifest::{DataCentre, Manifest, Model, StageKind};
use primrosewalk::units::{EndpointName, ModelName, Time, Version, VmId};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::{ScheduleResult, Trace, check, endpoint, name, run_seeds};

const STEP_MS: u64 = 50;
const FAULTS_END_MS: u64 = 25_000;
const END_MS: u64 = 50_000;
/// Model loads that the weight store allows at once.
const LOAD_LIMIT: u32 = 2;

fn config() -> PlacementConfig {
    PlacementConfig {
        max_load_time: Duration::from_secs(6),
        initial_backoff: Duration::from_millis(500),
        max_backoff: Duration::from_secs(2),
        ..PlacementConfig::default()
    }
}

#[derive(Clone)]
enum Message {
    AskNumber {
        asked_ms: u64,
    },
    Number {
        asked_ms: u64,
        number: FencingNumber,
    },
}

struct Engine {
    name: EndpointName,
    checks_fencing: bool,
    loaded: Vec<ModelName>,
    /// Model being loaded, end of its load in ms, and whether the load succeeds.
    loading: Option<(ModelName, u64, bool)>,
    /// Fencing number of the latest order that the engine accepted.
    last_accepted: FencingNumber,
    /// Fencing number of the latest order issued to the engine, delivered or not.
    last_issued: FencingNumber,
    /// Reports of the last steps, the newest first, for reports that lag.
    history: VecDeque<EngineReport>,
}

struct Vm {
    id: VmId,
    placement: Placement,
    paused_until_ms: u64,
}

struct World<'a> {
    now_ms: u64,
    random: &'a mut ChaCha8Rng,
    trace: &'a mut Trace,
    vms: Vec<Vm>,
    engines: Vec<Engine>,
    catalogue: Catalogue,
    list: MemberList,
    /// Sender, recipient and message, by time of delivery in ms and order of sending.
    messages: BTreeMap<(u64, u64), (usize, usize, Message)>,
    /// Undelivered orders, with their time of delivery in ms and the VM that issued them.
    orders: Vec<(u64, usize, Order)>,
    sent_messages: u64,
    owner: usize,
    /// Number, start in ms and end in ms of the current ownership epoch.
    epoch: (u64, u64, u64),
    /// VM whose messages are all lost; no VM if out of range.
    cut_vm: usize,
    /// Engine whose reports are all lost; no engine if out of range.
    cut_engine: usize,
}

impl World<'_> {
    fn one_in(&mut self, count: u32) -> bool {
        self.random.random_range(0..count) == 0
    }

    fn faults_ended(&self) -> bool {
        self.now_ms >= FAULTS_END_MS
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        let cut = from == self.cut_vm || to == self.cut_vm;
        if !self.faults_ended() && (cut || self.one_in(15)) {
            return;
        }
        let max_ms = if self.one_in(20) { 2_000 } else { 60 };
        let at_ms = self.now_ms + self.random.random_range(1..max_ms);
        self.sent_messages += 1;
        self.messages
            .insert((at_ms, self.sent_messages), (from, to, message));
    }

    fn step(&mut self) -> ScheduleResult {
        if !self.faults_ended() {
            self.inject_faults();
        }
        if self.now_ms >= self.epoch.2 {
            self.change_owner();
        }
        self.run_engines();
        while let Some(entry) = self.messages.first_entry()
            && entry.key().0 <= self.now_ms
        {
            let (from, to, message) = entry.remove();
            self.deliver(from, to, message);
        }
        self.deliver_orders()?;
        for vm in 0..self.vms.len() {
            for peer in (0..self.vms.len()).filter(|peer| *peer != vm) {
                if self.one_in(4) {
                    let asked_ms = self.now_ms;
                    self.send(vm, peer, Message::AskNumber { asked_ms });
                }
            }
        }
        let owner = self.owner;
        if self.now_ms >= self.vms[owner].paused_until_ms {
            self.read_reports(owner);
            self.decide(owner)?;
        }
        Ok(())
    }

    fn inject_faults(&mut self) {
        let (_, since_ms, until_ms) = self.epoch;
        if self.now_ms > since_ms + 500 && self.one_in(120) {
            self.epoch.2 = until_ms.min(self.now_ms);
        }
        if self.one_in(40) {
            self.cut_vm = self.random.random_range(0..self.vms.len() * 3);
            self.cut_engine = self.random.random_range(0..self.engines.len() * 2);
        }
        if self.one_in(60) {
            let vm = self.random.random_range(0..self.vms.len());
            self.vms[vm].paused_until_ms = self.now_ms + self.random.random_range(100..3_000);
        }
        if self.one_in(100) {
            let engine = self.random.random_range(0..self.engines.len());
            self.engines[engine].loaded.clear();
            self.engines[engine].loading = None;
        }
    }

    fn change_owner(&mut self) {
        self.owner = self.random.random_range(0..self.vms.len());
        if self.one_in(4) {
            self.list.version = Version(self.list.version.0 + 1);
        }
        // Every VM counts its own epochs, so a change of owner may lower the number.
        let number = self.random.random_range(1..50);
        self.epoch = (
            number,
            self.now_ms + self.random.random_range(0..2) * 150,
            u64::MAX,
        );
        let (now_ms, owner) = (self.now_ms, self.owner);
        self.trace
            .note(|| format!("{now_ms} VM {owner} becomes owner, epoch {number}"));
    }

    fn run_engines(&mut self) {
        for engine in &mut self.engines {
            if let Some((model, ends_ms, succeeds)) = engine.loading.clone()
                && self.now_ms >= ends_ms
            {
                engine.loading = None;
                if succeeds {
                    engine.loaded.push(model);
                }
            }
            engine.history.push_front(EngineReport {
                read_at: Time::ZERO,
                loaded: engine.loaded.clone(),
                loading: engine.loading.iter().map(|load| load.0.clone()).collect(),
                fencing: engine.checks_fencing.then_some(engine.last_accepted),
            });
            engine.history.truncate(20);
        }
    }

    fn deliver(&mut self, from: usize, to: usize, message: Message) {
        if self.now_ms < self.vms[to].paused_until_ms {
            return;
        }
        match message {
            Message::AskNumber { asked_ms } => {
                let number = self.vms[to].placement.highest_number();
                self.send(to, from, Message::Number { asked_ms, number });
            }
            Message::Number { asked_ms, number } => {
                let sender = self.vms[from].id.clone();
                let asked_at = Time::from_millis(asked_ms);
                let vm = &mut self.vms[to];
                vm.placement.on_peer_number(asked_at, &sender, number);
            }
        }
    }

    fn read_reports(&mut self, owner: usize) {
        for index in 0..self.engines.len() {
            let cut = !self.faults_ended() && index == self.cut_engine;
            if cut || !self.one_in(8) {
                continue;
            }
            let lag = self
                .random
                .random_range(0..self.engines[index].history.len());
            let engine = &self.engines[index];
            let report = EngineReport {
                read_at: Time::from_millis(self.now_ms),
                ..engine.history[lag].clone()
            };
            self.vms[owner].placement.on_report(&engine.name, report);
        }
    }

    fn decide(&mut self, owner: usize) -> ScheduleResult {
        let (number, since_ms, until_ms) = self.epoch;
        if !(since_ms..until_ms).contains(&self.now_ms) {
            return Ok(());
        }
        let epoch = OwnershipEpoch {
            number,
            since: Time::from_millis(since_ms),
            until: Time::from_millis(self.now_ms + 800),
        };
        let vm = &mut self.vms[owner];
        let context = OwnershipContext {
            now: Time::from_millis(self.now_ms),
            me: &vm.id,
            list: &self.list,
            epoch,
        };
        let mut issued_orders = false;
        for order in vm.placement.decide(context, &self.catalogue) {
            let now_ms = self.now_ms;
            self.trace.note(|| {
                let Order {
                    engine,
                    kind,
                    number,
                    reason,
                    ..
                } = &order;
                format!("{now_ms} {owner} orders {engine} {kind:?} as {number}: {reason}")
            });
            let mut engines = self.engines.iter_mut();
            let Some(engine) = engines.find(|engine| engine.name == order.engine) else {
                return Err(format!("an order to the unknown engine {}", order.engine));
            };
            check(engine.last_issued < order.number, || {
                format!(
                    "{} was ordered {} after {}",
                    engine.name, order.number, engine.last_issued
                )
            })?;
            engine.last_issued = order.number;
            issued_orders = true;
            // Orders that barely arrive in time are made likely, and so are reports with the
            // greatest lag.
            let min_ms = self.random.random_range(0..2) * 900;
            let delay_ms = self.random.random_range(min_ms..1_000);
            self.orders.push((now_ms + delay_ms, owner, order));
        }
        // The worst time for a change of owner is just after an order.
        if issued_orders && !self.faults_ended() && self.one_in(3) {
            self.epoch.2 = self.epoch.2.min(self.now_ms + 1);
        }
        Ok(())
    }

    fn deliver_orders(&mut self) -> ScheduleResult {
        let now_ms = self.now_ms;
        let (due, later) = std::mem::take(&mut self.orders)
            .into_iter()
            .partition(|(at_ms, ..)| *at_ms <= now_ms);
        self.orders = later;
        for (_, owner, order) in Vec::from_iter::<Vec<_>>(due) {
            if !self.faults_ended() && self.one_in(10) {
                continue;
            }
            let (ends_ms, succeeds) = (
                now_ms + self.random.random_range(200..3_000),
                self.faults_ended() || !self.one_in(8),
            );
            let mut engines = self.engines.iter_mut();
            let Some(engine) = engines.find(|engine| engine.name == order.engine) else {
                continue;
            };
            let answer = if engine.checks_fencing && order.number < engine.last_accepted {
                OrderAnswer::Fenced(engine.last_accepted)
            } else {
                engine.last_accepted = order.number;
                match &order.kind {
                    OrderKind::Load(model) => {
                        engine.loading = Some((model.clone(), ends_ms, succeeds))
                    }
                    OrderKind::Unload(model) => engine.loaded.retain(|other| other != model),
                }
                OrderAnswer::Accepted
            };
            let placement = &mut self.vms[owner].placement;
            placement.on_answer(&order.engine, order.number, answer);
            let loads = self
                .engines
                .iter()
                .filter(|engine| engine.loading.is_some());
            let loads = loads.count();
            check(loads <= LOAD_LIMIT as usize, || {
                format!("{loads} loads are in progress, the limit is {LOAD_LIMIT}")
            })?;
        }
        Ok(())
    }
}

fn manifest(engines: usize) -> Manifest {
    let mut manifest = Manifest {
        weight_store_loads: Some(LOAD_LIMIT),
        data_centres: vec![DataCentre {
            name: name("dc", 0),
            region: name("r", 0),
            state: Default::default(),
        }],
        ..Manifest::default()
    };
    for number in 0..engines {
        let mut item = endpoint(number, StageKind::Generate, 4, 1);
        item.models = vec![name("m", 0), name("m", 1), name("m", 2)];
        manifest.endpoints.push(item);
    }
    let models = (0..3).map(|number| Model {
        name: name("m", number),
        wanted_engines: 2,
    });
    manifest.models = models.collect();
    manifest
}

fn schedule(random: &mut ChaCha8Rng, trace: &mut Trace) -> ScheduleResult {
    let manifest = manifest(random.random_range(3..7));
    let engines = manifest.endpoints.iter().map(|item| Engine {
        name: item.name.clone(),
        checks_fencing: random.random_range(0..2) == 0,
        loaded: Vec::new(),
        loading: None,
        last_accepted: FencingNumber::default(),
        last_issued: FencingNumber::default(),
        history: VecDeque::new(),
    });
    let engines = engines.collect();
    let vms: Vec<Vm> = (0..random.random_range(3..6))
        .map(|index| Vm {
            id: name("vm", index),
            placement: Placement::new(config()),
            paused_until_ms: 0,
        })
        .collect();
    let list = MemberList {
        version: Version(1),
        members: vms.iter().map(|vm| vm.id.clone()).collect(),
    };
    let mut world = World {
        now_ms: 0,
        random,
        trace,
        vms,
        engines,
        catalogue: Catalogue::new(manifest),
        list,
        messages: BTreeMap::new(),
        orders: Vec::new(),
        sent_messages: 0,
        owner: 0,
        epoch: (1, 0, u64::MAX),
        cut_vm: usize::MAX,
        cut_engine: usize::MAX,
    };
    while world.now_ms < END_MS {
        world.step()?;
        world.now_ms += STEP_MS;
    }
    for model in &world.catalogue.manifest.models {
        let engines = world.engines.iter();
        let holders = engines.filter(|engine| engine.loaded.contains(&model.name));
        let holders = holders.count();
        check(holders == 2, || {
            format!(
                "{holders} engines instead of 2 hold {} at the end",
                model.name
            )
        })?;
    }
    Ok(())
}

#[googletest::gtest]
fn loads_stay_within_the_weight_store_and_numbers_rise() {
    run_seeds("placement", 800, schedule);
}
