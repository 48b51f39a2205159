//! Guards a VM against callers that nobody controls: crowds that make it hold as much memory and as many
//! descriptors as they can.
//!
//! Each crowd of the table meets a VM of its own, whose settings give it little memory and few descriptors.
//! While the crowd stays, the VM has to live within both and answer an ordinary request. The crowds come one
//! after the other; run this file apart from other load.

mod users_platform;

use std::fs;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use googletest::prelude::*;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::{sleep, timeout};
use tokio_util::task::AbortOnDropHandle;
use users_platform::caller::{CallerAnswer, request, request_with};
use users_platform::{Fleet, STEP_TIMEOUT, Vm};

/// Time for which a crowd sends and the VM is watched before the ordinary request comes. Bodies are given up
/// after 10 s, so that the crowd is still there then.
const CROWD_PERIOD: Duration = Duration::from_secs(4);
/// Interval at which the open descriptors of the VM are counted.
const COUNT_INTERVAL: Duration = Duration::from_millis(20);
/// Descriptors that the platform reserves for files.
const RESERVED_DESCRIPTORS: usize = 200;
/// Number of members of a crowd that read the head of their answer at a time. More at once would be refused
/// by the endpoints.
const UNREAD_AT_A_TIME: usize = 4;

/// Makes the tests of this file run one after the other.
static TURN: tokio::sync::Mutex<()> = tokio::sync::Mutex::const_new(());

/// Where the members of a crowd connect.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Listener {
    Callers,
    Directory,
    Readiness,
    Metrics,
    OtherVms,
}

impl Listener {
    fn port(self) -> u16 {
        match self {
            Self::Callers => 8625,
            Self::Directory => 8620,
            Self::Readiness => 8621,
            Self::Metrics => 7742,
            Self::OtherVms => 7741,
        }
    }
}

/// What each member of a crowd sends.
#[derive(Clone, Copy)]
enum Sends {
    /// A body of legal size, one byte short, in pieces of that size.
    Short { piece_bytes: usize },
    /// A body of legal size in chunks, without its end.
    Chunks { chunk_bytes: usize, count: usize },
    /// A body with this announced size, as far as it is taken.
    Announced { bytes: usize, expects_leave: bool },
    /// Chunks without end, as far as they are taken.
    Endless { chunk_bytes: usize },
    /// The beginning of a head with a header of that many bytes.
    Head { bytes: usize },
    /// Frames between VMs of that size, one byte short.
    Frame { bytes: usize },
    /// A request whose large answer is not read beyond its head.
    Unread { answer_bytes: usize },
}

struct Crowd {
    name: &'static str,
    listener: Listener,
    members: usize,
    sends: Sends,
    /// Settings of the VM.
    memory_mb: usize,
    max_descriptors: usize,
    /// `MaxBodyBytes` of the configuration.
    max_body_bytes: usize,
}

const MIB: usize = 1024 * 1024;

/// A crowd of callers that send bodies to a small VM.
const fn bodies(name: &'static str, members: usize, sends: Sends) -> Crowd {
    Crowd {
        name,
        listener: Listener::Callers,
        members,
        sends,
        memory_mb: 96,
        max_descriptors: 700,
        max_body_bytes: MIB,
    }
}

/// A crowd of callers that send bodies to the smallest machine of the platform.
const fn large_bodies(name: &'static str, sends: Sends) -> Crowd {
    Crowd {
        memory_mb: 160,
        max_descriptors: 4_100,
        max_body_bytes: 4 * MIB,
        ..bodies(name, 200, sends)
    }
}

/// A crowd that sends unfinished heads to one of the listeners of a small VM.
const fn heads(name: &'static str, listener: Listener) -> Crowd {
    Crowd {
        listener,
        ..bodies(name, 1_500, Sends::Head { bytes: 12_000 })
    }
}

