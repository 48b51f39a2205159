//! Protobuf messages between the VMs of the fleet, and the conversion of gossip to typed values.
//!
//! VMs of different versions tell fields apart by their tags, so a tag is never reused for another
//! meaning.

use std::net::Ipv4Addr;
use std::time::Duration;

use prost::{Message, Oneof};

use crate::decisions::engine_load::{LoadReport, MAX_SHARED, Observation, ProcessKey, SharedLoad};
use crate::decisions::gossip::{GossipKind, GossipMessage, VmRecord, VmState};
use crate::decisions::quarantine::{CrashEvidence, CrashReport, PassEvidence};
use crate::decisions::revision_lag::StoreProgress;
use crate::fleet::model::{FleetVm, VmSize};
use crate::units::{ParseError, PartId, StoreEra, StorePosition};

/// A [`VmRecord`] on the wire.
#[derive(Clone, PartialEq, Message)]
pub struct WireRecord {
    /// Name of the VM.
    #[prost(string, tag = "1")]
    pub name: String,
    /// IPv4 address of the VM.
    #[prost(fixed32, tag = "2")]
    pub ip: u32,
    /// Data centre of the VM.
    #[prost(string, tag = "3")]
    pub data_centre: String,
    /// Incarnation of the VM: set at its start, and raised by each change that it announces.
    #[prost(fixed64, tag = "4")]
    pub incarnation: u64,
    /// State of the VM, as the position in [`VmState`].
    #[prost(uint32, tag = "5")]
    pub state: u32,
    /// Whether the VM takes requests.
    #[prost(bool, tag = "6")]
    pub is_serving: bool,
    /// Processor time that the VM may use, in thousandths of a core; 0 from earlier builds.
    #[prost(uint32, tag = "7")]
    pub cpu_millicores: u32,
    /// Bandwidth of the VM's link, in megabits per second; 0 from earlier builds.
    #[prost(uint32, tag = "8")]
    pub link_mbit_per_s: u32,
}

/// A [`GossipMessage`] on the wire.
#[derive(Clone, PartialEq, Message)]
pub struct WireGossip {
    /// Kind of the message, as the position in [`GossipKind`].
    #[prost(uint32, tag = "1")]
    pub kind: u32,
    /// IPv4 address of the VM to probe, for an indirect probe; 0 otherwise.
    #[prost(fixed32, tag = "2")]
    pub target: u32,
    /// Number of the probe that the message belongs to.
    #[prost(uint64, tag = "3")]
    pub probe: u64,
    /// Record of the sender itself.
    #[prost(message, optional, tag = "4")]
    pub sender: Option<WireRecord>,
    /// Records of other VMs.
    #[prost(message, repeated, tag = "5")]
    pub records: Vec<WireRecord>,
    /// Newest revision of the platform's store that the sender knows.
    #[prost(uint64, tag = "7")]
    pub store_revision: u64,
    /// Number of VMs that the sender knows to be alive, itself included; 0 while it may not know
    /// its fleet yet, and from earlier builds.
    #[prost(uint32, tag = "8")]
    pub fleet_size: u32,
    /// Era of `store_revision`; absent if the store states none, and from earlier builds.
    #[prost(uint64, optional, tag = "9")]
    pub store_era: Option<u64>,
    /// Version of the configuration in force at the sender; 0 if it has none, and from earlier builds.
    #[prost(uint64, tag = "10")]
    pub configuration_version: u64,
}

/// A datagram with evidence of crashed engines, from one VM to another.
#[derive(Clone, PartialEq, Message)]
pub struct WireCrashReport {
    /// Engines that ended while requests were at their start there.
    #[prost(message, repeated, tag = "1")]
    pub crashes: Vec<WireCrash>,
    /// Parts that were at crashes, with requests that got past their start.
    #[prost(message, repeated, tag = "2")]
    pub passes: Vec<WirePass>,
    /// Digest of the crashes that the sender knows; present if it asks for what it lacks.
    #[prost(fixed64, optional, tag = "3")]
    pub digest: Option<u64>,
}

