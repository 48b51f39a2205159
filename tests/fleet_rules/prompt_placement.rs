//! Guards that long prompts and short ones meet their targets at the same engines, without engines that are set
//! aside, and that neither is starved where the engines cannot serve all.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::sync::Arc;

use googletest::prelude::*;
use primrosewalk::decisions::endpoint_choice::{
    AttemptEnd, ChoiceConfig, EndpointChoice, EndpointRequest, StartedAttempt, Work,
};
use primrosewalk::decisions::prompt_placement::{
    PromptPlacement, PromptPreference, PromptSize, prefer_engines,
};
use primrosewalk::fleet::model::Endpoint;
use primrosewalk::units::{EndpointName, ServiceName};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::{at, endpoint};

/// Prompt tokens that an engine reads in a millisecond.
const TOKENS_PER_MS: f64 = 40.0;
/// Target of the first event of a short prompt and of a long one.
const SHORT_TARGET_MS: f64 = 500.0;
const LONG_TARGET_MS: f64 = 2_500.0;
/// Target of the pauses of streams, and the time that the stream of a short prompt lasts.
const PAUSE_TARGET_MS: f64 = 300.0;
const STREAM_MS: f64 = 800.0;
/// Time after which callers leave, which drops a prompt that is not begun.
const DEADLINE_MS: f64 = 3_000.0;
/// Time that the load of a case lasts.
const RUN_MS: u64 = 12_000;
const ENGINES: usize = 24;
const VMS: usize = 6;

fn service() -> ServiceName {
    "s".parse().unwrap()
}

fn short() -> PromptSize {
    PromptSize {
        shared_tokens: 500,
        unshared_tokens: 500,
        output_tokens: 60,
    }
}

fn long(unshared_tokens: u32) -> PromptSize {
    PromptSize {
        unshared_tokens,
        ..short()
    }
}

/// Load that is replayed.
struct LoadCase {
    name: &'static str,
    /// Prompt tokens to read as a part of what all engines can read.
    load: f64,
    /// Part of the prompts that are long, and the time from which they come.
    long_part: f64,
    long_from_ms: u64,
    /// Number of engines that are lost in the middle.
    lost_engines: usize,
    /// Minimum part of the short prompts and of the long ones that are on time.
    min_on_time: [f64; 2],
}

const LOAD_CASES: [LoadCase; 5] = [
    LoadCase {
        name: "half of the capacity",
        load: 0.5,
        long_part: 0.1,
        long_from_ms: 0,
        lost_engines: 0,
        min_on_time: [0.9, 0.9],
    },
    LoadCase {
        name: "nine tenths of the capacity",
        load: 0.9,
        long_part: 0.1,
        long_from_ms: 0,
        lost_engines: 0,
        min_on_time: [0.5, 0.5],
    },
    LoadCase {
        name: "more than the capacity",
        load: 1.3,
        long_part: 0.1,
        long_from_ms: 0,
        lost_engines: 0,
        min_on_time: [0.0, 0.0],
    },
    LoadCase {
        name: "a wave of long prompts",
        load: 0.5,
        long_part: 0.2,
        long_from_ms: 6_000,
        lost_engines: 0,
        min_on_time: [0.9, 0.9],
    },
    LoadCase {
        name: "engines lost",
        load: 0.6,
        long_part: 0.1,
        long_from_ms: 0,
        lost_engines: 4,
        min_on_time: [0.9, 0.9],
    },
];

/// Parts of the short prompts (0) and the long ones (1) that are served, and that are on time.
#[derive(Debug, Default)]
struct Outcome {
    sent: [f64; 2],
    served: [f64; 2],
    on_time: [f64; 2],
}

/// A prompt at an engine: when its reading begins and ends.
struct Read {
    from_ms: f64,
    to_ms: f64,
}

/// One VM: its own observations and no messages.
struct Vm {
    choice: EndpointChoice,
    placement: PromptPlacement,
}

