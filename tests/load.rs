//! Tests of the load generator. A request that it classifies or retries wrongly would make all of
//! its figures wrong.

use std::collections::{BTreeMap, HashSet};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use googletest::prelude::*;
use primrosewalk::load::{
    Allowance, Fleet, Ledgers, LoadOptions, Outcome, Report, RequestRecord, Scenario,
    compare_ledgers, make_report, run, schedule,
};
use serde_json::{Value, json};

const SCENARIO: &str = r#"
name = "test"
duration_s = 20.0
max_requests = 2000
seed = 7
[[organisation]]
name = "steady"
rate_per_second = 5.0
deadline_ms = 1000
pipelines = { answer = 1, payout = 1 }
[[organisation]]
name = "bursty"
rate_per_second = 5.0
deadline_ms = 1000
pipelines = { answer = 1 }
[[event]]
at_s = 10.0
label = "ten times"
kind = "rate"
organisation = "bursty"
factor = 10.0
"#;

fn scenario() -> Scenario {
    toml::from_str::<Scenario>(SCENARIO)
        .unwrap()
        .check()
        .unwrap()
}

fn allowances() -> BTreeMap<primrosewalk::units::OrganisationName, Allowance> {
    let allowance = Allowance {
        rate_per_second: 10.0,
        burst: 30.0,
    };
    ["steady", "bursty"]
        .map(|name| (name.parse().unwrap(), allowance))
        .into()
}

#[gtest]
fn arrivals_follow_from_the_seed_and_events() {
    let scenario = scenario();
    let arrivals = schedule(&scenario, 7, &allowances());
    expect_that!(schedule(&scenario, 7, &allowances()), eq(&arrivals));
    expect_that!(schedule(&scenario, 8, &allowances()) == arrivals, eq(false));
    let count = |organisation, from, to| {
        let range = Duration::from_secs(from)..Duration::from_secs(to);
        let of_organisation = arrivals
            .iter()
            .filter(|arrival| arrival.organisation == organisation);
        of_organisation
            .filter(|arrival| range.contains(&arrival.at))
            .count()
    };
    // Five standard deviations around the mean of a Poisson count.
    expect_that!(count(0, 0, 20), all![ge(50), le(150)]);
    expect_that!(count(1, 0, 10), all![ge(15), le(85)]);
    expect_that!(count(1, 10, 20), all![ge(388), le(612)]);
    let outside = arrivals.iter().filter(|arrival| !arrival.inside_rate);
    let outside: Vec<_> = outside
        .map(|arrival| (arrival.organisation, arrival.at.as_secs()))
        .collect();
    expect_that!(
        outside
            .iter()
            .all(|(name, second)| *name == 1 && *second >= 10),
        eq(true)
    );
    expect_that!(outside.len(), ge(200));
}

#[gtest]
fn scenario_check_reports_all_findings() {
    let text = SCENARIO
        .replace("20.0", "-1.0")
        .replace("deadline_ms = 1000", "deadline_ms = 0");
    let findings = toml::from_str::<Scenario>(&text)
        .unwrap()
        .check()
        .unwrap_err();
    let places: Vec<_> = findings
        .items()
        .iter()
        .map(|item| item.place.as_str())
        .collect();
    let expected = [
        "duration_s",
        "organisation[0].deadline_ms",
        "organisation[1].deadline_ms",
        "event[0].at_s",
    ];
    expect_that!(places, eq(&expected.to_vec()));
}

#[gtest]
fn shipped_scenarios_are_valid() {
    for name in ["nakheel", "mwangaza"] {
        let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(format!("scenarios/{name}.toml"));
        expect_that!(Scenario::read(&path).is_ok(), eq(true), "{name}");
    }
}

/// Request of a load test that took `elapsed_ms` of its deadline of one second.
struct RecordCase {
    organisation: usize,
    inside_rate: bool,
    elapsed_ms: u64,
    outcome: Outcome,
    is_misdelivered: bool,
}

