//! Allocators, holders and routers of several VMs against two endpoints.
//!
//! Guards P2 and the capacity: whatever messages are delayed, lost, repeated or reordered, and
//! through takeovers, partitions, pauses and restarts, the VMs together never start more work
//! than an endpoint has capacity for.

mod faults;

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use primrosewalk::blackboard::{Catalogue, SlotDemand, Snapshot};
use primrosewalk::decisions::circuit::FailureClass;
use primrosewalk::decisions::membership::OwnershipEpoch;
use primrosewalk::decisions::routing::{Attempt, Choice, RouteRequest, Router, RoutingConfig};
use primrosewalk::decisions::slots::{
    MeasuredDemand, SlotAllocator, SlotAnswer, SlotHolder, SlotLimits, SlotReport, SlotsConfig,
};
use primrosewalk::manifest::{DataCentre, Manifest, Stage, StageKind};
use primrosewalk::units::{EndpointName, Incarnation, Time, VmId};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::{ScheduleResult, Trace, check, endpoint, name, run_seeds};

const STEP_MS: u64 = 10;
const FAULTS_END_MS: u64 = 9_000;
/// A VM that wakes up after a pause can bring a cold sign as late as 12 s; the ramp then takes
/// 5 s.
const END_MS: u64 = 19_000;
const ENDPOINTS: usize = 2;

fn config() -> SlotsConfig {
    SlotsConfig {
        request_life: Duration::from_secs(6),
        ..SlotsConfig::default()
    }
}

#[derive(Clone)]
enum Message {
    // The first field of each message is the index of the endpoint.
    Report(usize, SlotReport),
    Answer(usize, SlotAnswer),
    ColdNotice(usize),
}

struct Work {
    endpoint: usize,
    ends_ms: u64,
    ended: bool,
    attempt: Attempt,
}

struct Vm {
    id: VmId,
    incarnation: u64,
    /// What the VM's clock shows at the start of the schedule.
    offset_ms: u64,
    paused_until_ms: u64,
    holder: SlotHolder,
    allocator: SlotAllocator,
    router: Router,
    snapshot: Snapshot,
    /// VM that this one takes for the allocator.
    believed_allocator: usize,
    /// VM to which the latest report went.
    reported_to: usize,
    /// Number of messages sent to each VM as allocator.
    sequences: Vec<u64>,
    /// By endpoint, after a cold sign: sequence of the first message whose answer may be applied.
    min_sequences: [Option<u64>; ENDPOINTS],
    next_report_ms: u64,
    measured: [MeasuredDemand; ENDPOINTS],
    waiting: [u32; ENDPOINTS],
    work: Vec<Work>,
}

struct EndpointState {
    name: EndpointName,
    limits: SlotLimits,
    running: u32,
    cold_until_ms: u64,
    /// Running requests and whether the endpoint was cold, in each of the last steps, the newest
    /// first, for reports that lag.
    history: VecDeque<(u32, bool)>,
    /// When the current allocator received signs of a cold start.
    cold_signs_ms: Vec<u64>,
    completed_ms: Vec<u64>,
    /// Most requests that ran at once near the end of the schedule.
    max_running_at_end: u32,
}

struct World<'a> {
    now_ms: u64,
    random: &'a mut ChaCha8Rng,
    trace: &'a mut Trace,
    vms: Vec<Vm>,
    endpoints: Vec<EndpointState>,
    stages: Vec<Stage>,
    catalogue: Arc<Catalogue>,
    /// Sender, recipient and message, by time of delivery in ms and order of sending.
    messages: BTreeMap<(u64, u64), (usize, usize, Message)>,
    sent_messages: u64,
    allocator: usize,
    /// Number, start in ms and end in ms of the current ownership epoch.
    epoch: (u64, u64, u64),
    /// End in ms of the current partition, and the first VM of its second side.
    partition: Option<(u64, usize)>,
}