/// A crashed engine on the wire.
#[derive(Clone, PartialEq, Message)]
pub struct WireCrash {
    /// Id of the engine.
    #[prost(string, tag = "1")]
    pub endpoint: String,
    /// Time since it ended, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub age_ms: u64,
    /// Ids of the shared parts of the requests that were at their start.
    #[prost(fixed64, repeated, tag = "3")]
    pub parts: Vec<u64>,
}

/// The last pass of a part on the wire.
#[derive(Clone, PartialEq, Message)]
pub struct WirePass {
    /// Id of the part.
    #[prost(fixed64, tag = "1")]
    pub part: u64,
    /// Time since a request with the part got past its start, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub age_ms: u64,
}

/// A datagram with loads of endpoints, from one VM to another. It has no tag in common with
/// [`WireCrashReport`], which has the same port.
#[derive(Clone, PartialEq, Message)]
pub struct WireLoadReports {
    /// The newest observations of endpoints.
    #[prost(message, repeated, tag = "4")]
    pub loads: Vec<WireLoad>,
}

/// The newest observations of one endpoint on the wire.
#[derive(Clone, PartialEq, Message)]
pub struct WireLoad {
    /// Key of the endpoint's process.
    #[prost(fixed64, tag = "1")]
    pub process: u64,
    /// Number of the report of load; absent if there is none.
    #[prost(fixed32, optional, tag = "2")]
    pub load_number: Option<u32>,
    /// Age of the report, in milliseconds.
    #[prost(uint32, tag = "3")]
    pub load_age_ms: u32,
    /// Number of requests that run.
    #[prost(uint32, tag = "4")]
    pub running: u32,
    /// Number of requests that wait.
    #[prost(uint32, tag = "5")]
    pub waiting: u32,
    /// Number of requests that the endpoint runs at the same time.
    #[prost(uint32, tag = "6")]
    pub slots: u32,
    /// Time that work takes now, in percent of the usual time.
    #[prost(uint32, optional, tag = "7")]
    pub work_time_percent: Option<u32>,
    /// Number of the outcome of an attempt; absent if there is none.
    #[prost(fixed32, optional, tag = "8")]
    pub outcome_number: Option<u32>,
    /// Age of the outcome, in milliseconds.
    #[prost(uint32, tag = "9")]
    pub outcome_age_ms: u32,
    /// Whether the attempt failed.
    #[prost(bool, tag = "10")]
    pub has_failed: bool,
}

impl From<&SharedLoad> for WireLoad {
    fn from(shared: &SharedLoad) -> Self {
        let age_ms = |age: Duration| age.as_millis().try_into().unwrap_or(u32::MAX);
        let mut wire = Self {
            process: shared.process.0,
            ..Self::default()
        };
        if let Some(load) = &shared.load {
            wire.load_number = Some(load.number);
            wire.load_age_ms = age_ms(load.age);
            wire.running = load.value.running;
            wire.waiting = load.value.waiting;
            wire.slots = load.value.slots;
            wire.work_time_percent = load.value.work_time_percent;
        }
        if let Some(outcome) = &shared.has_failed {
            wire.outcome_number = Some(outcome.number);
            wire.outcome_age_ms = age_ms(outcome.age);
            wire.has_failed = outcome.value;
        }
        wire
    }
}

impl From<WireLoad> for SharedLoad {
    fn from(wire: WireLoad) -> Self {
        let report = LoadReport {
            running: wire.running,
            waiting: wire.waiting,
            slots: wire.slots,
            work_time_percent: wire.work_time_percent,
        };
        Self {
            process: ProcessKey(wire.process),
            load: wire
                .load_number
                .filter(|_| report.is_plausible())
                .map(|number| Observation {
                    value: report,
                    number,
                    age: Duration::from_millis(wire.load_age_ms.into()),
                }),
            has_failed: wire.outcome_number.map(|number| Observation {
                value: wire.has_failed,
                number,
                age: Duration::from_millis(wire.outcome_age_ms.into()),
            }),
        }
    }
}

