//! Sends calls of one kind at a constant rate.

use super::test_bed::TestBed;
use crate::site;
use async_std::task;
use http_types::{Method, Request};
use serde_json::json;
use standins::http::{Client, ClientError};
use std::sync::Arc;
use std::time::{Duration, Instant};
use wire::headers;

const CONNECTIONS: usize = 64;
const BLOCK_BYTES: usize = 4096;

/// A kind of call.
#[derive(Debug, Clone, Copy)]
pub enum Load {
    /// A completion with a short prompt, one JSON body.
    Short,
    /// A completion with a prompt of this many blocks, identical except for its end.
    Prompt {
        /// Blocks.
        blocks: usize,
    },
    /// A completion with a new prompt of this many blocks.
    Fresh {
        /// Blocks.
        blocks: usize,
    },
    /// A streamed completion.
    Stream {
        /// Pieces.
        tokens: usize,
    },
    /// An at-most-once call with an idempotency key.
    Keyed,
}

impl Load {
    /// The units of the varied quantity per call.
    pub fn units(self) -> f64 {
        match self {
            Self::Stream { tokens } => tokens as f64,
            _ => 1.0,
        }
    }

    fn request(self, client: &Client, bed: &Names, number: usize) -> Result<Request, ClientError> {
        let completion = |prompt: String, tokens: usize, stream: bool| {
            let body = json!({"model": bed.model, "prompt": prompt, "max_tokens": tokens, "stream": stream});
            ("/v1/completions".to_owned(), body.to_string())
        };
        let (path, body) = match self {
            Self::Short => completion("Is bin 7 dry?".to_owned(), 1, false),
            Self::Prompt { blocks } => completion(format!("{}{number}", "x".repeat(blocks * BLOCK_BYTES)), 1, false),
            Self::Fresh { blocks } => {
                completion(format!("{number:012}").repeat(blocks * BLOCK_BYTES / 12 + 1), 1, false)
            }
            Self::Stream { tokens } => completion("Is bin 7 dry?".to_owned(), tokens, true),
            Self::Keyed => (bed.single.clone(), "{}".to_owned()),
        };
        let mut request = client.request(Method::Post, &path)?;
        request.set_body(body);
        request.insert_header("authorization", format!("Bearer {}", site::key(0)));
        if matches!(self, Self::Keyed) {
            request.insert_header(headers::IDEMPOTENCY_KEY, format!("key-{number}"));
        }
        Ok(request)
    }
}

#[derive(Debug)]
struct Names {
    model: String,
    single: String,
}

/// Sends calls at `rate` for `time`. Returns the complete answers per second and prints the number of failures to
/// standard error.
pub async fn send(bed: &TestBed, load: Load, rate: f64, time: Duration) -> f64 {
    let service = &bed.scenario.service;
    let names = Arc::new(Names {
        model: bed.scenario.engines.model.clone(),
        single: format!("/services/{}{}", service.name, service.single),
    });
    let (to_send, numbers) = async_channel::unbounded();
    let workers = (0..CONNECTIONS).map(|_| {
        let (numbers, names, router) = (numbers.clone(), names.clone(), bed.router());
        task::spawn(async move {
            let mut client = Client::new(router);
            let (mut complete, mut failed) = (0u32, 0u32);
            while let Ok(number) = numbers.recv().await {
                let sent = match load.request(&client, &names, number) {
                    Ok(request) => client.call(request).await,
                    Err(err) => Err(err),
                };
                if sent.is_ok_and(|answer| answer.status() == 200) {
                    complete += 1;
                } else {
                    client.close();
                    failed += 1;
                }
            }
            (complete, failed)
        })
    });
    let workers: Vec<_> = workers.collect();
    let from = Instant::now();
    let mut number = 0;
    while (number as f64) < rate * time.as_secs_f64() {
        let due = from + Duration::from_secs_f64(number as f64 / rate);
        task::sleep(due.saturating_duration_since(Instant::now())).await;
        let _ = to_send.send(number).await;
        number += 1;
    }
    if number == 0 {
        task::sleep(time).await;
    }
    drop(to_send);
    let (mut complete, mut failed) = (0, 0);
    for worker in workers {
        let (worker_complete, worker_failed) = worker.await;
        complete += worker_complete;
        failed += worker_failed;
    }
    if failed > 0 {
        eprintln!("{failed} of {number} calls failed");
    }
    f64::from(complete) / from.elapsed().as_secs_f64()
}
