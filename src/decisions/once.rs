//! The at-most-once table of request ids that this VM issued.
//!
//! `docs/design.md`, 3.4 gives the states and why the owner is the issuer.

use std::collections::HashMap;
use std::time::Duration;

use sha2::{Digest, Sha256};

use crate::units::{Incarnation, RequestId, Time, VmId};

/// Bounds of the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OnceConfig {
    /// How long an id is valid after its issue, and its record is kept.
    pub id_life: Duration,
    /// Largest answer that is kept for a caller that asks again.
    pub answer_limit_bytes: usize,
    /// Records kept at once; beyond it no new request begins.
    pub record_limit: usize,
}

impl Default for OnceConfig {
    fn default() -> Self {
        Self {
            id_life: Duration::from_secs(600),
            answer_limit_bytes: 64 * 1024,
            record_limit: 200_000,
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
    /// An earlier run of this VM issued the id; the outcome is unknown.
    EarlierIncarnation,
    /// No VM issued this id.
    Forged,
    /// The table is full; the request has not run.
    Full,
}

#[derive(Debug)]
enum Record<A> {
    Running,
    Ended(A),
    EndedWithoutAnswer,
}

/// Ids of one incarnation of one VM. `A` is a finished answer or a final refusal.
#[derive(Debug)]
pub struct OnceTable<A> {
    config: OnceConfig,
    vm: VmId,
    incarnation: Incarnation,
    secret: [u8; 32],
    counter: u64,
    records: HashMap<RequestId, Record<A>>,
}

impl<A: Clone> OnceTable<A> {
    /// Starts empty. `secret` must be unpredictable; it makes ids unforgeable.
    pub fn new(config: OnceConfig, vm: VmId, incarnation: Incarnation, secret: [u8; 32]) -> Self {
        Self {
            config,
            vm,
            incarnation,
            secret,
            counter: 0,
            records: HashMap::new(),
        }
    }

    /// Issues an id that only this incarnation will run.
    pub fn issue(&mut self, now: Time) -> RequestId {
        self.counter += 1;
        RequestId {
            vm: self.vm.clone(),
            incarnation: self.incarnation,
            issued_at: now,
            counter: self.counter,
            mac: self.mac(now, self.counter),
        }
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
        if id.vm != self.vm {
            return Begin::Foreign(id.vm.clone());
        }
        if id.incarnation != self.incarnation {
            return Begin::EarlierIncarnation;
        }
        if id.mac != self.mac(id.issued_at, id.counter) {
            return Begin::Forged;
        }
        match self.records.get(id) {
            Some(Record::Running) => return Begin::AlreadyRunning,
            Some(Record::Ended(answer)) => return Begin::Ended(answer.clone()),
            Some(Record::EndedWithoutAnswer) => return Begin::Forgotten,
            None => {}
        }
        if now.since(id.issued_at) >= self.config.id_life {
            return Begin::Forgotten;
        }
        if self.records.len() >= self.config.record_limit {
            return Begin::Full;
        }
        self.records.insert(id.clone(), Record::Running);
        Begin::Run
    }

    /// Notes the end of a request. `size_bytes` is the answer's size.
    pub fn end(&mut self, id: &RequestId, answer: A, size_bytes: usize) {
        let record = if size_bytes <= self.config.answer_limit_bytes {
            Record::Ended(answer)
        } else {
            Record::EndedWithoutAnswer
        };
        self.records.insert(id.clone(), record);
    }

    /// Drops records of ids that have expired. Running ones stay.
    pub fn expire(&mut self, now: Time) {
        let life = self.config.id_life;
        self.records.retain(|id, record| {
            matches!(record, Record::Running) || now.since(id.issued_at) < life
        });
    }

    /// Returns how many requests run now.
    pub fn running(&self) -> usize {
        let records = self.records.values();
        records
            .filter(|record| matches!(record, Record::Running))
            .count()
    }
}
