//! Order of the work that waits for a shared service, and the shares of those who ask for it.
//!
//! Each piece of work gets a [`Lane`] when it arrives. Lanes run one after the other, and the order
//! within a lane is that of the queue. The lane depends on the priority, on what the organisation has
//! asked for lately and on the id of the request, so a request has much the same urgency in all queues
//! that it passes, whichever VM owns them (`docs/design/stage-order.md`).
//!
//! Handles a load of several priorities above the capacity of a service, and organisations that
//! ask for more than their share of it.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use crate::decisions::endpoint_choice::hash_of;
use crate::units::{OrganisationName, Time};

/// Highest number of a priority. Larger ones count as this one.
pub const MAX_PRIORITY: u8 = 9;

/// One of this many requests of each priority goes with the most urgent work. Without it a less urgent
/// kind of request would get no answer for as long as an overload lasts.
const FLOOR_DIVISOR: u64 = 3;
/// One of this many requests of each organisation counts as within its share, so that the less urgent
/// ones of an organisation whose urgent work takes up its share get an answer too. It is small because
/// the others pay for it.
const ORGANISATION_FLOOR_DIVISOR: u64 = 8;

/// Half-life of the observed rates. Bursts last seconds, and must be seen while they last.
const RATE_HALF_LIFE: Duration = Duration::from_millis(1_500);
/// Half-life of the usual demand of an organisation. It is longer than bursts, so that a burst of one
/// organisation hardly changes what the others get.
const USUAL_HALF_LIFE: Duration = Duration::from_secs(30);
/// Interval at which the shares of the organisations are calculated.
const SHARE_INTERVAL: Duration = Duration::from_millis(100);
/// Number of items below which a decayed rate is forgotten.
const MIN_ITEMS: f64 = 0.01;

/// What the order of work depends on, besides its time. It travels with the work.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Urgency {
    /// Priority of the request; 0 is the most urgent. `None` from builds that do not send it.
    pub priority: Option<u8>,
    /// The organisation of the request, if it has one.
    pub organisation: Option<OrganisationName>,
}

impl Urgency {
    /// Returns the priority within its range.
    fn rank(&self) -> Option<u8> {
        self.priority.map(|priority| priority.min(MAX_PRIORITY))
    }
}

/// Position of work in the order; the least lane runs first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Lane {
    /// Work that runs with the most urgent lane that waits: the floor of each priority, and work
    /// without a priority.
    Front,
    /// Work of a priority.
    Priority(u8),
    /// Work of a priority that is beyond the share of its organisation.
    BeyondShare(u8),
}

/// Number of items that decays with time.
#[derive(Debug, Clone, Copy)]
struct DecayingCount {
    half_life: Duration,
    items: f64,
    at: Time,
}

impl DecayingCount {
    fn new(half_life: Duration) -> Self {
        Self {
            half_life,
            items: 0.0,
            at: Time::ZERO,
        }
    }

    fn add(&mut self, now: Time, items: f64) {
        self.items = self.at(now) + items;
        self.at = now;
    }

    fn at(&self, now: Time) -> f64 {
        let half_lives = now.since(self.at).as_secs_f64() / self.half_life.as_secs_f64();
        self.items * (-half_lives).exp2()
    }
}

/// Demand of one organisation.
#[derive(Debug)]
struct Demand {
    by_priority: BTreeMap<u8, DecayingCount>,
    usual: DecayingCount,
}

impl Demand {
    fn new() -> Self {
        Self {
            by_priority: BTreeMap::new(),
            usual: DecayingCount::new(USUAL_HALF_LIFE),
        }
    }

    fn add(&mut self, now: Time, priority: u8, items: f64) {
        let count = self.by_priority.entry(priority);
        let count = count.or_insert_with(|| DecayingCount::new(RATE_HALF_LIFE));
        count.add(now, items);
        self.usual.add(now, items);
    }

    fn at(&self, now: Time) -> f64 {
        self.by_priority.values().map(|count| count.at(now)).sum()
    }
}

/// How work is divided while there is not enough for all.
#[derive(Debug, Clone, Copy)]
struct Division {
    /// Mean of the usual demands. An organisation's weight is this and its own usual demand.
    mean_usual: f64,
    /// Items for each unit of weight.
    items_per_weight: f64,
}

impl Division {
    /// Returns the items that an organisation may have, as a decayed count.
    fn share(&self, now: Time, demand: &Demand) -> f64 {
        self.items_per_weight * (demand.usual.at(now) + self.mean_usual)
    }
}

/// Observed demand of the organisations for one service, and what the service has run.
#[derive(Debug)]
pub struct WorkShares {
    demand: HashMap<Option<OrganisationName>, Demand>,
    run: DecayingCount,
    /// `None` while there is enough for all.
    division: Option<Division>,
    calculated_at: Time,
}

impl Default for WorkShares {
    fn default() -> Self {
        Self {
            demand: HashMap::new(),
            run: DecayingCount::new(RATE_HALF_LIFE),
            division: None,
            calculated_at: Time::ZERO,
        }
    }
}

