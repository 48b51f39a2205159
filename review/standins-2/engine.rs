//! Stand-in for an engine. It answers each request after some work, on a connection of its own.

use std::fs::File;
use std::io::{self, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http;

/// Time for which an engine works on a request before it answers.
const WORK: Duration = Duration::from_millis(20);
/// Number of parts of an answer without a length, and the pause between two of them.
const PARTS: usize = 12;
const PART_PAUSE: Duration = Duration::from_millis(30);

/// Number of events of a stream, and the pause between two of them.
pub const EVENTS: usize = 40;
const EVENT_PAUSE: Duration = Duration::from_millis(50);

/// Of so many requests, a `grey` engine fails so many after it has run them.
const GREY_OF: usize = 5;
const GREY_FAILS: usize = 2;

/// Returns the whole body for a request.
pub fn body_of(id: &str) -> String {
    let parts = (0..PARTS).map(|part| format!("{id} record {part} {}\n", "x".repeat(4_000)));
    parts.collect::<String>() + &format!("{id} end of records\n")
}

/// Runs requests: `framed` answers with a length and at once, `unframed` without a length and part by part, and
/// `stream` with events, without a length too. `grey` is `framed`, and fails some requests that it has run.
pub fn serve(address: &str, id: &str, kind: &str, log: &str) {
    let log = File::options().create(true).append(true).open(log);
    let log = Arc::new(log.expect("the log can be written"));
    let listener = TcpListener::bind(address).expect("the address is free");
    for stream in listener.incoming().flatten() {
        let (id, kind, log) = (id.to_owned(), kind.to_owned(), Arc::clone(&log));
        thread::spawn(move || {
            // The caller may leave at any time.
            let _ = answer(stream, &id, &kind, &log);
        });
    }
}

fn answer(stream: TcpStream, id: &str, kind: &str, log: &File) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream);
    let request = http::read(&mut reader, false)?;
    let stream = reader.get_mut();
    if request.header("expect-instance").is_some_and(|expected| expected != id) {
        let refusal = format!("HTTP/1.1 421 Misdirected\r\nInstance-Id: {id}\r\nContent-Length: 0\r\n\r\n");
        return stream.write_all(refusal.as_bytes());
    }
    let request_id = request.header("request-id").unwrap_or_default();
    let body = body_of(request_id);
    let text = String::from_utf8_lossy(&request.body);
    let text = if text.len() < 40 { &text } else { "" };
    note(
        log,
        &format!("engine {id}: runs {request_id} {} {text}", request.first_line),
    )?;
    thread::sleep(WORK);
    let head = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\nResponse-Signature: {id}.{request_id}.{}\r\n",
        body.len()
    );
    static RUNS: AtomicUsize = AtomicUsize::new(0);
    if kind == "grey" && RUNS.fetch_add(1, Ordering::Relaxed) % GREY_OF < GREY_FAILS {
        note(
            log,
            &format!("engine {id}: has run {request_id}, and answers 503 without Not-Executed"),
        )?;
        let head = head.replacen("200 OK", "503 Service Unavailable", 1);
        return write!(stream, "{head}Content-Length: 14\r\n\r\nledger is away");
    }
    if kind == "framed" || kind == "grey" {
        let short = &body[..800];
        write!(stream, "{head}Content-Length: {}\r\n\r\n{short}", short.len())?;
        return Ok(());
    }
    write!(stream, "{head}Connection: close\r\n\r\n")?;
    note(log, &format!("engine {id}: begins its answer to {request_id}"))?;
    if kind == "stream" {
        let resumed_after = request.header("last-event-id").and_then(|id| id.parse().ok());
        for event in resumed_after.map_or(0, |id: usize| id + 1)..EVENTS {
            write!(stream, "id: {event}\ndata: {request_id} token {event}\n\n")?;
            note(log, &format!("engine {id}: has sent event {event} of {request_id}"))?;
            thread::sleep(EVENT_PAUSE);
        }
        return note(log, &format!("engine {id}: has sent the last event of {request_id}"));
    }
    for line in body.split_inclusive('\n') {
        stream.write_all(line.as_bytes())?;
        thread::sleep(PART_PAUSE);
    }
    let bytes = body.len();
    note(
        log,
        &format!("engine {id}: has sent the whole answer to {request_id}, {bytes} bytes"),
    )
}

/// Writes a line with its time, at once, since the engines share the file.
fn note(mut log: &File, text: &str) -> io::Result<()> {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    log.write_all(format!("{} {text}\n", now.as_millis()).as_bytes())
}
