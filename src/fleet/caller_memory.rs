//! Carries out what `decisions::caller_memory` decides: charges the connections of a listener for what is held
//! for them, and wakes those that have to give way.

use std::collections::HashMap;
use std::fmt::{self, Display};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use parking_lot::Mutex;
use slog::{Logger, warn};
use tokio::sync::Notify;

use crate::clock;
use crate::decisions::caller_memory::{
    CallerBounds, CallerMemory, ConnectionNumber, Exhausted, GivingWay, Phase,
};
use crate::fleet::metric;
use crate::fleet::settings::FleetSettings;
use crate::units::Time;

/// What a connection costs without a request: its task, the buffers of the HTTP library and of the kernel.
const CONNECTION_BYTES: usize = 20 * 1024;
/// Part of the machine's memory that is held for callers. The others are for answers of endpoints and for
/// everything that does not depend on callers.
const MEMORY_PARTS: usize = 3;
/// Descriptors that the platform keeps for files.
const RESERVED_DESCRIPTORS: usize = 200;
/// Part of the bounds of callers that each other listener gets.
const SIDE_PARTS: usize = 8;
/// Part of the bounds of callers that the listener for other VMs gets.
const PEER_PARTS: usize = 4;
/// Connections of other VMs may be one by this of the callers' number. Each VM has two links to every other
/// one at most, one for its traffic and one for the store.
const PEER_CONNECTION_PARTS: usize = 3;
/// Interval at which refusals are logged for the same reason.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Returns the bounds for callers that follow from the settings; `None` if they name neither memory nor
/// descriptors.
pub fn caller_bounds(settings: &FleetSettings) -> Option<CallerBounds> {
    let (memory, descriptors) = (settings.memory_bytes, settings.max_descriptors);
    if memory.is_none() && descriptors.is_none() {
        return None;
    }
    // Half of the sockets are for endpoints, other VMs, the store and the other listeners.
    let sockets = descriptors.map(|count| count.saturating_sub(RESERVED_DESCRIPTORS));
    Some(CallerBounds {
        max_bytes: memory.map_or(usize::MAX / 2, |bytes| bytes / MEMORY_PARTS),
        max_connections: sockets.map_or(usize::MAX, |sockets| (sockets / 2).max(1)),
        connection_bytes: CONNECTION_BYTES,
    })
}

/// Returns the bounds of a listener that is not for callers' requests.
pub fn side_bounds(bounds: CallerBounds) -> CallerBounds {
    CallerBounds {
        max_bytes: bounds.max_bytes / SIDE_PARTS,
        max_connections: (bounds.max_connections / SIDE_PARTS).max(1),
        ..bounds
    }
}

/// Returns the bounds of the listener for other VMs, whose messages may hold the whole configuration.
pub fn peer_bounds(bounds: CallerBounds) -> CallerBounds {
    CallerBounds {
        max_bytes: bounds.max_bytes / PEER_PARTS,
        max_connections: (bounds.max_connections / PEER_CONNECTION_PARTS).max(1),
        ..bounds
    }
}

/// Accounts of the connections of one listener.
pub struct CallerAccounts {
    listener: &'static str,
    logger: Logger,
    state: Mutex<AccountsState>,
}

struct AccountsState {
    memory: CallerMemory,
    wakers: HashMap<ConnectionNumber, Arc<Wakers>>,
    logged: HashMap<&'static str, LoggedReason>,
}

/// When a reason was logged last, and how often it has occurred since.
struct LoggedReason {
    at: Time,
    unlogged: u64,
}

/// Wakes the tasks of a connection that has to give way.
#[derive(Default)]
struct Wakers {
    /// The task that reads a body, which refuses the request.
    body: Notify,
    /// The task of the connection, which closes it.
    connection: Notify,
}

impl CallerAccounts {
    /// Creates the accounts of a listener without connections.
    pub fn new(listener: &'static str, bounds: CallerBounds, logger: Logger) -> Arc<Self> {
        Arc::new(Self {
            listener,
            logger,
            state: Mutex::new(AccountsState {
                memory: CallerMemory::new(bounds),
                wakers: HashMap::new(),
                logged: HashMap::new(),
            }),
        })
    }

