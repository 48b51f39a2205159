//! Guards callers against refusals of endpoints that have run the request: the statuses 408, 421, 429 and 503 promise
//! callers that it has not run (`docs/platform.md`, "Statuses that promise").

mod users_platform;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use googletest::prelude::*;
use serde_json::{Value, json};
use users_platform::backend::{Backend, Fault, Kind, LateRefusal, RefusalForm};
use users_platform::caller::{request, request_with};
use users_platform::{Fleet, eventually};

/// Statuses with which an endpoint refuses a request, but for 421, which states by itself that it has not run it.
const REFUSAL_STATUSES: [u16; 3] = [503, 429, 408];
const FORMS: [RefusalForm; 4] = [
    RefusalForm::Signed,
    RefusalForm::Unsigned,
    RefusalForm::Cut,
    RefusalForm::First,
];

/// Statuses that promise callers that their request has not run.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// All refusals of endpoints that run the request.
fn late_refusals() -> impl Iterator<Item = LateRefusal> {
    let refuse = |status| FORMS.map(|form| LateRefusal { status, form });
    REFUSAL_STATUSES.into_iter().flat_map(refuse)
}

/// Starts VMs whose configuration has a further route: a stream with stages that may not be resumed.
async fn fleet_with_stages(vms: usize) -> Fleet {
    let mut fleet = Fleet::start(vms).await;
    fleet.change_configuration(|configuration| {
        let routes = configuration["Routes"].as_array_mut().unwrap();
        let mut staged = routes[2].clone();
        staged["Name"] = json!("once-staged");
        staged["PathPrefix"] = json!("/once-staged/");
        staged["Resumable"] = json!(false);
        routes.push(staged);
    });
    let version = format!("\"version\":{}", fleet.configuration["Version"]);
    for vm in &fleet.vms {
        eventually("the configuration is in force", || async {
            vm.log().contains(&version)
        })
        .await;
    }
    fleet
}

fn set_fault_of(fleet: &Fleet, services: &[&str], fault: Fault) {
    for service in services {
        for backend in fleet.backends_of(service) {
            backend.set_fault(fault);
        }
    }
}

/// Returns how often a request reached endpoints of a service.
fn sends_of(fleet: &Fleet, service: &str, id: &str) -> usize {
    let received = fleet
        .backends_of(service)
        .flat_map(|backend| backend.received());
    received.filter(|received| received.id == id).count()
}

fn refuse_late(status: u16, form: RefusalForm) -> Fault {
    Fault::LateRefusal(LateRefusal { status, form })
}

/// Returns the lines that a VM has logged of a request with a message.
fn lines_of(fleet: &Fleet, id: &str, message: &str) -> Vec<Value> {
    let log = fleet.vms[0].log();
    let lines = log
        .lines()
        .filter_map(|line| serde_json::from_str(line).ok());
    lines
        .filter(|line: &Value| line["id"] == id && line["msg"] == message)
        .collect()
}

/// Returns the metrics of the first VM.
async fn metrics(fleet: &Fleet) -> String {
    let address: SocketAddr = (fleet.vms[0].ip, 7742).into();
    let timeout = Duration::from_secs(2);
    let call = primrosewalk::http::Call::get(address, "/metrics", timeout);
    let (_, body) = primrosewalk::http::fetch(&call, timeout).await.unwrap();
    String::from_utf8_lossy(&body).into_owned()
}

