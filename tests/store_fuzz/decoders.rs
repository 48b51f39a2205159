//! Pages of listings and answers to watches: readable items among generated ones.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use primrosewalk::platform::store::{
    StoreAnswer, StoreItem, StoreKey, UnreadableItem, decode_events, decode_page,
};
use primrosewalk::units::{StoreEra, StorePosition};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;
use serde::de::{Deserializer, MapAccess, Visitor};
use serde_json::json;
use serde_json::value::RawValue;

use crate::for_each_run;
use crate::odd_items::{self, json_text};

const PREFIXES: [&str; 4] = ["servers/", "op/", "op/evacuate/", ""];
/// Largest value of an entry that is kept.
const MAX_ENTRY_BYTES: usize = 16 * 1024;

/// An item in an answer.
struct Entry {
    text: String,
    /// Its key and what it has to be decoded to, if it keeps to the page.
    readable: Option<(String, StoreItem)>,
}

/// Returns what a key names.
fn named_by(key: &str) -> StoreKey {
    match key.split_once('/') {
        Some(("servers", id)) => StoreKey::Endpoint(id.to_owned()),
        Some(("op", "config")) => StoreKey::Configuration,
        Some(("op", name)) => match name.split_once('/') {
            Some(("evacuate", name)) => StoreKey::Evacuation(name.to_owned()),
            _ => StoreKey::Other,
        },
        _ => StoreKey::Other,
    }
}

fn draw_key(rng: &mut ChaCha8Rng) -> String {
    let prefix = PREFIXES[rng.random_range(0..PREFIXES.len())];
    odd_items::key(rng, prefix)
}

fn readable_entry(rng: &mut ChaCha8Rng, revision: u64, is_event: bool) -> Entry {
    let key = match rng.random_bool(0.1) {
        true => "op/config".to_owned(),
        false => draw_key(rng),
    };
    let named = named_by(&key);
    if is_event && rng.random_bool(0.3) {
        let item = StoreItem {
            key: named,
            revision,
            value: None,
        };
        return Entry {
            text: json!({ "Key": key, "Revision": revision, "Deleted": true }).to_string(),
            readable: Some((key, item)),
        };
    }
    let value = odd_items::value(rng);
    let text = json!({ "Key": key, "Value": STANDARD.encode(&value), "Revision": revision,
        "Created": rng.random::<u64>(), "Lease": 0 });
    let kept = match &named {
        StoreKey::Configuration => value,
        StoreKey::Endpoint(_) if value.len() <= MAX_ENTRY_BYTES - 2 => value,
        _ => Vec::new(),
    };
    let item = StoreItem {
        key: named,
        revision,
        value: Some(Bytes::from(kept)),
    };
    Entry {
        text: text.to_string(),
        readable: Some((key, item)),
    }
}

fn draw_entries(rng: &mut ChaCha8Rng, is_event: bool) -> Vec<Entry> {
    let mut revision = rng.random_range(0..u64::MAX / 2);
    let count = rng.random_range(0..9);
    let entries = (0..count).map(|_| {
        revision += rng.random_range(1..9);
        if rng.random_bool(0.5) {
            return readable_entry(rng, revision, is_event);
        }
        let key = draw_key(rng);
        let text = match rng.random_bool(0.3) {
            true => json_text(rng, 4),
            false => odd_items::item(rng, &key, revision),
        };
        Entry {
            text,
            readable: None,
        }
    });
    entries.collect()
}

fn list_of(entries: &[Entry]) -> String {
    let texts: Vec<&str> = entries.iter().map(|entry| entry.text.as_str()).collect();
    format!("[{}]", texts.join(","))
}

/// Fields of a JSON object in their order, also those that stand twice.
struct Fields(Vec<(String, Box<RawValue>)>);

impl<'de> Deserialize<'de> for Fields {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct FieldsVisitor;
        impl<'de> Visitor<'de> for FieldsVisitor {
            type Value = Fields;

            fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str("an object")
            }

            fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Fields, A::Error> {
                let mut fields = Vec::new();
                while let Some(field) = map.next_entry()? {
                    fields.push(field);
                }
                Ok(Fields(fields))
            }
        }
        deserializer.deserialize_map(FieldsVisitor)
    }
}

/// Returns the key of an item, if it has one key and that is a text.
fn key_of(text: &str) -> Option<String> {
    let Fields(fields) = serde_json::from_str(text).ok()?;
    let mut keys = fields.iter().filter(|(name, _)| name == "Key");
    let (_, key) = keys.next()?;
    let is_only = keys.next().is_none();
    serde_json::from_str(key.get()).ok().filter(|_| is_only)
}

/// Checks that readable items came out unchanged and in order, and that each other item is either there under its key
/// or counts as unreadable.
fn check_items(seed: u64, entries: &[Entry], items: &[StoreItem], unreadable: &[UnreadableItem]) {
    let (mut items, mut unreadable) = (items.iter(), unreadable.iter());
    for entry in entries {
        match &entry.readable {
            Some((_, item)) => assert_eq!(items.next(), Some(item), "seed {seed}: {}", entry.text),
            None => match key_of(&entry.text) {
                Some(key) => {
                    let item = items.next().unwrap_or_else(|| {
                        panic!(
                            "seed {seed}: an item with a key is left out: {}",
                            entry.text
                        )
                    });
                    assert_eq!(item.key, named_by(&key), "seed {seed}: {}", entry.text);
                }
                None => {
                    let reported = unreadable
                        .next()
                        .unwrap_or_else(|| panic!("seed {seed}: not reported: {}", entry.text));
                    assert!(
                        entry.text.starts_with(&reported.excerpt),
                        "seed {seed}: {} reported for {}",
                        reported.excerpt,
                        entry.text
                    );
                }
            },
        }
    }
    assert_eq!(
        (items.next(), unreadable.next()),
        (None, None),
        "seed {seed}"
    );
}

/// An item of which only the key can be read.
struct OddItem {
    name: &'static str,
    fields: &'static str,
}

const ODD_ITEMS: [OddItem; 9] = [
    OddItem {
        name: "a revision that stands twice",
        fields: r#""Value":"e30=","Revision":3,"Revision":4"#,
    },
    OddItem {
        name: "a value that stands twice",
        fields: r#""Value":"e30=","Value":"e30=","Revision":3"#,
    },
    OddItem {
        name: "a revision out of any range",
        fields: r#""Value":"e30=","Revision":1e400"#,
    },
    OddItem {
        name: "a value out of any range",
        fields: r#""Value":1e400,"Revision":3"#,
    },
    OddItem {
        name: "a revision that is half of a surrogate pair",
        fields: r#""Value":"e30=","Revision":"\ud800""#,
    },
    OddItem {
        name: "a value that is half of a surrogate pair",
        fields: r#""Value":"\ud800","Revision":3"#,
    },
    OddItem {
        name: "another field that is half of a surrogate pair",
        fields: r#""Value":"e30=","Revision":3,"Note":"\ud800","Deleted":1"#,
    },
    OddItem {
        name: "a fraction as a revision",
        fields: r#""Value":"e30=","Revision":3.5"#,
    },
    OddItem {
        name: "a deletion that is a number",
        fields: r#""Value":"e30=","Revision":3,"Deleted":1"#,
    },
];

