//! Request ids and non-idempotent stages.

use std::sync::Arc;

use googletest::prelude::*;

use crate::traffic_fixture::endpoint::{Fake, OK, Step};
use crate::traffic_fixture::*;

/// A payout whose connection breaks after it was sent must not be sent again (P8).
#[gtest]
#[tokio::test]
async fn cut_non_idempotent_stage_runs_once_and_its_outcome_is_unknown() {
    let pay = [Fake::start(&[Step::Cut]).await, Fake::start(&[OK]).await];
    let endpoints = vec![("pay", pay[0].clone()), ("pay", pay[1].clone())];
    let vm = Vm::start(Setup::new(endpoints)).await;
    let id = vm.issue_id().await;
    for _ in 0..2 {
        let reply = run(&vm, "payout", &[("x-request-id", &id)], "{}").await;
        let expected = "502 outcome_unknown unknown";
        expect_that!(reply.refusal(), eq(expected));
    }
    expect_that!((pay[0].seen().len(), pay[1].seen().len()), eq((1, 0)));
}

/// An endpoint that says it did not run leaves the payout free for another endpoint.
#[gtest]
#[tokio::test]
async fn refused_non_idempotent_stage_goes_to_another_endpoint() {
    let refusal = Step::Answer("503 Busy", "x-not-run: true\r\n", "{}");
    let pay = [Fake::start(&[refusal]).await, Fake::start(&[OK]).await];
    let endpoints = vec![("pay", pay[0].clone()), ("pay", pay[1].clone())];
    let vm = Vm::start(Setup::new(endpoints)).await;
    let id = vm.issue_id().await;
    let reply = run(&vm, "payout", &[("x-request-id", &id)], "{}").await;
    expect_that!(reply.status, eq(200));
    expect_that!((pay[0].seen().len(), pay[1].seen().len()), eq((1, 1)));
}

/// With nowhere else to go, "not run" must be said, because it is true.
#[gtest]
#[tokio::test]
async fn refused_non_idempotent_stage_is_not_run() {
    let refusal = Step::Answer("503 Busy", "x-not-run: true\r\n", "{}");
    let pay = Fake::start(&[refusal]).await;
    let vm = Vm::start(Setup::new(vec![("pay", pay)])).await;
    let id = vm.issue_id().await;
    let reply = run(&vm, "payout", &[("x-request-id", &id)], "{}").await;
    expect_that!(reply.refusal(), eq("502 stage_failed not_run"));
}

