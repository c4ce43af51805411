//! A client call: sent when it is due and retried when that is safe.
//!
//! An at-most-once call is retried only with its idempotency key, or if the answer states that nothing ran.

use super::balancer::Balancer;
use super::outcome::{Attempt, CompletionUsage, Outcome};
use super::reader::{Expected, parse_refusal, read_complete, read_stream};
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

const MAX_ATTEMPTS: usize = 4;
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// The deadline that clients send. An attempt times out `GRACE` after it.
const DEADLINE: Duration = Duration::from_secs(10);
const GRACE: Duration = Duration::from_secs(5);

/// The state shared by all clients.
#[derive(Debug)]
pub struct ClientContext {
    /// The scenario.
    pub scenario: Scenario,
    /// The prompts.
    pub prompts: Prompts,
    /// The routers.
    pub balancer: Balancer,
    /// Distinguishes the keys of several runs.
    pub run: String,
}

/// A call with the data that each attempt needs.
struct Call<'a> {
    context: &'a ClientContext,
    arrival: &'a Arrival,
    prompt: Option<Prompt>,
    key: Option<String>,
    due: Instant,
}

struct AttemptResult {
    attempt: Attempt,
    request: Option<String>,
    usage: Option<CompletionUsage>,
}

/// Makes the call with all its attempts.
pub async fn call(context: Arc<ClientContext>, arrival: Arrival, due: Instant) -> Outcome {
    let call = Call::new(&context, &arrival, due);
    let mut attempts = Vec::new();
    let mut usage = None;
    while attempts.len() < MAX_ATTEMPTS {
        if !attempts.is_empty() {
            task::sleep(RETRY_DELAY).await;
        }
        let result = call.attempt().await;
        usage = result.usage;
        let should_retry = call.should_retry(&result.attempt);
        attempts.push((result.attempt, result.request));
        if !should_retry {
            break;
        }
    }
    Outcome {
        number: arrival.number,
        key: call.key.clone(),
        service: !matches!(arrival.kind, Kind::Completion { .. }),
        single: matches!(arrival.kind, Kind::Single { .. }),
        attempts,
        usage,
        duration: due.elapsed(),
    }
}

impl<'a> Call<'a> {
    fn new(context: &'a ClientContext, arrival: &'a Arrival, due: Instant) -> Self {
        let prompt = match arrival.kind {
            Kind::Completion { task, chat, .. } => {
                Some(context.prompts.prompt(arrival.workspace, task, arrival.number, chat))
            }
            _ => None,
        };
        let key = match arrival.kind {
            Kind::Single { keyed: true } => Some(format!("{}-{}", context.run, arrival.number)),
            _ => None,
        };
        Self {
            context,
            arrival,
            prompt,
            key,
            due,
        }
    }

    /// Whether another attempt is safe and useful.
    fn should_retry(&self, attempt: &Attempt) -> bool {
        match attempt {
            Attempt::Complete | Attempt::Wrong(_) => false,
            Attempt::NotRun(_) | Attempt::NotSent => true,
            Attempt::Unknown(_) | Attempt::Broken | Attempt::Timeout => {
                self.key.is_some() || !matches!(self.arrival.kind, Kind::Single { .. })
            }
        }
    }

    async fn attempt(&self) -> AttemptResult {
        let router = self.context.balancer.next();
        let mut client = match self.arrival.kind {
            // An idle connection may be closed while the call is sent, which would leave its outcome unknown.
            Kind::Single { keyed: false } => Client::new(router),
            _ => self.context.balancer.client(router),
        };
        let sent = future::timeout(DEADLINE + GRACE, self.send(&mut client)).await;
        let Ok(result) = sent else {
            return AttemptResult {
                attempt: Attempt::Timeout,
                request: None,
                usage: None,
            };
        };
        if result.attempt == Attempt::Complete {
            self.context.balancer.put_back(router, client);
        }
        result
    }

    async fn send(&self, client: &mut Client) -> AttemptResult {
        let opened = match self.request(client) {
            Ok(request) => client.open(request).await,
            Err(err) => Err(err),
        };
        let (head, body) = match opened {
            Ok(opened) => opened,
            Err(ClientError::Io(err)) if err.kind() == ErrorKind::ConnectionRefused => {
                return AttemptResult {
                    attempt: Attempt::NotSent,
                    request: None,
                    usage: None,
                };
            }
            Err(_) => {
                return AttemptResult {
                    attempt: Attempt::Broken,
                    request: None,
                    usage: None,
                };
            }
        };
        let request = head
            .header(headers::REQUEST_ID)
            .map(|values| values.last().as_str().to_owned());
        let (attempt, usage) = self.read(&head, body, request.as_deref()).await;
        AttemptResult {
            attempt,
            request,
            usage,
        }
    }

    fn request(&self, client: &Client) -> Result<Request, ClientError> {
        let service = &self.context.scenario.service;
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
        let scenario = &self.context.scenario;
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
    ) -> (Attempt, Option<CompletionUsage>) {
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
            return (parse_refusal(&parsed), None);
        }
        match &self.prompt {
            Some(prompt) => read_complete(self.expected(prompt, request), &bytes),
            None => (self.check_service_answer(&bytes), None),
        }
    }

    fn expected<'e>(&self, prompt: &'e Prompt, request: Option<&'e str>) -> Expected<'e> {
        let tokens = u64::from(self.context.scenario.prompts.max_tokens);
        Expected {
            weights: site::WEIGHTS,
            prompt: &prompt.rendered,
            tokens,
            request,
            due: self.due,
        }
    }

    /// Checks body and key, which the runner echoes, to detect the answer of another call.
    fn check_service_answer(&self, bytes: &[u8]) -> Attempt {
        let Ok(done) = serde_json::from_slice::<wire::service::Done>(bytes) else {
            return Attempt::Wrong("not the runner's answer".to_owned());
        };
        if done.echo != self.body() || done.key != self.key {
            return Attempt::Wrong(format!("the answer of {}", done.echo));
        }
        Attempt::Complete
    }
}