/// Guards the people on call against taking a refusal of an endpoint for one of the VM, whose status is the same.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn logs_and_metrics_tell_refusals_of_endpoints_from_those_of_the_vm() {
    struct Case {
        fault: Fault,
        /// Whether the endpoint states that the request has not run; `None` if it does not refuse it.
        states_not_run: Option<bool>,
        /// Whose answer the caller gets, if that does not depend on the status.
        source: Option<&'static str>,
    }
    let cases = [
        Case {
            fault: Fault::None,
            states_not_run: None,
            source: Some("endpoint"),
        },
        Case {
            fault: Fault::Error,
            states_not_run: None,
            source: Some("endpoint"),
        },
        Case {
            fault: Fault::Full,
            states_not_run: Some(true),
            source: Some("vm"),
        },
        Case {
            fault: refuse_late(503, RefusalForm::Signed),
            states_not_run: Some(false),
            source: None,
        },
    ];
    for (number, case) in cases.into_iter().enumerate() {
        let fleet = Fleet::start(1).await;
        for backend in fleet.backends.iter() {
            backend.set_fault(case.fault);
        }
        for path in ["/pay/x", "/once-stream/x"] {
            let id = format!("r-{number}{}", path.replace('/', "-"));
            let vm = fleet.vms[0].caller_address();
            request(vm, path, &id, "key-1").await.unwrap();
            // Lines are written behind the answer, in their order.
            eventually("the answer is logged", || async {
                !lines_of(&fleet, &id, "request: answered").is_empty()
            })
            .await;
            let refusals = lines_of(&fleet, &id, "request: an endpoint refused it");
            let stated: Vec<_> = refusals
                .iter()
                .map(|line| line["states_not_run"].clone())
                .collect();
            expect_that!(
                stated.is_empty(),
                eq(case.states_not_run.is_none()),
                "{id}: {refusals:?}"
            );
            for stated in stated {
                expect_that!(stated.as_bool(), eq(case.states_not_run), "{id}");
            }
            let answers = lines_of(&fleet, &id, "request: answered");
            expect_that!(answers.len(), eq(1), "{id}");
            if let Some(source) = case.source {
                expect_that!(answers[0]["source"].as_str(), some(eq(source)), "{id}");
            }
        }
        let metrics = metrics(&fleet).await;
        let label = case
            .states_not_run
            .map(|stated| if stated { "yes" } else { "no" });
        for stated in ["yes", "no"] {
            let name = format!(
                "primrosewalk_endpoint_refusals_total{{status=\"503\",states_not_run=\"{stated}\"}}"
            );
            expect_that!(
                metrics.contains(&name),
                eq(label == Some(stated)),
                "{number}: {name}"
            );
        }
        if let Some(source) = case.source {
            let label = format!("source=\"{source}\"");
            let mut lines = metrics.lines();
            let is_counted = lines.any(|line| {
                line.starts_with("primrosewalk_requests_total{") && line.contains(&label)
            });
            expect_that!(is_counted, eq(true), "{number}: {label}");
        }
    }
}

