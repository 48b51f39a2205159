//! Tests of the operator interface.

use googletest::prelude::*;

use crate::traffic_fixture::endpoint::{FakeEndpoint, OK};
use crate::traffic_fixture::*;

/// Operators must be able to read the VM's status and the decisions that were made for a
/// request.
#[gtest]
#[tokio::test]
async fn operators_read_status_and_decisions() {
    let vm = Vm::start(Setup::new(vec![(
        "first",
        FakeEndpoint::start(&[OK]).await,
    )]))
    .await;
    let address = send(vm.caller, "GET", "/v1/address", WITH_KEY, "")
        .await
        .json();
    let id = address["request_id"].as_str().unwrap();
    let expected_address = vm.caller.to_string();
    expect_that!(
        address["address"].as_str(),
        some(eq(expected_address.as_str()))
    );
    let reply = run(&vm, "simple", &[("x-request-id", id)], "{}").await;
    expect_that!(reply.status, eq(200));
    let status = vm.status().await;
    expect_that!(
        status.manifest_version.map(|version| version.0),
        some(eq(7))
    );
    expect_that!(status.endpoints.len(), eq(1));
    expect_that!(status.endpoints[0].granted_slots, eq(4));
    expect_that!(status.organisations[0].admitted, eq(1));
    let lines = vm
        .operator_json(&format!("/v1/explain/{id}"))
        .await
        .to_string();
    for part in [
        "quota: admitted",
        "routing: chose first-0",
        "once: request ended",
    ] {
        expect_that!(lines, contains_substring(part));
    }
    expect_that!(lines.contains(API_KEY), eq(false));
    let decisions = vm.operator_json("/v1/decisions").await;
    let last = decisions.as_array().unwrap().last().unwrap()["sequence"]
        .as_u64()
        .unwrap();
    let after_last = vm
        .operator_json(&format!("/v1/decisions?after={last}"))
        .await;
    expect_that!(after_last.as_array().map(Vec::len), some(eq(0)));
    let ready = send(vm.operator, "GET", "/readyz", &[], "").await;
    expect_that!(ready.status, eq(200));
}

/// Guards against names that are compared as they stand in a path or query, where a caller may escape any character.
#[gtest]
#[tokio::test]
async fn escaped_paths_and_queries_are_decoded() {
    let first = FakeEndpoint::start(&[OK]).await;
    let vm = Vm::start(Setup::new(vec![("first", first)])).await;
    let reply = run(&vm, "simpl%65", &[], "{}").await;
    expect_that!(reply.status, eq(200));
    let unknown = run(&vm, "simple%2Fx", &[], "{}").await;
    expect_that!(unknown.status, eq(404));
    let id = reply.json()["request_id"].as_str().unwrap().to_owned();
    let path = format!("/v1/explain/{}", id.replace('.', "%2E"));
    let lines = vm.operator_json(&path).await.to_string();
    expect_that!(lines, contains_substring("quota: admitted"));
    let decisions = vm.operator_json("/v1/decisions").await;
    let last = &decisions.as_array().unwrap().last().unwrap()["sequence"];
    let path = format!("/v1/decisions?%61fter={last}");
    let later = vm.operator_json(&path).await;
    expect_that!(later.as_array().map(Vec::len), some(eq(0)));
}
