//! Test fixture: small stand-ins for the users' platform and its endpoints, and VMs that run as
//! real processes.
//!
//! Each test gets its own addresses in the loopback range, so that tests can run in parallel.
#![allow(dead_code, reason = "each test binary uses only some of these items")]

pub mod backend;
pub mod caller;
pub mod odd_items;
pub mod peer_proxy;
pub mod ranks;
pub mod silence;
pub mod store;
pub mod versions;

use std::ffi::OsString;
use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::{Method, StatusCode};
use primrosewalk::http::{Call, send};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};

use backend::{Backend, Kind};
use store::Store;

/// Timeout of one step of a test. A step takes milliseconds on an idle machine; the timeout leaves
/// time for a busy one.
pub const STEP_TIMEOUT: Duration = Duration::from_secs(20);

static NEXT_SUBNET: AtomicU32 = AtomicU32::new(0);

/// Returns the second and third byte of a loopback subnet that no other test fleet on this machine
/// uses. They are computed from the process id and the number of fleets in this process.
fn next_subnet() -> [u8; 2] {
    let fleet_number = NEXT_SUBNET.fetch_add(1, Ordering::Relaxed);
    let process = std::process::id();
    [
        100 + (process % 100) as u8,
        (process / 100 * 16 + fleet_number) as u8,
    ]
}

/// One VM, run as a daemon process by the test.
pub struct Vm {
    pub name: String,
    pub ip: Ipv4Addr,
    pub data_centre: String,
    pub settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Vm {
    pub fn start(&mut self) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log)
            .unwrap();
        let program = self.earlier_build();
        let program = program.unwrap_or_else(|| env!("CARGO_BIN_EXE_primrosewalkd").into());
        let child = Command::new(program)
            .env("PRIMROSEWALK_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap();
        self.child = Some(child);
    }

    /// Returns the program of an earlier build if this VM runs it: `EARLIER_BUILD` may name one for every second VM.
    pub fn earlier_build(&self) -> Option<OsString> {
        let is_chosen = self.ip.octets()[3].is_multiple_of(2);
        std::env::var_os("EARLIER_BUILD").filter(|_| is_chosen)
    }

