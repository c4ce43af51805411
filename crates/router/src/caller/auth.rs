//! Who calls: a bearer key names the workspace.

use super::refusal::{Cause, Refused};
use crate::view::View;
use config::WorkspaceSpec;
use http::Request;
use ids::WorkspaceId;
use std::sync::Arc;

/// A caller whose key is known.
#[derive(Debug, Clone)]
pub struct Caller {
    /// The state in force when the request came.
    pub view: Arc<View>,
    /// Its workspace.
    pub workspace: WorkspaceId,
    /// The workspace's configuration.
    pub spec: WorkspaceSpec,
}

/// The workspace whose key the request bears.
pub fn caller(view: &Arc<View>, request: &Request) -> Result<Caller, Refused> {
    let header = request.header("authorization").map(|values| values.last().as_str());
    let key = header
        .and_then(|text| text.strip_prefix("Bearer "))
        .ok_or(Refused::not_run(Cause::Key))?;
    let (workspace, spec) = view.workspace(key.trim()).ok_or(Refused::not_run(Cause::Key))?;
    Ok(Caller {
        view: view.clone(),
        workspace: workspace.clone(),
        spec: spec.clone(),
    })
}
