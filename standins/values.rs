//! Reads the files whose contents the platform stand-in publishes, and splits the manifest
//! into parts.

use std::path::Path;

use anyhow::{Context, bail};
use bytes::Bytes;
use primrosewalk::manifest::{ManifestIndex, PartReference, VmList, part_digest};
use primrosewalk::units::Version;
use serde::Deserialize;
use serde_json::{Map, Value};

/// Maximum size of the list items in one manifest part. A longer list continues in further
/// parts, because the platform stores at most one megabyte under a key.
const MAX_PART_BYTES: usize = 900_000;

/// Contents of `manifest.json`: a version and the whole manifest.
///
/// The manifest is not parsed into its types, so that a test can publish an invalid one,
/// which daemons must refuse.
#[derive(Deserialize)]
struct ManifestFile {
    version: u64,
    manifest: Map<String, Value>,
}

/// A manifest in the form in which the platform serves it.
pub struct PublishedManifest {
    pub version: u64,
    /// The serialised [`ManifestIndex`], which names the parts.
    pub index: Bytes,
    /// SHA-256 digest and contents of each part.
    pub parts: Vec<(String, Bytes)>,
}

/// Reads `manifest.json` and splits it into parts.
pub fn read_manifest(path: &Path) -> anyhow::Result<PublishedManifest> {
    let text = std::fs::read(path).with_context(|| format!("cannot read {}", path.display()))?;
    let file: ManifestFile = serde_json::from_slice(&text)
        .with_context(|| format!("cannot parse {}", path.display()))?;
    let mut index = ManifestIndex {
        version: Version(file.version),
        parts: Vec::new(),
    };
    let mut parts = Vec::new();
    for (name, bytes) in split_manifest(file.manifest)? {
        let sha256 = part_digest(&bytes);
        index.parts.push(PartReference {
            name,
            sha256: sha256.clone(),
        });
        parts.push((sha256, bytes));
    }
    Ok(PublishedManifest {
        version: file.version,
        index: serde_json::to_vec(&index)?.into(),
        parts,
    })
}

/// Reads `vms.json` and returns the version of the VM list and the unchanged file contents.
pub fn read_vms(path: &Path) -> anyhow::Result<(u64, Bytes)> {
    let text = std::fs::read(path).with_context(|| format!("cannot read {}", path.display()))?;
    let list: VmList = serde_json::from_slice(&text)
        .with_context(|| format!("cannot parse {}", path.display()))?;
    Ok((list.version.0, text.into()))
}

/// Splits a manifest into named parts: `base` holds the small fields, and each of the long
/// lists has parts of its own.
fn split_manifest(mut manifest: Map<String, Value>) -> anyhow::Result<Vec<(String, Bytes)>> {
    let mut parts = Vec::new();
    for list in ["pipelines", "endpoints", "organisations"] {
        let Some(Value::Array(items)) = manifest.remove(list) else {
            continue;
        };
        for (number, chunk) in chunk_items(items)?.into_iter().enumerate() {
            let text = format!("{{\"{list}\":[{chunk}]}}");
            parts.push((format!("{list}-{number:03}"), text.into()));
        }
    }
    parts.insert(
        0,
        ("base".to_owned(), serde_json::to_vec(&manifest)?.into()),
    );
    Ok(parts)
}

/// Serialises the items of a list into chunks, each with as many comma-separated items as fit
/// into one part.
fn chunk_items(items: Vec<Value>) -> anyhow::Result<Vec<String>> {
    let mut chunks = vec![String::new()];
    for item in items {
        let text = item.to_string();
        if text.len() > MAX_PART_BYTES {
            bail!(
                "a list item has {} bytes, but a manifest part can hold at most {MAX_PART_BYTES}",
                text.len()
            );
        }
        let is_full = chunks
            .last()
            .is_some_and(|chunk| chunk.len() + text.len() >= MAX_PART_BYTES);
        if is_full {
            chunks.push(String::new());
        }
        if let Some(chunk) = chunks.last_mut() {
            if !chunk.is_empty() {
                chunk.push(',');
            }
            chunk.push_str(&text);
        }
    }
    Ok(chunks)
}
