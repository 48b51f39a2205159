//! Read-only client of the platform's key-value store.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use anyhow::{Context as _, bail};
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use hyper::{Response, StatusCode};
use serde::Deserialize;

use crate::http::{Call, fetch_response};
use crate::query::target;
use crate::units::{StoreEra, StorePosition};

/// Prefix of the keys of endpoint entries; the endpoint's id follows.
pub const ENDPOINTS_PREFIX: &str = "servers/";
/// Prefix of all keys that the operator publishes.
pub const OPERATOR_PREFIX: &str = "op/";
const RANGE_PATH: &str = "/api/kv-range";
const WATCH_PATH: &str = "/api/kv-watch";
/// Header of all answers with the era of the store.
const ERA_HEADER: &str = "store-era";
const CONFIGURATION_KEY: &str = "op/config";
const EVACUATION_PREFIX: &str = "op/evacuate/";
/// Timeout of one page of a listing: a healthy store answers within milliseconds.
const READ_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Timeout of a call for the changes so far. A store that is slow answers within some hundred milliseconds.
const CHECK_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Wait that such a call asks for: the shortest one of a watch.
const CHECK_WAIT: Duration = Duration::from_millis(1);
/// Timeout of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);
/// Prefix that a probe lists. No key has it, which makes the shortest answer.
const PROBE_PREFIX: &str = "op/probe/";
/// Time that a watch may take beyond the wait that it asks for, before it times out.
const WATCH_SLACK: Duration = Duration::from_millis(700);

/// A key of the store, decoded to what its item describes.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum StoreKey {
    /// The key of the operator's configuration.
    Configuration,
    /// The key that evacuates the data centre with this name while it exists.
    Evacuation(String),
    /// The key of the entry of the endpoint with this id.
    Endpoint(String),
    /// Any other key; this system ignores it.
    Other,
}

/// One item of a listing, or one change that a watch reports.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreItem {
    /// Key of the item.
    pub key: StoreKey,
    /// Revision of the store at which the item last changed.
    pub revision: u64,
    /// Value of the item; `None` when it was removed.
    pub value: Option<Bytes>,
}

/// Items or changes, with the position of the store that they reflect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreAnswer {
    /// Items of a listing, or changes of a watch in the order of the answer.
    pub items: Vec<StoreItem>,
    /// Position of the store that the items reflect.
    pub position: StorePosition,
}

