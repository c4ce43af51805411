//! One caller's call: sent when it is due, tried again as a careful client would.
//!
//! A call that may not be repeated is tried again only with its key, or if the answer says that nothing ran.

use super::balancer::Balancer;
use super::outcome::{Attempt, Got, Outcome};
use super::reader::{Expected, read_stream, read_whole, refusal};
use crate::scenario::Scenario;
use crate::site;
use crate::workload::{Arrival, Kind, Prompt, Prompts};
use async_std::{future, task};
use http_types::{Method, Request, Response};
use serde_json::{Value, json};
use standins::http::{Client, ClientError};
use std::io::ErrorKind;
use std::sync::Arc;
use std::time::{Duration, Instant};
use wire::headers;

const MOST_ATTEMPTS: usize = 4;
const PAUSE: Duration = Duration::from_millis(200);
/// What callers state, and how much longer the tool waits before it calls an attempt silent.
const DEADLINE: Duration = Duration::from_secs(10);
const GRACE: Duration = Duration::from_secs(5);

/// What all callers share.
#[derive(Debug)]
pub struct Callers {
    /// The scenario.
    pub scenario: Scenario,
    /// The prompts.
    pub prompts: Prompts,
    /// The routers.
    pub balancer: Balancer,
    /// Distinguishes the keys of several runs.
    pub run: String,
}

/// A call with all that each attempt needs.
struct Call<'a> {
    callers: &'a Callers,
    arrival: &'a Arrival,
    prompt: Option<Prompt>,
    key: Option<String>,
    due: Instant,
}

struct Result {
    attempt: Attempt,
    request: Option<String>,
    got: Option<Got>,
}

/// Makes the call and all its attempts.
pub async fn call(callers: Arc<Callers>, arrival: Arrival, due: Instant) -> Outcome {
    let call = Call::new(&callers, &arrival, due);
    let mut attempts = Vec::new();
    let mut got = None;
    while attempts.len() < MOST_ATTEMPTS {
        if !attempts.is_empty() {
            task::sleep(PAUSE).await;
        }
        let result = call.attempt().await;
        got = result.got;
        let again = call.again(&result.attempt);
        attempts.push((result.attempt, result.request));
        if !again {
            break;
        }
    }
    Outcome {
        number: arrival.number,
        key: call.key.clone(),
        service: !matches!(arrival.kind, Kind::Completion { .. }),
        single: matches!(arrival.kind, Kind::Single { .. }),
        attempts,
        got,
        took: due.elapsed(),
    }
}

impl<'a> Call<'a> {
    fn new(callers: &'a Callers, arrival: &'a Arrival, due: Instant) -> Self {
        let prompt = match arrival.kind {
            Kind::Completion { task, chat, .. } => {
                Some(callers.prompts.prompt(arrival.workspace, task, arrival.number, chat))
            }
            _ => None,
        };
        let key = match arrival.kind {
            Kind::Single { keyed: true } => Some(format!("{}-{}", callers.run, arrival.number)),
            _ => None,
        };
        Self {
            callers,
            arrival,
            prompt,
            key,
            due,
        }
    }

    /// Whether a careful client would try again.
    fn again(&self, attempt: &Attempt) -> bool {
        match attempt {
            Attempt::Whole | Attempt::Wrong(_) => false,
            Attempt::NotRun(_) | Attempt::NotSent => true,
            Attempt::Unknown(_) | Attempt::Broken | Attempt::Silent => {
                self.key.is_some() || !matches!(self.arrival.kind, Kind::Single { .. })
            }
        }
    }

    async fn attempt(&self) -> Result {
        let router = self.callers.balancer.next();
        let mut client = match self.arrival.kind {
            // A kept connection may be closed just as the call is sent, which would leave its outcome unknown.
            Kind::Single { keyed: false } => Client::new(router),
            _ => self.callers.balancer.client(router),
        };
        let sent = future::timeout(DEADLINE + GRACE, self.send(&mut client)).await;
        let Ok(result) = sent else {
            return Result {
                attempt: Attempt::Silent,
                request: None,
                got: None,
            };
        };
        if result.attempt == Attempt::Whole {
            self.callers.balancer.keep(router, client);
        }
        result
    }

