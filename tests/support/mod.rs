//! Starts a fleet of real processes on loopback for the integration tests.
//!
//! Each VM has its own platform stand-in, so that a test can stop the platform or make it serve
//! stale values for one VM only. If the plan says so, connections to peers and endpoints go
//! through the fault proxy. Dropping the fleet kills every process that it started.

#![allow(dead_code, unused_imports)]

mod http_calls;
mod processes;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use tempfile::TempDir;

pub use http_calls::{Answer, Caller, get_json, post};
use processes::Process;
pub use processes::Signal;

const STANDINS: &str = env!("CARGO_BIN_EXE_primrosewalk-standins");
const DAEMON: &str = env!("CARGO_BIN_EXE_primrosewalkd");

/// Number of ports reserved for each fleet of a test binary. Test binaries run one after another
/// and reuse the same ports.
const PORTS_PER_FLEET: u16 = 700;
/// Number of fleets that this process has started; selects the next of 25 port blocks,
/// which are reused in turn.
static NEXT_FLEET: AtomicU16 = AtomicU16::new(0);

/// Timeout for a fleet to become ready, long enough for a busy machine.
pub const START_LIMIT: Duration = Duration::from_secs(60);

/// Settings of a fleet to start.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Number of VMs.
    pub vms: usize,
    /// Additional flags of the fleet generator.
    pub fleet_flags: Vec<&'static str>,
    /// Flags of the endpoint stand-ins.
    pub endpoint_flags: Vec<&'static str>,
    /// Additional flags of every daemon.
    pub daemon_flags: Vec<&'static str>,
    /// Whether links between VMs go through the fault proxy.
    pub proxied_peers: bool,
    /// Whether links to endpoints go through the fault proxy.
    pub proxied_endpoints: bool,
    /// Number of VMs that are in the VM list but that [`Fleet::start`] doesn't start.
    pub late_vms: usize,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            vms: 3,
            fleet_flags: Vec::new(),
            endpoint_flags: Vec::new(),
            daemon_flags: Vec::new(),
            proxied_peers: false,
            proxied_endpoints: false,
            late_vms: 0,
        }
    }
}

/// One VM of the fleet.
pub struct Vm {
    pub id: String,
    pub data_centre: String,
    pub caller: SocketAddr,
    pub operator: SocketAddr,
    platform: SocketAddr,
    platform_dir: PathBuf,
    flags: Vec<String>,
    daemon: Option<Process>,
}

/// One endpoint of the fleet.
#[derive(Debug, Clone)]
pub struct FleetEndpoint {
    pub name: String,
    pub service: String,
    pub data_centre: String,
    /// Address at which the stand-in listens, even if the manifest names a proxy link.
    pub address: SocketAddr,
}

/// A running fleet.
pub struct Fleet {
    dir: TempDir,
    pub vms: Vec<Vm>,
    pub endpoints: Vec<FleetEndpoint>,
    /// Manifest as last published.
    pub manifest: Value,
    vm_list: Value,
    manifest_version: u64,
    proxy_control: SocketAddr,
    /// Proxy address by source VM, target VM and address field of the VM list.
    peer_links: HashMap<(usize, usize, &'static str), SocketAddr>,
    /// Proxy address by endpoint name.
    endpoint_links: HashMap<String, SocketAddr>,
    daemon_flags: Vec<&'static str>,
    stand_ins: Vec<Process>,
}

fn parse_address(value: &Value) -> SocketAddr {
    value.as_str().unwrap().parse().unwrap()
}

fn read_json(path: &Path) -> Value {
    serde_json::from_slice(&std::fs::read(path).unwrap()).unwrap()
}

/// Replaces a file atomically, so that the platform never reads a partly written file.
fn replace_file(path: &Path, value: &Value) {
    let next = path.with_extension("next");
    std::fs::write(&next, value.to_string()).unwrap();
    std::fs::rename(&next, path).unwrap();
}

impl Fleet {
    /// Starts all processes except the late VMs, and waits until each started VM holds its lease
    /// and has slots at every endpoint.
    pub async fn start(plan: &Plan) -> Self {
        let mut fleet = Self::prepare(plan);
        fleet.start_stand_ins(plan).await;
        let started = plan.vms - plan.late_vms;
        for vm in 0..started {
            fleet.start_vm(vm);
        }
        for vm in 0..started {
            fleet.wait_for_lease(vm).await;
        }
        fleet
    }

