//! Guards the choice of the endpoint that a request goes to.

use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use primrosewalk::decisions::endpoint_choice::{
    AttemptEnd, ChoiceConfig, EndpointChoice, EndpointRequest, Work, cold_share,
};
use primrosewalk::fleet::model::Endpoint;
use primrosewalk::units::{DataCentreName, EndpointName};

use crate::{at, endpoint};

/// Returns the data centre of the VM that chooses.
fn own_data_centre() -> DataCentreName {
    "a".parse().unwrap()
}

/// Returns nine engines, three in each of three data centres.
fn engines() -> Vec<Arc<Endpoint>> {
    (0..9)
        .map(|n| endpoint(&format!("e-{n}"), ["a", "b", "c"][n % 3]))
        .collect()
}

/// Returns the id of the endpoint that is chosen at `ms`.
fn choose(
    choice: &EndpointChoice,
    ms: u64,
    candidates: &[Arc<Endpoint>],
    tried: &[EndpointName],
    may_retry: bool,
    work: Work<'_>,
) -> Option<String> {
    let own_data_centre = own_data_centre();
    let request = EndpointRequest {
        tried,
        own_data_centre: &own_data_centre,
        may_retry,
        work,
    };
    let chosen = choice.choose(at(ms), candidates, request, |_| 1);
    chosen.map(|endpoint| endpoint.id.to_string())
}

/// Returns generation work with a prompt of 1,000 tokens.
fn generation(prompt_prefix: u64, preferred_data_centre: &DataCentreName) -> Work<'_> {
    Work::Generation {
        prompt_prefix,
        prompt_tokens: 1_000,
        shared_tokens: 600,
        preferred_data_centre,
    }
}

/// VMs of all data centres send a prompt prefix to the same engine, because that engine has it
/// cached.
#[gtest]
fn a_prompt_prefix_goes_to_one_engine_from_all_data_centres() {
    let engines = engines();
    let mut used = std::collections::BTreeSet::new();
    for prompt_prefix in 0..100 {
        let chosen: Vec<_> = ["a", "b", "c"]
            .iter()
            .map(|data_centre| {
                let data_centre: DataCentreName = data_centre.parse().unwrap();
                let choice = EndpointChoice::new(ChoiceConfig::default());
                choose(
                    &choice,
                    0,
                    &engines,
                    &[],
                    true,
                    generation(prompt_prefix, &data_centre),
                )
            })
            .collect();
        expect_that!(chosen[0], some(anything()));
        expect_that!(chosen.iter().all(|other| *other == chosen[0]), eq(true));
        used.insert(chosen[0].clone());
    }
    expect_that!(used.len(), eq(9));
}

/// Many requests with the same prompt prefix are spread over engines instead of all going to one.
#[gtest]
fn a_hot_prompt_prefix_spreads_over_engines() {
    let engines = engines();
    let mut choice = EndpointChoice::new(ChoiceConfig::default());
    let own_data_centre = own_data_centre();
    let mut counts = std::collections::BTreeMap::<EndpointName, usize>::new();
    for _ in 0..36 {
        let request = EndpointRequest {
            tried: &[],
            own_data_centre: &own_data_centre,
            may_retry: true,
            work: generation(7, &own_data_centre),
        };
        let chosen = choice.choose(at(0), &engines, request, |_| 1).unwrap();
        choice.start(at(0), &chosen, 1_000);
        *counts.entry(chosen.id.clone()).or_default() += 1;
    }
    expect_that!(counts.values().max(), some(le(&12)));
}

/// An endpoint is avoided after two failures and tried again after a pause.
#[gtest]
fn a_failing_endpoint_is_passed_over_and_tried_again() {
    for end in [
        AttemptEnd::Broken,
        AttemptEnd::Error,
        AttemptEnd::UnconfirmedRefusal,
    ] {
        let endpoints = [endpoint("near", "a"), endpoint("far", "b")];
        let mut choice = EndpointChoice::new(ChoiceConfig::default());
        for _ in 0..2 {
            let started = choice.start(at(0), &endpoints[0], 0);
            choice.finish(at(0), started, end);
        }
        expect_that!(
            choose(&choice, 10, &endpoints, &[], true, Work::Plain),
            some(eq("far")),
            "{end:?}"
        );
        expect_that!(
            choose(&choice, 700, &endpoints, &[], true, Work::Plain),
            some(eq("near")),
            "{end:?}"
        );
    }
}