#[gtest]
fn only_complete_answers_in_time_to_the_right_caller_are_attained() {
    let refused = |code: &str| Outcome::Refused {
        code: code.into(),
        not_run: true,
    };
    let case = |organisation, inside_rate, elapsed_ms, outcome| RecordCase {
        organisation,
        inside_rate,
        elapsed_ms,
        outcome,
        is_misdelivered: false,
    };
    let cases = [
        case(0, true, 10, Outcome::Complete),
        case(0, true, 1000, Outcome::Complete),
        case(0, true, 1001, Outcome::Complete),
        RecordCase {
            is_misdelivered: true,
            ..case(0, true, 10, Outcome::Complete)
        },
        case(1, true, 10, refused("rate_exceeded")),
        case(1, false, 10, refused("rate_exceeded")),
        case(1, false, 10, Outcome::Complete),
    ];
    let records: Vec<_> = cases.into_iter().map(record).collect();
    let report = make_report(&scenario(), &records, Vec::new(), Default::default());
    expect_that!(report.overall.attained, eq(3));
    expect_that!(report.organisations["steady"].attainment(), eq(0.5));
    expect_that!(report.organisations["bursty"].attainment_inside(), eq(0.0));
    expect_that!(report.worst_organisation.as_deref(), some(eq("bursty")));
    expect_that!(report.misdelivered, eq(1));
    let rate_exceeded = &report.refusals["rate_exceeded"];
    expect_that!(
        (
            rate_exceeded.inside_rate,
            rate_exceeded.outside_rate,
            rate_exceeded.not_run
        ),
        eq((1, 1, 2))
    );
}

fn record(case: RecordCase) -> RequestRecord {
    RequestRecord {
        at: Duration::ZERO,
        organisation: case.organisation,
        inside_rate: case.inside_rate,
        deadline: Duration::from_secs(1),
        outcome: case.outcome,
        elapsed: Duration::from_millis(case.elapsed_ms),
        request_id: None,
        tries: 1,
        stages: Vec::new(),
        first_token: None,
        token_gaps: Vec::new(),
        is_misdelivered: case.is_misdelivered,
    }
}

/// How a fake VM treats requests to run a pipeline.
#[derive(Clone, Copy, PartialEq)]
enum VmBehaviour {
    /// Answers with a complete output.
    AnswerRequest,
    /// Refuses with the code `stopping` and the outcome `not_run`.
    RefuseStopping,
    /// Closes the connection without an answer after it has read the request.
    CloseConnection,
    /// Streams one token and closes the connection without the event `end`.
    CutStream,
}

/// Requests to run a pipeline: the behaviour of the VM that received it, and its request id if it
/// had one.
type ReceivedRequests = Arc<Mutex<Vec<(VmBehaviour, Option<String>)>>>;

/// Starts a fake VM that serves one request on each connection until the test process ends.
fn start_vm(behaviour: VmBehaviour, received: ReceivedRequests) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let mut request_number = 0;
        for stream in listener.incoming() {
            request_number += 1;
            let _ = serve_request(
                stream.unwrap(),
                address,
                behaviour,
                request_number,
                &received,
            );
        }
    });
    address
}

