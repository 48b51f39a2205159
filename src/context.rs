//! Identity, logger and shared state that every part of the daemon uses.

use std::sync::Arc;

use slog::Logger;

use crate::blackboard::SharedSnapshot;
use crate::explain::DecisionLog;
use crate::units::{DataCentreName, Incarnation, VmId};

/// Context of one daemon, passed as an argument in place of globals so that tests can build
/// their own.
#[derive(Clone)]
pub struct Context {
    /// Name of this VM on the platform's VM list.
    pub vm: VmId,
    /// Name of the data centre that this VM is in.
    pub data_centre: DataCentreName,
    /// Incarnation of this daemon process.
    pub incarnation: Incarnation,
    /// Logger, which gets one line per decision.
    pub logger: Logger,
    /// Latest state that the control thread published.
    pub snapshot: Arc<SharedSnapshot>,
    /// Log of the latest decisions, which operators read.
    pub decisions: Arc<DecisionLog>,
}
