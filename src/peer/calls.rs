//! Calls between VMs by tarpc: asks for quota tokens and fetches of a manifest.
//!
//! The server passes each call to the control thread's loop and waits for the answer, so
//! that control state keeps its one owner.

use std::cell::RefCell;
use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::StreamExt;
use metrics::counter;
use serde::{Deserialize, Serialize};
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Bincode;
use tarpc::tokio_util::codec::{Framed, LengthDelimitedCodec};
use tarpc::{client, context, serde_transport};
use thiserror::Error;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Mutex, Semaphore, mpsc, oneshot};
use tokio::time::timeout;

use crate::peer::counted::CountedStream;
use crate::units::{OrganisationName, VmId};

/// Settings of calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallConfig {
    /// Maximum time for a connection attempt.
    pub connect_timeout: Duration,
    /// Largest request or answer; an answer may hold a whole manifest.
    pub frame_limit_bytes: usize,
    /// Incoming connections open at once.
    pub connections_limit: usize,
    /// Calls of other VMs in progress at once.
    pub calls_limit: usize,
    /// Maximum time for a fetch of a manifest.
    pub fetch_timeout: Duration,
}

impl Default for CallConfig {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_secs(1),
            frame_limit_bytes: 16 * 1024 * 1024,
            connections_limit: 256,
            calls_limit: 10_000,
            fetch_timeout: Duration::from_secs(5),
        }
    }
}

/// The calls that a VM serves to others.
#[tarpc::service]
pub trait Calls {
    /// Asks the owner of an organisation for one token.
    async fn acquire(organisation: OrganisationName, max_wait_ms: u64) -> AcquireAnswer;
    /// Fetches the manifest in force if it is newer than `after_version`.
    async fn fetch_manifest(after_version: u64) -> Option<ManifestBundle>;
}

/// Answer of a VM that was asked for a token.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum AcquireAnswer {
    /// The token is spent for the asker.
    Granted {
        /// Time from the ask's arrival to when the token was due, in microseconds. A late
        /// answer does not lengthen it.
        due_after_us: u64,
    },
    /// The token would be due after the maximum wait.
    RateExceeded,
    /// This VM may not act as the organisation's owner now.
    NotOwner,
    /// Too many calls are in progress here.
    Busy,
}

/// A whole manifest as one VM passes it to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ManifestBundle {
    /// The index as the platform published it (JSON).
    pub index: Vec<u8>,
    /// The parts, in the order of the index.
    pub parts: Vec<Vec<u8>>,
}

/// A call of another VM, for the control loop.
#[derive(Debug)]
pub enum IncomingCall {
    /// See [`Calls::acquire`].
    Acquire {
        /// Whose allowance.
        organisation: OrganisationName,
        /// Maximum time that the asker can wait.
        max_wait: Duration,
        /// Takes the answer.
        reply: oneshot::Sender<AcquireAnswer>,
    },
    /// See [`Calls::fetch_manifest`].
    FetchManifest {
        /// The version that the asker has.
        after_version: u64,
        /// Takes the answer.
        reply: oneshot::Sender<Option<ManifestBundle>>,
    },
}

#[derive(Clone)]
struct CallServer {
    permits: Arc<Semaphore>,
    calls: mpsc::Sender<IncomingCall>,
}

impl CallServer {
    /// Passes a call on and returns its answer, or `None` when the bound is reached.
    async fn pass<T>(&self, make: impl FnOnce(oneshot::Sender<T>) -> IncomingCall) -> Option<T> {
        let _permit = self.permits.try_acquire().ok()?;
        let (reply, answer) = oneshot::channel();
        self.calls.send(make(reply)).await.ok()?;
        answer.await.ok()
    }
}

impl Calls for CallServer {
    async fn acquire(
        self,
        _: context::Context,
        organisation: OrganisationName,
        max_wait_ms: u64,
    ) -> AcquireAnswer {
        count("acquire", "received");
        let make = |reply| IncomingCall::Acquire {
            organisation,
            max_wait: Duration::from_millis(max_wait_ms),
            reply,
        };
        self.pass(make).await.unwrap_or(AcquireAnswer::Busy)
    }

    async fn fetch_manifest(
        self,
        _: context::Context,
        after_version: u64,
    ) -> Option<ManifestBundle> {
        count("fetch_manifest", "received");
        let make = |reply| IncomingCall::FetchManifest {
            after_version,
            reply,
        };
        self.pass(make).await.flatten()
    }
}

fn count(kind: &'static str, direction: &'static str) {
    let labels = [("kind", kind), ("direction", direction)];
    counter!("primrosewalk_control_messages_total", &labels).increment(1);
}

fn codec(config: &CallConfig) -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(config.frame_limit_bytes)
        .new_codec()
}

