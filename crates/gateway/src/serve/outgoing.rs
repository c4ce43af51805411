//! A request as it goes to an endpoint.

use super::attempts::Attempts;
use crate::dialect::Forward;
use dispatch::fleet::Picked;
use dispatch::prefixes::Transfers;
use ids::WorkspaceId;

impl Attempts<'_> {
    /// The request as it goes to the endpoint.
    pub(super) fn bytes(&self, picked: &Picked) -> Vec<u8> {
        let caller = self.call.caller;
        let salt = self
            .call
            .wish
            .prompt
            .as_ref()
            .map(|_| salt(picked.weights, self.call.isolated));
        let transfers = self.transfers(salt.as_deref(), picked);
        let forward = Forward {
            endpoint: &picked.endpoint.id,
            left: self.left(),
            workspace: self.call.workspace,
            salt: salt.as_deref(),
            weights: picked.weights.filter(|_| salt.is_some()),
            transfers,
            rank: self.call.wish.prompt.as_ref().map(|_| self.call.rank),
            after: self.events.last_number(),
        };
        let headers = (self.shared.dialect.forward)(&caller.head.headers, &forward);
        let line = format!("{} {} HTTP/1.1\r\n", caller.head.method, caller.head.target);
        let mut bytes = line.into_bytes();
        headers.write(&mut bytes);
        let bodied = !caller.body.is_empty() || !matches!(caller.head.method.as_str(), "GET" | "HEAD" | "DELETE");
        if bodied {
            bytes.extend_from_slice(format!("Content-Length: {}\r\n", caller.body.len()).as_bytes());
        }
        bytes.extend_from_slice(b"\r\n");
        bytes.extend_from_slice(&caller.body);
        bytes
    }

    /// What the engine exchanges with the store of cached prefixes. Without known weights nothing: parts made under others
    /// must not get into the same scope.
    fn transfers(&self, salt: Option<&str>, picked: &Picked) -> Transfers {
        let (Some(salt), Some(prompt), Some(_)) = (salt, &self.call.wish.prompt, picked.weights) else {
            return Transfers::default();
        };
        let now = self.shared.clock.now();
        let isolated = self.call.isolated;
        let own = prompt.parts.last().map_or(0, |part| part.tokens);
        self.shared
            .prefixes()
            .transfers(salt, isolated, prompt.shared(), own, now)
    }
}

/// Scope of cached prefixes: weights must not mix, and an isolated workspace's prefixes are its own.
fn salt(weights: Option<u64>, isolated: Option<&WorkspaceId>) -> String {
    let weights = weights.map_or_else(|| "any".to_owned(), |weights| weights.to_string());
    match isolated {
        Some(workspace) => format!("{weights}/{workspace}"),
        None => weights,
    }
}
