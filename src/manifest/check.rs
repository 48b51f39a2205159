//! Merges the parts of a manifest and validates the result.

use std::collections::HashSet;
use std::fmt::Display;
use std::hash::Hash;

use crate::findings::Findings;
use crate::manifest::{Manifest, Pipeline, StageKind};
use crate::units::Version;

/// Maximum deadline of a pipeline. It catches values that were given in a wrong unit.
const MAX_DEADLINE_MS: u64 = 600_000;

/// Merges parts, given as name and bytes, into one manifest, and validates it if all parts parse.
///
/// # Errors
///
/// Returns every problem with its place: parts that are not JSON of the documented format, values
/// out of range, duplicate names, and references to items that do not exist.
pub fn parse_manifest<'a>(
    version: Version,
    parts: impl IntoIterator<Item = (&'a str, &'a [u8])>,
) -> Result<Manifest, Findings> {
    let mut findings = Findings::default();
    let mut manifest = Manifest {
        version,
        ..Manifest::default()
    };
    for (name, bytes) in parts {
        let deserializer = &mut serde_json::Deserializer::from_slice(bytes);
        match serde_path_to_error::deserialize::<_, Manifest>(deserializer) {
            Ok(part) => merge(&mut manifest, part),
            Err(error) => findings.add(
                format!("{name}: {}", error.path()),
                error.inner().to_string(),
            ),
        }
    }
    if findings.items().is_empty() {
        check(&manifest, &mut findings);
    }
    findings.into_result(manifest)
}

fn merge(manifest: &mut Manifest, part: Manifest) {
    manifest.cells = part.cells.or(manifest.cells);
    manifest.weight_store_loads = part.weight_store_loads.or(manifest.weight_store_loads);
    manifest.fenced_vms.extend(part.fenced_vms);
    manifest.data_centres.extend(part.data_centres);
    manifest.models.extend(part.models);
    manifest.pipelines.extend(part.pipelines);
    manifest.endpoints.extend(part.endpoints);
    manifest.organisations.extend(part.organisations);
}

fn check(manifest: &Manifest, findings: &mut Findings) {
    check_unique(
        "data_centres",
        manifest.data_centres.iter().map(|item| &item.name),
        findings,
    );
    check_unique(
        "models",
        manifest.models.iter().map(|item| &item.name),
        findings,
    );
    check_unique(
        "pipelines",
        manifest.pipelines.iter().map(|item| &item.name),
        findings,
    );
    check_unique(
        "endpoints",
        manifest.endpoints.iter().map(|item| &item.name),
        findings,
    );
    check_unique(
        "organisations",
        manifest.organisations.iter().map(|item| &item.name),
        findings,
    );
    let digests = manifest
        .organisations
        .iter()
        .flat_map(|item| &item.api_key_digests);
    check_unique("key_digests", digests, findings);
    if manifest.cells == Some(0) {
        findings.add("cells", "must be at least 1");
    }
    check_endpoints(manifest, findings);
    check_organisations(manifest, findings);
    for (index, pipeline) in manifest.pipelines.iter().enumerate() {
        check_pipeline(manifest, &format!("pipelines[{index}]"), pipeline, findings);
    }
}

fn check_unique<'a, T: Eq + Hash + Display + 'a>(
    list: &str,
    items: impl Iterator<Item = &'a T>,
    findings: &mut Findings,
) {
    let mut seen = HashSet::new();
    for (index, item) in items.enumerate() {
        if !seen.insert(item) {
            findings.add(
                format!("{list}[{index}]"),
                format!("{item} is listed more than once"),
            );
        }
    }
}

fn check_endpoints(manifest: &Manifest, findings: &mut Findings) {
    let data_centres: HashSet<_> = manifest
        .data_centres
        .iter()
        .map(|item| &item.name)
        .collect();
    for (index, endpoint) in manifest.endpoints.iter().enumerate() {
        let place = format!("endpoints[{index}]");
        if !data_centres.contains(&endpoint.data_centre) {
            let problem = format!("no data centre is named {}", endpoint.data_centre);
            findings.add(format!("{place}.data_centre"), problem);
        }
        if endpoint.slots == 0 {
            findings.add(format!("{place}.slots"), "must be at least 1");
        }
        if endpoint.cold_slots == 0 || endpoint.cold_slots > endpoint.slots {
            findings.add(
                format!("{place}.cold_slots"),
                format!("must be from 1 to slots, not {}", endpoint.cold_slots),
            );
        }
    }
}

fn check_organisations(manifest: &Manifest, findings: &mut Findings) {
    for (index, organisation) in manifest.organisations.iter().enumerate() {
        let place = format!("organisations[{index}]");
        let rate = organisation.rate_per_second.0;
        if !rate.is_finite() || rate <= 0.0 {
            findings.add(
                format!("{place}.rate_per_second"),
                format!("must be a finite number above 0, not {rate}"),
            );
        }
        if organisation.burst.0 == 0 {
            findings.add(format!("{place}.burst"), "must be at least 1");
        }
    }
}

fn check_pipeline(manifest: &Manifest, place: &str, pipeline: &Pipeline, findings: &mut Findings) {
    if pipeline.deadline_ms == 0 || pipeline.deadline_ms > MAX_DEADLINE_MS {
        findings.add(
            format!("{place}.deadline_ms"),
            format!(
                "must be from 1 to {MAX_DEADLINE_MS}, not {}",
                pipeline.deadline_ms
            ),
        );
    }
    if pipeline.stages.is_empty() {
        findings.add(format!("{place}.stages"), "must have at least one stage");
    }
    check_unique(
        &format!("{place}.stages"),
        pipeline.stages.iter().map(|stage| &stage.name),
        findings,
    );
    if let Some(name) = &pipeline.open_as
        && !manifest.organisations.iter().any(|item| item.name == *name)
    {
        findings.add(
            format!("{place}.open_as"),
            format!("no organisation is named {name}"),
        );
    }
    for (index, stage) in pipeline.stages.iter().enumerate() {
        let place = format!("{place}.stages[{index}]");
        if stage.weight == 0 {
            findings.add(format!("{place}.weight"), "must be at least 1");
        }
        if stage.kind == StageKind::Generate && stage.model.is_none() {
            findings.add(
                format!("{place}.model"),
                "a generate stage must name a model",
            );
        }
        if let Some(model) = &stage.model
            && !manifest.models.iter().any(|item| item.name == *model)
        {
            findings.add(
                format!("{place}.model"),
                format!("no model is named {model}"),
            );
        }
        let is_offered = |kind, service| {
            let mut endpoints = manifest.endpoints.iter();
            endpoints.any(|item| item.kind == kind && item.service == service)
        };
        if !is_offered(stage.kind, stage.service.clone()) {
            let problem = format!(
                "no endpoint of kind {} offers the service {}",
                stage.kind, stage.service
            );
            findings.add(format!("{place}.service"), problem);
        }
    }
}
