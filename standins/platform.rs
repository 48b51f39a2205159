//! The configuration service: values that can only be read and watched.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use clap::Args;
use hyper::{Method, StatusCode};
use parking_lot::Mutex;
use tokio::sync::watch;

use crate::http::{self, Call, Reply};
use crate::values::{self, PublishedManifest};

/// Versions kept for `/control/stale` and for parts that a slow reader still fetches.
const HISTORY: usize = 64;

/// Longest wait of one watch, in milliseconds.
const MAX_WAIT_MS: u64 = 60_000;

/// Flags of `platform`.
#[derive(Args)]
pub struct PlatformOptions {
    /// Address to listen on.
    #[arg(long, value_name = "ADDR")]
    listen: SocketAddr,
    /// Directory with `manifest.json` and `vms.json`.
    #[arg(long, value_name = "DIR")]
    dir: PathBuf,
    /// Reads a second before 429; a waiting watch counts as one.
    #[arg(long, default_value_t = 2000)]
    reads_per_second: u32,
    /// Time between two looks at the files, in milliseconds.
    #[arg(long, default_value_t = 50)]
    poll_ms: u64,
}

struct Platform {
    reads_per_second: u32,
    store: Mutex<Store>,
    /// Wakes every waiting watch, whatever changed.
    changed: watch::Sender<()>,
}

#[derive(Default)]
struct Store {
    manifests: BTreeMap<u64, PublishedManifest>,
    vm_lists: BTreeMap<u64, Bytes>,
    stopped: bool,
    stale_manifest: Option<u64>,
    stale_vms: Option<u64>,
    counts: BTreeMap<&'static str, u64>,
    window: Option<(Instant, u32)>,
}

impl Store {
    /// Returns version and value of a key as a reader sees it now.
    fn value(&self, key: &str) -> Option<(u64, Bytes)> {
        let limit = |stale: Option<u64>| ..=stale.unwrap_or(u64::MAX);
        if key == "manifest" {
            let (version, manifest) = self
                .manifests
                .range(limit(self.stale_manifest))
                .next_back()?;
            return Some((*version, manifest.index.clone()));
        }
        if key == "vms" {
            let (version, list) = self.vm_lists.range(limit(self.stale_vms)).next_back()?;
            return Some((*version, list.clone()));
        }
        let digest = key.strip_prefix("manifest/part/")?;
        self.manifests.values().rev().find_map(|manifest| {
            let part = manifest.parts.iter().find(|(sha256, _)| sha256 == digest)?;
            Some((manifest.version, part.1.clone()))
        })
    }

    fn count(&mut self, kind: &'static str) {
        *self.counts.entry(kind).or_default() += 1;
    }

    fn within_budget(&mut self, reads_per_second: u32) -> bool {
        let now = Instant::now();
        let (start, used) = match self.window {
            Some((start, used)) if now - start < Duration::from_secs(1) => (start, used),
            _ => (now, 0),
        };
        self.window = Some((start, used.saturating_add(1)));
        used < reads_per_second
    }
}

/// Serves the values until the process ends.
pub async fn run(options: PlatformOptions) -> anyhow::Result<()> {
    let platform = Arc::new(Platform {
        reads_per_second: options.reads_per_second,
        store: Mutex::default(),
        changed: watch::Sender::new(()),
    });
    let mut files = Files {
        manifest: options.dir.join("manifest.json"),
        vms: options.dir.join("vms.json"),
        manifest_stamp: None,
        vms_stamp: None,
    };
    // A reader that connects as soon as the address listens must find the values.
    files.publish_changes(&platform);
    let listener = http::bind(options.listen).await?;
    let poll = Duration::from_millis(options.poll_ms.max(1));
    let publisher = platform.clone();
    tokio::spawn(async move {
        loop {
            tokio::time::sleep(poll).await;
            files.publish_changes(&publisher);
        }
    });
    http::serve(listener, move |call| handle(platform.clone(), call)).await
}

/// The files and what they looked like when they were last read.
struct Files {
    manifest: PathBuf,
    vms: PathBuf,
    manifest_stamp: Stamp,
    vms_stamp: Stamp,
}

impl Files {
    fn publish_changes(&mut self, platform: &Platform) {
        if is_changed(&self.manifest, &mut self.manifest_stamp) {
            match values::read_manifest(&self.manifest) {
                Ok(manifest) => platform.publish_manifest(manifest),
                Err(error) => eprintln!("platform: manifest not published: {error:#}"),
            }
        }
        if is_changed(&self.vms, &mut self.vms_stamp) {
            match values::read_vms(&self.vms) {
                Ok((version, list)) => platform.publish_vms(version, list),
                Err(error) => eprintln!("platform: VM list not published: {error:#}"),
            }
        }
    }
}

