//! The status document that `/v1/status` serves and the command line reads.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::manifest::EndpointState;
use crate::units::{
    DataCentreName, EndpointName, Incarnation, OrganisationName, ServiceName, Version, VmId,
};

/// State of one VM, and of the fleet as this VM sees it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The VM that answers.
    pub vm: VmId,
    /// Incarnation of the VM's daemon.
    pub incarnation: Incarnation,
    /// The data centre of the VM.
    pub data_centre: DataCentreName,
    /// Whether a planned stop of the VM began.
    pub stopping: bool,
    /// Whether the VM holds a majority lease.
    #[serde(rename = "in_force")]
    pub has_lease: bool,
    /// Version of the manifest in force; `None` until the VM has read one.
    pub manifest_version: Option<Version>,
    /// Version of the VM list in force.
    pub list_version: Version,
    /// Whether the configuration was confirmed recently, so that requests with an API key are
    /// accepted.
    #[serde(rename = "keys_fresh")]
    pub api_keys_fresh: bool,
    /// Number of requests that are running on the VM.
    pub running_requests: usize,
    /// The VMs on the VM list, including the one that answers.
    pub peers: Vec<PeerStatus>,
    /// The endpoints of the manifest.
    pub endpoints: Vec<EndpointStatus>,
    /// Organisations that sent requests to this VM since it started.
    pub organisations: Vec<OrganisationStatus>,
}

/// State of one VM on the VM list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// Name of the VM.
    pub vm: VmId,
    /// Data centre of the VM.
    pub data_centre: DataCentreName,
    /// Address of the VM's caller interface.
    pub caller_address: SocketAddr,
    /// Whether the VM list shows the VM as leaving.
    pub leaving: bool,
    /// Whether a majority votes the VM absent.
    pub absent: bool,
    /// Whether the VM that answers received nothing from this VM lately.
    pub silent: bool,
}

/// State of one endpoint as the VM that answers sees it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EndpointStatus {
    /// Name of the endpoint.
    pub endpoint: EndpointName,
    /// The service that the endpoint offers.
    pub service: ServiceName,
    /// Data centre of the endpoint.
    pub data_centre: DataCentreName,
    /// State of the endpoint in the manifest.
    pub state: EndpointState,
    /// Whether the endpoint's data centre is in service.
    pub in_service: bool,
    /// Slots of the endpoint that the VM that answers may use now.
    pub granted_slots: u32,
    /// Total slots of the endpoint when it is warm.
    pub slots: u32,
    /// Requests in flight from the VM that answers to the endpoint.
    pub in_flight: u32,
    /// Whether the endpoint's circuit breaker lets an attempt start now.
    pub circuit: CircuitStatus,
    /// Whether the latest load report shows a cold start; `None` without a report.
    pub cold: Option<bool>,
}

/// Whether a circuit breaker lets an attempt start now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CircuitStatus {
    /// Attempts may start.
    Closed,
    /// No attempt may start before the next probe.
    Open,
}

/// Requests of one organisation that the VM that answers admitted and refused since its start.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct OrganisationStatus {
    /// Name of the organisation.
    pub organisation: OrganisationName,
    /// Number of requests that got a token of the organisation's rate allowance.
    pub admitted: u64,
    /// Number of requests that were refused before a stage ran.
    pub refused: u64,
}
