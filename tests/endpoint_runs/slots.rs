//! Allocators, holders and routers of several VMs against two endpoints.
//!
//! Guards P2 and the capacity: no delayed, lost, repeated or reordered message, takeover,
//! partition, pause or restart lets the VMs together start more than an endpoint bears.

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

use crate::{Trace, Verdict, check, endpoint, name, run};

const STEP_MS: u64 = 10;
const FAULTS_END_MS: u64 = 9_000;
/// A VM that wakes up late can bring a cold sign at 12 s; the ramp then takes 5 s.
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
    Report(usize, SlotReport),
    Answer(usize, SlotAnswer),
    Notice(usize),
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
    offset_ms: u64,
    paused_until_ms: u64,
    holder: SlotHolder,
    allocator: SlotAllocator,
    router: Router,
    snapshot: Snapshot,
    view: usize,
    reported_to: usize,
    /// Messages sent to each allocator.
    sequence: Vec<u64>,
    /// After a cold sign, the first message of which the answer may be applied.
    awaits: [Option<u64>; ENDPOINTS],
    next_report_ms: u64,
    measured: [MeasuredDemand; ENDPOINTS],
    waiting: [u32; ENDPOINTS],
    work: Vec<Work>,
}

struct Site {
    name: EndpointName,
    limits: SlotLimits,
    running: u32,
    cold_until_ms: u64,
    /// Running and cold in each of the last steps, for reports that lag.
    history: VecDeque<(u32, bool)>,
    /// When the present allocator got a sign of a cold start.
    signs_ms: Vec<u64>,
    completed_ms: Vec<u64>,
    fullest_at_end: u32,
}

struct World<'a> {
    now_ms: u64,
    random: &'a mut ChaCha8Rng,
    trace: &'a mut Trace,
    vms: Vec<Vm>,
    sites: Vec<Site>,
    stages: Vec<Stage>,
    catalogue: Arc<Catalogue>,
    mail: BTreeMap<(u64, u64), (usize, usize, Message)>,
    mailed: u64,
    allocator: usize,
    epoch: (u64, u64, u64),
    split: Option<(u64, usize)>,
}