const CROWDS: &[Crowd] = &[
    bodies(
        "bodies one byte short, whole",
        200,
        Sends::Short { piece_bytes: MIB },
    ),
    bodies(
        "bodies one byte short, in pieces",
        200,
        Sends::Short { piece_bytes: 4_096 },
    ),
    large_bodies(
        "bodies one byte short, on the smallest machine",
        Sends::Short { piece_bytes: MIB },
    ),
    bodies(
        "unfinished bodies in large chunks",
        200,
        Sends::Chunks {
            chunk_bytes: 65_536,
            count: 15,
        },
    ),
    Crowd {
        memory_mb: 28,
        ..bodies(
            "unfinished bodies in chunks of one byte",
            200,
            Sends::Chunks {
                chunk_bytes: 1,
                count: 60_000,
            },
        )
    },
    large_bodies(
        "bodies far over the limit, announced",
        Sends::Announced {
            bytes: 100 * MIB,
            expects_leave: false,
        },
    ),
    large_bodies(
        "bodies far over the limit, announced by callers that wait for leave to send",
        Sends::Announced {
            bytes: 100 * MIB,
            expects_leave: true,
        },
    ),
    large_bodies(
        "bodies far over the limit, not announced",
        Sends::Endless {
            chunk_bytes: 65_536,
        },
    ),
    heads("heads without an end", Listener::Callers),
    heads("heads without an end to the directory", Listener::Directory),
    heads("heads without an end to readiness", Listener::Readiness),
    heads("heads without an end to the metrics", Listener::Metrics),
    Crowd {
        listener: Listener::OtherVms,
        ..bodies(
            "frames one byte short",
            200,
            Sends::Frame { bytes: 7 * MIB / 4 },
        )
    },
    bodies(
        "answers that are not read",
        200,
        Sends::Unread {
            answer_bytes: 39 * MIB / 10,
        },
    ),
];

fn head(path: &str, number: usize, framing: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: crowd-{number}\r\n\
         Authorization: Token key-1\r\nDeadline-Ms: 60000\r\n{framing}\r\n\r\n"
    )
}

/// Sends pieces until all are sent or the VM takes no more.
async fn send_pieces(stream: &mut TcpStream, pieces: impl Iterator<Item = Bytes>) {
    for piece in pieces {
        if stream.write_all(&piece).await.is_err() {
            return;
        }
    }
}

/// Connects with a small buffer, so that the VM and not the kernel holds what is not read.
async fn connect(address: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.set_recv_buffer_size(4_096)?;
    socket.connect(address).await
}

/// Does what a member of the crowd does, up to where it stops and only stays.
async fn misbehave(stream: &mut TcpStream, crowd: &Crowd, number: usize) {
    let legal_bytes = crowd.max_body_bytes;
    match crowd.sends {
        Sends::Short { piece_bytes } => {
            let head = head("/look/x", number, &format!("Content-Length: {legal_bytes}"));
            let piece = Bytes::from(vec![b'x'; piece_bytes]);
            let starts = (0..legal_bytes - 1).step_by(piece_bytes);
            let pieces =
                starts.map(|start| piece.slice(..piece_bytes.min(legal_bytes - 1 - start)));
            send_pieces(stream, std::iter::once(Bytes::from(head)).chain(pieces)).await;
        }
        Sends::Chunks { chunk_bytes, count } => {
            let head = head("/look/x", number, "Transfer-Encoding: chunked");
            let chunk = format!("{chunk_bytes:x}\r\n{}\r\n", "x".repeat(chunk_bytes));
            // Small chunks travel together, as they do behind a slow link.
            let together = (65_536 / chunk.len()).max(1).min(count);
            let piece = Bytes::from(chunk.repeat(together));
            let pieces = std::iter::repeat_n(piece, count / together);
            send_pieces(stream, std::iter::once(Bytes::from(head)).chain(pieces)).await;
        }
        Sends::Announced {
            bytes,
            expects_leave,
        } => {
            let leave = if expects_leave {
                "\r\nExpect: 100-continue"
            } else {
                ""
            };
            let head = head(
                "/look/x",
                number,
                &format!("Content-Length: {bytes}{leave}"),
            );
            if stream.write_all(head.as_bytes()).await.is_err() {
                return;
            }
            let mut answer = [0; 12];
            if expects_leave
                && (stream.read_exact(&mut answer).await.is_err() || answer != *b"HTTP/1.1 100")
            {
                return;
            }
            let piece = Bytes::from(vec![b'x'; 65_536]);
            send_pieces(stream, std::iter::repeat_n(piece, bytes / 65_536)).await;
        }
        Sends::Endless { chunk_bytes } => {
            let head = head("/look/x", number, "Transfer-Encoding: chunked");
            let chunk = format!("{chunk_bytes:x}\r\n{}\r\n", "x".repeat(chunk_bytes));
            let pieces = std::iter::repeat(Bytes::from(chunk));
            send_pieces(stream, std::iter::once(Bytes::from(head)).chain(pieces)).await;
        }
        Sends::Head { bytes } => {
            let head = format!("GET /look/x HTTP/1.1\r\nOther: {}", "x".repeat(bytes));
            send_pieces(stream, std::iter::once(Bytes::from(head))).await;
        }
        Sends::Frame { bytes } => {
            let mut frame = (bytes as u32).to_be_bytes().to_vec();
            frame.resize(3 + bytes, 0);
            send_pieces(stream, std::iter::once(Bytes::from(frame))).await;
        }
        Sends::Unread { .. } => {
            let head = head("/pay/x", number, "Content-Length: 0");
            if stream.write_all(head.as_bytes()).await.is_ok() {
                let _ = stream.read(&mut [0; 256]).await;
            }
        }
    }
}

