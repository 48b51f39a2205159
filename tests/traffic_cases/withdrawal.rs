//! Tests of withdrawn API keys, planned stops and data centres in the state `out`.

use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use primrosewalk::blackboard::Catalogue;
use primrosewalk::manifest::DataCentreState;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

use crate::traffic_fixture::endpoint::{FakeEndpoint, OK, Step};
use crate::traffic_fixture::*;

/// A running stream must end when its API key is withdrawn (P4).
#[gtest]
#[tokio::test]
async fn withdrawn_key_ends_a_running_stream() {
    let engine = FakeEndpoint::start(&[Step::WaitStream(&["one"])]).await;
    let endpoints = vec![("engine", engine.clone())];
    let vm = Vm::start(Setup::new(endpoints.clone())).await;
    let response = stream(&vm, "chat").await;
    expect_that!(response.status().as_u16(), eq(200));
    let catalogue = Arc::new(manifest(&endpoints, &[("depot", OTHER_API_KEY)]));
    vm.publish(|snapshot| snapshot.catalogue = Some(catalogue));
    // P4 allows at most five seconds.
    let body = tokio::time::timeout(Duration::from_secs(5), read_body(response)).await;
    let (text, last, data) = read_events(&body.expect("the stream did not end within 5 s"));
    expect_that!(text, eq("one"));
    expect_that!(last, eq("error"));
    expect_that!(data["error"]["code"].as_str(), some(eq("key_withdrawn")));
    expect_that!(data["error"]["outcome"].as_str(), some(eq("unknown")));
    engine.closed_early().await;
    let again = run(&vm, "chat", &[], "{}").await;
    expect_that!(again.refusal(), eq("401 unknown_key not_run"));
}

/// A persistent connection must be closed when the API key that was used on it is withdrawn (P4).
#[gtest]
#[tokio::test]
async fn withdrawn_key_closes_a_persistent_connection() {
    let endpoints = vec![("first", FakeEndpoint::start(&[OK]).await)];
    let vm = Vm::start(Setup::new(endpoints.clone())).await;
    let mut stream = tokio::net::TcpStream::connect(vm.caller).await.unwrap();
    let request = format!(
        "POST /v1/pipelines/simple HTTP/1.1\r\nhost: vm\r\nx-key: {API_KEY}\r\n\
         content-length: 2\r\n\r\n{{}}"
    );
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut answer = vec![0; 4096];
    let length = stream.read(&mut answer).await.unwrap();
    expect_that!(answer[..length].starts_with(b"HTTP/1.1 200"), eq(true));
    let catalogue = Arc::new(manifest(&endpoints, &[("depot", OTHER_API_KEY)]));
    vm.publish(|snapshot| snapshot.catalogue = Some(catalogue));
    // P4 allows at most five seconds.
    let closed = tokio::time::timeout(Duration::from_secs(5), stream.read(&mut answer)).await;
    expect_that!(
        closed
            .expect("the connection was not closed within 5 s")
            .unwrap(),
        eq(0)
    );
}

/// A planned stop must refuse new work with the address of another VM and break off no stream
/// (P10).
#[gtest]
#[tokio::test]
async fn planned_stop_refuses_new_work_and_finishes_streams() {
    let engine = FakeEndpoint::start(&[Step::WaitStream(&["one", " two"])]).await;
    let vm = Vm::start(Setup::new(vec![("engine", engine.clone())])).await;
    let other = "127.0.0.1:9".parse().unwrap();
    let list = vm_list(&[("vm-1", vm.caller), ("vm-2", other)]);
    vm.publish(|snapshot| snapshot.vms = Arc::new(list));
    let id = vm.issue_request_id().await;
    let response = stream(&vm, "chat").await;
    vm.stop.send(true).unwrap();
    let refused = run(&vm, "chat", &[("x-request-id", &id)], "{}").await;
    expect_that!(refused.refusal(), eq("503 stopping not_run"));
    let address = refused.json()["error"]["address"].clone();
    expect_that!(address.as_str(), some(eq("127.0.0.1:9")));
    let ready = send(vm.operator, "GET", "/readyz", &[], "").await;
    expect_that!(ready.status, eq(503));
    engine.release();
    let (text, last, _) = read_events(&read_body(response).await);
    expect_that!((text.as_str(), last.as_str()), eq(("one two", "end")));
    let ended = tokio::time::timeout(TEST_TIMEOUT, vm.server).await;
    expect_that!(ended.is_ok_and(|joined| joined.is_ok()), eq(true));
}

/// Guards against callers that lose their connections at the limit of a planned stop: a request that waits for
/// a slot is refused as not run, and one whose stage is in flight as unknown, before the limit.
#[gtest]
#[tokio::test]
async fn requests_that_outlast_a_planned_stop_are_refused_before_its_limit() {
    const DRAIN_LIMIT: Duration = Duration::from_millis(1_500);
    struct Case {
        pipeline: &'static str,
        step: Step,
        granted_slots: u32,
        refusal: &'static str,
    }
    let cases = [
        Case {
            pipeline: "simple",
            step: Step::Wait("{}"),
            granted_slots: 0,
            refusal: "503 stopping not_run",
        },
        Case {
            pipeline: "simple",
            step: Step::Wait("{}"),
            granted_slots: 4,
            refusal: "503 stopping unknown",
        },
    ];
    for case in cases {
        let endpoint = FakeEndpoint::start(&[case.step]).await;
        let mut setup = Setup::new(vec![("first", endpoint)]);
        setup.granted_slots = case.granted_slots;
        setup.config.drain_limit = DRAIN_LIMIT;
        let vm = Vm::start(setup).await;
        let stop = vm.stop.clone();
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(200)).await;
            let _ = stop.send(true);
        });
        let reply = run(&vm, case.pipeline, &[], "{}");
        let reply = tokio::time::timeout(Duration::from_millis(200) + DRAIN_LIMIT, reply).await;
        let refusal = reply.map(|reply| reply.refusal());
        expect_that!(
            refusal,
            ok(eq(case.refusal)),
            "{} slots",
            case.granted_slots
        );
    }
}

/// A VM in a data centre in the state `out` must refuse new work and name the address of a VM in
/// another data centre (P3).
#[gtest]
#[tokio::test]
async fn vm_of_a_data_centre_that_is_out_refuses_new_work() {
    let first = FakeEndpoint::start(&[OK]).await;
    let endpoints = vec![("first", first.clone()), ("first", first.clone())];
    let mut setup = Setup::new(endpoints.clone());
    setup.config.data_centre_out_grace = Duration::ZERO;
    let vm = Vm::start(setup).await;
    let mut document = manifest(&endpoints, ORGANISATION_API_KEYS).manifest;
    document.data_centres[0].state = DataCentreState::Out;
    let other = "127.0.0.1:9".parse().unwrap();
    let mut list = vm_list(&[("vm-1", vm.caller), ("vm-2", other)]);
    list.vms[1].data_centre = "dc-1".parse().unwrap();
    vm.publish(|snapshot| {
        snapshot.catalogue = Some(Arc::new(Catalogue::new(document)));
        snapshot.vms = Arc::new(list);
    });
    let refused = || async { run(&vm, "simple", &[], "{}").await.status == 503 };
    wait_until(refused).await;
    let reply = run(&vm, "simple", &[], "{}").await;
    expect_that!(reply.refusal(), eq("503 stopping not_run"));
    let address = reply.json()["error"]["address"].clone();
    expect_that!(address.as_str(), some(eq("127.0.0.1:9")));
}
