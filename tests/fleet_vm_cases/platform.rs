//! Guards how VMs react to changes of the store, endpoints, settings and other VMs, and to signals.

use std::time::{Duration, Instant};

use bytes::Bytes;
use googletest::prelude::*;
use primrosewalk::http::{Call, send};
use rustix::fs::{CWD, Mode, mkfifoat};
use rustix::process::Signal;
use serde_json::{Value, json};
use tokio::io::AsyncWriteExt;
use tokio::net::unix::pipe;
use tokio::net::{TcpSocket, TcpStream};

use crate::status;
use crate::users_platform::backend::{Backend, Fault, Kind};
use crate::users_platform::caller::{request, request_with};
use crate::users_platform::store;
use crate::users_platform::{Fleet, eventually, within};

/// Maximum time during which an endpoint may still get requests after the store lists it as
/// draining or its data centre as evacuated.
const MAX_DRAIN_DELAY: Duration = Duration::from_secs(2);
/// Maximum time until a new configuration is in force at all VMs.
const MAX_APPLY_DELAY: Duration = Duration::from_secs(2);
/// Maximum time during which the directory may still name a VM that was killed.
const MAX_REMOVAL_DELAY: Duration = Duration::from_secs(6);

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_configuration_is_in_force_everywhere_soon() {
    let mut fleet = Fleet::start(3).await;
    let callers: Vec<_> = fleet.vms.iter().map(|vm| vm.caller_address()).collect();
    fleet.change_configuration(|configuration| {
        configuration["Tenants"][0]["ApiKeys"] = json!(["key-1"]);
        configuration["Routes"][0]["PathPrefix"] = json!("/moved/");
    });
    for vm in callers {
        let applied = || async {
            status(&request(vm, "/moved/x", "r-1", "key-1").await) == 200
                && status(&request(vm, "/look/x", "r-2", "key-1").await) == 404
                && status(&request(vm, "/moved/x", "r-3", "key-1b").await) == 401
        };
        within("the configuration is in force", MAX_APPLY_DELAY, applied).await;
    }
}

/// Guards against requests that run without a key once the operator has withdrawn the last key: a list of
/// organisations without keys was taken for a configuration that asks for none.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn without_a_valid_key_only_requests_of_public_routes_run() {
    struct Case {
        /// The organisations of the configuration; `None` leaves the list out.
        organisations: Option<Value>,
        /// Status of a request with a key that was valid at first.
        with_key: u16,
        /// Status of requests with a key that never was, with an empty one and without one.
        without_key: u16,
    }
    let mut cases = vec![
        Case {
            organisations: Some(json!([{ "Name": "org-1", "ApiKeys": ["key-1"] },
                { "Name": "org-2", "ApiKeys": [] }])),
            with_key: 200,
            without_key: 401,
        },
        Case {
            organisations: Some(json!([{ "Name": "org-1", "ApiKeys": [] },
                { "Name": "org-2", "ApiKeys": [] }])),
            with_key: 401,
            without_key: 401,
        },
        Case {
            organisations: Some(json!([{ "Name": "org-1" }])),
            with_key: 401,
            without_key: 401,
        },
        Case {
            organisations: Some(json!([])),
            with_key: 401,
            without_key: 401,
        },
        Case {
            organisations: None,
            with_key: 200,
            without_key: 200,
        },
    ];
    // The last key goes again after the list was left out.
    cases.push(Case {
        organisations: Some(json!([{ "Name": "org-1", "ApiKeys": [] }])),
        with_key: 401,
        without_key: 401,
    });
    let mut fleet = Fleet::start(3).await;
    // The last VM learns of all changes from the others.
    let cut_off = fleet.vms[2].ip;
    fleet
        .store
        .set_mode_for(cut_off.into(), store::Mode::Silent);
    fleet.change_configuration(|configuration| {
        let routes = configuration["Routes"].as_array_mut().unwrap();
        let mut route = routes[0].clone();
        route["PathPrefix"] = json!("/public/");
        route["Public"] = json!(true);
        routes.push(route);
    });
    for (number, case) in cases.into_iter().enumerate() {
        let marker = format!("/case-{number}/");
        fleet.change_configuration(|configuration| {
            let mut route = configuration["Routes"][4].clone();
            route["PathPrefix"] = json!(marker);
            configuration["Routes"].as_array_mut().unwrap().push(route);
            let document = configuration.as_object_mut().unwrap();
            match case.organisations {
                Some(organisations) => document.insert("Tenants".to_owned(), organisations),
                None => document.remove("Tenants"),
            };
        });
        for vm in &fleet.vms {
            let address = vm.caller_address();
            let is_applied = || async {
                let answer = request(address, &marker, &format!("m-{number}"), "key-1").await;
                status(&answer) == 200
            };
            within("the change is in force", 2 * MAX_APPLY_DELAY, is_applied).await;
            for path in ["/look/x", "/pay/x", "/stream/x", "/public/x"] {
                let keys = [
                    ("Token key-1", case.with_key),
                    ("Token key-that-never-was", case.without_key),
                    ("Token ", case.without_key),
                    ("", case.without_key),
                ];
                for (key_number, (key, expected)) in keys.into_iter().enumerate() {
                    let expected = if path == "/public/x" { 200 } else { expected };
                    let id = format!("r-{number}-{}-{path}-{key_number}", vm.name);
                    let headers = [("authorization", key)];
                    let body = Bytes::from_static(b"{}");
                    let answer = request_with(address, path, &id, "", &headers, body, 6_000).await;
                    expect_that!(status(&answer), eq(expected), "{id}");
                    expect_that!(fleet.runs_of(&id), eq(usize::from(expected == 200)), "{id}");
                }
            }
        }
    }
}