/// A caller that asks again must get the kept answer, and nobody else may (P1, P8).
#[gtest]
#[tokio::test]
async fn repeated_id_gets_the_kept_answer() {
    let pay = Fake::start(&[OK]).await;
    let vm = Vm::start(Setup::new(vec![("pay", pay.clone())])).await;
    let id = vm.issue_id().await;
    let headers = [("x-request-id", id.as_str())];
    let first = run(&vm, "payout", &headers, r#"{"sum":1}"#).await;
    expect_that!(first.status, eq(200));
    let again = run(&vm, "payout", &headers, r#"{"sum":1}"#).await;
    expect_that!(again.body, eq(&first.body));
    let changed = run(&vm, "payout", &headers, r#"{"sum":2}"#).await;
    let expected = "400 invalid_request_id unknown";
    expect_that!(changed.refusal(), eq(expected));
    let headers = [("x-key", OTHER_KEY), ("x-request-id", id.as_str())];
    let other = send(
        vm.caller,
        "POST",
        "/v1/pipelines/payout",
        &headers,
        r#"{"sum":1}"#,
    )
    .await;
    expect_that!(other.refusal(), eq(expected));
    expect_that!(pay.seen().len(), eq(1));
    let summary = first.json();
    expect_that!(summary["request_id"].as_str(), some(eq(id.as_str())));
    expect_that!(summary["output"]["done"].as_bool(), some(eq(true)));
    expect_that!(pay.seen()[0].contains(KEY), eq(false));
}

/// A copy that arrives while the first runs must not run beside it (P8).
#[gtest]
#[tokio::test]
async fn copy_of_a_running_request_is_refused() {
    let pay = Fake::start(&[Step::Wait(r#"{"output":1}"#)]).await;
    let vm = Arc::new(Vm::start(Setup::new(vec![("pay", pay.clone())])).await);
    let id = vm.issue_id().await;
    let (first_vm, first_id) = (Arc::clone(&vm), id.clone());
    let first = tokio::spawn(async move {
        run(&first_vm, "payout", &[("x-request-id", &first_id)], "{}").await
    });
    pay.arrived().await;
    let copy = run(&vm, "payout", &[("x-request-id", &id)], "{}").await;
    let expected = "409 duplicate_running unknown";
    expect_that!(copy.refusal(), eq(expected));
    pay.release();
    expect_that!(first.await.unwrap().status, eq(200));
    expect_that!(pay.seen().len(), eq(1));
}

/// A caller that goes away must free the engine, but not undo or repeat a payout.
#[gtest]
#[tokio::test]
async fn caller_that_leaves_cancels_idempotent_attempts_only() {
    let first = Fake::start(&[Step::Wait(r#"{"output":1}"#)]).await;
    let pay = Fake::start(&[Step::Wait(r#"{"output":1}"#)]).await;
    let endpoints = vec![("first", first.clone()), ("pay", pay.clone())];
    let vm = Arc::new(Vm::start(Setup::new(endpoints)).await);
    let caller = Arc::clone(&vm);
    let leave = abandonable(async move { run(&caller, "simple", &[], "{}").await });
    first.arrived().await;
    leave.send(()).unwrap();
    first.closed_early().await;

    // A single stage ends well; of two stages, the second does not start.
    for (pipeline, expected) in [("payout", 200), ("pay-then-first", 502)] {
        let id = vm.issue_id().await;
        let (caller, caller_id) = (Arc::clone(&vm), id.clone());
        let leave = abandonable(async move {
            run(&caller, pipeline, &[("x-request-id", &caller_id)], "{}").await
        });
        pay.arrived().await;
        leave.send(()).unwrap();
        // Only once the VM has seen that the caller left may the payout end.
        wait_for_line(&vm, &id, "caller left").await;
        pay.release();
        wait_for_line(&vm, &id, "request ended").await;
        let again = run(&vm, pipeline, &[("x-request-id", &id)], "{}").await;
        expect_that!(again.status, eq(expected), "{pipeline}");
        if expected != 200 {
            let expected = "502 stage_failed unknown";
            expect_that!(again.refusal(), eq(expected));
        }
    }
    expect_that!((pay.seen().len(), first.seen().len()), eq((2, 1)));
}

/// A deadline in the middle of a payout must not be told as "not run", nor lose its result.
#[gtest]
#[tokio::test]
async fn deadline_in_a_non_idempotent_stage_keeps_the_outcome() {
    let pay = Fake::start(&[Step::Wait(r#"{"output":1}"#)]).await;
    let vm = Vm::start(Setup::new(vec![("pay", pay.clone())])).await;
    let id = vm.issue_id().await;
    let headers = [("x-request-id", id.as_str()), ("x-deadline-ms", "100")];
    let reply = run(&vm, "payout", &headers, "{}").await;
    let expected = "502 outcome_unknown unknown";
    expect_that!(reply.refusal(), eq(expected));
    pay.release();
    wait_for_line(&vm, &id, "request ended").await;
    let again = run(&vm, "payout", &[("x-request-id", &id)], "{}").await;
    expect_that!(again.status, eq(200));
    expect_that!(pay.seen().len(), eq(1));
}

/// A copy at another VM must run at the owner of its id, once, and not be sent in circles.
#[gtest]
#[tokio::test]
async fn copy_at_another_vm_is_forwarded_to_the_owner_once() {
    let pay = Fake::start(&[OK]).await;
    let engine = Fake::start(&[Step::Stream(&["a", "b"])]).await;
    let endpoints = vec![("pay", pay.clone()), ("engine", engine.clone())];
    let owner = Vm::start(Setup::new(endpoints.clone())).await;
    let other = Setup {
        vm: "vm-2",
        ..Setup::new(endpoints)
    };
    let other = Vm::start(other).await;
    let list = Arc::new(vm_list(&[("vm-1", owner.caller), ("vm-2", other.caller)]));
    other.publish(|snapshot| snapshot.vms = list);
    let id = owner.issue_id().await;
    let forwarded = run(&other, "payout", &[("x-request-id", &id)], "{}").await;
    let direct = run(&owner, "payout", &[("x-request-id", &id)], "{}").await;
    expect_that!(forwarded.status, eq(200));
    expect_that!(forwarded.body, eq(&direct.body));
    expect_that!(pay.seen().len(), eq(1));
    let id = owner.issue_id().await;
    let headers = [("x-request-id", id.as_str()), ("x-forwarded-by", "vm-3")];
    let twice = run(&other, "payout", &headers, "{}").await;
    let expected = "502 outcome_unknown unknown";
    expect_that!(twice.refusal(), eq(expected));
    let headers = [
        ("x-request-id", id.as_str()),
        ("accept", "text/event-stream"),
    ];
    let events = run(&other, "chat", &headers, "{}").await;
    let (text, last, _) = read_events(&events.body);
    expect_that!((text.as_str(), last.as_str()), eq(("ab", "end")));
}