/// Serves calls on `listener` and passes them to `calls`. It runs on a local task set and
/// never returns.
pub async fn serve_calls(
    listener: TcpListener,
    config: CallConfig,
    calls: mpsc::Sender<IncomingCall>,
) {
    let connections = Arc::new(Semaphore::new(config.connections_limit));
    let server = CallServer {
        permits: Arc::new(Semaphore::new(config.calls_limit)),
        calls,
    };
    loop {
        let Ok(permit) = connections.clone().acquire_owned().await else {
            return;
        };
        let Ok((stream, _)) = listener.accept().await else {
            // Out of file descriptors: accepting again at once would spin.
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let server = server.clone();
        tokio::task::spawn_local(async move {
            let _permit = permit;
            serve_connection(stream, &config, server).await;
        });
    }
}

async fn serve_connection(stream: TcpStream, config: &CallConfig, server: CallServer) {
    let framed = Framed::new(CountedStream::new(stream), codec(config));
    let transport = serde_transport::new(framed, Bincode::default());
    let requests = BaseChannel::with_defaults(transport).execute(server.serve());
    let spawn = |request| async move {
        tokio::task::spawn_local(request);
    };
    requests.for_each(spawn).await;
}

/// Says why a call has no answer. A token may be spent all the same.
#[derive(Debug, Error)]
pub enum CallError {
    /// No connection in time.
    #[error("cannot connect to {0}")]
    Connect(SocketAddr),
    /// The connection broke or the deadline passed.
    #[error("the call failed: {0}")]
    Call(#[from] client::RpcError),
}

struct Kept {
    address: SocketAddr,
    generation: u64,
    client: CallsClient,
}

/// Kept connections to the VMs that this VM calls, made on first use.
pub struct CallClients {
    config: CallConfig,
    kept: RefCell<HashMap<VmId, Rc<Mutex<Option<Kept>>>>>,
}

impl CallClients {
    /// Starts without connections.
    pub fn new(config: CallConfig) -> Self {
        Self {
            config,
            kept: RefCell::new(HashMap::new()),
        }
    }

    /// Closes the connections to VMs that are not to be kept.
    pub fn retain(&self, keep: impl Fn(&VmId) -> bool) {
        self.kept.borrow_mut().retain(|vm, _| keep(vm));
    }

    /// Asks `vm` for one token. The owner may hold the ask for `max_wait`; the answer must be
    /// here within `remaining`.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer; the token may be spent.
    pub async fn acquire(
        &self,
        vm: &VmId,
        address: SocketAddr,
        organisation: OrganisationName,
        max_wait: Duration,
        remaining: Duration,
    ) -> Result<AcquireAnswer, CallError> {
        let max_wait_ms = u64::try_from(max_wait.as_millis()).unwrap_or(u64::MAX);
        count("acquire", "sent");
        self.call(vm, address, remaining, |client, context| async move {
            client.acquire(context, organisation, max_wait_ms).await
        })
        .await
    }

    /// Fetches a manifest newer than `after_version` from `vm`.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer.
    pub async fn fetch_manifest(
        &self,
        vm: &VmId,
        address: SocketAddr,
        after_version: u64,
    ) -> Result<Option<ManifestBundle>, CallError> {
        count("fetch_manifest", "sent");
        let limit = self.config.fetch_timeout;
        self.call(vm, address, limit, |client, context| async move {
            client.fetch_manifest(context, after_version).await
        })
        .await
    }

    async fn call<T, F>(
        &self,
        vm: &VmId,
        address: SocketAddr,
        limit: Duration,
        call: impl FnOnce(CallsClient, context::Context) -> F,
    ) -> Result<T, CallError>
    where
        F: Future<Output = Result<T, client::RpcError>>,
    {
        let deadline = Instant::now() + limit;
        let slot = self
            .kept
            .borrow_mut()
            .entry(vm.clone())
            .or_default()
            .clone();
        let (client, generation) = self.connected(&slot, address, limit).await?;
        let mut context = context::current();
        context.deadline = deadline;
        let result = call(client, context).await;
        if result.is_err() {
            let mut kept = slot.lock().await;
            if kept
                .as_ref()
                .is_some_and(|kept| kept.generation == generation)
            {
                *kept = None;
            }
        }
        Ok(result?)
    }

    async fn connected(
        &self,
        slot: &Mutex<Option<Kept>>,
        address: SocketAddr,
        limit: Duration,
    ) -> Result<(CallsClient, u64), CallError> {
        let limit = limit.min(self.config.connect_timeout);
        let connect = async {
            let mut kept = slot.lock().await;
            if let Some(kept) = kept.as_ref().filter(|kept| kept.address == address) {
                return Some((kept.client.clone(), kept.generation));
            }
            let stream = TcpStream::connect(address).await.ok()?;
            let _ = stream.set_nodelay(true);
            let framed = Framed::new(CountedStream::new(stream), codec(&self.config));
            let transport = serde_transport::new(framed, Bincode::default());
            let new = CallsClient::new(client::Config::default(), transport);
            tokio::task::spawn_local(new.dispatch);
            let generation = rand::random();
            *kept = Some(Kept {
                address,
                generation,
                client: new.client.clone(),
            });
            Some((new.client, generation))
        };
        let connected = timeout(limit, connect).await.ok().flatten();
        connected.ok_or(CallError::Connect(address))
    }
}
