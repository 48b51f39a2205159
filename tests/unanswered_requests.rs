//! Guards against requests that end without an answer or a refusal and are counted under a wrong cause, twice
//! or not at all, and against answered ones that are counted.

mod users_platform;

use std::future::pending;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use futures::future::join_all;
use googletest::prelude::*;
use primrosewalk::http::{Call, fetch};
use rustix::process::Signal;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::{sleep, timeout};
use users_platform::Fleet;
use users_platform::backend::Fault;

/// Port of the metrics in the settings of the fixture.
const METRICS_PORT: u16 = 7_742;
const METRIC: &str = "primrosewalk_unanswered_requests_total";
/// Time for the lines and the counts of a request that has ended to be written.
const SETTLE_PERIOD: Duration = Duration::from_millis(400);
/// Time in which a request ends that the caller waits for.
const END_TIMEOUT: Duration = Duration::from_secs(12);
const SILENCE: Duration = Duration::from_secs(8);

/// What the caller does after it has sent its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    /// Waits for that long without reading.
    PauseMs(u64),
    /// Reads until so many events have come.
    ReadEvents(usize),
    /// Reads until the VM ends the connection.
    ReadToEnd,
    /// Closes only the side of the connection that it writes to.
    CloseWriteSide,
    /// Sends the request once more.
    SendAgain,
    /// The VM gets the signal for a planned stop.
    Stop,
}

use Step::{CloseWriteSide, PauseMs, ReadEvents, ReadToEnd, SendAgain, Stop};

struct Case {
    name: &'static str,
    prepare: fn(&mut Fleet),
    path: &'static str,
    deadline_ms: u64,
    body: &'static str,
    /// The caller leaves after the last step.
    steps: &'static [Step],
    /// Cause, what the request waited for, and whether the line has its id; `None` if it is counted nowhere.
    counted: Option<(&'static str, &'static str, bool)>,
}

const CASE: Case = Case {
    name: "",
    prepare: |_| {},
    path: "/look/x",
    deadline_ms: 8_000,
    body: "{}",
    steps: &[],
    counted: None,
};

fn set_fault(fleet: &Fleet, service: &str, fault: Fault) {
    let backends = fleet.backends_of(service);
    backends.for_each(|backend| backend.set_fault(fault));
}

fn set_work_time(fleet: &Fleet, service: &str, work_ms: u64) {
    let backends = fleet.backends_of(service);
    backends.for_each(|backend| backend.set_work_time(Duration::from_millis(work_ms)));
}

/// Returns an address at which the kernel lets connections wait, since the queue of its listener is full.
fn occupied_address(ip: IpAddr) -> SocketAddr {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind((ip, 0).into()).unwrap();
    let listener = socket.listen(0).unwrap();
    let address = listener.local_addr().unwrap();
    for _ in 0..4 {
        let socket = TcpSocket::new_v4().unwrap();
        // It waits beside the test, which ends with its process.
        tokio::spawn(async move {
            let _stream = socket.connect(address).await;
            pending::<()>().await;
        });
    }
    std::mem::forget(listener);
    address
}

