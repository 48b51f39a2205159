//! Settings of a VM on the users' platform. A file with any invalid value is refused.
//!
//! The file uses primrosewalk's own names; the platform creates it from the template
//! `deploy/vm.toml.tmpl`.

use std::fmt::Display;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::str::FromStr;
use std::time::Duration;

use anyhow::Context as _;
use serde::Deserialize;

use crate::findings::Findings;
use crate::fleet::model::VmSize;
use crate::units::{DataCentreName, VmId};

/// Longest time that a setting may give, in seconds: a day.
const MAX_DURATION_S: f64 = 86_400.0;

/// Environment variable with the path of the settings file.
pub const SETTINGS_VARIABLE: &str = "PRIMROSEWALK_BOOT";

#[derive(Debug, Deserialize)]
struct SettingsDocument {
    #[serde(default)]
    vm: String,
    #[serde(default)]
    data_centre: String,
    #[serde(default)]
    ip: String,
    #[serde(default)]
    caller_address: String,
    #[serde(default)]
    readiness_address: String,
    #[serde(default)]
    directory_address: String,
    #[serde(default)]
    platform_address: String,
    #[serde(default)]
    seeds: Vec<String>,
    #[serde(default)]
    peer_ports: Vec<u16>,
    #[serde(default)]
    metrics_port: u16,
    #[serde(default)]
    grace_s: f64,
    #[serde(default, rename = "address_ttl_most_s")]
    max_address_ttl_s: f64,
    #[serde(default, rename = "repeat_ratio")]
    retry_ratio: f64,
    #[serde(default, rename = "repeat_reserve")]
    retry_reserve: f64,
    #[serde(default = "default_retry_window_s", rename = "repeat_window_s")]
    retry_window_s: f64,
    /// Absent values leave the size unknown, so that files of earlier builds stay valid.
    #[serde(default)]
    first_start: bool,
    #[serde(default)]
    cpu_share: f64,
    #[serde(default)]
    cpu_count: f64,
    #[serde(default)]
    link_mbit_per_s: f64,
    #[serde(default)]
    memory_mb: f64,
    #[serde(default)]
    max_descriptors: f64,
    #[serde(default)]
    change_bound_ms: f64,
}

fn default_retry_window_s() -> f64 {
    10.0
}

/// Validated settings.
#[derive(Debug, Clone, PartialEq)]
pub struct FleetSettings {
    /// Name of this VM.
    pub vm: VmId,
    /// Data centre of this VM.
    pub data_centre: DataCentreName,
    /// Address of this VM, for traffic with other VMs, the platform and metrics.
    pub ip: Ipv4Addr,
    /// Address that callers send requests to.
    pub caller_address: SocketAddr,
    /// Address of the platform's readiness check.
    pub readiness_address: SocketAddr,
    /// Address at which callers look up the VMs to use.
    pub directory_address: SocketAddr,
    /// Address of the platform's store.
    pub platform_address: SocketAddr,
    /// VMs that this VM contacts first to learn of the others. The ports in the file's seeds are
    /// ignored, and so are seeds with IPv6 addresses.
    pub seeds: Vec<Ipv4Addr>,
    /// UDP port of gossip, the same on all VMs.
    pub gossip_port: u16,
    /// TCP port of calls between VMs, the same on all VMs.
    pub peer_port: u16,
    /// TCP port at which the metrics are served.
    pub metrics_port: u16,
    /// Time from the signal to stop until the platform kills the process.
    pub grace: Duration,
    /// Upper bound on the time for which callers may cache addresses.
    pub max_address_ttl: Duration,
    /// Number of retries that each request to a service allows within the window.
    pub retry_ratio: f64,
    /// Number of retries of a service that are allowed besides within the window. It is a limit for the
    /// fleet; each VM gets a part of it.
    pub retry_reserve: f64,
    /// Length of the sliding window in which retries are counted.
    pub retry_window: Duration,
    /// Whether the whole fleet starts for the first time. All its VMs then start together, and no
    /// caller waits for them yet.
    pub is_first_start: bool,
    /// Size of this VM, by which it gets work for the whole fleet.
    pub size: VmSize,
    /// Memory that the process may use; `None` if it is not known.
    pub memory_bytes: Option<usize>,
    /// Number of descriptors that the process may have open; `None` if it is not known.
    pub max_descriptors: Option<usize>,
    /// Longest time from the store's acknowledgement of a change until it is in force here; `None` if it is not known.
    pub change_bound: Option<Duration>,
}

/// Reads and checks a settings file.
///
/// # Errors
///
/// Returns all findings, or why the file cannot be read.
pub fn read_settings(path: &Path) -> anyhow::Result<FleetSettings> {
    let text = std::fs::read_to_string(path)
        .with_context(|| format!("settings {} cannot be read", path.display()))?;
    Ok(check_settings(&text)?)
}