/// Encodes loads of endpoints.
pub fn encode_load_reports(loads: &[SharedLoad]) -> Vec<u8> {
    let loads = loads.iter().map(WireLoad::from).collect();
    WireLoadReports { loads }.encode_to_vec()
}

/// Decodes loads of endpoints; none from a datagram of another kind.
///
/// # Errors
///
/// Returns what is wrong with the datagram.
pub fn decode_load_reports(datagram: &[u8]) -> anyhow::Result<Vec<SharedLoad>> {
    let wire = WireLoadReports::decode(datagram)?;
    let loads = wire.loads.into_iter().take(MAX_SHARED);
    Ok(loads.map(SharedLoad::from).collect())
}

/// Encodes a report of crashes, with a digest if the sender asks for what it lacks.
pub fn encode_crash_report(report: &CrashReport, digest: Option<u64>) -> Vec<u8> {
    let crashes = report.crashes.iter().map(|crash| WireCrash {
        endpoint: crash.endpoint.to_string(),
        age_ms: crash.age.as_millis() as u64,
        parts: crash.parts.iter().map(|part| part.0).collect(),
    });
    let passes = report.passes.iter().map(|pass| WirePass {
        part: pass.part.0,
        age_ms: pass.age.as_millis() as u64,
    });
    let wire = WireCrashReport {
        crashes: crashes.collect(),
        passes: passes.collect(),
        digest,
    };
    wire.encode_to_vec()
}

/// Decodes a report of crashes and the digest of its sender.
///
/// # Errors
///
/// Returns what is wrong with the datagram; the caller drops it.
pub fn decode_crash_report(datagram: &[u8]) -> anyhow::Result<(CrashReport, Option<u64>)> {
    let wire = WireCrashReport::decode(datagram)?;
    // One whose endpoint cannot be read names no engine of this build's fleet.
    let crashes = wire.crashes.into_iter().filter_map(|crash| {
        Some(CrashEvidence {
            endpoint: crash.endpoint.parse().ok()?,
            age: Duration::from_millis(crash.age_ms),
            parts: crash.parts.into_iter().map(PartId).collect(),
        })
    });
    let passes = wire.passes.into_iter().map(|pass| PassEvidence {
        part: PartId(pass.part),
        age: Duration::from_millis(pass.age_ms),
    });
    let report = CrashReport {
        crashes: crashes.collect(),
        passes: passes.collect(),
    };
    Ok((report, wire.digest))
}

/// One frame of a connection between VMs: a call, its answer, or a message without an answer.
#[derive(Clone, PartialEq, Message)]
pub struct Frame {
    /// Number of the call on its connection; 0 for frames without an answer.
    #[prost(uint64, tag = "1")]
    pub call: u64,
    /// Content of the frame.
    #[prost(oneof = "Body", tags = "2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13")]
    pub body: Option<Body>,
}

impl Frame {
    /// Returns the name of what the frame carries, for the metrics.
    pub fn kind(&self) -> &'static str {
        self.body.as_ref().map_or("empty", Body::kind)
    }
}

impl Body {
    /// Returns the name of the message, for the metrics.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::StageJob(_) => "stage_job",
            Self::Cancel(_) => "cancel",
            Self::Free(_) => "free_results",
            Self::Results(_) => "stage_results",
            Self::JobFailed(_) => "stage_failure",
            Self::Ping(_) | Self::Pong(_) => "ping",
            Self::StateRequest(_) => "state_request",
            Self::State(_) => "store_state",
            Self::GroupLoad(_) => "group_load",
            Self::ListenToStore(_) => "listen",
            Self::StoreNews(_) => "store_changes",
        }
    }

    /// Returns whether this is a call, which the other VM answers.
    pub fn is_call(&self) -> bool {
        matches!(
            self,
            Self::StageJob(_) | Self::StateRequest(_) | Self::ListenToStore(_)
        )
    }
}

