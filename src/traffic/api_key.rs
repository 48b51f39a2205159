//! Whom a request runs for, and whether its API key still holds (`docs/design.md`, 3.2).
//!
//! Only the digest of an API key is kept, and only on this VM.

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

/// API keys remembered for one connection; callers use one or two.
const API_KEYS_PER_CONNECTION: usize = 8;

/// A short pause of the control thread must not end running requests, so these end only
/// this long after the configuration went stale.
const STALE_GRACE: Duration = Duration::from_millis(500);

/// Whom a request runs for.
#[derive(Debug, Clone)]
pub struct Caller {
    /// The organisation whose allowance it uses.
    pub organisation: OrganisationName,
    /// The organisation's weight in the queues.
    pub weight: f64,
    /// The API key's digest; `None` on an open route.
    pub digest: Option<ApiKeyDigest>,
}

/// API keys that were accepted on a connection.
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
        if digests.len() == API_KEYS_PER_CONNECTION {
            digests.remove(0);
        }
        digests.push(digest);
    }

    fn contains(&self, digest: &ApiKeyDigest) -> bool {
        self.digests.lock().contains(digest)
    }

    /// Returns whether an API key that was accepted here is no longer valid.
    pub fn any_withdrawn(&self, snapshot: &Snapshot) -> bool {
        let Some(catalogue) = &snapshot.catalogue else {
            return false;
        };
        let digests = self.digests.lock();
        let mut digests = digests.iter();
        digests.any(|digest| catalogue.organisation_of_api_key(digest).is_none())
    }
}

/// Finds whom a request to `pipeline` runs for.
///
/// # Errors
///
/// Returns the refusal when the route needs an API key and the request's is not valid, or when
/// this VM cannot tell.
pub fn identify(
    snapshot: &Snapshot,
    pipeline: &Pipeline,
    headers: &HeaderMap,
    connection: &ConnectionApiKeys,
) -> Result<Caller, Refusal> {
    let Some(catalogue) = &snapshot.catalogue else {
        return Err(stale());
    };
    if let Some(name) = &pipeline.open_as {
        let organisation = catalogue.organisation(name).ok_or_else(stale)?;
        return Ok(caller(organisation, None));
    }
    let digest = api_key_digest(headers).ok_or_else(unknown)?;
    if clock::now() >= snapshot.api_keys_fresh_until {
        return Err(stale());
    }
    match catalogue.organisation_of_api_key(&digest) {
        Some(organisation) => {
            connection.add(digest);
            Ok(caller(organisation, Some(digest)))
        }
        None if connection.contains(&digest) => Err(withdrawn()),
        None => Err(unknown()),
    }
}

/// Returns the digest of the API key that came with a request.
pub fn api_key_digest(headers: &HeaderMap) -> Option<ApiKeyDigest> {
    let key = headers.get(API_KEY_HEADER)?.to_str().ok()?;
    Some(ApiKeyDigest::of_key(key))
}

fn caller(organisation: &Organisation, digest: Option<ApiKeyDigest>) -> Caller {
    Caller {
        organisation: organisation.name.clone(),
        weight: organisation.rate_per_second.0,
        digest,
    }
}

fn unknown() -> Refusal {
    Refusal::not_run(RefusalCode::UnknownKey, "no organisation has this key")
}

fn withdrawn() -> Refusal {
    Refusal::not_run(RefusalCode::KeyWithdrawn, "the key was withdrawn")
}

fn stale() -> Refusal {
    let message = "this VM has no recent confirmation of the configuration";
    Refusal::not_run(RefusalCode::StaleConfiguration, message)
}

/// Waits until a running request may no longer run for its caller, and returns why.
pub async fn lost(traffic: &Traffic, caller: &Caller) -> RefusalCode {
    let Some(digest) = &caller.digest else {
        return std::future::pending().await;
    };
    let mut changes = traffic.api_key_checks.clone();
    loop {
        changes.mark_unchanged();
        if let Some(code) = check(&traffic.context.snapshot.load(), digest, caller) {
            return code;
        }
        if changes.changed().await.is_err() {
            return std::future::pending().await;
        }
    }
}

fn check(snapshot: &Snapshot, digest: &ApiKeyDigest, caller: &Caller) -> Option<RefusalCode> {
    let catalogue = snapshot.catalogue.as_ref()?;
    let organisation = catalogue.organisation_of_api_key(digest);
    if organisation.is_none_or(|organisation| organisation.name != caller.organisation) {
        return Some(RefusalCode::KeyWithdrawn);
    }
    is_stale(snapshot).then_some(RefusalCode::StaleConfiguration)
}

/// Returns whether running requests with an API key must end because the configuration is stale.
pub fn is_stale(snapshot: &Snapshot) -> bool {
    clock::now() >= snapshot.api_keys_fresh_until + STALE_GRACE
}
