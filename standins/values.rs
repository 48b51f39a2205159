//! The values that the platform stand-in publishes, read from files.

use std::path::Path;

use anyhow::{Context, bail};
use bytes::Bytes;
use primrosewalk::manifest::{ManifestIndex, PartReference, VmList, part_digest};
use primrosewalk::units::Version;
use serde::Deserialize;
use serde_json::{Map, Value};

/// Size at which a list goes on in the next part; the platform holds at most a megabyte.
const PART_BYTES: usize = 900_000;

/// The file `manifest.json`: a version and the whole manifest.
///
/// The manifest stays untyped, so that a test can publish one that daemons must refuse.
#[derive(Deserialize)]
struct ManifestFile {
    version: u64,
    manifest: Map<String, Value>,
}

/// A manifest as published: the index and its parts by digest.
pub struct PublishedManifest {
    pub version: u64,
    pub index: Bytes,
    pub parts: Vec<(String, Bytes)>,
}

/// Reads `manifest.json` and splits it into parts.
pub fn read_manifest(path: &Path) -> anyhow::Result<PublishedManifest> {
    let text = std::fs::read(path).with_context(|| format!("cannot read {}", path.display()))?;
    let file: ManifestFile =
        serde_json::from_slice(&text).with_context(|| format!("cannot use {}", path.display()))?;
    let mut index = ManifestIndex {
        version: Version(file.version),
        parts: Vec::new(),
    };
    let mut parts = Vec::new();
    for (name, bytes) in split(file.manifest)? {
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

/// Reads `vms.json` and returns its version and bytes.
pub fn read_vms(path: &Path) -> anyhow::Result<(u64, Bytes)> {
    let text = std::fs::read(path).with_context(|| format!("cannot read {}", path.display()))?;
    let list: VmList =
        serde_json::from_slice(&text).with_context(|| format!("cannot use {}", path.display()))?;
    Ok((list.version.0, text.into()))
}

/// Splits a manifest: `base` takes the small fields, each long list has parts of its own.
fn split(mut manifest: Map<String, Value>) -> anyhow::Result<Vec<(String, Bytes)>> {
    let mut parts = Vec::new();
    for list in ["pipelines", "endpoints", "organisations"] {
        let Some(Value::Array(items)) = manifest.remove(list) else {
            continue;
        };
        for (number, chunk) in chunks(items)?.into_iter().enumerate() {
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

fn chunks(items: Vec<Value>) -> anyhow::Result<Vec<String>> {
    let mut chunks = vec![String::new()];
    for item in items {
        let text = item.to_string();
        if text.len() > PART_BYTES {
            bail!("one item has {} bytes, more than {PART_BYTES}", text.len());
        }
        let is_full = chunks
            .last()
            .is_some_and(|chunk| chunk.len() + text.len() >= PART_BYTES);
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
