//! Guards VMs against a writer whose entries are valid, come under ever new names and go again.

mod users_platform;

use futures::future::join_all;
use googletest::prelude::*;
use serde_json::json;
use users_platform::caller::request;
use users_platform::{Fleet, eventually};

const VMS: usize = 2;
/// Lines of metrics that may be new: those of events that happen only now and then.
const MAX_NEW_LINES: usize = 100;
/// Entries that come and go together.
const BATCH: usize = 1_000;
/// Batches until the logs and caches of a VM are full, which hold recent changes.
const FIRST_BATCHES: usize = 6;
const BATCHES: usize = 20;
/// Memory that a name may take after its entry is gone. An entry in use takes several times as much.
const MAX_BYTES_PER_NAME: usize = 100;

/// Which names of the entries are new.
struct Case {
    name: &'static str,
    /// Service and data centre of the entry with an id.
    place: fn(&str) -> (&str, &str),
}

const CASES: [Case; 4] = [
    Case {
        name: "ids of an unknown service",
        place: |_| ("other", "a"),
    },
    Case {
        name: "ids of a stage service",
        place: |_| ("first", "a"),
    },
    Case {
        name: "services",
        place: |id| (id, "a"),
    },
    Case {
        name: "data centres of a stage service",
        place: |id| ("first", id),
    },
];

/// Writes entries and removes them again, and waits until all VMs have seen that.
async fn write_batch(fleet: &mut Fleet, case: &Case, batch: usize) {
    let ids: Vec<String> = (0..BATCH)
        .map(|number| format!("other-{batch:0>20}-{number:0>20}"))
        .collect();
    for id in &ids {
        let (service, data_centre) = (case.place)(id);
        let entry = json!({
            "Service": service, "Address": "127.0.0.1:9", "Zone": data_centre, "Version": "v1", "Slots": 6,
            "State": "ready", "ColdRemainingMs": 0, "Sequence": 1, "born": 1_000
        });
        fleet.store.put(&format!("servers/{id}"), &entry);
    }
    wait_for_version(fleet).await;
    ids.iter()
        .for_each(|id| fleet.store.delete(&format!("servers/{id}")));
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

/// Returns the memory of each VM, and the number of lines of its metrics.
async fn sizes(fleet: &Fleet) -> Vec<(usize, usize)> {
    let vms = fleet
        .vms
        .iter()
        .map(async |vm| (vm.memory_bytes(), vm.metrics().await.lines().count()));
    join_all(vms).await
}

async fn check_case(case: &Case) {
    let mut fleet = Fleet::start(VMS).await;
    for batch in 0..FIRST_BATCHES {
        write_batch(&mut fleet, case, batch).await;
    }
    let before = sizes(&fleet).await;
    for batch in FIRST_BATCHES..FIRST_BATCHES + BATCHES {
        write_batch(&mut fleet, case, batch).await;
    }
    let after = sizes(&fleet).await;
    for ((bytes_before, lines_before), (bytes, lines)) in before.into_iter().zip(after) {
        let grown = bytes.saturating_sub(bytes_before);
        expect_that!(
            grown,
            le(BATCHES * BATCH * MAX_BYTES_PER_NAME),
            "{}",
            case.name
        );
        let new_lines = lines.saturating_sub(lines_before);
        expect_that!(new_lines, le(MAX_NEW_LINES), "{}: metrics", case.name);
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn names_of_entries_that_are_gone_take_no_memory() {
    join_all(CASES.iter().map(check_case)).await;
}
