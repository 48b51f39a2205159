//! Start-time fair queueing (SFQ) among organisations that wait for slots.
//!
//! With fair queueing, a burst of one organisation delays the others by no more than their own
//! share (`docs/design.md`, 3.5). Each organisation has a single start tag, the virtual start time
//! of its next item, so an item that leaves the queue without being served costs its organisation
//! nothing.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::units::OrganisationName;

/// Lower bound of an item's weight, which keeps start tags finite.
const MIN_WEIGHT: f64 = 1e-6;

/// Waiting items and start tag of one organisation.
#[derive(Debug)]
struct Flow<T> {
    /// Virtual start time of the next item, as the bit pattern of an `f64`. The bit patterns of
    /// non-negative floats sort in the same order as the floats.
    start_bits: u64,
    /// Tie-breaker among equal start times: the sequence number of the item that last arrived while
    /// the flow was empty.
    arrival: u64,
    /// Waiting items with their weights, by sequence number and thus in order of arrival.
    items: BTreeMap<u64, (f64, T)>,
}

/// Queue of waiting items, which are served in start-time fair order.
#[derive(Debug)]
pub struct FairQueue<T> {
    /// Start time of the newest served item.
    virtual_time: f64,
    /// Sequence number of the newest item.
    last_sequence: u64,
    /// Number of waiting items of all organisations.
    len: usize,
    flows: HashMap<OrganisationName, Flow<T>>,
    /// Organisations with waiting items, by start time and arrival.
    order: BTreeSet<(u64, u64, OrganisationName)>,
    /// Organisations of the waiting items, by sequence number.
    organisations: HashMap<u64, OrganisationName>,
}

impl<T> Default for FairQueue<T> {
    fn default() -> Self {
        Self {
            virtual_time: 0.0,
            last_sequence: 0,
            len: 0,
            flows: HashMap::new(),
            order: BTreeSet::new(),
            organisations: HashMap::new(),
        }
    }
}

/// Identifies a waiting item, for [`FairQueue::remove`]. Holds its sequence number.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ticket(u64);

impl<T> FairQueue<T> {
    /// Adds an item of an organisation. `weight` must be above zero.
    pub fn push(&mut self, organisation: &OrganisationName, weight: f64, item: T) -> Ticket {
        self.last_sequence += 1;
        let now_bits = self.virtual_time.to_bits();
        let flow = self.flows.entry(organisation.clone()).or_insert(Flow {
            start_bits: now_bits,
            arrival: self.last_sequence,
            items: BTreeMap::new(),
        });
        if flow.items.is_empty() {
            flow.start_bits = flow.start_bits.max(now_bits);
            flow.arrival = self.last_sequence;
            self.order
                .insert((flow.start_bits, flow.arrival, organisation.clone()));
        }
        flow.items
            .insert(self.last_sequence, (weight.max(MIN_WEIGHT), item));
        self.organisations
            .insert(self.last_sequence, organisation.clone());
        self.len += 1;
        Ticket(self.last_sequence)
    }

    /// Removes and returns the first item that `accept` accepts.
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
        let item = remove_from_flow(&mut self.order, &organisation, flow, ticket, |weight| {
            start + 1.0 / weight
        })?;
        self.clean_up(ticket);
        Some(item)
    }

    /// Removes an item whose request no longer waits. Returns nothing if it has already left the
    /// queue.
    pub fn remove(&mut self, ticket: Ticket) -> Option<T> {
        let organisation = self.organisations.get(&ticket.0)?.clone();
        let flow = self.flows.get_mut(&organisation)?;
        let start = f64::from_bits(flow.start_bits);
        let item = remove_from_flow(&mut self.order, &organisation, flow, ticket.0, |_| start)?;
        self.clean_up(ticket.0);
        Some(item)
    }

    /// Cleans up after an item that has left the queue. Flows that are empty and whose start time
    /// has passed are dropped now and then, so that memory use stays in proportion to the waiting
    /// items.
    fn clean_up(&mut self, ticket: u64) {
        self.organisations.remove(&ticket);
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

    /// Returns the number of waiting items.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether no item waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }
}

/// Removes an item from its flow and moves the flow to its next start time in `order`.
fn remove_from_flow<T>(
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