impl World<'_> {
    fn quiet(&self) -> bool {
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
        let cut = |vm: usize| self.split.is_some_and(|(_, side)| vm < side);
        let lost = !self.quiet() && (cut(from) != cut(to) || self.one_in(20));
        let copies = if lost {
            0
        } else {
            1 + u64::from(self.one_in(20))
        };
        for _ in 0..copies {
            let late = !self.quiet() && self.one_in(20);
            let max_ms = if late { 3_000 } else { 40 };
            let at_ms = self.now_ms + self.random.random_range(1..max_ms);
            self.mailed += 1;
            let key = (at_ms, self.mailed);
            self.mail.insert(key, (from, to, message.clone()));
        }
    }

    fn deliver(&mut self, from: usize, to: usize, message: Message) {
        let now = self.local(to);
        let sender = self.vms[from].id.clone();
        let epoch = self.epoch_of(to);
        match message {
            Message::Report(site, report) => {
                let place = self.sites[site].name.clone();
                let allocator = &mut self.vms[to].allocator;
                let is_new = allocator.on_report(now, &place, &sender, &report);
                if is_new && report.cold && epoch.is_some() {
                    self.sites[site].signs_ms.push(self.now_ms);
                }
                let Some(epoch) = epoch else { return };
                let limits = self.sites[site].limits;
                let answer = self.vms[to]
                    .allocator
                    .answer(now, &place, &sender, limits, epoch);
                if let Some(answer) = answer {
                    let now_ms = self.now_ms;
                    self.trace.note(|| {
                        let SlotDemand { in_flight, waiting } = report.demand;
                        format!(
                            "{now_ms} {to} to {from}: {place} {answer:?} for {in_flight}+{waiting}"
                        )
                    });
                    self.send(to, from, Message::Answer(site, answer));
                }
            }
            Message::Answer(site, answer) => {
                let place = self.sites[site].name.clone();
                let holder = &mut self.vms[to].holder;
                if holder.on_answer(now, &sender, &place, &answer, &config()) {
                    let awaited = self.vms[to].awaits[site].take();
                    let is_new = awaited.is_none_or(|awaited| answer.sequence >= awaited);
                    assert!(is_new, "a grant from before a cold sign was applied");
                }
            }
            Message::Notice(site) => self.on_sign(to, site, false),
        }
    }

    fn on_sign(&mut self, vm: usize, site: usize, seen_here: bool) {
        let now = self.local(vm);
        let place = self.sites[site].name.clone();
        let is_new = self.vms[vm].holder.on_cold_sign(now, &place, &config());
        self.vms[vm].router.on_cold(now, &place);
        let allocator = self.vms[vm].reported_to;
        self.vms[vm].awaits[site] = Some(self.vms[vm].sequence[allocator] + 1);
        if self.epoch_of(vm).is_some() {
            self.vms[vm].allocator.on_cold(now, &place);
            self.sites[site].signs_ms.push(self.now_ms);
        }
        for peer in (0..self.vms.len()).filter(|peer| seen_here && is_new && *peer != vm) {
            self.send(vm, peer, Message::Notice(site));
        }
    }

    fn step(&mut self) -> Verdict {
        while let Some(entry) = self.mail.first_entry()
            && entry.key().0 <= self.now_ms
        {
            let (from, to, message) = entry.remove();
            if self.is_paused(to) {
                let delay_ms = self.random.random_range(0..50);
                let at_ms = self.vms[to].paused_until_ms + delay_ms;
                self.mailed += 1;
                self.mail.insert((at_ms, self.mailed), (from, to, message));
            } else {
                self.deliver(from, to, message);
            }
        }
        for site in &mut self.sites {
            site.history
                .push_front((site.running, self.now_ms < site.cold_until_ms));
            site.history.truncate(90);
        }
        if !self.quiet() {
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
        let owner = &mut self.vms[vm];
        for index in (0..owner.work.len()).rev() {
            let work = &mut owner.work[index];
            let site = &mut self.sites[work.endpoint];
            if now_ms >= work.ends_ms && !work.ended {
                work.ended = true;
                site.running -= 1;
                site.completed_ms.push(now_ms);
            }
            if work.ended && !paused {
                let work = owner.work.swap_remove(index);
                owner.router.finish(now, work.attempt, Some(Ok(())));
                owner.holder.on_completed(&site.name);
            }
        }
    }

    fn act(&mut self, vm: usize) -> Verdict {
        let now = self.local(vm);
        for site in 0..ENDPOINTS {
            if self.vms[vm].waiting[site] == 0 && (self.quiet() || self.one_in(30)) {
                self.vms[vm].waiting[site] = self.random.random_range(1..15);
            }
            while self.vms[vm].waiting[site] > 0 && self.start(vm, site)? {}
        }
        // Traffic starts work before it sees the newest grants, and its counts lag.
        let actor = &mut self.vms[vm];
        actor.holder.expire(now, |_| true);
        actor.snapshot.grants = Arc::new(actor.holder.grants().clone());
        if self.one_in(3) {
            for site in 0..ENDPOINTS {
                let actor = &mut self.vms[vm];
                let demand = SlotDemand {
                    in_flight: actor.router.in_flight(&self.sites[site].name),
                    waiting: actor.waiting[site],
                };
                actor.measured[site] = MeasuredDemand { at: now, demand };
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
        let allocator = self.vms[vm].view;
        let allocator_id = self.vms[allocator].id.clone();
        self.vms[vm].sequence[allocator] += 1;
        if std::mem::replace(&mut self.vms[vm].reported_to, allocator) != allocator {
            self.vms[vm].awaits = [None; ENDPOINTS];
        }
        for site in 0..ENDPOINTS {
            let place = self.sites[site].name.clone();
            let actor = &mut self.vms[vm];
            let message = (Incarnation(actor.incarnation), actor.sequence[allocator]);
            let measured = actor.measured[site];
            let report =
                actor
                    .holder
                    .report(now, &allocator_id, &place, message, measured, &config());
            self.send(vm, allocator, Message::Report(site, report));
        }
    }

    fn start(&mut self, vm: usize, site: usize) -> Result<bool, String> {
        let now = self.local(vm);
        let request = RouteRequest {
            stage: &self.stages[site],
            exclude: &[],
            avoid: None,
            prefix: None,
        };
        let actor = &mut self.vms[vm];
        let choice = actor
            .router
            .choose(now, &actor.snapshot, &request, self.random);
        let Choice::Endpoint { name, .. } = choice else {
            return Ok(false);
        };
        let attempt = actor.router.start(now, &name, &request);
        actor.waiting[site] -= 1;
        self.sites[site].running += 1;
        let (now_ms, running) = (self.now_ms, self.sites[site].running);
        self.trace
            .note(|| format!("{now_ms} {vm} starts at {name}, {running} run there"));
        self.check_start(site)?;
        if now_ms < self.sites[site].cold_until_ms && self.one_in(2) {
            self.sites[site].running -= 1;
            let result = Some(Err(FailureClass::Cold));
            self.vms[vm].router.finish(now, attempt, result);
            self.on_sign(vm, site, true);
            return Ok(true);
        }
        let long = !self.quiet() && self.one_in(8);
        let max_ms = if long { 5_000 } else { 300 };
        self.vms[vm].work.push(Work {
            endpoint: site,
            ends_ms: now_ms + self.random.random_range(20..max_ms),
            ended: false,
            attempt,
        });
        Ok(true)
    }

    /// After the propagation bound of 1 s, new work stays within the cold capacity and what
    /// answers completed since have added to it.
    fn check_start(&self, site: usize) -> Verdict {
        let site = &self.sites[site];
        let mut allowed = site.limits.warm;
        let old = |sign_ms: &&u64| **sign_ms + 1_000 <= self.now_ms;
        if let Some(sign_ms) = site.signs_ms.iter().rev().find(old) {
            let completed = site.completed_ms.iter().filter(|at| **at > *sign_ms);
            let grown = site.limits.cold as usize + completed.count();
            allowed = allowed.min(u32::try_from(grown).unwrap_or(u32::MAX));
        }
        check(site.running <= allowed, || {
            let (name, running) = (&site.name, site.running);
            format!("{running} run at {name} after a start, {allowed} are allowed")
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
        view: 0,
        reported_to: 0,
        sequence: vec![0; ids.len()],
        awaits: [None; ENDPOINTS],
        next_report_ms: 0,
        measured: [idle; ENDPOINTS],
        waiting: [0; ENDPOINTS],
        work: Vec::new(),
    }
}

fn schedule(random: &mut ChaCha8Rng, trace: &mut Trace) -> Verdict {
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
    let sites = manifest.endpoints.iter().map(|item| Site {
        name: item.name.clone(),
        limits: SlotLimits {
            warm: item.slots,
            cold: item.cold_slots,
        },
        running: 0,
        cold_until_ms: 0,
        history: VecDeque::new(),
        signs_ms: Vec::new(),
        completed_ms: Vec::new(),
        fullest_at_end: 0,
    });
    let stages = manifest.endpoints.iter().map(|item| Stage {
        name: name("stage", ""),
        kind: item.kind,
        service: item.service.clone(),
        model: None,
        idempotent: true,
        weight: 1,
    });
    let (sites, stages) = (sites.collect(), stages.collect());
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
        sites,
        stages,
        catalogue,
        mail: BTreeMap::new(),
        mailed: 0,
        allocator: 0,
        epoch: (1, 0, u64::MAX),
        split: None,
    };
    while world.now_ms < END_MS {
        world.step()?;
        world.now_ms += STEP_MS;
        if world.now_ms + 2_000 > END_MS {
            for site in &mut world.sites {
                site.fullest_at_end = site.fullest_at_end.max(site.running);
            }
        }
    }
    for site in &world.sites {
        check(site.fullest_at_end == site.limits.warm, || {
            let (name, fullest) = (&site.name, site.fullest_at_end);
            format!("{name} ran {fullest} of {} at the end", site.limits.warm)
        })?;
    }
    Ok(())
}

#[googletest::gtest]
fn no_fault_lets_the_vms_exceed_an_endpoints_capacity() {
    run("slots", 1_200, schedule);
}
