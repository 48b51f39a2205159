//! How many connections a listener keeps open and how much memory it holds for them, and who gives way.
//!
//! A VM whose callers send much and slowly must neither run out of memory nor turn ordinary callers away. So
//! there is one budget for all connections, of which large holders get only a part, and whoever has been slow
//! for some time gives way when room is needed (`docs/design/callers-memory.md`).

use std::collections::HashMap;
use std::time::Duration;

use smallvec::SmallVec;

use crate::units::Time;

/// Time for which a connection may be in a phase before it may have to give way. Ordinary callers send a head
/// or a body, and read an answer, in far less.
const GIVE_WAY_AFTER: Duration = Duration::from_millis(1_000);
/// A connection that holds at most this much is small: an ordinary request with its answer, and the connection
/// itself.
const SMALL_BYTES: usize = 128 * 1024;
/// The part of the budget that only small holders use is one by this.
const SMALL_PARTS: usize = 4;

/// Bounds of a listener.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerBounds {
    /// Maximum number of bytes that are held for all connections.
    pub max_bytes: usize,
    /// Maximum number of open connections.
    pub max_connections: usize,
    /// What a connection costs by itself.
    pub connection_bytes: usize,
}

/// A connection of a caller, by a number that is never used again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ConnectionNumber(pub u64);

/// What a connection does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// It waits for a request.
    Idle,
    /// The head of a request comes.
    Head,
    /// The body of a request comes.
    Body,
    /// A whole request is served.
    Serving,
    /// An answer waits until the caller reads.
    Unread,
    /// Its last answer was written, and the caller has not closed it yet.
    Closing,
}

/// Which bound is reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exhausted {
    /// The number of connections.
    Connections,
    /// The memory of all connections.
    Memory,
}

/// Connections that have to give way, each with what it does.
pub type GivingWay = SmallVec<[(ConnectionNumber, Phase); 4]>;

#[derive(Debug)]
struct Holder {
    bytes: usize,
    phase: Phase,
    since: Time,
    gives_way: bool,
}

impl Holder {
    /// Returns whether the connection may have to give way.
    fn is_slow(&self, now: Time) -> bool {
        match self.phase {
            _ if self.gives_way => false,
            Phase::Serving => false,
            Phase::Closing => true,
            Phase::Idle | Phase::Head | Phase::Body | Phase::Unread => {
                now.since(self.since) >= GIVE_WAY_AFTER
            }
        }
    }
}

/// What a listener holds for its connections.
#[derive(Debug)]
pub struct CallerMemory {
    bounds: CallerBounds,
    held_bytes: usize,
    /// What the connections that were told to give way still hold.
    leaving_bytes: usize,
    leaving_connections: usize,
    holders: HashMap<ConnectionNumber, Holder>,
    next_number: u64,
}

impl CallerMemory {
    /// Creates the state without connections.
    pub fn new(bounds: CallerBounds) -> Self {
        Self {
            bounds,
            held_bytes: 0,
            leaving_bytes: 0,
            leaving_connections: 0,
            holders: HashMap::new(),
            next_number: 0,
        }
    }

    /// Returns how many bytes are held.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    /// Returns whether more than half of the memory is held, so that it should be used sparingly.
    pub fn is_scarce(&self) -> bool {
        self.held_bytes > self.bounds.max_bytes / 2
    }

    /// Admits a new connection. The result also names the connections that have to give way; if the new one
    /// is refused, it would find room once they have.
    pub fn connect(&mut self, now: Time) -> (Result<ConnectionNumber, Exhausted>, GivingWay) {
        let mut giving_way = GivingWay::new();
        let free_bytes = self.bounds.max_bytes.saturating_sub(self.held_bytes);
        let exhausted = if self.holders.len() >= self.bounds.max_connections {
            Some(Exhausted::Connections)
        } else if free_bytes < self.bounds.connection_bytes {
            Some(Exhausted::Memory)
        } else {
            None
        };
        if let Some(exhausted) = exhausted {
            self.make_room(now, self.bounds.connection_bytes, None, &mut giving_way);
            return (Err(exhausted), giving_way);
        }
        let number = ConnectionNumber(self.next_number);
        self.next_number += 1;
        let holder = Holder {
            bytes: self.bounds.connection_bytes,
            phase: Phase::Idle,
            since: now,
            gives_way: false,
        };
        self.held_bytes += holder.bytes;
        self.holders.insert(number, holder);
        // One is asked to leave before the last place is taken, so that the next caller finds one.
        if self.holders.len() >= self.bounds.max_connections {
            self.make_room(now, 0, Some(number), &mut giving_way);
        }
        (Ok(number), giving_way)
    }

