//! Messages between the VMs of the fleet and their conversion to typed values.
//!
//! Fields evolve by number; a number is never used again for another meaning.

use std::net::Ipv4Addr;

use prost::{Message, Oneof};

use crate::decisions::gossip::{GossipKind, GossipMessage, VmRecord, VmState};
use crate::fleet::model::FleetVm;
use crate::units::ParseError;

/// A [`VmRecord`] on the wire.
#[derive(Clone, PartialEq, Message)]
pub struct WireRecord {
    /// Name of the VM.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Its address.
    #[prost(fixed32, tag = "2")]
    pub ip: u32,
    /// Its data centre.
    #[prost(string, tag = "3")]
    pub data_centre: String,
    /// Its incarnation.
    #[prost(fixed64, tag = "4")]
    pub incarnation: u64,
    /// Its state, as the position in [`VmState`].
    #[prost(uint32, tag = "5")]
    pub state: u32,
    /// Whether it takes requests.
    #[prost(bool, tag = "6")]
    pub is_serving: bool,
}

/// A [`GossipMessage`] on the wire.
#[derive(Clone, PartialEq, Message)]
pub struct WireGossip {
    /// Position in [`GossipKind`].
    #[prost(uint32, tag = "1")]
    pub kind: u32,
    /// Target of an indirect probe.
    #[prost(fixed32, tag = "2")]
    pub target: u32,
    /// Number of the probe.
    #[prost(uint64, tag = "3")]
    pub probe: u64,
    /// The sender.
    #[prost(message, optional, tag = "4")]
    pub sender: Option<WireRecord>,
    /// Records of other VMs.
    #[prost(message, repeated, tag = "5")]
    pub records: Vec<WireRecord>,
    /// Revision of the store that the sender has seen.
    #[prost(uint64, tag = "7")]
    pub store_revision: u64,
}

/// A call of another VM, or its answer.
#[derive(Clone, PartialEq, Message)]
pub struct Frame {
    /// Number of the call on its connection; 0 for frames without an answer.
    #[prost(uint64, tag = "1")]
    pub call: u64,
    /// What it says.
    #[prost(oneof = "Body", tags = "2, 3, 4, 5, 6, 7, 8, 9, 10")]
    pub body: Option<Body>,
}

/// What a [`Frame`] says.
#[derive(Clone, PartialEq, Oneof)]
pub enum Body {
    /// Asks for the items of one stage.
    #[prost(message, tag = "2")]
    StageJob(StageJob),
    /// Gives up the call with the same number.
    #[prost(message, tag = "3")]
    Cancel(Nothing),
    /// Results that are not needed any more.
    #[prost(message, tag = "4")]
    Free(Handles),
    /// The results of a stage job.
    #[prost(message, tag = "5")]
    Results(Handles),
    /// Why a stage job has no results.
    #[prost(message, tag = "6")]
    JobFailed(JobFailed),
    /// Asks whether the other side is alive.
    #[prost(message, tag = "7")]
    Ping(Nothing),
    /// Answers a ping.
    #[prost(message, tag = "8")]
    Pong(Nothing),
    /// Asks for what the other side knows of the platform's store.
    #[prost(message, tag = "9")]
    StateRequest(Nothing),
    /// What a VM knows of the platform's store.
    #[prost(message, tag = "10")]
    State(FleetState),
}

/// A message without content.
#[derive(Clone, PartialEq, Message)]
pub struct Nothing {}

/// Names of results.
#[derive(Clone, PartialEq, Message)]
pub struct Handles {
    /// The results.
    #[prost(string, repeated, tag = "1")]
    pub handles: Vec<String>,
    /// The service that made them.
    #[prost(string, tag = "2")]
    pub service: String,
}

/// Asks for the items of one stage of one request.
#[derive(Clone, PartialEq, Message)]
pub struct StageJob {
    /// The service that runs the stage.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The request.
    #[prost(string, tag = "2")]
    pub request: String,
    /// Number of the stage.
    #[prost(uint32, tag = "3")]
    pub stage: u32,
    /// How many items.
    #[prost(uint32, tag = "4")]
    pub items: u32,
    /// The key, for a stage without predecessors.
    #[prost(string, optional, tag = "5")]
    pub key: Option<String>,
    /// Results that each item reads.
    #[prost(string, repeated, tag = "6")]
    pub inputs: Vec<String>,
    /// Time until the stage has to end for an answer on time, in milliseconds.
    #[prost(sint64, tag = "8")]
    pub due_ms: i64,
    /// Time until the stage has to end at all, in milliseconds.
    #[prost(uint64, tag = "9")]
    pub deadline_ms: u64,
    /// Approximate size of one result.
    #[prost(uint64, tag = "10")]
    pub result_bytes: u64,
    /// Whether the stage of this request was asked for before.
    #[prost(bool, tag = "11")]
    pub is_retry: bool,
    /// Whether nothing else reads the inputs.
    #[prost(bool, tag = "12")]
    pub reads_inputs_last: bool,
    /// The data centre where the results will be read, if it is known.
    #[prost(string, optional, tag = "13")]
    pub preferred_data_centre: Option<String>,
}

