//! Gradual increase of an endpoint's capacity after a cold start.

use std::collections::VecDeque;
use std::time::Duration;

use crate::decisions::slots::SlotLimits;
use crate::units::Time;

/// Minimum time in which the capacity may double.
const MIN_DOUBLING_TIME: Duration = Duration::from_secs(1);

/// Capacity that grows from the cold to the warm limit: by one for each attempt whose answer was
/// complete, and at most to twice its value [`MIN_DOUBLING_TIME`] earlier.
#[derive(Debug)]
pub(super) struct Ramp {
    /// Capacity when the ramp began: the cold limit, the capacity that an earlier allocator had
    /// reached, or zero if the cold limit was not known yet.
    initial_capacity: u32,
    /// Number of attempts since the ramp began whose answers were complete.
    completed: u32,
    /// Capacity by time of change, back to the newest value that is at least
    /// [`MIN_DOUBLING_TIME`] old.
    history: VecDeque<(Time, u32)>,
}

impl Ramp {
    pub(super) fn new(now: Time, initial_capacity: u32) -> Self {
        Self {
            initial_capacity,
            completed: 0,
            history: VecDeque::from([(now, initial_capacity)]),
        }
    }

    /// Counts attempts whose answers were complete.
    pub(super) fn on_completed(&mut self, count: u32) {
        self.completed = self.completed.saturating_add(count);
    }

    /// Returns the capacity that the ramp has reached. A warm limit that was lowered later does
    /// not reduce it.
    pub(super) fn current(&self) -> u32 {
        self.history
            .back()
            .map_or(self.initial_capacity, |entry| entry.1)
    }

    /// Updates the capacity to `now` and returns it.
    pub(super) fn capacity(&mut self, now: Time, limits: SlotLimits) -> u32 {
        while self.history.len() > 1 && self.history[1].0 + MIN_DOUBLING_TIME <= now {
            self.history.pop_front();
        }
        let earlier = self
            .history
            .front()
            .map_or(self.initial_capacity, |entry| entry.1);
        let current = self.current();
        let grown = self
            .initial_capacity
            .max(limits.cold)
            .saturating_add(self.completed);
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