/// Guards against a return of the store that is noticed seconds late: while it is cut off, the opening
/// packets of a call are lost, and the next one is sent only after a long pause.
#[gtest]
#[tokio::test]
async fn a_call_whose_opening_packet_is_lost_fails_before_its_timeout() {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind(([127, 0, 0, 1], 0).into()).unwrap();
    let listener = socket.listen(0).unwrap();
    let address = listener.local_addr().unwrap();
    // Nobody accepts these, and the packets of further ones are dropped.
    let waiting: Vec<_> = (0..4)
        .map(|_| tokio::spawn(TcpStream::connect(address)))
        .collect();
    tokio::time::sleep(Duration::from_millis(100)).await;
    let started = Instant::now();
    let call = Call::get(address, "/api/kv-watch", Duration::from_secs(10));
    expect_that!(send(&call).await.is_err(), eq(true));
    expect_that!(started.elapsed(), lt(Duration::from_secs(2)));
    for connecting in waiting {
        connecting.abort();
    }
}

/// Guards a watch on which nothing arrives any more though its connection stays open: the other VMs
/// tell the VM that its state is old.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_vm_whose_watch_is_silent_learns_of_a_change_from_others() {
    let mut fleet = Fleet::start(3).await;
    fleet
        .store
        .set_mode_for(fleet.vms[1].ip.into(), store::Mode::Silent);
    fleet.change_configuration(|configuration| {
        let routes = configuration["Routes"].as_array_mut().unwrap();
        let mut route = routes[0].clone();
        route["PathPrefix"] = json!("/new/");
        routes.push(route);
    });
    let served = || async {
        let answer = request(fleet.vms[1].caller_address(), "/new/x", "n", "key-1").await;
        status(&answer) == 200
    };
    within(
        "the change is in force at the VM with the silent watch",
        MAX_APPLY_DELAY,
        served,
    )
    .await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_endpoint_gets_nothing_after_a_moment() {
    let fleet = Fleet::start(2).await;
    let draining = fleet
        .backends
        .iter()
        .position(|backend| backend.service == "plain");
    let draining = draining.unwrap();
    fleet.list_backend(draining, "draining");
    tokio::time::sleep(MAX_DRAIN_DELAY).await;
    let before = fleet.backends[draining].received().len();
    for number in 0..20 {
        let vm = fleet.vms[number % 2].caller_address();
        let answer = request(vm, "/look/x", &format!("r-{number}"), "key-1").await;
        expect_that!(status(&answer), eq(200));
    }
    expect_that!(fleet.backends[draining].received().len(), eq(before));
    // An evacuated data centre gets no requests, and serves again once the evacuation ends.
    fleet.list_backend(draining, "ready");
    fleet.store.put("op/evacuate/a", &json!({}));
    tokio::time::sleep(MAX_DRAIN_DELAY).await;
    let answer = request(fleet.vms[0].caller_address(), "/look/x", "r-99", "key-1").await;
    expect_that!(status(&answer), eq(200));
    expect_that!(fleet.backends[draining].received().len(), eq(before));
    fleet.store.delete("op/evacuate/a");
    let vm = fleet.vms[0].caller_address();
    eventually("the data centre serves again", || async {
        request(vm, "/look/x", "again", "key-1").await;
        fleet.backends[draining].received().len() > before
    })
    .await;
}