    /// Forgets a connection that has ended. What it still holds counts until it is released.
    pub fn disconnect(&mut self, number: ConnectionNumber) {
        let Some(holder) = self.holders.remove(&number) else {
            return;
        };
        self.held_bytes -= self.bounds.connection_bytes.min(holder.bytes);
        if holder.gives_way {
            self.leaving_bytes = self.leaving_bytes.saturating_sub(holder.bytes);
            self.leaving_connections = self.leaving_connections.saturating_sub(1);
        }
    }

    /// Records that a connection begins something else.
    pub fn enter(&mut self, now: Time, number: ConnectionNumber, phase: Phase) {
        let Some(holder) = self.holders.get_mut(&number) else {
            return;
        };
        if holder.phase == phase {
            return;
        }
        (holder.phase, holder.since) = (phase, now);
        if std::mem::take(&mut holder.gives_way) {
            self.leaving_bytes = self.leaving_bytes.saturating_sub(holder.bytes);
            self.leaving_connections = self.leaving_connections.saturating_sub(1);
        }
    }

    /// Returns what a connection does.
    pub fn phase(&self, number: ConnectionNumber) -> Option<Phase> {
        self.holders.get(&number).map(|holder| holder.phase)
    }

    /// Returns whether the connection was told to give way in what it does now.
    pub fn gives_way(&self, number: ConnectionNumber) -> bool {
        let holder = self.holders.get(&number);
        holder.is_some_and(|holder| holder.gives_way)
    }

    /// Charges a connection for bytes that it is about to hold. The result also names the connections that
    /// have to give way; if the charge is refused, it would be granted once they have.
    pub fn charge(
        &mut self,
        now: Time,
        number: ConnectionNumber,
        bytes: usize,
    ) -> (Result<(), Exhausted>, GivingWay) {
        let mut giving_way = GivingWay::new();
        let own_bytes = self.holders.get(&number).map_or(0, |holder| holder.bytes);
        let max_bytes = match own_bytes + bytes <= SMALL_BYTES {
            true => self.bounds.max_bytes,
            false => self.bounds.max_bytes - self.bounds.max_bytes / SMALL_PARTS,
        };
        let needed_bytes = (self.held_bytes + bytes).saturating_sub(max_bytes);
        if needed_bytes > 0 {
            // What a single connection may never hold costs no other one its place.
            if own_bytes + bytes <= max_bytes {
                self.make_room(now, needed_bytes, Some(number), &mut giving_way);
            }
            return (Err(Exhausted::Memory), giving_way);
        }
        self.held_bytes += bytes;
        if let Some(holder) = self.holders.get_mut(&number) {
            holder.bytes += bytes;
        }
        // Room is made early, while the last of it still serves small requests.
        let low_bytes = self.bounds.max_bytes / SMALL_PARTS / 2;
        let free_bytes = self.bounds.max_bytes - self.held_bytes;
        if free_bytes < low_bytes {
            self.make_room(now, low_bytes - free_bytes, Some(number), &mut giving_way);
        }
        (Ok(()), giving_way)
    }

    /// Releases bytes that were charged.
    pub fn release(&mut self, number: ConnectionNumber, bytes: usize) {
        self.held_bytes = self.held_bytes.saturating_sub(bytes);
        let Some(holder) = self.holders.get_mut(&number) else {
            return;
        };
        holder.bytes = holder.bytes.saturating_sub(bytes);
        if holder.gives_way {
            self.leaving_bytes = self.leaving_bytes.saturating_sub(bytes);
        }
    }

    /// Tells slow connections to give way until as much is on its way to be free as is needed, and at least one
    /// place. Those that wait for their callers to close go first, then those that hold the most.
    fn make_room(
        &mut self,
        now: Time,
        needed_bytes: usize,
        keep: Option<ConnectionNumber>,
        giving_way: &mut GivingWay,
    ) {
        let is_enough =
            |memory: &Self| memory.leaving_bytes >= needed_bytes && memory.leaving_connections > 0;
        if is_enough(self) {
            return;
        }
        let slow = self
            .holders
            .iter()
            .filter(|(number, holder)| Some(**number) != keep && holder.is_slow(now));
        let mut slow: Vec<_> = slow
            .map(|(number, holder)| {
                let is_waiting = holder.phase == Phase::Closing;
                (
                    !is_waiting,
                    std::cmp::Reverse(holder.bytes),
                    holder.since,
                    *number,
                )
            })
            .collect();
        slow.sort_unstable();
        for (.., number) in slow {
            if is_enough(self) {
                return;
            }
            let Some(holder) = self.holders.get_mut(&number) else {
                continue;
            };
            holder.gives_way = true;
            self.leaving_bytes += holder.bytes;
            self.leaving_connections += 1;
            giving_way.push((number, holder.phase));
        }
    }
}
