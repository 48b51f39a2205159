//! Tests that planned changes break off no request and stop new work in time (P3, P9, P10).

mod support;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use googletest::prelude::*;
use serde_json::{Value, json};
use support::{Answer, Caller, Fleet, Plan, Signal};

/// Longest time until a data centre in the state `out` or a leaving endpoint gets no new work.
const STOP_LIMIT: Duration = Duration::from_secs(5);

/// Sets the `state` of the item with a name in a list of the manifest.
fn set_state(list: &mut Value, name: &str, state: &str) {
    let items = list.as_array_mut().unwrap();
    let item = items.iter_mut().find(|item| item["name"] == name);
    item.unwrap()["state"] = json!(state);
}

/// Guards P10: after SIGTERM, running requests complete, new work is refused as not run with the
/// address of another VM, and the daemon exits with code 0.
#[gtest]
#[tokio::test]
async fn a_planned_stop_completes_running_requests_and_exits_with_zero() {
    let plan = Plan {
        endpoint_flags: vec!["--tokens", "50", "--token-ms", "30"],
        ..Plan::default()
    };
    let mut fleet = Fleet::start(&plan).await;
    let address = fleet.vms[0].caller;
    let running: Vec<_> = (0..10)
        .map(|number| {
            let caller = fleet.caller("org-0");
            tokio::spawn(async move {
                caller
                    .send(address, "answer", &[], &json!({ "number": number }))
                    .await
            })
        })
        .collect();
    let runs_ten = |status: &Value| status["running_requests"] == 10;
    fleet.wait_status(0, "running ten requests", runs_ten).await;
    fleet.signal(0, Signal::TERM);
    fleet
        .wait_status(0, "stopping", |status| status["stopping"] == true)
        .await;
    let caller = fleet.caller("org-0");
    let refused = caller.send(address, "answer", &[], &json!({})).await;
    if let Ok(refused) = refused {
        expect_that!(
            (refused.code(), refused.outcome()),
            eq(("stopping", "not_run"))
        );
    }
    for request in running {
        let answer = request.await.unwrap().unwrap();
        expect_that!(answer.is_complete(), eq(true), "{answer:?}");
    }
    expect_that!(
        fleet.exit_code(0, Duration::from_secs(20)).await,
        eq(Some(0))
    );
    let elsewhere = caller
        .send(fleet.vms[1].caller, "answer", &[], &json!({}))
        .await
        .unwrap();
    expect_that!(elsewhere.is_complete(), eq(true), "{elsewhere:?}");
}

/// Sends a request and, if it is refused with `stopping`, sends it to the address that the refusal
/// names, as callers do.
async fn send_and_follow(caller: &Caller, vm: SocketAddr) -> Answer {
    let first = caller.send(vm, "catalogue", &[], &json!({})).await.unwrap();
    if first.code() != "stopping" {
        return first;
    }
    expect_that!(first.outcome(), eq("not_run"));
    let other = first.body["error"]["address"].as_str().unwrap();
    let other = other.parse().unwrap();
    caller
        .send(other, "catalogue", &[], &json!({}))
        .await
        .unwrap()
}

/// Sends requests to all VMs for `duration` and expects a complete answer to each.
async fn send_for(fleet: &Fleet, duration: Duration) {
    let caller = fleet.caller("org-0");
    let end = Instant::now() + duration;
    let mut failed = Vec::new();
    while Instant::now() < end {
        let sent = fleet
            .vms
            .iter()
            .map(|vm| send_and_follow(&caller, vm.caller));
        let answers = futures::future::join_all(sent).await;
        failed.extend(answers.into_iter().filter(|answer| !answer.is_complete()));
    }
    expect_that!(
        failed.len(),
        eq(0),
        "first failed answer: {:?}",
        failed.first()
    );
}

/// Returns the number of runs in the ledgers of all endpoints of a data centre.
async fn runs_in(fleet: &Fleet, data_centre: &str) -> usize {
    let mut count = 0;
    for endpoint in fleet
        .endpoints
        .iter()
        .filter(|item| item.data_centre == data_centre)
    {
        let ledger = support::get_json(endpoint.address, "/ledger")
            .await
            .unwrap();
        count += ledger["runs"].as_array().unwrap().len();
    }
    count
}

/// Guards P3: a data centre in the state `out` gets no new work after 5 s, no request fails in the
/// meantime, and the data centre gets work again after its state is `in`.
#[gtest]
#[tokio::test]
async fn a_data_centre_leaves_and_returns_without_a_failed_request() {
    let plan = Plan {
        fleet_flags: vec!["--rate", "1000", "--burst", "1000"],
        ..Plan::default()
    };
    let mut fleet = Fleet::start(&plan).await;
    send_for(&fleet, Duration::from_millis(500)).await;
    expect_that!(runs_in(&fleet, "dc-1").await, gt(0));
    fleet.publish(|manifest| set_state(&mut manifest["data_centres"], "dc-1", "out"));
    send_for(&fleet, STOP_LIMIT).await;
    let after_limit = runs_in(&fleet, "dc-1").await;
    send_for(&fleet, Duration::from_secs(1)).await;
    expect_that!(runs_in(&fleet, "dc-1").await, eq(after_limit));
    let address = support::get_json(fleet.vms[1].caller, "/v1/address")
        .await
        .unwrap();
    expect_that!(address["vm"], not(eq(&json!("vm-1"))));
    fleet.publish(|manifest| set_state(&mut manifest["data_centres"], "dc-1", "in"));
    send_for(&fleet, STOP_LIMIT).await;
    expect_that!(runs_in(&fleet, "dc-1").await, gt(after_limit));
}

/// Guards P9: an endpoint in the state `leaving` gets no new work after 5 s.
#[gtest]
#[tokio::test]
async fn a_leaving_endpoint_gets_no_new_work() {
    let plan = Plan {
        fleet_flags: vec!["--rate", "1000", "--burst", "1000"],
        ..Plan::default()
    };
    let mut fleet = Fleet::start(&plan).await;
    send_for(&fleet, Duration::from_millis(500)).await;
    fleet.publish(|manifest| set_state(&mut manifest["endpoints"], "encoder-1", "leaving"));
    send_for(&fleet, STOP_LIMIT).await;
    let runs_of_leaving = |runs: Vec<Value>| {
        let matching = runs.iter().filter(|run| run["endpoint"] == "encoder-1");
        matching.count()
    };
    let after_limit = runs_of_leaving(fleet.runs("encoder").await);
    expect_that!(after_limit, gt(0));
    send_for(&fleet, Duration::from_secs(1)).await;
    expect_that!(
        runs_of_leaving(fleet.runs("encoder").await),
        eq(after_limit)
    );
}

/// Guards against sending callers to a dead VM in the second before a majority votes it absent.
#[gtest]
#[tokio::test]
async fn callers_are_sent_elsewhere_soon_after_a_vm_died() {
    let mut fleet = Fleet::start(&Plan::default()).await;
    fleet.kill(0);
    let vm_0_is_silent = |status: &Value| status["peers"][0]["silent"] == true;
    fleet
        .wait_status(1, "aware that vm-0 is silent", vm_0_is_silent)
        .await;
    for _ in 0..20 {
        let answer = support::get_json(fleet.vms[1].caller, "/v1/address")
            .await
            .unwrap();
        expect_that!(answer["vm"], not(eq(&json!("vm-0"))));
    }
}
