//! Passes tokens of an engine on to the caller, so that a replay adds nothing twice.
//!
//! When an engine breaks in the middle, another one starts from the beginning. What the
//! caller already has is skipped if the replay repeats it byte by byte; a replay that
//! differs ends the request (P1, P6).

use tokio::sync::mpsc;

use crate::traffic::run::CallerMessage;

/// The replay differs from what the caller already has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Diverged;

/// Text of one stage, over all its attempts.
#[derive(Debug)]
pub struct TokenRelay {
    caller: Option<mpsc::Sender<CallerMessage>>,
    sent: String,
    text: String,
}

impl TokenRelay {
    /// Starts a stage. Without a caller to stream to, each attempt starts from nothing.
    pub fn new(caller: Option<mpsc::Sender<CallerMessage>>) -> Self {
        Self {
            caller,
            sent: String::new(),
            text: String::new(),
        }
    }

    /// Begins an attempt.
    pub fn begin_attempt(&mut self) {
        self.text.clear();
    }

    /// Takes the next text of the current attempt.
    ///
    /// # Errors
    ///
    /// Returns [`Diverged`] when it contradicts what the caller has.
    pub async fn push(&mut self, text: &str) -> Result<(), Diverged> {
        let start = self.text.len();
        self.text.push_str(text);
        let Some(caller) = &self.caller else {
            return Ok(());
        };
        let known = self.sent.as_bytes().get(start..).unwrap_or_default();
        let repeated = known.len().min(text.len());
        if known[..repeated] != text.as_bytes()[..repeated] {
            return Err(Diverged);
        }
        let fresh = &text[repeated..];
        if !fresh.is_empty() {
            self.sent.push_str(fresh);
            // A caller that went away ends the request elsewhere.
            let _ = caller.send(CallerMessage::Token(fresh.to_owned())).await;
        }
        Ok(())
    }

    /// Returns the length of the current attempt's text.
    pub fn text_bytes(&self) -> usize {
        self.text.len()
    }

    /// Ends the attempt and returns its text.
    ///
    /// # Errors
    ///
    /// Returns [`Diverged`] when the attempt ended before it repeated all that the caller
    /// has.
    pub fn finish_attempt(&self) -> Result<&str, Diverged> {
        if self.text.len() < self.sent.len() {
            return Err(Diverged);
        }
        Ok(&self.text)
    }
}
