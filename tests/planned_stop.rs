//! Guards against requests that a planned stop or a reload ends with neither an answer nor a refusal.

mod users_platform;

use std::net::{SocketAddr, UdpSocket};
use std::time::{Duration, Instant};

use futures::future::join_all;
use googletest::prelude::*;
use primrosewalk::platform::stage_call::RUN_PATH;
use rustix::process::Signal;

use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::sleep;
use users_platform::backend::{EVENTS, Fault};
use users_platform::caller::{CallerAnswer, request, request_with};
use users_platform::store::Mode;
use users_platform::{Fleet, eventually};

/// Port of gossip in the settings of the fixture.
const GOSSIP_PORT: u16 = 7_740;

/// Something that happens while requests run at the first VM.
#[derive(Debug, Clone, Copy)]
enum Step {
    Signal(Signal),
    ChangeConfiguration,
    Evacuate,
    /// All endpoints of these services are silent for that long.
    Silence(&'static [&'static str], Duration),
    /// Writes a settings file that cannot be read.
    BreakSettings,
    /// Writes a settings file without the first seed.
    ChangeSettings,
    Wait(Duration),
}

struct Case {
    name: &'static str,
    steps: &'static [Step],
}

const TERM: Step = Step::Signal(Signal::TERM);
const HUP: Step = Step::Signal(Signal::HUP);
const PAUSE: Step = Step::Wait(Duration::from_millis(150));
const SILENCE: Duration = Duration::from_millis(1_200);

const CASES: &[Case] = &[
    Case {
        name: "signals in series",
        steps: &[TERM, TERM, HUP, PAUSE, Step::Signal(Signal::INT), HUP, TERM],
    },
    Case {
        name: "reloads in series",
        steps: &[HUP, HUP, PAUSE, Step::ChangeSettings, HUP, PAUSE, HUP],
    },
    Case {
        name: "invalid settings",
        steps: &[Step::BreakSettings, HUP, PAUSE, HUP, PAUSE, TERM, HUP],
    },
    Case {
        name: "settings that change without a signal",
        steps: &[Step::ChangeSettings, PAUSE, Step::BreakSettings, PAUSE],
    },
    Case {
        name: "a stop beside a changed configuration",
        steps: &[
            Step::ChangeConfiguration,
            TERM,
            PAUSE,
            Step::ChangeConfiguration,
        ],
    },
    Case {
        name: "a stop beside an evacuation",
        steps: &[TERM, Step::Evacuate],
    },
    Case {
        name: "a stop beside silent endpoints",
        steps: &[Step::Silence(&["plain", "lm"], SILENCE), TERM],
    },
    Case {
        name: "a stop beside silent stage endpoints",
        steps: &[TERM, Step::Silence(&["first", "second"], SILENCE)],
    },
];

fn carry_out(step: Step, fleet: &mut Fleet) {
    let settings = fleet.vms[0].settings.clone();
    match step {
        Step::Signal(signal) => fleet.vms[0].signal(signal),
        Step::ChangeConfiguration => fleet.change_configuration(|configuration| {
            configuration["Routes"][0]["TargetLatencyMs"] = json!(500);
        }),
        Step::Evacuate => fleet.store.put("op/evacuate/a", &json!({})),
        Step::Silence(services, duration) => {
            for service in services {
                let backends = fleet.backends_of(service);
                backends.for_each(|backend| backend.fall_silent(duration));
            }
        }
        Step::BreakSettings => std::fs::write(settings, "vm = ").unwrap(),
        Step::ChangeSettings => {
            let text = std::fs::read_to_string(&settings).unwrap();
            let seed = text.find("seeds = [\"").unwrap() + "seeds = [".len();
            let end = seed + text[seed..].find(',').unwrap() + 1;
            std::fs::write(settings, [&text[..seed], &text[end..]].concat()).unwrap();
        }
        Step::Wait(_) => {}
    }
}

fn is_whole(answer: &CallerAnswer, path: &str, id: &str) -> bool {
    let expected = match path.contains("stream") {
        true => (0..EVENTS)
            .map(|event| format!("id: {event}\ndata: piece {event} of {id}\n\n"))
            .collect(),
        false => format!("answer to {id}"),
    };
    answer.status == 200 && answer.is_complete && answer.body == expected
}

