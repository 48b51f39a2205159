//! Capacity of an endpoint after a cold start.

use std::collections::VecDeque;
use std::time::Duration;

use crate::decisions::slots::SlotLimits;
use crate::units::Time;

/// The capacity may double in this time.
const DOUBLING: Duration = Duration::from_secs(1);

/// Grows from the cold to the warm capacity: by one for each completed answer, and at most
/// to twice its value a second before.
#[derive(Debug)]
pub(super) struct Ramp {
    start: u32,
    completed: u32,
    /// Capacity by time of change, back to the newest value that is a second old.
    history: VecDeque<(Time, u32)>,
}

impl Ramp {
    pub(super) fn new(now: Time, start: u32) -> Self {
        Self {
            start,
            completed: 0,
            history: VecDeque::from([(now, start)]),
        }
    }

    pub(super) fn on_completed(&mut self, count: u32) {
        self.completed = self.completed.saturating_add(count);
    }

    pub(super) fn current(&self) -> u32 {
        self.history.back().map_or(self.start, |entry| entry.1)
    }

    pub(super) fn capacity(&mut self, now: Time, limits: SlotLimits) -> u32 {
        while self.history.len() > 1 && self.history[1].0 + DOUBLING <= now {
            self.history.pop_front();
        }
        let earlier = self.history.front().map_or(self.start, |entry| entry.1);
        let current = self.current();
        let grown = self.start.max(limits.cold).saturating_add(self.completed);
        let next = grown
            .min(earlier.saturating_mul(2))
            .max(current)
            .max(limits.cold)
            .min(limits.warm);
        if next > current {
            self.history.push_back((now, next));
        }
        next
    }
}