impl World<'_> {
    fn faults_ended(&self) -> bool {
        self.now_ms >= FAULTS_END_MS
    }

    fn one_in(&mut self, count: u32) -> bool {
        self.random.random_range(0..count) == 0
    }

    fn local(&self, vm: usize) -> Time {
        Time::from_millis(self.now_ms + self.vms[vm].offset_ms)
    }

    fn is_paused(&self, vm: usize) -> bool {
        self.vms[vm].paused_until_ms > self.now_ms
    }

    fn epoch_of(&self, vm: usize) -> Option<OwnershipEpoch> {
        let (number, since_ms, until_ms) = self.epoch;
        let open = vm == self.allocator && (since_ms..until_ms).contains(&self.now_ms);
        let local = |ms| Time::from_millis(ms + self.vms[vm].offset_ms);
        open.then(|| OwnershipEpoch {
            number,
            since: local(since_ms),
            until: local(until_ms.min(self.now_ms + 800)),
        })
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        if from == to {
            return self.deliver(from, to, message);
        }
        let cut = |vm: usize| {
            self.partition
                .is_some_and(|(_, second_side)| vm < second_side)
        };
        let lost = !self.faults_ended() && (cut(from) != cut(to) || self.one_in(20));
        let copies = if lost {
            0
        } else {
            1 + u64::from(self.one_in(20))
        };
        for _ in 0..copies {
            let is_late = !self.faults_ended() && self.one_in(20);
            let max_ms = if is_late { 3_000 } else { 40 };
            let at_ms = self.now_ms + self.random.random_range(1..max_ms);
            self.sent_messages += 1;
            let key = (at_ms, self.sent_messages);
            self.messages.insert(key, (from, to, message.clone()));
        }
    }

    fn deliver(&mut self, from: usize, to: usize, message: Message) {
        let now = self.local(to);
        let sender = self.vms[from].id.clone();
        let epoch = self.epoch_of(to);
        match message {
            Message::Report(endpoint, report) => {
                let name = self.endpoints[endpoint].name.clone();
                let allocator = &mut self.vms[to].allocator;
                let is_new = allocator.on_report(now, &name, &sender, &report);
                if is_new && report.cold && epoch.is_some() {
                    self.endpoints[endpoint].cold_signs_ms.push(self.now_ms);
                }
                let Some(epoch) = epoch else { return };
                let limits = self.endpoints[endpoint].limits;
                let answer = self.vms[to]
                    .allocator
                    .answer(now, &name, &sender, limits, epoch);
                if let Some(answer) = answer {
                    let now_ms = self.now_ms;
                    self.trace.note(|| {
                        let SlotDemand { in_flight, waiting } = report.demand;
                        format!(
                            "{now_ms} VM {to} answers VM {from}: {name} {answer:?} for {in_flight} in \
                             flight, {waiting} waiting"
                        )
                    });
                    self.send(to, from, Message::Answer(endpoint, answer));
                }
            }
            Message::Answer(endpoint, answer) => {
                let name = self.endpoints[endpoint].name.clone();
                let holder = &mut self.vms[to].holder;
                if holder.on_answer(now, &sender, &name, &answer, &config()) {
                    let min_sequence = self.vms[to].min_sequences[endpoint].take();
                    let is_new =
                        min_sequence.is_none_or(|min_sequence| answer.sequence >= min_sequence);
                    assert!(
                        is_new,
                        "a grant from before a cold sign was applied: answer {} is below \
                         {min_sequence:?}",
                        answer.sequence
                    );
                }
            }
            Message::ColdNotice(endpoint) => self.on_cold_sign(to, endpoint, false),
        }
    }

    fn on_cold_sign(&mut self, vm: usize, endpoint: usize, observed_here: bool) {
        let now = self.local(vm);
        let name = self.endpoints[endpoint].name.clone();
        let is_new = self.vms[vm].holder.on_cold_sign(now, &name, &config());
        self.vms[vm].router.on_cold(now, &name);
        let allocator = self.vms[vm].reported_to;
        self.vms[vm].min_sequences[endpoint] = Some(self.vms[vm].sequences[allocator] + 1);
        if self.epoch_of(vm).is_some() {
            self.vms[vm].allocator.on_cold(now, &name);
            self.endpoints[endpoint].cold_signs_ms.push(self.now_ms);
        }
        for peer in (0..self.vms.len()).filter(|peer| observed_here && is_new && *peer != vm) {
            self.send(vm, peer, Message::ColdNotice(endpoint));
        }
    }

    fn step(&mut self) -> ScheduleResult {
        while let Some(entry) = self.messages.first_entry()
            && entry.key().0 <= self.now_ms
        {
            let (from, to, message) = entry.remove();
            if self.is_paused(to) {
                let delay_ms = self.random.random_range(0..50);
                let at_ms = self.vms[to].paused_until_ms + delay_ms;
                self.sent_messages += 1;
                self.messages
                    .insert((at_ms, self.sent_messages), (from, to, message));
            } else {
                self.deliver(from, to, message);
            }
        }
        for endpoint in &mut self.endpoints {
            endpoint
                .history
                .push_front((endpoint.running, self.now_ms < endpoint.cold_until_ms));
            endpoint.history.truncate(90);
        }
        if !self.faults_ended() {
            self.inject_faults();
        }
        self.move_epoch();
        for vm in 0..self.vms.len() {
            self.end_work(vm);
            if !self.is_paused(vm) {
                self.act(vm)?;
            }
        }
        if self.now_ms.is_multiple_of(500) && !self.is_paused(self.allocator) {
            self.poll_load();
        }
        Ok(())
    }

    fn end_work(&mut self, vm: usize) {
        let (now, now_ms) = (self.local(vm), self.now_ms);
        let paused = self.is_paused(vm);
        let vm_state = &mut self.vms[vm];
        for index in (0..vm_state.work.len()).rev() {
            let work = &mut vm_state.work[index];
            let endpoint = &mut self.endpoints[work.endpoint];
            if now_ms >= work.ends_ms && !work.ended {
                work.ended = true;
                endpoint.running -= 1;
                endpoint.completed_ms.push(now_ms);
            }
            if work.ended && !paused {
                let work = vm_state.work.swap_remove(index);
                vm_state.router.finish(now, work.attempt, Some(Ok(())));
                vm_state.holder.on_completed(&endpoint.name);
            }
        }
    }

    fn act(&mut self, vm: usize) -> ScheduleResult {
        let now = self.local(vm);
        for endpoint in 0..ENDPOINTS {
            if self.vms[vm].waiting[endpoint] == 0 && (self.faults_ended() || self.one_in(30)) {
                self.vms[vm].waiting[endpoint] = self.random.random_range(1..15);
            }
            while self.vms[vm].waiting[endpoint] > 0 && self.start(vm, endpoint)? {}
        }
        // Work above started under the previous snapshot: traffic sees new grants late, and its
        // demand counts lag.
        let vm_state = &mut self.vms[vm];
        vm_state.holder.expire(now, |_| true);
        vm_state.snapshot.grants = Arc::new(vm_state.holder.grants().clone());
        if self.one_in(3) {
            for endpoint in 0..ENDPOINTS {
                let vm_state = &mut self.vms[vm];
                let demand = SlotDemand {
                    in_flight: vm_state.router.in_flight(&self.endpoints[endpoint].name),
                    waiting: vm_state.waiting[endpoint],
                };
                vm_state.measured[endpoint] = MeasuredDemand { at: now, demand };
            }
        }
        if self.now_ms >= self.vms[vm].next_report_ms {
            self.vms[vm].next_report_ms = self.now_ms + self.random.random_range(50..250);
            self.report(vm);
        }
        Ok(())
    }

    fn report(&mut self, vm: usize) {
        let now = self.local(vm);
        let allocator = self.vms[vm].believed_allocator;
        let allocator_id = self.vms[allocator].id.clone();
        self.vms[vm].sequences[allocator] += 1;
        if std::mem::replace(&mut self.vms[vm].reported_to, allocator) != allocator {
            self.vms[vm].min_sequences = [None; ENDPOINTS];
        }
        for endpoint in 0..ENDPOINTS {
            let name = self.endpoints[endpoint].name.clone();
            let vm_state = &mut self.vms[vm];
            let message = (
                Incarnation(vm_state.incarnation),
                vm_state.sequences[allocator],
            );
            let measured = vm_state.measured[endpoint];
            let report =
                vm_state
                    .holder
                    .report(now, &allocator_id, &name, message, measured, &config());
            self.send(vm, allocator, Message::Report(endpoint, report));
        }
    }

    fn start(&mut self, vm: usize, endpoint: usize) -> Result<bool, String> {
        let now = self.local(vm);
        let request = RouteRequest {
            stage: &self.stages[endpoint],
            exclude: &[],
            avoid: None,
            prefix: None,
        };
        let vm_state = &mut self.vms[vm];
        let choice = vm_state
            .router
            .choose(now, &vm_state.snapshot, &request, self.random);
        let Choice::Endpoint { name, .. } = choice else {
            return Ok(false);
        };
        let attempt = vm_state.router.start(now, &name, &request);
        vm_state.waiting[endpoint] -= 1;
        self.endpoints[endpoint].running += 1;
        let (now_ms, running) = (self.now_ms, self.endpoints[endpoint].running);
        self.trace.note(|| {
            format!("{now_ms} VM {vm} starts work at {name}, {running} requests run there")
        });
        self.check_start(endpoint)?;
        if now_ms < self.endpoints[endpoint].cold_until_ms && self.one_in(2) {
            self.endpoints[endpoint].running -= 1;
            let result = Some(Err(FailureClass::Cold));
            self.vms[vm].router.finish(now, attempt, result);
            self.on_cold_sign(vm, endpoint, true);
            return Ok(true);
        }
        let is_long = !self.faults_ended() && self.one_in(8);
        let max_ms = if is_long { 5_000 } else { 300 };
        self.vms[vm].work.push(Work {
            endpoint,
            ends_ms: now_ms + self.random.random_range(20..max_ms),
            ended: false,
            attempt,
        });
        Ok(true)
    }

    /// Checks a start of work: once a cold sign is older than the propagation bound of 1 s, running
    /// work stays within the cold capacity plus what answers completed since the sign add to it.
    fn check_start(&self, endpoint: usize) -> ScheduleResult {
        let endpoint = &self.endpoints[endpoint];
        let mut allowed = endpoint.limits.warm;
        let has_propagated = |sign_ms: &&u64| **sign_ms + 1_000 <= self.now_ms;
        if let Some(sign_ms) = endpoint.cold_signs_ms.iter().rev().find(has_propagated) {
            let completed = endpoint.completed_ms.iter().filter(|at| **at > *sign_ms);
            let ramped_capacity = endpoint.limits.cold as usize + completed.count();
            allowed = allowed.min(u32::try_from(ramped_capacity).unwrap_or(u32::MAX));
        }
        check(endpoint.running <= allowed, || {
            let (name, running) = (&endpoint.name, endpoint.running);
            format!("{running} requests run at {name} after a start, {allowed} are allowed")
        })
    }
}

