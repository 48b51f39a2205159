//! Keys in the rendezvous order. All VMs must derive the same key for the same thing.

use crate::units::{EndpointName, OrganisationName};

/// Key of the owner that orders models.
pub const PLACEMENT_KEY: &str = "placement";

/// Key of the owner that holds an organisation's bucket.
pub fn organisation_key(organisation: &OrganisationName) -> String {
    format!("organisation/{organisation}")
}

/// Key of the owner that divides an endpoint's slots.
pub fn endpoint_key(endpoint: &EndpointName) -> String {
    format!("endpoint/{endpoint}")
}
