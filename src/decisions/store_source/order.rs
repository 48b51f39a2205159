//! The part of each VM in the way of a change: which VMs watch the store, and to whom the others listen.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::Ipv4Addr;

use smallvec::SmallVec;

use crate::decisions::stage_groups::weight_of;
use crate::fleet::model::FleetVm;
use crate::units::{DataCentreName, VmId};

/// Largest fleet in which every VM watches the store itself.
const MAX_DIRECT_VMS: usize = 12;
/// Number of relays in each data centre.
const RELAYS_PER_DATA_CENTRE: usize = 2;
/// Number of deputies in each data centre: the next VMs in the order of the relays.
const DEPUTIES_PER_DATA_CENTRE: usize = 2;
/// Number of relays in other data centres that a VM turns to.
const REMOTE_RELAYS: usize = 2;
/// Largest number of sources of a VM.
const MAX_SOURCES: usize = RELAYS_PER_DATA_CENTRE + DEPUTIES_PER_DATA_CENTRE + REMOTE_RELAYS;

/// Addresses of VMs that a VM may listen to.
pub type SourceList = SmallVec<[Ipv4Addr; MAX_SOURCES]>;

/// Part of a VM in the way of a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Watches the store for itself, as all VMs of a small fleet do.
    Direct,
    /// Watches the store, for itself and for the VMs that listen to it.
    Relay,
    /// Watches the store while the relays have no word of it.
    Deputy,
    /// Listens to others.
    Listener,
}

/// The part of a VM in its fleet, and the other VMs from which it may learn of changes.
#[derive(Debug, Clone, PartialEq)]
pub struct SourceOrder {
    /// Part of the VM.
    pub role: Role,
    /// The relays that the VM listens to, in the order in which it prefers them: those of its data centre, then some
    /// of others.
    pub relays: SourceList,
    /// The deputies of its data centre.
    pub deputies: SourceList,
    /// Place of the VM among the live ones, from 0 to 1, in an order on which all agree: the relays come first,
    /// and then the deputies.
    pub share: f64,
    /// Number of live VMs.
    pub fleet_size: usize,
    /// VMs that come before this one in this order: the first one of all, and those of its sources.
    pub earlier: SourceList,
}

impl SourceOrder {
    /// Returns the part of `own` among the live VMs `vms`, of which it is one.
    pub fn new(own: &FleetVm, vms: &BTreeMap<VmId, FleetVm>) -> Self {
        let mut near = ranked_in(&own.data_centre, vms);
        let role = match near.iter().position(|ip| *ip == own.ip) {
            _ if vms.len() <= MAX_DIRECT_VMS => Role::Direct,
            Some(rank) if rank < RELAYS_PER_DATA_CENTRE => Role::Relay,
            Some(_) => Role::Deputy,
            None => Role::Listener,
        };
        // Each VM has an order of its own, which divides the VMs among the relays.
        let own_order = |ip: &Ipv4Addr| std::cmp::Reverse(weight_of(&(own.name.as_str(), ip)));
        let deputies = near.iter().skip(RELAYS_PER_DATA_CENTRE).copied().collect();
        near.truncate(RELAYS_PER_DATA_CENTRE);
        near.sort_by_cached_key(own_order);
        let mut others: Vec<&DataCentreName> = vms
            .values()
            .map(|vm| &vm.data_centre)
            .filter(|name| **name != own.data_centre)
            .collect();
        others.sort();
        others.dedup();
        let relays_of = |name| {
            ranked_in(name, vms)
                .into_iter()
                .take(RELAYS_PER_DATA_CENTRE)
        };
        let mut remote: Vec<Ipv4Addr> = others.into_iter().flat_map(relays_of).collect();
        remote.sort_by_cached_key(own_order);
        remote.truncate(REMOTE_RELAYS);
        let before = vms_before(own, vms);
        let mut order = Self {
            role,
            relays: near.into_iter().chain(remote).collect(),
            deputies,
            share: before.len() as f64 / vms.len().max(1) as f64,
            fleet_size: vms.len(),
            earlier: SourceList::new(),
        };
        order.relays.retain(|ip| *ip != own.ip);
        order.deputies.retain(|ip| *ip != own.ip);
        let first = before.iter().min().map(|(_, ip)| *ip);
        let is_before = |ip: &Ipv4Addr| before.iter().any(|(_, other)| other == ip);
        let earlier = order
            .sources()
            .filter(|ip| is_before(ip) && Some(*ip) != first);
        order.earlier = first.into_iter().chain(earlier).collect();
        order
    }

    /// Returns all sources.
    pub fn sources(&self) -> impl Iterator<Item = Ipv4Addr> {
        self.relays.iter().chain(&self.deputies).copied()
    }
}

/// Returns the VMs that come before `own` in the order of the fleet, with what orders them: whether they are relays, deputies or
/// neither, and then their weights. Places are evenly spaced, unlike the weights of a few VMs.
fn vms_before(own: &FleetVm, vms: &BTreeMap<VmId, FleetVm>) -> Vec<((usize, u64), Ipv4Addr)> {
    let data_centres: BTreeSet<&DataCentreName> = vms.values().map(|vm| &vm.data_centre).collect();
    let ranked = data_centres.into_iter().flat_map(|name| {
        let classes = ranked_in(name, vms).into_iter().enumerate();
        classes.map(|(rank, ip)| (ip, rank / RELAYS_PER_DATA_CENTRE))
    });
    let classes: HashMap<Ipv4Addr, usize> = ranked.collect();
    let place = |vm: &FleetVm| {
        let class = classes.get(&vm.ip).copied();
        (class.unwrap_or(usize::MAX), weight_of(&vm.name.as_str()))
    };
    let own_place = place(own);
    let places = vms.values().map(|vm| (place(vm), vm.ip));
    places.filter(|(place, _)| *place < own_place).collect()
}

/// Returns whether a VM watches the store while all is well.
pub fn watches_store(own: &FleetVm, vms: &BTreeMap<VmId, FleetVm>) -> bool {
    let role = SourceOrder::new(own, vms).role;
    matches!(role, Role::Direct | Role::Relay)
}

/// Returns the relays of a data centre and after them its deputies: of the larger VMs, those with the highest weights.
fn ranked_in(data_centre: &DataCentreName, vms: &BTreeMap<VmId, FleetVm>) -> SourceList {
    let local = || vms.values().filter(|vm| vm.data_centre == *data_centre);
    let largest = local().map(|vm| vm.size.link_mbit_per_s).max().unwrap_or(0);
    let rank = |vm: &&FleetVm| {
        let is_large = vm.size.link_mbit_per_s * 2 > largest;
        (is_large, weight_of(&("relay", vm.name.as_str())))
    };
    let mut ranked: Vec<&FleetVm> = local().collect();
    ranked.sort_by_cached_key(|vm| std::cmp::Reverse(rank(vm)));
    let count = RELAYS_PER_DATA_CENTRE + DEPUTIES_PER_DATA_CENTRE;
    ranked.into_iter().take(count).map(|vm| vm.ip).collect()
}
