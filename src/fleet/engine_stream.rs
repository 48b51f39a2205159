//! Reads the events of one engine's answer, each as a whole.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::BodyExt;

use crate::fleet::endpoint_client::{AnswerBody, has_ended};
use crate::fleet::model::Endpoint;
use crate::traffic::sse::{BlockReader, event_number};

/// Maximum size of an event that is accepted from an engine, on the wire. The first one may be as
/// large as an answer that is read as a whole.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// An open stream of an engine.
pub struct EngineStream {
    /// The engine.
    pub endpoint: Arc<Endpoint>,
    has_events: bool,
    body: AnswerBody,
    blocks: BlockReader,
}

/// Outcome of reading the next event from an engine.
pub enum ReadOutcome {
    /// The number of the next event, and the event as a whole.
    Event(u64, Bytes),
    /// The stream has ended without an error.
    Complete,
    /// The stream broke off for the given reason.
    Broken(String),
}

impl EngineStream {
    /// Creates the stream of an answer whose head was read.
    pub fn new(endpoint: Arc<Endpoint>, body: AnswerBody) -> Self {
        Self {
            endpoint,
            has_events: false,
            body,
            blocks: BlockReader::default(),
        }
    }

    /// Reads the event after `last_event`. Earlier ones are skipped; a gap in the numbers breaks the
    /// stream.
    pub async fn next_event(&mut self, last_event: Option<u64>) -> ReadOutcome {
        loop {
            if let Some(block) = self.blocks.next_block() {
                // Each event has a number, so this is no event.
                let Some(number) = event_number(&block) else {
                    return ReadOutcome::Broken("a block is no event".to_owned());
                };
                match last_event {
                    Some(last) if number <= last => continue,
                    Some(last) if number > last + 1 => {
                        return ReadOutcome::Broken(format!("event {number} follows {last}"));
                    }
                    _ => {}
                }
                self.has_events = true;
                self.body.allow(MAX_EVENT_BYTES);
                return ReadOutcome::Event(number, block);
            }
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.blocks.push(&data);
                    }
                }
                Some(Err(error)) => {
                    return ReadOutcome::Broken(format!("the stream broke off: {error}"));
                }
                None if self.blocks.buffered_bytes() > 0 => {
                    return ReadOutcome::Broken("the stream ended within an event".to_owned());
                }
                None => return self.check_end().await,
            }
        }
    }

    /// Tells the end of a stream from that of its engine. Without length or chunks, a stream that an
    /// engine breaks off as its process ends looks complete.
    async fn check_end(&self) -> ReadOutcome {
        if self.body.is_framed() {
            return ReadOutcome::Complete;
        }
        if !self.has_events {
            return ReadOutcome::Broken("the stream ended without an event".to_owned());
        }
        match has_ended(self.endpoint.address).await {
            true => ReadOutcome::Broken("the stream ended with its engine".to_owned()),
            false => ReadOutcome::Complete,
        }
    }
}
