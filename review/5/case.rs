//! The store cuts the watches that wait, as it may. A second and a half later an engine leaves without
//! having reported `draining`: its entry is removed. Later than `DrainMs` it must get no request any more.

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use standins::{
    Call, Engine, Ledger, Net, Record, Store, Vm, Work, count, finish, now_ms, with_trouble,
};

const ZONES: [&str; 3] = ["amman-a", "amman-b", "amman-c"];
/// Requests a second to each VM, the same from the first to the last second.
const RATE: u32 = 30;
const RUN: Duration = Duration::from_secs(12);
const CUT_AT: Duration = Duration::from_secs(5);
/// Time from the cut until the engine's entry is removed.
const REMOVE_AFTER: Duration = Duration::from_millis(1_500);
const DRAIN: Duration = Duration::from_millis(2_000);

fn configuration() -> String {
    r#"{"Version":1,"Routes":[{"Name":"lookup","Host":"h.example","PathPrefix":"/lookup/","RouteKind":"idempotent","TimeoutMs":3000,"TargetLatencyMs":300,"Priority":2,"Service":"dispatch","MaxAttempts":2,"Stages":[],"Public":false,"Sticky":false,"Resumable":false}],"Services":[{"Name":"dispatch","HealthPath":"/healthz","MaxConnections":96,"Protocol":"h1","Tls":false,"ColdStartS":0.0,"ColdPerS":0.0}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},"Tenants":[{"Name":"bozi300","ApiKeys":["key-bozi"],"Priority":1}]}"#.to_owned()
}

fn main() {
    let record = Record::open();
    let (net, ledger) = (Net::find(), Ledger::default());
    let store = Store::start(net.address(1, 0), &record);
    for (host, zone) in (10..).zip(ZONES) {
        Engine {
            id: format!("i-{host}"),
            service: "dispatch",
            address: net.address(host, 0),
            zone,
            slots: 6,
            cold: Duration::ZERO,
            born: now_ms(),
            work: Work::Plain(Duration::from_millis(60)),
        }
        .start(&store, &ledger, &record);
    }
    store.put("op/config", &configuration());
    let vms: Vec<Vm> = (20..)
        .zip(ZONES)
        .map(|(host, zone)| Vm::start(net, host, zone, &[20, 21, 22], &store, &record))
        .collect();
    vms.iter().for_each(|vm| vm.wait_until_ready(&record));

    let operator = {
        let (store, record) = (store.clone(), record.clone());
        thread::spawn(move || {
            thread::sleep(CUT_AT);
            if with_trouble() {
                store.cut_watches();
            }
            thread::sleep(REMOVE_AFTER);
            // The engine goes on serving for some seconds, as the pages say.
            store.delete("servers/i-10");
            let acknowledged = Instant::now();
            record.note("engine i-10 leaves; the store has acknowledged the removal of its entry");
            acknowledged
        })
    };
    let statuses: Arc<Mutex<Vec<String>>> = Arc::default();
    let mut clients = Vec::new();
    let began = Instant::now();
    for number in 0..RUN.as_secs() as u32 * RATE * vms.len() as u32 {
        let due = began + Duration::from_secs(1) * number / (RATE * vms.len() as u32);
        thread::sleep(due.saturating_duration_since(Instant::now()));
        let call = Call {
            method: "GET",
            path: "/lookup/x".to_owned(),
            id: format!("r{number}"),
            key: Some("key-bozi".to_owned()),
            deadline: Duration::from_secs(3),
            ..Call::default()
        };
        let to = vms[number as usize % vms.len()].callers();
        let statuses = Arc::clone(&statuses);
        let record = record.clone();
        clients.push(thread::spawn(move || {
            let answer = call.send_recorded(to, &record);
            statuses
                .lock()
                .unwrap()
                .push(format!("{:?}", answer.status));
        }));
    }
    clients
        .into_iter()
        .for_each(|client| client.join().unwrap());
    let acknowledged = operator.join().unwrap();
    record.note(&format!(
        "answers: {}",
        count(statuses.lock().unwrap().iter().cloned())
    ));

    let late: Vec<f64> = ledger
        .arrivals()
        .iter()
        .filter(|arrival| arrival.engine == "i-10" && arrival.at > acknowledged + DRAIN)
        .map(|arrival| (arrival.at - acknowledged).as_secs_f64())
        .collect();
    finish(
        &record,
        !late.is_empty(),
        &format!(
            "{} requests reached the engine later than {DRAIN:?} after the removal was acknowledged, the last one after {:.3} s",
            late.len(),
            late.last().copied().unwrap_or(0.0)
        ),
    );
}
