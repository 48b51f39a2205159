//! Endpoints that showed a cold start to this VM.
//!
//! The control thread takes their grants away, which needs a moment. Until a new set of
//! grants is published nothing more goes there (P2).

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use smallvec::SmallVec;

use crate::blackboard::{SlotGrant, Snapshot};
use crate::units::{EndpointName, Time};

/// Validity of a grant: after that, even a grant that was not taken away has lapsed.
const BLOCK_LIMIT: Duration = Duration::from_secs(1);

type Grants = Arc<HashMap<EndpointName, SlotGrant>>;

#[derive(Debug)]
struct Mark {
    since: Time,
    /// The grants at the time of the sign, while they still block the endpoint.
    blocked_by: Option<Grants>,
}

/// Known cold starts.
#[derive(Debug, Default)]
pub struct ColdMarks {
    marks: HashMap<EndpointName, Mark>,
}

impl ColdMarks {
    /// Takes a sign of a cold start. Returns whether it begins one, rather than repeats a
    /// known one: only the first is reported, because each report restarts the ramp.
    pub fn on_sign(&mut self, now: Time, snapshot: &Snapshot, endpoint: &EndpointName) -> bool {
        let is_known = self.marks.get(endpoint).is_some_and(|mark| {
            let load = snapshot.loads.get(endpoint);
            let was_warm = load.is_some_and(|load| !load.cold && load.read_at > mark.since);
            !was_warm
        });
        if is_known {
            return false;
        }
        let mark = Mark {
            since: now,
            blocked_by: Some(Arc::clone(&snapshot.grants)),
        };
        self.marks.insert(endpoint.clone(), mark);
        true
    }

    /// Notes an answer without a sign of a cold start.
    pub fn on_warm_answer(&mut self, endpoint: &EndpointName) {
        self.marks.remove(endpoint);
    }

    /// Returns the endpoints whose grants are older than the sign.
    pub fn blocked(&mut self, now: Time, snapshot: &Snapshot) -> SmallVec<[EndpointName; 2]> {
        for mark in self.marks.values_mut() {
            let holds = |grants: &Grants| Arc::ptr_eq(grants, &snapshot.grants);
            if !mark.blocked_by.as_ref().is_some_and(holds) || now >= mark.since + BLOCK_LIMIT {
                mark.blocked_by = None;
            }
        }
        let blocked = self.marks.iter();
        blocked
            .filter(|(_, mark)| mark.blocked_by.is_some())
            .map(|(endpoint, _)| endpoint.clone())
            .collect()
    }
}