/// Requests that run at the first VM while something happens to it are answered whole.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn requests_in_flight_are_answered_whole() {
    let cases = CASES.iter().map(|case| async move {
        let mut fleet = Fleet::start(3).await;
        for backend in &fleet.backends {
            backend.set_work_time(Duration::from_millis(100));
        }
        let vm = fleet.vms[0].caller_address();
        let mut running = JoinSet::new();
        for number in 0..16 {
            let path = ["/look/x", "/pay/x", "/stream/x", "/once-stream/x"][number % 4];
            running.spawn(async move {
                let id = format!("r-{number}");
                let answer = request(vm, path, &id, "key-1").await;
                (path, id, answer)
            });
        }
        sleep(Duration::from_millis(50)).await;
        for step in case.steps {
            carry_out(*step, &mut fleet);
            if let Step::Wait(duration) = step {
                sleep(*duration).await;
            }
        }
        while let Some(ended) = running.join_next().await {
            let (path, id, answer) = ended.unwrap();
            let is_whole = answer
                .as_ref()
                .is_some_and(|answer| is_whole(answer, path, &id));
            expect_that!(is_whole, eq(true), "{}: {path} {id}: {answer:?}", case.name);
        }
        if case
            .steps
            .iter()
            .any(|step| matches!(step, Step::Signal(Signal::TERM)))
        {
            let has_stopped = fleet.vms[0].wait_for_exit().await;
            expect_that!(has_stopped, eq(true), "{}", case.name);
        } else {
            let answer = request(vm, "/pay/x", "r-last", "key-1").await;
            let is_whole = answer.is_some_and(|answer| is_whole(&answer, "/pay/x", "r-last"));
            expect_that!(is_whole, eq(true), "{}: after the reload", case.name);
        }
    });
    join_all(cases).await;
}

/// What requests wait for while their VM stops.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Obstacle {
    /// The endpoint of the first stage runs one request in 1.5 s.
    SlowStage,
    /// Endpoints of a service run requests and never answer.
    Hang(&'static str),
}

struct WaitingCase {
    obstacle: Obstacle,
    path: &'static str,
    /// Number of requests that are sent at once.
    requests: usize,
    /// Minimum number of requests that are answered whole: those that have the time for it.
    min_whole: usize,
    /// Status of the others.
    refused_with: u16,
}

const WAITING_CASES: &[WaitingCase] = &[
    WaitingCase {
        obstacle: Obstacle::SlowStage,
        path: "/stream/x",
        requests: 12,
        min_whole: 3,
        refused_with: 503,
    },
    WaitingCase {
        obstacle: Obstacle::Hang("lm"),
        path: "/stream/x",
        requests: 4,
        min_whole: 0,
        refused_with: 502,
    },
    WaitingCase {
        obstacle: Obstacle::Hang("lm"),
        path: "/once-stream/x",
        requests: 4,
        min_whole: 0,
        refused_with: 502,
    },
    WaitingCase {
        obstacle: Obstacle::Hang("plain"),
        path: "/look/x",
        requests: 4,
        min_whole: 0,
        refused_with: 502,
    },
    WaitingCase {
        obstacle: Obstacle::Hang("plain"),
        path: "/pay/x",
        requests: 4,
        min_whole: 0,
        refused_with: 502,
    },
];