const CASES: &[Case] = &[
    Case {
        name: "the caller leaves while a stage waits",
        prepare: |fleet| {
            let first = fleet.backends_of("first");
            first.for_each(|backend| backend.fall_silent(SILENCE));
        },
        path: "/stream/x",
        steps: &[PauseMs(600)],
        counted: Some(("caller_left", "stages", true)),
        ..CASE
    },
    Case {
        name: "the caller leaves while no endpoint takes its connection",
        prepare: |fleet| {
            for number in 0..2 {
                let backend = &mut fleet.backends[number];
                backend.listed_address = occupied_address(backend.address.ip());
                fleet.list_backend(number, "ready");
            }
        },
        steps: &[PauseMs(250)],
        counted: Some(("caller_left", "endpoint", true)),
        ..CASE
    },
    Case {
        name: "the caller leaves while an engine has the request",
        prepare: |fleet| set_fault(fleet, "lm", Fault::Hang),
        path: "/once-stream/x",
        steps: &[PauseMs(600)],
        counted: Some(("caller_left", "answer", true)),
        ..CASE
    },
    Case {
        name: "the caller leaves while a silent engine has the request and no other one can take it",
        prepare: |fleet| {
            set_fault(fleet, "lm", Fault::Hang);
            fleet.list_backend(3, "draining");
        },
        path: "/stream/x",
        steps: &[PauseMs(1_900)],
        counted: Some(("caller_left", "answer", true)),
        ..CASE
    },
    Case {
        name: "the caller leaves while a silent endpoint has the request and no other one can take it",
        prepare: |fleet| {
            set_fault(fleet, "plain", Fault::Hang);
            fleet.list_backend(1, "draining");
        },
        steps: &[PauseMs(1_300)],
        counted: Some(("caller_left", "answer", true)),
        ..CASE
    },
    Case {
        name: "the caller leaves in the middle of a stream",
        prepare: |fleet| set_work_time(fleet, "lm", 400),
        path: "/stream/x",
        steps: &[ReadEvents(2)],
        counted: Some(("caller_left", "next_event", true)),
        ..CASE
    },
    Case {
        name: "the caller leaves in the middle of a stream whose engine is silent, without another one",
        prepare: |fleet| {
            set_fault(fleet, "lm", Fault::Trickle);
            fleet.list_backend(3, "draining");
        },
        path: "/stream/x",
        steps: &[ReadEvents(2), PauseMs(1_900)],
        counted: Some(("caller_left", "next_event", true)),
        ..CASE
    },
    Case {
        name: "the caller closes its write side while it waits, which is taken for its leaving",
        prepare: |fleet| set_work_time(fleet, "plain", 1_000),
        steps: &[PauseMs(200), CloseWriteSide, ReadToEnd],
        counted: Some(("caller_left", "answer", true)),
        ..CASE
    },
    Case {
        name: "an engine breaks a stream off that may not be resumed",
        prepare: |fleet| set_fault(fleet, "lm", Fault::Truncate),
        path: "/once-stream/x",
        steps: &[ReadToEnd],
        counted: Some(("endpoint", "next_event", true)),
        ..CASE
    },
    Case {
        name: "the deadline passes in the middle of a stream",
        prepare: |fleet| set_work_time(fleet, "lm", 400),
        path: "/stream/x",
        deadline_ms: 1_000,
        steps: &[ReadToEnd],
        counted: Some(("deadline", "next_event", true)),
        ..CASE
    },
    Case {
        name: "a planned stop ends in the middle of a stream",
        prepare: |fleet| {
            set_fault(fleet, "lm", Fault::Trickle);
            fleet.change_configuration(|configuration| {
                configuration["Routes"][3]["TimeoutMs"] = json!(20_000);
            });
        },
        path: "/once-stream/x",
        deadline_ms: 20_000,
        steps: &[ReadEvents(2), Stop, ReadToEnd],
        counted: Some(("planned_stop", "next_event", true)),
        ..CASE
    },
    Case {
        name: "a request comes after the close of an idle connection",
        prepare: |fleet| {
            fleet.change_configuration(|configuration| {
                configuration["Limits"]["IdleTimeoutMs"] = json!(500);
            });
        },
        steps: &[ReadToEnd, SendAgain],
        counted: Some(("own_close", "body", false)),
        ..CASE
    },
    Case {
        name: "a plain answer",
        steps: &[PauseMs(400)],
        ..CASE
    },
    Case {
        name: "a whole stream",
        path: "/stream/x",
        steps: &[ReadEvents(8), PauseMs(200)],
        ..CASE
    },
    Case {
        name: "a refusal",
        prepare: |fleet| set_fault(fleet, "lm", Fault::Full),
        path: "/stream/x",
        steps: &[PauseMs(800)],
        ..CASE
    },
    Case {
        name: "a deadline before the first event, which is answered with 504",
        prepare: |fleet| set_fault(fleet, "lm", Fault::Hang),
        path: "/once-stream/x",
        deadline_ms: 700,
        steps: &[PauseMs(1_000)],
        ..CASE
    },
    Case {
        name: "the caller leaves while its answer is written, which is answered for this VM",
        prepare: |fleet| {
            let plain = fleet.backends_of("plain");
            plain.for_each(|backend| backend.set_padding(900_000));
        },
        steps: &[PauseMs(400)],
        ..CASE
    },
    Case {
        name: "the caller breaks its body off, so that the request is not whole",
        body: "{",
        steps: &[PauseMs(200)],
        ..CASE
    },
];

