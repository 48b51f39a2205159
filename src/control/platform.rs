//! Waiting watches of the platform's keys.
//!
//! Each watch is one waiting read at a time. It ends after two seconds at the latest, so
//! that it confirms freshness in time (`docs/design.md`, 3.2).

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
use crate::units::{Time, Version};

/// Settings of reads from the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlatformConfig {
    /// Maximum time that the platform holds a watch.
    pub max_wait: Duration,
    /// Time that a reply may take beyond the wait.
    pub reply_timeout: Duration,
    /// Minimum time between two reads of a watch, against a platform that does not wait.
    pub min_gap: Duration,
    /// Largest value; the platform's own limit is a megabyte.
    pub value_limit_bytes: usize,
    /// Pauses after failed reads.
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

/// What a watch saw.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WatchReply {
    /// A value.
    Value(Bytes),
    /// Nothing newer than what the watch asked for, or than the version shown.
    Unchanged(Version),
}

/// Says why a platform read failed.
#[derive(Debug, Error)]
pub enum PlatformError {
    /// No reply.
    #[error(transparent)]
    Read(#[from] ReadError),
    /// A reply that is neither a value nor "unchanged".
    #[error("the platform replied {0}")]
    Status(StatusCode),
}

/// Reads keys of the platform over one kept connection.
pub struct PlatformReader {
    config: PlatformConfig,
    http: HttpReader,
}

impl PlatformReader {
    /// Makes a reader.
    pub fn new(address: SocketAddr, config: PlatformConfig) -> Self {
        let http = HttpReader::new(address, "platform", config.value_limit_bytes);
        Self { config, http }
    }

    /// Reads a value that does not change, such as a part of a manifest.
    ///
    /// # Errors
    ///
    /// Returns why there is no value.
    pub async fn value(&mut self, key: &str) -> Result<Bytes, PlatformError> {
        counter!("primrosewalk_control_platform_reads_total", "key" => "part").increment(1);
        let path = format!("/v1/values/{key}");
        let reply = self.http.get(&path, self.config.reply_timeout).await?;
        if reply.status == StatusCode::OK {
            Ok(reply.body)
        } else {
            Err(PlatformError::Status(reply.status))
        }
    }

    /// Waits for a value newer than `after`. The time is one at which the platform surely
    /// held what it showed: a reply may lie unread for a while in a paused process.
    async fn watch(
        &mut self,
        key: &'static str,
        after: Version,
    ) -> Result<(Time, WatchReply), PlatformError> {
        counter!("primrosewalk_control_platform_reads_total", "key" => key).increment(1);
        let max_wait = self.config.max_wait;
        let path = format!(
            "/v1/values/{key}?after_version={after}&wait_ms={}",
            max_wait.as_millis()
        );
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

/// How a watch goes on after it passed on what it saw.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextRead {
    /// Wait for a version newer than this one.
    After(Version),
    /// The value could not be used now; try again after a pause.
    Retry,
}

/// Watches `key` for ever. `held` gives the version that is held when a read begins, and
/// `pass` takes what a read saw. `fail` takes the first of several failures in a row.
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
