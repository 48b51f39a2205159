//! What goes wrong in a schedule, and what the world outside the VMs does.

use std::mem::take;

use primrosewalk::blackboard::EndpointLoad;
use primrosewalk::units::VmId;
use rand::RngExt;

use super::{ENDPOINTS, FAULTS_END_MS, Message, World, new_vm};

impl World<'_> {
    pub fn inject_faults(&mut self) {
        let vm = self.random.random_range(0..self.vms.len());
        if self.one_in(300) {
            self.vms[vm].paused_until_ms = self.now_ms + self.random.random_range(200..2_500);
        }
        if self.one_in(500) {
            self.restart(vm);
        }
        if self.one_in(300) {
            let side = self.random.random_range(1..self.vms.len());
            self.split = Some((self.now_ms + self.random.random_range(300..3_000), side));
        }
        self.split = self.split.filter(|(until_ms, _)| self.now_ms < *until_ms);
        if self.one_in(250) {
            let site = self.random.random_range(0..ENDPOINTS);
            let cold_ms = self.random.random_range(500..3_000);
            self.sites[site].cold_until_ms = (self.now_ms + cold_ms).min(FAULTS_END_MS);
            let now_ms = self.now_ms;
            self.trace
                .note(|| format!("{now_ms} endpoint {site} is cold for {cold_ms} ms"));
        }
        if self.one_in(100) {
            self.vms[vm].view = self.random.random_range(0..self.vms.len());
        }
    }

    fn restart(&mut self, vm: usize) {
        if vm == self.allocator {
            self.epoch.2 = self.epoch.2.min(self.now_ms);
        }
        for work in take(&mut self.vms[vm].work) {
            self.sites[work.endpoint].running -= u32::from(!work.ended);
        }
        let incarnation = self.vms[vm].incarnation + 1;
        let now_ms = self.now_ms;
        self.trace.note(|| format!("{now_ms} VM {vm} restarts"));
        let ids: Vec<VmId> = self.vms.iter().map(|vm| vm.id.clone()).collect();
        let offset_ms = self.vms[vm].offset_ms;
        self.vms[vm] = new_vm(&ids, vm, incarnation, offset_ms, &self.catalogue);
        self.vms[vm].view = self.allocator;
    }

    pub fn move_epoch(&mut self) {
        let longest = !self.quiet() && self.one_in(400);
        let (number, since_ms, until_ms) = self.epoch;
        if longest && self.now_ms > since_ms {
            self.epoch.2 = until_ms.min(self.now_ms);
        }
        if self.now_ms >= self.epoch.2 {
            if self.one_in(2) {
                self.vms[self.allocator].allocator.retain(|_| false);
            }
            self.allocator = self.random.random_range(0..self.vms.len());
            let gap_ms = self.random.random_range(0..300);
            self.epoch = (number + 1, self.now_ms + gap_ms, u64::MAX);
            let (now_ms, allocator) = (self.now_ms, self.allocator);
            self.trace
                .note(|| format!("{now_ms} VM {allocator} becomes allocator"));
            for site in &mut self.sites {
                site.signs_ms.clear();
            }
        }
        for vm in 0..self.vms.len() {
            if self.vms[vm].view != self.allocator && self.one_in(50) {
                self.vms[vm].view = self.allocator;
            }
        }
    }

    pub fn poll_load(&mut self) {
        let vm = self.allocator;
        if self.epoch_of(vm).is_none() {
            return;
        }
        let now = self.local(vm);
        for site in 0..ENDPOINTS {
            let lag = self.random.random_range(0..self.sites[site].history.len());
            let (running, cold) = self.sites[site].history[lag];
            let load = EndpointLoad {
                read_at: now,
                cold,
                running,
                ..EndpointLoad::default()
            };
            let place = self.sites[site].name.clone();
            let is_new = self.vms[vm].allocator.on_load(now, &place, &load);
            if cold {
                self.sites[site].signs_ms.push(self.now_ms);
            }
            for peer in (0..self.vms.len()).filter(|peer| is_new && *peer != vm) {
                self.send(vm, peer, Message::Notice(site));
            }
        }
    }
}