type Stamp = Option<(std::time::SystemTime, u64)>;

fn is_changed(path: &Path, last: &mut Stamp) -> bool {
    let stamp = std::fs::metadata(path)
        .and_then(|data| Ok((data.modified()?, data.len())))
        .ok();
    let changed = stamp.is_some() && stamp != *last;
    *last = stamp;
    changed
}

impl Platform {
    fn publish_manifest(&self, manifest: PublishedManifest) {
        let manifests = &mut self.store.lock().manifests;
        manifests.insert(manifest.version, manifest);
        while manifests.len() > HISTORY {
            manifests.pop_first();
        }
        self.changed.send_replace(());
    }

    fn publish_vms(&self, version: u64, list: Bytes) {
        let lists = &mut self.store.lock().vm_lists;
        lists.insert(version, list);
        while lists.len() > HISTORY {
            lists.pop_first();
        }
        self.changed.send_replace(());
    }

    fn control(&self, call: &Call) -> Reply {
        let mut store = self.store.lock();
        match call.path.as_str() {
            "/control/stop" => store.stopped = true,
            "/control/start" => store.stopped = false,
            "/control/stale" => {
                store.stale_manifest = call.number("version");
                store.stale_vms = call.number("vms_version");
            }
            "/control/fresh" => (store.stale_manifest, store.stale_vms) = (None, None),
            "/control/counts" => return http::json(StatusCode::OK, &store.counts),
            _ => return http::status(StatusCode::NOT_FOUND),
        }
        drop(store);
        self.changed.send_replace(());
        http::status(StatusCode::OK)
    }

    /// Returns a value newer than `after`, or `None` when the reader has to wait.
    fn newer(&self, key: &str, after: Option<u64>) -> Result<Option<(u64, Bytes)>, ReadFailure> {
        let store = self.store.lock();
        if store.stopped {
            return Err(ReadFailure::Stopped);
        }
        let (version, value) = store.value(key).ok_or(ReadFailure::Unknown)?;
        let is_newer = after.is_none_or(|after| version > after);
        Ok(is_newer.then_some((version, value)))
    }

    async fn read(&self, key: &str, call: &Call) -> Result<Reply, ReadFailure> {
        let after = call.number("after_version");
        let wait = Duration::from_millis(call.number("wait_ms").unwrap_or(0).min(MAX_WAIT_MS));
        let end = tokio::time::Instant::now() + wait;
        let mut changed = self.changed.subscribe();
        loop {
            if let Some((version, value)) = self.newer(key, after)? {
                return Ok(versioned(http::bytes(StatusCode::OK, value), version));
            }
            if tokio::time::timeout_at(end, changed.changed())
                .await
                .is_err()
            {
                let held = self.store.lock().value(key).ok_or(ReadFailure::Unknown)?;
                return Ok(versioned(http::status(StatusCode::NOT_MODIFIED), held.0));
            }
        }
    }
}

enum ReadFailure {
    Stopped,
    Unknown,
}

fn versioned(mut reply: Reply, version: u64) -> Reply {
    http::set_header(&mut reply, "x-version", &version.to_string());
    reply
}

fn kind_of(key: &str) -> &'static str {
    match key {
        "manifest" => "manifest",
        "vms" => "vms",
        _ if key.starts_with("manifest/part/") => "part",
        _ => "unknown",
    }
}

async fn handle(platform: Arc<Platform>, call: Call) -> Option<Reply> {
    let Some(key) = call.path.strip_prefix("/v1/values/") else {
        return Some(platform.control(&call));
    };
    if call.method != Method::GET {
        return Some(http::status(StatusCode::METHOD_NOT_ALLOWED));
    }
    {
        let mut store = platform.store.lock();
        store.count(kind_of(key));
        if store.stopped {
            store.count("while_stopped");
            return None;
        }
        if !store.within_budget(platform.reads_per_second) {
            store.count("over_budget");
            return Some(http::status(StatusCode::TOO_MANY_REQUESTS));
        }
    }
    match platform.read(key, &call).await {
        Ok(reply) => Some(reply),
        Err(ReadFailure::Stopped) => None,
        Err(ReadFailure::Unknown) => Some(http::status(StatusCode::NOT_FOUND)),
    }
}
