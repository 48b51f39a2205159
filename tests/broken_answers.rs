//! Guards callers against answers that an endpoint broke off, that are no HTTP, or that belong to another request: a
//! part of an answer must not look complete, a status that does not exist must not reach a caller, and the refusal of
//! another request must not count for this one.

mod users_platform;

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use bytes::Bytes;
use googletest::prelude::*;
use serde_json::json;
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::task::AbortOnDropHandle;
use users_platform::caller::{CallerAnswer, request_with};
use users_platform::{Fleet, eventually};

/// Size of a request that does not fit the buffers of the kernel, so that it is still being sent when the answer
/// comes.
const LARGE_BODY_BYTES: usize = 12 * 1024 * 1024;
/// Receive buffer of the endpoint, which does not read.
const RECEIVE_BUFFER_BYTES: usize = 4 * 1024;
/// Part of a body that the endpoint sends before it resets the connection.
const PART: &str = "a part of the answer";

/// Endpoint of the service `plain` that answers each request with given bytes after its head.
struct RawEndpoint {
    /// Number of requests that it got.
    requests: Arc<AtomicU32>,
    _task: AbortOnDropHandle<()>,
}

impl RawEndpoint {
    /// Starts the endpoint and makes it the only one of the service. `answer` makes the bytes from the request's
    /// id; the connection is reset after `reset_after`, if that is given, and otherwise closed.
    async fn start(
        fleet: &Fleet,
        answer: impl Fn(&str) -> String + Send + Sync + 'static,
        reset_after: Option<Duration>,
    ) -> Self {
        let [a, b, c, _] = fleet.vms[0].ip.octets();
        let address: SocketAddr = (Ipv4Addr::new(a, b, c, 200), 9_000).into();
        let listener = TcpListener::bind(address).await.unwrap();
        SockRef::from(&listener)
            .set_recv_buffer_size(RECEIVE_BUFFER_BYTES)
            .unwrap();
        let requests = Arc::new(AtomicU32::new(0));
        let counted = Arc::clone(&requests);
        let task = AbortOnDropHandle::new(tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                counted.fetch_add(1, Ordering::Relaxed);
                let answered = answer_raw(stream, &answer, reset_after);
                // A caller that leaves ends the exchange.
                let _ = answered.await;
            }
        }));
        for backend in fleet.backends_of("plain") {
            fleet.store.delete(&format!("servers/{}", backend.id));
        }
        let entry = json!({
            "Service": "plain", "Address": address.to_string(), "Zone": "a", "Version": "v1", "Slots": 6,
            "State": "ready", "ColdRemainingMs": 0, "Sequence": 1, "born": 1
        });
        fleet.store.put("servers/i-raw", &entry);
        let is_listed = || async {
            let log = fleet.vms[0].log();
            log.contains("\"endpoint\":\"i-raw\"") || log.contains("endpoint: i-raw")
        };
        eventually("the endpoint is listed", is_listed).await;
        tokio::time::sleep(Duration::from_millis(200)).await;
        Self {
            requests,
            _task: task,
        }
    }
}

/// Reads the head of a request, and answers.
async fn answer_raw(
    mut stream: TcpStream,
    answer: &impl Fn(&str) -> String,
    reset_after: Option<Duration>,
) -> std::io::Result<()> {
    let mut head = Vec::new();
    while !head.windows(4).any(|end| end == b"\r\n\r\n") {
        let mut byte = [0];
        if stream.read(&mut byte).await? == 0 {
            return Ok(());
        }
        head.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&head).to_lowercase();
    let id = head.split("request-id: ").nth(1);
    let id = id
        .and_then(|rest| rest.split("\r\n").next())
        .unwrap_or_default();
    stream.write_all(answer(id).as_bytes()).await?;
    if let Some(pause) = reset_after {
        tokio::time::sleep(pause).await;
        SockRef::from(&stream).set_linger(Some(Duration::ZERO))?;
    }
    Ok(())
}

async fn fleet_for_large_bodies() -> Fleet {
    let mut fleet = Fleet::start(1).await;
    fleet.change_configuration(|configuration| {
        configuration["Limits"]["MaxBodyBytes"] = json!(2 * LARGE_BODY_BYTES);
    });
    tokio::time::sleep(Duration::from_millis(700)).await;
    fleet
}

async fn send(fleet: &Fleet, path: &str, id: &str, body: Bytes) -> Option<CallerAnswer> {
    request_with(
        fleet.vms[0].caller_address(),
        path,
        id,
        "key-1",
        &[],
        body,
        2_000,
    )
    .await
}

