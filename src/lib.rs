//! Serving system for multi-stage model pipelines.
//!
//! `docs/design.md` gives the requirements, the modules and the reasons behind them.

pub mod blackboard;
pub mod cli;
pub mod clock;
pub mod context;
pub mod control;
pub mod daemon;
pub mod decisions;
pub mod explain;
pub mod findings;
pub mod fleet;
pub mod http;
pub mod load;
pub mod logger;
pub mod manifest;
pub mod peer;
pub mod platform;
pub mod query;
pub mod recorder;
pub mod settings;
pub mod status;
pub mod traffic;
pub mod units;
