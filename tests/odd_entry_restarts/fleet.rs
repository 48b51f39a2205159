//! VMs and endpoints as real processes beside a store, and a caller of the VMs.

use std::fs::File;
use std::io::{Read as _, Write as _};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::query::Reading;
use super::store::Store;

/// Timeout of a request, longer than its deadline.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);
/// Time within which the process of an endpoint listens.
const ENDPOINT_START_TIME: Duration = Duration::from_secs(20);

static NEXT_FLEET: AtomicU32 = AtomicU32::new(0);

/// Process that ends with its owner.
struct Process(Child);

impl Process {
    fn start(command: &mut Command) -> Self {
        Self(command.stdin(Stdio::null()).spawn().unwrap())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

pub struct Vm {
    pub name: String,
    ip: Ipv4Addr,
    settings: PathBuf,
    log: PathBuf,
    process: Option<Process>,
}

impl Vm {
    /// Starts the process, with a new log.
    pub fn start(&mut self) {
        let log = File::create(&self.log).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_primrosewalkd"));
        command.env("PRIMROSEWALK_BOOT", &self.settings);
        command.stdout(log.try_clone().unwrap()).stderr(log);
        self.process = Some(Process::start(&mut command));
    }

    /// Returns whether the VM has reported that it cannot list the store.
    pub fn reports_listing(&self) -> bool {
        let log = std::fs::read_to_string(&self.log).unwrap_or_default();
        let mut lines = log.lines();
        lines.any(|line| line.contains("ERRO") && line.contains("a listing cannot be completed"))
    }

    /// Sends a request. Returns the id of the endpoint that signed the answer, or what came instead.
    pub fn request(&self, path: &str, id: &str) -> Result<String, String> {
        let answer = send(SocketAddr::from((self.ip, 8625)), path, id);
        let answer = answer.map_err(|error| error.to_string())?;
        let status = answer.split(' ').nth(1).unwrap_or_default();
        let signature = answer.lines().find_map(|line| {
            let (name, value) = line.split_once(": ")?;
            name.eq_ignore_ascii_case("response-signature")
                .then_some(value)
        });
        let is_whole = answer.ends_with(&format!("answer to {id}"));
        match (status, signature) {
            ("200", Some(signature)) if is_whole => Ok(signature.trim_end_matches(".1").to_owned()),
            _ => Err(answer.lines().next().unwrap_or("no answer").to_owned()),
        }
    }
}

/// Sends a request on a connection of its own, and returns the answer.
fn send(address: SocketAddr, path: &str, id: &str) -> std::io::Result<String> {
    let mut stream = TcpStream::connect_timeout(&address, REQUEST_TIMEOUT)?;
    stream.set_read_timeout(Some(REQUEST_TIMEOUT))?;
    let request = format!(
        "POST {path} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 2000\r\n\
         Authorization: Token key-1\r\nConnection: close\r\nContent-Length: 2\r\n\r\n{{}}"
    );
    stream.write_all(request.as_bytes())?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer)?;
    Ok(String::from_utf8_lossy(&answer).into_owned())
}

/// An endpoint, the only one of its service. It has another id each time that it starts.
struct Endpoint {
    service: String,
    address: SocketAddr,
    id: String,
    process: Option<Process>,
}

impl Endpoint {
    fn start(&mut self, id: &str) {
        self.id = id.to_owned();
        let mut command = Command::new(env!("CARGO_BIN_EXE_primrosewalk-standins"));
        let address = self.address.to_string();
        command.args(["platform-endpoint", "--listen", &address, "--id", id]);
        self.process = Some(Process::start(&mut command));
        let started = Instant::now();
        while TcpStream::connect(self.address).is_err() {
            assert!(
                started.elapsed() < ENDPOINT_START_TIME,
                "{id} does not listen"
            );
            thread::sleep(Duration::from_millis(5));
        }
    }
}

/// Store, VMs and endpoints of one test.
pub struct Fleet {
    pub store: Store,
    pub vms: Vec<Vm>,
    endpoints: Vec<Endpoint>,
    /// Address that only odd entries name. Nobody connects to it.
    decoy: TcpListener,
    other_keys: Vec<String>,
    starts: usize,
    _files: tempfile::TempDir,
}

impl Fleet {
    /// Prepares a fleet, whose processes are not started yet.
    pub fn prepare(vms: u8, endpoints: u8, reading: Reading, page_items: usize) -> Self {
        let files = tempfile::tempdir().unwrap();
        let number = NEXT_FLEET.fetch_add(1, Ordering::Relaxed);
        let process = std::process::id();
        let ip = |host: u8| {
            let subnet = (process / 50 * 16 + number) as u8;
            Ipv4Addr::new(127, 20 + (process % 50) as u8, subnet, host)
        };
        let store = Store::start((ip(250), 8624).into(), reading, page_items);
        store.put("op/config", &configuration(endpoints));
        let decoy = TcpListener::bind((ip(251), 9_000)).unwrap();
        decoy.set_nonblocking(true).unwrap();
        let seeds: Vec<String> = (1..=vms.min(3))
            .map(|host| format!("{}:8628", ip(host)))
            .collect();
        let vms = (1..=vms).map(|host| {
            let name = format!("vm-{host}");
            let settings = files.path().join(format!("{name}.toml"));
            let text = settings_text(&name, ip(host), store.address, &seeds);
            std::fs::write(&settings, text).unwrap();
            Vm {
                log: settings.with_extension("log"),
                name,
                ip: ip(host),
                settings,
                process: None,
            }
        });
        let endpoints = (0..endpoints).map(|number| Endpoint {
            service: service(number),
            address: (ip(100 + number), 9_000).into(),
            id: String::new(),
            process: None,
        });
        Self {
            vms: vms.collect(),
            endpoints: endpoints.collect(),
            store,
            decoy,
            other_keys: Vec::new(),
            starts: 0,
            _files: files,
        }
    }

