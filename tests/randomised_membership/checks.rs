//! What must hold in every schedule.
//!
//! * At most one VM may act as owner of a key at any instant.
//! * Uses of an organisation's credits never exceed rate x window + burst, for every window.
//! * Versions never go back within an incarnation of a VM.
//! * A VM that could read the platform, or reach a majority that has the newer manifest,
//!   does not accept a withdrawn key more than 5 s after the change.
//! * Once everything is healthy, each VM of the list has the newest list and manifest, each
//!   key has one owner, and its tokens flow.

use std::collections::HashSet;

use primrosewalk::decisions::membership::MemberList;
use primrosewalk::units::{Time, Version};

use crate::world::{CALM_MICROS, CHAOS_MICROS, ORGANISATIONS, POOL, Platform, World};

/// Counts from the change, or from when a VM that missed it has contact again.
const WITHDRAWAL_MICROS: u64 = 5_000_000;
/// Tokens must flow in this last part of a schedule.
const FLOW_MICROS: u64 = 2_000_000;

#[derive(Default, Clone)]
struct Seen {
    list: Version,
    manifest: Version,
    recovered: bool,
    /// Until when the VM may act as owner, by key.
    acts_until: [u64; ORGANISATIONS.len()],
    awake_since: u64,
    platform_since: u64,
    connected_since: [u64; POOL],
    /// When this incarnation put each manifest version in force, or a newer one.
    manifest_at: Vec<u64>,
}

#[derive(Default)]
pub struct Checks {
    pub uses: u64,
    pub not_covered: bool,
    pub answered: HashSet<(usize, u64, Time, usize)>,
    seen: Vec<Seen>,
    /// Excess of uses over the rate in the worst window that ends now, and its last use.
    excess: [(f64, u64); ORGANISATIONS.len()],
    quota: bool,
}

impl Checks {
    pub fn new(quota: bool) -> Self {
        let seen = vec![Seen::default(); POOL];
        Self {
            seen,
            quota,
            ..Self::default()
        }
    }

    pub fn on_start(&mut self, vm: usize, now: u64) {
        self.on_kill(vm);
        self.seen[vm].awake_since = now;
    }

    pub fn on_kill(&mut self, vm: usize) {
        let Seen {
            platform_since,
            connected_since,
            ..
        } = self.seen[vm].clone();
        self.seen[vm] = Seen {
            platform_since,
            connected_since,
            ..Seen::default()
        };
    }

    pub fn on_wake(&mut self, vm: usize, now: u64) {
        self.seen[vm].awake_since = now;
    }

    pub fn on_connect(&mut self, from: usize, to: usize, now: u64) {
        self.seen[from].connected_since[to] = now;
        self.seen[to].connected_since[from] = now;
    }

    pub fn on_platform_back(&mut self, vm: usize, now: u64) {
        self.seen[vm].platform_since = now;
    }

    pub fn on_use(&mut self, now: u64, organisation: usize) -> Result<(), String> {
        let (rate, burst) = ORGANISATIONS[organisation];
        let (excess, last) = &mut self.excess[organisation];
        let passed = (now - *last) as f64 / 1e6;
        *excess = (*excess - rate * passed).max(0.0) + 1.0;
        *last = now;
        self.uses += 1;
        if self.quota && *excess > f64::from(burst) + 1e-6 {
            let excess = *excess;
            return Err(format!(
                "organisation {organisation} used {excess} above its rate"
            ));
        }
        Ok(())
    }
}