/// Guards against an item that is left out although its key can be read, so that an endpoint whose entry it replaced
/// stays in use.
#[test]
fn an_item_with_a_key_stands_for_it_whatever_its_other_fields_are() {
    let deep = format!(
        r#""Value":"e30=","Revision":{}{}"#,
        "[".repeat(300),
        "]".repeat(300)
    );
    let cases = ODD_ITEMS.iter().map(|item| (item.name, item.fields));
    let mut left_out = Vec::new();
    for (name, fields) in cases.chain([("a deep revision", deep.as_str())]) {
        let item = format!(r#"{{"Key":"servers/i-1",{fields}}}"#);
        let body = format!(r#"{{"Entries":[{item}],"HasMore":true,"StoreRevision":7}}"#);
        let (page, unreadable) = decode_page(body.as_bytes(), None).unwrap();
        let keys: Vec<_> = page.items.iter().map(|item| &item.key).collect();
        if keys != [&StoreKey::Endpoint("i-1".to_owned())] || !unreadable.is_empty() {
            left_out.push((name, unreadable));
        }
    }
    assert!(left_out.is_empty(), "{left_out:#?}");
}

/// Guards against an item that costs another one of its page, or its own key.
#[test]
fn items_of_a_page_are_decoded_each_by_itself() {
    for_each_run(|seed, rng| {
        let entries = draw_entries(rng, false);
        let (has_more, revision) = (rng.random_bool(0.5), rng.random_range(0..=u64::MAX));
        let body = format!(
            r#"{{"Entries":{},"HasMore":{has_more},"StoreRevision":{revision}}}"#,
            list_of(&entries)
        );
        let era = rng.random_bool(0.5).then(|| StoreEra(rng.random()));
        let (page, unreadable) = decode_page(body.as_bytes(), era)
            .unwrap_or_else(|error| panic!("seed {seed}: {error}: {body}"));
        check_items(seed, &entries, &page.items, &unreadable);
        assert_eq!(
            (page.has_more, page.position),
            (has_more, StorePosition { era, revision })
        );
        let keys: Vec<String> = entries
            .iter()
            .filter_map(|entry| match &entry.readable {
                Some((key, _)) => Some(key.clone()),
                None => key_of(&entry.text),
            })
            .collect();
        assert_eq!(page.keys, keys, "seed {seed}: {body}");
    });
}

/// Guards against a change that is given the revision of an earlier one of its item, and is then ignored: the endpoint
/// whose entry it replaced stays in use.
#[test]
fn a_change_without_a_revision_comes_after_the_one_before() {
    let body = br#"{"events":[{"Key":"servers/i-1","Value":"e30=","Revision":21},
        {"Key":"servers/i-1","Value":17},{"Key":"servers/i-1","Revision":"x"},
        {"Key":"servers/i-1","Value":"e30="},{"Key":"servers/i-1","Deleted":true}],"StoreRevision":25}"#;
    let after = StorePosition::from(20);
    let revisions = decode_events(body, after).unwrap().items.into_iter();
    let revisions: Vec<u64> = revisions.map(|item| item.revision).collect();
    assert_eq!(revisions, [21, 22, 23, 24, 25]);
}

