//! Guards that one part of a document or message which cannot be read, or names what nothing can have, costs
//! nothing but itself.

mod users_platform;

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::future::join_all;
use googletest::prelude::*;
use hyper::header::{HeaderName, HeaderValue};
use hyper::{HeaderMap, StatusCode};
use primrosewalk::decisions::batching::ItemFailure;
use primrosewalk::decisions::store_view::{ScheduledEntry, SnapshotEntry, StoreSnapshot};
use primrosewalk::fleet::model::Endpoint;
use primrosewalk::fleet::peer_state::encode_state;
use primrosewalk::fleet::wire::{
    WireCrash, WireCrashReport, WireGossip, WireRecord, decode_crash_report, decode_gossip,
};
use primrosewalk::platform::caller::decode_caller;
use primrosewalk::platform::configuration::decode_configuration;
use primrosewalk::platform::endpoint_call::{ResponseClass, classify};
use primrosewalk::platform::stage_call::decode_run;
use primrosewalk::units::Time;
use prost::Message;
use serde_json::json;
use tokio::time::sleep;
use users_platform::Fleet;
use users_platform::backend::{Fault, Kind};
use users_platform::caller::request;

/// Time from the store's acknowledgement of a version within which it is in force, on the smaller deployments
/// (`ConfigApplyMs`).
const CHANGE_BOUND: Duration = Duration::from_secs(2);

