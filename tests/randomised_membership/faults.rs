//! Faults of a schedule, and the end of all faults before the final checks.

use primrosewalk::decisions::membership::MemberList;
use primrosewalk::units::{Version, VmId};
use rand::RngExt;
use rand::seq::{IndexedRandom, SliceRandom};

use crate::world::{POOL, Platform, World};

impl World {
    pub fn inject_fault(&mut self) {
        let vm = self.random.random_range(0..POOL);
        match self.random.random_range(0..20) {
            0 | 1 => self.partition(),
            2 => self.cut_one_way(),
            3 => self.reconnect(),
            4 | 5 => {
                let micros = self.random.random_range(100_000..3_000_000);
                self.note(|| format!("vm-{vm} pauses for {micros} us"));
                self.pause(vm, micros);
            }
            6 | 7 => self.restart(vm),
            8 => self.kill(vm),
            9..=11 => self.change_list(),
            12 | 13 => self.publish_manifest(),
            14 => self.change_platform(vm),
            15 if self.random.random_bool(0.5) => self.stop_part_fetches(vm),
            15 => self.resign(vm),
            16 | 17 => self.replace_cut_off_vms(),
            18 => self.restart_cut_off_vms(),
            _ => self.restart_several(),
        }
    }

    fn partition(&mut self) {
        let groups: Vec<u8> = (0..POOL).map(|_| self.random.random_range(0..2)).collect();
        self.note(|| format!("partition into {groups:?}"));
        for from in 0..POOL {
            for to in 0..POOL {
                self.set_cut(from, to, groups[from] != groups[to]);
            }
        }
    }

    fn cut_one_way(&mut self) {
        let from = self.random.random_range(0..POOL);
        let to = self.random.random_range(0..POOL);
        self.note(|| format!("messages from vm-{from} to vm-{to} are lost"));
        self.set_cut(from, to, from != to);
    }

    fn reconnect(&mut self) {
        self.note(|| "partitions end".to_owned());
        for from in 0..POOL {
            (0..POOL).for_each(|to| self.set_cut(from, to, false));
        }
    }

    fn set_cut(&mut self, from: usize, to: usize, cut: bool) {
        if self.cut[from][to] && !cut {
            self.checks.on_connect(from, to, self.now);
        }
        self.cut[from][to] = cut;
    }

    fn kill(&mut self, vm: usize) {
        self.note(|| format!("vm-{vm} is killed"));
        self.vms[vm].running = None;
        self.checks.on_kill(vm);
    }

    /// Begins a planned stop. A later fault may kill or restart the VM; otherwise it keeps running.
    fn resign(&mut self, vm: usize) {
        if let Some(running) = &mut self.vms[vm].running {
            running.resigned = true;
            running.membership.resign();
            self.note(|| format!("vm-{vm} resigns"));
        }
    }

    fn restart(&mut self, vm: usize) {
        let was_running = self.vms[vm].running.is_some();
        let listed = self
            .lists
            .iter()
            .any(|list| list.members.contains(&self.vms[vm].id));
        if was_running || listed {
            self.kill(vm);
            self.note(|| format!("vm-{vm} starts"));
            self.start(vm);
        }
    }

    fn restart_several(&mut self) {
        let probability = self.random.random_range(0.2..1.0);
        for vm in 0..POOL {
            if self.vms[vm].running.is_some() && self.random.random_bool(probability) {
                self.restart(vm);
            }
        }
    }

    /// Publishes a list in which one VM or several VMs are added, removed or replaced.
    fn change_list(&mut self) {
        let latest = self.lists.last().expect("a schedule starts with a list");
        let mut members = latest.members.to_vec();
        let several = self.random.random_bool(0.3);
        let (mut adds, mut removes) = match self.random.random_range(0..3) {
            0 => (1, 0),
            1 => (0, 1),
            _ => (1, 1),
        };
        if several {
            adds *= self.random.random_range(1..4);
            removes *= self.random.random_range(1..4);
        }
        let outside = self.vms.iter().map(|vm| vm.id.clone());
        let mut outside: Vec<_> = outside.filter(|id| !members.contains(id)).collect();
        outside.shuffle(&mut self.random);
        members.shuffle(&mut self.random);
        members.truncate(members.len().saturating_sub(removes));
        members.extend(outside.into_iter().take(adds));
        self.publish_list(members);
    }

    fn publish_list(&mut self, members: Vec<VmId>) {
        if members.is_empty() || members.len() > 6 {
            return;
        }
        let version = Version(self.lists.len() as u64 + 1);
        self.note(|| format!("list {version}: {members:?}"));
        for vm in 0..POOL {
            if members.contains(&self.vms[vm].id) && self.vms[vm].running.is_none() {
                self.start(vm);
            }
        }
        let members = members.into_iter().collect();
        self.lists.push(MemberList { version, members });
    }

    fn publish_manifest(&mut self) {
        self.manifests.push(self.now);
        let version = self.manifests.len();
        self.note(|| format!("manifest {version} withdraws an API key"));
        (0..POOL).for_each(|vm| self.read_platform(vm));
    }

    fn change_platform(&mut self, vm: usize) {
        let stale = Platform::Stale {
            list: self.random.random_range(0..self.lists.len()),
            manifest: self.random.random_range(1..=self.manifests.len() as u64),
        };
        let states = [Platform::Fresh, Platform::Fresh, stale, Platform::Away];
        let state = *states
            .choose(&mut self.random)
            .expect("there are states to choose from");
        let everywhere = self.random.random_bool(0.2);
        let vms = if everywhere { 0..POOL } else { vm..vm + 1 };
        for vm in vms {
            self.set_platform(vm, state);
        }
    }