/// What happens to the store before an endpoint's entry is removed.
#[derive(Debug, Clone, Copy)]
enum StoreStep {
    CutWatches,
    Mode(store::Mode),
    WaitMs(u64),
}

/// Guards against requests to endpoints that left: a cut watch was taken for an outage of the store, and the end
/// of an outage was noticed only when a watch had waited, so that removed entries were kept for too long.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_removed_endpoint_gets_nothing_while_the_store_is_sound() {
    use StoreStep::{CutWatches, Mode, WaitMs};
    struct Case {
        name: &'static str,
        steps: &'static [StoreStep],
    }
    let cases = [
        Case {
            name: "a cut",
            steps: &[CutWatches, WaitMs(1_500)],
        },
        Case {
            name: "a cut at the same moment",
            steps: &[WaitMs(1_100), CutWatches],
        },
        Case {
            name: "cuts in series",
            steps: &[
                CutWatches,
                WaitMs(400),
                CutWatches,
                WaitMs(400),
                CutWatches,
                WaitMs(1_200),
            ],
        },
        Case {
            name: "a silent store is back for as long as its return may be noticed",
            steps: &[
                Mode(store::Mode::Silent),
                WaitMs(5_200),
                Mode(store::Mode::Up),
                WaitMs(3_050),
            ],
        },
        Case {
            name: "a busy store is back for as long",
            steps: &[
                Mode(store::Mode::Busy),
                WaitMs(4_000),
                Mode(store::Mode::Up),
                WaitMs(3_050),
            ],
        },
        Case {
            name: "a cut soon after an outage",
            steps: &[
                Mode(store::Mode::Silent),
                WaitMs(4_000),
                Mode(store::Mode::Up),
                WaitMs(1_900),
                CutWatches,
                WaitMs(1_150),
            ],
        },
    ];
    let cases = cases.map(|Case { name, steps }| async move {
        let fleet = Fleet::start(2).await;
        for step in steps {
            match step {
                CutWatches => fleet.store.cut_watches(),
                Mode(mode) => fleet.store.set_mode(*mode),
                WaitMs(ms) => tokio::time::sleep(Duration::from_millis(*ms)).await,
            }
        }
        let leaving = &fleet.backends[0];
        fleet.store.delete(&format!("servers/{}", leaving.id));
        tokio::time::sleep(MAX_DRAIN_DELAY).await;
        let received_before = leaving.received().len();
        for number in 0..40 {
            let vm = fleet.vms[number % 2].caller_address();
            let answer = request(vm, "/look/x", &format!("r-{number}"), "key-1").await;
            expect_that!(status(&answer), eq(200), "{name}");
        }
        expect_that!(leaving.received().len(), eq(received_before), "{name}");
    });
    futures::future::join_all(cases).await;
}

