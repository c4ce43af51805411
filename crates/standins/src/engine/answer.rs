//! Generates the text of answers and encodes it as JSON.

use ids::Digest;
use serde_json::{Value, json};
use std::fmt::Write;

/// The two kinds of completions API.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ApiKind {
    /// `/v1/completions`.
    Text,
    /// `/v1/chat/completions`.
    Chat,
}

/// The fields common to all parts of one answer; encodes its body or its events.
#[derive(Debug, Clone)]
pub struct AnswerEncoder {
    /// The API that was called.
    pub api: ApiKind,
    /// The id in the answer.
    pub id: String,
    /// The model name.
    pub model: String,
    /// Prompt tokens, generated tokens, cached prompt tokens.
    pub tokens: (u64, u64, u64),
}

const MIN_PIECE_LETTERS: u64 = 3;
const PIECE_LENGTHS: u64 = 5;

/// The seed of an answer's text, derived from weights and prompt.
pub fn text_seed(weights: &str, prompt: &str) -> u64 {
    Digest::of([weights, prompt].join("\n").as_bytes()).prefix()
}

/// Returns piece `number` of the answer: 3 to 7 letters and a space.
pub fn piece(seed: u64, number: u64) -> String {
    let mut bits = Digest::of(&[seed.to_le_bytes(), number.to_le_bytes()].concat()).prefix();
    let mut text = String::with_capacity(8);
    for _ in 0..MIN_PIECE_LETTERS + bits % PIECE_LENGTHS {
        bits = bits.rotate_right(5);
        text.push(char::from(b'a' + (bits % 26) as u8));
    }
    text.push(' ');
    text
}

impl AnswerEncoder {
    /// Encodes the complete answer as one JSON body.
    pub fn body(&self, text: &str) -> Vec<u8> {
        let choice = match self.api {
            ApiKind::Text => json!({"index": 0, "text": text, "finish_reason": "length"}),
            ApiKind::Chat => {
                json!({"index": 0, "message": {"role": "assistant", "content": text}, "finish_reason": "length"})
            }
        };
        let object = match self.api {
            ApiKind::Text => "text_completion",
            ApiKind::Chat => "chat.completion",
        };
        let body = json!({
            "id": self.id, "object": object, "model": self.model, "choices": [choice], "usage": self.usage(),
        });
        body.to_string().into_bytes()
    }

    /// Encodes one numbered event; the last one contains the usage.
    pub fn event(&self, number: u64, text: &str, last: bool) -> Vec<u8> {
        let finish = if last { json!("length") } else { Value::Null };
        let choice = match self.api {
            ApiKind::Text => json!({"index": 0, "text": text, "finish_reason": finish}),
            ApiKind::Chat => json!({"index": 0, "delta": {"content": text}, "finish_reason": finish}),
        };
        let object = match self.api {
            ApiKind::Text => "text_completion",
            ApiKind::Chat => "chat.completion.chunk",
        };
        let mut data = json!({"id": self.id, "object": object, "model": self.model, "choices": [choice]});
        if last {
            data["usage"] = self.usage();
        }
        let mut event = String::with_capacity(200);
        write!(event, "id: {number}\ndata: {data}\n\n").expect("writing to a string succeeds");
        event.into_bytes()
    }

    fn usage(&self) -> Value {
        let (prompt, generated, cached) = self.tokens;
        json!({
            "prompt_tokens": prompt,
            "completion_tokens": generated,
            "total_tokens": prompt + generated,
            "prompt_tokens_details": {"cached_tokens": cached},
        })
    }
}

/// The event that ends a stream.
pub const DONE: &[u8] = b"data: [DONE]\n\n";
