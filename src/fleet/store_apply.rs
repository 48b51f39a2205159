//! Applies what this VM learns of the store: changes, listings and the states of other VMs.

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use slog::{error, info, warn};
use tokio::time::timeout;

use crate::clock;
use crate::decisions::store_view::StoreChange;
use crate::fleet::control_state::Control;
use crate::fleet::metric;
use crate::fleet::model::{Configuration, Endpoint};
use crate::fleet::peer_state::decode_state;
use crate::fleet::wire::FleetState;
use crate::platform::configuration::decode_configuration;
use crate::platform::endpoint_entry::decode_endpoint;
use crate::platform::store::{StoreItem, StoreKey, UnreadableItem};
use crate::units::{DataCentreName, StorePosition};

/// Applies all changes from the ones before up to `position`, and returns whether any was new.
pub(super) fn apply_changes(
    control: &Control,
    items: impl IntoIterator<Item = StoreItem>,
    position: StorePosition,
) -> bool {
    let changes = items
        .into_iter()
        .filter_map(|item| decode_change(control, item));
    let changes: Vec<StoreChange> = changes.collect();
    let (is_any_newer, is_later) = {
        let mut store = control.store.lock();
        let before = store.position;
        let is_any_newer = store.apply_changes(clock::now(), changes, position);
        (is_any_newer, store.position > before)
    };
    if is_any_newer || is_later {
        control.publish_store();
    }
    is_any_newer
}

/// Time between the starts of two VMs from which one is taken to have run before the other. The VMs of a fleet that starts
/// do so within a fraction of a second.
pub(super) const OLDER_BY: Duration = Duration::from_secs(2);

/// Applies the state that another VM sent, if it is newer than that of this VM. Returns whether it is.
pub(super) fn apply_state(control: &Control, ip: Ipv4Addr, state: FleetState) -> bool {
    let now = clock::now();
    if control
        .gossip
        .lock()
        .older_serving(OLDER_BY)
        .any(|vm| vm.ip == ip)
    {
        control.knows_older_state.store(true, Ordering::Relaxed);
    }
    let snapshot = decode_state(&control.logger, now, state);
    let position = snapshot.position;
    if let Some(configuration) = &snapshot.configuration {
        report_parts(control, configuration);
    }
    let (own, is_newer, progress) = {
        let mut store = control.store.lock();
        let own = store.progress();
        (own, store.apply_snapshot(now, snapshot), store.progress())
    };
    if progress.configuration_version > own.configuration_version {
        info!(control.logger, "configuration: received"; "version" => progress.configuration_version,
            "in_force" => own.configuration_version, "vm" => %ip);
    }
    info!(control.logger, "store: received the state of another VM"; "vm" => %ip,
        "position" => %position, "own_position" => %own.position, "is_newer" => is_newer);
    if is_newer {
        control.publish_store();
    } else {
        metric::store_word_dropped("older_state");
    }
    is_newer
}

