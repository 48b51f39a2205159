//! Finds parts of prompts that crash the engines which answer requests with them, and says which
//! requests to refuse because of them.
//!
//! Such a request ends whichever engine takes it ("query of death"), so circuits and retries only pass
//! it on. One VM sees few of the crashes, so VMs exchange what they saw. A part comes under quarantine
//! when engines ended several times, apart in time, under requests with it, and no request with it got
//! past its start since. Crashes that a quarantined part explains no longer count against the other
//! parts that were at the engine, and engines that end together count once: neither the neighbours
//! of such a part nor sound parts in an outage come under quarantine (`docs/platform.md`,
//! "Quarantine").

mod exchange;
mod verdict;

use std::num::NonZeroUsize;
use std::time::Duration;

use lru::LruCache;
use smallvec::SmallVec;

pub use exchange::{CrashEvidence, CrashReport, PassEvidence};
pub use verdict::{Ruling, Verdict, ruling};

use crate::units::{EndpointName, PartId, Time};

/// Settings of a [`Quarantine`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuarantineConfig {
    /// Number of crashes, apart in time, after which a part comes under quarantine.
    pub min_crashes: usize,
    /// The same where no engine ended under other requests meanwhile, and no request with the part was ever
    /// seen to get past its start.
    pub min_certain_crashes: usize,
    /// The same where more engines ended under other requests meanwhile.
    pub min_coincident_crashes: usize,
    /// The same where the crashes fit several parts equally well. All of them come under quarantine
    /// then.
    pub min_ambiguous_crashes: usize,
    /// Time between two crashes below which they count as one: engines that end together have a cause
    /// in common that is not a request.
    pub common_cause_span: Duration,
    /// Time between the ends of engines that end at the same moment, as when a rack loses power.
    pub simultaneous_span: Duration,
    /// Age at which a crash counts. By then other VMs have reported what else was at the engine, and
    /// which of the parts have got past their start since.
    pub settling_time: Duration,
    /// Time for which a crash counts against a part that is not under quarantine.
    pub evidence_ttl: Duration,
    /// Time from the last crash of a part until a request with it is tried again. It doubles each time
    /// that this crashes an engine.
    pub initial_hold: Duration,
    /// Upper bound of that time.
    pub max_hold: Duration,
    /// Time for which a single crash puts a part under quarantine again after it was released.
    pub probation: Duration,
}

impl Default for QuarantineConfig {
    fn default() -> Self {
        Self {
            min_crashes: 4,
            min_certain_crashes: 3,
            min_coincident_crashes: 5,
            min_ambiguous_crashes: 5,
            common_cause_span: Duration::from_millis(400),
            simultaneous_span: Duration::from_millis(150),
            settling_time: Duration::from_millis(500),
            evidence_ttl: Duration::from_secs(120),
            initial_hold: Duration::from_secs(60),
            max_hold: Duration::from_secs(600),
            probation: Duration::from_secs(900),
        }
    }
}

/// Maximum number of crashes that are kept; the oldest ones are dropped first.
const MAX_CRASHES: usize = 256;
/// Maximum number of parts that are kept for one crash.
const MAX_PARTS_PER_CRASH: usize = 64;
/// Number of parts of which it is known when a request with them last got past its start.
const MAX_PASSES: NonZeroUsize = NonZeroUsize::new(4_096).expect("the number is not 0");
/// Time within which ends of one engine that VMs report are the same one. Engines need longer than that
/// to start again.
const SAME_END_SPAN: Duration = Duration::from_secs(1);

/// Parts of prompts, mostly those of one request.
pub type PartList = SmallVec<[PartId; 8]>;

/// An engine that ended while requests were at their start there.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Crash {
    endpoint: EndpointName,
    at: Time,
    /// Shared parts of the requests that were at their start.
    parts: PartList,
    /// Number of messages to other VMs that are still to carry the crash.
    sends_left: u32,
}

/// The last time that a request with a part got past its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Pass {
    at: Time,
    /// Number of messages to other VMs that are still to carry the pass.
    sends_left: u32,
}

/// What one VM knows of crashes, its own observations and those of other VMs.
pub struct Quarantine {
    config: QuarantineConfig,
    /// Crashes in the order of their times.
    crashes: Vec<Crash>,
    passes: LruCache<PartId, Pass>,
    verdicts: Vec<Verdict>,
    /// Number of messages that carry each piece of news.
    sends_per_news: u32,
}

