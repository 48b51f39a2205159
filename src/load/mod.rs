//! Load generator: open-loop arrivals against running daemons, timed events and a report.
//!
//! It measures what callers get (`docs/design.md`, 1.2): attainment from end to end, the
//! worst-served organisation, refusals inside the rate and requests that ran twice.

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

/// Flags of the load generator.
#[derive(Debug, Clone, Args)]
pub struct LoadOptions {
    /// Scenario file: organisations with rate, pipeline mix and deadline, and timed events.
    #[arg(long, value_name = "FILE")]
    pub scenario: PathBuf,
    /// Directory of the fleet: `fleet.json`, `manifest.json`, `vms.json` and `pids/VM.pid`.
    #[arg(long, value_name = "DIR")]
    pub fleet_dir: PathBuf,
    /// Seed of arrivals and pipelines; without it the scenario's own.
    #[arg(long)]
    pub seed: Option<u64>,
    /// Length of the run in seconds; without it the scenario's own.
    #[arg(long)]
    pub duration_s: Option<f64>,
    /// Requests after which no more are sent; without it the scenario's own.
    #[arg(long)]
    pub max_requests: Option<usize>,
    /// File for the report as JSON.
    #[arg(long, value_name = "FILE")]
    pub json: Option<PathBuf>,
    /// File for the plot of attainment over time as SVG.
    #[arg(long, value_name = "FILE")]
    pub plot: Option<PathBuf>,
}
