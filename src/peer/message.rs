//! The state message that VMs send each other, and its conversion to typed values.
//!
//! `docs/design.md`, 5 says what it carries. Fields evolve by number; a number is never
//! used again for another meaning.

use std::net::SocketAddr;

use prost::Message;
use thiserror::Error;

use crate::blackboard::{EndpointLoad, SlotDemand};
use crate::decisions::membership::{Acknowledgement, Heartbeat, MemberList};
use crate::decisions::slots::{SlotAnswer, SlotReport};
use crate::units::{EndpointName, Incarnation, ParseError, Time, Version, VmId};

/// What one VM tells another every heartbeat, and at once on change.
#[derive(Clone, PartialEq, Message)]
pub struct StateMessage {
    /// The VM that sends.
    #[prost(string, tag = "1")]
    pub sender: String,
    /// The VM that the message is for. Another VM that took over the address drops it.
    #[prost(string, tag = "2")]
    pub recipient: String,
    /// The sender's run.
    #[prost(fixed64, tag = "3")]
    pub incarnation: u64,
    /// Where the sender takes state messages, so that VMs with an older list can answer.
    /// Empty while the recipient answers.
    #[prost(string, tag = "4")]
    pub sender_address: String,
    /// Sequence of the heartbeat and of the message; rises with each one to the recipient.
    #[prost(uint64, tag = "5")]
    pub sequence: u64,
    /// The VM list version that the sender goes by.
    #[prost(uint64, tag = "6")]
    pub list_version: u64,
    /// Answer to the recipient's last heartbeat.
    #[prost(message, optional, tag = "7")]
    pub acknowledgement: Option<WireAcknowledgement>,
    /// The manifest version in force at the sender.
    #[prost(uint64, tag = "8")]
    pub manifest_version: u64,
    /// Time since the platform confirmed that version, in microseconds.
    #[prost(uint64, optional, tag = "9")]
    pub freshness_age_us: Option<u64>,
    /// Whether the sender began a planned stop.
    #[prost(bool, tag = "10")]
    pub leaving: bool,
    /// What the sender wants of endpoints whose allocator is the recipient.
    #[prost(message, repeated, tag = "11")]
    pub demands: Vec<WireDemand>,
    /// Sequence of the recipient's message that the grants answer.
    #[prost(uint64, tag = "12")]
    pub grants_answer_sequence: u64,
    /// Slots that the recipient may use at endpoints whose allocator is the sender.
    #[prost(message, repeated, tag = "13")]
    pub grants: Vec<WireGrant>,
    /// Load reports of endpoints whose allocator is the sender and that the recipient uses.
    #[prost(message, repeated, tag = "14")]
    pub loads: Vec<WireLoad>,
    /// Endpoints at which the sender saw a cold start a short time ago.
    #[prost(message, repeated, tag = "15")]
    pub cold_notices: Vec<WireColdNotice>,
    /// The recipient's run that sent the message which the grants answer.
    #[prost(fixed64, tag = "16")]
    pub grants_answer_incarnation: u64,
    /// Endpoints whose grants the recipient gives back, because other VMs need slots there.
    #[prost(string, repeated, tag = "17")]
    pub recalls: Vec<String>,
    /// Highest number of a placement order that the sender knows: list version, term,
    /// sequence.
    #[prost(uint64, repeated, tag = "18")]
    pub placement_number: Vec<u64>,
}

/// An [`Acknowledgement`] on the wire.
#[derive(Clone, PartialEq, Message)]
pub struct WireAcknowledgement {
    /// The heartbeat's sequence.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// The heartbeat's incarnation.
    #[prost(fixed64, tag = "2")]
    pub to_incarnation: u64,
    /// Whether the lease is acknowledged.
    #[prost(bool, tag = "3")]
    pub granted: bool,
    /// Whether the acknowledger is still recovering.
    #[prost(bool, tag = "4")]
    pub recovering: bool,
    /// Older lists that are not yet resolved.
    #[prost(message, repeated, tag = "5")]
    pub predecessors: Vec<WireList>,
    /// VMs that the acknowledger votes absent.
    #[prost(string, repeated, tag = "6")]
    pub absence_votes: Vec<String>,
    /// The newest list that the acknowledger held when it answered.
    #[prost(uint64, tag = "7")]
    pub list_version: u64,
    /// Lists before this version are resolved: none of them can be in force any more.
    #[prost(uint64, tag = "8")]
    pub resolved: u64,
}

/// A [`MemberList`] on the wire, with addresses for VMs that the recipient never listed.
#[derive(Clone, PartialEq, Message)]
pub struct WireList {
    /// Version of the list.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Its members.
    #[prost(message, repeated, tag = "2")]
    pub members: Vec<WireMember>,
}

/// One member of a list on the wire.
#[derive(Clone, PartialEq, Message)]
pub struct WireMember {
    /// The VM.
    #[prost(string, tag = "1")]
    pub vm: String,
    /// Where it takes state messages, if known.
    #[prost(string, tag = "2")]
    pub state_address: String,
}

