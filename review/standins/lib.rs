//! Stand-ins for the cases in review/: the platform's store, engines, clients, and VMs that run as
//! processes of the project's own daemon. They use only the standard library and loopback addresses.
//!
//! PROTOCOL.md describes the calls. Where it is silent, the stand-ins behave like sound ones.

use std::collections::{BTreeMap, HashMap};
use std::fs::File;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Longest time that a case may run before its processes are killed and it counts as not run.
const MAX_RUN: Duration = Duration::from_secs(110);
pub const SIGTERM: i32 = 15;
pub const SIGSTOP: i32 = 19;
pub const SIGCONT: i32 = 18;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, signal: u64) -> i32;
}

/// Option of `prctl`: the signal that a process gets when its parent ends.
const PR_SET_PDEATHSIG: i32 = 1;

/// Returns whether the case is to run with its disruption.
pub fn with_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// Ids of the processes that were started and not waited for.
static RUNNING: Mutex<Vec<i32>> = Mutex::new(Vec::new());

fn kill_all() {
    for pid in RUNNING.lock().unwrap().drain(..) {
        // SAFETY: kill has no memory effects; the id is that of a child that was not waited for.
        unsafe { kill(pid, 9) };
    }
}

/// Ends the case: writes the verdict, kills all processes and exits.
pub fn finish(record: &Record, is_broken: bool, verdict: &str) -> ! {
    let word = if is_broken { "BROKEN" } else { "HELD" };
    record.note(&format!("{word}: {verdict}"));
    println!("{word}: {verdict}");
    kill_all();
    let _ = std::fs::remove_dir_all(folder());
    std::process::exit(i32::from(is_broken));
}

/// Ends a case that could not run.
pub fn give_up(record: &Record, reason: &str) -> ! {
    record.note(&format!("COULD NOT RUN: {reason}"));
    eprintln!("could not run: {reason}");
    kill_all();
    std::process::exit(2);
}

/// The file that says what was sent, answered and run. Each line begins with the seconds since the
/// start of the case.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Opens the file that the command line names, and ends the case when it takes too long or panics.
    pub fn open() -> Self {
        let path = std::env::args().nth(1).expect("usage: case RECORD");
        let file = File::create(path).expect("the record cannot be written");
        let record = Self {
            started: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        };
        let watched = record.clone();
        std::panic::set_hook(Box::new(move |panic| give_up(&watched, &panic.to_string())));
        let watched = record.clone();
        thread::spawn(move || {
            thread::sleep(MAX_RUN);
            give_up(&watched, "it took too long");
        });
        record.note(if with_trouble() {
            "with the disruption"
        } else {
            "without the disruption"
        });
        record
    }

    pub fn note(&self, line: &str) {
        let seconds = self.seconds(Instant::now());
        let _ = writeln!(self.file.lock().unwrap(), "{seconds:8.3} {line}");
    }

    /// Returns the seconds from the start of the case to `at`.
    pub fn seconds(&self, at: Instant) -> f64 {
        at.duration_since(self.started).as_secs_f64()
    }
}

/// A subnet of loopback addresses, and ports that are free on all of its addresses that are used.
#[derive(Clone, Copy)]
pub struct Net {
    subnet: [u8; 2],
    first_port: u16,
}

/// Number of ports that a case uses at each address.
const PORTS: u16 = 24;

impl Net {
    pub fn find() -> Self {
        let nanos = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap()
            .subsec_nanos();
        let mut seed = u64::from(nanos) ^ (u64::from(std::process::id()) << 32);
        loop {
            seed = seed
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(1_442_695_040_888_963_407);
            let [a, b, c, d, ..] = (seed >> 16).to_le_bytes();
            let first_port = 10_000 + u16::from_le_bytes([c, d]) % 20_000;
            let net = Self {
                subnet: [64 + a % 128, b],
                first_port,
            };
            if (1..40).all(|host| net.is_free(host)) {
                return net;
            }
        }
    }

    fn is_free(&self, host: u8) -> bool {
        (0..PORTS).all(|port| {
            let address = self.address(host, port);
            TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok()
        })
    }

