//! Passes changes of the store on to VMs that do not watch it themselves.

use std::collections::HashSet;
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::{Notify, watch};
use tokio::time::timeout;

use crate::clock;
use crate::decisions::change_log::{ChangeLog, LoggedChange};
use crate::decisions::store_source::{DOUBT_AGE, SourceList};
use crate::fleet::peer_state::encode_state;
use crate::fleet::view::FleetView;
use crate::fleet::wire::{Body, FleetState, ListenToStore, StoreNews, WireStoreItem};
use crate::platform::store::{StoreItem, StoreKey};
use crate::units::{StoreEra, StorePosition, Time};

/// Time for which a listener waits for changes or for a later word before it is told that there are none. A relay has
/// a later word each 0.4 s.
pub const HOLD_TIME: Duration = Duration::from_millis(600);
/// The same for a listener that asks all its sources, which has to learn soon which of them have no word.
pub const DOUBT_HOLD_TIME: Duration = Duration::from_millis(200);
/// The same for a listener of an earlier build, which does not say how long to wait.
const EARLIER_HOLD_TIME: Duration = Duration::from_millis(1_000);
/// How much later than the listener's word one is that is passed on without changes.
const MIN_WORD_GAIN: Duration = Duration::from_millis(100);

/// What this VM knows of the store, for other VMs.
#[derive(Debug, Clone, Default)]
pub struct StoreFeed {
    /// Recent changes.
    pub changes: Arc<ChangeLog<StoreItem>>,
    /// Time up to which `changes` has all changes; `None` before the first word of the store.
    pub word_at: Option<Time>,
    /// Since when the store has answered this VM or its sources without a break.
    pub answering_since: Option<Time>,
    /// Whether the store does not answer this VM.
    pub has_lost_store: bool,
    /// Whether this VM asks the store itself.
    pub asks_store: bool,
}

impl StoreFeed {
    /// Returns whether this VM has recent word of the store.
    fn is_current(&self) -> bool {
        let now = clock::now();
        self.word_at.is_some_and(|at| now.since(at) < DOUBT_AGE)
    }

    fn answering_ms(&self) -> u64 {
        let since = self.answering_since;
        since.map_or(0, |since| clock::now().since(since).as_millis() as u64)
    }
}

/// VMs that had a later word of the store than this one when they listened to it.
#[derive(Debug, Default)]
pub struct WordOffers {
    vms: Mutex<SourceList>,
    /// Notified when there are new ones.
    pub is_new: Notify,
}

impl WordOffers {
    fn add(&self, ip: Ipv4Addr) {
        let mut vms = self.vms.lock();
        if vms.len() < vms.inline_size() && !vms.contains(&ip) {
            vms.push(ip);
            self.is_new.notify_one();
        }
    }

    /// Returns the VMs since the last call.
    pub fn take(&self) -> SourceList {
        std::mem::take(&mut *self.vms.lock())
    }
}

