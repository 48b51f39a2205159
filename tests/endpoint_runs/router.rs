//! Circuits and the choice of endpoints under random failures.
//!
//! Guards against several probes of one failed endpoint at once, against work for an endpoint
//! that failed permanently, and against more work than a grant allows.

use std::collections::HashMap;
use std::sync::Arc;

use primrosewalk::blackboard::{Catalogue, SlotGrant, Snapshot};
use primrosewalk::decisions::circuit::FailureClass;
use primrosewalk::decisions::routing::{Attempt, Choice, RouteRequest, Router, RoutingConfig};
use primrosewalk::manifest::{DataCentre, Manifest, Stage, StageKind};
use primrosewalk::units::{EndpointName, ModelName, Time};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::{ScheduleResult, Trace, check, endpoint, name, run_seeds};

const MAX_GRANTED_SLOTS: u32 = 4;

struct OpenAttempt {
    attempt: Attempt,
    /// Number of the circuit opening that this attempt probes, if the circuit was open.
    probes: Option<u32>,
}

fn manifest() -> Manifest {
    let mut manifest = Manifest::default();
    for number in 0..3 {
        manifest.data_centres.push(DataCentre {
            name: name("dc", number),
            region: name("r", 0),
            state: Default::default(),
        });
        for half in 0..2 {
            let mut item = endpoint(number * 2 + half, StageKind::Generate, MAX_GRANTED_SLOTS, 1);
            item.service = name("s", 0);
            item.data_centre = name("dc", number);
            item.models = vec![name("m", 0), name("m", half)];
            manifest.endpoints.push(item);
        }
    }
    manifest
}

fn schedule(random: &mut ChaCha8Rng, trace: &mut Trace) -> ScheduleResult {
    let mut router = Router::new(RoutingConfig::default(), name("dc", 0));
    let mut snapshot = Snapshot {
        catalogue: Some(Arc::new(Catalogue::new(manifest()))),
        ..Snapshot::default()
    };
    let mut open_attempts: Vec<OpenAttempt> = Vec::new();
    // By endpoint: whether its circuit is open, and how often it has opened.
    let mut openings: HashMap<EndpointName, (bool, u32)> = HashMap::new();
    let mut permanently_refused: Vec<EndpointName> = Vec::new();
    let mut manifest_changed = false;
    let mut now_ms = 0;
    let mut failure_percents = [0_u32; 6];
    for _ in 0..500 {
        now_ms += random.random_range(0..60);
        let now = Time::from_millis(now_ms);
        if random.random_range(0..40) == 0 {
            failure_percents[random.random_range(0..6)] = random.random_range(0..100);
        }
        if random.random_range(0..100) == 0 {
            snapshot.catalogue = Some(Arc::new(Catalogue::new(manifest())));
            manifest_changed = true;
        }
        let valid_until = Time::from_millis(now_ms + 1_200);
        let slots = random.random_range(0..=MAX_GRANTED_SLOTS);
        let grants = (0..6).map(|number| (name("e", number), SlotGrant { slots, valid_until }));
        snapshot.grants = Arc::new(grants.collect());
        if random.random_range(0..2) == 0 {
            // The router reads the new manifest at this choice, which ends permanent failures.
            if std::mem::take(&mut manifest_changed) {
                permanently_refused.clear();
            }
            let model: ModelName = name("m", random.random_range(0..2));
            let stage = Stage {
                name: name("stage", ""),
                kind: StageKind::Generate,
                service: name("s", 0),
                model: Some(model.clone()),
                idempotent: true,
                weight: 1,
            };
            let request = RouteRequest {
                stage: &stage,
                exclude: &[name("e", 5)],
                avoid: None,
                prefix: Some(random.random_range(0..5)),
            };
            let Choice::Endpoint { name, reason } = router.choose(now, &snapshot, &request, random)
            else {
                continue;
            };
            let was_open = router.circuit(&name).is_open();
            let attempt = router.start(now, &name, &request);
            let opening = openings.entry(name.clone()).or_default().1;
            let probes = was_open.then_some(opening);
            trace.note(|| format!("{now_ms} {name} for {model}, probes {probes:?}: {reason}"));
            let others = open_attempts.iter().filter(|open_attempt| {
                was_open
                    && open_attempt.probes == probes
                    && *open_attempt.attempt.endpoint() == name
            });
            check(others.count() == 0, || {
                format!("{name} is probed twice at once")
            })?;
            let offers = name != "e5".parse().expect("a valid name")
                && (model.as_str() == "m0" || name.as_str().ends_with(['1', '3', '5']));
            check(offers, || {
                format!("{name} does not offer {model} or is excluded")
            })?;
            check(!permanently_refused.contains(&name), || {
                format!("{name} was chosen after a permanent failure")
            })?;
            let (in_flight, granted) = (router.in_flight(&name), slots);
            check(in_flight <= granted, || {
                format!("{in_flight} requests in flight at {name}, {granted} slots are granted")
            })?;
            open_attempts.push(OpenAttempt { attempt, probes });
        } else if !open_attempts.is_empty() {
            let open_attempt =
                open_attempts.swap_remove(random.random_range(0..open_attempts.len()));
            let name = open_attempt.attempt.endpoint().clone();
            let number: usize = name.as_str()[1..]
                .parse()
                .expect("the name ends in a number");
            let result = match random.random_range(0..100) {
                0 => Some(Err(FailureClass::Permanent)),
                1..4 => Some(Err(FailureClass::Model)),
                4..8 => None,
                draw if draw < failure_percents[number] => Some(Err(FailureClass::Transient)),
                _ => Some(Ok(())),
            };
            trace.note(|| format!("{now_ms} {name} ends with {result:?}"));
            router.finish(now, open_attempt.attempt, result);
            if result == Some(Err(FailureClass::Permanent)) {
                permanently_refused.push(name.clone());
            }
            for (endpoint, (was_open, opening)) in &mut openings {
                let is_open = router.circuit(endpoint).is_open();
                *opening += u32::from(is_open && !*was_open);
                *was_open = is_open;
            }
        }
    }
    Ok(())
}

#[googletest::gtest]
fn an_open_circuit_has_one_probe_and_refusals_last() {
    run_seeds("router", 600, schedule);
}
