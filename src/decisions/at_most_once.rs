//! The at-most-once table of request ids that this VM issued.
//!
//! `docs/design.md`, 3.4 gives the states and why the owner is the issuer. One bit per
//! issued id says whether it began or was refused. Records and answers can therefore be
//! dropped at any time without a second run.

mod answers;
mod used_ids;

use std::collections::HashMap;
use std::time::Duration;

use sha2::{Digest, Sha256};

use crate::units::{Incarnation, RequestId, Time, VmId};
use answers::Answers;
use used_ids::UsedIds;

/// Bounds of the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AtMostOnceConfig {
    /// How long an id is valid after its issue, and its record is kept.
    pub id_life: Duration,
    /// Largest answer that is kept for a caller that asks again.
    pub answer_limit_bytes: usize,
    /// All kept answers together; the oldest go first.
    pub answers_limit_bytes: usize,
    /// Requests that run and answers that are kept, each; beyond it no new request begins
    /// and the oldest answer goes.
    pub record_limit: usize,
    /// Issued ids that are remembered, at a bit each; an older one counts as expired.
    pub id_limit: usize,
}

impl Default for AtMostOnceConfig {
    fn default() -> Self {
        Self {
            id_life: Duration::from_secs(600),
            answer_limit_bytes: 64 * 1024,
            answers_limit_bytes: 32 * 1024 * 1024,
            record_limit: 200_000,
            id_limit: 8_000_000,
        }
    }
}

/// What to do with a request that carries an id.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Begin<A> {
    /// Run it now; the id is marked as running.
    Run,
    /// A copy runs; this one gets no answer of its own.
    AlreadyRunning,
    /// It ended; this is the kept answer or final refusal.
    Ended(A),
    /// It ended, but the answer was too large to keep or its record has expired.
    Forgotten,
    /// Another VM issued the id; forward the request there.
    Foreign(VmId),
    /// An earlier incarnation of this VM issued the id; the outcome is unknown.
    EarlierIncarnation,
    /// No VM issued this id.
    Forged,
    /// Too many requests run; this one has not run and never will under this id.
    Full,
}

/// Outcome of [`AtMostOnceTable::refuse`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Refuse<A> {
    /// The id has not run and never will; "not run" is true.
    Final,
    /// "Not run" must not be said on account of this refusal; the state is as given.
    Known(Begin<A>),
}

/// Ids of one incarnation of one VM. `A` is a finished answer or a final refusal.
#[derive(Debug)]
pub struct AtMostOnceTable<A> {
    config: AtMostOnceConfig,
    vm: VmId,
    incarnation: Incarnation,
    secret: [u8; 32],
    /// The latest time seen. Threads read the clock before they wait for the lock, so a call
    /// can bring an earlier time than the one before it.
    latest: Time,
    used_ids: UsedIds,
    /// Issue times of running ids, by counter.
    running: HashMap<u64, Time>,
    answers: Answers<A>,
}

impl<A: Clone> AtMostOnceTable<A> {
    /// Starts empty. `secret` must be unpredictable; it makes ids unforgeable.
    pub fn new(
        config: AtMostOnceConfig,
        vm: VmId,
        incarnation: Incarnation,
        secret: [u8; 32],
    ) -> Self {
        Self {
            config,
            vm,
            incarnation,
            secret,
            latest: Time::ZERO,
            used_ids: UsedIds::new(config.id_limit),
            running: HashMap::new(),
            answers: Answers::new(config.record_limit, config.answers_limit_bytes),
        }
    }

    /// Issues an id that only this incarnation will run.
    pub fn issue(&mut self, now: Time) -> RequestId {
        let issued_at = self.advance(now);
        let counter = self.used_ids.issue();
        RequestId {
            vm: self.vm.clone(),
            incarnation: self.incarnation,
            issued_at,
            counter,
            mac: self.mac(issued_at, counter),
        }
    }

    fn advance(&mut self, now: Time) -> Time {
        self.latest = self.latest.max(now);
        self.latest
    }

    fn mac(&self, issued_at: Time, counter: u64) -> u64 {
        let mut hasher = Sha256::new();
        hasher.update(self.secret);
        hasher.update(issued_at.micros.to_be_bytes());
        hasher.update(counter.to_be_bytes());
        let digest = hasher.finalize();
        let mut bytes = [0; 8];
        bytes.copy_from_slice(&digest[..8]);
        u64::from_be_bytes(bytes)
    }

    /// Decides what to do with a request that carries `id`, and marks it as running if it
    /// is to run.
    pub fn begin(&mut self, now: Time, id: &RequestId) -> Begin<A> {
        if let Some(known) = self.known(now, id) {
            return known;
        }
        // The mark comes first, so that no later step can lead to a second run.
        let newly_used = self.used_ids.mark(id.counter);
        assert!(newly_used, "request id {id} would run twice");
        if self.running.len() >= self.config.record_limit {
            return Begin::Full;
        }
        self.running.insert(id.counter, id.issued_at);
        Begin::Run
    }

    /// Refuses an id that has not begun, finally. The refusal is kept for later copies as far
    /// as there is room.
    pub fn refuse(
        &mut self,
        now: Time,
        id: &RequestId,
        refusal: A,
        size_bytes: usize,
    ) -> Refuse<A> {
        if let Some(known) = self.known(now, id) {
            return Refuse::Known(known);
        }
        self.used_ids.mark(id.counter);
        self.keep(id.counter, id.issued_at, refusal, size_bytes);
        Refuse::Final
    }

    /// Returns the state of an id that cannot begin, and nothing for one that can.
    fn known(&mut self, now: Time, id: &RequestId) -> Option<Begin<A>> {
        if id.vm != self.vm {
            return Some(Begin::Foreign(id.vm.clone()));
        }
        if id.incarnation != self.incarnation {
            return Some(Begin::EarlierIncarnation);
        }
        if id.mac != self.mac(id.issued_at, id.counter) {
            return Some(Begin::Forged);
        }
        if self.running.contains_key(&id.counter) {
            return Some(Begin::AlreadyRunning);
        }
        if let Some(answer) = self.answers.get(id.counter) {
            return Some(Begin::Ended(answer.clone()));
        }
        let expired = self.advance(now).since(id.issued_at) >= self.config.id_life;
        let used = self.used_ids.contains(id.counter);
        (expired || used).then_some(Begin::Forgotten)
    }

    /// Notes the end of a request: its answer, or a final refusal as not run. `size_bytes` is
    /// the answer's size. An id that does not run keeps its first outcome.
    pub fn end(&mut self, id: &RequestId, answer: A, size_bytes: usize) {
        if let Some(issued_at) = self.running.remove(&id.counter) {
            self.keep(id.counter, issued_at, answer, size_bytes);
        }
    }

    /// Notes that a running request ended without an answer to keep, such as a task that
    /// failed. Its outcome is unknown to later copies.
    pub fn abandon(&mut self, id: &RequestId) {
        self.running.remove(&id.counter);
    }

    fn keep(&mut self, counter: u64, issued_at: Time, answer: A, size_bytes: usize) {
        if size_bytes <= self.config.answer_limit_bytes {
            let expires_at = issued_at + self.config.id_life;
            self.answers.insert(counter, expires_at, answer, size_bytes);
        }
    }

    /// Drops records of ids that have expired. Running ones stay.
    pub fn expire(&mut self, now: Time) {
        let now = self.advance(now);
        self.answers.expire(now);
    }

    /// Returns how many requests run now.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns how many bytes of answers are kept.
    pub fn kept_bytes(&self) -> usize {
        self.answers.size_bytes()
    }
}
