//! Authentication: a bearer key identifies the workspace.

use super::refusal::{Cause, Refused};
use crate::view::View;
use config::WorkspaceSpec;
use http::Request;
use ids::WorkspaceId;
use std::sync::Arc;

/// An authenticated client.
#[derive(Debug, Clone)]
pub struct AuthContext {
    /// The view in force when the request arrived.
    pub view: Arc<View>,
    /// The client's workspace.
    pub workspace: WorkspaceId,
    /// The workspace's configuration.
    pub spec: WorkspaceSpec,
}

/// Finds the workspace of the request's bearer key.
pub fn authenticate(view: &Arc<View>, request: &Request) -> Result<AuthContext, Refused> {
    let header = request.header("authorization").map(|values| values.last().as_str());
    let key = header
        .and_then(|text| text.strip_prefix("Bearer "))
        .ok_or(Refused::not_run(Cause::Unauthorized))?;
    let (workspace, spec) = view
        .workspace(key.trim())
        .ok_or(Refused::not_run(Cause::Unauthorized))?;
    Ok(AuthContext {
        view: view.clone(),
        workspace: workspace.clone(),
        spec: spec.clone(),
    })
}
