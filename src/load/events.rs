//! Carries out the timed events of a scenario.

use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context, bail, ensure};
use hyper::Method;
use rustix::process::{Pid, Signal, kill_process};
use serde::Serialize;
use serde_json::{Value, json};
use tokio::time::Instant;

use super::caller::Callers;
use super::client::Client;
use super::fleet::Fleet;
use super::scenario::{Event, EventKind};
use crate::manifest::ApiKeyDigest;

/// An event and what came of it.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct EventReport {
    /// Planned time in seconds since the start of the run.
    pub at_s: f64,
    /// Label from the scenario.
    pub label: String,
    /// Why it could not be carried out.
    pub error: Option<String>,
}

/// Returns the signal of a name without `SIG`.
pub fn signal_of(name: &str) -> Option<Signal> {
    Some(match name {
        "TERM" => Signal::TERM,
        "KILL" => Signal::KILL,
        "STOP" => Signal::STOP,
        "CONT" => Signal::CONT,
        _ => return None,
    })
}

/// Carries out all events at their times.
pub async fn run_events(
    mut events: Vec<Event>,
    fleet: Arc<Fleet>,
    callers: Arc<Callers>,
    start: Instant,
) -> Vec<EventReport> {
    events.sort_by(|one, other| one.at_s.total_cmp(&other.at_s));
    let client = Client::default();
    let mut reports = Vec::new();
    for event in events {
        tokio::time::sleep_until(start + Duration::from_secs_f64(event.at_s)).await;
        let done = carry_out(&event.kind, &fleet, &callers, &client).await;
        reports.push(EventReport {
            at_s: event.at_s,
            label: event.label,
            error: done.err().map(|error| format!("{error:#}")),
        });
    }
    reports
}

async fn carry_out(
    kind: &EventKind,
    fleet: &Fleet,
    callers: &Callers,
    client: &Client,
) -> anyhow::Result<()> {
    match kind {
        EventKind::Post { endpoint, path } => {
            let address = match endpoint {
                Some(name) => fleet.endpoints.get(name).context("no such endpoint")?.1,
                None => fleet.platform,
            };
            let sent = client.send(address, Method::POST, path, &[], "").await;
            let Ok(answer) = sent else {
                bail!("{address} does not answer");
            };
            ensure!(answer.status == 200, "{path} gave status {}", answer.status);
            Ok(())
        }
        EventKind::Signal { vm, signal } => {
            let signal = signal_of(signal).context("unknown signal")?;
            let process = Pid::from_raw(fleet.process_id(vm)?).context("not a process id")?;
            kill_process(process, signal).with_context(|| format!("cannot signal {vm}"))
        }
        EventKind::DataCentre { name, state } => fleet.change_manifest(|manifest| {
            let centre = entry(&mut manifest["data_centres"], "name", name.as_str())?;
            centre["state"] = json!(state);
            Ok(())
        }),
        EventKind::RemoveVm { vm } => fleet.change_vms(|file| {
            let vms = file["vms"].as_array_mut().context("no list of VMs")?;
            vms.retain(|entry| entry["id"] != vm.as_str());
            Ok(())
        }),
        // Arrivals are scheduled with their rate before the run begins.
        EventKind::Rate { .. } => Ok(()),
        EventKind::AddKey { organisation, key } => fleet.change_manifest(|manifest| {
            let digests = api_key_digests(manifest, organisation.as_str())?;
            digests.push(json!(ApiKeyDigest::of_key(key)));
            Ok(())
        }),
        EventKind::UseKey { organisation, key } => {
            callers.use_key(organisation, key);
            Ok(())
        }
        EventKind::WithdrawKey { organisation, key } => fleet.change_manifest(|manifest| {
            let digest = json!(ApiKeyDigest::of_key(key));
            api_key_digests(manifest, organisation.as_str())?.retain(|other| *other != digest);
            Ok(())
        }),
    }
}

fn entry<'a>(list: &'a mut Value, field: &str, name: &str) -> anyhow::Result<&'a mut Value> {
    let items = list.as_array_mut().context("not a list")?;
    let found = items.iter_mut().find(|item| item[field] == name);
    found.with_context(|| format!("nothing is named {name}"))
}

fn api_key_digests<'a>(manifest: &'a mut Value, name: &str) -> anyhow::Result<&'a mut Vec<Value>> {
    let organisation = entry(&mut manifest["organisations"], "name", name)?;
    organisation["key_digests"]
        .as_array_mut()
        .context("no list of keys")
}
