//! Keys whose owner the rendezvous order determines. All VMs must derive the same key for the same
//! purpose, or they would find different owners.

use crate::units::{EndpointName, OrganisationName};

/// Key whose owner tells engines which models to load and unload.
pub const PLACEMENT_KEY: &str = "placement";

/// Returns the key whose owner holds the token bucket of an organisation.
pub fn organisation_key(organisation: &OrganisationName) -> String {
    format!("organisation/{organisation}")
}

/// Returns the key whose owner divides the slots of an endpoint among VMs.
pub fn endpoint_key(endpoint: &EndpointName) -> String {
    format!("endpoint/{endpoint}")
}
