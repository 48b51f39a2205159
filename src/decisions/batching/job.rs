//! Jobs, their items, and the calls that carry them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::fleet::model::Endpoint;
use crate::units::{DataCentreName, Time};

/// What an item reads.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ItemInput {
    /// The key of the request, for stages without predecessors.
    Key(Arc<str>),
    /// Results of the preceding stages.
    Handles(Arc<[String]>),
}

/// One item of a stage.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ItemSpec {
    /// Id of the request.
    pub request: Arc<str>,
    /// Number of the stage in its route.
    pub stage: usize,
    /// Number of the item in its stage.
    pub index: u32,
    /// What it reads.
    pub input: ItemInput,
}

/// Why an item has no result.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ItemFailure {
    /// Its deadline passed before its turn.
    Late,
    /// One of its inputs does not exist any more.
    InputGone,
    /// The endpoint has no memory for the result.
    NoRoom,
    /// The endpoint or the way to it failed.
    Failed,
}

/// Identifies a job at its batcher.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct JobId(pub u64);

/// All items of one stage of one request.
#[derive(Debug, Clone)]
pub struct Job {
    /// Its id.
    pub id: JobId,
    /// Id of the request.
    pub request: Arc<str>,
    /// Number of the stage.
    pub stage: usize,
    /// How many items it has.
    pub items: u32,
    /// What each item reads.
    pub input: ItemInput,
    /// End of the stage for an answer that is on time.
    pub due: Time,
    /// End of the stage for an answer at all.
    pub deadline: Time,
    /// Approximate size of one result.
    pub result_bytes: u64,
    /// Whether the stage of this request has run before.
    pub is_retry: bool,
    /// The data centre that keeps most of the results that the items read or, without inputs,
    /// where their own results will be read.
    pub preferred_data_centre: Option<DataCentreName>,
    /// Whether nothing else reads the inputs of the items.
    pub reads_inputs_last: bool,
}

/// How a job ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobEnd {
    /// The job.
    pub id: JobId,
    /// Its results in the order of the items, or why there are none.
    pub results: Result<Vec<String>, ItemFailure>,
    /// Results that were made although the job failed.
    pub orphans: Vec<String>,
}

/// One call to make.
#[derive(Debug, Clone)]
pub struct Batch {
    /// Identifies the call.
    pub id: u64,
    /// Where to.
    pub endpoint: Arc<Endpoint>,
    /// The items with the end of their time.
    pub items: Vec<(ItemSpec, Time)>,
    /// When the call counts as lost.
    pub timeout: Duration,
    /// Inputs that nothing reads any more once the endpoint has fetched those of this call.
    pub last_inputs: Vec<Arc<[String]>>,
    /// Result memory that results use at the endpoint or are promised, those of this call included.
    pub used_bytes: u64,
}

/// How a call failed as a whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BatchFailure {
    /// The endpoint said that it did not run the call.
    Refused,
    /// The call may have run.
    MayHaveRun,
}

/// Returns the address of the endpoint that keeps a result.
pub fn endpoint_address(handle: &str) -> Option<SocketAddr> {
    let (address, _) = handle.split_once('/')?;
    address.parse().ok()
}
