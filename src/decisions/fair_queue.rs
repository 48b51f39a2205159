//! Start-time fair queueing among organisations that wait for slots.
//!
//! One organisation's burst then delays the others by no more than their own share
//! (`docs/design.md`, 3.5). Each organisation has one start tag, that of its next item. An
//! item that leaves without being served therefore costs its organisation nothing.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::units::OrganisationName;

/// Lowest weight, so that tags stay finite.
const MIN_WEIGHT: f64 = 1e-6;

#[derive(Debug)]
struct Flow<T> {
    /// Virtual start time of the next item. The bit pattern of a non-negative float orders as
    /// the float does.
    start_bits: u64,
    /// Order among equal start times: that of the arrival at an empty flow.
    arrival: u64,
    /// Waiting items with their weights, in order of arrival.
    items: BTreeMap<u64, (f64, T)>,
}

/// Items that wait, in start-time fair order.
#[derive(Debug)]
pub struct FairQueue<T> {
    virtual_time: f64,
    sequence: u64,
    len: usize,
    flows: HashMap<OrganisationName, Flow<T>>,
    /// Organisations with waiting items, by start time.
    order: BTreeSet<(u64, u64, OrganisationName)>,
    owners: HashMap<u64, OrganisationName>,
}

impl<T> Default for FairQueue<T> {
    fn default() -> Self {
        Self {
            virtual_time: 0.0,
            sequence: 0,
            len: 0,
            flows: HashMap::new(),
            order: BTreeSet::new(),
            owners: HashMap::new(),
        }
    }
}

/// Names a waiting item, for [`FairQueue::remove`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ticket(u64);

impl<T> FairQueue<T> {
    /// Adds an item of an organisation with a weight above zero.
    pub fn push(&mut self, organisation: &OrganisationName, weight: f64, item: T) -> Ticket {
        self.sequence += 1;
        let now_bits = self.virtual_time.to_bits();
        let flow = self.flows.entry(organisation.clone()).or_insert(Flow {
            start_bits: now_bits,
            arrival: self.sequence,
            items: BTreeMap::new(),
        });
        if flow.items.is_empty() {
            flow.start_bits = flow.start_bits.max(now_bits);
            flow.arrival = self.sequence;
            self.order
                .insert((flow.start_bits, flow.arrival, organisation.clone()));
        }
        flow.items
            .insert(self.sequence, (weight.max(MIN_WEIGHT), item));
        self.owners.insert(self.sequence, organisation.clone());
        self.len += 1;
        Ticket(self.sequence)
    }

    /// Takes the first item that `accept` lets through.
    pub fn pop(&mut self, mut accept: impl FnMut(&T) -> bool) -> Option<T> {
        let flows = &self.flows;
        let (organisation, ticket) = self.order.iter().find_map(|(_, _, organisation)| {
            let mut items = flows.get(organisation)?.items.iter();
            let (ticket, _) = items.find(|(_, (_, item))| accept(item))?;
            Some((organisation.clone(), *ticket))
        })?;
        let flow = self.flows.get_mut(&organisation)?;
        let start = f64::from_bits(flow.start_bits);
        self.virtual_time = self.virtual_time.max(start);
        let item = take(&mut self.order, &organisation, flow, ticket, |weight| {
            start + 1.0 / weight
        })?;
        self.forget(ticket);
        Some(item)
    }

    /// Takes out an item whose request no longer waits.
    pub fn remove(&mut self, ticket: Ticket) -> Option<T> {
        let organisation = self.owners.get(&ticket.0)?.clone();
        let flow = self.flows.get_mut(&organisation)?;
        let start = f64::from_bits(flow.start_bits);
        let item = take(&mut self.order, &organisation, flow, ticket.0, |_| start)?;
        self.forget(ticket.0);
        Some(item)
    }

    /// Drops what only concerns the past, so that memory follows the items that wait.
    fn forget(&mut self, ticket: u64) {
        self.owners.remove(&ticket);
        self.len -= 1;
        if self.len == 0 {
            self.flows.clear();
            self.virtual_time = 0.0;
        } else if self.flows.len() > 2 * self.order.len() + 16 {
            let now_bits = self.virtual_time.to_bits();
            self.flows
                .retain(|_, flow| !flow.items.is_empty() || flow.start_bits > now_bits);
        }
    }

    /// Returns how many items wait.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }
}

/// Takes an item out of its flow and puts the flow at its next start time.
fn take<T>(
    order: &mut BTreeSet<(u64, u64, OrganisationName)>,
    organisation: &OrganisationName,
    flow: &mut Flow<T>,
    ticket: u64,
    next_start: impl FnOnce(f64) -> f64,
) -> Option<T> {
    let (weight, item) = flow.items.remove(&ticket)?;
    order.remove(&(flow.start_bits, flow.arrival, organisation.clone()));
    flow.start_bits = next_start(weight).to_bits();
    if !flow.items.is_empty() {
        order.insert((flow.start_bits, flow.arrival, organisation.clone()));
    }
    Some(item)
}
