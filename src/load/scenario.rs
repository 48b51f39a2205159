//! Format and validation of scenario files.

use std::collections::BTreeMap;
use std::path::Path;

use anyhow::Context;
use serde::{Deserialize, Serialize};

use super::events::parse_signal;
use crate::findings::Findings;
use crate::units::{DataCentreName, EndpointName, OrganisationName, PipelineName, VmId};

/// Maximum duration of a run in seconds, so that a typing error does not load a machine for
/// hours.
const MAX_DURATION_S: f64 = 3600.0;

/// Maximum number of requests of a run, each of which takes memory for its record.
const MAX_REQUESTS: usize = 2_000_000;

/// Scenario: the requests to send and the events to trigger meanwhile.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Name of the scenario, for the report.
    pub name: String,
    /// Duration of the run in seconds.
    pub duration_s: f64,
    /// Maximum number of requests to send.
    pub max_requests: usize,
    /// Seed for arrival times and the choice of pipelines.
    #[serde(default)]
    pub seed: u64,
    /// Organisations that send requests.
    #[serde(rename = "organisation")]
    pub organisations: Vec<OrganisationLoad>,
    /// Events to trigger at given times.
    #[serde(rename = "event", default)]
    pub events: Vec<Event>,
}

/// Requests that one organisation sends.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OrganisationLoad {
    /// Name of the organisation in the manifest.
    pub name: OrganisationName,
    /// API key of the organisation; without one, all its pipelines must be open to callers
    /// without a key.
    #[serde(default)]
    pub key: Option<String>,
    /// Mean number of requests per second.
    pub rate_per_second: f64,
    /// Time allowed for the complete answer, in milliseconds from the scheduled arrival.
    pub deadline_ms: u64,
    /// Number of callers, each of which looks up an address and caches it for itself.
    #[serde(default = "default_callers")]
    pub callers: usize,
    /// Relative frequency of each pipeline.
    pub pipelines: BTreeMap<PipelineName, u32>,
}

fn default_callers() -> usize {
    8
}

/// Event to trigger at a given time.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Event {
    /// Time of the event in seconds since the start of the run.
    pub at_s: f64,
    /// Short text for the report and the plot.
    pub label: String,
    /// What the event does.
    #[serde(flatten)]
    pub kind: EventKind,
}

/// What an event does.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum EventKind {
    /// Sends `POST path` to an endpoint or, without `endpoint`, to the platform.
    Post {
        /// Name of the endpoint in the manifest.
        #[serde(default)]
        endpoint: Option<EndpointName>,
        /// Path and query of the request.
        path: String,
    },
    /// Sends a signal to the daemon of a VM, by the process id in `pids/VM.pid`.
    Signal {
        /// VM whose daemon gets the signal.
        vm: VmId,
        /// Name of the signal: `TERM`, `KILL`, `STOP` or `CONT`.
        signal: String,
    },
    /// Takes a data centre out of service or back in, by a change to the manifest.
    DataCentre {
        /// Name of the data centre in the manifest.
        name: DataCentreName,
        /// New state of the data centre: `in` or `out`.
        state: String,
    },
    /// Removes a VM from the platform's VM list.
    RemoveVm {
        /// VM to remove.
        vm: VmId,
    },
    /// Multiplies the rate of an organisation's requests from this time on.
    Rate {
        /// Organisation whose rate changes.
        organisation: OrganisationName,
        /// Factor on the rate in the scenario; 1 restores that rate.
        factor: f64,
    },
    /// Adds an API key to an organisation in the manifest.
    AddKey {
        /// Organisation that gets the key.
        organisation: OrganisationName,
        /// API key to add.
        key: String,
    },
    /// Makes the callers of an organisation send another API key.
    UseKey {
        /// Organisation whose callers change their key.
        organisation: OrganisationName,
        /// API key to send from this time on.
        key: String,
    },
    /// Removes an API key of an organisation from the manifest.
    WithdrawKey {
        /// Organisation that loses the key.
        organisation: OrganisationName,
        /// API key to remove.
        key: String,
    },
}

impl Scenario {
    /// Reads and checks a scenario file.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be read or parsed, or with all values out of range together.
    pub fn read(path: &Path) -> anyhow::Result<Self> {
        let context = || format!("cannot use the scenario {}", path.display());
        let text = std::fs::read_to_string(path).with_context(context)?;
        let scenario: Self = toml::from_str(&text).with_context(context)?;
        scenario.check().with_context(context)
    }

    /// Returns the scenario if all its values are in range.
    ///
    /// # Errors
    ///
    /// Returns the values out of range, each with its place in the file. Besides its time, at most
    /// one value of each event is reported.
    pub fn check(self) -> Result<Self, Findings> {
        let mut findings = Findings::default();
        if !(self.duration_s > 0.0 && self.duration_s <= MAX_DURATION_S) {
            findings.add(
                "duration_s",
                format!(
                    "is {}; must be above 0 and at most {MAX_DURATION_S}",
                    self.duration_s
                ),
            );
        }
        if self.max_requests == 0 || self.max_requests > MAX_REQUESTS {
            findings.add(
                "max_requests",
                format!("is {}; must be from 1 to {MAX_REQUESTS}", self.max_requests),
            );
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
            findings.add(
                format!("{place}.at_s"),
                format!(
                    "is {}; must be from 0 to duration_s, {}",
                    event.at_s, self.duration_s
                ),
            );
        }
        match &event.kind {
            EventKind::Signal { signal, .. } if parse_signal(signal).is_none() => {
                findings.add(
                    format!("{place}.signal"),
                    format!("is {signal:?}; must be TERM, KILL, STOP or CONT"),
                );
            }
            EventKind::DataCentre { state, .. } if !matches!(state.as_str(), "in" | "out") => {
                findings.add(
                    format!("{place}.state"),
                    format!("is {state:?}; must be in or out"),
                );
            }
            EventKind::Rate { factor, .. } if !(factor.is_finite() && *factor >= 0.0) => {
                findings.add(
                    format!("{place}.factor"),
                    format!("is {factor}; must be a finite number of at least 0"),
                );
            }
            EventKind::Rate { organisation, .. } | EventKind::UseKey { organisation, .. }
                if !self
                    .organisations
                    .iter()
                    .any(|load| load.name == *organisation) =>
            {
                findings.add(
                    format!("{place}.organisation"),
                    format!("{organisation} is not an organisation of this scenario"),
                );
            }
            _ => {}
        }
    }
}

fn check_organisation(place: &str, organisation: &OrganisationLoad, findings: &mut Findings) {
    let rate = organisation.rate_per_second;
    if !(rate.is_finite() && rate >= 0.0) {
        findings.add(
            format!("{place}.rate_per_second"),
            format!("is {rate}; must be a finite number of at least 0"),
        );
    }
    if organisation.deadline_ms == 0 {
        findings.add(format!("{place}.deadline_ms"), "is 0; must be at least 1");
    }
    if organisation.callers == 0 {
        findings.add(format!("{place}.callers"), "is 0; must be at least 1");
    }
    if organisation.pipelines.values().sum::<u32>() == 0 {
        findings.add(
            format!("{place}.pipelines"),
            "must have at least one pipeline with a relative frequency above 0",
        );
    }
}
