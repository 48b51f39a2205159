//! Stored answers and refusals, limited in number and total size.

use std::collections::{BTreeSet, HashMap, VecDeque};

use crate::units::Time;

/// An answer or refusal, and when it expires.
#[derive(Debug)]
struct StoredAnswer<A> {
    answer: A,
    expires_at: Time,
    size_bytes: usize,
}

/// Answers by the counter of their id. At a limit the answers that were stored first are dropped.
#[derive(Debug)]
pub(super) struct Answers<A> {
    count_limit: usize,
    limit_bytes: usize,
    size_bytes: usize,
    stored: HashMap<u64, StoredAnswer<A>>,
    /// Counters by expiry time. Every id is valid for the same time, but requests end in another
    /// order than their ids were issued, so `by_age` is in another order.
    by_expiry: BTreeSet<(Time, u64)>,
    /// Counters in the order in which their answers were stored, the oldest first. Counters of
    /// answers that have already expired are skipped.
    by_age: VecDeque<u64>,
}

impl<A> Answers<A> {
    pub(super) fn new(count_limit: usize, limit_bytes: usize) -> Self {
        Self {
            count_limit,
            limit_bytes,
            size_bytes: 0,
            stored: HashMap::new(),
            by_expiry: BTreeSet::new(),
            by_age: VecDeque::new(),
        }
    }

    pub(super) fn get(&self, counter: u64) -> Option<&A> {
        self.stored.get(&counter).map(|stored| &stored.answer)
    }

    pub(super) fn insert(&mut self, counter: u64, expires_at: Time, answer: A, size_bytes: usize) {
        let answer = StoredAnswer {
            answer,
            expires_at,
            size_bytes,
        };
        self.remove(counter);
        self.size_bytes += size_bytes;
        self.stored.insert(counter, answer);
        self.by_expiry.insert((expires_at, counter));
        self.by_age.push_back(counter);
        while self.stored.len() > self.count_limit || self.size_bytes > self.limit_bytes {
            let Some(oldest) = self.by_age.pop_front() else {
                break;
            };
            self.remove(oldest);
        }
    }

    pub(super) fn expire(&mut self, now: Time) {
        while let Some((expires_at, counter)) = self.by_expiry.first().copied()
            && expires_at <= now
        {
            self.remove(counter);
        }
        while let Some(oldest) = self.by_age.front()
            && !self.stored.contains_key(oldest)
        {
            self.by_age.pop_front();
        }
        if self.by_age.len() > 2 * self.stored.len() + 64 {
            let stored = &self.stored;
            self.by_age.retain(|counter| stored.contains_key(counter));
        }
    }

    fn remove(&mut self, counter: u64) {
        if let Some(removed) = self.stored.remove(&counter) {
            self.size_bytes -= removed.size_bytes;
            self.by_expiry.remove(&(removed.expires_at, counter));
        }
    }

    pub(super) fn size_bytes(&self) -> usize {
        self.size_bytes
    }
}