/// Guards against connections that end without an answer because their requests still waited for a stage or
/// an endpoint when the process of a stopping VM ended.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn requests_that_wait_when_a_vm_stops_are_answered_or_refused() {
    const DEADLINE_MS: u64 = 20_000;
    // One of the two VMs owns the queue of the stage.
    let stopped = WAITING_CASES.iter().flat_map(|case| [(case, 0), (case, 1)]);
    let cases = stopped.map(|(case, stopped)| async move {
        let mut fleet = Fleet::prepare(2).await;
        fleet.change_configuration(|configuration| {
            for route in configuration["Routes"].as_array_mut().unwrap() {
                route["TimeoutMs"] = json!(DEADLINE_MS);
            }
            if case.obstacle == Obstacle::SlowStage {
                let pieces = &mut configuration["Services"][2]["Pieces"];
                (pieces["CallMs"], pieces["Batch"]) = (json!(1_500.0), json!(2));
            }
        });
        match case.obstacle {
            Obstacle::SlowStage => fleet
                .backends_of("first")
                .for_each(|backend| backend.set_work_time(Duration::from_millis(1_500))),
            Obstacle::Hang(service) => fleet
                .backends_of(service)
                .for_each(|backend| backend.set_fault(Fault::Hang)),
        }
        fleet.vms.iter_mut().for_each(users_platform::Vm::start);
        fleet.wait_until_ready().await;
        let vm = fleet.vms[stopped].caller_address();
        let started = Instant::now();
        let mut running = JoinSet::new();
        for number in 0..case.requests {
            running.spawn(async move {
                let id = format!("r-{number}");
                let body = "{}".into();
                let answer =
                    request_with(vm, case.path, &id, "key-1", &[], body, DEADLINE_MS).await;
                (id, answer)
            });
        }
        sleep(Duration::from_millis(200)).await;
        fleet.vms[stopped].signal(Signal::TERM);
        let mut whole = 0;
        while let Some(ended) = running.join_next().await {
            let (id, answer) = ended.unwrap();
            let context = format!("{:?}, VM {stopped}: {id}: {answer:?}", case.obstacle);
            let Some(answer) = answer else {
                add_failure!("{context}");
                continue;
            };
            if is_whole(&answer, case.path, &id) {
                whole += 1;
                continue;
            }
            expect_that!(answer.status, eq(case.refused_with), "{context}");
            expect_that!(answer.is_complete, eq(true), "{context}");
            if answer.status == 503 {
                expect_that!(answer.retry_after_s, some(lt(0.1)), "{context}");
                expect_that!(fleet.runs_of(&id), eq(0), "{context}");
            }
        }
        expect_that!(whole, ge(case.min_whole), "{:?}", case.obstacle);
        expect_that!(fleet.vms[stopped].wait_for_exit().await, eq(true));
        expect_that!(started.elapsed(), lt(Duration::from_secs(10)));
    });
    join_all(cases).await;
}

/// What becomes of a request whose generation takes some time, in a planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Outcome {
    Whole,
    /// Refused at once as not run.
    Refused,
}

struct GenerationCase {
    name: &'static str,
    path: &'static str,
    /// Time from the send to the first event, and from each event to the next one or the end.
    event_time: Duration,
    /// Duration of the first stage.
    stage_time: Duration,
    token_usage: &'static str,
    /// Whether the VM has answered such a request before.
    is_observed: bool,
    /// Time from the signal to the request. If it is negative, the request comes first.
    sent_ms: i64,
    outcome: Outcome,
}

const GENERATION_CASES: &[GenerationCase] = &[
    GenerationCase {
        name: "waits for a stage as the signal comes, and its generation takes longer than the stop",
        path: "/stream/x",
        event_time: Duration::from_millis(900),
        stage_time: Duration::from_millis(1_000),
        token_usage: "120,40",
        is_observed: true,
        sent_ms: -200,
        outcome: Outcome::Refused,
    },
    GenerationCase {
        name: "waits for a stage as the signal comes, and fits",
        path: "/stream/x",
        event_time: Duration::from_millis(300),
        stage_time: Duration::from_millis(1_000),
        token_usage: "120,40",
        is_observed: true,
        sent_ms: -200,
        outcome: Outcome::Whole,
    },
    GenerationCase {
        name: "comes so late that its generation takes longer than the rest of the stop",
        path: "/once-stream/x",
        event_time: Duration::from_millis(650),
        stage_time: Duration::ZERO,
        token_usage: "120,40",
        is_observed: true,
        sent_ms: 2_200,
        outcome: Outcome::Refused,
    },
    GenerationCase {
        name: "comes so early that its generation fits",
        path: "/once-stream/x",
        event_time: Duration::from_millis(650),
        stage_time: Duration::ZERO,
        token_usage: "120,40",
        is_observed: true,
        sent_ms: 300,
        outcome: Outcome::Whole,
    },
    GenerationCase {
        name: "has a maximum of tokens that is far above what is generated",
        path: "/once-stream/x",
        event_time: Duration::from_millis(100),
        stage_time: Duration::ZERO,
        token_usage: "120,4000",
        is_observed: true,
        sent_ms: 2_200,
        outcome: Outcome::Whole,
    },
    GenerationCase {
        name: "is the first one that the VM gets",
        path: "/once-stream/x",
        event_time: Duration::from_millis(100),
        stage_time: Duration::ZERO,
        token_usage: "120,4000",
        is_observed: false,
        sent_ms: 2_200,
        outcome: Outcome::Whole,
    },
];

