//! Decodes what a caller sends in headers.

use std::time::Duration;

use hyper::HeaderMap;
use smallvec::SmallVec;

/// One part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Its id; equal ids have equal text.
    pub id: u64,
    /// Its length.
    pub tokens: u32,
}

/// What a caller says of its request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CallerRequest {
    /// Its id; each attempt of a caller has its own.
    pub id: String,
    /// How long the caller waits.
    pub deadline: Option<Duration>,
    /// API key of the organisation.
    pub api_key: Option<String>,
    /// Parts of the prompt, in order.
    pub prompt: SmallVec<[PromptPart; 4]>,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Most tokens that are generated.
    pub output_tokens: u32,
    /// Last event that the caller already has.
    pub last_event: Option<u64>,
    /// Items of each stage.
    pub stage_items: SmallVec<[u32; 4]>,
    /// Key that the items without inputs carry.
    pub stage_key: Option<String>,
}

/// Decodes the headers of a caller's request.
pub fn decode_caller(headers: &HeaderMap) -> CallerRequest {
    let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    let (prompt_tokens, output_tokens) = text("token-usage")
        .and_then(|usage| usage.split_once(','))
        .map_or((0, 0), |(prompt, output)| (number(prompt), number(output)));
    let prompt = text("prefix-hash").map(decode_prompt).unwrap_or_default();
    let stage_items = text("pieces")
        .map(|items| items.split(',').map(number).collect())
        .unwrap_or_default();
    CallerRequest {
        id: text("request-id").unwrap_or_default().to_owned(),
        deadline: text("deadline-ms")
            .and_then(|value| value.trim().parse().ok())
            .map(Duration::from_millis),
        api_key: text("authorization")
            .and_then(|value| value.strip_prefix("Token "))
            .map(|key| key.trim().to_owned()),
        prompt,
        prompt_tokens,
        output_tokens,
        last_event: text("last-event-id").and_then(|value| value.trim().parse().ok()),
        stage_items,
        stage_key: text("piece-key").map(str::to_owned),
    }
}

fn decode_prompt(header: &str) -> SmallVec<[PromptPart; 4]> {
    header
        .split(',')
        .filter_map(|part| {
            let (id, tokens) = part.trim().split_once(':')?;
            Some(PromptPart {
                id: u64::from_str_radix(id, 16).ok()?,
                tokens: tokens.parse().ok()?,
            })
        })
        .collect()
}

fn number(text: &str) -> u32 {
    text.trim().parse().unwrap_or(0)
}
