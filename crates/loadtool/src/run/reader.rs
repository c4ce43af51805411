//! Reads the answers of completions and compares every piece with the expected text.

use super::outcome::{Attempt, CompletionUsage};
use async_std::io::{BufRead, BufReadExt};
use serde_json::Value;
use standins::engine::{piece, text_seed};
use std::time::{Duration, Instant};

/// The expected answer.
#[derive(Debug, Clone, Copy)]
pub struct Expected<'a> {
    /// The weights of the model.
    pub weights: &'a str,
    /// The rendered prompt.
    pub prompt: &'a str,
    /// The number of tokens.
    pub tokens: u64,
    /// The request id assigned by the router.
    pub request: Option<&'a str>,
    /// When the call was due.
    pub due: Instant,
}

/// Reads a stream to its end and checks it.
pub async fn read_stream(expected: Expected<'_>, mut body: impl BufRead + Unpin) -> (Attempt, Option<CompletionUsage>) {
    let mut state = StreamState::new(expected);
    let mut line = String::new();
    loop {
        line.clear();
        match body.read_line(&mut line).await {
            Ok(0) => break,
            Ok(_) => (),
            Err(_) => return (Attempt::Broken, None),
        }
        if let Err(attempt) = state.handle_line(line.trim_end()) {
            return (attempt, None);
        }
    }
    state.finish()
}

/// Checks a JSON answer.
pub fn read_complete(expected: Expected<'_>, body: &[u8]) -> (Attempt, Option<CompletionUsage>) {
    let Ok(answer) = serde_json::from_slice::<Value>(body) else {
        return (Attempt::Wrong("not JSON".to_owned()), None);
    };
    let seed = text_seed(expected.weights, expected.prompt);
    let text: String = (0..expected.tokens).map(|number| piece(seed, number)).collect();
    let choice = &answer["choices"][0];
    let received = choice["text"].as_str().or(choice["message"]["content"].as_str());
    if received != Some(&text) {
        return (Attempt::Wrong("other text".to_owned()), None);
    }
    if answer["id"].as_str() != expected.request {
        return (Attempt::Wrong("another request's id".to_owned()), None);
    }
    (Attempt::Complete, parse_usage(&answer, expected.due.elapsed()))
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

    fn handle_line(&mut self, line: &str) -> Result<(), Attempt> {
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
            self.error = Some(parse_refusal(&event));
            return Ok(());
        }
        self.check_piece(&event)
    }

    fn check_piece(&mut self, event: &Value) -> Result<(), Attempt> {
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

    fn finish(self) -> (Attempt, Option<CompletionUsage>) {
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
        let usage = self
            .usage
            .and_then(|event| parse_usage(&event, self.first.unwrap_or_default()));
        (Attempt::Complete, usage)
    }
}

fn parse_usage(answer: &Value, first: Duration) -> Option<CompletionUsage> {
    let usage = &answer["usage"];
    Some(CompletionUsage {
        prompt_tokens: usage["prompt_tokens"].as_u64()?,
        cached_tokens: usage["prompt_tokens_details"]["cached_tokens"].as_u64()?,
        first,
    })
}

/// Converts the body of a refusal to an attempt.
pub fn parse_refusal(body: &Value) -> Attempt {
    let code = body["error"]["code"].as_str().unwrap_or("without code").to_owned();
    match body["error"]["ran"].as_str() {
        Some("not_run") => Attempt::NotRun(code),
        Some("unknown") => Attempt::Unknown(code),
        _ => Attempt::Wrong(format!("refusal {code} without ran")),
    }
}
