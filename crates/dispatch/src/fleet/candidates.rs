//! Which endpoints may serve a request at all.

use super::{Fleet, Named, Prompt, Wish};
use control::health::Belief;
use ids::{EndpointId, ModelId};
use std::time::Duration;

/// An endpoint that fails a larger share of its attempts than this gets work only if no better one is left. Sound
/// endpoints of the sites answer up to a seventh of some requests with an error of their own.
const GREY: f64 = 0.35;

/// Time after which answers on older weights are worth less to callers: before it no endpoint could have loaded them.
const FIRST_USE: Duration = Duration::from_millis(1_200);

/// How much more work an engine with new weights gets than its share while others still have old ones. Answers on old weights lose
/// a fifth of their worth for callers, late ones up to nine tenths.
const MORE_WORK: f64 = 0.3;

/// What is left to choose from.
pub(super) enum Standing {
    Some(Vec<EndpointId>),
    Full,
    None,
}

impl Named {
    fn for_longer(&self, time: Duration, now: Duration) -> bool {
        self.at.is_none_or(|at| now.saturating_sub(at) >= time)
    }
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
            Some(prompt) => self.renewed(self.weighed(open, &prompt.model, now), prompt, now),
            None => open,
        };
        let open = match wish.prompt {
            Some(prompt) if prompt.mostly_generates() => self.staying(open),
            _ => open,
        };
        if open.is_empty() {
            // Those that load weights are back within a second or two.
            return Standing::Full;
        }
        let sound = |id: &EndpointId| {
            let live = self.health.belief(id) == Belief::Live;
            live && self.known.get(id).is_some_and(|known| known.trouble(now) < GREY)
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

    /// Leaves out endpoints that load soon, unless there are no others: an endpoint finishes what it runs before it loads, and
    /// serves nobody else while its last long answers are generated, for some seconds.
    fn staying(&self, open: Vec<EndpointId>) -> Vec<EndpointId> {
        let stays = |id: &&EndpointId| !self.coming.contains(*id);
        let staying: Vec<EndpointId> = open.iter().filter(stays).cloned().collect();
        if staying.is_empty() { open } else { staying }
    }

    /// Leaves out weights that are too old to begin on, unless no endpoint has newer ones.
    fn weighed(&self, open: Vec<EndpointId>, model: &ModelId, now: Duration) -> Vec<EndpointId> {
        let least = self.least_weights(model, now);
        let has = |id: &&EndpointId| self.weights(id, model).is_none_or(|weights| weights >= least);
        let allowed: Vec<EndpointId> = open.iter().filter(has).cloned().collect();
        if allowed.is_empty() { open } else { allowed }
    }

    /// Oldest weights that a request may begin on.
    fn least_weights(&self, model: &ModelId, now: Duration) -> u64 {
        let names = self.wanted.get(model).map_or(&[][..], Vec::as_slice);
        let late = |named: &&Named| named.for_longer(self.settings.old_weights, now);
        names.iter().rev().find(late).map_or(0, |named| named.weights)
    }

    /// Leaves out engines with replaced weights for as many prompts as the others have room for. Were they left out for all, the
    /// first engines with new weights would get the whole pool's requests, from routers that don't see how full they are.
    fn renewed(&self, open: Vec<EndpointId>, prompt: &Prompt, now: Duration) -> Vec<EndpointId> {
        let names = self.wanted.get(&prompt.model).map_or(&[][..], Vec::as_slice);
        let newest = names.last().filter(|named| named.for_longer(FIRST_USE, now));
        let Some(newest) = newest.map(|named| named.weights) else {
            return open;
        };
        let has = |id: &&EndpointId| self.weights(id, &prompt.model).is_none_or(|weights| weights >= newest);
        let renewed: Vec<EndpointId> = open.iter().filter(has).cloned().collect();
        if renewed.is_empty() || prompt.draw() >= preferred(renewed.len(), open.len()) {
            return open;
        }
        renewed
    }
}

/// How many of those that would otherwise go to an engine with old weights go to one with new ones, while `renewed` of `all` have
/// these.
fn preferred(renewed: usize, all: usize) -> f64 {
    let old = all.saturating_sub(renewed);
    if old == 0 {
        return 1.0;
    }
    MORE_WORK * renewed as f64 / old as f64
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