/// Guards against the removal of an evacuation that sets it, since another field of the change cannot be read.
#[test]
fn a_removal_with_an_odd_field_is_one() {
    for (fields, is_removal) in [
        (r#""Revision":"x","Deleted":true"#, true),
        (r#""Revision":9,"Value":17,"Deleted":true"#, true),
        (r#""Revision":"x","Deleted":false"#, false),
        (r#""Revision":9,"Deleted":1"#, false),
    ] {
        let body =
            format!(r#"{{"events":[{{"Key":"op/evacuate/z1",{fields}}}],"StoreRevision":9}}"#);
        let after = StorePosition::from(8);
        let items = decode_events(body.as_bytes(), after).unwrap().items;
        let item = StoreItem {
            key: StoreKey::Evacuation("z1".to_owned()),
            revision: 9,
            value: (!is_removal).then(Bytes::new),
        };
        assert_eq!(items, [item], "{fields}");
    }
}

/// The same for the answer to a watch.
#[test]
fn changes_are_decoded_each_by_itself() {
    for_each_run(|seed, rng| {
        let entries = draw_entries(rng, true);
        let revision = rng.random_range(0..=u64::MAX);
        let body = format!(
            r#"{{"events":{},"StoreRevision":{revision}}}"#,
            list_of(&entries)
        );
        let after = StorePosition {
            era: rng.random_bool(0.5).then(|| StoreEra(rng.random())),
            revision: rng.random_range(0..=u64::MAX),
        };
        let StoreAnswer {
            items,
            unreadable,
            position,
        } = decode_events(body.as_bytes(), after)
            .unwrap_or_else(|error| panic!("seed {seed}: {error}: {body}"));
        check_items(seed, &entries, &items, &unreadable);
        assert_eq!(position, StorePosition { revision, ..after }, "seed {seed}");
    });
}

/// Guards against an answer that broke off, or is no answer of the store, which is taken for a shorter list.
#[test]
fn a_malformed_answer_is_an_error() {
    for_each_run(|seed, rng| {
        for (field, is_event) in [("Entries", false), ("events", true)] {
            let list = list_of(&draw_entries(rng, is_event));
            let valid = format!(r#"{{"{field}":{list},"HasMore":true,"StoreRevision":7}}"#);
            let mut cut = valid.clone().into_bytes();
            cut.truncate(rng.random_range(0..cut.len()));
            let wrong = ["{}", "17", "\"\"", "true", "[1,]", "[}"][rng.random_range(0..6)];
            let malformed: [Vec<u8>; 8] = [
                // Its values stand in the order of the fields, without their names.
                format!("[{list},true,7]").into_bytes(),
                cut,
                format!("{valid}{}", ["{}", "]", "x", "\0"][rng.random_range(0..4)]).into_bytes(),
                format!(r#"{{"{field}":{list},"HasMore":true}}"#).into_bytes(),
                format!(r#"{{"{field}":{list},"StoreRevision":-1}}"#).into_bytes(),
                format!(r#"{{"{field}":{wrong},"StoreRevision":7}}"#).into_bytes(),
                format!(r#"{{"{field}":{list},"{field}":{list},"StoreRevision":7}}"#).into_bytes(),
                json_text(rng, 0).into_bytes(),
            ];
            for body in malformed {
                let text = String::from_utf8_lossy(&body);
                let is_error = match is_event {
                    true => decode_events(&body, StorePosition::default()).is_err(),
                    false => decode_page(&body, None).is_err(),
                };
                assert!(is_error, "seed {seed}: {text}");
            }
        }
    });
}

/// Guards against a text that is no UTF-8 and costs the other items.
#[test]
fn a_text_that_is_no_utf8_costs_its_item_only() {
    for_each_run(|seed, rng| {
        let (before, after) = (draw_entries(rng, false), draw_entries(rng, false));
        let mut name: Vec<u8> = (0..rng.random_range(1..9))
            .map(|_| rng.random_range(0x80..=0xff))
            .collect();
        name.push(b'x');
        let item = [
            &br#"{"Key":"servers/"#[..],
            &name,
            br#"","Value":"","Revision":3}"#,
        ]
        .concat();
        let lists = [&before, &after].map(|entries| list_of(entries));
        let comma = |entries: &[Entry]| if entries.is_empty() { "" } else { "," };
        let body = [
            br#"{"StoreRevision":7,"HasMore":true,"Entries":["#,
            &lists[0].as_bytes()[1..lists[0].len() - 1],
            comma(&before).as_bytes(),
            &item,
            comma(&after).as_bytes(),
            lists[1].strip_prefix('[').unwrap().as_bytes(),
            b"}",
        ]
        .concat();
        let (page, unreadable) =
            decode_page(&body, None).unwrap_or_else(|error| panic!("seed {seed}: {error}"));
        let odd = Entry {
            text: String::from_utf8_lossy(&item).into_owned(),
            readable: None,
        };
        let entries: Vec<Entry> = before.into_iter().chain([odd]).chain(after).collect();
        check_items(seed, &entries, &page.items, &unreadable);
    });
}

/// Guards against bytes that end a VM.
#[test]
fn changed_bytes_never_panic() {
    for_each_run(|_, rng| {
        let list = list_of(&draw_entries(rng, false));
        let body = format!(r#"{{"Entries":{list},"events":{list},"StoreRevision":7}}"#);
        let mut body = body.into_bytes();
        for _ in 0..rng.random_range(1..6) {
            let place = rng.random_range(0..body.len());
            body[place] = rng.random();
        }
        let _ = decode_page(&body, None);
        let _ = decode_events(&body, StorePosition::default());
    });
}
