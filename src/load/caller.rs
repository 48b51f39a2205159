//! Callers: they ask any VM for an address, keep it for its validity, and follow to another
//! VM when theirs stops or is lost (`docs/design.md`, 3.3, 3.4 and 6).

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use hyper::Method;
use parking_lot::Mutex;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use tokio::time::Instant;

use super::arrivals::Arrival;
use super::client::{Answer, Client, Lost};
use super::fleet::Fleet;
use super::record::{Outcome, RequestRecord, StageTime};
use super::scenario::{OrganisationLoad, Scenario};
use crate::units::OrganisationName;

/// Times that a request is sent before its caller gives up.
const MAX_TRIES: u32 = 6;

/// Wait before a caller asks again for the outcome of a copy that still runs.
const COPY_RUNS_WAIT: Duration = Duration::from_millis(50);

/// Time beyond the deadline for which an answer is awaited, to tell late from lost.
const GRACE: Duration = Duration::from_millis(500);

/// All callers of a scenario.
pub struct Callers {
    fleet: Arc<Fleet>,
    client: Client,
    organisations: Vec<Organisation>,
    next_vm: AtomicUsize,
}

struct Organisation {
    load: OrganisationLoad,
    key: Mutex<Option<String>>,
    /// The address that each caller keeps and until when.
    kept: Vec<Mutex<Option<(SocketAddr, Instant)>>>,
}

#[derive(Deserialize)]
struct AddressAnswer {
    address: SocketAddr,
    /// Given only by the VM that the address belongs to.
    request_id: Option<String>,
    valid_for_ms: u64,
}

#[derive(Deserialize)]
struct RequestIdAnswer {
    request_id: String,
}

#[derive(Deserialize)]
struct Summary {
    request_id: String,
    output: Value,
    #[serde(default)]
    stages: Vec<StageTime>,
}

#[derive(Deserialize)]
struct RefusalAnswer {
    error: Refusal,
}

#[derive(Deserialize)]
struct Refusal {
    code: String,
    #[serde(default)]
    outcome: String,
    #[serde(default)]
    request_id: Option<String>,
}

enum Reply {
    Whole(Summary),
    Refused(Refusal),
    Lost(Lost),
}

impl Callers {
    /// Makes the callers of all organisations.
    pub fn new(scenario: &Scenario, fleet: Arc<Fleet>) -> Self {
        let organisation = |load: &OrganisationLoad| Organisation {
            load: load.clone(),
            key: Mutex::new(load.key.clone()),
            kept: (0..load.callers).map(|_| Mutex::default()).collect(),
        };
        Self {
            fleet,
            client: Client::default(),
            organisations: scenario.organisations.iter().map(organisation).collect(),
            next_vm: AtomicUsize::new(0),
        }
    }

    /// Makes all callers of an organisation send another key from now on.
    pub fn use_key(&self, name: &OrganisationName, key: &str) {
        for organisation in self
            .organisations
            .iter()
            .filter(|one| one.load.name == *name)
        {
            *organisation.key.lock() = Some(key.to_owned());
        }
    }

    /// Sends one request and follows it to its end.
    pub async fn send(&self, arrival: &Arrival, number: usize, planned: Instant) -> RequestRecord {
        let organisation = &self.organisations[arrival.organisation];
        let deadline = Duration::from_millis(organisation.load.deadline_ms);
        let mut record = RequestRecord {
            at: arrival.at,
            organisation: arrival.organisation,
            inside_rate: arrival.inside_rate,
            deadline,
            outcome: Outcome::Unanswered("no answer in time"),
            elapsed: Duration::ZERO,
            request_id: None,
            tries: 0,
            stages: Vec::new(),
            first_token: None,
            token_gaps: Vec::new(),
            is_misdelivered: false,
        };
        let mut request = Request {
            callers: self,
            organisation,
            arrival,
            key: organisation.key.lock().clone(),
            body: json!({ "number": number, "text": format!("request {number}") }).to_string(),
            deadline: planned + deadline,
            planned,
            is_sent: false,
        };
        let end = planned + deadline + GRACE;
        let ended = tokio::time::timeout_at(end, request.follow(&mut record)).await;
        if let Ok(outcome) = ended {
            record.outcome = outcome;
        }
        record.elapsed = planned.elapsed();
        record
    }
}

