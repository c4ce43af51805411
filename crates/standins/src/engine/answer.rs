//! The text of answers and the JSON it is wrapped in.

use ids::Digest;
use serde_json::{Value, json};
use std::fmt::Write;

/// The two forms of the completions interface.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Form {
    /// `/v1/completions`.
    Text,
    /// `/v1/chat/completions`.
    Chat,
}

/// What stays the same over one answer.
#[derive(Debug, Clone)]
pub struct Shape {
    /// Which form.
    pub form: Form,
    /// The id the answer bears.
    pub id: String,
    /// The model.
    pub model: String,
    /// Prompt tokens, generated tokens, cached prompt tokens.
    pub tokens: (u64, u64, u64),
}

const SHORTEST: u64 = 3;
const LENGTHS: u64 = 5;

/// What the text of an answer depends on, apart from the piece's number.
pub fn text_seed(weights: &str, prompt: &str) -> u64 {
    Digest::of([weights, prompt].join("\n").as_bytes()).prefix()
}

/// Piece `number` of the answer: 3 to 7 letters and a space.
pub fn piece(seed: u64, number: u64) -> String {
    let mut bits = Digest::of(&[seed.to_le_bytes(), number.to_le_bytes()].concat()).prefix();
    let mut text = String::with_capacity(8);
    for _ in 0..SHORTEST + bits % LENGTHS {
        bits = bits.rotate_right(5);
        text.push(char::from(b'a' + (bits % 26) as u8));
    }
    text.push(' ');
    text
}

impl Shape {
    /// The whole answer as one JSON body.
    pub fn whole(&self, text: &str) -> Vec<u8> {
        let choice = match self.form {
            Form::Text => json!({"index": 0, "text": text, "finish_reason": "length"}),
            Form::Chat => {
                json!({"index": 0, "message": {"role": "assistant", "content": text}, "finish_reason": "length"})
            }
        };
        let object = match self.form {
            Form::Text => "text_completion",
            Form::Chat => "chat.completion",
        };
        let whole = json!({
            "id": self.id, "object": object, "model": self.model, "choices": [choice], "usage": self.usage(),
        });
        whole.to_string().into_bytes()
    }

    /// One numbered event; the last one bears the usage.
    pub fn event(&self, number: u64, text: &str, last: bool) -> Vec<u8> {
        let finish = if last { json!("length") } else { Value::Null };
        let choice = match self.form {
            Form::Text => json!({"index": 0, "text": text, "finish_reason": finish}),
            Form::Chat => json!({"index": 0, "delta": {"content": text}, "finish_reason": finish}),
        };
        let object = match self.form {
            Form::Text => "text_completion",
            Form::Chat => "chat.completion.chunk",
        };
        let mut data = json!({"id": self.id, "object": object, "model": self.model, "choices": [choice]});
        if last {
            data["usage"] = self.usage();
        }
        let mut event = String::with_capacity(200);
        write!(event, "id: {number}\ndata: {data}\n\n").expect("writes to memory");
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

/// The end of a stream.
pub const DONE: &[u8] = b"data: [DONE]\n\n";
