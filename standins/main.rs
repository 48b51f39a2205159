//! Stand-ins for tests and demonstrations: the platform, the endpoints, a TCP proxy that
//! injects faults, and a generator of fleets.

mod endpoint;
mod fault_proxy;
mod fleet;
mod http;
mod ledger;
mod platform;
mod run;
mod values;

use clap::{Parser, Subcommand};

/// Stand-ins for the outside systems that primrosewalk meets. All listen on loopback.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Serves the read-and-watch interface of the configuration service.
    ///
    /// DIR holds `manifest.json`, {"version": N, "manifest": {...}}, and `vms.json`, a VM list
    /// with its own version. Replace the files by renaming; they are published as soon as they
    /// change. A 304 carries in x-version the version that the platform still holds.
    ///
    /// Control: POST /control/stop, /control/start, /control/stale?version=N&vms_version=M
    /// (either may be left out), /control/fresh; GET /control/counts.
    Platform(platform::PlatformOptions),
    /// Serves one endpoint.
    ///
    /// Control: POST /control/cold, /control/fail?count=N&status=S (status 0 closes the
    /// connection), /control/slow?ms=N (added to each run), /control/pause, /control/resume.
    /// GET /ledger shows runs in order with their ids, refusals in a cold start and places
    /// where a key stood; GET /control/state the load report without the lag.
    Endpoint(endpoint::EndpointOptions),
    /// Serves all endpoints of a manifest document on their addresses in one process.
    Endpoints(endpoint::EndpointsOptions),
    /// Forwards TCP links and injects faults by HTTP control.
    ///
    /// Control: POST /control/pass, /control/cut (resets all connections, refuses new ones),
    /// /control/delay?ms=N (each way), /control/freeze (keeps connections open and delivers
    /// late), /control/resume (as pass), /control/half-open?forward=to|from (one direction).
    /// `link=LISTEN` limits a command to one link. GET /control/state shows all links.
    FaultProxy(fault_proxy::FaultProxyOptions),
    /// Writes manifest, VM list, addresses and keys of a fleet, then ends.
    ///
    /// Writes into DIR: `manifest.json` and `vms.json` for the platform, `fleet.json` with all
    /// addresses and keys, `daemons.txt` with the flags of one daemon a line, and `keys.txt`
    /// with one organisation and key a line. The key of organisation NAME is key-NAME-1.
    Fleet(fleet::FleetOptions),
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    match Arguments::parse().command {
        Command::Platform(options) => platform::run(options).await,
        Command::Endpoint(options) => endpoint::run_one(options).await,
        Command::Endpoints(options) => endpoint::run_file(options).await,
        Command::FaultProxy(options) => fault_proxy::run(options).await,
        Command::Fleet(options) => fleet::run(&options),
    }
}
