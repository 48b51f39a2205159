//! Fake endpoint that answers each attempt as a script says and records the requests.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

/// How the fake endpoint treats one attempt.
#[derive(Debug, Clone)]
pub enum Step {
    /// Answers with this status line, these header lines and this body. The answer repeats the attempt id
    /// unless the header lines hold one.
    Answer(&'static str, &'static str, &'static str),
    /// Answers with 200 and keeps the connection, then runs the next request on it and answers that with a late
    /// refusal of another one, which has these header lines.
    RefuseNext(&'static str),
    /// Closes the connection without an answer after the request was read.
    Cut,
    /// Answers with 200 after this many milliseconds.
    Slow(u64),
    /// Waits for [`FakeEndpoint::release`], then answers with 200 and this body.
    Wait(&'static str),
    /// Streams these texts as token events, then sends the end event.
    Stream(&'static [&'static str]),
    /// Streams these texts as token events, then closes the connection without the end event.
    CutStream(&'static [&'static str]),
    /// Streams these texts as token events, waits for [`FakeEndpoint::release`], then sends the
    /// end event.
    WaitStream(&'static [&'static str]),
}

/// Answers at once with 200 and a JSON output.
pub const OK: Step = Step::Answer("200 OK", "", r#"{"output":{"done":true}}"#);

/// Running fake endpoint; clones share its state.
#[derive(Clone)]
pub struct FakeEndpoint {
    pub address: SocketAddr,
    /// Highest number of [`Step::Slow`] attempts that ran at the same time.
    pub max_concurrent: Arc<AtomicU32>,
    running: Arc<AtomicU32>,
    requests: Arc<Mutex<Vec<String>>>,
    closed_early: Arc<Notify>,
    release: Arc<Notify>,
    arrived: Arc<Notify>,
}

impl FakeEndpoint {
    /// Starts an endpoint that takes one step for each attempt and repeats the last step.
    pub async fn start(steps: &[Step]) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let fake = Self {
            address: listener.local_addr().unwrap(),
            max_concurrent: Arc::default(),
            running: Arc::default(),
            requests: Arc::default(),
            closed_early: Arc::default(),
            release: Arc::default(),
            arrived: Arc::default(),
        };
        let server = fake.clone();
        let mut steps: VecDeque<Step> = steps.iter().cloned().collect();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let step = match steps.len() {
                    1 => steps[0].clone(),
                    _ => steps.pop_front().unwrap(),
                };
                tokio::spawn(server.clone().serve_attempt(stream, step));
            }
        });
        fake
    }

    /// Returns the received requests, each with its head and body as sent.
    pub fn requests(&self) -> Vec<String> {
        self.requests.lock().unwrap().clone()
    }

    /// Lets one attempt that waits for the release continue.
    pub fn release(&self) {
        self.release.notify_one();
    }

    /// Waits until an attempt has arrived.
    pub async fn arrived(&self) {
        self.arrived.notified().await;
    }

    /// Waits until the VM has closed the connection of an attempt that waits for the release.
    pub async fn closed_early(&self) {
        self.closed_early.notified().await;
    }

    async fn serve_attempt(self, mut stream: TcpStream, step: Step) {
        let Some(request) = read_request(&mut stream).await else {
            return;
        };
        let attempt_id = attempt_id_line(&request);
        self.requests.lock().unwrap().push(request);
        self.arrived.notify_one();
        let _ = match step {
            Step::Answer(status, headers, body) => {
                let attempt_id = match headers.contains("x-attempt-id") {
                    true => "",
                    false => &attempt_id,
                };
                let headers = format!("{headers}{attempt_id}");
                write_answer(&mut stream, status, &headers, body).await
            }
            Step::RefuseNext(headers) => {
                let answer = "HTTP/1.1 200 OK\r\ncontent-length: 12\r\n\r\n{\"output\":1}";
                let _ = stream.write_all(answer.as_bytes()).await;
                let Some(request) = read_request(&mut stream).await else {
                    return;
                };
                self.requests.lock().unwrap().push(request);
                let headers = format!("x-not-run: true\r\n{headers}");
                write_answer(&mut stream, "503 Service Unavailable", &headers, "{}").await
            }
            Step::Cut => Ok(()),
            Step::Slow(time_ms) => {
                self.running.fetch_add(1, Ordering::SeqCst);
                tokio::time::sleep(Duration::from_millis(time_ms)).await;
                let running = self.running.fetch_sub(1, Ordering::SeqCst);
                self.max_concurrent.fetch_max(running, Ordering::SeqCst);
                write_answer(&mut stream, "200 OK", "", r#"{"output":1}"#).await
            }
            Step::Wait(body) => {
                self.wait_for_release(&mut stream).await;
                write_answer(&mut stream, "200 OK", "", body).await
            }
            Step::Stream(texts) => {
                write_tokens(&mut stream, texts).await;
                write_end(&mut stream).await
            }
            Step::CutStream(texts) => {
                write_tokens(&mut stream, texts).await;
                Ok(())
            }
            Step::WaitStream(texts) => {
                write_tokens(&mut stream, texts).await;
                self.wait_for_release(&mut stream).await;
                write_end(&mut stream).await
            }
        };
    }

    async fn wait_for_release(&self, stream: &mut TcpStream) {
        let mut byte = [0];
        tokio::select! {
            () = self.release.notified() => {}
            _ = stream.read(&mut byte) => self.closed_early.notify_one(),
        }
    }
}

/// Returns the header line with which an answer repeats the attempt id of a request.
fn attempt_id_line(request: &str) -> String {
    let mut lines = request.lines();
    let line = lines.find(|line| line.to_ascii_lowercase().starts_with("x-attempt-id:"));
    line.map_or(String::new(), |line| format!("{line}\r\n"))
}

async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = head.lines().find_map(|line| {
                let (name, value) = line.split_once(": ")?;
                let is_length = name.eq_ignore_ascii_case("content-length");
                is_length.then(|| value.parse::<usize>().ok())?
            });
            if body.len() >= length.unwrap_or(0) {
                return Some(text);
            }
        }
        if stream.read_buf(&mut bytes).await.ok()? == 0 {
            return None;
        }
    }
}

async fn write_answer(
    stream: &mut TcpStream,
    status: &str,
    headers: &str,
    body: &str,
) -> std::io::Result<()> {
    let length = body.len();
    let text = format!(
        "HTTP/1.1 {status}\r\ncontent-type: application/json\r\nconnection: close\r\n{headers}\
         content-length: {length}\r\n\r\n{body}"
    );
    stream.write_all(text.as_bytes()).await
}

async fn write_tokens(stream: &mut TcpStream, texts: &[&str]) {
    let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
                transfer-encoding: chunked\r\nconnection: close\r\n\r\n";
    let _ = stream.write_all(head.as_bytes()).await;
    for text in texts {
        let data = serde_json::json!({ "text": text });
        let _ = write_chunk(stream, &format!("event: token\ndata: {data}\n\n")).await;
    }
}

async fn write_end(stream: &mut TcpStream) -> std::io::Result<()> {
    write_chunk(stream, "event: end\ndata: {}\n\n").await?;
    stream.write_all(b"0\r\n\r\n").await
}

async fn write_chunk(stream: &mut TcpStream, text: &str) -> std::io::Result<()> {
    let chunk = format!("{:x}\r\n{text}\r\n", text.len());
    stream.write_all(chunk.as_bytes()).await
}
