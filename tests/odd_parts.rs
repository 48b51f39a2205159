//! Guards that one part of a document or message which cannot be read, or names what nothing can have, costs
//! nothing but itself.

mod users_platform;

use googletest::prelude::*;
use hyper::header::{HeaderName, HeaderValue};
use hyper::{HeaderMap, StatusCode};
use primrosewalk::decisions::batching::ItemFailure;
use primrosewalk::fleet::wire::{
    WireCrash, WireCrashReport, WireGossip, WireRecord, decode_crash_report, decode_gossip,
};
use primrosewalk::platform::caller::decode_caller;
use primrosewalk::platform::endpoint_call::{ResponseClass, classify};
use primrosewalk::platform::stage_call::decode_run;
use prost::Message;
use users_platform::caller::request;

/// Guards against one odd outcome that fails the items of all other requests in its batch.
#[gtest]
fn an_odd_outcome_of_a_batch_costs_only_its_item() {
    const SOUND: &str = r#"{"Handle":"10.1.64.7:8080/91bd3f06e44"}"#;
    let odd = [
        "7",
        "null",
        "[]",
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
