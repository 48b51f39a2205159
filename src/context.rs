//! What every part of a daemon needs.

use std::sync::Arc;

use slog::Logger;

use crate::blackboard::SharedSnapshot;
use crate::explain::DecisionLog;
use crate::units::{DataCentreName, Incarnation, VmId};

/// Passed everywhere in place of globals, so that tests can build their own.
#[derive(Clone)]
pub struct Context {
    /// The name of this VM on the platform's list.
    pub vm: VmId,
    /// The data centre that this VM stands in.
    pub data_centre: DataCentreName,
    /// This incarnation of the daemon.
    pub incarnation: Incarnation,
    /// Receives one line per decision.
    pub logger: Logger,
    /// The control thread's latest published state.
    pub snapshot: Arc<SharedSnapshot>,
    /// The latest decisions, which operators read.
    pub decisions: Arc<DecisionLog>,
}
