//! Simulated callers. A caller asks any VM for an address, uses it for as long as it is
//! valid, and asks for another one when the VM at that address stops or its connection
//! breaks (`docs/design.md`, 3.3, 3.4 and 6).

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
use super::client::{Answer, Client, SendFailure};
use super::fleet::Fleet;
use super::record::{Outcome, RequestRecord, StageTime};
use super::scenario::{OrganisationLoad, Scenario};
use crate::units::OrganisationName;

/// Maximum number of times that a request is sent before its caller gives up.
const MAX_TRIES: u32 = 6;

/// Pause before a caller sends a request again while an earlier copy of it still runs.
const DUPLICATE_RUNNING_PAUSE: Duration = Duration::from_millis(50);

/// How long a caller waits for the answer after the deadline, so that the report can tell late
/// answers from missing ones.
const LATE_ANSWER_WAIT: Duration = Duration::from_millis(500);

/// All callers of a scenario.
pub struct Callers {
    fleet: Arc<Fleet>,
    client: Client,
    organisations: Vec<OrganisationCallers>,
    /// Count of address requests; picks the VMs in turn.
    next_vm: AtomicUsize,
}

/// Callers of one organisation.
struct OrganisationCallers {
    load: OrganisationLoad,
    key: Mutex<Option<String>>,
    /// Address that each caller uses, and the time until which it is valid.
    cached_addresses: Vec<Mutex<Option<(SocketAddr, Instant)>>>,
}

/// Answer to `GET /v1/address`.
#[derive(Deserialize)]
struct AddressAnswer {
    address: SocketAddr,
    /// Present only if the address is that of the VM that answers.
    request_id: Option<String>,
    valid_for_ms: u64,
}

/// Answer to `POST /v1/request-ids`.
#[derive(Deserialize)]
struct RequestIdAnswer {
    request_id: String,
}

/// Successful answer of a pipeline; in a stream, the data of its `end` event.
#[derive(Deserialize)]
struct PipelineAnswer {
    request_id: String,
    output: Value,
    #[serde(default)]
    stages: Vec<StageTime>,
}

/// Body of a refusal or an error; in a stream, the data of its `error` event.
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

/// Result of sending a request once.
enum SendResult {
    Complete(PipelineAnswer),
    Refused(Refusal),
    Failed(SendFailure),
}

impl Callers {
    /// Creates the callers of all organisations in the scenario.
    pub fn new(scenario: &Scenario, fleet: Arc<Fleet>) -> Self {
        let organisation = |load: &OrganisationLoad| OrganisationCallers {
            load: load.clone(),
            key: Mutex::new(load.key.clone()),
            cached_addresses: (0..load.callers).map(|_| Mutex::default()).collect(),
        };
        Self {
            fleet,
            client: Client::default(),
            organisations: scenario.organisations.iter().map(organisation).collect(),
            next_vm: AtomicUsize::new(0),
        }
    }

    /// Makes all callers of an organisation send this API key from now on.
    pub fn use_key(&self, name: &OrganisationName, key: &str) {
        for organisation in self
            .organisations
            .iter()
            .filter(|one| one.load.name == *name)
        {
            *organisation.key.lock() = Some(key.to_owned());
        }
    }

    /// Sends one request, with retries at other VMs, and returns its record.
    pub async fn send(
        &self,
        arrival: &Arrival,
        number: usize,
        scheduled_at: Instant,
    ) -> RequestRecord {
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
            deadline: scheduled_at + deadline,
            scheduled_at,
            may_be_received: false,
        };
        let end = scheduled_at + deadline + LATE_ANSWER_WAIT;
        let finished = tokio::time::timeout_at(end, request.send_until_ended(&mut record)).await;
        if let Ok(outcome) = finished {
            record.outcome = outcome;
        }
        record.elapsed = scheduled_at.elapsed();
        record
    }
}

/// One request that has not ended yet.
struct Request<'a> {
    callers: &'a Callers,
    organisation: &'a OrganisationCallers,
    arrival: &'a Arrival,
    key: Option<String>,
    body: String,
    scheduled_at: Instant,
    deadline: Instant,
    /// Whether a VM may have received the request. From then on it may be sent again only with
    /// the same id, because another id could run it twice.
    may_be_received: bool,
}