impl World {
    /// Checks a VM after each of its actions. What it may do is kept until its next action,
    /// since a VM may act without one until the end of its epoch.
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
        let seen = &mut self.checks.seen[vm];
        if list < seen.list || manifest < seen.manifest {
            return Err(format!(
                "vm-{vm} went back to list {list}, manifest {manifest}"
            ));
        }
        let moved = list > seen.list;
        (seen.list, seen.manifest) = (list, manifest);
        seen.manifest_at.resize(manifest.0 as usize, self.now);
        if moved {
            self.note(|| format!("vm-{vm} goes by list {list}"));
        }
        Ok(())
    }

    fn check_owners(&mut self, vm: usize) -> Result<(), String> {
        let now = self.vms[vm].local(self.now);
        for key in 0..ORGANISATIONS.len() {
            let name = &self.keys[key];
            let running = self.vms[vm].running.as_mut().expect("the VM acted");
            let epoch = running.membership.ownership_epoch(now, name);
            let until = epoch.map_or(0, |epoch| self.vms[vm].global(epoch.until));
            let acted = self.checks.seen[vm].acts_until[key] > self.now;
            self.checks.seen[vm].acts_until[key] = until;
            if acted != epoch.is_some() {
                self.note(|| format!("vm-{vm} is owner of {key}: {epoch:?}"));
            }
            let owners = self.owners(key);
            if owners.len() > 1 {
                return Err(format!("VMs {owners:?} are owner of key {key} at once"));
            }
        }
        Ok(())
    }

    fn owners(&self, key: usize) -> Vec<usize> {
        let acts = |vm: &usize| self.checks.seen[*vm].acts_until[key] > self.now;
        (0..POOL).filter(acts).collect()
    }

    /// Notices the one case that `docs/design.md`, 3.1 does not cover: most VMs of a list
    /// have no memory at once, and a list that none of its VMs knows of lives elsewhere.
    fn check_recovery(&mut self, vm: usize) {
        let membership = &self.vms[vm]
            .running
            .as_ref()
            .expect("the VM acted")
            .membership;
        let finished = membership.is_recovered() && !self.checks.seen[vm].recovered;
        self.checks.seen[vm].recovered = membership.is_recovered();
        if !finished {
            return;
        }
        let list = membership.list();
        let lists = std::iter::once(list).chain(membership.predecessors());
        let forgotten = lists.clone().any(|list| !self.majority_remembers(vm, list));
        let unknown = |other: &usize| {
            let held = self.vms[*other].running.as_ref().map(|it| &it.membership);
            held.is_some_and(|held| {
                let known = lists
                    .clone()
                    .any(|list| list.version == held.list_version());
                let outside = !list.members.contains(&self.vms[*other].id);
                held.is_recovered() && !known && outside
            })
        };
        self.checks.not_covered |= forgotten && (0..POOL).any(|other| unknown(&other));
        self.note(|| format!("vm-{vm} has recovered"));
    }

    fn majority_remembers(&self, vm: usize, list: &MemberList) -> bool {
        let remembers = |other: &usize| {
            let held = self.vms[*other].running.as_ref().map(|it| &it.membership);
            *other != vm
                && list.members.contains(&self.vms[*other].id)
                && held.is_some_and(|held| held.is_recovered())
        };
        (0..POOL).filter(remembers).count() > list.members.len() / 2
    }

    fn check_withdrawn_keys(&mut self, vm: usize) -> Result<(), String> {
        let running = self.vms[vm].running.as_ref().expect("the VM acted");
        let held = running.config.newest().0 as usize;
        let Some(withdrawn_at) = self.manifests.get(held) else {
            return Ok(());
        };
        let now = self.vms[vm].local(self.now);
        let lease_until = running.membership.lease_until(now);
        let accepts = held > 0 && now < running.config.api_keys_fresh_until(lease_until);
        if !accepts || self.now <= withdrawn_at + WITHDRAWAL_MICROS {
            return Ok(());
        }
        let seen = &self.checks.seen[vm];
        let contact = self.now.saturating_sub(WITHDRAWAL_MICROS);
        let reads = self.vms[vm].platform == Platform::Fresh && seen.platform_since <= contact;
        let informs = |other: &usize| {
            let peer = &self.checks.seen[*other];
            let linked = !self.cut[*other][vm] && !self.cut[vm][*other];
            let awake = !self.vms[*other].paused && peer.awake_since <= contact;
            let has = peer.manifest_at.get(held).is_some_and(|at| *at <= contact);
            linked && awake && has && seen.connected_since[*other] <= contact
        };
        let list = running.membership.list();
        let members = (0..POOL).filter(|other| list.members.contains(&self.vms[*other].id));
        let reaches = members.filter(informs).count() > list.members.len() / 2;
        if seen.awake_since <= contact && (reads || reaches) {
            return Err(format!(
                "vm-{vm} accepts a key withdrawn at {withdrawn_at} us"
            ));
        }
        Ok(())
    }

    pub fn check_liveness(&mut self) -> Result<(), String> {
        self.now = CHAOS_MICROS + CALM_MICROS;
        let list = Version(self.lists.len() as u64);
        let manifest = Version(self.manifests.len() as u64);
        for vm in (0..POOL).filter(|vm| self.is_listed(*vm)) {
            let seen = &self.checks.seen[vm];
            if (seen.list, seen.manifest) != (list, manifest) {
                return Err(format!("vm-{vm} lacks list {list} or manifest {manifest}"));
            }
        }
        for key in 0..ORGANISATIONS.len() {
            let last_use = self.checks.excess[key].1;
            if self.owners(key).len() != 1 {
                return Err(format!("key {key} has no owner in a healthy fleet"));
            }
            if self.now - last_use > FLOW_MICROS {
                return Err(format!(
                    "organisation {key} gets no token in a healthy fleet"
                ));
            }
        }
        Ok(())
    }
}