/// Guards against one odd outcome that fails the items of all other requests in its batch.
#[gtest]
fn an_odd_outcome_of_a_batch_costs_only_its_item() {
    const SOUND: &str = r#"{"Handle":"10.1.64.7:8080/91bd3f06e44"}"#;
    let odd = [
        "7",
        "null",
        "[]",
        r#"["10.1.64.7:8080/z",null]"#,
        r#""10.1.64.7:8080/a""#,
        "{}",
        r#"{"Handle":7}"#,
        r#"{"Handle":["10.1.64.7:8080/a"]}"#,
        r#"{"Handle":"10.1.64.7:8080/a","Reason":7}"#,
        r#"{"Reason":{}}"#,
    ];
    for odd in odd {
        let answer = format!(r#"{{"Entries":[{SOUND},{odd},{{"Reason":"late"}},{SOUND}]}}"#);
        let Ok(outcomes) = decode_run(answer.as_bytes(), 4) else {
            add_failure!("{odd}: the whole answer is refused");
            continue;
        };
        expect_that!(outcomes[1], err(eq(&ItemFailure::Failed)), "{odd}");
        expect_that!(outcomes[2], err(eq(&ItemFailure::Late)), "{odd}");
        for sound in [&outcomes[0], &outcomes[3]] {
            expect_that!(sound, ok(eq("10.1.64.7:8080/91bd3f06e44")), "{odd}");
        }
    }
}

/// The same for bytes that are no text.
#[gtest]
fn bytes_that_are_no_text_cost_only_their_outcome() {
    let mut answer = br#"{"Entries":[{"Handle":"10.1.64.7:8080/a"},{"Reason":""#.to_vec();
    answer.extend(b"\xff\xfe");
    answer.extend(br#""},{"Handle":""#);
    answer.extend(b"\xc3");
    answer.extend(br#""},{"Handle":"10.1.64.7:8080/b"}]}"#);
    let outcomes = decode_run(&answer, 4).unwrap_or_default();
    let failed = || Err(ItemFailure::Failed);
    let sound = |handle: &str| Ok(handle.to_owned());
    let expected = vec![
        sound("10.1.64.7:8080/a"),
        failed(),
        failed(),
        sound("10.1.64.7:8080/b"),
    ];
    expect_that!(outcomes, eq(&expected));
}

/// Guards against a handle that reads as several, or breaks the header, once it stands in the list of inputs.
#[gtest]
fn a_handle_that_cannot_stand_in_a_list_is_no_result() {
    let handles = [
        "",
        "10.1.64.7:8080/a,10.1.64.7:8080/b",
        "10.1.64.7:8080/a b",
        " 10.1.64.7:8080/a",
        r"10.1.64.7:8080/a\n",
        r"10.1.64.7:8080/a\r\nHold: 1",
        r"10.1.64.7:8080/\u0000",
        r"10.1.64.7:8080/\u007f",
        "10.1.64.7:8080/\u{e9}",
    ];
    let long = "x".repeat(2_000);
    for handle in handles.into_iter().chain([long.as_str()]) {
        let answer = format!(r#"{{"Entries":[{{"Handle":"{handle}"}}]}}"#);
        let outcomes = decode_run(answer.as_bytes(), 1).unwrap();
        expect_that!(outcomes[0], err(eq(&ItemFailure::Failed)), "{handle:?}");
    }
}

/// Guards against a text beyond ASCII that is taken for a missing one: the request was refused with 400 or 401, or its
/// items were run with another key.
#[gtest]
fn texts_of_callers_beyond_ascii_are_read() {
    const TEXT: &str = "k-\u{e9}\u{4e16}";
    let value = |text: &str| HeaderValue::from_bytes(text.as_bytes()).unwrap();
    let mut headers = HeaderMap::new();
    headers.insert("request-id", value(TEXT));
    headers.insert("piece-key", value(TEXT));
    headers.insert("authorization", value(&format!("Token {TEXT}")));
    let caller = decode_caller(&headers);
    expect_that!(caller.id, eq(TEXT));
    expect_that!(caller.stage_key, some(eq(TEXT)));
    expect_that!(caller.api_key, some(eq(TEXT)));
    // A key may end in a blank that is no ASCII one.
    let key = format!("{TEXT}\u{a0}");
    headers.insert("authorization", value(&format!("Token  {key} ")));
    expect_that!(decode_caller(&headers).api_key, some(eq(&key)));
    let signed = HeaderMap::from_iter([
        (HeaderName::from_static("request-id"), value(TEXT)),
        (HeaderName::from_static("response-signature"), value("x")),
    ]);
    let class = classify(StatusCode::OK, &signed, &caller.id);
    expect_that!(class, eq(ResponseClass::Answer));
}

/// Guards against a record that this build cannot read, such as one of a later build, which cut all gossip that carried
/// it, and against one crash that cost the evidence of all others.
#[gtest]
fn an_odd_record_between_vms_costs_only_itself() {
    const ODD: [&str; 5] = ["", "a b", "ve.m-1", "\u{e9}", "vm\n"];
    let record = |name: &str, data_centre: &str| WireRecord {
        name: name.to_owned(),
        data_centre: data_centre.to_owned(),
        incarnation: 1,
        ..WireRecord::default()
    };
    for odd in ODD {
        let message = WireGossip {
            sender: Some(record("vm-1", "a")),
            records: vec![
                record("vm-2", "a"),
                record(odd, "a"),
                record("vm-3", odd),
                record("vm-4", "a"),
            ],
            ..WireGossip::default()
        };
        let decoded = decode_gossip(&message.encode_to_vec());
        let names = decoded.map(|message| {
            let records = message.records.iter();
            records
                .map(|record| record.vm.name.to_string())
                .collect::<Vec<_>>()
        });
        expect_that!(
            names.unwrap_or_default(),
            eq(&vec!["vm-2".to_owned(), "vm-4".to_owned()])
        );
        let from_odd = WireGossip {
            sender: Some(record(odd, "a")),
            ..WireGossip::default()
        };
        expect_that!(decode_gossip(&from_odd.encode_to_vec()).is_err(), eq(true));

        let crash = |endpoint: &str| WireCrash {
            endpoint: endpoint.to_owned(),
            parts: vec![7],
            ..WireCrash::default()
        };
        let report = WireCrashReport {
            crashes: vec![crash("i-1"), crash(odd), crash("i-2")],
            digest: Some(5),
            ..WireCrashReport::default()
        };
        let Ok((report, digest)) = decode_crash_report(&report.encode_to_vec()) else {
            add_failure!("{odd:?}: the whole report is refused");
            continue;
        };
        let endpoints = report.crashes.iter().map(|crash| crash.endpoint.as_str());
        expect_that!(endpoints.collect::<Vec<_>>(), eq(&vec!["i-1", "i-2"]));
        expect_that!(digest, some(eq(5)));
    }
}

/// Odd parts of a configuration beside sound ones.
struct OddParts {
    /// The lists that they are added to, and the parts.
    parts: &'static [(&'static str, &'static str)],
    /// Path and API key of requests that they concern, which must get 503.
    refused: &'static [(&'static str, &'static str)],
}

const ODD_PARTS: [OddParts; 9] = [
    OddParts {
        parts: &[("Tenants", r#"{"Name":"an org","ApiKeys":["odd-key"]}"#)],
        refused: &[("/look/x", "odd-key"), ("/open/x", "odd-key")],
    },
    OddParts {
        parts: &[(
            "Tenants",
            r#"{"Name":"org-3","ApiKeys":["odd-key"],"Priority":"first"}"#,
        )],
        refused: &[("/look/x", "odd-key")],
    },
    OddParts {
        parts: &[
            ("Tenants", r#"{"Name":"an org","ApiKeys":["odd-key"]}"#),
            ("Tenants", r#"{"Name":"org-3","ApiKeys":["odd-key"]}"#),
        ],
        refused: &[("/look/x", "odd-key")],
    },
    OddParts {
        parts: &[(
            "Routes",
            r#"{"Host":"h.example","PathPrefix":"/look/odd/","RouteKind":"idempotent","TimeoutMs":3000,
            "Service":"a service"}"#,
        )],
        refused: &[("/look/odd/x", "key-1"), ("/look/odd/x", "no-key")],
    },
    OddParts {
        parts: &[(
            "Routes",
            r#"{"Host":"H.example","PathPrefix":"/look/odd/","RouteKind":"later","TimeoutMs":3000,
            "Service":"plain"}"#,
        )],
        refused: &[("/look/odd/x", "key-1")],
    },
    OddParts {
        parts: &[(
            "Routes",
            r#"{"Host":"h.example","PathPrefix":"/look/odd/","RouteKind":"idempotent","TimeoutMs":3000,
            "Split":[{"Service":"plain","Weight":9},{"Service":"pl.ain","Weight":1}]}"#,
        )],
        refused: &[("/look/odd/x", "key-1")],
    },
    OddParts {
        parts: &[(
            "Routes",
            r#"{"Host":"h.example","PathPrefix":"/look/odd/","RouteKind":"streaming","TimeoutMs":3000,
            "Service":"lm","Stages":[{"Service":"first","After":[4]}]}"#,
        )],
        refused: &[("/look/odd/x", "key-1")],
    },
    OddParts {
        parts: &[
            ("Services", r#"{"Name":"odd","ColdPerS":"few"}"#),
            (
                "Routes",
                r#"{"Host":"h.example","PathPrefix":"/look/odd/","RouteKind":"idempotent","TimeoutMs":3000,
                "Service":"odd"}"#,
            ),
            (
                "Routes",
                r#"{"Host":"h.example","PathPrefix":"/odd-stage/","RouteKind":"streaming","TimeoutMs":3000,
                "Service":"lm","Stages":[{"Service":"odd"}]}"#,
            ),
        ],
        refused: &[("/look/odd/x", "key-1"), ("/odd-stage/x", "key-1")],
    },
    OddParts {
        parts: &[("Services", r#"{"Name":"a service"}"#)],
        refused: &[],
    },
];

/// Guards against a field that nothing reads, such as one of a later platform, which costs its part or the whole document.
#[gtest]
fn fields_that_nothing_reads_cost_nothing() {
    let values = [
        "1e400".to_owned(),
        r#""\ud800""#.to_owned(),
        "[".repeat(200) + &"]".repeat(200),
    ];
    for value in values {
        let odd = format!(r#""Later":{value}"#);
        let document = format!(
            r#"{{"Version":1,{odd},"Routes":[{{"Host":"h","PathPrefix":"/","RouteKind":"idempotent","TimeoutMs":1,
            "Service":"s",{odd}}}],"Services":[{{"Name":"s",{odd}}}],"Limits":{{"MaxHeaderBytes":1,"MaxBodyBytes":1,
            "HeaderTimeoutMs":1,"IdleTimeoutMs":1,{odd}}},"Tenants":[{{"Name":"o","ApiKeys":["k"],{odd}}}]}}"#
        );
        let decoded = decode_configuration(document.into());
        let findings = decoded.map(|decoded| decoded.findings.items().len());
        expect_that!(findings.ok(), some(eq(0)), "{odd}");
        let answer = format!(r#"{{"Entries":[{{"Handle":"10.1.64.7:8080/a",{odd}}}],{odd}}}"#);
        let outcomes = decode_run(answer.as_bytes(), 1).unwrap_or_default();
        expect_that!(
            outcomes,
            eq(&vec![Ok("10.1.64.7:8080/a".to_owned())]),
            "{odd}"
        );
    }
}

/// Guards against a field that stands twice and is read as the wider of its values.
#[gtest]
fn a_route_with_a_field_that_stands_twice_is_not_used() {
    let document = r#"{"Version":1,"Routes":[{"Host":"h","PathPrefix":"/","RouteKind":"idempotent","TimeoutMs":1,
        "Service":"s","Public":false,"Public":true}],"Services":[{"Name":"s"}],"Limits":{"MaxHeaderBytes":1,
        "MaxBodyBytes":1,"HeaderTimeoutMs":1,"IdleTimeoutMs":1}}"#;
    let decoded = decode_configuration(document.into()).unwrap();
    expect_that!(decoded.findings.items().len(), eq(1));
    expect_that!(decoded.route("h", "/x").unwrap().targets.len(), eq(0));
}