    async fn send(&self, client: &mut Client) -> Result {
        let opened = match self.request(client) {
            Ok(request) => client.open(request).await,
            Err(err) => Err(err),
        };
        let (head, body) = match opened {
            Ok(opened) => opened,
            Err(ClientError::Io(err)) if err.kind() == ErrorKind::ConnectionRefused => {
                return Result {
                    attempt: Attempt::NotSent,
                    request: None,
                    got: None,
                };
            }
            Err(_) => {
                return Result {
                    attempt: Attempt::Broken,
                    request: None,
                    got: None,
                };
            }
        };
        let request = head
            .header(headers::REQUEST_ID)
            .map(|values| values.last().as_str().to_owned());
        let (attempt, got) = self.read(&head, body, request.as_deref()).await;
        Result { attempt, request, got }
    }

    fn request(&self, client: &Client) -> std::result::Result<Request, ClientError> {
        let service = &self.callers.scenario.service;
        let (path, body) = match (&self.arrival.kind, &self.prompt) {
            (Kind::Completion { streamed, chat, .. }, Some(prompt)) => self.completion(prompt, *streamed, *chat),
            (Kind::Single { .. }, _) => (format!("/services/{}{}", service.name, service.single), self.body()),
            _ => (format!("/services/{}{}", service.name, service.idempotent), self.body()),
        };
        let mut request = client.request(Method::Post, &path)?;
        request.insert_header("authorization", format!("Bearer {}", site::key(self.arrival.workspace)));
        request.insert_header(headers::DEADLINE_MS, DEADLINE.as_millis().to_string());
        if let Some(prompt) = &self.prompt {
            let levels = prompt.levels.map(|end| end.to_string()).join(",");
            request.insert_header(headers::PREFIX_LEVELS, levels);
        }
        if let Some(key) = &self.key {
            request.insert_header(headers::IDEMPOTENCY_KEY, key);
        }
        request.set_body(body);
        request.insert_header("content-type", "application/json");
        Ok(request)
    }

    fn body(&self) -> String {
        json!({"call": self.arrival.number}).to_string()
    }

    fn completion(&self, prompt: &Prompt, streamed: bool, chat: bool) -> (String, String) {
        let scenario = &self.callers.scenario;
        let mut body = json!({
            "model": scenario.engines.model, "max_tokens": scenario.prompts.max_tokens, "stream": streamed,
        });
        if chat {
            body["messages"] = json!([
                {"role": "system", "content": prompt.shared}, {"role": "user", "content": prompt.question},
            ]);
            return ("/v1/chat/completions".to_owned(), body.to_string());
        }
        body["prompt"] = Value::String(prompt.rendered.clone());
        ("/v1/completions".to_owned(), body.to_string())
    }

    async fn read(
        &self,
        head: &Response,
        mut body: async_std::io::BufReader<http_types::Body>,
        request: Option<&str>,
    ) -> (Attempt, Option<Got>) {
        use async_std::io::ReadExt;
        if let (Kind::Completion { streamed: true, .. }, Some(prompt), true) =
            (&self.arrival.kind, &self.prompt, head.status().is_success())
        {
            return read_stream(self.expected(prompt, request), body).await;
        }
        let mut bytes = Vec::new();
        if body.read_to_end(&mut bytes).await.is_err() || head.len().is_some_and(|length| length != bytes.len()) {
            return (Attempt::Broken, None);
        }
        if !head.status().is_success() {
            let parsed = serde_json::from_slice(&bytes).unwrap_or(Value::Null);
            return (refusal(&parsed), None);
        }
        match &self.prompt {
            Some(prompt) => read_whole(self.expected(prompt, request), &bytes),
            None => (self.service_answer(&bytes), None),
        }
    }

    fn expected<'e>(&self, prompt: &'e Prompt, request: Option<&'e str>) -> Expected<'e> {
        let tokens = u64::from(self.callers.scenario.prompts.max_tokens);
        Expected {
            weights: site::WEIGHTS,
            prompt: &prompt.rendered,
            tokens,
            request,
            due: self.due,
        }
    }

    /// The runner echoes body and key: another call's answer is known by them.
    fn service_answer(&self, bytes: &[u8]) -> Attempt {
        let Ok(done) = serde_json::from_slice::<wire::service::Done>(bytes) else {
            return Attempt::Wrong("not the runner's answer".to_owned());
        };
        if done.echo != self.body() || done.key != self.key {
            return Attempt::Wrong(format!("the answer of {}", done.echo));
        }
        Attempt::Whole
    }
}
