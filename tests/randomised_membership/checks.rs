//! Invariants that every schedule must satisfy.
//!
//! * At most one VM may act as owner of a key at any instant.
//! * Uses of an organisation's credits never exceed rate x window + burst, for every window.
//! * Versions never decrease within an incarnation of a VM.
//! * A VM that could read the platform, or reach a majority that has the newer manifest,
//!   does not accept a withdrawn API key more than 5 s after the change.
//! * Once everything is healthy, each VM of the newest list has that list and the newest
//!   manifest, each key has one owner, and its organisation gets tokens.

use std::collections::HashSet;

use primrosewalk::decisions::membership::MemberList;
use primrosewalk::units::{Time, Version};

use crate::world::{FAULTS_END_MICROS, HEALTHY_MICROS, ORGANISATIONS, POOL, Platform, World};

/// Time limit for a VM to stop accepting a withdrawn API key. It counts from the withdrawal, or from
/// when a VM that missed the withdrawal has contact again.
const WITHDRAWAL_MICROS: u64 = 5_000_000;
/// At the end of a schedule, each organisation must have got a token within this time.
const LAST_USE_LIMIT_MICROS: u64 = 2_000_000;

/// What the checks have observed of one VM.
#[derive(Default, Clone)]
struct VmObservations {
    list: Version,
    manifest: Version,
    recovered: bool,
    /// Until when the VM may act as owner, by key.
    acts_until: [u64; ORGANISATIONS.len()],
    /// When the VM last started or woke up from a pause.
    awake_since_micros: u64,
    /// When the VM last regained current answers from the platform.
    platform_since_micros: u64,
    /// When the connection with each other VM was last restored.
    connected_since_micros: [u64; POOL],
    /// By manifest version, when this incarnation first had that version or a newer one in force.
    manifest_at: Vec<u64>,
}

#[derive(Default)]
pub struct Checks {
    pub uses: u64,
    pub not_covered: bool,
    pub answered: HashSet<(usize, u64, Time, usize)>,
    observed: Vec<VmObservations>,
    /// By organisation: uses beyond the rate in the worst window that ends at its last use, and the
    /// time of that use.
    excess: [(f64, u64); ORGANISATIONS.len()],
    /// Whether uses beyond the quota are violations.
    checks_quota: bool,
}

impl Checks {
    pub fn new(checks_quota: bool) -> Self {
        let observed = vec![VmObservations::default(); POOL];
        Self {
            observed,
            checks_quota,
            ..Self::default()
        }
    }

    pub fn on_start(&mut self, vm: usize, now: u64) {
        self.on_kill(vm);
        self.observed[vm].awake_since_micros = now;
    }

    pub fn on_kill(&mut self, vm: usize) {
        let VmObservations {
            platform_since_micros,
            connected_since_micros,
            ..
        } = self.observed[vm].clone();
        self.observed[vm] = VmObservations {
            platform_since_micros,
            connected_since_micros,
            ..VmObservations::default()
        };
    }

    pub fn on_wake(&mut self, vm: usize, now: u64) {
        self.observed[vm].awake_since_micros = now;
    }

    pub fn on_connect(&mut self, from: usize, to: usize, now: u64) {
        self.observed[from].connected_since_micros[to] = now;
        self.observed[to].connected_since_micros[from] = now;
    }

    pub fn on_platform_back(&mut self, vm: usize, now: u64) {
        self.observed[vm].platform_since_micros = now;
    }

    pub fn on_use(&mut self, now: u64, organisation: usize) -> Result<(), String> {
        let (rate, burst) = ORGANISATIONS[organisation];
        let (excess, last) = &mut self.excess[organisation];
        let elapsed_s = (now - *last) as f64 / 1e6;
        *excess = (*excess - rate * elapsed_s).max(0.0) + 1.0;
        *last = now;
        self.uses += 1;
        if self.checks_quota && *excess > f64::from(burst) + 1e-6 {
            let excess = *excess;
            return Err(format!(
                "organisation {organisation} used {excess} credits beyond its rate, its burst is {burst}"
            ));
        }
        Ok(())
    }
}

impl World {
    /// Checks a VM after each of its actions. The end of its ownership is recorded until its next
    /// action, since a VM may act as owner until its epoch ends without any action in between.
    pub fn check_vm(&mut self, vm: usize) -> Result<(), String> {
        self.check_versions(vm)?;
        self.check_recovery(vm);
        self.check_owners(vm)?;
        self.check_withdrawn_keys(vm)
    }

    fn check_versions(&mut self, vm: usize) -> Result<(), String> {
        let Some(running) = &self.vms[vm].running else {
            return Ok(());
        };
        let (list, manifest) = (running.membership.list_version(), running.config.newest());
        let observed = &mut self.checks.observed[vm];
        if list < observed.list || manifest < observed.manifest {
            return Err(format!(
                "vm-{vm} went back to list {list}, manifest {manifest} from list {}, manifest {}",
                observed.list, observed.manifest
            ));
        }
        let is_newer_list = list > observed.list;
        (observed.list, observed.manifest) = (list, manifest);
        observed.manifest_at.resize(manifest.0 as usize, self.now);
        if is_newer_list {
            self.note(|| format!("vm-{vm} installs list {list}"));
        }
        Ok(())
    }

