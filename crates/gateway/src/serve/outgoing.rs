//! Encoding of requests to endpoints.

use super::attempts::Attempts;
use crate::dialect::ForwardContext;
use dispatch::fleet::PickedEndpoint;
use dispatch::prefixes::Transfers;
use ids::WorkspaceId;

impl Attempts<'_> {
    /// The request as sent to the endpoint.
    pub(super) fn encode(&self, picked: &PickedEndpoint) -> Vec<u8> {
        let incoming = self.request.incoming;
        let salt = self
            .request
            .info
            .prompt
            .as_ref()
            .map(|_| salt(picked.weights, self.request.isolated));
        let transfers = self.transfers(salt.as_deref(), picked);
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
        bytes.extend_from_slice(&incoming.body);
        bytes
    }

    /// Weights loaded recently with which no engine is known to have read the shared parts of the prompt.
    pub(super) fn unread(&self) -> Vec<u64> {
        let Some(prompt) = &self.request.info.prompt else {
            return Vec::new();
        };
        let now = self.shared.clock.now();
        let isolated = self.request.isolated;
        let fleet = self.shared.fleet();
        let weights = fleet.new_weights(self.request.service, &prompt.model, now);
        drop(fleet);
        let prefixes = self.shared.prefixes();
        let is_unread =
            |weights: &u64| !prefixes.may_hold(&salt(Some(*weights), isolated), isolated, prompt.shared(), now);
        weights.into_iter().filter(is_unread).collect()
    }

    /// Prefix transfers between the engine and the prefix cache stores. None if the weights are unknown, because
    /// prefixes computed with different weights must not share a scope.
    fn transfers(&self, salt: Option<&str>, picked: &PickedEndpoint) -> Transfers {
        let (Some(salt), Some(prompt), Some(_)) = (salt, &self.request.info.prompt, picked.weights) else {
            return Transfers::default();
        };
        let now = self.shared.clock.now();
        let isolated = self.request.isolated;
        let own = prompt.parts.last().map_or(0, |part| part.tokens);
        self.shared
            .prefixes()
            .transfers(salt, isolated, prompt.shared(), own, now)
    }
}

/// Scope of cached prefixes. Prefixes of different weights must not mix, and an isolated workspace does not share its
/// prefixes.
fn salt(weights: Option<u64>, isolated: Option<&WorkspaceId>) -> String {
    let weights = weights.map_or_else(|| "any".to_owned(), |weights| weights.to_string());
    match isolated {
        Some(workspace) => format!("{weights}/{workspace}"),
        None => weights,
    }
}
