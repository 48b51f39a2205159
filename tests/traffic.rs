//! Tests the caller and operator interfaces for the promises of `docs/design.md`, section 1.2. They
//! exclude lost answers, duplicated answers, answers mixed between requests, and refusals that
//! state a wrong outcome.

mod traffic_fixture;

mod traffic_cases {
    mod at_most_once;
    mod operators;
    mod refusals;
    mod stages;
    mod withdrawal;
}
