//! The scenario file.

use std::collections::BTreeMap;
use std::path::Path;

use anyhow::Context;
use serde::{Deserialize, Serialize};

use super::events::signal_of;
use crate::findings::Findings;
use crate::units::{DataCentreName, EndpointName, OrganisationName, PipelineName, VmId};

/// Longest run, so that a typing error does not load a machine for hours.
const MAX_DURATION_S: f64 = 3600.0;

/// Most requests of one run; the report keeps a record of each.
const MAX_REQUESTS: usize = 2_000_000;

/// What is sent and what happens meanwhile.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Name for the report.
    pub name: String,
    /// Length of the run in seconds.
    pub duration_s: f64,
    /// Requests after which no more are sent.
    pub max_requests: usize,
    /// Seed of arrivals and pipelines.
    #[serde(default)]
    pub seed: u64,
    /// The organisations that send.
    #[serde(rename = "organisation")]
    pub organisations: Vec<OrganisationLoad>,
    /// What happens at set times.
    #[serde(rename = "event", default)]
    pub events: Vec<Event>,
}

/// What one organisation sends.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OrganisationLoad {
    /// Its name in the manifest.
    pub name: OrganisationName,
    /// Its key; without one, all its pipelines must be open.
    #[serde(default)]
    pub key: Option<String>,
    /// Requests a second that it sends, in mean.
    pub rate_per_second: f64,
    /// Time that a caller has for the whole answer, in milliseconds.
    pub deadline_ms: u64,
    /// Callers that keep an address each.
    #[serde(default = "default_callers")]
    pub callers: usize,
    /// Pipelines by relative frequency.
    pub pipelines: BTreeMap<PipelineName, u32>,
}

fn default_callers() -> usize {
    8
}

/// Something that happens at a set time.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Event {
    /// Seconds since the start of the run.
    pub at_s: f64,
    /// Short text for the report and the plot.
    pub label: String,
    /// What happens.
    #[serde(flatten)]
    pub kind: EventKind,
}

/// What an event does.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum EventKind {
    /// Sends `POST path` to an endpoint or, without a name, to the platform.
    Post {
        /// The endpoint.
        #[serde(default)]
        endpoint: Option<EndpointName>,
        /// Path and query.
        path: String,
    },
    /// Sends a signal to a VM's daemon by its process id.
    Signal {
        /// The VM.
        vm: VmId,
        /// `TERM`, `KILL`, `STOP` or `CONT`.
        signal: String,
    },
    /// Takes a data centre out of service or back in through the manifest.
    DataCentre {
        /// The data centre.
        name: DataCentreName,
        /// `in` or `out`.
        state: String,
    },
    /// Takes a VM off the platform's list.
    RemoveVm {
        /// The VM.
        vm: VmId,
    },
    /// Multiplies what an organisation sends from then on; 1 is as before.
    Rate {
        /// The organisation.
        organisation: OrganisationName,
        /// Factor on its mean rate.
        factor: f64,
    },
    /// Adds a key to an organisation in the manifest.
    AddKey {
        /// The organisation.
        organisation: OrganisationName,
        /// The key.
        key: String,
    },
    /// Makes the organisation's callers send another key.
    UseKey {
        /// The organisation.
        organisation: OrganisationName,
        /// The key.
        key: String,
    },
    /// Withdraws a key of an organisation in the manifest.
    WithdrawKey {
        /// The organisation.
        organisation: OrganisationName,
        /// The key.
        key: String,
    },
}

impl Scenario {
    /// Reads and checks a scenario file.
    ///
    /// # Errors
    ///
    /// Returns what cannot be read, or all values out of range together.
    pub fn read(path: &Path) -> anyhow::Result<Self> {
        let place = || format!("cannot use {}", path.display());
        let text = std::fs::read_to_string(path).with_context(place)?;
        let scenario: Self = toml::from_str(&text).with_context(place)?;
        scenario.check().with_context(place)
    }

    /// Passes the scenario on when all its values are in range.
    ///
    /// # Errors
    ///
    /// Returns all findings together.
    pub fn check(self) -> Result<Self, Findings> {
        let mut findings = Findings::default();
        if !(self.duration_s > 0.0 && self.duration_s <= MAX_DURATION_S) {
            findings.add(
                "duration_s",
                format!("must be above 0, at most {MAX_DURATION_S}"),
            );
        }
        if self.max_requests == 0 || self.max_requests > MAX_REQUESTS {
            findings.add("max_requests", format!("must be from 1 to {MAX_REQUESTS}"));
        }
        for (index, organisation) in self.organisations.iter().enumerate() {
            check_organisation(
                &format!("organisation[{index}]"),
                organisation,
                &mut findings,
            );
        }
        for (index, event) in self.events.iter().enumerate() {
            self.check_event(&format!("event[{index}]"), event, &mut findings);
        }
        findings.into_result(self)
    }

    fn check_event(&self, place: &str, event: &Event, findings: &mut Findings) {
        if !(event.at_s >= 0.0 && event.at_s <= self.duration_s) {
            findings.add(format!("{place}.at_s"), "must be from 0 to duration_s");
        }
        match &event.kind {
            EventKind::Signal { signal, .. } if signal_of(signal).is_none() => {
                findings.add(
                    format!("{place}.signal"),
                    "must be TERM, KILL, STOP or CONT",
                );
            }
            EventKind::DataCentre { state, .. } if !matches!(state.as_str(), "in" | "out") => {
                findings.add(format!("{place}.state"), "must be in or out");
            }
            EventKind::Rate { factor, .. } if !(factor.is_finite() && *factor >= 0.0) => {
                findings.add(format!("{place}.factor"), "must be at least 0");
            }
            EventKind::Rate { organisation, .. } | EventKind::UseKey { organisation, .. }
                if !self
                    .organisations
                    .iter()
                    .any(|load| load.name == *organisation) =>
            {
                findings.add(
                    format!("{place}.organisation"),
                    format!("{organisation} sends nothing"),
                );
            }
            _ => {}
        }
    }
}

fn check_organisation(place: &str, organisation: &OrganisationLoad, findings: &mut Findings) {
    let rate = organisation.rate_per_second;
    if !(rate.is_finite() && rate >= 0.0) {
        findings.add(format!("{place}.rate_per_second"), "must be at least 0");
    }
    if organisation.deadline_ms == 0 {
        findings.add(format!("{place}.deadline_ms"), "must be at least 1");
    }
    if organisation.callers == 0 {
        findings.add(format!("{place}.callers"), "must be at least 1");
    }
    if organisation.pipelines.values().sum::<u32>() == 0 {
        findings.add(
            format!("{place}.pipelines"),
            "must have a pipeline with weight above 0",
        );
    }
}
