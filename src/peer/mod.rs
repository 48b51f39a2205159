//! Transports between VMs: state messages over kept connections, and calls.
//!
//! `docs/design.md`, 2.2 says why there are two.

pub mod backoff;
pub mod calls;
mod counted;
pub mod link;
pub mod message;
