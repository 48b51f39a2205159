//! The control thread, which owns all control state and publishes snapshots of it for traffic.
//!
//! Sections 2 and 4 of `docs/design.md` list what the control thread owns. Everything in this
//! module runs on that one thread, so tasks share the state through [`std::rc::Rc`] and never
//! hold a borrow of it across an await.

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
