//! Transports between VMs: state messages over persistent connections, and remote procedure calls.
//!
//! `docs/design.md`, 2.2 explains why there are two.

pub mod backoff;
pub mod calls;
mod counted;
pub mod link;
pub mod message;
