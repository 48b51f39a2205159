//! At-most-once execution of requests with an id that this VM issued.
//!
//! `docs/design.md`, 3.4 gives the states and why the VM that issued an id owns it. One bit for
//! each issued id says whether its request began or was refused. Records and answers can therefore
//! be dropped at any time, and a request still never runs twice.

mod answers;
mod used_ids;

use std::collections::HashMap;
use std::time::Duration;

use sha2::{Digest, Sha256};

use crate::units::{Incarnation, RequestId, Time, VmId};
use answers::Answers;
use used_ids::UsedIds;

/// Limits of the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AtMostOnceConfig {
    /// Time after its issue for which an id is valid and its record is kept.
    pub id_life: Duration,
    /// Maximum size of one answer that is stored for later copies of its request.
    pub answer_limit_bytes: usize,
    /// Maximum size of all stored answers together; above it the oldest are dropped.
    pub total_answers_limit_bytes: usize,
    /// Maximum number of running requests, and also of stored answers. At the limit no new request
    /// begins, and above it the oldest answer is dropped.
    pub record_limit: usize,
    /// Maximum number of issued ids of which the table stores whether they were used, at one bit
    /// each. Older ids count as expired.
    pub id_limit: usize,
}

impl Default for AtMostOnceConfig {
    fn default() -> Self {
        Self {
            id_life: Duration::from_secs(600),
            answer_limit_bytes: 64 * 1024,
            total_answers_limit_bytes: 32 * 1024 * 1024,
            record_limit: 200_000,
            id_limit: 8_000_000,
        }
    }
}

/// How to handle a request that carries an id.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Begin<A> {
    /// Run the request now; its id is marked as running.
    Run,
    /// A copy of the request is running; this copy must not run.
    AlreadyRunning,
    /// The request ended with this stored answer or final refusal.
    Ended(A),
    /// The id must not run: it was used and no answer is stored (too large, dropped or abandoned),
    /// or it has expired.
    Forgotten,
    /// This other VM issued the id; forward the request to it.
    Foreign(VmId),
    /// An earlier incarnation of this VM issued the id; the outcome is unknown.
    EarlierIncarnation,
    /// The id names this incarnation as its issuer, which did not issue it.
    Forged,
    /// Too many requests are running. This one has not run and never will under this id.
    Full,
}

/// Outcome of [`AtMostOnceTable::refuse`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Refuse<A> {
    /// The request has not run and never will under this id, so "not run" may be reported.
    Final,
    /// The request was not refused, since its id is in the given state. This refusal is no reason
    /// to report "not run".
    NotRefused(Begin<A>),
}

/// States of the request ids that one incarnation of a VM issued. `A` is a finished answer or a
/// final refusal.
#[derive(Debug)]
pub struct AtMostOnceTable<A> {
    config: AtMostOnceConfig,
    vm: VmId,
    incarnation: Incarnation,
    secret: [u8; 32],
    /// Latest time passed to any call. Threads read the clock before they wait for the lock, so a
    /// call can pass an earlier time than the call before it.
    latest_time: Time,
    used_ids: UsedIds,
    /// Issue times of running ids, by counter.
    running: HashMap<u64, Time>,
    answers: Answers<A>,
}

impl<A: Clone> AtMostOnceTable<A> {
    /// Creates an empty table. `secret` must be unpredictable, so that nobody can forge ids.
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
            latest_time: Time::ZERO,
            used_ids: UsedIds::new(config.id_limit),
            running: HashMap::new(),
            answers: Answers::new(config.record_limit, config.total_answers_limit_bytes),
        }
    }

    /// Issues an id. Only this incarnation of this VM may run a request with it.
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

    /// Returns `now` or the latest time of an earlier call, whichever is later.
    fn advance(&mut self, now: Time) -> Time {
        self.latest_time = self.latest_time.max(now);
        self.latest_time
    }

    /// Returns the message authentication code of an id, by which this VM recognises its own ids.
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

    /// Decides how to handle a request that carries `id`, and marks the id as running if the
    /// request is to run.
    pub fn begin(&mut self, now: Time, id: &RequestId) -> Begin<A> {
        if let Some(blocking) = self.blocking_state(now, id) {
            return blocking;
        }
        // The id is marked as used first, so that no later step can lead to a second run.
        let newly_used = self.used_ids.mark_used(id.counter);
        assert!(newly_used, "request id {id} would run twice");
        if self.running.len() >= self.config.record_limit {
            return Begin::Full;
        }
        self.running.insert(id.counter, id.issued_at);
        Begin::Run
    }

    /// Refuses for good a request that has not begun. The refusal is stored for later copies,
    /// within the limits of the table.
    pub fn refuse(
        &mut self,
        now: Time,
        id: &RequestId,
        refusal: A,
        size_bytes: usize,
    ) -> Refuse<A> {
        if let Some(blocking) = self.blocking_state(now, id) {
            return Refuse::NotRefused(blocking);
        }
        self.used_ids.mark_used(id.counter);
        self.store_answer(id.counter, id.issued_at, refusal, size_bytes);
        Refuse::Final
    }

    /// Returns the state that keeps a request with `id` from running, or `None` if it may run.
    fn blocking_state(&mut self, now: Time, id: &RequestId) -> Option<Begin<A>> {
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

    /// Records the end of a running request with its answer or a final refusal as not run.
    /// `size_bytes` is the size of the answer. An id that is not running keeps its first outcome.
    pub fn end(&mut self, id: &RequestId, answer: A, size_bytes: usize) {
        if let Some(issued_at) = self.running.remove(&id.counter) {
            self.store_answer(id.counter, issued_at, answer, size_bytes);
        }
    }

    /// Records that a running request ended without an answer, for example because its task failed.
    /// Later copies are told that the outcome is unknown.
    pub fn abandon(&mut self, id: &RequestId) {
        self.running.remove(&id.counter);
    }

    /// Stores an answer unless it is too large.
    fn store_answer(&mut self, counter: u64, issued_at: Time, answer: A, size_bytes: usize) {
        if size_bytes <= self.config.answer_limit_bytes {
            let expires_at = issued_at + self.config.id_life;
            self.answers.insert(counter, expires_at, answer, size_bytes);
        }
    }

    /// Drops the answers of ids that have expired. Running requests remain recorded.
    pub fn expire(&mut self, now: Time) {
        let now = self.advance(now);
        self.answers.expire(now);
    }

    /// Returns the number of running requests.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the size of all stored answers together, in bytes.
    pub fn stored_bytes(&self) -> usize {
        self.answers.size_bytes()
    }
}