/// Guards against sound endpoints that are dropped after an outage of the store, in which their entries
/// lapsed: they register again within two seconds.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn endpoints_that_register_again_after_an_outage_serve_all_the_while() {
    let cases = [store::Mode::Silent, store::Mode::Busy].map(|mode| async move {
        let fleet = Fleet::start(2).await;
        fleet.store.set_mode(mode);
        tokio::time::sleep(Duration::from_millis(4_500)).await;
        for backend in &fleet.backends {
            fleet.store.delete(&format!("servers/{}", backend.id));
        }
        fleet.store.set_mode(store::Mode::Up);
        let returned = Instant::now();
        let mut number = 0;
        let mut are_listed = false;
        while returned.elapsed() < Duration::from_millis(3_500) {
            if !are_listed && returned.elapsed() >= Duration::from_millis(1_800) {
                (0..fleet.backends.len()).for_each(|backend| fleet.list_backend(backend, "ready"));
                are_listed = true;
            }
            let vm = fleet.vms[number % 2].caller_address();
            let path = ["/look/x", "/pay/x", "/stream/x"][number % 3];
            let answer = request(vm, path, &format!("r-{number}"), "key-1").await;
            expect_that!(
                status(&answer),
                eq(200),
                "{mode:?} {:?}",
                returned.elapsed()
            );
            number += 1;
            tokio::time::sleep(Duration::from_millis(40)).await;
        }
    });
    futures::future::join_all(cases).await;
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
        let vm = fleet.vms[0].caller_address();
        let answer = request(vm, "/look/x", &format!("r-{number}"), "key-1").await;
        expect_that!(status(&answer), eq(200));
    }
}

