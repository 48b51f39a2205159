//! The manifest, which holds the configuration that operators declare, as one checked value.
//!
//! `docs/design.md`, 3.2 says how the manifest is split into parts and distributed.

mod check;
mod document;
mod index;

pub use check::parse_manifest;
pub use document::{
    ApiKeyDigest, DataCentre, DataCentreState, Endpoint, EndpointState, Manifest, Model,
    Organisation, Pipeline, Stage, StageKind, VmEntry, VmList, VmState,
};
pub use index::{ManifestIndex, PartReference, is_part_digest, part_digest};
