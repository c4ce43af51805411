//! Reads answers of completions and checks every piece against what the engine must have said.

use super::outcome::{Attempt, Got};
use async_std::io::{BufRead, BufReadExt};
use serde_json::Value;
use standins::engine::{piece, text_seed};
use std::time::{Duration, Instant};

/// What the answer must be.
#[derive(Debug, Clone, Copy)]
pub struct Expected<'a> {
    /// Weights that may have served it.
    pub weights: &'a str,
    /// The rendered prompt.
    pub prompt: &'a str,
    /// Tokens wanted.
    pub tokens: u64,
    /// The router's id of the request.
    pub request: Option<&'a str>,
    /// When the call was due.
    pub due: Instant,
}

/// Reads a stream to its end.
pub async fn read_stream(expected: Expected<'_>, mut body: impl BufRead + Unpin) -> (Attempt, Option<Got>) {
    let mut state = StreamState::new(expected);
    let mut line = String::new();
    loop {
        line.clear();
        match body.read_line(&mut line).await {
            Ok(0) => break,
            Ok(_) => (),
            Err(_) => return (Attempt::Broken, None),
        }
        if let Err(attempt) = state.line(line.trim_end()) {
            return (attempt, None);
        }
    }
    state.end()
}

/// Checks a JSON answer.
pub fn read_whole(expected: Expected<'_>, body: &[u8]) -> (Attempt, Option<Got>) {
    let Ok(answer) = serde_json::from_slice::<Value>(body) else {
        return (Attempt::Wrong("not JSON".to_owned()), None);
    };
    let seed = text_seed(expected.weights, expected.prompt);
    let text: String = (0..expected.tokens).map(|number| piece(seed, number)).collect();
    let choice = &answer["choices"][0];
    let got = choice["text"].as_str().or(choice["message"]["content"].as_str());
    if got != Some(&text) {
        return (Attempt::Wrong("other text".to_owned()), None);
    }
    if answer["id"].as_str() != expected.request {
        return (Attempt::Wrong("another request's id".to_owned()), None);
    }
    (Attempt::Whole, usage(&answer, expected.due.elapsed()))
}

struct StreamState<'a> {
    expected: Expected<'a>,
    seed: u64,
    next: u64,
    first: Option<Duration>,
    usage: Option<Value>,
    done: bool,
    error: Option<Attempt>,
}

impl<'a> StreamState<'a> {
    fn new(expected: Expected<'a>) -> Self {
        let seed = text_seed(expected.weights, expected.prompt);
        Self {
            expected,
            seed,
            next: 0,
            first: None,
            usage: None,
            done: false,
            error: None,
        }
    }

    fn line(&mut self, line: &str) -> Result<(), Attempt> {
        let Some(data) = line.strip_prefix("data: ") else {
            return Ok(());
        };
        if data == "[DONE]" {
            self.done = true;
            return Ok(());
        }
        let Ok(event) = serde_json::from_str::<Value>(data) else {
            return Err(Attempt::Wrong("not JSON in a stream".to_owned()));
        };
        if event.get("error").is_some() {
            self.error = Some(refusal(&event));
            return Ok(());
        }
        self.piece(&event)
    }

    fn piece(&mut self, event: &Value) -> Result<(), Attempt> {
        let choice = &event["choices"][0];
        let text = choice["text"]
            .as_str()
            .or(choice["delta"]["content"].as_str())
            .unwrap_or_default();
        if event.get("usage").is_some() {
            self.usage = Some(event.clone());
        }
        if event["id"].as_str() != self.expected.request {
            return Err(Attempt::Wrong("another request's id in a stream".to_owned()));
        }
        if text.is_empty() {
            return Ok(());
        }
        self.first.get_or_insert_with(|| self.expected.due.elapsed());
        if self.done || text != piece(self.seed, self.next) {
            return Err(Attempt::Wrong(format!("piece {} of a stream", self.next)));
        }
        self.next += 1;
        Ok(())
    }

    fn end(self) -> (Attempt, Option<Got>) {
        if let Some(attempt) = self.error {
            return (attempt, None);
        }
        if !self.done {
            return (Attempt::Wrong("a stream that ends without [DONE]".to_owned()), None);
        }
        if self.next != self.expected.tokens {
            return (
                Attempt::Wrong(format!("{} of {} pieces", self.next, self.expected.tokens)),
                None,
            );
        }
        let got = self
            .usage
            .and_then(|event| usage(&event, self.first.unwrap_or_default()));
        (Attempt::Whole, got)
    }
}

fn usage(answer: &Value, first: Duration) -> Option<Got> {
    let usage = &answer["usage"];
    Some(Got {
        prompt_tokens: usage["prompt_tokens"].as_u64()?,
        cached_tokens: usage["prompt_tokens_details"]["cached_tokens"].as_u64()?,
        first,
    })
}

/// A refusal's body as an attempt.
pub fn refusal(body: &Value) -> Attempt {
    let code = body["error"]["code"].as_str().unwrap_or("without code").to_owned();
    match body["error"]["ran"].as_str() {
        Some("not_run") => Attempt::NotRun(code),
        Some("unknown") => Attempt::Unknown(code),
        _ => Attempt::Wrong(format!("refusal {code} without ran")),
    }
}