    pub fn ip(&self, host: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.subnet[0], self.subnet[1], host)
    }

    pub fn address(&self, host: u8, port: u16) -> SocketAddr {
        (self.ip(host), self.first_port + port).into()
    }
}

/// A request that a stand-in has read.
pub struct Request {
    pub method: String,
    /// Path and query.
    pub target: String,
    headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(other, _)| other.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    fn query(&self, name: &str) -> &str {
        let query = self.target.split_once('?').map_or("", |(_, query)| query);
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .find(|(other, _)| *other == name)
            .map_or("", |(_, value)| value)
    }
}

/// Reads the head and body of a message; returns its first line, headers and body.
fn read_message(
    reader: &mut BufReader<TcpStream>,
) -> std::io::Result<(String, Vec<(String, String)>, Vec<u8>)> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(ErrorKind::UnexpectedEof.into());
    }
    let first = line.trim_end().to_owned();
    let mut headers = Vec::new();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        let Some((name, value)) = line.trim_end().split_once(':') else {
            break;
        };
        headers.push((name.to_owned(), value.trim().to_owned()));
    }
    let find = |name: &str| {
        let mut headers = headers.iter();
        headers
            .find(|(other, _)| other.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.clone())
    };
    let mut body = Vec::new();
    if find("transfer-encoding").is_some() {
        loop {
            line.clear();
            reader.read_line(&mut line)?;
            let size =
                usize::from_str_radix(line.trim(), 16).map_err(|_| ErrorKind::InvalidData)?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                break;
            }
            body.extend_from_slice(&chunk[..size]);
        }
    } else if let Some(length) = find("content-length").and_then(|length| length.parse().ok()) {
        body = vec![0; length];
        reader.read_exact(&mut body)?;
    }
    Ok((first, headers, body))
}

/// A listener of a stand-in, with its open connections.
#[derive(Clone)]
pub struct Server {
    address: SocketAddr,
    is_stopped: Arc<AtomicBool>,
    open: Arc<Mutex<HashMap<usize, TcpStream>>>,
}

impl Server {
    /// Closes the listener and all connections, as the end of a process does.
    pub fn stop(&self) {
        self.is_stopped.store(true, Ordering::SeqCst);
        // Wakes the thread that accepts connections.
        let _ = TcpStream::connect(self.address);
        for stream in self.open.lock().unwrap().drain().map(|(_, stream)| stream) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

/// Serves HTTP at an address, with a thread for each connection. `handle` writes the whole answer and
/// returns whether the connection stays open.
pub fn serve(
    address: SocketAddr,
    handle: impl Fn(Request, &mut TcpStream) -> std::io::Result<bool> + Send + Sync + 'static,
) -> Server {
    let listener = TcpListener::bind(address).expect("a stand-in cannot listen");
    let handle = Arc::new(handle);
    let server = Server {
        address,
        is_stopped: Arc::default(),
        open: Arc::default(),
    };
    let serving = server.clone();
    thread::spawn(move || {
        for (number, stream) in listener.incoming().flatten().enumerate() {
            if serving.is_stopped.load(Ordering::SeqCst) {
                return;
            }
            let Ok(kept) = stream.try_clone() else {
                continue;
            };
            serving.open.lock().unwrap().insert(number, kept);
            let (handle, open) = (Arc::clone(&handle), Arc::clone(&serving.open));
            thread::spawn(move || {
                // An error means that the peer has closed the connection.
                let _ = serve_connection(&stream, &*handle);
                let _ = stream.shutdown(Shutdown::Both);
                open.lock().unwrap().remove(&number);
            });
        }
    });
    server
}

fn serve_connection(
    stream: &TcpStream,
    handle: &impl Fn(Request, &mut TcpStream) -> std::io::Result<bool>,
) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream.try_clone()?);
    loop {
        let (first, headers, body) = read_message(&mut reader)?;
        let mut words = first.split(' ');
        let method = words.next().unwrap_or_default().to_owned();
        let target = words.next().unwrap_or_default().to_owned();
        if !handle(
            Request {
                method,
                target,
                headers,
                body,
            },
            &mut writer,
        )? {
            return Ok(());
        }
    }
}