/// Brings a crowd to the VM. Its members stay connected until the result is dropped; the number counts those
/// that have done what they do.
fn gather(crowd: &'static Crowd, vm: &Vm) -> (Vec<AbortOnDropHandle<()>>, Arc<AtomicUsize>) {
    let address = SocketAddr::from((vm.ip, crowd.listener.port()));
    let done = Arc::new(AtomicUsize::new(0));
    let at_a_time = match crowd.sends {
        Sends::Unread { .. } => UNREAD_AT_A_TIME,
        _ => crowd.members,
    };
    let turns = Arc::new(tokio::sync::Semaphore::new(at_a_time));
    let members = (0..crowd.members).map(|number| {
        let (done, turns) = (Arc::clone(&done), Arc::clone(&turns));
        AbortOnDropHandle::new(tokio::spawn(async move {
            let turn = turns.acquire_owned().await;
            let connected = connect(address).await;
            if let Ok(mut stream) = connected {
                misbehave(&mut stream, crowd, number).await;
                drop(turn);
                done.fetch_add(1, Ordering::Relaxed);
                std::future::pending::<()>().await;
                drop(stream);
            }
        }))
    });
    (members.collect(), done)
}

/// Sends an ordinary request as callers do: after a refusal or a closed connection again, on a new connection.
async fn ordinary_request(vm: &Vm) -> Option<CallerAnswer> {
    let attempts = async {
        for number in 0.. {
            let id = format!("ordinary-{number}");
            let answer = request(vm.caller_address(), "/look/x", &id, "key-1").await;
            if answer.as_ref().is_some_and(|answer| answer.status == 200) {
                return answer;
            }
            sleep(Duration::from_millis(100)).await;
        }
        None
    };
    timeout(STEP_TIMEOUT, attempts).await.ok().flatten()
}

/// Returns the number of open descriptors, also of a process that has ended.
fn open_descriptors(vm: &Vm) -> usize {
    let pid = vm.process_id().unwrap_or_default();
    fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, Iterator::count)
}

async fn start_vm(crowd: &Crowd) -> Fleet {
    let mut fleet = Fleet::prepare(1).await;
    let limits = &mut fleet.configuration["Limits"];
    limits["MaxBodyBytes"] = json!(crowd.max_body_bytes);
    // Heads stay for as long as the VM is watched.
    limits["HeaderTimeoutMs"] = json!(60_000);
    fleet.publish_configuration();
    let vm = &mut fleet.vms[0];
    let mut settings = fs::read_to_string(&vm.settings).unwrap();
    settings.push_str(&format!(
        "memory_mb = {}\nmax_descriptors = {}\n",
        crowd.memory_mb, crowd.max_descriptors
    ));
    fs::write(&vm.settings, settings).unwrap();
    vm.start();
    fleet.wait_until_ready().await;
    fleet
}

