//! The index of a manifest: its version and the digest of each part.
//!
//! Parts are addressed by digest, so a VM fetches only parts that changed, and may fetch a part
//! from any peer (`docs/design.md`, 3.2).

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::units::Version;

/// The value of the key `manifest` in the platform's store.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ManifestIndex {
    /// Version of the manifest.
    pub version: Version,
    /// All parts of the manifest.
    pub parts: Vec<PartReference>,
}

/// Name and digest of one part of a manifest.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PartReference {
    /// Name of the part in messages to people, such as `organisations-000`.
    pub name: String,
    /// SHA-256 digest of the part's bytes in hexadecimal. The part is stored in the platform under
    /// the key `manifest/part/{sha256}`.
    pub sha256: String,
}

/// Returns the SHA-256 digest in hexadecimal by which a part is addressed.
pub fn part_digest(bytes: &[u8]) -> String {
    hex::encode(Sha256::digest(bytes))
}

/// Returns whether a text is a digest as [`part_digest`] makes it. Any other is the key of no part.
pub fn is_part_digest(text: &str) -> bool {
    let is_digit = |byte: u8| matches!(byte, b'0'..=b'9' | b'a'..=b'f');
    text.len() == 64 && text.bytes().all(is_digit)
}
