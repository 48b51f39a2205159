//! Passes an engine's tokens on to the caller and sends no text twice when a retry replays it.
//!
//! When an engine fails in mid-stream, another one starts from the beginning. Text that the
//! caller already has is skipped if the replay repeats it byte by byte; a replay that
//! differs ends the request (P1, P6).

use tokio::sync::mpsc;

use crate::traffic::run::CallerMessage;

/// A replayed stream differs from the text that the caller already has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReplayDiverged;

/// Streamed text of one stage across its attempts.
#[derive(Debug)]
pub struct TokenRelay {
    caller: Option<mpsc::Sender<CallerMessage>>,
    /// Text sent to the caller, over all attempts.
    sent: String,
    /// Text received in the current attempt.
    attempt_text: String,
}

impl TokenRelay {
    /// Starts a stage. Without a caller to stream to, the text of an earlier attempt does not
    /// restrict the next attempt's text.
    pub fn new(caller: Option<mpsc::Sender<CallerMessage>>) -> Self {
        Self {
            caller,
            sent: String::new(),
            attempt_text: String::new(),
        }
    }

    /// Begins an attempt with an empty text.
    pub fn begin_attempt(&mut self) {
        self.attempt_text.clear();
    }

    /// Adds text to the current attempt and sends the caller the part that it lacks.
    ///
    /// # Errors
    ///
    /// Returns [`ReplayDiverged`] if the text differs from what the caller already has.
    pub async fn push(&mut self, text: &str) -> Result<(), ReplayDiverged> {
        let start = self.attempt_text.len();
        self.attempt_text.push_str(text);
        let Some(caller) = &self.caller else {
            return Ok(());
        };
        let already_sent = self.sent.as_bytes().get(start..).unwrap_or_default();
        let replayed_bytes = already_sent.len().min(text.len());
        if already_sent[..replayed_bytes] != text.as_bytes()[..replayed_bytes] {
            return Err(ReplayDiverged);
        }
        let new_text = &text[replayed_bytes..];
        if !new_text.is_empty() {
            self.sent.push_str(new_text);
            // The send fails when the caller is gone. The task that runs the request watches
            // for that and interrupts the request.
            let _ = caller.send(CallerMessage::Token(new_text.to_owned())).await;
        }
        Ok(())
    }

    /// Returns the length of the current attempt's text in bytes.
    pub fn text_bytes(&self) -> usize {
        self.attempt_text.len()
    }

    /// Ends the attempt and returns its text.
    ///
    /// # Errors
    ///
    /// Returns [`ReplayDiverged`] if the attempt ended before it repeated all the text that the
    /// caller already has.
    pub fn finish_attempt(&self) -> Result<&str, ReplayDiverged> {
        if self.attempt_text.len() < self.sent.len() {
            return Err(ReplayDiverged);
        }
        Ok(&self.attempt_text)
    }
}
