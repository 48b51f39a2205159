//! Publishes the snapshot that traffic reads, and logs changes of the lease and of owned keys.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use slog::info;

use crate::blackboard::{OwnedKeyCounts, Snapshot};
use crate::clock;
use crate::control::state::{Control, ControlState, OwnershipInputs};
use crate::decisions::ownership_keys::organisation_key;
use crate::manifest::{VmList, VmState};
use crate::units::{Time, VmId};

/// Time without a message from a VM after which callers are sent to other VMs: two heartbeats and
/// some slack. This is shorter than the second or so that a majority needs to agree that the VM is
/// absent.
const REDIRECT_SILENCE: Duration = Duration::from_millis(450);

impl Control {
    /// Publishes a new snapshot if anything in it changed.
    pub fn publish(&self) {
        let now = clock::now();
        let mut state = self.state.borrow_mut();
        let current = self.context.snapshot.load();
        let lease_until = state.membership.lease_until(now);
        let absent = state.absent_vms(now);
        let next = Snapshot {
            catalogue: state.catalogue.clone(),
            vms: reuse_if_equal(&current.vms, state.vms_with_leaving(&self.context.vm)),
            api_keys_fresh_until: state.versions.api_keys_fresh_until(lease_until),
            grants: reuse_map_if_equal(&current.grants, state.holder.grants()),
            loads: reuse_map_if_equal(&current.loads, &state.loads),
            absent_vms: reuse_if_equal(&current.absent_vms, absent),
            silent_vms: reuse_if_equal(&current.silent_vms, state.silent_vms(now)),
            stopping: state.stopping,
            lease_until,
            list_version: state.membership.list_version(),
            manifest_version: state.versions.newest(),
            owned_keys: state.owned_keys,
        };
        if has_changed(&current, &next) {
            self.context.snapshot.store(Arc::new(next));
        }
        state.publication_times.on_published(clock::now());
    }

    /// Logs a change of the lease. If the inputs of key ownership changed, recomputes the
    /// allocators and the numbers of owned keys, and logs these numbers and any change of the
    /// absent VMs.
    pub fn update_ownership(&self) {
        let now = clock::now();
        let mut state = self.state.borrow_mut();
        let has_lease = now < state.membership.lease_until(now);
        if std::mem::replace(&mut state.had_lease, has_lease) != has_lease {
            let text = if has_lease {
                "holds its lease"
            } else {
                "does not hold its lease"
            };
            info!(self.logger(), "membership: this VM {text}";
                "list" => state.membership.list_version().0);
        }
        let inputs = OwnershipInputs {
            list_version: state.membership.list_version(),
            manifest_version: state.versions.newest(),
            absent: state.absent_vms(now),
            stopping: state.stopping,
        };
        if inputs == state.ownership_inputs {
            return;
        }
        if inputs.absent != state.ownership_inputs.absent {
            let names: Vec<&str> = inputs.absent.iter().map(VmId::as_str).collect();
            info!(self.logger(), "membership: absent VMs: {}", names.join(" "));
        }
        state.ownership_inputs = inputs;
        state.allocator_cache.clear();
        state.install_allocators(now);
        state.owned_keys = state.count_owned_keys(now, &self.context.vm);
        let owned = state.owned_keys;
        info!(self.logger(), "membership: owned keys recomputed";
            "organisations" => owned.organisations, "endpoints" => owned.endpoints);
    }
}

impl ControlState {
    fn absent_vms(&self, now: Time) -> Vec<VmId> {
        let mut absent = self.membership.absent(now).into_vec();
        absent.sort_unstable();
        absent
    }

    fn silent_vms(&self, now: Time) -> Vec<VmId> {
        self.membership.silent(now, REDIRECT_SILENCE).into_vec()
    }

    fn count_owned_keys(&mut self, now: Time, me: &VmId) -> OwnedKeyCounts {
        let Some(catalogue) = self.catalogue.clone() else {
            return OwnedKeyCounts::default();
        };
        let mut organisations = 0;
        for organisation in &catalogue.manifest.organisations {
            let owner = self
                .membership
                .owner_of(now, &organisation_key(&organisation.name));
            organisations += usize::from(owner.as_ref() == Some(me));
        }
        let endpoints = self.endpoints_by_allocator.get(me).map_or(0, Vec::len);
        OwnedKeyCounts {
            organisations,
            endpoints,
        }
    }

    /// Returns the VM list, with VMs that announced a planned stop marked as leaving even if the
    /// platform does not list them so yet.
    fn vms_with_leaving(&self, me: &VmId) -> VmList {
        let mut list = VmList::clone(&self.vms);
        for vm in &mut list.vms {
            let announced_leaving = self.peers.get(&vm.id).is_some_and(|peer| peer.leaving);
            if announced_leaving || (self.stopping && vm.id == *me) {
                vm.state = VmState::Leaving;
            }
        }
        list
    }
}

/// Returns the current value if the next one is equal, so that readers can compare by pointer.
fn reuse_if_equal<T: PartialEq>(current: &Arc<T>, next: T) -> Arc<T> {
    if **current == next {
        current.clone()
    } else {
        Arc::new(next)
    }
}

/// Does the same as [`reuse_if_equal`] for a map, and copies the next map only if it differs.
fn reuse_map_if_equal<K, V>(
    current: &Arc<HashMap<K, V>>,
    next: &HashMap<K, V>,
) -> Arc<HashMap<K, V>>
where
    K: Clone + Eq + std::hash::Hash,
    V: Clone + PartialEq,
{
    if **current == *next {
        current.clone()
    } else {
        Arc::new(next.clone())
    }
}

fn has_changed(current: &Snapshot, next: &Snapshot) -> bool {
    let same_catalogue = match (&current.catalogue, &next.catalogue) {
        (None, None) => true,
        (Some(current), Some(next)) => Arc::ptr_eq(current, next),
        _ => false,
    };
    !same_catalogue
        || !Arc::ptr_eq(&current.vms, &next.vms)
        || !Arc::ptr_eq(&current.grants, &next.grants)
        || !Arc::ptr_eq(&current.loads, &next.loads)
        || !Arc::ptr_eq(&current.absent_vms, &next.absent_vms)
        || !Arc::ptr_eq(&current.silent_vms, &next.silent_vms)
        || current.api_keys_fresh_until != next.api_keys_fresh_until
        || current.lease_until != next.lease_until
        || current.stopping != next.stopping
        || current.list_version != next.list_version
        || current.manifest_version != next.manifest_version
        || current.owned_keys != next.owned_keys
}
