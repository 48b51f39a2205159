//! Guards the answers that callers get, on each kind of route.

use std::time::Duration;

use bytes::Bytes;
use googletest::prelude::*;
use serde_json::json;

use crate::users_platform::backend::{Backend, EVENTS, Fault, Kind, LateRefusal, RefusalForm};
use crate::users_platform::caller::{CallerAnswer, request, request_with};
use crate::users_platform::{Fleet, Vm, eventually};
use crate::{
    PROMISES, REFUSAL_STATUSES, fleet_with_stages, late_refusals, refuse_late, send, sends_of,
    set_fault_of,
};

/// Names a case by its refusal and route.
fn name_of(refusal: LateRefusal, path: &str) -> String {
    let LateRefusal { status, form } = refusal;
    format!("{status}-{form:?}{}", path.replace('/', "-"))
}

/// Sends a stream with a prompt of its own, so that streams begin at different engines.
async fn send_prompt(fleet: &Fleet, number: usize, id: &str) -> CallerAnswer {
    let vm = fleet.vms[0].caller_address();
    let prompt = format!("a{number}:80,b{number}:40");
    let headers = [("prefix-hash", prompt.as_str())];
    let body = Bytes::from_static(b"{}");
    let answer = request_with(vm, "/stream/x", id, "key-1", &headers, body, 6_000);
    answer.await.expect("the VM answers")
}

/// A payout that ran and is answered "not run" is sent again by its caller, and paid twice (review/9).
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_may_run_once_is_not_refused_once_an_endpoint_runs_it() {
    let fleet = fleet_with_stages(1).await;
    for refusal in late_refusals() {
        set_fault_of(&fleet, &["plain", "lm"], Fault::LateRefusal(refusal));
        for path in ["/pay/x", "/once-stream/x", "/once-staged/x"] {
            let id = name_of(refusal, path);
            let answer = send(&fleet, path, &id).await;
            expect_that!(answer.status, eq(502), "{id}");
            expect_that!(answer.is_signed, eq(false), "{id}");
            expect_that!(answer.retry_after_s, none(), "{id}");
            eventually("the request has run", || async { fleet.runs_of(&id) > 0 }).await;
            expect_that!(fleet.runs_of(&id), eq(1), "{id}");
        }
    }
}

/// Callers who may repeat a request get the answer of another endpoint, and are not told "not run" if there is none.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_may_be_repeated_goes_on_after_a_refusal_of_an_endpoint_that_ran_it() {
    for refusal in late_refusals() {
        let fleet = fleet_with_stages(1).await;
        for (path, service) in [("/look/x", "plain"), ("/stream/x", "lm")] {
            let case = name_of(refusal, path);
            let first = fleet.backends_of(service).next().unwrap();
            first.set_fault(Fault::LateRefusal(refusal));
            for number in 0..4 {
                let id = format!("{case}-{number}");
                let answer = send(&fleet, path, &id).await;
                expect_that!(answer.status, eq(200), "{id}");
                expect_that!(answer.is_complete, eq(true), "{id}");
                expect_that!(sends_of(&fleet, service, &id), le(2), "{id}");
            }
            set_fault_of(&fleet, &[service], Fault::LateRefusal(refusal));
            let id = format!("{case}-none");
            let answer = send(&fleet, path, &id).await;
            expect_that!(answer.status, eq(502), "{id}");
            expect_that!(answer.is_signed, eq(false), "{id}");
        }
    }
}

/// A status of 421 states that the request has not run, with or without `Not-Executed`.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_request_goes_on_after_status_421() {
    for path in [
        "/pay/x",
        "/look/x",
        "/stream/x",
        "/once-stream/x",
        "/once-staged/x",
    ] {
        let fleet = fleet_with_stages(1).await;
        for service in ["plain", "lm"] {
            let first = fleet.backends_of(service).next().unwrap();
            first.set_fault(Fault::Other);
        }
        for number in 0..4 {
            let id = format!("one{}-{number}", path.replace('/', "-"));
            let answer = send(&fleet, path, &id).await;
            expect_that!(answer.status, eq(200), "{id}");
            expect_that!(fleet.runs_of(&id), eq(1), "{id}");
        }
        set_fault_of(&fleet, &["plain", "lm"], Fault::Other);
        let id = format!("all{}", path.replace('/', "-"));
        let answer = send(&fleet, path, &id).await;
        expect_that!(answer.status, eq(503), "{id}");
        expect_that!(fleet.runs_of(&id), eq(0), "{id}");
    }
}

/// An engine that has refused a stream and works on must lose it before another one gets it.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_leaves_an_engine_that_refused_it_before_it_goes_on_elsewhere() {
    /// Time for which the engine works on, and the time for which two engines may have the stream.
    const WORK_TIME: Duration = Duration::from_millis(600);
    const MAX_BOTH: Duration = Duration::from_millis(400);
    for status in REFUSAL_STATUSES {
        let fleet = fleet_with_stages(1).await;
        let engines: Vec<_> = fleet.backends_of("lm").collect();
        engines[0].set_fault(Fault::LateRefusal(LateRefusal {
            status,
            form: RefusalForm::First,
        }));
        engines[0].set_work_time(WORK_TIME);
        let ids: Vec<String> = (0..6).map(|number| format!("{status}-{number}")).collect();
        for (number, id) in ids.iter().enumerate() {
            let answer = send_prompt(&fleet, number, id).await;
            expect_that!(answer.status, eq(200), "{id}");
        }
        tokio::time::sleep(WORK_TIME).await;
        let mut moved = 0;
        for id in &ids {
            let find = |engine: &Backend| {
                engine
                    .received()
                    .into_iter()
                    .find(|request| request.id == *id)
            };
            if let (Some(refused), Some(resumed)) = (find(engines[0]), find(engines[1])) {
                moved += 1;
                let left_at = refused.left_at.expect("the VM closes the connection");
                let both = left_at.saturating_duration_since(resumed.at);
                expect_that!(both, lt(MAX_BOTH), "{id}");
            }
        }
        expect_that!(moved, gt(0), "{status}");
    }
}

