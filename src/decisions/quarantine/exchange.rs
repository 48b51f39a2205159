//! Exchange of evidence between VMs: what is news, and what a report of another VM adds.
//!
//! A piece of news is passed on a bounded number of times by each VM that learns it, which reaches all
//! VMs in a few rounds whatever their number. VMs that were away compare digests with another VM
//! and get everything if these differ. Times are sent as ages, since VMs have no clock in common.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use crate::decisions::quarantine::{PartList, Quarantine};
use crate::units::{EndpointName, PartId, Time};

/// A crash, as one VM tells it to another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashEvidence {
    /// The engine that ended.
    pub endpoint: EndpointName,
    /// Time since it ended.
    pub age: Duration,
    /// Shared parts of the requests that were at their start.
    pub parts: PartList,
}

/// The last pass of a part, as one VM tells it to another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PassEvidence {
    /// The part.
    pub part: PartId,
    /// Time since a request with it got past its start.
    pub age: Duration,
}

/// Evidence for one message.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CrashReport {
    /// Crashes of engines.
    pub crashes: Vec<CrashEvidence>,
    /// Passes of parts that were at crashes.
    pub passes: Vec<PassEvidence>,
}

impl CrashReport {
    /// Returns whether the report has nothing in it.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.passes.is_empty()
    }
}

/// Maximum number of crashes in a report and of parts of all of them, and maximum number of passes, so
/// that its datagram fits into a packet.
const MAX_REPORT_CRASHES: usize = 12;
const MAX_REPORT_PARTS: usize = 64;
const MAX_REPORT_PASSES: usize = 32;
/// Number of rounds in which news is passed on after it can have reached all VMs, against lost datagrams.
const SPARE_ROUNDS: u32 = 3;

impl Quarantine {
    /// Sets the number of VMs that news has to reach, and the number of messages that a VM sends in a
    /// round.
    pub fn set_audience(&mut self, vms: usize, messages_per_round: u32) {
        let rounds = usize::BITS - vms.leading_zeros() + SPARE_ROUNDS;
        self.sends_per_news = rounds * messages_per_round;
    }

    /// Returns whether there is news for other VMs.
    pub fn has_news(&self) -> bool {
        // Without crashes, no pass is news.
        !self.crashes.is_empty()
            && (self.crashes.iter().any(|crash| crash.sends_left > 0)
                || self.passes.iter().any(|(_, pass)| pass.sends_left > 0))
    }

    /// Returns news for `messages` messages with the same content.
    pub fn take_news(&mut self, now: Time, messages: u32) -> CrashReport {
        let mut report = CrashReport::default();
        let mut parts_left = MAX_REPORT_PARTS;
        // The newest crashes first: the older ones are known to more VMs.
        for crash in self.crashes.iter_mut().rev() {
            let fits = report.crashes.len() < MAX_REPORT_CRASHES && crash.parts.len() <= parts_left;
            if crash.sends_left == 0 || !fits {
                continue;
            }
            parts_left -= crash.parts.len();
            crash.sends_left = crash.sends_left.saturating_sub(messages);
            report.crashes.push(CrashEvidence {
                endpoint: crash.endpoint.clone(),
                age: now.since(crash.at),
                parts: crash.parts.clone(),
            });
        }
        let news = self
            .passes
            .iter_mut()
            .filter(|(_, pass)| pass.sends_left > 0);
        for (part, pass) in news.take(MAX_REPORT_PASSES) {
            pass.sends_left = pass.sends_left.saturating_sub(messages);
            report.passes.push(PassEvidence {
                part: *part,
                age: now.since(pass.at),
            });
        }
        report
    }

    /// Returns everything that is known, in reports of the size of a message.
    pub fn all_evidence(&self, now: Time) -> Vec<CrashReport> {
        let mut reports = vec![CrashReport::default()];
        let mut parts_left = MAX_REPORT_PARTS;
        for crash in &self.crashes {
            let is_full = |report: &CrashReport| report.crashes.len() >= MAX_REPORT_CRASHES;
            if reports.last().is_some_and(is_full) || crash.parts.len() > parts_left {
                reports.push(CrashReport::default());
                parts_left = MAX_REPORT_PARTS;
            }
            parts_left -= crash.parts.len();
            let evidence = CrashEvidence {
                endpoint: crash.endpoint.clone(),
                age: now.since(crash.at),
                parts: crash.parts.clone(),
            };
            if let Some(report) = reports.last_mut() {
                report.crashes.push(evidence);
            }
        }
        let passes = self.relevant_passes();
        let passes: Vec<PassEvidence> = passes
            .map(|(part, at)| PassEvidence {
                part,
                age: now.since(at),
            })
            .collect();
        reports.extend(passes.chunks(MAX_REPORT_PASSES).map(|passes| CrashReport {
            crashes: Vec::new(),
            passes: passes.to_vec(),
        }));
        reports.retain(|report| !report.is_empty());
        reports
    }

    /// Returns a digest of the crashes that are known. VMs with the same crashes have the same digest,
    /// in whichever order they learned them.
    pub fn digest(&self) -> u64 {
        let hashes = self.crashes.iter().map(|crash| {
            let mut hasher = DefaultHasher::new();
            crash.endpoint.as_str().hash(&mut hasher);
            let mut parts = crash.parts.clone();
            parts.sort();
            parts.hash(&mut hasher);
            hasher.finish()
        });
        hashes.fold(0, |digest, hash| digest ^ hash)
    }

    /// Takes over the evidence of another VM. Crashes come before passes, since a pass is news only if it
    /// clears a part of a crash.
    pub fn receive(&mut self, now: Time, report: &CrashReport) {
        let max_age = self.config.probation + self.config.max_hold;
        for crash in report.crashes.iter().filter(|crash| crash.age < max_age) {
            self.on_crash(now - crash.age, &crash.endpoint, &crash.parts);
        }
        for pass in report.passes.iter().filter(|pass| pass.age < max_age) {
            self.on_pass(now - pass.age, &[pass.part]);
        }
    }

    /// Returns the known passes of parts that were at crashes.
    fn relevant_passes(&self) -> impl Iterator<Item = (PartId, Time)> {
        let mut parts: Vec<PartId> = self
            .crashes
            .iter()
            .flat_map(|crash| crash.parts.iter().copied())
            .collect();
        parts.sort();
        parts.dedup();
        parts
            .into_iter()
            .filter_map(|part| Some((part, self.passed_at(part)?)))
    }
}