/// Requests that run at most once avoid an endpoint after its first failure.
#[gtest]
fn one_failure_suffices_for_requests_that_run_at_most_once() {
    for end in [AttemptEnd::Broken, AttemptEnd::UnconfirmedRefusal] {
        let endpoints = [endpoint("near", "a"), endpoint("far", "b")];
        let mut choice = EndpointChoice::new(ChoiceConfig::default());
        let started = choice.start(at(0), &endpoints[0], 0);
        choice.finish(at(0), started, end);
        expect_that!(
            choose(&choice, 10, &endpoints, &[], true, Work::Plain),
            some(eq("near")),
            "{end:?}"
        );
        expect_that!(
            choose(&choice, 10, &endpoints, &[], false, Work::Plain),
            some(eq("far")),
            "{end:?}"
        );
    }
}

/// An endpoint that becomes slow is avoided. It is tried again after a while, so that its recovery
/// is noticed.
#[gtest]
fn a_slow_endpoint_is_left_and_found_again() {
    let endpoints = [endpoint("near", "a"), endpoint("far", "b")];
    let mut choice = EndpointChoice::new(ChoiceConfig::default());
    for (endpoint, ms) in [
        (&endpoints[0], 300),
        (&endpoints[1], 60),
        (&endpoints[1], 60),
    ] {
        let started = choice.start(at(0), endpoint, 0);
        let response_time = Some(Duration::from_millis(ms));
        choice.finish(at(0), started, AttemptEnd::Answered(response_time));
    }
    expect_that!(
        choose(&choice, 50, &endpoints, &[], true, Work::Plain),
        some(eq("far"))
    );
    expect_that!(
        choose(&choice, 60_000, &endpoints, &[], true, Work::Plain),
        some(eq("near"))
    );
}

#[gtest]
fn an_endpoint_that_refused_as_full_gets_a_pause() {
    let endpoints = [endpoint("near", "a"), endpoint("far", "b")];
    let mut choice = EndpointChoice::new(ChoiceConfig::default());
    let started = choice.start(at(0), &endpoints[0], 0);
    choice.finish(at(0), started, AttemptEnd::Full);
    expect_that!(
        choose(&choice, 10, &endpoints, &[], true, Work::Plain),
        some(eq("far"))
    );
    expect_that!(
        choose(&choice, 200, &endpoints, &[], true, Work::Plain),
        some(eq("near"))
    );
}

#[gtest]
fn tried_endpoints_are_not_chosen_again() {
    let endpoints = [endpoint("near", "a")];
    let choice = EndpointChoice::new(ChoiceConfig::default());
    let tried = [endpoints[0].id.clone()];
    expect_that!(
        choose(&choice, 0, &endpoints, &tried, true, Work::Plain),
        none()
    );
}

/// In each second a cold endpoint gets at most this VM's share of its cold-start limit.
#[gtest]
fn a_cold_endpoint_gets_no_more_than_its_share() {
    let mut cold = Endpoint::clone(&endpoint("cold", "a"));
    cold.cold_until = at(10_000);
    let cold = Arc::new(cold);
    let mut choice = EndpointChoice::new(ChoiceConfig::default());
    let mut sent_at_ms = Vec::new();
    for ms in 0..5_000 {
        let candidates = std::slice::from_ref(&cold);
        let own_data_centre = own_data_centre();
        let request = EndpointRequest {
            tried: &[],
            own_data_centre: &own_data_centre,
            may_retry: true,
            work: Work::Plain,
        };
        let chosen = choice.choose(at(ms), candidates, request, |_| 2);
        if let Some(endpoint) = chosen {
            let started = choice.start(at(ms), &endpoint, 0);
            choice.finish(at(ms), started, AttemptEnd::Answered(None));
            sent_at_ms.push(ms);
        }
    }
    let max_per_second = sent_at_ms
        .iter()
        .map(|start| {
            sent_at_ms
                .iter()
                .filter(|ms| (*start..start + 1_000).contains(*ms))
                .count()
        })
        .max();
    expect_that!(max_per_second, some(eq(2)));
    expect_that!(sent_at_ms.len(), ge(9));
}

