//! An operator takes the keys of all tenants away, one configuration after the other. Requests with
//! these keys, with a key that never was, and without a key must then be refused with 401.

use std::thread;
use std::time::{Duration, Instant};

use standins::{
    Call, Engine, Ledger, Net, Record, Store, Vm, Work, count, finish, give_up, now_ms,
    with_trouble,
};

const ZONES: [&str; 3] = ["amman-a", "amman-b", "amman-c"];
const TENANTS: [(&str, &str); 3] = [
    ("bozi300", "key-bozi"),
    ("kafi81", "key-kafi"),
    ("lovo22", "key-lovo"),
];
const NEVER_A_KEY: &str = "key-that-never-was";
/// `ConfigApplyMs`, from the acknowledgement of a configuration.
const CONFIG_APPLY: Duration = Duration::from_millis(2_000);
/// Pause between two withdrawals: `gap_s` of the kind `revoke` in the site file.
const GAP: Duration = Duration::from_millis(400);

/// Returns a configuration in which the first `withdrawn` tenants have no key left.
fn configuration(version: u32, withdrawn: usize) -> String {
    let tenants: Vec<String> = TENANTS
        .iter()
        .enumerate()
        .map(|(index, (name, key))| {
            let keys = if index < withdrawn {
                String::new()
            } else {
                format!("\"{key}\"")
            };
            format!(r#"{{"Name":"{name}","ApiKeys":[{keys}],"Priority":1}}"#)
        })
        .collect();
    let route = |name: &str, kind: &str| {
        format!(
            r#"{{"Name":"{name}","Host":"h.example","PathPrefix":"/{name}/","RouteKind":"{kind}","TimeoutMs":3000,"TargetLatencyMs":300,"Priority":2,"Service":"dispatch","MaxAttempts":2,"Stages":[],"Public":false,"Sticky":false,"Resumable":false}}"#
        )
    };
    format!(
        r#"{{"Version":{version},"Routes":[{},{}],"Services":[{{"Name":"dispatch","HealthPath":"/healthz","MaxConnections":96,"Protocol":"h1","Tls":false,"ColdStartS":0.0,"ColdPerS":0.0}}],"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}},"Tenants":[{}]}}"#,
        route("lookup", "idempotent"),
        route("payout", "non_idempotent"),
        tenants.join(",")
    )
}

/// Sends a lookup and a payout with each key to each VM, and returns the ids with the answers.
fn ask_all(round: &str, vms: &[Vm], record: &Record) -> Vec<(String, Option<u16>)> {
    let keys = TENANTS
        .iter()
        .map(|(_, key)| Some(*key))
        .chain([Some(NEVER_A_KEY), None]);
    let mut answers = Vec::new();
    for key in keys {
        for vm in vms {
            for (method, route) in [("GET", "lookup"), ("POST", "payout")] {
                let id = format!("{round}-{}-{}-{route}", key.unwrap_or("no-key"), vm.name);
                let call = Call {
                    method,
                    path: format!("/{route}/x"),
                    id: id.clone(),
                    key: key.map(str::to_owned),
                    deadline: Duration::from_secs(3),
                    ..Call::default()
                };
                let answer = call.send(vm.callers());
                record.note(&format!("client: {id} was answered {:?}", answer.status));
                answers.push((id, answer.status));
            }
        }
    }
    answers
}

fn main() {
    let record = Record::open();
    let (net, ledger) = (Net::find(), Ledger::default());
    let store = Store::start(net.address(1, 0), &record);
    for (host, zone) in (10..).zip(ZONES) {
        let engine = Engine {
            id: format!("i-{host}"),
            service: "dispatch",
            address: net.address(host, 0),
            zone,
            slots: 6,
            cold: Duration::ZERO,
            born: now_ms(),
            work: Work::Plain(Duration::from_millis(60)),
        };
        engine.start(&store, &ledger, &record);
    }
    store.put("op/config", &configuration(1, 0));
    let vms: Vec<Vm> = (20..)
        .zip(ZONES)
        .map(|(host, zone)| Vm::start(net, host, zone, &[20, 21, 22], &store, &record))
        .collect();
    vms.iter().for_each(|vm| vm.wait_until_ready(&record));

    let before = ask_all("before", &vms, &record);
    let is_as_expected = before.iter().all(|(id, status)| {
        let has_key = TENANTS.iter().any(|(_, key)| id.contains(key));
        *status == Some(if has_key { 200 } else { 401 })
    });
    if !is_as_expected {
        give_up(
            &record,
            "before the change, keys are not handled as the configuration says",
        );
    }

    let mut acknowledged = Instant::now();
    for withdrawn in 1..=TENANTS.len() {
        // Without the disruption, the versions change nothing.
        let withdrawn_now = if with_trouble() { withdrawn } else { 0 };
        acknowledged = store.put(
            "op/config",
            &configuration(1 + withdrawn as u32, withdrawn_now),
        );
        thread::sleep(GAP);
    }
    // A second more than the rule asks for.
    let check_at = acknowledged + CONFIG_APPLY + Duration::from_secs(1);
    thread::sleep(check_at.duration_since(Instant::now()));

    let after = ask_all("after", &vms, &record);
    record.note(&format!(
        "answers after the change: {}",
        count(after.iter().map(|(_, status)| format!("{status:?}")))
    ));
    let arrivals = ledger.arrivals();
    let may_run = |id: &str| !with_trouble() && TENANTS.iter().any(|(_, key)| id.contains(key));
    let wrongly_run = arrivals
        .iter()
        .filter(|arrival| {
            arrival.ran && arrival.request.starts_with("after") && !may_run(&arrival.request)
        })
        .count();
    let verdict = format!(
        "{wrongly_run} of {} requests without a key in force were run",
        after.iter().filter(|(id, _)| !may_run(id)).count()
    );
    finish(&record, wrongly_run > 0, &verdict);
}
