//! Draws names, values and items of other writers to the platform's store, for fuzzing and soak runs.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use serde_json::json;

/// Longest key that the platform's store takes.
pub const MAX_KEY_BYTES: usize = 200;

/// Parts of names that a query, a path, a header or a JSON text has to escape, or that a reader may take for
/// something else.
const ODD_PARTS: [&str; 24] = [
    "&",
    "&After=zz",
    "&AllowStale=1",
    "+",
    "#",
    "%",
    "%zz",
    "%41",
    "%7A",
    "%00",
    " ",
    "?",
    "=",
    ";",
    "/",
    "//",
    "../",
    "\"",
    "\\u0041",
    "<",
    "|",
    "^",
    "\r\n",
    "\u{0}",
];

/// Returns whether each server reads a key in a query alike.
pub fn is_plain(key: &str) -> bool {
    key.chars()
        .all(|character| character.is_ascii_alphanumeric() || "-_./".contains(character))
}

/// Returns the keys of each page of a listing that goes on after the last plain key of a page or, from a page without one,
/// after the key before the last (`docs/platform.md`, "Listings").
pub fn pages_of_listing(mut keys: &[String], page_items: usize) -> Vec<&[String]> {
    let mut pages = Vec::new();
    loop {
        let page = &keys[..keys.len().min(page_items)];
        pages.push(page);
        if page.len() == keys.len() {
            return pages;
        }
        let last_plain = page.iter().rposition(|key| is_plain(key));
        let last = last_plain.unwrap_or(page.len().saturating_sub(2));
        keys = &keys[last + 1..];
    }
}

/// Draws one character: of ASCII, a control, of two to four bytes in UTF-8, a combining one, or one that changes the
/// direction of the text.
fn character(rng: &mut ChaCha8Rng) -> char {
    let range = match rng.random_range(0..10) {
        0..3 => 'a'..='z',
        3 => '\u{20}'..='\u{7e}',
        4 => '\u{0}'..='\u{1f}',
        5 => '\u{7f}'..='\u{7ff}',
        6 => '\u{300}'..='\u{36f}',
        7 => '\u{200b}'..='\u{202e}',
        8 => '\u{800}'..='\u{ffff}',
        _ => '\u{10000}'..='\u{10ffff}',
    };
    rng.random_range(range)
}

/// Draws a text of at most so many bytes.
pub fn text(rng: &mut ChaCha8Rng, max_bytes: usize) -> String {
    let max_bytes = match rng.random_bool(0.1) {
        true => max_bytes,
        false => rng.random_range(0..=max_bytes.min(24)),
    };
    let mut text = String::new();
    loop {
        let part = match rng.random_bool(0.3) {
            true => ODD_PARTS[rng.random_range(0..ODD_PARTS.len())].to_owned(),
            false => character(rng).to_string(),
        };
        if text.len() + part.len() > max_bytes {
            return text;
        }
        text.push_str(&part);
    }
}

/// Draws a key with a prefix.
pub fn key(rng: &mut ChaCha8Rng, prefix: &str) -> String {
    let start = ["", "a", "i", "i-", "z"][rng.random_range(0..5)];
    let text = text(rng, MAX_KEY_BYTES - prefix.len() - start.len());
    format!("{prefix}{start}{text}")
}