/// Writes an answer with a length.
pub fn answer(
    stream: &mut TcpStream,
    status: u16,
    headers: &str,
    body: &str,
) -> std::io::Result<()> {
    let length = body.len();
    write!(
        stream,
        "HTTP/1.1 {status} X\r\n{headers}Content-Length: {length}\r\n\r\n{body}"
    )
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let part = |index: usize| u32::from(chunk.get(index).copied().unwrap_or(0));
        let bits = part(0) << 16 | part(1) << 8 | part(2);
        for digit in 0..4 {
            let is_padding = digit > chunk.len();
            let position = (bits >> (18 - 6 * digit) & 63) as usize;
            text.push(if is_padding {
                '='
            } else {
                DIGITS[position] as char
            });
        }
    }
    text
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    /// Value and revision by key.
    items: BTreeMap<String, (String, u64)>,
    /// All changes; a deletion has no value.
    history: Vec<(u64, String, Option<String>)>,
    /// Number of times that all waiting watches were cut.
    cuts: u64,
}

/// The platform's store: listings, and watches that wait for changes.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    record: Record,
    state: Arc<(Mutex<StoreState>, Condvar)>,
}

impl Store {
    pub fn start(address: SocketAddr, record: &Record) -> Self {
        let store = Self {
            address,
            record: record.clone(),
            state: Arc::default(),
        };
        store.state.0.lock().unwrap().revision = 10;
        let served = store.clone();
        serve(address, move |request, stream| {
            let body = if request.target.starts_with("/api/kv-range") {
                served.range(request.query("PathPrefix"), request.query("After"))
            } else if request.target.starts_with("/api/kv-watch") {
                let wait = Duration::from_millis(request.query("WaitMs").parse().unwrap_or(0));
                match served.watch(
                    request.query("PathPrefix"),
                    request.query("After").parse().unwrap_or(0),
                    wait,
                ) {
                    Some(body) => body,
                    None => return Ok(false),
                }
            } else {
                answer(stream, 404, "", "")?;
                return Ok(true);
            };
            answer(stream, 200, "Content-Type: application/json\r\n", &body)?;
            Ok(true)
        });
        store
    }

    /// Writes an item. The return of this call is the store's acknowledgement.
    pub fn put(&self, key: &str, value: &str) -> Instant {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        state
            .items
            .insert(key.to_owned(), (value.to_owned(), revision));
        state
            .history
            .push((revision, key.to_owned(), Some(value.to_owned())));
        changed.notify_all();
        self.record
            .note(&format!("store: revision {revision} sets {key}"));
        Instant::now()
    }

    /// Removes an item.
    pub fn delete(&self, key: &str) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        state.items.remove(key);
        state.history.push((revision, key.to_owned(), None));
        changed.notify_all();
        self.record
            .note(&format!("store: revision {revision} removes {key}"));
    }

    fn range(&self, prefix: &str, after: &str) -> String {
        const PAGE: usize = 50;
        let state = self.state.0.lock().unwrap();
        let items = state
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let items: Vec<String> = items
            .map(|(key, (value, revision))| item(*revision, key, Some(value)))
            .collect();
        let page = items
            .iter()
            .take(PAGE)
            .cloned()
            .collect::<Vec<_>>()
            .join(",");
        let (has_more, revision) = (items.len() > PAGE, state.revision);
        format!(r#"{{"Entries":[{page}],"HasMore":{has_more},"StoreRevision":{revision}}}"#)
    }

    /// Cuts all watches that wait now: their connections close without an answer.
    pub fn cut_watches(&self) {
        let (state, changed) = &*self.state;
        state.lock().unwrap().cuts += 1;
        changed.notify_all();
        self.record.note("store: cuts the waiting watches");
    }

    /// Returns the answer to a watch, or `None` if it was cut while it waited.
    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Option<String> {
        let (state, changed) = &*self.state;
        let state = state.lock().unwrap();
        let cuts = state.cuts;
        let is_later = |(revision, key, _): &&(u64, String, Option<String>)| {
            *revision > after && key.starts_with(prefix)
        };
        let must_wait = |state: &mut StoreState| {
            state.cuts == cuts && !state.history.iter().any(|change| is_later(&change))
        };
        let (state, _) = changed.wait_timeout_while(state, wait, must_wait).unwrap();
        let later = state.history.iter().filter(is_later);
        let events: Vec<String> = later
            .map(|(revision, key, value)| item(*revision, key, value.as_ref()))
            .collect();
        if events.is_empty() && state.cuts != cuts {
            return None;
        }
        let (events, revision) = (events.join(","), state.revision);
        Some(format!(
            r#"{{"events":[{events}],"StoreRevision":{revision}}}"#
        ))
    }
}

