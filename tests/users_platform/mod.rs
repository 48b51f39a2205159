//! Small stand-ins for the users' platform and endpoints, and VMs as real processes.
//!
//! Each test gets addresses of its own on the loopback range, so that tests run side by side.
#![allow(dead_code, reason = "each test binary uses a part")]

pub mod backend;
pub mod caller;
pub mod store;

use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::{Method, StatusCode};
use primrosewalk::http::{Call, send};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};

use backend::{Backend, Kind};
use store::Store;

/// Maximum time for a step that takes milliseconds on a machine that is not busy.
pub const STEP_LIMIT: Duration = Duration::from_secs(20);

static NEXT_NET: AtomicU32 = AtomicU32::new(0);

/// Returns addresses that no other fleet of this machine's tests uses.
fn next_net() -> [u8; 2] {
    let net = NEXT_NET.fetch_add(1, Ordering::Relaxed);
    let process = std::process::id();
    [
        100 + (process % 100) as u8,
        (process / 100 * 16 + net) as u8,
    ]
}

/// One VM, as a process that the test started.
pub struct Vm {
    pub name: String,
    pub ip: Ipv4Addr,
    pub data_centre: String,
    settings: PathBuf,
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
        let child = Command::new(env!("CARGO_BIN_EXE_primrosewalkd"))
            .env("PRIMROSEWALK_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap();
        self.child = Some(child);
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

    /// Waits for the process to end by itself; returns whether it ended well.
    pub async fn wait_for_exit(&mut self) -> bool {
        let started = Instant::now();
        let child = self.child.as_mut().unwrap();
        while started.elapsed() < STEP_LIMIT {
            if let Some(status) = child.try_wait().unwrap() {
                self.child = None;
                return status.success();
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        false
    }

    pub fn is_running(&self) -> bool {
        self.child.is_some()
    }

    pub fn caller(&self) -> SocketAddr {
        (self.ip, 8625).into()
    }

    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    pub async fn is_ready(&self) -> bool {
        let address = (self.ip, 8621).into();
        let call = Call::get(address, "/api/readyz", Duration::from_millis(500));
        matches!(send(&call).await, Ok(answer) if answer.status() == StatusCode::OK)
    }

    /// Returns the addresses that the VM's directory names for a data centre.
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

/// The store, endpoints and VMs of one test.
pub struct Fleet {
    pub store: Store,
    pub vms: Vec<Vm>,
    pub backends: Vec<Backend>,
    pub configuration: Value,
    net: [u8; 2],
    proxy: Option<Proxy>,
    _files: tempfile::TempDir,
}

/// Port of an endpoint, and of the proxy before it.
const PORT: u16 = 9_000;
const PROXIED_PORT: u16 = 9_001;
/// Endpoints that a proxy stands before.
const PROXIED: usize = 6;

/// The fault-injecting proxy before the endpoints, as a process.
struct Proxy {
    control: SocketAddr,
    child: Child,
}

impl Drop for Proxy {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn backend_ip(net: [u8; 2], number: usize) -> Ipv4Addr {
    Ipv4Addr::new(127, net[0], net[1], 100 + number as u8)
}

fn start_proxy(net: [u8; 2]) -> Proxy {
    let control = (Ipv4Addr::new(127, net[0], net[1], 251), 9_100).into();
    let mut command = Command::new(env!("CARGO_BIN_EXE_primrosewalk-standins"));
    command.args(["fault-proxy", "--control", &format!("{control}")]);
    for number in 0..PROXIED {
        let ip = backend_ip(net, number);
        command.args(["--link", &format!("{ip}:{PROXIED_PORT}={ip}:{PORT}")]);
    }
    let child = command
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .spawn()
        .unwrap();
    Proxy { control, child }
}

/// Data centres that VMs and endpoints are spread over.
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

    /// Starts what [`Fleet::start`] does, with a fault-injecting proxy before the endpoints.
    pub async fn start_proxied(vms: usize) -> Self {
        let mut fleet = Self::prepare_in(next_net(), vms, true).await;
        for vm in &mut fleet.vms {
            vm.start();
        }
        fleet.wait_until_ready().await;
        fleet
    }

    /// Tells the proxy what to do with the connections to one endpoint, or to all.
    pub async fn set_link(&self, number: Option<usize>, mode: &str) {
        let proxy = self.proxy.as_ref().unwrap();
        let listen =
            number.map(|number| format!("{}:{PROXIED_PORT}", backend_ip(self.net, number)));
        let separator = if mode.contains('?') { '&' } else { '?' };
        let link = listen.map_or(String::new(), |listen| format!("{separator}link={listen}"));
        let path = format!("/control/{mode}{link}");
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
        assert!(answer.status().is_success(), "{path}: {}", answer.status());
    }

    /// Prepares everything; no VM runs yet.
    pub async fn prepare(vms: usize) -> Self {
        Self::prepare_in(next_net(), vms, false).await
    }

    async fn prepare_in(net: [u8; 2], vms: usize, is_proxied: bool) -> Self {
        let files = tempfile::tempdir().unwrap();
        let store = Store::start((Ipv4Addr::new(127, net[0], net[1], 250), 8624).into()).await;
        let ip = |index: usize| Ipv4Addr::new(127, net[0], net[1], index as u8 + 1);
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
            net,
            proxy: is_proxied.then(|| start_proxy(net)),
            _files: files,
        };
        fleet.publish();
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

    /// Adds an endpoint and lists it in the store.
    pub async fn add_backend(&mut self, service: &str, kind: Kind) -> usize {
        let number = self.backends.len();
        let ip = backend_ip(self.net, number);
        let id = format!("i-{number}");
        let port = if self.proxy.is_some() {
            PROXIED_PORT
        } else {
            PORT
        };
        let (address, listed) = ((ip, PORT).into(), (ip, port).into());
        let backend = Backend::start(address, listed, &id, service, kind).await;
        self.backends.push(backend);
        self.list_backend(number, "ready");
        number
    }

    /// Writes the entry of an endpoint.
    pub fn list_backend(&self, number: usize, state: &str) {
        let backend = &self.backends[number];
        let entry = json!({
            "Service": backend.service, "Address": backend.listed.to_string(),
            "Zone": DATA_CENTRES[number % 3], "Version": "v1", "Slots": 6, "State": state,
            "ColdRemainingMs": 0, "Sequence": 1, "born": 1_000
        });
        self.store.put(&format!("servers/{}", backend.id), &entry);
    }

    /// Publishes the configuration as it is now.
    pub fn publish(&self) {
        self.store.put("op/config", &self.configuration);
    }

    /// Publishes a changed configuration with the next version.
    pub fn change(&mut self, change: impl FnOnce(&mut Value)) {
        change(&mut self.configuration);
        let version = self.configuration["Version"].as_u64().unwrap();
        self.configuration["Version"] = json!(version + 3);
        self.publish();
    }

    pub async fn wait_until_ready(&self) {
        for vm in self.vms.iter().filter(|vm| vm.is_running()) {
            eventually("a VM is ready", || vm.is_ready()).await;
        }
        let running = self.vms.iter().filter(|vm| vm.is_running()).count();
        for vm in self.vms.iter().filter(|vm| vm.is_running()) {
            let all = || async { vm.addresses("nowhere").await.len() == running };
            eventually("the directory names all VMs", all).await;
        }
    }

    pub fn backends_of(&self, service: &str) -> impl Iterator<Item = &Backend> {
        let service = service.to_owned();
        self.backends
            .iter()
            .filter(move |backend| backend.service == service)
    }

    /// Returns how often a request ran, at all endpoints together.
    pub fn runs_of(&self, id: &str) -> usize {
        self.backends
            .iter()
            .map(|backend| backend.runs_of(id))
            .sum()
    }
}

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
metrics_port = 7742
grace_s = 8
address_ttl_most_s = 5
repeat_ratio = 0.2
repeat_reserve = 52
"#,
        store.address,
        serde_json::to_string(seeds).unwrap()
    )
}

/// Returns a configuration with a route of each kind.
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
    let once = route("once-stream", "streaming", "lm", 8_000);
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
            stream, once
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

/// Waits until a condition holds.
pub async fn eventually<F: Future<Output = bool>>(what: &str, check: impl FnMut() -> F) {
    within(what, STEP_LIMIT, check).await;
}

/// Waits until a condition holds, and fails when that takes longer than the limit.
pub async fn within<F: Future<Output = bool>>(
    what: &str,
    limit: Duration,
    mut check: impl FnMut() -> F,
) {
    let started = Instant::now();
    loop {
        if check().await {
            return;
        }
        assert!(started.elapsed() < limit, "not in {limit:?}: {what}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
