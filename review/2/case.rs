//! A VM is stopped (SIGTERM) while the stages have more work than they can do. Requests that it has read
//! and that wait for their first stage must still get an answer, such as a refusal.

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use standins::{
    Answer, Call, Engine, Ledger, Net, Record, SIGTERM, Store, Vm, Work, count, finish, give_up,
    now_ms, with_trouble,
};

const ZONES: [&str; 3] = ["amman-a", "amman-b", "amman-c"];
/// Requests a second to the fleet, the same from the first to the last second. Three engines make 65
/// pieces a second, which is enough for 11 requests of 6 pieces.
const RATE: u32 = 15;
const PIECES: u32 = 6;
/// Deadline of the class `grower-chat` and `TimeoutMs` of its route.
const DEADLINE: Duration = Duration::from_secs(20);
/// Time from the first request until the stop.
const STOP_AT: Duration = Duration::from_secs(12);
/// Clients use a VM for so long after the stop, since they keep the answer of the directory (`TtlS`).
const USED_AFTER_STOP: Duration = Duration::from_secs(2);
const GRACE: Duration = Duration::from_secs(8);
const LOSS_SLACK: Duration = Duration::from_millis(200);

fn configuration() -> String {
    let service = |name: &str, more: &str| {
        format!(
            r#"{{"Name":"{name}","HealthPath":"/healthz","MaxConnections":360,"Protocol":"h1","Tls":false,"ColdStartS":0.0,"ColdPerS":0.0{more}}}"#
        )
    };
    let pieces = r#","Pieces":{"Slots":1,"Queue":2,"Batch":8,"CallMs":200.0,"ItemMs":21.0,"HeadroomMb":18.0,"HandleTtlS":4.0,"LinkMbps":10000}"#;
    format!(
        r#"{{"Version":1,"Routes":[{{"Name":"chat","Host":"h.example","PathPrefix":"/chat/","RouteKind":"streaming","TimeoutMs":20000,"TargetLatencyMs":1900,"Priority":2,"Service":"palm-lm","MaxAttempts":2,"Stages":[{{"Service":"growers","After":[],"PayloadSize":8000}}],"Public":false,"Sticky":true,"Resumable":true,"GapTargetMs":500}}],"Services":[{},{}],"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}},"Tenants":[{{"Name":"bozi300","ApiKeys":["key-bozi"],"Priority":1}}]}}"#,
        service("palm-lm", ""),
        service("growers", pieces)
    )
}

fn main() {
    let record = Record::open();
    let (net, ledger) = (Net::find(), Ledger::default());
    let store = Store::start(net.address(1, 0), &record);
    for (host, zone) in (10..).zip(ZONES) {
        let events = Work::Stream {
            events: 10,
            pause: Duration::from_millis(40),
            reads_inputs: true,
        };
        Engine {
            id: format!("i-lm-{host}"),
            service: "palm-lm",
            address: net.address(host, 0),
            zone,
            slots: 64,
            cold: Duration::ZERO,
            born: now_ms(),
            work: events,
        }
        .start(&store, &ledger, &record);
        let stage = Work::Stage {
            call: Duration::from_millis(200),
            piece: Duration::from_millis(21),
        };
        Engine {
            id: format!("i-growers-{host}"),
            service: "growers",
            address: net.address(host, 1),
            zone,
            slots: 1,
            cold: Duration::ZERO,
            born: now_ms(),
            work: stage,
        }
        .start(&store, &ledger, &record);
    }
    store.put("op/config", &configuration());
    let mut vms: Vec<Vm> = (20..)
        .zip(ZONES)
        .map(|(host, zone)| Vm::start(net, host, zone, &[20, 21, 22], &store, &record))
        .collect();
    vms.iter().for_each(|vm| vm.wait_until_ready(&record));

    let answers: Arc<Mutex<Vec<(String, usize, Answer)>>> = Arc::default();
    let began = Instant::now();
    let mut clients = Vec::new();
    let mut stopped_at = None;
    let last = (STOP_AT + Duration::from_secs(4)).as_secs() as u32 * RATE;
    for number in 0..last {
        thread::sleep(
            (began + Duration::from_secs(1) * number / RATE)
                .saturating_duration_since(Instant::now()),
        );
        if stopped_at.is_none() && began.elapsed() >= STOP_AT {
            stopped_at = Some(Instant::now());
            if with_trouble() {
                vms[0].signal(SIGTERM);
                record.note("platform: SIGTERM to the first VM");
            }
        }
        let is_avoided = stopped_at.is_some_and(|at| at.elapsed() >= USED_AFTER_STOP);
        let vm = match number as usize % vms.len() {
            0 if is_avoided => 1,
            vm => vm,
        };
        let id = format!("r{number}");
        record.note(&format!("client: {id} is sent to {}", vms[vm].name));
        let call = Call {
            method: "POST",
            path: "/chat/x".to_owned(),
            id: id.clone(),
            key: Some("key-bozi".to_owned()),
            deadline: DEADLINE,
            headers: format!(
                "Model: m\r\nToken-Usage: 700,280\r\nPrefix-Hash: {:x}:100,{:x}:600\r\nPieces: {PIECES}\r\nPiece-Key: k{number}\r\n",
                number % 20 + 16,
                number + 1000
            ),
            ..Call::default()
        };
        let (to, answers, record) = (vms[vm].callers(), Arc::clone(&answers), record.clone());
        clients.push(thread::spawn(move || {
            let answer = call.send(to);
            record.note(&format!(
                "client: {id} ended after {:.2} s, status {:?}, complete {}",
                (answer.ended_at - answer.sent_at).as_secs_f64(),
                answer.status,
                answer.is_complete
            ));
            answers.lock().unwrap().push((id, vm, answer));
        }));
    }
    let Some(stopped_at) = stopped_at else {
        give_up(&record, "the stop did not come")
    };
    if with_trouble() {
        let killed_at = GRACE.saturating_sub(stopped_at.elapsed());
        vms[0].wait_for_exit(killed_at, &record);
    }
    clients
        .into_iter()
        .for_each(|client| client.join().unwrap());

    let answers = answers.lock().unwrap();
    record.note(&format!(
        "answers of the first VM: {}",
        count(
            answers
                .iter()
                .filter(|(_, vm, _)| *vm == 0)
                .map(|(_, _, answer)| format!(
                    "{:?} complete {}",
                    answer.status, answer.is_complete
                ))
        )
    ));
    // Of the requests that the first VM took: those without a complete answer whose deadline had not passed,
    // and on which neither an engine nor a stage was at work in the last sixth of the grace time.
    let last_sixth = stopped_at + GRACE * 5 / 6;
    let lost: Vec<&str> = answers
        .iter()
        .filter(|(id, vm, answer)| {
            let took = answer.ended_at - answer.sent_at;
            *vm == 0
                && !answer.is_complete
                && took > LOSS_SLACK
                && took < DEADLINE
                && !ledger.was_worked_on(id, last_sixth - Duration::from_secs(1))
        })
        .map(|(id, _, _)| id.as_str())
        .collect();
    let reached: usize = lost
        .iter()
        .filter(|id| ledger.was_worked_on(id, began))
        .count();
    finish(
        &record,
        !lost.is_empty(),
        &format!(
            "{} requests that the stopped VM had read ended without an answer ({reached} of them had reached an engine): {}",
            lost.len(),
            lost.join(" ")
        ),
    );
}