fn serve_request(
    stream: TcpStream,
    address: SocketAddr,
    behaviour: VmBehaviour,
    request_number: u32,
    received: &ReceivedRequests,
) -> std::io::Result<()> {
    let mut reader = BufReader::new(&stream);
    let (mut request_line, mut id, mut length) = (String::new(), None, 0);
    reader.read_line(&mut request_line)?;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let Some((name, value)) = line.trim().split_once(": ") else {
            break;
        };
        match name {
            "content-length" => length = value.parse().unwrap(),
            "x-request-id" => id = Some(value.to_owned()),
            _ => {}
        }
    }
    reader.read_exact(&mut vec![0; length])?;
    let own_id = format!("id-{}-{request_number}", address.port());
    if request_line.starts_with("GET /v1/address") {
        let address_answer =
            json!({ "address": address, "vm": "v", "request_id": own_id, "valid_for_ms": 60000 });
        return write_answer(stream, "200 OK", &address_answer);
    }
    received.lock().unwrap().push((behaviour, id.clone()));
    let id = id.unwrap_or(own_id);
    match behaviour {
        VmBehaviour::AnswerRequest => {
            let stage = json!({ "stage": "s", "endpoint": "e", "attempts": 2, "elapsed_ms": 3.5 });
            let output = json!({ "request_id": id });
            write_answer(
                stream,
                "200 OK",
                &json!({ "request_id": id, "output": output, "stages": [stage] }),
            )
        }
        VmBehaviour::RefuseStopping => {
            let error = json!({ "code": "stopping", "message": "", "outcome": "not_run", "request_id": id });
            write_answer(
                stream,
                "503 Service Unavailable",
                &json!({ "error": error }),
            )
        }
        VmBehaviour::CloseConnection => Ok(()),
        VmBehaviour::CutStream => write!(
            &stream,
            "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nconnection: close\r\n\r\n\
             event: token\ndata: {{}}\n\n"
        ),
    }
}

fn write_answer(mut stream: TcpStream, status: &str, body: &Value) -> std::io::Result<()> {
    let body = body.to_string();
    let length = body.len();
    write!(
        stream,
        "HTTP/1.1 {status}\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n{body}"
    )
}

/// Runs the load generator with one request against one VM with `behaviour` and one VM that
/// answers. Returns the report and the requests that the VMs received.
fn run_against(
    behaviour: VmBehaviour,
    pipeline: &str,
) -> (Report, Vec<(VmBehaviour, Option<String>)>) {
    let received = ReceivedRequests::default();
    let faulty = start_vm(behaviour, received.clone());
    let healthy = start_vm(VmBehaviour::AnswerRequest, received.clone());
    let dir = tempfile::tempdir().unwrap();
    let daemons = [("vm-0", faulty), ("vm-1", healthy)];
    let daemons = daemons.map(|(id, address)| json!({ "id": id, "caller_address": address }));
    let write_file =
        |name: &str, text: String| std::fs::write(dir.path().join(name), text).unwrap();
    write_file(
        "fleet.json",
        json!({ "platform_address": faulty, "daemons": daemons }).to_string(),
    );
    let pipeline_entry = |name: &str, at_most_once: bool| {
        let stages =
            [json!({ "name": "s", "kind": "plain", "service": "s", "idempotent": !at_most_once })];
        json!({ "name": name, "deadline_ms": 9000, "stages": stages })
    };
    let pipelines = [
        pipeline_entry("answer", false),
        pipeline_entry("payout", true),
    ];
    write_file(
        "manifest.json",
        json!({ "version": 1, "manifest": { "pipelines": pipelines } }).to_string(),
    );
    let text = SCENARIO.replace("deadline_ms = 1000", "deadline_ms = 9000");
    let text = text.replace("answer = 1, payout = 1", &format!("{pipeline} = 1"));
    write_file("scenario.toml", text);
    let options = LoadOptions {
        scenario: dir.path().join("scenario.toml"),
        fleet_dir: dir.path().to_owned(),
        seed: None,
        duration_s: Some(1.0),
        max_requests: Some(1),
        json: Some(dir.path().join("report.json")),
        plot: Some(dir.path().join("plot.svg")),
    };
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let report = runtime.block_on(run(options)).unwrap();
    let plot = std::fs::read_to_string(dir.path().join("plot.svg")).unwrap();
    assert_that!(plot, contains_substring("</svg>"));
    let received = received.lock().unwrap().clone();
    (report, received)
}

struct RetryCase {
    behaviour: VmBehaviour,
    pipeline: &'static str,
    /// Whether the second attempt must have the request id of the first; `None` if neither
    /// attempt has an id.
    same_id: Option<bool>,
}