impl WorkShares {
    /// Records that work arrives, and returns its lane. Shares are limited only while the queue
    /// `is_backlogged`, because there is enough for all otherwise. The service runs `full_items_per_s` with
    /// full calls.
    pub fn on_arrival(
        &mut self,
        now: Time,
        urgency: &Urgency,
        request: &str,
        items: u32,
        is_backlogged: bool,
        full_items_per_s: f64,
    ) -> Lane {
        let Some(priority) = urgency.rank() else {
            return Lane::Front;
        };
        let demand = self.demand.entry(urgency.organisation.clone());
        let demand = demand.or_insert_with(Demand::new);
        demand.add(now, priority, f64::from(items));
        if !is_backlogged {
            self.division = None;
        } else if now.since(self.calculated_at) >= SHARE_INTERVAL {
            self.calculated_at = now;
            self.division = self.divide(now, full_items_per_s);
        }
        let draw = hash_of(request);
        // The upper half of the draw decides on the share, the lower one on the floor.
        let position = (draw >> 32) as f64 / f64::from(u32::MAX);
        let floor = 1.0 / ORGANISATION_FLOOR_DIVISOR as f64;
        let within_share = self.fraction_within_share(now, urgency, priority);
        if position > within_share.max(floor) {
            return Lane::BeyondShare(priority);
        }
        match (draw & u64::from(u32::MAX)).is_multiple_of(FLOOR_DIVISOR) {
            true => Lane::Front,
            false => Lane::Priority(priority),
        }
    }

    /// Records that items were sent to endpoints.
    pub fn on_run(&mut self, now: Time, items: usize) {
        self.run.add(now, items as f64);
    }

    /// Returns the number of items a second that arrive with a more urgent lane than the given one.
    pub fn more_urgent_per_s(&self, now: Time, lane: Lane) -> f64 {
        let is_more_urgent = |priority: &u8| match lane {
            Lane::Front => false,
            Lane::Priority(own) => *priority < own,
            Lane::BeyondShare(_) => true,
        };
        let demand = self.demand.values();
        let by_priority = demand.flat_map(|demand| &demand.by_priority);
        let more_urgent = by_priority.filter(|(priority, _)| is_more_urgent(priority));
        let items: f64 = more_urgent.map(|(_, count)| count.at(now)).sum();
        items * std::f64::consts::LN_2 / RATE_HALF_LIFE.as_secs_f64()
    }

    /// Returns the fraction of the work of an organisation with a priority that is within its
    /// share. The more urgent work of the organisation has its share first.
    fn fraction_within_share(&self, now: Time, urgency: &Urgency, priority: u8) -> f64 {
        let demand = self.demand.get(&urgency.organisation);
        let (Some(division), Some(demand)) = (self.division, demand) else {
            return 1.0;
        };
        let more_urgent = demand.by_priority.range(..priority);
        let used: f64 = more_urgent.map(|(_, count)| count.at(now)).sum();
        let own = demand.by_priority.get(&priority);
        let own = own.map_or(0.0, |count| count.at(now));
        let share = division.share(now, demand);
        ((share - used) / own.max(MIN_ITEMS)).clamp(0.0, 1.0)
    }

    /// Divides what the service has run lately among the organisations by their weights, so that none
    /// gets more than it asks for (weighted max-min fairness). Returns nothing if there is enough for
    /// all, or only one organisation.
    fn divide(&mut self, now: Time, full_items_per_s: f64) -> Option<Division> {
        let is_kept = |demand: &Demand| demand.usual.at(now) >= MIN_ITEMS;
        self.demand.retain(|_, demand| is_kept(demand));
        let count = self.demand.len();
        if count < 2 {
            return None;
        }
        let usual = self.demand.values().map(|demand| demand.usual.at(now));
        let mean_usual = usual.sum::<f64>() / count as f64;
        let weighted = self.demand.values();
        let weighted = weighted.map(|demand| (demand.at(now), demand.usual.at(now) + mean_usual));
        let mut weighted: Vec<(f64, f64)> = weighted.collect();
        weighted.sort_by(|a, b| f64::total_cmp(&(a.0 / a.1), &(b.0 / b.1)));
        // A queue that has just started, or whose endpoints stood still, has run little and is about to
        // run much more.
        let mean_age_s = RATE_HALF_LIFE.as_secs_f64() / std::f64::consts::LN_2;
        let (run, full) = (self.run.at(now), full_items_per_s * mean_age_s);
        let mut items_left = if run < full / 2.0 { full } else { run };
        let mut weight_left: f64 = weighted.iter().map(|(_, weight)| weight).sum();
        for (demand, weight) in weighted {
            let items_per_weight = items_left / weight_left;
            if demand > items_per_weight * weight {
                return Some(Division {
                    mean_usual,
                    items_per_weight,
                });
            }
            items_left -= demand;
            weight_left -= weight;
        }
        None
    }
}
