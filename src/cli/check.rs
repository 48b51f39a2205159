//! `primrosewalk check`: checks a manifest as a daemon would, before it is published.

use std::path::PathBuf;

use anyhow::{Context as _, bail};
use clap::Args;

use crate::manifest::parse_manifest;
use crate::units::Version;

/// Options of `primrosewalk check`.
#[derive(Debug, Args)]
pub struct CheckOptions {
    /// The manifest's parts, one JSON file each.
    #[arg(required = true)]
    files: Vec<PathBuf>,
}

/// Prints a summary of a good manifest, or every finding with its place.
pub fn check(options: &CheckOptions) -> anyhow::Result<()> {
    let mut parts = Vec::new();
    for file in &options.files {
        let bytes =
            std::fs::read(file).with_context(|| format!("cannot read {}", file.display()))?;
        parts.push((file.display().to_string(), bytes));
    }
    let borrowed = parts
        .iter()
        .map(|(name, bytes)| (name.as_str(), bytes.as_slice()));
    match parse_manifest(Version::default(), borrowed) {
        Ok(manifest) => {
            println!(
                "ok: {} pipelines, {} endpoints, {} organisations, {} data centres, {} models",
                manifest.pipelines.len(),
                manifest.endpoints.len(),
                manifest.organisations.len(),
                manifest.data_centres.len(),
                manifest.models.len(),
            );
            Ok(())
        }
        Err(findings) => {
            println!("{findings}");
            bail!("{} findings", findings.items().len())
        }
    }
}