impl Vm {
    fn choose(
        &self,
        ms: u64,
        engines: &[Arc<Endpoint>],
        prefix: u64,
        size: PromptSize,
        divides: bool,
    ) -> Option<Arc<Endpoint>> {
        let data_centre = "a".parse().unwrap();
        let preference = self.placement.preference(&service(), size);
        let work = Work::Generation {
            prompt_prefix: prefix,
            prompt_tokens: size.shared_tokens + size.unshared_tokens,
            preference: preference.filter(|_| divides),
            preferred_data_centre: &data_centre,
        };
        let request = EndpointRequest {
            tried: &[],
            own_data_centre: &data_centre,
            may_retry: true,
            work,
        };
        self.choice.choose(at(ms), engines, request, |_| 1)
    }
}

/// Returns whether the engine reads for longer than the pause target without a break while the stream lasts.
fn is_held_up(reads: &[Read], from_ms: f64) -> bool {
    let mut busy = (f64::NEG_INFINITY, f64::NEG_INFINITY);
    reads.iter().any(|read| {
        busy = if read.from_ms <= busy.1 {
            (busy.0, read.to_ms)
        } else {
            (read.from_ms, read.to_ms)
        };
        let overlap_ms = busy.1.min(from_ms + STREAM_MS) - busy.0.max(from_ms);
        overlap_ms > PAUSE_TARGET_MS
    })
}

/// Replays a load: engines read one prompt after the other and the VMs choose them by their own observations.
fn replay(case: &LoadCase, seed: u64, divides: bool) -> Outcome {
    let mut random = StdRng::seed_from_u64(seed);
    let mut engines: Vec<_> = (0..ENGINES)
        .map(|n| endpoint(&format!("e-{n}"), "a"))
        .collect();
    let mut vms: Vec<Vm> = (0..VMS)
        .map(|_| Vm {
            choice: EndpointChoice::new(ChoiceConfig::default()),
            placement: PromptPlacement::default(),
        })
        .collect();
    let mut reads: HashMap<EndpointName, Vec<Read>> = HashMap::new();
    let mut ends: BinaryHeap<Reverse<(u64, usize)>> = BinaryHeap::new();
    let mut attempts: Vec<Option<(usize, StartedAttempt)>> = Vec::new();
    let mut streams: Vec<(EndpointName, f64, usize)> = Vec::new();
    let mut outcome = Outcome::default();
    let mut backlog_tokens = 0.0;
    for ms in 0..RUN_MS {
        if ms == RUN_MS / 2 {
            engines.truncate(ENGINES - case.lost_engines);
        }
        while let Some(Reverse((_, index))) = ends.peek().copied().filter(|end| end.0.0 <= ms) {
            ends.pop();
            let (vm, started) = attempts[index].take().unwrap();
            vms[vm]
                .choice
                .finish(at(ms), started, AttemptEnd::Answered(None));
        }
        backlog_tokens += case.load * TOKENS_PER_MS * ENGINES as f64;
        while backlog_tokens > 0.0 {
            let is_long = ms >= case.long_from_ms && random.random_bool(case.long_part);
            let size = match is_long {
                true => long(random.random_range(4_000..20_000)),
                false => short(),
            };
            backlog_tokens -= f64::from(size.unshared_tokens);
            let (vm, prefix) = (random.random_range(0..VMS), random.random_range(0..400));
            outcome.sent[usize::from(is_long)] += 1.0;
            vms[vm].placement.record(at(ms), &service(), size);
            let engine = vms[vm].choose(ms, &engines, prefix, size, divides).unwrap();
            let reads = reads.entry(engine.id.clone()).or_default();
            let from_ms = reads.last().map_or(0.0, |read| read.to_ms).max(ms as f64);
            let read_ms = f64::from(size.unshared_tokens) / TOKENS_PER_MS;
            if from_ms - ms as f64 > DEADLINE_MS {
                continue;
            }
            let to_ms = from_ms + read_ms;
            reads.push(Read { from_ms, to_ms });
            let started = vms[vm].choice.start(at(ms), &engine, size.unshared_tokens);
            ends.push(Reverse((to_ms as u64 + 1, attempts.len())));
            attempts.push(Some((vm, started)));
            outcome.served[usize::from(is_long)] += 1.0;
            let target_ms = if is_long {
                LONG_TARGET_MS
            } else {
                SHORT_TARGET_MS
            };
            if to_ms - ms as f64 <= target_ms {
                streams.push((engine.id.clone(), to_ms, usize::from(is_long)));
            }
        }
    }
    for (engine, from_ms, kind) in streams {
        if kind == 1 || !is_held_up(&reads[&engine], from_ms) {
            outcome.on_time[kind] += 1.0;
        }
    }
    outcome
}

