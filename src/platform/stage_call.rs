//! Calls that run stage items and free their results.

use anyhow::Context as _;
use serde::{Deserialize, Serialize};

use crate::decisions::batching::{ItemFailure, ItemInput, ItemSpec};

/// Path of the call that runs a batch of items.
pub const RUN_PATH: &str = "/api/stage-run";
/// Path of the call that frees results.
pub const FREE_PATH: &str = "/api/stage-free";

/// Path of the call that tells an endpoint's load and result memory.
pub const REPORT_PATH: &str = "/api/report";
/// Bytes in a megabyte of the platform's documents.
const MEGABYTE_BYTES: f64 = 1e6;

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Report {
    free_mb: f64,
}

#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
struct RunBody<'a> {
    entries: Vec<RunEntry<'a>>,
}

#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
struct RunEntry<'a> {
    // The request that the item belongs to.
    id: &'a str,
    stage: usize,
    piece: u32,
    remaining_ms: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    key: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    inputs: Option<&'a [String]>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct RunAnswer {
    entries: Vec<RunOutcome>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct RunOutcome {
    #[serde(default)]
    handle: Option<String>,
    #[serde(default)]
    reason: Option<String>,
}

#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
struct FreeBody<'a> {
    handles: &'a [String],
}

/// Encodes a batch of items with the time that each has left.
pub fn encode_run<'a>(items: impl Iterator<Item = (&'a ItemSpec, u64)>) -> Vec<u8> {
    let entries = items.map(|(item, remaining_ms)| {
        let (key, inputs) = match &item.input {
            ItemInput::Key(key) => (Some(&**key), None),
            ItemInput::Handles(handles) => (None, Some(&**handles)),
        };
        RunEntry {
            id: &item.request,
            stage: item.stage,
            piece: item.index,
            remaining_ms,
            key,
            inputs,
        }
    });
    let body = RunBody {
        entries: entries.collect(),
    };
    serde_json::to_vec(&body).unwrap_or_default()
}

/// Decodes the outcome of each item, in the order of the call.
///
/// # Errors
///
/// Fails when the answer is not as documented or has another number of outcomes.
pub fn decode_run(
    answer: &[u8],
    expected: usize,
) -> anyhow::Result<Vec<Result<String, ItemFailure>>> {
    let answer: RunAnswer = serde_json::from_slice(answer).context("the answer is not JSON")?;
    anyhow::ensure!(
        answer.entries.len() == expected,
        "{} outcomes for {expected} items",
        answer.entries.len()
    );
    let outcome = |entry: RunOutcome| match (entry.handle, entry.reason.as_deref()) {
        (Some(handle), None) => Ok(handle),
        (_, Some("late")) => Err(ItemFailure::Late),
        (_, Some("gone")) => Err(ItemFailure::InputGone),
        (_, Some("room")) => Err(ItemFailure::NoRoom),
        _ => Err(ItemFailure::Failed),
    };
    Ok(answer.entries.into_iter().map(outcome).collect())
}

/// Encodes results that are not needed any more.
pub fn encode_free(handles: &[String]) -> Vec<u8> {
    serde_json::to_vec(&FreeBody { handles }).unwrap_or_default()
}

/// Decodes how much memory an endpoint has for results at most; `None` if it does not say. It
/// reports whole megabytes, rounded down.
pub fn decode_free_bytes(answer: &[u8]) -> Option<u64> {
    let report: Report = serde_json::from_slice(answer).ok()?;
    let free_mb = report.free_mb.max(0.0) + 1.0;
    Some((free_mb * MEGABYTE_BYTES) as u64)
}
