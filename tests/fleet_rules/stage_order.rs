//! Guards the order of stage jobs of several priorities and organisations under more load than their
//! service bears, replayed against simulated endpoints and compared with jobs without an urgency,
//! which run in the order of earlier builds.

use std::collections::BTreeMap;

use googletest::prelude::*;
use primrosewalk::decisions::batching::{ItemInput, Job};
use primrosewalk::decisions::stage_groups::GroupId;
use primrosewalk::decisions::work_order::Urgency;
use primrosewalk::fleet::stage_jobs::{decode_job, encode_job};
use primrosewalk::fleet::wire::StageJob;
use prost::Message;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::at;
use crate::batching::{Replay, job, nominal_call, three_endpoints};

/// Items that the three endpoints of a replay run in a second, with full calls.
const CAPACITY_PER_S: f64 = 66.7;

/// A job arrives with each step of one millisecond with a probability that follows the load.
struct Load {
    /// Multiple of the capacity by the time in milliseconds.
    factor: fn(u64) -> f64,
    /// Length in milliseconds.
    length_ms: u64,
    /// Priority and organisation of a job by a random number below 1 and its arrival.
    kind: fn(f64, u64) -> (u8, &'static str),
}

impl Load {
    fn arrivals(&self, seed: u64) -> Vec<(u64, Job)> {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut arrivals = Vec::new();
        for ms in 0..self.length_ms {
            let items = random.random_range(1..=2);
            let per_ms = (self.factor)(ms) * CAPACITY_PER_S / 1_000.0 / 1.5;
            let (priority, organisation) = (self.kind)(random.random(), ms);
            if random.random_bool(per_ms) {
                let mut job = job(arrivals.len() as u64, ms, items);
                job.urgency = Urgency {
                    priority: Some(priority),
                    organisation: Some(organisation.parse().unwrap()),
                };
                arrivals.push((ms, job));
            }
        }
        arrivals
    }
}

/// Served and on-time fractions of the jobs of one kind.
#[derive(Debug, Clone, Copy, Default)]
struct Served {
    jobs: f64,
    served: f64,
    on_time: f64,
}

/// Replays the arrivals, with their urgency or without, and returns what the kinds of jobs got.
fn replay<K: Ord>(
    arrivals: &[(u64, Job)],
    has_urgency: bool,
    kind: impl Fn(&Job) -> K,
) -> BTreeMap<K, Served> {
    let mut sent = arrivals.to_vec();
    if !has_urgency {
        sent.iter_mut()
            .for_each(|(_, job)| job.urgency = Urgency::default());
    }
    let mut replay = Replay::new(three_endpoints());
    let until_ms = arrivals.last().map_or(0, |(ms, _)| ms + 8_000);
    replay.run(&sent, until_ms, &nominal_call);
    let mut kinds: BTreeMap<K, Served> = BTreeMap::new();
    for (_, job) in arrivals {
        let end = replay.ends.get(&job.id.0).filter(|(_, end)| end.is_ok());
        let served = kinds.entry(kind(job)).or_default();
        served.jobs += 1.0;
        served.served += f64::from(u8::from(end.is_some()));
        served.on_time += f64::from(u8::from(end.is_some_and(|(ms, _)| at(*ms) <= job.due)));
    }
    for served in kinds.values_mut() {
        served.served /= served.jobs;
        served.on_time /= served.jobs;
    }
    kinds
}

/// Returns the fraction of all jobs that were served.
fn all_served<K>(kinds: &BTreeMap<K, Served>) -> f64 {
    let jobs: f64 = kinds.values().map(|kind| kind.jobs).sum();
    let served = kinds.values().map(|kind| kind.jobs * kind.served);
    served.sum::<f64>() / jobs
}

fn priority(job: &Job) -> u8 {
    job.urgency.priority.unwrap()
}

fn by_thirds(draw: f64, _ms: u64) -> (u8, &'static str) {
    ((draw * 3.0) as u8, "o")
}

/// Requests of three priorities together ask for 1.5 times the capacity for 20 s: the most urgent are
/// served on time, and the least urgent are not starved.
#[gtest]
fn the_most_urgent_are_on_time_and_the_least_urgent_not_starved_at_one_and_a_half_times_the_capacity()
 {
    let load = Load {
        factor: |_| 1.5,
        length_ms: 20_000,
        kind: by_thirds,
    };
    for seed in 0..5 {
        let arrivals = load.arrivals(seed);
        let (before, after) = (
            replay(&arrivals, false, priority),
            replay(&arrivals, true, priority),
        );
        println!("seed {seed}: before {before:?}\n after {after:?}");
        expect_that!(after[&0].on_time, ge(0.95));
        expect_that!(after[&0].served, ge(after[&1].served));
        expect_that!(after[&1].served, ge(after[&2].served));
        // Fewer than a quarter as many as of all counts as starved.
        expect_that!(after[&2].served, ge(all_served(&after) / 4.0));
        expect_that!(all_served(&after), ge(all_served(&before) - 0.05));
    }
}

/// A burst of 1.7 times the capacity for 5 s within a load of 0.8: the most urgent stay on time, and
/// no more jobs are refused than in the order of earlier builds.
#[gtest]
fn a_burst_leaves_the_most_urgent_on_time() {
    let load = Load {
        factor: |ms| {
            if (4_000..9_000).contains(&ms) {
                1.7
            } else {
                0.8
            }
        },
        length_ms: 14_000,
        kind: by_thirds,
    };
    for seed in 0..5 {
        let arrivals = load.arrivals(seed);
        let (before, after) = (
            replay(&arrivals, false, priority),
            replay(&arrivals, true, priority),
        );
        println!("seed {seed}: before {before:?}\n after {after:?}");
        expect_that!(after[&0].on_time, ge(0.95));
        expect_that!(all_served(&after), ge(all_served(&before) - 0.05));
    }
}

/// One of eight organisations asks for ten times as much from second 10 on: the others are served as
/// before, and it gets what they leave.
#[gtest]
fn an_organisation_with_tenfold_load_does_not_crowd_out_the_others() {
    const OTHERS: [&str; 7] = ["a", "b", "c", "d", "e", "f", "g"];
    // Before the rise, all eight ask for 0.8 of the capacity together.
    let load = Load {
        factor: |ms| if ms < 10_000 { 0.8 } else { 1.7 },
        length_ms: 25_000,
        kind: |draw, ms| {
            let large = if ms < 10_000 { 1.0 / 8.0 } else { 10.0 / 17.0 };
            if draw < large {
                return (1, "large");
            }
            let position = (draw - large) / (1.0 - large) * OTHERS.len() as f64;
            (1, OTHERS[position as usize])
        },
    };
    let is_large = |job: &Job| job.urgency.organisation.as_ref().unwrap().as_str() == "large";
    for seed in 0..5 {
        let arrivals = load.arrivals(seed);
        let (before, after) = (
            replay(&arrivals, false, is_large),
            replay(&arrivals, true, is_large),
        );
        let mut without_large = arrivals.clone();
        without_large.retain(|(_, job)| !is_large(job));
        let alone = replay(&without_large, true, is_large);
        println!("seed {seed}: before {before:?}\n after {after:?}\n alone {alone:?}");
        // The rise is seen within a second or so; until then they share what there is.
        expect_that!(after[&false].served, ge(alone[&false].served - 0.05));
        expect_that!(after[&false].served, gt(before[&false].served));
        expect_that!(after[&true].served, ge(all_served(&after) / 4.0));
    }
}

/// Jobs of one priority and one organisation run in the order of jobs without an urgency.
#[gtest]
fn one_kind_of_work_runs_in_the_order_of_earlier_builds() {
    let load = Load {
        factor: |_| 1.5,
        length_ms: 6_000,
        kind: |_, _| (2, "o"),
    };
    let arrivals = load.arrivals(1);
    let mut ends = Vec::new();
    for has_urgency in [true, false] {
        let mut sent = arrivals.clone();
        if !has_urgency {
            sent.iter_mut()
                .for_each(|(_, job)| job.urgency = Urgency::default());
        }
        let mut replay = Replay::new(three_endpoints());
        replay.run(&sent, 14_000, &nominal_call);
        ends.push(replay.ends.into_iter().collect::<BTreeMap<_, _>>());
    }
    expect_that!(ends[0], eq(&ends[1]));
}

/// A job keeps its urgency on its way to the owner of a queue, and to the next owner when that one
/// dies. Earlier builds send none, and ignore the one that they get.
#[gtest]
fn urgency_travels_with_a_job() {
    struct Case {
        name: &'static str,
        urgency: Urgency,
    }
    let cases = [
        Case {
            name: "priority and organisation",
            urgency: Urgency {
                priority: Some(0),
                organisation: Some("o".parse().unwrap()),
            },
        },
        Case {
            name: "no organisation",
            urgency: Urgency {
                priority: Some(7),
                organisation: None,
            },
        },
        Case {
            name: "earlier build",
            urgency: Urgency::default(),
        },
    ];
    let group: GroupId = "s@a#0".parse().unwrap();
    for case in cases {
        let mut sent = job(1, 0, 3);
        sent.urgency = case.urgency.clone();
        let mut received = sent.clone();
        for _owner in 0..2 {
            let bytes = encode_job(&group, &received, true, at(10)).encode_to_vec();
            let wire = StageJob::decode(&*bytes).unwrap();
            received = decode_job(wire, at(10));
        }
        expect_that!(received.urgency, eq(&case.urgency), "{}", case.name);
        expect_that!(received.due, eq(sent.due), "{}", case.name);
        expect_that!(
            received.input,
            eq(&ItemInput::Key("k".into())),
            "{}",
            case.name
        );
    }
}
