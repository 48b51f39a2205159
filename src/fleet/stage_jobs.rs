//! Sends stage jobs to the VMs that own their groups of endpoints, and serves those of other VMs.

use std::collections::{BTreeSet, HashMap};
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use slog::{info, warn};
use smallvec::SmallVec;
use tokio::sync::{Mutex, mpsc};
use tokio::time::{Instant, sleep, timeout};

use crate::clock;
use crate::decisions::batching::{ItemFailure, ItemInput, Job, JobId, endpoint_address};
use crate::decisions::group_choice::{GroupLoad, home_group};
use crate::decisions::stage_groups::{GroupId, StageGroup};
use crate::decisions::work_order::Urgency;
use crate::fleet::dispatcher::{JobFailure, data_centre_of};
use crate::fleet::model::FleetVm;
use crate::fleet::node::Node;
use crate::fleet::peer_state::encode_state;
use crate::fleet::store_feed::answer_listener;
use crate::fleet::view::FleetView;
use crate::fleet::wire::{Body, Handles, ITEM_FAILED, JobFailed, StageJob, WireGroupLoad};
use crate::units::{ServiceName, Time};

/// Maximum number of other VMs that are asked to run a job before this VM runs it itself.
const MAX_OWNERS_TRIED: usize = 2;
/// Time without a sign of life of the owner of a group, which sends one each 250 ms, until the other owners are asked
/// for one.
const SIGN_OF_LIFE_TIMEOUT: Duration = Duration::from_millis(300);
/// Time that these have for it. The call to the first one fails later.
const OWNERS_TIMEOUT: Duration = Duration::from_millis(400);
/// Part of it after which the successors of those that have given none are asked too.
const SUCCESSORS_DELAY: Duration = Duration::from_millis(100);
/// Maximum number of groups that a job is sent to because groups before had no endpoint left.
const MAX_GROUPS_TRIED: usize = 3;
/// Interval between two reports of the load of a group.
const REPORT_INTERVAL: Duration = Duration::from_millis(150);
/// Interval between two reports of the load of a group in which nothing waits.
const IDLE_REPORT_INTERVAL: Duration = Duration::from_millis(450);

/// Starts the tasks that report the loads of this VM's groups and free the results that `unused`
/// receives.
pub fn start_tasks(node: &Arc<Node>, unused: mpsc::UnboundedReceiver<Vec<String>>) {
    let unused = Arc::new(Mutex::new(unused));
    node.spawn_supervised("unused inputs", move |node| {
        free_unused_inputs(node, Arc::clone(&unused))
    });
    node.spawn_supervised("load reports", report_loads);
}

/// Runs a job of a service in one of its groups and returns the handles of the results.
///
/// # Errors
///
/// Returns why the job has no results.
pub async fn run_job(
    node: &Arc<Node>,
    service: &ServiceName,
    mut job: Job,
) -> Result<Vec<String>, JobFailure> {
    let mut excluded: SmallVec<[GroupId; MAX_GROUPS_TRIED]> = SmallVec::new();
    let mut target = None;
    let mut may_move = true;
    if let ItemInput::Handles(handles) = &job.input {
        let handles = handles.iter().map(|handle| (handle.as_str(), 1));
        job.preferred_data_centre = data_centre_of(&node.view(), handles);
    }
    // Before, this VM would take itself for the owner of every group.
    node.wait_for_fleet().await;
    while excluded.len() < MAX_GROUPS_TRIED {
        let view = node.view();
        let group = target.take().or_else(|| {
            let groups = view.stage_groups.of_service(service);
            let preferred = job.preferred_data_centre.as_ref();
            let own = &node.settings.data_centre;
            let home = home_group(groups, preferred, own, &job.request, &excluded)?;
            Some(home.id.clone())
        });
        let Some(group) = group else { break };
        match run_at_owner(node, &view, &group, &mut job, may_move, false).await {
            Err(JobFailure::Moved(other)) if may_move => {
                may_move = false;
                target = Some(other);
            }
            Err(JobFailure::Item(ItemFailure::NoEndpoint { may_have_run })) => {
                job.is_retry |= may_have_run;
                excluded.push(group);
            }
            outcome => return outcome,
        }
    }
    Err(JobFailure::NO_ENDPOINT)
}

