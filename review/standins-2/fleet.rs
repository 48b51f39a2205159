//! A small deployment on loopback addresses: a store, engines and VMs, each a process of its own.

use std::collections::HashSet;
use std::fs::{self, File};
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http;

/// Program of the deploy file.
const PROGRAM: &str = "target/release/primrosewalkd";
/// Template of the deploy file.
const TEMPLATE: &str = "deploy/vm.toml.tmpl";
const KEY: &str = "9dnn2ctnfzs989anu6ws";
const HOST: &str = "jepu9.example";
const ZONES: [&str; 3] = ["amman-a", "amman-b", "amman-c"];
/// Memory and descriptors of a machine of `nakheel-ops`.
pub const MEMORY_MB: u64 = 260;
const MAX_FDS: u64 = 4_100;

/// How a case ended.
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun(String),
}

/// Time after which a run is given up.
const MAX_RUN: Duration = Duration::from_secs(105);

/// Ids of the processes that this run has started and not ended.
static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());

fn spawn(command: &mut Command) -> Option<Child> {
    let child = command.spawn().unwrap();
    CHILDREN.lock().unwrap().push(child.id());
    Some(child)
}

/// Ends all processes of a run that takes too long, and the run itself.
fn watch_time() {
    thread::sleep(MAX_RUN);
    for child in CHILDREN.lock().unwrap().iter() {
        let _ = Command::new("sh").args(["-c", &format!("kill -KILL {child}")]).status();
    }
    println!("could not run: no end within {MAX_RUN:?}");
    std::process::exit(2);
}

/// Largest number of engines' lines that go into the record one by one.
const MAX_ENGINE_LINES: usize = 200;

/// What happened, for `record.txt`.
pub struct Record {
    file: Mutex<File>,
    started: SystemTime,
}

impl Record {
    pub fn line(&self, text: impl AsRef<str>) {
        self.line_at(SystemTime::now(), text.as_ref());
    }

    fn line_at(&self, at: SystemTime, text: &str) {
        let after = at.duration_since(self.started).unwrap_or_default().as_secs_f64();
        writeln!(self.file.lock().unwrap(), "{after:8.3} s  {text}").unwrap();
    }

    /// Adds what the engines have run: each line of their log, but only the last event of each stream, or the
    /// number of requests if the lines are many.
    fn add_engines(&self, log: &str) {
        let mut seen = HashSet::new();
        let mut lines: Vec<&str> = log.lines().rev().collect();
        lines.retain(|line| {
            let event = line.split_once(" has sent event ");
            event.is_none_or(|(_, event)| seen.insert(event.split_once(" of ").map(|(_, stream)| stream)))
        });
        if lines.len() > MAX_ENGINE_LINES {
            let runs = |name: &str| lines.iter().filter(|line| line.contains(name)).count();
            let (first, second) = (runs(" runs first-"), runs(" runs second-"));
            self.line(format!(
                "engines: ran {first} first and {second} second requests of crowds"
            ));
            return;
        }
        for (ms, text) in lines.iter().rev().filter_map(|line| line.split_once(' ')) {
            let at = UNIX_EPOCH + Duration::from_millis(ms.parse().unwrap_or(0));
            self.line_at(at, text);
        }
    }
}

/// A VM of the system.
pub struct Vm {
    pub ip: Ipv4Addr,
    settings: PathBuf,
    log: PathBuf,
    pub child: Option<Child>,
}

impl Vm {
    pub fn start(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log).unwrap();
        let mut command = Command::new(PROGRAM);
        command.env_clear().env("PRIMROSEWALK_BOOT", &self.settings);
        command
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log);
        self.child = spawn(&mut command);
    }

    pub fn kill(&mut self) {
        end(&mut self.child);
    }

    pub fn callers(&self) -> SocketAddr {
        (self.ip, 8625).into()
    }

    /// Returns the resident memory of the process.
    pub fn memory_bytes(&self) -> u64 {
        let pid = self.child.as_ref().map_or(0, Child::id);
        let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kib = line.and_then(|line| line.trim().strip_suffix(" kB")?.parse::<u64>().ok());
        kib.unwrap_or(0) * 1_024
    }

    fn is_ready(&self) -> bool {
        let request = b"GET /api/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        let answer = http::exchange((self.ip, 8621).into(), request, Duration::from_secs(1));
        answer.is_ok_and(|answer| answer.status() == 200)
    }

    pub fn wait_until_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(10);
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

/// Processes and files of one run. All processes end when it is dropped.
pub struct Fleet {
    pub vms: Vec<Vm>,
    pub engines: Vec<Option<Child>>,
    pub record: Record,
    pub has_trouble: bool,
    /// What the engines have run.
    pub engine_log: PathBuf,
    /// Whether the first engine is behind a path that can be cut.
    pub has_path: bool,
    path: Option<Child>,
    store: Option<Child>,
    engine_kinds: Vec<String>,
    engine_addresses: Vec<SocketAddr>,
    files: PathBuf,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.vms.iter_mut().for_each(Vm::kill);
        self.engines.iter_mut().for_each(end);
        end(&mut self.path);
        end(&mut self.store);
        let _ = fs::remove_dir_all(&self.files);
    }
}

