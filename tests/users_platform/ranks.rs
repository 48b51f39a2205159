//! Which VMs of a fleet are relays, and which would be relays without these.

use std::collections::BTreeMap;

use primrosewalk::decisions::store_source::watches_store;
use primrosewalk::fleet::model::{FleetVm, VmSize};
use primrosewalk::units::VmId;

use super::{Fleet, Vm};

fn fleet_vm(vm: &Vm) -> FleetVm {
    FleetVm {
        name: vm.name.parse().unwrap(),
        ip: vm.ip,
        data_centre: vm.data_centre.parse().unwrap(),
        size: VmSize::default(),
    }
}

/// Returns the indexes of the relays of a fleet that has only the VMs `present`.
pub fn relays_among(fleet: &Fleet, present: &[usize]) -> Vec<usize> {
    let vms = present.iter().map(|index| fleet_vm(&fleet.vms[*index]));
    let by_name: BTreeMap<VmId, FleetVm> = vms.map(|vm| (vm.name.clone(), vm)).collect();
    let is_relay = |index: &&usize| watches_store(&fleet_vm(&fleet.vms[**index]), &by_name);
    present.iter().filter(is_relay).copied().collect()
}

/// Returns the relays, those that would be relays without them, and the other VMs. A fleet needs more than 18 VMs in
/// three data centres to have all three.
pub fn ranks(fleet: &Fleet) -> [Vec<usize>; 3] {
    let mut present: Vec<usize> = (0..fleet.vms.len()).collect();
    let mut next = || {
        let relays = relays_among(fleet, &present);
        present.retain(|vm| !relays.contains(vm));
        relays
    };
    [next(), next(), present]
}