/// A VM that starts while it cannot reach the store gets configuration and endpoints from other
/// VMs.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn service_goes_on_without_the_store() {
    let mut fleet = Fleet::start(3).await;
    let cut_off = fleet.vms[2].ip;
    fleet
        .store
        .set_mode_for(cut_off.into(), store::Mode::Silent);
    fleet.vms[2].kill();
    fleet.vms[2].start();
    let vm = fleet.vms[2].caller_address();
    eventually("the restarted VM serves requests", || async {
        status(&request(vm, "/look/x", "r-1", "key-1").await) == 200
    })
    .await;
    fleet.store.set_mode(store::Mode::Busy);
    fleet.store.set_mode_for(cut_off.into(), store::Mode::Busy);
    for number in 0..10 {
        let vm = fleet.vms[number % 3].caller_address();
        let answer = request(vm, "/look/x", &format!("r-{number}"), "key-1").await;
        expect_that!(status(&answer), eq(200));
    }
    // A change that was made during the outage arrives after it, also when the store has dropped
    // the history that holds the change.
    fleet.change_configuration(|configuration| {
        configuration["Routes"][0]["PathPrefix"] = json!("/new/")
    });
    fleet.store.compact();
    fleet.store.set_mode(store::Mode::Up);
    fleet.store.set_mode_for(cut_off.into(), store::Mode::Up);
    for vm in &fleet.vms {
        let vm = vm.caller_address();
        let applied = || async { status(&request(vm, "/new/x", "r", "key-1").await) == 200 };
        within(
            "the change made during the outage is in force",
            2 * MAX_APPLY_DELAY,
            applied,
        )
        .await;
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn the_directory_drops_a_dead_vm_and_names_it_again() {
    let mut fleet = Fleet::start(4).await;
    let killed = fleet.vms[1].caller_address();
    fleet.vms[1].kill();
    let vm = &fleet.vms[0];
    within(
        "the directory no longer names the killed VM",
        MAX_REMOVAL_DELAY,
        || async { !vm.addresses("nowhere").await.contains(&killed) },
    )
    .await;
    fleet.vms[1].start();
    fleet.wait_until_ready().await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_cuts_no_request() {
    let mut fleet = Fleet::start(3).await;
    for backend in &fleet.backends {
        backend.set_work_time(Duration::from_millis(150));
    }
    let vm = fleet.vms[0].caller_address();
    let mut running = tokio::task::JoinSet::new();
    for number in 0..20 {
        let path = ["/look/x", "/pay/x", "/stream/x"][number % 3];
        running.spawn(async move { request(vm, path, &format!("r-{number}"), "key-1").await });
    }
    tokio::time::sleep(Duration::from_millis(60)).await;
    fleet.vms[0].signal(Signal::TERM);
    let stopping = &fleet.vms[0];
    within(
        "the stopping VM is not ready",
        Duration::from_secs(1),
        || async { !stopping.is_ready().await },
    )
    .await;
    let other = &fleet.vms[1];
    within(
        "the directory no longer names the stopping VM",
        Duration::from_secs(1),
        || async { !other.addresses("nowhere").await.contains(&vm) },
    )
    .await;
    while let Some(answer) = running.join_next().await {
        let answer = answer.unwrap().unwrap();
        expect_that!(answer.status, eq(200));
        expect_that!(answer.is_complete, eq(true));
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
    request(fleet.vms[0].caller_address(), "/look/x", "r-1", "key-1").await;
    let address = (fleet.vms[0].ip, 7742).into();
    let call = primrosewalk::http::Call::get(address, "/metrics", Duration::from_secs(2));
    let (_, body) = primrosewalk::http::fetch(&call, Duration::from_secs(2))
        .await
        .unwrap();
    let text = String::from_utf8_lossy(&body).into_owned();
    expect_that!(text, contains_substring("primrosewalk_requests_total"));
    expect_that!(text, contains_substring("primrosewalk_request_seconds"));
}

/// Guards against a VM that is ended by the signal that its settings have changed while it reads them
/// at its start.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_vm_that_is_starting_survives_the_signal_to_reload() {
    let mut fleet = Fleet::prepare(1).await;
    let path = fleet.vms[0].settings.clone();
    let settings = std::fs::read_to_string(&path).unwrap();
    let changed_settings = path.with_extension("changed");
    std::fs::rename(&path, &changed_settings).unwrap();
    mkfifoat(CWD, &path, Mode::from_raw_mode(0o600)).unwrap();
    fleet.vms[0].start();
    // A pipe can be opened for writing once the VM has opened it to read its settings.
    let mut sender = None;
    eventually("the VM reads its settings", || {
        sender = pipe::OpenOptions::new().open_sender(&path).ok();
        std::future::ready(sender.is_some())
    })
    .await;
    std::fs::rename(&changed_settings, &path).unwrap();
    fleet.vms[0].signal(Signal::HUP);
    let mut sender = sender.unwrap();
    sender.write_all(settings.as_bytes()).await.unwrap();
    drop(sender);
    fleet.wait_until_ready().await;
    eventually("the changed settings are read", || async {
        fleet.vms[0].log().contains("settings: reloaded")
    })
    .await;
}

/// An idle VM makes at most 6 calls to the store in 6 s.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_idle_vm_asks_the_store_less_than_once_a_second() {
    let fleet = Fleet::start(1).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    let before = fleet.store.call_count();
    tokio::time::sleep(Duration::from_secs(6)).await;
    expect_that!(fleet.store.call_count() - before, le(6));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_new_endpoint_is_used() {
    let mut fleet = Fleet::start(1).await;
    let added = fleet.add_backend("plain", Kind::Plain).await;
    let vm = fleet.vms[0].caller_address();
    let mut number = 0;
    let deadline = tokio::time::Instant::now() + Duration::from_secs(10);
    while fleet.backends[added].received().is_empty() {
        number += 1;
        let tasks = (0..6).map(|n| {
            let id = format!("r-{number}-{n}");
            async move { request(vm, "/look/x", &id, "key-1").await }
        });
        futures::future::join_all(tasks).await;
        assert!(
            tokio::time::Instant::now() < deadline,
            "the new endpoint got no request within 10 s"
        );
    }
}

/// Routes with the services that their requests reach.
const ROUTES: [(&str, &str); 4] = [
    ("/look/x", "plain"),
    ("/pay/x", "plain"),
    ("/once-stream/x", "lm"),
    ("/stream/x", "first"),
];

/// Returns the number of calls that an endpoint has received.
fn calls(endpoint: &Backend) -> usize {
    endpoint.received().len()
}

/// Sends requests of a route one after the other until `endpoint` has received a call.
async fn reach(fleet: &Fleet, path: &str, endpoint: &Backend) {
    let vm = fleet.vms[0].caller_address();
    let mut number = 0;
    let before = calls(endpoint);
    eventually("the endpoint is reached", || {
        number += 1;
        let id = format!("reach-{number}");
        async move {
            request(vm, path, &id, "key-1").await;
            calls(endpoint) > before
        }
    })
    .await;
}

/// Guards against requests to an endpoint that has said in an answer that it leaves, whatever the store
/// says: its entry may come late, or the VM may be out of touch with the store.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_endpoint_that_says_that_it_leaves_gets_nothing_more() {
    for (path, service) in ROUTES {
        let mut fleet = Fleet::start(1).await;
        if service == "first" {
            fleet.add_backend("first", Kind::Stage).await;
            tokio::time::sleep(Duration::from_secs(1)).await;
        }
        let leaving = fleet.backends_of(service).next().unwrap();
        leaving.add_header("Server-Leaving", "1");
        fleet.store.set_mode(store::Mode::Silent);
        reach(&fleet, path, leaving).await;
        let before = calls(leaving);
        for number in 0..30 {
            let vm = fleet.vms[0].caller_address();
            let answer = request(vm, path, &format!("r-{number}"), "key-1").await;
            expect_that!(status(&answer), eq(200), "{path}");
        }
        expect_that!(calls(leaving), eq(before), "{path}");
    }
}

/// Guards an endpoint that refuses with a time (503 with `Retry-After`) against calls before that time:
/// requests, retries, streams, stage calls, and calls about the memory for results.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_endpoint_that_names_a_time_gets_nothing_until_then() {
    for (path, service) in ROUTES {
        let mut fleet = Fleet::start(1).await;
        if service == "first" {
            fleet.add_backend("first", Kind::Stage).await;
            tokio::time::sleep(Duration::from_secs(1)).await;
        }
        let full = fleet.backends_of(service).next().unwrap();
        let pause = Duration::from_secs(3);
        full.set_fault(Fault::Full);
        full.add_header("Retry-After", "3");
        reach(&fleet, path, full).await;
        let refused_at = full.received().last().unwrap().at;
        full.set_fault(Fault::None);
        full.remove_headers();
        while refused_at.elapsed() < pause - Duration::from_millis(100) {
            let vm = fleet.vms[0].caller_address();
            let sent = (0..3).map(|number| async move {
                let id = format!("r-{}-{number}", refused_at.elapsed().as_millis());
                request(vm, path, &id, "key-1").await
            });
            for answer in futures::future::join_all(sent).await {
                expect_that!(status(&answer), eq(200), "{path}");
            }
        }
        let early = full.received().into_iter().filter(|call| {
            let after = call.at.saturating_duration_since(refused_at);
            after > Duration::from_millis(500) && after < pause
        });
        expect_that!(early.count(), eq(0), "{path}");
        reach(&fleet, path, full).await;
    }
}

/// A request that no endpoint takes now is refused at once, with the time at which one takes requests
/// again.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn callers_are_told_when_a_paused_service_takes_requests_again() {
    for (path, service) in [("/look/x", "plain"), ("/once-stream/x", "lm")] {
        let fleet = Fleet::start(1).await;
        for endpoint in fleet.backends_of(service) {
            endpoint.set_fault(Fault::Full);
            endpoint.add_header("Retry-After", "2.5");
        }
        let vm = fleet.vms[0].caller_address();
        request(vm, path, "r-1", "key-1").await.unwrap();
        let answer = request(vm, path, "r-2", "key-1").await.unwrap();
        expect_that!(answer.status, eq(503), "{path}");
        expect_that!(answer.retry_after_s.unwrap(), gt(1.5), "{path}");
        expect_that!(answer.retry_after_s.unwrap(), le(2.5), "{path}");
    }
}
