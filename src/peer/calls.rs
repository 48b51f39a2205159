//! Remote procedure calls between VMs, by tarpc: they acquire quota tokens and fetch manifests.
//!
//! The server passes each call to the control thread's loop and waits for the answer, so that
//! only that thread accesses control state.

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

/// Settings of calls between VMs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallConfig {
    /// Timeout of a connection attempt.
    pub connect_timeout: Duration,
    /// Maximum size of a request or answer; an answer may contain a whole manifest.
    pub frame_limit_bytes: usize,
    /// Maximum number of open incoming connections.
    pub connections_limit: usize,
    /// Maximum number of calls of other VMs in progress.
    pub calls_limit: usize,
    /// Timeout of a fetch of a manifest.
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

/// The calls that a VM serves to other VMs.
#[tarpc::service]
pub trait Calls {
    /// Asks the owner of an organisation for one quota token.
    async fn acquire(organisation: OrganisationName, max_wait_ms: u64) -> AcquireAnswer;
    /// Fetches the manifest in force if it is newer than `after_version`.
    async fn fetch_manifest(after_version: u64) -> Option<ManifestBundle>;
}

/// Answer of a VM that was asked for a quota token.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum AcquireAnswer {
    /// The token is spent for the calling VM.
    Granted {
        /// Time from the arrival of the call to when the token was due, in microseconds. A late
        /// answer does not lengthen it.
        due_after_us: u64,
    },
    /// The token would be due after the maximum wait.
    RateExceeded,
    /// This VM may not act as the organisation's owner now.
    NotOwner,
    /// Too many calls are in progress at this VM.
    Busy,
}

/// A whole manifest, in the form in which one VM passes it to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ManifestBundle {
    /// The manifest's index (JSON), as the platform published it.
    pub index: Vec<u8>,
    /// The manifest's parts, in the order of the index.
    pub parts: Vec<Vec<u8>>,
}

/// A call of another VM, which the control loop answers.
#[derive(Debug)]
pub enum IncomingCall {
    /// See [`Calls::acquire`].
    Acquire {
        /// The organisation whose quota is used.
        organisation: OrganisationName,
        /// Maximum time that the calling VM can wait.
        max_wait: Duration,
        /// Channel for the answer.
        reply: oneshot::Sender<AcquireAnswer>,
    },
    /// See [`Calls::fetch_manifest`].
    FetchManifest {
        /// The manifest version that the calling VM has.
        after_version: u64,
        /// Channel for the answer.
        reply: oneshot::Sender<Option<ManifestBundle>>,
    },
}

#[derive(Clone)]
struct CallServer {
    permits: Arc<Semaphore>,
    calls: mpsc::Sender<IncomingCall>,
}

impl CallServer {
    /// Passes a call to the control loop and returns its answer, or `None` when too many calls are
    /// in progress or the control loop drops the call.
    async fn forward<T>(
        &self,
        make_call: impl FnOnce(oneshot::Sender<T>) -> IncomingCall,
    ) -> Option<T> {
        let _permit = self.permits.try_acquire().ok()?;
        let (reply, answer) = oneshot::channel();
        self.calls.send(make_call(reply)).await.ok()?;
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
        let make_call = |reply| IncomingCall::Acquire {
            organisation,
            max_wait: Duration::from_millis(max_wait_ms),
            reply,
        };
        self.forward(make_call).await.unwrap_or(AcquireAnswer::Busy)
    }

    async fn fetch_manifest(
        self,
        _: context::Context,
        after_version: u64,
    ) -> Option<ManifestBundle> {
        count("fetch_manifest", "received");
        let make_call = |reply| IncomingCall::FetchManifest {
            after_version,
            reply,
        };
        self.forward(make_call).await.flatten()
    }
}

/// Counts one message of a call in the metrics.
fn count(kind: &'static str, direction: &'static str) {
    let labels = [("kind", kind), ("direction", direction)];
    counter!("primrosewalk_control_messages_total", &labels).increment(1);
}

