//! Request ids that this VM issued, and the stored results of ended requests
//! (`docs/design.md`, 3.4).

use std::collections::VecDeque;
use std::sync::Arc;

use bytes::Bytes;
use parking_lot::Mutex;
use sha2::{Digest, Sha256};

use crate::clock;
use crate::context::Context;
use crate::decisions::at_most_once::{AtMostOnceTable, Begin};
use crate::traffic::config::TrafficConfig;
use crate::traffic::refusal::Refusal;
use crate::units::{OrganisationName, PipelineName, RequestId, Time};

/// Digest of a request's pipeline and body. It detects an id that is used for two different
/// requests.
pub type Fingerprint = [u8; 32];

/// Returns the fingerprint of a request to `pipeline` with `body`.
pub fn fingerprint(pipeline: &PipelineName, body: &[u8]) -> Fingerprint {
    let mut hasher = Sha256::new();
    hasher.update(pipeline.as_str().as_bytes());
    hasher.update([0]);
    hasher.update(body);
    hasher.finalize().into()
}

/// Result of an ended request, stored for a caller that sends the same id again.
#[derive(Debug)]
pub struct StoredResult {
    /// Organisation and fingerprint of the request; `None` if it was refused before these were
    /// known.
    pub requester: Option<(OrganisationName, Fingerprint)>,
    /// Summary of the answer as JSON, or the final refusal.
    pub result: Result<Bytes, Refusal>,
}

impl StoredResult {
    /// Returns whether this result answers a request of `organisation` with `fingerprint`.
    pub fn may_answer(&self, organisation: &OrganisationName, fingerprint: &Fingerprint) -> bool {
        let requester = self.requester.as_ref();
        requester
            .is_none_or(|requester| requester.0 == *organisation && requester.1 == *fingerprint)
    }

    fn size_bytes(&self) -> usize {
        match &self.result {
            Ok(summary) => summary.len(),
            Err(refusal) => refusal.message.len(),
        }
    }
}

struct Inner {
    table: AtMostOnceTable<Arc<StoredResult>>,
    /// Issue time of the id and size in bytes of each stored result, to bound the total size.
    stored_sizes: VecDeque<(Time, usize)>,
    stored_bytes: usize,
}

/// Table of the request ids of this VM, shared by all its requests.
pub struct RequestIds {
    inner: Mutex<Inner>,
    config: TrafficConfig,
}

impl RequestIds {
    /// Makes an empty table with a new random secret for the ids.
    pub fn new(context: &Context, config: &TrafficConfig) -> Self {
        let secret = rand::random();
        let vm = context.vm.clone();
        let table = AtMostOnceTable::new(config.at_most_once, vm, context.incarnation, secret);
        let inner = Inner {
            table,
            stored_sizes: VecDeque::new(),
            stored_bytes: 0,
        };
        Self {
            inner: Mutex::new(inner),
            config: config.clone(),
        }
    }

    /// Issues an id whose request only this VM runs.
    pub fn issue(&self) -> RequestId {
        self.inner.lock().table.issue(clock::now())
    }

    /// Decides what to do with a request by its id, and marks the id as running if the request
    /// is to run.
    pub fn begin(&self, id: &RequestId) -> Begin<Arc<StoredResult>> {
        self.inner.lock().table.begin(clock::now(), id)
    }

    /// Marks an id as ended and stores the result of its request.
    ///
    /// A result that would exceed the limit for all stored results is not stored; a caller that
    /// sends the id again then gets `outcome_unknown`.
    pub fn end(&self, id: &RequestId, stored: StoredResult) {
        let mut inner = self.inner.lock();
        let mut size_bytes = stored.size_bytes();
        if inner.stored_bytes + size_bytes > self.config.stored_results_limit_bytes {
            size_bytes = usize::MAX;
        } else if size_bytes <= self.config.at_most_once.answer_limit_bytes {
            inner.stored_bytes += size_bytes;
            inner.stored_sizes.push_back((id.issued_at, size_bytes));
        }
        inner.table.end(id, Arc::new(stored), size_bytes);
    }

    /// Drops expired ids and their results.
    pub fn expire(&self) {
        let now = clock::now();
        let life = self.config.at_most_once.id_life;
        let mut inner = self.inner.lock();
        inner.table.expire(now);
        let Inner {
            stored_sizes,
            stored_bytes,
            ..
        } = &mut *inner;
        stored_sizes.retain(|(issued_at, size_bytes)| {
            let is_live = now.since(*issued_at) < life;
            *stored_bytes -= if is_live { 0 } else { *size_bytes };
            is_live
        });
    }
}
