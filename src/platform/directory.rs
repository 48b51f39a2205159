//! Paths, query and answer of the address directory, where callers look up the VMs to connect to.

use std::borrow::Cow;
use std::net::SocketAddr;

use serde::Serialize;

use crate::query::value_of;

/// Path of the call that looks up addresses.
pub const DIRECTORY_PATH: &str = "/api/resolve";
/// Path of the call by which the platform checks whether a VM is ready.
pub const READINESS_PATH: &str = "/api/readyz";

#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
struct Answer {
    addresses: Vec<String>,
    ttl_s: f64,
}

/// Returns the data centre that the caller names in its query.
pub fn caller_data_centre(query: &str) -> Option<Cow<'_, str>> {
    value_of(query, "Zone")
}

/// Encodes the addresses and their time to live, `ttl_s`, for which a caller may cache them.
pub fn encode_addresses(addresses: &[SocketAddr], ttl_s: f64) -> Vec<u8> {
    let answer = Answer {
        addresses: addresses.iter().map(SocketAddr::to_string).collect(),
        ttl_s,
    };
    serde_json::to_vec(&answer).unwrap_or_default()
}