/// Content of a [`Frame`].
#[derive(Clone, PartialEq, Oneof)]
pub enum Body {
    /// Asks for the items of one stage of a request to be run.
    #[prost(message, tag = "2")]
    StageJob(StageJob),
    /// Cancels the call with the same number.
    #[prost(message, tag = "3")]
    Cancel(Empty),
    /// Asks for results to be freed that are no longer needed.
    #[prost(message, tag = "4")]
    Free(Handles),
    /// Answers a stage job with the handles of its results.
    #[prost(message, tag = "5")]
    Results(Handles),
    /// Answers a stage job that has no results with the reason.
    #[prost(message, tag = "6")]
    JobFailed(JobFailed),
    /// Asks the other VM for a sign of life.
    #[prost(message, tag = "7")]
    Ping(Empty),
    /// Answers a ping.
    #[prost(message, tag = "8")]
    Pong(Empty),
    /// Asks for the other VM's state of the platform's store.
    #[prost(message, tag = "9")]
    StateRequest(Empty),
    /// Answers a state request.
    #[prost(message, tag = "10")]
    State(FleetState),
    /// Tells the load of a group of endpoints that the sender owns; it has no answer.
    #[prost(message, tag = "11")]
    GroupLoad(WireGroupLoad),
    /// Asks a VM that watches the platform's store for changes.
    #[prost(message, tag = "12")]
    ListenToStore(ListenToStore),
    /// Answers a listener with the changes that it lacks.
    #[prost(message, tag = "13")]
    StoreNews(StoreNews),
}

/// A message without content.
#[derive(Clone, PartialEq, Message)]
pub struct Empty {}

/// Handles of stage results.
#[derive(Clone, PartialEq, Message)]
pub struct Handles {
    /// Handles of the results, which name them at their endpoints.
    #[prost(string, repeated, tag = "1")]
    pub handles: Vec<String>,
    /// The service whose endpoints made the results.
    #[prost(string, tag = "2")]
    pub service: String,
}

/// Asks for the items of one stage of one request to be run.
#[derive(Clone, PartialEq, Message)]
pub struct StageJob {
    /// The service that runs the stage.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Id of the request.
    #[prost(string, tag = "2")]
    pub request: String,
    /// Number of the stage within its route.
    #[prost(uint32, tag = "3")]
    pub stage: u32,
    /// Number of items of the stage.
    #[prost(uint32, tag = "4")]
    pub items: u32,
    /// Key that is sent with the items in place of inputs, for a stage without predecessors.
    #[prost(string, optional, tag = "5")]
    pub key: Option<String>,
    /// Handles of the results that each item reads.
    #[prost(string, repeated, tag = "6")]
    pub inputs: Vec<String>,
    /// Time within which the stage has to end for the request to be answered on time, in
    /// milliseconds; negative when that time has passed.
    #[prost(sint64, tag = "8")]
    pub due_ms: i64,
    /// Time until the deadline of the stage, in milliseconds.
    #[prost(uint64, tag = "9")]
    pub deadline_ms: u64,
    /// Approximate size of the result of one item.
    #[prost(uint64, tag = "10")]
    pub result_bytes: u64,
    /// Whether this stage of the request was asked for before.
    #[prost(bool, tag = "11")]
    pub is_retry: bool,
    /// Whether no other stage of the request reads the inputs.
    #[prost(bool, tag = "12")]
    pub reads_inputs_last: bool,
    /// The data centre where the results will be read, if it is known.
    #[prost(string, optional, tag = "13")]
    pub preferred_data_centre: Option<String>,
    /// The group of endpoints that runs the stage; absent from earlier builds, which know no groups.
    #[prost(string, optional, tag = "14")]
    pub group: Option<String>,
    /// Whether the owner of the group may move the job to another group.
    #[prost(bool, tag = "15")]
    pub may_move: bool,
    /// Priority of the request, 0 for the most urgent; absent from earlier builds.
    #[prost(uint32, optional, tag = "16")]
    pub priority: Option<u32>,
    /// Name of the organisation of the request, if it has one; absent from earlier builds.
    #[prost(string, optional, tag = "17")]
    pub organisation: Option<String>,
    /// Whether the sender does not own the group itself but passes on a job of a third VM, so that the
    /// recipient runs it whatever it knows of the owners.
    #[prost(bool, tag = "30")]
    pub is_forwarded: bool,
}

