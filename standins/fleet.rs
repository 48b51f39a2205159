//! Generates the files of a fleet: manifest, VM list, addresses, API keys and daemon flags.

use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::ops::Range;
use std::path::{Path, PathBuf};
use std::str::FromStr;

use anyhow::Context;
use clap::Args;
use primrosewalk::manifest::{ApiKeyDigest, VmEntry, VmList, VmState, parse_manifest};
use primrosewalk::units::Version;
use serde::Serialize;
use serde_json::{Value, json};

use crate::values::read_manifest;

/// Ports to choose from. They lie below the range from which the kernel takes ports for
/// outgoing connections, so that no connection takes a port after this program has found it
/// free and before its server starts.
const PORT_RANGE: Range<u16> = 12_000..32_000;

/// Distance between the first ports tried by two generators with consecutive process ids, so
/// that generators running at the same time try different ports.
const FIRST_PORT_SPACING: u32 = 250;

/// Flags of `fleet`.
#[derive(Args)]
pub struct FleetOptions {
    /// Directory to write to; it is created if it does not exist.
    #[arg(long, value_name = "DIR")]
    dir: PathBuf,
    /// A pipeline, as NAME=SERVICE,SERVICE,... with one stage for each service. The services
    /// encoder, retriever, reranker and engine have kinds of their own, all others are plain.
    /// A stage written as SERVICE! is not idempotent: it must not be retried. May be given
    /// several times.
    #[arg(long = "pipeline", value_name = "SHAPE", default_values = [
        "answer=encoder,retriever,reranker,engine", "payout=encoder,payments!",
    ])]
    pipelines: Vec<PipelineShape>,
    /// A pipeline that callers may use without an API key; its requests count against the
    /// rate of org-0. May be given several times.
    #[arg(long = "open-pipeline", value_name = "SHAPE", default_values = [
        "catalogue=encoder,retriever,reranker",
    ])]
    open_pipelines: Vec<PipelineShape>,
    /// Number of VMs, each of which accepts requests from callers.
    #[arg(long, default_value_t = 6)]
    vms: u32,
    /// Number of data centres; VMs and the endpoints of each service are assigned to them in
    /// turn.
    #[arg(long, default_value_t = 3)]
    data_centres: u32,
    /// Number of model engines.
    #[arg(long, default_value_t = 3)]
    engines: u32,
    /// Number of endpoints of each service other than engine.
    #[arg(long, default_value_t = 3)]
    endpoints_per_service: u32,
    /// Number of organisations, which are named org-0, org-1 and so on.
    #[arg(long, default_value_t = 2)]
    organisations: u32,
    /// Rate limit of an organisation, in requests per second. May be given several times, for
    /// org-0, org-1 and so on; the last one applies to all further organisations.
    #[arg(long = "rate", default_value = "50")]
    rates: Vec<f64>,
    /// Burst limit of every organisation, in requests.
    #[arg(long, default_value_t = 20)]
    burst: u32,
    /// Deadline of every pipeline, in milliseconds.
    #[arg(long, default_value_t = 3000)]
    deadline_ms: u64,
    /// Number of slots of every endpoint.
    #[arg(long, default_value_t = 16)]
    slots: u32,
    /// Number of slots of every endpoint in a cold start.
    #[arg(long, default_value_t = 2)]
    cold_slots: u32,
    /// Makes engines refuse orders with an old fencing number.
    #[arg(long)]
    checks_fencing: bool,
    /// First port to try. Without this flag: a port from 12000 to 31999 that depends on the
    /// process id.
    #[arg(long)]
    first_port: Option<u16>,
}

/// A pipeline as described by a flag, NAME=SERVICE,SERVICE,...
#[derive(Clone)]
struct PipelineShape {
    name: String,
    stages: Vec<StageShape>,
}

/// A stage as described by a flag, SERVICE or SERVICE! when it is not idempotent.
#[derive(Clone)]
struct StageShape {
    service: String,
    idempotent: bool,
}

impl FromStr for PipelineShape {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (name, stages) = text
            .split_once('=')
            .ok_or("expected NAME=SERVICE,SERVICE,...")?;
        let stages = stages.split(',').map(|stage| StageShape {
            service: stage.trim_end_matches('!').to_owned(),
            idempotent: !stage.ends_with('!'),
        });
        Ok(Self {
            name: name.to_owned(),
            stages: stages.collect(),
        })
    }
}