/// The kernel reports a reset to the first call on the socket: if that is the write of the request, the read after it
/// finds what looks like the end of an answer without a length.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_is_reset_during_the_upload_is_not_complete() {
    let heads = [
        ("no length", ""),
        ("a length", "content-length: 500\r\n"),
        ("chunks", "transfer-encoding: chunked\r\n"),
    ];
    for (name, framing) in heads {
        for pause_ms in [0, 1, 5, 50] {
            let fleet = fleet_for_large_bodies().await;
            let answer = move |id: &str| {
                let part = match framing.contains("chunked") {
                    true => format!("{:x}\r\n{PART}\r\n", PART.len()),
                    false => PART.to_owned(),
                };
                format!(
                    "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nresponse-signature: s\r\n{framing}\r\n{part}"
                )
            };
            let pause = Duration::from_millis(pause_ms);
            let endpoint = RawEndpoint::start(&fleet, answer, Some(pause)).await;
            for path in ["/look/x", "/pay/x"] {
                for number in 0..3 {
                    let id = format!("r-{number}");
                    let body = Bytes::from(vec![b'x'; LARGE_BODY_BYTES]);
                    let answer = send(&fleet, path, &id, body).await;
                    let is_success = answer.is_some_and(|answer| answer.status == 200);
                    expect_that!(is_success, eq(false), "{name}, {pause_ms} ms, {path} {id}");
                }
            }
            let requests = endpoint.requests.load(Ordering::Relaxed);
            expect_that!(requests, ge(6), "{name}, {pause_ms} ms");
        }
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_status_that_does_not_exist_reaches_no_caller() {
    struct Case {
        status: &'static str,
        /// Further headers of the answer.
        headers: &'static str,
    }
    let statuses = [
        "000", "001", "099", "101", "600", "700", "999", "1000", "20", "2oo", "-200",
    ];
    let cases = statuses
        .into_iter()
        .flat_map(|status| ["", "not-executed: 1\r\n"].map(|headers| Case { status, headers }));
    for Case { status, headers } in cases {
        let fleet = Fleet::start(1).await;
        let answer = move |id: &str| {
            format!(
                "HTTP/1.1 {status} Odd\r\nrequest-id: {id}\r\nresponse-signature: s\r\n{headers}\
                 content-length: 4\r\n\r\nbody"
            )
        };
        let _endpoint = RawEndpoint::start(&fleet, answer, None).await;
        for path in ["/look/x", "/pay/x"] {
            let answer = send(&fleet, path, "r-1", Bytes::from_static(b"{}")).await;
            let answer = answer.expect("the VM answers");
            let case = format!("{status} {headers:?} {path}");
            // It may have run, so that no answer may say that it has not.
            expect_that!(answer.status, any![eq(502), eq(504)], "{case}");
            expect_that!(answer.is_signed, eq(false), "{case}");
            expect_that!(answer.body.contains("body"), eq(false), "{case}");
        }
    }
}

/// An endpoint that refuses a request while its body is still on its way may go on to run it.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_during_the_upload_counts_for_what_it_states() {
    struct Case {
        status: u16,
        /// Further headers of the answer.
        headers: &'static str,
        expected: u16,
    }
    let statuses = [503, 429, 408];
    let cases = statuses.into_iter().flat_map(|status| {
        let case = |headers, expected| Case {
            status,
            headers,
            expected,
        };
        [case("", 502), case("not-executed: 1\r\n", 503)]
    });
    for case in cases {
        let fleet = fleet_for_large_bodies().await;
        let answer = move |id: &str| {
            format!(
                "HTTP/1.1 {} Early\r\nrequest-id: {id}\r\nresponse-signature: s\r\n{}content-length: 4\r\n\r\nbody",
                case.status, case.headers
            )
        };
        let pause = Duration::from_millis(200);
        let endpoint = RawEndpoint::start(&fleet, answer, Some(pause)).await;
        for (number, path) in ["/pay/x", "/look/x"].into_iter().enumerate() {
            let id = format!("r-{number}");
            let body = Bytes::from(vec![b'x'; LARGE_BODY_BYTES]);
            let answer = send(&fleet, path, &id, body).await.expect("the VM answers");
            let name = format!("{} {:?} {path}", case.status, case.headers);
            expect_that!(answer.status, eq(case.expected), "{name}");
            expect_that!(answer.is_signed, eq(false), "{name}");
        }
        let requests = endpoint.requests.load(Ordering::Relaxed);
        expect_that!(requests, eq(2), "{} {:?}", case.status, case.headers);
    }
}

/// An endpoint may send the refusal of another request, after a complete answer or in its place. It names the other
/// request or none.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn the_refusal_of_another_request_counts_for_no_request() {
    struct Case {
        /// Header with which the refusal names its request.
        name: &'static str,
        is_after_answer: bool,
        expected: u16,
    }
    let cases = [
        Case {
            name: "request-id: another\r\n",
            is_after_answer: true,
            expected: 200,
        },
        Case {
            name: "",
            is_after_answer: true,
            expected: 200,
        },
        Case {
            name: "request-id: another\r\n",
            is_after_answer: false,
            expected: 502,
        },
    ];
    for case in cases {
        let fleet = Fleet::start(1).await;
        let refusal = format!(
            "HTTP/1.1 503 Full\r\n{}not-executed: 1\r\ncontent-length: 0\r\n\r\n",
            case.name
        );
        let answer = move |id: &str| {
            let own = format!(
                "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nresponse-signature: s\r\ncontent-length: 4\r\n\r\nbody"
            );
            match case.is_after_answer {
                true => own + &refusal,
                false => refusal.clone() + &own,
            }
        };
        let endpoint = RawEndpoint::start(&fleet, answer, None).await;
        for number in 0..6 {
            let (path, id) = (["/pay/x", "/look/x"][number % 2], format!("r-{number}"));
            let answer = send(&fleet, path, &id, Bytes::from_static(b"{}")).await;
            let status = answer.expect("the VM answers").status;
            expect_that!(status, eq(case.expected), "{:?} {path}", case.name);
        }
        expect_that!(
            endpoint.requests.load(Ordering::Relaxed),
            eq(6),
            "{:?}",
            case.name
        );
    }
}