/// Load of a group of endpoints.
#[derive(Clone, PartialEq, Message)]
pub struct WireGroupLoad {
    /// Id of the group.
    #[prost(string, tag = "1")]
    pub group: String,
    /// Expected time until an item that arrives now starts to run, in milliseconds.
    #[prost(uint32, tag = "2")]
    pub wait_ms: u32,
    /// Number of items per second that the group runs with full calls.
    #[prost(float, tag = "3")]
    pub items_per_s: f32,
}

/// Reason of a [`JobFailed`] whose items failed.
pub const ITEM_FAILED: u32 = 5;

/// Says why a stage job has no results.
#[derive(Clone, PartialEq, Message)]
pub struct JobFailed {
    /// Number of the [`crate::fleet::dispatcher::JobFailure`]: 0 overloaded, 1 no endpoint, 2 item
    /// late, 3 input gone, 4 no memory for results, 6 moved, any other: the item failed.
    #[prost(uint32, tag = "1")]
    pub reason: u32,
    /// Estimate of the time until the queue is short enough for the job, in milliseconds; 0 if
    /// unknown.
    #[prost(uint64, tag = "2")]
    pub retry_after_ms: u64,
    /// The group that the job moves to; present only when the reason is 6.
    #[prost(string, optional, tag = "3")]
    pub group: Option<String>,
    /// Whether items of the job may have run; only for the reason 1.
    #[prost(bool, tag = "4")]
    pub may_have_run: bool,
    /// Whether the sender stops and has run no item of the job, which is for the next owner of the group.
    #[prost(bool, tag = "5")]
    pub is_stopping: bool,
}

/// Asks for changes of the platform's store.
#[derive(Clone, PartialEq, Message)]
pub struct ListenToStore {
    /// Revision up to which the sender has all changes.
    #[prost(uint64, tag = "1")]
    pub after: u64,
    /// Whether the answer must not wait for changes: the sender's word of the store is late. For earlier builds, which
    /// do not know `hold_ms`.
    #[prost(bool, tag = "2")]
    pub at_once: bool,
    /// Era of `after`; absent if the store states none, and from earlier builds.
    #[prost(uint64, optional, tag = "3")]
    pub era: Option<u64>,
    /// Longest time for which the answer may wait for changes or a later word, in milliseconds; absent from earlier
    /// builds.
    #[prost(uint64, optional, tag = "4")]
    pub hold_ms: Option<u64>,
    /// Age of the sender's word of the store, in milliseconds; absent before its first one, and from earlier builds.
    #[prost(uint64, optional, tag = "5")]
    pub word_age_ms: Option<u64>,
    /// IPv4 address of the sender; 0 from earlier builds.
    #[prost(fixed32, tag = "6")]
    pub listener_ip: u32,
}

