//! Runs the traffic part of one VM with a snapshot built by the test and a fake control part.

pub mod endpoint;

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use arc_swap::ArcSwap;
use http_body_util::{BodyExt, Full};
use hyper::body::{Bytes, Incoming};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use primrosewalk::blackboard::{AcquireOutcome, Catalogue, ControlCommand, SlotGrant, Snapshot};
use primrosewalk::clock;
use primrosewalk::context::Context;
use primrosewalk::explain::DecisionLog;
use primrosewalk::manifest::{ApiKeyDigest, VmList, parse_manifest};
use primrosewalk::status::Status;
use primrosewalk::traffic::{Listeners, TrafficConfig, serve_on};
use primrosewalk::units::{Incarnation, Time, Version};
use serde_json::{Value, json};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinHandle;

use endpoint::FakeEndpoint;

pub const API_KEY: &str = "key-of-clinic";
pub const WITH_KEY: &[(&str, &str)] = &[("x-key", API_KEY)];
pub const OTHER_API_KEY: &str = "key-of-depot";

/// Timeout of each wait, far longer than any step of these tests takes. A test that hangs fails.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Settings of one VM of a test.
pub struct Setup {
    pub vm: &'static str,
    pub config: TrafficConfig,
    /// Endpoints with their service: `first` and `second` (plain), `pay` (plain, its stages are
    /// not idempotent) and `engine` (generate).
    pub endpoints: Vec<(&'static str, FakeEndpoint)>,
    /// Number of slots that the VM is granted at each endpoint.
    pub granted_slots: u32,
    /// Answers to the first requests for rate tokens; later requests are granted.
    pub acquire_outcomes: Vec<AcquireOutcome>,
}

impl Setup {
    pub fn new(endpoints: Vec<(&'static str, FakeEndpoint)>) -> Self {
        Self {
            vm: "vm-1",
            config: TrafficConfig {
                stop_linger: Duration::ZERO,
                ..TrafficConfig::default()
            },
            endpoints,
            granted_slots: 4,
            acquire_outcomes: Vec::new(),
        }
    }
}

/// Running traffic part of one VM.
pub struct Vm {
    pub caller: SocketAddr,
    pub operator: SocketAddr,
    pub snapshot: Arc<ArcSwap<Snapshot>>,
    /// Number of requests for rate tokens that the fake control part has answered.
    pub acquire_count: Arc<Mutex<u32>>,
    /// All other commands that the control part has received.
    pub reports: Arc<Mutex<Vec<ControlCommand>>>,
    pub stop: watch::Sender<bool>,
    pub server: JoinHandle<()>,
}

/// Builds the manifest. Endpoint number `n` is in data centre `dc-n`, and only pipelines whose
/// services have an endpoint are part of it.
pub fn manifest(endpoints: &[(&str, FakeEndpoint)], keys: &[(&str, &str)]) -> Catalogue {
    let endpoints: Vec<Value> = endpoints
        .iter()
        .enumerate()
        .map(|(index, (service, fake))| {
            let kind = if *service == "engine" {
                "generate"
            } else {
                "plain"
            };
            json!({ "name": format!("{service}-{index}"), "kind": kind, "service": service,
                "address": fake.address, "data_centre": format!("dc-{index}"), "slots": 4,
                "models": ["m"] })
        })
        .collect();
    let services: Vec<&str> = endpoints
        .iter()
        .filter_map(|item| item["service"].as_str())
        .collect();
    let stage = |name: &str| match name {
        "engine" => json!({ "name": name, "kind": "generate", "service": name, "model": "m" }),
        "pay" => json!({ "name": name, "kind": "plain", "service": name, "idempotent": false }),
        _ => json!({ "name": name, "kind": "plain", "service": name }),
    };
    let all_pipelines = [
        ("simple", vec!["first"]),
        ("payout", vec!["pay"]),
        ("pay-then-first", vec!["pay", "first"]),
        ("answer", vec!["first", "engine"]),
        ("chat", vec!["engine"]),
        ("open", vec!["first"]),
    ];
    let available_pipelines = all_pipelines
        .iter()
        .filter(|(_, stages)| stages.iter().all(|stage| services.contains(stage)));
    let pipelines: Vec<Value> = available_pipelines
        .map(|(name, stages)| {
            let stages: Vec<Value> = stages.iter().map(|name| stage(name)).collect();
            let open_as = (*name == "open").then_some("depot");
            json!({ "name": name, "deadline_ms": 15000, "open_as": open_as, "stages": stages })
        })
        .collect();
    let centres: Vec<Value> = (0..endpoints.len())
        .map(|index| json!({ "name": format!("dc-{index}"), "region": "r" }))
        .collect();
    let organisations: Vec<Value> = keys
        .iter()
        .map(|(name, key)| {
            json!({ "name": name, "rate_per_second": 100.0, "burst": 10,
                "key_digests": [ApiKeyDigest::of_key(key).to_string()] })
        })
        .collect();
    let document = json!({ "data_centres": centres, "models": [{ "name": "m" }],
        "pipelines": pipelines, "endpoints": endpoints, "organisations": organisations });
    let bytes = serde_json::to_vec(&document).unwrap();
    let parsed = parse_manifest(Version(7), [("all", bytes.as_slice())]);
    Catalogue::new(parsed.unwrap_or_else(|findings| panic!("{findings}")))
}

/// Organisations of the manifest, each with its API key.
pub const ORGANISATION_API_KEYS: &[(&str, &str)] = &[("clinic", API_KEY), ("depot", OTHER_API_KEY)];

impl Vm {
    pub async fn start(setup: Setup) -> Self {
        let listeners = Listeners {
            caller: TcpListener::bind("127.0.0.1:0").await.unwrap(),
            operator: TcpListener::bind("127.0.0.1:0").await.unwrap(),
        };
        let caller = listeners.caller.local_addr().unwrap();
        let operator = listeners.operator.local_addr().unwrap();
        let catalogue = manifest(&setup.endpoints, ORGANISATION_API_KEYS);
        let grant = SlotGrant {
            slots: setup.granted_slots,
            valid_until: clock::now() + Duration::from_secs(600),
        };
        let names = catalogue
            .manifest
            .endpoints
            .iter()
            .map(|item| item.name.clone());
        let grants: HashMap<_, _> = names.map(|name| (name, grant)).collect();
        let snapshot = Arc::new(ArcSwap::from_pointee(Snapshot {
            catalogue: Some(Arc::new(catalogue)),
            vms: Arc::new(vm_list(&[(setup.vm, caller)])),
            api_keys_fresh_until: Time { micros: u64::MAX },
            lease_until: Time { micros: u64::MAX },
            grants: Arc::new(grants),
            ..Snapshot::default()
        }));
        let decisions = Arc::new(DecisionLog::default());
        let context = Context {
            vm: setup.vm.parse().unwrap(),
            data_centre: "dc-0".parse().unwrap(),
            incarnation: Incarnation(0xab),
            logger: slog::Logger::root(Arc::clone(&decisions), slog::o!()),
            snapshot: Arc::clone(&snapshot),
            decisions,
        };
        let (commands, receiver) = mpsc::channel(1024);
        let (stop, stopped) = watch::channel(false);
        let acquire_count = Arc::new(Mutex::new(0));
        let reports = Arc::new(Mutex::new(Vec::new()));
        let outcomes = setup.acquire_outcomes.into();
        tokio::spawn(run_fake_control(
            receiver,
            outcomes,
            Arc::clone(&acquire_count),
            Arc::clone(&reports),
        ));
        let server = tokio::spawn(serve_on(
            listeners,
            context,
            setup.config,
            commands,
            stopped,
        ));
        Self {
            caller,
            operator,
            snapshot,
            acquire_count,
            reports,
            stop,
            server,
        }
    }

