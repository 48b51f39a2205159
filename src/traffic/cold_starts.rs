//! Endpoints that showed a cold start to this VM.
//!
//! Only the first sign of a cold start is reported, because each report restarts the ramp.

use std::collections::HashMap;

use crate::blackboard::Snapshot;
use crate::units::{EndpointName, Time};

/// Known cold starts, with the time of the first sign.
#[derive(Debug, Default)]
pub struct ColdStarts {
    signs: HashMap<EndpointName, Time>,
}

impl ColdStarts {
    /// Takes a sign of a cold start. Returns whether it begins one, rather than repeats a
    /// known one that no later load report has ended.
    pub fn on_sign(&mut self, now: Time, snapshot: &Snapshot, endpoint: &EndpointName) -> bool {
        let is_known = self.signs.get(endpoint).is_some_and(|since| {
            let load = snapshot.loads.get(endpoint);
            let was_warm = load.is_some_and(|load| !load.cold && load.read_at > *since);
            !was_warm
        });
        if is_known {
            return false;
        }
        self.signs.insert(endpoint.clone(), now);
        true
    }

    /// Notes an answer without a sign of a cold start.
    pub fn on_warm_answer(&mut self, endpoint: &EndpointName) {
        self.signs.remove(endpoint);
    }
}
