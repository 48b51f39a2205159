//! Rendezvous (highest-random-weight) order of VMs for a key.
//!
//! If a VM is added or removed, only keys whose first VM it is or was get another first VM
//! (`docs/design.md`, 3.1).

use sha2::{Digest, Sha256};
use smallvec::SmallVec;

use crate::units::VmId;

/// Returns the candidates in order of descending weight for `key`; the first is the key's owner.
/// The result depends only on the set of candidates, not on the order in which they are given.
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

/// Returns the weight of a VM for a key: the first 8 bytes of a SHA-256 digest of both.
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
