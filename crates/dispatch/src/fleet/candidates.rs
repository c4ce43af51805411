//! Which endpoints may serve a request at all.

use super::{Fleet, Named, Wish};
use control::health::Belief;
use ids::{EndpointId, ModelId};
use std::time::Duration;

/// An endpoint that fails a larger share of its attempts than this gets work only if no better one is left. Sound
/// endpoints of the sites answer up to a seventh of some requests with an error of their own.
const GREY: f64 = 0.35;

/// What is left to choose from.
pub(super) enum Standing {
    Some(Vec<EndpointId>),
    Full,
    None,
}

impl Fleet {
    pub(super) fn candidates(&self, wish: &Wish<'_>, now: Duration) -> Standing {
        let serving = self.serving(wish);
        if serving.is_empty() {
            return Standing::None;
        }
        let open: Vec<EndpointId> = serving
            .iter()
            .filter(|id| !self.loading.contains(*id))
            .cloned()
            .collect();
        let open = match wish.prompt {
            Some(prompt) => self.weighed(open, &prompt.model, now),
            None => open,
        };
        if open.is_empty() {
            // Those that load weights are back within a second or two.
            return Standing::Full;
        }
        let sound = |id: &EndpointId| {
            let live = self.health.belief(id) == Belief::Live;
            live && self.known.get(id).is_some_and(|known| known.trouble() < GREY)
        };
        let reachable = |id: &EndpointId| matches!(self.health.belief(id), Belief::Live | Belief::Suspected);
        Standing::Some(best(open, &[&sound, &reachable]))
    }

    fn serving(&self, wish: &Wish<'_>) -> Vec<EndpointId> {
        self.known
            .values()
            .filter(|known| known.entry.service == *wish.service && !known.entry.leaving)
            .filter(|known| !wish.avoid.contains(&known.entry.id))
            .map(|known| known.entry.id.clone())
            .collect()
    }

    /// Leaves out weights that are too old to begin on, and prefers the newest ones once enough endpoints have them; until
    /// then the others serve on beside them, since a few endpoints can't take all of the load.
    fn weighed(&self, open: Vec<EndpointId>, model: &ModelId, now: Duration) -> Vec<EndpointId> {
        let names = self.wanted.get(model).map_or(&[][..], Vec::as_slice);
        let Some(newest) = names.last() else {
            return open;
        };
        let late = |named: &&Named| now.saturating_sub(named.at) >= self.settings.old_weights;
        let least = names.iter().rev().find(late).map_or(0, |named| named.weights);
        let with = |least: u64| -> Vec<EndpointId> {
            let has = |id: &&EndpointId| self.weights(id, model).is_none_or(|weights| weights >= least);
            open.iter().filter(has).cloned().collect()
        };
        let new = with(newest.weights);
        if new.len() * 2 > open.len() {
            return new;
        }
        let allowed = with(least);
        if allowed.is_empty() { open } else { allowed }
    }
}

/// The candidates that pass the first test that any of them passes.
fn best(all: Vec<EndpointId>, tests: &[&dyn Fn(&EndpointId) -> bool]) -> Vec<EndpointId> {
    for test in tests {
        let passed: Vec<EndpointId> = all.iter().filter(|id| test(id)).cloned().collect();
        if !passed.is_empty() {
            return passed;
        }
    }
    all
}
