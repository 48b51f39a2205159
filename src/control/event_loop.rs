//! Entry point of the control thread, and its event loop over commands, calls and ticks.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener as StdListener};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context as _;
use slog::info;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::{JoinSet, LocalSet, spawn_local};
use tokio::time::{MissedTickBehavior, interval, sleep};

use crate::blackboard::{ControlCommand, OwnedKeyCounts};
use crate::clock;
use crate::context::Context;
use crate::control::acquire::{acquire, acquire_as_owner};
use crate::control::cold::ColdSigns;
use crate::control::config::watch_manifest;
use crate::control::cost::measure_cost;
use crate::control::loads::{LoadsConfig, read_loads};
use crate::control::orders::issue_orders;
use crate::control::platform::PlatformConfig;
use crate::control::slots::PublicationTimes;
use crate::control::state::{Control, ControlState, ManifestBytes, OwnershipInputs};
use crate::control::vms::watch_vms;
use crate::decisions::config_version::{ConfigVersion, FreshnessConfig};
use crate::decisions::membership::{Membership, MembershipConfig};
use crate::decisions::placement::{Placement, PlacementConfig};
use crate::decisions::quota::{Quota, QuotaConfig};
use crate::decisions::slots::{SlotAllocator, SlotHolder, SlotsConfig};
use crate::manifest::VmList;
use crate::peer::calls::{AcquireAnswer, CallClients, CallConfig, IncomingCall, serve_calls};
use crate::peer::link::{LinkConfig, serve_links};
use crate::settings::QuotaMode;
use crate::units::{OrganisationName, Time, Version};

/// Maximum number of calls from other VMs that wait for the event loop.
const MAX_QUEUED_CALLS: usize = 1_024;

/// Time in which the last state messages can be sent before the control thread ends.
const FINAL_MESSAGES_TIME: Duration = Duration::from_millis(50);

/// Settings of the control thread.
#[derive(Debug, Clone)]
pub struct ControlConfig {
    /// Address of the platform's configuration service.
    pub platform_address: SocketAddr,
    /// Address to which other VMs send their state messages for this VM.
    pub own_state_address: SocketAddr,
    /// Time at which the daemon started.
    pub started_at: Time,
    /// How an organisation's rate is enforced across the fleet.
    pub quota_mode: QuotaMode,
    /// Maximum number of concurrent acquires of quota tokens.
    pub acquires_limit: usize,
    /// Maximum number of VMs that are not on the VM list but get answers.
    pub unlisted_peers_limit: usize,
    /// Settings of leases.
    pub membership: MembershipConfig,
    /// Settings of quota.
    pub quota: QuotaConfig,
    /// Settings of slots.
    pub slots: SlotsConfig,
    /// Settings of the configuration's freshness.
    pub freshness: FreshnessConfig,
    /// Settings of reads from the platform.
    pub platform: PlatformConfig,
    /// Settings of the links to peers.
    pub link: LinkConfig,
    /// Settings of calls between VMs.
    pub calls: CallConfig,
    /// Settings of load reports.
    pub loads: LoadsConfig,
}

impl ControlConfig {
    /// Returns the default settings for a platform address and this VM's address for state
    /// messages.
    pub fn new(platform_address: SocketAddr, own_state_address: SocketAddr) -> Self {
        Self {
            platform_address,
            own_state_address,
            started_at: clock::now(),
            quota_mode: QuotaMode::Owner,
            acquires_limit: 10_000,
            unlisted_peers_limit: 32,
            membership: MembershipConfig::default(),
            quota: QuotaConfig::default(),
            // `PublicationTimes` knows exactly which traffic counts were taken before a
            // publication, so no further lag has to be assumed.
            slots: SlotsConfig {
                publication_lag: Duration::from_millis(1),
                ..SlotsConfig::default()
            },
            freshness: FreshnessConfig::default(),
            platform: PlatformConfig::default(),
            link: LinkConfig::default(),
            calls: CallConfig::default(),
            loads: LoadsConfig::default(),
        }
    }
}

