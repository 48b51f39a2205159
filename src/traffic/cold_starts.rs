//! Cold starts of endpoints, as this VM saw them in answers to its attempts.
//!
//! Only the first sign of a cold start is reported, because each report restarts the ramp of
//! the endpoint's slots.

use std::collections::HashMap;

use crate::blackboard::Snapshot;
use crate::units::{EndpointName, Time};

/// Endpoints in a cold start, with the time of the first sign of it.
#[derive(Debug, Default)]
pub struct ColdStarts {
    first_signs: HashMap<EndpointName, Time>,
}

impl ColdStarts {
    /// Records a sign of a cold start. Returns whether the sign is the first one of a new cold
    /// start. A cold start counts as ongoing until a load report read after its first sign
    /// shows the endpoint as warm, or until [`Self::on_warm_answer`].
    pub fn on_sign(&mut self, now: Time, snapshot: &Snapshot, endpoint: &EndpointName) -> bool {
        let is_ongoing = self.first_signs.get(endpoint).is_some_and(|first_sign| {
            let load = snapshot.loads.get(endpoint);
            let became_warm = load.is_some_and(|load| !load.cold && load.read_at > *first_sign);
            !became_warm
        });
        if is_ongoing {
            return false;
        }
        self.first_signs.insert(endpoint.clone(), now);
        true
    }

    /// Ends the endpoint's cold start, after an answer without a sign of one.
    pub fn on_warm_answer(&mut self, endpoint: &EndpointName) {
        self.first_signs.remove(endpoint);
    }
}