    /// Opens the account of a new connection; `None` if the connection is refused.
    pub fn connect(self: &Arc<Self>, caller: SocketAddr) -> Option<CallerAccount> {
        let mut state = self.state.lock();
        let (admitted, giving_way) = state.memory.connect(clock::now());
        state.wake(&giving_way);
        let number = match admitted {
            Ok(number) => number,
            Err(exhausted) => {
                drop(state);
                self.note(caller, reason_of(exhausted, Phase::Idle));
                return None;
            }
        };
        let wakers = Arc::new(Wakers::default());
        state.wakers.insert(number, Arc::clone(&wakers));
        Some(CallerAccount(Some(Arc::new(OpenAccount {
            accounts: Arc::clone(self),
            number,
            caller,
            wakers,
        }))))
    }

    /// Counts a refusal, and logs it unless the reason was logged a moment ago.
    fn note(&self, caller: SocketAddr, reason: &'static str) {
        metric::caller_refused(self.listener, reason);
        let now = clock::now();
        let unlogged = {
            let mut state = self.state.lock();
            let logged = state.logged.entry(reason).or_insert(LoggedReason {
                at: Time::ZERO,
                unlogged: 0,
            });
            if logged.at != Time::ZERO && now.since(logged.at) < LOG_INTERVAL {
                logged.unlogged += 1;
                return;
            }
            logged.at = now;
            std::mem::take(&mut logged.unlogged)
        };
        let held_bytes = self.state.lock().memory.held_bytes();
        warn!(self.logger, "callers: one was refused to keep within the bounds";
            "listener" => self.listener, "caller" => %caller, "reason" => reason,
            "others_since" => unlogged, "held_bytes" => held_bytes);
    }
}

impl AccountsState {
    fn wake(&self, giving_way: &GivingWay) {
        for (number, phase) in giving_way {
            let Some(wakers) = self.wakers.get(number) else {
                continue;
            };
            match phase {
                Phase::Body => wakers.body.notify_one(),
                _ => wakers.connection.notify_one(),
            }
        }
    }
}

/// Returns the name of a reason in the log and the metrics.
fn reason_of(exhausted: Exhausted, phase: Phase) -> &'static str {
    match (exhausted, phase) {
        (Exhausted::Connections, _) => "connections",
        (Exhausted::Memory, Phase::Idle) => "memory_connection",
        (Exhausted::Memory, Phase::Head) => "memory_head",
        (Exhausted::Memory, Phase::Body) => "memory_body",
        (Exhausted::Memory, _) => "memory_answer",
    }
}

/// The connection holds more than it may.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OverMemory;

impl Display for OverMemory {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("this VM holds too much for its callers")
    }
}

impl std::error::Error for OverMemory {}

struct OpenAccount {
    accounts: Arc<CallerAccounts>,
    number: ConnectionNumber,
    caller: SocketAddr,
    wakers: Arc<Wakers>,
}

impl Drop for OpenAccount {
    fn drop(&mut self) {
        let mut state = self.accounts.state.lock();
        state.memory.disconnect(self.number);
        state.wakers.remove(&self.number);
    }
}

/// Account of one connection, which is closed when the last clone is dropped.
#[derive(Clone)]
pub struct CallerAccount(Option<Arc<OpenAccount>>);

impl CallerAccount {
    /// Returns an account without bounds.
    pub fn unlimited() -> Self {
        Self(None)
    }

    /// Returns whether anything is charged.
    pub fn is_limited(&self) -> bool {
        self.0.is_some()
    }

    /// Records that the connection begins something else.
    pub fn enter(&self, phase: Phase) {
        if let Some(account) = &self.0 {
            let mut state = account.accounts.state.lock();
            state.memory.enter(clock::now(), account.number, phase);
        }
    }

    /// Records that the caller has read what was written, if it was waited for.
    pub fn leave_unread(&self, phase: Phase) {
        if let Some(account) = &self.0 {
            let mut state = account.accounts.state.lock();
            if state.memory.phase(account.number) == Some(Phase::Unread) {
                state.memory.enter(clock::now(), account.number, phase);
            }
        }
    }

