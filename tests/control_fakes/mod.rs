//! Fakes for tests of the control thread: a platform, an HTTP server for endpoints, and VMs whose
//! control threads run in the test process and connect over loopback.

use std::collections::HashMap;
use std::convert::Infallible;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use primrosewalk::blackboard::{ControlCommand, SharedSnapshot, Snapshot};
use primrosewalk::context::Context;
use primrosewalk::control::{ControlConfig, Listeners, run_control};
use primrosewalk::manifest::{ManifestIndex, PartReference, part_digest};
use primrosewalk::settings::QuotaMode;
use primrosewalk::units::{Incarnation, Version};
use serde_json::json;
use slog::{Drain, Logger, Never, OwnedKVList, Record, o};
use tokio::sync::{mpsc, watch};

/// Timeout of `wait_for`, far longer than any awaited state needs, so that only a fault exceeds it.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Waits until `condition` holds, and panics with `what` after a timeout.
pub fn wait_for(what: &str, mut condition: impl FnMut() -> bool) {
    let end = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(
            Instant::now() < end,
            "timed out after {WAIT_TIMEOUT:?} while waiting for: {what}"
        );
        std::thread::sleep(Duration::from_millis(5));
    }
}

#[derive(Default)]
struct PlatformState {
    /// Version and value by key.
    values: HashMap<String, (u64, Bytes)>,
    /// Number of reads by key.
    reads: HashMap<String, u64>,
    down: bool,
    ignoring_versions: bool,
}

/// A fake of the platform's configuration service.
#[derive(Clone)]
pub struct FakePlatform {
    pub address: SocketAddr,
    state: Arc<Mutex<PlatformState>>,
}

impl FakePlatform {
    pub fn start() -> Self {
        let state = Arc::new(Mutex::new(PlatformState::default()));
        let shared = state.clone();
        let address = serve_http(move |request| answer(shared.clone(), request));
        Self { address, state }
    }

    pub fn publish(&self, key: &str, version: u64, value: impl Into<Bytes>) {
        let mut state = self.state.lock().unwrap();
        state.values.insert(key.to_owned(), (version, value.into()));
    }

    pub fn publish_manifest(&self, version: u64, part: &serde_json::Value) {
        let bytes = part.to_string();
        let sha256 = part_digest(bytes.as_bytes());
        self.publish(&format!("manifest/part/{sha256}"), 1, bytes);
        let index = ManifestIndex {
            version: Version(version),
            parts: vec![PartReference {
                name: "all".to_owned(),
                sha256,
            }],
        };
        self.publish("manifest", version, serde_json::to_string(&index).unwrap());
    }

    pub fn publish_vms(&self, version: u64, vms: &[&FakeVm]) {
        let entries: Vec<_> = vms.iter().map(|vm| vm.entry.clone()).collect();
        let list = json!({"version": version, "vms": entries});
        self.publish("vms", version, list.to_string());
    }

    pub fn set_down(&self, down: bool) {
        self.state.lock().unwrap().down = down;
    }

    /// Makes the platform answer with the current value at once, whatever version the reader has.
    pub fn ignore_versions(&self) {
        self.state.lock().unwrap().ignoring_versions = true;
    }

    /// Returns how often `key` has been read.
    pub fn reads(&self, key: &str) -> u64 {
        let state = self.state.lock().unwrap();
        state.reads.get(key).copied().unwrap_or(0)
    }

    /// Returns how often anything below the key of the manifest's parts has been read.
    pub fn part_reads(&self) -> u64 {
        let state = self.state.lock().unwrap();
        let parts = state.reads.iter();
        let parts = parts.filter(|(key, _)| key.starts_with("manifest/part"));
        parts.map(|(_, reads)| reads).sum()
    }
}