/// Runs a job at the VM that owns a group, or at the next one in order if that VM does not answer.
/// This VM runs it when its own turn comes, or after [`MAX_OWNERS_TRIED`] other VMs. `is_forwarded` says
/// that the job is another VM's.
async fn run_at_owner(
    node: &Arc<Node>,
    view: &FleetView,
    group: &GroupId,
    job: &mut Job,
    may_move: bool,
    is_forwarded: bool,
) -> Result<Vec<String>, JobFailure> {
    let owners = view.stage_groups.get(group).map(|group| &*group.owners);
    let owners = owners.unwrap_or_default().iter();
    let reachable = owners.filter(|vm| !node.peers.is_avoided(vm.ip));
    let was_stopping = node.is_stopping();
    for vm in reachable.take(MAX_OWNERS_TRIED) {
        if vm.name == node.settings.vm {
            if was_stopping {
                continue;
            }
            break;
        }
        let call = Body::StageJob(StageJob {
            is_forwarded,
            ..encode_job(group, job, may_move, clock::now())
        });
        match call_owner(node, vm.ip, call).await {
            Ok(Body::Results(results)) => return Ok(results.handles),
            Ok(Body::JobFailed(failed)) if failed.is_stopping => {
                job.is_retry |= failed.may_have_run;
                info!(node.logger, "stages: the owner stops, trying the next VM";
                    "id" => &*job.request, "group" => %group, "stopping_vm" => %vm.name);
            }
            Ok(Body::JobFailed(failed)) => {
                job.is_retry |= failed.may_have_run;
                return Err(decode_failure(&failed));
            }
            Ok(_) => {
                warn!(node.logger, "stages: a VM sent an answer of the wrong type"; "vm" => %vm.name)
            }
            Err(_) => {
                // The items may have run at the VM that did not answer, so running them again uses
                // the budget for retries.
                job.is_retry = true;
                info!(node.logger, "stages: a call to a VM failed, trying the next VM";
                    "id" => &*job.request, "group" => %group, "failed_vm" => %vm.name);
            }
        }
    }
    let outcome = node.dispatcher.run(group, job.clone(), may_move).await;
    if !is_forwarded
        && !was_stopping
        && node.is_stopping()
        && outcome == Err(JobFailure::NO_ENDPOINT)
    {
        // The job has been handed over. Another VM's job goes back to it, since its call to this VM would break
        // off at the end of the stop. There is no further round, since this VM is stopping now.
        let view = node.view();
        return Box::pin(run_at_owner(
            node,
            &view,
            group,
            job,
            may_move,
            is_forwarded,
        ))
        .await;
    }
    outcome
}

/// Calls the owner of a group. If it gives no sign of life, all other owners are asked for one meanwhile, so that the
/// silence of several of them costs a request its time once.
async fn call_owner(node: &Arc<Node>, ip: Ipv4Addr, call: Body) -> anyhow::Result<Body> {
    let called_at = Instant::now();
    let mut answer = std::pin::pin!(node.peers.call(ip, call));
    if let Ok(answer) = timeout(SIGN_OF_LIFE_TIMEOUT, answer.as_mut()).await {
        return answer;
    }
    if !node.peers.has_heard(ip, called_at) && !node.checks_owners.swap(true, Ordering::Relaxed) {
        let node = Arc::clone(node);
        tokio::spawn(async move {
            avoid_silent_owners(&node).await;
            node.checks_owners.store(false, Ordering::Relaxed);
        });
    }
    answer.await
}

