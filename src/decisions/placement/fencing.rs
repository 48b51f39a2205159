//! Fencing numbers, which increase from owner to owner.

use std::collections::HashMap;
use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::decisions::membership::MemberList;
use crate::decisions::placement::OwnershipContext;
use crate::units::{ParseError, Time, Version, VmId};

/// Number of an order to an engine; an engine rejects orders with a lower number than it has
/// received. Numbers compare by their fields in the order of declaration.
#[derive(
    Debug, Default, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct FencingNumber {
    /// Version of the VM list that the owner uses.
    pub list_version: Version,
    /// Increases with each ownership epoch of any owner under this list.
    pub term: u64,
    /// Increases with each order of the ownership epoch.
    pub sequence: u64,
}

impl fmt::Display for FencingNumber {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{}.{}.{}",
            self.list_version, self.term, self.sequence
        )
    }
}

impl FromStr for FencingNumber {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let invalid = || ParseError::Number {
            text: text.to_owned(),
            expected: "a fencing number such as 3.1.7",
        };
        let parts: Vec<&str> = text.split('.').collect();
        let [list_version, term, sequence] = parts.as_slice() else {
            return Err(invalid());
        };
        Ok(Self {
            list_version: list_version.parse().map_err(|_| invalid())?,
            term: term.parse().map_err(|_| invalid())?,
            sequence: sequence.parse().map_err(|_| invalid())?,
        })
    }
}

/// Chooses fencing numbers above those of all earlier owners.
///
/// A new owner first waits for the numbers of a majority, then claims a higher term, and issues
/// orders only once a majority has recorded that term. Any later owner waits for a majority too,
/// which contains at least one VM that recorded it. The list version alone does not distinguish
/// owners: under one list, absence votes can make another VM the owner.
#[derive(Debug, Default)]
pub(super) struct Fencing {
    highest: FencingNumber,
    /// The newest number of each peer, with the send time of the message that it answered.
    peers: HashMap<VmId, (Time, FencingNumber)>,
    /// List version and number of the current ownership epoch.
    epoch: Option<(Version, u64)>,
    /// The newest number of the current ownership epoch; `None` before a term is claimed.
    current: Option<FencingNumber>,
}

impl Fencing {
    pub(super) fn highest(&self) -> FencingNumber {
        self.highest
    }

    pub(super) fn observe(&mut self, number: FencingNumber) {
        self.highest = self.highest.max(number);
    }

    pub(super) fn on_peer(&mut self, asked_at: Time, vm: &VmId, number: FencingNumber) {
        self.observe(number);
        let newest = self.peers.entry(vm.clone()).or_default();
        if asked_at >= newest.0 {
            *newest = (asked_at, number);
        }
    }

    /// Returns whether orders may get numbers now. Claims a term, or a higher one, if needed.
    pub(super) fn is_ready(&mut self, context: OwnershipContext<'_>) -> bool {
        let OwnershipContext { list, epoch, .. } = context;
        let key = (list.version, epoch.number);
        if self.epoch.replace(key) != Some(key) {
            self.current = None;
        }
        self.peers.retain(|vm, _| list.members.contains(vm));
        if !self.has_majority(context, |_| true) || self.highest.list_version > list.version {
            return false;
        }
        let overtaken = self.current.is_none_or(|current| self.highest > current);
        if overtaken {
            self.claim_term(list, epoch.number);
        }
        let term = self.current.unwrap_or_default().term;
        self.has_majority(context, |number| {
            (number.list_version, number.term) >= (list.version, term)
        })
    }

    /// Claims a term above every known term under this list, at least the epoch's number.
    fn claim_term(&mut self, list: &MemberList, epoch_number: u64) {
        let is_same_list = self.highest.list_version == list.version;
        let next_term = if is_same_list {
            self.highest.term + 1
        } else {
            1
        };
        let number = FencingNumber {
            list_version: list.version,
            term: next_term.max(epoch_number),
            sequence: 0,
        };
        self.current = Some(number);
        self.observe(number);
    }

    /// Returns whether a majority, this VM included, has answered in this ownership epoch with a
    /// number for which `accepts` is true.
    fn has_majority(
        &self,
        context: OwnershipContext<'_>,
        accepts: impl Fn(FencingNumber) -> bool,
    ) -> bool {
        let members = &context.list.members;
        let answered = members.iter().filter(|vm| {
            let newest = self.peers.get(*vm);
            let since = context.epoch.since;
            *vm == context.me || newest.is_some_and(|(at, number)| *at >= since && accepts(*number))
        });
        answered.count() * 2 > members.len()
    }

    /// Returns the next number. [`Fencing::is_ready`] must have returned true before.
    pub(super) fn next(&mut self) -> FencingNumber {
        let mut number = self.current.unwrap_or_default();
        number.sequence += 1;
        self.current = Some(number);
        assert!(number > self.highest, "fencing numbers must increase");
        self.highest = number;
        number
    }
}
