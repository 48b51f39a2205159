//! Generates the arrival times of requests from a seed.
//!
//! The load is open-loop: a request is sent without waiting for the answers to earlier ones,
//! because the real callers, clerks and agents of different offices, act independently.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::fleet::Allowance;
use super::scenario::{EventKind, OrganisationLoad, Scenario};
use crate::units::{OrganisationName, PipelineName};

/// One scheduled request.
#[derive(Debug, Clone, PartialEq)]
pub struct Arrival {
    /// Scheduled time of sending, since the start of the run.
    pub at: Duration,
    /// Index of the organisation in the scenario.
    pub organisation: usize,
    /// Index of the caller within the organisation.
    pub caller: usize,
    /// Pipeline that the request calls.
    pub pipeline: PipelineName,
    /// Whether the organisation stays within its rate and burst. Also false for one deadline
    /// after an arrival that exceeded them, because that request may still be waiting for
    /// quota and delay the requests after it.
    pub inside_rate: bool,
}

/// Returns all arrivals of a scenario in order of time. The same seed gives the same arrivals.
pub fn schedule(
    scenario: &Scenario,
    seed: u64,
    allowances: &BTreeMap<OrganisationName, Allowance>,
) -> Vec<Arrival> {
    let mut arrivals = Vec::new();
    for (index, organisation) in scenario.organisations.iter().enumerate() {
        // Each organisation has its own random stream, so that changing one organisation
        // leaves the arrivals of the others unchanged.
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        random.set_stream(index as u64);
        let times = arrival_times(scenario, organisation, &mut random);
        arrivals.extend(times.into_iter().filter_map(|at| {
            Some(Arrival {
                at,
                organisation: index,
                caller: random.random_range(0..organisation.callers),
                pipeline: pick_pipeline(&organisation.pipelines, &mut random)?,
                inside_rate: true,
            })
        }));
    }
    arrivals.sort_by_key(|arrival| (arrival.at, arrival.organisation));
    arrivals.truncate(scenario.max_requests);
    mark_inside_rate(scenario, allowances, &mut arrivals);
    arrivals
}

/// Draws the arrival times of one organisation: a Poisson process whose rate changes at
/// `rate` events. The process is memoryless, so at each change of rate the time to the next
/// arrival is drawn again.
fn arrival_times(
    scenario: &Scenario,
    organisation: &OrganisationLoad,
    random: &mut impl Rng,
) -> Vec<Duration> {
    let mut rate_changes: Vec<(f64, f64)> = scenario
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
    rate_changes.sort_by(|one, other| one.0.total_cmp(&other.0));
    rate_changes.push((scenario.duration_s, 0.0));
    let (mut times, mut now, mut factor) = (Vec::new(), 0.0, 1.0);
    for (change_at, next_factor) in rate_changes {
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

/// Picks a pipeline at random, with its relative frequency as the weight.
fn pick_pipeline(
    pipelines: &BTreeMap<PipelineName, u32>,
    random: &mut impl Rng,
) -> Option<PipelineName> {
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

/// Token bucket that models the quota of one organisation. It starts full, because the fleet
/// is idle before the run.
struct TokenBucket {
    tokens: f64,
    filled_at: Duration,
    /// Time of the latest arrival that found no token.
    exceeded_at: Option<Duration>,
}

/// Sets [`Arrival::inside_rate`] of all arrivals, which must be in order of time.
fn mark_inside_rate(
    scenario: &Scenario,
    allowances: &BTreeMap<OrganisationName, Allowance>,
    arrivals: &mut [Arrival],
) {
    let mut buckets: BTreeMap<&OrganisationName, TokenBucket> = BTreeMap::new();
    for arrival in arrivals {
        let organisation = &scenario.organisations[arrival.organisation];
        let Some(allowance) = allowances.get(&organisation.name) else {
            continue;
        };
        let bucket = buckets.entry(&organisation.name).or_insert(TokenBucket {
            tokens: allowance.burst,
            filled_at: Duration::ZERO,
            exceeded_at: None,
        });
        let refill = (arrival.at - bucket.filled_at).as_secs_f64() * allowance.rate_per_second;
        bucket.tokens = (bucket.tokens + refill).min(allowance.burst);
        bucket.filled_at = arrival.at;
        if bucket.tokens >= 1.0 {
            bucket.tokens -= 1.0;
        } else {
            bucket.exceeded_at = Some(arrival.at);
        }
        let deadline = Duration::from_millis(organisation.deadline_ms);
        arrival.inside_rate = bucket
            .exceeded_at
            .is_none_or(|exceeded_at| arrival.at > exceeded_at + deadline);
    }
}