/// Draws a JSON text. Its numbers may be out of any range, and fields of its objects may stand twice.
pub fn json_text(rng: &mut ChaCha8Rng, depth: usize) -> String {
    const NUMBERS: [&str; 12] = [
        "0",
        "-0",
        "-1",
        "1e400",
        "-1e400",
        "1.2345678901234568e+24",
        "0.1",
        "18446744073709551615",
        "18446744073709551616",
        "9007199254740993",
        "1e-400",
        "5.0",
    ];
    const FIELDS: [&str; 10] = [
        "Key", "Value", "Revision", "Deleted", "State", "Service", "Slots", "Zone", "Address",
        "born",
    ];
    let count = rng.random_range(0..4);
    match rng.random_range(0..if depth == 0 { 6 } else { 9 }) {
        0 => "null".to_owned(),
        1 => ["true", "false"][rng.random_range(0..2)].to_owned(),
        2 | 3 => NUMBERS[rng.random_range(0..NUMBERS.len())].to_owned(),
        4 => json!(text(rng, 60)).to_string(),
        5 => r#""\ud800""#.to_owned(),
        6 => {
            let items: Vec<String> = (0..count).map(|_| json_text(rng, depth - 1)).collect();
            format!("[{}]", items.join(","))
        }
        7 => {
            let levels = [1, 10, 127, 128, 129, 2_000][rng.random_range(0..6)];
            "[".repeat(levels) + &"]".repeat(levels)
        }
        _ => {
            let mut fields = Vec::new();
            for _ in 0..count {
                let name = match rng.random_bool(0.7) {
                    true => FIELDS[rng.random_range(0..FIELDS.len())].to_owned(),
                    false => text(rng, 20),
                };
                fields.push(format!("{}:{}", json!(name), json_text(rng, depth - 1)));
            }
            format!("{{{}}}", fields.join(","))
        }
    }
}

/// Draws the value of an entry: bytes, a JSON text, or the entry of an endpoint of an unknown service, of which a field
/// is missing, stands twice or has another type.
pub fn value(rng: &mut ChaCha8Rng) -> Vec<u8> {
    match rng.random_range(0..8) {
        0 => (0..rng.random_range(0..200))
            .map(|_| rng.random())
            .collect(),
        1 => json_text(rng, 4).into_bytes(),
        2 => vec![b'['; rng.random_range(0..20_000)],
        3 => vec![b'x'; rng.random_range(0..40_000)],
        _ => {
            let mut fields = [
                ("Service", json!("unknown").to_string()),
                ("Address", json!("127.0.0.1:9").to_string()),
                ("Zone", json!("a").to_string()),
                ("Version", json!("v1").to_string()),
                ("Slots", "6".to_owned()),
                ("State", json!("ready").to_string()),
                ("ColdRemainingMs", "0".to_owned()),
                ("Sequence", "1".to_owned()),
            ]
            .map(|(name, value)| (name.to_owned(), value))
            .to_vec();
            let changed = rng.random_range(0..fields.len());
            match rng.random_range(0..4) {
                0 => drop(fields.remove(changed)),
                1 => fields.push(fields[changed].clone()),
                2 => fields[changed].1 = json_text(rng, 2),
                _ => fields.push((text(rng, 20), json_text(rng, 2))),
            }
            let fields = fields
                .into_iter()
                .map(|(name, value)| format!("{}:{value}", json!(name)));
            format!("{{{}}}", fields.collect::<Vec<_>>().join(",")).into_bytes()
        }
    }
}

/// Draws an item as it stands in answers, which is a JSON text and mostly does not keep to the platform's page.
pub fn item(rng: &mut ChaCha8Rng, key: &str, revision: u64) -> String {
    let key = json!(key).to_string();
    let wrong = json_text(rng, 3);
    match rng.random_range(0..11) {
        0 => format!(r#"{{"Key":{key},"Value":{wrong},"Revision":{revision}}}"#),
        1 => format!(r#"{{"Key":{key},"Value":"***","Revision":{revision}}}"#),
        2 => format!(r#"{{"Key":{key},"Revision":{revision}}}"#),
        3 => format!(r#"{{"Key":{key},"Value":"e30=","Revision":"{revision}"}}"#),
        4 => format!(r#"{{"Key":{key},"Value":"e30=","Revision":-{revision}}}"#),
        5 => format!(r#"{{"Key":{key},"Value":"e30="}}"#),
        6 => format!(r#"{{"Key":{key},"Value":"e30=","Revision":{revision},"Deleted":{wrong}}}"#),
        7 => format!(r#"{{"Key":{key},"Key":{key},"Value":"e30=","Revision":{revision}}}"#),
        8 => format!(r#"{{"Value":"e30=","Revision":{revision}}}"#),
        9 => format!(r#"[{key},{wrong},{revision}]"#),
        // The name of another key would be that of another item.
        _ => wrong.replace("\"Key\"", "\"key\""),
    }
}
