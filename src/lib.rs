//! Serving system for multi-stage model pipelines.
//!
//! `docs/design.md` gives the requirements, the modules and the reasons behind them.

pub mod blackboard;
pub mod clock;
pub mod context;
pub mod decisions;
pub mod findings;
pub mod load;
pub mod manifest;
pub mod units;
