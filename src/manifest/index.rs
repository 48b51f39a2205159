//! The index of a manifest: its version and the digest of each part.
//!
//! Parts are addressed by digest, so a VM fetches only what changed and may take a part
//! from any peer (`docs/design.md`, 3.2).

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::units::Version;

/// The value of the platform's key `manifest`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ManifestIndex {
    /// Version of the manifest.
    pub version: Version,
    /// The parts that make it up.
    pub parts: Vec<PartReference>,
}

/// Names one part of a manifest.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PartReference {
    /// Name for people, such as `organisations-000`.
    pub name: String,
    /// SHA-256 of the part's bytes in hexadecimal; the platform's key is
    /// `manifest/part/{sha256}`.
    pub sha256: String,
}

/// Returns the digest that a part is addressed by.
pub fn part_digest(bytes: &[u8]) -> String {
    hex::encode(Sha256::digest(bytes))
}
