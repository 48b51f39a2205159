//! Loads in progress, and pauses after loads that failed.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::blackboard::Catalogue;
use crate::decisions::placement::{EngineReport, IssuedOrder, OrderKind, PlacementConfig};
use crate::manifest::StageKind;
use crate::units::{EndpointName, ModelName, Time};

/// The loads that may be using the weight store now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct InProgress {
    /// Number of loads.
    pub loads: u32,
}

/// Counts the loads that reports show, those that were ordered, and, if `count_unreported` is
/// set, those that no report shows: an engine without a report since `conclusive_from` may be
/// carrying out an order of an earlier owner.
pub(super) fn in_progress(
    catalogue: &Catalogue,
    reports: &BTreeMap<EndpointName, EngineReport>,
    issued: &BTreeMap<EndpointName, IssuedOrder>,
    conclusive_from: Time,
    count_unreported: bool,
) -> InProgress {
    let endpoints = catalogue.manifest.endpoints.iter();
    let engines = endpoints.filter(|endpoint| endpoint.kind == StageKind::Generate);
    let mut names: BTreeSet<&EndpointName> = engines.map(|engine| &engine.name).collect();
    names.extend(reports.keys());
    names.extend(issued.keys());
    let mut loads = 0;
    for name in names {
        let ordered = issued.get(name).and_then(|issued| match &issued.kind {
            OrderKind::Load(model) => Some(model),
            OrderKind::Unload(_) => None,
        });
        let report = reports.get(name);
        let conclusive = report.filter(|report| report.read_at >= conclusive_from);
        let reported = report.map_or(0, |report| {
            let others = report.loading.iter();
            others.filter(|model| Some(*model) != ordered).count()
        });
        let unreported = usize::from(conclusive.is_none() && count_unreported && ordered.is_none());
        loads += usize::from(ordered.is_some()) + reported.max(unreported);
    }
    InProgress {
        loads: u32::try_from(loads).unwrap_or(u32::MAX),
    }
}

/// Exponential backoff of failed loads, by engine and model.
#[derive(Debug, Default)]
pub(super) struct LoadBackoff {
    /// Number of failures, and the end of the pause after the last one.
    failures: HashMap<(EndpointName, ModelName), (u32, Time)>,
}

impl LoadBackoff {
    pub(super) fn on_failure(
        &mut self,
        engine: &EndpointName,
        model: &ModelName,
        pause_start: Time,
        config: &PlacementConfig,
    ) {
        let key = (engine.clone(), model.clone());
        let (count, until) = self.failures.entry(key).or_default();
        let pause = config.initial_backoff * 2_u32.pow((*count).min(16));
        *count = count.saturating_add(1);
        *until = pause_start + pause.min(config.max_backoff);
    }

    pub(super) fn on_success(&mut self, engine: &EndpointName, model: &ModelName) {
        self.failures.remove(&(engine.clone(), model.clone()));
    }

    /// Returns whether the engine may be ordered to load the model.
    pub(super) fn allows(&self, now: Time, engine: &EndpointName, model: &ModelName) -> bool {
        let failure = self.failures.get(&(engine.clone(), model.clone()));
        failure.is_none_or(|(_, until)| now >= *until)
    }

    /// Drops failures whose pause ended at least `max_backoff` ago.
    pub(super) fn drop_expired(&mut self, now: Time, config: &PlacementConfig) {
        let retention = config.max_backoff;
        self.failures
            .retain(|_, (_, until)| now < *until + retention);
    }
}
