//! Newtypes for names, identifiers, points in time and rates.
//!
//! The types prevent mistakes such as passing an organisation where an endpoint is expected.
//! See the state table in `docs/design.md`.

use std::fmt;
use std::ops::{Add, Sub};
use std::str::FromStr;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Maximum length of a name. It bounds the size of log lines and metric labels.
const MAX_NAME_BYTES: usize = 63;

/// Error that says why a text is not a valid value of one of the newtypes in this module.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ParseError {
    /// The text is empty, too long or has a character outside `[A-Za-z0-9_-]`.
    #[error("{0:?} is not a name: use 1 to {MAX_NAME_BYTES} of the characters A-Z a-z 0-9 _ -")]
    Name(String),
    /// The text is not a number of the expected kind.
    #[error("{text:?} is not {expected}")]
    Number {
        /// The text that could not be parsed.
        text: String,
        /// Kind of value that would have been accepted.
        expected: &'static str,
    },
    /// The text is not a request id as issued by a VM.
    #[error("{0:?} is not a request id")]
    RequestId(String),
}

fn check_name(text: &str) -> Result<Arc<str>, ParseError> {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'_' || byte == b'-';
    if text.is_empty() || text.len() > MAX_NAME_BYTES || !text.bytes().all(allowed) {
        return Err(ParseError::Name(text.to_owned()));
    }
    Ok(Arc::from(text))
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.pad(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                check_name(text).map(Self)
            }
        }

        impl TryFrom<String> for $name {
            type Error = ParseError;

            fn try_from(text: String) -> Result<Self, Self::Error> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0.as_ref().to_owned()
            }
        }
    };
}

name_type!(
    /// Names a VM of the system; the platform's VM list uses the same name.
    VmId
);
name_type!(
    /// Names an organisation, a customer with a rate allowance and API keys of its own.
    OrganisationName
);
name_type!(
    /// Names a data centre.
    DataCentreName
);
name_type!(
    /// Names a region, a set of data centres that can lose its connection to the others.
    RegionName
);
name_type!(
    /// Names an endpoint: one back-end process that runs stages.
    EndpointName
);
name_type!(
    /// Names the service that an endpoint offers and a stage needs.
    ServiceName
);
name_type!(
    /// Names a pipeline.
    PipelineName
);
name_type!(
    /// Names a stage within its pipeline.
    StageName
);

/// Id of a part of a prompt. Parts with equal ids have equal text, in whichever request they are.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PartId(pub u64);

impl fmt::Display for PartId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:x}", self.0)
    }
}

impl FromStr for PartId {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let id = u64::from_str_radix(text, 16).map_err(|_| ParseError::Number {
            text: text.to_owned(),
            expected: "a hexadecimal id of a part of a prompt",
        })?;
        Ok(Self(id))
    }
}
name_type!(
    /// Names a model that an engine can load.
    ModelName
);

/// Version of a platform document. The platform numbers the versions in a total order.
#[derive(
    Debug, Default, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Version(pub u64);

impl fmt::Display for Version {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

impl FromStr for Version {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        parse_number(text, "a version number").map(Self)
    }
}

/// Counts how often the platform's store has come back from an older copy. Revisions of different eras
/// cannot be compared, since the store gives them out again.
#[derive(
    Debug, Default, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct StoreEra(pub u64);

impl fmt::Display for StoreEra {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

impl FromStr for StoreEra {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        parse_number(text, "an era of the store").map(Self)
    }
}

/// A place in the history of the platform's store. A later era comes after all revisions of an earlier one.
///
/// The era is `None` for a store that states none, and in what earlier builds of this system send.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct StorePosition {
    /// Era that the revision belongs to.
    pub era: Option<StoreEra>,
    /// Revision of the store; 0 if nothing is known of it.
    pub revision: u64,
}

impl From<u64> for StorePosition {
    fn from(revision: u64) -> Self {
        Self {
            era: None,
            revision,
        }
    }
}

impl fmt::Display for StorePosition {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.era {
            Some(era) => write!(formatter, "{era}/{}", self.revision),
            None => write!(formatter, "{}", self.revision),
        }
    }
}

impl FromStr for StorePosition {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (era, revision) = match text.split_once('/') {
            Some((era, revision)) => (Some(era.parse()?), revision),
            None => (None, text),
        };
        let revision = parse_number(revision, "a revision of the store")?;
        Ok(Self { era, revision })
    }
}

fn parse_number<T: FromStr>(text: &str, expected: &'static str) -> Result<T, ParseError> {
    text.parse().map_err(|_| ParseError::Number {
        text: text.to_owned(),
        expected,
    })
}