impl Request<'_> {
    /// Sends the request until it is answered or refused, or was sent [`MAX_TRIES`] times.
    /// After a stop of the VM or a failed connection the next try asks for a new address.
    async fn send_until_ended(&mut self, record: &mut RequestRecord) -> Outcome {
        let is_at_most_once = self
            .callers
            .fleet
            .at_most_once
            .contains(&self.arrival.pipeline);
        while record.tries < MAX_TRIES {
            let has_id = is_at_most_once && record.request_id.is_some();
            let address = match self
                .obtain_address(is_at_most_once && !has_id, record)
                .await
            {
                Ok(address) => address,
                Err(refusal) => return record_refusal(refusal, record),
            };
            record.tries += 1;
            let id = record.request_id.clone().filter(|_| is_at_most_once);
            match self.send(address, id.as_deref(), record).await {
                SendResult::Complete(answer) => return record_answer(answer, id, record),
                SendResult::Refused(refusal) if refusal.code == "duplicate_running" => {
                    record.tries -= 1;
                    tokio::time::sleep(DUPLICATE_RUNNING_PAUSE).await;
                }
                SendResult::Refused(refusal) if refusal.code == "stopping" => {
                    self.forget_address();
                    if refusal.outcome == "not_run" {
                        (record.request_id, self.may_be_received) = (None, false);
                    }
                }
                SendResult::Refused(refusal) => return record_refusal(refusal, record),
                SendResult::Failed(failure) => {
                    self.forget_address();
                    self.may_be_received |= failure == SendFailure::MaybeSent;
                    if !self.may_be_received {
                        record.request_id = None;
                    }
                }
            }
        }
        Outcome::Unanswered("connections lost")
    }

    /// Returns the address that the caller of this request uses, and the time until which it is
    /// valid.
    fn cached_address(&self) -> &Mutex<Option<(SocketAddr, Instant)>> {
        &self.organisation.cached_addresses[self.arrival.caller]
    }

    fn forget_address(&self) {
        *self.cached_address().lock() = None;
    }

    /// Returns the cached address while it is valid, or asks the VMs in turn for a new one.
    ///
    /// With `needs_id` it always asks and also sets the id of the request, because each id may
    /// be used by one request only.
    async fn obtain_address(
        &self,
        needs_id: bool,
        record: &mut RequestRecord,
    ) -> Result<SocketAddr, Refusal> {
        if let Some((address, valid_until)) = *self.cached_address().lock()
            && !needs_id
            && Instant::now() < valid_until
        {
            return Ok(address);
        }
        let vms = &self.callers.fleet.caller_addresses;
        let headers: Vec<_> = self.key.iter().map(|key| ("x-key", key.as_str())).collect();
        loop {
            let turn = self.callers.next_vm.fetch_add(1, Ordering::Relaxed);
            let vm = vms[turn % vms.len()].1;
            let asked_at = Instant::now();
            let query = self
                .callers
                .client
                .send(vm, Method::GET, "/v1/address", &headers, "");
            match query.await {
                Ok(answer) if answer.status == 200 => {
                    let Some(found) = parse::<AddressAnswer>(&answer) else {
                        return Err(unreadable_answer(&answer));
                    };
                    let valid_until = asked_at + Duration::from_millis(found.valid_for_ms);
                    *self.cached_address().lock() = Some((found.address, valid_until));
                    if !needs_id {
                        return Ok(found.address);
                    }
                    let issued = match found.request_id {
                        Some(id) => Some(id),
                        None => self.request_id_from(found.address).await?,
                    };
                    if issued.is_some() {
                        record.request_id = issued;
                        return Ok(found.address);
                    }
                }
                // This VM stops or is not ready; the next one may know an address.
                Ok(answer) if answer.status >= 500 => {}
                Ok(answer) => return Err(parse_refusal(&answer)),
                Err(_) => {}
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Asks the VM that will own the request for an id. Returns `None` when that VM cannot be
    /// reached or answers a status of 500 or above, so that the caller can ask another VM.
    async fn request_id_from(&self, vm: SocketAddr) -> Result<Option<String>, Refusal> {
        let headers: Vec<_> = self.key.iter().map(|key| ("x-key", key.as_str())).collect();
        let client = &self.callers.client;
        let query = client.send(vm, Method::POST, "/v1/request-ids", &headers, "");
        let Ok(answer) = query.await else {
            self.forget_address();
            return Ok(None);
        };
        if answer.status >= 500 {
            return Ok(None);
        }
        match parse::<RequestIdAnswer>(&answer) {
            Some(issued) => Ok(Some(issued.request_id)),
            None => Err(parse_refusal(&answer)),
        }
    }

    /// Sends the request once and reads its answer.
    async fn send(
        &self,
        address: SocketAddr,
        id: Option<&str>,
        record: &mut RequestRecord,
    ) -> SendResult {
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        let remaining_ms = remaining.as_millis().max(1).to_string();
        let mut headers = vec![
            ("content-type", "application/json"),
            ("x-deadline-ms", &*remaining_ms),
        ];
        headers.extend(self.key.iter().map(|key| ("x-key", key.as_str())));
        headers.extend(id.iter().map(|id| ("x-request-id", *id)));
        if self
            .callers
            .fleet
            .streamed_pipelines
            .contains(&self.arrival.pipeline)
        {
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
            Err(failure) => return SendResult::Failed(failure),
        };
        self.record_token_times(&answer, record);
        match answer.last_event.as_str() {
            "end" | "" if answer.status == 200 => match parse(&answer) {
                Some(answer) => SendResult::Complete(answer),
                None => SendResult::Refused(unreadable_answer(&answer)),
            },
            "error" | "" => SendResult::Refused(parse_refusal(&answer)),
            // A stream is complete only with its `end` event.
            _ => SendResult::Failed(SendFailure::MaybeSent),
        }
    }

    /// Records the time to the first token and the times between tokens.
    fn record_token_times(&self, answer: &Answer, record: &mut RequestRecord) {
        let times = &answer.token_times;
        let first = times
            .first()
            .map(|first| first.duration_since(self.scheduled_at.into_std()));
        record.first_token = first;
        let pairs = times.windows(2);
        record.token_gaps = pairs.map(|pair| pair[1].duration_since(pair[0])).collect();
    }
}

fn parse<T: DeserializeOwned>(answer: &Answer) -> Option<T> {
    serde_json::from_slice(&answer.body).ok()
}

/// Reads the refusal in an answer.
fn parse_refusal(answer: &Answer) -> Refusal {
    match parse::<RefusalAnswer>(answer) {
        Some(refusal) => refusal.error,
        None => unreadable_answer(answer),
    }
}

/// Returns the refusal that the report shows for an answer that is not as documented.
fn unreadable_answer(answer: &Answer) -> Refusal {
    Refusal {
        code: format!("unreadable_{}", answer.status),
        outcome: "unknown".to_owned(),
        request_id: None,
    }
}

/// Copies a refusal into the record and returns the outcome.
fn record_refusal(refusal: Refusal, record: &mut RequestRecord) -> Outcome {
    record.request_id = refusal.request_id.or(record.request_id.take());
    Outcome::Refused {
        code: refusal.code,
        not_run: refusal.outcome == "not_run",
    }
}

/// Copies an answer into the record, checks that it belongs to the request, and returns the
/// outcome.
fn record_answer(
    answer: PipelineAnswer,
    sent_id: Option<String>,
    record: &mut RequestRecord,
) -> Outcome {
    let is_other_id = |id: &str| id != answer.request_id;
    let output_id = answer.output.get("request_id").and_then(Value::as_str);
    record.is_misdelivered =
        sent_id.as_deref().is_some_and(is_other_id) || output_id.is_some_and(is_other_id);
    record.request_id = Some(answer.request_id);
    record.stages = answer.stages;
    Outcome::Complete
}

/// Returns the pipelines of the scenario, by organisation, that the manifest does not have.
pub fn missing_pipelines(scenario: &Scenario, fleet: &Fleet) -> BTreeMap<String, Vec<String>> {
    let mut missing = BTreeMap::new();
    for organisation in &scenario.organisations {
        let names = organisation.pipelines.keys();
        let unknown: Vec<_> = names
            .filter(|name| !fleet.pipelines.contains(*name))
            .map(ToString::to_string)
            .collect();
        if !unknown.is_empty() {
            missing.insert(organisation.name.to_string(), unknown);
        }
    }
    missing
}