/// One request while it is followed.
struct Request<'a> {
    callers: &'a Callers,
    organisation: &'a Organisation,
    arrival: &'a Arrival,
    key: Option<String>,
    body: String,
    planned: Instant,
    deadline: Instant,
    /// Set once the fleet may have seen the id, so that only this id may be sent again.
    is_sent: bool,
}

impl Request<'_> {
    async fn follow(&mut self, record: &mut RequestRecord) -> Outcome {
        let runs_once = self.callers.fleet.run_once.contains(&self.arrival.pipeline);
        while record.tries < MAX_TRIES {
            let has_id = runs_once && record.request_id.is_some();
            let address = match self.address(runs_once && !has_id, record).await {
                Ok(address) => address,
                Err(refusal) => return refused(refusal, record),
            };
            record.tries += 1;
            let id = record.request_id.clone().filter(|_| runs_once);
            match self.send(address, id.as_deref(), record).await {
                Reply::Whole(summary) => return accept(summary, id, record),
                Reply::Refused(refusal) if refusal.code == "duplicate_running" => {
                    record.tries -= 1;
                    tokio::time::sleep(COPY_RUNS_WAIT).await;
                }
                Reply::Refused(refusal) if refusal.code == "stopping" => {
                    self.forget();
                    if refusal.outcome == "not_run" {
                        (record.request_id, self.is_sent) = (None, false);
                    }
                }
                Reply::Refused(refusal) => return refused(refusal, record),
                Reply::Lost(lost) => {
                    self.forget();
                    self.is_sent |= lost == Lost::AfterSending;
                    if !self.is_sent {
                        record.request_id = None;
                    }
                }
            }
        }
        Outcome::Unanswered("connections lost")
    }

    fn kept(&self) -> &Mutex<Option<(SocketAddr, Instant)>> {
        &self.organisation.kept[self.arrival.caller]
    }

    fn forget(&self) {
        *self.kept().lock() = None;
    }

    /// Returns the kept address or asks for one. A request that runs once takes the id
    /// that came with the address, which no other request may use.
    async fn address(
        &self,
        needs_id: bool,
        record: &mut RequestRecord,
    ) -> Result<SocketAddr, Refusal> {
        if let Some((address, until)) = *self.kept().lock()
            && !needs_id
            && Instant::now() < until
        {
            return Ok(address);
        }
        let vms = &self.callers.fleet.callers;
        let headers: Vec<_> = self.key.iter().map(|key| ("x-key", key.as_str())).collect();
        loop {
            let turn = self.callers.next_vm.fetch_add(1, Ordering::Relaxed);
            let vm = vms[turn % vms.len()].1;
            let asked = Instant::now();
            let ask = self
                .callers
                .client
                .send(vm, Method::GET, "/v1/address", &headers, "");
            match ask.await {
                Ok(answer) if answer.status == 200 => {
                    let Some(found) = parse::<AddressAnswer>(&answer) else {
                        return Err(unreadable(&answer));
                    };
                    let until = asked + Duration::from_millis(found.valid_for_ms);
                    *self.kept().lock() = Some((found.address, until));
                    if !needs_id {
                        return Ok(found.address);
                    }
                    let issued = match found.request_id {
                        Some(id) => Some(id),
                        None => self.issue_id(found.address).await?,
                    };
                    if issued.is_some() {
                        record.request_id = issued;
                        return Ok(found.address);
                    }
                }
                // Another VM may know better than one that stops or is not ready.
                Ok(answer) if answer.status >= 500 => {}
                Ok(answer) => return Err(refusal_of(&answer)),
                Err(_) => {}
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Asks the VM that will own the request for an id; `None` when it cannot be asked.
    async fn issue_id(&self, vm: SocketAddr) -> Result<Option<String>, Refusal> {
        let headers: Vec<_> = self.key.iter().map(|key| ("x-key", key.as_str())).collect();
        let client = &self.callers.client;
        let asked = client.send(vm, Method::POST, "/v1/request-ids", &headers, "");
        let Ok(answer) = asked.await else {
            self.forget();
            return Ok(None);
        };
        if answer.status >= 500 {
            return Ok(None);
        }
        match parse::<RequestIdAnswer>(&answer) {
            Some(issued) => Ok(Some(issued.request_id)),
            None => Err(refusal_of(&answer)),
        }
    }

    async fn send(
        &self,
        address: SocketAddr,
        id: Option<&str>,
        record: &mut RequestRecord,
    ) -> Reply {
        let left = self.deadline.saturating_duration_since(Instant::now());
        let left_ms = left.as_millis().max(1).to_string();
        let mut headers = vec![
            ("content-type", "application/json"),
            ("x-deadline-ms", &*left_ms),
        ];
        headers.extend(self.key.iter().map(|key| ("x-key", key.as_str())));
        headers.extend(id.iter().map(|id| ("x-request-id", *id)));
        if self.callers.fleet.streamed.contains(&self.arrival.pipeline) {
            headers.push(("accept", "text/event-stream"));
        }
        let path = format!("/v1/pipelines/{}", self.arrival.pipeline);
        let body = self.body.clone();
        let sent = self
            .callers
            .client
            .send(address, Method::POST, &path, &headers, body);
        let answer = match sent.await {
            Ok(answer) => answer,
            Err(lost) => return Reply::Lost(lost),
        };
        self.note_tokens(&answer, record);
        match answer.last_event.as_str() {
            "end" | "" if answer.status == 200 => match parse(&answer) {
                Some(summary) => Reply::Whole(summary),
                None => Reply::Refused(unreadable(&answer)),
            },
            "error" | "" => Reply::Refused(refusal_of(&answer)),
            // Only an answer with `end` is whole.
            _ => Reply::Lost(Lost::AfterSending),
        }
    }

    fn note_tokens(&self, answer: &Answer, record: &mut RequestRecord) {
        let times = &answer.token_times;
        let first = times
            .first()
            .map(|first| first.duration_since(self.planned.into_std()));
        record.first_token = first;
        let pairs = times.windows(2);
        record.token_gaps = pairs.map(|pair| pair[1].duration_since(pair[0])).collect();
    }
}

fn parse<T: DeserializeOwned>(answer: &Answer) -> Option<T> {
    serde_json::from_slice(&answer.body).ok()
}

fn refusal_of(answer: &Answer) -> Refusal {
    match parse::<RefusalAnswer>(answer) {
        Some(refusal) => refusal.error,
        None => unreadable(answer),
    }
}

/// Stands for an answer that is not of the documented shape.
fn unreadable(answer: &Answer) -> Refusal {
    Refusal {
        code: format!("unreadable_{}", answer.status),
        outcome: "unknown".to_owned(),
        request_id: None,
    }
}

fn refused(refusal: Refusal, record: &mut RequestRecord) -> Outcome {
    record.request_id = refusal.request_id.or(record.request_id.take());
    Outcome::Refused {
        code: refusal.code,
        not_run: refusal.outcome == "not_run",
    }
}

fn accept(summary: Summary, sent_id: Option<String>, record: &mut RequestRecord) -> Outcome {
    let is_other = |id: &str| id != summary.request_id;
    let output_id = summary.output.get("request_id").and_then(Value::as_str);
    record.is_misdelivered =
        sent_id.as_deref().is_some_and(is_other) || output_id.is_some_and(is_other);
    record.request_id = Some(summary.request_id);
    record.stages = summary.stages;
    Outcome::Complete
}

/// Names of pipelines by organisation that the manifest does not have.
pub fn missing_pipelines(scenario: &Scenario, fleet: &Fleet) -> BTreeMap<String, Vec<String>> {
    let mut missing = BTreeMap::new();
    for organisation in &scenario.organisations {
        let names = organisation.pipelines.keys();
        let absent: Vec<_> = names
            .filter(|name| !fleet.pipelines.contains(*name))
            .map(ToString::to_string)
            .collect();
        if !absent.is_empty() {
            missing.insert(organisation.name.to_string(), absent);
        }
    }
    missing
}
