//! Tests of request ids and of stages that are not idempotent.

use std::sync::Arc;

use googletest::prelude::*;

use crate::traffic_fixture::endpoint::{FakeEndpoint, OK, Step};
use crate::traffic_fixture::*;

/// Starts two VMs of which the second knows the first, and so forwards requests with its ids.
async fn start_two_vms(endpoints: Vec<(&'static str, FakeEndpoint)>) -> (Vm, Vm) {
    let owner = Vm::start(Setup::new(endpoints.clone())).await;
    let other_setup = Setup {
        vm: "vm-2",
        ..Setup::new(endpoints)
    };
    let other = Vm::start(other_setup).await;
    let list = Arc::new(vm_list(&[("vm-1", owner.caller), ("vm-2", other.caller)]));
    other.publish(|snapshot| snapshot.vms = list);
    (owner, other)
}

/// A payout must not be sent again after its connection broke, because the endpoint may have run
/// it (P8).
#[gtest]
#[tokio::test]
async fn cut_non_idempotent_stage_runs_once_and_its_outcome_is_unknown() {
    let pay = [
        FakeEndpoint::start(&[Step::Cut]).await,
        FakeEndpoint::start(&[OK]).await,
    ];
    let endpoints = vec![("pay", pay[0].clone()), ("pay", pay[1].clone())];
    let vm = Vm::start(Setup::new(endpoints)).await;
    let id = vm.issue_request_id().await;
    for _ in 0..2 {
        let reply = run(&vm, "payout", &[("x-request-id", &id)], "{}").await;
        let expected = "502 outcome_unknown unknown";
        expect_that!(reply.refusal(), eq(expected));
    }
    expect_that!(
        (pay[0].requests().len(), pay[1].requests().len()),
        eq((1, 0))
    );
}

/// A payout must go to another endpoint if the first one says that it did not run it.
#[gtest]
#[tokio::test]
async fn refused_non_idempotent_stage_goes_to_another_endpoint() {
    let refusal = Step::Answer("503 Busy", "x-not-run: true\r\n", "{}");
    let pay = [
        FakeEndpoint::start(&[refusal]).await,
        FakeEndpoint::start(&[OK]).await,
    ];
    let endpoints = vec![("pay", pay[0].clone()), ("pay", pay[1].clone())];
    let vm = Vm::start(Setup::new(endpoints)).await;
    let id = vm.issue_request_id().await;
    let reply = run(&vm, "payout", &[("x-request-id", &id)], "{}").await;
    expect_that!(reply.status, eq(200));
    expect_that!(
        (pay[0].requests().len(), pay[1].requests().len()),
        eq((1, 1))
    );
}

/// A refusal must count as "not run" only if the endpoint says so, whatever its status, also where another VM passes the
/// request on to the owner of its id.
#[gtest]
#[tokio::test]
async fn refusal_that_does_not_say_not_run_leaves_the_outcome_unknown() {
    struct Case {
        status: &'static str,
        headers: &'static str,
    }
    let statuses = [
        "503 Service Unavailable",
        "429 Too Many Requests",
        "408 Request Timeout",
        "421 Misdirected Request",
    ];
    let without_statement = statuses.map(|status| Case {
        status,
        headers: "",
    });
    // A refusal of another attempt says nothing about this one.
    let of_another = statuses.map(|status| Case {
        status,
        headers: "x-not-run: true\r\nx-attempt-id: another\r\n",
    });
    for case in without_statement.into_iter().chain(of_another) {
        let name = format!("{} {:?}", case.status, case.headers);
        let refusal = Step::Answer(case.status, case.headers, "{}");
        let pay = [
            FakeEndpoint::start(std::slice::from_ref(&refusal)).await,
            FakeEndpoint::start(std::slice::from_ref(&refusal)).await,
        ];
        let endpoints = vec![("pay", pay[0].clone()), ("pay", pay[1].clone())];
        let (owner, other) = start_two_vms(endpoints).await;
        for vm in [&owner, &other] {
            let sent_before = pay[0].requests().len() + pay[1].requests().len();
            let id = owner.issue_request_id().await;
            for _ in 0..2 {
                let reply = run(vm, "payout", &[("x-request-id", &id)], "{}").await;
                let expected = "502 outcome_unknown unknown";
                expect_that!(reply.refusal(), eq(expected), "{name}");
            }
            let sent = pay[0].requests().len() + pay[1].requests().len() - sent_before;
            expect_that!(sent, eq(1), "{name}");
        }
    }
}

/// A refusal that comes late on a kept connection belongs to another request, whether it names that or none. It must
/// not make the outcome of the next one "not run".
#[gtest]
#[tokio::test]
async fn late_refusal_on_a_kept_connection_is_not_that_of_the_next_request() {
    for headers in ["", "x-attempt-id: another\r\n"] {
        let full = Step::Answer("503 Busy", "x-not-run: true\r\n", "{}");
        let first = FakeEndpoint::start(&[Step::RefuseNext(headers), full]).await;
        let vm = Vm::start(Setup::new(vec![("first", first.clone())])).await;
        let reply = run(&vm, "simple", &[], "{}").await;
        expect_that!(reply.status, eq(200), "{headers:?}");
        let reply = run(&vm, "simple", &[], "{}").await;
        expect_that!(
            reply.refusal(),
            eq("502 stage_failed unknown"),
            "{headers:?}"
        );
        expect_that!(first.requests().len(), ge(2), "{headers:?}");
    }
}

/// A payout that its only endpoint did not run must be refused with the outcome "not run".
#[gtest]
#[tokio::test]
async fn refused_non_idempotent_stage_is_not_run() {
    let refusal = Step::Answer("503 Busy", "x-not-run: true\r\n", "{}");
    let pay = FakeEndpoint::start(&[refusal]).await;
    let vm = Vm::start(Setup::new(vec![("pay", pay)])).await;
    let id = vm.issue_request_id().await;
    let reply = run(&vm, "payout", &[("x-request-id", &id)], "{}").await;
    expect_that!(reply.refusal(), eq("502 stage_failed not_run"));
}

/// A retry with the same id and input must get the stored answer. Another input or another
/// organisation must not get it (P1, P8).
#[gtest]
#[tokio::test]
async fn repeated_id_gets_the_stored_answer() {
    let pay = FakeEndpoint::start(&[OK]).await;
    let vm = Vm::start(Setup::new(vec![("pay", pay.clone())])).await;
    let id = vm.issue_request_id().await;
    let headers = [("x-request-id", id.as_str())];
    let first = run(&vm, "payout", &headers, r#"{"sum":1}"#).await;
    expect_that!(first.status, eq(200));
    let retry = run(&vm, "payout", &headers, r#"{"sum":1}"#).await;
    expect_that!(retry.body, eq(&first.body));
    let changed = run(&vm, "payout", &headers, r#"{"sum":2}"#).await;
    let expected = "400 invalid_request_id unknown";
    expect_that!(changed.refusal(), eq(expected));
    let headers = [("x-key", OTHER_API_KEY), ("x-request-id", id.as_str())];
    let other = send(
        vm.caller,
        "POST",
        "/v1/pipelines/payout",
        &headers,
        r#"{"sum":1}"#,
    )
    .await;
    expect_that!(other.refusal(), eq(expected));
    expect_that!(pay.requests().len(), eq(1));
    let summary = first.json();
    expect_that!(summary["request_id"].as_str(), some(eq(id.as_str())));
    expect_that!(summary["output"]["done"].as_bool(), some(eq(true)));
    expect_that!(pay.requests()[0].contains(API_KEY), eq(false));
}

/// A duplicate that arrives while the first request with its id runs must not run too (P8).
#[gtest]
#[tokio::test]
async fn duplicate_of_a_running_request_is_refused() {
    let pay = FakeEndpoint::start(&[Step::Wait(r#"{"output":1}"#)]).await;
    let vm = Arc::new(Vm::start(Setup::new(vec![("pay", pay.clone())])).await);
    let id = vm.issue_request_id().await;
    let (first_vm, first_id) = (Arc::clone(&vm), id.clone());
    let first = tokio::spawn(async move {
        run(&first_vm, "payout", &[("x-request-id", &first_id)], "{}").await
    });
    pay.arrived().await;
    let duplicate = run(&vm, "payout", &[("x-request-id", &id)], "{}").await;
    let expected = "409 duplicate_running unknown";
    expect_that!(duplicate.refusal(), eq(expected));
    pay.release();
    expect_that!(first.await.unwrap().status, eq(200));
    expect_that!(pay.requests().len(), eq(1));
}

/// When a caller closes its connection, an idempotent attempt must be cancelled to free its
/// endpoint, but a payout must neither be cancelled nor be run again.
#[gtest]
#[tokio::test]
async fn caller_that_leaves_cancels_idempotent_attempts_only() {
    let first = FakeEndpoint::start(&[Step::Wait(r#"{"output":1}"#)]).await;
    let pay = FakeEndpoint::start(&[Step::Wait(r#"{"output":1}"#)]).await;
    let endpoints = vec![("first", first.clone()), ("pay", pay.clone())];
    let vm = Arc::new(Vm::start(Setup::new(endpoints)).await);
    let caller = Arc::clone(&vm);
    let leave = spawn_abandonable(async move { run(&caller, "simple", &[], "{}").await });
    first.arrived().await;
    leave.send(()).unwrap();
    first.closed_early().await;

    // A request with one stage completes. A request with two stages fails, because the second
    // stage does not start.
    for (pipeline, expected) in [("payout", 200), ("pay-then-first", 502)] {
        let id = vm.issue_request_id().await;
        let (caller, caller_id) = (Arc::clone(&vm), id.clone());
        let leave = spawn_abandonable(async move {
            run(&caller, pipeline, &[("x-request-id", &caller_id)], "{}").await
        });
        pay.arrived().await;
        leave.send(()).unwrap();
        // The payout may end only after the VM has noticed that the caller left.
        wait_for_decision(&vm, &id, "caller left").await;
        pay.release();
        wait_for_decision(&vm, &id, "request ended").await;
        let retry = run(&vm, pipeline, &[("x-request-id", &id)], "{}").await;
        expect_that!(retry.status, eq(expected), "{pipeline}");
        if expected != 200 {
            let expected = "502 stage_failed unknown";
            expect_that!(retry.refusal(), eq(expected));
        }
    }
    expect_that!((pay.requests().len(), first.requests().len()), eq((2, 1)));
}

/// A deadline that passes while a payout runs must not be reported as "not run", and the result
/// of the payout must be stored for a retry.
#[gtest]
#[tokio::test]
async fn deadline_in_a_non_idempotent_stage_keeps_the_outcome() {
    let pay = FakeEndpoint::start(&[Step::Wait(r#"{"output":1}"#)]).await;
    let vm = Vm::start(Setup::new(vec![("pay", pay.clone())])).await;
    let id = vm.issue_request_id().await;
    let headers = [("x-request-id", id.as_str()), ("x-deadline-ms", "100")];
    let reply = run(&vm, "payout", &headers, "{}").await;
    let expected = "502 outcome_unknown unknown";
    expect_that!(reply.refusal(), eq(expected));
    pay.release();
    wait_for_decision(&vm, &id, "request ended").await;
    let retry = run(&vm, "payout", &[("x-request-id", &id)], "{}").await;
    expect_that!(retry.status, eq(200));
    expect_that!(pay.requests().len(), eq(1));
}

/// A request at a VM that doesn't own its id must run once at the owner, and a request that was
/// already forwarded must not be forwarded again.
#[gtest]
#[tokio::test]
async fn request_at_another_vm_is_forwarded_to_the_owner_once() {
    let pay = FakeEndpoint::start(&[OK]).await;
    let engine = FakeEndpoint::start(&[Step::Stream(&["a", "b"])]).await;
    let endpoints = vec![("pay", pay.clone()), ("engine", engine.clone())];
    let (owner, other) = start_two_vms(endpoints).await;
    let id = owner.issue_request_id().await;
    let forwarded = run(&other, "payout", &[("x-request-id", &id)], "{}").await;
    let direct = run(&owner, "payout", &[("x-request-id", &id)], "{}").await;
    expect_that!(forwarded.status, eq(200));
    expect_that!(forwarded.body, eq(&direct.body));
    expect_that!(pay.requests().len(), eq(1));
    let id = owner.issue_request_id().await;
    let headers = [("x-request-id", id.as_str()), ("x-forwarded-by", "vm-3")];
    let forwarded_again = run(&other, "payout", &headers, "{}").await;
    let expected = "502 outcome_unknown unknown";
    expect_that!(forwarded_again.refusal(), eq(expected));
    let headers = [
        ("x-request-id", id.as_str()),
        ("accept", "text/event-stream"),
    ];
    let events = run(&other, "chat", &headers, "{}").await;
    let (text, last, _) = read_events(&events.body);
    expect_that!((text.as_str(), last.as_str()), eq(("ab", "end")));
}
