//! Reads the VM list from the platform, checks it and passes it to membership.

use std::collections::HashSet;
use std::rc::Rc;
use std::sync::Arc;

use slog::{info, warn};

use crate::clock;
use crate::control::platform::{NextRead, PlatformReader, WatchReply, watch_key};
use crate::control::state::{Control, ControlState, PeerAddresses};
use crate::decisions::membership::MemberList;
use crate::findings::Findings;
use crate::manifest::VmList;
use crate::units::Version;

/// Watches the platform's VM list until the task is dropped.
pub async fn watch_vms(control: Rc<Control>) {
    let reader = PlatformReader::new(control.config.platform_address, control.config.platform);
    let current_version = || control.state.borrow().vms.version;
    let on_reply = async |_: &mut PlatformReader, _, reply| match reply {
        WatchReply::Unchanged(_) => NextRead::After(current_version()),
        WatchReply::Value(bytes) => handle_list(&control, &bytes),
    };
    let on_failure = |error: &_| warn!(control.logger(), "membership: VM list not read: {error}");
    watch_key(reader, "vms", current_version, on_reply, on_failure).await;
}

fn handle_list(control: &Rc<Control>, bytes: &[u8]) -> NextRead {
    let current = control.state.borrow().vms.version;
    match parse_list(bytes) {
        Err(findings) => {
            warn!(control.logger(), "membership: VM list refused: {findings}");
            // The version of a list that can't be parsed may be unknown, so a watch for newer
            // versions is not possible. The backoff limits the rate of reads instead.
            NextRead::Retry
        }
        Ok(list) if list.version <= current => {
            if list.version < current {
                let version = list.version;
                warn!(control.logger(), "membership: older VM list {version} refused";
                    "held" => current.0);
            }
            NextRead::Retry
        }
        Ok(list) => {
            let version = list.version;
            install_list(control, list);
            NextRead::After(version)
        }
    }
}

/// Parses and checks a VM list.
///
/// # Errors
///
/// Returns all problems found, each with its path in the document. A list that can't be parsed has
/// only the first one.
pub fn parse_list(bytes: &[u8]) -> Result<VmList, Findings> {
    let mut findings = Findings::default();
    let deserializer = &mut serde_json::Deserializer::from_slice(bytes);
    let list: VmList = match serde_path_to_error::deserialize(deserializer) {
        Ok(list) => list,
        Err(error) => {
            findings.add(error.path().to_string(), error.inner().to_string());
            return Err(findings);
        }
    };
    if list.version == Version(0) {
        findings.add("version", "must be at least 1");
    }
    let mut names = HashSet::new();
    let mut addresses = HashSet::new();
    for (index, vm) in list.vms.iter().enumerate() {
        if !names.insert(&vm.id) {
            findings.add(
                format!("vms[{index}].id"),
                format!("{} is listed more than once", vm.id),
            );
        }
        for address in [
            vm.caller_address,
            vm.peer_state_address,
            vm.peer_call_address,
        ] {
            if !addresses.insert(address) {
                findings.add(
                    format!("vms[{index}]"),
                    format!("{address} is listed more than once"),
                );
            }
        }
    }
    findings.into_result(list)
}

fn install_list(control: &Rc<Control>, list: VmList) {
    let now = clock::now();
    let mut state = control.state.borrow_mut();
    let me = &control.context.vm;
    let count = list.vms.len();
    info!(control.logger(), "membership: VM list {} in force", list.version; "vms" => count);
    if !list.vms.iter().any(|vm| vm.id == *me) {
        warn!(
            control.logger(),
            "membership: VM list {} does not contain this VM", list.version
        );
    }
    for vm in list.vms.iter().filter(|vm| vm.id != *me) {
        let addresses = PeerAddresses {
            state: vm.peer_state_address,
            call: Some(vm.peer_call_address),
        };
        state.addresses.insert(vm.id.clone(), addresses);
    }
    state.vms = Arc::new(list);
    state.install_members(now);
    drop(state);
    control.sync_links();
    control.update_ownership();
    control.publish();
    control.wake_peers();
}

impl ControlState {
    /// Passes the VM list and the fenced VMs that the manifest names to membership, and the
    /// resulting members to the slot allocator.
    pub fn install_members(&mut self, now: crate::units::Time) {
        let list = MemberList {
            version: self.vms.version,
            members: self.vms.vms.iter().map(|vm| vm.id.clone()).collect(),
        };
        let catalogue = self.catalogue.clone();
        let fenced = catalogue
            .iter()
            .flat_map(|item| item.manifest.fenced_vms.clone());
        self.membership.install_list(now, list, fenced);
        let members = self.membership.list().members.clone();
        self.allocator.set_members(members);
    }
}
