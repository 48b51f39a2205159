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
    Platform(platform::PlatformOptions),
    /// Serves one endpoint.
    Endpoint(endpoint::EndpointOptions),
    /// Serves all endpoints of a manifest document on their addresses in one process.
    Endpoints(endpoint::EndpointsOptions),
    /// Forwards TCP links and injects faults by HTTP control.
    FaultProxy(fault_proxy::FaultProxyOptions),
    /// Writes manifest, VM list, addresses and keys of a fleet, then ends.
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
