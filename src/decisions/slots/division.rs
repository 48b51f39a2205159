//! Weighted fair division of a capacity.

use smallvec::SmallVec;

/// What one VM wants, with its place in the order for indivisible remainders.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Wish {
    /// Slots wanted.
    pub demand: u32,
    /// The lowest comes first when single slots remain. It makes scarce slots rotate.
    pub served: u64,
}

/// Divides `capacity` so that no VM gets more while another with unmet demand has less
/// (max-min fairness). What nobody wants is spread evenly, so that a VM can start a request
/// without asking first. Its remainder does not rotate: slots that move between idle VMs are
/// free at neither until the move is reported.
pub(super) fn divide(capacity: u32, wishes: &[Wish]) -> SmallVec<[u32; 8]> {
    let demands: SmallVec<[u32; 8]> = wishes.iter().map(|wish| wish.demand).collect();
    let mut slots = fill(capacity, &demands, wishes);
    let unwanted = capacity - slots.iter().sum::<u32>();
    if unwanted > 0 {
        let unlimited: SmallVec<[u32; 8]> = wishes.iter().map(|_| u32::MAX).collect();
        let settled: SmallVec<[Wish; 8]> = wishes
            .iter()
            .map(|wish| Wish { served: 0, ..*wish })
            .collect();
        let spread = fill(unwanted, &unlimited, &settled);
        for (slot, extra) in slots.iter_mut().zip(spread) {
            *slot += extra;
        }
    }
    debug_assert!(slots.iter().sum::<u32>() <= capacity);
    slots
}

fn fill(capacity: u32, demands: &[u32], wishes: &[Wish]) -> SmallVec<[u32; 8]> {
    let level = fair_level(capacity, demands);
    let mut slots: SmallVec<[u32; 8]> = demands.iter().map(|demand| level.min(*demand)).collect();
    let mut remainder = capacity - slots.iter().sum::<u32>();
    let mut unmet: SmallVec<[usize; 8]> = (0..demands.len())
        .filter(|index| demands[*index] > level)
        .collect();
    unmet.sort_by_key(|index| wishes[*index].served);
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
