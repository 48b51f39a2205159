//! Stand-in for the platform's key-value store, with items, revisions, watches and outages.

use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio_util::task::AbortOnDropHandle;

/// How the store responds to calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    /// Answers as usual.
    Up,
    /// Answers each call with status 503.
    Busy,
    /// Accepts calls and never answers.
    Silent,
}

/// Items of a store at one revision, from which it can come back.
#[derive(Clone)]
pub struct StoreCopy {
    revision: u64,
    items: BTreeMap<String, (Bytes, u64)>,
}

struct State {
    /// Counts how often the store came back from a copy.
    era: u64,
    revision: u64,
    /// Value and revision by key.
    items: BTreeMap<String, (Bytes, u64)>,
    /// Changes as (revision, key, value), oldest first; a deletion has no value.
    history: Vec<(u64, String, Option<Bytes>)>,
    mode: Mode,
    /// Modes that replace `mode` for single callers.
    modes_by_caller: HashMap<IpAddr, Mode>,
    call_counts: HashMap<IpAddr, u64>,
    /// When each call came, and whether a stale answer would do.
    calls: Vec<(Instant, bool)>,
    /// Number of times that the waiting watches were cut.
    watch_cuts: u64,
}

/// Store of one test.
pub struct Store {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    changed: Arc<Notify>,
    _task: AbortOnDropHandle<()>,
}

impl Store {
    pub async fn start(address: SocketAddr) -> Self {
        let listener = TcpListener::bind(address).await.unwrap();
        let state = Arc::new(Mutex::new(State {
            era: 1,
            revision: 10,
            items: BTreeMap::new(),
            history: Vec::new(),
            mode: Mode::Up,
            modes_by_caller: HashMap::new(),
            call_counts: HashMap::new(),
            calls: Vec::new(),
            watch_cuts: 0,
        }));
        let changed = Arc::new(Notify::new());
        let (served_state, served_changed) = (Arc::clone(&state), Arc::clone(&changed));
        let task = tokio::spawn(async move {
            while let Ok((stream, from)) = listener.accept().await {
                let (state, changed) = (Arc::clone(&served_state), Arc::clone(&served_changed));
                tokio::spawn(async move {
                    let service = service_fn(move |request| {
                        answer(Arc::clone(&state), Arc::clone(&changed), from.ip(), request)
                    });
                    let connection = hyper::server::conn::http1::Builder::new()
                        .serve_connection(TokioIo::new(stream), service);
                    let _ = connection.await;
                });
            }
        });
        Self {
            address,
            state,
            changed,
            _task: AbortOnDropHandle::new(task),
        }
    }

    pub fn put(&self, key: &str, value: &Value) {
        self.put_bytes(key, Bytes::from(value.to_string()));
    }

    pub fn put_bytes(&self, key: &str, value: Bytes) {
        let mut state = self.state.lock();
        state.revision += 1;
        let revision = state.revision;
        state
            .items
            .insert(key.to_owned(), (value.clone(), revision));
        state.history.push((revision, key.to_owned(), Some(value)));
        drop(state);
        self.changed.notify_waiters();
    }

    pub fn delete(&self, key: &str) {
        let mut state = self.state.lock();
        state.revision += 1;
        let revision = state.revision;
        state.items.remove(key);
        state.history.push((revision, key.to_owned(), None));
        drop(state);
        self.changed.notify_waiters();
    }

    pub fn set_mode(&self, mode: Mode) {
        self.state.lock().mode = mode;
        self.changed.notify_waiters();
    }

    /// Sets how the store responds to the calls of one VM, whatever the general mode is.
    pub fn set_mode_for(&self, ip: IpAddr, mode: Mode) {
        self.state.lock().modes_by_caller.insert(ip, mode);
        self.changed.notify_waiters();
    }

    /// Closes the connections of all waiting watches without an answer, as the platform may do at any time.
    pub fn cut_watches(&self) {
        self.state.lock().watch_cuts += 1;
        self.changed.notify_waiters();
    }

    /// Drops the history, so that a watch from an older revision is answered with 410.
    pub fn compact(&self) {
        self.state.lock().history.clear();
    }

    /// Returns a copy of the store as it is now.
    pub fn copy(&self) -> StoreCopy {
        let state = self.state.lock();
        StoreCopy {
            revision: state.revision,
            items: state.items.clone(),
        }
    }

    /// Lets the store come back from a copy: what was written since is gone, its revisions are given out again,
    /// and a new era begins. Waiting watches are cut.
    pub fn restore(&self, copy: &StoreCopy) {
        let mut state = self.state.lock();
        state.era += 1;
        state.revision = copy.revision;
        state.items = copy.items.clone();
        state.history.clear();
        state.watch_cuts += 1;
        drop(state);
        self.changed.notify_waiters();
    }

    /// Returns the revision of the store.
    pub fn revision(&self) -> u64 {
        self.state.lock().revision
    }

    /// Returns the number of calls of one VM since the start of the store.
    pub fn calls_of(&self, ip: IpAddr) -> u64 {
        let state = self.state.lock();
        state.call_counts.get(&ip).copied().unwrap_or(0)
    }

    /// Returns the times of the calls since a moment: of those that wait for an answer of the present state, and of
    /// those for which a stale answer would do.
    pub fn calls_since(&self, moment: Instant) -> [Vec<Instant>; 2] {
        let state = self.state.lock();
        let calls = state.calls.iter().filter(|(at, _)| *at >= moment);
        let (stale, present): (Vec<_>, Vec<_>) =
            calls.copied().partition(|(_, is_stale)| *is_stale);
        [present, stale].map(|calls| calls.into_iter().map(|(at, _)| at).collect())
    }