/// Outcome of a watch call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WatchOutcome {
    /// The changes; empty when there were none during the wait.
    Changes(StoreAnswer),
    /// The store does not have the changes after the given position, so it must be listed again.
    HistoryLost,
    /// The store has come back from an older copy: its revisions say nothing about the given position, and it must
    /// be listed again.
    EraChanged(StoreEra),
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireItem {
    key: String,
    #[serde(default)]
    value: Option<String>,
    #[serde(default)]
    revision: u64,
    #[serde(default)]
    deleted: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireRange {
    #[serde(default)]
    entries: Vec<WireItem>,
    #[serde(default)]
    has_more: bool,
    store_revision: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireEvents {
    // Named in lower case on the wire, unlike its neighbours.
    #[serde(default, rename = "events")]
    events: Vec<WireItem>,
    store_revision: u64,
}

/// Client of one store; each call has its own connection.
#[derive(Debug, Clone, Copy)]
pub struct StoreClient {
    /// Address at which the store listens.
    pub address: SocketAddr,
    /// Address of this VM, from which the client connects.
    pub own_ip: Ipv4Addr,
}

impl StoreClient {
    /// Lists all items whose keys start with `prefix`, page by page. The returned position is
    /// that of the first page, so that a watch from there reports changes made between pages.
    ///
    /// # Errors
    ///
    /// Fails when the store cannot be reached, takes too long, answers with another status than
    /// 200, sends a listing that cannot be decoded, or begins a new era between two pages.
    pub async fn list(&self, prefix: &str) -> anyhow::Result<StoreAnswer> {
        let mut items = Vec::new();
        let mut position = None;
        let mut after = String::new();
        loop {
            let query = [("PathPrefix", prefix)].into_iter();
            let query = query.chain((!after.is_empty()).then_some(("After", after.as_str())));
            let answer = self.get(&target(RANGE_PATH, query), READ_TIMEOUT).await?;
            let status = answer.status();
            if status != StatusCode::OK {
                bail!("the store answered {status} to a listing of {prefix:?}");
            }
            let page: WireRange = serde_json::from_slice(answer.body())
                .context("the listing of the store cannot be decoded")?;
            let era = era_of(&answer);
            let position = *position.get_or_insert(StorePosition {
                era,
                revision: page.store_revision,
            });
            if position.era != era {
                bail!("the store came back from an older copy during a listing of {prefix:?}");
            }
            let last_key = page.entries.last().map(|item| item.key.clone());
            items.extend(page.entries.into_iter().map(decode_item));
            match last_key {
                Some(key) if page.has_more => after = key,
                _ => return Ok(StoreAnswer { items, position }),
            }
        }
    }

    /// Waits up to `wait` for changes after the position `after` to keys that start with `prefix`.
    ///
    /// # Errors
    ///
    /// Fails when the store cannot be reached, gives no answer within `wait` and some slack,
    /// answers with another status than 200 or 410, or sends changes that cannot be decoded.
    pub async fn watch(
        &self,
        prefix: &str,
        after: StorePosition,
        wait: Duration,
    ) -> anyhow::Result<WatchOutcome> {
        self.changes(prefix, after, wait, wait + WATCH_SLACK).await
    }

    /// Returns the changes after the position `after` that the store has now. Unlike a watch, which may be cut and
    /// says nothing while it waits, this shows at once whether the store answers.
    ///
    /// # Errors
    ///
    /// Fails like [`StoreClient::watch`].
    pub async fn check(&self, prefix: &str, after: StorePosition) -> anyhow::Result<WatchOutcome> {
        self.changes(prefix, after, CHECK_WAIT, CHECK_TIMEOUT).await
    }

    /// Returns a position that the store has reached. A stale read tells it, which is cheaper than a check and counts
    /// toward no limit; it may be behind by seconds.
    ///
    /// # Errors
    ///
    /// Fails when the store cannot be reached, takes too long, answers with another status than 200, or does not state
    /// its revision.
    pub async fn probe(&self) -> anyhow::Result<StorePosition> {
        let query = [("PathPrefix", PROBE_PREFIX), ("AllowStale", "1")];
        let answer = self.get(&target(RANGE_PATH, query), PROBE_TIMEOUT).await?;
        let status = answer.status();
        if status != StatusCode::OK {
            bail!("the store answered {status} to a probe");
        }
        let page: WireRange = serde_json::from_slice(answer.body())
            .context("the answer of the store to a probe cannot be decoded")?;
        Ok(StorePosition {
            era: era_of(&answer),
            revision: page.store_revision,
        })
    }

    async fn changes(
        &self,
        prefix: &str,
        after: StorePosition,
        wait: Duration,
        max_time: Duration,
    ) -> anyhow::Result<WatchOutcome> {
        let (revision, wait_ms) = (after.revision.to_string(), wait.as_millis().to_string());
        let query = [
            ("PathPrefix", prefix),
            ("After", revision.as_str()),
            ("WaitMs", wait_ms.as_str()),
        ];
        let answer = self.get(&target(WATCH_PATH, query), max_time).await?;
        let era = era_of(&answer).or(after.era);
        if era < after.era {
            bail!("the answer of the store is from before it came back from an older copy");
        }
        match answer.status() {
            StatusCode::OK | StatusCode::GONE if era != after.era => {
                return Ok(WatchOutcome::EraChanged(era.unwrap_or_default()));
            }
            StatusCode::OK => {}
            StatusCode::GONE => return Ok(WatchOutcome::HistoryLost),
            status => bail!("the store answered {status} to a watch after revision {after}"),
        }
        let events: WireEvents = serde_json::from_slice(answer.body())
            .context("the changes of a watch of the store cannot be decoded")?;
        Ok(WatchOutcome::Changes(StoreAnswer {
            items: events.events.into_iter().map(decode_item).collect(),
            position: StorePosition {
                era,
                revision: events.store_revision,
            },
        }))
    }

    async fn get(&self, path: &str, max_time: Duration) -> anyhow::Result<Response<Bytes>> {
        let mut call = Call::get(self.address, path, max_time);
        call.own_ip = Some(self.own_ip);
        tokio::time::timeout(max_time, fetch_response(&call, max_time))
            .await
            .with_context(|| format!("the store did not answer within {max_time:?}"))?
    }
}

/// Returns the era of the store that an answer states.
fn era_of(answer: &Response<Bytes>) -> Option<StoreEra> {
    let value = answer.headers().get(ERA_HEADER)?;
    value.to_str().ok()?.trim().parse().ok()
}

fn decode_item(item: WireItem) -> StoreItem {
    let key = if item.key == CONFIGURATION_KEY {
        StoreKey::Configuration
    } else if let Some(id) = item.key.strip_prefix(ENDPOINTS_PREFIX) {
        StoreKey::Endpoint(id.to_owned())
    } else if let Some(name) = item.key.strip_prefix(EVACUATION_PREFIX) {
        StoreKey::Evacuation(name.to_owned())
    } else {
        StoreKey::Other
    };
    // A value that is not valid base64 becomes an empty one, whose decoder then reports the error
    // together with the key.
    let value = item
        .value
        .filter(|_| !item.deleted)
        .map(|text| Bytes::from(STANDARD.decode(text).unwrap_or_default()));
    StoreItem {
        key,
        revision: item.revision,
        value,
    }
}