/// Parses and checks the text of a settings file.
///
/// # Errors
///
/// Returns the findings, each with the place in the file that it is about. Checks after that of
/// `peer_ports` are skipped if it does not have two ports.
pub fn check_settings(text: &str) -> Result<FleetSettings, Findings> {
    let mut findings = Findings::default();
    let document: SettingsDocument = match toml::from_str(text) {
        Ok(document) => document,
        Err(error) => {
            findings.add("settings", error.to_string());
            return Err(findings);
        }
    };
    let unspecified = SocketAddr::from(([0, 0, 0, 0], 0));
    let mut address = |place, text: &str| parse(&mut findings, place, text, unspecified);
    let caller_address = address("caller_address", &document.caller_address);
    let readiness_address = address("readiness_address", &document.readiness_address);
    let directory_address = address("directory_address", &document.directory_address);
    let platform_address = address("platform_address", &document.platform_address);
    let ip = parse(&mut findings, "ip", &document.ip, Ipv4Addr::UNSPECIFIED);
    let vm = parse_name(&mut findings, "vm", &document.vm);
    let data_centre = parse_name(&mut findings, "data_centre", &document.data_centre);
    let seeds = document
        .seeds
        .iter()
        .enumerate()
        .map(|(index, seed)| parse(&mut findings, format!("seeds[{index}]"), seed, unspecified))
        .filter_map(|seed| match seed.ip() {
            std::net::IpAddr::V4(ip) => Some(ip),
            std::net::IpAddr::V6(_) => None,
        })
        .collect();
    let [first, last] = document.peer_ports[..] else {
        findings.add(
            "peer_ports",
            "give the first and the last port for traffic between VMs",
        );
        return Err(findings);
    };
    if last < first.saturating_add(1) {
        findings.add("peer_ports", "at least two ports are needed");
    }
    if document.metrics_port <= first.saturating_add(1) && document.metrics_port >= first {
        findings.add(
            "metrics_port",
            "the first two ports are for traffic between VMs",
        );
    }
    let mut positive_duration = |place: &str, value: f64| {
        // A number that is not finite is in no range.
        if value > 0.0 && value <= MAX_DURATION_S {
            return Duration::from_secs_f64(value);
        }
        let range = format!("{value} is not a number above 0 and up to {MAX_DURATION_S}");
        findings.add(place, range);
        Duration::ZERO
    };
    let grace = positive_duration("grace_s", document.grace_s);
    let retry_window = positive_duration("repeat_window_s", document.retry_window_s);
    let max_address_ttl = positive_duration("address_ttl_most_s", document.max_address_ttl_s);
    for (place, value) in [
        ("repeat_ratio", document.retry_ratio),
        ("repeat_reserve", document.retry_reserve),
        ("cpu_share", document.cpu_share),
        ("cpu_count", document.cpu_count),
        ("link_mbit_per_s", document.link_mbit_per_s),
        ("memory_mb", document.memory_mb),
        ("max_descriptors", document.max_descriptors),
        ("change_bound_ms", document.change_bound_ms),
    ] {
        if !value.is_finite() || value < 0.0 {
            findings.add(place, format!("{value} is not a number of 0 or more"));
        }
    }
    let (Some(vm), Some(data_centre)) = (vm, data_centre) else {
        return Err(findings);
    };
    findings.into_result(FleetSettings {
        vm,
        data_centre,
        ip,
        caller_address,
        readiness_address,
        directory_address,
        platform_address,
        seeds,
        gossip_port: first,
        peer_port: first.saturating_add(1),
        metrics_port: document.metrics_port,
        grace,
        max_address_ttl,
        retry_ratio: document.retry_ratio,
        retry_reserve: document.retry_reserve,
        retry_window,
        is_first_start: document.first_start,
        size: VmSize {
            cpu_millicores: (document.cpu_share * document.cpu_count * 1_000.0) as u32,
            link_mbit_per_s: document.link_mbit_per_s as u32,
        },
        memory_bytes: known(document.memory_mb * 1_000_000.0),
        max_descriptors: known(document.max_descriptors),
        change_bound: known(document.change_bound_ms).map(|ms| Duration::from_millis(ms as u64)),
    })
}

/// Returns a size of the machine; 0 stands for one that is not known.
fn known(value: f64) -> Option<usize> {
    (value >= 1.0).then_some(value as usize)
}

/// Parses the value at `place`. An invalid value adds a finding and gives `fallback`, so that the
/// check goes on.
fn parse<T: FromStr>(
    findings: &mut Findings,
    place: impl Into<String>,
    text: &str,
    fallback: T,
) -> T
where
    T::Err: Display,
{
    match text.parse() {
        Ok(value) => value,
        Err(error) => {
            findings.add(place, format!("{text:?}: {error}"));
            fallback
        }
    }
}

/// Parses the name at `place`; an invalid name adds a finding.
fn parse_name<T: FromStr>(findings: &mut Findings, place: &str, text: &str) -> Option<T>
where
    T::Err: Display,
{
    match text.parse() {
        Ok(value) => Some(value),
        Err(error) => {
            findings.add(place, error.to_string());
            None
        }
    }
}