/// Guards against a route that is refused since its stages are listed in another order than they run in.
#[gtest]
fn stages_may_be_listed_in_any_order() {
    struct Case {
        /// The stages that each stage reads.
        after: &'static [&'static [usize]],
        is_usable: bool,
    }
    let case = |after, is_usable| Case { after, is_usable };
    let cases = [
        case(&[&[], &[0]], true),
        case(&[&[1], &[]], true),
        case(&[&[2], &[0], &[]], true),
        case(&[&[0]], false),
        case(&[&[1], &[0]], false),
        case(&[&[], &[2]], false),
    ];
    for Case { after, is_usable } in cases {
        let stages = after
            .iter()
            .map(|after| json!({ "Service": "s", "After": after }));
        let document = json!({
            "Version": 1,
            "Routes": [{ "Host": "h", "PathPrefix": "/", "RouteKind": "streaming", "TimeoutMs": 1,
                "Service": "s", "Stages": stages.collect::<Vec<_>>() }],
            "Services": [{ "Name": "s" }],
            "Limits": { "MaxHeaderBytes": 1, "MaxBodyBytes": 1, "HeaderTimeoutMs": 1, "IdleTimeoutMs": 1 },
        });
        let decoded = decode_configuration(document.to_string().into()).unwrap();
        expect_that!(
            decoded.findings.items().is_empty(),
            eq(is_usable),
            "{after:?}"
        );
    }
}

