//! How servers read the query of a request. Real ones differ, and a client has to be read alike by all.

use std::collections::HashMap;

/// What a plus stands for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Plus {
    Blank,
    Itself,
}

/// What happens to a part with a malformed escape.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Malformed {
    /// The part is ignored.
    Dropped,
    /// The escape stands for itself.
    Kept,
    /// The request is refused.
    Refused,
}

/// One way of reading a query.
#[derive(Debug, Clone, Copy)]
pub struct Reading {
    pub name: &'static str,
    pub plus: Plus,
    pub malformed: Malformed,
    /// Number of servers on the way that decode the query as a whole.
    pub fronts: usize,
    /// How often each part is decoded.
    pub decodings: usize,
}

impl Reading {
    /// Returns the parts of a query. An error says that the server refuses it.
    pub fn read(&self, query: &str) -> Result<HashMap<String, String>, ()> {
        // What follows a number sign is not part of a target.
        let query = query.split('#').next().unwrap_or_default();
        let mut query = query.to_owned();
        for _ in 0..self.fronts {
            query = self.decode(&query)?.unwrap_or_default();
        }
        let mut parts = HashMap::new();
        for part in query.split('&').filter(|part| !part.is_empty()) {
            let (name, value) = part.split_once('=').unwrap_or((part, ""));
            if let (Some(name), Some(value)) = (self.decode_part(name)?, self.decode_part(value)?) {
                parts.insert(name, value);
            }
        }
        Ok(parts)
    }

    /// Returns whether a server reads a text as it was sent, with an escape for each of its bytes.
    pub fn reads_as_sent(&self, text: &str) -> bool {
        let escaped: String = text.bytes().map(|byte| format!("%{byte:02X}")).collect();
        let parts = self.read(&format!("After={escaped}"));
        parts.is_ok_and(|parts| parts.get("After").is_some_and(|read| read == text))
    }

    /// Returns a name or a value; `None` if it is ignored.
    fn decode_part(&self, text: &str) -> Result<Option<String>, ()> {
        let mut text = text.to_owned();
        for _ in 0..self.decodings {
            let Some(decoded) = self.decode(&text)? else {
                return Ok(None);
            };
            text = decoded;
        }
        Ok(Some(text))
    }

    fn decode(&self, text: &str) -> Result<Option<String>, ()> {
        let bytes = text.as_bytes();
        let mut decoded = Vec::with_capacity(bytes.len());
        let mut at = 0;
        while at < bytes.len() {
            let escaped = bytes.get(at + 1..at + 3).and_then(|digits| {
                let digits = std::str::from_utf8(digits).ok()?;
                let is_hex = digits.bytes().all(|digit| digit.is_ascii_hexdigit());
                u8::from_str_radix(digits, 16).ok().filter(|_| is_hex)
            });
            match (bytes[at], escaped, self.malformed) {
                (b'+', ..) if self.plus == Plus::Blank => decoded.push(b' '),
                (b'%', Some(byte), _) => {
                    decoded.push(byte);
                    at += 2;
                }
                (b'%', None, Malformed::Dropped) => return Ok(None),
                (b'%', None, Malformed::Refused) => return Err(()),
                (byte, ..) => decoded.push(byte),
            }
            at += 1;
        }
        match String::from_utf8(decoded) {
            Ok(text) => Ok(Some(text)),
            Err(_) if self.malformed == Malformed::Refused => Err(()),
            Err(_) => Ok(None),
        }
    }
}