/// Demand for one endpoint.
#[derive(Clone, PartialEq, Message)]
pub struct WireDemand {
    /// The endpoint.
    #[prost(string, tag = "1")]
    pub endpoint: String,
    /// Requests in flight.
    #[prost(uint32, tag = "2")]
    pub in_flight: u32,
    /// Requests that wait for a slot.
    #[prost(uint32, tag = "3")]
    pub waiting: u32,
    /// Attempts answered whole since the sender started. A running total survives lost
    /// messages.
    #[prost(uint64, tag = "4")]
    pub completed_total: u64,
    /// How far the newest grant applied is behind this message; see
    /// [`SlotReport::applied`]. Distances are shorter on the wire than sequences.
    #[prost(uint64, tag = "5")]
    pub applied_behind: u64,
    /// How far [`SlotReport::released_before`] is behind this message.
    #[prost(uint64, tag = "6")]
    pub released_behind: u64,
    /// Whether the allocator may not have heard of a cold sign.
    #[prost(bool, tag = "7")]
    pub cold: bool,
    /// Ramp capacity that the newest grant named.
    #[prost(uint32, optional, tag = "8")]
    pub ramp: Option<u32>,
}

/// Grant for one endpoint.
#[derive(Clone, PartialEq, Message)]
pub struct WireGrant {
    /// The endpoint.
    #[prost(string, tag = "1")]
    pub endpoint: String,
    /// Requests that may be in flight from the recipient.
    #[prost(uint32, tag = "2")]
    pub slots: u32,
    /// How far the report that this answers is behind `grants_answer_sequence`.
    #[prost(uint64, tag = "3")]
    pub behind: u64,
    /// Capacity of an endpoint that ramps up.
    #[prost(uint32, optional, tag = "4")]
    pub ramp: Option<u32>,
}

/// Load report of one endpoint.
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
    /// Requests that run there.
    #[prost(uint32, tag = "4")]
    pub running: u32,
    /// Requests that wait there.
    #[prost(uint32, tag = "5")]
    pub queued: u32,
    /// Models that are loaded.
    #[prost(string, repeated, tag = "6")]
    pub models: Vec<String>,
}

/// A sign of a cold start.
#[derive(Clone, PartialEq, Message)]
pub struct WireColdNotice {
    /// The endpoint.
    #[prost(string, tag = "1")]
    pub endpoint: String,
    /// Rises with each sign at the sender. Notices are repeated; the number tells new ones.
    #[prost(uint64, tag = "2")]
    pub number: u64,
}

/// Says why a frame is not a usable state message.
#[derive(Debug, Error)]
pub enum MessageError {
    /// The frame is not a state message.
    #[error("the frame is not a state message: {0}")]
    Decode(#[from] prost::DecodeError),
    /// A name in it is not valid.
    #[error("a name is not valid: {0}")]
    Name(#[from] ParseError),
}

impl StateMessage {
    /// Returns the heartbeat in the message.
    pub fn heartbeat(&self) -> Heartbeat {
        Heartbeat {
            sequence: self.sequence,
            incarnation: Incarnation(self.incarnation),
            list_version: Version(self.list_version),
        }
    }

    /// Returns the acknowledgement in the message.
    ///
    /// # Errors
    ///
    /// Returns the first name that is not valid.
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
    /// Converts an acknowledgement. `address_of` gives the state address of a VM.
    pub fn new(answer: &Acknowledgement, address_of: impl Fn(&VmId) -> Option<SocketAddr>) -> Self {
        let member = |vm: &VmId| WireMember {
            vm: vm.to_string(),
            state_address: address_of(vm).map_or_else(String::new, |item| item.to_string()),
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
    /// Converts a report that goes out in the message of its sequence.
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

    /// Returns the endpoint and the report, which came in the given message.
    ///
    /// # Errors
    ///
    /// Returns an endpoint name that is not valid.
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
    /// Converts an answer that goes out with the given `grants_answer_sequence`.
    pub fn new(endpoint: &EndpointName, answer: &SlotAnswer, answer_sequence: u64) -> Self {
        Self {
            endpoint: endpoint.to_string(),
            slots: answer.slots,
            behind: answer_sequence.saturating_sub(answer.sequence),
            ramp: answer.ramp,
        }
    }

    /// Returns the endpoint and the answer, which came in the given message.
    ///
    /// # Errors
    ///
    /// Returns an endpoint name that is not valid.
    pub fn answer(
        &self,
        message: &StateMessage,
    ) -> Result<(EndpointName, SlotAnswer), MessageError> {
        let answer = SlotAnswer {
            incarnation: Incarnation(message.grants_answer_incarnation),
            sequence: message.grants_answer_sequence.saturating_sub(self.behind),
            slots: self.slots,
            ramp: self.ramp,
        };
        Ok((self.endpoint.parse()?, answer))
    }
}

impl WireLoad {
    /// Converts a report that this VM read.
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

    /// Returns the endpoint and its report on this VM's clock.
    ///
    /// # Errors
    ///
    /// Returns the first name that is not valid.
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
