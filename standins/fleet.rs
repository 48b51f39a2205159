//! Writes the files of a fleet: manifest, VM list, addresses, keys and daemon flags.

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

/// Ports below those that the kernel gives to outgoing connections, so that no connection
/// takes a port between this program's check and the start of its server.
const PORTS: Range<u16> = 12_000..32_000;

/// Ports by which two generators that run at once start apart.
const PORTS_APART: u32 = 250;

/// Flags of `fleet`.
#[derive(Args)]
pub struct FleetOptions {
    /// Directory to write to; made when it is not there.
    #[arg(long, value_name = "DIR")]
    dir: PathBuf,
    /// A pipeline, NAME=SERVICE,SERVICE,... The services encoder, retriever, reranker and
    /// engine have their own kinds, all others are plain. SERVICE! must not be repeated.
    #[arg(long = "pipeline", value_name = "SHAPE", default_values = [
        "answer=encoder,retriever,reranker,engine", "payout=encoder,payments!",
    ])]
    pipelines: Vec<PipelineShape>,
    /// A pipeline that is open to callers without a key and counts against org-0.
    #[arg(long = "open-pipeline", value_name = "SHAPE", default_values = [
        "catalogue=encoder,retriever,reranker",
    ])]
    open_pipelines: Vec<PipelineShape>,
    /// Entry VMs.
    #[arg(long, default_value_t = 6)]
    vms: u32,
    /// Data centres; VMs and endpoints are spread over them in turn.
    #[arg(long, default_value_t = 3)]
    data_centres: u32,
    /// Model engines.
    #[arg(long, default_value_t = 3)]
    engines: u32,
    /// Endpoints of each service that is no engine.
    #[arg(long, default_value_t = 3)]
    endpoints_per_service: u32,
    /// Organisations, named org-0, org-1 and so on.
    #[arg(long, default_value_t = 2)]
    organisations: u32,
    /// Rate of the organisations, in requests a second. Repeat for org-0, org-1 and so on;
    /// the last one holds for the rest.
    #[arg(long = "rate", default_value = "50")]
    rates: Vec<f64>,
    /// Burst of every organisation, in requests.
    #[arg(long, default_value_t = 20)]
    burst: u32,
    /// Deadline of every pipeline, in milliseconds.
    #[arg(long, default_value_t = 3000)]
    deadline_ms: u64,
    /// Slots of every endpoint.
    #[arg(long, default_value_t = 16)]
    slots: u32,
    /// Slots of every endpoint in a cold start.
    #[arg(long, default_value_t = 2)]
    cold_slots: u32,
    /// Whether engines refuse orders with an old fencing number.
    #[arg(long)]
    checks_fencing: bool,
    /// First port to try; without it, one from 12000 to 31999 by the process id.
    #[arg(long)]
    first_port: Option<u16>,
}

/// A pipeline as a flag gives it.
#[derive(Clone)]
struct PipelineShape {
    name: String,
    stages: Vec<StageShape>,
}

#[derive(Clone)]
struct StageShape {
    service: String,
    idempotent: bool,
}

impl FromStr for PipelineShape {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (name, stages) = text.split_once('=').ok_or("use NAME=SERVICE,SERVICE")?;
        let stages = stages.split(',').map(|marked| StageShape {
            service: marked.trim_end_matches('!').to_owned(),
            idempotent: !marked.ends_with('!'),
        });
        Ok(Self {
            name: name.to_owned(),
            stages: stages.collect(),
        })
    }
}

fn kind_of(service: &str) -> &'static str {
    match service {
        "encoder" => "encode",
        "retriever" => "retrieve",
        "reranker" => "rerank",
        "engine" => "generate",
        _ => "plain",
    }
}

/// Answer of the generator, for tests and scripts.
#[derive(Serialize)]
struct Fleet {
    platform_address: SocketAddr,
    fault_proxy_control_address: SocketAddr,
    daemons: Vec<Daemon>,
    keys: Vec<Key>,
}