fn item(revision: u64, key: &str, value: Option<&String>) -> String {
    match value {
        Some(value) => {
            let value = base64(value.as_bytes());
            format!(
                r#"{{"Key":"{key}","Value":"{value}","Revision":{revision},"Created":{revision},"Lease":0}}"#
            )
        }
        None => format!(r#"{{"Key":"{key}","Revision":{revision},"Deleted":true}}"#),
    }
}

/// One arrival of a request at an engine.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Instant,
    pub engine: String,
    pub request: String,
    pub tenant: Option<String>,
    /// Whether the engine began to work on it.
    pub ran: bool,
}

/// All arrivals at engines, and all runs of pieces of stages.
#[derive(Clone, Default)]
pub struct Ledger(Arc<Mutex<Vec<Arrival>>>);

impl Ledger {
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.0.lock().unwrap().clone()
    }

    /// Returns whether an engine has worked on a request, or a stage on a piece of it, after `since`.
    pub fn was_worked_on(&self, request: &str, since: Instant) -> bool {
        let arrivals = self.0.lock().unwrap();
        arrivals
            .iter()
            .any(|arrival| arrival.request == request && arrival.ran && arrival.at >= since)
    }
}

/// What an engine does for a request.
#[derive(Clone, Copy)]
pub enum Work {
    /// Answers with one document after a time.
    Plain(Duration),
    /// Answers with so many events, with a pause before each.
    Stream {
        events: u32,
        pause: Duration,
        reads_inputs: bool,
    },
    /// Runs pieces of stages, one call at a time: a time for each call and for each piece of it.
    Stage { call: Duration, piece: Duration },
}

/// An engine, with the entry by which it registers.
#[derive(Clone)]
pub struct Engine {
    pub id: String,
    pub service: &'static str,
    pub address: SocketAddr,
    pub zone: &'static str,
    pub slots: u32,
    pub cold: Duration,
    /// Start of its process, in milliseconds since the Unix epoch.
    pub born: u128,
    pub work: Work,
}

/// Returns the time of day in milliseconds since the Unix epoch.
pub fn now_ms() -> u128 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis()
}

impl Engine {
    /// Returns the entry of the engine in the store, with its state.
    pub fn entry(&self, state: &str) -> String {
        let Self {
            service,
            address,
            zone,
            slots,
            cold,
            born,
            ..
        } = self;
        format!(
            r#"{{"Service":"{service}","Address":"{address}","Zone":"{zone}","Version":"v1","Slots":{slots},"State":"{state}","ColdRemainingMs":{},"Sequence":1,"born":{born}}}"#,
            cold.as_millis()
        )
    }

    /// Starts the engine and registers it in the store.
    pub fn start(self, store: &Store, ledger: &Ledger, record: &Record) -> Server {
        let key = format!("servers/{}", self.id);
        let entry = self.entry("ready");
        let (engine, ledger, record) = (self.clone(), ledger.clone(), record.clone());
        let (turn, waiting) = (Mutex::new(()), AtomicUsize::new(0));
        let server = serve(self.address, move |request, stream| {
            engine.serve(&request, stream, &ledger, &record, &turn, &waiting)
        });
        store.put(&key, &entry);
        server
    }

