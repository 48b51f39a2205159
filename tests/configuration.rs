//! Tests that a new configuration reaches every VM in time and never reverts to an older version,
//! and that withdrawn API keys stop working (P4, P11).

mod support;

use std::time::{Duration, Instant};

use googletest::prelude::*;
use primrosewalk::manifest::ApiKeyDigest;
use serde_json::{Value, json};
use support::{Fleet, Plan};

/// Longest time until an accepted configuration is in force at every VM.
const CONFIGURATION_LIMIT: Duration = Duration::from_secs(11);
/// Longest time until a withdrawn API key stops working.
const KEY_WITHDRAWAL_LIMIT: Duration = Duration::from_secs(5);

/// Withdraws the API key of an organisation by replacing it with another one.
fn withdraw_key(manifest: &mut Value, organisation: &str) {
    let organisations = manifest["organisations"].as_array_mut().unwrap();
    let found = organisations
        .iter_mut()
        .find(|item| item["name"] == organisation);
    found.unwrap()["key_digests"] = json!([ApiKeyDigest::of_key("a newer key").to_string()]);
}

fn has_version(version: u64) -> impl Fn(&Value) -> bool {
    move |status| status["manifest_version"] == json!(version)
}

/// Guards P11 for a VM that cannot read the platform: it gets the new version from its peers.
#[gtest]
#[tokio::test]
async fn a_vm_without_the_platform_gets_a_new_version_from_its_peers() {
    let mut fleet = Fleet::start(&Plan::default()).await;
    fleet.control_platform(2, "/control/stop").await;
    let version = fleet.publish(|manifest| withdraw_key(manifest, "org-1"));
    let published = Instant::now();
    for vm in 0..3 {
        fleet
            .wait_status(vm, "at the new version", has_version(version))
            .await;
    }
    expect_that!(published.elapsed(), lt(CONFIGURATION_LIMIT));
    let caller = fleet.caller("org-1");
    let answer = caller
        .send(fleet.vms[2].caller, "answer", &[], &json!({}))
        .await
        .unwrap();
    expect_that!(
        (answer.code(), answer.outcome()),
        eq(("unknown_key", "not_run"))
    );
}

/// Guards P11 against a stale platform: a VM that restarts while its platform serves an old version
/// takes the new version from its peers and never reverts.
#[gtest]
#[tokio::test]
async fn a_restarted_vm_with_a_stale_platform_does_not_go_back() {
    let mut fleet = Fleet::start(&Plan::default()).await;
    let version = fleet.publish(|manifest| withdraw_key(manifest, "org-1"));
    for vm in 0..3 {
        fleet
            .wait_status(vm, "at the new version", has_version(version))
            .await;
    }
    fleet.control_platform(2, "/control/stale?version=1").await;
    fleet.kill(2);
    fleet.start_vm(2);
    fleet
        .wait_status(2, "at the new version", has_version(version))
        .await;
    let end = Instant::now() + KEY_WITHDRAWAL_LIMIT;
    while Instant::now() < end {
        let status = fleet.status(2).await.unwrap();
        assert_that!(status["manifest_version"], eq(&json!(version)));
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

/// Guards P4: a running request ends with `key_withdrawn` within 5 s after its key is withdrawn.
#[gtest]
#[tokio::test]
async fn a_withdrawn_key_ends_a_running_stream() {
    let plan = Plan {
        fleet_flags: vec!["--deadline-ms", "30000"],
        endpoint_flags: vec!["--tokens", "400", "--token-ms", "50"],
        ..Plan::default()
    };
    let mut fleet = Fleet::start(&plan).await;
    fleet.control_platform(0, "/control/stop").await;
    let caller = fleet.caller("org-1");
    let address = fleet.vms[0].caller;
    let running =
        tokio::spawn(async move { caller.send(address, "answer", &[], &json!({})).await });
    let runs_one = |status: &Value| status["running_requests"] == 1;
    fleet.wait_status(0, "running a request", runs_one).await;
    fleet.publish(|manifest| withdraw_key(manifest, "org-1"));
    let published = Instant::now();
    let answer = running.await.unwrap().unwrap();
    expect_that!(published.elapsed(), lt(KEY_WITHDRAWAL_LIMIT));
    expect_that!(answer.code(), eq("key_withdrawn"), "{answer:?}");
}

/// Guards against refusals while the platform is down for all VMs. Requests with an API key are
/// served after the last confirmation by the platform has expired, because each VM holds its
/// lease from a majority.
#[gtest]
#[tokio::test]
async fn a_platform_outage_stops_nothing() {
    let fleet = Fleet::start(&Plan::default()).await;
    for vm in 0..3 {
        fleet.control_platform(vm, "/control/stop").await;
    }
    tokio::time::sleep(Duration::from_secs(6)).await;
    for vm in &fleet.vms {
        let caller = fleet.caller("org-0");
        let answer = caller
            .send(vm.caller, "answer", &[], &json!({}))
            .await
            .unwrap();
        expect_that!(answer.is_complete(), eq(true), "{}: {answer:?}", vm.id);
    }
}

/// Guards P4 at a VM that is cut off from the platform and from its peers: requests with an API key
/// are refused as not run. Pipelines that need no key go on as long as the VM can get rate tokens
/// for them.
#[gtest]
#[tokio::test]
async fn an_isolated_vm_refuses_requests_with_keys() {
    let plan = Plan {
        proxied_peers: true,
        ..Plan::default()
    };
    let fleet = Fleet::start(&plan).await;
    fleet.control_platform(2, "/control/stop").await;
    fleet.control_links_of_vm(2, "cut").await;
    let has_stale_keys = |status: &Value| status["keys_fresh"] == false;
    let elapsed = fleet
        .wait_status(2, "refusing API keys", has_stale_keys)
        .await;
    expect_that!(elapsed, lt(KEY_WITHDRAWAL_LIMIT));
    let caller = fleet.caller("org-0");
    let answer = caller
        .send(fleet.vms[2].caller, "answer", &[], &json!({}))
        .await
        .unwrap();
    expect_that!(
        (answer.code(), answer.outcome()),
        eq(("stale_configuration", "not_run"))
    );
    fleet.control_links_of_vm(2, "pass").await;
    fleet.wait_for_lease(2).await;
}

/// Guards against applying any part of an invalid manifest, and against refusing the valid manifest
/// that follows it.
#[gtest]
#[tokio::test]
async fn a_bad_manifest_is_refused_whole() {
    let mut fleet = Fleet::start(&Plan::default()).await;
    let valid = fleet.manifest.clone();
    fleet.publish(|manifest| manifest["pipelines"][0]["deadline_ms"] = json!(0));
    tokio::time::sleep(Duration::from_secs(1)).await;
    let status = fleet.status(0).await.unwrap();
    expect_that!(status["manifest_version"], eq(&json!(1)));
    expect_that!(fleet.log(0), contains_substring("deadline_ms"));
    let version = fleet.publish(|manifest| *manifest = valid);
    for vm in 0..3 {
        fleet
            .wait_status(vm, "at the valid version", has_version(version))
            .await;
    }
}
