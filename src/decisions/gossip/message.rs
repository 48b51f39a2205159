//! Messages and records of the gossip protocol.

use std::net::Ipv4Addr;

use crate::decisions::revision_lag::StoreProgress;
use crate::fleet::model::FleetVm;
use crate::units::VmId;

/// State of a VM. Within one incarnation, a later variant overrides an earlier one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum VmState {
    /// The VM answers probes.
    Alive,
    /// The VM did not answer a probe and may still refute the suspicion.
    Suspect,
    /// The VM did not refute the suspicion in time.
    Dead,
    /// The VM announced that it leaves.
    Left,
}

/// A VM and its state, as exchanged between VMs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VmRecord {
    /// The VM that the record describes.
    pub vm: FleetVm,
    /// Rises whenever the VM starts, announces a change or refutes a suspicion.
    pub incarnation: u64,
    /// State of the VM.
    pub state: VmState,
    /// Whether the VM takes requests of callers.
    pub is_serving: bool,
}

/// Purpose of a message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum GossipKind {
    /// Asks the recipient for an acknowledgement.
    Ping,
    /// Acknowledges a ping or an indirect probe.
    Ack,
    /// Asks the recipient to ping another VM in place of the sender.
    PingRequest(Ipv4Addr),
    /// Asks for the records of all VMs that the recipient knows.
    Join,
    /// Carries records and needs no reply.
    Records,
}

/// A message between two VMs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GossipMessage {
    /// Purpose of the message.
    pub kind: GossipKind,
    /// Number of the probe that the message belongs to; 0 for none.
    pub probe: u64,
    /// Record of the sender.
    pub sender: VmRecord,
    /// Records of other VMs.
    pub records: Vec<VmRecord>,
    /// How far the sender has followed the platform's store.
    pub store: StoreProgress,
    /// Number of VMs that the sender knows to be alive, itself included; `None` while it
    /// may not know its fleet yet.
    pub fleet_size: Option<usize>,
}

/// A message and the address to send it to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outgoing {
    /// Address of the recipient.
    pub to: Ipv4Addr,
    /// Message to send.
    pub message: GossipMessage,
}

/// A change in the state that this VM records for another VM, for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MembershipChange {
    /// The VM that changed.
    pub vm: VmId,
    /// New state of the VM.
    pub state: VmState,
    /// Incarnation that the new state belongs to.
    pub incarnation: u64,
}