impl Default for Quarantine {
    fn default() -> Self {
        Self::new(QuarantineConfig::default())
    }
}

impl Quarantine {
    /// Creates a quarantine without evidence.
    pub fn new(config: QuarantineConfig) -> Self {
        Self {
            config,
            crashes: Vec::new(),
            passes: LruCache::new(MAX_PASSES),
            verdicts: Vec::new(),
            sends_per_news: 1,
        }
    }

    /// Records that an engine ended while a request with these shared parts was at its start there.
    pub fn on_crash(&mut self, at: Time, endpoint: &EndpointName, parts: &[PartId]) {
        let known = self
            .crashes
            .iter_mut()
            .find(|crash| crash.endpoint == *endpoint && crash.at.apart(at) < SAME_END_SPAN);
        let is_news = match known {
            Some(crash) => {
                // Messages are delayed, but never early: the oldest report is the most exact one.
                crash.at = crash.at.min(at);
                let is_news = add_parts(&mut crash.parts, parts);
                if is_news {
                    crash.sends_left = self.sends_per_news;
                }
                is_news
            }
            None => {
                let mut crash = Crash {
                    endpoint: endpoint.clone(),
                    at,
                    parts: PartList::new(),
                    sends_left: self.sends_per_news,
                };
                add_parts(&mut crash.parts, parts);
                self.crashes.push(crash);
                true
            }
        };
        self.crashes.sort_by_key(|crash| crash.at);
        if self.crashes.len() > MAX_CRASHES {
            self.drop_oldest();
        }
        if is_news {
            // Other VMs need to know which of the parts this VM has seen to be sound.
            for part in parts {
                if let Some(pass) = self.passes.peek_mut(part) {
                    pass.sends_left = self.sends_per_news;
                }
            }
        }
    }

    /// Records that a request with these shared parts got past its start. Returns whether that is news
    /// for other VMs.
    pub fn on_pass(&mut self, at: Time, parts: &[PartId]) -> bool {
        let mut is_news = false;
        for part in parts {
            let before = self.passes.get(part).map(|pass| pass.at);
            if before.is_some_and(|before| before >= at) {
                continue;
            }
            let clears = |crash: &Crash| {
                crash.at <= at
                    && before.is_none_or(|before| before < crash.at)
                    && crash.parts.contains(part)
            };
            let sends_left = match self.crashes.iter().any(clears) {
                true => self.sends_per_news,
                false => self.passes.peek(part).map_or(0, |pass| pass.sends_left),
            };
            is_news |= sends_left > 0;
            self.passes.put(*part, Pass { at, sends_left });
        }
        is_news
    }

    /// Returns the parts under quarantine, as of the last call of [`Quarantine::judge`].
    pub fn verdicts(&self) -> &[Verdict] {
        &self.verdicts
    }

    /// Drops evidence that has expired.
    fn expire(&mut self, now: Time) {
        let (config, verdicts) = (self.config, &self.verdicts);
        self.crashes.retain(|crash| {
            let is_recent = now.since(crash.at) < config.evidence_ttl;
            let mut current = verdicts.iter().filter(|verdict| now < verdict.ends_at);
            is_recent || current.any(|verdict| crash.parts.contains(&verdict.part))
        });
    }

    /// Drops the oldest crash that no verdict rests on. An outage of many engines must not release a part.
    fn drop_oldest(&mut self) {
        let verdicts = &self.verdicts;
        let is_evidence = |crash: &Crash| {
            let mut parts = verdicts.iter().map(|verdict| verdict.part);
            parts.any(|part| crash.parts.contains(&part))
        };
        let oldest = self.crashes.iter().position(|crash| !is_evidence(crash));
        self.crashes.remove(oldest.unwrap_or(0));
    }

    /// Returns when a request with a part last got past its start.
    fn passed_at(&self, part: PartId) -> Option<Time> {
        self.passes.peek(&part).map(|pass| pass.at)
    }
}

/// Adds parts to those of a crash. Returns whether any of them is new.
fn add_parts(known: &mut PartList, parts: &[PartId]) -> bool {
    let before = known.len();
    for part in parts {
        if known.len() < MAX_PARTS_PER_CRASH && !known.contains(part) {
            known.push(*part);
        }
    }
    known.len() > before
}