/// Guards against streams that begin at an engine so late in a planned stop that they are cut in their middle,
/// and against refusals of those that end in time.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_generation_begins_in_a_planned_stop_only_if_it_fits() {
    const DEADLINE_MS: u64 = 20_000;
    let cases = GENERATION_CASES.iter().map(|case| async move {
        let mut fleet = Fleet::prepare(1).await;
        fleet.change_configuration(|configuration| {
            for route in configuration["Routes"].as_array_mut().unwrap() {
                route["TimeoutMs"] = json!(DEADLINE_MS);
            }
            configuration["Services"][2]["Pieces"]["CallMs"] = json!(1_000.0);
        });
        let engines = fleet.backends_of("lm");
        engines.for_each(|backend| backend.set_work_time(case.event_time));
        fleet.vms[0].start();
        fleet.wait_until_ready().await;
        let vm = fleet.vms[0].caller_address();
        let send = |id: &'static str| {
            let headers = [("token-usage", case.token_usage)];
            async move {
                let started = Instant::now();
                let body = "{}".into();
                let answer =
                    request_with(vm, case.path, id, "key-1", &headers, body, DEADLINE_MS).await;
                (answer, started.elapsed())
            }
        };
        if case.is_observed {
            let (answer, _) = send("r-before").await;
            let is_whole = answer.is_some_and(|answer| is_whole(&answer, case.path, "r-before"));
            expect_that!(is_whole, eq(true), "{}: before the stop", case.name);
        }
        let stage_endpoints = fleet.backends_of("first");
        stage_endpoints.for_each(|backend| backend.set_work_time(case.stage_time));
        let lead = Duration::from_millis(case.sent_ms.min(0).unsigned_abs());
        let delay = Duration::from_millis(case.sent_ms.max(0).unsigned_abs());
        let sent = async {
            sleep(delay).await;
            send("r-1").await
        };
        let signalled = async {
            sleep(lead).await;
            fleet.vms[0].signal(Signal::TERM);
        };
        let ((answer, took), ()) = tokio::join!(sent, signalled);
        let context = format!("{}: {answer:?} after {took:?}", case.name);
        let Some(answer) = answer else {
            add_failure!("{context}");
            return;
        };
        match case.outcome {
            Outcome::Whole => {
                expect_that!(is_whole(&answer, case.path, "r-1"), eq(true), "{context}");
            }
            Outcome::Refused => {
                expect_that!(answer.status, eq(503), "{context}");
                expect_that!(answer.retry_after_s, some(lt(0.1)), "{context}");
                expect_that!(fleet.runs_of("r-1"), eq(0), "{context}");
                expect_that!(took, lt(Duration::from_millis(1_000)), "{context}");
            }
        }
        expect_that!(fleet.vms[0].wait_for_exit().await, eq(true));
    });
    join_all(cases).await;
}

