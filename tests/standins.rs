//! Tests of the stand-ins. A fault in a stand-in would make the results of other tests wrong.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::path::Path;
use std::process::{Child, Command};
use std::time::{Duration, Instant};

use googletest::prelude::*;
use primrosewalk::manifest::{ManifestIndex, parse_manifest, part_digest};
use serde_json::{Value, json};
use tempfile::TempDir;

const BINARY: &str = env!("CARGO_BIN_EXE_primrosewalk-standins");

/// Stand-in process that is killed and reaped when this value is dropped.
struct StandIn(Child);

impl Drop for StandIn {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Starts a stand-in and waits until it listens on `address`.
fn start(flags: &[&str], address: &str) -> StandIn {
    let stand_in = StandIn(Command::new(BINARY).args(flags).spawn().unwrap());
    let end = Instant::now() + Duration::from_secs(20);
    while TcpStream::connect(address).is_err() {
        assert!(
            Instant::now() < end,
            "nothing listens at {address} after 20 s"
        );
        std::thread::sleep(Duration::from_millis(10));
    }
    stand_in
}

/// Answer to a request; the head is empty if the connection was closed without one.
struct Answer {
    head: String,
    body: Vec<u8>,
}

impl Answer {
    fn status(&self) -> &str {
        self.head.split(' ').nth(1).unwrap_or("none")
    }

    fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap()
    }
}

/// Sends a request on a new connection and reads until the stand-in closes it.
fn try_send(address: &str, request: &str, headers: &str, body: &str) -> std::io::Result<Answer> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(Duration::from_secs(20)))?;
    let length = body.len();
    write!(
        stream,
        "{request} HTTP/1.1\r\nhost: test\r\nconnection: close\r\n\
         content-length: {length}\r\n{headers}\r\n{body}"
    )?;
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes)?;
    let head_end = bytes.windows(4).position(|part| part == b"\r\n\r\n");
    let head_end = head_end.map_or(bytes.len(), |position| position + 4);
    let body = bytes.split_off(head_end);
    let head = String::from_utf8_lossy(&bytes).into_owned();
    Ok(Answer { head, body })
}

fn get(address: &str, path: &str) -> Answer {
    try_send(address, &format!("GET {path}"), "", "").unwrap()
}

fn post(address: &str, path: &str) -> Answer {
    try_send(address, &format!("POST {path}"), "", "").unwrap()
}

/// Generates the files of a fleet and returns their directory, `fleet.json` and `manifest.json`.
fn generate_fleet(flags: &[&str]) -> (TempDir, Value, Value) {
    let dir = tempfile::tempdir().unwrap();
    let mut command = Command::new(BINARY);
    command
        .arg("fleet")
        .arg("--dir")
        .arg(dir.path())
        .args(flags);
    assert!(command.status().unwrap().success());
    let read = |name: &str| serde_json::from_slice(&std::fs::read(dir.path().join(name)).unwrap());
    let (fleet, manifest) = (read("fleet.json").unwrap(), read("manifest.json").unwrap());
    (dir, fleet, manifest)
}

fn path_text(path: &Path) -> &str {
    path.to_str().unwrap()
}

/// Replaces the manifest file atomically by one with another version.
fn write_manifest(dir: &Path, version: u64, manifest: &Value) {
    let file = json!({ "version": version, "manifest": manifest["manifest"] });
    std::fs::write(dir.join("next"), file.to_string()).unwrap();
    std::fs::rename(dir.join("next"), dir.join("manifest.json")).unwrap();
}

/// Guards against a stand-in that compares keys and queries as they are sent: it would share the mistake of a client that
/// does not escape them.
#[gtest]
fn the_platform_decodes_keys_and_queries() {
    let (dir, fleet, _) = generate_fleet(&[]);
    let address = fleet["platform_address"].as_str().unwrap();
    let dir = path_text(dir.path());
    let _platform = start(&["platform", "--listen", address, "--dir", dir], address);
    let manifest = get(address, "/v1/values/m%61nifest");
    expect_that!(manifest.status(), eq("200"));
    let index: ManifestIndex = serde_json::from_slice(&manifest.body).unwrap();
    let (first, rest) = index.parts[0].sha256.split_at(1);
    let escaped = format!("%{:02X}{rest}", first.as_bytes()[0]);
    let part = get(address, &format!("/v1/values/manifest/part/{escaped}"));
    expect_that!(part_digest(&part.body), eq(&index.parts[0].sha256));
    let unchanged = get(address, "/v1/values/manifest?%61fter_version=%31&wait_ms=1");
    expect_that!(unchanged.status(), eq("304"));
}