/// Id of the request of each case.
const ID: &str = "r-1";

async fn send_request(stream: &mut TcpStream, case: &Case) {
    let length = CASE.body.len();
    let text = format!(
        "POST {} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {ID}\r\nAuthorization: Token key-1\r\n\
         Deadline-Ms: {}\r\nModel: m\r\nToken-Usage: 120,40\r\nPrefix-Hash: a1:80,b2:40\r\n\
         Piece-Key: pk\r\nPieces: 2,3\r\nContent-Length: {length}\r\n\r\n{}",
        case.path, case.deadline_ms, case.body
    );
    stream.write_all(text.as_bytes()).await.unwrap();
}

async fn run_step(fleet: &Fleet, stream: &mut TcpStream, case: &Case, step: Step) {
    let mut bytes = Vec::new();
    match step {
        PauseMs(pause) => sleep(Duration::from_millis(pause)).await,
        ReadEvents(count) => {
            while String::from_utf8_lossy(&bytes).matches("data: ").count() < count {
                assert!(stream.read_buf(&mut bytes).await.unwrap() > 0);
            }
        }
        // The end may be a reset.
        ReadToEnd => drop(stream.read_to_end(&mut bytes).await),
        CloseWriteSide => stream.shutdown().await.unwrap(),
        SendAgain => send_request(stream, case).await,
        Stop => fleet.vms[0].signal(Signal::TERM),
    }
}

/// Returns the cause, the wait and whether there is an id for each line that names a cause.
fn counted_lines(log: &str) -> Vec<(String, String, bool)> {
    let lines = log
        .lines()
        .filter_map(|line| serde_json::from_str::<Value>(line).ok());
    let lines = lines.filter_map(|line| {
        let text = |name: &str| line[name].as_str().map(str::to_owned);
        let wait = text("waiting_for").unwrap_or_default();
        Some((text("cause")?, wait, line["id"] == ID))
    });
    lines.collect()
}

async fn run_case(case: &Case) {
    let mut fleet = Fleet::prepare(1).await;
    (case.prepare)(&mut fleet);
    fleet.vms[0].start();
    fleet.wait_until_ready().await;
    let mut stream = TcpStream::connect(fleet.vms[0].caller_address())
        .await
        .unwrap();
    send_request(&mut stream, case).await;
    for step in case.steps {
        let done = timeout(END_TIMEOUT, run_step(&fleet, &mut stream, case, *step)).await;
        expect_that!(done, ok(anything()), "{}: {step:?}", case.name);
    }
    drop(stream);
    sleep(SETTLE_PERIOD).await;
    let counted = case.counted.into_iter();
    let counted: Vec<_> = counted
        .map(|(cause, wait, has_id)| (cause.to_owned(), wait.to_owned(), has_id))
        .collect();
    let lines = counted_lines(&fleet.vms[0].log());
    expect_that!(lines, eq(&counted), "{}: lines", case.name);
    if case.steps.contains(&Stop) {
        // The process has ended, and its metrics with it.
        return;
    }
    let call = Call::get(
        (fleet.vms[0].ip, METRICS_PORT).into(),
        "/metrics",
        END_TIMEOUT,
    );
    let (_, page) = fetch(&call, END_TIMEOUT).await.unwrap();
    let page = String::from_utf8_lossy(&page).into_owned();
    let samples: Vec<&str> = page
        .lines()
        .filter(|line| line.starts_with(METRIC))
        .collect();
    let expected = counted
        .iter()
        .map(|(cause, wait, _)| format!("{METRIC}{{cause=\"{cause}\",waiting_for=\"{wait}\"}} 1"));
    let expected: Vec<String> = expected.collect();
    expect_that!(samples, eq(&expected), "{}: metric", case.name);
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn each_request_without_an_answer_is_counted_once_by_its_cause() {
    for cases in CASES.chunks(6) {
        join_all(cases.iter().map(run_case)).await;
    }
}
