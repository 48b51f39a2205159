//! The document that `/v1/status` serves and the command line reads.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::manifest::EndpointState;
use crate::units::{
    DataCentreName, EndpointName, Incarnation, OrganisationName, ServiceName, Version, VmId,
};

/// What one VM knows about itself and the fleet.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The VM that answers.
    pub vm: VmId,
    /// This incarnation of its daemon.
    pub incarnation: Incarnation,
    /// The data centre it stands in.
    pub data_centre: DataCentreName,
    /// Whether a planned stop began.
    pub stopping: bool,
    /// Whether the VM holds a majority lease.
    #[serde(rename = "in_force")]
    pub has_lease: bool,
    /// Version of the manifest in force; `None` until one was read.
    pub manifest_version: Option<Version>,
    /// Version of the VM list in force.
    pub list_version: Version,
    /// Whether requests with an API key are accepted: the configuration was confirmed recently.
    #[serde(rename = "keys_fresh")]
    pub api_keys_fresh: bool,
    /// Requests that run now on this VM.
    pub running_requests: usize,
    /// The VMs on the list, this one included.
    pub peers: Vec<PeerStatus>,
    /// The endpoints of the manifest.
    pub endpoints: Vec<EndpointStatus>,
    /// Organisations that sent requests to this VM since it started.
    pub organisations: Vec<OrganisationStatus>,
}

/// One VM of the list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// Its name.
    pub vm: VmId,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Whether the list shows it as leaving.
    pub leaving: bool,
    /// Whether a majority votes it absent.
    pub absent: bool,
    /// Whether the VM that answers did not hear it lately.
    pub silent: bool,
}

/// One endpoint as this VM sees it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EndpointStatus {
    /// Its name.
    pub endpoint: EndpointName,
    /// The service it offers.
    pub service: ServiceName,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// Its state in the manifest.
    pub state: EndpointState,
    /// Whether its data centre is in service.
    pub in_service: bool,
    /// Slots that this VM may use now.
    pub granted_slots: u32,
    /// Slots of the endpoint when warm.
    pub slots: u32,
    /// Requests in flight from this VM.
    pub in_flight: u32,
    /// Whether its circuit lets an attempt start now.
    pub circuit: CircuitStatus,
    /// Whether the latest load report shows a cold start; `None` without a report.
    pub cold: Option<bool>,
}

/// Whether a circuit lets an attempt start now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CircuitStatus {
    /// Attempts start.
    Closed,
    /// Attempts wait for the next probe.
    Open,
}

/// What one organisation got from this VM since it started.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct OrganisationStatus {
    /// Its name.
    pub organisation: OrganisationName,
    /// Requests that got a token.
    pub admitted: u64,
    /// Requests that were refused before a stage ran.
    pub refused: u64,
}
