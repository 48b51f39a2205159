//! Decision logic without input or output.
//!
//! The code here receives the time, events and where needed a seeded random number generator, and
//! returns what to do. The code in `control`, `peer` and `traffic` does the input and output
//! (`docs/design.md`, 2).

pub mod at_most_once;
pub mod batching;
pub mod caller_memory;
pub mod change_log;
pub mod circuit;
pub mod config_version;
pub mod endpoint_choice;
pub mod endpoint_notices;
pub mod engine_load;
pub mod fair_queue;
pub mod generation_times;
pub mod gossip;
pub mod group_choice;
pub mod listing;
pub mod load_cost;
pub mod membership;
pub mod ownership_keys;
pub mod placement;
pub mod planned_stop;
pub mod quarantine;
pub mod quota;
pub mod rendezvous;
pub mod retry;
pub mod retry_window;
pub mod revision_lag;
pub mod routing;
pub mod run_time;
pub mod slots;
pub mod stage_groups;
pub mod stage_start;
pub mod stage_times;
pub mod store_source;
pub mod store_view;
pub mod warm_start;
pub mod work_order;
