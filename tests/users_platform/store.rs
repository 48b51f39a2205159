//! Stand-in for the platform's key-value store, with items, revisions, watches and outages.
//!
//! It is written from the platform's page and RFC 3986, and is stricter than its client: it decodes queries as a web
//! server does and answers 400 to one that is malformed, incomplete or has parts that the page does not name.

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
use hyper::{Method, Request, Response, StatusCode};
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
    /// Answers each call with status 429.
    Many,
    /// Closes the connection of each call without an answer.
    Reset,
    /// Accepts calls and never answers.
    Silent,
}

/// Largest page of a listing that the platform's page allows.
const MAX_PAGE_ITEMS: usize = 500;
/// Largest size of the values on a page.
const MAX_PAGE_BYTES: usize = 1_000_000;
/// Longest key, and longest wait of a watch.
const MAX_KEY_BYTES: usize = 200;
const MAX_WAIT_MS: u64 = 30_000;
/// Window over which calls are counted toward the rate limit.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// Size of pages, and what happens to calls besides the general mode.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Maximum number of items on a page. It is small by default, so that listings in tests have several pages.
    pub page_items: usize,
    /// Calls per second, without stale ones, beyond which the store answers 429.
    pub reads_per_s: Option<usize>,
    /// Each how many-th page is lost: its connection closes without an answer.
    pub lose_each: Option<usize>,
    /// Time that each page takes.
    pub page_delay: Duration,
    /// Time that each watch and check takes besides.
    pub watch_delay: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            page_items: 4,
            reads_per_s: None,
            lose_each: None,
            page_delay: Duration::ZERO,
            watch_delay: Duration::ZERO,
        }
    }
}

/// An item as the store has it.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Stored {
    /// Value, encoded as the page says.
    Bytes(Bytes),
    /// Item as it stands in answers, for items that do not keep to the page.
    Wire(String),
}

/// Items of a store at one revision, from which it can come back.
#[derive(Clone)]
pub struct StoreCopy {
    revision: u64,
    items: BTreeMap<String, (Stored, u64)>,
}

struct State {
    /// Counts how often the store came back from a copy.
    era: u64,
    revision: u64,
    /// Value and revision by key.
    items: BTreeMap<String, (Stored, u64)>,
    /// Changes as (revision, key, value), oldest first; a deletion has no value.
    history: Vec<(u64, String, Option<Stored>)>,
    limits: Limits,
    /// Number of listings and watches that the store answered with 400, with the last such query.
    malformed: (usize, String),
    /// Paths of all calls, with their queries.
    paths: Vec<String>,
    /// Number of pages that were asked for.
    pages: usize,
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
            limits: Limits::default(),
            malformed: (0, String::new()),
            paths: Vec::new(),
            pages: 0,
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
        self.put_stored(key, Stored::Bytes(value));
    }

    /// Puts an item that stands in answers as given, whatever the page says of items. `item` is given its revision.
    pub fn put_wire(&self, key: &str, item: impl FnOnce(u64) -> String) {
        let revision = self.state.lock().revision + 1;
        self.put_stored(key, Stored::Wire(item(revision)));
    }

    /// Returns the keys of the items that were put as they stand in answers, of those that fulfil a condition.
    pub fn keys_of_wire_items(&self, condition: impl Fn(&str) -> bool) -> Vec<String> {
        let state = self.state.lock();
        let items = state.items.iter().filter(|(_, (value, _))| match value {
            Stored::Wire(item) => condition(item),
            Stored::Bytes(_) => false,
        });
        items.map(|(key, _)| key.clone()).collect()
    }

    fn put_stored(&self, key: &str, value: Stored) {
        assert!(key.len() <= MAX_KEY_BYTES, "{key:?} is too long");
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

    /// Returns the keys of the items that begin with a prefix.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let state = self.state.lock();
        let keys = state.items.keys().filter(|key| key.starts_with(prefix));
        keys.cloned().collect()
    }

    pub fn set_limits(&self, limits: Limits) {
        self.state.lock().limits = limits;
    }

    /// Returns how many calls were malformed, with the path of the last one.
    pub fn malformed_calls(&self) -> (usize, String) {
        self.state.lock().malformed.clone()
    }

    /// Returns the paths of all calls that hold `text`, with their queries.
    pub fn paths_with(&self, text: &str) -> Vec<String> {
        let state = self.state.lock();
        let paths = state.paths.iter().filter(|path| path.contains(text));
        paths.cloned().collect()
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

fn empty_answer(status: StatusCode) -> Response<Full<Bytes>> {
    let mut answer = Response::new(Full::new(Bytes::new()));
    *answer.status_mut() = status;
    answer
}

/// Returns an item as it stands in answers.
fn item(key: &str, value: &Stored, revision: u64) -> String {
    match value {
        Stored::Bytes(value) => json!({ "Key": key, "Value": STANDARD.encode(value),
            "Revision": revision, "Created": revision, "Lease": 0 })
        .to_string(),
        Stored::Wire(item) => item.clone(),
    }
}

/// Reads a query as a web server does. `None` if a part has no name, stands twice or holds what RFC 3986 does not allow.
fn read_query(query: &str) -> Option<HashMap<String, String>> {
    let is_allowed =
        |byte: u8| byte.is_ascii_alphanumeric() || b"-._~!$'()*+,;:@/?%=&".contains(&byte);
    if !query.bytes().all(is_allowed) {
        return None;
    }
    let mut parts = HashMap::new();
    for part in query.split('&').filter(|part| !part.is_empty()) {
        let (name, value) = part.split_once('=')?;
        let is_new = parts
            .insert(decode_text(name)?, decode_text(value)?)
            .is_none();
        if !is_new {
            return None;
        }
    }
    Some(parts)
}

/// Decodes the escapes of a part of a query; a plus stands for a blank, as in web forms.
fn decode_text(text: &str) -> Option<String> {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        bytes.push(match byte {
            b'%' => {
                let digit = |byte: u8| (byte as char).to_digit(16);
                (digit(rest.next()?)? * 16 + digit(rest.next()?)?) as u8
            }
            b'+' => b' ',
            other => other,
        });
    }
    String::from_utf8(bytes).ok()
}

