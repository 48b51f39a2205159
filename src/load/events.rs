//! Triggers the timed events of a scenario, such as a signal to a daemon or a new API key.

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

/// An event of the scenario and its result.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct EventReport {
    /// Scheduled time in seconds since the start of the run.
    pub at_s: f64,
    /// Label from the scenario.
    pub label: String,
    /// Why the event failed; `None` if it succeeded.
    pub error: Option<String>,
}

/// Parses the name of a signal, given without `SIG`.
pub fn parse_signal(name: &str) -> Option<Signal> {
    Some(match name {
        "TERM" => Signal::TERM,
        "KILL" => Signal::KILL,
        "STOP" => Signal::STOP,
        "CONT" => Signal::CONT,
        _ => return None,
    })
}

/// Triggers each event at its scheduled time, one after another, and returns their results.
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
        let result = trigger_event(&event.kind, &fleet, &callers, &client).await;
        reports.push(EventReport {
            at_s: event.at_s,
            label: event.label,
            error: result.err().map(|error| format!("{error:#}")),
        });
    }
    reports
}

/// Triggers one event and waits until it has taken effect or failed.
async fn trigger_event(
    kind: &EventKind,
    fleet: &Fleet,
    callers: &Callers,
    client: &Client,
) -> anyhow::Result<()> {
    match kind {
        EventKind::Post { endpoint, path } => {
            let address = match endpoint {
                Some(name) => {
                    fleet
                        .endpoints
                        .get(name)
                        .with_context(|| format!("the manifest has no endpoint {name}"))?
                        .1
                }
                None => fleet.platform_address,
            };
            let sent = client.send(address, Method::POST, path, &[], "").await;
            let Ok(answer) = sent else {
                bail!("POST {path} to {address} got no answer");
            };
            ensure!(
                answer.status == 200,
                "POST {path} to {address} answered status {}",
                answer.status
            );
            Ok(())
        }
        EventKind::Signal { vm, signal } => {
            let signal =
                parse_signal(signal).with_context(|| format!("unknown signal {signal:?}"))?;
            let process = Pid::from_raw(fleet.process_id(vm)?)
                .with_context(|| format!("the pid file of {vm} holds no process id"))?;
            kill_process(process, signal)
                .with_context(|| format!("cannot send the signal to the daemon of {vm}"))
        }
        EventKind::DataCentre { name, state } => fleet.change_manifest(|manifest| {
            let data_centre = find_entry(&mut manifest["data_centres"], "name", name.as_str())?;
            data_centre["state"] = json!(state);
            Ok(())
        }),
        EventKind::RemoveVm { vm } => fleet.change_vms(|file| {
            let vms = file["vms"]
                .as_array_mut()
                .context("vms.json has no list `vms`")?;
            vms.retain(|entry| entry["id"] != vm.as_str());
            Ok(())
        }),
        // The schedule of arrivals, made before the run, already contains the change of rate.
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

/// Returns the entry of a JSON list whose `field` has the value `name`.
fn find_entry<'a>(list: &'a mut Value, field: &str, name: &str) -> anyhow::Result<&'a mut Value> {
    let items = list
        .as_array_mut()
        .with_context(|| format!("no list to look up {field} {name:?} in"))?;
    let found = items.iter_mut().find(|item| item[field] == name);
    found.with_context(|| format!("no entry has {field} {name:?}"))
}

/// Returns the digests of an organisation's API keys in the manifest.
fn api_key_digests<'a>(manifest: &'a mut Value, name: &str) -> anyhow::Result<&'a mut Vec<Value>> {
    let organisation = find_entry(&mut manifest["organisations"], "name", name)?;
    organisation["key_digests"]
        .as_array_mut()
        .with_context(|| format!("organisation {name} has no list `key_digests`"))
}
