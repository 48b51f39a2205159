//! Guards against requests that are given up because a sound endpoint is silent for a while, although
//! they cannot go on at another one: a silent endpoint still answers, and its silence ends no request.

mod users_platform;

use std::time::Duration;

use futures::future::join_all;
use googletest::prelude::*;
use tokio::time::sleep;
use users_platform::Fleet;
use users_platform::backend::EVENTS;
use users_platform::caller::{CallerAnswer, request};

/// Number of requests that is far above the retries that a VM may send: a fifth of the requests and its
/// share of the reserve, which is 6.
const MANY_REQUESTS: usize = 40;
/// Time from the sending of the requests until endpoints fall silent within their answers. By then the
/// stages have run and the first events have been sent.
const ANSWER_STARTED_AFTER: Duration = Duration::from_millis(700);

/// Why a request cannot go on at another endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Obstacle {
    /// More requests are silent than may be retried.
    RetryLimit,
    OtherEngineLeaves,
    /// The stages would have to run again, and their endpoints leave.
    StageLeaves,
}

/// When the endpoints fall silent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Moment {
    BeforeTheAnswer,
    WithinTheAnswer,
}

struct Case {
    path: &'static str,
    service: &'static str,
    moment: Moment,
    obstacle: Obstacle,
    silence: Duration,
}

const fn stream_case(moment: Moment, obstacle: Obstacle) -> Case {
    Case {
        path: "/stream/x",
        service: "lm",
        moment,
        obstacle,
        silence: Duration::from_millis(2_500),
    }
}

const CASES: [Case; 7] = [
    stream_case(Moment::BeforeTheAnswer, Obstacle::RetryLimit),
    stream_case(Moment::BeforeTheAnswer, Obstacle::OtherEngineLeaves),
    stream_case(Moment::BeforeTheAnswer, Obstacle::StageLeaves),
    stream_case(Moment::WithinTheAnswer, Obstacle::RetryLimit),
    stream_case(Moment::WithinTheAnswer, Obstacle::OtherEngineLeaves),
    stream_case(Moment::WithinTheAnswer, Obstacle::StageLeaves),
    Case {
        path: "/look/x",
        service: "plain",
        moment: Moment::BeforeTheAnswer,
        obstacle: Obstacle::RetryLimit,
        silence: Duration::from_millis(1_600),
    },
];

/// Lists all endpoints of a service as draining, but for the first `staying` ones.
fn drain(fleet: &Fleet, service: &str, staying: usize) {
    let numbers =
        (0..fleet.backends.len()).filter(|number| fleet.backends[*number].service == service);
    numbers
        .skip(staying)
        .for_each(|number| fleet.list_backend(number, "draining"));
}

fn silence(fleet: &Fleet, case: &Case) {
    for backend in fleet.backends_of(case.service) {
        backend.fall_silent(case.silence);
    }
}

fn is_whole(case: &Case, id: &str, answer: &CallerAnswer) -> bool {
    let expected = match case.service {
        "lm" => (0..EVENTS)
            .map(|event| format!("id: {event}\ndata: piece {event} of {id}\n\n"))
            .collect(),
        _ => format!("answer to {id}"),
    };
    answer.status == 200 && answer.is_complete && answer.body == expected
}

/// Runs the requests of a case, and returns those that were not answered whole.
async fn run(case: &Case) -> Vec<String> {
    let fleet = Fleet::start(1).await;
    for backend in fleet.backends_of("lm") {
        backend.set_work_time(Duration::from_millis(150));
    }
    let count = match case.obstacle {
        Obstacle::RetryLimit => MANY_REQUESTS,
        Obstacle::OtherEngineLeaves => {
            drain(&fleet, "lm", 1);
            sleep(Duration::from_secs(1)).await;
            1
        }
        Obstacle::StageLeaves => 1,
    };
    if case.moment == Moment::BeforeTheAnswer {
        silence(&fleet, case);
    }
    let vm = fleet.vms[0].caller_address();
    let callers = (0..count).map(|number| async move {
        let id = format!("r-{number}");
        let answer = request(vm, case.path, &id, "key-1").await;
        let is_whole = answer
            .as_ref()
            .is_some_and(|answer| is_whole(case, &id, answer));
        (!is_whole).then(|| format!("{id}: {answer:?}"))
    });
    let disturb = async {
        sleep(ANSWER_STARTED_AFTER).await;
        if case.moment == Moment::WithinTheAnswer {
            silence(&fleet, case);
        }
        if case.obstacle == Obstacle::StageLeaves {
            drain(&fleet, "first", 0);
        }
    };
    let (lost, ()) = tokio::join!(join_all(callers), disturb);
    lost.into_iter().flatten().collect()
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_request_at_a_silent_endpoint_is_given_up_only_for_another_endpoint() {
    for case in &CASES {
        let lost = run(case).await;
        expect_that!(
            lost,
            is_empty(),
            "{} {:?} {:?}: {} not answered whole",
            case.path,
            case.moment,
            case.obstacle,
            lost.len()
        );
    }
}
