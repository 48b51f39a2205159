//! Reads the manifest from the platform or from a peer, checks it as a whole and puts it in force.

use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use metrics::counter;
use slog::{info, warn};
use tokio::time::sleep;

use crate::blackboard::Catalogue;
use crate::clock;
use crate::control::cost::thread_cpu;
use crate::control::platform::{NextRead, PlatformReader, WatchReply, watch_key};
use crate::control::state::{Control, ControlState, ManifestBytes};
use crate::findings::Findings;
use crate::manifest::{
    Manifest, ManifestIndex, PartReference, is_part_digest, parse_manifest, part_digest,
};
use crate::peer::calls::ManifestBundle;
use crate::units::{Time, Version, VmId};

/// Time that this VM's watch of the platform has to deliver a new version before the version is
/// fetched from a peer.
const PEER_FETCH_DELAY: Duration = Duration::from_millis(400);

/// Watches the platform's manifest until the task is dropped.
pub async fn watch_manifest(control: Rc<Control>) {
    let reader = PlatformReader::new(control.config.platform_address, control.config.platform);
    let current_version = || control.state.borrow().versions.newest();
    let on_reply = async |reader: &mut PlatformReader, confirmed_at, reply| match reply {
        WatchReply::Unchanged(version) => {
            control
                .state
                .borrow_mut()
                .versions
                .confirm(confirmed_at, version);
            control.publish();
            NextRead::After(version)
        }
        WatchReply::Value(bytes) => handle_index(&control, reader, confirmed_at, bytes).await,
    };
    let on_failure = |error: &_| warn!(control.logger(), "config: manifest not read: {error}");
    watch_key(reader, "manifest", current_version, on_reply, on_failure).await;
}

async fn handle_index(
    control: &Rc<Control>,
    reader: &mut PlatformReader,
    confirmed_at: Time,
    bytes: Bytes,
) -> NextRead {
    let index: ManifestIndex = match serde_json::from_slice(&bytes) {
        Ok(index) => index,
        Err(error) => {
            warn!(control.logger(), "config: manifest index refused: {error}");
            return NextRead::Retry;
        }
    };
    let version = index.version;
    // If this version is newer but can't be fetched or checked, the manifest in force stops
    // counting as fresh.
    control
        .state
        .borrow_mut()
        .versions
        .confirm(confirmed_at, version);
    if !is_wanted(control, version) {
        return NextRead::Retry;
    }
    let Some(parts) = read_parts(control, reader, &index).await else {
        return NextRead::Retry;
    };
    let outcome = check_and_apply(control, index, bytes, parts, "platform").await;
    control.state.borrow_mut().pending_parts.clear();
    match outcome {
        ApplyOutcome::InForce | ApplyOutcome::Older => {
            control
                .state
                .borrow_mut()
                .versions
                .confirm(confirmed_at, version);
            control.publish();
            NextRead::After(version)
        }
        ApplyOutcome::Invalid => NextRead::After(version),
        ApplyOutcome::Unverified => NextRead::Retry,
    }
}

/// Returns all parts of the manifest and reads those that this VM does not hold. Returns `None`
/// when a part could not be read.
///
/// The parts read so far are kept, so that the next attempt reads only the missing ones.
async fn read_parts(
    control: &Rc<Control>,
    reader: &mut PlatformReader,
    index: &ManifestIndex,
) -> Option<HashMap<String, Bytes>> {
    control.state.borrow_mut().retain_pending_parts(index);
    let mut parts = HashMap::new();
    for part in &index.parts {
        let stored = control.state.borrow().find_part(&part.sha256);
        let bytes = match stored {
            Some(bytes) => bytes,
            None => read_part(control, reader, part).await?,
        };
        let pending = &mut control.state.borrow_mut().pending_parts;
        pending.insert(part.sha256.clone(), bytes.clone());
        parts.insert(part.sha256.clone(), bytes);
    }
    Some(parts)
}

