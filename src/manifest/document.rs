//! Formats of the documents that the platform publishes.

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
    /// Version of the manifest, set from the index. Parts do not contain it.
    #[serde(skip)]
    pub version: Version,
    /// Number of cells into which VMs, organisations and endpoints are divided.
    pub cells: Option<u32>,
    /// VMs that operators state to be stopped for good (`docs/design.md`, 3.1).
    pub fenced_vms: Vec<VmId>,
    /// Maximum number of model loads that may read from the weight store at once.
    pub weight_store_loads: Option<u32>,
    /// Data centres and whether they are in service.
    pub data_centres: Vec<DataCentre>,
    /// Models, each with the number of engines that should have it loaded.
    pub models: Vec<Model>,
    /// Pipelines and their stages.
    pub pipelines: Vec<Pipeline>,
    /// Endpoints, each with the number of requests that it can run at once.
    pub endpoints: Vec<Endpoint>,
    /// Organisations, their rate limits and the digests of their API keys.
    pub organisations: Vec<Organisation>,
}

/// A data centre in which VMs and endpoints run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DataCentre {
    /// Name of the data centre.
    pub name: DataCentreName,
    /// Region that the data centre belongs to.
    pub region: RegionName,
    /// Whether the data centre may get new work.
    #[serde(default)]
    pub state: DataCentreState,
}

/// Whether a data centre may get new work.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DataCentreState {
    /// The data centre is in service.
    #[default]
    In,
    /// The data centre is taken out of service: running work finishes there, new work goes to other
    /// data centres.
    Out,
}

/// A model that engines load.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Name of the model.
    pub name: ModelName,
    /// Number of engines that should have the model loaded.
    #[serde(default = "one")]
    pub wanted_engines: u32,
}

/// A pipeline: stages that a request passes through one after another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pipeline {
    /// Name of the pipeline, as callers use it.
    pub name: PipelineName,
    /// Maximum time from the arrival of a request to its complete answer, in milliseconds.
    pub deadline_ms: u64,
    /// Organisation whose rate limit applies to requests without an API key. If it is not set, the
    /// pipeline needs an API key.
    #[serde(default)]
    pub open_as: Option<OrganisationName>,
    /// Stages of the pipeline, in the order in which they run.
    pub stages: Vec<Stage>,
}

/// One stage of a pipeline.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stage {
    /// Name of the stage, unique within the pipeline.
    pub name: StageName,
    /// Kind of work that the stage does.
    pub kind: StageKind,
    /// Service that runs the stage. Each endpoint offers exactly one service.
    pub service: ServiceName,
    /// Model that an engine must have loaded to run the stage.
    #[serde(default)]
    pub model: Option<ModelName>,
    /// Whether the stage may be sent to an endpoint again after a failure.
    #[serde(default = "yes")]
    pub idempotent: bool,
    /// Weight of the stage when the time until the deadline is divided among the remaining stages.
    #[serde(default = "one")]
    pub weight: u32,
}

/// Kind of work that a stage needs and an endpoint does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StageKind {
    /// Turns text into vectors.
    Encode,
    /// Finds documents.
    Retrieve,
    /// Orders documents by relevance.
    Rerank,
    /// Generates tokens with a model.
    Generate,
    /// Calls a service of no special kind.
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

/// An endpoint, which is one back-end process.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// Name of the endpoint.
    pub name: EndpointName,
    /// Kind of work that the endpoint does.
    pub kind: StageKind,
    /// Service that the endpoint offers.
    pub service: ServiceName,
    /// Address at which the endpoint listens.
    pub address: SocketAddr,
    /// Data centre in which the endpoint runs.
    pub data_centre: DataCentreName,
    /// Whether the endpoint may get new work.
    #[serde(default)]
    pub state: EndpointState,
    /// Maximum number of requests that the endpoint can run at once when it is warm.
    pub slots: u32,
    /// Maximum number of requests that the endpoint can run at once during a cold start.
    #[serde(default = "one")]
    pub cold_slots: u32,
    /// Models that the endpoint has loaded or may be ordered to load.
    #[serde(default)]
    pub models: Vec<ModelName>,
    /// Whether the endpoint refuses orders with an outdated fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
}

/// Whether an endpoint may get new work.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointState {
    /// The endpoint is in service.
    #[default]
    Live,
    /// The endpoint is leaving: running work finishes there, new work goes to other endpoints.
    Leaving,
}

/// An organisation with its rate limit and API keys.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// Name of the organisation.
    pub name: OrganisationName,
    /// Maximum rate of requests per second across the fleet.
    pub rate_per_second: RatePerSecond,
    /// Maximum number of requests at once above the rate, across the fleet.
    pub burst: Burst,
    /// SHA-256 digests of the organisation's API keys. The keys themselves are never published.
    #[serde(default, rename = "key_digests")]
    pub api_key_digests: Vec<ApiKeyDigest>,
}

/// SHA-256 digest of an API key, written in hexadecimal.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct ApiKeyDigest(pub [u8; 32]);

impl ApiKeyDigest {
    /// Returns the digest of an API key in the form in which a caller sends it.
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

/// The platform's list of the VMs of the system, which may lag behind the VMs that really run.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VmList {
    /// Version of the list.
    pub version: Version,
    /// All VMs on the list, live and leaving.
    pub vms: Vec<VmEntry>,
}

/// One VM on the platform's list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VmEntry {
    /// Name of the VM.
    pub id: VmId,
    /// Data centre in which the VM runs.
    pub data_centre: DataCentreName,
    /// Whether the VM is leaving.
    #[serde(default)]
    pub state: VmState,
    /// Address to which callers connect.
    pub caller_address: SocketAddr,
    /// Address to which other VMs send state messages.
    pub peer_state_address: SocketAddr,
    /// Address to which other VMs send calls.
    pub peer_call_address: SocketAddr,
}

/// Whether a VM is leaving.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// The VM is in service.
    #[default]
    Live,
    /// The VM is about to stop.
    Leaving,
}
