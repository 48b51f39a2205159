//! VMs on the users' platform as real processes, against stand-ins for store and endpoints.

mod users_platform;

use std::time::Duration;

use bytes::Bytes;
use googletest::prelude::*;
use rustix::process::Signal;
use serde_json::json;
use users_platform::backend::{Backend, EVENTS, Fault, Kind};
use users_platform::store::Mode;
use users_platform::{DATA_CENTRES, Fleet, Got, eventually, request, request_with, within};

/// Time for which an endpoint may still get work after it is said to leave.
const LEAVE_LIMIT: Duration = Duration::from_secs(2);
/// Time in which a configuration is in force everywhere.
const APPLY_LIMIT: Duration = Duration::from_secs(2);
/// Time for which the directory may name a VM that died.
const DEAD_LIMIT: Duration = Duration::from_secs(6);

fn status(got: &Option<Got>) -> u16 {
    got.as_ref().map_or(0, |got| got.status)
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_request_reaches_an_endpoint_as_the_platform_asks() {
    let fleet = Fleet::start(2).await;
    let forged = [
        ("tenant", "org-2"),
        ("hold", "x"),
        ("kv-from", "1.1.1.1:1/2"),
        ("x-own", "kept"),
    ];
    let body = Bytes::from_static(b"{\"a\":1}");
    let vm = fleet.vms[0].caller();
    let got = request_with(vm, "/look/2f?q=1", "r-1", "key-1", &forged, body, 3_000).await;
    let got = got.unwrap();
    expect_that!(got.status, eq(200));
    expect_that!(got.is_signed, eq(true));
    expect_that!(got.body, eq("answer to r-1"));
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
    let left: u64 = received.header("deadline-ms").unwrap().parse().unwrap();
    expect_that!(left, le(3_000));
    expect_that!(left, ge(2_000));
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
    let vm = fleet.vms[0].caller();
    for (number, case) in cases.into_iter().enumerate() {
        let body = Bytes::from(vec![b'x'; case.body_bytes]);
        let id = format!("r-{number}");
        let got = request_with(vm, case.path, &id, case.key, &[], body, 3_000).await;
        expect_that!(status(&got), eq(case.status), "{} {}", case.path, case.key);
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_vm_without_configuration_answers_503() {
    let mut fleet = Fleet::prepare(1).await;
    fleet.store.set_mode(Mode::Silent);
    fleet.vms[0].start();
    let vm = fleet.vms[0].caller();
    eventually("the VM answers", || async {
        request(vm, "/look/x", "r", "key-1").await.is_some()
    })
    .await;
    let got = request(vm, "/look/x", "r-2", "key-1").await;
    expect_that!(status(&got), eq(503));
    expect_that!(got.unwrap().retry_after_s, some(gt(0.0)));
    expect_that!(fleet.vms[0].is_ready().await, eq(false));
}

/// A payout runs at most once whatever its endpoint does, and "not run" is true.
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
    let vm = fleet.vms[0].caller();
    for case in cases {
        for backend in fleet.backends_of("plain") {
            backend.set_fault(case.fault);
        }
        // The pause of endpoints that failed or were full is over.
        tokio::time::sleep(Duration::from_millis(700)).await;
        for number in 0..3 {
            let id = format!("pay-{:?}-{number}", case.fault);
            let body = Bytes::from_static(b"{}");
            let got = request_with(vm, "/pay/x", &id, "key-1", &[], body, 1_500).await;
            let status = status(&got);
            let runs = fleet.runs_of(&id);
            expect_that!(case.statuses, contains(eq(&status)), "{id}: {got:?}");
            expect_that!(runs, le(1), "{id}");
            if matches!(status, 429 | 503) {
                expect_that!(runs, eq(0), "{id} was said not to have run");
            }
        }
    }
}

/// One of two endpoints fails each request; those that may repeat are answered.
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
        let vm = fleet.vms[0].caller();
        let faulty = fleet.backends_of("plain").next().unwrap();
        faulty.set_fault(fault);
        for number in 0..4 {
            let id = format!("look-{number}");
            let got = request(vm, "/look/x", &id, "key-1").await.unwrap();
            expect_that!(got.status, eq(200), "{fault:?}");
            expect_that!(got.body, eq(&format!("answer to {id}")), "{fault:?}");
        }
    }
}

fn events(body: &str) -> Vec<u64> {
    body.lines()
        .filter_map(|line| line.strip_prefix("id: ")?.parse().ok())
        .collect()
}