/// Long prompts beside short ones: both kinds are on time where the engines can serve all; where they cannot,
/// neither is starved.
#[gtest]
fn long_and_short_prompts_are_both_on_time() {
    for case in &LOAD_CASES {
        for seed in [1, 2, 3] {
            let [before, after] = [false, true].map(|divides| replay(case, seed, divides));
            let part = |outcome: &Outcome, kind: usize| outcome.on_time[kind] / outcome.sent[kind];
            let served = |kind: usize| after.served[kind] / after.sent[kind];
            println!(
                "{} (seed {seed}): short {:.3} -> {:.3}, long {:.3} -> {:.3} on time; served {:.3}, {:.3}",
                case.name,
                part(&before, 0),
                part(&after, 0),
                part(&before, 1),
                part(&after, 1),
                served(0),
                served(1)
            );
            for kind in [0, 1] {
                let on_time = part(&after, kind);
                expect_that!(
                    on_time,
                    ge(case.min_on_time[kind]),
                    "{}, kind {kind}",
                    case.name
                );
                let all = (after.served[0] + after.served[1]) / (after.sent[0] + after.sent[1]);
                expect_that!(
                    served(kind),
                    ge(all / 2.0),
                    "{}, kind {kind} is starved",
                    case.name
                );
            }
            expect_that!(
                part(&after, 0),
                ge(part(&before, 0) - 0.01),
                "{}",
                case.name
            );
        }
    }
}

/// Returns the engines that long prompts prefer, by what one VM has seen.
fn long_engines(engines: &[Arc<Endpoint>], long_share: f64) -> Vec<EndpointName> {
    let prefers = |is_long| PromptPreference {
        is_long,
        long_share,
    };
    let order = |is_long| {
        let mut order = engines.to_vec();
        prefer_engines(&mut order, |engine| &engine.id, prefers(is_long));
        order.into_iter().map(|engine| engine.id.clone())
    };
    let short_first: Vec<_> = order(false).collect();
    let long_first: Vec<_> = order(true).collect();
    let is_last_for_short = |count: &usize| {
        let long = &long_first[..*count];
        short_first[engines.len() - count..]
            .iter()
            .all(|id| long.contains(id))
    };
    let count = (1..engines.len()).find(is_last_for_short).unwrap();
    long_first[..count].to_vec()
}

/// An engine that dies or a step of the share moves only the engines at the boundary.
#[gtest]
fn the_boundary_moves_without_moving_every_prefix() {
    let engines: Vec<_> = (0..40).map(|n| endpoint(&format!("e-{n}"), "a")).collect();
    for long_share in [0.125, 0.25, 0.5, 0.75] {
        let before = long_engines(&engines, long_share);
        expect_that!(before.len(), eq((40.0 * long_share) as usize));
        for lost in 0..engines.len() {
            let mut rest = engines.clone();
            let lost = rest.remove(lost);
            let after = long_engines(&rest, long_share);
            let moved = after.iter().filter(|id| !before.contains(id)).count();
            expect_that!(moved, le(1), "without {}", lost.id);
        }
        let more = long_engines(&engines, long_share + 0.125);
        expect_that!(before.iter().all(|id| more.contains(id)), eq(true));
    }
}