async fn read_part(
    control: &Control,
    reader: &mut PlatformReader,
    part: &PartReference,
) -> Option<Bytes> {
    if !is_part_digest(&part.sha256) {
        warn!(
            control.logger(),
            "config: manifest part {:?} not read: {:?} is not a digest", part.name, part.sha256
        );
        return None;
    }
    let read = reader
        .value(&format!("manifest/part/{}", part.sha256))
        .await;
    let warn = |error| {
        warn!(
            control.logger(),
            "config: manifest part {} not read: {error}", part.name
        )
    };
    read.map_err(warn).ok()
}

/// Returns whether a version from the platform should be read and applied: it is newer than the
/// version in force and than any refused version, and no peer reported a newer one.
fn is_wanted(control: &Control, version: Version) -> bool {
    let state = control.state.borrow();
    let current = state.versions.newest();
    if state.versions.should_fetch(version) && version >= state.newest_peer_manifest {
        return true;
    }
    if version < current.max(state.newest_peer_manifest) {
        warn!(control.logger(), "config: older manifest {version} refused";
            "held" => current.0, "shown_by_peers" => state.newest_peer_manifest.0);
    }
    false
}

/// Result of checking a manifest and putting it in force.
enum ApplyOutcome {
    /// The manifest is in force now.
    InForce,
    /// A version at least as new came into force during the check.
    Older,
    /// The check has findings. Another read of the same version has the same ones.
    Invalid,
    /// A part is missing or does not match its digest, or the check did not finish. Another read
    /// may help.
    Unverified,
}

async fn check_and_apply(
    control: &Rc<Control>,
    index: ManifestIndex,
    index_bytes: Bytes,
    parts: HashMap<String, Bytes>,
    source: &str,
) -> ApplyOutcome {
    let version = index.version;
    let bytes = ManifestBytes {
        index: index_bytes,
        part_digests: index.parts.iter().map(|part| part.sha256.clone()).collect(),
        parts,
    };
    let checked_bytes = bytes.clone();
    // The check runs on another thread, because the check of a large manifest takes longer than a
    // heartbeat may be delayed.
    let check = move || {
        let cpu_before = thread_cpu();
        let result = check(&index, &checked_bytes);
        let used_us = thread_cpu().saturating_sub(cpu_before).as_micros();
        counter!("primrosewalk_control_cpu_microseconds_total").increment(used_us as u64);
        result
    };
    let Ok(checked) = tokio::task::spawn_blocking(check).await else {
        return ApplyOutcome::Unverified;
    };
    let manifest = match checked {
        Err(CheckError::InvalidPart(name)) => {
            warn!(control.logger(),
                "config: manifest part {name} is missing or does not match its digest";
                "version" => version.0, "source" => source);
            return ApplyOutcome::Unverified;
        }
        Err(CheckError::Findings(findings)) => {
            counter!("primrosewalk_control_manifests_refused_total").increment(1);
            control.state.borrow_mut().versions.refuse(version);
            let count = findings.items().len();
            warn!(control.logger(), "config: manifest {version} refused: {findings}";
                "findings" => count, "source" => source);
            return ApplyOutcome::Invalid;
        }
        Ok(manifest) => manifest,
    };
    if put_in_force(control, manifest, bytes, source) {
        ApplyOutcome::InForce
    } else {
        ApplyOutcome::Older
    }
}

/// Says why a manifest cannot be used.
enum CheckError {
    /// The part of this name is missing or does not match its digest.
    InvalidPart(String),
    /// The manifest has findings.
    Findings(Findings),
}

fn check(index: &ManifestIndex, bytes: &ManifestBytes) -> Result<Manifest, CheckError> {
    let mut named_parts = Vec::new();
    for part in &index.parts {
        let found = bytes.parts.get(&part.sha256);
        let intact = found.filter(|bytes| part_digest(bytes) == part.sha256);
        let Some(part_bytes) = intact else {
            return Err(CheckError::InvalidPart(part.name.clone()));
        };
        named_parts.push((part.name.as_str(), part_bytes.as_ref()));
    }
    parse_manifest(index.version, named_parts).map_err(CheckError::Findings)
}

