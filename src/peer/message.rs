//! The state message that VMs send each other, and its conversion to typed values.
//!
//! `docs/design.md`, 5 describes its content. On the wire a field is identified by its number
//! (tag), and a number is never reused for another meaning.

use std::net::SocketAddr;

use metrics::counter;
use prost::Message;
use thiserror::Error;

use crate::blackboard::{EndpointLoad, SlotDemand};
use crate::decisions::membership::{Acknowledgement, Heartbeat, MemberList};
use crate::decisions::slots::{SlotAnswer, SlotReport};
use crate::units::{EndpointName, Incarnation, ParseError, Time, Version, VmId};

/// The message that one VM sends another with every heartbeat, and at once after a change.
#[derive(Clone, PartialEq, Message)]
pub struct StateMessage {
    /// The VM that sends the message.
    #[prost(string, tag = "1")]
    pub sender: String,
    /// The VM that the message is for. Another VM that took over the address drops the message.
    #[prost(string, tag = "2")]
    pub recipient: String,
    /// The sender's incarnation.
    #[prost(fixed64, tag = "3")]
    pub incarnation: u64,
    /// Address at which the sender receives state messages, so that VMs with an older VM list can
    /// answer. Empty while the recipient answers.
    #[prost(string, tag = "4")]
    pub sender_address: String,
    /// Sequence of the heartbeat and of the message. It increases with each message to the
    /// recipient.
    #[prost(uint64, tag = "5")]
    pub sequence: u64,
    /// Version of the VM list that the sender uses.
    #[prost(uint64, tag = "6")]
    pub list_version: u64,
    /// Answer to the recipient's last heartbeat.
    #[prost(message, optional, tag = "7")]
    pub acknowledgement: Option<WireAcknowledgement>,
    /// Version of the manifest in force at the sender.
    #[prost(uint64, tag = "8")]
    pub manifest_version: u64,
    /// Time since the platform confirmed the manifest version, in microseconds.
    #[prost(uint64, optional, tag = "9")]
    pub freshness_age_us: Option<u64>,
    /// Whether the sender has begun a planned stop.
    #[prost(bool, tag = "10")]
    pub leaving: bool,
    /// The sender's demand for endpoints whose allocator is the recipient.
    #[prost(message, repeated, tag = "11")]
    pub demands: Vec<WireDemand>,
    /// Sequence of the recipient's message that `grants` answer.
    #[prost(uint64, tag = "12")]
    pub grants_answer_sequence: u64,
    /// Slots that the recipient may use at endpoints whose allocator is the sender.
    #[prost(message, repeated, tag = "13")]
    pub grants: Vec<WireGrant>,
    /// Load reports of the endpoints whose allocator is the sender and that the recipient uses.
    #[prost(message, repeated, tag = "14")]
    pub loads: Vec<WireLoad>,
    /// Cold starts that the sender saw a short time ago.
    #[prost(message, repeated, tag = "15")]
    pub cold_notices: Vec<WireColdNotice>,
    /// Incarnation of the recipient that sent the message that `grants` answer.
    #[prost(fixed64, tag = "16")]
    pub grants_answer_incarnation: u64,
    /// Endpoints whose grants the recipient gives back, because other VMs need slots there.
    #[prost(string, repeated, tag = "17")]
    pub recalls: Vec<String>,
    /// Highest fencing number of a placement order that the sender knows: list version, term and
    /// sequence.
    #[prost(uint64, repeated, tag = "18")]
    pub placement_number: Vec<u64>,
}

/// An [`Acknowledgement`] on the wire.
#[derive(Clone, PartialEq, Message)]
pub struct WireAcknowledgement {
    /// Sequence of the acknowledged heartbeat.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// Incarnation that sent the acknowledged heartbeat.
    #[prost(fixed64, tag = "2")]
    pub to_incarnation: u64,
    /// Whether the lease is acknowledged.
    #[prost(bool, tag = "3")]
    pub granted: bool,
    /// Whether the acknowledger is still recovering.
    #[prost(bool, tag = "4")]
    pub recovering: bool,
    /// Older VM lists that are not yet resolved.
    #[prost(message, repeated, tag = "5")]
    pub predecessors: Vec<WireList>,
    /// VMs that the acknowledger votes absent.
    #[prost(string, repeated, tag = "6")]
    pub absence_votes: Vec<String>,
    /// Version of the newest VM list that the acknowledger had when it answered.
    #[prost(uint64, tag = "7")]
    pub list_version: u64,
    /// VM lists before this version are resolved: none of them can still be in force.
    #[prost(uint64, tag = "8")]
    pub resolved: u64,
}

/// A [`MemberList`] on the wire, with addresses for VMs that were never on a list of the
/// recipient.
#[derive(Clone, PartialEq, Message)]
pub struct WireList {
    /// Version of the VM list.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Members of the VM list.
    #[prost(message, repeated, tag = "2")]
    pub members: Vec<WireMember>,
}

