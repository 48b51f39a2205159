//! Translates between the users' platform and primrosewalk's own types.
//!
//! Only this folder knows the names of the platform's headers, paths and fields. It decodes
//! them once, into types of [`crate::fleet`], and makes no decisions (`docs/platform.md`).

pub mod caller;
pub mod configuration;
pub mod directory;
pub mod endpoint_call;
pub mod endpoint_entry;
mod object;
pub mod stage_call;
pub mod store;