#[derive(Serialize)]
struct Daemon {
    #[serde(flatten)]
    entry: VmEntry,
    operator_address: SocketAddr,
}

#[derive(Serialize)]
struct Key {
    organisation: String,
    key: String,
}

/// Hands out free ports of loopback.
struct Ports {
    next: u32,
    left: u32,
}

impl Ports {
    fn new(first: Option<u16>) -> Self {
        let span = u32::from(PORTS.end - PORTS.start);
        let own = std::process::id().wrapping_mul(PORTS_APART) % span;
        Self {
            next: first.map_or(u32::from(PORTS.start) + own, u32::from),
            left: span,
        }
    }

    fn address(&mut self) -> anyhow::Result<SocketAddr> {
        while self.left > 0 {
            let port = u16::try_from(self.next)?;
            self.left -= 1;
            self.next = match self.next + 1 {
                next if next >= u32::from(PORTS.end) => u32::from(PORTS.start),
                next => next,
            };
            let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
            if TcpListener::bind(address).is_ok() {
                return Ok(address);
            }
        }
        anyhow::bail!("no free port on loopback")
    }
}

/// Writes all files.
pub fn run(options: &FleetOptions) -> anyhow::Result<()> {
    std::fs::create_dir_all(&options.dir)
        .with_context(|| format!("cannot make {}", options.dir.display()))?;
    let mut ports = Ports::new(options.first_port);
    let fleet = Fleet {
        platform_address: ports.address()?,
        fault_proxy_control_address: ports.address()?,
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
    write(
        dir,
        "manifest.json",
        &serde_json::to_string_pretty(&manifest)?,
    )?;
    write(dir, "vms.json", &serde_json::to_string_pretty(&vms)?)?;
    write(dir, "fleet.json", &serde_json::to_string_pretty(&fleet)?)?;
    let lines = fleet
        .daemons
        .iter()
        .map(|daemon| daemon.flags(fleet.platform_address));
    write(dir, "daemons.txt", &lines.collect::<String>())?;
    let lines = fleet
        .keys
        .iter()
        .map(|key| format!("{} {}\n", key.organisation, key.key));
    write(dir, "keys.txt", &lines.collect::<String>())?;
    check(dir)
}

fn write(dir: &Path, name: &str, text: &str) -> anyhow::Result<()> {
    let path = dir.join(name);
    std::fs::write(&path, text).with_context(|| format!("cannot write {}", path.display()))
}

/// Refuses flags that make a manifest which no daemon would take.
fn check(dir: &Path) -> anyhow::Result<()> {
    let published = read_manifest(&dir.join("manifest.json"))?;
    let parts = published
        .parts
        .iter()
        .map(|(name, bytes)| (name.as_str(), bytes.as_ref()));
    parse_manifest(Version(published.version), parts)?;
    Ok(())
}

impl Daemon {
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

fn daemons(options: &FleetOptions, ports: &mut Ports) -> anyhow::Result<Vec<Daemon>> {
    let daemon = |index: u32| {
        let entry = VmEntry {
            id: format!("vm-{index}").parse()?,
            data_centre: data_centre_of(options, index).parse()?,
            state: VmState::Live,
            caller_address: ports.address()?,
            peer_state_address: ports.address()?,
            peer_call_address: ports.address()?,
        };
        let operator_address = ports.address()?;
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

fn key_of(index: u32) -> Key {
    let organisation = format!("org-{index}");
    let key = format!("key-{organisation}-1");
    Key { organisation, key }
}

fn manifest(options: &FleetOptions, ports: &mut Ports) -> anyhow::Result<Value> {
    let closed = options
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
            endpoints.push(endpoint(options, service, index, ports.address()?));
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
        "pipelines": closed.chain(open).collect::<Vec<_>>(),
        "endpoints": endpoints,
        "organisations": (0..options.organisations).map(organisation).collect::<Vec<_>>(),
    }))
}

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
