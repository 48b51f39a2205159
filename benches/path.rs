//! Measures the latency that a VM adds to a call, by calling the same stage directly and
//! through a daemon.
//!
//! Run with `cargo bench --bench path`. The benchmark starts its own fleet on loopback, makes
//! calls one at a time, each on a new connection, and prints latency percentiles.

#[path = "../tests/support/mod.rs"]
mod support;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hdrhistogram::Histogram;
use hyper::Method;
use primrosewalk::http::{self, Call};
use serde_json::json;
use support::{Caller, Fleet, Plan};

/// Calls made before the measurement starts.
const WARM_UP_CALLS: usize = 200;
/// Calls whose latencies are recorded.
const MEASURED_CALLS: usize = 3_000;
/// Timeout of a direct call, for its headers and as a whole.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Calls the endpoint without a VM between.
async fn call_directly(endpoint: SocketAddr, number: usize) {
    let body = json!({ "stage": "lookup", "input": { "number": number } });
    let id = number.to_string();
    let headers = [
        ("content-type", "application/json"),
        ("x-request-id", id.as_str()),
    ];
    let call = Call {
        address: endpoint,
        own_ip: None,
        method: Method::POST,
        path: "/v1/run",
        headers: &headers,
        body: Bytes::from(body.to_string()),
        head_timeout: CALL_TIMEOUT,
    };
    let (status, _) = http::fetch(&call, CALL_TIMEOUT).await.unwrap();
    assert!(status.is_success());
}

/// Calls the same stage as a pipeline of a VM.
async fn call_through_vm(caller: &Caller, vm: SocketAddr, number: usize) {
    let answer = caller
        .send(vm, "look", &[], &json!({ "number": number }))
        .await;
    assert!(answer.unwrap().is_complete());
}

/// Makes the warm-up calls and the measured calls, prints the percentiles of the latter, and
/// returns their latencies in microseconds.
async fn measure<F: Future<Output = ()>>(name: &str, call: impl Fn(usize) -> F) -> Histogram<u64> {
    for number in 0..WARM_UP_CALLS {
        call(number).await;
    }
    let mut latencies_us = Histogram::new(3).unwrap();
    for number in 0..MEASURED_CALLS {
        let started = Instant::now();
        call(number).await;
        latencies_us
            .record(started.elapsed().as_micros() as u64)
            .unwrap();
    }
    print_percentiles(name, &latencies_us);
    latencies_us
}

fn print_percentiles(name: &str, latencies_us: &Histogram<u64>) {
    let latency_ms = |quantile| latencies_us.value_at_quantile(quantile) as f64 / 1_000.0;
    println!(
        "{name:>24}: p50 {:.2} ms, p95 {:.2} ms, p99 {:.2} ms",
        latency_ms(0.5),
        latency_ms(0.95),
        latency_ms(0.99)
    );
}

#[tokio::main]
async fn main() {
    let plan = Plan {
        fleet_flags: vec![
            "--rate",
            "100000",
            "--burst",
            "20000",
            "--pipeline",
            "look=lookup",
        ],
        endpoint_flags: vec!["--service-ms", "0"],
        ..Plan::default()
    };
    let fleet = Fleet::start(&plan).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let endpoint = fleet.service("lookup").next().unwrap().address;
    let direct = measure("stand-in directly", |number| {
        call_directly(endpoint, number)
    })
    .await;
    let caller = fleet.caller("org-0");
    for vm in &fleet.vms {
        let name = format!("through {}", vm.id);
        let through_vm = measure(&name, |number| call_through_vm(&caller, vm.caller, number)).await;
        let added_ms = |quantile| {
            let direct_us = direct.value_at_quantile(quantile) as f64;
            (through_vm.value_at_quantile(quantile) as f64 - direct_us) / 1_000.0
        };
        println!(
            "{:>24}: p50 {:.2} ms, p95 {:.2} ms, p99 {:.2} ms",
            "added",
            added_ms(0.5),
            added_ms(0.95),
            added_ms(0.99)
        );
    }
}
