//! Faults of a schedule, and the return to health at its end.

use primrosewalk::decisions::membership::MemberList;
use primrosewalk::units::Version;
use rand::RngExt;
use rand::seq::{IndexedRandom, SliceRandom};

use crate::world::{POOL, Platform, World};

impl World {
    pub fn inject_fault(&mut self) {
        let vm = self.random.random_range(0..POOL);
        match self.random.random_range(0..16) {
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
            12 => self.publish_manifest(),
            13 | 14 => self.change_platform(vm),
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

    fn restart(&mut self, vm: usize) {
        let ran = self.vms[vm].running.is_some();
        let listed = self
            .lists
            .iter()
            .any(|list| list.members.contains(&self.vms[vm].id));
        if ran || listed {
            self.kill(vm);
            self.note(|| format!("vm-{vm} starts"));
            self.start(vm);
        }
    }

    fn restart_several(&mut self) {
        let share = self.random.random_range(0.2..1.0);
        for vm in 0..POOL {
            if self.vms[vm].running.is_some() && self.random.random_bool(share) {
                self.restart(vm);
            }
        }
    }

    /// Publishes a list with one VM or several added, removed or replaced.
    fn change_list(&mut self) {
        let latest = self.lists.last().expect("a schedule starts with a list");
        let version = Version(latest.version.0 + 1);
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
        if members.is_empty() || members.len() > 6 {
            return;
        }
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
        self.note(|| format!("manifest {version} withdraws a key"));
    }

    fn change_platform(&mut self, vm: usize) {
        let stale = Platform::Stale {
            list: self.random.random_range(0..self.lists.len()),
            manifest: self.random.random_range(1..=self.manifests.len() as u64),
        };
        let views = [Platform::Fresh, Platform::Fresh, stale, Platform::Away];
        let view = *views.choose(&mut self.random).expect("there are views");
        let everywhere = self.random.random_bool(0.2);
        let vms = if everywhere { 0..POOL } else { vm..vm + 1 };
        for vm in vms {
            self.set_platform(vm, view);
        }
    }

    fn set_platform(&mut self, vm: usize, view: Platform) {
        if self.vms[vm].platform != Platform::Fresh && view == Platform::Fresh {
            self.checks.on_platform_back(vm, self.now);
        }
        self.vms[vm].platform = view;
    }

    /// Ends all faults. VMs of old lists run too, since a VM list alone does not say that
    /// they are stopped for good.
    pub fn heal(&mut self) {
        self.note(|| "all faults end".to_owned());
        self.reconnect();
        (self.loss, self.slow) = (0.0, 0.0);
        for vm in 0..POOL {
            self.set_platform(vm, Platform::Fresh);
            let listed = self
                .lists
                .iter()
                .any(|list| list.members.contains(&self.vms[vm].id));
            if listed && self.vms[vm].running.is_none() {
                self.start(vm);
            }
        }
    }
}
