//! Parses the JSON objects of the platform.

use serde::Deserialize;
use serde::de::Error as _;

/// Parses an object. The parser itself also takes a list of the fields' values for one, which comes from another writer
/// and says nothing.
///
/// # Errors
///
/// Fails if the text is no object, or lacks a field.
pub(super) fn parse_object<'a, T: Deserialize<'a>>(text: &'a [u8]) -> serde_json::Result<T> {
    match text.trim_ascii_start().starts_with(b"{") {
        true => serde_json::from_slice(text),
        false => Err(serde_json::Error::custom("it is no object")),
    }
}
