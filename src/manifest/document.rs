//! Shapes of the documents that the platform publishes.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::units::{
    Burst, DataCentreName, EndpointName, ModelName, OrganisationName, PipelineName, RatePerSecond,
    RegionName, ServiceName, StageName, Version, VmId,
};

const fn one() -> u32 {
    1
}

const fn yes() -> bool {
    true
}

/// Everything that operators declare, merged from all parts.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Manifest {
    /// Set from the index; a part does not carry it.
    #[serde(skip)]
    pub version: Version,
    /// Number of cells that VMs, organisations and endpoints are divided into.
    pub cells: Option<u32>,
    /// VMs that operators state to be stopped for good (`docs/design.md`, 3.1).
    pub fenced_vms: Vec<VmId>,
    /// Model loads that may run at once against the weight store.
    pub weight_store_loads: Option<u32>,
    /// Data centres and whether they are in service.
    pub data_centres: Vec<DataCentre>,
    /// Models and how many engines should hold each.
    pub models: Vec<Model>,
    /// Pipelines and their stages.
    pub pipelines: Vec<Pipeline>,
    /// Endpoints and what each can bear.
    pub endpoints: Vec<Endpoint>,
    /// Organisations, their allowances and the digests of their keys.
    pub organisations: Vec<Organisation>,
}

/// A data centre.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DataCentre {
    /// Its name.
    pub name: DataCentreName,
    /// The region that it belongs to.
    pub region: RegionName,
    /// Whether it may get new work.
    #[serde(default)]
    pub state: DataCentreState,
}

/// Whether a data centre may get new work.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DataCentreState {
    /// In service.
    #[default]
    In,
    /// Taken out: running work ends, new work goes elsewhere.
    Out,
}

/// A model.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Its name.
    pub name: ModelName,
    /// Number of engines that should hold it.
    #[serde(default = "one")]
    pub wanted_engines: u32,
}

/// A pipeline: stages that run one after another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pipeline {
    /// Its name, as callers use it.
    pub name: PipelineName,
    /// Longest time from arrival to the whole answer, in milliseconds.
    pub deadline_ms: u64,
    /// Set on a route open to all: requests without a key count against this organisation.
    #[serde(default)]
    pub open_as: Option<OrganisationName>,
    /// The stages in order.
    pub stages: Vec<Stage>,
}

/// One stage of a pipeline.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stage {
    /// Its name within the pipeline.
    pub name: StageName,
    /// What sort of work it is.
    pub kind: StageKind,
    /// The service that runs it; endpoints offer exactly one.
    pub service: ServiceName,
    /// The model that an engine must have loaded.
    #[serde(default)]
    pub model: Option<ModelName>,
    /// Whether the stage may be sent again after a failure.
    #[serde(default = "yes")]
    pub idempotent: bool,
    /// Share of the remaining deadline relative to the other remaining stages.
    #[serde(default = "one")]
    pub weight: u32,
}

/// The sort of work that a stage is and an endpoint does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StageKind {
    /// Turns text into vectors.
    Encode,
    /// Finds documents.
    Retrieve,
    /// Orders documents.
    Rerank,
    /// Generates tokens with a model.
    Generate,
    /// Calls a plain service.
    Plain,
}

impl fmt::Display for StageKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.pad(match self {
            Self::Encode => "encode",
            Self::Retrieve => "retrieve",
            Self::Rerank => "rerank",
            Self::Generate => "generate",
            Self::Plain => "plain",
        })
    }
}

/// An endpoint: one back-end process.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// Its name.
    pub name: EndpointName,
    /// The sort of work it does.
    pub kind: StageKind,
    /// The service it offers.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// The data centre it stands in.
    pub data_centre: DataCentreName,
    /// Whether it may get new work.
    #[serde(default)]
    pub state: EndpointState,
    /// Requests that it bears at once when warm.
    pub slots: u32,
    /// Requests that it bears at once in a cold start.
    #[serde(default = "one")]
    pub cold_slots: u32,
    /// Models that it holds or may be ordered to load.
    #[serde(default)]
    pub models: Vec<ModelName>,
    /// Whether it refuses orders with an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
}

/// Whether an endpoint may get new work.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointState {
    /// In service.
    #[default]
    Live,
    /// Leaving: running work ends, new work goes elsewhere.
    Leaving,
}

/// An organisation with its allowance and keys.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// Its name.
    pub name: OrganisationName,
    /// Requests a second across the fleet.
    pub rate_per_second: RatePerSecond,
    /// Requests at once on top of the rate, across the fleet.
    pub burst: Burst,
    /// SHA-256 digests of its API keys. The keys themselves are never published.
    #[serde(default, rename = "key_digests")]
    pub api_key_digests: Vec<ApiKeyDigest>,
}

/// SHA-256 digest of an API key, written in hexadecimal.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct ApiKeyDigest(pub [u8; 32]);

impl ApiKeyDigest {
    /// Returns the digest of a key as a caller sends it.
    pub fn of_key(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }
}

impl fmt::Display for ApiKeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.pad(&hex::encode(self.0))
    }
}

impl fmt::Debug for ApiKeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "ApiKeyDigest({self})")
    }
}

impl FromStr for ApiKeyDigest {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut bytes = [0; 32];
        hex::decode_to_slice(text, &mut bytes)
            .map_err(|_| format!("{text:?} is not a SHA-256 digest in hexadecimal"))?;
        Ok(Self(bytes))
    }
}

impl TryFrom<String> for ApiKeyDigest {
    type Error = String;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<ApiKeyDigest> for String {
    fn from(digest: ApiKeyDigest) -> Self {
        digest.to_string()
    }
}

/// The platform's lagging list of VMs of the system.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VmList {
    /// Version of the list.
    pub version: Version,
    /// The VMs, live and leaving.
    pub vms: Vec<VmEntry>,
}

/// One VM on the platform's list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VmEntry {
    /// Its name.
    pub id: VmId,
    /// The data centre it stands in.
    pub data_centre: DataCentreName,
    /// Whether it is leaving.
    #[serde(default)]
    pub state: VmState,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where other VMs send state messages.
    pub peer_state_address: SocketAddr,
    /// Where other VMs send calls.
    pub peer_call_address: SocketAddr,
}

/// Whether a VM is leaving.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// In service.
    #[default]
    Live,
    /// About to stop.
    Leaving,
}
