//! Jobs, their items, and the calls that run the items at endpoints.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use smallvec::SmallVec;

use crate::decisions::work_order::Urgency;
use crate::fleet::model::Endpoint;
use crate::units::{DataCentreName, Time};

/// Input of an item.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ItemInput {
    /// Key of the request, for stages without preceding stages.
    Key(Arc<str>),
    /// Handles of the results of the preceding stages.
    Handles(Arc<[String]>),
}

/// One item of a stage, as it is sent to an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ItemSpec {
    /// Id of the request.
    pub request: Arc<str>,
    /// Number of the stage within its route.
    pub stage: usize,
    /// Number of the item within its stage.
    pub index: u32,
    /// Input of the item.
    pub input: ItemInput,
}

/// Why an item has no result.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ItemFailure {
    /// The deadline of the item can no longer be met.
    Late,
    /// The work that goes before the job fills the time until its deadline. No item of the job was
    /// sent. Holds the time after which a place is expected.
    Overtaken(Duration),
    /// An input of the item no longer exists.
    InputGone,
    /// The endpoint has no memory left for the result.
    NoRoom,
    /// The endpoint, or the connection to it, failed.
    Failed,
    /// No endpoint is left to run the item. Holds whether items of the job may have run.
    NoEndpoint {
        /// Whether items of the job may have run.
        may_have_run: bool,
    },
}

/// Id of a job, unique within its batcher.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct JobId(pub u64);

/// All items of one stage of one request.
#[derive(Debug, Clone)]
pub struct Job {
    /// Id of the job.
    pub id: JobId,
    /// Id of the request.
    pub request: Arc<str>,
    /// Number of the stage within its route.
    pub stage: usize,
    /// Number of items in the job.
    pub items: u32,
    /// Input of each item.
    pub input: ItemInput,
    /// Time by which the stage must end for the request to be answered on time.
    pub due: Time,
    /// Time by which the stage must end for the request to be answered at all.
    pub deadline: Time,
    /// Approximate size of the result of one item.
    pub result_bytes: u64,
    /// Whether an earlier attempt ran this stage of the request.
    pub is_retry: bool,
    /// Data centre that holds most of the results that the items read or, for items without such
    /// inputs, the data centre where their own results will be read.
    pub preferred_data_centre: Option<DataCentreName>,
    /// Whether these items are the last to read their inputs.
    pub reads_inputs_last: bool,
    /// How urgent the job is, and whose share of the service it takes.
    pub urgency: Urgency,
}

/// How a job ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobEnd {
    /// Id of the job that ended.
    pub id: JobId,
    /// Handles of the results in the order of the items, or why the job failed.
    pub results: Result<Vec<String>, ItemFailure>,
    /// Handles of results that exist although the job failed; nothing reads them.
    pub orphans: Vec<String>,
    /// Inputs that nothing reads any more, now that all items of the job have results. Endpoints fetch
    /// inputs at the turn of a call, which a silence delays, so they are kept until then.
    pub unused_inputs: Option<Arc<[String]>>,
}

/// A call that is to be made to an endpoint.
#[derive(Debug, Clone)]
pub struct Batch {
    /// Id of the call, unique within its batcher.
    pub id: u64,
    /// Endpoint that the call goes to.
    pub endpoint: Arc<Endpoint>,
    /// Items of the call with their deadlines.
    pub items: Vec<(ItemSpec, Time)>,
    /// Time after which the items also run elsewhere if they can ([`Batcher::resend_overdue`]).
    ///
    /// [`Batcher::resend_overdue`]: crate::decisions::batching::Batcher::resend_overdue
    pub timeout: Duration,
    /// How long the jobs waited whose first items are in this call.
    pub waits: SmallVec<[Duration; 8]>,
    /// Result memory at the endpoint that is used or reserved, including the results of this call.
    pub used_bytes: u64,
}

/// How a call failed as a whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BatchFailure {
    /// The endpoint reported that it did not run the call.
    Refused,
    /// The endpoint could not be reached, so it got nothing.
    NotSent,
    /// The call failed after the endpoint may have run it.
    Broken,
}

/// Returns the address of the endpoint that holds a result: the part of the handle before the
/// first `/`. Returns nothing if this is no socket address.
pub fn endpoint_address(handle: &str) -> Option<SocketAddr> {
    let (address, _) = handle.split_once('/')?;
    address.parse().ok()
}
