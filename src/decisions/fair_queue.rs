//! Start-time fair queueing among organisations that wait for slots.
//!
//! One organisation's burst then delays the others by no more than their own share
//! (`docs/design.md`, 3.5).

use std::collections::{BTreeMap, HashMap};

use crate::units::OrganisationName;

/// Items that wait, in start-time fair order.
#[derive(Debug)]
pub struct FairQueue<T> {
    virtual_time: f64,
    sequence: u64,
    finish_by_organisation: HashMap<OrganisationName, f64>,
    items: BTreeMap<(u64, u64), T>,
}

impl<T> Default for FairQueue<T> {
    fn default() -> Self {
        Self {
            virtual_time: 0.0,
            sequence: 0,
            finish_by_organisation: HashMap::new(),
            items: BTreeMap::new(),
        }
    }
}

/// Names a waiting item, for [`FairQueue::remove`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ticket(u64, u64);

impl<T> FairQueue<T> {
    /// Adds an item of an organisation with a weight above zero.
    pub fn push(&mut self, organisation: &OrganisationName, weight: f64, item: T) -> Ticket {
        let finish = self.finish_by_organisation.get(organisation).copied();
        let start = finish.unwrap_or(0.0).max(self.virtual_time);
        let finish = start + 1.0 / weight;
        self.finish_by_organisation
            .insert(organisation.clone(), finish);
        self.sequence += 1;
        // The bit pattern of a non-negative float orders as the float does.
        let ticket = Ticket(start.to_bits(), self.sequence);
        self.items.insert((ticket.0, ticket.1), item);
        ticket
    }

    /// Takes the first item that `accept` lets through.
    pub fn pop(&mut self, mut accept: impl FnMut(&T) -> bool) -> Option<T> {
        let found = self.items.iter().find(|(_, item)| accept(item));
        let key = *found?.0;
        self.virtual_time = self.virtual_time.max(f64::from_bits(key.0));
        let item = self.items.remove(&key);
        if self.items.is_empty() {
            self.finish_by_organisation.clear();
            self.virtual_time = 0.0;
        }
        item
    }

    /// Takes out an item whose request no longer waits.
    pub fn remove(&mut self, ticket: Ticket) -> Option<T> {
        self.items.remove(&(ticket.0, ticket.1))
    }

    /// Returns how many items wait.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Returns whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }
}