/// Guards against requests that a stopping VM refuses although it can answer them: those that can be on time go
/// before late ones, so a long queue does not mean that a new request waits.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_vm_answers_new_requests_that_go_before_late_ones() {
    const LATE_REQUESTS: usize = 70;
    const DEADLINE_MS: u64 = 40_000;
    // One of the two VMs owns the queue of the stage.
    let cases = [0, 1].map(|stopped: usize| async move {
        let mut fleet = Fleet::prepare(2).await;
        fleet.change_configuration(|configuration| {
            for route in configuration["Routes"].as_array_mut().unwrap() {
                route["TimeoutMs"] = json!(DEADLINE_MS);
                route["TargetLatencyMs"] = json!(3_500);
            }
            configuration["Services"][2]["Pieces"]["CallMs"] = json!(800.0);
        });
        fleet
            .backends_of("first")
            .for_each(|backend| backend.set_work_time(Duration::from_millis(800)));
        fleet.vms.iter_mut().for_each(users_platform::Vm::start);
        fleet.wait_until_ready().await;
        let send = |vm: usize, id: String| {
            let vm = fleet.vms[vm].caller_address();
            tokio::spawn(async move {
                let body = "{}".into();
                let answer =
                    request_with(vm, "/stream/x", &id, "key-1", &[], body, DEADLINE_MS).await;
                answer.is_some_and(|answer| is_whole(&answer, "/stream/x", &id))
            })
        };
        let late: Vec<_> = (0..LATE_REQUESTS)
            .map(|number| send(1 - stopped, format!("late-{number}")))
            .collect();
        sleep(Duration::from_millis(4_000)).await;
        fleet.vms[stopped].signal(Signal::TERM);
        sleep(Duration::from_millis(300)).await;
        let new = join_all((0..3).map(|number| send(stopped, format!("new-{number}")))).await;
        for is_whole in new {
            expect_that!(is_whole.unwrap(), eq(true), "the VM {stopped} stops");
        }
        late.iter().for_each(tokio::task::JoinHandle::abort);
        expect_that!(fleet.vms[stopped].wait_for_exit().await, eq(true));
    });
    join_all(cases).await;
}

/// Guards against requests that a planned stop of another VM costs their place: jobs that wait in the queue of a
/// stopping owner have not run, and go to the next owner without a retry.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn jobs_that_wait_at_a_stopping_owner_go_to_the_next_one() {
    const REQUESTS: usize = 60;
    const DEADLINE_MS: u64 = 40_000;
    // One of the two VMs owns the queue of the stage.
    let cases = [0, 1].map(|stopped: usize| async move {
        let mut fleet = Fleet::prepare(2).await;
        fleet.change_configuration(|configuration| {
            for route in configuration["Routes"].as_array_mut().unwrap() {
                route["TimeoutMs"] = json!(DEADLINE_MS);
            }
            configuration["Services"][2]["Pieces"]["CallMs"] = json!(1_000.0);
        });
        fleet
            .backends_of("first")
            .for_each(|backend| backend.set_work_time(Duration::from_millis(1_000)));
        fleet.vms.iter_mut().for_each(users_platform::Vm::start);
        fleet.wait_until_ready().await;
        let vm = fleet.vms[1 - stopped].caller_address();
        let mut running = JoinSet::new();
        for number in 0..REQUESTS {
            running.spawn(async move {
                let id = format!("r-{number}");
                let body = "{}".into();
                let answer =
                    request_with(vm, "/stream/x", &id, "key-1", &[], body, DEADLINE_MS).await;
                (id, answer)
            });
        }
        sleep(Duration::from_millis(500)).await;
        fleet.vms[stopped].signal(Signal::TERM);
        while let Some(ended) = running.join_next().await {
            let (id, answer) = ended.unwrap();
            let is_whole = answer
                .as_ref()
                .is_some_and(|answer| is_whole(answer, "/stream/x", &id));
            expect_that!(is_whole, eq(true), "VM {stopped} stops: {id}: {answer:?}");
        }
        expect_that!(fleet.vms[stopped].wait_for_exit().await, eq(true));
    });
    join_all(cases).await;
}

/// A body that comes too slowly for an answer before the VM stops is refused, not cut off.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_request_whose_body_is_not_whole_when_a_vm_stops_is_refused() {
    let mut fleet = Fleet::prepare(1).await;
    fleet.change_configuration(|configuration| {
        configuration["Routes"][0]["TimeoutMs"] = json!(20_000);
    });
    fleet.vms[0].start();
    fleet.wait_until_ready().await;
    let mut stream = TcpStream::connect(fleet.vms[0].caller_address())
        .await
        .unwrap();
    let head = "POST /look/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r-1\r\n\
        Authorization: Token key-1\r\nContent-Length: 100\r\n\r\n{";
    stream.write_all(head.as_bytes()).await.unwrap();
    sleep(Duration::from_millis(100)).await;
    fleet.vms[0].signal(Signal::TERM);
    expect_that!(read_to_end(stream).await, ok(starts_with("HTTP/1.1 503")));
    expect_that!(fleet.vms[0].wait_for_exit().await, eq(true));
}

