//! Bodies of the calls that run stage items, free their results and report free memory.

use anyhow::Context as _;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use crate::decisions::batching::{ItemFailure, ItemInput, ItemSpec};
use crate::platform::object::parse_object;

/// Path of the call that runs a batch of items.
pub const RUN_PATH: &str = "/api/stage-run";
/// Path of the call that frees results.
pub const FREE_PATH: &str = "/api/stage-free";
/// Path of the call that reports an endpoint's load and its memory for results.
pub const REPORT_PATH: &str = "/api/report";

/// Longest handle. It has an address and an id, and an engine gets all handles of a request in one header.
const MAX_HANDLE_BYTES: usize = 1_024;
/// Bytes in a megabyte in the platform's documents; not 1024 * 1024.
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
    /// Id of the request that the item belongs to.
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
struct RunAnswer<'a> {
    /// Decoded one by one, since they belong to different requests.
    #[serde(borrow)]
    entries: Vec<&'a RawValue>,
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

/// Encodes the call that runs a batch: each item with the milliseconds left until its deadline.
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

/// Decodes the outcomes of a batch, in the order of its items: the handle of each result, or why
/// there is none.
///
/// # Errors
///
/// Fails when the answer is not the documented JSON, or when its number of outcomes is not
/// `expected`.
pub fn decode_run(
    answer: &[u8],
    expected: usize,
) -> anyhow::Result<Vec<Result<String, ItemFailure>>> {
    // Bytes that are no UTF-8 make their outcome unreadable, and not the others.
    let text = String::from_utf8_lossy(answer);
    let answer: RunAnswer<'_> =
        parse_object(text.as_bytes()).context("the answer is no JSON object")?;
    anyhow::ensure!(
        answer.entries.len() == expected,
        "the answer has {} outcomes for {expected} items",
        answer.entries.len()
    );
    Ok(answer.entries.into_iter().map(decode_outcome).collect())
}

/// An outcome that cannot be read fails its item alone.
fn decode_outcome(entry: &RawValue) -> Result<String, ItemFailure> {
    let Ok(outcome) = parse_object::<RunOutcome>(entry.get().as_bytes()) else {
        return Err(ItemFailure::Failed);
    };
    match (outcome.handle, outcome.reason.as_deref()) {
        (Some(handle), None) if is_handle(&handle) => Ok(handle),
        (_, Some("late")) => Err(ItemFailure::Late),
        (_, Some("gone")) => Err(ItemFailure::InputGone),
        (_, Some("room")) => Err(ItemFailure::NoRoom),
        _ => Err(ItemFailure::Failed),
    }
}

/// Returns whether a text can be one of the handles that an engine gets in a header, separated by commas.
fn is_handle(text: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_graphic() && byte != b',';
    (1..=MAX_HANDLE_BYTES).contains(&text.len()) && text.bytes().all(is_allowed)
}

/// Encodes the call that frees results that are no longer needed.
pub fn encode_free(handles: &[String]) -> Vec<u8> {
    serde_json::to_vec(&FreeBody { handles }).unwrap_or_default()
}

/// Decodes an upper bound on an endpoint's free memory for results; `None` if the answer does not
/// report it. The endpoint reports whole megabytes, rounded down, so one megabyte is added.
pub fn decode_free_bytes(answer: &[u8]) -> Option<u64> {
    let report: Report = parse_object(answer).ok()?;
    let free_mb = report.free_mb.max(0.0) + 1.0;
    Some((free_mb * MEGABYTE_BYTES) as u64)
}
