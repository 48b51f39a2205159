//! Tests that no organisation exceeds its rate and burst, whatever fails, and that no organisation
//! takes capacity that belongs to the rate of another one (P5).

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use googletest::prelude::*;
use serde_json::json;
use support::{Caller, Fleet, Plan, Signal};

/// Rate of each organisation in requests per second; equals the flag `--rate` of [`plan`].
const RATE_PER_S: usize = 40;
/// Burst of each organisation in requests; equals the flag `--burst` of [`plan`].
const BURST: usize = 10;

fn plan() -> Plan {
    Plan {
        vms: 5,
        proxied_peers: true,
        fleet_flags: vec![
            "--rate",
            "40",
            "--burst",
            "10",
            "--pipeline",
            "look=retriever",
            "--endpoints-per-service",
            "3",
            "--slots",
            "64",
        ],
        endpoint_flags: vec!["--service-ms", "2"],
        ..Plan::default()
    }
}

/// Numbers of requests of one organisation by their outcome.
#[derive(Default)]
struct OutcomeCounts {
    completed: AtomicUsize,
    refused: AtomicUsize,
    connection_errors: AtomicUsize,
}

/// Sends requests to all VMs in turn at a steady total rate until `stop` is set. Each request runs
/// in its own task.
fn send_steadily(
    fleet: &Fleet,
    organisation: &str,
    per_second: u64,
    stop: &Arc<AtomicBool>,
) -> (Arc<OutcomeCounts>, tokio::task::JoinHandle<()>) {
    let counts = Arc::new(OutcomeCounts::default());
    let caller = fleet.caller(organisation);
    let addresses: Vec<_> = fleet.vms.iter().map(|vm| vm.caller).collect();
    let (task_counts, stop) = (Arc::clone(&counts), Arc::clone(stop));
    let sending = tokio::spawn(async move {
        let mut ticks = tokio::time::interval(Duration::from_micros(1_000_000 / per_second));
        let mut requests = tokio::task::JoinSet::new();
        for number in 0.. {
            ticks.tick().await;
            if stop.load(Ordering::Relaxed) {
                break;
            }
            let address = addresses[number % addresses.len()];
            requests.spawn(send_one(caller.clone(), address, Arc::clone(&task_counts)));
        }
        while requests.join_next().await.is_some() {}
    });
    (counts, sending)
}

/// Sends one request and counts its outcome.
async fn send_one(caller: Caller, address: std::net::SocketAddr, counts: Arc<OutcomeCounts>) {
    let headers = [("x-deadline-ms", "2500")];
    let counter = match caller.send(address, "look", &headers, &json!({})).await {
        Ok(answer) if answer.is_complete() => &counts.completed,
        Ok(_) => &counts.refused,
        Err(_) => &counts.connection_errors,
    };
    counter.fetch_add(1, Ordering::Relaxed);
}

/// Returns the number of runs of an organisation's requests in the ledgers of the retrievers.
async fn runs_of_organisation(fleet: &Fleet, organisation: &str) -> usize {
    let runs = fleet.runs("retriever").await;
    runs.iter()
        .filter(|run| run["organisation"] == organisation)
        .count()
}

/// Guards the fleet-wide rate of an organisation that sends ten times its rate through all VMs,
/// while VMs are killed, paused, cut off and restarted. Another organisation sends within its rate
/// at the same time and is to be served; its outcomes are printed.
#[gtest]
#[tokio::test]
async fn ten_times_the_rate_stays_within_the_rate_under_faults() {
    let mut fleet = Fleet::start(&plan()).await;
    // All ownership epochs have begun when the VM list has been in force for two seconds.
    tokio::time::sleep(Duration::from_secs(2)).await;
    let stop = Arc::new(AtomicBool::new(false));
    let start = Instant::now();
    let (greedy, sending_greedy) = send_steadily(&fleet, "org-0", 10 * RATE_PER_S as u64, &stop);
    let (modest, sending_modest) = send_steadily(&fleet, "org-1", RATE_PER_S as u64 / 2, &stop);
    tokio::time::sleep(Duration::from_secs(2)).await;
    fleet.kill(0);
    tokio::time::sleep(Duration::from_secs(2)).await;
    fleet.signal(1, Signal::STOP);
    tokio::time::sleep(Duration::from_secs(2)).await;
    fleet.signal(1, Signal::CONT);
    fleet.start_vm(0);
    tokio::time::sleep(Duration::from_secs(2)).await;
    fleet.control_links_of_vm(2, "cut").await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    fleet.control_links_of_vm(2, "pass").await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    stop.store(true, Ordering::Relaxed);
    sending_greedy.await.unwrap();
    sending_modest.await.unwrap();
    let seconds = start.elapsed().as_secs_f64();
    let allowed = (RATE_PER_S as f64 * seconds) as usize + BURST;
    let runs = runs_of_organisation(&fleet, "org-0").await;
    let count = |counter: &AtomicUsize| counter.load(Ordering::Relaxed);
    println!(
        "greedy: {runs} runs of {allowed} allowed in {seconds:.1} s, {} completed; modest: {} completed, {} refused, {} connection errors",
        count(&greedy.completed),
        count(&modest.completed),
        count(&modest.refused),
        count(&modest.connection_errors),
    );
    expect_that!(runs, le(allowed));
    // During each fault, the rate is served except while another VM takes over.
    expect_that!(count(&greedy.completed), ge(allowed / 3));
}

/// Guards against refusals of requests within the rate while nothing fails.
#[gtest]
#[tokio::test]
async fn nothing_is_refused_within_the_rate_when_nothing_fails() {
    let fleet = Fleet::start(&plan()).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let stop = Arc::new(AtomicBool::new(false));
    let (first, sending_first) = send_steadily(&fleet, "org-0", RATE_PER_S as u64 * 9 / 10, &stop);
    let (second, sending_second) =
        send_steadily(&fleet, "org-1", RATE_PER_S as u64 * 9 / 10, &stop);
    tokio::time::sleep(Duration::from_secs(5)).await;
    stop.store(true, Ordering::Relaxed);
    sending_first.await.unwrap();
    sending_second.await.unwrap();
    for counts in [first, second] {
        expect_that!(counts.completed.load(Ordering::Relaxed), gt(RATE_PER_S * 4));
        expect_that!(counts.refused.load(Ordering::Relaxed), eq(0));
        expect_that!(counts.connection_errors.load(Ordering::Relaxed), eq(0));
    }
}