    fn set_platform(&mut self, vm: usize, state: Platform) {
        if self.vms[vm].platform != Platform::Fresh && state == Platform::Fresh {
            self.checks.on_platform_back(vm, self.now);
        }
        self.vms[vm].platform = state;
        self.read_platform(vm);
    }

    fn stop_part_fetches(&mut self, vm: usize) {
        self.note(|| format!("vm-{vm} cannot fetch manifests"));
        self.vms[vm].cannot_fetch_parts = true;
    }

    /// Picks VMs at random and cuts them off from the rest.
    fn cut_off(&mut self, probability: f64) -> Vec<usize> {
        let isolated: Vec<bool> = (0..POOL)
            .map(|_| self.random.random_bool(probability))
            .collect();
        for from in 0..POOL {
            for to in 0..POOL {
                self.set_cut(from, to, isolated[from] != isolated[to]);
            }
        }
        let vms: Vec<usize> = (0..POOL).filter(|vm| isolated[*vm]).collect();
        self.note(|| format!("cut off from the rest: {vms:?}"));
        vms
    }

    /// Publishes a list that replaces VMs which are cut off and do not see it, as when a data centre
    /// is unreachable and its VMs are replaced.
    fn replace_cut_off_vms(&mut self) {
        let isolated = self.cut_off(0.5);
        for vm in &isolated {
            self.set_platform(*vm, Platform::Away);
        }
        let rest = (0..POOL).filter(|vm| !isolated.contains(vm));
        let (mut remaining, new): (Vec<usize>, Vec<usize>) =
            rest.partition(|vm| self.is_listed(*vm) && self.has_recovered(*vm));
        // Without a VM that still has the state of the old list, this would be the case that
        // `docs/design.md`, 3.1 does not cover.
        if remaining.is_empty() {
            return;
        }
        remaining.extend(new);
        let ids = remaining.iter().map(|vm| self.vms[*vm].id.clone());
        let mut members: Vec<VmId> = ids.collect();
        members.truncate(self.random.random_range(1..=6));
        self.publish_list(members);
    }

    /// Cuts VMs off from the rest and restarts them with an old list from the platform.
    fn restart_cut_off_vms(&mut self) {
        let list = self
            .lists
            .len()
            .saturating_sub(self.random.random_range(1..4));
        let manifest = self.random.random_range(1..=self.manifests.len() as u64);
        let isolated = self.cut_off(0.4);
        let members = self.lists[list].members.clone();
        // If all VMs of the old list restarted, this would be the case that `docs/design.md`, 3.1
        // does not cover.
        let keeps_running = |vm: &VmId| {
            !isolated
                .iter()
                .any(|isolated| self.vms[*isolated].id == *vm)
        };
        if !members.iter().any(keeps_running) {
            return;
        }
        for vm in isolated {
            self.set_platform(vm, Platform::Stale { list, manifest });
            self.restart(vm);
        }
    }

    pub fn is_listed(&self, vm: usize) -> bool {
        let latest = self.lists.last();
        latest.is_some_and(|list| list.members.contains(&self.vms[vm].id))
    }

    fn has_recovered(&self, vm: usize) -> bool {
        let running = self.vms[vm].running.as_ref();
        running.is_some_and(|running| running.membership.is_recovered())
    }

    /// Ends all faults, except that one VM stays cut off if the others have a majority without it.
    /// VMs of old lists run too, since a new list alone does not mean that they are stopped for good.
    pub fn heal(&mut self) {
        self.note(|| "all faults end".to_owned());
        self.reconnect();
        (self.loss_probability, self.late_probability) = (0.0, 0.0);
        for vm in 0..POOL {
            self.set_platform(vm, Platform::Fresh);
            // A planned stop ends: the VM restarts without state.
            if self.vms[vm].running.as_ref().is_some_and(|it| it.resigned) {
                self.restart(vm);
            }
            let listed = |list: &MemberList| list.members.contains(&self.vms[vm].id);
            if self.lists.iter().any(listed) && self.vms[vm].running.is_none() {
                self.start(vm);
            }
        }
        let recovered = |vm: &usize| self.is_listed(*vm) && self.has_recovered(*vm);
        let members = (0..POOL).filter(|vm| self.is_listed(*vm)).count();
        let recovered: Vec<usize> = (0..POOL).filter(recovered).collect();
        if recovered.len() > members / 2 + 1 {
            let isolated = recovered[0];
            self.note(|| format!("vm-{isolated} stays cut off"));
            (0..POOL).filter(|vm| *vm != isolated).for_each(|vm| {
                (self.cut[isolated][vm], self.cut[vm][isolated]) = (true, true);
            });
        }
    }

    /// Stops the VMs that were removed from the newest list if that list is in force, as operators
    /// do, and ends the last faults.
    pub fn stop_removed_vms(&mut self) {
        self.vms
            .iter_mut()
            .for_each(|vm| vm.cannot_fetch_parts = false);
        let version = self.lists.last().map(|list| list.version);
        let in_force = (0..POOL).any(|vm| {
            let now = self.vms[vm].local_time(self.now);
            let running = self.vms[vm].running.as_ref().map(|it| &it.membership);
            let membership = running.filter(|it| Some(it.list_version()) == version);
            membership.is_some_and(|it| {
                Some(it.resolved_version()) == version && now < it.lease_until(now)
            })
        });
        for vm in (0..POOL)
            .filter(|vm| in_force && !self.is_listed(*vm))
            .collect::<Vec<_>>()
        {
            self.kill(vm);
        }
        self.reconnect();
    }
}