/// Decodes an item of the store. Returns `None` for items that this system ignores, and for a
/// removed or invalid configuration, which leaves the former one in force.
pub(super) fn decode_change(control: &Control, item: StoreItem) -> Option<StoreChange> {
    let StoreItem {
        key,
        revision,
        value,
    } = item;
    match key {
        StoreKey::Configuration => match decode_configuration(value?) {
            Ok(configuration) => {
                let in_force = control
                    .store
                    .lock()
                    .configuration()
                    .map(|known| known.version);
                info!(control.logger, "configuration: received";
                    "version" => configuration.version, "revision" => revision,
                    "in_force" => in_force, "bytes" => configuration.document.len());
                report_parts(control, &configuration);
                Some(StoreChange::Configuration(Arc::new(configuration)))
            }
            Err(error) => {
                if control.reports.is_new(("configuration", revision)) {
                    metric::item_unreadable("configuration");
                    error!(control.logger, "configuration: cannot be decoded, the former one stays";
                        "revision" => revision, "error" => format!("{error:#}"));
                }
                None
            }
        },
        StoreKey::Evacuation(data_centre) => {
            if let Err(error) = data_centre.parse::<DataCentreName>() {
                if control.reports.is_new(("evacuation", &data_centre)) {
                    metric::item_unreadable("evacuation");
                    warn!(control.logger, "evacuation: no data centre has this name";
                        "data_centre" => &data_centre, "error" => %error);
                }
                return None;
            }
            info!(control.logger, "evacuation: changed"; "data_centre" => &data_centre,
                "evacuated" => value.is_some(), "revision" => revision);
            Some(StoreChange::Evacuation {
                data_centre,
                revision,
                is_evacuated: value.is_some(),
            })
        }
        StoreKey::Endpoint(id) => {
            let is_empty = value.as_ref().is_some_and(Bytes::is_empty);
            let endpoint = match value.map(|value| decode_endpoint(&id, &value, clock::now())) {
                Some(Err(error)) => {
                    // An item without a readable revision has another one in each listing, and no value.
                    let change = (!is_empty).then_some(revision);
                    report_endpoint(control, &id, revision, change, &error);
                    None
                }
                decoded => {
                    let endpoint = decoded.and_then(Result::ok);
                    log_endpoint(control, &id, revision, endpoint.as_ref());
                    endpoint
                }
            };
            Some(StoreChange::Endpoint {
                id,
                revision,
                endpoint: endpoint.map(Arc::new),
            })
        }
        StoreKey::Other => None,
    }
}

/// Reports parts of a configuration that cannot be used.
fn report_parts(control: &Control, configuration: &Configuration) {
    for finding in configuration.findings.items() {
        let part = ("part", configuration.version, &finding.place);
        if control.reports.is_new(part) {
            metric::item_unreadable("configuration_part");
            warn!(control.logger, "configuration: a part cannot be used, its requests are refused";
                "version" => configuration.version, "part" => &finding.place,
                "error" => &finding.problem);
        }
    }
}

/// Reports an endpoint's entry that cannot be used. Whoever had an earlier state of it stops using the endpoint.
fn report_endpoint(
    control: &Control,
    id: &str,
    revision: u64,
    change: Option<u64>,
    error: &anyhow::Error,
) {
    if control.reports.is_new(("endpoint", id, change)) {
        metric::item_unreadable("endpoint");
        warn!(control.logger, "endpoints: an entry cannot be used"; "endpoint" => id,
            "revision" => revision, "error" => format!("{error:#}"));
    }
}

/// Reports items of which not even the key can be read.
pub(super) fn report_unreadable(control: &Control, items: &[UnreadableItem]) {
    for UnreadableItem { excerpt, error } in items {
        if control.reports.is_new(("item", excerpt)) {
            metric::item_unreadable("item");
            warn!(control.logger, "store: an item cannot be read"; "item" => excerpt, "error" => error);
        }
    }
}

fn log_endpoint(control: &Control, id: &str, revision: u64, endpoint: Option<&Endpoint>) {
    let state = match endpoint {
        None => "gone",
        Some(endpoint) if !endpoint.is_ready => "leaving",
        Some(endpoint) if endpoint.cold_until > clock::now() => "cold",
        Some(_) => "ready",
    };
    info!(control.logger, "endpoints: an entry changed"; "endpoint" => id,
        "state" => state, "revision" => revision);
}

/// Applies what the view has scheduled: removes endpoints that did not register again after an outage of the
/// store, and ends what is held against a store that came back from an older copy.
pub(super) async fn expire_entries(control: Arc<Control>) {
    let mut view = control.view.subscribe();
    loop {
        let next_expiry = control.store.lock().next_expiry();
        let wait = next_expiry.map_or(Duration::MAX, |at| at.since(clock::now()));
        // A change may bring an earlier expiry.
        if let Ok(Err(_)) = timeout(wait, view.changed()).await {
            return;
        }
        if control.store.lock().expire(clock::now()) {
            control.publish_store();
        }
    }
}
