//! Guards against refusals that callers never see: a VM that refuses a request while its body is still on
//! its way must not reset the connection, since a caller that writes first then loses the refusal.

mod users_platform;

use std::net::SocketAddr;
use std::time::Duration;

use futures::future::join_all;
use googletest::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::sleep;
use users_platform::Fleet;

/// Number of writes in which a body comes.
const BODY_WRITES: usize = 8;
/// Pauses between two writes, so that each one arrives by itself. With the longer one, the body takes
/// seconds.
const WRITE_PAUSES: [Duration; 2] = [Duration::from_millis(15), Duration::from_millis(300)];

struct Case {
    name: &'static str,
    head: &'static str,
    status: &'static str,
    /// Size of one write of the body; the limit of the fixture for a body is 100,000 bytes.
    write_bytes: usize,
}

const CASES: [Case; 5] = [
    Case {
        name: "no route",
        head: "POST /none/x HTTP/1.1\r\n",
        status: "404",
        write_bytes: 2_000,
    },
    Case {
        name: "unknown key",
        head: "POST /look/x HTTP/1.1\r\nAuthorization: Token other\r\nRequest-Id: r-1\r\n",
        status: "401",
        write_bytes: 2_000,
    },
    Case {
        name: "no id",
        head: "POST /look/x HTTP/1.1\r\nAuthorization: Token key-1\r\n",
        status: "400",
        write_bytes: 2_000,
    },
    Case {
        name: "body too large",
        head: "POST /look/x HTTP/1.1\r\nAuthorization: Token key-1\r\nRequest-Id: r-1\r\n",
        status: "413",
        write_bytes: 40_000,
    },
    Case {
        name: "stream by HTTP/1.0",
        head: "POST /stream/x HTTP/1.0\r\nAuthorization: Token key-1\r\nRequest-Id: r-1\r\n",
        status: "505",
        write_bytes: 2_000,
    },
];

/// Sends a request whose body comes in several writes, and reads the answer only after the last one.
/// Returns what the caller read.
async fn write_then_read(
    vm: SocketAddr,
    case: &Case,
    is_chunked: bool,
    pause: Duration,
) -> std::io::Result<String> {
    let mut stream = TcpStream::connect(vm).await?;
    let framing = match is_chunked {
        true => "Transfer-Encoding: chunked".to_owned(),
        false => format!("Content-Length: {}", BODY_WRITES * case.write_bytes),
    };
    let head = format!("{}Host: h.example\r\n{framing}\r\n\r\n", case.head);
    stream.write_all(head.as_bytes()).await?;
    let data = "x".repeat(case.write_bytes);
    for _ in 0..BODY_WRITES {
        sleep(pause).await;
        let text = match is_chunked {
            true => format!("{:x}\r\n{data}\r\n", data.len()),
            false => data.clone(),
        };
        stream.write_all(text.as_bytes()).await?;
    }
    if is_chunked {
        stream.write_all(b"0\r\n\r\n").await?;
    }
    sleep(pause).await;
    let mut bytes = vec![0; 4_096];
    let size = stream.read(&mut bytes).await?;
    Ok(String::from_utf8_lossy(&bytes[..size]).into_owned())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_reaches_a_caller_that_writes_its_whole_body_first() {
    let fleet = Fleet::start(1).await;
    let vm = fleet.vms[0].caller_address();
    let attempts = CASES.iter().flat_map(|case| {
        let pauses = WRITE_PAUSES.into_iter();
        pauses.flat_map(move |pause| [false, true].map(|is_chunked| (case, is_chunked, pause)))
    });
    let attempts =
        attempts.filter(|(case, is_chunked, _)| !is_chunked || !case.head.contains("HTTP/1.0"));
    let checks = attempts.map(|(case, is_chunked, pause)| async move {
        let answer = write_then_read(vm, case, is_chunked, pause).await;
        let name = format!(
            "{}, chunked: {is_chunked}, {pause:?}: {answer:?}",
            case.name
        );
        let status = answer.unwrap_or_default();
        let status = status.split(' ').nth(1);
        expect_that!(status, some(eq(case.status)), "{name}");
    });
    join_all(checks).await;
}
