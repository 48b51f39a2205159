//! Handling of messages and timers by the VMs, in place of the I/O code that surrounds the
//! decisions in the program.

use std::time::Duration;

use primrosewalk::decisions::quota::{QuotaConfig, Reservation};
use primrosewalk::units::{OrganisationName, Time, Version};
use rand::RngExt;

use crate::world::{AcquireRequest, Action, Body, World, allowance};

impl World {
    pub fn on_platform(&mut self, vm: usize, now: Time, list: usize, manifest: u64, sent_at: Time) {
        let list = self.lists[list].clone();
        let cannot_fetch_parts = self.vms[vm].cannot_fetch_parts;
        let running = self.running(vm);
        running.membership.install_list(now, list, []);
        if !cannot_fetch_parts {
            running.config.accept(Version(manifest));
        }
        running.config.confirm(sent_at, Version(manifest));
    }

    pub fn on_message(&mut self, vm: usize, now: Time, from: usize, body: Body) {
        let sender = self.vms[from].id.clone();
        let running = self.running(vm);
        match body {
            Body::Heartbeat(heartbeat, manifest, resigned) => {
                let answer = running.membership.on_heartbeat(now, &sender, &heartbeat);
                if resigned {
                    let incarnation = heartbeat.incarnation;
                    running.membership.on_resigned(now, &sender, incarnation);
                }
                let age = running.config.confirmed_at().map(|at| now.since(at));
                let newest = running.config.newest().0;
                self.send(vm, from, Body::Answer(answer, newest, age));
                self.on_versions(vm, now, from, heartbeat.list_version, manifest);
            }
            Body::Answer(answer, manifest, age) => {
                let sent_at = running.membership.heartbeat_sent_at(&sender, &answer);
                running.membership.on_acknowledgement(now, &sender, &answer);
                if let (Some(sent_at), Some(age)) = (sent_at, age) {
                    running.config.confirm(sent_at - age, Version(manifest));
                }
                self.on_versions(vm, now, from, answer.list_version, manifest);
            }
            Body::FetchList => {
                let list = running.membership.list().clone();
                self.send(vm, from, Body::List(list));
            }
            Body::List(list) => running.membership.install_list(now, list, []),
            Body::FetchManifest => {
                let newest = running.config.newest().0;
                self.send(vm, from, Body::Manifest(newest));
            }
            Body::Manifest(version) => {
                if !self.vms[vm].cannot_fetch_parts {
                    self.running(vm).config.accept(Version(version));
                }
            }
            Body::Acquire(request) => self.on_acquire(vm, now, request),
            Body::Granted(request, wait) => self.on_granted(vm, now, request, wait),
        }
    }

    fn on_versions(&mut self, vm: usize, now: Time, from: usize, list: Version, manifest: u64) {
        let running = self.running(vm);
        running.config.on_peer_version(now, Version(manifest));
        let wants_list = list > running.membership.list_version();
        if running.config.should_fetch(Version(manifest)) {
            self.send(vm, from, Body::FetchManifest);
        }
        if wants_list {
            self.send(vm, from, Body::FetchList);
        }
    }

    fn on_acquire(&mut self, vm: usize, now: Time, request: AcquireRequest) {
        let key = self.keys[request.organisation].clone();
        let name: OrganisationName = key.parse().expect("keys are valid organisation names");
        let running = self.running(vm);
        let Some(epoch) = running.membership.ownership_epoch(now, &key) else {
            return;
        };
        let (allowance, max_wait) = (allowance(request.organisation), Duration::from_secs(2));
        let reserved = running
            .quota
            .reserve(now, &name, allowance, epoch, max_wait);
        if let Reservation::DueAt(due) = reserved {
            let at = self.vms[vm].global_micros(due);
            let (epoch, wait) = (epoch.number, due.since(now));
            self.timer(
                vm,
                at,
                Action::Due {
                    request,
                    epoch,
                    wait,
                },
            );
        }
    }

    pub fn on_due(
        &mut self,
        vm: usize,
        now: Time,
        request: AcquireRequest,
        epoch: u64,
        wait: Duration,
    ) {
        let key = self.keys[request.organisation].clone();
        let current = self.running(vm).membership.ownership_epoch(now, &key);
        if current.is_some_and(|current| current.number == epoch) {
            self.note(|| {
                format!(
                    "vm-{vm} grants a credit to organisation {} in epoch {epoch}",
                    request.organisation
                )
            });
            self.send(vm, request.from, Body::Granted(request, wait));
        }
    }

    fn on_granted(&mut self, vm: usize, now: Time, request: AcquireRequest, wait: Duration) {
        let until = request.sent_at + wait + QuotaConfig::default().credit_life;
        // A duplicate of an answer brings no second credit.
        let is_first = self.checks.answered.insert((
            vm,
            request.incarnation,
            request.sent_at,
            request.organisation,
        ));
        if self.incarnation(vm) != Some(request.incarnation) || now >= until || !is_first {
            return;
        }
        let last_micros = self.vms[vm].global_micros(until) - 1;
        let at = match self.random.random_range(0..3) {
            0 => self.now,
            1 => last_micros.max(self.now),
            _ => self
                .random
                .random_range(self.now..=last_micros.max(self.now)),
        };
        let organisation = request.organisation;
        self.timer(
            vm,
            at,
            Action::Use {
                organisation,
                until,
            },
        );
    }
}
