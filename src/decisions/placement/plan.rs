//! Which order comes next.

use crate::blackboard::Catalogue;
use crate::decisions::placement::{EngineReport, OrderKind, OrderReason, Placement};
use crate::manifest::{Endpoint, Model, StageKind};
use crate::units::{EndpointName, ModelName, Time};

type Planned = (EndpointName, OrderKind, OrderReason);

/// An engine that can take an order now.
struct Ready<'a> {
    endpoint: &'a Endpoint,
    report: &'a EngineReport,
}

impl Placement {
    pub(super) fn next_order(
        &self,
        now: Time,
        seen_from: Time,
        may_load: bool,
        catalogue: &Catalogue,
    ) -> Option<Planned> {
        let ready = self.ready_engines(now, seen_from, catalogue);
        let load = may_load.then(|| {
            let mut models = catalogue.manifest.models.iter();
            models.find_map(|model| self.load_order(now, model, &ready, catalogue))
        });
        load.flatten()
            .or_else(|| unload_not_allowed(&ready))
            .or_else(|| self.unload_surplus(&ready, catalogue))
    }

    /// Engines that were heard lately in this epoch and have no order under way.
    fn ready_engines<'a>(
        &'a self,
        now: Time,
        seen_from: Time,
        catalogue: &'a Catalogue,
    ) -> Vec<Ready<'a>> {
        let engines = engines_in_service(catalogue);
        let ready = engines.filter_map(|endpoint| {
            let report = self.reports.get(&endpoint.name)?;
            let lately = now.since(report.read_at) < self.config.report_life;
            let is_ready = lately
                && report.read_at >= seen_from
                && report.loading.is_empty()
                && !self.issued.contains_key(&endpoint.name);
            is_ready.then_some(Ready { endpoint, report })
        });
        ready.collect()
    }

    fn load_order(
        &self,
        now: Time,
        model: &Model,
        ready: &[Ready<'_>],
        catalogue: &Catalogue,
    ) -> Option<Planned> {
        let holders = self.holders(&model.name, catalogue);
        let holding = u32::try_from(holders.len()).unwrap_or(u32::MAX);
        if holding >= model.wanted_engines {
            return None;
        }
        let suitable = ready.iter().filter(|engine| {
            engine.endpoint.models.contains(&model.name)
                && !engine.report.loaded.contains(&model.name)
                && self.backoff.allows(now, &engine.endpoint.name, &model.name)
        });
        let best = suitable.min_by_key(|engine| {
            let centre = &engine.endpoint.data_centre;
            let neighbours = holders.iter().filter(|other| other.data_centre == *centre);
            let models = engine.report.loaded.len();
            (neighbours.count(), models, &engine.endpoint.name)
        })?;
        let reason = OrderReason::TooFew {
            holding,
            wanted: model.wanted_engines,
        };
        let kind = OrderKind::Load(model.name.clone());
        Some((best.endpoint.name.clone(), kind, reason))
    }

    /// Engines in service that hold a model, load it or are ordered to.
    fn holders<'a>(&self, model: &ModelName, catalogue: &'a Catalogue) -> Vec<&'a Endpoint> {
        let holds = |endpoint: &&Endpoint| {
            let report = self.reports.get(&endpoint.name);
            let issued = self.issued.get(&endpoint.name);
            let ordered =
                issued.is_some_and(|issued| issued.kind == OrderKind::Load(model.clone()));
            let reported = report.is_some_and(|report| {
                report.loaded.contains(model) || report.loading.contains(model)
            });
            ordered || reported
        };
        engines_in_service(catalogue).filter(holds).collect()
    }

    /// Unloads where more models stay loaded, once enough engines surely hold the model.
    fn unload_surplus(&self, ready: &[Ready<'_>], catalogue: &Catalogue) -> Option<Planned> {
        catalogue.manifest.models.iter().find_map(|model| {
            let holding = ready
                .iter()
                .filter(|engine| engine.report.loaded.contains(&model.name));
            let count = u32::try_from(holding.clone().count()).unwrap_or(u32::MAX);
            if count <= model.wanted_engines {
                return None;
            }
            let most =
                holding.max_by_key(|engine| (engine.report.loaded.len(), &engine.endpoint.name))?;
            let reason = OrderReason::TooMany {
                holding: count,
                wanted: model.wanted_engines,
            };
            let kind = OrderKind::Unload(model.name.clone());
            Some((most.endpoint.name.clone(), kind, reason))
        })
    }
}

fn engines_in_service(catalogue: &Catalogue) -> impl Iterator<Item = &Endpoint> {
    let endpoints = catalogue.manifest.endpoints.iter();
    endpoints
        .filter(|endpoint| endpoint.kind == StageKind::Generate && catalogue.accepts_work(endpoint))
}

fn unload_not_allowed(ready: &[Ready<'_>]) -> Option<Planned> {
    ready.iter().find_map(|engine| {
        let mut loaded = engine.report.loaded.iter();
        let surplus = loaded.find(|model| !engine.endpoint.models.contains(model))?;
        let kind = OrderKind::Unload(surplus.clone());
        Some((engine.endpoint.name.clone(), kind, OrderReason::NotAllowed))
    })
}