/// Identifies one run of a VM's daemon. A restarted VM has a new, higher incarnation, because it
/// keeps no state of an earlier run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

impl Incarnation {
    /// Makes the incarnation of a daemon from its start time on the wall clock.
    ///
    /// A later incarnation of a VM must be higher, because peers drop messages from a lower one.
    pub fn of_start(started_at: SystemTime) -> Self {
        let since_epoch = started_at.duration_since(UNIX_EPOCH).unwrap_or_default();
        Self(u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX))
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

impl FromStr for Incarnation {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16)
            .map(Self)
            .map_err(|_| ParseError::Number {
                text: text.to_owned(),
                expected: "an incarnation in hexadecimal",
            })
    }
}

/// A point on this machine's boot-time clock, in microseconds.
///
/// The clock keeps counting while the machine is suspended, so a process that was paused sees
/// that its leases expired. Times of different machines are never compared (`docs/design.md`, 3.1).
#[derive(
    Debug, Default, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Time {
    /// Microseconds since the machine started.
    pub micros: u64,
}

impl Time {
    /// The start of the clock, earlier than any event.
    pub const ZERO: Self = Self { micros: 0 };

    /// Makes a time from milliseconds since the machine started, mostly for tests.
    pub const fn from_millis(millis: u64) -> Self {
        Self {
            micros: millis * 1_000,
        }
    }

    /// Returns the duration from `earlier` to this time, or zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.micros.saturating_sub(earlier.micros))
    }

    /// Returns the duration between this time and another one, whichever is earlier.
    pub fn apart(self, other: Self) -> Duration {
        Duration::from_micros(self.micros.abs_diff(other.micros))
    }
}

impl Add<Duration> for Time {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self {
            micros: self.micros.saturating_add(micros),
        }
    }
}

impl Sub<Duration> for Time {
    type Output = Self;

    fn sub(self, duration: Duration) -> Self {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self {
            micros: self.micros.saturating_sub(micros),
        }
    }
}

impl fmt::Display for Time {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}us", self.micros)
    }
}

impl FromStr for Time {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let digits = text.strip_suffix("us").unwrap_or(text);
        parse_number(digits, "a time in microseconds").map(|micros| Self { micros })
    }
}

/// Requests per second that an organisation may send, summed over all VMs.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RatePerSecond(pub f64);

impl fmt::Display for RatePerSecond {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/s", self.0)
    }
}

impl FromStr for RatePerSecond {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let digits = text.strip_suffix("/s").unwrap_or(text);
        parse_number(digits, "a rate per second").map(Self)
    }
}

/// Number of requests that an organisation may send at once in addition to its rate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Burst(pub u32);

impl fmt::Display for Burst {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

impl FromStr for Burst {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        parse_number(text, "a number of requests").map(Self)
    }
}

/// Identifies one request. Only the VM and incarnation named in the id may run the request
/// (`docs/design.md`, 3.4).
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct RequestId {
    /// The VM that issued the id.
    pub vm: VmId,
    /// Incarnation of that VM when it issued the id.
    pub incarnation: Incarnation,
    /// Time at which the id was issued, on the clock of the VM that issued it.
    pub issued_at: Time,
    /// Number of the id among those that this incarnation of the VM issued.
    pub counter: u64,
    /// Message authentication code that proves to the VM that it issued the id. The VM therefore
    /// needs no memory for ids that are not used yet.
    pub mac: u64,
}

impl fmt::Display for RequestId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{}.{}.{:x}.{:x}.{:016x}",
            self.vm, self.incarnation, self.issued_at.micros, self.counter, self.mac
        )
    }
}

impl FromStr for RequestId {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let invalid = || ParseError::RequestId(text.to_owned());
        let parse_hex = |part: &str| u64::from_str_radix(part, 16).map_err(|_| invalid());
        let parts: Vec<&str> = text.split('.').collect();
        let [vm, incarnation, issued_at, counter, mac] = parts.as_slice() else {
            return Err(invalid());
        };
        Ok(Self {
            vm: vm.parse().map_err(|_| invalid())?,
            incarnation: Incarnation(parse_hex(incarnation)?),
            issued_at: Time {
                micros: parse_hex(issued_at)?,
            },
            counter: parse_hex(counter)?,
            mac: parse_hex(mac)?,
        })
    }
}

impl TryFrom<String> for RequestId {
    type Error = ParseError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<RequestId> for String {
    fn from(id: RequestId) -> Self {
        id.to_string()
    }
}