/// Kills a process that this run started.
pub fn end(child: &mut Option<Child>) {
    if let Some(mut child) = child.take() {
        CHILDREN.lock().unwrap().retain(|id| *id != child.id());
        let _ = child.kill();
        let _ = child.wait();
    }
}

/// Runs a case and returns its exit code.
pub fn run(folder: &str, case: fn(&mut Fleet) -> Verdict) -> i32 {
    let file = File::create(Path::new(folder).join("record.txt")).unwrap();
    let record = Record {
        file: Mutex::new(file),
        started: SystemTime::now(),
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let seed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().subsec_nanos();
    let files = std::env::temp_dir().join(format!("review-{}-{seed}", std::process::id()));
    fs::create_dir_all(&files).unwrap();
    let mut fleet = Fleet {
        vms: Vec::new(),
        engines: Vec::new(),
        record,
        has_trouble,
        engine_log: files.join("engines.log"),
        has_path: false,
        path: None,
        store: None,
        engine_kinds: Vec::new(),
        engine_addresses: Vec::new(),
        files,
    };
    File::create(&fleet.engine_log).unwrap();
    thread::spawn(watch_time);
    let verdict = case(&mut fleet);
    let (code, text) = match verdict {
        Verdict::Held => (0, "held".to_owned()),
        Verdict::Broken => (1, "BROKEN".to_owned()),
        Verdict::CouldNotRun(why) => (2, format!("could not run: {why}")),
    };
    let engine_log = fs::read_to_string(&fleet.engine_log).unwrap_or_default();
    fleet.record.add_engines(&engine_log);
    fleet.record.line(format!("the rule: {text}"));
    println!("{text}");
    code
}

impl Fleet {
    /// Starts a store, `engines` engines of these kinds and `vms` VMs, and waits until the VMs are ready.
    pub fn start(&mut self, engines: usize, kind: &str, vms: usize) -> Result<(), String> {
        let subnet = free_subnet().ok_or("no free addresses")?;
        let ip = |part: u8, number: usize| Ipv4Addr::new(127, subnet, part, number as u8 + 1);
        let cases = std::env::current_exe().unwrap();
        let store = SocketAddr::from((ip(9, 0), 8624));
        let addresses: Vec<SocketAddr> = (0..engines).map(|number| (ip(5, number), 9000).into()).collect();
        let mut items = format!("op/config {}\n", configuration());
        for (number, address) in addresses.iter().enumerate() {
            let zone = ZONES[number % ZONES.len()];
            items += &format!(
                "servers/i-{number} {{\"Service\":\"wuno96b\",\"Address\":\"{address}\",\"Zone\":\"{zone}\",\
                 \"Version\":\"v1\",\"Slots\":6,\"State\":\"ready\",\"ColdRemainingMs\":0,\"Sequence\":1,\
                 \"born\":1790000000000}}\n"
            );
        }
        let items_file = self.files.join("items");
        fs::write(&items_file, items).unwrap();
        let mut command = Command::new(&cases);
        command
            .args(["store", &store.to_string()])
            .arg(&items_file)
            .stdin(Stdio::null());
        self.store = spawn(&mut command);
        self.engine_addresses = addresses;
        if self.has_path {
            let listen = self.engine_addresses[0].to_string();
            self.engine_addresses[0].set_port(9001);
            let mut command = Command::new(&cases);
            command.args(["proxy", &listen, &self.engine_addresses[0].to_string()]);
            command.arg(self.files.join("cut")).stdin(Stdio::null());
            self.path = spawn(&mut command);
        }
        for number in 0..engines {
            // The last kind is that of all further engines.
            let kind = kind.split(' ').nth(number).or(kind.split(' ').last());
            self.engine_kinds.push(kind.unwrap_or_default().to_owned());
            self.engines.push(None);
            self.start_engine(number);
        }
        thread::sleep(Duration::from_millis(300));
        let ips: Vec<Ipv4Addr> = (0..vms).map(|number| ip(1, number)).collect();
        for (number, ip) in ips.iter().enumerate() {
            let settings = self.files.join(format!("vm-{number}.toml"));
            fs::write(&settings, render(number, *ip, &ips, store)).unwrap();
            let log = self.files.join(format!("vm-{number}.log"));
            self.vms.push(Vm {
                ip: *ip,
                settings,
                log,
                child: None,
            });
        }
        self.vms.iter_mut().for_each(Vm::start);
        match self.vms.iter().all(Vm::wait_until_ready) {
            true => Ok(()),
            false => Err("a VM did not become ready".to_owned()),
        }
    }
}

impl Fleet {
    /// Waits until the log of the engines has a text, for five seconds at most.
    pub fn wait_for_engine(&self, text: &str) {
        let until = Instant::now() + Duration::from_secs(5);
        let has_text = || fs::read_to_string(&self.engine_log).is_ok_and(|log| log.contains(text));
        while !has_text() && Instant::now() < until {
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Cuts the path between the first engine and all VMs, or ends the cut.
    pub fn set_cut(&self, is_cut: bool) {
        let file = self.files.join("cut");
        match is_cut {
            true => drop(File::create(file).unwrap()),
            false => fs::remove_file(file).unwrap(),
        }
    }

    /// Starts the process of an engine, under the id and the address that it had before.
    pub fn start_engine(&mut self, number: usize) {
        let address = self.engine_addresses[number].to_string();
        let mut command = Command::new(std::env::current_exe().unwrap());
        command.args(["engine", &address, &format!("i-{number}"), &self.engine_kinds[number]]);
        command.arg(&self.engine_log).stdin(Stdio::null());
        self.engines[number] = spawn(&mut command);
    }
}

/// Returns the second byte of loopback addresses whose ports nobody uses.
fn free_subnet() -> Option<u8> {
    let first = std::process::id() % 100;
    let subnets = (0..100).map(|step| 20 + ((first + step) % 100) as u8);
    let is_free = |subnet: &u8| {
        let ports = [8620, 8621, 8625, 7741, 7742];
        ports.iter().all(|port| {
            let ip = Ipv4Addr::new(127, *subnet, 1, 1);
            TcpListener::bind((ip, *port)).is_ok()
        })
    };
    subnets.into_iter().find(is_free)
}

/// Fills the template of the deploy file as the platform does.
fn render(number: usize, ip: Ipv4Addr, ips: &[Ipv4Addr], store: SocketAddr) -> String {
    let seeds = ips.iter().take(3).map(|ip| format!("\"{ip}:8628\""));
    let seeds = seeds.collect::<Vec<_>>().join(",");
    let values = [
        ("NodeName", format!("edge-{number}")),
        ("Zone", ZONES[number % ZONES.len()].to_owned()),
        ("Ip", ip.to_string()),
        ("Listen.Frontend", format!("{ip}:8625")),
        ("Listen.Readiness", format!("{ip}:8621")),
        ("Listen.Directory", format!("{ip}:8620")),
        ("Platform.Address", store.to_string()),
        ("Seeds|json", format!("[{seeds}]")),
        ("InternalPorts|json", "[7740,7755]".to_owned()),
        ("Bounds.GraceS", "8".to_owned()),
        ("Bounds.ttl_max_s", "5".to_owned()),
        ("Bounds.RetryBudgetRatio", "0.2".to_owned()),
        ("Bounds.BudgetSlack", "52".to_owned()),
        ("Bounds.BudgetWindowS", "10".to_owned()),
        ("Bootstrap", "true".to_owned()),
        ("Limits.CpuShare", "0.25".to_owned()),
        ("Limits.Cores", "1".to_owned()),
        ("Limits.LinkMbps", "1000.0".to_owned()),
        ("Limits.MemoryMb", MEMORY_MB.to_string()),
        ("Limits.MaxFds", MAX_FDS.to_string()),
    ];
    let mut text = fs::read_to_string(TEMPLATE).unwrap();
    for (name, value) in values {
        text = text.replace(&format!("{{{{{name}}}}}"), &value);
    }
    text
}

/// One service with four routes: requests to `/pay/` run once, those to `/look/` may be repeated, and streams of
/// `/chat/` may be resumed while those of `/brief/` may not.
fn configuration() -> String {
    let route = |path: &str, kind: &str, attempts: u32, stream: &str| {
        format!(
            "{{\"Name\":\"r-{path}\",\"Host\":\"{HOST}\",\"PathPrefix\":\"/{path}/\",\"RouteKind\":\"{kind}\",\
             \"TimeoutMs\":6000,\"TargetLatencyMs\":300,\"Priority\":2,\"Service\":\"wuno96b\",\
             \"MaxAttempts\":{attempts},\"Public\":false{stream}}}"
        )
    };
    let stream = |resumable: bool| format!(",\"Sticky\":true,\"Resumable\":{resumable},\"GapTargetMs\":500");
    let routes = [
        route("pay", "non_idempotent", 1, ""),
        route("look", "idempotent", 2, ""),
        route("chat", "streaming", 2, &stream(true)),
        route("brief", "streaming", 1, &stream(false)),
    ]
    .join(",");
    format!(
        "{{\"Version\":7,\"Routes\":[{routes}],\"Services\":[{{\"Name\":\"wuno96b\",\"HealthPath\":\"/healthz\",\
         \"MaxConnections\":96,\"Protocol\":\"h1\",\"Tls\":false,\"ColdStartS\":0.0,\"ColdPerS\":0.0}}],\
         \"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\
         \"IdleTimeoutMs\":15000}},\"Tenants\":[{{\"Name\":\"bozi300\",\"ApiKeys\":[\"{KEY}\"],\"Priority\":1}}]}}"
    )
}

/// Returns the head of a caller's request; `framing` is the header that frames its body.
pub fn head(path: &str, id: &str, framing: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: 6000\r\n\
         Authorization: Token {KEY}\r\n{framing}\r\n\r\n"
    )
}