#[gtest]
fn platform_serves_parts_that_make_up_the_manifest() {
    let (dir, fleet, manifest) = generate_fleet(&["--organisations", "9000"]);
    let address = fleet["platform_address"].as_str().unwrap();
    let _platform = start(
        &[
            "platform",
            "--listen",
            address,
            "--dir",
            path_text(dir.path()),
        ],
        address,
    );
    let initial_read = get(address, "/v1/values/manifest?after_version=0&wait_ms=20000");
    let index: ManifestIndex = serde_json::from_slice(&initial_read.body).unwrap();
    let mut parts = Vec::new();
    for part in &index.parts {
        let answer = get(
            address,
            &format!("/v1/values/manifest/part/{}", part.sha256),
        );
        expect_that!(answer.body.len(), lt(1_000_000), "{}", part.name);
        expect_that!(part_digest(&answer.body), eq(&part.sha256));
        parts.push((part.name.as_str(), answer.body));
    }
    let parts = parts.iter().map(|(name, body)| (*name, body.as_slice()));
    let complete_manifest = parse_manifest(index.version, parts).unwrap();
    expect_that!(complete_manifest.organisations.len(), eq(9000));
    expect_that!(
        index
            .parts
            .iter()
            .any(|part| part.name == "organisations-001"),
        eq(true)
    );

    write_manifest(dir.path(), 2, &manifest);
    let after_update = get(address, "/v1/values/manifest?after_version=1&wait_ms=20000");
    expect_that!(after_update.head, contains_substring("x-version: 2"));
    post(address, "/control/stale?version=1");
    let stale = get(address, "/v1/values/manifest?after_version=1&wait_ms=1");
    expect_that!(stale.status(), eq("304"));
    post(address, "/control/stop");
    expect_that!(get(address, "/v1/values/vms").status(), eq("none"));
    expect_that!(
        get(address, "/control/counts").json()["manifest"],
        eq(&json!(3))
    );
}

#[gtest]
fn platform_refuses_reads_beyond_the_budget() {
    let (dir, fleet, _) = generate_fleet(&[]);
    let address = fleet["platform_address"].as_str().unwrap();
    let flags = [
        "platform",
        "--listen",
        address,
        "--dir",
        path_text(dir.path()),
    ];
    let _platform = start(
        &[&flags[..], &["--reads-per-second", "0"]].concat(),
        address,
    );
    expect_that!(get(address, "/v1/values/vms").status(), eq("429"));
}

/// Asks an endpoint stand-in to run a stage, with additional header lines.
fn run_stage(address: &str, request_id: &str, headers: &str) -> Answer {
    let headers = format!("x-request-id: {request_id}\r\nx-attempt-id: a\r\n{headers}");
    let body = r#"{"stage":"s","input":{"q":1}}"#;
    try_send(address, "POST /v1/run", &headers, body).unwrap()
}

fn endpoint_address(manifest: &Value, name: &str) -> String {
    let endpoints = manifest["manifest"]["endpoints"].as_array().unwrap();
    let endpoint = endpoints
        .iter()
        .find(|endpoint| endpoint["name"] == name)
        .unwrap();
    endpoint["address"].as_str().unwrap().to_owned()
}

#[gtest]
fn endpoint_refuses_beyond_its_cold_slots_and_keeps_a_ledger() {
    let (_dir, _, manifest) = generate_fleet(&["--vms", "1"]);
    let address = &endpoint_address(&manifest, "payments-0");
    let flags = [
        "--kind",
        "plain",
        "--name",
        "payments-0",
        "--cold-slots",
        "1",
    ];
    let more = ["--cold-ms", "600000", "--forbidden", "secret"];
    let listen = ["endpoint", "--listen", address];
    let _endpoint = start(&[&listen[..], &flags, &more].concat(), address);
    let first = run_stage(address, "r1", "");
    expect_that!(first.json()["output"]["request_id"], eq(&json!("r1")));
    post(address, "/control/cold");
    post(address, "/control/slow?ms=600000");
    let waiting_address = address.clone();
    std::thread::spawn(move || run_stage(&waiting_address, "r2", "other: secret\r\n"));
    let end = Instant::now() + Duration::from_secs(20);
    while get(address, "/load").json()["running"] != 1 && Instant::now() < end {
        std::thread::sleep(Duration::from_millis(5));
    }
    let refused = run_stage(address, "r3", "");
    expect_that!(refused.status(), eq("503"));
    expect_that!(refused.head, contains_substring("x-not-run: true"));
    expect_that!(refused.head, contains_substring("x-state: cold"));
    let ledger = get(address, "/ledger").json();
    let runs = ledger["runs"].as_array().unwrap();
    let ids: Vec<_> = runs
        .iter()
        .map(|run| run["request_id"].as_str().unwrap())
        .collect();
    expect_that!(ids, elements_are![eq(&"r1"), eq(&"r2")]);
    expect_that!(ledger["cold_refusals_ms"].as_array().unwrap().len(), eq(1));
    expect_that!(
        ledger["key_sightings"],
        eq(&json!({"/v1/run header other": 1}))
    );
}

