//! Stand-in for the platform's configuration service, whose values can be read and watched
//! but not written.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use clap::Args;
use hyper::{Method, StatusCode};
use parking_lot::Mutex;
use primrosewalk::query::path_text;
use tokio::sync::watch;

use crate::http::{self, Call, Reply};
use crate::values::{self, PublishedManifest};

/// Number of versions of the manifest and of the VM list that are kept, for `/control/stale`
/// and for slow readers that still fetch parts of an older manifest.
const MAX_KEPT_VERSIONS: usize = 64;

/// Upper bound on the time that one watch waits for a change.
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
    /// Maximum number of reads per second; more are answered with 429. A watch counts as one
    /// read, however long it waits.
    #[arg(long, default_value_t = 2000)]
    reads_per_second: u32,
    /// Interval at which the files are checked for changes, in milliseconds.
    #[arg(long, default_value_t = 50)]
    poll_ms: u64,
}

struct Platform {
    reads_per_second: u32,
    store: Mutex<Store>,
    /// Wakes all waiting watches after any change, also one that does not concern them.
    changed: watch::Sender<()>,
}

/// The published values and what `/control` has set.
#[derive(Default)]
struct Store {
    manifests: BTreeMap<u64, PublishedManifest>,
    vm_lists: BTreeMap<u64, Bytes>,
    /// Whether every read closes the connection without an answer.
    stopped: bool,
    /// Newest manifest version that readers see, while the platform pretends to be stale.
    stale_manifest: Option<u64>,
    /// Newest VM list version that readers see, while the platform pretends to be stale.
    stale_vms: Option<u64>,
    /// Number of reads by kind of key, and of those refused while stopped or over the budget,
    /// for `GET /control/counts`.
    counts: BTreeMap<&'static str, u64>,
    /// Start of the current window of one second, and the reads in it so far.
    read_window: Option<(Instant, u32)>,
}

impl Store {
    /// Returns the version and the value that a reader of a key gets now.
    fn value(&self, key: &str) -> Option<(u64, Bytes)> {
        let versions_up_to = |stale: Option<u64>| ..=stale.unwrap_or(u64::MAX);
        if key == "manifest" {
            let (version, manifest) = self
                .manifests
                .range(versions_up_to(self.stale_manifest))
                .next_back()?;
            return Some((*version, manifest.index.clone()));
        }
        if key == "vms" {
            let (version, list) = self
                .vm_lists
                .range(versions_up_to(self.stale_vms))
                .next_back()?;
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

    /// Counts a read in the current window of one second, and returns whether it is within
    /// the budget.
    fn admit_read(&mut self, reads_per_second: u32) -> bool {
        let now = Instant::now();
        let (start, used) = match self.read_window {
            Some((start, used)) if now - start < Duration::from_secs(1) => (start, used),
            _ => (now, 0),
        };
        self.read_window = Some((start, used.saturating_add(1)));
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
    let mut files = PublishedFiles {
        manifest: options.dir.join("manifest.json"),
        vms: options.dir.join("vms.json"),
        manifest_stamp: None,
        vms_stamp: None,
    };
    // The values are published before the listener is bound, so that even the first reader
    // finds them.
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

/// The files to publish, each with its stamp at the last check.
struct PublishedFiles {
    manifest: PathBuf,
    vms: PathBuf,
    manifest_stamp: FileStamp,
    vms_stamp: FileStamp,
}

impl PublishedFiles {
    /// Publishes each file that has changed since the last check. A file that cannot be read
    /// is reported on stderr, and the last published version stays.
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

/// Modification time and size of a file, by which a change is noticed; `None` when its metadata
/// cannot be read.
type FileStamp = Option<(std::time::SystemTime, u64)>;

/// Returns whether the file has changed since the stamp `last`, and updates the stamp.
fn is_changed(path: &Path, last: &mut FileStamp) -> bool {
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
        while manifests.len() > MAX_KEPT_VERSIONS {
            manifests.pop_first();
        }
        self.changed.send_replace(());
    }

    fn publish_vms(&self, version: u64, list: Bytes) {
        let lists = &mut self.store.lock().vm_lists;
        lists.insert(version, list);
        while lists.len() > MAX_KEPT_VERSIONS {
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
                store.stale_manifest = call.query_number("version");
                store.stale_vms = call.query_number("vms_version");
            }
            "/control/fresh" => (store.stale_manifest, store.stale_vms) = (None, None),
            "/control/counts" => return http::json(StatusCode::OK, &store.counts),
            _ => return http::status(StatusCode::NOT_FOUND),
        }
        drop(store);
        self.changed.send_replace(());
        http::status(StatusCode::OK)
    }

    /// Returns the version and the value of a key if the version is newer than `after`, or
    /// `None` when the reader has to wait.
    fn value_newer_than(
        &self,
        key: &str,
        after: Option<u64>,
    ) -> Result<Option<(u64, Bytes)>, ReadFailure> {
        let store = self.store.lock();
        if store.stopped {
            return Err(ReadFailure::Stopped);
        }
        let (version, value) = store.value(key).ok_or(ReadFailure::UnknownKey)?;
        let is_newer = after.is_none_or(|after| version > after);
        Ok(is_newer.then_some((version, value)))
    }

    /// Answers a read. With `after_version`, it waits for a newer version until `wait_ms` have
    /// passed, and then answers 304.
    async fn read(&self, key: &str, call: &Call) -> Result<Reply, ReadFailure> {
        let after = call.query_number("after_version");
        let wait =
            Duration::from_millis(call.query_number("wait_ms").unwrap_or(0).min(MAX_WAIT_MS));
        let end = tokio::time::Instant::now() + wait;
        let mut changed = self.changed.subscribe();
        loop {
            if let Some((version, value)) = self.value_newer_than(key, after)? {
                return Ok(with_version(http::bytes(StatusCode::OK, value), version));
            }
            if tokio::time::timeout_at(end, changed.changed())
                .await
                .is_err()
            {
                let (version, _) = self
                    .store
                    .lock()
                    .value(key)
                    .ok_or(ReadFailure::UnknownKey)?;
                return Ok(with_version(
                    http::status(StatusCode::NOT_MODIFIED),
                    version,
                ));
            }
        }
    }
}

/// Reason why a read gets no value.
enum ReadFailure {
    /// `/control/stop` has stopped the platform.
    Stopped,
    UnknownKey,
}

fn with_version(mut reply: Reply, version: u64) -> Reply {
    http::set_header(&mut reply, "x-version", &version.to_string());
    reply
}

/// Returns the name under which reads of a key are counted.
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
    let key = &*path_text(key);
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
        if !store.admit_read(platform.reads_per_second) {
            store.count("over_budget");
            return Some(http::status(StatusCode::TOO_MANY_REQUESTS));
        }
    }
    match platform.read(key, &call).await {
        Ok(reply) => Some(reply),
        Err(ReadFailure::Stopped) => None,
        Err(ReadFailure::UnknownKey) => Some(http::status(StatusCode::NOT_FOUND)),
    }
}
