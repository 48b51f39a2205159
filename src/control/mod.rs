//! The control thread: it owns all control state and publishes snapshots of it.
//!
//! `docs/design.md`, 2 and 4 say what it owns. Everything in this module runs on one thread,
//! so state is shared by [`std::rc::Rc`] and borrowed only between awaits.

pub mod acquire;
pub mod cold;
pub mod config;
pub mod cost;
pub mod event_loop;
pub mod http;
pub mod links;
pub mod loads;
pub mod messages;
pub mod orders;
pub mod platform;
pub mod slot_messages;
pub mod slots;
pub mod snapshot;
pub mod state;
pub mod vms;

pub use event_loop::{ControlConfig, Listeners, run_control};