fn all_events() -> Vec<u64> {
    (0..EVENTS).collect()
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_runs_its_stages_and_frees_their_results() {
    let fleet = Fleet::start(3).await;
    for (number, vm) in fleet.vms.iter().enumerate() {
        let id = format!("s-{number}");
        let got = request(vm.caller(), "/stream/x", &id, "key-1")
            .await
            .unwrap();
        expect_that!(got.status, eq(200));
        expect_that!(got.is_whole, eq(true));
        expect_that!(events(&got.body), eq(&all_events()));
    }
    let engines = fleet
        .backends_of("lm")
        .flat_map(|backend| backend.received());
    for received in engines {
        let inputs = received.header("inputs").unwrap_or_default().to_owned();
        expect_that!(inputs.split(',').count(), eq(3), "{inputs}");
        expect_that!(received.header("pieces"), none());
    }
    let second: Vec<_> = fleet.backends_of("second").collect();
    let calls = second.iter().flat_map(|backend| backend.received());
    for call in calls.filter(|call| call.path == "/api/stage-run") {
        let body: serde_json::Value = serde_json::from_slice(&call.body).unwrap();
        for entry in body["Entries"].as_array().unwrap() {
            expect_that!(entry["Inputs"].as_array().unwrap().len(), eq(2));
            expect_that!(entry["Key"].is_null(), eq(true));
        }
    }
    let freed = || async {
        let stages = fleet.backends.iter();
        stages.map(|backend| backend.kept_results()).sum::<usize>() == 0
    };
    eventually("all results are freed", freed).await;
}

/// Guards large results that cross data centres: a stage that only the engine reads runs where
/// that engine is.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn results_for_the_engine_are_made_in_its_data_centre() {
    let mut fleet = Fleet::start(3).await;
    for _ in 0..3 {
        fleet.add_backend("first", Kind::Stage).await;
    }
    fleet.change(|configuration| {
        let routes = configuration["Routes"].as_array_mut().unwrap();
        let mut route = routes[2].clone();
        route["PathPrefix"] = json!("/alone/");
        route["Name"] = json!("alone");
        route["Stages"].as_array_mut().unwrap().truncate(1);
        // Items may run elsewhere after the time of a call, or when they would be late.
        route["TargetLatencyMs"] = json!(8_000);
        routes.push(route);
        configuration["Services"][2]["Pieces"]["CallMs"] = json!(1_000.0);
    });
    // The endpoints came before the configuration, so a VM that knows the route knows them.
    for vm in &fleet.vms {
        let served = || async {
            let got = request(vm.caller(), "/alone/x", "probe", "key-1").await;
            status(&got) == 200
        };
        eventually("the route is in force", served).await;
    }
    for number in 0..12 {
        let vm = &fleet.vms[number % 3];
        let got = request(vm.caller(), "/alone/x", &format!("n-{number}"), "key-1").await;
        expect_that!(status(&got), eq(200));
    }
    let data_centre_of = |address: &str| {
        let is_at = |backend: &Backend| backend.listed.to_string() == address;
        let number = fleet.backends.iter().position(is_at);
        DATA_CENTRES[number.unwrap() % 3]
    };
    for engine in fleet.backends_of("lm") {
        let received = engine.received();
        let is_counted = |id: &str| id.starts_with("n-");
        let counted = received
            .iter()
            .filter(|call| call.header("request-id").is_some_and(is_counted));
        for call in counted {
            let inputs = call.header("inputs").unwrap_or_default();
            expect_that!(inputs.split(',').count(), eq(2), "{inputs}");
            for handle in inputs.split(',') {
                let (address, _) = handle.split_once('/').unwrap();
                let own = data_centre_of(&engine.listed.to_string());
                expect_that!(data_centre_of(address), eq(own), "{inputs}");
            }
        }
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_broken_stream_goes_on_at_another_engine_or_is_cut() {
    let fleet = Fleet::start(1).await;
    let vm = fleet.vms[0].caller();
    for backend in fleet.backends_of("lm") {
        backend.set_fault(Fault::Truncate);
    }
    // Both engines break off after three events; two runs give six of the eight events.
    let got = request(vm, "/stream/x", "s-1", "key-1").await.unwrap();
    expect_that!(got.status, eq(200));
    expect_that!(got.is_whole, eq(false));
    expect_that!(events(&got.body), eq(&vec![0, 1, 2, 3, 4, 5]));
    expect_that!(fleet.runs_of("s-1"), eq(2));
    // A stream that may not resume runs once.
    let got = request(vm, "/once-stream/x", "s-2", "key-1").await.unwrap();
    expect_that!(got.is_whole, eq(false));
    expect_that!(events(&got.body), eq(&vec![0, 1, 2]));
    expect_that!(fleet.runs_of("s-2"), eq(1));
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    for backend in fleet.backends_of("lm").skip(1) {
        backend.set_fault(Fault::None);
    }
    for number in 0..6 {
        let id = format!("s-mixed-{number}");
        let got = request(vm, "/stream/x", &id, "key-1").await.unwrap();
        expect_that!(events(&got.body), eq(&all_events()), "{id}");
        expect_that!(got.is_whole, eq(true), "{id}");
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_configuration_is_in_force_everywhere_soon() {
    let mut fleet = Fleet::start(3).await;
    let callers: Vec<_> = fleet.vms.iter().map(|vm| vm.caller()).collect();
    fleet.change(|configuration| {
        configuration["Tenants"][0]["ApiKeys"] = json!(["key-1"]);
        configuration["Routes"][0]["PathPrefix"] = json!("/moved/");
    });
    for vm in callers {
        let applied = || async {
            status(&request(vm, "/moved/x", "r-1", "key-1").await) == 200
                && status(&request(vm, "/look/x", "r-2", "key-1").await) == 404
                && status(&request(vm, "/moved/x", "r-3", "key-1b").await) == 401
        };
        within("the configuration is in force", APPLY_LIMIT, applied).await;
    }
}

/// Guards a watch whose connection fell silent: the VM hears from the others that it lags.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_vm_whose_watch_is_silent_learns_of_a_change_from_others() {
    let mut fleet = Fleet::start(3).await;
    fleet
        .store
        .set_mode_for(fleet.vms[1].ip.into(), Mode::Silent);
    fleet.change(|configuration| {
        let routes = configuration["Routes"].as_array_mut().unwrap();
        let mut route = routes[0].clone();
        route["PathPrefix"] = json!("/new/");
        routes.push(route);
    });
    let served = || async {
        let got = request(fleet.vms[1].caller(), "/new/x", "n", "key-1").await;
        status(&got) == 200
    };
    within("the change is in force", APPLY_LIMIT, served).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_endpoint_gets_nothing_after_a_moment() {
    let fleet = Fleet::start(2).await;
    let left = fleet
        .backends
        .iter()
        .position(|backend| backend.service == "plain");
    let left = left.unwrap();
    fleet.list_backend(left, "draining");
    tokio::time::sleep(LEAVE_LIMIT).await;
    let before = fleet.backends[left].received().len();
    for number in 0..20 {
        let vm = fleet.vms[number % 2].caller();
        let got = request(vm, "/look/x", &format!("r-{number}"), "key-1").await;
        expect_that!(status(&got), eq(200));
    }
    expect_that!(fleet.backends[left].received().len(), eq(before));
    // An evacuated data centre gets nothing, and serves again afterwards.
    fleet.list_backend(left, "ready");
    fleet.store.put("op/evacuate/a", &json!({}));
    tokio::time::sleep(LEAVE_LIMIT).await;
    let got = request(fleet.vms[0].caller(), "/look/x", "r-99", "key-1").await;
    expect_that!(status(&got), eq(200));
    expect_that!(fleet.backends[left].received().len(), eq(before));
    fleet.store.delete("op/evacuate/a");
    let vm = fleet.vms[0].caller();
    eventually("the data centre serves again", || async {
        request(vm, "/look/x", "again", "key-1").await;
        fleet.backends[left].received().len() > before
    })
    .await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn unreadable_entries_harm_no_other() {
    let fleet = Fleet::start(1).await;
    fleet
        .store
        .put_bytes("servers/odd-1", Bytes::from_static(b"\xff\x00"));
    fleet
        .store
        .put("servers/odd-2", &json!({ "Service": 7, "Address": "x" }));
    fleet.store.put(
        "servers/odd-3",
        &json!({ "Service": "plain", "Address": "127.0.0.1:1",
        "Zone": "a", "Slots": 1, "State": "resting", "ColdRemainingMs": 0 }),
    );
    fleet
        .store
        .put_bytes("op/config-2", Bytes::from_static(b"{"));
    tokio::time::sleep(Duration::from_millis(700)).await;
    for number in 0..10 {
        let vm = fleet.vms[0].caller();
        let got = request(vm, "/look/x", &format!("r-{number}"), "key-1").await;
        expect_that!(status(&got), eq(200));
    }
}

/// A VM that starts while it cannot reach the store learns everything from another VM.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn service_goes_on_without_the_store() {
    let mut fleet = Fleet::start(3).await;
    let cut_off = fleet.vms[2].ip;
    fleet.store.set_mode_for(cut_off.into(), Mode::Silent);
    fleet.vms[2].kill();
    fleet.vms[2].start();
    let vm = fleet.vms[2].caller();
    eventually("the VM serves", || async {
        status(&request(vm, "/look/x", "r-1", "key-1").await) == 200
    })
    .await;
    fleet.store.set_mode(Mode::Busy);
    fleet.store.set_mode_for(cut_off.into(), Mode::Busy);
    for number in 0..10 {
        let vm = fleet.vms[number % 3].caller();
        let got = request(vm, "/look/x", &format!("r-{number}"), "key-1").await;
        expect_that!(status(&got), eq(200));
    }
    // Changes while the store was away, and a dropped history, arrive after its return.
    fleet.change(|configuration| configuration["Routes"][0]["PathPrefix"] = json!("/new/"));
    fleet.store.compact();
    fleet.store.set_mode(Mode::Up);
    fleet.store.set_mode_for(cut_off.into(), Mode::Up);
    for vm in &fleet.vms {
        let vm = vm.caller();
        let applied = || async { status(&request(vm, "/new/x", "r", "key-1").await) == 200 };
        within("the change arrives", 2 * APPLY_LIMIT, applied).await;
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn the_directory_drops_a_dead_vm_and_names_it_again() {
    let mut fleet = Fleet::start(4).await;
    let dead = fleet.vms[1].caller();
    fleet.vms[1].kill();
    let vm = &fleet.vms[0];
    within("the dead VM is dropped", DEAD_LIMIT, || async {
        !vm.addresses("nowhere").await.contains(&dead)
    })
    .await;
    fleet.vms[1].start();
    fleet.wait_until_ready().await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn streams_are_served_while_vms_that_batch_are_killed() {
    let mut fleet = Fleet::start(4).await;
    for round in 0..4 {
        let killed = round % 4;
        fleet.vms[killed].kill();
        let mut served = 0;
        for number in 0..12 {
            let vm = (killed + 1 + number % 3) % 4;
            let id = format!("s-{round}-{number}");
            let got = request(fleet.vms[vm].caller(), "/stream/x", &id, "key-1").await;
            let got = got.unwrap();
            expect_that!(got.status, any![eq(200), eq(503)], "{id}");
            if got.status == 200 {
                expect_that!(events(&got.body), eq(&all_events()), "{id}");
                served += 1;
            }
        }
        expect_that!(served, ge(10), "round {round}");
        fleet.vms[killed].start();
        fleet.wait_until_ready().await;
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_cuts_no_request() {
    let mut fleet = Fleet::start(3).await;
    for backend in &fleet.backends {
        backend.set_work(Duration::from_millis(150));
    }
    let vm = fleet.vms[0].caller();
    let mut running = tokio::task::JoinSet::new();
    for number in 0..20 {
        let path = ["/look/x", "/pay/x", "/stream/x"][number % 3];
        running.spawn(async move { request(vm, path, &format!("r-{number}"), "key-1").await });
    }
    tokio::time::sleep(Duration::from_millis(60)).await;
    fleet.vms[0].signal(Signal::TERM);
    let stopping = &fleet.vms[0];
    within("the VM is not ready", Duration::from_secs(1), || async {
        !stopping.is_ready().await
    })
    .await;
    let other = &fleet.vms[1];
    within("the directory drops it", Duration::from_secs(1), || async {
        !other.addresses("nowhere").await.contains(&vm)
    })
    .await;
    while let Some(got) = running.join_next().await {
        let got = got.unwrap().unwrap();
        expect_that!(got.status, eq(200));
        expect_that!(got.is_whole, eq(true));
    }
    expect_that!(fleet.vms[0].wait_for_exit().await, eq(true));
    expect_that!(fleet.vms[0].log(), contains_substring("vm: stopped"));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn settings_are_read_again_and_metrics_are_served() {
    let fleet = Fleet::start(1).await;
    fleet.vms[0].signal(Signal::HUP);
    eventually("the settings are reloaded", || async {
        fleet.vms[0].log().contains("settings: reloaded")
    })
    .await;
    request(fleet.vms[0].caller(), "/look/x", "r-1", "key-1").await;
    let address = (fleet.vms[0].ip, 7742).into();
    let call = primrosewalk::http::Call::get(address, "/metrics", Duration::from_secs(2));
    let (_, body) = primrosewalk::http::fetch(&call, Duration::from_secs(2))
        .await
        .unwrap();
    let text = String::from_utf8_lossy(&body).into_owned();
    expect_that!(text, contains_substring("primrosewalk_requests_total"));
    expect_that!(text, contains_substring("primrosewalk_request_seconds"));
}

/// An idle VM makes few calls to the store.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_idle_vm_asks_the_store_less_than_once_a_second() {
    let fleet = Fleet::start(1).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    let before = fleet.store.calls();
    tokio::time::sleep(Duration::from_secs(6)).await;
    expect_that!(fleet.store.calls() - before, le(6));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_new_endpoint_is_used() {
    let mut fleet = Fleet::start(1).await;
    let added = fleet.add_backend("plain", Kind::Plain).await;
    let vm = fleet.vms[0].caller();
    let mut number = 0;
    let deadline = tokio::time::Instant::now() + Duration::from_secs(10);
    while fleet.backends[added].received().is_empty() {
        number += 1;
        let tasks = (0..6).map(|n| {
            let id = format!("r-{number}-{n}");
            async move { request(vm, "/look/x", &id, "key-1").await }
        });
        futures::future::join_all(tasks).await;
        assert!(tokio::time::Instant::now() < deadline);
    }
}