/// Changes of the platform's store.
#[derive(Clone, PartialEq, Message)]
pub struct StoreNews {
    /// Whether the sender has recent word of the store. If not, `changes` may be missing, and earlier builds set only
    /// `has_lost_store`.
    #[prost(bool, tag = "1")]
    pub is_current: bool,
    /// Revision up to which the message has all changes after the one that was asked for.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// The changes, in order.
    #[prost(message, repeated, tag = "3")]
    pub changes: Vec<WireStoreItem>,
    /// Time for which the store has answered the sender without a break, in milliseconds; 0 from earlier
    /// builds.
    #[prost(uint64, tag = "4")]
    pub answering_ms: u64,
    /// Whether the sender has asked the store and got no answer. A relay that has only just started has no word of
    /// the store either, but that says nothing about the store.
    #[prost(bool, tag = "5")]
    pub has_lost_store: bool,
    /// Era of `revision`; absent if the store states none, and from earlier builds.
    #[prost(uint64, optional, tag = "6")]
    pub era: Option<u64>,
    /// Time from the arrival of the call until that up to which the sender has all changes, in milliseconds, below 0 if
    /// it was before; absent if the message has no changes, and from earlier builds.
    #[prost(sint64, optional, tag = "7")]
    pub word_offset_ms: Option<i64>,
    /// Whether the sender asks the store itself.
    #[prost(bool, tag = "8")]
    pub asks_store: bool,
}

/// A change of an item of the platform's store.
#[derive(Clone, PartialEq, Message)]
pub struct WireStoreItem {
    /// What the item describes: 1 the configuration, 2 the evacuation of a data centre, 3 an
    /// endpoint, any other: nothing that this system uses.
    #[prost(uint32, tag = "1")]
    pub kind: u32,
    /// Name of the data centre or id of the endpoint.
    #[prost(string, tag = "2")]
    pub name: String,
    /// Revision of the change.
    #[prost(uint64, tag = "3")]
    pub revision: u64,
    /// Value of the item; absent when it was removed.
    #[prost(bytes = "bytes", optional, tag = "4")]
    pub value: Option<bytes::Bytes>,
    /// Time since a VM read the change from the store, in milliseconds; 0 from earlier builds.
    #[prost(uint64, tag = "5")]
    pub read_age_ms: u64,
}

/// State of the platform's store as one VM knows it.
#[derive(Clone, PartialEq, Message)]
pub struct FleetState {
    /// Revision of the store that the state reflects.
    #[prost(uint64, tag = "1")]
    pub store_revision: u64,
    /// The configuration document as it was published; empty when none is known.
    #[prost(bytes = "bytes", tag = "2")]
    pub configuration: bytes::Bytes,
    /// Names of the evacuated data centres.
    #[prost(string, repeated, tag = "3")]
    pub evacuated: Vec<String>,
    /// All listed endpoints.
    #[prost(message, repeated, tag = "4")]
    pub endpoints: Vec<WireEndpoint>,
    /// In the answer to a listener, as in [`StoreNews`]; otherwise 0.
    #[prost(uint64, tag = "5")]
    pub answering_ms: u64,
    /// Era of `store_revision`; absent if the store states none, and from earlier builds.
    #[prost(uint64, optional, tag = "6")]
    pub era: Option<u64>,
    /// Endpoints that the store lists and that the sender does not use yet, since it knows that they left or
    /// drain and the store may have come back from a copy from before that.
    #[prost(message, repeated, tag = "7")]
    pub held_endpoints: Vec<WireHeldEndpoint>,
    /// Evacuations that the sender keeps and the store does not list, since it may have come back from a copy from
    /// before them.
    #[prost(message, repeated, tag = "8")]
    pub held_evacuations: Vec<WireHeldEvacuation>,
    /// In the answer to a listener, as in [`StoreNews`].
    #[prost(sint64, optional, tag = "9")]
    pub word_offset_ms: Option<i64>,
}

/// An endpoint that the sender does not use yet although the store lists it.
#[derive(Clone, PartialEq, Message)]
pub struct WireHeldEndpoint {
    /// The endpoint as the store lists it.
    #[prost(message, optional, tag = "1")]
    pub endpoint: Option<WireEndpoint>,
    /// Time until it is used, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub used_in_ms: u64,
}