async fn meet(crowd: &'static Crowd) {
    let name = crowd.name;
    let mut fleet = start_vm(crowd).await;
    let largest = Bytes::from(vec![b'x'; crowd.max_body_bytes]);
    let vm = fleet.vms[0].caller_address();
    let calm = request_with(vm, "/look/x", "calm", "key-1", &[], largest, 6_000).await;
    let status = calm.map(|answer| answer.status);
    expect_that!(
        status,
        some(eq(200)),
        "{name}: the largest request, in calm"
    );
    if let Sends::Unread { answer_bytes } = crowd.sends {
        for backend in fleet.backends_of("plain") {
            backend.set_padding(answer_bytes);
        }
    }
    let rest_bytes = fleet.vms[0].peak_memory_bytes();
    let (members, done) = gather(crowd, &fleet.vms[0]);
    let mut descriptors = 0;
    let counting = async {
        loop {
            descriptors = descriptors.max(open_descriptors(&fleet.vms[0]));
            sleep(COUNT_INTERVAL).await;
        }
    };
    let _ = timeout(CROWD_PERIOD, counting).await;
    let done = done.load(Ordering::Relaxed);
    for backend in fleet.backends_of("plain") {
        backend.set_padding(0);
    }
    let answered = ordinary_request(&fleet.vms[0]).await.is_some();
    let exited = fleet.vms[0].exited();
    expect_that!(exited, none(), "{name}: the process lives");
    expect_that!(
        answered,
        eq(true),
        "{name}: an ordinary request is answered"
    );
    let max_bytes = crowd.memory_mb * 1_000 * 1_000;
    let peak_bytes = exited.map_or_else(|| fleet.vms[0].peak_memory_bytes(), |_| 0);
    println!(
        "{name}: {done} of {} members done, memory {} MB of {} MB ({} MB before), {descriptors} descriptors",
        crowd.members,
        peak_bytes / 1_000_000,
        crowd.memory_mb,
        rest_bytes / 1_000_000
    );
    expect_that!(peak_bytes, lt(max_bytes), "{name}: memory");
    let max_sockets = crowd.max_descriptors - RESERVED_DESCRIPTORS;
    expect_that!(descriptors, lt(max_sockets), "{name}: descriptors");
    if !matches!(crowd.sends, Sends::Unread { .. }) {
        // Whatever the members were told, none of them has sent a whole request.
        let runs: usize = (0..crowd.members)
            .map(|number| fleet.runs_of(&format!("crowd-{number}")))
            .sum();
        expect_that!(runs, eq(0), "{name}: requests of the crowd that ran");
    }
    drop(members);
}

/// Guards against refusals that promise something else than the pages, or nothing, for bodies that a VM does
/// not read to their end.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_body_that_is_refused_is_promised_not_to_have_run() {
    struct Case {
        name: &'static str,
        framing: &'static str,
        /// Callers that stop in the middle of bodies of this size hold memory meanwhile.
        held_bytes: usize,
        status: &'static str,
    }
    let cases = [
        Case {
            name: "announced over the limit",
            framing: "Content-Length: 1048577",
            held_bytes: 0,
            status: "413",
        },
        Case {
            name: "announced over the limit, and the caller waits for leave",
            framing: "Content-Length: 1048577\r\nExpect: 100-continue",
            held_bytes: 0,
            status: "413",
        },
        Case {
            name: "no room beside others",
            framing: "Content-Length: 1048576",
            held_bytes: MIB,
            status: "503",
        },
    ];
    let _turn = TURN.lock().await;
    let crowd = bodies("refusals", 0, Sends::Head { bytes: 0 });
    for case in cases {
        let fleet = start_vm(&crowd).await;
        let vm = fleet.vms[0].caller_address();
        let mut holders = Vec::new();
        if case.held_bytes > 0 {
            for number in 0..40 {
                let mut holder = connect(vm).await.unwrap();
                let framing = format!("Content-Length: {}", case.held_bytes);
                let head = head("/look/x", number, &framing);
                holder.write_all(head.as_bytes()).await.unwrap();
                holders.push(holder);
            }
            sleep(Duration::from_millis(200)).await;
        }
        let mut caller = connect(vm).await.unwrap();
        let head = head("/look/x", 1_000, case.framing);
        caller.write_all(head.as_bytes()).await.unwrap();
        let mut answer = [0; 12];
        let read = timeout(STEP_TIMEOUT, caller.read_exact(&mut answer)).await;
        expect_that!(read, ok(ok(anything())), "{}", case.name);
        let answer = String::from_utf8_lossy(&answer).into_owned();
        expect_that!(
            answer,
            eq(&format!("HTTP/1.1 {}", case.status)),
            "{}",
            case.name
        );
        expect_that!(fleet.runs_of("crowd-1000"), eq(0), "{}", case.name);
    }
}

/// The crowds come one after the other, since the measured memory and descriptors are those of one crowd.
/// `CROWD` names the only one to bring, by a part of its name.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_vm_outlives_crowds_of_callers_that_hold_its_memory_and_descriptors() {
    let _turn = TURN.lock().await;
    let chosen = std::env::var("CROWD").unwrap_or_default();
    for crowd in CROWDS.iter().filter(|crowd| crowd.name.contains(&chosen)) {
        meet(crowd).await;
    }
}