/// Why a stage job has no results.
#[derive(Clone, PartialEq, Message)]
pub struct JobFailed {
    /// Position in [`crate::fleet::dispatcher::JobFailure`].
    #[prost(uint32, tag = "1")]
    pub reason: u32,
    /// When the queue is expected to have room, in milliseconds; 0 if unknown.
    #[prost(uint64, tag = "2")]
    pub retry_after_ms: u64,
}

/// What a VM knows of the platform's store.
#[derive(Clone, PartialEq, Message)]
pub struct FleetState {
    /// Revision that it reflects.
    #[prost(uint64, tag = "1")]
    pub store_revision: u64,
    /// The configuration as published; empty for none.
    #[prost(bytes = "bytes", tag = "2")]
    pub configuration: bytes::Bytes,
    /// Evacuated data centres.
    #[prost(string, repeated, tag = "3")]
    pub evacuated: Vec<String>,
    /// Endpoints.
    #[prost(message, repeated, tag = "4")]
    pub endpoints: Vec<WireEndpoint>,
}

/// An endpoint on the wire between VMs.
#[derive(Clone, PartialEq, Message)]
pub struct WireEndpoint {
    /// Its id.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Its service.
    #[prost(string, tag = "2")]
    pub service: String,
    /// Its address.
    #[prost(string, tag = "3")]
    pub address: String,
    /// Its data centre.
    #[prost(string, tag = "4")]
    pub data_centre: String,
    /// Its slots.
    #[prost(uint32, tag = "5")]
    pub slots: u32,
    /// Whether it takes new work.
    #[prost(bool, tag = "6")]
    pub is_ready: bool,
    /// How long it stays cold, in milliseconds.
    #[prost(uint64, tag = "7")]
    pub cold_ms: u64,
    /// Start of its process.
    #[prost(uint64, tag = "8")]
    pub started_ms: u64,
}

impl From<&VmRecord> for WireRecord {
    fn from(record: &VmRecord) -> Self {
        Self {
            name: record.vm.name.to_string(),
            ip: record.vm.ip.into(),
            data_centre: record.vm.data_centre.to_string(),
            incarnation: record.incarnation,
            state: record.state as u32,
            is_serving: record.is_serving,
        }
    }
}

impl TryFrom<&WireRecord> for VmRecord {
    type Error = ParseError;

    fn try_from(record: &WireRecord) -> Result<Self, Self::Error> {
        Ok(Self {
            vm: FleetVm {
                name: record.name.parse()?,
                ip: Ipv4Addr::from(record.ip),
                data_centre: record.data_centre.parse()?,
            },
            incarnation: record.incarnation,
            state: match record.state {
                0 => VmState::Alive,
                1 => VmState::Suspect,
                2 => VmState::Dead,
                _ => VmState::Left,
            },
            is_serving: record.is_serving,
        })
    }
}

/// Encodes a gossip message.
pub fn encode_gossip(message: &GossipMessage) -> Vec<u8> {
    let (kind, target) = match message.kind {
        GossipKind::Ping => (0, 0),
        GossipKind::Ack => (1, 0),
        GossipKind::PingRequest(target) => (2, target.into()),
        GossipKind::Join => (3, 0),
        GossipKind::Records => (4, 0),
    };
    let wire = WireGossip {
        kind,
        target,
        probe: message.probe,
        sender: Some((&message.sender).into()),
        records: message.records.iter().map(WireRecord::from).collect(),
        store_revision: message.store_revision,
    };
    wire.encode_to_vec()
}

/// Decodes a gossip message.
///
/// # Errors
///
/// Returns what is wrong with the datagram, which is then dropped.
pub fn decode_gossip(datagram: &[u8]) -> anyhow::Result<GossipMessage> {
    let wire = WireGossip::decode(datagram)?;
    let kind = match wire.kind {
        0 => GossipKind::Ping,
        1 => GossipKind::Ack,
        2 => GossipKind::PingRequest(Ipv4Addr::from(wire.target)),
        3 => GossipKind::Join,
        4 => GossipKind::Records,
        other => anyhow::bail!("{other} is not a kind of message"),
    };
    let sender = wire.sender.as_ref();
    let sender = sender.ok_or_else(|| anyhow::anyhow!("the message has no sender"))?;
    let records: Result<Vec<VmRecord>, _> = wire.records.iter().map(VmRecord::try_from).collect();
    Ok(GossipMessage {
        kind,
        probe: wire.probe,
        sender: sender.try_into()?,
        records: records?,
        store_revision: wire.store_revision,
    })
}
