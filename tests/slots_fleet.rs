//! Slots in a fleet of real processes: slots held without demand, cold starts and a killed
//! allocator (P2).

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use googletest::prelude::*;
use primrosewalk::decisions::ownership_keys::endpoint_key;
use primrosewalk::decisions::rendezvous::rendezvous_order;
use primrosewalk::units::VmId;
use serde_json::{Value, json};
use support::{Answer, Fleet, Plan, get_json};
use tokio::task::JoinHandle;

/// Bound on the time until every VM knows of a cold start.
const PROPAGATION_LIMIT_MS: u64 = 1_000;
const PIPELINE: &str = "look";
/// Service whose endpoints have different allocators, which follow from the endpoints' names.
const SERVICE: &str = "fetch";

fn plan(fleet_flags: &[&'static str], endpoint_flags: &[&'static str]) -> Plan {
    let mut flags = vec!["--pipeline", "look=fetch"];
    flags.extend(["--rate", "5000", "--burst", "5000"]);
    flags.extend_from_slice(fleet_flags);
    Plan {
        fleet_flags: flags,
        endpoint_flags: endpoint_flags.to_vec(),
        ..Plan::default()
    }
}

/// Waits until every VM holds slots at every endpoint of the service although there is no demand.
async fn wait_for_standing_slots(fleet: &Fleet) {
    let holds = |status: &Value| {
        let endpoints = status["endpoints"].as_array().unwrap();
        let mut used = endpoints.iter().filter(|item| item["service"] == SERVICE);
        used.clone().next().is_some() && used.all(|item| item["granted_slots"] != json!(0))
    };
    for vm in 0..fleet.vms.len() {
        fleet.wait_status(vm, "holding standing slots", holds).await;
    }
}

/// Workers that each send one request after another to a VM until they are stopped.
struct Load {
    stop: Arc<AtomicBool>,
    workers: Vec<JoinHandle<Vec<(Instant, Answer)>>>,
}

impl Load {
    fn start(fleet: &Fleet, vms: &[usize], workers_per_vm: usize) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let mut workers = Vec::new();
        for vm in vms {
            for _ in 0..workers_per_vm {
                let (caller, address) = (fleet.caller("org-0"), fleet.vms[*vm].caller);
                let stop = Arc::clone(&stop);
                workers.push(tokio::spawn(async move {
                    let mut answers = Vec::new();
                    while !stop.load(Ordering::Relaxed) {
                        // An error is taken to mean that the VM was killed, which breaks the
                        // connection; the failed request is not counted.
                        let Ok(answer) = caller.send(address, PIPELINE, &[], &json!({})).await
                        else {
                            break;
                        };
                        answers.push((Instant::now(), answer));
                    }
                    answers
                }));
            }
        }
        Self { stop, workers }
    }

    async fn stop(self) -> Vec<(Instant, Answer)> {
        self.stop.store(true, Ordering::Relaxed);
        let mut answers = Vec::new();
        for worker in self.workers {
            answers.extend(worker.await.unwrap());
        }
        answers
    }
}

/// Reads the ledgers of all endpoints of the service.
async fn ledgers(fleet: &Fleet) -> Vec<Value> {
    let mut ledgers = Vec::new();
    for endpoint in fleet.service(SERVICE) {
        ledgers.push(get_json(endpoint.address, "/ledger").await.unwrap());
    }
    ledgers
}

async fn expect_slots_never_exceeded(fleet: &Fleet) {
    for ledger in ledgers(fleet).await {
        expect_that!(ledger["over_slots"], eq(&json!(0)));
    }
}

fn expect_all_complete<'a>(answers: impl IntoIterator<Item = &'a (Instant, Answer)>) {
    let failed = answers
        .into_iter()
        .filter(|(_, answer)| !answer.is_complete());
    let failed: Vec<_> = failed.collect();
    expect_that!(
        failed.len(),
        eq(0),
        "requests failed, first: {:?}",
        failed.first()
    );
}