    /// Starts an endpoint under a new id, and lists it in the store.
    pub fn start_endpoint(&mut self, number: usize) {
        self.starts += 1;
        let endpoint = &mut self.endpoints[number];
        // Ids of later starts come after those of earlier ones.
        endpoint.start(&format!("i-{:04}", self.starts));
        let entry = entry(&endpoint.service, endpoint.address);
        self.store.put(&format!("servers/{}", endpoint.id), &entry);
    }

    /// Kills all processes. Returns the entries of the endpoints, which the store has still.
    pub fn kill_all(&mut self) -> Vec<String> {
        self.vms.iter_mut().for_each(|vm| vm.process = None);
        let endpoints = self.endpoints.iter_mut().map(|endpoint| {
            endpoint.process = None;
            format!("servers/{}", endpoint.id)
        });
        endpoints.collect()
    }

    /// Returns the path of a route to each endpoint, and its id.
    pub fn routes(&self) -> Vec<(String, String)> {
        let endpoints = self.endpoints.iter();
        let routes =
            endpoints.map(|endpoint| (format!("/{}/x", endpoint.service), endpoint.id.clone()));
        routes.collect()
    }

    /// Writes an entry whose value names no endpoint.
    pub fn put_plain(&mut self, key: String) {
        self.store.put(&key, &json!({ "State": "ready" }));
        self.other_keys.push(key);
    }

    /// Writes an entry under a key that no endpoint has. Its value would be that of one.
    pub fn put_odd(&mut self, key: String) {
        self.store
            .put(&key, &entry(&service(0), self.decoy.local_addr().unwrap()));
        self.other_keys.push(key);
    }

    /// Removes the entries that no endpoint has.
    pub fn remove_others(&mut self) {
        self.other_keys
            .drain(..)
            .for_each(|key| self.store.delete(&key));
    }

    /// Returns whether somebody has connected to the address of an odd entry.
    pub fn is_decoy_used(&self) -> bool {
        self.decoy.accept().is_ok()
    }
}

fn service(number: u8) -> String {
    format!("s-{number}")
}

/// Returns the entry of an endpoint that is ready.
fn entry(service: &str, address: SocketAddr) -> Value {
    json!({ "Service": service, "Address": address.to_string(), "Zone": "a", "Version": "v1", "Slots": 6,
        "State": "ready", "ColdRemainingMs": 0, "Sequence": 1, "born": 1_000 })
}

fn settings_text(name: &str, ip: Ipv4Addr, store: SocketAddr, seeds: &[String]) -> String {
    format!(
        r#"
vm = "{name}"
data_centre = "a"
ip = "{ip}"
caller_address = "{ip}:8625"
readiness_address = "{ip}:8621"
directory_address = "{ip}:8620"
platform_address = "{store}"
seeds = {}
peer_ports = [7740, 7755]
metrics_port = 7742
grace_s = 8
address_ttl_most_s = 5
repeat_ratio = 0.2
repeat_reserve = 52
"#,
        json!(seeds)
    )
}

/// Returns a configuration with a service for each endpoint, and a route to it.
fn configuration(services: u8) -> Value {
    let services: Vec<String> = (0..services).map(service).collect();
    let route = |service: &String| {
        json!({
            "Name": service, "Host": "h.example", "PathPrefix": format!("/{service}/"),
            "RouteKind": "idempotent", "TimeoutMs": 2_000, "TargetLatencyMs": 400, "Priority": 1,
            "Service": service, "MaxAttempts": 2, "Stages": [], "Public": false, "Sticky": false,
            "Resumable": false
        })
    };
    let limits = |service: &String| {
        json!({ "Name": service, "HealthPath": "/healthz", "MaxConnections": 100, "ColdStartS": 0.0,
            "ColdPerS": 12.0 })
    };
    json!({
        "Version": 1,
        "Routes": services.iter().map(route).collect::<Vec<_>>(),
        "Services": services.iter().map(limits).collect::<Vec<_>>(),
        "Limits": { "MaxHeaderBytes": 16_384, "MaxBodyBytes": 100_000, "HeaderTimeoutMs": 3_000,
            "IdleTimeoutMs": 15_000 },
        "Tenants": [{ "Name": "org-1", "ApiKeys": ["key-1"] }]
    })
}