/// Listening sockets of the control thread. They are bound before the thread starts, so that an
/// address in use is reported at once.
#[derive(Debug)]
pub struct Listeners {
    /// Listener for state messages from other VMs.
    pub peer_state: StdListener,
    /// Listener for calls from other VMs.
    pub peer_call: StdListener,
}

impl Listeners {
    /// Binds both addresses.
    ///
    /// # Errors
    ///
    /// Returns an error that names the address that cannot be bound.
    pub fn bind(peer_state: SocketAddr, peer_call: SocketAddr) -> anyhow::Result<Self> {
        let bind = |address: SocketAddr| {
            let listener = StdListener::bind(address);
            listener.with_context(|| format!("cannot listen on {address}"))
        };
        Ok(Self {
            peer_state: bind(peer_state)?,
            peer_call: bind(peer_call)?,
        })
    }
}

/// Runs the control event loop on the calling thread until `ended` turns true, which happens after
/// traffic has ended. `stop` turns true when a planned stop begins; this thread or another one may
/// set it.
///
/// # Errors
///
/// Returns why the runtime or a socket could not be set up.
pub fn run_control(
    context: Context,
    config: ControlConfig,
    listeners: Listeners,
    commands: mpsc::Receiver<ControlCommand>,
    stop: watch::Sender<bool>,
    mut ended: watch::Receiver<bool>,
) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .max_blocking_threads(2)
        .build()
        .context("cannot start the control runtime")?;
    let tasks = LocalSet::new();
    let result = tasks.block_on(&runtime, async move {
        let control = Rc::new(new_control(context, config, stop));
        let (mut tasks, calls) = start_tasks(&control, listeners)?;
        tokio::select! {
            () = serve_commands(&control, commands, calls) => {}
            Some(_) = tasks.join_next() => anyhow::bail!("a control task ended unexpectedly"),
            _ = ended.wait_for(|ended| *ended) => {}
        }
        // An idle VM stops at once. Its peers still have to get a last message that announces the
        // stop.
        control.wake_peers();
        sleep(FINAL_MESSAGES_TIME).await;
        Ok(())
    });
    runtime.shutdown_background();
    result
}

fn new_control(context: Context, config: ControlConfig, stop: watch::Sender<bool>) -> Control {
    let now = clock::now();
    let membership = Membership::new(
        config.membership,
        context.vm.clone(),
        context.incarnation,
        now,
    );
    let state = ControlState {
        me: context.vm.clone(),
        membership,
        versions: ConfigVersion::new(config.freshness),
        quota: Quota::new(config.quota),
        allocator: SlotAllocator::new(config.slots),
        holder: SlotHolder::default(),
        catalogue: None,
        manifest_bytes: ManifestBytes::default(),
        newest_peer_manifest: Version::default(),
        pending_parts: HashMap::new(),
        vms: Arc::new(VmList::default()),
        addresses: HashMap::new(),
        peers: HashMap::new(),
        demands: HashMap::new(),
        demands_counted_at: Time::ZERO,
        publication_times: PublicationTimes::default(),
        slots_config: config.slots,
        self_report_sequence: 0,
        self_updates: HashMap::new(),
        endpoints_by_allocator: HashMap::new(),
        loads: HashMap::new(),
        cold_signs: ColdSigns::default(),
        allocator_cache: HashMap::new(),
        ownership_inputs: OwnershipInputs::default(),
        owned_keys: OwnedKeyCounts::default(),
        had_lease: false,
        logged_slots: HashMap::new(),
        placement: Placement::new(PlacementConfig::default()),
        stopping: false,
        active_acquires: 0,
    };
    Control {
        clients: CallClients::new(config.calls),
        context,
        config,
        state: RefCell::new(state),
        stop,
    }
}

