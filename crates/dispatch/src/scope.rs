//! Scopes of cached prefixes.
//!
//! Prefixes of different weights must not mix, and an isolated workspace shares none with others. Workspaces that are not
//! isolated have a common scope. It is named after the workspaces that are isolated: when a workspace becomes isolated,
//! the prefixes that its requests left in the former common scope are used by no request any more. All routers derive the
//! same name from the same configuration, also after a restart, and return to it with the configuration.

use ids::WorkspaceId;
use std::collections::BTreeSet;
use std::fmt::Write;
use xxhash_rust::xxh3::{Xxh3, xxh3_64_with_seed};

/// The workspaces of a configuration that share no cached prefixes with others.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Isolation {
    isolated: BTreeSet<WorkspaceId>,
    /// Digest of the set; none if it is empty.
    digest: Option<u64>,
}

impl Isolation {
    /// No workspace is isolated.
    pub const fn none() -> Self {
        Self {
            isolated: BTreeSet::new(),
            digest: None,
        }
    }

    /// Indexes the isolated workspaces.
    pub fn new(isolated: impl IntoIterator<Item = WorkspaceId>) -> Self {
        let isolated: BTreeSet<_> = isolated.into_iter().collect();
        let digest = (!isolated.is_empty()).then(|| digest(&isolated));
        Self { isolated, digest }
    }

    /// Whether a workspace shares no cached prefixes with others.
    pub fn contains(&self, workspace: &WorkspaceId) -> bool {
        self.isolated.contains(workspace)
    }

    /// Name of the scope of a request with these weights, which are none if they are unknown. `isolated` is its
    /// workspace, if that is isolated.
    pub fn scope(&self, weights: Option<u64>, isolated: Option<&WorkspaceId>) -> String {
        let mut name = weights.map_or_else(|| "any".to_owned(), |weights| weights.to_string());
        // Writing to a string cannot fail.
        let _ = match (isolated, self.digest) {
            (Some(workspace), _) => write!(name, "/{workspace}"),
            (None, Some(digest)) => write!(name, ".{digest:016x}"),
            (None, None) => Ok(()),
        };
        name
    }

    /// Hash of a request's scope without its weights; 0 for the common scope if no workspace is isolated. The homes of
    /// prefixes depend on it.
    pub fn hash(&self, isolated: Option<&WorkspaceId>) -> u64 {
        let workspace = isolated.map(|workspace| xxh3_64_with_seed(workspace.as_str().as_bytes(), 1));
        workspace.or(self.digest).unwrap_or_default()
    }
}

fn digest(workspaces: &BTreeSet<WorkspaceId>) -> u64 {
    let mut hasher = Xxh3::new();
    for workspace in workspaces {
        let name = workspace.as_str().as_bytes();
        // With its length, a list of names cannot be read as another one.
        hasher.update(&(name.len() as u64).to_le_bytes());
        hasher.update(name);
    }
    hasher.digest()
}
