//! `GET /v1/models`: the models of the caller's workspace.

use super::auth::Caller;
use http::{Response, StatusCode};
use serde::Serialize;

#[derive(Serialize)]
struct List<'a> {
    object: &'static str,
    data: Vec<Model<'a>>,
}

#[derive(Serialize)]
struct Model<'a> {
    id: &'a str,
    object: &'static str,
    owned_by: &'static str,
}

/// The list.
pub fn models(caller: &Caller) -> Response {
    let ids = caller.spec.models.iter();
    let data = ids
        .map(|id| Model {
            id: id.as_str(),
            object: "model",
            owned_by: "apricotfork",
        })
        .collect();
    let body = serde_json::to_vec(&List { object: "list", data }).expect("a list of texts is always JSON");
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(body);
    response.insert_header("content-type", "application/json");
    response
}
