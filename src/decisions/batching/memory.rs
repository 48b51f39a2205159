//! Keeps track of the memory that results take at the endpoints.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use crate::decisions::batching::endpoint::{EndpointState, ResultMemory};
use crate::decisions::batching::{Batcher, StoredResult};
use crate::fleet::model::Endpoint;
use crate::units::{EndpointName, Time};

impl Batcher {
    /// Returns the endpoints that must be asked for their free result memory before they get calls,
    /// and notes that they were asked.
    pub fn ask_for_memory(&mut self, now: Time, usable: &[Arc<Endpoint>]) -> Vec<Arc<Endpoint>> {
        if self.queue.items() == 0 {
            return Vec::new();
        }
        let mut to_ask = Vec::new();
        for endpoint in usable {
            let state = self.endpoints.entry(endpoint.id.clone()).or_default();
            if state.should_ask_for_memory(now, &self.config) {
                if state.others_bytes() == 0 {
                    state.memory = ResultMemory::Asked(now);
                } else {
                    state.memory = ResultMemory::UsedByOthers(state.others_bytes(), now);
                }
                to_ask.push(Arc::clone(endpoint));
            }
        }
        to_ask
    }

    /// Records the free result memory that an endpoint reports; `None` if it reports none, which
    /// counts as no memory used by others.
    pub fn on_memory_report(
        &mut self,
        now: Time,
        endpoint: &EndpointName,
        free_bytes: Option<u64>,
    ) {
        let total_bytes = self.limits.result_memory_bytes;
        let state = self.endpoints.entry(endpoint.clone()).or_default();
        state.memory = ResultMemory::UsedByOthers(0, now);
        let own_bytes = state.used_bytes();
        let others_bytes = free_bytes.map_or(0, |free| {
            total_bytes.saturating_sub(free.saturating_add(own_bytes))
        });
        state.memory = ResultMemory::UsedByOthers(others_bytes, now);
    }

    /// Records that a result was freed. Returns whether this batcher knew the result.
    pub fn on_freed(&mut self, handle: &str) -> bool {
        let Some(result) = self.results.remove(handle) else {
            return false;
        };
        release(&mut self.endpoints, &result);
        true
    }

    /// Removes results that have expired and endpoints that are no longer usable and have neither
    /// calls nor results.
    pub fn sweep(&mut self, now: Time, usable: &[Arc<Endpoint>]) {
        let endpoints = &mut self.endpoints;
        self.results.retain(|_, result| {
            let is_stored = now < result.expires_at;
            if !is_stored {
                release(endpoints, result);
            }
            is_stored
        });
        let usable: HashSet<&EndpointName> = usable.iter().map(|endpoint| &endpoint.id).collect();
        endpoints
            .retain(|id, state| state.calls > 0 || state.stored_results > 0 || usable.contains(id));
    }

    /// Counts a result towards the memory that its endpoint uses, until the result expires.
    pub(super) fn record_result(
        &mut self,
        now: Time,
        endpoint: &EndpointName,
        handle: &str,
        bytes: u64,
    ) {
        let result = StoredResult {
            endpoint: endpoint.clone(),
            bytes,
            expires_at: now + self.limits.result_ttl,
        };
        let state = self.endpoints.entry(endpoint.clone()).or_default();
        state.stored_results += 1;
        state.stored_bytes += bytes;
        if let Some(replaced) = self.results.insert(handle.to_owned(), result) {
            release(&mut self.endpoints, &replaced);
        }
    }
}

/// Gives back the memory of a result that its endpoint no longer holds.
fn release(endpoints: &mut HashMap<EndpointName, EndpointState>, result: &StoredResult) {
    if let Some(state) = endpoints.get_mut(&result.endpoint) {
        state.stored_results -= 1;
        state.stored_bytes -= result.bytes;
    }
}