/// Starts the tasks that must run as long as the control thread does.
fn start_tasks(
    control: &Rc<Control>,
    listeners: Listeners,
) -> anyhow::Result<(JoinSet<()>, mpsc::Receiver<IncomingCall>)> {
    let state_listener = to_tokio(listeners.peer_state)?;
    let call_listener = to_tokio(listeners.peer_call)?;
    let (calls_sender, calls) = mpsc::channel(MAX_QUEUED_CALLS);
    let receiver = control.clone();
    let receive = Rc::new(move |message| receiver.handle_message(&message));
    let config = &control.config;
    let mut tasks = JoinSet::new();
    tasks.spawn_local(serve_links(state_listener, config.link, receive));
    tasks.spawn_local(serve_calls(call_listener, config.calls, calls_sender));
    tasks.spawn_local(watch_manifest(control.clone()));
    tasks.spawn_local(watch_vms(control.clone()));
    tasks.spawn_local(read_loads(control.clone()));
    tasks.spawn_local(issue_orders(control.clone()));
    tasks.spawn_local(measure_cost());
    Ok((tasks, calls))
}

fn to_tokio(listener: StdListener) -> anyhow::Result<TcpListener> {
    listener.set_nonblocking(true)?;
    Ok(TcpListener::from_std(listener)?)
}

async fn serve_commands(
    control: &Rc<Control>,
    mut commands: mpsc::Receiver<ControlCommand>,
    mut calls: mpsc::Receiver<IncomingCall>,
) {
    let mut ticks = interval(control.config.membership.heartbeat);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut stop = control.stop.subscribe();
    loop {
        tokio::select! {
            Some(command) = commands.recv() => handle_command(control, command),
            Some(call) = calls.recv() => handle_call(control, call),
            _ = ticks.tick() => on_tick(control),
            Ok(_) = stop.wait_for(|stop| *stop), if !control.state.borrow().stopping => {
                begin_stop(control);
            }
        }
    }
}

fn on_tick(control: &Rc<Control>) {
    control.update_ownership();
    control.sync_links();
    control.update_slots();
    control.report_to_self();
    control.log_grants();
}

fn handle_command(control: &Rc<Control>, command: ControlCommand) {
    match command {
        ControlCommand::Acquire {
            organisation,
            max_wait,
            reply,
        } => {
            spawn_local(acquire(control.clone(), organisation, max_wait, reply));
        }
        ControlCommand::EndpointCold { endpoint } => control.handle_cold_sign(&endpoint, "answer"),
        ControlCommand::Demand {
            counted_at,
            by_endpoint,
        } => control.handle_demand(counted_at, &by_endpoint),
        ControlCommand::AttemptCompleted {
            endpoint,
            started_at,
        } => control.handle_completed(&endpoint, started_at),
        ControlCommand::Stop => {
            control.stop.send_replace(true);
        }
    }
}

fn handle_call(control: &Rc<Control>, call: IncomingCall) {
    match call {
        IncomingCall::Acquire {
            organisation,
            max_wait,
            reply,
        } => {
            spawn_local(answer_acquire_call(
                control.clone(),
                organisation,
                max_wait,
                reply,
            ));
        }
        IncomingCall::FetchManifest {
            after_version,
            reply,
        } => {
            let _ = reply.send(control.manifest_after(Version(after_version)));
        }
    }
}

/// Answers another VM that acquires a token. The wait ends when that VM drops its call; a token
/// that is reserved for it by then is not returned.
async fn answer_acquire_call(
    control: Rc<Control>,
    organisation: OrganisationName,
    max_wait: Duration,
    mut reply: oneshot::Sender<AcquireAnswer>,
) {
    let answer = tokio::select! {
        answer = acquire_as_owner(&control, &organisation, max_wait) => answer,
        () = reply.closed() => return,
    };
    let _ = reply.send(answer);
}

fn begin_stop(control: &Rc<Control>) {
    info!(control.logger(), "membership: planned stop begins");
    {
        let mut state = control.state.borrow_mut();
        state.stopping = true;
        state.membership.resign();
    }
    control.update_ownership();
    control.publish();
    control.wake_peers();
}