struct ConnectCase {
    name: &'static str,
    /// Times at which requests are read.
    read_at_ms: &'static [u64],
    /// Time that a connection takes.
    connect_ms: u64,
    /// Number of requests that the cold endpoint gets.
    sent: usize,
}

const CONNECT_CASES: [ConnectCase; 3] = [
    ConnectCase {
        name: "read together",
        read_at_ms: &[0; 40],
        connect_ms: 5,
        sent: 2,
    },
    ConnectCase {
        name: "slow connections, which are used in the next window",
        read_at_ms: &[0, 0, 900, 900, 1_060, 1_060, 1_140, 1_140],
        connect_ms: 250,
        sent: 2,
    },
    ConnectCase {
        name: "one after the other",
        read_at_ms: &[0, 400, 800, 1_200, 1_500],
        connect_ms: 5,
        sent: 4,
    },
];

/// Guards against requests that all choose a cold endpoint while their connections are being opened.
#[gtest]
fn requests_that_are_not_sent_yet_count_at_a_cold_endpoint() {
    let mut cold = Endpoint::clone(&endpoint("cold", "a"));
    cold.cold_until = at(10_000);
    let cold = Arc::new(cold);
    let own_data_centre = own_data_centre();
    for case in &CONNECT_CASES {
        let mut choice = EndpointChoice::new(ChoiceConfig::default());
        let mut connecting = Vec::new();
        let mut sent = 0;
        for ms in 0..2_000 {
            let is_open = |connected_at: &u64| *connected_at == ms;
            for _ in connecting.iter().copied().filter(|at| is_open(at)) {
                choice.start(at(ms), &cold, 0);
                sent += 1;
            }
            for _ in case.read_at_ms.iter().filter(|read_at| **read_at == ms) {
                let request = EndpointRequest {
                    tried: &[],
                    own_data_centre: &own_data_centre,
                    may_retry: true,
                    work: Work::Plain,
                };
                let candidates = std::slice::from_ref(&cold);
                if let Some(endpoint) = choice.choose(at(ms), candidates, request, |_| 2) {
                    choice.reserve(at(ms), &endpoint);
                    connecting.push(ms + case.connect_ms);
                }
            }
        }
        expect_that!(sent, eq(case.sent), "{}", case.name);
    }
}

#[gtest]
fn shares_of_a_cold_endpoint_add_up_to_its_limit_at_most() {
    struct Case {
        limit_per_s: f64,
        vms: u32,
    }
    let cases = [
        Case {
            limit_per_s: 12.0,
            vms: 6,
        },
        Case {
            limit_per_s: 12.0,
            vms: 9,
        },
        Case {
            limit_per_s: 12.0,
            vms: 12,
        },
        Case {
            limit_per_s: 12.0,
            vms: 61,
        },
        Case {
            limit_per_s: 11.0,
            vms: 331,
        },
        Case {
            limit_per_s: 0.5,
            vms: 10,
        },
    ];
    for case in cases {
        let sum: usize = (0..case.vms as usize)
            .map(|rank| cold_share(case.limit_per_s, case.vms, || rank))
            .sum();
        expect_that!(
            sum as f64,
            le(case.limit_per_s),
            "shares of {} VMs together",
            case.vms
        );
        if case.limit_per_s >= 1.0 {
            expect_that!(sum, ge(1), "{} VMs", case.vms);
        }
    }
}