/// One member of a VM list on the wire.
#[derive(Clone, PartialEq, Message)]
pub struct WireMember {
    /// The VM.
    #[prost(string, tag = "1")]
    pub vm: String,
    /// Address at which the VM receives state messages; empty if unknown.
    #[prost(string, tag = "2")]
    pub state_address: String,
}

/// A [`SlotReport`] on the wire: the sender's demand for one endpoint.
#[derive(Clone, PartialEq, Message)]
pub struct WireDemand {
    /// The endpoint.
    #[prost(string, tag = "1")]
    pub endpoint: String,
    /// Number of requests in flight.
    #[prost(uint32, tag = "2")]
    pub in_flight: u32,
    /// Number of requests that wait for a slot.
    #[prost(uint32, tag = "3")]
    pub waiting: u32,
    /// Number of completely answered attempts since the sender started. A running total stays
    /// correct when messages are lost.
    #[prost(uint64, tag = "4")]
    pub completed_total: u64,
    /// Distance from [`SlotReport::applied`] to this message's sequence. Distances are shorter on
    /// the wire than sequences.
    #[prost(uint64, tag = "5")]
    pub applied_behind: u64,
    /// Distance from [`SlotReport::released_before`] to this message's sequence.
    #[prost(uint64, tag = "6")]
    pub released_behind: u64,
    /// Whether the sender saw a cold sign of which the allocator may not have heard.
    #[prost(bool, tag = "7")]
    pub cold: bool,
    /// Ramp capacity that the newest grant named.
    #[prost(uint32, optional, tag = "8")]
    pub ramp: Option<u32>,
}

/// A [`SlotAnswer`] on the wire: the recipient's grant for one endpoint.
#[derive(Clone, PartialEq, Message)]
pub struct WireGrant {
    /// The endpoint.
    #[prost(string, tag = "1")]
    pub endpoint: String,
    /// Number of requests that the recipient may have in flight.
    #[prost(uint32, tag = "2")]
    pub slots: u32,
    /// Distance from the sequence of the answered report to `grants_answer_sequence`.
    #[prost(uint64, tag = "3")]
    pub report_behind: u64,
    /// Current capacity of an endpoint that ramps up; absent for a warm endpoint.
    #[prost(uint32, optional, tag = "4")]
    pub ramp: Option<u32>,
}

/// An [`EndpointLoad`] on the wire: the load report of one endpoint.
#[derive(Clone, PartialEq, Message)]
pub struct WireLoad {
    /// The endpoint.
    #[prost(string, tag = "1")]
    pub endpoint: String,
    /// Time since the report was read, in microseconds.
    #[prost(uint64, tag = "2")]
    pub age_us: u64,
    /// Whether the endpoint is in a cold start.
    #[prost(bool, tag = "3")]
    pub cold: bool,
    /// Number of requests that run at the endpoint.
    #[prost(uint32, tag = "4")]
    pub running: u32,
    /// Number of requests that wait at the endpoint.
    #[prost(uint32, tag = "5")]
    pub queued: u32,
    /// Models that the endpoint has loaded.
    #[prost(string, repeated, tag = "6")]
    pub models: Vec<String>,
}

/// A notice that the sender saw a sign of a cold start at an endpoint.
#[derive(Clone, PartialEq, Message)]
pub struct WireColdNotice {
    /// The endpoint.
    #[prost(string, tag = "1")]
    pub endpoint: String,
    /// Number that increases with each sign at the sender. Notices are sent repeatedly; the number
    /// shows which are new.
    #[prost(uint64, tag = "2")]
    pub number: u64,
}

