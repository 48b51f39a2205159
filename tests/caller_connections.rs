//! Guards against requests that are lost with their connection: each request whose first byte a VM has
//! read is answered or refused, whatever the connection, the configuration or the VM goes through.

mod users_platform;

use std::net::SocketAddr;
use std::time::Duration;

use futures::StreamExt;
use futures::future::join_all;
use googletest::prelude::*;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::{Request as HyperRequest, StatusCode};
use primrosewalk::fleet::caller_connection::{ConnectionContext, DEFAULT_LIMITS, serve_connection};
use primrosewalk::fleet::caller_memory::CallerAccount;
use primrosewalk::fleet::model::CallerLimits;
use primrosewalk::fleet::reply::{Reply, text, whole_body};
use rustix::process::Signal;
use serde_json::{Value, json};
use slog::{Logger, o};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;
use users_platform::Fleet;

/// Time within which an answer comes; the engines' work takes 3 s at most.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(4_500);

/// What happens next on the connection of a case.
enum Step {
    /// The caller sends a request.
    Request(&'static str),
    /// The caller sends these bytes.
    Bytes(&'static str),
    /// The caller sends a request with a header of that many bytes.
    HeaderBytes(usize),
    /// The caller sends a request with that many headers.
    Headers(usize),
    PauseMs(u64),
    /// The operator changes a limit, and the VM learns of it.
    Limit(&'static str, u64),
    /// The VM gets the signal for a planned stop.
    Stop,
    /// The caller reads an answer with one of these statuses, to its end.
    Answer(&'static [u16]),
    /// The same, within that many milliseconds.
    AnswerWithinMs(u64, &'static [u16]),
    /// The VM closes the connection without a reset.
    Closed,
}

use Step::{
    Answer, AnswerWithinMs, Bytes, Closed, HeaderBytes, Headers, Limit, PauseMs, Request, Stop,
};

struct Case {
    name: &'static str,
    steps: &'static [Step],
}

const LOOK: &str = "POST /look/x HTTP/1.1\r\nDeadline-Ms: 3000\r\nContent-Length: 2\r\n";
const COMMON: &str = "Host: h.example\r\nRequest-Id: r-1\r\nAuthorization: Token key-1\r\n";

/// At first the limits on idle time and on the head are 1 s, and connections close 1.5 s later.
const CASES: &[Case] = &[
    Case {
        name: "the idle timeout is raised while a connection is idle",
        steps: &[
            Request(LOOK),
            Answer(&[200]),
            Limit("IdleTimeoutMs", 8_000),
            PauseMs(3_500),
            Request(LOOK),
            Answer(&[200]),
        ],
    },
    Case {
        name: "the limit on headers is raised while a connection is open",
        steps: &[
            Request(LOOK),
            Answer(&[200]),
            Limit("MaxHeaderBytes", 40_000),
            HeaderBytes(36_000),
            Answer(&[200]),
        ],
    },
    Case {
        name: "the limit on headers is lowered while a connection is open",
        steps: &[
            Limit("MaxHeaderBytes", 40_000),
            HeaderBytes(36_000),
            Answer(&[200]),
            Limit("MaxHeaderBytes", 16_000),
            HeaderBytes(36_000),
            Answer(&[431]),
            Closed,
        ],
    },
    Case {
        name: "the head is far too large",
        steps: &[HeaderBytes(300_000), Answer(&[431]), Closed],
    },
    Case {
        name: "many headers",
        steps: &[Headers(120), Answer(&[200])],
    },
    Case {
        name: "the head stays incomplete",
        steps: &[Bytes("POST /look/x HTT"), Answer(&[408]), Closed],
    },
    Case {
        name: "no request comes",
        steps: &[Closed],
    },
    Case {
        name: "the body comes slower than the deadline allows",
        steps: &[
            Request("POST /look/x HTTP/1.1\r\nDeadline-Ms: 500\r\nContent-Length: 10\r\n"),
            AnswerWithinMs(900, &[408]),
        ],
    },
    Case {
        name: "the first part of a head comes before a planned stop closes the connection",
        steps: &[
            Request(LOOK),
            Answer(&[200]),
            Stop,
            PauseMs(1_700),
            Bytes("POST /look/x HTTP/1.1\r\nContent-Le"),
            PauseMs(800),
            Bytes("ngth: 2\r\nHost: h.example\r\nRequest-Id: r-2\r\n"),
            Bytes("Authorization: Token key-1\r\n\r\n{}"),
            Answer(&[200, 503]),
            Closed,
        ],
    },
    Case {
        name: "a request follows a stream that ends after a planned stop has begun",
        steps: &[
            Request("POST /once-stream/x HTTP/1.1\r\nDeadline-Ms: 6000\r\nContent-Length: 2\r\n"),
            PauseMs(600),
            Stop,
            PauseMs(600),
            Request(LOOK),
            Answer(&[200]),
            Answer(&[200, 503]),
            Closed,
        ],
    },
    Case {
        name: "requests are sent together",
        steps: &[
            Request(LOOK),
            Request(LOOK),
            Request(LOOK),
            Answer(&[200]),
            Answer(&[200]),
            Answer(&[200]),
        ],
    },
    Case {
        name: "the caller asks for a close and sends more",
        steps: &[
            Request("POST /look/x HTTP/1.1\r\nConnection: close\r\nContent-Length: 2\r\n"),
            Request(LOOK),
            Answer(&[200]),
            Closed,
        ],
    },
    Case {
        name: "the caller waits for leave to send the body",
        steps: &[
            Bytes("POST /look/x HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n"),
            Bytes("Host: h.example\r\nRequest-Id: r-1\r\nAuthorization: Token key-1\r\n\r\n"),
            Answer(&[100]),
            Bytes("{}"),
            Answer(&[200]),
        ],
    },
    Case {
        name: "a body in chunks with trailers",
        steps: &[
            Bytes("POST /look/x HTTP/1.1\r\nTransfer-Encoding: chunked\r\nTrailer: Sum\r\n"),
            Bytes("Host: h.example\r\nRequest-Id: r-1\r\nAuthorization: Token key-1\r\n\r\n"),
            Bytes("2\r\n{}\r\n0\r\nSum: 1\r\n\r\n"),
            Answer(&[200]),
            Request(LOOK),
            Answer(&[200]),
        ],
    },
    Case {
        name: "HTTP/1.0",
        steps: &[
            Request("POST /look/x HTTP/1.0\r\nContent-Length: 2\r\n"),
            Answer(&[200]),
            Closed,
        ],
    },
    Case {
        name: "a line end after a body",
        steps: &[
            Request(LOOK),
            Bytes("\r\n"),
            Answer(&[200]),
            Request(LOOK),
            Answer(&[200]),
        ],
    },
];

/// Connection of a caller, with the bytes that were read beyond the last answer.
struct Caller {
    stream: TcpStream,
    bytes: Vec<u8>,
}

impl Caller {
    async fn connect(vm: SocketAddr) -> Self {
        Self {
            stream: TcpStream::connect(vm).await.unwrap(),
            bytes: Vec::new(),
        }
    }

    async fn read_more(&mut self) -> std::result::Result<(), String> {
        match self.stream.read_buf(&mut self.bytes).await {
            Ok(0) => Err("the connection was closed".to_owned()),
            Ok(_) => Ok(()),
            Err(error) => Err(error.to_string()),
        }
    }

    async fn read_until(&mut self, mark: &str) -> std::result::Result<String, String> {
        loop {
            let found = self
                .bytes
                .windows(mark.len())
                .position(|window| window == mark.as_bytes());
            if let Some(position) = found {
                let rest = self.bytes.split_off(position + mark.len());
                let read = std::mem::replace(&mut self.bytes, rest);
                return Ok(String::from_utf8_lossy(&read).into_owned());
            }
            self.read_more().await?;
        }
    }

    /// Reads one answer, and returns its status.
    async fn read_answer(&mut self) -> std::result::Result<u16, String> {
        let head = self.read_until("\r\n\r\n").await?.to_ascii_lowercase();
        if head.contains("transfer-encoding: chunked") {
            self.read_until("\r\n0\r\n\r\n").await?;
        }
        let length = head.split("content-length: ").nth(1);
        let length = length.and_then(|rest| rest.lines().next()?.parse().ok());
        let length: usize = length.unwrap_or(0);
        while self.bytes.len() < length {
            self.read_more().await?;
        }
        self.bytes.drain(..length);
        let status = head
            .split(' ')
            .nth(1)
            .and_then(|status| status.parse().ok());
        status.ok_or(head)
    }

    async fn send(&mut self, text: &str) {
        // If the VM has closed the connection, the next answer is missing.
        let _ = self.stream.write_all(text.as_bytes()).await;
    }
}

/// Runs the step, and returns what was wrong.
async fn run_step(
    fleet: &mut Fleet,
    caller: &mut Caller,
    step: &Step,
) -> std::result::Result<(), String> {
    let (limit, allowed) = match step {
        Request(head) => {
            caller.send(&format!("{head}{COMMON}\r\n{{}}")).await;
            return Ok(());
        }
        Bytes(text) => {
            caller.send(text).await;
            return Ok(());
        }
        HeaderBytes(bytes) => {
            let value = "x".repeat(*bytes);
            let text = format!("{LOOK}{COMMON}Other: {value}\r\n\r\n{{}}");
            caller.send(&text).await;
            return Ok(());
        }
        Headers(count) => {
            let headers: String = (0..*count).map(|n| format!("Other-{n}: x\r\n")).collect();
            caller
                .send(&format!("{LOOK}{COMMON}{headers}\r\n{{}}"))
                .await;
            return Ok(());
        }
        PauseMs(pause) => {
            sleep(Duration::from_millis(*pause)).await;
            return Ok(());
        }
        Limit(name, value) => {
            let change = |document: &mut Value| document["Limits"][*name] = json!(value);
            fleet.change_configuration(change);
            sleep(Duration::from_millis(500)).await;
            return Ok(());
        }
        Stop => {
            fleet.vms[0].signal(Signal::TERM);
            return Ok(());
        }
        Closed => {
            let closed = timeout(ANSWER_TIMEOUT, caller.read_more()).await;
            let is_closed = closed == Ok(Err("the connection was closed".to_owned()));
            return is_closed.then_some(()).ok_or(format!("{closed:?}"));
        }
        Answer(allowed) => (ANSWER_TIMEOUT, allowed),
        AnswerWithinMs(limit, allowed) => (Duration::from_millis(*limit), allowed),
    };
    let status = timeout(limit, caller.read_answer()).await;
    let status = status.map_err(|_| "no answer in time".to_owned())??;
    let is_allowed = allowed.contains(&status);
    is_allowed.then_some(()).ok_or(format!("status {status}"))
}

async fn run_case(case: &Case) -> Option<String> {
    let mut fleet = Fleet::prepare(1).await;
    fleet.change_configuration(|document| {
        document["Limits"]["IdleTimeoutMs"] = json!(1_000);
        document["Limits"]["HeaderTimeoutMs"] = json!(1_000);
    });
    fleet.vms[0].start();
    fleet.wait_until_ready().await;
    for backend in fleet.backends_of("lm") {
        backend.set_work_time(Duration::from_millis(350));
    }
    let mut caller = Caller::connect(fleet.vms[0].caller_address()).await;
    for (number, step) in case.steps.iter().enumerate() {
        if let Err(wrong) = run_step(&mut fleet, &mut caller, step).await {
            return Some(format!("{}: step {number}: {wrong}", case.name));
        }
    }
    None
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn each_request_that_a_vm_reads_is_answered_or_refused() {
    let mut wrong = Vec::new();
    for cases in CASES.chunks(6) {
        wrong.extend(
            join_all(cases.iter().map(run_case))
                .await
                .into_iter()
                .flatten(),
        );
    }
    expect_that!(wrong, is_empty());
}

/// A connection that is served in the test's own process, on the thread that the caller runs on.
struct LocalCase {
    name: &'static str,
    handler: fn() -> Reply,
    /// Whether the caller has had an answer on the connection before.
    is_reused: bool,
    /// Holds up the thread that serves the connection, before the request is sent.
    hold_up: fn(&CancellationToken),
    /// Turns of the runtime between the one in which the connection's timers fire and the one in which the
    /// request is sent; `None` if it is sent without waiting for timers.
    turns_after_timers: Option<usize>,
    /// Time until the caller reads the answer.
    read_after: Duration,
    /// Checks what the caller read until the connection was closed.
    is_right: fn(&str) -> bool,
}

const LARGE_ANSWER_BYTES: usize = 8_000_000;
/// Longer than an idle timeout of no time and what is added to it.
const LONGER_THAN_IDLE: Duration = Duration::from_millis(1_800);

const LOCAL_CASES: &[LocalCase] = &[
    LocalCase {
        name: "the handler panics",
        handler: || panic!("test"),
        is_reused: false,
        hold_up: |_| {},
        turns_after_timers: None,
        read_after: Duration::ZERO,
        is_right: |read| read.starts_with("HTTP/1.1 500 "),
    },
    LocalCase {
        name: "the body of an answer panics",
        handler: || {
            let frames = futures::stream::iter(0..2).map(|number| match number {
                0 => Ok(Frame::data("part".into())),
                _ => panic!("test"),
            });
            Reply::new(StreamBody::new(frames).boxed_unsync())
        },
        is_reused: false,
        hold_up: |_| {},
        turns_after_timers: None,
        read_after: Duration::ZERO,
        is_right: |read| !read.ends_with("0\r\n\r\n"),
    },
    LocalCase {
        name: "the request comes as a planned stop closes the connection",
        handler: || text(StatusCode::OK, "done"),
        is_reused: true,
        hold_up: CancellationToken::cancel,
        turns_after_timers: None,
        read_after: Duration::ZERO,
        is_right: |read| read.starts_with("HTTP/1.1 200 "),
    },
    LocalCase {
        name: "the request comes as the idle timeout fires late",
        handler: || text(StatusCode::OK, "done"),
        is_reused: true,
        hold_up: |_| std::thread::sleep(LONGER_THAN_IDLE),
        turns_after_timers: Some(0),
        read_after: Duration::ZERO,
        is_right: |read| read.starts_with("HTTP/1.1 200 "),
    },
    LocalCase {
        name: "the request comes after the runtime last asked the kernel before the close",
        handler: || text(StatusCode::OK, "done"),
        is_reused: true,
        hold_up: |_| std::thread::sleep(LONGER_THAN_IDLE),
        turns_after_timers: Some(1),
        read_after: Duration::ZERO,
        is_right: |read| read.starts_with("HTTP/1.1 200 "),
    },
    LocalCase {
        name: "the answer is read later than the idle timeout",
        handler: || Reply::new(whole_body(vec![b'x'; LARGE_ANSWER_BYTES])),
        is_reused: false,
        hold_up: |_| {},
        turns_after_timers: None,
        read_after: LONGER_THAN_IDLE,
        is_right: |read| read.len() > LARGE_ANSWER_BYTES,
    },
];

/// What a test tells a connection that is served in its own process.
struct Signals {
    idle_timeout: watch::Sender<Duration>,
    stop: watch::Sender<bool>,
    closing: CancellationToken,
    cut_off: CancellationToken,
}

/// Connects a caller whose requests are answered by `handler`.
async fn connect_locally(
    idle_timeout: Duration,
    handler: fn() -> Reply,
) -> std::io::Result<(Caller, Signals)> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let caller = Caller::connect(listener.local_addr()?).await;
    let (stream, _) = listener.accept().await?;
    let (idle_timeout, idle_timeout_in_force) = watch::channel(idle_timeout);
    let (stop, stopping) = watch::channel(false);
    let signals = Signals {
        idle_timeout,
        stop,
        closing: CancellationToken::new(),
        cut_off: CancellationToken::new(),
    };
    let context = ConnectionContext {
        logger: Logger::root(slog::Discard, o!()),
        limits: move || CallerLimits {
            idle_timeout: *idle_timeout_in_force.borrow(),
            ..DEFAULT_LIMITS
        },
        stopping,
        closing: signals.closing.clone(),
        cut_off: signals.cut_off.clone(),
        account: CallerAccount::unlimited(),
    };
    let handle = move |_: HyperRequest<_>| async move { handler() };
    tokio::spawn(serve_connection(stream, context, handle));
    Ok((caller, signals))
}

async fn run_local_case(case: &LocalCase) -> std::io::Result<String> {
    let (mut caller, signals) = connect_locally(Duration::ZERO, case.handler).await?;
    if case.is_reused {
        caller.send(&format!("{LOOK}{COMMON}\r\n{{}}")).await;
        expect_that!(caller.read_answer().await, ok(eq(&200)), "{}", case.name);
    }
    let mut timer = std::pin::pin!(sleep(Duration::from_millis(1)));
    let _ = futures::poll!(timer.as_mut());
    (case.hold_up)(&signals.closing);
    if let Some(turns) = case.turns_after_timers {
        timer.await;
        for _ in 0..turns {
            tokio::task::yield_now().await;
        }
    }
    let request = format!("{LOOK}Connection: close\r\n{COMMON}\r\n{{}}");
    caller.stream.try_write(request.as_bytes())?;
    sleep(case.read_after).await;
    let mut bytes = Vec::new();
    // A broken answer may end with a reset.
    let _ = caller.stream.read_to_end(&mut bytes).await;
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}

#[gtest]
#[tokio::test]
async fn a_request_on_a_connection_that_is_disturbed_is_answered_or_visibly_broken() {
    for case in LOCAL_CASES {
        let read = run_local_case(case).await.unwrap();
        let start: String = read.chars().take(200).collect();
        expect_that!((case.is_right)(&read), eq(true), "{}: {start}", case.name);
    }
}

/// What an answer says about how long its connection stays open.
struct AnnouncementCase {
    name: &'static str,
    idle_timeout_ms: u64,
    /// Request line and the headers that concern the connection.
    request: &'static str,
    handler: fn() -> Reply,
    /// Whether a planned stop has begun.
    is_stopping: bool,
    keep_alive: Option<&'static str>,
}

fn done() -> Reply {
    text(StatusCode::OK, "done")
}

const ANNOUNCEMENT_CASES: &[AnnouncementCase] = &[
    AnnouncementCase {
        name: "a whole number of seconds",
        idle_timeout_ms: 15_000,
        request: "GET / HTTP/1.1\r\n",
        handler: done,
        is_stopping: false,
        keep_alive: Some("timeout=15"),
    },
    AnnouncementCase {
        name: "a part of a second is not announced",
        idle_timeout_ms: 2_900,
        request: "GET / HTTP/1.1\r\n",
        handler: done,
        is_stopping: false,
        keep_alive: Some("timeout=2"),
    },
    AnnouncementCase {
        name: "less than a second",
        idle_timeout_ms: 900,
        request: "GET / HTTP/1.1\r\n",
        handler: done,
        is_stopping: false,
        keep_alive: Some("timeout=0"),
    },
    AnnouncementCase {
        name: "HTTP/1.0 with a connection that is kept",
        idle_timeout_ms: 15_000,
        request: "GET / HTTP/1.0\r\nConnection: Keep-Alive\r\n",
        handler: done,
        is_stopping: false,
        keep_alive: Some("timeout=15"),
    },
    AnnouncementCase {
        name: "HTTP/1.0",
        idle_timeout_ms: 15_000,
        request: "GET / HTTP/1.0\r\n",
        handler: done,
        is_stopping: false,
        keep_alive: None,
    },
    AnnouncementCase {
        name: "the caller asks for a close",
        idle_timeout_ms: 15_000,
        request: "GET / HTTP/1.1\r\nConnection: TE, Close\r\n",
        handler: done,
        is_stopping: false,
        keep_alive: None,
    },
    AnnouncementCase {
        name: "the answer announces a close",
        idle_timeout_ms: 15_000,
        request: "GET / HTTP/1.1\r\n",
        handler: || {
            let mut reply = done();
            let close = HeaderValue::from_static("close");
            reply.headers_mut().insert(CONNECTION, close);
            reply
        },
        is_stopping: false,
        keep_alive: None,
    },
    AnnouncementCase {
        name: "an endpoint's own time",
        idle_timeout_ms: 15_000,
        request: "GET / HTTP/1.1\r\n",
        handler: || {
            let mut reply = done();
            let other = HeaderValue::from_static("timeout=60");
            reply.headers_mut().insert("keep-alive", other);
            reply
        },
        is_stopping: false,
        keep_alive: Some("timeout=15"),
    },
    AnnouncementCase {
        name: "an endpoint's own time during a planned stop",
        idle_timeout_ms: 15_000,
        request: "GET / HTTP/1.1\r\n",
        handler: || {
            let mut reply = done();
            let other = HeaderValue::from_static("timeout=60");
            reply.headers_mut().insert("keep-alive", other);
            reply
        },
        is_stopping: true,
        keep_alive: None,
    },
];

/// Guards against callers that reuse a connection as it closes, because they are not told for how long it
/// stays open.
#[gtest]
#[tokio::test]
async fn an_answer_announces_for_how_long_its_connection_stays_open() {
    for case in ANNOUNCEMENT_CASES {
        let idle_timeout = Duration::from_millis(case.idle_timeout_ms);
        let (mut caller, signals) = connect_locally(idle_timeout, case.handler).await.unwrap();
        signals.stop.send_replace(case.is_stopping);
        let request = format!("{}Host: h.example\r\n\r\n", case.request);
        caller.send(&request).await;
        let head = caller.read_until("\r\n\r\n").await.unwrap();
        let head = head.to_ascii_lowercase();
        let announced: Vec<_> = head
            .lines()
            .filter_map(|line| line.strip_prefix("keep-alive: "))
            .collect();
        let expected: Vec<_> = case.keep_alive.into_iter().collect();
        expect_that!(announced, eq(&expected), "{}: {head}", case.name);
    }
}

/// Guards against requests that a VM reads and discards as they cross its close: their caller may only retry
/// them if they were not read, which it learns from a reset.
#[gtest]
#[tokio::test]
async fn a_request_that_crosses_the_close_of_an_idle_connection_is_not_read() {
    let (mut caller, _signals) = connect_locally(Duration::ZERO, done).await.unwrap();
    caller.send(&format!("{LOOK}{COMMON}\r\n{{}}")).await;
    expect_that!(caller.read_answer().await, ok(eq(&200)));
    let closed = timeout(ANSWER_TIMEOUT, caller.read_more()).await;
    expect_that!(closed, ok(err(eq("the connection was closed"))));
    caller.send(&format!("{LOOK}{COMMON}\r\n{{}}")).await;
    sleep(Duration::from_millis(300)).await;
    expect_that!(caller.stream.take_error().unwrap(), some(anything()));
}

/// Makes an answer whose end comes later than its head.
fn answer_in_parts() -> Reply {
    let frames = futures::stream::iter(0..2).then(|number| async move {
        sleep(Duration::from_millis(300) * number).await;
        Ok(Frame::data("part".into()))
    });
    Reply::new(StreamBody::new(frames).boxed_unsync())
}

/// Guards against closes before the time that an answer has announced to its caller.
#[gtest]
#[tokio::test]
async fn an_idle_timeout_that_is_lowered_during_an_answer_binds_from_the_next_one_on() {
    let (mut caller, signals) = connect_locally(Duration::from_secs(2), answer_in_parts)
        .await
        .unwrap();
    caller.send(&format!("{LOOK}{COMMON}\r\n{{}}")).await;
    caller.read_more().await.unwrap();
    signals.idle_timeout.send_replace(Duration::ZERO);
    expect_that!(caller.read_answer().await, ok(eq(&200)));
    sleep(LONGER_THAN_IDLE).await;
    caller.send(&format!("{LOOK}{COMMON}\r\n{{}}")).await;
    expect_that!(caller.read_answer().await, ok(eq(&200)));
    let closed = timeout(LONGER_THAN_IDLE, caller.read_more()).await;
    expect_that!(closed, ok(err(eq("the connection was closed"))));
}

/// An answer that began before a planned stop has announced that its connection stays open, so that its
/// caller sends the next request as soon as it has read the end.
#[gtest]
#[tokio::test]
async fn a_request_after_an_answer_that_ends_late_in_a_planned_stop_is_answered() {
    let (mut caller, signals) = connect_locally(Duration::from_secs(15), answer_in_parts)
        .await
        .unwrap();
    caller.send(&format!("{LOOK}{COMMON}\r\n{{}}")).await;
    caller.read_more().await.unwrap();
    signals.stop.send_replace(true);
    signals.closing.cancel();
    expect_that!(caller.read_answer().await, ok(eq(&200)));
    sleep(Duration::from_millis(100)).await;
    caller.send(&format!("{LOOK}{COMMON}\r\n{{}}")).await;
    expect_that!(caller.read_answer().await, ok(eq(&200)));
}

/// A head that is not whole when the time of a planned stop is over has not run, which its caller is told.
#[gtest]
#[tokio::test]
async fn a_head_that_is_not_whole_when_connections_are_cut_off_is_refused() {
    let (mut caller, signals) = connect_locally(Duration::from_secs(15), done)
        .await
        .unwrap();
    caller.send("POST /look/x HTT").await;
    sleep(Duration::from_millis(100)).await;
    signals.cut_off.cancel();
    expect_that!(caller.read_answer().await, ok(eq(&408)));
}
