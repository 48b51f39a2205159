//! Read-only client of the platform's key-value store.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use hyper::{Response, StatusCode};
use serde::Deserialize;
use serde_json::value::RawValue;
use thiserror::Error;

use crate::decisions::listing::ListingPage;
use crate::http::{Call, IncompleteBody, fetch_response};
use crate::platform::object::parse_object;
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
pub const CHECK_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Wait that such a call asks for: the shortest one of a watch.
const CHECK_WAIT: Duration = Duration::from_millis(1);
/// Timeout of a probe beside a watch.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(400);
/// Prefix that a probe lists. No key has it, which makes the shortest answer.
const PROBE_PREFIX: &str = "op/probe/";
/// Time that a watch may take beyond the wait that it asks for, before it times out.
const WATCH_SLACK: Duration = Duration::from_millis(700);

/// Largest value of an endpoint's entry, which has some hundred bytes. A larger one names no endpoint, and would fill
/// the links between VMs.
const MAX_ENTRY_BYTES: usize = 16 * 1024;
/// Length of the part of an unreadable item that is kept, in characters.
const MAX_EXCERPT_CHARS: usize = 160;

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

/// An item of an answer whose key cannot be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnreadableItem {
    /// First part of the item's text.
    pub excerpt: String,
    /// What is wrong with it.
    pub error: String,
}

/// Items or changes, with the position of the store that they reflect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreAnswer {
    /// Items of a page of a listing, or changes of a watch in the order of the answer.
    pub items: Vec<StoreItem>,
    /// Items that were left out.
    pub unreadable: Vec<UnreadableItem>,
    /// Position of the store that the items reflect.
    pub position: StorePosition,
}

/// Says why a call to the store brought nothing.
#[derive(Debug, Error)]
pub enum StoreError {
    /// The store answered with a status that its page does not name for the call, or refused it.
    #[error("the store answered {0}")]
    Status(StatusCode),
    /// The store answered, and the answer as a whole cannot be read: it is no document of the platform.
    #[error("the answer of the store cannot be read: {0}")]
    Unreadable(serde_json::Error),
    /// The answer of the store began and did not arrive whole.
    #[error("{0}")]
    Incomplete(IncompleteBody),
    /// The answer is from before the store came back from an older copy.
    #[error("the answer of the store is from before it came back from an older copy")]
    EarlierEra,
    /// The store did not answer in time.
    #[error("{0:#}")]
    Unreachable(anyhow::Error),
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
    revision: u64,
    #[serde(default)]
    deleted: bool,
}

/// What is read of an item whose other fields are not those of the page.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireKey {
    key: String,
}

/// The revision of such an item, which may not be one either.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireRevision {
    revision: u64,
}

/// Whether such an item was removed.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireRemoval {
    deleted: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireRange<'a> {
    #[serde(borrow)]
    entries: Vec<&'a RawValue>,
    has_more: bool,
    store_revision: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireEvents<'a> {
    // Named in lower case on the wire, unlike its neighbours.
    #[serde(borrow, rename = "events")]
    events: Vec<&'a RawValue>,
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
    /// Returns one page of the items whose keys start with `prefix`: the first one, or the one after the key `after`.
    ///
    /// # Errors
    ///
    /// Fails when the store cannot be reached, takes too long, answers with another status than 200, or sends a page
    /// that as a whole cannot be read.
    pub async fn page(
        &self,
        prefix: &str,
        after: Option<&str>,
    ) -> Result<(ListingPage<StoreItem>, Vec<UnreadableItem>), StoreError> {
        let query = [("PathPrefix", prefix)].into_iter();
        let query = query.chain(after.map(|after| ("After", after)));
        let answer = self.get(&target(RANGE_PATH, query), READ_TIMEOUT).await?;
        match answer.status() {
            StatusCode::OK => decode_page(answer.body(), era_of(&answer)),
            status => Err(StoreError::Status(status)),
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
    ) -> Result<WatchOutcome, StoreError> {
        self.changes(prefix, after, wait, wait + WATCH_SLACK).await
    }

    /// Returns the changes after the position `after` that the store has now. Unlike a watch, which may be cut and
    /// says nothing while it waits, this shows at once whether the store answers.
    ///
    /// # Errors
    ///
    /// Fails like [`StoreClient::watch`].
    pub async fn check(
        &self,
        prefix: &str,
        after: StorePosition,
    ) -> Result<WatchOutcome, StoreError> {
        self.changes(prefix, after, CHECK_WAIT, CHECK_TIMEOUT).await
    }

    /// Returns a position that the store has reached. A stale read tells it, which is cheaper than a check and counts
    /// toward no limit; it may be behind by seconds.
    ///
    /// # Errors
    ///
    /// Fails when the store cannot be reached, takes too long, answers with another status than 200, or does not state
    /// its revision.
    pub async fn probe(&self, max_time: Duration) -> Result<StorePosition, StoreError> {
        let query = [("PathPrefix", PROBE_PREFIX), ("AllowStale", "1")];
        let answer = self.get(&target(RANGE_PATH, query), max_time).await?;
        match answer.status() {
            StatusCode::OK => {}
            status => return Err(StoreError::Status(status)),
        }
        let (page, _) = decode_page(answer.body(), era_of(&answer))?;
        Ok(page.position)
    }

    async fn changes(
        &self,
        prefix: &str,
        after: StorePosition,
        wait: Duration,
        max_time: Duration,
    ) -> Result<WatchOutcome, StoreError> {
        let (revision, wait_ms) = (after.revision.to_string(), wait.as_millis().to_string());
        let query = [
            ("PathPrefix", prefix),
            ("After", revision.as_str()),
            ("WaitMs", wait_ms.as_str()),
        ];
        let answer = self.get(&target(WATCH_PATH, query), max_time).await?;
        let era = era_of(&answer).or(after.era);
        if era < after.era {
            return Err(StoreError::EarlierEra);
        }
        match answer.status() {
            StatusCode::OK | StatusCode::GONE if era != after.era => {
                Ok(WatchOutcome::EraChanged(era.unwrap_or_default()))
            }
            StatusCode::OK => {
                let after = StorePosition { era, ..after };
                decode_events(answer.body(), after).map(WatchOutcome::Changes)
            }
            StatusCode::GONE => Ok(WatchOutcome::HistoryLost),
            status => Err(StoreError::Status(status)),
        }
    }

    async fn get(&self, path: &str, max_time: Duration) -> Result<Response<Bytes>, StoreError> {
        let mut call = Call::get(self.address, path, max_time);
        call.own_ip = Some(self.own_ip);
        fetch_response(&call, max_time)
            .await
            .map_err(|error| match error.downcast() {
                Ok(incomplete) => StoreError::Incomplete(incomplete),
                Err(error) => StoreError::Unreachable(error),
            })
    }
}