/// Returns the kind of stage that a service runs.
fn kind_of(service: &str) -> &'static str {
    match service {
        "encoder" => "encode",
        "retriever" => "retrieve",
        "reranker" => "rerank",
        "engine" => "generate",
        _ => "plain",
    }
}

/// Contents of `fleet.json`, which tests and scripts read.
#[derive(Serialize)]
struct FleetFile {
    platform_address: SocketAddr,
    fault_proxy_control_address: SocketAddr,
    daemons: Vec<Daemon>,
    keys: Vec<ApiKey>,
}

/// A daemon's entry in the VM list, and its operator address, which is not on that list.
#[derive(Serialize)]
struct Daemon {
    #[serde(flatten)]
    entry: VmEntry,
    operator_address: SocketAddr,
}

/// API key of an organisation.
#[derive(Serialize)]
struct ApiKey {
    organisation: String,
    key: String,
}

/// Finds loopback ports on which nothing listens, each at most once.
struct FreePorts {
    next_port: u32,
    /// Number of ports still to try; at the start, as many as `PORT_RANGE` has.
    untried: u32,
}

impl FreePorts {
    fn new(first: Option<u16>) -> Self {
        let port_count = u32::from(PORT_RANGE.end - PORT_RANGE.start);
        let offset = std::process::id().wrapping_mul(FIRST_PORT_SPACING) % port_count;
        Self {
            next_port: first.map_or(u32::from(PORT_RANGE.start) + offset, u32::from),
            untried: port_count,
        }
    }

    fn next_address(&mut self) -> anyhow::Result<SocketAddr> {
        while self.untried > 0 {
            let port = u16::try_from(self.next_port)?;
            self.untried -= 1;
            self.next_port = match self.next_port + 1 {
                next if next >= u32::from(PORT_RANGE.end) => u32::from(PORT_RANGE.start),
                next => next,
            };
            let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
            if TcpListener::bind(address).is_ok() {
                return Ok(address);
            }
        }
        anyhow::bail!("no free port on loopback in {PORT_RANGE:?}")
    }
}

/// Writes all files of the fleet and checks that daemons would accept its manifest.
pub fn run(options: &FleetOptions) -> anyhow::Result<()> {
    std::fs::create_dir_all(&options.dir)
        .with_context(|| format!("cannot create directory {}", options.dir.display()))?;
    let mut ports = FreePorts::new(options.first_port);
    let fleet = FleetFile {
        platform_address: ports.next_address()?,
        fault_proxy_control_address: ports.next_address()?,
        daemons: daemons(options, &mut ports)?,
        keys: (0..options.organisations).map(key_of).collect(),
    };
    let vms = VmList {
        version: Version(1),
        vms: fleet
            .daemons
            .iter()
            .map(|daemon| daemon.entry.clone())
            .collect(),
    };
    let manifest = json!({ "version": 1, "manifest": manifest(options, &mut ports)? });
    let dir = &options.dir;
    write_file(
        dir,
        "manifest.json",
        &serde_json::to_string_pretty(&manifest)?,
    )?;
    write_file(dir, "vms.json", &serde_json::to_string_pretty(&vms)?)?;
    write_file(dir, "fleet.json", &serde_json::to_string_pretty(&fleet)?)?;
    let lines = fleet
        .daemons
        .iter()
        .map(|daemon| daemon.flags(fleet.platform_address));
    write_file(dir, "daemons.txt", &lines.collect::<String>())?;
    let lines = fleet
        .keys
        .iter()
        .map(|key| format!("{} {}\n", key.organisation, key.key));
    write_file(dir, "keys.txt", &lines.collect::<String>())?;
    check_manifest(dir)
}

fn write_file(dir: &Path, name: &str, text: &str) -> anyhow::Result<()> {
    let path = dir.join(name);
    std::fs::write(&path, text).with_context(|| format!("cannot write {}", path.display()))
}

/// Returns an error if the flags have produced a manifest that no daemon would accept.
fn check_manifest(dir: &Path) -> anyhow::Result<()> {
    let published = read_manifest(&dir.join("manifest.json"))?;
    let parts = published
        .parts
        .iter()
        .map(|(sha256, bytes)| (sha256.as_str(), bytes.as_ref()));
    parse_manifest(Version(published.version), parts)?;
    Ok(())
}