/// Answers a listener that has all changes up to a position: as soon as there are later ones or a later word, or
/// when the time to wait is over.
pub async fn answer_listener(
    mut feed: watch::Receiver<Arc<StoreFeed>>,
    view: watch::Receiver<Arc<FleetView>>,
    offers: Arc<WordOffers>,
    call: ListenToStore,
) -> Body {
    let called_at = clock::now();
    let listener_word_at = call
        .word_age_ms
        .map(|age_ms| called_at - Duration::from_millis(age_ms));
    let own_word_at = feed.borrow().word_at;
    if listener_word_at > own_word_at.map(|at| at + MIN_WORD_GAIN) && call.listener_ip != 0 {
        offers.add(Ipv4Addr::from(call.listener_ip));
    }
    // An earlier build states no era, and means the one that this VM is in.
    let after_in = |feed: &StoreFeed| StorePosition {
        era: call.era.map(StoreEra).or(feed.changes.position().era),
        revision: call.after,
    };
    let is_earlier_build = call.hold_ms.is_none();
    let wait = async {
        loop {
            let current = Arc::clone(&feed.borrow_and_update());
            let has_later = current.changes.position() > after_in(&current);
            let is_word_later = current.word_at > listener_word_at.map(|at| at + MIN_WORD_GAIN)
                && !is_earlier_build;
            let is_lost = is_earlier_build && !current.is_current();
            if has_later || is_word_later || is_lost || feed.changed().await.is_err() {
                return;
            }
        }
    };
    let hold_time = match call.hold_ms {
        Some(hold_ms) => Duration::from_millis(hold_ms).min(EARLIER_HOLD_TIME),
        None if call.at_once => Duration::ZERO,
        None => EARLIER_HOLD_TIME,
    };
    // The timeout ends a wait in which nothing changed.
    let _ = timeout(hold_time, wait).await;
    let feed = Arc::clone(&feed.borrow());
    let after = after_in(&feed);
    let position = feed.changes.position();
    let is_current = feed.is_current();
    // A listener in a later era knows that the store has come back from an older copy, and this VM does not yet.
    if position.era < after.era || (is_earlier_build && !is_current) {
        return Body::StoreNews(StoreNews {
            has_lost_store: feed.has_lost_store,
            asks_store: feed.asks_store,
            ..StoreNews::default()
        });
    }
    let word_offset_ms = feed.word_at.map(|at| offset_ms(called_at, at));
    match feed.changes.since(after) {
        Some(changes) => Body::StoreNews(StoreNews {
            is_current,
            revision: position.revision,
            era: position.era.map(|era| era.0),
            changes: newest_by_item(changes)
                .map(|change| encode_item(change))
                .collect(),
            answering_ms: feed.answering_ms(),
            has_lost_store: feed.has_lost_store,
            asks_store: feed.asks_store,
            word_offset_ms,
        }),
        // The view was published before the feed, so it has at least the feed's position.
        None => Body::State(FleetState {
            answering_ms: feed.answering_ms(),
            word_offset_ms,
            ..encode_state(clock::now(), &view.borrow().store)
        }),
    }
}

/// Returns the milliseconds from `from` to `to`, below 0 if `to` is earlier.
fn offset_ms(from: Time, to: Time) -> i64 {
    let millis = |duration: Duration| i64::try_from(duration.as_millis()).unwrap_or(i64::MAX);
    millis(to.since(from)) - millis(from.since(to))
}

/// Leaves out the changes of items that have changed again since.
fn newest_by_item<'a>(
    changes: impl Iterator<Item = &'a Arc<LoggedChange<StoreItem>>>,
) -> impl Iterator<Item = &'a Arc<LoggedChange<StoreItem>>> {
    let mut seen = HashSet::new();
    let all: Vec<_> = changes.collect();
    let mut newest: Vec<_> = all
        .into_iter()
        .rev()
        .filter(|change| seen.insert(&change.item.key))
        .collect();
    newest.reverse();
    newest.into_iter()
}
/// Returns an item that a VM read from the store at `read_at`, with its size, for the log of changes.
pub fn logged(item: StoreItem, read_at: Time) -> LoggedChange<StoreItem> {
    LoggedChange {
        revision: item.revision,
        bytes: item.value.as_ref().map_or(0, |value| value.len()),
        read_at,
        item,
    }
}

fn encode_item(change: &LoggedChange<StoreItem>) -> WireStoreItem {
    let item = &change.item;
    let (kind, name) = match &item.key {
        StoreKey::Other => (0, String::new()),
        StoreKey::Configuration => (1, String::new()),
        StoreKey::Evacuation(name) => (2, name.clone()),
        StoreKey::Endpoint(id) => (3, id.clone()),
    };
    WireStoreItem {
        kind,
        name,
        revision: item.revision,
        value: item.value.clone(),
        read_age_ms: clock::now().since(change.read_at).as_millis() as u64,
    }
}

/// Decodes a change that a relay passed on.
pub fn decode_item(item: WireStoreItem) -> StoreItem {
    StoreItem {
        key: match item.kind {
            1 => StoreKey::Configuration,
            2 => StoreKey::Evacuation(item.name),
            3 => StoreKey::Endpoint(item.name),
            _ => StoreKey::Other,
        },
        revision: item.revision,
        value: item.value,
    }
}
