//! Guards the estimates by which a planned stop decides whether a generation fits in it: too short ones let
//! streams begin that are cut, too long ones refuse requests that can be answered.

use std::time::Duration;

use googletest::prelude::*;
use primrosewalk::decisions::generation_times::{ExpectedTokens, GenerationTimes};

use crate::at;

const MIN_FIRST_EVENT_MS: u64 = 60;

/// A generation that was observed whole.
struct Observed {
    at_ms: u64,
    endpoint: &'static str,
    first_event_ms: u64,
    /// Number of events and time from each to the next one.
    events: u64,
    event_ms: u64,
    expected: ExpectedTokens,
}

struct Case {
    name: &'static str,
    observed: &'static [Observed],
    now_ms: u64,
    endpoint: Option<&'static str>,
    expected: ExpectedTokens,
    /// Number of events that the caller has.
    events: u64,
    first_event_ms: u64,
    further_events_ms: u64,
}

const FAST: Observed = Observed {
    at_ms: 0,
    endpoint: "e-fast",
    first_event_ms: 100,
    events: 21,
    event_ms: 10,
    expected: ExpectedTokens::Max(210),
};
const SLOW: Observed = Observed {
    at_ms: 0,
    endpoint: "e-slow",
    first_event_ms: 400,
    events: 21,
    event_ms: 40,
    expected: ExpectedTokens::Max(210),
};
const HINTED: Observed = Observed {
    expected: ExpectedTokens::Hint(21),
    ..FAST
};

const CASES: &[Case] = &[
    Case {
        name: "a default without observations, whatever the maximum",
        observed: &[],
        now_ms: 0,
        endpoint: None,
        expected: ExpectedTokens::Max(100_000),
        events: 0,
        first_event_ms: MIN_FIRST_EVENT_MS,
        further_events_ms: 1_000,
    },
    Case {
        name: "the length follows the maximum as observed",
        observed: &[FAST],
        now_ms: 0,
        endpoint: None,
        expected: ExpectedTokens::Max(1_000),
        events: 0,
        first_event_ms: 100,
        further_events_ms: 1_000,
    },
    Case {
        name: "hints have lengths of their own",
        observed: &[FAST, HINTED],
        now_ms: 0,
        endpoint: None,
        expected: ExpectedTokens::Hint(100),
        events: 0,
        first_event_ms: 100,
        further_events_ms: 1_000,
    },
    Case {
        name: "the own pace of an endpoint goes before that of the service",
        observed: &[FAST, SLOW],
        now_ms: 0,
        endpoint: Some("e-slow"),
        expected: ExpectedTokens::Max(1_000),
        events: 0,
        // One first event alone does not make the endpoint's own pace.
        first_event_ms: 250,
        further_events_ms: 4_000,
    },
    Case {
        name: "the pace of the service for an endpoint without its own",
        observed: &[FAST, SLOW],
        now_ms: 0,
        endpoint: Some("e-new"),
        expected: ExpectedTokens::Max(1_000),
        events: 0,
        first_event_ms: 250,
        further_events_ms: 2_500,
    },
    Case {
        name: "events that the caller has are not generated again",
        observed: &[FAST],
        now_ms: 0,
        endpoint: None,
        expected: ExpectedTokens::Max(1_000),
        events: 90,
        first_event_ms: 100,
        further_events_ms: 100,
    },
    Case {
        name: "a generation that is longer than expected",
        observed: &[FAST],
        now_ms: 0,
        endpoint: None,
        expected: ExpectedTokens::Max(1_000),
        events: 500,
        first_event_ms: 100,
        further_events_ms: 0,
    },
    Case {
        name: "the newest pace outweighs older ones",
        observed: &[
            SLOW,
            Observed {
                at_ms: 12_000,
                ..FAST
            },
        ],
        now_ms: 12_000,
        endpoint: None,
        expected: ExpectedTokens::Max(1_000),
        events: 0,
        // After four half-lives an observation counts a sixteenth.
        first_event_ms: 117,
        further_events_ms: 1_176,
    },
    Case {
        name: "old observations count no more",
        observed: &[SLOW],
        now_ms: 15_100,
        endpoint: Some("e-slow"),
        expected: ExpectedTokens::Max(1_000),
        events: 0,
        first_event_ms: MIN_FIRST_EVENT_MS,
        further_events_ms: 1_000,
    },
    Case {
        name: "a request that does not tell its length",
        observed: &[SLOW],
        now_ms: 0,
        endpoint: None,
        expected: ExpectedTokens::Max(0),
        events: 0,
        first_event_ms: 400,
        further_events_ms: 1_000,
    },
];

#[gtest]
fn the_time_of_a_generation_follows_recent_ones() {
    let service = "lm".parse().unwrap();
    for case in CASES {
        let mut times = GenerationTimes::default();
        for observed in case.observed {
            let endpoint = observed.endpoint.parse().unwrap();
            let now = at(observed.at_ms);
            let first_event = Duration::from_millis(observed.first_event_ms);
            times.on_first_event(now, &service, &endpoint, first_event);
            // The end is waited for like an event.
            for _ in 0..observed.events {
                let waited = Duration::from_millis(observed.event_ms);
                times.on_next_event(now, &service, &endpoint, waited);
            }
            times.on_complete(now, &service, observed.expected, observed.events);
        }
        let endpoint = case.endpoint.map(|endpoint| endpoint.parse().unwrap());
        let estimate = times.estimate(
            at(case.now_ms),
            &service,
            endpoint.as_ref(),
            case.expected,
            case.events,
            Duration::from_millis(MIN_FIRST_EVENT_MS),
        );
        let first_event_ms = estimate.first_event.as_millis() as u64;
        let further_events_ms = estimate.further_events.as_millis() as u64;
        expect_that!(first_event_ms, eq(case.first_event_ms), "{}", case.name);
        let further_error_ms = further_events_ms.abs_diff(case.further_events_ms);
        expect_that!(further_error_ms, le(1), "{}: {estimate:?}", case.name);
    }
}
