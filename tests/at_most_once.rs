//! Tests that payouts, bookings and top-ups run at most once, and that a request refused with "not
//! run" never ran (P7, P8).
//!
//! The ledgers of the `payments` stand-ins show how often each request ran.

mod support;

use std::time::Duration;

use googletest::prelude::*;
use serde_json::json;
use support::{Fleet, Plan, Signal};

const PIPELINE: &str = "payout";
const SERVICE: &str = "payments";

fn plan() -> Plan {
    Plan {
        proxied_endpoints: true,
        endpoint_flags: vec!["--service-ms", "5"],
        ..Plan::default()
    }
}

/// Sets the delay before each payments endpoint answers.
async fn set_payment_delay(fleet: &Fleet, delay_ms: u64) {
    for endpoint in fleet.service(SERVICE) {
        let command = format!("/control/slow?ms={delay_ms}");
        fleet.control_endpoint(&endpoint.name, &command).await;
    }
}

/// Waits until the payment of a request has arrived at an endpoint.
async fn wait_until_sent(fleet: &Fleet, id: &str) {
    for _ in 0..1_000 {
        if fleet.runs_of(SERVICE, id).await > 0 {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("request {id} did not reach an endpoint of the service {SERVICE}");
}

/// Sends a payout in a task. Returns its request id and the task once the payment has reached an
/// endpoint.
async fn start_payout(
    fleet: &Fleet,
    vm: usize,
) -> (
    String,
    tokio::task::JoinHandle<anyhow::Result<support::Answer>>,
) {
    let caller = fleet.caller("org-0");
    let address = fleet.vms[vm].caller;
    let id = caller.request_id(address).await;
    let sent_id = id.clone();
    let sending = tokio::spawn(async move {
        let headers = [("x-request-id", sent_id.as_str())];
        caller
            .send(address, PIPELINE, &headers, &json!({ "crew": 7 }))
            .await
    });
    wait_until_sent(fleet, &id).await;
    (id, sending)
}

/// Sends the payout of [`start_payout`] again with its request id.
async fn retry_payout(fleet: &Fleet, vm: usize, id: &str) -> support::Answer {
    let caller = fleet.caller("org-0");
    let address = fleet.vms[vm].caller;
    let headers = [("x-request-id", id)];
    let answer = caller
        .send(address, PIPELINE, &headers, &json!({ "crew": 7 }))
        .await;
    answer.unwrap()
}

/// Guards against a second run after the owner was killed between sending a payment and answering
/// the caller, also after it has restarted at the same address without its earlier state.
#[gtest]
#[tokio::test]
async fn a_killed_owner_leaves_an_unknown_outcome_and_no_second_run() {
    let mut fleet = Fleet::start(&plan()).await;
    set_payment_delay(&fleet, 1_500).await;
    let (id, sending) = start_payout(&fleet, 0).await;
    fleet.kill(0);
    expect_that!(sending.await.unwrap().is_err(), eq(true));
    set_payment_delay(&fleet, 0).await;
    let elsewhere = retry_payout(&fleet, 1, &id).await;
    expect_that!(
        (elsewhere.code(), elsewhere.outcome()),
        eq(("outcome_unknown", "unknown"))
    );
    fleet.start_vm(0);
    fleet.wait_for_lease(0).await;
    for vm in [0, 1, 2] {
        let retry = retry_payout(&fleet, vm, &id).await;
        expect_that!(
            (retry.code(), retry.outcome()),
            eq(("outcome_unknown", "unknown"))
        );
    }
    expect_that!(fleet.runs_of(SERVICE, &id).await, eq(1));
}

/// Guards against an automatic retry when the connection to the endpoint breaks after the request
/// was sent.
#[gtest]
#[tokio::test]
async fn a_connection_cut_after_sending_is_not_sent_again() {
    let fleet = Fleet::start(&plan()).await;
    set_payment_delay(&fleet, 1_500).await;
    let (id, sending) = start_payout(&fleet, 0).await;
    for endpoint in fleet.service(SERVICE) {
        fleet.control_endpoint_link(&endpoint.name, "cut").await;
    }
    let answer = sending.await.unwrap().unwrap();
    expect_that!(
        (answer.code(), answer.outcome()),
        eq(("outcome_unknown", "unknown"))
    );
    for endpoint in fleet.service(SERVICE) {
        fleet.control_endpoint_link(&endpoint.name, "pass").await;
    }
    set_payment_delay(&fleet, 0).await;
    for vm in [0, 1, 2] {
        let retry = retry_payout(&fleet, vm, &id).await;
        expect_that!(retry.outcome(), eq("unknown"));
    }
    expect_that!(fleet.runs_of(SERVICE, &id).await, eq(1));
}

/// Guards against "not run" for a payment that its endpoint refuses after it has run it.
#[gtest]
#[tokio::test]
async fn a_payout_that_its_endpoint_refuses_after_its_run_is_not_sent_again() {
    let fleet = Fleet::start(&plan()).await;
    for status in [503, 429, 408] {
        for endpoint in fleet.service(SERVICE) {
            let command = format!("/control/fail-after-work?status={status}&count=9");
            fleet.control_endpoint(&endpoint.name, &command).await;
        }
        let (id, sending) = start_payout(&fleet, 0).await;
        let answer = sending.await.unwrap().unwrap();
        expect_that!(
            (answer.code(), answer.outcome()),
            eq(("outcome_unknown", "unknown")),
            "{status}"
        );
        for vm in [0, 1, 2] {
            let retry = retry_payout(&fleet, vm, &id).await;
            expect_that!(retry.outcome(), eq("unknown"), "{status}");
        }
        expect_that!(fleet.runs_of(SERVICE, &id).await, eq(1), "{status}");
    }
}

/// Guards against a second run at another VM while the process of the owner is stopped by SIGSTOP,
/// and against losing the stored answer of the owner after SIGCONT.
#[gtest]
#[tokio::test]
async fn a_request_of_a_frozen_owner_does_not_run_elsewhere() {
    let fleet = Fleet::start(&plan()).await;
    set_payment_delay(&fleet, 800).await;
    let (id, sending) = start_payout(&fleet, 0).await;
    fleet.signal(0, Signal::STOP);
    let elsewhere = retry_payout(&fleet, 1, &id).await;
    expect_that!(elsewhere.outcome(), eq("unknown"), "{elsewhere:?}");
    fleet.signal(0, Signal::CONT);
    let first = sending.await.unwrap();
    let retry = retry_payout(&fleet, 2, &id).await;
    // The deadline of 3 s may have passed while the owner was frozen. The first answer is then an
    // unknown outcome, and the result is stored for retries.
    let first_is_valid =
        first.is_ok_and(|answer| answer.is_complete() || answer.outcome() == "unknown");
    expect_that!(first_is_valid, eq(true));
    expect_that!(
        retry.is_complete() || retry.outcome() == "unknown",
        eq(true),
        "{retry:?}"
    );
    expect_that!(fleet.runs_of(SERVICE, &id).await, eq(1));
}

/// Guards against a second run, and against the false outcome "not run", when duplicates of a
/// request arrive at all VMs at the same time.
#[gtest]
#[tokio::test]
async fn concurrent_duplicates_run_once_and_none_is_refused_as_not_run() {
    let fleet = Fleet::start(&plan()).await;
    set_payment_delay(&fleet, 300).await;
    let caller = fleet.caller("org-0");
    let id = caller.request_id(fleet.vms[0].caller).await;
    let duplicates = (0..24).map(|number| retry_payout(&fleet, number % 3, &id));
    let answers = futures::future::join_all(duplicates).await;
    let complete = answers.iter().filter(|answer| answer.is_complete()).count();
    expect_that!(complete, ge(1));
    for answer in &answers {
        let is_valid = answer.is_complete() || answer.outcome() == "unknown";
        expect_that!(is_valid, eq(true), "{answer:?}");
    }
    let stored = retry_payout(&fleet, 1, &id).await;
    expect_that!(stored.is_complete(), eq(true), "{stored:?}");
    expect_that!(fleet.runs_of(SERVICE, &id).await, eq(1));
}

/// Guards against a run after a refusal with "not run": no later request with the same id, at any
/// VM, may run.
#[gtest]
#[tokio::test]
async fn a_request_refused_as_not_run_never_runs() {
    let fleet = Fleet::start(&plan()).await;
    let caller = fleet.caller("org-0");
    let address = fleet.vms[0].caller;
    let id = caller.request_id(address).await;
    for endpoint in fleet.service("encoder") {
        fleet.control_endpoint_link(&endpoint.name, "cut").await;
    }
    let headers = [("x-request-id", id.as_str()), ("x-deadline-ms", "400")];
    let refused = caller
        .send(address, PIPELINE, &headers, &json!({ "crew": 7 }))
        .await
        .unwrap();
    for endpoint in fleet.service("encoder") {
        fleet.control_endpoint_link(&endpoint.name, "pass").await;
    }
    expect_that!(refused.outcome(), eq("not_run"), "{refused:?}");
    for vm in [0, 1, 2] {
        let retry = retry_payout(&fleet, vm, &id).await;
        expect_that!(retry.outcome(), eq("not_run"), "{retry:?}");
    }
    expect_that!(fleet.runs_of(SERVICE, &id).await, eq(0));
}

/// Guards against starting work for a payout that has no request id although it needs one.
#[gtest]
#[tokio::test]
async fn a_payout_without_an_id_is_refused() {
    let fleet = Fleet::start(&plan()).await;
    let caller = fleet.caller("org-0");
    let answer = caller
        .send(fleet.vms[0].caller, PIPELINE, &[], &json!({}))
        .await
        .unwrap();
    expect_that!(
        (answer.code(), answer.outcome()),
        eq(("request_id_required", "not_run"))
    );
    expect_that!(fleet.runs(SERVICE).await.len(), eq(0));
}
