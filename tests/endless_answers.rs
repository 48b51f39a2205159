//! Guards VMs against endpoints that send bytes without end in the head or the body of an answer.

mod users_platform;

use std::time::Duration;

use futures::future::join_all;
use googletest::prelude::*;
use users_platform::backend::{Backend, EVENTS, Endless, Fault};
use users_platform::caller::{CallerAnswer, request};
use users_platform::{Fleet, eventually};

/// Time within which a VM has to close a connection on which bytes without end come as fast as it
/// reads. No deadline of a request is earlier.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(3);
/// Upper bound of the bytes that an endpoint can hand to the system on one connection: the largest
/// answer that a VM reads, and the buffers of the kernel on both sides.
const MAX_BYTES: usize = 16 * 1024 * 1024;

/// Upper bound of a VM's memory while many answers without end arrive at once: half of what the
/// platform gives it (`docs/platform.md`, "Connections").
const MAX_PEAK_BYTES: usize = 128 * 1024 * 1024;

/// Where bytes without end come in the answer of any endpoint.
const PLACES: [Endless; 4] = [
    Endless::Head,
    Endless::Interim,
    Endless::Body,
    Endless::Chunks,
];

/// Waits until each endless answer of an endpoint has ended, and checks how.
async fn expect_closed_soon(endpoint: &Backend, place: Endless) {
    let closed = || async { !endpoint.endless_answers().is_empty() };
    eventually("the VM closes the endless answer", closed).await;
    for answer in endpoint.endless_answers() {
        expect_that!(answer.took, lt(CLOSE_TIMEOUT), "{place:?}");
        expect_that!(answer.bytes, lt(MAX_BYTES), "{place:?}");
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_request_is_answered_by_another_endpoint_than_one_that_answers_without_end() {
    for place in PLACES {
        let fleet = Fleet::start(1).await;
        let endpoint = fleet.backends_of("plain").next().unwrap();
        endpoint.set_fault(Fault::Endless(place));
        for number in 0..6 {
            let id = format!("r-{number}");
            let answer = request(fleet.vms[0].caller_address(), "/look/x", &id, "key-1").await;
            let answer = answer.unwrap();
            expect_that!(answer.status, eq(200), "{place:?}");
            expect_that!(answer.body, eq(&format!("answer to {id}")), "{place:?}");
        }
        expect_closed_soon(endpoint, place).await;
    }
}

/// A request that may run once has run at the endpoint, so no answer may say that it has not.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_may_run_once_fails_soon_on_an_answer_without_end() {
    let routes = [("/pay/x", "plain"), ("/once-stream/x", "lm")];
    let cases = PLACES.map(|place| routes.map(|route| (place, route)));
    for (place, (path, service)) in cases.into_iter().flatten() {
        let fleet = Fleet::start(1).await;
        for endpoint in fleet.backends_of(service) {
            endpoint.set_fault(Fault::Endless(place));
        }
        let vm = fleet.vms[0].caller_address();
        let answer = request(vm, path, "r-1", "key-1").await.unwrap();
        expect_that!(answer.status, eq(502), "{path} {place:?}");
        expect_that!(fleet.runs_of("r-1"), eq(1), "{path} {place:?}");
        let ran = |endpoint: &&Backend| endpoint.runs_of("r-1") > 0;
        let endpoint = fleet.backends_of(service).find(ran).unwrap();
        expect_closed_soon(endpoint, place).await;
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_with_bytes_without_end_goes_on_at_another_engine() {
    for place in PLACES
        .into_iter()
        .chain([Endless::Lines, Endless::Comments])
    {
        let fleet = Fleet::start(1).await;
        let engine = fleet.backends_of("lm").next().unwrap();
        engine.set_fault(Fault::Endless(place));
        let mut number = 0;
        while engine.received().is_empty() && number < 20 {
            number += 1;
            let id = format!("r-{number}");
            let answer = request(fleet.vms[0].caller_address(), "/stream/x", &id, "key-1").await;
            let answer = answer.unwrap();
            expect_that!(answer.status, eq(200), "{place:?}");
            expect_that!(answer.is_complete, eq(true), "{place:?}");
            let event = |event: u64| format!("id: {event}\ndata: piece {event} of {id}\n\n");
            let events: String = (0..EVENTS).map(event).collect();
            expect_that!(answer.body, eq(&events), "{place:?}");
        }
        expect_closed_soon(engine, place).await;
    }
}

/// A stream that cannot be resumed is broken off, and nothing that is no event reaches the caller.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_may_run_once_breaks_off_at_bytes_without_end() {
    for place in [Endless::Lines, Endless::Comments] {
        let fleet = Fleet::start(1).await;
        for engine in fleet.backends_of("lm") {
            engine.set_fault(Fault::Endless(place));
        }
        let vm = fleet.vms[0].caller_address();
        let answer = request(vm, "/once-stream/x", "r-1", "key-1").await.unwrap();
        expect_that!(answer.status, eq(200), "{place:?}");
        expect_that!(answer.is_complete, eq(false), "{place:?}");
        let events = "id: 0\ndata: piece 0 of r-1\n\nid: 1\ndata: piece 1 of r-1\n\n";
        expect_that!(answer.body, eq(events), "{place:?}");
    }
}

/// A stage call on which bytes come without end fails, and its items run elsewhere or the request
/// is refused; the VM goes on serving.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_stage_call_with_bytes_without_end_is_closed_soon() {
    for place in PLACES {
        let fleet = Fleet::start(1).await;
        let endpoint = fleet.backends_of("first").next().unwrap();
        endpoint.set_fault(Fault::Endless(place));
        let vm = fleet.vms[0].caller_address();
        let answer = request(vm, "/stream/x", "r-1", "key-1").await.unwrap();
        expect_that!(answer.status, eq(503), "{place:?}");
        expect_closed_soon(endpoint, place).await;
        let answer = request(vm, "/look/x", "r-2", "key-1").await.unwrap();
        expect_that!(answer.status, eq(200), "{place:?}");
    }
}

/// Guards against a VM that is killed for its memory: each answer is within its limit, but many of
/// them arrive at the same time.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn many_answers_without_end_at_once_fit_the_memory_of_a_vm() {
    struct Case {
        service: &'static str,
        path: &'static str,
        sound_path: &'static str,
    }
    let cases = [
        Case {
            service: "plain",
            path: "/pay/x",
            sound_path: "/once-stream/x",
        },
        Case {
            service: "lm",
            path: "/once-stream/x",
            sound_path: "/pay/x",
        },
    ];
    for (case, place) in cases
        .iter()
        .flat_map(|case| [(case, Endless::Body), (case, Endless::Chunks)])
    {
        let fleet = Fleet::start(1).await;
        for endpoint in fleet.backends_of(case.service) {
            endpoint.set_fault(Fault::Endless(place));
        }
        let vm = fleet.vms[0].caller_address();
        let ids: Vec<String> = (0..100).map(|number| format!("r-{number}")).collect();
        let send = |path| {
            let requests = ids.iter().map(move |id| request(vm, path, id, "key-1"));
            join_all(requests)
        };
        let (answers, sound_answers) = tokio::join!(send(case.path), send(case.sound_path));
        let is_answered = |answer: &&Option<CallerAnswer>| answer.is_some();
        let answered = answers.iter().filter(is_answered).count();
        expect_that!(answered, eq(ids.len()), "{} {place:?}", case.path);
        let is_complete = |answer: &&CallerAnswer| answer.status == 200 && answer.is_complete;
        let sound_answers = sound_answers.iter().flatten();
        let complete = sound_answers.filter(is_complete).count();
        expect_that!(complete, eq(ids.len()), "{} {place:?}", case.sound_path);
        let peak_bytes = fleet.vms[0].peak_memory_bytes();
        expect_that!(peak_bytes, lt(MAX_PEAK_BYTES), "{} {place:?}", case.path);
    }
}
