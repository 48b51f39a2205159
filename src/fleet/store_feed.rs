//! Passes changes of the store on to the VMs that do not watch it themselves.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::timeout;

use crate::clock;
use crate::decisions::change_log::{ChangeLog, LoggedChange};
use crate::fleet::peer_state::encode_state;
use crate::fleet::view::FleetView;
use crate::fleet::wire::{Body, FleetState, ListenToStore, StoreNews, WireStoreItem};
use crate::platform::store::{StoreItem, StoreKey};
use crate::units::{StoreEra, StorePosition, Time};

/// Time for which a listener waits for changes before it is told that there are none.
pub const HOLD_TIME: Duration = Duration::from_millis(1_000);
/// Time since the store's last answer after which this VM no longer vouches for what it knows. A silent watch and
/// the check after it have timed out by then, so that this VM knows whether it has lost the store.
pub const MAX_ANSWER_AGE: Duration = Duration::from_millis(4_000);

/// What this VM has learned from the store itself, for other VMs.
#[derive(Debug, Default)]
pub struct StoreFeed {
    /// Recent changes.
    pub changes: ChangeLog<StoreItem>,
    /// When the store last answered this VM; `None` while this VM does not watch the store or cannot
    /// reach it.
    pub answered_at: Option<Time>,
    /// Since when the store has answered this VM without a break.
    pub answering_since: Option<Time>,
    /// Whether the store does not answer this VM.
    pub has_lost_store: bool,
}

impl StoreFeed {
    fn is_current(&self) -> bool {
        let now = clock::now();
        self.answered_at
            .is_some_and(|at| now.since(at) < MAX_ANSWER_AGE)
    }

    fn answering_ms(&self) -> u64 {
        let since = self.answering_since;
        since.map_or(0, |since| clock::now().since(since).as_millis() as u64)
    }
}

/// Answers a listener that has all changes up to a position: as soon as there are later ones,
/// after [`HOLD_TIME`], or as soon as this VM has lost the store. A listener that has no word of the store is
/// answered at once, so that it learns in time that the store is back.
pub async fn answer_listener(
    mut feed: watch::Receiver<Arc<StoreFeed>>,
    view: watch::Receiver<Arc<FleetView>>,
    call: ListenToStore,
) -> Body {
    // An earlier build states no era, and means the one that this VM is in.
    let after_in = |feed: &StoreFeed| StorePosition {
        era: call.era.map(StoreEra).or(feed.changes.position().era),
        revision: call.after,
    };
    let wait = async {
        loop {
            let current = Arc::clone(&feed.borrow_and_update());
            let has_later = current.changes.position() > after_in(&current);
            if has_later || !current.is_current() || feed.changed().await.is_err() {
                return;
            }
        }
    };
    let hold_time = if call.at_once {
        Duration::ZERO
    } else {
        HOLD_TIME
    };
    // The timeout ends a wait in which nothing changed.
    let _ = timeout(hold_time, wait).await;
    let feed = Arc::clone(&feed.borrow());
    let after = after_in(&feed);
    let position = feed.changes.position();
    // A listener in a later era knows that the store has come back from an older copy, and this VM does not yet.
    if !feed.is_current() || position.era < after.era {
        return Body::StoreNews(StoreNews {
            has_lost_store: feed.has_lost_store,
            ..StoreNews::default()
        });
    }
    match feed.changes.since(after) {
        Some(changes) => Body::StoreNews(StoreNews {
            is_current: true,
            revision: position.revision,
            era: position.era.map(|era| era.0),
            changes: changes.map(|change| encode_item(change)).collect(),
            answering_ms: feed.answering_ms(),
            has_lost_store: false,
        }),
        // The view was published before the feed, so it has at least the feed's revision.
        None => Body::State(FleetState {
            answering_ms: feed.answering_ms(),
            ..encode_state(clock::now(), &view.borrow().store)
        }),
    }
}

/// Returns an item that has just been read with its size, for the log of changes.
pub fn logged(item: StoreItem) -> LoggedChange<StoreItem> {
    LoggedChange {
        revision: item.revision,
        bytes: item.value.as_ref().map_or(0, |value| value.len()),
        read_at: clock::now(),
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