    /// Returns whether memory should be used sparingly.
    pub fn is_scarce(&self) -> bool {
        let is_scarce =
            |account: &Arc<OpenAccount>| account.accounts.state.lock().memory.is_scarce();
        self.0.as_ref().is_some_and(is_scarce)
    }

    /// Returns an empty charge, which grows with what is held.
    pub fn hold(&self, phase: Phase) -> Held {
        Held {
            account: self.clone(),
            phase,
            bytes: 0,
        }
    }

    /// Waits until the request whose body is read has to give way.
    pub async fn body_gives_way(&self) {
        let Some(account) = &self.0 else {
            return std::future::pending().await;
        };
        loop {
            account.wakers.body.notified().await;
            // A wake-up may be left from an earlier request.
            if self.must_give_way(account) {
                account.accounts.note(account.caller, "gave_way_body");
                return;
            }
        }
    }

    /// Waits until the connection has to be closed.
    pub async fn connection_gives_way(&self) {
        let Some(account) = &self.0 else {
            return std::future::pending().await;
        };
        loop {
            account.wakers.connection.notified().await;
            if self.must_give_way(account) {
                account.accounts.note(account.caller, "gave_way_connection");
                return;
            }
        }
    }

    fn must_give_way(&self, account: &OpenAccount) -> bool {
        let state = account.accounts.state.lock();
        state.memory.gives_way(account.number)
    }
}

/// What is held for a connection, until it is dropped.
pub struct Held {
    account: CallerAccount,
    phase: Phase,
    bytes: usize,
}

impl Held {
    /// Charges so many bytes more.
    ///
    /// # Errors
    ///
    /// Fails when they do not fit, and charges nothing then.
    pub fn grow(&mut self, bytes: usize) -> Result<(), OverMemory> {
        let Some(account) = &self.account.0 else {
            return Ok(());
        };
        let mut state = account.accounts.state.lock();
        let (granted, giving_way) = state.memory.charge(clock::now(), account.number, bytes);
        state.wake(&giving_way);
        drop(state);
        if let Err(exhausted) = granted {
            account
                .accounts
                .note(account.caller, reason_of(exhausted, self.phase));
            return Err(OverMemory);
        }
        self.bytes += bytes;
        Ok(())
    }

    /// Charges up to so many bytes in all.
    ///
    /// # Errors
    ///
    /// Fails when they do not fit, and charges nothing then.
    pub fn grow_to(&mut self, bytes: usize) -> Result<(), OverMemory> {
        match bytes.saturating_sub(self.bytes) {
            0 => Ok(()),
            more => self.grow(more),
        }
    }

    /// Releases everything.
    pub fn release(&mut self) {
        let bytes = std::mem::take(&mut self.bytes);
        if let Some(account) = &self.account.0
            && bytes > 0
        {
            account
                .accounts
                .state
                .lock()
                .memory
                .release(account.number, bytes);
        }
    }

    /// Splits off the charge for so many bytes.
    fn split(&mut self, bytes: usize) -> Self {
        let bytes = bytes.min(self.bytes);
        self.bytes -= bytes;
        Self {
            account: self.account.clone(),
            phase: self.phase,
            bytes,
        }
    }

    /// Passes the charge for bytes on to them: it is released when the last clone of them is dropped.
    pub fn attach(&mut self, bytes: Bytes) -> Bytes {
        if !self.account.is_limited() || self.bytes == 0 {
            return bytes;
        }
        let held = self.split(bytes.len());
        Bytes::from_owner(HeldBytes { bytes, _held: held })
    }

    /// Passes the whole charge on to the bytes of a buffer, of which the unused rest is held too.
    pub fn attach_all(mut self, bytes: Vec<u8>) -> Bytes {
        if !self.account.is_limited() {
            return bytes.into();
        }
        let held = self.split(usize::MAX);
        Bytes::from_owner(HeldBytes { bytes, _held: held })
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.release();
    }
}

struct HeldBytes<B> {
    bytes: B,
    _held: Held,
}

impl<B: AsRef<[u8]>> AsRef<[u8]> for HeldBytes<B> {
    fn as_ref(&self) -> &[u8] {
        self.bytes.as_ref()
    }
}
