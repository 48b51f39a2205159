//! Load generator: sends open-loop requests to running daemons, triggers timed events and
//! writes a report.
//!
//! The report measures what callers get (`docs/design.md`, 1.2): the share of requests
//! answered completely within their deadline (attainment), the organisation with the lowest
//! attainment, refusals of requests inside the organisation's rate, and requests that a
//! non-idempotent stage ran twice.

mod arrivals;
mod caller;
mod client;
mod events;
mod fleet;
mod ledgers;
mod plot;
mod record;
mod report;
mod run;
mod scenario;

use std::path::PathBuf;

use clap::Args;

pub use arrivals::{Arrival, schedule};
pub use fleet::{Allowance, Fleet};
pub use ledgers::{LedgerReport, Ledgers, compare_ledgers};
pub use record::{Outcome, RequestRecord, StageTime};
pub use report::{Report, make_report};
pub use run::run;
pub use scenario::{Event, EventKind, OrganisationLoad, Scenario};

/// Options of `primrosewalk load`.
#[derive(Debug, Clone, Args)]
pub struct LoadOptions {
    /// Scenario file (TOML): the rate, pipeline mix and deadline of each organisation, and timed
    /// events.
    #[arg(long, value_name = "FILE")]
    pub scenario: PathBuf,
    /// Directory of the fleet, with `fleet.json`, `manifest.json`, `vms.json` and `pids/VM.pid`.
    #[arg(long, value_name = "DIR")]
    pub fleet_dir: PathBuf,
    /// Seed for arrival times and the choice of pipelines; defaults to the scenario's seed.
    #[arg(long)]
    pub seed: Option<u64>,
    /// Duration of the run in seconds; defaults to the scenario's duration.
    #[arg(long)]
    pub duration_s: Option<f64>,
    /// Maximum number of requests to send; defaults to the scenario's maximum.
    #[arg(long)]
    pub max_requests: Option<usize>,
    /// File to write the report to as JSON.
    #[arg(long, value_name = "FILE")]
    pub json: Option<PathBuf>,
    /// File to write a plot of attainment over time to as SVG.
    #[arg(long, value_name = "FILE")]
    pub plot: Option<PathBuf>,
}
