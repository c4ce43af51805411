//! The engine's HTTP API.

use super::answer::ApiKind;
use super::state::{Args, Engine};
use crate::http::{self, Call, Reply, status};
use async_std::task;
use http_types::{Body, Method, Response, StatusCode};
use std::sync::Arc;
use std::time::Duration;
use wire::engine::{Block, Events, Fault, Order, Refused, RefusedReason};

const EVENT_POLL: Duration = Duration::from_millis(10);
const HANG_POLL: Duration = Duration::from_millis(20);
const MAX_EVENT_WAIT: Duration = Duration::from_secs(60);
const MAX_HANG: Duration = Duration::from_secs(120);

/// Serves until the process ends.
///
/// # Errors
/// If an address can't be bound.
pub async fn run(args: Args) -> std::io::Result<()> {
    let mut addresses = Vec::new();
    let mut servers = Vec::new();
    for _ in 0..args.copies.max(1) {
        let engine = Arc::new(Engine::new(args.clone()));
        let (listener, local) = http::bind(&engine.args.listen).await?;
        task::spawn(update_report(engine.clone()));
        addresses.push(local.to_string());
        let connections = engine.connections.clone();
        let handler = move |call: Call| -> futures::future::BoxFuture<'static, Reply> {
            let engine = engine.clone();
            Box::pin(async move { engine.handle(call).await })
        };
        servers.push(task::spawn(http::serve(listener, connections, Arc::new(handler))));
    }
    http::announce(&addresses.join(" "));
    futures::future::try_join_all(servers).await?;
    Ok(())
}

async fn update_report(engine: Arc<Engine>) {
    let lag = Duration::from_millis(engine.args.report_lag_ms);
    while !lag.is_zero() {
        {
            let mut state = engine.lock();
            state.report = Some(state.load());
        }
        task::sleep(lag).await;
    }
}

impl Engine {
    async fn handle(self: Arc<Self>, call: Call) -> Reply {
        if call.route() == (Method::Post, "/fault") {
            return self.set_fault(&call);
        }
        if self.lock().fault.hang == Some(true) {
            return self.hang().await;
        }
        match call.route() {
            (Method::Post, "/v1/completions") => or_refusal(self.complete(&call, ApiKind::Text).await),
            (Method::Post, "/v1/chat/completions") => or_refusal(self.complete(&call, ApiKind::Chat).await),
            (Method::Post, "/v1/cancel") => self.cancel(&call),
            (Method::Get, "/v1/load") => self.report(),
            (Method::Get, "/v1/events") => self.events(&call).await,
            (Method::Post, "/v1/orders") => self.order(&call).await,
            (Method::Get, "/v1/blocks") => self.send_block(&call),
            (Method::Post, "/v1/blocks") => self.receive_block(&call),
            (Method::Get, "/v1/sent") => self.sent(&call),
            _ => status(StatusCode::NotFound),
        }
    }

    async fn hang(&self) -> Reply {
        let deadline = self.now() + MAX_HANG;
        while self.lock().fault.hang == Some(true) && self.now() < deadline {
            task::sleep(HANG_POLL).await;
        }
        Reply::Close
    }

    fn cancel(&self, call: &Call) -> Reply {
        let Some(request) = call.query("request") else {
            return status(StatusCode::BadRequest);
        };
        if let Some(sender) = self.lock().requests.remove(&request) {
            sender.close();
        }
        status(StatusCode::NoContent)
    }

    fn report(&self) -> Reply {
        let state = self.lock();
        ok(&state.report.clone().unwrap_or_else(|| state.load()))
    }

    async fn events(&self, call: &Call) -> Reply {
        let after = call.query_number("after").unwrap_or(0);
        let wait = Duration::from_millis(call.query_number("wait_ms").unwrap_or(0)).min(MAX_EVENT_WAIT);
        let deadline = self.now() + wait;
        loop {
            let now = self.now();
            let events = {
                let state = self.lock();
                Events {
                    incarnation: state.incarnation,
                    events: state.events.after(now, after),
                }
            };
            if !events.events.is_empty() || now >= deadline {
                return ok(&events);
            }
            task::sleep(EVENT_POLL).await;
        }
    }

    async fn order(&self, call: &Call) -> Reply {
        let Some(order) = call.json::<Order>() else {
            return status(StatusCode::BadRequest);
        };
        or_refusal(self.execute(&order).await.map(|done| ok(&done)))
    }

    fn send_block(&self, call: &Call) -> Reply {
        let scope = call.query("scope").unwrap_or_default();
        let hash = call.query("hash").unwrap_or_default();
        match self.export(&scope, &hash) {
            Some(block) => ok(&block),
            None => status(StatusCode::NotFound),
        }
    }

    fn receive_block(&self, call: &Call) -> Reply {
        let Some(block) = call.json::<Block>() else {
            return status(StatusCode::BadRequest);
        };
        or_refusal(self.import(&block).map(|()| status(StatusCode::NoContent)))
    }

    fn sent(&self, call: &Call) -> Reply {
        let request = call.query("request").unwrap_or_default();
        let state = self.lock();
        let Some((_, bytes)) = state.sent.iter().rfind(|(id, _)| *id == request) else {
            return status(StatusCode::NotFound);
        };
        let mut response = Response::new(StatusCode::Ok);
        response.set_body(Body::from_bytes(bytes.clone()));
        Reply::Answer(response)
    }

    fn set_fault(&self, call: &Call) -> Reply {
        let Some(new) = call.json::<Fault>() else {
            return status(StatusCode::BadRequest);
        };
        if new.crash == Some(true) {
            self.crash(call.connection);
        }
        let mut state = self.lock();
        let old = state.fault.clone();
        state.fault = Fault {
            crash: None,
            leaving: new.leaving.or(old.leaving),
            hang: new.hang.or(old.hang),
            slow_percent: new.slow_percent.or(old.slow_percent),
            break_streams: new.break_streams.or(old.break_streams),
            break_at: new.break_at.or(old.break_at),
            cross_answers: new.cross_answers.or(old.cross_answers),
            cut_answers: new.cut_answers.or(old.cut_answers),
            lose_events_percent: new.lose_events_percent.or(old.lose_events_percent),
        };
        status(StatusCode::NoContent)
    }
}

fn ok<T: serde::Serialize>(value: &T) -> Reply {
    Reply::Answer(http::json(StatusCode::Ok, value))
}

fn or_refusal(result: Result<Reply, RefusedReason>) -> Reply {
    result.unwrap_or_else(|reason| Reply::Answer(http::json(StatusCode::Conflict, &Refused { reason })))
}
