//! Programs for tests and demonstrations: stand-ins for the platform and the endpoints, a TCP
//! proxy that injects faults, and a generator for the files of a fleet.

mod endpoint;
mod fault_proxy;
mod fleet;
mod http;
mod ledger;
mod platform;
mod platform_endpoint;
mod run;
mod values;

use clap::{Parser, Subcommand};

/// Stand-ins for the external systems that primrosewalk talks to. All listen on loopback.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Serves the interface of the configuration service, to read and watch values.
    ///
    /// DIR holds `manifest.json`, {"version": N, "manifest": {...}}, and `vms.json`, a VM list
    /// with a version of its own. Replace a file by renaming a new one to its name, so that no
    /// half-written file is read; a change is published soon after. The header x-version of a
    /// 304 is the version that the platform holds.
    ///
    /// Control: POST /control/stop, /control/start, /control/stale?version=N&vms_version=M
    /// (serves no newer versions than these; either may be left out), /control/fresh (ends
    /// that); GET /control/counts.
    Platform(platform::PlatformOptions),
    /// Serves one endpoint.
    ///
    /// Control: POST /control/cold, /control/fail?count=N&status=S (status 0 closes the
    /// connection), /control/fail-after-work (the same for runs that have taken place),
    /// /control/slow?ms=N (added to each run), /control/pause, /control/resume.
    /// GET /ledger returns runs in order of arrival with their ids, refusals in a cold start
    /// and the parts of requests that held an API key; GET /control/state returns the load
    /// report without the lag of --load-lag-ms.
    Endpoint(endpoint::EndpointOptions),
    /// Serves all endpoints of a manifest file on their addresses in one process.
    Endpoints(endpoint::EndpointsOptions),
    /// Serves a plain endpoint of the users' platform (`docs/platform.md`).
    ///
    /// Each answer has the id of its request and the endpoint's signature. A request that expects
    /// another endpoint is answered with 421.
    PlatformEndpoint(platform_endpoint::PlatformEndpointOptions),
    /// Forwards TCP connections and injects faults, controlled over HTTP.
    ///
    /// Control: POST /control/pass, /control/cut (resets all connections and refuses new
    /// ones), /control/delay?ms=N (in each direction), /control/freeze (keeps connections open
    /// and delivers their data after the freeze), /control/resume (same as pass),
    /// /control/half-open?forward=to|from (forwards only one direction). The query parameter
    /// `link=LISTEN` limits a command to one link. GET /control/state lists all links.
    FaultProxy(fault_proxy::FaultProxyOptions),
    /// Writes the manifest, VM list, addresses and API keys of a fleet, then exits.
    ///
    /// Files in DIR: `manifest.json` and `vms.json` for the platform, `fleet.json` with all
    /// addresses and keys, `daemons.txt` with the flags of one daemon per line, and `keys.txt`
    /// with one organisation and its API key per line. The API key of organisation NAME is
    /// key-NAME-1.
    Fleet(fleet::FleetOptions),
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    match Arguments::parse().command {
        Command::Platform(options) => platform::run(options).await,
        Command::Endpoint(options) => endpoint::serve_one(options).await,
        Command::Endpoints(options) => endpoint::serve_manifest(options).await,
        Command::PlatformEndpoint(options) => platform_endpoint::run(options).await,
        Command::FaultProxy(options) => fault_proxy::run(options).await,
        Command::Fleet(options) => fleet::run(&options),
    }
}