/// Asks the owners of all groups for a sign of life, and avoids those that give none. The successors of such owners are
/// asked too: they may become owners meanwhile, and a job that is sent to a silent one would wait once more.
async fn avoid_silent_owners(node: &Arc<Node>) {
    let view = node.view();
    let is_asked = |vm: &&FleetVm| vm.name != node.settings.vm && !node.peers.is_avoided(vm.ip);
    let asked_at = Instant::now();
    let mut ips: BTreeSet<Ipv4Addr> = BTreeSet::new();
    let mut ask = |vm: &FleetVm| {
        if ips.insert(vm.ip) {
            node.peers.ping(vm.ip);
        }
    };
    let owners = view.stage_groups.iter().flat_map(|group| &group.owners);
    owners.filter(is_asked).for_each(&mut ask);
    sleep(SUCCESSORS_DELAY).await;
    let is_silent =
        |vm: &FleetVm| vm.name != node.settings.vm && !node.peers.has_heard(vm.ip, asked_at);
    let silent = |group: &&StageGroup| group.owners.iter().any(is_silent);
    let groups = view.stage_groups.iter().filter(silent);
    let successors = groups.flat_map(|group| &group.successors);
    successors.filter(is_asked).for_each(ask);
    sleep(OWNERS_TIMEOUT - SUCCESSORS_DELAY).await;
    for ip in ips {
        if !node.peers.has_heard(ip, asked_at) {
            info!(node.logger, "stages: an owner gives no sign of life"; "vm" => %ip);
            node.peers.avoid(ip);
        }
    }
}

/// Serves a call of another VM. Returns no answer for a message that needs none or is not a call.
pub async fn serve_peer_call(node: Arc<Node>, body: Body) -> Option<Body> {
    match body {
        Body::StageJob(wire) => Some(serve_job(&node, wire).await),
        Body::Free(message) => {
            node.dispatcher.free(message.handles);
            None
        }
        Body::StateRequest(_) => {
            let state = encode_state(clock::now(), &node.view().store);
            Some(Body::State(state))
        }
        Body::ListenToStore(call) => {
            let (feed, view) = (node.feed.clone(), node.view.clone());
            let offers = Arc::clone(&node.offers);
            Some(answer_listener(feed, view, offers, call).await)
        }
        Body::GroupLoad(report) => {
            if let Ok(group) = report.group.parse() {
                let load = GroupLoad {
                    wait: Duration::from_millis(report.wait_ms.into()),
                    items_per_s: report.items_per_s.into(),
                };
                node.dispatcher.record_load(group, load);
            }
            None
        }
        _ => None,
    }
}

/// Counts a stage job of another VM as in progress until it is dropped, so that a planned stop waits.
struct ActivePeerJob(Arc<Node>);

impl ActivePeerJob {
    fn new(node: &Arc<Node>) -> Self {
        node.active_peer_jobs.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(node))
    }
}