/// A call as the platform's page defines it.
enum StoreCall {
    Key(String),
    Range {
        prefix: String,
        after: String,
    },
    Watch {
        prefix: String,
        after: u64,
        wait: Duration,
    },
}

/// Reads a call. An error is the status of the answer.
fn read_call(request: &Request<Incoming>) -> Result<StoreCall, StatusCode> {
    let path = request.uri().path();
    let is_known = ["/api/kv-key", "/api/kv-range", "/api/kv-watch"].contains(&path);
    if !is_known {
        return Err(StatusCode::NOT_FOUND);
    }
    if request.method() != Method::GET {
        return Err(StatusCode::METHOD_NOT_ALLOWED);
    }
    read_proper_call(request).ok_or(StatusCode::BAD_REQUEST)
}

fn read_proper_call(request: &Request<Incoming>) -> Option<StoreCall> {
    // RFC 9112 asks for exactly one.
    let mut hosts = request.headers().get_all("host").iter();
    hosts.next().filter(|_| hosts.next().is_none())?;
    let mut parts = read_query(request.uri().query().unwrap_or_default())?;
    let is_stale = parts.remove("AllowStale");
    let may_be_stale = request.uri().path() != "/api/kv-watch";
    if is_stale.is_some_and(|value| value != "1" || !may_be_stale) {
        return None;
    }
    let call = match request.uri().path() {
        "/api/kv-key" => StoreCall::Key(parts.remove("Key")?),
        "/api/kv-range" => StoreCall::Range {
            prefix: parts.remove("PathPrefix")?,
            after: parts.remove("After").unwrap_or_default(),
        },
        _ => {
            let wait_ms = parts.remove("WaitMs")?.parse().ok();
            let wait_ms = wait_ms.filter(|wait_ms| *wait_ms <= MAX_WAIT_MS)?;
            StoreCall::Watch {
                prefix: parts.remove("PathPrefix")?,
                after: parts.remove("After")?.parse().ok()?,
                wait: Duration::from_millis(wait_ms),
            }
        }
    };
    parts.is_empty().then_some(call)
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
    let call = read_call(&request);
    let is_stale = request
        .uri()
        .query()
        .is_some_and(|query| query.contains("AllowStale=1"));
    let (mode, is_over_limit) = {
        let mut state = state.lock();
        *state.call_counts.entry(from).or_default() += 1;
        state.paths.push(request.uri().to_string());
        let now = Instant::now();
        let counted = state.calls.iter().rev();
        let counted = counted.take_while(|(at, _)| now - *at < RATE_WINDOW);
        let count = counted.filter(|(_, is_stale)| !is_stale).count();
        let is_over_limit =
            !is_stale && state.limits.reads_per_s.is_some_and(|limit| count >= limit);
        state.calls.push((now, is_stale));
        let own_mode = state.modes_by_caller.get(&from).copied();
        (own_mode.unwrap_or(state.mode), is_over_limit)
    };
    match mode {
        Mode::Up => {}
        Mode::Busy => return Ok(empty_answer(StatusCode::SERVICE_UNAVAILABLE)),
        Mode::Many => return Ok(empty_answer(StatusCode::TOO_MANY_REQUESTS)),
        Mode::Reset => return Err(io::ErrorKind::ConnectionReset.into()),
        Mode::Silent => std::future::pending().await,
    }
    if is_over_limit {
        return Ok(empty_answer(StatusCode::TOO_MANY_REQUESTS));
    }
    match call {
        Ok(StoreCall::Key(key)) => Ok(single(&state.lock(), &key)),
        Ok(StoreCall::Range { prefix, after }) => {
            let (limits, page) = {
                let mut state = state.lock();
                state.pages += 1;
                (state.limits, state.pages)
            };
            tokio::time::sleep(limits.page_delay).await;
            if limits
                .lose_each
                .is_some_and(|each| page.is_multiple_of(each))
            {
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
            Ok(range(&state.lock(), &prefix, &after))
        }
        Ok(StoreCall::Watch {
            prefix,
            after,
            wait,
        }) => {
            let delay = state.lock().limits.watch_delay;
            tokio::time::sleep(delay).await;
            watch(&state, &changed, from, &prefix, after, wait).await
        }
        Err(status) => {
            if status == StatusCode::BAD_REQUEST {
                let path = request.uri().to_string();
                let malformed = &mut state.lock().malformed;
                *malformed = (malformed.0 + 1, path);
            }
            Ok(empty_answer(status))
        }
    }
}

/// Answers a read of one item.
fn single(state: &State, key: &str) -> Response<Full<Bytes>> {
    let Some((value, revision)) = state.items.get(key) else {
        return empty_answer(StatusCode::NOT_FOUND);
    };
    let item = item(key, value, *revision);
    let end = format!(",\"StoreRevision\":{}}}", state.revision);
    let body = item.strip_suffix('}').unwrap_or(&item).to_owned() + &end;
    Response::new(Full::new(Bytes::from(body)))
}

/// Answers a listing: one page of the items whose key starts with `prefix` and follows `after`.
fn range(state: &State, prefix: &str, after: &str) -> Response<Full<Bytes>> {
    let max_items = state.limits.page_items.min(MAX_PAGE_ITEMS);
    let mut matching = state
        .items
        .iter()
        .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after)
        .peekable();
    let mut entries = Vec::new();
    let mut bytes = 0;
    while let Some((key, (value, revision))) = matching.next_if(|_| entries.len() < max_items) {
        let item = item(key, value, *revision);
        bytes += item.len();
        entries.push(item);
        if bytes >= MAX_PAGE_BYTES {
            break;
        }
    }
    let has_more = matching.peek().is_some();
    let entries = entries.join(",");
    let revision = state.revision;
    let body =
        format!("{{\"Entries\":[{entries}],\"HasMore\":{has_more},\"StoreRevision\":{revision}}}");
    Response::new(Full::new(Bytes::from(body)))
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
            let events: Vec<String> = state
                .history
                .iter()
                .filter(|(revision, key, _)| *revision > after && key.starts_with(prefix))
                .map(|(revision, key, value)| match value {
                    Some(value) => item(key, value, *revision),
                    None => {
                        json!({ "Key": key, "Revision": revision, "Deleted": true }).to_string()
                    }
                })
                .collect();
            let is_past_deadline = tokio::time::Instant::now() >= deadline;
            if !events.is_empty() || is_past_deadline || state.mode != Mode::Up {
                let body = format!(
                    "{{\"events\":[{}],\"StoreRevision\":{}}}",
                    events.join(","),
                    state.revision
                );
                return Ok(Response::new(Full::new(Bytes::from(body))));
            }
        }
        let _ = tokio::time::timeout_at(deadline, notified).await;
    }
}
