//! Guards plain requests: what endpoints receive, which requests are refused, and how often
//! requests run.

use std::time::Duration;

use bytes::Bytes;
use googletest::prelude::*;

use crate::status;
use crate::users_platform::backend::Fault;
use crate::users_platform::caller::{request, request_with};
use crate::users_platform::store::Mode;
use crate::users_platform::{Fleet, eventually};

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_request_reaches_an_endpoint_as_the_platform_asks() {
    let fleet = Fleet::start(2).await;
    // The first three headers belong to the platform; a caller must not be able to set them.
    let caller_headers = [
        ("tenant", "org-2"),
        ("hold", "x"),
        ("kv-from", "1.1.1.1:1/2"),
        ("x-own", "kept"),
    ];
    let body = Bytes::from_static(b"{\"a\":1}");
    let vm = fleet.vms[0].caller_address();
    let answer = request_with(
        vm,
        "/look/2f?q=1",
        "r-1",
        "key-1",
        &caller_headers,
        body,
        3_000,
    )
    .await;
    let answer = answer.unwrap();
    expect_that!(answer.status, eq(200));
    expect_that!(answer.is_signed, eq(true));
    expect_that!(answer.body, eq("answer to r-1"));
    let received = fleet
        .backends_of("plain")
        .flat_map(|backend| backend.received());
    let received: Vec<_> = received.collect();
    expect_that!(received.len(), eq(1));
    let received = &received[0];
    expect_that!(received.path, eq("/look/2f?q=1"));
    expect_that!(received.body, eq(b"{\"a\":1}"));
    struct Case {
        header: &'static str,
        value: Option<&'static str>,
    }
    let cases = [
        Case {
            header: "tenant",
            value: Some("org-1"),
        },
        Case {
            header: "authorization",
            value: None,
        },
        Case {
            header: "hold",
            value: None,
        },
        Case {
            header: "kv-from",
            value: None,
        },
        Case {
            header: "x-own",
            value: Some("kept"),
        },
        Case {
            header: "request-id",
            value: Some("r-1"),
        },
        Case {
            header: "host",
            value: Some("h.example"),
        },
    ];
    for case in cases {
        expect_that!(
            received.header(case.header),
            eq(case.value),
            "{}",
            case.header
        );
    }
    expect_that!(received.header("expect-instance"), some(starts_with("i-")));
    let remaining_ms: u64 = received.header("deadline-ms").unwrap().parse().unwrap();
    expect_that!(remaining_ms, le(3_000));
    expect_that!(remaining_ms, ge(2_000));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn requests_that_the_configuration_does_not_allow_are_refused() {
    let fleet = Fleet::start(1).await;
    struct Case {
        path: &'static str,
        key: &'static str,
        body_bytes: usize,
        status: u16,
    }
    let cases = [
        Case {
            path: "/look/x",
            key: "key-1",
            body_bytes: 10,
            status: 200,
        },
        Case {
            path: "/look/x",
            key: "key-9",
            body_bytes: 10,
            status: 401,
        },
        Case {
            path: "/nothing/x",
            key: "key-1",
            body_bytes: 10,
            status: 404,
        },
        Case {
            path: "/look",
            key: "key-1",
            body_bytes: 10,
            status: 404,
        },
        Case {
            path: "/look/x",
            key: "key-1",
            body_bytes: 200_000,
            status: 413,
        },
    ];
    let vm = fleet.vms[0].caller_address();
    for (number, case) in cases.into_iter().enumerate() {
        let body = Bytes::from(vec![b'x'; case.body_bytes]);
        let id = format!("r-{number}");
        let answer = request_with(vm, case.path, &id, case.key, &[], body, 3_000).await;
        expect_that!(
            status(&answer),
            eq(case.status),
            "{} {}",
            case.path,
            case.key
        );
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_vm_without_configuration_answers_503() {
    let mut fleet = Fleet::prepare(1).await;
    fleet.store.set_mode(Mode::Silent);
    fleet.vms[0].start();
    let vm = fleet.vms[0].caller_address();
    eventually("the VM answers", || async {
        request(vm, "/look/x", "r", "key-1").await.is_some()
    })
    .await;
    let answer = request(vm, "/look/x", "r-2", "key-1").await;
    expect_that!(status(&answer), eq(503));
    expect_that!(answer.unwrap().retry_after_s, some(gt(0.0)));
    expect_that!(fleet.vms[0].is_ready().await, eq(false));
}

/// A non-idempotent request runs at most once, whichever fault its endpoint has. A caller that is
/// told that the request has not run can rely on it.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_may_run_once_runs_at_most_once() {
    let fleet = Fleet::start(1).await;
    struct Case {
        fault: Fault,
        statuses: &'static [u16],
    }
    let cases = [
        Case {
            fault: Fault::None,
            statuses: &[200],
        },
        Case {
            fault: Fault::Full,
            statuses: &[503],
        },
        Case {
            fault: Fault::Other,
            statuses: &[503],
        },
        Case {
            fault: Fault::LoseAnswer,
            statuses: &[502, 504],
        },
        Case {
            fault: Fault::WrongId,
            statuses: &[502],
        },
        Case {
            fault: Fault::Unsigned,
            statuses: &[502],
        },
        Case {
            fault: Fault::Truncate,
            statuses: &[502],
        },
        Case {
            fault: Fault::Error,
            statuses: &[500],
        },
        Case {
            fault: Fault::Hang,
            statuses: &[504],
        },
        Case {
            fault: Fault::Extra,
            statuses: &[200],
        },
    ];
    let vm = fleet.vms[0].caller_address();
    for case in cases {
        for backend in fleet.backends_of("plain") {
            backend.set_fault(case.fault);
        }
        // VMs avoid an endpoint for a while after it failed or was full; wait until that is over.
        tokio::time::sleep(Duration::from_millis(700)).await;
        for number in 0..3 {
            let id = format!("pay-{:?}-{number}", case.fault);
            let body = Bytes::from_static(b"{}");
            let answer = request_with(vm, "/pay/x", &id, "key-1", &[], body, 1_500).await;
            let status = status(&answer);
            let runs = fleet.runs_of(&id);
            expect_that!(
                case.statuses,
                contains(eq(&status)),
                "{id}: unexpected answer {answer:?}"
            );
            expect_that!(runs, le(1), "{id} ran more than once");
            if matches!(status, 429 | 503) {
                expect_that!(
                    runs,
                    eq(0),
                    "{id} ran, but status {status} states that it did not"
                );
            }
        }
    }
}

/// One of the two endpoints fails each request; a retry at the other one gives the caller its
/// answer.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_idempotent_request_is_answered_by_a_sound_endpoint() {
    let cases = [
        Fault::Full,
        Fault::Other,
        Fault::LoseAnswer,
        Fault::WrongId,
        Fault::Unsigned,
        Fault::Truncate,
        Fault::Error,
        Fault::Hang,
    ];
    for fault in cases {
        let fleet = Fleet::start(1).await;
        let vm = fleet.vms[0].caller_address();
        let faulty = fleet.backends_of("plain").next().unwrap();
        faulty.set_fault(fault);
        for number in 0..4 {
            let id = format!("look-{number}");
            let answer = request(vm, "/look/x", &id, "key-1").await.unwrap();
            expect_that!(answer.status, eq(200), "{fault:?}");
            expect_that!(answer.body, eq(&format!("answer to {id}")), "{fault:?}");
        }
    }
}
