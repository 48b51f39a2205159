//! Kept answers and refusals, bounded in number and bytes.

use std::collections::{BTreeSet, HashMap, VecDeque};

use crate::units::Time;

#[derive(Debug)]
struct Kept<A> {
    answer: A,
    expires_at: Time,
    size_bytes: usize,
}

/// Answers by counter. Room is made by dropping the answers that were kept first.
#[derive(Debug)]
pub(super) struct Answers<A> {
    limit: usize,
    limit_bytes: usize,
    size_bytes: usize,
    kept: HashMap<u64, Kept<A>>,
    /// Every id lives equally long, but requests end in another order than they began.
    by_expiry: BTreeSet<(Time, u64)>,
    /// Oldest first. Entries of answers that expired are skipped when they are met.
    by_age: VecDeque<u64>,
}

impl<A> Answers<A> {
    pub(super) fn new(limit: usize, limit_bytes: usize) -> Self {
        Self {
            limit,
            limit_bytes,
            size_bytes: 0,
            kept: HashMap::new(),
            by_expiry: BTreeSet::new(),
            by_age: VecDeque::new(),
        }
    }

    pub(super) fn get(&self, counter: u64) -> Option<&A> {
        self.kept.get(&counter).map(|kept| &kept.answer)
    }

    pub(super) fn insert(&mut self, counter: u64, expires_at: Time, answer: A, size_bytes: usize) {
        let kept = Kept {
            answer,
            expires_at,
            size_bytes,
        };
        self.remove(counter);
        self.size_bytes += size_bytes;
        self.kept.insert(counter, kept);
        self.by_expiry.insert((expires_at, counter));
        self.by_age.push_back(counter);
        while self.kept.len() > self.limit || self.size_bytes > self.limit_bytes {
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
            && !self.kept.contains_key(oldest)
        {
            self.by_age.pop_front();
        }
        if self.by_age.len() > 2 * self.kept.len() + 64 {
            let kept = &self.kept;
            self.by_age.retain(|counter| kept.contains_key(counter));
        }
    }

    fn remove(&mut self, counter: u64) {
        if let Some(kept) = self.kept.remove(&counter) {
            self.size_bytes -= kept.size_bytes;
            self.by_expiry.remove(&(kept.expires_at, counter));
        }
    }

    pub(super) fn size_bytes(&self) -> usize {
        self.size_bytes
    }
}
