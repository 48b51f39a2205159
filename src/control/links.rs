//! Starts and ends the links over which this VM sends state messages to its peers.

use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use crate::clock;
use crate::control::state::{Control, ControlState};
use crate::peer::link::run_link;
use crate::units::VmId;

/// Time for which a VM that is not on this VM's list gets answers after its last message. Either
/// that VM's list is newer, or an older one on which it still acts.
const UNLISTED_PEER_LIFE: Duration = Duration::from_secs(5);

impl Control {
    /// Starts links to new peers, ends links to VMs that are no longer peers, and replaces links to
    /// VMs whose address changed.
    pub fn sync_links(self: &Rc<Self>) {
        let now = clock::now();
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let listed = state.membership.peers();
        let recently_heard = state.peers.iter().filter(|(_, peer)| {
            let recent = |at| now.since(at) < UNLISTED_PEER_LIFE;
            peer.last_message_at.is_some_and(recent)
        });
        let mut wanted: HashSet<VmId> = recently_heard.map(|(vm, _)| vm.clone()).collect();
        wanted.extend(listed);
        state.drop_links(&wanted);
        for vm in wanted {
            let Some(addresses) = state.addresses.get(&vm) else {
                continue;
            };
            let address = addresses.state;
            let peer = state.peers.entry(vm.clone()).or_default();
            match &peer.link {
                Some((current, _)) if *current == address => continue,
                Some((_, task)) => task.abort(),
                None => {}
            }
            let control = self.clone();
            let next_message = move || control.message_for(&vm);
            let link = run_link(address, self.config.link, peer.wake.clone(), next_message);
            let task = tokio::task::spawn_local(link);
            peer.link = Some((address, task.abort_handle()));
        }
        let addresses = &state.addresses;
        self.clients.retain(|vm| addresses.contains_key(vm));
    }

    /// Makes every link send a message at once.
    pub fn wake_peers(&self) {
        let state = self.state.borrow();
        state.peers.values().for_each(|peer| peer.wake.notify_one());
    }
}

impl ControlState {
    /// Makes the link to one peer send a message at once.
    pub fn wake(&self, vm: &VmId) {
        if let Some(peer) = self.peers.get(vm) {
            peer.wake.notify_one();
        }
    }

    fn drop_links(&mut self, wanted: &HashSet<VmId>) {
        let is_unwanted = |vm: &&VmId| !wanted.contains(*vm);
        let unwanted: Vec<VmId> = self.peers.keys().filter(is_unwanted).cloned().collect();
        for vm in unwanted {
            let Some(peer) = self.peers.remove(&vm) else {
                continue;
            };
            if let Some((_, task)) = peer.link {
                task.abort();
            }
        }
        let vms = &self.vms.vms;
        let listed = |vm: &VmId| vms.iter().any(|entry| entry.id == *vm);
        self.addresses
            .retain(|vm, _| wanted.contains(vm) || listed(vm));
    }
}
