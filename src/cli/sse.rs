//! Parser for a stream of server-sent events.

use bytes::Bytes;

/// One server-sent event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Value of the `event:` field, or `message` without one.
    pub name: String,
    /// Values of the `data:` fields, joined by line feeds.
    pub data: String,
}

/// Buffers bytes until an event is complete. An event ends with an empty line.
#[derive(Debug, Default)]
pub struct EventReader {
    buffer: Vec<u8>,
}

impl EventReader {
    /// Adds bytes and returns the events that are complete now.
    pub fn push(&mut self, bytes: &Bytes) -> Vec<Event> {
        self.buffer.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\n\n") {
            let event: Vec<u8> = self.buffer.drain(..end + 2).collect();
            events.push(parse_event(&String::from_utf8_lossy(&event)));
        }
        events
    }
}

fn parse_event(text: &str) -> Event {
    let mut event = Event {
        name: "message".to_owned(),
        data: String::new(),
    };
    let mut data = Vec::new();
    for line in text.lines() {
        if let Some(name) = line.strip_prefix("event:") {
            event.name = name.trim().to_owned();
        } else if let Some(value) = line.strip_prefix("data:") {
            data.push(value.strip_prefix(' ').unwrap_or(value));
        }
    }
    event.data = data.join("\n");
    event
}
