//! State that the tasks of the control thread share.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32};

use parking_lot::Mutex;
use slog::Logger;
use tokio::sync::{Notify, watch};

use crate::decisions::gossip::Gossip;
use crate::decisions::revision_lag::RevisionLag;
use crate::decisions::store_view::StoreView;
use crate::fleet::crash_reports::CrashBoard;
use crate::fleet::load_reports::LoadBoard;
use crate::fleet::metric;
use crate::fleet::model::FleetVm;
use crate::fleet::peers::Peers;
use crate::fleet::settings::FleetSettings;
use crate::fleet::store_feed::{StoreFeed, WordOffers};
use crate::fleet::store_listing::FullListing;
use crate::fleet::unreadable_items::Reports;
use crate::fleet::view::FleetView;
use crate::units::Time;

/// State that the tasks of the control thread share.
pub(super) struct Control {
    pub(super) settings: Mutex<FleetSettings>,
    pub(super) own_vm: FleetVm,
    pub(super) logger: Logger,
    pub(super) store: Mutex<StoreView>,
    pub(super) gossip: Mutex<Gossip>,
    pub(super) view: watch::Sender<Arc<FleetView>>,
    pub(super) feed: watch::Sender<Arc<StoreFeed>>,
    pub(super) stopping: watch::Receiver<bool>,
    pub(super) peers: Arc<Peers>,
    // Notified when a VM reports a newer revision of the store than this VM's.
    pub(super) peer_is_newer: Notify,
    pub(super) lag: Mutex<RevisionLag>,
    // Time up to which this VM has all changes of the store; `None` before its first word of it.
    pub(super) word_at: Mutex<Option<Time>>,
    // Whether this VM has the state of one that had run before it started.
    pub(super) knows_older_state: AtomicBool,
    // VMs that had a later word of the store than this one.
    pub(super) offers: Arc<WordOffers>,
    /// Listing of the store that is in progress; it outlives the calls that bring its pages.
    pub(super) listing: Mutex<FullListing>,
    /// Number of answers to checks of the store in a row that did not arrive whole.
    pub(super) incomplete_checks: AtomicU32,
    /// Items of the store that have been reported as unreadable.
    pub(super) reports: Reports,
    pub(super) crashes: Arc<CrashBoard>,
    pub(super) loads: Arc<LoadBoard>,
}

impl Control {
    /// Publishes what is known of the store to the view, and its revision to gossip.
    pub(super) fn publish_store(&self) {
        let store = self.store.lock();
        let progress = store.progress();
        metric::store_known(&progress);
        self.gossip.lock().store = progress;
        self.view.send_modify(|view| {
            let mut next = FleetView::clone(view);
            next.set_store(&store);
            *view = Arc::new(next);
        });
    }
}