/// A stream that an engine broke off goes on behind an engine that refuses it late, and never ends as complete without
/// its last event.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_resumed_stream_survives_a_refusal_of_an_engine_that_ran_it() {
    for status in REFUSAL_STATUSES {
        for has_third_engine in [false, true] {
            let mut fleet = fleet_with_stages(1).await;
            fleet.change_configuration(|configuration| {
                configuration["Routes"][2]["MaxAttempts"] = json!(3);
            });
            let refusal = refuse_late(status, RefusalForm::Signed);
            let faults = [Fault::Truncate, refusal, Fault::None];
            for (number, backend) in fleet.backends_of("lm").enumerate() {
                backend.set_fault(faults[number]);
            }
            if has_third_engine {
                fleet.add_backend("lm", Kind::Model).await;
            }
            tokio::time::sleep(Duration::from_millis(700)).await;
            for number in 0..6 {
                let id = format!("{status}-{has_third_engine}-{number}");
                let answer = send_prompt(&fleet, number, &id).await;
                let events = answer.body.matches("id: ").count() as u64;
                let is_whole = answer.status == 200 && answer.is_complete;
                expect_that!(is_whole, eq(events == EVENTS), "{id}: {events} events");
                expect_that!(is_whole, eq(has_third_engine), "{id}: {events} events");
                let is_promise = PROMISES.contains(&answer.status);
                expect_that!(is_promise, eq(false), "{id}: {}", answer.status);
            }
        }
    }
}

/// VMs that hear of the store through relays know the endpoints by other VMs' word, and answer for them alike.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn no_vm_of_a_fleet_with_relays_passes_such_a_refusal_on() {
    /// Smallest fleet in which most VMs listen to relays.
    const VMS: usize = 13;
    let fleet = fleet_with_stages(VMS).await;
    for (number, vm) in fleet.vms.iter().enumerate() {
        let status = REFUSAL_STATUSES[number % REFUSAL_STATUSES.len()];
        set_fault_of(
            &fleet,
            &["plain", "lm"],
            refuse_late(status, RefusalForm::Signed),
        );
        for path in ["/pay/x", "/once-staged/x"] {
            let id = format!("{}{}", vm.name, path.replace('/', "-"));
            let answer = request(vm.caller_address(), path, &id, "key-1").await;
            expect_that!(answer.expect("the VM answers").status, eq(502), "{id}");
            expect_that!(fleet.runs_of(&id), eq(1), "{id}");
        }
    }
    let listens = |vm: &Vm| vm.log().contains("\"through\":\"Relay(");
    expect_that!(fleet.vms.iter().filter(|vm| listens(vm)).count(), gt(0));
}

/// A call of a batch that is refused so may have run; its items run again, and the request is refused only if no engine
/// has begun it. VMs send their jobs to the VM that owns the queue.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn stages_go_on_after_a_refusal_of_an_endpoint_that_ran_them() {
    for status in REFUSAL_STATUSES {
        let mut fleet = fleet_with_stages(3).await;
        let first = fleet.backends_of("first").next().unwrap();
        first.set_fault(refuse_late(status, RefusalForm::Signed));
        fleet.add_backend("first", Kind::Stage).await;
        tokio::time::sleep(Duration::from_millis(700)).await;
        for (number, vm) in fleet.vms.iter().cycle().take(6).enumerate() {
            let path = ["/stream/x", "/once-staged/x"][number / 3];
            let id = format!("one-{status}-{number}");
            let answer = request(vm.caller_address(), path, &id, "key-1")
                .await
                .unwrap();
            expect_that!(answer.status, eq(200), "{id}");
            expect_that!(answer.is_complete, eq(true), "{id}");
        }
        let logs: Vec<String> = fleet.vms.iter().map(|vm| vm.log()).collect();
        let owners = logs
            .iter()
            .filter(|log| log.contains("stages: a batch ran"));
        expect_that!(
            owners.count(),
            lt(fleet.vms.len()),
            "some jobs went to another VM"
        );
        let is_logged = logs.iter().any(|log| {
            log.contains("stages: a batch failed") && log.contains(&format!("answered {status}"))
        });
        expect_that!(is_logged, eq(true), "{status}");
        set_fault_of(&fleet, &["first"], refuse_late(status, RefusalForm::Signed));
        let ids: Vec<String> = (0..fleet.vms.len())
            .map(|number| format!("all-{status}-{number}"))
            .collect();
        let sends = fleet.vms.iter().zip(&ids);
        let sends =
            sends.map(|(vm, id)| request(vm.caller_address(), "/once-staged/x", id, "key-1"));
        let answers = futures::future::join_all(sends).await;
        for (id, answer) in ids.iter().zip(answers) {
            let status = answer.unwrap().status;
            expect_that!(PROMISES.contains(&status), eq(true), "{id}: {status}");
            expect_that!(sends_of(&fleet, "lm", id), eq(0), "{id}");
        }
    }
}
