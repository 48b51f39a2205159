//! Finds the organisation that a request runs for and checks that its API key is still valid
//! (`docs/design.md`, 3.2).
//!
//! Only the digest of an API key is stored, and only on this VM.

use std::time::Duration;

use hyper::HeaderMap;
use parking_lot::Mutex;
use smallvec::SmallVec;

use crate::blackboard::Snapshot;
use crate::clock;
use crate::manifest::{ApiKeyDigest, Organisation, Pipeline};
use crate::traffic::refusal::{Refusal, RefusalCode};
use crate::traffic::state::Traffic;
use crate::units::OrganisationName;

/// Header that carries a caller's API key.
pub const API_KEY_HEADER: &str = "x-key";

/// Maximum number of API keys stored for one connection; callers use one or two.
const MAX_API_KEYS_PER_CONNECTION: usize = 8;

/// Time from when the configuration goes stale until running requests end. A short pause of the
/// control thread must not end them.
const STALE_GRACE: Duration = Duration::from_millis(500);

/// The organisation that a request runs for, and its API key.
#[derive(Debug, Clone)]
pub struct Caller {
    /// The organisation whose rate allowance the request uses.
    pub organisation: OrganisationName,
    /// The organisation's weight in the queues for endpoint slots.
    pub weight: f64,
    /// Digest of the API key; `None` for a pipeline that needs no key.
    pub digest: Option<ApiKeyDigest>,
}

/// Digests of the API keys that were accepted on one connection, the oldest first.
#[derive(Debug, Default)]
pub struct ConnectionApiKeys {
    digests: Mutex<SmallVec<[ApiKeyDigest; 2]>>,
}

impl ConnectionApiKeys {
    fn add(&self, digest: ApiKeyDigest) {
        let mut digests = self.digests.lock();
        if digests.contains(&digest) {
            return;
        }
        if digests.len() == MAX_API_KEYS_PER_CONNECTION {
            digests.remove(0);
        }
        digests.push(digest);
    }

    fn contains(&self, digest: &ApiKeyDigest) -> bool {
        self.digests.lock().contains(digest)
    }

    /// Returns whether an API key that was accepted on this connection is no longer valid.
    pub fn any_withdrawn(&self, snapshot: &Snapshot) -> bool {
        let Some(catalogue) = &snapshot.catalogue else {
            return false;
        };
        let digests = self.digests.lock();
        let mut digests = digests.iter();
        digests.any(|digest| catalogue.organisation_of_api_key(digest).is_none())
    }
}

/// Finds the organisation that a request to `pipeline` runs for.
///
/// # Errors
///
/// Returns a refusal if the pipeline needs an API key and the request's key is missing or not
/// valid, or if this VM has no recent configuration to check the key against.
pub fn identify(
    snapshot: &Snapshot,
    pipeline: &Pipeline,
    headers: &HeaderMap,
    connection: &ConnectionApiKeys,
) -> Result<Caller, Refusal> {
    let Some(catalogue) = &snapshot.catalogue else {
        return Err(stale_configuration());
    };
    if let Some(name) = &pipeline.open_as {
        let organisation = catalogue
            .organisation(name)
            .ok_or_else(stale_configuration)?;
        return Ok(caller_of(organisation, None));
    }
    let digest = api_key_digest(headers).ok_or_else(unknown_key)?;
    if clock::now() >= snapshot.api_keys_fresh_until {
        return Err(stale_configuration());
    }
    match catalogue.organisation_of_api_key(&digest) {
        Some(organisation) => {
            connection.add(digest);
            Ok(caller_of(organisation, Some(digest)))
        }
        None if connection.contains(&digest) => Err(key_withdrawn()),
        None => Err(unknown_key()),
    }
}

/// Returns the digest of the API key in the headers of a request; `None` without a key.
pub fn api_key_digest(headers: &HeaderMap) -> Option<ApiKeyDigest> {
    let key = headers.get(API_KEY_HEADER)?.to_str().ok()?;
    Some(ApiKeyDigest::of_key(key))
}

fn caller_of(organisation: &Organisation, digest: Option<ApiKeyDigest>) -> Caller {
    Caller {
        organisation: organisation.name.clone(),
        weight: organisation.rate_per_second.0,
        digest,
    }
}

fn unknown_key() -> Refusal {
    Refusal::not_run(RefusalCode::UnknownKey, "no organisation has this key")
}

fn key_withdrawn() -> Refusal {
    Refusal::not_run(RefusalCode::KeyWithdrawn, "the key was withdrawn")
}

fn stale_configuration() -> Refusal {
    let message = "this VM has no recent confirmation of the configuration";
    Refusal::not_run(RefusalCode::StaleConfiguration, message)
}

/// Waits until the API key of a running request's caller is withdrawn or can no longer be
/// confirmed, and returns the reason. Without an API key it waits forever.
pub async fn authorisation_lost(traffic: &Traffic, caller: &Caller) -> RefusalCode {
    let Some(digest) = &caller.digest else {
        return std::future::pending().await;
    };
    let mut changes = traffic.api_key_checks.clone();
    loop {
        changes.mark_unchanged();
        if let Some(code) = lost_reason(&traffic.context.snapshot.load(), digest, caller) {
            return code;
        }
        if changes.changed().await.is_err() {
            return std::future::pending().await;
        }
    }
}

/// Returns why a request with this API key must end, or `None` if the key is still valid.
fn lost_reason(snapshot: &Snapshot, digest: &ApiKeyDigest, caller: &Caller) -> Option<RefusalCode> {
    let catalogue = snapshot.catalogue.as_ref()?;
    let organisation = catalogue.organisation_of_api_key(digest);
    if organisation.is_none_or(|organisation| organisation.name != caller.organisation) {
        return Some(RefusalCode::KeyWithdrawn);
    }
    is_stale_past_grace(snapshot).then_some(RefusalCode::StaleConfiguration)
}

/// Returns whether the configuration has been stale for longer than [`STALE_GRACE`], so that
/// running requests with an API key must end.
pub fn is_stale_past_grace(snapshot: &Snapshot) -> bool {
    clock::now() >= snapshot.api_keys_fresh_until + STALE_GRACE
}