    /// Returns the number of calls since the start of the store.
    pub fn call_count(&self) -> u64 {
        self.state.lock().call_counts.values().sum()
    }
}

/// An error closes the connection without an answer.
type Answer = io::Result<Response<Full<Bytes>>>;

fn json_answer(value: &Value) -> Response<Full<Bytes>> {
    Response::new(Full::new(Bytes::from(value.to_string())))
}

fn empty_answer(status: StatusCode) -> Response<Full<Bytes>> {
    let mut answer = Response::new(Full::new(Bytes::new()));
    *answer.status_mut() = status;
    answer
}

fn item(key: &str, value: &Bytes, revision: u64) -> Value {
    json!({ "Key": key, "Value": STANDARD.encode(value), "Revision": revision,
        "Created": revision, "Lease": 0 })
}

/// Answers one call; each answer states the era.
async fn answer(
    state: Arc<Mutex<State>>,
    changed: Arc<Notify>,
    from: IpAddr,
    request: Request<Incoming>,
) -> Answer {
    let mut answer = answer_in_era(Arc::clone(&state), changed, from, request).await?;
    let era = state.lock().era;
    answer.headers_mut().insert("store-era", era.into());
    Ok(answer)
}

async fn answer_in_era(
    state: Arc<Mutex<State>>,
    changed: Arc<Notify>,
    from: IpAddr,
    request: Request<Incoming>,
) -> Answer {
    let mode = {
        let mut state = state.lock();
        *state.call_counts.entry(from).or_default() += 1;
        let query = request.uri().query().unwrap_or_default();
        state
            .calls
            .push((Instant::now(), query.contains("AllowStale=1")));
        let own_mode = state.modes_by_caller.get(&from).copied();
        own_mode.unwrap_or(state.mode)
    };
    match mode {
        Mode::Up => {}
        Mode::Busy => return Ok(empty_answer(StatusCode::SERVICE_UNAVAILABLE)),
        Mode::Silent => std::future::pending().await,
    }
    let query: HashMap<String, String> = request
        .uri()
        .query()
        .unwrap_or_default()
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .map(|(name, value)| (name.to_owned(), value.to_owned()))
        .collect();
    let prefix = query.get("PathPrefix").cloned().unwrap_or_default();
    let after = query.get("After").cloned().unwrap_or_default();
    match request.uri().path() {
        "/api/kv-range" => Ok(range(&state.lock(), &prefix, &after)),
        "/api/kv-watch" => {
            let wait_ms = query.get("WaitMs").and_then(|text| text.parse().ok());
            let wait = Duration::from_millis(wait_ms.unwrap_or(0));
            let after = after.parse().unwrap_or(0);
            watch(&state, &changed, from, &prefix, after, wait).await
        }
        _ => Ok(empty_answer(StatusCode::NOT_FOUND)),
    }
}

/// Maximum number of items on a page of a listing. It is small, so that listings in tests have
/// more than one page.
const PAGE_ITEMS: usize = 4;

/// Answers a listing: one page of the items whose key starts with `prefix` and follows `after`.
fn range(state: &State, prefix: &str, after: &str) -> Response<Full<Bytes>> {
    let matching = state
        .items
        .iter()
        .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
    let mut entries: Vec<Value> = matching
        .take(PAGE_ITEMS + 1)
        .map(|(key, (value, revision))| item(key, value, *revision))
        .collect();
    let has_more = entries.len() > PAGE_ITEMS;
    entries.truncate(PAGE_ITEMS);
    json_answer(&json!({ "Entries": entries, "HasMore": has_more,
        "StoreRevision": state.revision }))
}

/// Answers a watch: the changes after a revision, as soon as there are any or `wait` has passed.
async fn watch(
    state: &Mutex<State>,
    changed: &Notify,
    caller: IpAddr,
    prefix: &str,
    after: u64,
    wait: Duration,
) -> Answer {
    let deadline = tokio::time::Instant::now() + wait;
    let cuts = state.lock().watch_cuts;
    loop {
        let notified = changed.notified();
        // A watch that is open when its caller's mode becomes silent gets no answer either.
        let is_silent = state.lock().modes_by_caller.get(&caller) == Some(&Mode::Silent);
        if is_silent {
            std::future::pending::<()>().await;
        }
        {
            let state = state.lock();
            let first_revision = state
                .history
                .first()
                .map_or(state.revision + 1, |(revision, ..)| *revision);
            if state.watch_cuts != cuts {
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
            let is_compacted = after + 1 < first_revision && after < state.revision;
            if is_compacted || after > state.revision {
                return Ok(empty_answer(StatusCode::GONE));
            }
            let events: Vec<Value> = state
                .history
                .iter()
                .filter(|(revision, key, _)| *revision > after && key.starts_with(prefix))
                .map(|(revision, key, value)| match value {
                    Some(value) => item(key, value, *revision),
                    None => json!({ "Key": key, "Revision": revision, "Deleted": true }),
                })
                .collect();
            let is_past_deadline = tokio::time::Instant::now() >= deadline;
            if !events.is_empty() || is_past_deadline || state.mode != Mode::Up {
                return Ok(json_answer(&json!({ "events": events,
                    "StoreRevision": state.revision })));
            }
        }
        let _ = tokio::time::timeout_at(deadline, notified).await;
    }
}
