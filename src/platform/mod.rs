//! Translates between the users' platform and primrosewalk's own types.
//!
//! This folder alone knows the platform's names. It decodes them once, into types of
//! [`crate::fleet`], and takes no decisions (`docs/platform.md`).

pub mod caller;
pub mod configuration;
pub mod directory;
pub mod endpoint_call;
pub mod endpoint_entry;
pub mod stage_call;
pub mod store;