    fn prepare(plan: &Plan) -> Self {
        let port_block = NEXT_FLEET.fetch_add(1, Ordering::Relaxed) % 25;
        let first_port = 12_000 + port_block * PORTS_PER_FLEET;
        // The first ports of the block are left to the fleet generator.
        let mut next_port = first_port + 200;
        let mut port = || {
            next_port += 1;
            SocketAddr::from(([127, 0, 0, 1], next_port))
        };
        let dir = tempfile::tempdir().unwrap();
        let mut generate = std::process::Command::new(STANDINS);
        generate.args(["fleet", "--first-port", &first_port.to_string()]);
        generate.args(["--vms", &plan.vms.to_string(), "--dir"]);
        generate.arg(dir.path()).args(&plan.fleet_flags);
        assert!(generate.status().unwrap().success());
        let generated = read_json(&dir.path().join("fleet.json"));
        let mut document = read_json(&dir.path().join("manifest.json"));
        let vm_list = read_json(&dir.path().join("vms.json"));

        let endpoints: Vec<FleetEndpoint> = document["manifest"]["endpoints"]
            .as_array()
            .unwrap()
            .iter()
            .map(|endpoint| FleetEndpoint {
                name: endpoint["name"].as_str().unwrap().to_owned(),
                service: endpoint["service"].as_str().unwrap().to_owned(),
                data_centre: endpoint["data_centre"].as_str().unwrap().to_owned(),
                address: parse_address(&endpoint["address"]),
            })
            .collect();
        let mut endpoint_links = HashMap::new();
        if plan.proxied_endpoints {
            let listed = document["manifest"]["endpoints"].as_array_mut().unwrap();
            for endpoint in listed {
                let link = port();
                endpoint_links.insert(endpoint["name"].as_str().unwrap().to_owned(), link);
                endpoint["address"] = json!(link);
            }
        }
        let mut peer_links = HashMap::new();
        if plan.proxied_peers {
            for source in 0..plan.vms {
                for target in (0..plan.vms).filter(|target| *target != source) {
                    for kind in ["peer_state_address", "peer_call_address"] {
                        peer_links.insert((source, target, kind), port());
                    }
                }
            }
        }
        let vms = generated["daemons"].as_array().unwrap().iter().enumerate();
        let vms = vms.map(|(index, daemon)| {
            let text = |name: &str| daemon[name].as_str().unwrap().to_owned();
            let platform = port();
            let flags = [
                ("--vm", text("id")),
                ("--data-centre", text("data_centre")),
                ("--platform-address", platform.to_string()),
                ("--caller-address", text("caller_address")),
                ("--operator-address", text("operator_address")),
                ("--peer-state-address", text("peer_state_address")),
                ("--peer-call-address", text("peer_call_address")),
            ];
            let platform_dir = dir.path().join(format!("platform-{index}"));
            std::fs::create_dir(&platform_dir).unwrap();
            Vm {
                id: text("id"),
                data_centre: text("data_centre"),
                caller: parse_address(&daemon["caller_address"]),
                operator: parse_address(&daemon["operator_address"]),
                platform,
                platform_dir,
                flags: flags
                    .into_iter()
                    .flat_map(|(name, value)| [name.to_owned(), value])
                    .collect(),
                daemon: None,
            }
        });
        Self {
            vms: vms.collect(),
            endpoints,
            manifest: document["manifest"].take(),
            vm_list,
            manifest_version: 1,
            proxy_control: parse_address(&generated["fault_proxy_control_address"]),
            peer_links,
            endpoint_links,
            daemon_flags: plan.daemon_flags.clone(),
            stand_ins: Vec::new(),
            dir,
        }
    }