/// Guards against one name or field that leaves a whole version out of force, and with it every change since: the requests
/// that an odd part concerns are refused as not run, all others are served, and none is handled more widely.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_odd_part_of_a_configuration_costs_only_itself() {
    let mut fleet = Fleet::start(1).await;
    let caller = fleet.vms[0].caller_address();
    let mut number = 0;
    let sound = fleet.configuration.clone();
    for (index, odd) in ODD_PARTS.iter().enumerate() {
        let (new_key, parts) = (format!("new-key-{index}"), odd.parts);
        fleet.change_configuration(|configuration| {
            for list in ["Routes", "Services", "Tenants"] {
                configuration[list] = sound[list].clone();
            }
            let mut add = |list: &str, part| configuration[list].as_array_mut().unwrap().push(part);
            for (list, part) in parts {
                add(list, serde_json::from_str(part).unwrap());
            }
            add("Tenants", json!({ "Name": "org-9", "ApiKeys": [new_key] }));
            let mut open = sound["Routes"][0].clone();
            (open["PathPrefix"], open["Public"]) = (json!("/open/"), json!(true));
            add("Routes", open);
        });
        let fleet = &fleet;
        let mut status = async |path: &str, key: &str| {
            number += 1;
            let id = format!("odd-{number}");
            let answer = request(caller, path, &id, key).await;
            (answer.map_or(0, |answer| answer.status), fleet.runs_of(&id))
        };
        let in_force = async || status("/look/x", &new_key).await.0 == 200;
        if !is_soon(in_force).await {
            add_failure!("{parts:?}: the version is not in force");
            continue;
        }
        for (path, key) in odd.refused {
            let refused = status(path, key).await;
            expect_that!(refused, eq((503, 0)), "{parts:?}: {path} {key}");
        }
        expect_that!(status("/look/x", "key-1").await.0, eq(200), "{parts:?}");
        expect_that!(status("/stream/x", "key-2").await.0, eq(200), "{parts:?}");
        expect_that!(status("/open/x", "").await.0, eq(200), "{parts:?}");
        expect_that!(status("/look/x", "no-key").await.0, eq(401), "{parts:?}");
    }
}