/// A payout that ran and is answered "not run" is sent again by its caller, and paid twice (review/9).
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_may_run_once_is_not_refused_once_an_endpoint_runs_it() {
    let fleet = fleet_with_stages(1).await;
    let vm = fleet.vms[0].caller_address();
    for refusal in late_refusals() {
        set_fault_of(&fleet, &["plain", "lm"], Fault::LateRefusal(refusal));
        for path in ["/pay/x", "/once-stream/x", "/once-staged/x"] {
            let id = format!(
                "{}-{:?}{}",
                refusal.status,
                refusal.form,
                path.replace('/', "-")
            );
            let answer = request(vm, path, &id, "key-1")
                .await
                .expect("the VM answers");
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
        let vm = fleet.vms[0].caller_address();
        for (path, service) in [("/look/x", "plain"), ("/stream/x", "lm")] {
            let case = format!(
                "{}-{:?}{}",
                refusal.status,
                refusal.form,
                path.replace('/', "-")
            );
            let first = fleet.backends_of(service).next().unwrap();
            first.set_fault(Fault::LateRefusal(refusal));
            for number in 0..4 {
                let id = format!("{case}-{number}");
                let answer = request(vm, path, &id, "key-1")
                    .await
                    .expect("the VM answers");
                expect_that!(answer.status, eq(200), "{id}");
                expect_that!(answer.is_complete, eq(true), "{id}");
                expect_that!(sends_of(&fleet, service, &id), le(2), "{id}");
            }
            set_fault_of(&fleet, &[service], Fault::LateRefusal(refusal));
            let id = format!("{case}-none");
            let answer = request(vm, path, &id, "key-1")
                .await
                .expect("the VM answers");
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
        let vm = fleet.vms[0].caller_address();
        for service in ["plain", "lm"] {
            let first = fleet.backends_of(service).next().unwrap();
            first.set_fault(Fault::Other);
        }
        for number in 0..4 {
            let id = format!("one{}-{number}", path.replace('/', "-"));
            let answer = request(vm, path, &id, "key-1")
                .await
                .expect("the VM answers");
            expect_that!(answer.status, eq(200), "{id}");
            expect_that!(fleet.runs_of(&id), eq(1), "{id}");
        }
        set_fault_of(&fleet, &["plain", "lm"], Fault::Other);
        let id = format!("all{}", path.replace('/', "-"));
        let answer = request(vm, path, &id, "key-1")
            .await
            .expect("the VM answers");
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
            let vm = fleet.vms[0].caller_address();
            let prompt = format!("a{number}:80,b{number}:40");
            let headers = [("prefix-hash", prompt.as_str())];
            let answer = request_with(
                vm,
                "/stream/x",
                id,
                "key-1",
                &headers,
                Bytes::from_static(b"{}"),
                6_000,
            )
            .await;
            expect_that!(answer.unwrap().status, eq(200), "{id}");
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

/// Repeats after such refusals are repeats like any others.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn repeats_after_refusals_stay_within_the_budget() {
    const REQUESTS: usize = 160;
    /// `repeat_ratio` and `repeat_reserve` of the fixture's settings.
    const RATIO: f64 = 0.2;
    const RESERVE: f64 = 52.0;
    for status in REFUSAL_STATUSES {
        let fleet = Fleet::start(1).await;
        let vm = fleet.vms[0].caller_address();
        set_fault_of(&fleet, &["plain"], refuse_late(status, RefusalForm::Signed));
        let ids: Vec<String> = (0..REQUESTS)
            .map(|number| format!("{status}-{number}"))
            .collect();
        for ids in ids.chunks(16) {
            let sends = ids.iter().map(|id| request(vm, "/look/x", id, "key-1"));
            for answer in futures::future::join_all(sends).await {
                expect_that!(answer.unwrap().status, eq(502), "{status}");
            }
        }
        let sends: usize = ids.iter().map(|id| sends_of(&fleet, "plain", id)).sum();
        let allowed = RATIO * REQUESTS as f64 + RESERVE;
        expect_that!((sends - REQUESTS) as f64, le(allowed), "{status}");
    }
}

/// An endpoint that refuses at once looks fast. Payouts must not gather there, since each is lost to its caller.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn payouts_avoid_an_endpoint_that_refuses_what_it_runs() {
    /// Time for which requests that may run once avoid an endpoint after a failure.
    const AVOIDANCE: Duration = Duration::from_secs(3);
    for status in REFUSAL_STATUSES {
        let fleet = Fleet::start(1).await;
        let vm = fleet.vms[0].caller_address();
        let endpoints: Vec<_> = fleet.backends_of("plain").collect();
        endpoints[0].set_fault(refuse_late(status, RefusalForm::Signed));
        endpoints[0].set_work_time(Duration::ZERO);
        endpoints[1].set_work_time(Duration::from_millis(20));
        let started = Instant::now();
        for number in 0..40 {
            let id = format!("{status}-{number}");
            request(vm, "/pay/x", &id, "key-1")
                .await
                .expect("the VM answers");
        }
        let refused = endpoints[0].received().len();
        let allowed = 1 + started.elapsed().as_millis() / AVOIDANCE.as_millis();
        expect_that!(refused as u128, le(allowed), "{status}");
    }
}

/// Starts a VM before plain endpoints that run requests and refuse them with a time.
async fn fleet_that_refuses_with_a_time(pause: Duration) -> Fleet {
    let fleet = Fleet::start(1).await;
    for backend in fleet.backends_of("plain") {
        backend.add_header("Retry-After", &pause.as_secs_f64().to_string());
        backend.set_fault(refuse_late(503, RefusalForm::Signed));
    }
    fleet
}

/// A time to come back would invite the caller of a payout to send it again.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_payout_that_may_have_run_gets_no_time_to_come_back() {
    let fleet = fleet_that_refuses_with_a_time(Duration::from_secs(5)).await;
    for (number, _) in fleet.backends_of("plain").enumerate() {
        let id = format!("r-{number}");
        let answer = request(fleet.vms[0].caller_address(), "/pay/x", &id, "key-1").await;
        let answer = answer.expect("the VM answers");
        expect_that!(answer.status, eq(502), "{id}");
        expect_that!(answer.retry_after_s, none(), "{id}");
        expect_that!(fleet.runs_of(&id), eq(1), "{id}");
    }
}

/// A 503 names a time until which the endpoint wants nothing, whether or not the request has run. A caller whose
/// repeat would be refused until then is told so.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_endpoint_that_refused_with_a_time_gets_nothing_until_then() {
    /// Time of the endpoint, and the part of it after which the rules count.
    const PAUSE: Duration = Duration::from_millis(2_500);
    const SLACK: Duration = Duration::from_millis(500);
    let fleet = fleet_that_refuses_with_a_time(PAUSE).await;
    let vm = fleet.vms[0].caller_address();
    let refused_at = Instant::now();
    let answer = request(vm, "/look/x", "both", "key-1").await.unwrap();
    expect_that!(answer.status, eq(502));
    expect_that!(sends_of(&fleet, "plain", "both"), eq(2));
    expect_that!(answer.retry_after_s, some(gt(SLACK.as_secs_f64())));
    while refused_at.elapsed() < PAUSE - SLACK {
        for (number, path) in ["/look/x", "/pay/x"].into_iter().enumerate() {
            let id = format!("paused-{number}-{:?}", refused_at.elapsed());
            let answer = request(vm, path, &id, "key-1").await.unwrap();
            expect_that!(answer.status, eq(503), "{id}");
            expect_that!(answer.retry_after_s, some(gt(0.0)), "{id}");
            expect_that!(sends_of(&fleet, "plain", &id), eq(0), "{id}");
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
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
