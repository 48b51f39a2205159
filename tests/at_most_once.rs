//! Payouts, bookings and top-ups run at most once, and "not run" is true (P7, P8).
//!
//! The ledgers of the `payments` stand-ins are the judge.

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

async fn slow_payments(fleet: &Fleet, slow_ms: u64) {
    for endpoint in fleet.service(SERVICE) {
        let command = format!("/control/slow?ms={slow_ms}");
        fleet.endpoint(&endpoint.name, &command).await;
    }
}

/// Waits until a request's payment has arrived at an endpoint.
async fn wait_sent(fleet: &Fleet, id: &str) {
    for _ in 0..1_000 {
        if fleet.runs_of(SERVICE, id).await > 0 {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("request {id} was not sent to an endpoint");
}

/// Sends a payout and returns once its payment has reached an endpoint.
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
    let headers_id = id.clone();
    let sending = tokio::spawn(async move {
        let headers = [("x-request-id", headers_id.as_str())];
        caller
            .send(address, PIPELINE, &headers, &json!({ "crew": 7 }))
            .await
    });
    wait_sent(fleet, &id).await;
    (id, sending)
}

async fn repeat(fleet: &Fleet, vm: usize, id: &str) -> support::Answer {
    let caller = fleet.caller("org-0");
    let address = fleet.vms[vm].caller;
    let headers = [("x-request-id", id)];
    let answer = caller
        .send(address, PIPELINE, &headers, &json!({ "crew": 7 }))
        .await;
    answer.unwrap()
}

/// Guards against a second run after the owner died between sending and answering, also when
/// it comes back at the same address without memory.
#[gtest]
#[tokio::test]
async fn a_killed_owner_leaves_an_unknown_outcome_and_no_second_run() {
    let mut fleet = Fleet::start(&plan()).await;
    slow_payments(&fleet, 1_500).await;
    let (id, sending) = start_payout(&fleet, 0).await;
    fleet.kill(0);
    expect_that!(sending.await.unwrap().is_err(), eq(true));
    slow_payments(&fleet, 0).await;
    let elsewhere = repeat(&fleet, 1, &id).await;
    expect_that!(
        (elsewhere.code(), elsewhere.outcome()),
        eq(("outcome_unknown", "unknown"))
    );
    fleet.start_vm(0);
    fleet.wait_for_lease(0).await;
    for vm in [0, 1, 2] {
        let again = repeat(&fleet, vm, &id).await;
        expect_that!(
            (again.code(), again.outcome()),
            eq(("outcome_unknown", "unknown"))
        );
    }
    expect_that!(fleet.runs_of(SERVICE, &id).await, eq(1));
}

/// Guards against a hidden retry when the connection breaks after the bytes were sent.
#[gtest]
#[tokio::test]
async fn a_connection_cut_after_sending_is_not_sent_again() {
    let fleet = Fleet::start(&plan()).await;
    slow_payments(&fleet, 1_500).await;
    let (id, sending) = start_payout(&fleet, 0).await;
    for endpoint in fleet.service(SERVICE) {
        fleet.endpoint_link(&endpoint.name, "cut").await;
    }
    let answer = sending.await.unwrap().unwrap();
    expect_that!(
        (answer.code(), answer.outcome()),
        eq(("outcome_unknown", "unknown"))
    );
    for endpoint in fleet.service(SERVICE) {
        fleet.endpoint_link(&endpoint.name, "pass").await;
    }
    slow_payments(&fleet, 0).await;
    for vm in [0, 1, 2] {
        let again = repeat(&fleet, vm, &id).await;
        expect_that!(again.outcome(), eq("unknown"));
    }
    expect_that!(fleet.runs_of(SERVICE, &id).await, eq(1));
}

/// Guards against a second run at another VM while the owner is frozen, and against losing
/// the answer that the owner keeps once it wakes.
#[gtest]
#[tokio::test]
async fn a_frozen_owner_keeps_the_request_to_itself() {
    let fleet = Fleet::start(&plan()).await;
    slow_payments(&fleet, 800).await;
    let (id, sending) = start_payout(&fleet, 0).await;
    fleet.signal(0, Signal::STOP);
    let elsewhere = repeat(&fleet, 1, &id).await;
    expect_that!(elsewhere.outcome(), eq("unknown"), "{elsewhere:?}");
    fleet.signal(0, Signal::CONT);
    let first = sending.await.unwrap();
    let again = repeat(&fleet, 2, &id).await;
    // The deadline of 3 s may have passed while the owner was frozen; then the answer is kept.
    let first_whole = first.is_ok_and(|answer| answer.is_whole() || answer.outcome() == "unknown");
    expect_that!(first_whole, eq(true));
    expect_that!(
        again.is_whole() || again.outcome() == "unknown",
        eq(true),
        "{again:?}"
    );
    expect_that!(fleet.runs_of(SERVICE, &id).await, eq(1));
}

/// Guards against copies that race through all VMs at once.
#[gtest]
#[tokio::test]
async fn racing_copies_run_once_and_none_says_not_run() {
    let fleet = Fleet::start(&plan()).await;
    slow_payments(&fleet, 300).await;
    let caller = fleet.caller("org-0");
    let id = caller.request_id(fleet.vms[0].caller).await;
    let copies = (0..24).map(|copy| repeat(&fleet, copy % 3, &id));
    let answers = futures::future::join_all(copies).await;
    let whole = answers.iter().filter(|answer| answer.is_whole()).count();
    expect_that!(whole, ge(1));
    for answer in &answers {
        let known = answer.is_whole() || answer.outcome() == "unknown";
        expect_that!(known, eq(true), "{answer:?}");
    }
    let kept = repeat(&fleet, 1, &id).await;
    expect_that!(kept.is_whole(), eq(true), "{kept:?}");
    expect_that!(fleet.runs_of(SERVICE, &id).await, eq(1));
}

/// Guards the truth of "not run": a request refused so never runs later, by any copy.
#[gtest]
#[tokio::test]
async fn a_request_refused_as_not_run_never_runs() {
    let fleet = Fleet::start(&plan()).await;
    let caller = fleet.caller("org-0");
    let address = fleet.vms[0].caller;
    let id = caller.request_id(address).await;
    for endpoint in fleet.service("encoder") {
        fleet.endpoint_link(&endpoint.name, "cut").await;
    }
    let headers = [("x-request-id", id.as_str()), ("x-deadline-ms", "400")];
    let refused = caller
        .send(address, PIPELINE, &headers, &json!({ "crew": 7 }))
        .await
        .unwrap();
    for endpoint in fleet.service("encoder") {
        fleet.endpoint_link(&endpoint.name, "pass").await;
    }
    expect_that!(refused.outcome(), eq("not_run"), "{refused:?}");
    for vm in [0, 1, 2] {
        let again = repeat(&fleet, vm, &id).await;
        expect_that!(again.outcome(), eq("not_run"), "{again:?}");
    }
    expect_that!(fleet.runs_of(SERVICE, &id).await, eq(0));
}

/// Guards against work that is lost when a request needs an id and has none.
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
