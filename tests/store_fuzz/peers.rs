//! What VMs pass on to each other of the store.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use primrosewalk::decisions::store_view::{ScheduledEntry, SnapshotEntry, StoreSnapshot};
use primrosewalk::fleet::model::Endpoint;
use primrosewalk::fleet::peer_state::{decode_state, encode_state};
use primrosewalk::fleet::store_feed::decode_item;
use primrosewalk::fleet::wire::{FleetState, WireEndpoint, WireStoreItem};
use primrosewalk::platform::store::{StoreItem, StoreKey};
use primrosewalk::units::{StoreEra, StorePosition, Time};
use prost::Message as _;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use slog::{Discard, Logger, o};

use crate::for_each_run;
use crate::odd_items::{text, value};

const NOW: Time = Time::from_millis(50_000);

fn endpoint(rng: &mut ChaCha8Rng, number: usize) -> Arc<Endpoint> {
    Arc::new(Endpoint {
        id: format!("i-{number}").parse().unwrap(),
        service: format!("s{}", rng.random_range(0..3)).parse().unwrap(),
        address: ([127, 0, rng.random(), rng.random()], rng.random()).into(),
        data_centre: ["a", "b"][rng.random_range(0..2)].parse().unwrap(),
        slots: rng.random_range(1..=u32::MAX),
        is_ready: rng.random(),
        cold_until: NOW + Duration::from_millis(rng.random_range(0..9_000)),
        started_ms: rng.random(),
    })
}

fn snapshot(rng: &mut ChaCha8Rng) -> StoreSnapshot {
    let mut entries: Vec<SnapshotEntry> = (0..rng.random_range(0..8))
        .map(|number| {
            let at = NOW + Duration::from_millis(rng.random_range(0..9_000));
            let (endpoint, next) = match rng.random_range(0..4) {
                0 => (Some(endpoint(rng, number)), Some(None)),
                1 => (None, Some(Some(endpoint(rng, number)))),
                2 => (
                    Some(endpoint(rng, number)),
                    Some(Some(endpoint(rng, number))),
                ),
                _ => (Some(endpoint(rng, number)), None),
            };
            SnapshotEntry {
                id: format!("i-{number}"),
                revision: rng.random_range(1..=u64::MAX),
                endpoint,
                next: next.map(|endpoint| ScheduledEntry { at, endpoint }),
            }
        })
        .collect();
    entries.sort_by(|one, other| one.id.cmp(&other.id));
    StoreSnapshot {
        position: StorePosition {
            era: rng.random_bool(0.5).then(|| StoreEra(rng.random())),
            revision: rng.random_range(1..=u64::MAX),
        },
        configuration: None,
        evacuated: (0..rng.random_range(0..4)).map(|_| text(rng, 60)).collect(),
        held_evacuations: (0..rng.random_range(0..4))
            .map(|number| (text(rng, 60), NOW + Duration::from_millis(number)))
            .collect(),
        entries,
    }
}

/// Guards against an endpoint of a state that costs the others, or comes back changed.
#[test]
fn a_state_comes_back_as_it_was_beside_endpoints_that_cannot_be_read() {
    let logger = Logger::root(Discard, o!());
    for_each_run(|seed, rng| {
        let snapshot = snapshot(rng);
        let mut state = encode_state(NOW, &snapshot);
        for _ in 0..rng.random_range(0..6) {
            let sound = WireEndpoint {
                id: format!("x-{}", rng.random_range(0..99)),
                service: "s1".to_owned(),
                address: "127.0.0.1:9".to_owned(),
                data_centre: "a".to_owned(),
                ..WireEndpoint::default()
            };
            // A blank at the end makes each text one that no sound endpoint has.
            let odd = format!("{} ", text(rng, 200));
            let odd = match rng.random_range(0..4) {
                0 => WireEndpoint { id: odd, ..sound },
                1 => WireEndpoint {
                    service: odd,
                    ..sound
                },
                2 => WireEndpoint {
                    address: odd,
                    ..sound
                },
                _ => WireEndpoint {
                    data_centre: odd,
                    ..sound
                },
            };
            let place = rng.random_range(0..=state.endpoints.len());
            state.endpoints.insert(place, odd);
        }
        let received = FleetState::decode(&state.encode_to_vec()[..]).unwrap();
        assert_eq!(received, state, "seed {seed}");
        assert_eq!(
            decode_state(&logger, NOW, received),
            snapshot,
            "seed {seed}"
        );
    });
}

/// Guards against a name or a value that changes on its way between VMs.
#[test]
fn a_change_is_passed_on_unchanged() {
    for_each_run(|seed, rng| {
        let name = text(rng, 200);
        let wire = WireStoreItem {
            kind: rng.random_range(0..6),
            name: name.clone(),
            revision: rng.random(),
            value: rng.random_bool(0.7).then(|| Bytes::from(value(rng))),
            read_age_ms: rng.random(),
        };
        let received = WireStoreItem::decode(&wire.encode_to_vec()[..]).unwrap();
        let expected = StoreItem {
            key: match wire.kind {
                1 => StoreKey::Configuration,
                2 => StoreKey::Evacuation(name),
                3 => StoreKey::Endpoint(name),
                _ => StoreKey::Other,
            },
            revision: wire.revision,
            value: wire.value,
        };
        assert_eq!(decode_item(received), expected, "seed {seed}");
    });
}
