//! What VMs tell each other of the membership.

use std::net::Ipv4Addr;

use crate::fleet::model::FleetVm;
use crate::units::VmId;

/// What is known of a VM. A later variant wins over an earlier one of the same incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum VmState {
    /// It answers.
    Alive,
    /// It did not answer and may object.
    Suspect,
    /// It did not object in time.
    Dead,
    /// It said that it leaves.
    Left,
}

/// A VM and its state, as VMs tell each other.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VmRecord {
    /// The VM.
    pub vm: FleetVm,
    /// Rises whenever the VM starts or objects to a suspicion.
    pub incarnation: u64,
    /// Its state.
    pub state: VmState,
    /// Whether it takes requests of callers.
    pub is_serving: bool,
}

/// What a message asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum GossipKind {
    /// Asks for an acknowledgement.
    Ping,
    /// Answers a ping or an indirect probe.
    Ack,
    /// Asks the recipient to ping another VM in place of the sender.
    PingRequest(Ipv4Addr),
    /// Asks for the records that the recipient holds.
    Join,
    /// Tells records without asking for anything.
    Records,
}

/// One message between VMs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GossipMessage {
    /// What it asks for.
    pub kind: GossipKind,
    /// Number of the probe that it belongs to.
    pub probe: u64,
    /// The sender.
    pub sender: VmRecord,
    /// Records of other VMs.
    pub records: Vec<VmRecord>,
    /// Revision of the store that the sender has seen.
    pub store_revision: u64,
}

/// A message to send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outgoing {
    /// Where to.
    pub to: Ipv4Addr,
    /// The message.
    pub message: GossipMessage,
}

/// A change of what this VM believes, for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MembershipChange {
    /// The VM.
    pub vm: VmId,
    /// What it is now.
    pub state: VmState,
    /// Its incarnation.
    pub incarnation: u64,
}