/// Guards against slots that stay with the VM that used them last: requests to each VM in turn,
/// first one by one and then as many at once as there are slots, must get slots within their
/// deadline.
#[gtest]
#[tokio::test]
async fn few_slots_follow_the_requests() {
    let plan = plan(&["--slots", "3", "--endpoints-per-service", "1"], &[]);
    let fleet = Fleet::start(&plan).await;
    wait_for_standing_slots(&fleet).await;
    let caller = fleet.caller("org-0");
    let mut answers = Vec::new();
    for vm in fleet.vms.iter().cycle().take(9) {
        let answer = caller.send(vm.caller, PIPELINE, &[], &json!({})).await;
        answers.push((Instant::now(), answer.unwrap()));
    }
    for vm in fleet.vms.iter().cycle().take(9) {
        let input = json!({});
        let sent = (0..3).map(|_| caller.send(vm.caller, PIPELINE, &[], &input));
        for answer in futures::future::join_all(sent).await {
            answers.push((Instant::now(), answer.unwrap()));
        }
    }
    expect_all_complete(&answers);
    expect_slots_never_exceeded(&fleet).await;
}

/// Guards P2: after the propagation time, every VM keeps within the cold capacity for as long as
/// the endpoint reports that it is cold, and requests are still answered.
#[gtest]
#[tokio::test]
async fn a_cold_start_under_full_load_gets_no_more_than_the_cold_slots() {
    let plan = plan(
        &["--slots", "12", "--cold-slots", "2"],
        &["--service-ms", "40", "--cold-ms", "4000"],
    );
    let fleet = Fleet::start(&plan).await;
    wait_for_standing_slots(&fleet).await;
    let load = Load::start(&fleet, &[0, 1, 2], 12);
    tokio::time::sleep(Duration::from_secs(1)).await;
    for endpoint in fleet.service(SERVICE) {
        fleet
            .control_endpoint(&endpoint.name, "/control/cold")
            .await;
    }
    let cold_at = Instant::now();
    tokio::time::sleep(Duration::from_secs(6)).await;
    let answers = load.stop().await;
    expect_all_complete(&answers);
    let limit = Duration::from_millis(PROPAGATION_LIMIT_MS);
    let cold = cold_at + limit..cold_at + Duration::from_millis(4_000);
    let while_cold = answers.iter().filter(|(at, _)| cold.contains(at));
    expect_that!(while_cold.count(), gt(0));
    for ledger in ledgers(&fleet).await {
        let refusals = ledger["cold_refusals_ms"].as_array().unwrap();
        let latest = refusals.iter().filter_map(Value::as_u64).max();
        expect_that!(latest.unwrap_or(0), le(PROPAGATION_LIMIT_MS));
    }
    expect_slots_never_exceeded(&fleet).await;
}

/// Guards the service and the slot limit when the VM that allocates an endpoint's slots is killed.
#[gtest]
#[tokio::test]
async fn a_killed_allocator_stops_no_request_and_no_endpoint_exceeds_its_slots() {
    let plan = plan(&["--slots", "4"], &["--service-ms", "40"]);
    let mut fleet = Fleet::start(&plan).await;
    wait_for_standing_slots(&fleet).await;
    let vms: Vec<VmId> = fleet.vms.iter().map(|vm| vm.id.parse().unwrap()).collect();
    let endpoint = fleet.service(SERVICE).next().unwrap().name.parse();
    let order = rendezvous_order(&endpoint_key(&endpoint.unwrap()), &vms);
    let allocator = vms.iter().position(|vm| vm == order[0]).unwrap();
    let others: Vec<usize> = (0..vms.len()).filter(|vm| *vm != allocator).collect();
    let load = Load::start(&fleet, &others, 8);
    let allocator_load = Load::start(&fleet, &[allocator], 8);
    tokio::time::sleep(Duration::from_secs(1)).await;
    fleet.kill(allocator);
    let killed_at = Instant::now();
    tokio::time::sleep(Duration::from_secs(8)).await;
    let answers = load.stop().await;
    expect_all_complete(&answers);
    let after = answers.iter().filter(|(at, _)| *at > killed_at);
    expect_that!(after.count(), gt(0));
    expect_all_complete(&allocator_load.stop().await);
    expect_slots_never_exceeded(&fleet).await;
}