fn codec(config: &CallConfig) -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(config.frame_limit_bytes)
        .new_codec()
}

/// Serves calls on `listener` and passes them to `calls`. It must run on a local task set and
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
            // The process may be out of file descriptors; accepting again at once would busy-loop.
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

/// Reason why a call has no answer. The called VM may have spent a token even so.
#[derive(Debug, Error)]
pub enum CallError {
    /// The connection failed or was not made within the timeout.
    #[error("cannot connect to {0}")]
    Connect(SocketAddr),
    /// The connection broke or the deadline passed.
    #[error("the call failed: {0}")]
    Call(#[from] client::RpcError),
}

/// An open connection to another VM.
struct Connection {
    address: SocketAddr,
    /// Random id that distinguishes this connection from a later one to the same VM.
    generation: u64,
    client: CallsClient,
}

/// Persistent connections to the VMs that this VM calls, each opened on first use.
pub struct CallClients {
    config: CallConfig,
    connections: RefCell<HashMap<VmId, Rc<Mutex<Option<Connection>>>>>,
}

impl CallClients {
    /// Creates the clients without connections.
    pub fn new(config: CallConfig) -> Self {
        Self {
            config,
            connections: RefCell::new(HashMap::new()),
        }
    }

    /// Closes the connections to VMs for which `keep` returns false.
    pub fn retain(&self, keep: impl Fn(&VmId) -> bool) {
        self.connections.borrow_mut().retain(|vm, _| keep(vm));
    }

    /// Asks `vm` for one quota token. The owner may delay the answer for `max_wait`; the answer
    /// must arrive within the timeout `remaining`.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer; the token may have been spent even so.
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

    /// Fetches a manifest newer than `after_version` from `vm`, if `vm` has one in force.
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
        let call_timeout = self.config.fetch_timeout;
        self.call(vm, address, call_timeout, |client, context| async move {
            client.fetch_manifest(context, after_version).await
        })
        .await
    }

    /// Makes a call with a timeout. Closes the connection if the call fails.
    async fn call<T, F>(
        &self,
        vm: &VmId,
        address: SocketAddr,
        call_timeout: Duration,
        call: impl FnOnce(CallsClient, context::Context) -> F,
    ) -> Result<T, CallError>
    where
        F: Future<Output = Result<T, client::RpcError>>,
    {
        let deadline = Instant::now() + call_timeout;
        let connection = self
            .connections
            .borrow_mut()
            .entry(vm.clone())
            .or_default()
            .clone();
        let (client, generation) = self.connect(&connection, address, call_timeout).await?;
        let mut context = context::current();
        context.deadline = deadline;
        let result = call(client, context).await;
        if result.is_err() {
            let mut open = connection.lock().await;
            if open
                .as_ref()
                .is_some_and(|open| open.generation == generation)
            {
                *open = None;
            }
        }
        Ok(result?)
    }

    /// Returns the client of the open connection to `address` and its generation; opens one if
    /// there is none.
    async fn connect(
        &self,
        connection: &Mutex<Option<Connection>>,
        address: SocketAddr,
        call_timeout: Duration,
    ) -> Result<(CallsClient, u64), CallError> {
        let connect_timeout = call_timeout.min(self.config.connect_timeout);
        let connect = async {
            let mut open = connection.lock().await;
            if let Some(open) = open.as_ref().filter(|open| open.address == address) {
                return Some((open.client.clone(), open.generation));
            }
            let stream = TcpStream::connect(address).await.ok()?;
            let _ = stream.set_nodelay(true);
            let framed = Framed::new(CountedStream::new(stream), codec(&self.config));
            let transport = serde_transport::new(framed, Bincode::default());
            let new = CallsClient::new(client::Config::default(), transport);
            tokio::task::spawn_local(new.dispatch);
            let generation = rand::random();
            *open = Some(Connection {
                address,
                generation,
                client: new.client.clone(),
            });
            Some((new.client, generation))
        };
        let connected = timeout(connect_timeout, connect).await.ok().flatten();
        connected.ok_or(CallError::Connect(address))
    }
}