/// Opens a connection and sends a whole request. `None` if the VM accepts no connections.
async fn send_request(vm: SocketAddr, id: &str) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(vm).await.ok()?;
    let head = format!(
        "POST /look/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {id}\r\n\
         Authorization: Token key-1\r\nDeadline-Ms: 3000\r\nConnection: close\r\n\
         Content-Length: 2\r\n\r\n{{}}"
    );
    stream.write_all(head.as_bytes()).await.ok()?;
    Some(stream)
}

/// Returns the answer up to the end of the connection, or why it was lost.
async fn read_to_end(mut stream: TcpStream) -> std::io::Result<String> {
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).await?;
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}

/// The VM is suspended about when it closes its listeners, and callers connect meanwhile: the kernel has
/// taken their connections and requests, so that closing the listener would reset them. There are more
/// of them than the runtime accepts in one turn.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn connections_that_wait_as_the_listener_closes_are_answered() {
    let rounds = (0..10).map(|round| async move {
        let mut fleet = Fleet::start(1).await;
        let vm = fleet.vms[0].caller_address();
        fleet.vms[0].signal(Signal::TERM);
        // An idle VM makes its last check 2.6 s after the signal, or somewhat later on a busy machine.
        sleep(Duration::from_millis(2_550 + 10 * round)).await;
        fleet.vms[0].signal(Signal::STOP);
        let sent = (0..200).map(|number| async move {
            let id = format!("r-{number}");
            let sent = send_request(vm, &id);
            // A VM that has closed its listener refuses connections, or drops their first packets.
            tokio::time::timeout(Duration::from_millis(800), sent).await
        });
        let sent = join_all(sent).await;
        fleet.vms[0].signal(Signal::CONT);
        let waiting = sent.into_iter().filter_map(|sent| sent.ok().flatten());
        for answer in join_all(waiting.map(read_to_end)).await {
            expect_that!(answer, ok(starts_with("HTTP/1.1 ")), "round {round}");
        }
        expect_that!(fleet.vms[0].wait_for_exit().await, eq(true));
    });
    join_all(rounds).await;
}

/// Callers that go on using the VM are refused and not cut, although each refusal takes less time than
/// lies between two checks for open work. An idle VM ends early.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_vm_listens_while_callers_come_and_ends_early_without() {
    let mut fleet = Fleet::start(2).await;
    let vm = fleet.vms[0].caller_address();
    let started = Instant::now();
    fleet.vms[0].signal(Signal::TERM);
    while started.elapsed() < Duration::from_millis(4_500) {
        let stream = send_request(vm, "r-1").await;
        let Some(stream) = stream else {
            panic!("the VM closed its listener after {:?}", started.elapsed());
        };
        expect_that!(read_to_end(stream).await, ok(starts_with("HTTP/1.1 ")));
        sleep(Duration::from_millis(20)).await;
    }
    expect_that!(fleet.vms[0].wait_for_exit().await, eq(true));
    // Idle checks, handshakes and exit take 0.6 s after the last caller.
    expect_that!(started.elapsed(), lt(Duration::from_millis(6_000)));
}

/// Without a control thread a VM learns nothing any more, but what it has accepted it answers, and it
/// exits with a failure.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_vm_whose_control_thread_ends_answers_what_it_has_accepted() {
    let mut fleet = Fleet::prepare(1).await;
    let vm = &mut fleet.vms[0];
    let taken_port = UdpSocket::bind((vm.ip, GOSSIP_PORT)).unwrap();
    vm.start();
    eventually("the VM listens", || async {
        TcpStream::connect(vm.caller_address()).await.is_ok()
    })
    .await;
    // The bind of the port fails as soon as the thread has started.
    sleep(Duration::from_millis(300)).await;
    let stream = send_request(vm.caller_address(), "r-1").await;
    let answer = read_to_end(stream.expect("the VM still listens")).await;
    expect_that!(answer, ok(starts_with("HTTP/1.1 503")));
    expect_that!(vm.wait_for_exit().await, eq(false));
    expect_that!(vm.is_running(), eq(false));
    drop(taken_port);
}

