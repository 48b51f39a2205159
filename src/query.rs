//! Encodes texts as parts of the target of an HTTP request, and reads paths and queries.
//!
//! Names come from other writers and may hold any character (`docs/platform.md`, "Entries of other writers"), so no
//! target is built by joining them as they are.

use std::borrow::Cow;
use std::fmt::Write as _;

use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, percent_decode_str, utf8_percent_encode};

/// What is escaped in a segment of a path: all but the unreserved characters of RFC 3986.
const SEGMENT: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'~');
/// What is escaped in a query. A blank becomes `%20` and a plus `%2B`, which all servers read alike.
const QUERY: &AsciiSet = &SEGMENT.remove(b'/');

/// Returns the target of a request: a path, and a query of names and values.
pub fn target<'a>(path: &str, query: impl IntoIterator<Item = (&'a str, &'a str)>) -> String {
    let mut target = path.to_owned();
    let mut separator = '?';
    for (name, value) in query {
        let name = utf8_percent_encode(name, QUERY);
        let value = utf8_percent_encode(value, QUERY);
        // Writing to a text does not fail.
        let _ = write!(target, "{separator}{name}={value}");
        separator = '&';
    }
    target
}

/// Returns whether a text stands in a query as it is, so that each server reads it alike, however often it decodes the
/// query and whatever a plus is to it.
pub fn is_plain(text: &str) -> bool {
    let is_plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-_./".contains(&byte);
    text.bytes().all(is_plain)
}

/// Returns a text as one segment of a path. A segment of dots alone is a step within the path and names nothing.
pub fn segment(text: &str) -> Cow<'_, str> {
    utf8_percent_encode(text, SEGMENT).into()
}

/// Returns a text that stands in a path, decoded. Bytes that are no UTF-8 are replaced, as no name has them.
pub fn path_text(text: &str) -> Cow<'_, str> {
    percent_decode_str(text).decode_utf8_lossy()
}

/// Returns the first value of a name in a query, decoded.
pub fn value_of<'a>(query: &'a str, name: &str) -> Option<Cow<'a, str>> {
    let mut parts = form_urlencoded::parse(query.as_bytes());
    parts.find_map(|(known, value)| (known == name).then_some(value))
}
