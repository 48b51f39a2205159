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
    pub wait: Duration,
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
            wait: Duration::from_secs(2),
            reply_timeout: Duration::from_secs(2),
            min_gap: Duration::from_millis(50),
            value_limit_bytes: 1024 * 1024,
            backoff: BackoffConfig::default(),
        }
    }
}

/// What a watch saw.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Seen {
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
    ) -> Result<(Time, Seen), PlatformError> {
        counter!("primrosewalk_control_platform_reads_total", "key" => key).increment(1);
        let wait = self.config.wait;
        let path = format!(
            "/v1/values/{key}?after_version={after}&wait_ms={}",
            wait.as_millis()
        );
        let asked_at = clock::now();
        let limit = wait + self.config.reply_timeout;
        let reply = self.http.get(&path, limit).await?;
        match reply.status {
            StatusCode::OK => Ok((asked_at, Seen::Value(reply.body))),
            StatusCode::NOT_MODIFIED => {
                let header = reply.headers.get("x-version");
                let shown = header.and_then(|value| value.to_str().ok()?.parse().ok());
                let held_at = clock::now().min(asked_at + wait);
                Ok((held_at, Seen::Unchanged(shown.unwrap_or(after))))
            }
            status => Err(PlatformError::Status(status)),
        }
    }
}

/// How a watch goes on after it passed on what it saw.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
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
    held: impl Fn() -> Version,
    mut pass: impl AsyncFnMut(&mut PlatformReader, Time, Seen) -> Next,
    fail: impl Fn(&PlatformError),
) {
    let mut backoff = Backoff::new(reader.config.backoff);
    let mut seen = Version::default();
    let mut failed = false;
    loop {
        let after = seen.max(held());
        let next = match reader.watch(key, after).await {
            Ok((at, what)) => {
                failed = false;
                pass(&mut reader, at, what).await
            }
            Err(error) => {
                if !failed {
                    fail(&error);
                }
                failed = true;
                counter!("primrosewalk_control_platform_failures_total", "key" => key).increment(1);
                Next::Retry
            }
        };
        match next {
            Next::After(version) => {
                backoff.reset();
                seen = version;
                sleep(reader.config.min_gap).await;
            }
            Next::Retry => backoff.pause().await,
        }
    }
}
