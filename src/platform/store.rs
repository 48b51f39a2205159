//! Client of the platform's store, which can only be read.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use anyhow::{Context as _, bail};
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use hyper::StatusCode;
use serde::Deserialize;

use crate::http::{Call, fetch};

/// Prefix of the endpoints' entries; the endpoint's id follows.
pub const ENDPOINTS_PREFIX: &str = "servers/";
/// Prefix of all that the operator publishes.
pub const OPERATOR_PREFIX: &str = "op/";
const CONFIGURATION_KEY: &str = "op/config";
const EVACUATION_PREFIX: &str = "op/evacuate/";
/// Maximum time of a read: the store answers in milliseconds when it is well.
const READ_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time beyond the asked wait after which a watch counts as lost.
const WATCH_SLACK: Duration = Duration::from_millis(700);

/// The key of an item of the store, by what it stands for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreKey {
    /// The operator's configuration.
    Configuration,
    /// Evacuation of the data centre with this name.
    Evacuation(String),
    /// The endpoint with this id.
    Endpoint(String),
    /// Nothing that concerns the system.
    Other,
}

/// One change, or one item of a listing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreItem {
    /// Its key.
    pub key: StoreKey,
    /// Revision of the change.
    pub revision: u64,
    /// Its value; `None` when it was removed.
    pub value: Option<Bytes>,
}

/// Items together with the revision that they reflect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreAnswer {
    /// The items.
    pub items: Vec<StoreItem>,
    /// The store's revision.
    pub revision: u64,
}

/// Outcome of a watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Watched {
    /// Changes, none when the wait passed without any.
    Changes(StoreAnswer),
    /// The store has dropped the history after the given revision.
    HistoryLost,
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

/// Client of one store.
#[derive(Debug, Clone, Copy)]
pub struct StoreClient {
    /// Where the store listens.
    pub address: SocketAddr,
    /// The address of this VM, from which it connects.
    pub own_ip: Ipv4Addr,
}

impl StoreClient {
    /// Lists all items below a prefix. The revision is that of the first page, so that a
    /// watch from there repeats what changed between pages.
    ///
    /// # Errors
    ///
    /// Fails when the store cannot be reached, refuses or answers with something else.
    pub async fn list(&self, prefix: &str) -> anyhow::Result<StoreAnswer> {
        let mut items = Vec::new();
        let mut revision = None;
        let mut after = String::new();
        loop {
            let mut path = format!("/api/kv-range?PathPrefix={prefix}");
            if !after.is_empty() {
                path.push_str("&After=");
                path.push_str(&after);
            }
            let (status, body) = self.get(&path, READ_TIMEOUT).await?;
            if status != StatusCode::OK {
                bail!("the store answered {status} to a listing");
            }
            let page: WireRange =
                serde_json::from_slice(&body).context("the listing cannot be decoded")?;
            revision.get_or_insert(page.store_revision);
            let last = page.entries.last().map(|item| item.key.clone());
            items.extend(page.entries.into_iter().map(decode_item));
            match last {
                Some(key) if page.has_more => after = key,
                _ => break,
            }
        }
        Ok(StoreAnswer {
            items,
            revision: revision.unwrap_or(0),
        })
    }

    /// Waits for changes below a prefix after a revision.
    ///
    /// # Errors
    ///
    /// Fails when the store cannot be reached, refuses, stays silent beyond the wait, or
    /// answers with something else.
    pub async fn watch(&self, prefix: &str, after: u64, wait: Duration) -> anyhow::Result<Watched> {
        let wait_ms = wait.as_millis();
        let path = format!("/api/kv-watch?PathPrefix={prefix}&After={after}&WaitMs={wait_ms}");
        let (status, body) = self.get(&path, wait + WATCH_SLACK).await?;
        match status {
            StatusCode::OK => {}
            StatusCode::GONE => return Ok(Watched::HistoryLost),
            status => bail!("the store answered {status} to a watch"),
        }
        let events: WireEvents =
            serde_json::from_slice(&body).context("the changes cannot be decoded")?;
        Ok(Watched::Changes(StoreAnswer {
            items: events.events.into_iter().map(decode_item).collect(),
            revision: events.store_revision,
        }))
    }

    async fn get(&self, path: &str, limit: Duration) -> anyhow::Result<(StatusCode, Bytes)> {
        let mut call = Call::get(self.address, path, limit);
        call.own_ip = Some(self.own_ip);
        tokio::time::timeout(limit, fetch(&call, limit))
            .await
            .with_context(|| format!("no answer of the store in {limit:?}"))?
    }
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
    // A value that is not base64 is kept as empty: its decoder reports it with its key.
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
