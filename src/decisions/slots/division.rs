//! Max-min fair division of a capacity among VMs.

use smallvec::SmallVec;

/// The slots that one VM wants, with its position in the rotation for single remaining slots.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct HolderDemand {
    /// Number of slots that the VM could use.
    pub wanted: u32,
    /// Number of the VM's last grant with at least one slot. When single slots remain, the VM
    /// with the lowest number gets the first, so that scarce slots rotate.
    pub last_served: u64,
}

/// Divides `capacity` so that no VM gets more while another with unmet demand has less
/// (max-min fairness). Slots that no VM wants are spread evenly, so that a VM can start a
/// request without asking first. The remainder of that spread does not rotate: a slot that moves
/// between idle VMs is usable at neither of them until the move is reported.
pub(super) fn divide(capacity: u32, holders: &[HolderDemand]) -> SmallVec<[u32; 8]> {
    let demands: SmallVec<[u32; 8]> = holders.iter().map(|holder| holder.wanted).collect();
    let mut slots = fill(capacity, &demands, holders);
    let unwanted = capacity - slots.iter().sum::<u32>();
    if unwanted > 0 {
        let unlimited: SmallVec<[u32; 8]> = holders.iter().map(|_| u32::MAX).collect();
        let without_rotation: SmallVec<[HolderDemand; 8]> = holders
            .iter()
            .map(|holder| HolderDemand {
                last_served: 0,
                ..*holder
            })
            .collect();
        let spread = fill(unwanted, &unlimited, &without_rotation);
        for (slot, extra) in slots.iter_mut().zip(spread) {
            *slot += extra;
        }
    }
    debug_assert!(slots.iter().sum::<u32>() <= capacity);
    slots
}

/// Gives each VM its demand up to the fair level, and the remaining single slots to VMs with
/// unmet demand in the order of the rotation.
fn fill(capacity: u32, demands: &[u32], holders: &[HolderDemand]) -> SmallVec<[u32; 8]> {
    let level = fair_level(capacity, demands);
    let mut slots: SmallVec<[u32; 8]> = demands.iter().map(|demand| level.min(*demand)).collect();
    let mut remainder = capacity - slots.iter().sum::<u32>();
    let mut unmet: SmallVec<[usize; 8]> = (0..demands.len())
        .filter(|index| demands[*index] > level)
        .collect();
    unmet.sort_by_key(|index| holders[*index].last_served);
    for index in unmet {
        if remainder == 0 {
            break;
        }
        slots[index] += 1;
        remainder -= 1;
    }
    slots
}

/// Returns the highest level at which every VM can have `min(demand, level)`.
fn fair_level(capacity: u32, demands: &[u32]) -> u32 {
    let needed = |level: u32| -> u64 {
        let capped = demands.iter().map(|demand| u64::from(level.min(*demand)));
        capped.sum()
    };
    let (mut low, mut high) = (0, capacity);
    while low < high {
        let middle = low + (high - low).div_ceil(2);
        if needed(middle) <= u64::from(capacity) {
            low = middle;
        } else {
            high = middle - 1;
        }
    }
    low
}