    pub fn signal(&self, signal: Signal) {
        let child = self.child.as_ref().unwrap();
        let pid = Pid::from_raw(child.id() as i32).unwrap();
        kill_process(pid, signal).unwrap();
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Waits until the process exits by itself, at most [`STEP_TIMEOUT`]. Returns whether it exited
    /// in time and with success.
    pub async fn wait_for_exit(&mut self) -> bool {
        let started = Instant::now();
        let child = self.child.as_mut().unwrap();
        while started.elapsed() < STEP_TIMEOUT {
            if let Some(status) = child.try_wait().unwrap() {
                self.child = None;
                return status.success();
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        false
    }

    /// Returns how the process ended, once it has exited by itself.
    pub fn exited(&mut self) -> Option<ExitStatus> {
        let status = self.child.as_mut()?.try_wait().unwrap()?;
        self.child = None;
        Some(status)
    }

    /// Returns whether the test has started the process and has neither killed it nor seen it exit.
    pub fn is_running(&self) -> bool {
        self.child.is_some()
    }

    /// Returns the id of the process, if the test has started it and has not seen it end.
    pub fn process_id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Returns a field of the process's status in the proc file system.
    fn process_status(&self, field: &str) -> Option<String> {
        let pid = self.child.as_ref()?.id();
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
        let mut lines = status.lines();
        let value = lines.find_map(|line| line.strip_prefix(field)?.strip_prefix(':'))?;
        Some(value.trim().to_owned())
    }

    /// Returns the largest memory that the process has used since its start.
    pub fn peak_memory_bytes(&self) -> usize {
        self.process_size("VmHWM")
    }

    /// Returns the memory that the process uses.
    pub fn memory_bytes(&self) -> usize {
        self.process_size("VmRSS")
    }

    fn process_size(&self, field: &str) -> usize {
        let size = self.process_status(field).unwrap();
        let kib: usize = size.strip_suffix(" kB").unwrap().parse().unwrap();
        kib * 1024
    }

    /// Returns whether the process has a handler for a signal, which otherwise ends it.
    pub fn handles(&self, signal: Signal) -> bool {
        let mask = self.process_status("SigCgt").unwrap_or_default();
        let mask = u64::from_str_radix(&mask, 16).unwrap_or_default();
        mask >> (signal.as_raw() - 1) & 1 == 1
    }

    /// Returns the address at which the VM accepts the requests of callers.
    pub fn caller_address(&self) -> SocketAddr {
        (self.ip, 8625).into()
    }

    /// Returns what the VM has logged over all its runs.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Returns the metrics of the VM as text.
    pub async fn metrics(&self) -> String {
        let address = (self.ip, METRICS_PORT).into();
        let call = Call::get(address, "/metrics", STEP_TIMEOUT);
        let (_, body) = primrosewalk::http::fetch(&call, STEP_TIMEOUT)
            .await
            .unwrap();
        String::from_utf8_lossy(&body).into_owned()
    }

    pub async fn is_ready(&self) -> bool {
        let address = (self.ip, 8621).into();
        let call = Call::get(address, "/api/readyz", Duration::from_millis(500));
        matches!(send(&call).await, Ok(answer) if answer.status() == StatusCode::OK)
    }

    /// Returns the addresses that the VM's directory names to a caller in `data_centre`. The list
    /// is empty when the directory does not answer.
    pub async fn addresses(&self, data_centre: &str) -> Vec<SocketAddr> {
        let path = format!("/api/resolve?Name=h.example&Region=r&Zone={data_centre}");
        let address = (self.ip, 8620).into();
        let call = Call::get(address, &path, Duration::from_millis(500));
        let Ok((_, body)) = primrosewalk::http::fetch(&call, Duration::from_millis(500)).await
        else {
            return Vec::new();
        };
        let answer: Value = serde_json::from_slice(&body).unwrap_or_default();
        let list = answer["Addresses"].as_array().cloned().unwrap_or_default();
        list.iter()
            .filter_map(|address| address.as_str()?.parse().ok())
            .collect()
    }
}

impl Drop for Vm {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Store, endpoints and VMs of one test.
pub struct Fleet {
    pub store: Store,
    pub vms: Vec<Vm>,
    pub backends: Vec<Backend>,
    pub configuration: Value,
    subnet: [u8; 2],
    proxy: Option<Proxy>,
    _files: tempfile::TempDir,
}

/// Port on which a VM serves its metrics.
const METRICS_PORT: u16 = 7742;
/// Port on which an endpoint listens.
const ENDPOINT_PORT: u16 = 9_000;
/// Port on which the proxy listens for an endpoint, at the endpoint's IP address.
const PROXY_PORT: u16 = 9_001;
/// Number of endpoints that are behind the proxy, counted from the first one.
const PROXIED_ENDPOINTS: usize = 6;

/// Process of the fault-injecting proxy between VMs and endpoints.
struct Proxy {
    /// Address of the interface through which a test sets the faults.
    control: SocketAddr,
    child: Child,
}

impl Drop for Proxy {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn backend_ip(subnet: [u8; 2], number: usize) -> Ipv4Addr {
    Ipv4Addr::new(127, subnet[0], subnet[1], 100 + number as u8)
}

fn start_proxy(subnet: [u8; 2]) -> Proxy {
    let control = (Ipv4Addr::new(127, subnet[0], subnet[1], 251), 9_100).into();
    let mut command = Command::new(env!("CARGO_BIN_EXE_primrosewalk-standins"));
    command.args(["fault-proxy", "--control", &format!("{control}")]);
    for number in 0..PROXIED_ENDPOINTS {
        let ip = backend_ip(subnet, number);
        command.args(["--link", &format!("{ip}:{PROXY_PORT}={ip}:{ENDPOINT_PORT}")]);
    }
    let child = command
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .spawn()
        .unwrap();
    Proxy { control, child }
}

/// Number of VMs with addresses of one subnet; the endpoints' follow.
const MAX_VMS_OF_SUBNET: usize = 99;
/// Largest number of VMs that a directory names.
const MAX_NAMED_VMS: usize = 64;

/// Data centres to which VMs and endpoints are assigned in turn.
pub const DATA_CENTRES: [&str; 3] = ["a", "b", "c"];

impl Fleet {
    /// Starts a store, endpoints of each kind and VMs, and waits until all VMs are ready.
    pub async fn start(vms: usize) -> Self {
        let mut fleet = Self::prepare(vms).await;
        for vm in &mut fleet.vms {
            vm.start();
        }
        fleet.wait_until_ready().await;
        fleet
    }

    /// Like [`Fleet::start`], with a fault-injecting proxy between the VMs and the endpoints.
    pub async fn start_proxied(vms: usize) -> Self {
        let mut fleet = Self::prepare_in(next_subnet(), vms, true).await;
        for vm in &mut fleet.vms {
            vm.start();
        }
        fleet.wait_until_ready().await;
        fleet
    }

    /// Sets how the proxy treats the connections to one endpoint, or to all endpoints if
    /// `endpoint` is `None`. `mode` is a path of the proxy's control interface, such as
    /// `delay?ms=30`.
    pub async fn set_link_mode(&self, endpoint: Option<usize>, mode: &str) {
        let proxy = self.proxy.as_ref().unwrap();
        let listen =
            endpoint.map(|number| format!("{}:{PROXY_PORT}", backend_ip(self.subnet, number)));
        let separator = if mode.contains('?') { '&' } else { '?' };
        let link_query = listen.map_or(String::new(), |listen| format!("{separator}link={listen}"));
        let path = format!("/control/{mode}{link_query}");
        let call = Call {
            address: proxy.control,
            own_ip: None,
            method: Method::POST,
            path: &path,
            headers: &[],
            body: Bytes::new(),
            head_timeout: Duration::from_secs(5),
        };
        let answer = send(&call).await.unwrap();
        assert!(
            answer.status().is_success(),
            "the proxy refused {path}: {}",
            answer.status()
        );
    }

    /// Starts the store and the endpoints and writes the settings of the VMs, but starts no VM.
    pub async fn prepare(vms: usize) -> Self {
        Self::prepare_in(next_subnet(), vms, false).await
    }

    async fn prepare_in(subnet: [u8; 2], vms: usize, is_proxied: bool) -> Self {
        let files = tempfile::tempdir().unwrap();
        let store =
            Store::start((Ipv4Addr::new(127, subnet[0], subnet[1], 250), 8624).into()).await;
        // Large fleets have further addresses, and run alone.
        let ip = |index: usize| {
            let block = (index / MAX_VMS_OF_SUBNET) as u8;
            let host = (index % MAX_VMS_OF_SUBNET) as u8 + 1;
            Ipv4Addr::new(127, subnet[0] + block, subnet[1], host)
        };
        let seeds: Vec<String> = (0..vms.min(3)).map(|n| format!("{}:8628", ip(n))).collect();
        let vms = (0..vms)
            .map(|index| {
                let name = format!("vm-{index}");
                let data_centre = DATA_CENTRES[index % 3].to_owned();
                let settings = files.path().join(format!("{name}.toml"));
                let text = settings_text(&name, &data_centre, ip(index), &store, &seeds);
                std::fs::write(&settings, text).unwrap();
                Vm {
                    log: files.path().join(format!("{name}.log")),
                    name,
                    ip: ip(index),
                    data_centre,
                    settings,
                    child: None,
                }
            })
            .collect();
        let mut fleet = Self {
            store,
            vms,
            backends: Vec::new(),
            configuration: configuration(1),
            subnet,
            proxy: is_proxied.then(|| start_proxy(subnet)),
            _files: files,
        };
        fleet.publish_configuration();
        for (service, kind) in [
            ("plain", Kind::Plain),
            ("plain", Kind::Plain),
            ("lm", Kind::Model),
            ("lm", Kind::Model),
            ("first", Kind::Stage),
            ("second", Kind::Stage),
        ] {
            fleet.add_backend(service, kind).await;
        }
        fleet
    }

    /// Starts an endpoint and lists it in the store as ready. Returns its index in `backends`.
    pub async fn add_backend(&mut self, service: &str, kind: Kind) -> usize {
        let number = self.backends.len();
        let ip = backend_ip(self.subnet, number);
        let id = format!("i-{number}");
        let port = if self.proxy.is_some() && number < PROXIED_ENDPOINTS {
            PROXY_PORT
        } else {
            ENDPOINT_PORT
        };
        let (address, listed_address) = ((ip, ENDPOINT_PORT).into(), (ip, port).into());
        let backend = Backend::start(address, listed_address, &id, service, kind).await;
        self.backends.push(backend);
        self.list_backend(number, "ready");
        number
    }

    /// Writes the store entry of the endpoint `backends[number]` with the given state.
    pub fn list_backend(&self, number: usize, state: &str) {
        let backend = &self.backends[number];
        let entry = json!({
            "Service": backend.service, "Address": backend.listed_address.to_string(),
            "Zone": DATA_CENTRES[number % 3], "Version": "v1", "Slots": 6, "State": state,
            "ColdRemainingMs": 0, "Sequence": 1, "born": backend.start_ms()
        });
        self.store.put(&format!("servers/{}", backend.id), &entry);
    }

    /// Writes the current configuration to the store.
    pub fn publish_configuration(&self) {
        self.store.put("op/config", &self.configuration);
    }

    /// Changes the configuration, raises its version and writes it to the store.
    pub fn change_configuration(&mut self, change: impl FnOnce(&mut Value)) {
        change(&mut self.configuration);
        let version = self.configuration["Version"].as_u64().unwrap();
        self.configuration["Version"] = json!(version + 3);
        self.publish_configuration();
    }

    /// Waits until each running VM is ready and its directory names as many VMs as are running.
    pub async fn wait_until_ready(&self) {
        for vm in self.vms.iter().filter(|vm| vm.is_running()) {
            eventually("the VM is ready", || vm.is_ready()).await;
        }
        let running = self.vms.iter().filter(|vm| vm.is_running()).count();
        for vm in self.vms.iter().filter(|vm| vm.is_running()) {
            let named = running.min(MAX_NAMED_VMS);
            let names_all = || async { vm.addresses("nowhere").await.len() == named };
            eventually("the directory names all running VMs", names_all).await;
        }
    }

    /// Returns the endpoints of a service.
    pub fn backends_of(&self, service: &str) -> impl Iterator<Item = &Backend> {
        let service = service.to_owned();
        self.backends
            .iter()
            .filter(move |backend| backend.service == service)
    }

    /// Returns how often a request ran, summed over all endpoints.
    pub fn runs_of(&self, id: &str) -> usize {
        self.backends
            .iter()
            .map(|backend| backend.runs_of(id))
            .sum()
    }
}

/// Returns the text of a VM's settings file.
fn settings_text(
    name: &str,
    data_centre: &str,
    ip: Ipv4Addr,
    store: &Store,
    seeds: &[String],
) -> String {
    format!(
        r#"
vm = "{name}"
data_centre = "{data_centre}"
ip = "{ip}"
caller_address = "{ip}:8625"
readiness_address = "{ip}:8621"
directory_address = "{ip}:8620"
platform_address = "{}"
seeds = {}
peer_ports = [7740, 7755]
metrics_port = {METRICS_PORT}
grace_s = 8
address_ttl_most_s = 5
repeat_ratio = 0.2
repeat_reserve = 52
"#,
        store.address,
        serde_json::to_string(seeds).unwrap()
    )
}

/// Returns a configuration with a route of each kind; of the streaming routes, one is resumable and
/// runs stages.
fn configuration(version: u64) -> Value {
    let route = |name: &str, kind: &str, service: &str, timeout_ms: u64| {
        json!({
            "Name": name, "Host": "h.example", "PathPrefix": format!("/{name}/"),
            "RouteKind": kind, "TimeoutMs": timeout_ms, "TargetLatencyMs": 400, "Priority": 1,
            "Service": service, "MaxAttempts": 2, "Stages": [], "Public": false,
            "Sticky": false, "Resumable": false
        })
    };
    let mut stream = route("stream", "streaming", "lm", 8_000);
    stream["Resumable"] = json!(true);
    stream["Stages"] = json!([
        { "Service": "first", "After": [], "PayloadSize": 1_000 },
        { "Service": "second", "After": [0], "PayloadSize": 1_000 }
    ]);
    let once_stream = route("once-stream", "streaming", "lm", 8_000);
    let pieces = json!({ "Slots": 1, "Queue": 2, "Batch": 8, "CallMs": 20.0, "ItemMs": 2.0,
        "HeadroomMb": 18.0, "HandleTtlS": 4.0, "LinkMbps": 1_000 });
    let service = |name: &str| {
        json!({ "Name": name, "HealthPath": "/healthz", "MaxConnections": 100,
            "ColdStartS": 0.0, "ColdPerS": 12.0 })
    };
    let mut first = service("first");
    first["Pieces"] = pieces.clone();
    let mut second = service("second");
    second["Pieces"] = pieces;
    json!({
        "Version": version,
        "Routes": [
            route("look", "idempotent", "plain", 3_000),
            route("pay", "non_idempotent", "plain", 3_000),
            stream, once_stream
        ],
        "Services": [service("plain"), service("lm"), first, second],
        "Limits": { "MaxHeaderBytes": 16_384, "MaxBodyBytes": 100_000,
            "HeaderTimeoutMs": 3_000, "IdleTimeoutMs": 15_000 },
        "Tenants": [
            { "Name": "org-1", "ApiKeys": ["key-1", "key-1b"] },
            { "Name": "org-2", "ApiKeys": ["key-2"], "Priority": 1 }
        ]
    })
}

/// Waits until a condition holds, and fails the test after [`STEP_TIMEOUT`].
pub async fn eventually<F: Future<Output = bool>>(condition: &str, check: impl FnMut() -> F) {
    within(condition, STEP_TIMEOUT, check).await;
}

/// Waits until a condition holds, and fails the test if it does not hold within the limit.
pub async fn within<F: Future<Output = bool>>(
    condition: &str,
    limit: Duration,
    mut check: impl FnMut() -> F,
) {
    let started = Instant::now();
    loop {
        if check().await {
            return;
        }
        assert!(
            started.elapsed() < limit,
            "not fulfilled within {limit:?}: {condition}"
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
