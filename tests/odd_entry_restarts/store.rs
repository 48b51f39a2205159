//! Stand-in for the platform's store that shares no code with its client: it reads the bytes of a request itself, and
//! its query in one of the ways in which servers do.

use std::collections::{BTreeMap, HashMap};
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use parking_lot::{Condvar, Mutex};
use serde_json::{Value, json};

use super::query::Reading;

/// Longest wait of a watch.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(30);

/// A change of an item; one that was removed has no value.
struct Change {
    revision: u64,
    key: String,
    value: Option<String>,
}

impl Change {
    fn to_event(&self) -> Value {
        match &self.value {
            Some(value) => item(&self.key, value, self.revision),
            None => json!({ "Key": self.key, "Revision": self.revision, "Deleted": true }),
        }
    }
}

#[derive(Default)]
struct State {
    revision: u64,
    /// Value, as it stands in answers, and revision by key.
    items: BTreeMap<String, (String, u64)>,
    history: Vec<Change>,
    /// Targets of the calls for pages, with their answers.
    pages: Vec<String>,
}

struct Shared {
    reading: Reading,
    page_items: usize,
    state: Mutex<State>,
    changed: Condvar,
}

/// Store of one fleet.
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl Store {
    pub fn start(address: SocketAddr, reading: Reading, page_items: usize) -> Self {
        let listener = TcpListener::bind(address).unwrap();
        let shared = Arc::new(Shared {
            reading,
            page_items,
            state: Mutex::default(),
            changed: Condvar::new(),
        });
        let served = Arc::clone(&shared);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = Arc::clone(&served);
                thread::spawn(move || shared.serve(stream));
            }
        });
        Self { address, shared }
    }

    pub fn put(&self, key: &str, value: &Value) {
        let value = STANDARD.encode(value.to_string());
        self.shared.change(key, Some(value));
    }

    pub fn delete(&self, key: &str) {
        self.shared.change(key, None);
    }

    /// Returns the calls for pages since the last time, with their answers.
    pub fn take_page_calls(&self) -> Vec<String> {
        std::mem::take(&mut self.shared.state.lock().pages)
    }
}

/// Status and body of an answer.
type Answer = (&'static str, Value);

fn refusal() -> Answer {
    ("400 Bad Request", Value::Null)
}

/// Returns an item as it stands in answers.
fn item(key: &str, value: &str, revision: u64) -> Value {
    json!({ "Key": key, "Value": value, "Revision": revision, "Created": revision, "Lease": 0 })
}

impl Shared {
    fn change(&self, key: &str, value: Option<String>) {
        let mut state = self.state.lock();
        state.revision += 1;
        let revision = state.revision;
        match &value {
            Some(value) => state
                .items
                .insert(key.to_owned(), (value.clone(), revision)),
            None => state.items.remove(key),
        };
        state.history.push(Change {
            revision,
            key: key.to_owned(),
            value,
        });
        self.changed.notify_all();
    }

    /// Answers the calls of one connection until it ends.
    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut writer = stream;
        while let Some(target) = read_target(&mut reader)? {
            let (status, body) = self.answer(&target);
            let body = body.to_string();
            let head = format!(
                "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nStore-Era: 1\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            writer.write_all((head + &body).as_bytes())?;
        }
        Ok(())
    }

    fn answer(&self, target: &str) -> Answer {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let Ok(parts) = self.reading.read(query) else {
            let call = format!("{target}: refused");
            self.state.lock().pages.push(call);
            return refusal();
        };
        match path {
            "/api/kv-range" => self.range(target, &parts),
            "/api/kv-watch" => self.watch(&parts),
            _ => ("404 Not Found", Value::Null),
        }
    }

    /// Answers a listing with a page of the items whose keys begin with a prefix and follow another key.
    fn range(&self, target: &str, parts: &HashMap<String, String>) -> Answer {
        let Some(prefix) = parts.get("PathPrefix") else {
            return refusal();
        };
        let after = parts.get("After").map_or("", String::as_str);
        let mut state = self.state.lock();
        let following = state
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let mut items: Vec<Value> = following
            .take(self.page_items + 1)
            .map(|(key, (value, revision))| item(key, value, *revision))
            .collect();
        let has_more = items.len() > self.page_items;
        items.truncate(self.page_items);
        let keys: Vec<&str> = items
            .iter()
            .filter_map(|item| item["Key"].as_str())
            .collect();
        let call = format!("{target}: after {after:?}: {keys:?}");
        state.pages.push(call);
        let page =
            json!({ "Entries": items, "HasMore": has_more, "StoreRevision": state.revision });
        ("200 OK", page)
    }

    /// Answers a watch with the changes after a revision, as soon as there are any or its wait is over.
    fn watch(&self, parts: &HashMap<String, String>) -> Answer {
        let number = |name: &str| parts.get(name)?.parse::<u64>().ok();
        let (Some(prefix), Some(after), Some(wait_ms)) =
            (parts.get("PathPrefix"), number("After"), number("WaitMs"))
        else {
            return refusal();
        };
        let deadline = Instant::now() + Duration::from_millis(wait_ms).min(MAX_WATCH_WAIT);
        let mut state = self.state.lock();
        loop {
            let changes = state
                .history
                .iter()
                .filter(|change| change.revision > after);
            let changes = changes.filter(|change| change.key.starts_with(prefix));
            let events: Vec<Value> = changes.map(Change::to_event).collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let answer = json!({ "events": events, "StoreRevision": state.revision });
                return ("200 OK", answer);
            }
            self.changed.wait_for(&mut state, left);
        }
    }
}

/// Reads the head of a request and returns its target; `None` if the connection has ended.
fn read_target(reader: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut lines = Vec::new();
    loop {
        let mut line = Vec::new();
        if reader.read_until(b'\n', &mut line)? == 0 {
            return Ok(None);
        }
        let line = String::from_utf8_lossy(&line).trim_end().to_owned();
        if line.is_empty() {
            break;
        }
        lines.push(line);
    }
    // A target with a blank is read up to the version of the protocol, as lenient servers do.
    let first = lines.first().map_or("", String::as_str);
    let target = first
        .trim_start_matches("GET ")
        .trim_end_matches(" HTTP/1.1");
    Ok(Some(target.to_owned()))
}
