//! Flags and environment variables of the daemon, validated as a whole.
//!
//! Clap takes each value as text, and a missing flag as an empty text, so that one run of the
//! daemon reports every invalid flag.

use std::fmt::Display;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use clap::Parser;
use slog::Level;

use crate::findings::Findings;
use crate::logger::LogFormat;
use crate::units::{DataCentreName, VmId};

/// Maximum accepted drain limit: one day, so that a value given in the wrong unit is found.
const MAX_DRAIN_LIMIT_MS: u64 = 86_400_000;
/// Maximum accepted value of the flags that limit a number of items.
const MAX_COUNT_LIMIT: u64 = 1_000_000;

/// Serves pipelines on one VM.
#[derive(Debug, Clone, Parser)]
#[command(name = "primrosewalkd", version)]
pub struct Arguments {
    /// Name of this VM on the platform's VM list (1 to 63 characters A-Z a-z 0-9 _ -).
    #[arg(
        long,
        env = "PRIMROSEWALK_VM",
        default_value = "",
        hide_default_value = true
    )]
    pub vm: String,
    /// Name of the data centre that this VM is in.
    #[arg(
        long,
        env = "PRIMROSEWALK_DATA_CENTRE",
        default_value = "",
        hide_default_value = true
    )]
    pub data_centre: String,
    /// Address of the platform's configuration service (IP number:port).
    #[arg(
        long,
        env = "PRIMROSEWALK_PLATFORM_ADDRESS",
        default_value = "",
        hide_default_value = true
    )]
    pub platform_address: String,
    /// Address that callers connect to (IP number:port).
    #[arg(
        long,
        env = "PRIMROSEWALK_CALLER_ADDRESS",
        default_value = "",
        hide_default_value = true
    )]
    pub caller_address: String,
    /// Address that operators and metric readers connect to (IP number:port).
    #[arg(
        long,
        env = "PRIMROSEWALK_OPERATOR_ADDRESS",
        default_value = "",
        hide_default_value = true
    )]
    pub operator_address: String,
    /// Address that other VMs send state messages to (IP number:port).
    #[arg(
        long,
        env = "PRIMROSEWALK_PEER_STATE_ADDRESS",
        default_value = "",
        hide_default_value = true
    )]
    pub peer_state_address: String,
    /// Address that other VMs send calls to (IP number:port).
    #[arg(
        long,
        env = "PRIMROSEWALK_PEER_CALL_ADDRESS",
        default_value = "",
        hide_default_value = true
    )]
    pub peer_call_address: String,
    /// Format of log lines on standard error: text or json.
    #[arg(long, env = "PRIMROSEWALK_LOG_FORMAT", default_value = "text")]
    pub log_format: String,
    /// Lowest level that is logged: error, warning, info, debug or trace.
    #[arg(long, env = "PRIMROSEWALK_LOG_LEVEL", default_value = "info")]
    pub log_level: String,
    /// How rates are enforced across the fleet: home (one VM holds an organisation's whole
    /// token bucket) or static-share (each VM holds an equal part; a baseline for comparison).
    #[arg(long, env = "PRIMROSEWALK_QUOTA", default_value = "home")]
    pub quota: String,
    /// How endpoints are chosen: scored (by load, data centre and cached prefix) or random (a
    /// baseline for comparison).
    #[arg(long, env = "PRIMROSEWALK_ROUTING", default_value = "scored")]
    pub routing: String,
    /// Whether retries draw on a shared budget: on, or off (a baseline for comparison).
    #[arg(long, env = "PRIMROSEWALK_RETRY_BUDGET", default_value = "on")]
    pub retry_budget: String,
    /// Maximum time that a planned stop waits for running requests, in milliseconds.
    #[arg(
        long,
        env = "PRIMROSEWALK_DRAIN_LIMIT_MS",
        default_value = "660000",
        value_name = "MILLISECONDS"
    )]
    pub drain_limit_ms: String,
    /// Number of threads that serve traffic.
    #[arg(
        long,
        env = "PRIMROSEWALK_TRAFFIC_THREADS",
        default_value = "2",
        value_name = "COUNT"
    )]
    pub traffic_threads: String,
    /// Maximum number of commands from traffic threads that may wait for the control thread.
    #[arg(
        long,
        env = "PRIMROSEWALK_COMMANDS_LIMIT",
        default_value = "4096",
        value_name = "COUNT"
    )]
    pub commands_limit: String,
    /// Maximum number of requests for quota tokens in progress at once. The limit applies
    /// separately to this VM's own requests and to those from other VMs.
    #[arg(
        long,
        env = "PRIMROSEWALK_ACQUIRES_LIMIT",
        default_value = "10000",
        value_name = "COUNT"
    )]
    pub acquires_limit: String,
    /// Maximum number of connections from other VMs open at once. The limit applies separately
    /// to connections for state messages and for calls.
    #[arg(
        long,
        env = "PRIMROSEWALK_PEER_CONNECTIONS_LIMIT",
        default_value = "256",
        value_name = "COUNT"
    )]
    pub peer_connections_limit: String,
    /// Validates the settings, reports every finding and exits: 0 without findings, else 2.
    #[arg(long)]
    pub check: bool,
}