fn new_vm(
    ids: &[VmId],
    index: usize,
    incarnation: u64,
    offset_ms: u64,
    catalogue: &Arc<Catalogue>,
) -> Vm {
    let mut allocator = SlotAllocator::new(config());
    allocator.set_members(ids.iter().cloned());
    let idle = MeasuredDemand {
        at: Time::ZERO,
        demand: SlotDemand::default(),
    };
    let routing = RoutingConfig {
        slots: config(),
        ..RoutingConfig::default()
    };
    Vm {
        id: ids[index].clone(),
        incarnation,
        offset_ms,
        paused_until_ms: 0,
        holder: SlotHolder::default(),
        allocator,
        router: Router::new(routing, name("dc", 0)),
        snapshot: Snapshot {
            catalogue: Some(catalogue.clone()),
            ..Snapshot::default()
        },
        believed_allocator: 0,
        reported_to: 0,
        sequences: vec![0; ids.len()],
        min_sequences: [None; ENDPOINTS],
        next_report_ms: 0,
        measured: [idle; ENDPOINTS],
        waiting: [0; ENDPOINTS],
        work: Vec::new(),
    }
}

fn schedule(random: &mut ChaCha8Rng, trace: &mut Trace) -> ScheduleResult {
    let mut manifest = Manifest {
        data_centres: vec![DataCentre {
            name: name("dc", 0),
            region: name("r", 0),
            state: Default::default(),
        }],
        ..Manifest::default()
    };
    for number in 0..ENDPOINTS {
        let cold = random.random_range(1..4);
        let slots = cold + random.random_range(0..10);
        let item = endpoint(number, StageKind::Plain, slots, cold);
        manifest.endpoints.push(item);
    }
    let endpoints = manifest.endpoints.iter().map(|item| EndpointState {
        name: item.name.clone(),
        limits: SlotLimits {
            warm: item.slots,
            cold: item.cold_slots,
        },
        running: 0,
        cold_until_ms: 0,
        history: VecDeque::new(),
        cold_signs_ms: Vec::new(),
        completed_ms: Vec::new(),
        max_running_at_end: 0,
    });
    let stages = manifest.endpoints.iter().map(|item| Stage {
        name: name("stage", ""),
        kind: item.kind,
        service: item.service.clone(),
        model: None,
        idempotent: true,
        weight: 1,
    });
    let (endpoints, stages) = (endpoints.collect(), stages.collect());
    let catalogue = Arc::new(Catalogue::new(manifest));
    let ids: Vec<VmId> = (0..random.random_range(2..6))
        .map(|index| name("vm", index))
        .collect();
    let vms = (0..ids.len()).map(|index| {
        let offset_ms = random.random_range(2_000..100_000);
        new_vm(&ids, index, 1, offset_ms, &catalogue)
    });
    let vms = vms.collect();
    let mut world = World {
        now_ms: 0,
        random,
        trace,
        vms,
        endpoints,
        stages,
        catalogue,
        messages: BTreeMap::new(),
        sent_messages: 0,
        allocator: 0,
        epoch: (1, 0, u64::MAX),
        partition: None,
    };
    while world.now_ms < END_MS {
        world.step()?;
        world.now_ms += STEP_MS;
        if world.now_ms + 2_000 > END_MS {
            for endpoint in &mut world.endpoints {
                endpoint.max_running_at_end = endpoint.max_running_at_end.max(endpoint.running);
            }
        }
    }
    for endpoint in &world.endpoints {
        check(endpoint.max_running_at_end == endpoint.limits.warm, || {
            let (name, fullest) = (&endpoint.name, endpoint.max_running_at_end);
            format!(
                "{name} ran at most {fullest} requests near the end, not {}",
                endpoint.limits.warm
            )
        })?;
    }
    Ok(())
}

#[googletest::gtest]
fn no_fault_lets_the_vms_exceed_an_endpoints_capacity() {
    run_seeds("slots", 1_200, schedule);
}
