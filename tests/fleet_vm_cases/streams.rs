//! Streams: their stages, results and engines, also while VMs are killed.

use std::time::Duration;

use googletest::prelude::*;
use serde_json::json;

use crate::status;
use crate::users_platform::backend::{Backend, EVENTS, Fault, Kind};
use crate::users_platform::caller::request;
use crate::users_platform::{DATA_CENTRES, Fleet, eventually};

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
