//! Placement in a fleet of real processes: one owner at a time has models loaded on as many engines
//! as wanted (`docs/design.md`, 3.8).

mod support;

use std::time::{Duration, Instant};

use googletest::prelude::*;
use serde_json::{Value, json};
use support::{Fleet, Plan, START_LIMIT, get_json};

fn add_model(manifest: &mut Value, model: &str, wanted_engines: u32) {
    let models = manifest["models"].as_array_mut().unwrap();
    models.push(json!({ "name": model, "wanted_engines": wanted_engines }));
    for endpoint in manifest["endpoints"].as_array_mut().unwrap() {
        if endpoint["kind"] == "generate" {
            endpoint["models"]
                .as_array_mut()
                .unwrap()
                .push(json!(model));
        }
    }
}

/// Waits until exactly `wanted` engines have a model loaded, and returns the orders that each engine
/// has received.
async fn wait_loaded(fleet: &Fleet, model: &str, wanted: usize) -> Vec<Value> {
    let end = Instant::now() + START_LIMIT;
    loop {
        let mut loaded_engines = 0;
        let mut orders = Vec::new();
        for engine in fleet.service("engine") {
            let load = get_json(engine.address, "/load").await.unwrap();
            loaded_engines +=
                usize::from(load["models"].as_array().unwrap().contains(&json!(model)));
            let ledger = get_json(engine.address, "/ledger").await.unwrap();
            orders.push(ledger["orders"].clone());
        }
        if loaded_engines == wanted {
            return orders;
        }
        assert!(
            Instant::now() < end,
            "{loaded_engines} engines instead of {wanted} have {model} loaded: {orders:?}"
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

fn has_ordered_loads(fleet: &Fleet, vm: usize) -> bool {
    fleet.log(vm).contains("placement: load")
}

/// Guards against orders that are lost or issued twice when the placement owner dies, and against
/// fencing numbers that fall when a new owner takes over.
#[gtest]
#[tokio::test]
async fn a_model_is_loaded_where_wanted_also_after_the_owner_died() {
    let plan = Plan {
        fleet_flags: vec!["--checks-fencing"],
        endpoint_flags: vec!["--load-model-ms", "4000"],
        ..Plan::default()
    };
    let mut fleet = Fleet::start(&plan).await;
    fleet.publish(|manifest| add_model(manifest, "model-1", 2));
    wait_loaded(&fleet, "model-1", 2).await;
    let owners: Vec<usize> = (0..3).filter(|vm| has_ordered_loads(&fleet, *vm)).collect();
    assert_that!(owners.len(), eq(1));
    fleet.kill(owners[0]);
    fleet.publish(|manifest| add_model(manifest, "model-2", 3));
    let orders = wait_loaded(&fleet, "model-2", 3).await;
    for engine in &orders {
        let orders_of_engine = engine.as_array().unwrap();
        let numbers: Vec<_> = orders_of_engine
            .iter()
            .map(|order| order["fencing"].to_string())
            .collect();
        expect_that!(
            orders_of_engine
                .iter()
                .all(|order| order["accepted"] == true),
            eq(true),
            "{numbers:?}"
        );
        for model in ["model-1", "model-2"] {
            let loads = orders_of_engine
                .iter()
                .filter(|order| order["model"] == model);
            expect_that!(loads.count(), le(1), "{model}");
        }
    }
}
