//! Faults of a schedule, changes of the allocator, and the load reports of endpoints.

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
            let second_side = self.random.random_range(1..self.vms.len());
            self.partition = Some((
                self.now_ms + self.random.random_range(300..3_000),
                second_side,
            ));
        }
        self.partition = self
            .partition
            .filter(|(until_ms, _)| self.now_ms < *until_ms);
        if self.one_in(250) {
            let endpoint = self.random.random_range(0..ENDPOINTS);
            let cold_ms = self.random.random_range(500..3_000);
            self.endpoints[endpoint].cold_until_ms = (self.now_ms + cold_ms).min(FAULTS_END_MS);
            let now_ms = self.now_ms;
            self.trace
                .note(|| format!("{now_ms} endpoint {endpoint} is cold for {cold_ms} ms"));
        }
        if self.one_in(100) {
            self.vms[vm].believed_allocator = self.random.random_range(0..self.vms.len());
        }
    }

    fn restart(&mut self, vm: usize) {
        if vm == self.allocator {
            self.epoch.2 = self.epoch.2.min(self.now_ms);
        }
        for work in take(&mut self.vms[vm].work) {
            self.endpoints[work.endpoint].running -= u32::from(!work.ended);
        }
        let incarnation = self.vms[vm].incarnation + 1;
        let now_ms = self.now_ms;
        self.trace.note(|| format!("{now_ms} VM {vm} restarts"));
        let ids: Vec<VmId> = self.vms.iter().map(|vm| vm.id.clone()).collect();
        let offset_ms = self.vms[vm].offset_ms;
        self.vms[vm] = new_vm(&ids, vm, incarnation, offset_ms, &self.catalogue);
        self.vms[vm].believed_allocator = self.allocator;
    }

    pub fn move_epoch(&mut self) {
        let ends_early = !self.faults_ended() && self.one_in(400);
        let (number, since_ms, until_ms) = self.epoch;
        if ends_early && self.now_ms > since_ms {
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
            for endpoint in &mut self.endpoints {
                endpoint.cold_signs_ms.clear();
            }
        }
        for vm in 0..self.vms.len() {
            if self.vms[vm].believed_allocator != self.allocator && self.one_in(50) {
                self.vms[vm].believed_allocator = self.allocator;
            }
        }
    }

    pub fn poll_load(&mut self) {
        let vm = self.allocator;
        if self.epoch_of(vm).is_none() {
            return;
        }
        let now = self.local(vm);
        for endpoint in 0..ENDPOINTS {
            let lag = self
                .random
                .random_range(0..self.endpoints[endpoint].history.len());
            let (running, cold) = self.endpoints[endpoint].history[lag];
            let load = EndpointLoad {
                read_at: now,
                cold,
                running,
                ..EndpointLoad::default()
            };
            let name = self.endpoints[endpoint].name.clone();
            let is_new = self.vms[vm].allocator.on_load(now, &name, &load);
            if cold {
                self.endpoints[endpoint].cold_signs_ms.push(self.now_ms);
            }
            for peer in (0..self.vms.len()).filter(|peer| is_new && *peer != vm) {
                self.send(vm, peer, Message::ColdNotice(endpoint));
            }
        }
    }
}
