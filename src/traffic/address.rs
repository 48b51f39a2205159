//! Tells callers which VM to use and issues request ids.

use std::net::SocketAddr;

use hyper::{HeaderMap, StatusCode};
use rand::RngExt;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::blackboard::Snapshot;
use crate::decisions::ownership_keys::organisation_key;
use crate::decisions::rendezvous::rendezvous_order;
use crate::manifest::VmEntry;
use crate::traffic::api_key;
use crate::traffic::http_body::{self, Answer};
use crate::traffic::refusal::{Refusal, RefusalCode};
use crate::traffic::state::Traffic;
use crate::units::{OrganisationName, RequestId, VmId};

/// Answer to `GET /v1/address`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AddressAnswer {
    /// Caller address of the VM that the caller should use.
    pub address: SocketAddr,
    /// The VM that listens at `address`.
    pub vm: VmId,
    /// An id for one request; `None` if `address` is that of another VM. Only the VM that runs a
    /// request issues its id, so that it can verify the id later.
    pub request_id: Option<RequestId>,
    /// How long the caller may use the address before it asks again.
    pub valid_for_ms: u64,
}

/// Answer to `POST /v1/request-ids`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestIdAnswer {
    /// An id for one request, to be sent to this VM.
    pub request_id: RequestId,
    /// The VM that issued it.
    pub vm: VmId,
    /// Time from now in which a request with the id may begin.
    pub valid_for_ms: u64,
}

/// Serves `GET /v1/address`.
pub fn serve_address(traffic: &Traffic, headers: &HeaderMap) -> Answer {
    let snapshot = traffic.context.snapshot.load();
    let organisation = organisation_of(&snapshot, headers);
    let Some(vm) = preferred_vm(traffic, &snapshot, organisation.as_ref()) else {
        let message = "no VM can take requests now";
        return http_body::refusal(&Refusal::not_run(RefusalCode::NoCapacity, message));
    };
    let is_self = vm.id == traffic.context.vm;
    let answer = AddressAnswer {
        address: vm.caller_address,
        vm: vm.id.clone(),
        request_id: is_self.then(|| traffic.ids.issue()),
        valid_for_ms: millis(traffic.config.address_life),
    };
    http_body::json(StatusCode::OK, &answer)
}

/// Serves `POST /v1/request-ids`.
pub fn serve_request_id(traffic: &Traffic) -> Answer {
    if traffic.refuses_new_work() {
        return http_body::refusal(&stopping_refusal(traffic, None));
    }
    let answer = RequestIdAnswer {
        request_id: traffic.ids.issue(),
        vm: traffic.context.vm.clone(),
        valid_for_ms: millis(traffic.config.at_most_once.id_life),
    };
    http_body::json(StatusCode::OK, &answer)
}

/// Makes the refusal of new work during a planned stop or while this VM's data centre is out of
/// service, with the address of another VM if there is one.
pub fn stopping_refusal(traffic: &Traffic, organisation: Option<&OrganisationName>) -> Refusal {
    let snapshot = traffic.context.snapshot.load();
    let other = preferred_vm(traffic, &snapshot, organisation);
    let address = other.map(|vm| vm.caller_address);
    let message = match address {
        Some(address) => format!("this VM takes no new work; use {address}"),
        None => "this VM takes no new work".to_owned(),
    };
    Refusal {
        address,
        ..Refusal::not_run(RefusalCode::Stopping, message)
    }
}

fn millis(duration: std::time::Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn organisation_of(snapshot: &Snapshot, headers: &HeaderMap) -> Option<OrganisationName> {
    let digest = api_key::api_key_digest(headers)?;
    let organisation = snapshot
        .catalogue
        .as_ref()?
        .organisation_of_api_key(&digest)?;
    Some(organisation.name.clone())
}

/// Returns the VM that an organisation should use: the first in its rendezvous order, or a
/// random one if the organisation is unknown.
///
/// Silent VMs are left out while any other VM is available, and so is this VM during a planned
/// stop.
fn preferred_vm<'a>(
    traffic: &Traffic,
    snapshot: &'a Snapshot,
    organisation: Option<&OrganisationName>,
) -> Option<&'a VmEntry> {
    let is_stopping = traffic.is_stopping();
    let callable = snapshot.vms_open_to_callers();
    let mut vms: SmallVec<[&VmEntry; 8]> = callable
        .filter(|vm| !is_stopping || vm.id != traffic.context.vm)
        .collect();
    let is_silent = |vm: &VmEntry| snapshot.silent_vms.contains(&vm.id);
    if vms.iter().any(|vm| !is_silent(vm)) {
        vms.retain(|vm| !is_silent(vm));
    }
    let Some(organisation) = organisation else {
        let index = rand::rng().random_range(0..vms.len().max(1));
        return vms.get(index).copied();
    };
    let order = rendezvous_order(&organisation_key(organisation), vms.iter().map(|vm| &vm.id));
    let first = order.first()?;
    vms.iter().copied().find(|vm| vm.id == **first)
}