    fn serve(
        &self,
        request: &Request,
        stream: &mut TcpStream,
        ledger: &Ledger,
        record: &Record,
        turn: &Mutex<()>,
        waiting: &AtomicUsize,
    ) -> std::io::Result<bool> {
        let note = |id: &str, ran: bool| {
            let tenant = request.header("Tenant").map(str::to_owned);
            record.note(&format!(
                "engine {}: {} {id} {}, Tenant {tenant:?}",
                self.id,
                if ran { "runs" } else { "rejects" },
                request.target
            ));
            ledger.0.lock().unwrap().push(Arrival {
                at: Instant::now(),
                engine: self.id.clone(),
                request: id.to_owned(),
                tenant,
                ran,
            });
        };
        let id = request.header("Request-Id").unwrap_or_default();
        if request
            .header("Expect-Instance")
            .is_some_and(|expected| expected != self.id)
        {
            note(id, false);
            answer(stream, 421, &format!("Instance-Id: {}\r\n", self.id), "")?;
            return Ok(true);
        }
        let signed = format!(
            "Request-Id: {id}\r\nResponse-Signature: {}.{id}\r\n",
            self.id
        );
        match self.work {
            Work::Plain(time) => {
                note(id, true);
                thread::sleep(time);
                answer(stream, 200, &signed, &format!("answer to {id}"))?;
            }
            Work::Stream {
                events,
                pause,
                reads_inputs,
            } => {
                if reads_inputs && request.header("Inputs").is_none() {
                    note(id, false);
                    answer(stream, 400, "Not-Executed: 1\r\n", "")?;
                    return Ok(true);
                }
                note(id, true);
                write!(
                    stream,
                    "HTTP/1.1 200 OK\r\n{signed}Content-Type: text/event-stream\r\n\
                    Transfer-Encoding: chunked\r\n\r\n"
                )?;
                for event in 0..events {
                    thread::sleep(pause);
                    let text = format!("id: {event}\ndata: piece {event} of {id}\n\n");
                    write!(stream, "{:x}\r\n{text}\r\n", text.len())?;
                }
                write!(stream, "0\r\n\r\n")?;
            }
            Work::Stage { call, piece } => {
                return self.serve_stage(request, stream, call, piece, note, turn, waiting);
            }
        }
        Ok(true)
    }