/// Returns whether a condition holds within the time in which a version has to be in force.
async fn is_soon(mut holds: impl AsyncFnMut() -> bool) -> bool {
    let started = Instant::now();
    while started.elapsed() < CHANGE_BOUND {
        if holds().await {
            return true;
        }
        sleep(Duration::from_millis(50)).await;
    }
    false
}

/// Guards against a part that is left out although it is not known whom it concerns: a shorter prefix would take the
/// requests of a route, and the keys of an organisation would be refused as unknown ones, and a service would run without its limits.
#[gtest]
fn a_configuration_that_hides_whom_a_part_concerns_is_refused() {
    let route = |place: &str| {
        format!(r#"{{{place},"RouteKind":"idempotent","TimeoutMs":9,"Service":"s"}}"#)
    };
    struct Case {
        routes: String,
        services: &'static str,
        tenants: &'static str,
        is_used: bool,
    }
    let case = |routes, services, tenants, is_used| Case {
        routes,
        services,
        tenants,
        is_used,
    };
    let sound = || route(r#""Host":"h","PathPrefix":"/""#);
    let cases = [
        case(sound(), "", r#"{"Name":"o","ApiKeys":["k"]}"#, true),
        case(sound(), "", r#"{"Name":7,"ApiKeys":["k"]}"#, true),
        case(sound(), "", r#"{"ApiKeys":["k"]}"#, true),
        case(sound(), "", r#"{"Name":"o","ApiKeys":["k",7]}"#, false),
        case(sound(), "", r#"{"Name":"o","ApiKeys":"k"}"#, false),
        case(sound(), "", r#"{"Name":"o","ApiKeys":null}"#, false),
        case(sound(), "", "7", false),
        case(sound(), r#"{"Name":"s","ColdPerS":[]}"#, "", true),
        case(sound(), r#"{"ColdPerS":12}"#, "", false),
        case(sound(), r#"{"Name":["s"]}"#, "", false),
        case(sound(), "null", "", false),
        case(route(r#""Host":"h""#), "", "", false),
        case(route(r#""PathPrefix":"/""#), "", "", false),
        case(route(r#""Host":7,"PathPrefix":"/""#), "", "", false),
        case(route(r#""Host":"h","PathPrefix":["/"]"#), "", "", false),
        case("null".to_owned(), "", "", false),
    ];
    for Case {
        routes,
        services,
        tenants,
        is_used,
    } in cases
    {
        let document = format!(
            r#"{{"Version":1,"Routes":[{routes}],"Services":[{services}],"Limits":{{"MaxHeaderBytes":1,
            "MaxBodyBytes":1,"HeaderTimeoutMs":1,"IdleTimeoutMs":1}},"Tenants":[{tenants}]}}"#
        );
        let decoded = decode_configuration(Bytes::from(document));
        expect_that!(
            decoded.is_ok(),
            eq(is_used),
            "{routes} {services} {tenants}"
        );
    }
}

/// The order of the outcomes says nothing then, so that all items of a batch fail. Guards against one that costs the
/// requests, while another endpoint runs their items.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_batch_with_too_few_outcomes_costs_no_request() {
    let mut fleet = Fleet::start(2).await;
    let odd = fleet
        .backends
        .iter()
        .position(|backend| backend.service == "first");
    fleet.add_backend("first", Kind::Stage).await;
    fleet.backends[odd.unwrap()].set_fault(Fault::FewOutcomes);
    for number in 0..10 {
        let requests = fleet.vms.iter().map(|vm| async move {
            let id = format!("few-{number}-{}", vm.name);
            let answer = request(vm.caller_address(), "/stream/x", &id, "key-1").await;
            answer.map(|answer| (answer.status, answer.is_complete))
        });
        for answer in join_all(requests).await {
            expect_that!(answer, some(eq((200, true))), "round {number}");
        }
    }
    let asked = fleet.backends[odd.unwrap()].received();
    expect_that!(asked.len(), ge(1));
}

/// Guards against a state that no frame between VMs can carry (8 MiB), so that a VM which starts would get it from none:
/// 5,000 endpoints with the longest names, all of which are about to change, as many evacuations, and a large
/// configuration.
#[gtest]
fn the_state_of_many_entries_fits_a_frame() {
    const ENTRIES: usize = 5_000;
    let name = |number: usize| format!("{number:0>63}");
    let document = CONFIGURATION.replace(' ', &" ".repeat(1_000_000));
    let configuration = decode_configuration(Bytes::from(document)).unwrap();
    let entry = |number| {
        let endpoint = Arc::new(Endpoint {
            id: name(number).parse().unwrap(),
            service: name(number).parse().unwrap(),
            address: "100.100.100.100:60000".parse().unwrap(),
            data_centre: name(number).parse().unwrap(),
            slots: u32::MAX,
            is_ready: true,
            cold_until: Time::from_millis(1_000_000_000),
            started_ms: u64::MAX,
        });
        SnapshotEntry {
            id: name(number),
            revision: u64::MAX,
            endpoint: Some(Arc::clone(&endpoint)),
            next: Some(ScheduledEntry {
                at: Time::from_millis(1_000_000_000),
                endpoint: Some(endpoint),
            }),
        }
    };
    let snapshot = StoreSnapshot {
        configuration: Some(Arc::new(configuration)),
        evacuated: (0..ENTRIES).map(name).collect(),
        entries: (0..ENTRIES).map(entry).collect(),
        ..StoreSnapshot::default()
    };
    let size_bytes = encode_state(Time::ZERO, &snapshot).encoded_len();
    expect_that!(size_bytes, le(8 * 1024 * 1024));
}

const CONFIGURATION: &str = r#"{"Version":1,"Routes":[],"Services":[],"Limits":{"MaxHeaderBytes":1,"MaxBodyBytes":1,
"HeaderTimeoutMs":1,"IdleTimeoutMs":1}, "Tenants":[]}"#;
