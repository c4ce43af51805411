//! Encoding of requests to endpoints.

use super::attempts::Attempts;
use crate::dialect::ForwardContext;
use dispatch::fleet::PickedEndpoint;
use dispatch::prefixes::Transfers;
use dispatch::scope::Isolation;
use dispatch::site::Site;
use ids::WorkspaceId;

/// Longest body that is sent in one piece with its head, bytes. Longer ones are not copied for each attempt.
const MAX_COPIED_BODY: usize = 64 * 1024;

/// A request as sent to an endpoint.
pub(super) struct Encoded<'a> {
    /// The head, and the body if it is short.
    head: Vec<u8>,
    body: &'a [u8],
}

impl Encoded<'_> {
    pub(super) fn parts(&self) -> [&[u8]; 2] {
        [&self.head, self.body]
    }
}

impl<'a> Attempts<'a> {
    /// The request as sent to the endpoint.
    pub(super) fn encode(&self, picked: &PickedEndpoint) -> Encoded<'a> {
        let incoming = self.request.incoming;
        let site = self.shared.site.load();
        let has_prompt = self.request.info.prompt.is_some();
        let salt = has_prompt.then(|| self.scope(site.as_deref(), picked.weights));
        let transfers = self.transfers(site.as_deref(), salt.as_deref(), picked);
        let context = ForwardContext {
            endpoint: &picked.endpoint.id,
            remaining: self.remaining(),
            workspace: self.request.workspace,
            salt: salt.as_deref(),
            weights: picked.weights.filter(|_| salt.is_some()),
            transfers,
            rank: self.request.info.prompt.as_ref().map(|_| self.request.rank),
            last_event: self.events.last_number(),
        };
        let headers = (self.shared.dialect.request_headers)(&incoming.head.headers, &context);
        let line = format!("{} {} HTTP/1.1\r\n", incoming.head.method, incoming.head.target);
        let mut bytes = line.into_bytes();
        headers.write(&mut bytes);
        let has_body = !incoming.body.is_empty() || !matches!(incoming.head.method.as_str(), "GET" | "HEAD" | "DELETE");
        if has_body {
            bytes.extend_from_slice(format!("Content-Length: {}\r\n", incoming.body.len()).as_bytes());
        }
        bytes.extend_from_slice(b"\r\n");
        let mut body = incoming.body.as_slice();
        if body.len() <= MAX_COPIED_BODY {
            bytes.extend_from_slice(std::mem::take(&mut body));
        }
        Encoded { head: bytes, body }
    }

    /// Weights loaded recently with which no engine is known to have read the shared parts of the prompt.
    pub(super) fn unread(&self) -> Vec<u64> {
        let Some(prompt) = &self.request.info.prompt else {
            return Vec::new();
        };
        let now = self.shared.clock.now();
        let site = self.shared.site.load();
        let isolated = self.isolated(site.as_deref());
        let fleet = self.shared.fleet();
        let weights = fleet.new_weights(self.request.service, &prompt.model, now);
        drop(fleet);
        let prefixes = self.shared.prefixes();
        let is_unread = |weights: &u64| {
            let scope = self.scope(site.as_deref(), Some(*weights));
            !prefixes.may_hold(&scope, isolated, prompt.shared(), now)
        };
        weights.into_iter().filter(is_unread).collect()
    }

    /// Hash of the scope of the request's cached prefixes.
    pub(super) fn scope_hash(&self) -> u64 {
        let site = self.shared.site.load();
        isolation(site.as_deref()).hash(self.isolated(site.as_deref()))
    }

    /// Scope of the request's cached prefixes, by the configuration at the time of sending.
    fn scope(&self, site: Option<&Site>, weights: Option<u64>) -> String {
        isolation(site).scope(weights, self.isolated(site))
    }

    /// The request's workspace, if it shares no cached prefixes with others. It may have become isolated while the
    /// request waited. If it stopped being isolated or was removed meanwhile, the request stays isolated.
    fn isolated(&self, site: Option<&Site>) -> Option<&WorkspaceId> {
        let is_isolated = |workspace: &&WorkspaceId| isolation(site).contains(workspace);
        self.request.isolated.or(self.request.workspace.filter(is_isolated))
    }

    /// Prefix transfers between the engine and the prefix cache stores. None if the weights are unknown, because
    /// prefixes computed with different weights must not share a scope.
    fn transfers(&self, site: Option<&Site>, salt: Option<&str>, picked: &PickedEndpoint) -> Transfers {
        let (Some(salt), Some(prompt), Some(_)) = (salt, &self.request.info.prompt, picked.weights) else {
            return Transfers::default();
        };
        let now = self.shared.clock.now();
        let own = prompt.parts.last().map_or(0, |part| part.tokens);
        self.shared
            .prefixes()
            .transfers(salt, self.isolated(site), prompt.shared(), own, now)
    }
}

/// The isolated workspaces of a configuration; none without one.
fn isolation(site: Option<&Site>) -> &Isolation {
    static NONE: Isolation = Isolation::none();
    site.map_or(&NONE, Site::isolation)
}