/// How rates are enforced across the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuotaMode {
    /// The owner VM of an organisation holds its whole token bucket.
    Owner,
    /// Each VM holds an equal part of every token bucket.
    StaticShare,
}

/// How endpoints are chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RoutingMode {
    /// By load, data centre and cached prefix.
    Scored,
    /// At random among the endpoints with a free slot.
    Random,
}

/// The settings of a daemon after validation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Name of this VM on the platform's list.
    pub vm: VmId,
    /// The data centre that this VM is in.
    pub data_centre: DataCentreName,
    /// Address of the platform's configuration service.
    pub platform_address: SocketAddr,
    /// Address that callers connect to.
    pub caller_address: SocketAddr,
    /// Address that operators and metric readers connect to.
    pub operator_address: SocketAddr,
    /// Address that other VMs send state messages to.
    pub peer_state_address: SocketAddr,
    /// Address that other VMs send calls to.
    pub peer_call_address: SocketAddr,
    /// Format of log lines.
    pub log_format: LogFormat,
    /// Lowest level that is logged.
    pub log_level: Level,
    /// How rates are enforced across the fleet.
    pub quota: QuotaMode,
    /// How endpoints are chosen.
    pub routing: RoutingMode,
    /// Whether retries draw on a shared budget.
    pub retry_budget: bool,
    /// Maximum time that a planned stop waits for running requests.
    pub drain_limit: Duration,
    /// Number of threads that serve traffic.
    pub traffic_threads: usize,
    /// Maximum number of commands from traffic threads that may wait for the control thread.
    pub commands_limit: usize,
    /// Maximum number of requests for quota tokens in progress at once, separately for this VM's
    /// own requests and for those from other VMs.
    pub acquires_limit: usize,
    /// Maximum number of connections from other VMs open at once, separately for state messages
    /// and for calls.
    pub peer_connections_limit: usize,
}

/// Parses the values of flags and collects the findings.
struct FlagParser {
    findings: Findings,
}

impl FlagParser {
    fn parse<T: FromStr>(&mut self, flag: &str, text: &str) -> Option<T>
    where
        T::Err: Display,
    {
        if text.is_empty() {
            self.findings.add(flag, "must be given");
            return None;
        }
        let report = |error: T::Err| self.findings.add(flag, error.to_string());
        text.parse().map_err(report).ok()
    }

    fn address(&mut self, flag: &str, text: &str) -> Option<SocketAddr> {
        if text.is_empty() {
            self.findings.add(flag, "must be given");
            return None;
        }
        let parsed = text.parse::<SocketAddr>().ok();
        let usable = parsed.filter(|address| address.port() != 0);
        if usable.is_none() {
            let problem = format!("{text:?} is not an IP number and port, such as 127.0.0.1:7000");
            self.findings.add(flag, problem);
        }
        usable
    }

    /// Parses an address that other processes connect to, so its IP number must be specified.
    fn connectable_address(&mut self, flag: &str, text: &str) -> Option<SocketAddr> {
        let address = self.address(flag, text)?;
        if address.ip().is_unspecified() {
            let problem = format!("{address} is no address to connect to; give an IP number");
            self.findings.add(flag, problem);
            return None;
        }
        Some(address)
    }

    fn count(&mut self, flag: &str, text: &str, max: u64) -> Option<u64> {
        let parsed = text.parse().ok();
        let usable = parsed.filter(|count| (1..=max).contains(count));
        if usable.is_none() {
            let problem = format!("{text:?} is not a whole number from 1 to {max}");
            self.findings.add(flag, problem);
        }
        usable
    }

    fn count_limit(&mut self, flag: &str, text: &str) -> Option<usize> {
        let count = self.count(flag, text, MAX_COUNT_LIMIT)?;
        usize::try_from(count).ok()
    }

