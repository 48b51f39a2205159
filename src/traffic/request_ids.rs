//! The request id table of this VM and the answers kept with it (`docs/design.md`, 3.4).

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

/// Digest of what a request asks for, so that an id serves one request only.
pub type Fingerprint = [u8; 32];

/// Returns the fingerprint of a request.
pub fn fingerprint(pipeline: &PipelineName, body: &[u8]) -> Fingerprint {
    let mut hasher = Sha256::new();
    hasher.update(pipeline.as_str().as_bytes());
    hasher.update([0]);
    hasher.update(body);
    hasher.finalize().into()
}

/// How a request ended, kept for a caller that asks again.
#[derive(Debug)]
pub struct Kept {
    /// Whose request it was; `None` if it was refused before that was known.
    pub owner: Option<(OrganisationName, Fingerprint)>,
    /// The summary as JSON, or the final refusal.
    pub result: Result<Bytes, Refusal>,
}

impl Kept {
    /// Returns whether the answer may be given to this request.
    pub fn belongs_to(&self, organisation: &OrganisationName, print: &Fingerprint) -> bool {
        let owner = self.owner.as_ref();
        owner.is_none_or(|owner| owner.0 == *organisation && owner.1 == *print)
    }

    fn size_bytes(&self) -> usize {
        match &self.result {
            Ok(summary) => summary.len(),
            Err(refusal) => refusal.message.len(),
        }
    }
}

struct Inner {
    table: AtMostOnceTable<Arc<Kept>>,
    /// Issue time and size of each kept answer, to bound their sum.
    kept: VecDeque<(Time, usize)>,
    kept_bytes: usize,
}

/// Shared by all requests of the VM.
pub struct RequestIds {
    inner: Mutex<Inner>,
    config: TrafficConfig,
}

impl RequestIds {
    /// Starts empty, with a fresh secret.
    pub fn new(context: &Context, config: &TrafficConfig) -> Self {
        let secret = rand::random();
        let vm = context.vm.clone();
        let table = AtMostOnceTable::new(config.at_most_once, vm, context.incarnation, secret);
        let inner = Inner {
            table,
            kept: VecDeque::new(),
            kept_bytes: 0,
        };
        Self {
            inner: Mutex::new(inner),
            config: config.clone(),
        }
    }

    /// Issues an id that only this VM will run.
    pub fn issue(&self) -> RequestId {
        self.inner.lock().table.issue(clock::now())
    }

    /// Decides what to do with an id and marks it as running if it is to run.
    pub fn begin(&self, id: &RequestId) -> Begin<Arc<Kept>> {
        self.inner.lock().table.begin(clock::now(), id)
    }

    /// Notes the end of a request.
    ///
    /// An answer beyond the limit of all kept answers is not kept; a caller that asks
    /// again then gets `outcome_unknown`.
    pub fn end(&self, id: &RequestId, kept: Kept) {
        let mut inner = self.inner.lock();
        let mut size_bytes = kept.size_bytes();
        if inner.kept_bytes + size_bytes > self.config.kept_answers_limit_bytes {
            size_bytes = usize::MAX;
        } else if size_bytes <= self.config.at_most_once.answer_limit_bytes {
            inner.kept_bytes += size_bytes;
            inner.kept.push_back((id.issued_at, size_bytes));
        }
        inner.table.end(id, Arc::new(kept), size_bytes);
    }

    /// Drops what has expired.
    pub fn expire(&self) {
        let now = clock::now();
        let life = self.config.at_most_once.id_life;
        let mut inner = self.inner.lock();
        inner.table.expire(now);
        let Inner {
            kept, kept_bytes, ..
        } = &mut *inner;
        kept.retain(|(issued_at, size_bytes)| {
            let lives = now.since(*issued_at) < life;
            *kept_bytes -= if lives { 0 } else { *size_bytes };
            lives
        });
    }
}
