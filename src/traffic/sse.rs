//! Server-sent events: parses the events of engines and encodes events for callers.

use bytes::{Bytes, BytesMut};

/// A server-sent event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Name of the event; `message` if the stream gives none.
    pub name: String,
    /// Data lines of the event, joined by line feeds.
    pub data: String,
}

/// Splits a byte stream into blocks that end with an empty line.
#[derive(Debug, Default)]
pub struct BlockReader {
    buffer: BytesMut,
    /// Start of the first line that may be the empty one at the end of the block.
    line_start: usize,
    /// Position up to which the buffer was searched, so that each byte is searched once.
    searched_to: usize,
}

impl BlockReader {
    /// Appends bytes in the order in which they arrived.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the number of buffered bytes whose block is not complete.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Removes and returns the next complete block, including its empty line. Returns `None`
    /// if more bytes are needed.
    pub fn next_block(&mut self) -> Option<Bytes> {
        let end = self.find_block_end()?;
        (self.line_start, self.searched_to) = (0, 0);
        Some(self.buffer.split_to(end).freeze())
    }

    /// Returns the position after the empty line that ends the first block.
    fn find_block_end(&mut self) -> Option<usize> {
        while let Some(length) = self.buffer[self.searched_to..]
            .iter()
            .position(|byte| *byte == b'\n')
        {
            let line_end = self.searched_to + length;
            let line = &self.buffer[self.line_start..line_end];
            let is_empty = line.is_empty() || line == b"\r";
            (self.line_start, self.searched_to) = (line_end + 1, line_end + 1);
            if is_empty {
                return Some(line_end + 1);
            }
        }
        self.searched_to = self.buffer.len();
        None
    }
}

/// Returns the event id of a block, if it is a number.
pub fn event_number(block: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(block).ok()?;
    let id = text.lines().find_map(|line| line.strip_prefix("id:"))?;
    id.trim().parse().ok()
}

/// Parses a byte stream into events.
#[derive(Debug, Default)]
pub struct EventParser {
    blocks: BlockReader,
}

impl EventParser {
    /// Appends bytes in the order in which they arrived.
    pub fn push(&mut self, bytes: &[u8]) {
        self.blocks.push(bytes);
    }

    /// Returns the number of buffered bytes whose event is not complete.
    pub fn buffered_bytes(&self) -> usize {
        self.blocks.buffered_bytes()
    }

    /// Removes and returns the next complete event. Returns `None` if more bytes are needed.
    pub fn next_event(&mut self) -> Option<Event> {
        loop {
            let block = self.blocks.next_block()?;
            // Blocks without a name or data, such as comments, are skipped.
            if let Some(event) = parse_block(&String::from_utf8_lossy(&block)) {
                return Some(event);
            }
        }
    }
}

fn parse_block(block: &str) -> Option<Event> {
    let mut name = None;
    let mut data: Option<String> = None;
    for line in block.lines() {
        let (field, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match (field, &mut data) {
            ("event", _) => name = Some(value.to_owned()),
            ("data", Some(data)) => {
                data.push('\n');
                data.push_str(value);
            }
            ("data", None) => data = Some(value.to_owned()),
            _ => {}
        }
    }
    if name.is_none() && data.is_none() {
        return None;
    }
    Some(Event {
        name: name.unwrap_or_else(|| "message".to_owned()),
        data: data.unwrap_or_default(),
    })
}

/// Encodes an event whose data is a JSON document.
pub fn encode_event(name: &str, json: &str) -> Bytes {
    let mut text = format!("event: {name}\n");
    // A bare carriage return ends a line in an event stream but is white space in JSON, so
    // the document is split there as well.
    for line in json.split(['\n', '\r']) {
        text.push_str("data: ");
        text.push_str(line);
        text.push('\n');
    }
    text.push('\n');
    Bytes::from(text)
}
