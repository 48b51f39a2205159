//! Test of the complete request path through real processes.

mod support;

use std::collections::HashSet;

use googletest::prelude::*;
use primrosewalk::manifest::part_digest;
use serde_json::{Value, json};
use support::{Fleet, Plan};

/// Computes the output of the pipeline `answer`. Each stand-in answers with the digest of its
/// input, and that answer is the input of the next stage.
fn expected_output(input: &Value, request_id: &Value) -> Value {
    let stages = ["encoder", "retriever", "reranker", "engine"];
    stages.iter().fold(input.clone(), |input, stage| {
        let digest = part_digest(input.to_string().as_bytes());
        json!({ "request_id": request_id, "stage": stage, "input_sha256": digest })
    })
}

/// Guards P1 and P6: every VM serves every organisation, each answer is complete and belongs to its
/// own request, and no endpoint receives an API key.
#[gtest]
#[tokio::test]
async fn every_vm_serves_every_organisation_with_its_own_answers() {
    let plan = Plan {
        vms: 6,
        fleet_flags: vec!["--data-centres", "3", "--organisations", "2"],
        endpoint_flags: vec!["--forbidden", "key-org-0-1", "--forbidden", "key-org-1-1"],
        ..Plan::default()
    };
    let fleet = Fleet::start(&plan).await;
    let mut requests = Vec::new();
    for vm in &fleet.vms {
        for organisation in ["org-0", "org-1"] {
            let caller = fleet.caller(organisation);
            for number in 0..3 {
                let (caller, address, vm) = (caller.clone(), vm.caller, vm.id.clone());
                let input = json!({ "question": format!("{vm} {organisation} {number}") });
                requests.push(tokio::spawn(async move {
                    (caller.send(address, "answer", &[], &input).await, input)
                }));
            }
        }
    }
    let mut ids = HashSet::new();
    for request in requests {
        let (answer, input) = request.await.unwrap();
        let answer = answer.unwrap();
        assert_that!(answer.is_complete(), eq(true), "{answer:?}");
        expect_that!(answer.body["stages"].as_array().unwrap().len(), eq(4));
        expect_that!(
            answer.body["output"]["request_id"],
            eq(&answer.body["request_id"])
        );
        expect_that!(ids.insert(answer.body["request_id"].to_string()), eq(true));
        let encoder_runs = fleet.runs("encoder").await;
        let id = &answer.body["request_id"];
        expect_that!(
            encoder_runs
                .iter()
                .filter(|run| run["request_id"] == *id)
                .count(),
            eq(1)
        );
        expect_that!(answer.body["output"], eq(&expected_output(&input, id)));
    }
    for endpoint in &fleet.endpoints {
        let ledger = support::get_json(endpoint.address, "/ledger")
            .await
            .unwrap();
        expect_that!(ledger["key_sightings"], eq(&json!({})), "{}", endpoint.name);
    }
}
