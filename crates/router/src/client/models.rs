//! `GET /v1/models`: the models of the client's workspace.

use super::auth::AuthContext;
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

/// Lists the models in the format of the OpenAI API.
pub fn models(auth: &AuthContext) -> Response {
    let ids = auth.spec.models.iter();
    let data = ids
        .map(|id| Model {
            id: id.as_str(),
            object: "model",
            owned_by: "apricotfork",
        })
        .collect();
    let body = serde_json::to_vec(&List { object: "list", data }).expect("a list of strings serializes to JSON");
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(body);
    response.insert_header("content-type", "application/json");
    response
}