    async fn start_stand_ins(&mut self, plan: &Plan) {
        self.write_documents();
        let file = self.dir.path().join("manifest.json");
        let mut flags: Vec<String> = vec!["endpoints".into(), "--file".into()];
        flags.push(file.to_str().unwrap().to_owned());
        flags.extend(plan.endpoint_flags.iter().map(|flag| (*flag).to_owned()));
        // The stand-ins read the manifest as generated, so they listen on their own addresses and
        // not on those of the proxy.
        self.stand_ins.push(Process::start(STANDINS, &flags, None));
        for vm in &self.vms {
            let dir = vm.platform_dir.to_str().unwrap();
            let flags = [
                "platform",
                "--listen",
                &vm.platform.to_string(),
                "--dir",
                dir,
            ];
            self.stand_ins.push(Process::start(STANDINS, &flags, None));
        }
        let mut flags = vec!["fault-proxy".to_owned(), "--control".to_owned()];
        flags.push(self.proxy_control.to_string());
        for ((_, target, kind), listen) in &self.peer_links {
            let to = self.vm_list["vms"][target][kind].as_str().unwrap();
            flags.extend(["--link".to_owned(), format!("{listen}={to}")]);
        }
        for endpoint in &self.endpoints {
            if let Some(listen) = self.endpoint_links.get(&endpoint.name) {
                flags.extend([
                    "--link".to_owned(),
                    format!("{listen}={}", endpoint.address),
                ]);
            }
        }
        // The proxy is started only if it has links.
        if flags.len() > 3 {
            self.stand_ins.push(Process::start(STANDINS, &flags, None));
            wait_until_listening(self.proxy_control).await;
        }
        for address in self.vms.iter().map(|vm| vm.platform) {
            wait_until_listening(address).await;
        }
        for endpoint in &self.endpoints {
            wait_until_listening(endpoint.address).await;
        }
    }

    /// Writes the manifest and the VM list that each VM's platform stand-in publishes. The VM lists
    /// differ only in the addresses of peers that are reached through the proxy.
    fn write_documents(&self) {
        let document = json!({ "version": self.manifest_version, "manifest": self.manifest });
        for source in 0..self.vms.len() {
            let dir = &self.vms[source].platform_dir;
            let mut vm_list = self.vm_list.clone();
            for ((from, target, kind), listen) in &self.peer_links {
                if *from == source && !vm_list["vms"][target].is_null() {
                    vm_list["vms"][target][*kind] = json!(listen);
                }
            }
            replace_file(&dir.join("manifest.json"), &document);
            replace_file(&dir.join("vms.json"), &vm_list);
        }
    }

    /// Changes the manifest, publishes it to all VMs and returns the new version.
    pub fn publish(&mut self, edit: impl FnOnce(&mut Value)) -> u64 {
        edit(&mut self.manifest);
        self.manifest_version += 1;
        self.write_documents();
        self.manifest_version
    }

    /// Starts or restarts a daemon. A restarted daemon has lost all state of its earlier process.
    pub fn start_vm(&mut self, vm: usize) {
        let mut flags = self.vms[vm].flags.clone();
        flags.extend(self.daemon_flags.iter().map(|flag| (*flag).to_owned()));
        let log = self.dir.path().join(format!("{}.log", self.vms[vm].id));
        self.vms[vm].daemon = Some(Process::start(DAEMON, &flags, Some(&log)));
    }

    /// Sends a signal to a daemon.
    pub fn signal(&self, vm: usize, signal: Signal) {
        self.vms[vm].daemon.as_ref().unwrap().signal(signal);
    }

    /// Kills a daemon with SIGKILL and waits until its process has ended.
    pub fn kill(&mut self, vm: usize) {
        self.vms[vm].daemon = None;
    }

