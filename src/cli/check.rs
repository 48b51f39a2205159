//! `primrosewalk check`: validates a manifest with the daemon's rules, before it is published.

use std::path::PathBuf;

use anyhow::{Context as _, bail};
use clap::Args;

use crate::manifest::parse_manifest;
use crate::units::Version;

/// Options of `primrosewalk check`.
#[derive(Debug, Args)]
pub struct CheckOptions {
    /// JSON files, one for each part of the manifest.
    #[arg(required = true)]
    files: Vec<PathBuf>,
}

/// Prints a summary of a valid manifest. For an invalid one, prints every finding with its place
/// and fails.
pub fn check(options: &CheckOptions) -> anyhow::Result<()> {
    let mut parts = Vec::new();
    for file in &options.files {
        let bytes =
            std::fs::read(file).with_context(|| format!("cannot read {}", file.display()))?;
        parts.push((file.display().to_string(), bytes));
    }
    let named_parts = parts
        .iter()
        .map(|(name, bytes)| (name.as_str(), bytes.as_slice()));
    match parse_manifest(Version::default(), named_parts) {
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
            bail!("the manifest has {} findings", findings.items().len())
        }
    }
}
