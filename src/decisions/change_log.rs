//! Recent changes of the platform's store, in order, for VMs that learn of them from this one.
//!
//! A reader that has reached a revision gets every later change or is told that the log no longer has
//! them all; a gap would hide the removal of an endpoint (`docs/platform.md`, "Endpoints that leave"). The log holds
//! changes of one era of the store, since a revision of another era says nothing about what its reader has.

use std::collections::VecDeque;
use std::sync::Arc;

use crate::units::{StoreEra, StorePosition, Time};

/// Largest number of changes that the log keeps.
const MAX_CHANGES: usize = 2_000;
/// Largest size of the changes that the log keeps. One of them may be a whole configuration.
const MAX_BYTES: usize = 4 * 1024 * 1024;

/// A change of an item, as the store reported it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoggedChange<T> {
    /// Revision of the change.
    pub revision: u64,
    /// Size of the change.
    pub bytes: usize,
    /// When a VM read it from the store.
    pub read_at: Time,
    /// The changed item.
    pub item: T,
}

/// All changes between two revisions.
#[derive(Debug, Clone)]
pub struct ChangeLog<T> {
    era: Option<StoreEra>,
    /// Revision after which the log has all changes.
    first_revision: u64,
    /// Revision up to which the log has all changes.
    last_revision: u64,
    changes: VecDeque<Arc<LoggedChange<T>>>,
    bytes: usize,
}

impl<T> Default for ChangeLog<T> {
    fn default() -> Self {
        Self {
            era: None,
            first_revision: 0,
            last_revision: 0,
            changes: VecDeque::new(),
            bytes: 0,
        }
    }
}

impl<T> ChangeLog<T> {
    /// Returns the revision up to which the log has all changes.
    pub fn revision(&self) -> u64 {
        self.last_revision
    }

    /// Returns the position up to which the log has all changes of its era.
    pub fn position(&self) -> StorePosition {
        StorePosition {
            era: self.era,
            revision: self.last_revision,
        }
    }

    /// Starts again at a position, because changes before it are unknown.
    pub fn reset(&mut self, position: impl Into<StorePosition>) {
        let StorePosition { era, revision } = position.into();
        *self = Self {
            era,
            first_revision: revision,
            last_revision: revision,
            ..Self::default()
        };
    }

    /// Adds all changes after the position `after` up to `revision` of the same era. Changes that the log has
    /// already are ignored; if it lacks some before `after`, or has those of another era, it starts again.
    pub fn extend(
        &mut self,
        after: impl Into<StorePosition>,
        revision: u64,
        changes: impl IntoIterator<Item = LoggedChange<T>>,
    ) {
        let after = after.into();
        if after.era != self.era || after.revision > self.last_revision {
            self.reset(after);
        }
        let known_revision = self.last_revision;
        let is_new = |change: &LoggedChange<T>| change.revision > known_revision;
        for change in changes.into_iter().filter(is_new) {
            self.bytes += change.bytes;
            self.changes.push_back(Arc::new(change));
        }
        self.last_revision = known_revision.max(revision);
        while self.changes.len() > MAX_CHANGES || self.bytes > MAX_BYTES {
            let Some(dropped) = self.changes.pop_front() else {
                break;
            };
            self.bytes -= dropped.bytes;
            self.first_revision = dropped.revision;
        }
    }

    /// Returns all changes after the position `after`, or `None` if the log does not have them all.
    pub fn since(
        &self,
        after: impl Into<StorePosition>,
    ) -> Option<impl Iterator<Item = &Arc<LoggedChange<T>>>> {
        let StorePosition { era, revision } = after.into();
        let is_later = move |change: &&Arc<LoggedChange<T>>| change.revision > revision;
        let has_all = era == self.era && revision >= self.first_revision;
        has_all.then(|| self.changes.iter().filter(is_later))
    }
}
