//! The client-facing API: routes, authentication, completions, calls of plain services, refusals.

mod attempt;
mod auth;
mod body_budget;
mod call;
mod claim;
mod completion;
mod hedge;
mod models;
mod refusal;
mod service;
mod stream;
mod transmit;

use crate::shared::Shared;
use http::{Conn, Method, Request, Response};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use wire::headers;

pub use auth::AuthContext;
pub use body_budget::BodyBudget;
pub use refusal::{Cause, Refused};

/// Path prefix of plain services.
const SERVICES: &str = "/services/";

/// Handles one request of a client.
pub async fn handle(shared: Arc<Shared>, request: Request, conn: Conn) -> Response {
    let id = shared.next_request();
    let kind = kind(request.url().path());
    let result = route(&shared, request, conn, &id).await;
    let outcome = match &result {
        Ok(_) => "ok".to_owned(),
        Err(refused) => refused.cause.code().to_string(),
    };
    shared
        .metrics
        .requests
        .with_label_values(&[kind, outcome.as_str()])
        .inc();
    let mut response = result.unwrap_or_else(|refused| {
        shared
            .metrics
            .refusals
            .with_label_values(&[refused.ran.to_string()])
            .inc();
        refused.into_response(&id)
    });
    response.insert_header(headers::REQUEST_ID, id.as_str());
    response
}

fn kind(path: &str) -> &'static str {
    match path {
        "/v1/completions" | "/v1/chat/completions" => "completion",
        "/v1/models" => "models",
        path if path.starts_with(SERVICES) => "service",
        _ => "other",
    }
}

async fn route(shared: &Arc<Shared>, request: Request, conn: Conn, id: &ids::RequestId) -> Result<Response, Refused> {
    if shared.serving.draining() {
        return Err(Refused::not_run(Cause::ShuttingDown).retry_after(shared.settings.shutdown.notice_ms));
    }
    if shared.stopping.load(Ordering::SeqCst) {
        log::debug!(request = id.as_str(); "accepted during the shutdown notice period");
    }
    let view = shared.view.load_full().ok_or(Refused::not_run(Cause::NotReady))?;
    let auth = auth::authenticate(&view, &request)?;
    let path = request.url().path().to_owned();
    match (request.method(), path.as_str()) {
        (Method::Get, "/v1/models") => Ok(models::models(&auth)),
        (Method::Post, "/v1/completions" | "/v1/chat/completions") => {
            let call = call::read(shared, &auth, request, conn, id).await?;
            completion::completion(shared, call).await
        }
        (_, path) if path.starts_with(SERVICES) => {
            let call = call::read(shared, &auth, request, conn, id).await?;
            service::service(shared, call).await
        }
        (_, "/v1/models" | "/v1/completions" | "/v1/chat/completions") => Err(Refused::not_run(Cause::Method)),
        _ => Err(Refused::not_run(Cause::NoPath)),
    }
}
