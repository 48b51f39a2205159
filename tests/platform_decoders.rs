//! Guards how the platform adapter decodes the platform's documents and headers, valid and broken.
//!
//! `DECODER_SEED` is the seed of the random inputs, `DECODER_RUNS` their number.

use std::time::Duration;

use bytes::Bytes;
use googletest::prelude::*;
use hyper::{HeaderMap, StatusCode};
use primrosewalk::decisions::endpoint_notices::Notice;
use primrosewalk::decisions::engine_load::LoadReport;
use primrosewalk::decisions::generation_times::ExpectedTokens;
use primrosewalk::decisions::quarantine::{CrashEvidence, CrashReport, Quarantine};
use primrosewalk::fleet::model::RouteKind;
use primrosewalk::fleet::wire::{decode_crash_report, decode_gossip, encode_crash_report};
use primrosewalk::platform::caller::decode_caller;
use primrosewalk::platform::configuration::decode_configuration;
use primrosewalk::platform::directory::{caller_data_centre, encode_addresses};
use primrosewalk::platform::endpoint_call::{
    ResponseClass, classify, load_of, notice_of, returned_headers,
};
use primrosewalk::platform::endpoint_entry::decode_endpoint;
use primrosewalk::platform::stage_call::{decode_free_bytes, decode_run};
use primrosewalk::units::{PartId, Time};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Valid configuration document.
const CONFIGURATION: &str = r#"{"Version":7,"Routes":[
 {"Name":"r-1","Host":"One.example","PathPrefix":"/a/","RouteKind":"streaming","TimeoutMs":6000,
  "TargetLatencyMs":1100,"Priority":1,"Split":[{"Service":"s1","Weight":90},
  {"Service":"s2","Weight":10}],"MaxAttempts":2,"Stages":[{"Service":"s3","After":[],
  "PayloadSize":1500000},{"Service":"s3","After":[0],"PayloadSize":8000}],"Public":false,
  "Sticky":true,"Resumable":true,"GapTargetMs":500},
 {"Name":"r-2","Host":"one.example","PathPrefix":"/a/b/","RouteKind":"non_idempotent",
  "TimeoutMs":1500,"TargetLatencyMs":300,"Priority":0,"Service":"s1","MaxAttempts":1,"Stages":[],
  "Public":true}],
 "Services":[{"Name":"s1","ColdPerS":12.0,"Engine":{"Slots":64}},{"Name":"s3","Pieces":{"Slots":1,
  "Queue":2,"Batch":8,"CallMs":200.0,"ItemMs":21.0,"HeadroomMb":18.0,"HandleTtlS":4.0}}],
 "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,
  "IdleTimeoutMs":15000},
 "Tenants":[{"Name":"org","ApiKeys":["k1","k2"],"Priority":1}]}"#;

/// Valid store entry of an endpoint.
const ENTRY: &str = r#"{"Service":"s1","Address":"10.1.2.3:80","Zone":"a","Version":"v1","Slots":64,
 "State":"ready","ColdRemainingMs":1500,"Sequence":4,"born":1234}"#;

