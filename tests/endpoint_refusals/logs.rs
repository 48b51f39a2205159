//! Guards the people on call: logs and metrics say whose refusal it is.

use std::net::SocketAddr;
use std::time::Duration;

use googletest::prelude::*;
use serde_json::Value;

use crate::users_platform::backend::{Fault, RefusalForm};
use crate::users_platform::{Fleet, eventually};
use crate::{refuse_late, send};

/// Returns the lines that a VM has logged of a request with a message.
fn lines_of(fleet: &Fleet, id: &str, message: &str) -> Vec<Value> {
    let log = fleet.vms[0].log();
    let lines = log
        .lines()
        .filter_map(|line| serde_json::from_str(line).ok());
    lines
        .filter(|line: &Value| line["id"] == id && line["msg"] == message)
        .collect()
}

/// Returns the metrics of the first VM.
async fn metrics(fleet: &Fleet) -> String {
    let address: SocketAddr = (fleet.vms[0].ip, 7742).into();
    let timeout = Duration::from_secs(2);
    let call = primrosewalk::http::Call::get(address, "/metrics", timeout);
    let (_, body) = primrosewalk::http::fetch(&call, timeout).await.unwrap();
    String::from_utf8_lossy(&body).into_owned()
}

/// Guards the people on call against taking a refusal of an endpoint for one of the VM, whose status is the same.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn logs_and_metrics_tell_refusals_of_endpoints_from_those_of_the_vm() {
    struct Case {
        fault: Fault,
        /// Whether the endpoint states that the request has not run; `None` if it does not refuse it.
        states_not_run: Option<bool>,
        /// Whose answer the caller gets, if that does not depend on the status.
        source: Option<&'static str>,
    }
    let cases = [
        Case {
            fault: Fault::None,
            states_not_run: None,
            source: Some("endpoint"),
        },
        Case {
            fault: Fault::Error,
            states_not_run: None,
            source: Some("endpoint"),
        },
        Case {
            fault: Fault::Full,
            states_not_run: Some(true),
            source: Some("vm"),
        },
        Case {
            fault: refuse_late(503, RefusalForm::Signed),
            states_not_run: Some(false),
            source: None,
        },
    ];
    for (number, case) in cases.into_iter().enumerate() {
        let fleet = Fleet::start(1).await;
        for backend in fleet.backends.iter() {
            backend.set_fault(case.fault);
        }
        for path in ["/pay/x", "/once-stream/x"] {
            let id = format!("r-{number}{}", path.replace('/', "-"));
            send(&fleet, path, &id).await;
            // Lines are written behind the answer, in their order.
            eventually("the answer is logged", || async {
                !lines_of(&fleet, &id, "request: answered").is_empty()
            })
            .await;
            let refusals = lines_of(&fleet, &id, "request: an endpoint refused it");
            let stated: Vec<_> = refusals
                .iter()
                .map(|line| line["states_not_run"].clone())
                .collect();
            expect_that!(
                stated.is_empty(),
                eq(case.states_not_run.is_none()),
                "{id}: {refusals:?}"
            );
            for stated in stated {
                expect_that!(stated.as_bool(), eq(case.states_not_run), "{id}");
            }
            let answers = lines_of(&fleet, &id, "request: answered");
            expect_that!(answers.len(), eq(1), "{id}");
            if let Some(source) = case.source {
                expect_that!(answers[0]["source"].as_str(), some(eq(source)), "{id}");
            }
        }
        let metrics = metrics(&fleet).await;
        let label = case
            .states_not_run
            .map(|stated| if stated { "yes" } else { "no" });
        for stated in ["yes", "no"] {
            let name = format!(
                "primrosewalk_endpoint_refusals_total{{status=\"503\",states_not_run=\"{stated}\"}}"
            );
            expect_that!(
                metrics.contains(&name),
                eq(label == Some(stated)),
                "{number}: {name}"
            );
        }
        if let Some(source) = case.source {
            let label = format!("source=\"{source}\"");
            let mut lines = metrics.lines();
            let is_counted = lines.any(|line| {
                line.starts_with("primrosewalk_requests_total{") && line.contains(&label)
            });
            expect_that!(is_counted, eq(true), "{number}: {label}");
        }
    }
}