fn put_in_force(
    control: &Rc<Control>,
    manifest: Manifest,
    bytes: ManifestBytes,
    source: &str,
) -> bool {
    let now = clock::now();
    let version = manifest.version;
    let catalogue = Arc::new(Catalogue::new(manifest));
    let mut state = control.state.borrow_mut();
    if !state.versions.accept(version) {
        return false;
    }
    state.ramp_returning_endpoints(now, &catalogue);
    state.forget_endpoints(&catalogue);
    state.catalogue = Some(catalogue);
    state.manifest_bytes = bytes;
    if !state.vms.vms.is_empty() {
        state.install_members(now);
    }
    drop(state);
    counter!("primrosewalk_control_manifests_accepted_total").increment(1);
    info!(control.logger(), "config: manifest {version} in force"; "source" => source);
    control.update_ownership();
    control.publish();
    control.wake_peers();
    true
}

impl ControlState {
    /// Drops the pending parts that `index` does not name.
    fn retain_pending_parts(&mut self, index: &ManifestIndex) {
        let is_in_index = |sha256: &str| index.parts.iter().any(|part| part.sha256 == *sha256);
        self.pending_parts.retain(|sha256, _| is_in_index(sha256));
    }

    fn find_part(&self, sha256: &str) -> Option<Bytes> {
        let in_force = self.manifest_bytes.parts.get(sha256);
        in_force.or_else(|| self.pending_parts.get(sha256)).cloned()
    }

    /// Returns whether a version that a peer reported should be fetched from that peer.
    pub fn wants_from_peer(&self, version: Version) -> bool {
        self.versions.should_fetch(version)
    }
}

impl Control {
    /// Starts a task that fetches the manifest from a peer that reported a newer version, unless
    /// this VM's watch of the platform delivers that version first.
    pub fn start_peer_fetch(self: &Rc<Self>, vm: &VmId) {
        let control = self.clone();
        let vm = vm.clone();
        if let Some(peer) = self.state.borrow_mut().peers.get_mut(&vm)
            && std::mem::replace(&mut peer.manifest_fetch_active, true)
        {
            return;
        }
        tokio::task::spawn_local(async move {
            sleep(PEER_FETCH_DELAY).await;
            control.fetch_manifest_from(&vm).await;
            if let Some(peer) = control.state.borrow_mut().peers.get_mut(&vm) {
                peer.manifest_fetch_active = false;
            }
        });
    }

    async fn fetch_manifest_from(self: &Rc<Self>, vm: &VmId) {
        let (address, current) = {
            let state = self.state.borrow();
            let current = state.versions.newest();
            let peer_version = state.peers.get(vm).map(|peer| peer.manifest_version);
            if peer_version.is_none_or(|peer_version| !state.wants_from_peer(peer_version)) {
                return;
            }
            let address = state.addresses.get(vm).and_then(|item| item.call);
            (address, current)
        };
        let Some(address) = address else {
            return;
        };
        match self.clients.fetch_manifest(vm, address, current.0).await {
            Ok(Some(bundle)) => self.handle_bundle(vm, bundle).await,
            Ok(None) => {}
            Err(error) => {
                warn!(
                    self.logger(),
                    "config: manifest not fetched from peer {vm}: {error}"
                );
            }
        }
    }

    async fn handle_bundle(self: &Rc<Self>, vm: &VmId, bundle: ManifestBundle) {
        let index: ManifestIndex = match serde_json::from_slice(&bundle.index) {
            Ok(index) => index,
            Err(error) => {
                warn!(
                    self.logger(),
                    "config: manifest index from peer {vm} refused: {error}"
                );
                return;
            }
        };
        if !self.state.borrow().wants_from_peer(index.version) {
            return;
        }
        let digests = index.parts.iter().map(|part| part.sha256.clone());
        let parts = digests
            .zip(bundle.parts.into_iter().map(Bytes::from))
            .collect();
        check_and_apply(self, index, bundle.index.into(), parts, vm.as_str()).await;
    }

    /// Returns the manifest in force if it is newer than `after`.
    pub fn manifest_after(&self, after: Version) -> Option<ManifestBundle> {
        let state = self.state.borrow();
        if state.versions.newest() <= after {
            return None;
        }
        let parts = state.manifest_bytes.part_digests.iter();
        let bytes = parts.map(|digest| Some(state.manifest_bytes.parts.get(digest)?.to_vec()));
        Some(ManifestBundle {
            index: state.manifest_bytes.index.to_vec(),
            parts: bytes.collect::<Option<_>>()?,
        })
    }
}