#[gtest]
fn callers_retry_at_another_vm_and_keep_the_id_of_a_request_that_may_have_run() {
    let case = |behaviour, pipeline, same_id| RetryCase {
        behaviour,
        pipeline,
        same_id,
    };
    let cases = [
        case(VmBehaviour::RefuseStopping, "answer", None),
        case(VmBehaviour::CloseConnection, "answer", None),
        case(VmBehaviour::CutStream, "answer", None),
        case(VmBehaviour::RefuseStopping, "payout", Some(false)),
        case(VmBehaviour::CloseConnection, "payout", Some(true)),
        case(VmBehaviour::CutStream, "payout", Some(true)),
    ];
    for case in cases {
        let (report, received) = run_against(case.behaviour, case.pipeline);
        expect_that!((report.overall.sent, report.overall.attained), eq((1, 1)));
        expect_that!(report.misdelivered, eq(0));
        expect_that!(report.stages["s"].attempts, eq(2));
        expect_that!(received.len(), eq(2), "{}", case.pipeline);
        expect_that!(
            received[0].0 == case.behaviour && received[1].0 == VmBehaviour::AnswerRequest,
            eq(true)
        );
        let is_same_id = received[0].1 == received[1].1;
        match case.same_id {
            Some(expected) => expect_that!(is_same_id, eq(expected), "{}", case.pipeline),
            None => expect_that!(received[0].1.is_none() && received[1].1.is_none(), eq(true)),
        }
    }
}

/// Builds ledgers from endpoint names, their services and the request ids of their runs.
fn ledgers_of(runs: &[(&str, &str, &[&str])]) -> Ledgers {
    let entry = |(endpoint, service, ids): &(&str, &str, &[&str])| {
        let runs = ids
            .iter()
            .map(|id| json!({ "request_id": id, "elapsed_ms": 2.0 }));
        let ledger = json!({ "runs": runs.collect::<Vec<_>>() });
        let ledger = serde_json::from_value(ledger).unwrap();
        (
            endpoint.parse().unwrap(),
            (service.parse().unwrap(), ledger),
        )
    };
    runs.iter().map(entry).collect()
}

#[gtest]
fn ledgers_show_doubled_ids_across_endpoints_and_lost_work() {
    let dir = tempfile::tempdir().unwrap();
    let write_file = |name: &str, value: Value| {
        std::fs::write(dir.path().join(name), value.to_string()).unwrap();
    };
    let stage = |service: &str, at_most_once: bool| json!({ "name": service, "kind": "plain", "service": service, "idempotent": !at_most_once });
    let stages = [stage("records", false), stage("payments", true)];
    let pipeline = json!({ "name": "payout", "deadline_ms": 1, "stages": stages });
    write_file(
        "manifest.json",
        json!({ "manifest": { "pipelines": [pipeline] } }),
    );
    write_file(
        "fleet.json",
        json!({ "platform_address": "127.0.0.1:1", "daemons": [] }),
    );
    let fleet = Fleet::read(dir.path()).unwrap();
    let before = ledgers_of(&[("pay-0", "payments", &["old"]), ("rec-0", "records", &[])]);
    let after = ledgers_of(&[
        ("pay-0", "payments", &["old", "a", "b"]),
        ("pay-1", "payments", &["old", "c", "a"]),
        ("rec-0", "records", &["a", "b", "b", "c"]),
    ]);
    let report = compare_ledgers(&fleet, &before, &after, &HashSet::from(["a", "c"]));
    expect_that!(report.doubled_request_ids, elements_are![eq("a")]);
    let payments = &report.work["payments"];
    expect_that!((payments.runs, payments.lost_runs), eq((5, 2)));
    let records = &report.work["records"];
    expect_that!((records.elapsed_ms, records.lost_ms), eq((8.0, 4.0)));
}