/// An evacuation that the store does not list.
#[derive(Clone, PartialEq, Message)]
pub struct WireHeldEvacuation {
    /// Name of the data centre.
    #[prost(string, tag = "1")]
    pub data_centre: String,
    /// Time until it ends, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub ends_in_ms: u64,
}

/// An endpoint on the wire between VMs.
#[derive(Clone, PartialEq, Message)]
pub struct WireEndpoint {
    /// Id of the endpoint.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Service of the endpoint.
    #[prost(string, tag = "2")]
    pub service: String,
    /// Address and port of the endpoint.
    #[prost(string, tag = "3")]
    pub address: String,
    /// Data centre of the endpoint.
    #[prost(string, tag = "4")]
    pub data_centre: String,
    /// Number of requests that the endpoint runs at the same time.
    #[prost(uint32, tag = "5")]
    pub slots: u32,
    /// Whether the endpoint takes new requests.
    #[prost(bool, tag = "6")]
    pub is_ready: bool,
    /// Time for which the endpoint stays cold, in milliseconds; 0 for a warm one.
    #[prost(uint64, tag = "7")]
    pub cold_ms: u64,
    /// Start of the endpoint's process, in milliseconds since the Unix epoch; 0 if unknown.
    #[prost(uint64, tag = "8")]
    pub started_ms: u64,
    /// Revision of the entry's last change.
    #[prost(uint64, tag = "9")]
    pub revision: u64,
    /// Time until a removed entry stops being listed, in milliseconds; absent if the store has it.
    #[prost(uint64, optional, tag = "10")]
    pub expires_in_ms: Option<u64>,
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
            cpu_millicores: record.vm.size.cpu_millicores,
            link_mbit_per_s: record.vm.size.link_mbit_per_s,
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
                size: VmSize {
                    cpu_millicores: record.cpu_millicores,
                    link_mbit_per_s: record.link_mbit_per_s,
                },
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
        store_revision: message.store.position.revision,
        store_era: message.store.position.era.map(|era| era.0),
        configuration_version: message.store.configuration_version,
        fleet_size: message.fleet_size.map_or(0, |size| size as u32),
    };
    wire.encode_to_vec()
}

/// Highest incarnation of a record that is accepted: microseconds since the epoch until the year 2100.
/// A VM refutes a record with a higher incarnation, so those of malformed records must leave it room.
const MAX_INCARNATION: u64 = 4_102_444_800_000_000;

/// Decodes a gossip message.
///
/// # Errors
///
/// Returns what is wrong with the datagram; the caller drops it.
pub fn decode_gossip(datagram: &[u8]) -> anyhow::Result<GossipMessage> {
    let wire = WireGossip::decode(datagram)?;
    let mut records = wire.sender.iter().chain(&wire.records);
    if let Some(record) = records.find(|record| record.incarnation > MAX_INCARNATION) {
        anyhow::bail!("{} is no incarnation of a VM", record.incarnation);
    }
    let kind = match wire.kind {
        0 => GossipKind::Ping,
        1 => GossipKind::Ack,
        2 => GossipKind::PingRequest(Ipv4Addr::from(wire.target)),
        3 => GossipKind::Join,
        4 => GossipKind::Records,
        other => anyhow::bail!("{other} is not a kind of gossip message"),
    };
    let sender = wire.sender.as_ref();
    let sender = sender.ok_or_else(|| anyhow::anyhow!("the gossip message has no sender"))?;
    // A later build may know VMs whose names this one cannot read, and pass their records on in all its messages.
    let records = wire
        .records
        .iter()
        .filter_map(|record| record.try_into().ok());
    Ok(GossipMessage {
        kind,
        probe: wire.probe,
        sender: sender.try_into()?,
        records: records.collect(),
        store: StoreProgress {
            position: StorePosition {
                era: wire.store_era.map(StoreEra),
                revision: wire.store_revision,
            },
            configuration_version: wire.configuration_version,
        },
        fleet_size: (wire.fleet_size > 0).then_some(wire.fleet_size as usize),
    })
}
