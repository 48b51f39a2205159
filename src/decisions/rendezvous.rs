//! Rendezvous (highest-random-weight) order of VMs for a key.
//!
//! A change of one VM moves only the keys that it had (`docs/design.md`, 3.1).

use sha2::{Digest, Sha256};
use smallvec::SmallVec;

use crate::units::VmId;

/// Returns the candidates for `key`, the best first. The result depends on the set of
/// candidates only, not on their order.
pub fn rendezvous_order<'a>(
    key: &str,
    candidates: impl IntoIterator<Item = &'a VmId>,
) -> SmallVec<[&'a VmId; 8]> {
    let mut weighted: SmallVec<[(u64, &VmId); 8]> = candidates
        .into_iter()
        .map(|vm| (weight(key, vm), vm))
        .collect();
    weighted.sort_unstable_by(|left, right| right.cmp(left));
    weighted.into_iter().map(|(_, vm)| vm).collect()
}

fn weight(key: &str, vm: &VmId) -> u64 {
    let mut hasher = Sha256::new();
    hasher.update(key.as_bytes());
    hasher.update([0]);
    hasher.update(vm.as_str().as_bytes());
    let digest = hasher.finalize();
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&digest[..8]);
    u64::from_be_bytes(bytes)
}