impl Drop for ActivePeerJob {
    fn drop(&mut self) {
        self.0.active_peer_jobs.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Runs a stage job for another VM. A job without a group comes from an earlier build, which sends
/// all jobs of a service to one VM; it is sent on to the owner of its group.
async fn serve_job(node: &Arc<Node>, wire: StageJob) -> Body {
    let _active = ActivePeerJob::new(node);
    let stopping = || JobFailed {
        is_stopping: true,
        // For earlier builds, which look no further.
        ..failed_job(JobFailure::NO_ENDPOINT)
    };
    if node.is_stopping() {
        return Body::JobFailed(stopping());
    }
    let service = wire.service.clone();
    let group: Option<GroupId> = wire.group.as_ref().and_then(|group| group.parse().ok());
    let may_move = wire.may_move;
    let may_forward = node.forwards_jobs() && !wire.is_forwarded && !wire.is_retry;
    let was_retry = wire.is_retry;
    let mut job = decode_job(wire, clock::now());
    let outcome = match (group, service.parse()) {
        // The sender may not know all VMs yet.
        (Some(group), _) if may_forward => {
            node.wait_for_fleet().await;
            run_at_owner(node, &node.view(), &group, &mut job, may_move, true).await
        }
        (Some(group), _) => node.dispatcher.run(&group, job.clone(), may_move).await,
        (None, Ok(service)) => run_job(node, &service, job.clone()).await,
        (None, Err(_)) => Err(JobFailure::NO_ENDPOINT),
    };
    // A VM that the job was passed on to may have run it, which the sender has to count as a run.
    let may_have_run = job.is_retry && !was_retry;
    let failed = match outcome {
        Ok(handles) => return Body::Results(Handles { handles, service }),
        Err(JobFailure::NO_ENDPOINT) if node.is_stopping() => stopping(),
        Err(failure) => failed_job(failure),
    };
    Body::JobFailed(JobFailed {
        may_have_run: failed.may_have_run || may_have_run,
        ..failed
    })
}

/// Reports the loads of the groups that this VM owns to the owners of the other groups of the same
/// service, which move jobs by them.
async fn report_loads(node: Arc<Node>) {
    let mut reported_at: HashMap<GroupId, Time> = HashMap::new();
    loop {
        sleep(REPORT_INTERVAL).await;
        let (view, now) = (node.view(), clock::now());
        let is_own = |group: &&StageGroup| is_first(&group.owners, &node);
        for group in view.stage_groups.iter().filter(is_own) {
            let siblings = view.stage_groups.of_service(&group.id.service);
            let Some(load) = node.dispatcher.load(&view, group) else {
                continue;
            };
            let last = reported_at.get(&group.id).copied().unwrap_or(Time::ZERO);
            let is_idle = load.wait.is_zero();
            if siblings.len() < 2 || is_idle && now.since(last) < IDLE_REPORT_INTERVAL {
                continue;
            }
            reported_at.insert(group.id.clone(), now);
            report_load(&node, group, load, siblings);
        }
        reported_at.retain(|group, _| view.stage_groups.get(group).is_some());
    }
}

/// Sends the load of a group to the owners of the other groups of its service.
fn report_load(node: &Arc<Node>, group: &StageGroup, load: GroupLoad, siblings: &[StageGroup]) {
    if group.usable.is_empty() {
        return;
    }
    let others = siblings.iter().filter(|other| other.id != group.id);
    let mut ips: SmallVec<[Ipv4Addr; 8]> = SmallVec::new();
    for owner in others.filter_map(|other| other.owners.first()) {
        if owner.name == node.settings.vm {
            node.dispatcher.record_load(group.id.clone(), load);
        } else if !ips.contains(&owner.ip) {
            ips.push(owner.ip);
        }
    }
    for ip in ips {
        let report = WireGroupLoad {
            group: group.id.to_string(),
            wait_ms: u32::try_from(load.wait.as_millis()).unwrap_or(u32::MAX),
            items_per_s: load.items_per_s as f32,
        };
        node.peers.send_one_way(ip, Body::GroupLoad(report));
    }
}

/// Frees results through the VMs that own the groups of their endpoints, or directly from this VM
/// where it is the owner or all owners are avoided. Results of endpoints that are gone need no call.
pub fn free_results(node: &Arc<Node>, handles: impl IntoIterator<Item = String>) {
    let view = node.view();
    let mut by_owner: HashMap<(Ipv4Addr, ServiceName), Vec<String>> = HashMap::new();
    let mut own = Vec::new();
    for handle in handles {
        let endpoint = endpoint_address(&handle).and_then(|address| view.endpoint_at(address));
        let group = endpoint.and_then(|endpoint| view.stage_groups.of_endpoint(&endpoint.id));
        let Some(group) = group else { continue };
        let mut owners = group.owners.iter();
        match owners.find(|vm| !node.peers.is_avoided(vm.ip)) {
            Some(vm) if vm.name != node.settings.vm => {
                let key = (vm.ip, group.id.service.clone());
                by_owner.entry(key).or_default().push(handle);
            }
            _ => own.push(handle),
        }
    }
    node.dispatcher.free(own);
    for ((ip, service), handles) in by_owner {
        let message = Handles {
            handles,
            service: service.to_string(),
        };
        node.peers.send_one_way(ip, Body::Free(message));
    }
}

/// Frees results that batches of this VM have read for the last time.
async fn free_unused_inputs(
    node: Arc<Node>,
    unused: Arc<Mutex<mpsc::UnboundedReceiver<Vec<String>>>>,
) {
    let mut unused = unused.lock().await;
    while let Some(handles) = unused.recv().await {
        free_results(&node, handles);
    }
}

fn is_first(owners: &[FleetVm], node: &Node) -> bool {
    owners
        .first()
        .is_some_and(|owner| owner.name == node.settings.vm)
}

/// Encodes a job of this VM, to be sent to another VM now.
pub fn encode_job(group: &GroupId, job: &Job, may_move: bool, now: Time) -> StageJob {
    let (key, inputs) = match &job.input {
        ItemInput::Key(key) => (Some(key.to_string()), Vec::new()),
        ItemInput::Handles(handles) => (None, handles.to_vec()),
    };
    let due_ms = job.due.since(now).as_millis() as i64 - now.since(job.due).as_millis() as i64;
    StageJob {
        service: group.service.to_string(),
        request: job.request.to_string(),
        stage: job.stage as u32,
        items: job.items,
        key,
        inputs,
        due_ms,
        deadline_ms: job.deadline.since(now).as_millis() as u64,
        result_bytes: job.result_bytes,
        is_retry: job.is_retry,
        reads_inputs_last: job.reads_inputs_last,
        preferred_data_centre: job.preferred_data_centre.as_ref().map(ToString::to_string),
        group: Some(group.to_string()),
        may_move,
        priority: job.urgency.priority.map(u32::from),
        organisation: job.urgency.organisation.as_ref().map(ToString::to_string),
        is_forwarded: false,
    }
}

/// Decodes a stage job of another VM that arrived at `now`.
pub fn decode_job(wire: StageJob, now: Time) -> Job {
    let due = Duration::from_millis(wire.due_ms.unsigned_abs());
    let preferred_data_centre = wire.preferred_data_centre;
    Job {
        id: JobId(0),
        request: wire.request.into(),
        stage: wire.stage as usize,
        items: wire.items,
        input: match wire.key {
            Some(key) => ItemInput::Key(key.into()),
            None => ItemInput::Handles(wire.inputs.into()),
        },
        due: match wire.due_ms < 0 {
            true => now - due,
            false => now + due,
        },
        deadline: now + Duration::from_millis(wire.deadline_ms),
        result_bytes: wire.result_bytes,
        is_retry: wire.is_retry,
        preferred_data_centre: preferred_data_centre.and_then(|name| name.parse().ok()),
        reads_inputs_last: wire.reads_inputs_last,
        urgency: Urgency {
            priority: wire
                .priority
                .map(|priority| u8::try_from(priority).unwrap_or(u8::MAX)),
            organisation: wire.organisation.and_then(|name| name.parse().ok()),
        },
    }
}

fn failed_job(failure: JobFailure) -> JobFailed {
    let mut failed = JobFailed::default();
    failed.reason = match failure {
        JobFailure::Overloaded(wait) | JobFailure::Item(ItemFailure::Overtaken(wait)) => {
            failed.retry_after_ms = wait.as_millis() as u64;
            0
        }
        JobFailure::Item(ItemFailure::NoEndpoint { may_have_run }) => {
            failed.may_have_run = may_have_run;
            1
        }
        JobFailure::Item(ItemFailure::Late) => 2,
        JobFailure::Item(ItemFailure::InputGone) => 3,
        JobFailure::Item(ItemFailure::NoRoom) => 4,
        JobFailure::Item(ItemFailure::Failed) => ITEM_FAILED,
        JobFailure::Moved(group) => {
            failed.group = Some(group.to_string());
            6
        }
    };
    failed
}

fn decode_failure(failed: &JobFailed) -> JobFailure {
    let group = failed.group.as_ref().and_then(|group| group.parse().ok());
    match (failed.reason, group) {
        (0, _) => JobFailure::Overloaded(Duration::from_millis(failed.retry_after_ms)),
        (1, _) => JobFailure::Item(ItemFailure::NoEndpoint {
            may_have_run: failed.may_have_run,
        }),
        (2, _) => JobFailure::Item(ItemFailure::Late),
        (3, _) => JobFailure::Item(ItemFailure::InputGone),
        (4, _) => JobFailure::Item(ItemFailure::NoRoom),
        (6, Some(group)) => JobFailure::Moved(group),
        _ => JobFailure::Item(ItemFailure::Failed),
    }
}
