//! Guards that headers which cannot be read, of a caller or of an endpoint, cost at most their own request.

mod users_platform;

use std::net::SocketAddr;

use googletest::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use users_platform::Fleet;
use users_platform::backend::Fault;
use users_platform::caller::request;

/// Bytes that are no UTF-8.
const NO_TEXT: &[u8] = b"\xff\xfe";

/// A header of a caller that replaces the usual one of its name, and the status of the answer.
struct CallerCase {
    path: &'static str,
    name: &'static str,
    value: &'static [u8],
    status: u16,
}

const fn case(
    path: &'static str,
    name: &'static str,
    value: &'static [u8],
    status: u16,
) -> CallerCase {
    CallerCase {
        path,
        name,
        value,
        status,
    }
}

const CALLER_CASES: [CallerCase; 24] = [
    case("/look/x", "request-id", NO_TEXT, 400),
    case("/look/x", "request-id", b"", 400),
    case("/look/x", "request-id", b"a&b+c#d%e f", 200),
    case("/look/x", "authorization", b"Token \xff\xfe", 401),
    case("/look/x", "authorization", b"Token a&b+c#d%e f", 401),
    case("/look/x", "authorization", NO_TEXT, 401),
    case("/look/x", "deadline-ms", b"soon", 200),
    case("/look/x", "deadline-ms", b"-1", 200),
    case("/look/x", "deadline-ms", NO_TEXT, 200),
    case("/look/x", "piece-key", NO_TEXT, 200),
    // Its key goes to the endpoints of the first stage, and no other key may be run.
    case("/stream/x", "piece-key", NO_TEXT, 400),
    case("/stream/x", "piece-key", b"a&b+c#d%e f", 200),
    case(
        "/stream/x",
        "prefix-hash",
        b"a1:80,%:&,,zz:x,b2:-4,b2:40",
        200,
    ),
    case("/stream/x", "prefix-hash", NO_TEXT, 200),
    case("/stream/x", "prefix-hash", b"", 200),
    case("/stream/x", "token-usage", b"x,y", 200),
    case("/stream/x", "token-usage", b"1e400,40", 200),
    case("/stream/x", "token-usage", NO_TEXT, 200),
    case("/stream/x", "length-hint", b"99999999999999999999", 200),
    case("/stream/x", "length-hint", NO_TEXT, 200),
    case("/stream/x", "last-event-id", b"x", 200),
    case("/stream/x", "last-event-id", NO_TEXT, 200),
    case("/stream/x", "pieces", b"2,x,,-1,%", 200),
    case("/stream/x", "pieces", NO_TEXT, 200),
];

/// Returns the head and body of a request with the usual headers, one of which is replaced.
fn request_bytes(case: Option<&CallerCase>, path: &str, id: &str) -> Vec<u8> {
    let usual = [
        ("host", "h.example"),
        ("request-id", id),
        ("authorization", "Token key-1"),
        ("deadline-ms", "6000"),
        ("model", "m"),
        ("token-usage", "120,40"),
        ("prefix-hash", "a1:80,b2:40"),
        ("piece-key", "pk"),
        ("pieces", "2,3"),
        ("content-length", "2"),
    ];
    let odd = case.map(|case| (case.name, case.value));
    let kept = usual
        .iter()
        .filter(|(name, _)| odd.is_none_or(|(odd, _)| odd != *name));
    let headers = kept.map(|(name, value)| (*name, value.as_bytes()));
    let mut bytes = format!("POST {path} HTTP/1.1\r\n").into_bytes();
    for (name, value) in headers.chain(odd) {
        bytes.extend([name.as_bytes(), b": ", value, b"\r\n"].concat());
    }
    bytes.extend(b"\r\n{}");
    bytes
}

/// What a caller reads of an answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Answer {
    status: u16,
    /// Whether it says that its connection ends.
    is_last: bool,
}

/// Reads one answer; it has status 0 if the connection ends before it does.
async fn read_answer(stream: &mut TcpStream) -> Answer {
    let mut answer = Vec::new();
    let mut buffer = [0; 4_096];
    loop {
        let text = String::from_utf8_lossy(&answer).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let head = head.to_ascii_lowercase();
            let length = head
                .lines()
                .find_map(|line| line.strip_prefix("content-length: "));
            let length: Option<usize> = length.and_then(|length| length.parse().ok());
            if length.map_or(body.ends_with("0\r\n\r\n"), |length| body.len() >= length) {
                let status = head.split(' ').nth(1);
                return Answer {
                    status: status.and_then(|status| status.parse().ok()).unwrap_or(0),
                    is_last: head.contains("connection: close"),
                };
            }
        }
        match stream.read(&mut buffer).await {
            Ok(read) if read > 0 => answer.extend(&buffer[..read]),
            _ => return Answer::default(),
        }
    }
}

