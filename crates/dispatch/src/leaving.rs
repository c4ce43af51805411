//! Endpoints that have stated on their answers that they leave.
//!
//! Only answers bring such a statement while the store is unavailable, and no later entry of the same incarnation
//! revokes it: an entry may have been written, copied or backed up before it. So statements are kept beside the entries,
//! and beyond them.

use crate::site::EndpointEntry;
use ids::{EndpointId, Incarnation};
use std::collections::BTreeMap;
use std::time::Duration;

/// Largest number of statements of endpoints that are not listed.
const MAX_UNLISTED: usize = 1_024;
/// How long other routers are told of an endpoint that is not listed. It may still be listed there.
const UNLISTED_PERIOD: Duration = Duration::from_secs(60);

/// An incarnation of an endpoint that has stated that it leaves.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct LeavingEndpoint {
    /// ID of the endpoint.
    pub id: EndpointId,
    /// The incarnation that leaves.
    pub incarnation: Incarnation,
}

#[derive(Debug, Clone, Copy)]
struct Statement {
    incarnation: Incarnation,
    received_at: Duration,
    /// Whether this incarnation has an entry.
    listed: bool,
    /// Whether its last entry showed that it drains.
    shown: bool,
}

/// The statements of all endpoints. Those of listed endpoints are bounded by the entries.
#[derive(Debug, Clone, Default)]
pub(crate) struct Leaving {
    statements: BTreeMap<EndpointId, Vec<Statement>>,
}

impl Leaving {
    /// Records a statement; `entry` is the endpoint's entry, if it has one. Returns whether the statement is new.
    pub(crate) fn record(&mut self, endpoint: LeavingEndpoint, entry: Option<&EndpointEntry>, now: Duration) -> bool {
        let incarnation = endpoint.incarnation;
        let has_restarted = entry.is_some_and(|entry| entry.incarnation > incarnation);
        if has_restarted || self.contains(&endpoint.id, incarnation) {
            return false;
        }
        let entry = entry.filter(|entry| entry.incarnation == incarnation);
        self.statements.entry(endpoint.id).or_default().push(Statement {
            incarnation,
            received_at: now,
            listed: entry.is_some(),
            shown: entry.is_some_and(|entry| entry.draining),
        });
        self.drop_oldest();
        true
    }

    /// Whether an incarnation of an endpoint has stated that it leaves.
    pub(crate) fn contains(&self, id: &EndpointId, incarnation: Incarnation) -> bool {
        let mut statements = self.statements.get(id).into_iter().flatten();
        statements.any(|statement| statement.incarnation == incarnation)
    }

    /// Records an entry as the store shows it. Returns whether its endpoint has stated that it leaves.
    pub(crate) fn entry_listed(&mut self, entry: &EndpointEntry) -> bool {
        let Some(statements) = self.statements.get_mut(&entry.id) else {
            return false;
        };
        statements.retain(|statement| statement.incarnation >= entry.incarnation);
        let mut leaves = false;
        for statement in statements.iter_mut() {
            statement.listed = statement.incarnation == entry.incarnation;
            if statement.listed {
                statement.shown = entry.draining;
                leaves = true;
            }
        }
        self.drop_oldest();
        leaves
    }

    /// Records that an endpoint has no entry any more.
    pub(crate) fn entry_removed(&mut self, id: &EndpointId) {
        for statement in self.statements.get_mut(id).into_iter().flatten() {
            statement.listed = false;
        }
        self.drop_oldest();
    }

    /// Endpoints that other routers are told of, because the store's entries do not show that they drain.
    pub(crate) fn unshown(&self, now: Duration) -> impl Iterator<Item = LeavingEndpoint> {
        let is_told = move |statement: &Statement| {
            let is_recent = now.saturating_sub(statement.received_at) < UNLISTED_PERIOD;
            !statement.shown && (statement.listed || is_recent)
        };
        let told = self.all().filter(move |(_, statement)| is_told(statement));
        told.map(|(id, statement)| LeavingEndpoint {
            id: id.clone(),
            incarnation: statement.incarnation,
        })
    }

    fn all(&self) -> impl Iterator<Item = (&EndpointId, &Statement)> {
        let statements = self.statements.iter();
        statements.flat_map(|(id, statements)| statements.iter().map(move |statement| (id, statement)))
    }

    /// Keeps the statements of unlisted endpoints bounded.
    fn drop_oldest(&mut self) {
        self.statements.retain(|_, statements| !statements.is_empty());
        let unlisted = || self.all().filter(|(_, statement)| !statement.listed);
        if unlisted().count() <= MAX_UNLISTED {
            return;
        }
        let oldest = unlisted().min_by_key(|(_, statement)| statement.received_at);
        let Some((id, incarnation)) = oldest.map(|(id, statement)| (id.clone(), statement.incarnation)) else {
            return;
        };
        if let Some(statements) = self.statements.get_mut(&id) {
            statements.retain(|statement| statement.incarnation != incarnation);
        }
        self.drop_oldest();
    }
}
