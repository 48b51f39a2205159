//! Targets of requests, read by readers that share nothing with their encoder.

use std::borrow::Cow;

use hyper::Uri;
use primrosewalk::query::{segment, target, value_of};
use rand::RngExt;

use crate::for_each_run;
use crate::odd_items::{MAX_KEY_BYTES, text};

/// Decodes the escapes of a component as RFC 3986 defines them. `None` if it holds anything but escapes, unreserved
/// characters and those in `others`.
fn decode_component(component: &str, others: &[u8]) -> Option<String> {
    let digit = |byte: u8| match byte {
        b'0'..=b'9' => Some(byte - b'0'),
        b'A'..=b'F' => Some(byte - b'A' + 10),
        _ => None,
    };
    let mut bytes = component.bytes();
    let mut decoded = Vec::new();
    while let Some(byte) = bytes.next() {
        decoded.push(match byte {
            b'%' => digit(bytes.next()?)? << 4 | digit(bytes.next()?)?,
            b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'.' | b'_' | b'~' => byte,
            other if others.contains(&other) => other,
            _ => return None,
        });
    }
    String::from_utf8(decoded).ok()
}

fn read_query(query: &str) -> Option<Vec<(String, String)>> {
    let parts = query.split('&').map(|part| {
        let (name, value) = part.split_once('=')?;
        Some((
            decode_component(name, b"/")?,
            decode_component(value, b"/")?,
        ))
    });
    parts.collect()
}

/// Guards against a name that is read as another one, as a part of the query or as the end of it.
#[test]
fn a_query_is_read_as_it_was_meant() {
    for_each_run(|seed, rng| {
        let count = rng.random_range(1..4);
        let pairs: Vec<(String, String)> = (0..count)
            .map(|_| (text(rng, 20), text(rng, MAX_KEY_BYTES)))
            .collect();
        let borrowed = pairs
            .iter()
            .map(|(name, value)| (name.as_str(), value.as_str()));
        let target = target("/api/kv-range", borrowed.clone());
        let uri: Uri = target.parse().unwrap_or_else(|error| {
            panic!("seed {seed}: {target:?} is no URI: {error}");
        });
        assert_eq!(uri.path(), "/api/kv-range", "seed {seed}");
        let query = uri.query().unwrap();
        assert_eq!(target, format!("/api/kv-range?{query}"), "seed {seed}");
        assert_eq!(
            read_query(query),
            Some(pairs.clone()),
            "seed {seed}: {target:?}"
        );
        let form = form_urlencoded::parse(query.as_bytes());
        let form = form.map(|(name, value)| (name.into_owned(), value.into_owned()));
        assert_eq!(form.collect::<Vec<_>>(), pairs, "seed {seed}: {target:?}");
        for (name, _) in &pairs {
            let first = pairs.iter().find(|(other, _)| other == name).unwrap();
            let read = value_of(query, name);
            assert_eq!(read, Some(Cow::from(&first.1)), "seed {seed}: {target:?}");
        }
    });
}

/// The same for a segment of a path.
#[test]
fn a_segment_is_read_as_it_was_meant() {
    for_each_run(|seed, rng| {
        let text = text(rng, MAX_KEY_BYTES);
        let target = format!("/a/{}/b", segment(&text));
        let uri: Uri = target.parse().unwrap_or_else(|error| {
            panic!("seed {seed}: {target:?} is no URI: {error}");
        });
        assert_eq!(
            (uri.path(), uri.query()),
            (target.as_str(), None),
            "seed {seed}"
        );
        let segments: Vec<_> = uri.path().split('/').collect();
        let ["", "a", middle, "b"] = segments[..] else {
            panic!("seed {seed}: {target:?} has other segments");
        };
        assert_eq!(decode_component(middle, b""), Some(text), "seed {seed}");
    });
}

/// Guards against a query of another client that ends a VM or is read as a part that it does not have.
#[test]
fn a_query_of_others_is_read_as_far_as_it_goes() {
    for_each_run(|seed, rng| {
        let (zone, end) = (text(rng, 40), text(rng, 60));
        let zone_part = target("", [("Zone", zone.as_str())]);
        let query = format!("Region=r&{}&{end}", &zone_part[1..]);
        assert_eq!(
            value_of(&query, "Zone"),
            Some(Cow::from(zone)),
            "seed {seed}: {query:?}"
        );
        assert_eq!(
            value_of(&query, "Region"),
            Some(Cow::from("r")),
            "seed {seed}"
        );
        if !end.contains("Name") {
            assert_eq!(value_of(&query, "Name"), None, "seed {seed}: {query:?}");
        }
    });
}