/// Decodes a page of a listing. Each item is decoded by itself, so that one that does not keep to the page costs no
/// other.
///
/// # Errors
///
/// Fails if the text is no page as a whole.
pub fn decode_page(
    body: &[u8],
    era: Option<StoreEra>,
) -> Result<(ListingPage<StoreItem>, Vec<UnreadableItem>), StoreError> {
    let text = String::from_utf8_lossy(body);
    let page: WireRange<'_> = parse_object(text.as_bytes()).map_err(StoreError::Unreadable)?;
    let revision = page.store_revision;
    let mut decoded = DecodedItems::default();
    for item in page.entries {
        decoded.add(item, revision);
    }
    let page = ListingPage {
        items: decoded.items,
        keys: decoded.keys,
        has_more: page.has_more,
        position: StorePosition { era, revision },
    };
    Ok((page, decoded.unreadable))
}

/// Decodes the changes of a watch after a position, each by itself.
///
/// # Errors
///
/// Fails if the text is no answer to a watch as a whole.
pub fn decode_events(body: &[u8], after: StorePosition) -> Result<StoreAnswer, StoreError> {
    let text = String::from_utf8_lossy(body);
    let answer: WireEvents<'_> = parse_object(text.as_bytes()).map_err(StoreError::Unreadable)?;
    let mut decoded = DecodedItems::default();
    // A change without a revision of its own is taken to come after the one before it.
    let mut revision = after.revision.saturating_add(1);
    for item in answer.events {
        decoded.add(item, revision);
        let last = decoded.items.last().map_or(0, |item| item.revision);
        revision = revision.max(last.saturating_add(1));
    }
    Ok(StoreAnswer {
        items: decoded.items,
        unreadable: decoded.unreadable,
        position: StorePosition {
            era: after.era,
            revision: answer.store_revision,
        },
    })
}

/// Items of an answer, decoded one by one.
#[derive(Default)]
struct DecodedItems {
    /// Keys of `items`, as the store spells them.
    keys: Vec<String>,
    items: Vec<StoreItem>,
    unreadable: Vec<UnreadableItem>,
}

impl DecodedItems {
    /// Decodes an item. One of which only the key can be read has an empty value, whose decoder reports it, and
    /// `revision` if its own is missing or cannot be read.
    fn add(&mut self, raw: &RawValue, revision: u64) {
        let item = parse_object(raw.get().as_bytes()).or_else(|error| {
            let WireKey { key } = parse_object(raw.get().as_bytes()).map_err(|_| error)?;
            let own = parse_object(raw.get().as_bytes()).ok();
            let removal = parse_object(raw.get().as_bytes()).ok();
            Ok(WireItem {
                key,
                value: Some(String::new()),
                revision: own.map_or(revision, |WireRevision { revision }| revision),
                deleted: removal.is_some_and(|WireRemoval { deleted }| deleted),
            })
        });
        match item {
            Ok(item) => {
                self.keys.push(item.key.clone());
                self.items.push(decode_item(item));
            }
            Err(error) => self.unreadable.push(UnreadableItem {
                excerpt: raw.get().chars().take(MAX_EXCERPT_CHARS).collect(),
                error: serde_json::Error::to_string(&error),
            }),
        }
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
    // A value that is not valid base64, or too large, becomes an empty one, whose decoder then reports the error
    // together with the key. Values that nothing reads are dropped.
    let value = item.value.filter(|_| !item.deleted).map(|text| {
        let is_read = match key {
            StoreKey::Configuration => true,
            StoreKey::Endpoint(_) => text.len() <= MAX_ENTRY_BYTES / 3 * 4,
            StoreKey::Evacuation(_) | StoreKey::Other => false,
        };
        let text = if is_read { text } else { String::new() };
        Bytes::from(STANDARD.decode(text).unwrap_or_default())
    });
    StoreItem {
        key,
        revision: item.revision,
        value,
    }
}