/// Reason why a frame is not a usable state message.
#[derive(Debug, Error)]
pub enum MessageError {
    /// The frame is not a state message.
    #[error("the frame is not a state message: {0}")]
    Decode(#[from] prost::DecodeError),
    /// A name in the message is not valid.
    #[error("a name in the state message is not valid: {0}")]
    Name(#[from] ParseError),
}

/// Returns a part of a message, unless it has a name that this build cannot read, as one of a later build may have. Such
/// parts are counted.
pub fn readable<T, E>(part: Result<T, E>) -> Option<T> {
    if part.is_err() {
        counter!("primrosewalk_control_unreadable_parts_total").increment(1);
    }
    part.ok()
}

impl StateMessage {
    /// Returns the heartbeat that the message carries.
    pub fn heartbeat(&self) -> Heartbeat {
        Heartbeat {
            sequence: self.sequence,
            incarnation: Incarnation(self.incarnation),
            list_version: Version(self.list_version),
        }
    }

    /// Returns the acknowledgement that the message carries, if any.
    ///
    /// # Errors
    ///
    /// Returns an error about the first name that is not valid.
    pub fn acknowledgement(&self) -> Result<Option<Acknowledgement>, MessageError> {
        let Some(wire) = &self.acknowledgement else {
            return Ok(None);
        };
        let predecessors = wire.predecessors.iter().map(WireList::members);
        let absence_votes = wire.absence_votes.iter().map(|vm| vm.parse());
        Ok(Some(Acknowledgement {
            sequence: wire.sequence,
            to_incarnation: Incarnation(wire.to_incarnation),
            incarnation: Incarnation(self.incarnation),
            list_version: Version(wire.list_version),
            granted: wire.granted,
            recovering: wire.recovering,
            predecessors: predecessors.collect::<Result<_, _>>()?,
            resolved: Version(wire.resolved),
            absence_votes: absence_votes.collect::<Result<_, ParseError>>()?,
        }))
    }
}

impl WireAcknowledgement {
    /// Converts an acknowledgement. `address_of` returns the address at which a VM receives state
    /// messages.
    pub fn new(answer: &Acknowledgement, address_of: impl Fn(&VmId) -> Option<SocketAddr>) -> Self {
        let member = |vm: &VmId| WireMember {
            vm: vm.to_string(),
            state_address: address_of(vm).map_or_else(String::new, |address| address.to_string()),
        };
        let list = |list: &MemberList| WireList {
            version: list.version.0,
            members: list.members.iter().map(member).collect(),
        };
        Self {
            sequence: answer.sequence,
            to_incarnation: answer.to_incarnation.0,
            granted: answer.granted,
            recovering: answer.recovering,
            predecessors: answer.predecessors.iter().map(list).collect(),
            absence_votes: answer.absence_votes.iter().map(VmId::to_string).collect(),
            list_version: answer.list_version.0,
            resolved: answer.resolved.0,
        }
    }
}

impl WireList {
    fn members(&self) -> Result<MemberList, MessageError> {
        let members = self.members.iter().map(|member| member.vm.parse());
        Ok(MemberList {
            version: Version(self.version),
            members: members.collect::<Result<_, ParseError>>()?,
        })
    }
}

impl WireDemand {
    /// Converts a report, which must be sent in the message with the report's sequence.
    pub fn new(endpoint: &EndpointName, report: &SlotReport) -> Self {
        Self {
            endpoint: endpoint.to_string(),
            in_flight: report.demand.in_flight,
            waiting: report.demand.waiting,
            completed_total: report.completed,
            applied_behind: report.sequence.saturating_sub(report.applied),
            released_behind: report.sequence.saturating_sub(report.released_before),
            cold: report.cold,
            ramp: report.ramp,
        }
    }

    /// Returns the endpoint and the report, which arrived in `message`.
    ///
    /// # Errors
    ///
    /// Returns an error if the endpoint name is not valid.
    pub fn report(
        &self,
        message: &StateMessage,
    ) -> Result<(EndpointName, SlotReport), MessageError> {
        let report = SlotReport {
            incarnation: Incarnation(message.incarnation),
            sequence: message.sequence,
            demand: SlotDemand {
                in_flight: self.in_flight,
                waiting: self.waiting,
            },
            completed: self.completed_total,
            applied: message.sequence.saturating_sub(self.applied_behind),
            released_before: message.sequence.saturating_sub(self.released_behind),
            cold: self.cold,
            ramp: self.ramp,
        };
        Ok((self.endpoint.parse()?, report))
    }
}

impl WireGrant {
    /// Converts an answer for a message whose `grants_answer_sequence` is `answer_sequence`.
    pub fn new(endpoint: &EndpointName, answer: &SlotAnswer, answer_sequence: u64) -> Self {
        Self {
            endpoint: endpoint.to_string(),
            slots: answer.slots,
            report_behind: answer_sequence.saturating_sub(answer.sequence),
            ramp: answer.ramp,
        }
    }

    /// Returns the endpoint and the answer, which arrived in `message`.
    ///
    /// # Errors
    ///
    /// Returns an error if the endpoint name is not valid.
    pub fn answer(
        &self,
        message: &StateMessage,
    ) -> Result<(EndpointName, SlotAnswer), MessageError> {
        let answer = SlotAnswer {
            incarnation: Incarnation(message.grants_answer_incarnation),
            sequence: message
                .grants_answer_sequence
                .saturating_sub(self.report_behind),
            slots: self.slots,
            ramp: self.ramp,
        };
        Ok((self.endpoint.parse()?, answer))
    }
}

impl WireLoad {
    /// Converts a load report that this VM read.
    pub fn new(endpoint: &EndpointName, load: &EndpointLoad, now: Time) -> Self {
        let age = now.since(load.read_at).as_micros();
        Self {
            endpoint: endpoint.to_string(),
            age_us: u64::try_from(age).unwrap_or(u64::MAX),
            cold: load.cold,
            running: load.running,
            queued: load.queued,
            models: load.models.iter().map(ToString::to_string).collect(),
        }
    }

    /// Returns the endpoint and its load report, with times on this VM's clock.
    ///
    /// # Errors
    ///
    /// Returns an error about the first name that is not valid.
    pub fn load(&self, now: Time) -> Result<(EndpointName, EndpointLoad), MessageError> {
        let models = self.models.iter().map(|model| model.parse());
        let load = EndpointLoad {
            read_at: now - std::time::Duration::from_micros(self.age_us),
            cold: self.cold,
            running: self.running,
            queued: self.queued,
            models: models.collect::<Result<_, ParseError>>()?,
        };
        Ok((self.endpoint.parse()?, load))
    }
}