    fn serve_stage(
        &self,
        request: &Request,
        stream: &mut TcpStream,
        call: Duration,
        piece: Duration,
        note: impl Fn(&str, bool),
        turn: &Mutex<()>,
        waiting: &AtomicUsize,
    ) -> std::io::Result<bool> {
        const QUEUE: usize = 2;
        static NEXT_HANDLE: AtomicUsize = AtomicUsize::new(1);
        match request.target.as_str() {
            "/api/stage-run" => {}
            "/api/report" => {
                answer(stream, 200, "", r#"{"Waiting":0,"Busy":false,"FreeMb":18}"#)?;
                return Ok(true);
            }
            _ => {
                answer(stream, 200, "", "{}")?;
                return Ok(true);
            }
        }
        // Ids and keys are plain words, so the entries can be told apart by their ids.
        let body = String::from_utf8_lossy(&request.body);
        let ids: Vec<&str> = body
            .split(r#""Id":""#)
            .skip(1)
            .filter_map(|rest| rest.split('"').next())
            .collect();
        if waiting.fetch_add(1, Ordering::SeqCst) > QUEUE {
            waiting.fetch_sub(1, Ordering::SeqCst);
            answer(stream, 503, "Not-Executed: 1\r\n", "")?;
            return Ok(true);
        }
        {
            let _turn = turn.lock().unwrap();
            ids.iter().for_each(|id| note(id, true));
            thread::sleep(call + piece * ids.len() as u32);
        }
        waiting.fetch_sub(1, Ordering::SeqCst);
        let handle = |_| {
            format!(
                r#"{{"Handle":"{}/{:x}"}}"#,
                self.address,
                NEXT_HANDLE.fetch_add(1, Ordering::SeqCst)
            )
        };
        let entries: Vec<String> = ids.iter().map(handle).collect();
        answer(
            stream,
            200,
            "Content-Type: application/json\r\n",
            &format!(r#"{{"Entries":[{}]}}"#, entries.join(",")),
        )?;
        Ok(true)
    }
}

/// A VM of the system: a process of the project's daemon.
pub struct Vm {
    pub name: String,
    net: Net,
    host: u8,
    pub pid: i32,
    child: Child,
}

impl Vm {
    /// Starts the daemon with the command of deploy/system.toml, and settings as its template gives them.
    pub fn start(
        net: Net,
        host: u8,
        zone: &str,
        seeds: &[u8],
        store: &Store,
        record: &Record,
    ) -> Self {
        let name = format!("edge-{zone}-{host}");
        let seeds: Vec<String> = seeds
            .iter()
            .map(|seed| format!("\"{}\"", net.address(*seed, 4)))
            .collect();
        let settings = format!(
            "vm = \"{name}\"\ndata_centre = \"{zone}\"\nip = \"{}\"\ncaller_address = \"{}\"\n\
             readiness_address = \"{}\"\ndirectory_address = \"{}\"\nplatform_address = \"{}\"\n\
             seeds = [{}]\npeer_ports = [{}, {}]\nmetrics_port = {}\ngrace_s = 8\n\
             address_ttl_most_s = 5\nrepeat_ratio = 0.2\nrepeat_reserve = 52\nrepeat_window_s = 10\n\
             first_start = true\ncpu_share = 0.25\ncpu_count = 1\nlink_mbit_per_s = 1000.0\n",
            net.ip(host),
            net.address(host, 0),
            net.address(host, 1),
            net.address(host, 2),
            store.address,
            seeds.join(","),
            net.first_port + 5,
            net.first_port + 20,
            net.first_port + 3,
        );
        let path = folder().join(format!("{name}.toml"));
        std::fs::write(&path, settings).expect("the settings cannot be written");
        let log =
            File::create(folder().join(format!("{name}.log"))).expect("the log cannot be written");
        let mut command = Command::new("target/release/primrosewalkd");
        command
            .env_clear()
            .env("PRIMROSEWALK_BOOT", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log);
        // SAFETY: prctl only sets an attribute of the new process. It ends with the case, whatever ends
        // that.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, 9);
                Ok(())
            });
        }
        let child = command.spawn().expect("the daemon cannot be started");
        let pid = child.id() as i32;
        RUNNING.lock().unwrap().push(pid);
        record.note(&format!("{name} started"));
        Self {
            name,
            net,
            host,
            pid,
            child,
        }
    }

    pub fn callers(&self) -> SocketAddr {
        self.net.address(self.host, 0)
    }

    /// Waits until the readiness check of the VM is answered 200.
    pub fn wait_until_ready(&self, record: &Record) {
        for _ in 0..200 {
            let sent = Call::get("/api/readyz").send(self.net.address(self.host, 1));
            if sent.status == Some(200) {
                return;
            }
            thread::sleep(Duration::from_millis(50));
        }
        give_up(record, &format!("{} does not become ready", self.name));
    }

    pub fn signal(&self, signal: i32) {
        // SAFETY: kill has no memory effects; the child was not waited for.
        unsafe { kill(self.pid, signal) };
    }

    /// Waits until the process has exited, at most for `limit`; then kills it, as the platform does.
    pub fn wait_for_exit(&mut self, limit: Duration, record: &Record) {
        let started = Instant::now();
        while started.elapsed() < limit {
            if let Ok(Some(status)) = self.child.try_wait() {
                RUNNING.lock().unwrap().retain(|pid| *pid != self.pid);
                return record.note(&format!("{} exited by itself: {status}", self.name));
            }
            thread::sleep(Duration::from_millis(5));
        }
        let _ = self.child.kill();
        let _ = self.child.wait();
        RUNNING.lock().unwrap().retain(|pid| *pid != self.pid);
        record.note(&format!("{} was killed after {limit:?}", self.name));
    }

    /// Returns a field of the process's status, in kilobytes.
    pub fn memory_kb(&self, field: &str) -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.pid)).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix(field))?;
        line.trim_start_matches(':')
            .trim()
            .split(' ')
            .next()?
            .parse()
            .ok()
    }
}