    fn choice<T: Copy>(&mut self, flag: &str, text: &str, choices: &[(&str, T)]) -> Option<T> {
        let found = choices.iter().find(|(name, _)| *name == text);
        if found.is_none() {
            let names: Vec<&str> = choices.iter().map(|(name, _)| *name).collect();
            let problem = format!("{text:?} is not one of: {}", names.join(", "));
            self.findings.add(flag, problem);
        }
        found.map(|(_, value)| *value)
    }

    /// Adds a finding for each address that an earlier flag has as well.
    fn check_distinct(&mut self, addresses: &[(&str, Option<SocketAddr>)]) {
        for (index, (flag, address)) in addresses.iter().enumerate() {
            let earlier = addresses[..index].iter();
            let mut same = earlier.filter(|(_, other)| address.is_some() && other == address);
            if let Some((other, _)) = same.next() {
                self.findings.add(*flag, format!("is the same as {other}"));
            }
        }
    }
}

impl Arguments {
    /// Validates all values together.
    ///
    /// # Errors
    ///
    /// Returns every finding, each with the name of its flag.
    pub fn validate(&self) -> Result<Settings, Findings> {
        let mut parser = FlagParser {
            findings: Findings::default(),
        };
        let settings = self.read(&mut parser);
        match settings {
            Some(settings) => parser.findings.into_result(settings),
            None => Err(parser.findings),
        }
    }

    fn read(&self, parser: &mut FlagParser) -> Option<Settings> {
        let vm = parser.parse("--vm", &self.vm);
        let data_centre = parser.parse("--data-centre", &self.data_centre);
        let platform_address =
            parser.connectable_address("--platform-address", &self.platform_address);
        let caller_address = parser.address("--caller-address", &self.caller_address);
        let operator_address = parser.address("--operator-address", &self.operator_address);
        let peer_state_address =
            parser.connectable_address("--peer-state-address", &self.peer_state_address);
        let peer_call_address = parser.address("--peer-call-address", &self.peer_call_address);
        parser.check_distinct(&[
            ("--caller-address", caller_address),
            ("--operator-address", operator_address),
            ("--peer-state-address", peer_state_address),
            ("--peer-call-address", peer_call_address),
        ]);
        let formats = [("text", LogFormat::Text), ("json", LogFormat::Json)];
        let log_format = parser.choice("--log-format", &self.log_format, &formats);
        let levels = [
            ("error", Level::Error),
            ("warning", Level::Warning),
            ("info", Level::Info),
            ("debug", Level::Debug),
            ("trace", Level::Trace),
        ];
        let log_level = parser.choice("--log-level", &self.log_level, &levels);
        let quotas = [
            ("home", QuotaMode::Owner),
            ("static-share", QuotaMode::StaticShare),
        ];
        let quota = parser.choice("--quota", &self.quota, &quotas);
        let routings = [
            ("scored", RoutingMode::Scored),
            ("random", RoutingMode::Random),
        ];
        let routing = parser.choice("--routing", &self.routing, &routings);
        let switches = [("on", true), ("off", false)];
        let retry_budget = parser.choice("--retry-budget", &self.retry_budget, &switches);
        let drain_limit_ms =
            parser.count("--drain-limit-ms", &self.drain_limit_ms, MAX_DRAIN_LIMIT_MS);
        let traffic_threads = parser.count("--traffic-threads", &self.traffic_threads, 256);
        let commands_limit = parser.count_limit("--commands-limit", &self.commands_limit);
        let acquires_limit = parser.count_limit("--acquires-limit", &self.acquires_limit);
        let connections = &self.peer_connections_limit;
        let peer_connections_limit = parser.count_limit("--peer-connections-limit", connections);
        Some(Settings {
            vm: vm?,
            data_centre: data_centre?,
            platform_address: platform_address?,
            caller_address: caller_address?,
            operator_address: operator_address?,
            peer_state_address: peer_state_address?,
            peer_call_address: peer_call_address?,
            log_format: log_format?,
            log_level: log_level?,
            quota: quota?,
            routing: routing?,
            retry_budget: retry_budget?,
            drain_limit: Duration::from_millis(drain_limit_ms?),
            traffic_threads: usize::try_from(traffic_threads?).ok()?,
            commands_limit: commands_limit?,
            acquires_limit: acquires_limit?,
            peer_connections_limit: peer_connections_limit?,
        })
    }
}
