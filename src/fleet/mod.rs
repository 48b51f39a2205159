//! A VM that serves callers on the users' platform.
//!
//! The same program runs on every VM: it serves requests, answers callers which VMs to use, batches
//! stage items for the fleet, and follows the platform's store. `docs/platform.md` describes the
//! design.

pub mod admission;
pub mod attempts;
pub mod caller_connection;
pub mod caller_memory;
mod change_delay;
mod connection_activity;
pub mod control;
mod control_state;
mod crash_reports;
pub mod dispatcher;
pub mod endpoint_client;
mod engine_stream;
pub mod ingress;
mod load_reports;
mod metric;
pub mod model;
mod node;
pub mod notices;
pub mod peer_state;
pub mod peers;
pub mod plain;
mod read_limit;
pub mod reply;
pub mod request;
pub mod request_progress;
pub mod run;
pub mod settings;
pub mod stage_jobs;
pub mod stages;
mod store_apply;
mod store_calls;
pub mod store_feed;
mod store_follow;
mod store_listing;
pub mod stream;
pub mod supervise;
mod unreadable_items;
pub mod view;
pub mod wire;

pub use node::Node;
pub use run::run_fleet_vm;
