//! Weighs the evidence: which parts of prompts crash engines, and for how long they are refused.

use std::collections::BTreeMap;
use std::time::Duration;

use smallvec::SmallVec;

use crate::decisions::quarantine::{Crash, Quarantine, QuarantineConfig};
use crate::units::{EndpointName, PartId, Time};

/// A part of prompts that crashes engines.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Verdict {
    /// The part.
    pub part: PartId,
    /// Number of crashes under requests with the part since one last got past its start.
    pub crashes: usize,
    /// Time of the first of these crashes.
    pub first_crash_at: Time,
    /// Time of the last one.
    pub last_crash_at: Time,
    /// Time until which requests with the part are refused.
    pub refused_until: Time,
    /// Time until which a single crash puts the part under quarantine again.
    pub ends_at: Time,
}

/// What to do with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ruling {
    /// Nothing speaks against it.
    Serve,
    /// A part of it was under quarantine. One request at a time may show whether the part still crashes
    /// engines.
    Try(PartId),
    /// A part of it is under quarantine for that much longer.
    Refuse(PartId, Duration),
}

/// Returns what to do with a request that has these shared parts.
pub fn ruling(verdicts: &[Verdict], now: Time, parts: impl IntoIterator<Item = PartId>) -> Ruling {
    if verdicts.is_empty() {
        return Ruling::Serve;
    }
    let mut result = Ruling::Serve;
    for part in parts {
        let Some(verdict) = verdicts.iter().find(|verdict| verdict.part == part) else {
            continue;
        };
        if now < verdict.refused_until {
            return Ruling::Refuse(part, verdict.refused_until.since(now));
        }
        if now < verdict.ends_at {
            result = Ruling::Try(part);
        }
    }
    result
}

/// The crashes that count against one part, in the order of their times.
type Hits<'a> = Vec<&'a Crash>;

impl Quarantine {
    /// Weighs the evidence again. Returns whether the verdicts have changed.
    pub fn judge(&mut self, now: Time) -> bool {
        self.expire(now);
        let verdicts = self.weigh(now);
        let has_changed = verdicts != self.verdicts;
        self.verdicts = verdicts;
        has_changed
    }

    /// Returns whether there are crashes that do not count yet, so that a verdict may follow soon.
    pub fn has_unsettled(&self, now: Time) -> bool {
        // The period in which verdicts are made adds to the age at which a crash counts.
        let settled = self.config.settling_time * 2;
        self.crashes
            .iter()
            .any(|crash| now.since(crash.at) < settled)
    }

    /// Returns the parts that crash engines. The part that explains most crashes comes first; what it
    /// explains does not count against the others.
    fn weigh(&self, now: Time) -> Vec<Verdict> {
        let mut unexplained: Vec<&Crash> = self.crashes.iter().collect();
        let mut verdicts = Vec::new();
        let known = self.verdicts.iter().map(|verdict| verdict.part);
        let mut culprits: SmallVec<[PartId; 4]> = known.collect();
        loop {
            let hits = self.hits(&unexplained);
            let convicted = culprits
                .iter()
                .filter_map(|part| Some((*part, hits.get(part)?)));
            verdicts.extend(convicted.map(|(part, hits)| verdict(&self.config, part, hits)));
            unexplained.retain(|crash| !crash.parts.iter().any(|part| culprits.contains(part)));
            culprits = self.likeliest_culprits(now, &self.hits(&unexplained), &unexplained);
            if culprits.is_empty() {
                break;
            }
        }
        verdicts.retain(|verdict| now < verdict.ends_at);
        verdicts.sort_by_key(|verdict| verdict.part);
        verdicts
    }

