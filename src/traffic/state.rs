//! What all parts of the traffic side share.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::{mpsc, watch};
use tokio_util::task::TaskTracker;

use crate::blackboard::ControlCommand;
use crate::context::Context;
use crate::traffic::admission::StaticShare;
use crate::traffic::config::TrafficConfig;
use crate::traffic::endpoint_client::EndpointClient;
use crate::traffic::key;
use crate::traffic::request_ids::RequestIds;
use crate::traffic::router_state::RouterState;
use crate::units::OrganisationName;

/// How soon running requests notice a new snapshot; a withdrawn key has a few seconds.
const CHANGE_CHECK: Duration = Duration::from_millis(50);

/// Requests of one organisation since the start.
#[derive(Debug, Default, Clone, Copy)]
pub struct OrganisationCounts {
    /// Requests that got a token.
    pub admitted: u64,
    /// Requests refused before a stage ran.
    pub refused: u64,
}

/// Shared by all connections and requests.
pub struct Traffic {
    /// The daemon's context.
    pub context: Context,
    /// Settings.
    pub config: TrafficConfig,
    /// Reports and asks to the control thread.
    pub commands: mpsc::Sender<ControlCommand>,
    /// Slots, queues and the retry budget.
    pub router: Arc<RouterState>,
    /// Request ids and kept answers.
    pub ids: RequestIds,
    /// Calls endpoints.
    pub client: EndpointClient,
    /// Buckets of the static-share baseline.
    pub static_share: StaticShare,
    /// Rises when the catalogue changed or went stale.
    pub changes: watch::Receiver<u64>,
    /// Turns true when a planned stop begins.
    pub stop: watch::Receiver<bool>,
    /// Requests that run, with or without a caller that waits.
    pub runs: TaskTracker,
    counts: Mutex<HashMap<OrganisationName, OrganisationCounts>>,
}

impl Traffic {
    /// Builds the shared state.
    pub fn new(
        context: Context,
        config: TrafficConfig,
        commands: mpsc::Sender<ControlCommand>,
        stop: watch::Receiver<bool>,
        changes: watch::Receiver<u64>,
    ) -> Self {
        let snapshot = Arc::clone(&context.snapshot);
        let router = RouterState::new(&config, context.data_centre.clone(), snapshot);
        Self {
            router: Arc::new(router),
            ids: RequestIds::new(&context, &config),
            client: EndpointClient::new(&config),
            static_share: StaticShare::default(),
            runs: TaskTracker::new(),
            counts: Mutex::default(),
            context,
            config,
            commands,
            stop,
            changes,
        }
    }

    /// Returns whether new work is refused.
    pub fn is_stopping(&self) -> bool {
        *self.stop.borrow() || self.context.snapshot.load().stopping
    }

    /// Sends a report that may be dropped when the control thread is behind.
    pub fn report(&self, command: ControlCommand) {
        if self.commands.try_send(command).is_err() {
            metrics::counter!("primrosewalk_reports_dropped_total").increment(1);
        }
    }

    /// Counts a request that got a token.
    pub fn count_admitted(&self, organisation: &OrganisationName) {
        let mut counts = self.counts.lock();
        counts.entry(organisation.clone()).or_default().admitted += 1;
    }

    /// Counts a request that was refused before a stage ran.
    pub fn count_refused(&self, organisation: &OrganisationName) {
        let mut counts = self.counts.lock();
        counts.entry(organisation.clone()).or_default().refused += 1;
    }

    /// Returns the counts of all organisations seen.
    pub fn counts(&self) -> Vec<(OrganisationName, OrganisationCounts)> {
        let counts = self.counts.lock();
        let entries = counts.iter();
        entries
            .map(|(name, count)| (name.clone(), *count))
            .collect()
    }
}

/// Watches the snapshot and tells running requests and connections to check their keys.
pub async fn watch_changes(context: Context, changes: watch::Sender<u64>) {
    let seen = |context: &Context| {
        let snapshot = context.snapshot.load();
        let catalogue = snapshot.catalogue.as_ref().map(Arc::as_ptr);
        (
            catalogue.map_or(0, |pointer| pointer as usize),
            key::is_stale(&snapshot),
        )
    };
    let mut last = seen(&context);
    loop {
        tokio::time::sleep(CHANGE_CHECK).await;
        let latest = seen(&context);
        if latest != last {
            last = latest;
            changes.send_modify(|count| *count += 1);
        }
    }
}
