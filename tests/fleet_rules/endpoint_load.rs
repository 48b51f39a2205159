//! Guards the choice of endpoints by the loads that they report.
//!
//! The replays know only what the decision answers: engines that read prompts one after another, and
//! reports that reach all VMs 200 ms late.

use std::collections::{HashSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use primrosewalk::decisions::endpoint_choice::{
    AttemptEnd, ChoiceConfig, EndpointChoice, EndpointRequest, StartedAttempt, Work,
};
use primrosewalk::decisions::engine_load::{
    EngineLoad, LoadReport, MAX_SHARED, Observation, ProcessKey, SharedLoad,
};
use primrosewalk::fleet::model::Endpoint;
use primrosewalk::fleet::wire::{decode_load_reports, encode_load_reports};
use primrosewalk::units::DataCentreName;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{at, endpoint};

const VMS: usize = 88;
const REPORT_AGE_MS: u64 = 200;
const ROUND_MS: u64 = 100;
/// Length of a replay.
const REPLAY_MS: u64 = 6_000;
/// Prompt tokens that an engine reads in a millisecond.
const TOKENS_PER_MS: f64 = 56.6;
/// Time for which a generation runs after its prompt was read.
const RUN_MS: f64 = 400.0;
/// Time of the first event after which a generation is late.
const LATE_MS: f64 = 1_000.0;

fn report(running: u32, waiting: u32, work_time_percent: Option<u32>) -> LoadReport {
    LoadReport {
        running,
        waiting,
        slots: 64,
        work_time_percent,
    }
}

fn shared(endpoint: &Endpoint, number: u32, age_ms: u64, report: LoadReport) -> SharedLoad {
    SharedLoad {
        process: ProcessKey::of(endpoint),
        load: Some(Observation {
            value: report,
            number,
            age: Duration::from_millis(age_ms),
        }),
        has_failed: None,
    }
}

/// A VM with its own observations.
struct Vm {
    choice: EndpointChoice,
    loads: EngineLoad,
    data_centre: DataCentreName,
}

fn vms(count: usize) -> Vec<Vm> {
    let vm = |n: usize| {
        let mut loads = EngineLoad::new(n as u64);
        loads.set_vms(count as u32);
        Vm {
            choice: EndpointChoice::new(ChoiceConfig::default()),
            loads,
            data_centre: ["a", "b", "c", "d"][n % 4].parse().unwrap(),
        }
    };
    (0..count).map(vm).collect()
}

impl Vm {
    fn choose(
        &self,
        ms: u64,
        endpoints: &[Arc<Endpoint>],
        work: Work<'_>,
        by_load: bool,
        random: &mut ChaCha8Rng,
    ) -> Arc<Endpoint> {
        let request = EndpointRequest {
            tried: &[],
            own_data_centre: &self.data_centre,
            may_retry: true,
            work,
        };
        let loads = &self.loads;
        let chosen = match by_load {
            true => self
                .choice
                .choose_by_load(at(ms), endpoints, request, |_| 1, loads, random),
            false => self.choice.choose(at(ms), endpoints, request, |_| 1),
        };
        chosen.unwrap()
    }
}

/// An engine of a replay.
struct Engine {
    /// Times at which the prompts that were sent to it are read, in order.
    read_at_ms: VecDeque<f64>,
    cached: HashSet<u64>,
    sent: u32,
}

impl Engine {
    /// Reads a prompt after all earlier ones and returns when that is done.
    fn read(&mut self, ms: u64, prefix: u64, tokens: (u32, u32), work_factor: f64) -> f64 {
        let (shared, own) = tokens;
        let unread = if self.cached.insert(prefix) {
            shared + own
        } else {
            own
        };
        let free_at = self.read_at_ms.back().copied().unwrap_or(0.0);
        let done = free_at.max(ms as f64) + f64::from(unread) / TOKENS_PER_MS * work_factor;
        self.read_at_ms.push_back(done);
        self.sent += 1;
        done
    }

    fn report(&mut self, ms: u64, work_time_percent: u32) -> LoadReport {
        let now = ms as f64;
        while self
            .read_at_ms
            .front()
            .is_some_and(|read| read + RUN_MS < now)
        {
            self.read_at_ms.pop_front();
        }
        let waiting = self.read_at_ms.iter().filter(|read| **read > now).count() as u32;
        let running = self.read_at_ms.len() as u32 - waiting;
        report(running, waiting, Some(work_time_percent))
    }
}

struct ReplayCase {
    name: &'static str,
    /// Requests in a second.
    rate: u64,
    /// Share of the requests with the popular prefix, in percent.
    popular_percent: u32,
    /// Share of the machines that are slow in each period of 600 ms, in percent.
    slow_percent: u32,
    /// Largest share of late requests, in percent.
    max_late_percent: f64,
    /// Largest number of requests at one engine, as a multiple of the mean.
    max_worst_over_mean: f64,
}

/// Share of late requests in percent, and requests at the busiest engine over the mean.
struct Outcome {
    late_percent: f64,
    worst_over_mean: f64,
}

/// Replays generations with prefixes at 60 engines.
fn replay(case: &ReplayCase, by_load: bool, seed: u64) -> Outcome {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let endpoints: Vec<_> = (0..60)
        .map(|n| endpoint(&format!("e-{n}"), ["a", "b", "c", "d"][n % 4]))
        .collect();
    let new_engine = || Engine {
        read_at_ms: VecDeque::new(),
        cached: HashSet::new(),
        sent: 0,
    };
    let mut engines: Vec<Engine> = endpoints.iter().map(|_| new_engine()).collect();
    let mut slow: Vec<bool> = vec![false; endpoints.len()];
    let mut vms = vms(VMS);
    let mut running: Vec<(f64, usize, StartedAttempt)> = Vec::new();
    let mut on_their_way: VecDeque<(u64, Vec<SharedLoad>)> = VecDeque::new();
    let (mut number, mut sent, mut late) = (0, 0, 0);
    for ms in 0..REPLAY_MS {
        if ms % 600 == 0 {
            slow.fill_with(|| random.random_range(0..100) < case.slow_percent);
        }
        if ms % ROUND_MS == 0 {
            let reports = endpoints.iter().zip(&mut engines).zip(&slow);
            let reports = reports.map(|((endpoint, engine), slow)| {
                number += 1;
                let percent = if *slow { 250 } else { 100 };
                shared(endpoint, number, REPORT_AGE_MS, engine.report(ms, percent))
            });
            on_their_way.push_back((ms + REPORT_AGE_MS, reports.collect()));
        }
        while on_their_way
            .front()
            .is_some_and(|(arrival, _)| *arrival <= ms)
        {
            let (_, reports) = on_their_way.pop_front().unwrap();
            vms.iter_mut().for_each(|vm| {
                vm.loads.receive(at(ms), &reports);
            });
        }
        let ended = running.extract_if(.., |(end_ms, ..)| *end_ms <= ms as f64);
        for (_, vm, started) in ended.collect::<Vec<_>>() {
            vms[vm]
                .choice
                .finish(at(ms), started, AttemptEnd::Answered(None));
        }
        if random.random_range(0..1_000) >= case.rate {
            continue;
        }
        let is_popular = random.random_range(0..100) < case.popular_percent;
        let (prefix, tokens) = match is_popular {
            true => (0, (6_300, 2_890)),
            false => (random.random_range(1..200), (568, 1_800)),
        };
        let index = random.random_range(0..VMS);
        let vm = &mut vms[index];
        let data_centre = vm.data_centre.clone();
        let work = Work::Generation {
            prompt_prefix: prefix,
            prompt_tokens: tokens.0 + tokens.1,
            shared_tokens: tokens.0,
            preferred_data_centre: &data_centre,
        };
        let chosen = vm.choose(ms, &endpoints, work, by_load, &mut random);
        let engine = endpoints.iter().position(|other| other.id == chosen.id);
        let engine = engine.unwrap();
        let started = vm.choice.start(at(ms), &chosen, tokens.0 + tokens.1);
        vm.loads
            .on_send(at(ms), ProcessKey::of(&chosen), tokens.0 + tokens.1);
        vm.loads.on_prompt(at(ms), prefix, tokens.1);
        let work_factor = if slow[engine] { 2.5 } else { 1.0 };
        let read_at_ms = engines[engine].read(ms, prefix, tokens, work_factor);
        running.push((read_at_ms + RUN_MS, index, started));
        sent += 1;
        late += u32::from(read_at_ms - ms as f64 > LATE_MS);
    }
    let worst = engines.iter().map(|engine| engine.sent).max().unwrap();
    Outcome {
        late_percent: f64::from(late) * 100.0 / f64::from(sent),
        worst_over_mean: f64::from(worst) * endpoints.len() as f64 / f64::from(sent),
    }
}

const REPLAY_CASES: [ReplayCase; 3] = [
    ReplayCase {
        name: "one popular prefix",
        rate: 230,
        popular_percent: 50,
        slow_percent: 0,
        max_late_percent: 5.0,
        max_worst_over_mean: 8.0,
    },
    ReplayCase {
        name: "one popular prefix, machines that turn slow",
        rate: 230,
        popular_percent: 50,
        slow_percent: 15,
        max_late_percent: 5.0,
        max_worst_over_mean: 8.0,
    },
    ReplayCase {
        name: "many prefixes at high load, machines that turn slow",
        rate: 900,
        popular_percent: 20,
        slow_percent: 15,
        max_late_percent: 5.0,
        max_worst_over_mean: 8.0,
    },
];

/// Guards against all VMs sending a popular prefix to the one engine that has it cached, since none of
/// them sees what the others send there.
#[gtest]
fn a_popular_prefix_is_served_in_time() {
    for case in &REPLAY_CASES {
        for seed in 1..=3 {
            let before = replay(case, false, seed);
            let after = replay(case, true, seed);
            println!(
                "{}, seed {seed}: late {:.1}% before, {:.1}% after; worst engine over mean {:.1} \
                 before, {:.1} after",
                case.name,
                before.late_percent,
                after.late_percent,
                before.worst_over_mean,
                after.worst_over_mean
            );
            expect_that!(
                after.late_percent,
                le(case.max_late_percent),
                "{}",
                case.name
            );
            expect_that!(after.late_percent, le(before.late_percent), "{}", case.name);
            expect_that!(
                after.worst_over_mean,
                le(case.max_worst_over_mean),
                "{}",
                case.name
            );
        }
    }
}

/// Replays plain requests at six endpoints, of which the first fails 45 in 100. Returns the share of
/// failed requests in percent.
fn replay_failures(by_load: bool, seed: u64) -> f64 {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let endpoints: Vec<_> = (0..6)
        .map(|n| endpoint(&format!("e-{n}"), ["a", "b", "c", "d"][n % 4]))
        .collect();
    let mut vms = vms(VMS);
    let mut on_their_way: VecDeque<(u64, SharedLoad)> = VecDeque::new();
    let (mut number, mut sent, mut failed) = (0, 0, 0);
    for ms in 0..10_000 {
        if ms % ROUND_MS == 0 {
            for endpoint in &endpoints {
                number += 1;
                let idle = report(1, 0, Some(100));
                on_their_way.push_back((
                    ms + REPORT_AGE_MS,
                    shared(endpoint, number, REPORT_AGE_MS, idle),
                ));
            }
        }
        while on_their_way
            .front()
            .is_some_and(|(arrival, _)| *arrival <= ms)
        {
            let (_, news) = on_their_way.pop_front().unwrap();
            vms.iter_mut().for_each(|vm| {
                vm.loads.receive(at(ms), &[news]);
            });
        }
        if random.random_range(0..1_000) >= 80 {
            continue;
        }
        let vm = &mut vms[random.random_range(0..VMS)];
        let chosen = vm.choose(ms, &endpoints, Work::Plain, by_load, &mut random);
        let has_failed = chosen.id == endpoints[0].id && random.random_range(0..100) < 45;
        let started = vm.choice.start(at(ms), &chosen, 0);
        let end = match has_failed {
            true => AttemptEnd::Error,
            false => AttemptEnd::Answered(Some(Duration::from_millis(60))),
        };
        vm.choice.finish(at(ms), started, end);
        number += 1;
        let outcome = SharedLoad {
            process: ProcessKey::of(&chosen),
            load: None,
            has_failed: Some(Observation {
                value: has_failed,
                number,
                age: Duration::from_millis(REPORT_AGE_MS),
            }),
        };
        on_their_way.push_back((ms + REPORT_AGE_MS, outcome));
        sent += 1;
        failed += u32::from(has_failed);
    }
    f64::from(failed) * 100.0 / f64::from(sent)
}

/// Guards against an endpoint that fails a part of its requests and looks healthy to each single VM,
/// because none of them sees two failures in a row.
#[gtest]
fn an_endpoint_that_fails_a_part_of_its_requests_is_left() {
    for seed in 1..=3 {
        let before = replay_failures(false, seed);
        let after = replay_failures(true, seed);
        println!("seed {seed}: failed {before:.1}% before, {after:.1}% after");
        expect_that!(after, le(before / 2.0));
    }
}

struct EstimateCase {
    name: &'static str,
    /// Reports that are received, with the time of receipt, number, age and content.
    received: &'static [(u64, u32, u64, u32, u32)],
    /// Time at which the load is asked for.
    asked_at_ms: u64,
    /// Number of waiting requests in the newest report.
    waiting: u32,
    /// Age of the newest report.
    age_ms: u64,
    /// Bounds of the factor by which work takes longer.
    work_factor: (f64, f64),
}

/// Reports are (time of receipt, number, age, waiting, work time in percent).
const ESTIMATE_CASES: [EstimateCase; 7] = [
    EstimateCase {
        name: "a fresh report",
        received: &[(0, 1, 0, 5, 250)],
        asked_at_ms: 0,
        waiting: 5,
        age_ms: 0,
        work_factor: (2.5, 2.5),
    },
    EstimateCase {
        name: "a later report from earlier",
        received: &[(100, 1, 0, 5, 250), (150, 2, 100, 9, 100)],
        asked_at_ms: 150,
        waiting: 5,
        age_ms: 50,
        work_factor: (2.0, 2.5),
    },
    EstimateCase {
        name: "a report that comes back as if it were younger",
        received: &[(0, 1, 0, 5, 250), (700, 1, 600, 5, 250)],
        asked_at_ms: 700,
        waiting: 5,
        age_ms: 700,
        work_factor: (1.0, 1.5),
    },
    EstimateCase {
        name: "a report that was on its way for too long",
        received: &[(0, 1, 0, 5, 250), (9_000, 2, 5_000, 9, 100)],
        asked_at_ms: 9_000,
        waiting: 5,
        age_ms: 9_000,
        work_factor: (1.0, 1.01),
    },
    EstimateCase {
        name: "reports that stop",
        received: &[(0, 1, 0, 5, 800)],
        asked_at_ms: 4_000,
        waiting: 5,
        age_ms: 4_000,
        work_factor: (1.0, 1.01),
    },
    EstimateCase {
        name: "an impossibly fast machine",
        received: &[(0, 1, 0, 0, 1)],
        asked_at_ms: 0,
        waiting: 0,
        age_ms: 0,
        work_factor: (0.5, 1.0),
    },
    EstimateCase {
        name: "an impossibly slow machine",
        received: &[(0, 1, 0, 0, 100_000)],
        asked_at_ms: 0,
        waiting: 0,
        age_ms: 0,
        work_factor: (1.0, 8.0),
    },
];

/// Guards against reports that stop, lie, or come back later as if they were new.
#[gtest]
fn only_the_newest_report_counts_and_it_fades() {
    let engine = endpoint("e", "a");
    for case in &ESTIMATE_CASES {
        let mut loads = EngineLoad::new(1);
        for (ms, number, age_ms, waiting, percent) in case.received {
            let report = report(0, *waiting, Some(*percent));
            loads.receive(at(*ms), &[shared(&engine, *number, *age_ms, report)]);
        }
        let estimate = loads.estimate(at(case.asked_at_ms), ProcessKey::of(&engine));
        let estimate = estimate.unwrap();
        expect_that!(estimate.report.waiting, eq(case.waiting), "{}", case.name);
        expect_that!(
            estimate.age,
            eq(Duration::from_millis(case.age_ms)),
            "{}",
            case.name
        );
        expect_that!(
            estimate.work_factor,
            all!(ge(case.work_factor.0), le(case.work_factor.1)),
            "{}",
            case.name
        );
    }
}

/// Guards against the load of a process that has ended counting for the one after it.
#[gtest]
fn a_restarted_endpoint_has_no_report() {
    let engine = endpoint("e", "a");
    let mut restarted = Endpoint::clone(&engine);
    restarted.started_ms += 1;
    let mut loads = EngineLoad::new(1);
    loads.receive(at(0), &[shared(&engine, 1, 0, report(0, 9, Some(100)))]);
    expect_that!(
        loads.estimate(at(0), ProcessKey::of(&engine)),
        some(anything())
    );
    expect_that!(loads.estimate(at(0), ProcessKey::of(&restarted)), none());
}

/// Guards the choices of deployments whose endpoints report no work time: they stay as they are.
#[gtest]
fn three_figures_change_no_choice() {
    let endpoints: Vec<_> = (0..9).map(|n| endpoint(&format!("e-{n}"), "a")).collect();
    let mut random = ChaCha8Rng::seed_from_u64(7);
    let mut vm = vms(1).remove(0);
    for ms in 0..500 {
        let data_centre = vm.data_centre.clone();
        let work = match ms % 2 {
            0 => Work::Plain,
            _ => Work::Generation {
                prompt_prefix: random.random_range(0..5),
                prompt_tokens: 4_000,
                shared_tokens: 3_000,
                preferred_data_centre: &data_centre,
            },
        };
        let before = vm.choose(ms, &endpoints, work, false, &mut random);
        let after = vm.choose(ms, &endpoints, work, true, &mut random);
        expect_that!(after.id, eq(&before.id));
        vm.choice.start(at(ms), &after, 1_000);
        let process = ProcessKey::of(&after);
        vm.loads.on_send(at(ms), process, 1_000);
        vm.loads.on_report(at(ms), process, report(9, 9, None));
        vm.loads.on_outcome(at(ms), process, true);
    }
    expect_that!(vm.loads.is_empty(), eq(true));
    expect_that!(vm.loads.take_news(at(500)), is_empty());
}

/// Guards the cost of the exchange and its reach: a VM's messages stay the same from 30 to 300 VMs, and
/// a VM knows a report of almost every engine that still counts.
#[gtest]
fn reports_reach_the_fleet_at_a_bounded_cost() {
    let engines: Vec<_> = (0..60).map(|n| endpoint(&format!("e-{n}"), "a")).collect();
    let mut random = ChaCha8Rng::seed_from_u64(3);
    for count in [30, 88, 300] {
        let mut loads: Vec<_> = (0..count).map(|n| EngineLoad::new(n as u64)).collect();
        let (mut max_bytes, mut number) = (0, 0);
        for round in 0..20_u64 {
            let now = at(round * ROUND_MS);
            // 300 answers in a second, whatever the size of the fleet.
            for _ in 0..30 {
                let engine = &engines[random.random_range(0..engines.len())];
                number += 1;
                let news = shared(engine, number, 0, report(3, 1, Some(120)));
                loads[random.random_range(0..count)].receive(now, &[news]);
            }
            let news: Vec<_> = loads.iter_mut().map(|vm| vm.take_news(now)).collect();
            for news in news {
                expect_that!(news.len(), le(MAX_SHARED));
                let datagram = encode_load_reports(&news);
                max_bytes = max_bytes.max(datagram.len());
                let received = decode_load_reports(&datagram).unwrap();
                expect_that!(received.len(), eq(news.len()));
                for _ in 0..2 {
                    loads[random.random_range(0..count)].receive(now, &received);
                }
            }
        }
        // A report counts for half once it is a second old.
        let now = at(1_900);
        let is_recent = |vm: &EngineLoad, engine: &Endpoint| {
            let estimate = vm.estimate(now, ProcessKey::of(engine));
            estimate.is_some_and(|load| load.age <= Duration::from_secs(1))
        };
        let known = loads.iter().map(|vm| {
            let recent = engines.iter().filter(|engine| is_recent(vm, engine));
            recent.count()
        });
        let known_percent = known.sum::<usize>() * 100 / (count * engines.len());
        println!("{count} VMs: {known_percent}% known, at most {max_bytes} bytes in a datagram");
        expect_that!(max_bytes, le(1_400));
        expect_that!(known_percent, ge(90));
    }
}
