//! One engine of three was replaced and is cold. A VM freezes for less than a second while requests arrive
//! at a steady rate. It then reads what has come meanwhile together, and must not send the cold engine more
//! than the rule allows: the two warm ones can take the requests.
//!
//! Shown in part one, rule FAILBACK; it gave its place to a graver case. review/REPORT.md has the details.
//! Build and run, after review/build.sh:
//!     rustc --edition 2024 -O --extern standins=target/review/libstandins.rlib \
//!         -o target/review/cold-engine review/tried/cold_engine.rs
//!     target/review/cold-engine /dev/stderr

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use standins::{
    Call, Engine, Ledger, Net, Record, SIGCONT, SIGSTOP, Store, Vm, Work, count, finish, now_ms,
    with_trouble,
};

const ZONES: [&str; 3] = ["amman-a", "amman-b", "amman-c"];
/// Requests a second to each VM, the same from the first to the last second.
const RATE: u32 = 50;
const RUN: Duration = Duration::from_secs(9);
/// The new engine starts then, and the first VM freezes a second later.
const START_AT: Duration = Duration::from_secs(4);
const FREEZE_AFTER: Duration = Duration::from_millis(1_000);
const FREEZE_FOR: Duration = Duration::from_millis(800);
/// `ColdStartS` and `ColdPerS` of the service, `ColdOverage` and `ColdSlack` of the rules.
const COLD: Duration = Duration::from_secs(3);
const COLD_PER_S: f64 = 12.0;
const MOST_PER_S: f64 = COLD_PER_S * 1.5 + 5.0;

fn configuration() -> String {
    format!(
        r#"{{"Version":1,"Routes":[{{"Name":"lookup","Host":"h.example","PathPrefix":"/lookup/","RouteKind":"idempotent","TimeoutMs":3000,"TargetLatencyMs":300,"Priority":2,"Service":"dispatch","MaxAttempts":2,"Stages":[],"Public":false,"Sticky":false,"Resumable":false}}],"Services":[{{"Name":"dispatch","HealthPath":"/healthz","MaxConnections":360,"Protocol":"h1","Tls":false,"ColdStartS":{:.1},"ColdPerS":{COLD_PER_S:.1}}}],"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}},"Tenants":[{{"Name":"bozi300","ApiKeys":["key-bozi"],"Priority":1}}]}}"#,
        COLD.as_secs_f64()
    )
}

fn engine(net: Net, host: u8, incarnation: u32, cold: Duration) -> Engine {
    Engine {
        id: format!("i-{host}-{incarnation}"),
        service: "dispatch",
        address: net.address(host, incarnation as u16),
        zone: ZONES[usize::from(host) - 10],
        slots: 64,
        cold,
        born: now_ms(),
        work: Work::Plain(Duration::from_millis(60)),
    }
}

fn main() {
    let record = Record::open();
    let (net, ledger) = (Net::find(), Ledger::default());
    let store = Store::start(net.address(1, 0), &record);
    let engines = [10, 11, 12].map(|host| engine(net, host, 1, Duration::ZERO));
    for engine in &engines {
        engine.clone().start(&store, &ledger, &record);
    }
    store.put("op/config", &configuration());
    let vms: Vec<Vm> = (20..)
        .zip(ZONES)
        .map(|(host, zone)| Vm::start(net, host, zone, &[20, 21, 22], &store, &record))
        .collect();
    vms.iter().for_each(|vm| vm.wait_until_ready(&record));

    let sent: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let statuses: Arc<Mutex<Vec<String>>> = Arc::default();
    let mut clients = Vec::new();
    let began = Instant::now();
    let mut new_engine_at = None;
    let (mut frozen_at, mut woken_at) = (None::<Instant>, None::<Instant>);
    for number in 0..RUN.as_secs() as u32 * RATE * vms.len() as u32 {
        let due = began + Duration::from_secs(1) * number / (RATE * vms.len() as u32);
        thread::sleep(due.saturating_duration_since(Instant::now()));
        if new_engine_at.is_none() && began.elapsed() >= START_AT {
            // The engine before drains; the new one has another port.
            store.put("servers/i-10-1", &engines[0].entry("draining"));
            new_engine_at = Some(Instant::now());
            engine(net, 10, 2, COLD).start(&store, &ledger, &record);
        }
        let Some(new_engine_at) = new_engine_at else {
            clients.push(send(number, &vms, &sent, &statuses));
            continue;
        };
        if with_trouble() && frozen_at.is_none() && new_engine_at.elapsed() >= FREEZE_AFTER {
            frozen_at = Some(Instant::now());
            record.note("the first VM freezes");
            vms[0].signal(SIGSTOP);
        }
        if woken_at.is_none() && frozen_at.is_some_and(|at| at.elapsed() >= FREEZE_FOR) {
            woken_at = Some(Instant::now());
            vms[0].signal(SIGCONT);
            record.note("the first VM wakes");
        }
        clients.push(send(number, &vms, &sent, &statuses));
    }
    clients
        .into_iter()
        .for_each(|client| client.join().unwrap());
    record.note(&format!(
        "answers: {}",
        count(statuses.lock().unwrap().iter().cloned())
    ));

    // The most requests that were sent and arrived inside one second of the engine's cold time.
    let sent = sent.lock().unwrap();
    let cold_until = new_engine_at.unwrap() + COLD;
    let arrivals: Vec<(Instant, Instant)> = ledger
        .arrivals()
        .iter()
        .filter(|arrival| arrival.engine == "i-10-2" && arrival.at < cold_until)
        .map(|arrival| {
            (
                sent[arrival.request[1..].parse::<usize>().unwrap()],
                arrival.at,
            )
        })
        .collect();
    let inside = |from: Instant| {
        arrivals
            .iter()
            .filter(|(sent, at)| *sent >= from && *at < from + Duration::from_secs(1))
            .count()
    };
    let most = arrivals
        .iter()
        .map(|(sent, _)| inside(*sent))
        .max()
        .unwrap_or(0);
    record.note(&format!(
        "the cold engine got {} requests in its first {COLD:?}",
        arrivals.len()
    ));
    finish(
        &record,
        most as f64 > MOST_PER_S,
        &format!(
            "the cold engine got {most} requests that were sent and arrived inside one second; at most {MOST_PER_S} are allowed"
        ),
    );
}

/// Sends a request to one of the VMs in turn, each on its own connection.
fn send(
    number: u32,
    vms: &[Vm],
    sent: &Arc<Mutex<Vec<Instant>>>,
    statuses: &Arc<Mutex<Vec<String>>>,
) -> thread::JoinHandle<()> {
    let call = Call {
        method: "GET",
        path: "/lookup/x".to_owned(),
        id: format!("r{number}"),
        key: Some("key-bozi".to_owned()),
        deadline: Duration::from_secs(3),
        ..Call::default()
    };
    let to = vms[number as usize % vms.len()].callers();
    let statuses = Arc::clone(statuses);
    sent.lock().unwrap().push(Instant::now());
    thread::spawn(move || {
        let answer = call.send(to);
        statuses
            .lock()
            .unwrap()
            .push(format!("{:?}", answer.status));
    })
}
