//! Splits a stream of server-sent events into events.

use bytes::Bytes;

/// One event: its name and its data.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// The `event:` field.
    pub name: String,
    /// The `data:` fields, joined by line feeds.
    pub data: String,
}

/// Collects bytes until an event is whole. Events end with an empty line.
#[derive(Debug, Default)]
pub struct EventReader {
    buffer: Vec<u8>,
}

impl EventReader {
    /// Adds bytes and returns the events that became whole.
    pub fn push(&mut self, bytes: &Bytes) -> Vec<Event> {
        self.buffer.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\n\n") {
            let block: Vec<u8> = self.buffer.drain(..end + 2).collect();
            events.push(parse_block(&String::from_utf8_lossy(&block)));
        }
        events
    }
}

fn parse_block(block: &str) -> Event {
    let mut event = Event {
        name: "message".to_owned(),
        data: String::new(),
    };
    let mut data = Vec::new();
    for line in block.lines() {
        if let Some(name) = line.strip_prefix("event:") {
            event.name = name.trim().to_owned();
        } else if let Some(text) = line.strip_prefix("data:") {
            data.push(text.strip_prefix(' ').unwrap_or(text));
        }
    }
    event.data = data.join("\n");
    event
}
