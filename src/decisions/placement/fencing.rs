//! Fencing numbers that rise across owners.

use std::collections::HashMap;
use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::decisions::membership::MemberList;
use crate::decisions::placement::OwnershipContext;
use crate::units::{ParseError, Time, Version, VmId};

/// Orders an engine's orders. Fields compare in their order.
#[derive(
    Debug, Default, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct FencingNumber {
    /// VM list that the owner goes by.
    pub list_version: Version,
    /// Rises with each epoch of any owner under this list.
    pub term: u64,
    /// Rises with each order of the epoch.
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
        let bad = || ParseError::Number {
            text: text.to_owned(),
            expected: "a fencing number such as 3.1.7",
        };
        let parts: Vec<&str> = text.split('.').collect();
        let [list_version, term, sequence] = parts.as_slice() else {
            return Err(bad());
        };
        Ok(Self {
            list_version: list_version.parse().map_err(|_| bad())?,
            term: term.parse().map_err(|_| bad())?,
            sequence: sequence.parse().map_err(|_| bad())?,
        })
    }
}

/// Chooses numbers above those of all earlier owners.
///
/// An owner first hears a majority, then takes a higher term, and gives orders only once a
/// majority has recorded that term. Any later owner hears one of them. The list version alone
/// does not tell owners apart: under one list the owner moves with absence votes.
#[derive(Debug, Default)]
pub(super) struct Fencing {
    highest: FencingNumber,
    peers: HashMap<VmId, (Time, FencingNumber)>,
    epoch: Option<(Version, u64)>,
    /// The newest number of this epoch.
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
        let known = self.peers.entry(vm.clone()).or_default();
        if asked_at >= known.0 {
            *known = (asked_at, number);
        }
    }

    /// Returns whether orders may be numbered, and takes or raises the term where needed.
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
            self.take_term(list, epoch.number);
        }
        let term = self.current.unwrap_or_default().term;
        self.has_majority(context, |number| {
            (number.list_version, number.term) >= (list.version, term)
        })
    }

    fn take_term(&mut self, list: &MemberList, epoch_number: u64) {
        let known = self.highest.list_version == list.version;
        let above = if known { self.highest.term + 1 } else { 1 };
        let number = FencingNumber {
            list_version: list.version,
            term: above.max(epoch_number),
            sequence: 0,
        };
        self.current = Some(number);
        self.observe(number);
    }

    /// Returns whether a majority, this VM included, has answered in this epoch with a
    /// number that `counts` accepts.
    fn has_majority(
        &self,
        context: OwnershipContext<'_>,
        counts: impl Fn(FencingNumber) -> bool,
    ) -> bool {
        let members = &context.list.members;
        let answered = members.iter().filter(|vm| {
            let known = self.peers.get(*vm);
            let since = context.epoch.since;
            *vm == context.me || known.is_some_and(|(at, number)| *at >= since && counts(*number))
        });
        answered.count() * 2 > members.len()
    }

    /// Returns the next number; [`Fencing::is_ready`] has been true.
    pub(super) fn next(&mut self) -> FencingNumber {
        let mut number = self.current.unwrap_or_default();
        number.sequence += 1;
        self.current = Some(number);
        assert!(number > self.highest, "fencing numbers rise");
        self.highest = number;
        number
    }
}
