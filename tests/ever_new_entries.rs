//! Guards VMs against a writer whose entries are valid, come under ever new names and go again.

mod users_platform;

use googletest::prelude::*;
use serde_json::json;
use users_platform::caller::request;
use users_platform::{Fleet, Vm, eventually};

const VMS: usize = 2;
/// Entries that come and go together.
const BATCH: usize = 1_000;
/// Batches until the logs and caches of a VM are full, which hold recent changes.
const FIRST_BATCHES: usize = 4;
const BATCHES: usize = 10;
/// Memory that a name may take after its entry is gone. An entry in use takes several times as much.
const MAX_BYTES_PER_NAME: usize = 100;

/// Writes entries and removes them again, and waits until all VMs have seen that.
async fn write_batch(fleet: &mut Fleet, batch: usize) {
    let entry = json!({
        "Service": "other", "Address": "127.0.0.1:9", "Zone": "a", "Version": "v1", "Slots": 6, "State": "ready",
        "ColdRemainingMs": 0, "Sequence": 1, "born": 1_000
    });
    let keys: Vec<String> = (0..BATCH)
        .map(|number| format!("servers/other-{batch:0>20}-{number:0>20}"))
        .collect();
    keys.iter().for_each(|key| fleet.store.put(key, &entry));
    wait_for_version(fleet).await;
    keys.iter().for_each(|key| fleet.store.delete(key));
    wait_for_version(fleet).await;
}

/// Publishes a version with a route of its own, and waits until all VMs serve it. They have all changes before it then.
async fn wait_for_version(fleet: &mut Fleet) {
    let path = format!("/version-{}/x", fleet.store.revision());
    fleet.change_configuration(|configuration| {
        let routes = configuration["Routes"].as_array_mut().unwrap();
        let mut route = routes[0].clone();
        route["PathPrefix"] = json!(path.trim_end_matches('x'));
        routes.retain(|route| {
            let prefix = route["PathPrefix"].as_str();
            prefix.is_some_and(|prefix| !prefix.starts_with("/version-"))
        });
        routes.push(route);
    });
    for vm in &fleet.vms {
        eventually("the version is in force", || async {
            let answer = request(vm.caller_address(), &path, "r-1", "key-1").await;
            answer.is_some_and(|answer| answer.status == 200)
        })
        .await;
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn names_of_entries_that_are_gone_take_no_memory() {
    let mut fleet = Fleet::start(VMS).await;
    let mut before = Vec::new();
    for batch in 0..FIRST_BATCHES + BATCHES {
        write_batch(&mut fleet, batch).await;
        if batch + 1 == FIRST_BATCHES {
            before = fleet.vms.iter().map(Vm::memory_bytes).collect();
        }
    }
    for (vm, before) in fleet.vms.iter().zip(before) {
        let grown = vm.memory_bytes().saturating_sub(before);
        expect_that!(
            grown,
            le(BATCHES * BATCH * MAX_BYTES_PER_NAME),
            "{}",
            vm.name
        );
    }
}
