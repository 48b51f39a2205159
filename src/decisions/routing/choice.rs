//! Filters the endpoints that can take an attempt and picks one by the order of preference.

use rand::{Rng, RngExt};
use smallvec::SmallVec;

use crate::blackboard::Snapshot;
use crate::decisions::routing::score::{Usage, blended_load};
use crate::decisions::routing::{Choice, Policy, RouteRequest, Router};
use crate::manifest::{Endpoint, StageKind};
use crate::units::{EndpointName, Time};

/// Endpoint that can take the attempt now.
#[derive(Debug, Clone, Copy)]
struct Candidate<'a> {
    endpoint: &'a Endpoint,
    /// Part of the endpoint's capacity that is in use, 1 at full load.
    load: f64,
    /// Whether the endpoint probably has the prompt prefix cached.
    has_prefix: bool,
}

type Candidates<'a> = SmallVec<[Candidate<'a>; 16]>;

impl Router {
    /// Chooses the endpoint of an attempt. If there is one, the caller calls [`Router::start`]
    /// under the same lock, so that no other attempt takes the slot.
    pub fn choose(
        &mut self,
        now: Time,
        snapshot: &Snapshot,
        request: &RouteRequest<'_>,
        random: &mut impl Rng,
    ) -> Choice {
        self.update_catalogue(snapshot);
        let Some(catalogue) = &snapshot.catalogue else {
            return Choice::None;
        };
        let endpoints = catalogue.manifest.endpoints.iter();
        let offered: SmallVec<[&Endpoint; 16]> = endpoints
            .filter(|endpoint| offers(endpoint, request) && catalogue.accepts_work(endpoint))
            .collect();
        if offered.is_empty() {
            return Choice::None;
        }
        let free: Candidates<'_> = offered
            .iter()
            .filter(|endpoint| self.can_start(now, snapshot, request, endpoint))
            .map(|endpoint| self.candidate(now, snapshot, request, endpoint))
            .collect();
        let free = prefer(free, |item| {
            request.avoid != Some(&item.endpoint.data_centre)
        });
        let (pool, reason) = self.prefer_own_data_centre(now, snapshot, &offered, &free);
        self.pick(&pool, &free, reason, random)
    }

    /// Returns whether an attempt can start at an endpoint now: its model is loaded, a slot is
    /// free, and the circuits allow it.
    fn can_start(
        &self,
        now: Time,
        snapshot: &Snapshot,
        request: &RouteRequest<'_>,
        endpoint: &Endpoint,
    ) -> bool {
        let name = &endpoint.name;
        let model_allowed = request.stage.model.as_ref().is_none_or(|model| {
            is_loaded(snapshot, request, endpoint) && self.model_circuit(name, model).allows(now)
        });
        model_allowed && self.has_slot(now, snapshot, name) && self.circuit(name).allows(now)
    }

    /// Returns whether the grant of an endpoint allows one more attempt in flight.
    pub fn has_slot(&self, now: Time, snapshot: &Snapshot, endpoint: &EndpointName) -> bool {
        let Some(grant) = snapshot.grants.get(endpoint) else {
            return false;
        };
        let cold_sign_at = self.cold_sign_at.get(endpoint);
        let is_after_cold_sign =
            cold_sign_at.is_none_or(|at| grant.valid_until > *at + self.config.slots.grant_life);
        is_after_cold_sign && now < grant.valid_until && self.in_flight(endpoint) < grant.slots
    }