/// Returns the temporary folder of this run, for settings and logs.
pub fn folder() -> PathBuf {
    let folder = std::env::temp_dir().join(format!("primrosewalk-review-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("the temporary folder cannot be made");
    folder
}

/// A request of a client.
#[derive(Clone, Default)]
pub struct Call {
    pub method: &'static str,
    pub path: String,
    pub id: String,
    pub key: Option<String>,
    pub deadline: Duration,
    /// Further header lines, each with its line end.
    pub headers: String,
    pub body: Vec<u8>,
}

/// What a client saw of one request.
pub struct Answer {
    /// When the last byte of the request was sent.
    pub sent_at: Instant,
    /// When the connection ended or the answer was complete.
    pub ended_at: Instant,
    /// `None` if no head of an answer came.
    pub status: Option<u16>,
    pub is_complete: bool,
    pub body: String,
}

impl Call {
    pub fn get(path: &str) -> Self {
        Self {
            method: "GET",
            path: path.to_owned(),
            deadline: Duration::from_secs(3),
            ..Self::default()
        }
    }

    pub fn text(&self) -> Vec<u8> {
        let mut head = format!(
            "{} {} HTTP/1.1\r\nHost: h.example\r\n",
            self.method, self.path
        );
        if !self.id.is_empty() {
            head += &format!("Request-Id: {}\r\n", self.id);
        }
        head += &format!("Deadline-Ms: {}\r\n", self.deadline.as_millis());
        if let Some(key) = &self.key {
            head += &format!("Authorization: Token {key}\r\n");
        }
        head += &self.headers;
        head += &format!("Content-Length: {}\r\n\r\n", self.body.len());
        [head.as_bytes(), &self.body].concat()
    }

    /// Sends the request on a new connection and waits for the answer, a little beyond the deadline.
    pub fn send(&self, to: SocketAddr) -> Answer {
        match TcpStream::connect_timeout(&to, Duration::from_secs(1)) {
            Ok(stream) => self.send_on(stream),
            Err(_) => Answer::none(),
        }
    }

    /// Like [`Call::send`], and records what was sent and answered.
    pub fn send_recorded(&self, to: SocketAddr, record: &Record) -> Answer {
        let answer = self.send(to);
        record.note(&format!(
            "client: {} was sent to {to} at {:.3}, answered {:?}",
            self.id,
            record.seconds(answer.sent_at),
            answer.status
        ));
        answer
    }

    /// Sends the request on an open connection.
    pub fn send_on(&self, mut stream: TcpStream) -> Answer {
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(self.deadline + Duration::from_secs(2)));
        if stream.write_all(&self.text()).is_err() {
            return Answer::none();
        }
        let sent_at = Instant::now();
        read_answer(stream, sent_at)
    }
}

/// Reads the answer to a request that was sent at `sent_at`.
pub fn read_answer(stream: TcpStream, sent_at: Instant) -> Answer {
    let mut reader = BufReader::new(stream);
    let message = read_message(&mut reader);
    let ended_at = Instant::now();
    let _ = reader.get_ref().shutdown(Shutdown::Both);
    match message {
        Ok((first, _, body)) => Answer {
            sent_at,
            ended_at,
            status: first
                .split(' ')
                .nth(1)
                .and_then(|status| status.parse().ok()),
            is_complete: true,
            body: String::from_utf8_lossy(&body).into_owned(),
        },
        Err(_) => Answer {
            sent_at,
            ended_at,
            ..Answer::none()
        },
    }
}

impl Answer {
    pub fn none() -> Self {
        let now = Instant::now();
        Self {
            sent_at: now,
            ended_at: now,
            status: None,
            is_complete: false,
            body: String::new(),
        }
    }
}

/// Counts things by a word, for the record.
pub fn count(words: impl IntoIterator<Item = String>) -> String {
    let mut counts: HashMap<String, usize> = HashMap::new();
    words
        .into_iter()
        .for_each(|word| *counts.entry(word).or_default() += 1);
    let mut counts: Vec<(String, usize)> = counts.into_iter().collect();
    counts.sort();
    let counts: Vec<String> = counts
        .iter()
        .map(|(word, count)| format!("{word}: {count}"))
        .collect();
    counts.join(", ")
}
