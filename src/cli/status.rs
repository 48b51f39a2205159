//! `primrosewalk status`: prints the state of one or more VMs as tables or JSON.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{Context as _, bail};
use clap::Args;
use comfy_table::Table;

use crate::cli::operators::OperatorOptions;
use crate::http::{self, Call};
use crate::manifest::EndpointState;
use crate::status::{CircuitStatus, Status};
use crate::units::OrganisationName;

/// Timeout for the head of an answer, and again for its body.
const TIMEOUT: Duration = Duration::from_secs(3);

/// Options of `primrosewalk status`.
#[derive(Debug, Args)]
pub struct StatusOptions {
    #[command(flatten)]
    operators: OperatorOptions,
}

/// Prints the state of each VM that answers; fails afterwards if any VM did not.
pub async fn status(options: StatusOptions) -> anyhow::Result<()> {
    let mut statuses = Vec::new();
    for address in &options.operators.operator_address {
        match fetch_status(*address).await {
            Ok(status) => statuses.push(status),
            Err(error) => eprintln!("{address}: {error:#}"),
        }
    }
    if options.operators.json {
        println!("{}", serde_json::to_string(&statuses)?);
    } else {
        println!("{}\n", vm_table(&statuses));
        println!("{}\n", endpoint_table(&statuses));
        println!("{}", organisation_table(&statuses));
    }
    let unreachable = options.operators.operator_address.len() - statuses.len();
    if unreachable > 0 {
        bail!("{unreachable} VMs could not be asked");
    }
    Ok(())
}

/// Reads the status document of a VM.
async fn fetch_status(address: SocketAddr) -> anyhow::Result<Status> {
    let call = Call::get(address, "/v1/status", TIMEOUT);
    let (_, body) = http::fetch(&call, TIMEOUT).await?;
    serde_json::from_slice(&body).context("the answer is not a status document")
}

fn yes_no(value: bool) -> String {
    if value { "yes" } else { "no" }.to_owned()
}

/// Makes a table with one row for each VM that answered.
fn vm_table(statuses: &[Status]) -> Table {
    let mut table = Table::new();
    table.set_header([
        "VM",
        "data centre",
        "in force",
        "stopping",
        "manifest",
        "VM list",
        "keys fresh",
        "running",
        "absent VMs",
    ]);
    for status in statuses {
        let absent = status.peers.iter().filter(|peer| peer.absent);
        let absent: Vec<&str> = absent.map(|peer| peer.vm.as_str()).collect();
        let manifest = status.manifest_version.map(|version| version.to_string());
        table.add_row([
            status.vm.to_string(),
            status.data_centre.to_string(),
            yes_no(status.has_lease),
            yes_no(status.stopping),
            manifest.unwrap_or_else(|| "none".to_owned()),
            status.list_version.to_string(),
            yes_no(status.api_keys_fresh),
            status.running_requests.to_string(),
            absent.join(" "),
        ]);
    }
    table
}

/// Makes a table with one row for each endpoint that the first VM knows. Its state is the one
/// that the first VM sees; requests in flight and granted slots are summed over the VMs that
/// answered.
fn endpoint_table(statuses: &[Status]) -> Table {
    let mut table = Table::new();
    table.set_header([
        "endpoint",
        "service",
        "data centre",
        "in service",
        "cold",
        "in flight",
        "granted",
        "slots",
        "circuit open on",
    ]);
    for endpoint in statuses.first().iter().flat_map(|status| &status.endpoints) {
        let mut in_flight = 0;
        let mut granted = 0;
        let mut circuit_open_on = Vec::new();
        for status in statuses {
            let entry = status
                .endpoints
                .iter()
                .find(|item| item.endpoint == endpoint.endpoint);
            let Some(seen) = entry else { continue };
            in_flight += seen.in_flight;
            granted += seen.granted_slots;
            if seen.circuit == CircuitStatus::Open {
                circuit_open_on.push(status.vm.as_str());
            }
        }
        let in_service = endpoint.in_service && endpoint.state == EndpointState::Live;
        table.add_row([
            endpoint.endpoint.to_string(),
            endpoint.service.to_string(),
            endpoint.data_centre.to_string(),
            yes_no(in_service),
            endpoint.cold.map_or_else(|| "unknown".to_owned(), yes_no),
            in_flight.to_string(),
            granted.to_string(),
            endpoint.slots.to_string(),
            circuit_open_on.join(" "),
        ]);
    }
    table
}

/// Makes a table of the requests of each organisation, summed over the VMs that answered.
fn organisation_table(statuses: &[Status]) -> Table {
    let mut totals = BTreeMap::<&OrganisationName, (u64, u64)>::new();
    for organisation in statuses.iter().flat_map(|status| &status.organisations) {
        let total = totals.entry(&organisation.organisation).or_default();
        total.0 += organisation.admitted;
        total.1 += organisation.refused;
    }
    let mut table = Table::new();
    table.set_header(["organisation", "admitted", "refused"]);
    for (organisation, (admitted, refused)) in totals {
        table.add_row([
            organisation.to_string(),
            admitted.to_string(),
            refused.to_string(),
        ]);
    }
    table
}
