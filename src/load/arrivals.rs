//! Arrival times from a seed. Callers do not wait for answers before they send more, as
//! clerks and agents of different offices do not.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::fleet::Allowance;
use super::scenario::{EventKind, OrganisationLoad, Scenario};
use crate::units::{OrganisationName, PipelineName};

/// One request to send.
#[derive(Debug, Clone, PartialEq)]
pub struct Arrival {
    /// Time since the start of the run.
    pub at: Duration,
    /// Index of the organisation in the scenario.
    pub organisation: usize,
    /// Index of the caller within the organisation.
    pub caller: usize,
    /// The pipeline.
    pub pipeline: PipelineName,
    /// Whether the organisation was inside its rate and burst. False also for the length of
    /// a deadline after an arrival beyond them, because that one may still wait and delay
    /// those behind it.
    pub inside_rate: bool,
}

/// Returns all arrivals of a scenario in order. The same seed gives the same arrivals.
pub fn schedule(
    scenario: &Scenario,
    seed: u64,
    allowances: &BTreeMap<OrganisationName, Allowance>,
) -> Vec<Arrival> {
    let mut arrivals = Vec::new();
    for (index, organisation) in scenario.organisations.iter().enumerate() {
        // Each organisation has its own source, so that a change to one leaves the others.
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        random.set_stream(index as u64);
        let times = times_of(scenario, organisation, &mut random);
        arrivals.extend(times.into_iter().filter_map(|at| {
            Some(Arrival {
                at,
                organisation: index,
                caller: random.random_range(0..organisation.callers),
                pipeline: pick(&organisation.pipelines, &mut random)?,
                inside_rate: true,
            })
        }));
    }
    arrivals.sort_by_key(|arrival| (arrival.at, arrival.organisation));
    arrivals.truncate(scenario.max_requests);
    mark_inside(scenario, allowances, &mut arrivals);
    arrivals
}

/// A Poisson process whose rate changes at events. It has no memory, so that at a change
/// the time to the next arrival is drawn anew.
fn times_of(
    scenario: &Scenario,
    organisation: &OrganisationLoad,
    random: &mut impl Rng,
) -> Vec<Duration> {
    let mut changes: Vec<(f64, f64)> = scenario
        .events
        .iter()
        .filter_map(|event| match &event.kind {
            EventKind::Rate {
                organisation: name,
                factor,
            } if *name == organisation.name => Some((event.at_s, *factor)),
            _ => None,
        })
        .collect();
    changes.sort_by(|one, other| one.0.total_cmp(&other.0));
    changes.push((scenario.duration_s, 0.0));
    let (mut times, mut now, mut factor) = (Vec::new(), 0.0, 1.0);
    for (change_at, next_factor) in changes {
        let end = change_at.min(scenario.duration_s);
        let rate = organisation.rate_per_second * factor;
        while rate > 0.0 && times.len() < scenario.max_requests {
            let uniform: f64 = random.random();
            let next = now - (1.0 - uniform).ln() / rate;
            if next >= end {
                break;
            }
            now = next;
            times.push(Duration::from_secs_f64(now));
        }
        (now, factor) = (end.max(now), next_factor);
    }
    times
}

fn pick(pipelines: &BTreeMap<PipelineName, u32>, random: &mut impl Rng) -> Option<PipelineName> {
    let total: u32 = pipelines.values().sum();
    let mut left = random.random_range(0..total.max(1));
    for (name, weight) in pipelines {
        if left < *weight {
            return Some(name.clone());
        }
        left -= weight;
    }
    None
}

/// A token bucket that starts full, since the fleet stood idle before.
struct Bucket {
    tokens: f64,
    filled_at: Duration,
    over_at: Option<Duration>,
}

fn mark_inside(
    scenario: &Scenario,
    allowances: &BTreeMap<OrganisationName, Allowance>,
    arrivals: &mut [Arrival],
) {
    let mut buckets: BTreeMap<&OrganisationName, Bucket> = BTreeMap::new();
    for arrival in arrivals {
        let organisation = &scenario.organisations[arrival.organisation];
        let Some(allowance) = allowances.get(&organisation.name) else {
            continue;
        };
        let bucket = buckets.entry(&organisation.name).or_insert(Bucket {
            tokens: allowance.burst,
            filled_at: Duration::ZERO,
            over_at: None,
        });
        let refill = (arrival.at - bucket.filled_at).as_secs_f64() * allowance.rate_per_second;
        bucket.tokens = (bucket.tokens + refill).min(allowance.burst);
        bucket.filled_at = arrival.at;
        if bucket.tokens >= 1.0 {
            bucket.tokens -= 1.0;
        } else {
            bucket.over_at = Some(arrival.at);
        }
        let deadline = Duration::from_millis(organisation.deadline_ms);
        arrival.inside_rate = bucket
            .over_at
            .is_none_or(|over| arrival.at > over + deadline);
    }
}