    /// Waits at most `limit` until a daemon has exited by itself and returns its exit code, or
    /// `None` if it still runs.
    pub async fn exit_code(&mut self, vm: usize, limit: Duration) -> Option<i32> {
        let end = Instant::now() + limit;
        let daemon = self.vms[vm].daemon.as_mut().unwrap();
        while Instant::now() < end {
            if let Some(code) = daemon.exit_code() {
                return Some(code);
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        None
    }

    /// Reads the status that a VM reports on its operator address.
    pub async fn status(&self, vm: usize) -> anyhow::Result<Value> {
        get_json(self.vms[vm].operator, "/v1/status").await
    }

    /// Waits until a VM holds its lease from a majority and has slots at every endpoint, which
    /// takes a few seconds after the start of a fleet.
    pub async fn wait_for_lease(&self, vm: usize) {
        self.wait_status(
            vm,
            "holding its lease and slots at every endpoint",
            |status| {
                let endpoints = status["endpoints"].as_array();
                let granted = |endpoint: &Value| endpoint["granted_slots"] != json!(0);
                status["in_force"] == true
                    && endpoints.is_some_and(|all| !all.is_empty() && all.iter().all(granted))
            },
        )
        .await;
    }

    /// Waits until a VM's status satisfies a condition and returns how long that took. `what`
    /// describes the condition and completes the message "vm-0 is not ..." of the panic.
    pub async fn wait_status(
        &self,
        vm: usize,
        what: &str,
        condition: impl Fn(&Value) -> bool,
    ) -> Duration {
        let start = Instant::now();
        let mut last_status = None;
        while start.elapsed() < START_LIMIT {
            last_status = self.status(vm).await.ok();
            if last_status.as_ref().is_some_and(&condition) {
                return start.elapsed();
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        panic!(
            "{} is not {what} after {START_LIMIT:?}; last status: {last_status:?}; log:\n{}",
            self.vms[vm].id,
            self.log(vm)
        );
    }

    /// Returns the log of a daemon, which spans its restarts.
    pub fn log(&self, vm: usize) -> String {
        let path = self.dir.path().join(format!("{}.log", self.vms[vm].id));
        std::fs::read_to_string(path).unwrap_or_default()
    }

    /// Returns a caller with the API key of an organisation.
    pub fn caller(&self, organisation: &str) -> Caller {
        Caller::new(&format!("key-{organisation}-1"))
    }

    /// Sends a control request to a VM's platform stand-in, such as `/control/stop`.
    pub async fn control_platform(&self, vm: usize, command: &str) {
        post(self.vms[vm].platform, command).await;
    }

    /// Sends a command such as `cut` or `freeze` to the fault proxy for both links from VM `source`
    /// to VM `target`.
    pub async fn control_peer_links(&self, source: usize, target: usize, command: &str) {
        for kind in ["peer_state_address", "peer_call_address"] {
            let link = self.peer_links[&(source, target, kind)];
            self.control_link(&link, command).await;
        }
    }

    /// Sends a command such as `cut` or `pass` to the fault proxy for all links between a VM and
    /// the others, in both directions.
    pub async fn control_links_of_vm(&self, vm: usize, command: &str) {
        for other in (0..self.vms.len()).filter(|other| *other != vm) {
            self.control_peer_links(vm, other, command).await;
            self.control_peer_links(other, vm, command).await;
        }
    }

    /// Sends a command to the fault proxy for the links from all VMs to an endpoint.
    pub async fn control_endpoint_link(&self, endpoint: &str, command: &str) {
        let link = self.endpoint_links[endpoint];
        self.control_link(&link, command).await;
    }

    async fn control_link(&self, link: &SocketAddr, command: &str) {
        let separator = if command.contains('?') { '&' } else { '?' };
        post(
            self.proxy_control,
            &format!("/control/{command}{separator}link={link}"),
        )
        .await;
    }

    /// Returns the endpoints of a service.
    pub fn service(&self, service: &str) -> impl Iterator<Item = &FleetEndpoint> {
        self.endpoints
            .iter()
            .filter(move |endpoint| endpoint.service == service)
    }

    /// Sends a control request to an endpoint stand-in, such as `/control/cold`.
    pub async fn control_endpoint(&self, name: &str, command: &str) {
        let endpoint = self.endpoints.iter().find(|endpoint| endpoint.name == name);
        post(endpoint.unwrap().address, command).await;
    }

    /// Returns the runs in the ledgers of all endpoints of a service, with the endpoint's name
    /// added to each run.
    pub async fn runs(&self, service: &str) -> Vec<Value> {
        let mut runs = Vec::new();
        for endpoint in self.service(service) {
            let ledger = get_json(endpoint.address, "/ledger").await.unwrap();
            for run in ledger["runs"].as_array().unwrap() {
                let mut run = run.clone();
                run["endpoint"] = json!(endpoint.name);
                runs.push(run);
            }
        }
        runs
    }

    /// Returns the number of runs in a service's ledgers that have the given request id.
    pub async fn runs_of(&self, service: &str, request_id: &str) -> usize {
        let runs = self.runs(service).await;
        runs.iter()
            .filter(|run| run["request_id"] == request_id)
            .count()
    }
}

async fn wait_until_listening(address: SocketAddr) {
    let end = Instant::now() + START_LIMIT;
    while tokio::net::TcpStream::connect(address).await.is_err() {
        assert!(
            Instant::now() < end,
            "nothing listens at {address} after {START_LIMIT:?}"
        );
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}