/// Guards against a header that is taken for a missing one where that changes what is run, and against one that costs
/// the requests after it on its connection.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_odd_header_of_a_caller_costs_only_its_request() {
    let fleet = Fleet::start(1).await;
    let caller: SocketAddr = fleet.vms[0].caller_address();
    for (number, case) in CALLER_CASES.iter().enumerate() {
        let what = format!(
            "{} {}: {}",
            case.path,
            case.name,
            String::from_utf8_lossy(case.value)
        );
        let mut stream = TcpStream::connect(caller).await.unwrap();
        let before = received(&fleet);
        let id = format!("odd-{number}");
        let odd = request_bytes(Some(case), case.path, &id);
        stream.write_all(&odd).await.unwrap();
        let answer = read_answer(&mut stream).await;
        expect_that!(answer.status, eq(case.status), "{what}");
        if case.status != 200 {
            expect_that!(received(&fleet), eq(before), "{what}");
        }
        if answer.is_last {
            stream = TcpStream::connect(caller).await.unwrap();
        }
        let id = format!("sound-{number}");
        let sound = request_bytes(None, "/look/x", &id);
        stream.write_all(&sound).await.unwrap();
        let answer = read_answer(&mut stream).await;
        expect_that!(answer.status, eq(200), "after {what}");
    }
}

/// Returns the number of requests that endpoints have received.
fn received(fleet: &Fleet) -> usize {
    let backends = fleet.backends.iter();
    backends.map(|backend| backend.received().len()).sum()
}

/// Headers of all answers of an endpoint.
const ENDPOINT_HEADERS: [(&str, &str); 21] = [
    ("Instance-Load", ""),
    ("Instance-Load", "x"),
    ("Instance-Load", "1,2"),
    ("Instance-Load", "-1,0,8"),
    ("Instance-Load", "99999999999999999999,0,8"),
    ("Instance-Load", "1e400,0,8"),
    ("Instance-Load", "\u{e9},&,%"),
    ("Retry-After", "soon"),
    ("Retry-After", "-1"),
    ("Retry-After", "nan"),
    ("Retry-After", "1e400"),
    ("Retry-After", "99999999999999999999"),
    ("Retry-After", "\u{e9}"),
    ("Server-Leaving", "no"),
    ("Server-Leaving", "\u{e9}%"),
    ("Weight-Versions", "1,x,%"),
    ("Cold-Ms", "-1"),
    ("Cold-Ms", "1e400"),
    ("Keep-Alive", "timeout=x"),
    ("Instance-Id", "a&b+c#d%e f"),
    ("X-Other", "&+#% \u{e9}"),
];

/// Guards against a header of an endpoint that ends a VM or costs the requests that it serves, or its refusal.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_odd_header_of_an_endpoint_costs_no_request() {
    let fleet = Fleet::start(2).await;
    for (number, (name, value)) in ENDPOINT_HEADERS.iter().enumerate() {
        // One endpoint of each service has the header; the other one of the plain service is sound.
        let odd: Vec<_> = fleet.backends.iter().step_by(2).collect();
        odd.iter()
            .for_each(|backend| backend.add_header(name, value));
        // It is read in refusals. Others are not made, since requests are repeated from a budget.
        let faults = match *name {
            "Retry-After" => &[Fault::None, Fault::Full][..],
            _ => &[Fault::None],
        };
        for fault in faults {
            fleet.backends[0].set_fault(*fault);
            for vm in &fleet.vms {
                for path in ["/look/x", "/pay/x", "/stream/x"] {
                    let id = format!("e-{number}-{fault:?}-{}-{}", vm.name, &path[1..4]);
                    let answer = request(vm.caller_address(), path, &id, "key-1").await;
                    let is_served =
                        answer.is_some_and(|answer| answer.status == 200 && answer.is_complete);
                    expect_that!(is_served, eq(true), "{name}: {value}, {fault:?}, {path}");
                }
            }
        }
        fleet.backends[0].set_fault(Fault::None);
        odd.iter().for_each(|backend| backend.remove_headers());
    }
}