/// Returns a header map of the given names and values.
fn headers(pairs: &[(&'static str, &str)]) -> HeaderMap {
    let pairs = pairs.iter().map(|(name, value)| {
        let name = hyper::header::HeaderName::from_static(name);
        (name, value.parse().unwrap())
    });
    pairs.collect()
}

#[gtest]
fn a_configuration_is_decoded() {
    let decoded = decode_configuration(Bytes::from_static(CONFIGURATION.as_bytes())).unwrap();
    expect_that!(decoded.version, eq(7));
    struct Case {
        path: &'static str,
        route: Option<&'static str>,
    }
    let cases = [
        Case {
            path: "/a/x",
            route: Some("r-1"),
        },
        Case {
            path: "/a/b/x",
            route: Some("r-2"),
        },
        Case {
            path: "/a",
            route: None,
        },
        Case {
            path: "/b/",
            route: None,
        },
    ];
    for case in cases {
        let route = decoded.route("one.example", case.path);
        let name = route.map(|route| route.name.as_str());
        expect_that!(name, eq(case.route), "{}", case.path);
    }
    expect_that!(decoded.route("two.example", "/a/x"), none());
    let route = decoded.route("one.example", "/a/x").unwrap();
    expect_that!(route.kind, eq(RouteKind::Streaming));
    expect_that!(route.may_retry(), eq(true));
    expect_that!(route.targets.len(), eq(2));
    expect_that!(route.stages[1].after.as_slice(), eq(&[0]));
    let api_keys = decoded.api_keys.as_ref().unwrap();
    expect_that!(api_keys["k2"].name.as_str(), eq("org"));
    expect_that!(api_keys["k1"].priority, some(eq(1)));
    let limits = decoded.services[&"s3".parse().unwrap()].batching.unwrap();
    expect_that!(limits.result_memory_bytes, eq(18_000_000));
}

/// Guards against a malformed pause that makes the whole configuration unusable, and against callers that leave
/// sooner than a VM expects.
#[gtest]
fn the_time_that_callers_wait_for_an_event_follows_the_route() {
    struct Case {
        objective_ms: u64,
        /// Value of `GapTargetMs`; `None` leaves it out.
        target_pause: Option<&'static str>,
        gap_ms: Option<u64>,
    }
    let case = |objective_ms, target_pause, gap_ms| Case {
        objective_ms,
        target_pause,
        gap_ms,
    };
    let cases = [
        case(400, Some("200"), Some(2_000)),
        case(1_100, Some("500"), Some(4_400)),
        case(400, Some("500.5"), Some(4_004)),
        case(400, Some("0"), Some(2_000)),
        case(400, Some("1e300"), Some(86_400_000)),
        case(400, Some("-1"), None),
        case(400, Some("null"), None),
        case(400, Some("\"500\""), None),
        case(400, Some("[]"), None),
        case(400, None, None),
    ];
    for case in cases {
        let target_pause = case.target_pause;
        let pause = target_pause.map_or(String::new(), |pause| format!(",\"GapTargetMs\":{pause}"));
        let objective = format!("\"TargetLatencyMs\":{}", case.objective_ms);
        let document = CONFIGURATION
            .replace(",\"GapTargetMs\":500", &pause)
            .replace("\"TargetLatencyMs\":1100", &objective);
        let decoded = decode_configuration(Bytes::from(document)).unwrap();
        let gap = decoded.route("one.example", "/a/x").unwrap().max_event_gap;
        let gap_ms = gap.map(|gap| gap.as_millis() as u64);
        expect_that!(gap_ms, eq(case.gap_ms), "{target_pause:?}");
    }
    let document = CONFIGURATION.replace(
        "\"TimeoutMs\":1500",
        "\"TimeoutMs\":1500,\"GapTargetMs\":500",
    );
    let decoded = decode_configuration(Bytes::from(document)).unwrap();
    let plain = decoded.route("one.example", "/a/b/x").unwrap();
    expect_that!(plain.max_event_gap, none());
}

/// Guards against an empty list of organisations that is taken for none, which would turn the check of
/// keys off.
#[gtest]
fn only_a_configuration_without_the_list_of_organisations_asks_for_no_key() {
    struct Case {
        /// The end of the document, in place of a list with one organisation.
        end: &'static str,
        /// Number of valid keys; `None` if requests need no key.
        keys: Option<usize>,
    }
    let cases = [
        Case {
            end: "}",
            keys: None,
        },
        Case {
            end: r#","Tenants":[]}"#,
            keys: Some(0),
        },
        Case {
            end: r#","Tenants":[{"Name":"org"}]}"#,
            keys: Some(0),
        },
        Case {
            end: r#","Tenants":[{"Name":"org","ApiKeys":[]},{"Name":"other","ApiKeys":["k3"]}]}"#,
            keys: Some(1),
        },
    ];
    let (start, _) = CONFIGURATION.split_once(",\n \"Tenants\"").unwrap();
    let decode = |end: &str| decode_configuration(Bytes::from(format!("{start}{end}")));
    for case in cases {
        let keys = decode(case.end).unwrap().api_keys.map(|keys| keys.len());
        expect_that!(keys, eq(case.keys), "{}", case.end);
    }
    expect_that!(decode(r#","Tenants":null}"#).is_err(), eq(true));
}

#[gtest]
fn a_valid_entry_is_decoded_and_a_broken_one_refused() {
    let endpoint = decode_endpoint("i-1", ENTRY.as_bytes(), Time::from_millis(1_000)).unwrap();
    expect_that!(endpoint.is_ready, eq(true));
    expect_that!(endpoint.cold_until, eq(Time::from_millis(2_500)));
    expect_that!(endpoint.started_ms, eq(1_234));
    /// Replaces `from` by `to` in the valid entry, which breaks it.
    struct Case {
        from: &'static str,
        to: &'static str,
    }
    let cases = [
        Case {
            from: "\"ready\"",
            to: "\"resting\"",
        },
        Case {
            from: "10.1.2.3:80",
            to: "somewhere",
        },
        Case {
            from: "\"Slots\":64",
            to: "\"Slots\":\"many\"",
        },
        Case {
            from: "\"Service\":\"s1\",",
            to: "",
        },
        Case {
            from: "\"Zone\":\"a\"",
            to: "\"Zone\":\"\"",
        },
        Case {
            from: "1500",
            to: "null",
        },
    ];
    for case in cases {
        let text = ENTRY.replace(case.from, case.to);
        let decoded = decode_endpoint("i-1", text.as_bytes(), Time::ZERO);
        expect_that!(decoded, err(anything()), "{}", case.to);
    }
    let draining = ENTRY.replace("\"ready\"", "\"draining\"");
    let endpoint = decode_endpoint("i-1", draining.as_bytes(), Time::ZERO).unwrap();
    expect_that!(endpoint.is_ready, eq(false));
}

#[gtest]
fn headers_of_a_caller_are_decoded() {
    let caller = decode_caller(&headers(&[
        ("request-id", "9c41"),
        ("deadline-ms", "6000"),
        ("authorization", "Token abc"),
        ("token-usage", "1460,80"),
        ("length-hint", "64"),
        ("prefix-hash", "5c1e07a2:800,91bd3f06:410,zz:1,e4402b7d:250"),
        ("last-event-id", "12"),
        ("pieces", "2,0,3"),
        ("piece-key", "7c1e"),
    ]));
    expect_that!(caller.id, eq("9c41"));
    expect_that!(caller.api_key, some(eq("abc")));
    expect_that!(caller.prompt_tokens, eq(1_460));
    expect_that!(caller.output_tokens, eq(80));
    expect_that!(caller.length_hint, some(eq(64)));
    expect_that!(caller.expected_tokens(), eq(ExpectedTokens::Hint(64)));
    expect_that!(caller.prompt_parts.len(), eq(3));
    expect_that!(caller.last_event, some(eq(12)));
    expect_that!(caller.stage_item_counts.as_slice(), eq(&[2, 0, 3]));
    expect_that!(
        decode_caller(&headers(&[("authorization", "Basic x")])).api_key,
        none()
    );
}

#[gtest]
fn an_answer_is_classified_by_its_head() {
    struct Case {
        name: &'static str,
        status: u16,
        headers: &'static [(&'static str, &'static str)],
        class: ResponseClass,
    }
    const SIGNED: (&str, &str) = ("response-signature", "x");
    const OWN_ID: (&str, &str) = ("request-id", "r");
    let cases = [
        Case {
            name: "signed answer to the request",
            status: 200,
            headers: &[SIGNED, OWN_ID],
            class: ResponseClass::Answer,
        },
        Case {
            name: "signed error of the endpoint",
            status: 500,
            headers: &[SIGNED, OWN_ID],
            class: ResponseClass::Answer,
        },
        Case {
            name: "unsigned",
            status: 200,
            headers: &[OWN_ID],
            class: ResponseClass::Invalid,
        },
        Case {
            name: "no request id",
            status: 200,
            headers: &[SIGNED],
            class: ResponseClass::Invalid,
        },
        Case {
            name: "answer to another request",
            status: 200,
            headers: &[SIGNED, ("request-id", "q")],
            class: ResponseClass::Invalid,
        },
        Case {
            name: "refusal of another request",
            status: 503,
            headers: &[("not-executed", "1"), ("request-id", "q")],
            class: ResponseClass::Invalid,
        },
        Case {
            name: "compressed body",
            status: 200,
            headers: &[SIGNED, OWN_ID, ("content-encoding", "gzip")],
            class: ResponseClass::Invalid,
        },
        Case {
            name: "refused and not run",
            status: 503,
            headers: &[("not-executed", "1")],
            class: ResponseClass::NotRun,
        },
        Case {
            name: "unsigned 503",
            status: 503,
            headers: &[],
            class: ResponseClass::Invalid,
        },
        Case {
            name: "signed 503 that does not state that the request has not run",
            status: 503,
            headers: &[SIGNED, OWN_ID],
            class: ResponseClass::UnconfirmedRefusal,
        },
        Case {
            name: "signed 429 that does not state that the request has not run",
            status: 429,
            headers: &[SIGNED, OWN_ID, ("retry-after", "1")],
            class: ResponseClass::UnconfirmedRefusal,
        },
        Case {
            name: "signed 408 that does not state that the request has not run",
            status: 408,
            headers: &[SIGNED, OWN_ID],
            class: ResponseClass::UnconfirmedRefusal,
        },
        Case {
            name: "signed 429 that states that the request has not run",
            status: 429,
            headers: &[SIGNED, OWN_ID, ("not-executed", "1")],
            class: ResponseClass::NotRun,
        },
        Case {
            name: "signed timeout of the endpoint",
            status: 504,
            headers: &[SIGNED, OWN_ID],
            class: ResponseClass::Answer,
        },
        Case {
            name: "another endpoint at the address",
            status: 421,
            headers: &[],
            class: ResponseClass::OtherEndpoint,
        },
        Case {
            name: "421 with signature and id",
            status: 421,
            headers: &[SIGNED, OWN_ID],
            class: ResponseClass::OtherEndpoint,
        },
        Case {
            name: "421 to another request",
            status: 421,
            headers: &[("request-id", "q")],
            class: ResponseClass::Invalid,
        },
    ];
    for case in cases {
        let status = StatusCode::from_u16(case.status).unwrap();
        let class = classify(status, &headers(case.headers), "r");
        expect_that!(class, eq(case.class), "{}", case.name);
    }
    let returned = returned_headers(&headers(&[
        SIGNED,
        ("connection", "close"),
        ("keep-alive", "9"),
    ]));
    expect_that!(returned.len(), eq(1));
}

#[gtest]
fn outcomes_of_a_stage_call_are_decoded() {
    let answer = br#"{"Entries":[{"Handle":"1.2.3.4:5/a"},{"Reason":"gone"},{"Reason":"new"}]}"#;
    let outcomes = decode_run(answer, 3).unwrap();
    expect_that!(outcomes[0], ok(eq("1.2.3.4:5/a")));
    expect_that!(outcomes[1].is_err() && outcomes[2].is_err(), eq(true));
    expect_that!(decode_run(answer, 2), err(anything()));
    expect_that!(decode_run(b"{}", 0), err(anything()));
    expect_that!(decode_free_bytes(br#"{"FreeMb":3}"#), some(eq(4_000_000)));
    expect_that!(decode_free_bytes(b"{}"), none());
}

#[gtest]
fn directory_queries_are_decoded_and_address_lists_encoded() {
    for query in [
        "Name=h&Region=r&Zone=dar-a",
        "Name=h&Zone=dar%2Da&Region=r",
        "Name=h%26Zone=x&Zone=dar%2da",
        "%5Aone=dar-a",
        "Name=%zz&Zone=dar-a&Zone=dar-b",
    ] {
        let data_centre = caller_data_centre(query);
        expect_that!(data_centre.as_deref(), some(eq("dar-a")), "{query}");
    }
    for query in ["Name=h", "Name=Zone=dar-a", "zone=dar-a", ""] {
        expect_that!(caller_data_centre(query), none(), "{query}");
    }
    let body = encode_addresses(&["10.1.0.41:8625".parse().unwrap()], 2.0);
    let text = String::from_utf8(body).unwrap();
    expect_that!(text, eq(r#"{"Addresses":["10.1.0.41:8625"],"TtlS":2.0}"#));
}

/// Numbers that no operator means are taken as the nearest that makes sense: a document that cannot be
/// used at all would leave the former one in force.
#[gtest]
fn extreme_numbers_of_a_configuration_are_bounded() {
    struct Case {
        field: &'static str,
        valid: &'static str,
    }
    let cases = [
        Case {
            field: "CallMs",
            valid: "200.0",
        },
        Case {
            field: "ItemMs",
            valid: "21.0",
        },
        Case {
            field: "HeadroomMb",
            valid: "18.0",
        },
        Case {
            field: "HandleTtlS",
            valid: "4.0",
        },
        Case {
            field: "TimeoutMs",
            valid: "6000",
        },
        Case {
            field: "TargetLatencyMs",
            valid: "1100",
        },
        Case {
            field: "PayloadSize",
            valid: "1500000",
        },
        Case {
            field: "ColdPerS",
            valid: "12.0",
        },
    ];
    const DAY: Duration = Duration::from_secs(86_400);
    for case in cases {
        for extreme in ["-5", "0", "1e18", "1e300"] {
            let valid = format!("\"{}\":{}", case.field, case.valid);
            expect_that!(CONFIGURATION, contains_substring(valid.as_str()));
            let document = CONFIGURATION.replace(&valid, &format!("\"{}\":{extreme}", case.field));
            let decoded = decode_configuration(Bytes::from(document)).unwrap();
            let service = &decoded.services[&"s3".parse().unwrap()];
            let limits = service.batching.unwrap();
            for ms in [limits.call_overhead_ms, limits.item_ms] {
                expect_that!(
                    (0.0..=86_400_000.0).contains(&ms),
                    eq(true),
                    "{valid} {extreme}"
                );
            }
            expect_that!(limits.result_ttl, le(DAY), "{valid} {extreme}");
            for route in decoded.routes.values().flatten() {
                expect_that!(route.timeout, le(DAY), "{valid} {extreme}");
                expect_that!(route.objective, le(DAY), "{valid} {extreme}");
            }
        }
    }
}

/// Truncated, changed and random bytes are either decoded or refused, and never cause a panic that
/// would end the process.
#[gtest]
fn arbitrary_bytes_never_panic() {
    let number_from_env = |name: &str, default: u64| -> u64 {
        let text = std::env::var(name).ok();
        text.and_then(|text| text.parse().ok()).unwrap_or(default)
    };
    let mut rng = ChaCha8Rng::seed_from_u64(number_from_env("DECODER_SEED", 11));
    let mut quarantine = Quarantine::default();
    let crash = CrashReport {
        crashes: vec![CrashEvidence {
            endpoint: "i-1".parse().unwrap(),
            age: Duration::from_millis(300),
            parts: [PartId(1), PartId(2)].into_iter().collect(),
        }],
        passes: Vec::new(),
    };
    let crash = encode_crash_report(&crash, Some(7));
    let valid_inputs: [&[u8]; 5] = [
        &crash,
        CONFIGURATION.as_bytes(),
        ENTRY.as_bytes(),
        br#"{"Entries":[{"Handle":"1.2.3.4:5/a"},{"Reason":"gone"}]}"#,
        b"\x08\x01\x18\x07\x22\x04\x0a\x02ab",
    ];
    for _ in 0..number_from_env("DECODER_RUNS", 20_000) {
        let mut bytes = valid_inputs[rng.random_range(0..valid_inputs.len())].to_vec();
        match rng.random_range(0..3) {
            0 => bytes.truncate(rng.random_range(0..=bytes.len())),
            1 => {
                for _ in 0..rng.random_range(1..6) {
                    let position = rng.random_range(0..bytes.len());
                    bytes[position] = rng.random();
                }
            }
            _ => {
                bytes = (0..rng.random_range(0..200))
                    .map(|_| rng.random())
                    .collect()
            }
        }
        let _ = decode_configuration(Bytes::from(bytes.clone()));
        let _ = decode_endpoint("i-1", &bytes, Time::ZERO);
        let _ = decode_run(&bytes, 2);
        let _ = decode_free_bytes(&bytes);
        let _ = decode_gossip(&bytes);
        if let Ok((report, _)) = decode_crash_report(&bytes) {
            quarantine.receive(Time::from_millis(1_000_000), &report);
            quarantine.judge(Time::from_millis(1_000_000));
        }
        if let Ok(value) = hyper::header::HeaderValue::from_bytes(&bytes) {
            let mut arbitrary_headers = HeaderMap::new();
            for name in [
                "token-usage",
                "prefix-hash",
                "pieces",
                "deadline-ms",
                "authorization",
            ] {
                arbitrary_headers.insert(name, value.clone());
            }
            let _ = decode_caller(&arbitrary_headers);
        }
    }
}

struct NoticeCase {
    status: u16,
    headers: &'static [(&'static str, &'static str)],
    expected: Notice,
}

#[gtest]
fn notices_of_endpoints_are_read_from_their_answers() {
    let paused = |ms| Notice {
        pause: Some(Duration::from_millis(ms)),
        ..Notice::default()
    };
    let leaving = Notice {
        is_leaving: true,
        pause: None,
    };
    let cases = [
        NoticeCase {
            status: 200,
            headers: &[("server-leaving", "1")],
            expected: leaving,
        },
        NoticeCase {
            status: 200,
            headers: &[("server-leaving", "0"), ("retry-after", "3")],
            expected: Notice::default(),
        },
        NoticeCase {
            status: 503,
            headers: &[("retry-after", "0.25")],
            expected: paused(250),
        },
        NoticeCase {
            status: 503,
            headers: &[("retry-after", " 3 ")],
            expected: paused(3_000),
        },
        NoticeCase {
            status: 503,
            headers: &[("retry-after", "-1")],
            expected: Notice::default(),
        },
        NoticeCase {
            status: 503,
            headers: &[("retry-after", "soon")],
            expected: Notice::default(),
        },
        NoticeCase {
            status: 503,
            headers: &[("retry-after", "inf")],
            expected: Notice::default(),
        },
        NoticeCase {
            status: 503,
            headers: &[("retry-after", "0.25"), ("response-signature", "x")],
            expected: paused(250),
        },
        NoticeCase {
            status: 503,
            headers: &[("retry-after", "0.25"), ("not-executed", "1")],
            expected: paused(250),
        },
        NoticeCase {
            status: 429,
            headers: &[("retry-after", "0.25")],
            expected: Notice::default(),
        },
        NoticeCase {
            status: 408,
            headers: &[("retry-after", "0.25")],
            expected: Notice::default(),
        },
        NoticeCase {
            status: 421,
            headers: &[("retry-after", "0.25")],
            expected: Notice::default(),
        },
    ];
    for case in cases {
        let status = hyper::StatusCode::from_u16(case.status).unwrap();
        let notice = notice_of(status, &headers(case.headers));
        expect_that!(notice, eq(case.expected), "{:?}", case.headers);
    }
}

struct LoadCase {
    text: &'static str,
    /// Running, waiting, slots and the work time in percent.
    load: Option<(u32, u32, u32, Option<u32>)>,
}

const LOAD_CASES: [LoadCase; 12] = [
    LoadCase {
        text: "3,0,8",
        load: Some((3, 0, 8, None)),
    },
    LoadCase {
        text: "3, 1, 64, 250",
        load: Some((3, 1, 64, Some(250))),
    },
    LoadCase {
        text: "3,1,64,250,a later figure",
        load: Some((3, 1, 64, Some(250))),
    },
    LoadCase {
        text: "",
        load: None,
    },
    LoadCase {
        text: "3,1",
        load: None,
    },
    LoadCase {
        text: "3,1,0,100",
        load: None,
    },
    LoadCase {
        text: "-3,1,8,100",
        load: None,
    },
    LoadCase {
        text: "3,1,8,",
        load: None,
    },
    LoadCase {
        text: "3,1,8,0",
        load: None,
    },
    LoadCase {
        text: "3,1,8,fast",
        load: None,
    },
    LoadCase {
        text: "3,4000000000,8,100",
        load: None,
    },
    LoadCase {
        text: "3,99999999999999999999,8,100",
        load: None,
    },
];

/// Guards against malformed loads that would steer requests.
#[gtest]
fn malformed_loads_are_ignored() {
    for case in &LOAD_CASES {
        let expected = case
            .load
            .map(|(running, waiting, slots, work_time_percent)| LoadReport {
                running,
                waiting,
                slots,
                work_time_percent,
            });
        let load = load_of(&headers(&[("instance-load", case.text)]));
        expect_that!(load, eq(expected), "{}", case.text);
    }
    expect_that!(load_of(&HeaderMap::new()), none());
}
