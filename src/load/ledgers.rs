//! Reads the ledgers of the endpoint stand-ins, to count runs whose request failed or was late,
//! requests that ran twice, refusals during cold starts and API keys that reached an endpoint.

use std::collections::{BTreeMap, HashMap, HashSet};

use hyper::Method;
use serde::{Deserialize, Serialize};

use super::client::Client;
use super::fleet::Fleet;
use crate::units::{EndpointName, ServiceName};

/// Ledger of one endpoint, as answered to `GET /ledger`.
#[derive(Debug, Clone, Default, Deserialize)]
pub struct Ledger {
    /// Runs that the endpoint accepted, in order.
    #[serde(default)]
    pub runs: Vec<LedgerRun>,
    /// Refusals during a cold start: milliseconds from its start to each refusal.
    #[serde(default)]
    pub cold_refusals_ms: Vec<u64>,
    /// How often an API key was seen, by the place in the request.
    #[serde(default)]
    pub key_sightings: BTreeMap<String, u64>,
}

/// One run that an endpoint accepted.
#[derive(Debug, Clone, Deserialize)]
pub struct LedgerRun {
    /// Id of the request.
    pub request_id: String,
    /// Duration of the run in milliseconds, 0 while it runs.
    #[serde(default)]
    pub elapsed_ms: f64,
}

/// Service and ledger of each endpoint; endpoints whose ledger could not be read are missing.
pub type Ledgers = BTreeMap<EndpointName, (ServiceName, Ledger)>;

/// Figures from the ledgers about one run of the load generator.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct LedgerReport {
    /// Endpoints whose ledger could not be read after the run; no other field counts them.
    pub unread_endpoints: Vec<String>,
    /// Runs and endpoint time, by service.
    pub work: BTreeMap<String, ServiceWork>,
    /// Ids of requests that a non-idempotent stage ran more than once.
    pub doubled_request_ids: Vec<String>,
    /// Refusals by endpoints in a cold start, which were sent more work than they can take.
    pub cold_refusals: usize,
    /// How often endpoints saw an API key in a request.
    pub key_sightings: u64,
}

/// Runs at the endpoints of one service.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct ServiceWork {
    /// Number of runs.
    pub runs: u64,
    /// Duration of all runs together, in milliseconds.
    pub elapsed_ms: f64,
    /// Number of runs whose request was not attained: it failed or was answered late.
    pub lost_runs: u64,
    /// Duration of the runs whose request was not attained, in milliseconds.
    pub lost_ms: f64,
}

/// Reads the ledgers of all endpoints, and leaves out those that cannot be read.
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

/// Compares the ledgers from before and after a run of the load generator. `attained` holds
/// the ids of requests answered completely within their deadline.
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
    let mut at_most_once: HashMap<(&ServiceName, &str), u32> = HashMap::new();
    for (name, (service, ledger)) in after {
        let earlier = before.get(name).map(|(_, ledger)| ledger);
        let earlier_runs = earlier.map_or(0, |ledger| ledger.runs.len());
        let work = report.work.entry(service.to_string()).or_default();
        for run in ledger.runs.iter().skip(earlier_runs) {
            work.add(run, attained.contains(run.request_id.as_str()));
            if fleet.at_most_once_services.contains(service) {
                *at_most_once.entry((service, &run.request_id)).or_default() += 1;
            }
        }
        let refusals = ledger.cold_refusals_ms.len();
        report.cold_refusals += refusals
            - earlier
                .map_or(0, |earlier| earlier.cold_refusals_ms.len())
                .min(refusals);
        let sightings = |ledger: &Ledger| ledger.key_sightings.values().sum::<u64>();
        report.key_sightings += sightings(ledger).saturating_sub(earlier.map_or(0, sightings));
    }
    let doubled = at_most_once.into_iter().filter(|(_, count)| *count > 1);
    report.doubled_request_ids = doubled.map(|((_, id), _)| id.to_owned()).collect();
    report.doubled_request_ids.sort_unstable();
    report
}

impl ServiceWork {
    fn add(&mut self, run: &LedgerRun, is_attained: bool) {
        self.runs += 1;
        self.elapsed_ms += run.elapsed_ms;
        if !is_attained {
            self.lost_runs += 1;
            self.lost_ms += run.elapsed_ms;
        }
    }
}