/// Signals that come as soon as the VM accepts connections begin a planned stop.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_vm_that_listens_handles_the_signals_to_stop() {
    let mut fleet = Fleet::prepare(1).await;
    for _ in 0..20 {
        let vm = &mut fleet.vms[0];
        vm.start();
        while TcpStream::connect(vm.caller_address()).await.is_err() {}
        let handled = [Signal::TERM, Signal::INT, Signal::HUP].map(|signal| vm.handles(signal));
        expect_that!(handled, eq([true; 3]));
        vm.kill();
    }
}

/// A VM that knows no configuration yet refuses what it is sent until it has stopped.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_stop_before_the_first_configuration_refuses_all_requests() {
    let mut fleet = Fleet::prepare(1).await;
    fleet.store.set_mode(Mode::Silent);
    let vm = &mut fleet.vms[0];
    vm.start();
    while TcpStream::connect(vm.caller_address()).await.is_err() {}
    vm.signal(Signal::TERM);
    let started = Instant::now();
    while started.elapsed() < Duration::from_millis(2_000) {
        let stream = send_request(vm.caller_address(), "r-1").await;
        let answer = read_to_end(stream.expect("the VM still listens")).await;
        expect_that!(answer, ok(starts_with("HTTP/1.1 503")));
        sleep(Duration::from_millis(50)).await;
    }
    expect_that!(vm.wait_for_exit().await, eq(true));
}

/// An answer that its caller has not read yet arrives although the process has ended meanwhile.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_in_the_send_buffer_outlives_the_process() {
    const ANSWER_BYTES: usize = 150_000;
    let mut fleet = Fleet::start(1).await;
    let plain = fleet.backends_of("plain");
    plain.for_each(|backend| backend.set_padding(ANSWER_BYTES));
    let vm = &mut fleet.vms[0];
    let stream = send_request(vm.caller_address(), "r-1").await.unwrap();
    vm.signal(Signal::TERM);
    expect_that!(vm.wait_for_exit().await, eq(true));
    let answer = read_to_end(stream).await.unwrap();
    expect_that!(answer.len(), gt(ANSWER_BYTES));
}

/// A stopping VM ends the stage jobs of other VMs before its process ends: a second run of their items
/// takes the time and the retries of their requests.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_waits_for_the_stage_jobs_of_other_vms() {
    // One of the two VMs owns the queue.
    let cases = [0, 1].map(|stopped: usize| async move {
        let mut fleet = Fleet::prepare(2).await;
        fleet.change_configuration(|configuration| {
            configuration["Services"][2]["Pieces"]["CallMs"] = json!(2_000.0);
        });
        fleet.vms.iter_mut().for_each(users_platform::Vm::start);
        fleet.wait_until_ready().await;
        let first = || fleet.backends_of("first");
        first().for_each(|backend| backend.fall_silent(Duration::from_millis(3_500)));
        let vm = fleet.vms[1 - stopped].caller_address();
        let sent = request_with(vm, "/stream/x", "r-1", "key-1", &[], "{}".into(), 8_000);
        let running = tokio::spawn(sent);
        sleep(Duration::from_millis(150)).await;
        fleet.vms[stopped].signal(Signal::TERM);
        let answer = running.await.unwrap().unwrap();
        expect_that!(
            is_whole(&answer, "/stream/x", "r-1"),
            eq(true),
            "{answer:?}"
        );
        let calls = first().flat_map(|backend| backend.received());
        let runs = calls.filter(|call| call.path == RUN_PATH).count();
        expect_that!(runs, eq(1), "the VM {stopped} stops");
        expect_that!(fleet.vms[stopped].wait_for_exit().await, eq(true));
    });
    join_all(cases).await;
}
