//! Choice of the next order.

use crate::blackboard::Catalogue;
use crate::decisions::placement::{EngineReport, OrderKind, OrderReason, Placement};
use crate::manifest::{Endpoint, Model, StageKind};
use crate::units::{EndpointName, ModelName, Time};

/// An order to an engine before it gets its fencing number.
type PlannedOrder = (EndpointName, OrderKind, OrderReason);

/// An engine that can get an order now, with its newest report.
struct ReadyEngine<'a> {
    endpoint: &'a Endpoint,
    report: &'a EngineReport,
}

impl Placement {
    /// Returns the next order, if one is needed: first a load (if `may_load` is set), then an
    /// unload of a model that the manifest does not list, then an unload of a surplus model.
    pub(super) fn next_order(
        &self,
        now: Time,
        conclusive_from: Time,
        may_load: bool,
        catalogue: &Catalogue,
    ) -> Option<PlannedOrder> {
        let ready = self.ready_engines(now, conclusive_from, catalogue);
        let load = may_load.then(|| {
            let mut models = catalogue.manifest.models.iter();
            models.find_map(|model| self.load_order(now, model, &ready, catalogue))
        });
        load.flatten()
            .or_else(|| unload_not_allowed(&ready))
            .or_else(|| self.unload_surplus(&ready, catalogue))
    }

    /// Returns the engines that reported recently, not before `conclusive_from`, and that have no
    /// load or order in progress.
    fn ready_engines<'a>(
        &'a self,
        now: Time,
        conclusive_from: Time,
        catalogue: &'a Catalogue,
    ) -> Vec<ReadyEngine<'a>> {
        let engines = engines_in_service(catalogue);
        let ready = engines.filter_map(|endpoint| {
            let report = self.reports.get(&endpoint.name)?;
            let is_recent = now.since(report.read_at) < self.config.max_report_age;
            let is_ready = is_recent
                && report.read_at >= conclusive_from
                && report.loading.is_empty()
                && !self.issued.contains_key(&endpoint.name);
            is_ready.then_some(ReadyEngine { endpoint, report })
        });
        ready.collect()
    }

    /// Returns an order to load a model that too few engines hold. It prefers an engine in the
    /// data centre with the fewest holders of the model, then one with the fewest models.
    fn load_order(
        &self,
        now: Time,
        model: &Model,
        ready: &[ReadyEngine<'_>],
        catalogue: &Catalogue,
    ) -> Option<PlannedOrder> {
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
            let data_centre = &engine.endpoint.data_centre;
            let in_same_data_centre = holders
                .iter()
                .filter(|other| other.data_centre == *data_centre);
            let models = engine.report.loaded.len();
            (in_same_data_centre.count(), models, &engine.endpoint.name)
        })?;
        let reason = OrderReason::TooFew {
            holding,
            wanted: model.wanted_engines,
        };
        let kind = OrderKind::Load(model.name.clone());
        Some((best.endpoint.name.clone(), kind, reason))
    }

    /// Returns the engines in service that hold a model, load it or are ordered to load it.
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

    /// Returns an order to unload a model of which more ready engines report a copy than wanted,
    /// so that enough engines surely keep it. The order goes to the engine with the most models.
    fn unload_surplus(
        &self,
        ready: &[ReadyEngine<'_>],
        catalogue: &Catalogue,
    ) -> Option<PlannedOrder> {
        catalogue.manifest.models.iter().find_map(|model| {
            let holding = ready
                .iter()
                .filter(|engine| engine.report.loaded.contains(&model.name));
            let count = u32::try_from(holding.clone().count()).unwrap_or(u32::MAX);
            if count <= model.wanted_engines {
                return None;
            }
            let fullest =
                holding.max_by_key(|engine| (engine.report.loaded.len(), &engine.endpoint.name))?;
            let reason = OrderReason::TooMany {
                holding: count,
                wanted: model.wanted_engines,
            };
            let kind = OrderKind::Unload(model.name.clone());
            Some((fullest.endpoint.name.clone(), kind, reason))
        })
    }
}

/// Returns the engines that accept work.
fn engines_in_service(catalogue: &Catalogue) -> impl Iterator<Item = &Endpoint> {
    let endpoints = catalogue.manifest.endpoints.iter();
    endpoints
        .filter(|endpoint| endpoint.kind == StageKind::Generate && catalogue.accepts_work(endpoint))
}

/// Returns an order to unload a model that the manifest does not list for its engine.
fn unload_not_allowed(ready: &[ReadyEngine<'_>]) -> Option<PlannedOrder> {
    ready.iter().find_map(|engine| {
        let mut loaded = engine.report.loaded.iter();
        let not_allowed = loaded.find(|model| !engine.endpoint.models.contains(model))?;
        let kind = OrderKind::Unload(not_allowed.clone());
        Some((engine.endpoint.name.clone(), kind, OrderReason::NotAllowed))
    })
}