/// Mix that VMs see.
struct MixCase {
    name: &'static str,
    /// Prompts of one VM in a second, and the part of them that are long.
    prompts_per_s: u64,
    long_part: f64,
    /// Unshared tokens of the long ones, and the shared tokens of all.
    long_tokens: u32,
    shared_tokens: u32,
    /// Steps of sixteen that each VM may reach.
    steps: std::ops::RangeInclusive<u32>,
}

const MIX_CASES: [MixCase; 5] = [
    MixCase {
        name: "few long prompts",
        prompts_per_s: 20,
        long_part: 0.002,
        long_tokens: 8_000,
        shared_tokens: 500,
        steps: 0..=0,
    },
    MixCase {
        name: "long shared parts",
        prompts_per_s: 20,
        long_part: 0.0,
        long_tokens: 0,
        shared_tokens: 9_000,
        steps: 14..=14,
    },
    MixCase {
        name: "half of the load",
        prompts_per_s: 20,
        long_part: 0.1,
        long_tokens: 8_000,
        shared_tokens: 500,
        steps: 3..=12,
    },
    MixCase {
        name: "nearly all prompts are long",
        prompts_per_s: 20,
        long_part: 0.9,
        long_tokens: 8_000,
        shared_tokens: 500,
        steps: 14..=14,
    },
    MixCase {
        name: "half of the load, at VMs that see few prompts",
        prompts_per_s: 3,
        long_part: 0.1,
        long_tokens: 8_000,
        shared_tokens: 500,
        steps: 0..=14,
    },
];

/// VMs that see different requests of one mix divide the engines nearly in the same way, without a message.
#[gtest]
fn vms_agree_on_the_share_of_the_long_prompts() {
    for case in &MIX_CASES {
        let mut random = StdRng::seed_from_u64(1);
        let steps: Vec<u32> = (0..88)
            .map(|_| {
                let mut placement = PromptPlacement::default();
                let mut steps = 0;
                for n in 0..10 * case.prompts_per_s {
                    let is_long = random.random_bool(case.long_part);
                    let size = PromptSize {
                        shared_tokens: case.shared_tokens,
                        ..if is_long {
                            long(case.long_tokens)
                        } else {
                            short()
                        }
                    };
                    let now = at(n * 1_000 / case.prompts_per_s);
                    steps = placement.record(now, &service(), size).unwrap_or(steps);
                }
                steps
            })
            .collect();
        let mean = f64::from(steps.iter().sum::<u32>()) / 88.0;
        let off = steps.iter().map(|steps| (f64::from(*steps) - mean).abs());
        println!(
            "{}: mean {mean:.2} steps, {:.2} off",
            case.name,
            off.sum::<f64>() / 88.0
        );
        let is_in = |steps: &u32| case.steps.contains(steps);
        expect_that!(
            steps.iter().filter(|steps| is_in(steps)).count(),
            ge(84),
            "{}",
            case.name
        );
    }
}

/// The share follows a turn of the mix within two seconds, in both directions.
#[gtest]
fn the_share_follows_the_mix() {
    let mut placement = PromptPlacement::default();
    let mut reached = Vec::new();
    let mut steps = 0;
    for ms in (0..12_000).step_by(25) {
        let is_wave = (4_000..8_000).contains(&ms);
        let size = if is_wave && ms % 100 == 0 {
            long(10_000)
        } else {
            short()
        };
        steps = placement.record(at(ms), &service(), size).unwrap_or(steps);
        if [3_975, 6_000, 7_975, 11_975].contains(&ms) {
            reached.push(steps);
        }
    }
    expect_that!(reached, elements_are![eq(&0), ge(&8), ge(&8), le(&3)]);
}