    fn candidate<'a>(
        &self,
        now: Time,
        snapshot: &Snapshot,
        request: &RouteRequest<'_>,
        endpoint: &'a Endpoint,
    ) -> Candidate<'a> {
        let is_cached = |prefix| {
            self.prefixes
                .is_probably_cached(now, prefix, &endpoint.name)
        };
        Candidate {
            endpoint,
            load: self.load(now, snapshot, endpoint),
            has_prefix: self.config.prefix_affinity && request.prefix.is_some_and(is_cached),
        }
    }

    fn load(&self, now: Time, snapshot: &Snapshot, endpoint: &Endpoint) -> f64 {
        let grant = snapshot.grants.get(&endpoint.name);
        let usage = Usage {
            in_flight: self.in_flight(&endpoint.name),
            granted: grant.map_or(0, |grant| grant.slots),
            slots: endpoint.slots,
            report: snapshot.loads.get(&endpoint.name),
        };
        blended_load(now, usage, &self.config.score)
    }

    /// Returns the free endpoints in the own data centre while the load of all its offered
    /// endpoints together is below the load limit, and all free endpoints otherwise; with the
    /// reason for the decision log.
    fn prefer_own_data_centre<'a>(
        &self,
        now: Time,
        snapshot: &Snapshot,
        offered: &[&Endpoint],
        free: &Candidates<'a>,
    ) -> (Candidates<'a>, &'static str) {
        let is_own = |endpoint: &Endpoint| endpoint.data_centre == self.data_centre;
        let own: Candidates<'a> = free
            .iter()
            .copied()
            .filter(|item| is_own(item.endpoint))
            .collect();
        if !self.config.own_data_centre_first || own.is_empty() {
            return (free.clone(), "any data centre");
        }
        let (mut used_slots, mut slots) = (0.0, 0.0);
        for endpoint in offered.iter().filter(|endpoint| is_own(endpoint)) {
            let weight = f64::from(endpoint.slots);
            used_slots += weight * self.load(now, snapshot, endpoint).min(1.0);
            slots += weight;
        }
        if used_slots < slots * self.config.load_limit {
            (own, "own data centre")
        } else {
            (free.clone(), "own data centre is loaded")
        }
    }

    /// Picks an endpoint from `pool` by the policy. Unless the policy is random, a free endpoint
    /// below the load limit that has the prefix cached is chosen instead if its load, less the
    /// prefix bonus, is lower.
    fn pick(
        &self,
        pool: &Candidates<'_>,
        free: &Candidates<'_>,
        reason: &'static str,
        random: &mut impl Rng,
    ) -> Choice {
        if pool.is_empty() {
            return Choice::Busy;
        }
        let first = random.random_range(0..pool.len());
        if self.config.policy == Policy::Random {
            return chosen(&pool[first], "random choice");
        }
        let second = (first + random.random_range(1..pool.len().max(2))) % pool.len();
        let lower = if pool[second].load < pool[first].load {
            &pool[second]
        } else {
            &pool[first]
        };
        let has_usable_prefix =
            |item: &&Candidate<'_>| item.has_prefix && item.load < self.config.load_limit;
        let cached = free.iter().filter(has_usable_prefix);
        let best = cached.min_by(|left, right| left.load.total_cmp(&right.load));
        match best {
            Some(best) if best.load - self.config.score.prefix_bonus < lower.load => {
                chosen(best, "prefix cached there")
            }
            _ => chosen(lower, reason),
        }
    }
}

/// Returns whether an endpoint is not excluded and runs the stage and its model.
fn offers(endpoint: &Endpoint, request: &RouteRequest<'_>) -> bool {
    let stage = request.stage;
    let model = stage.model.as_ref();
    endpoint.kind == stage.kind
        && endpoint.service == stage.service
        && model.is_none_or(|model| endpoint.models.contains(model))
        && !request.exclude.contains(&endpoint.name)
}

/// Returns whether the model of the stage counts as loaded at an endpoint. Engines report the
/// models that they have loaded. Endpoints of other services may have nothing to report, so an
/// empty report of theirs counts as loaded, like a missing report of any endpoint.
fn is_loaded(snapshot: &Snapshot, request: &RouteRequest<'_>, endpoint: &Endpoint) -> bool {
    let Some(model) = &request.stage.model else {
        return true;
    };
    let Some(report) = snapshot.loads.get(&endpoint.name) else {
        return true;
    };
    let reports_nothing = report.models.is_empty() && endpoint.kind != StageKind::Generate;
    reports_nothing || report.models.contains(model)
}

/// Returns the preferred endpoints of a pool, or the whole pool if none is preferred.
fn prefer<'a>(
    pool: Candidates<'a>,
    is_preferred: impl Fn(&Candidate<'a>) -> bool,
) -> Candidates<'a> {
    let preferred: Candidates<'a> = pool.iter().copied().filter(is_preferred).collect();
    if preferred.is_empty() {
        pool
    } else {
        preferred
    }
}

fn chosen(candidate: &Candidate<'_>, reason: &'static str) -> Choice {
    Choice::Endpoint {
        name: candidate.endpoint.name.clone(),
        reason,
    }
}
