//! Entries of endpoints and configurations with generated fields.

use bytes::Bytes;
use primrosewalk::platform::configuration::decode_configuration;
use primrosewalk::platform::endpoint_entry::decode_endpoint;
use primrosewalk::units::Time;
use rand::RngExt;
use serde_json::json;

use crate::for_each_run;
use crate::odd_items::{json_text, text, value};

const ENTRY_FIELDS: [(&str, &str); 9] = [
    ("Service", "\"s1\""),
    ("Address", "\"10.1.2.3:80\""),
    ("Zone", "\"a\""),
    ("Version", "\"v1\""),
    ("Slots", "64"),
    ("State", "\"ready\""),
    ("ColdRemainingMs", "1500"),
    ("Sequence", "4"),
    ("born", "1234"),
];
const CONFIGURATION_FIELDS: [(&str, &str); 5] = [
    ("Version", "7"),
    (
        "Routes",
        r#"[{"Name":"r-1","Host":"one.example","PathPrefix":"/a/","RouteKind":"idempotent","TimeoutMs":1500,
            "TargetLatencyMs":300,"Priority":0,"Service":"s1","MaxAttempts":1,"Stages":[],"Public":true}]"#,
    ),
    ("Services", r#"[{"Name":"s1","ColdPerS":12.0}]"#),
    (
        "Limits",
        r#"{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}"#,
    ),
    ("Tenants", r#"[{"Name":"org","ApiKeys":["k1"]}]"#),
];

/// Returns an object of fields in an order that starts at one of them.
fn object(fields: &[(String, String)], first: usize) -> Vec<u8> {
    let rotated = fields[first..].iter().chain(&fields[..first]);
    let fields: Vec<String> = rotated
        .map(|(name, value)| format!("{}:{value}", json!(name)))
        .collect();
    format!("{{{}}}", fields.join(",")).into_bytes()
}

fn owned(fields: &[(&str, &str)]) -> Vec<(String, String)> {
    let fields = fields.iter();
    fields
        .map(|(name, value)| ((*name).to_owned(), (*value).to_owned()))
        .collect()
}

/// Guards against a field that is not on the platform's page, or the order of the fields, which changes an entry.
#[test]
fn an_unknown_field_changes_no_entry_and_no_configuration() {
    for_each_run(|seed, rng| {
        let (name, odd) = (text(rng, 30), json_text(rng, 3));
        for fields in [&ENTRY_FIELDS[..], &CONFIGURATION_FIELDS[..]] {
            let mut fields = owned(fields);
            if fields.iter().any(|(known, _)| *known == name) {
                continue;
            }
            let is_entry = fields.len() == ENTRY_FIELDS.len();
            let plain = object(&fields, 0);
            fields.insert(
                rng.random_range(0..=fields.len()),
                (name.clone(), odd.clone()),
            );
            let changed = object(&fields, rng.random_range(0..fields.len()));
            let text = String::from_utf8_lossy(&changed).into_owned();
            if is_entry {
                let expected = decode_endpoint("i-1", &plain, Time::ZERO).unwrap();
                let decoded = decode_endpoint("i-1", &changed, Time::ZERO);
                assert_eq!(decoded.ok(), Some(expected), "seed {seed}: {text}");
            } else {
                let expected = decode_configuration(Bytes::from(plain)).unwrap();
                let decoded = decode_configuration(Bytes::from(changed))
                    .unwrap_or_else(|error| panic!("seed {seed}: {error:#}: {text}"));
                assert_eq!(
                    (
                        decoded.version,
                        decoded.routes,
                        decoded.services,
                        decoded.api_keys
                    ),
                    (
                        expected.version,
                        expected.routes,
                        expected.services,
                        expected.api_keys
                    ),
                    "seed {seed}: {text}"
                );
            }
        }
    });
}

/// Guards against an entry of another writer that names an endpoint to use although a field is of another type.
#[test]
fn an_entry_with_a_wrong_field_names_no_endpoint() {
    for_each_run(|seed, rng| {
        let mut fields = owned(&ENTRY_FIELDS);
        let place = rng.random_range(0..3);
        let odd = json_text(rng, 3);
        let is_text = odd.starts_with('"');
        fields[place].1 = match is_text {
            true => json!(format!("{} ", text(rng, 30))).to_string(),
            false => odd,
        };
        let value = object(&fields, rng.random_range(0..fields.len()));
        let decoded = decode_endpoint("i-1", &value, Time::ZERO);
        let text = String::from_utf8_lossy(&value);
        assert!(decoded.is_err(), "seed {seed}: {text}");
    });
}

/// Guards against a list of values that is read as an entry, whose fields have names.
#[test]
fn a_list_of_values_names_no_endpoint_and_is_no_configuration() {
    let entry = r#"["s1","10.1.2.3:80","a",64,"ready",1500,1234]"#;
    let decoded = decode_endpoint("i-1", entry.as_bytes(), Time::ZERO);
    assert!(decoded.is_err(), "{decoded:?}");
    for count in 0..10 {
        for values in [
            &["7", "[]", "[]", "null", "null"],
            &["7", "[]", "[]", "{}", "[]"],
        ] {
            let values: Vec<&str> = values.iter().copied().take(count).collect();
            let document = format!("[{}]", values.join(","));
            let decoded = decode_configuration(Bytes::from(document.clone()));
            assert!(decoded.is_err(), "{document}");
        }
    }
}

/// Guards against a name or a value that ends a VM, and against an id that no endpoint can have.
#[test]
fn odd_names_and_values_name_no_endpoint() {
    for_each_run(|seed, rng| {
        let id = text(rng, 200);
        let entry = object(&owned(&ENTRY_FIELDS), 0);
        let is_name =
            |character: char| character.is_ascii_alphanumeric() || "-_".contains(character);
        let is_plain = !id.is_empty() && id.len() <= 63 && id.chars().all(is_name);
        let decoded = decode_endpoint(&id, &entry, Time::ZERO);
        assert_eq!(decoded.is_ok(), is_plain, "seed {seed}: {id:?}");
        let value = value(rng);
        if let Ok(endpoint) = decode_endpoint("i-1", &value, Time::ZERO) {
            assert!(endpoint.slots >= 1, "seed {seed}");
            assert!(
                endpoint.cold_until <= Time::from_millis(1_000_000_000),
                "seed {seed}"
            );
        }
        let _ = decode_configuration(Bytes::from(value));
    });
}
