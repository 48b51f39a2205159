//! Decodes the headers of callers' requests.

use std::time::Duration;

use hyper::HeaderMap;
use smallvec::SmallVec;

use crate::decisions::generation_times::ExpectedTokens;
use crate::units::PartId;

/// Header with the key of the items of a request.
const STAGE_KEY: &str = "piece-key";

/// One part of a prompt, which requests may have in common.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Id of the part; parts with equal ids have equal text.
    pub id: PartId,
    /// Length of the part in tokens.
    pub tokens: u32,
}

/// Values that a caller sends in the headers of its request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CallerRequest {
    /// Id of the request; each attempt of a caller has its own.
    pub id: String,
    /// Time for which the caller waits for an answer; `None` when the header is missing or
    /// not a number.
    pub deadline: Option<Duration>,
    /// API key of the caller's organisation.
    pub api_key: Option<String>,
    /// Parts of the prompt, in order.
    pub prompt_parts: SmallVec<[PromptPart; 4]>,
    /// Length of the prompt in tokens; 0 when the header is missing or malformed.
    pub prompt_tokens: u32,
    /// Maximum number of tokens to generate; 0 when the header is missing or malformed.
    pub output_tokens: u32,
    /// The caller's estimate of the number of tokens to generate.
    pub length_hint: Option<u32>,
    /// Number of the last stream event that the caller already has.
    pub last_event: Option<u64>,
    /// Number of items of each stage, by the stage's number.
    pub stage_item_counts: SmallVec<[u32; 4]>,
    /// Key that is sent with items of stages without predecessors, in place of inputs.
    pub stage_key: Option<String>,
    /// Whether the caller has sent such a key that is no text, so that no item can be sent with it.
    pub is_stage_key_unreadable: bool,
}

impl CallerRequest {
    /// Returns the number of tokens that the answer is expected to have.
    pub fn expected_tokens(&self) -> ExpectedTokens {
        match self.length_hint {
            Some(hint) if self.output_tokens > 0 => {
                ExpectedTokens::Hint(hint.min(self.output_tokens))
            }
            Some(hint) => ExpectedTokens::Hint(hint),
            None => ExpectedTokens::Max(self.output_tokens),
        }
    }

    /// Returns the tokens of the prompt that no other request has, which an engine reads even if it has all
    /// other parts cached.
    pub fn unshared_prompt_tokens(&self) -> u32 {
        let shared = self.prompt_parts.split_last().map(|(_, shared)| shared);
        let shared = shared.unwrap_or_default().iter().map(|part| part.tokens);
        self.prompt_tokens
            .saturating_sub(shared.fold(0, u32::saturating_add))
    }

    /// Returns the parts of the prompt that other requests may have too: all but the last one.
    pub fn shared_parts(&self) -> impl Iterator<Item = PartId> {
        let parts = self.prompt_parts.as_slice();
        let shared = parts.split_last().map_or(parts, |(_, shared)| shared);
        shared.iter().map(|part| part.id)
    }
}

/// Decodes the headers of a caller's request.
pub fn decode_caller(headers: &HeaderMap) -> CallerRequest {
    // Ids and keys may go beyond ASCII, which `to_str` refuses.
    let text = |name: &str| {
        let value = headers.get(name)?;
        std::str::from_utf8(value.as_bytes()).ok()
    };
    let (prompt_tokens, output_tokens) = text("token-usage")
        .and_then(|usage| usage.split_once(','))
        .map_or((0, 0), |(prompt, output)| {
            (parse_or_zero(prompt), parse_or_zero(output))
        });
    let prompt_parts = text("prefix-hash").map(decode_prompt).unwrap_or_default();
    let stage_item_counts = text("pieces")
        .map(|items| items.split(',').map(parse_or_zero).collect())
        .unwrap_or_default();
    CallerRequest {
        id: text("request-id").unwrap_or_default().to_owned(),
        deadline: text("deadline-ms")
            .and_then(|value| value.trim().parse().ok())
            .map(Duration::from_millis),
        api_key: text("authorization")
            .and_then(|value| value.strip_prefix("Token "))
            .map(|key| key.trim_ascii().to_owned()),
        prompt_parts,
        prompt_tokens,
        output_tokens,
        length_hint: text("length-hint").and_then(|value| value.trim().parse().ok()),
        last_event: text("last-event-id").and_then(|value| value.trim().parse().ok()),
        stage_item_counts,
        stage_key: text(STAGE_KEY).map(str::to_owned),
        is_stage_key_unreadable: headers.contains_key(STAGE_KEY) && text(STAGE_KEY).is_none(),
    }
}

/// Decodes pairs of a hexadecimal id and a length in tokens; malformed pairs are left out.
fn decode_prompt(header: &str) -> SmallVec<[PromptPart; 4]> {
    header
        .split(',')
        .filter_map(|part| {
            let (id, tokens) = part.trim().split_once(':')?;
            Some(PromptPart {
                id: id.parse().ok()?,
                tokens: tokens.parse().ok()?,
            })
        })
        .collect()
}

/// Parses a number; a malformed one counts as 0.
fn parse_or_zero(text: &str) -> u32 {
    text.trim().parse().unwrap_or(0)
}