    fn check_owners(&mut self, vm: usize) -> Result<(), String> {
        let now = self.vms[vm].local_time(self.now);
        for key in 0..ORGANISATIONS.len() {
            let name = &self.keys[key];
            let running = self.vms[vm].running.as_mut().expect("the VM acted");
            let epoch = running.membership.ownership_epoch(now, name);
            let until = epoch.map_or(0, |epoch| self.vms[vm].global_micros(epoch.until));
            let acted = self.checks.observed[vm].acts_until[key] > self.now;
            self.checks.observed[vm].acts_until[key] = until;
            if acted != epoch.is_some() {
                self.note(|| {
                    format!("the ownership epoch of vm-{vm} for key {key} is now {epoch:?}")
                });
            }
            let owners = self.owners(key);
            if owners.len() > 1 {
                return Err(format!(
                    "VMs {owners:?} are owners of key {key} at the same time"
                ));
            }
        }
        Ok(())
    }

    fn owners(&self, key: usize) -> Vec<usize> {
        let acts = |vm: &usize| self.checks.observed[*vm].acts_until[key] > self.now;
        (0..POOL).filter(acts).collect()
    }

    /// Detects the one case that `docs/design.md`, 3.1 does not cover: most VMs of a list have lost
    /// their state at once, and VMs outside it use another list that none of its VMs has.
    fn check_recovery(&mut self, vm: usize) {
        let membership = &self.vms[vm]
            .running
            .as_ref()
            .expect("the VM acted")
            .membership;
        let finished = membership.is_recovered() && !self.checks.observed[vm].recovered;
        self.checks.observed[vm].recovered = membership.is_recovered();
        if !finished {
            return;
        }
        let list = membership.list();
        let lists = std::iter::once(list).chain(membership.predecessors());
        let lost_by_majority = lists.clone().any(|list| !self.majority_remembers(vm, list));
        let uses_unknown_list = |other: &usize| {
            let membership = self.vms[*other].running.as_ref().map(|it| &it.membership);
            membership.is_some_and(|membership| {
                let known = lists
                    .clone()
                    .any(|list| list.version == membership.list_version());
                let outside = !list.members.contains(&self.vms[*other].id);
                membership.is_recovered() && !known && outside
            })
        };
        self.checks.not_covered |=
            lost_by_majority && (0..POOL).any(|other| uses_unknown_list(&other));
        self.note(|| format!("vm-{vm} has recovered"));
    }

    fn majority_remembers(&self, vm: usize, list: &MemberList) -> bool {
        let remembers = |other: &usize| {
            let membership = self.vms[*other].running.as_ref().map(|it| &it.membership);
            *other != vm
                && list.members.contains(&self.vms[*other].id)
                && membership.is_some_and(|membership| membership.is_recovered())
        };
        (0..POOL).filter(remembers).count() > list.members.len() / 2
    }

    fn check_withdrawn_keys(&mut self, vm: usize) -> Result<(), String> {
        let running = self.vms[vm].running.as_ref().expect("the VM acted");
        // Index into `manifests` of the version after the newest one that the VM has.
        let next_version = running.config.newest().0 as usize;
        let Some(withdrawn_at) = self.manifests.get(next_version) else {
            return Ok(());
        };
        let now = self.vms[vm].local_time(self.now);
        let lease_until = running.membership.lease_until(now);
        let accepts = next_version > 0 && now < running.config.api_keys_fresh_until(lease_until);
        if !accepts || self.now <= withdrawn_at + WITHDRAWAL_MICROS {
            return Ok(());
        }
        let observed = &self.checks.observed[vm];
        let contact_by = self.now.saturating_sub(WITHDRAWAL_MICROS);
        let could_read = self.vms[vm].platform == Platform::Fresh
            && observed.platform_since_micros <= contact_by;
        let could_inform = |other: &usize| {
            let peer = &self.checks.observed[*other];
            let linked = !self.cut[*other][vm] && !self.cut[vm][*other];
            let awake = !self.vms[*other].paused && peer.awake_since_micros <= contact_by;
            let has = peer
                .manifest_at
                .get(next_version)
                .is_some_and(|at| *at <= contact_by);
            linked && awake && has && observed.connected_since_micros[*other] <= contact_by
        };
        let list = running.membership.list();
        let members = (0..POOL).filter(|other| list.members.contains(&self.vms[*other].id));
        let could_ask_majority = members.filter(could_inform).count() > list.members.len() / 2;
        if observed.awake_since_micros <= contact_by && (could_read || could_ask_majority) {
            return Err(format!(
                "vm-{vm} still accepts an API key withdrawn at {withdrawn_at} us"
            ));
        }
        Ok(())
    }

    pub fn check_liveness(&mut self) -> Result<(), String> {
        self.now = FAULTS_END_MICROS + HEALTHY_MICROS;
        let list = Version(self.lists.len() as u64);
        let manifest = Version(self.manifests.len() as u64);
        for vm in (0..POOL).filter(|vm| self.is_listed(*vm)) {
            let observed = &self.checks.observed[vm];
            if (observed.list, observed.manifest) != (list, manifest) {
                return Err(format!(
                    "vm-{vm} has list {} and manifest {} instead of {list} and {manifest}",
                    observed.list, observed.manifest
                ));
            }
        }
        for key in 0..ORGANISATIONS.len() {
            let last_use = self.checks.excess[key].1;
            if self.owners(key).len() != 1 {
                return Err(format!(
                    "key {key} does not have exactly one owner in a healthy fleet"
                ));
            }
            if self.now - last_use > LAST_USE_LIMIT_MICROS {
                return Err(format!(
                    "organisation {key} got its last token at {last_use} us although the fleet is healthy"
                ));
            }
        }
        Ok(())
    }
}