    /// Replaces the snapshot with a changed copy, as the control thread does.
    pub fn publish(&self, change: impl FnOnce(&mut Snapshot)) {
        let mut snapshot = Snapshot::clone(&self.snapshot.load());
        change(&mut snapshot);
        self.snapshot.store(Arc::new(snapshot));
    }

    /// Asks the VM for a new request id.
    pub async fn issue_request_id(&self) -> String {
        let reply = send(self.caller, "POST", "/v1/request-ids", &[], "").await;
        reply.json()["request_id"].as_str().unwrap().to_owned()
    }

    pub async fn status(&self) -> Status {
        serde_json::from_value(self.operator_json("/v1/status").await).unwrap()
    }

    pub async fn operator_json(&self, path: &str) -> Value {
        send(self.operator, "GET", path, &[], "").await.json()
    }
}

pub fn vm_list(vms: &[(&str, SocketAddr)]) -> VmList {
    let vms: Vec<Value> = vms
        .iter()
        .map(|(name, address)| {
            json!({ "id": name, "data_centre": "dc-0", "caller_address": address,
                "peer_state_address": address, "peer_call_address": address })
        })
        .collect();
    serde_json::from_value(json!({ "version": 3, "vms": vms })).unwrap()
}

/// Answers requests for rate tokens and records all other commands.
async fn run_fake_control(
    mut commands: mpsc::Receiver<ControlCommand>,
    mut outcomes: VecDeque<AcquireOutcome>,
    acquire_count: Arc<Mutex<u32>>,
    reports: Arc<Mutex<Vec<ControlCommand>>>,
) {
    while let Some(command) = commands.recv().await {
        match command {
            ControlCommand::Acquire { reply, .. } => {
                *acquire_count.lock().unwrap() += 1;
                let granted = AcquireOutcome::Granted {
                    usable_until: clock::now() + Duration::from_secs(5),
                };
                let _: Result<_, _> = reply.send(outcomes.pop_front().unwrap_or(granted));
            }
            report => reports.lock().unwrap().push(report),
        }
    }
}

/// Complete answer to a request.
pub struct Reply {
    pub status: u16,
    pub body: String,
}

impl Reply {
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or_else(|error| panic!("{error}: {}", self.body))
    }

