//! Time that a VM adds to a call: the same stage called directly and through a daemon.
//!
//! Run with `cargo bench --bench path`. It starts a fleet of its own on loopback, calls one
//! after another, and prints percentiles. Every call opens a connection of its own.

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

const WARM_UP: usize = 200;
const CALLS: usize = 3_000;
const TIMEOUT: Duration = Duration::from_secs(5);

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
        head_timeout: TIMEOUT,
    };
    let (status, _) = http::fetch(&call, TIMEOUT).await.unwrap();
    assert!(status.is_success());
}

async fn call_through(caller: &Caller, vm: SocketAddr, number: usize) {
    let answer = caller
        .send(vm, "look", &[], &json!({ "number": number }))
        .await;
    assert!(answer.unwrap().is_whole());
}

async fn measure<F: Future<Output = ()>>(name: &str, call: impl Fn(usize) -> F) -> Histogram<u64> {
    for number in 0..WARM_UP {
        call(number).await;
    }
    let mut micros = Histogram::new(3).unwrap();
    for number in 0..CALLS {
        let started = Instant::now();
        call(number).await;
        micros.record(started.elapsed().as_micros() as u64).unwrap();
    }
    print(name, &micros);
    micros
}

fn print(name: &str, micros: &Histogram<u64>) {
    let at = |quantile| micros.value_at_quantile(quantile) as f64 / 1_000.0;
    println!(
        "{name:>24}: p50 {:.2} ms, p95 {:.2} ms, p99 {:.2} ms",
        at(0.5),
        at(0.95),
        at(0.99)
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
        let through = measure(&name, |number| call_through(&caller, vm.caller, number)).await;
        let added = |quantile| {
            let direct = direct.value_at_quantile(quantile) as f64;
            (through.value_at_quantile(quantile) as f64 - direct) / 1_000.0
        };
        println!(
            "{:>24}: p50 {:.2} ms, p95 {:.2} ms, p99 {:.2} ms",
            "added",
            added(0.5),
            added(0.95),
            added(0.99)
        );
    }
}