async fn answer(state: Arc<Mutex<PlatformState>>, request: Request<Incoming>) -> (u16, u64, Bytes) {
    let key = request.uri().path().trim_start_matches("/v1/values/");
    let query = request.uri().query().unwrap_or_default();
    let number = |name: &str| {
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let found = pairs.find(|(key, _)| *key == name);
        found.map_or(0, |(_, value)| value.parse().unwrap())
    };
    let (after, wait_ms): (u64, u64) = (number("after_version"), number("wait_ms"));
    *state
        .lock()
        .unwrap()
        .reads
        .entry(key.to_owned())
        .or_default() += 1;
    let end = Instant::now() + Duration::from_millis(wait_ms);
    loop {
        {
            let state = state.lock().unwrap();
            if state.down {
                return (503, 0, Bytes::new());
            }
            match state.values.get(key) {
                Some((version, value)) if *version > after || state.ignoring_versions => {
                    return (200, *version, value.clone());
                }
                Some((version, _)) if Instant::now() >= end => {
                    return (304, *version, Bytes::new());
                }
                None if Instant::now() >= end => return (404, 0, Bytes::new()),
                _ => {}
            }
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Serves HTTP on a separate thread until the process ends, and returns the address.
pub fn serve_http<F>(answer: impl Fn(Request<Incoming>) -> F + Clone + Send + 'static) -> SocketAddr
where
    F: Future<Output = (u16, u64, Bytes)> + Send + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    listener.set_nonblocking(true).unwrap();
    std::thread::spawn(move || {
        let mut builder = tokio::runtime::Builder::new_current_thread();
        let runtime = builder.enable_all().build().unwrap();
        runtime.block_on(async move {
            let listener = tokio::net::TcpListener::from_std(listener).unwrap();
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                let answer = answer.clone();
                let service = service_fn(move |request| {
                    let answer = answer(request);
                    async move {
                        let (status, version, body) = answer.await;
                        let response = Response::builder()
                            .status(StatusCode::from_u16(status).unwrap())
                            .header("x-version", version)
                            .body(Full::new(body));
                        Ok::<_, Infallible>(response.unwrap())
                    }
                });
                let serve = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
                tokio::spawn(serve);
            }
        });
    });
    address
}

/// Collects log lines.
#[derive(Clone, Default)]
pub struct LogLines(Arc<Mutex<Vec<String>>>);

impl LogLines {
    /// Returns the number of lines that contain `text`.
    pub fn count(&self, text: &str) -> usize {
        let lines = self.0.lock().unwrap();
        lines.iter().filter(|line| line.contains(text)).count()
    }
}

impl Drain for LogLines {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, _: &OwnedKVList) -> Result<(), Never> {
        self.0.lock().unwrap().push(record.msg().to_string());
        Ok(())
    }
}

/// A VM: its sockets and, once it is started, its control thread.
pub struct FakeVm {
    pub name: String,
    /// Entry of this VM in a VM list.
    pub entry: serde_json::Value,
    pub lines: LogLines,
    pub quota_mode: QuotaMode,
    listeners: Option<Listeners>,
    pub running: Option<RunningVm>,
}

pub struct RunningVm {
    pub snapshot: Arc<SharedSnapshot>,
    pub commands: mpsc::Sender<ControlCommand>,
    pub stop: watch::Sender<bool>,
    /// Tells the control thread that traffic has ended.
    ended: watch::Sender<bool>,
    thread: JoinHandle<anyhow::Result<()>>,
}

impl FakeVm {
    /// Binds the sockets, so that a VM list can name them before the VM starts.
    pub fn bind(name: &str) -> Self {
        let bind = || TcpListener::bind("127.0.0.1:0").unwrap();
        let listeners = Listeners {
            peer_state: bind(),
            peer_call: bind(),
        };
        let entry = json!({
            "id": name,
            "data_centre": "dc-1",
            "caller_address": bind().local_addr().unwrap(),
            "peer_state_address": listeners.peer_state.local_addr().unwrap(),
            "peer_call_address": listeners.peer_call.local_addr().unwrap(),
        });
        Self {
            name: name.to_owned(),
            entry,
            lines: LogLines::default(),
            quota_mode: QuotaMode::Owner,
            listeners: Some(listeners),
            running: None,
        }
    }

    pub fn start(&mut self, platform: &FakePlatform) {
        let listeners = self.listeners.take().unwrap();
        let own_address = listeners.peer_state.local_addr().unwrap();
        let snapshot = Arc::new(SharedSnapshot::from_pointee(Snapshot::default()));
        let context = Context {
            vm: self.name.parse().unwrap(),
            data_centre: "dc-1".parse().unwrap(),
            incarnation: Incarnation(rand::random()),
            logger: Logger::root(self.lines.clone(), o!()),
            snapshot: snapshot.clone(),
            decisions: Arc::default(),
        };
        let (commands, receiver) = mpsc::channel(64);
        let (stop, _) = watch::channel(false);
        let (ended, ended_receiver) = watch::channel(false);
        let mut config = ControlConfig::new(platform.address, own_address);
        config.quota_mode = self.quota_mode;
        let stop_sender = stop.clone();
        let run = move || {
            run_control(
                context,
                config,
                listeners,
                receiver,
                stop_sender,
                ended_receiver,
            )
        };
        self.running = Some(RunningVm {
            snapshot,
            commands,
            stop,
            ended,
            thread: std::thread::spawn(run),
        });
    }

    /// Returns the running part of a VM that was started.
    pub fn running_vm(&self) -> &RunningVm {
        self.running.as_ref().unwrap()
    }

    pub fn snapshot(&self) -> Arc<Snapshot> {
        self.running_vm().snapshot.load_full()
    }

    pub fn wait_for_manifest(&self, version: u64) {
        let what = format!("{} has manifest {version}", self.name);
        wait_for(&what, || self.snapshot().manifest_version.0 == version);
    }

    /// Ends the control thread and checks that it ended without an error.
    pub fn end(&mut self) {
        let running = self.running.take().unwrap();
        running.ended.send_replace(true);
        running.thread.join().unwrap().unwrap();
    }
}

/// A manifest with one endpoint and organisations of the given names.
pub fn manifest_part(endpoint: SocketAddr, organisations: &[&str], rate: f64) -> serde_json::Value {
    let organisations: Vec<_> = organisations
        .iter()
        .map(|name| json!({"name": name, "rate_per_second": rate, "burst": 20}))
        .collect();
    json!({
        "data_centres": [{"name": "dc-1", "region": "r-1"}],
        "endpoints": [{"name": "e-1", "kind": "plain", "service": "s-1",
            "address": endpoint, "data_centre": "dc-1", "slots": 8, "cold_slots": 2}],
        "organisations": organisations,
    })
}