    /// Returns the crashes that count against each part: those since it last got past its start. Where
    /// engines ended together and the part was at fewer than half of them, the cause is another one.
    fn hits<'a>(&self, crashes: &[&'a Crash]) -> BTreeMap<PartId, Hits<'a>> {
        let mut by_part: BTreeMap<PartId, Hits<'a>> = BTreeMap::new();
        for crash in crashes {
            for part in &crash.parts {
                if self.passed_at(*part).is_none_or(|passed| passed < crash.at) {
                    by_part.entry(*part).or_default().push(crash);
                }
            }
        }
        // Most parts were at few crashes, so the costly check is made for the others only.
        by_part.retain(|part, hits| {
            if hits.len() < self.config.min_certain_crashes && !self.has_verdict(*part) {
                return false;
            }
            hits.retain(|crash| self.may_cause(*part, crash, crashes));
            !hits.is_empty()
        });
        by_part
    }

    /// Returns whether a part was at half of the engines that ended at the time of a crash.
    fn may_cause(&self, part: PartId, crash: &Crash, crashes: &[&Crash]) -> bool {
        let span = self.config.simultaneous_span;
        let from = crashes.partition_point(|other| other.at + span < crash.at);
        let (mut ended, mut with_part) = (0, 0);
        for other in crashes[from..]
            .iter()
            .take_while(|other| other.at <= crash.at + span)
        {
            ended += 1;
            with_part += usize::from(other.parts.contains(&part));
        }
        with_part * 2 >= ended
    }

    fn has_verdict(&self, part: PartId) -> bool {
        self.verdicts.iter().any(|verdict| verdict.part == part)
    }

    /// Returns the part that most crashes speak against. If these fit other parts equally well, returns
    /// all of them once there are enough crashes, and none before.
    fn likeliest_culprits(
        &self,
        now: Time,
        hits: &BTreeMap<PartId, Hits<'_>>,
        crashes: &[&Crash],
    ) -> SmallVec<[PartId; 4]> {
        // A part that was seen to be sound before the crashes is the less likely cause.
        let rank = |part: PartId, hits: &Hits<'_>| {
            let never_passed = self.passed_at(part).is_none();
            (self.separate_crashes(now, hits), hits.len(), never_passed)
        };
        let suspects = hits
            .iter()
            .filter(|(part, hits)| self.suffices(now, **part, hits, crashes));
        let ranked = suspects.map(|(part, hits)| (rank(*part, hits), *part));
        let ranked: Vec<_> = ranked.collect();
        let Some((best, likeliest)) = ranked.iter().max() else {
            return SmallVec::new();
        };
        let explained = hits.get(likeliest).map_or(&[][..], Vec::as_slice);
        let is_equal = |part: &PartId| explained.iter().any(|crash| crash.parts.contains(part));
        let culprits = ranked
            .iter()
            .filter(|(rank, part)| rank == best && is_equal(part));
        let culprits: SmallVec<[PartId; 4]> = culprits.map(|(_, part)| *part).collect();
        if culprits.len() > 1 && best.0 < self.config.min_ambiguous_crashes {
            return SmallVec::new();
        }
        culprits
    }

    /// Returns whether crashes suffice to put a part under quarantine. Where most engines end under other
    /// requests meanwhile, a sound part may be at several of them by chance, so more are needed; fewer
    /// suffice if all engines end under it and no request with it was ever seen to be sound.
    fn suffices(&self, now: Time, part: PartId, hits: &Hits<'_>, crashes: &[&Crash]) -> bool {
        let (Some(first), Some(last)) = (hits.first(), hits.last()) else {
            return false;
        };
        let meanwhile = crashes
            .iter()
            .filter(|crash| crash.at >= first.at && crash.at <= last.at)
            .count();
        let is_certain = hits.len() == meanwhile && self.passed_at(part).is_none();
        let needed = match hits.len() * 2 >= meanwhile {
            true if is_certain => self.config.min_certain_crashes,
            true => self.config.min_crashes,
            false => self.config.min_coincident_crashes,
        };
        let engines = hits.iter().map(|crash| &crash.endpoint);
        self.separate_crashes(now, hits) >= needed && has_two(engines)
    }

    /// Counts crashes that have settled; those that are close together count once.
    fn separate_crashes(&self, now: Time, hits: &Hits<'_>) -> usize {
        let mut count = 0;
        let mut counted_at: Option<Time> = None;
        for crash in hits {
            let is_settled = now.since(crash.at) >= self.config.settling_time;
            let is_separate =
                counted_at.is_none_or(|at| crash.at.since(at) >= self.config.common_cause_span);
            if is_settled && is_separate {
                count += 1;
                counted_at = Some(crash.at);
            }
        }
        count
    }
}

/// Returns whether there are two different engines.
fn has_two<'a>(engines: impl IntoIterator<Item = &'a EndpointName>) -> bool {
    let mut engines = engines.into_iter();
    let Some(first) = engines.next() else {
        return false;
    };
    engines.any(|engine| engine != first)
}

/// Returns the verdict on a part that these crashes speak against. It depends on the crashes alone, so
/// that VMs with the same evidence agree.
fn verdict(config: &QuarantineConfig, part: PartId, hits: &Hits<'_>) -> Verdict {
    let mut hold = config.initial_hold;
    let mut times: SmallVec<[Time; 16]> = hits.iter().map(|crash| crash.at).collect();
    times.sort();
    let first_crash_at = times.first().copied().unwrap_or(Time::ZERO);
    let mut last_crash_at = first_crash_at;
    for at in times {
        if at.since(last_crash_at) >= hold {
            hold = (hold * 2).min(config.max_hold);
        }
        last_crash_at = at;
    }
    let refused_until = last_crash_at + hold;
    Verdict {
        part,
        crashes: hits.len(),
        first_crash_at,
        last_crash_at,
        refused_until,
        ends_at: refused_until + config.probation,
    }
}
