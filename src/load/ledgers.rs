//! Reads what the endpoint stand-ins saw: runs that nobody profited from, ids that ran
//! twice, refusals in cold starts and keys that leaked.

use std::collections::{BTreeMap, HashMap, HashSet};

use hyper::Method;
use serde::{Deserialize, Serialize};

use super::client::Client;
use super::fleet::Fleet;
use crate::units::{EndpointName, ServiceName};

/// The ledger of one endpoint, as `GET /ledger` gives it.
#[derive(Debug, Clone, Default, Deserialize)]
pub struct Ledger {
    /// Accepted runs in order.
    #[serde(default)]
    pub runs: Vec<LedgerRun>,
    /// Refusals in a cold start.
    #[serde(default)]
    pub cold_refusals_ms: Vec<u64>,
    /// Places where a key stood, with counts.
    #[serde(default)]
    pub key_sightings: BTreeMap<String, u64>,
}

/// One accepted run.
#[derive(Debug, Clone, Deserialize)]
pub struct LedgerRun {
    /// Id of the request.
    pub request_id: String,
    /// Time that it took, in milliseconds.
    #[serde(default)]
    pub elapsed_ms: f64,
}

/// All ledgers by endpoint; an endpoint that does not answer is left out.
pub type Ledgers = BTreeMap<EndpointName, (ServiceName, Ledger)>;

/// What the ledgers say about one run of the load generator.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct LedgerReport {
    /// Endpoints whose ledger could not be read; the figures below leave them out.
    pub unread_endpoints: Vec<String>,
    /// Runs and endpoint time by service.
    pub work: BTreeMap<String, Work>,
    /// Request ids that a stage which must not be repeated ran more than once.
    pub doubled_request_ids: Vec<String>,
    /// Refusals of endpoints in a cold start: work beyond what they bear.
    pub cold_refusals: usize,
    /// Requests to endpoints that carried a key.
    pub key_sightings: u64,
}

/// Work of the endpoints of one service.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Work {
    /// Runs of all requests.
    pub runs: u64,
    /// Endpoint time of all requests, in milliseconds.
    pub elapsed_ms: f64,
    /// Runs of requests that failed or came late.
    pub lost_runs: u64,
    /// Endpoint time of requests that failed or came late, in milliseconds.
    pub lost_ms: f64,
}

/// Reads the ledgers of all endpoints.
pub async fn read_ledgers(fleet: &Fleet) -> Ledgers {
    let client = Client::default();
    let mut ledgers = Ledgers::new();
    for (name, (service, address)) in &fleet.endpoints {
        let answer = client.send(*address, Method::GET, "/ledger", &[], "").await;
        let ledger = answer
            .ok()
            .and_then(|answer| serde_json::from_slice(&answer.body).ok());
        if let Some(ledger) = ledger {
            ledgers.insert(name.clone(), (service.clone(), ledger));
        }
    }
    ledgers
}

/// Compares ledgers from before and after the run.
pub fn compare_ledgers(
    fleet: &Fleet,
    before: &Ledgers,
    after: &Ledgers,
    attained: &HashSet<&str>,
) -> LedgerReport {
    let mut report = LedgerReport::default();
    let unread = fleet
        .endpoints
        .keys()
        .filter(|name| !after.contains_key(*name));
    report.unread_endpoints = unread.map(ToString::to_string).collect();
    let mut once: HashMap<(&ServiceName, &str), u32> = HashMap::new();
    for (name, (service, ledger)) in after {
        let old = before.get(name).map(|(_, ledger)| ledger);
        let skipped = old.map_or(0, |ledger| ledger.runs.len());
        let work = report.work.entry(service.to_string()).or_default();
        for run in ledger.runs.iter().skip(skipped) {
            work.add(run, attained.contains(run.request_id.as_str()));
            if fleet.run_once_services.contains(service) {
                *once.entry((service, &run.request_id)).or_default() += 1;
            }
        }
        let refusals = ledger.cold_refusals_ms.len();
        report.cold_refusals += refusals
            - old
                .map_or(0, |old| old.cold_refusals_ms.len())
                .min(refusals);
        let sightings = |ledger: &Ledger| ledger.key_sightings.values().sum::<u64>();
        report.key_sightings += sightings(ledger).saturating_sub(old.map_or(0, sightings));
    }
    let doubled = once.into_iter().filter(|(_, count)| *count > 1);
    report.doubled_request_ids = doubled.map(|((_, id), _)| id.to_owned()).collect();
    report.doubled_request_ids.sort_unstable();
    report
}

impl Work {
    fn add(&mut self, run: &LedgerRun, is_attained: bool) {
        self.runs += 1;
        self.elapsed_ms += run.elapsed_ms;
        if !is_attained {
            self.lost_runs += 1;
            self.lost_ms += run.elapsed_ms;
        }
    }
}
