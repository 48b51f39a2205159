//! Guards the caller and operator interfaces against the failures that the promises in
//! `docs/design.md`, 1.2 name: lost, doubled and mixed answers, and untrue refusals.

mod traffic_fixture;

mod traffic_cases {
    mod at_most_once;
    mod operators;
    mod refusals;
    mod stages;
    mod withdrawal;
}