    /// Returns the status, error code and outcome of a refusal, separated by spaces.
    pub fn refusal(&self) -> String {
        let error = &self.json()["error"];
        let text = |name: &str| error[name].as_str().unwrap_or_default().to_owned();
        format!("{} {} {}", self.status, text("code"), text("outcome"))
    }
}

/// Names and values of request headers.
pub type Headers<'a> = &'a [(&'a str, &'a str)];

/// Sends a request on a new connection and returns the answer with its body still to be read.
pub async fn send_for_response(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: Headers<'_>,
    body: &str,
) -> Response<Incoming> {
    let stream = TcpStream::connect(address).await.unwrap();
    let io = TokioIo::new(stream);
    let (mut sender, connection) = hyper::client::conn::http1::handshake(io).await.unwrap();
    tokio::spawn(connection);
    let mut request = Request::builder()
        .method(method)
        .uri(path)
        .header("host", "vm");
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request
        .body(Full::new(Bytes::from(body.to_owned())))
        .unwrap();
    let sent = tokio::time::timeout(TEST_TIMEOUT, sender.send_request(request));
    sent.await
        .expect("the VM sent no answer head within the timeout")
        .unwrap()
}

/// Sends a request on a new connection and reads the complete answer.
pub async fn send(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: Headers<'_>,
    body: &str,
) -> Reply {
    let response = send_for_response(address, method, path, headers, body).await;
    let status = response.status().as_u16();
    let body = read_body(response).await;
    Reply { status, body }
}

/// Runs a pipeline with [`API_KEY`].
pub async fn run(vm: &Vm, pipeline: &str, headers: Headers<'_>, body: &str) -> Reply {
    let headers = [&[("x-key", API_KEY)], headers].concat();
    let path = format!("/v1/pipelines/{pipeline}");
    send(vm.caller, "POST", &path, &headers, body).await
}

/// Runs a pipeline with [`API_KEY`] and returns its event stream, to be read by [`read_body`].
pub async fn stream(vm: &Vm, pipeline: &str) -> Response<Incoming> {
    let headers = [("x-key", API_KEY), ("accept", "text/event-stream")];
    let path = format!("/v1/pipelines/{pipeline}");
    send_for_response(vm.caller, "POST", &path, &headers, "{}").await
}

/// Reads the body of an answer.
pub async fn read_body(response: Response<Incoming>) -> String {
    let collected = tokio::time::timeout(TEST_TIMEOUT, response.into_body().collect());
    let collected = collected
        .await
        .expect("the answer body did not end within the timeout")
        .unwrap();
    String::from_utf8(collected.to_bytes().to_vec()).unwrap()
}

/// Returns the streamed text, and the name and data of the last event.
pub fn read_events(body: &str) -> (String, String, Value) {
    let mut text = String::new();
    let mut last = (String::new(), Value::Null);
    for block in body.split("\n\n").filter(|block| !block.trim().is_empty()) {
        let (name, data) = block.trim().split_once('\n').unwrap();
        let name = name.strip_prefix("event: ").unwrap();
        let data: Value = serde_json::from_str(data.strip_prefix("data: ").unwrap()).unwrap();
        text.push_str(data["text"].as_str().unwrap_or_default());
        last = (name.to_owned(), data);
    }
    (text, last.0, last.1)
}

/// Runs a request in a task. The returned sender cancels it when it sends or is dropped, as if
/// the caller had closed its connection.
pub fn spawn_abandonable(
    future: impl Future<Output = Reply> + Send + 'static,
) -> oneshot::Sender<()> {
    let (leave, left) = oneshot::channel();
    tokio::spawn(async move {
        tokio::select! {
            _ = future => {}
            _ = left => {}
        }
    });
    leave
}

/// Waits until the decision log of a request contains a text.
pub async fn wait_for_decision(vm: &Vm, id: &str, text: &str) {
    let log = format!("/v1/explain/{id}");
    wait_until(|| async { vm.operator_json(&log).await.to_string().contains(text) }).await;
}

/// Waits until a condition holds.
pub async fn wait_until<F: Future<Output = bool>>(condition: impl Fn() -> F) {
    let polled = async {
        while !condition().await {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let result = tokio::time::timeout(TEST_TIMEOUT, polled).await;
    result.expect("the condition did not hold within the timeout");
}