impl Daemon {
    /// Returns the command-line flags of the daemon as one line.
    fn flags(&self, platform: SocketAddr) -> String {
        let entry = &self.entry;
        format!(
            "--vm {} --data-centre {} --platform-address {platform} --caller-address {} \
             --operator-address {} --peer-state-address {} --peer-call-address {}\n",
            entry.id,
            entry.data_centre,
            entry.caller_address,
            self.operator_address,
            entry.peer_state_address,
            entry.peer_call_address,
        )
    }
}

fn daemons(options: &FleetOptions, ports: &mut FreePorts) -> anyhow::Result<Vec<Daemon>> {
    let daemon = |index: u32| {
        let entry = VmEntry {
            id: format!("vm-{index}").parse()?,
            data_centre: data_centre_of(options, index).parse()?,
            state: VmState::Live,
            caller_address: ports.next_address()?,
            peer_state_address: ports.next_address()?,
            peer_call_address: ports.next_address()?,
        };
        let operator_address = ports.next_address()?;
        Ok(Daemon {
            entry,
            operator_address,
        })
    };
    (0..options.vms).map(daemon).collect()
}

fn data_centre_of(options: &FleetOptions, index: u32) -> String {
    format!("dc-{}", index % options.data_centres.max(1))
}

fn key_of(index: u32) -> ApiKey {
    let organisation = format!("org-{index}");
    let key = format!("key-{organisation}-1");
    ApiKey { organisation, key }
}

fn manifest(options: &FleetOptions, ports: &mut FreePorts) -> anyhow::Result<Value> {
    let keyed = options
        .pipelines
        .iter()
        .map(|shape| pipeline(options, shape, None));
    let open = options.open_pipelines.iter();
    let open = open.map(|shape| pipeline(options, shape, Some("org-0")));
    let mut endpoints = Vec::new();
    for service in services(options) {
        let count = match service {
            "engine" => options.engines,
            _ => options.endpoints_per_service,
        };
        for index in 0..count {
            endpoints.push(endpoint(options, service, index, ports.next_address()?));
        }
    }
    let rate = |index: u32| options.rates.get(index as usize).or(options.rates.last());
    let organisation = |index| {
        let key = key_of(index);
        let digest = ApiKeyDigest::of_key(&key.key).to_string();
        json!({ "name": key.organisation, "rate_per_second": rate(index),
                "burst": options.burst, "key_digests": [digest] })
    };
    let data_centre = |index| json!({ "name": format!("dc-{index}"), "region": "region-0" });
    Ok(json!({
        "weight_store_loads": 2,
        "data_centres": (0..options.data_centres).map(data_centre).collect::<Vec<_>>(),
        "models": [{ "name": "model-0", "wanted_engines": options.engines }],
        "pipelines": keyed.chain(open).collect::<Vec<_>>(),
        "endpoints": endpoints,
        "organisations": (0..options.organisations).map(organisation).collect::<Vec<_>>(),
    }))
}

/// Returns the names of all services that occur in pipelines.
fn services(options: &FleetOptions) -> BTreeSet<&str> {
    let pipelines = options.pipelines.iter().chain(&options.open_pipelines);
    let stages = pipelines.flat_map(|shape| &shape.stages);
    stages.map(|stage| stage.service.as_str()).collect()
}

fn pipeline(options: &FleetOptions, shape: &PipelineShape, open_as: Option<&str>) -> Value {
    let stage = |stage: &StageShape| {
        let kind = kind_of(&stage.service);
        let (model, weight) = match kind {
            "generate" => (Some("model-0"), 8),
            _ => (None, 1),
        };
        json!({ "name": stage.service, "kind": kind, "service": stage.service,
                "idempotent": stage.idempotent, "model": model, "weight": weight })
    };
    let stages: Vec<_> = shape.stages.iter().map(stage).collect();
    json!({ "name": shape.name, "deadline_ms": options.deadline_ms,
            "open_as": open_as, "stages": stages })
}

fn endpoint(options: &FleetOptions, service: &str, index: u32, address: SocketAddr) -> Value {
    let is_engine = service == "engine";
    let models: &[&str] = if is_engine { &["model-0"] } else { &[] };
    json!({
        "name": format!("{service}-{index}"),
        "kind": kind_of(service),
        "service": service,
        "address": address,
        "data_centre": data_centre_of(options, index),
        "slots": options.slots,
        "cold_slots": options.cold_slots,
        "models": models,
        "checks_fencing": is_engine && options.checks_fencing,
    })
}