#[gtest]
fn engine_streams_to_an_end_and_stops_when_the_caller_leaves() {
    let (_dir, _, manifest) = generate_fleet(&["--vms", "1"]);
    let address = &endpoint_address(&manifest, "engine-0");
    let flags = ["--kind", "engine", "--name", "engine-0", "--tokens", "3"];
    let more = ["--first-token-ms", "1", "--token-ms", "1"];
    let listen = ["endpoint", "--listen", address];
    let _engine = start(&[&listen[..], &flags, &more].concat(), address);
    let stream = String::from_utf8(run_stage(address, "r1", "").body).unwrap();
    expect_that!(stream.matches("event: token").count(), eq(3));
    expect_that!(stream, contains_substring("event: end"));
    post(address, "/control/slow?ms=600000");
    let mut stream = TcpStream::connect(address).unwrap();
    let body = r#"{"stage":"s","input":1}"#;
    write!(
        stream,
        "POST /v1/run HTTP/1.1\r\nhost: t\r\ncontent-length: 23\r\n\r\n{body}"
    )
    .unwrap();
    let mut byte = [0];
    stream.read_exact(&mut byte).unwrap();
    drop(stream);
    let end = Instant::now() + Duration::from_secs(20);
    while get(address, "/ledger").json()["cancelled"] != 1 && Instant::now() < end {
        std::thread::sleep(Duration::from_millis(5));
    }
    expect_that!(get(address, "/ledger").json()["cancelled"], eq(&json!(1)));
}

/// Order that an endpoint receives after one with the fencing number [2, 1, 5].
struct OrderCase {
    checks_fencing: bool,
    fencing: [u64; 3],
    status: &'static str,
}

#[gtest]
fn only_endpoints_that_check_fencing_refuse_an_old_fencing_number() {
    let cases = [
        OrderCase {
            checks_fencing: true,
            fencing: [2, 1, 4],
            status: "409",
        },
        OrderCase {
            checks_fencing: true,
            fencing: [2, 1, 5],
            status: "200",
        },
        OrderCase {
            checks_fencing: false,
            fencing: [1, 9, 9],
            status: "200",
        },
    ];
    for case in cases {
        let (_dir, _, manifest) = generate_fleet(&["--vms", "1"]);
        let address = &endpoint_address(&manifest, "engine-0");
        let check: &[&str] = if case.checks_fencing {
            &["--checks-fencing"]
        } else {
            &[]
        };
        let flags = [
            "endpoint", "--listen", address, "--kind", "engine", "--name", "e",
        ];
        let _engine = start(&[&flags, check].concat(), address);
        let order = |fencing| {
            let body = json!({ "order": "load", "model": "m", "fencing": fencing }).to_string();
            try_send(address, "POST /v1/orders", "", &body).unwrap()
        };
        expect_that!(order([2, 1, 5]).status(), eq("200"));
        expect_that!(
            order(case.fencing).status(),
            eq(case.status),
            "{:?}",
            case.fencing
        );
    }
}

#[gtest]
fn fault_proxy_passes_cuts_freezes_and_delays() {
    let (_dir, fleet, manifest) = generate_fleet(&["--vms", "1"]);
    let address = &endpoint_address(&manifest, "encoder-0");
    let listen = &endpoint_address(&manifest, "encoder-1");
    let control = fleet["fault_proxy_control_address"].as_str().unwrap();
    let flags = ["--kind", "encode", "--name", "encoder-0"];
    let _endpoint = start(
        &[&["endpoint", "--listen", address][..], &flags].concat(),
        address,
    );
    let link = format!("{listen}={address}");
    let _proxy = start(
        &["fault-proxy", "--link", &link, "--control", control],
        control,
    );
    expect_that!(get(listen, "/load").status(), eq("200"));

    post(control, "/control/delay?ms=60");
    let started = Instant::now();
    expect_that!(get(listen, "/load").status(), eq("200"));
    expect_that!(started.elapsed(), ge(Duration::from_millis(120)));

    for mode in ["freeze", "half-open?forward=to", "half-open?forward=from"] {
        post(control, &format!("/control/{mode}"));
        let mut stream = TcpStream::connect(listen).unwrap();
        write!(
            stream,
            "GET /load HTTP/1.1\r\nhost: t\r\nconnection: close\r\n\r\n"
        )
        .unwrap();
        stream
            .set_read_timeout(Some(Duration::from_millis(150)))
            .unwrap();
        let mut bytes = [0; 9];
        expect_that!(stream.read(&mut bytes).is_err(), eq(true), "{mode}");
        post(control, "/control/resume");
        stream
            .set_read_timeout(Some(Duration::from_secs(20)))
            .unwrap();
        stream.read_exact(&mut bytes).unwrap();
        expect_that!(bytes.starts_with(b"HTTP/1.1"), eq(true), "{mode}");
    }

    let mut open_stream = TcpStream::connect(listen).unwrap();
    post(control, "/control/cut");
    expect_that!(
        open_stream.read(&mut [0]).map_err(|error| error.kind()),
        err(anything())
    );
    let end = Instant::now() + Duration::from_secs(20);
    while TcpStream::connect(listen).is_ok() && Instant::now() < end {
        std::thread::sleep(Duration::from_millis(5));
    }
    expect_that!(TcpStream::connect(listen).is_err(), eq(true));
    post(control, "/control/pass");
    while TcpStream::connect(listen).is_err() && Instant::now() < end {
        std::thread::sleep(Duration::from_millis(5));
    }
    expect_that!(get(listen, "/load").status(), eq("200"));
}
