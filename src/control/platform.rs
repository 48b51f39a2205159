//! Watches keys of the platform by long polling.
//!
//! A watch has one long-poll read open at a time. The platform ends the read after two seconds at
//! the latest, so that the read confirms freshness in time (`docs/design.md`, 3.2).

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hyper::StatusCode;
use metrics::counter;
use thiserror::Error;
use tokio::time::sleep;

use crate::clock;
use crate::control::http::{HttpReader, ReadError};
use crate::peer::backoff::{Backoff, BackoffConfig};
use crate::query;
use crate::units::{Time, Version};

/// Settings of reads from the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlatformConfig {
    /// Maximum time for which the platform may hold a long-poll read open.
    pub max_wait: Duration,
    /// Timeout of a read; a long-poll read may take this long beyond `max_wait`.
    pub reply_timeout: Duration,
    /// Pause after a successful read of a watch. It limits the rate of reads if the platform
    /// replies without waiting.
    pub min_gap: Duration,
    /// Maximum size of a value in bytes. The platform's own limit is a megabyte.
    pub value_limit_bytes: usize,
    /// Backoff after failed reads.
    pub backoff: BackoffConfig,
}

impl Default for PlatformConfig {
    fn default() -> Self {
        Self {
            max_wait: Duration::from_secs(2),
            reply_timeout: Duration::from_secs(2),
            min_gap: Duration::from_millis(50),
            value_limit_bytes: 1024 * 1024,
            backoff: BackoffConfig::default(),
        }
    }
}

/// Reply to a read of a watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WatchReply {
    /// The value of the key. The handler checks that its version is newer.
    Value(Bytes),
    /// The platform has no newer value. The version is the one in the reply's `x-version` header,
    /// or the one given in the read if the header is missing.
    Unchanged(Version),
}

/// Says why a platform read failed.
#[derive(Debug, Error)]
pub enum PlatformError {
    /// The platform sent no complete reply.
    #[error(transparent)]
    Read(#[from] ReadError),
    /// The reply is neither a value nor "unchanged".
    #[error("the platform replied {0}")]
    Status(StatusCode),
}

/// Reads keys of the platform over one keep-alive connection.
pub struct PlatformReader {
    config: PlatformConfig,
    http: HttpReader,
}

impl PlatformReader {
    /// Creates a reader that connects at its first read.
    pub fn new(address: SocketAddr, config: PlatformConfig) -> Self {
        let http = HttpReader::new(address, "platform", config.value_limit_bytes);
        Self { config, http }
    }

    /// Reads a value that never changes, such as a part of a manifest.
    ///
    /// # Errors
    ///
    /// Returns why the value could not be read.
    pub async fn value(&mut self, key: &str) -> Result<Bytes, PlatformError> {
        counter!("primrosewalk_control_platform_reads_total", "key" => "part").increment(1);
        let path = value_path(key);
        let reply = self.http.get(&path, self.config.reply_timeout).await?;
        if reply.status == StatusCode::OK {
            Ok(reply.body)
        } else {
            Err(PlatformError::Status(reply.status))
        }
    }

    /// Waits for a value newer than `after`. The returned time is the one as of which the state
    /// counts as confirmed: the sending of the read if there is a value, otherwise the end of
    /// `max_wait` or the reply's arrival if that is earlier. The arrival alone would not be safe,
    /// since a reply may stay unread for a while in a paused process. The platform is assumed to
    /// hold an unchanged read open for all of `max_wait`.
    async fn watch(
        &mut self,
        key: &'static str,
        after: Version,
    ) -> Result<(Time, WatchReply), PlatformError> {
        counter!("primrosewalk_control_platform_reads_total", "key" => key).increment(1);
        let max_wait = self.config.max_wait;
        let (after_version, wait_ms) = (after.to_string(), max_wait.as_millis().to_string());
        let query = [("after_version", &*after_version), ("wait_ms", &*wait_ms)];
        let path = query::target(&value_path(key), query);
        let asked_at = clock::now();
        let timeout = max_wait + self.config.reply_timeout;
        let reply = self.http.get(&path, timeout).await?;
        match reply.status {
            StatusCode::OK => Ok((asked_at, WatchReply::Value(reply.body))),
            StatusCode::NOT_MODIFIED => {
                let header = reply.headers.get("x-version");
                let version = header.and_then(|value| value.to_str().ok()?.parse().ok());
                let confirmed_at = clock::now().min(asked_at + max_wait);
                Ok((
                    confirmed_at,
                    WatchReply::Unchanged(version.unwrap_or(after)),
                ))
            }
            status => Err(PlatformError::Status(status)),
        }
    }
}

/// Returns the path at which the platform serves a key, whose parts are separated by slashes.
fn value_path(key: &str) -> String {
    let segments: Vec<_> = key.split('/').map(query::segment).collect();
    format!("/v1/values/{}", segments.join("/"))
}

/// How a watch continues after a reply was handled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextRead {
    /// Wait for a version newer than this one.
    After(Version),
    /// Pause for the backoff and read again, since the value could not be read or used.
    Retry,
}

/// Watches `key` until the task is dropped. `current_version` returns the version that this VM has
/// when a read begins, and `on_reply` handles each reply. Of several failures in a row,
/// `on_failure` is called for the first only.
pub async fn watch_key(
    mut reader: PlatformReader,
    key: &'static str,
    current_version: impl Fn() -> Version,
    mut on_reply: impl AsyncFnMut(&mut PlatformReader, Time, WatchReply) -> NextRead,
    on_failure: impl Fn(&PlatformError),
) {
    let mut backoff = Backoff::new(reader.config.backoff);
    let mut last_version = Version::default();
    let mut last_read_failed = false;
    loop {
        let after = last_version.max(current_version());
        let next = match reader.watch(key, after).await {
            Ok((confirmed_at, reply)) => {
                last_read_failed = false;
                on_reply(&mut reader, confirmed_at, reply).await
            }
            Err(error) => {
                if !last_read_failed {
                    on_failure(&error);
                }
                last_read_failed = true;
                counter!("primrosewalk_control_platform_failures_total", "key" => key).increment(1);
                NextRead::Retry
            }
        };
        match next {
            NextRead::After(version) => {
                backoff.reset();
                last_version = version;
                sleep(reader.config.min_gap).await;
            }
            NextRead::Retry => backoff.pause().await,
        }
    }
}
