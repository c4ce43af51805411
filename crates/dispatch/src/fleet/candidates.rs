//! Which endpoints may serve a request at all.

use super::known::Known;
use super::names::Named;
use super::{Fleet, PickContext, Prompt, ShortKey};
use control::health::HealthState;
use ids::ModelId;
use std::time::Duration;

/// An endpoint that fails a larger share of its attempts than this gets work only if no better one is left. Sound
/// endpoints of the sites answer up to a seventh of some requests with an error of their own.
const GREY: f64 = 0.35;

/// What is left to choose from. Endpoints are borrowed all the way: a large pool has hundreds, and copying their names several
/// times took most of a choice.
pub(super) enum Standing<'a> {
    Some(Vec<&'a Known>),
    Full,
    /// They get as much as they take; when to come back.
    Limited(Duration),
    None,
}

impl Fleet {
    pub(super) fn candidates(&self, wish: &PickContext<'_>, now: Duration) -> Standing<'_> {
        let mut open: Vec<&Known> = self.serving(wish).collect();
        if open.is_empty() {
            return Standing::None;
        }
        open.retain(|known| !self.loading.contains(&known.entry.id));
        if let Some(after) = self.limited(&mut open, now) {
            return Standing::Limited(after);
        }
        if let Some(prompt) = wish.prompt {
            self.weighed(&mut open, prompt, now);
            self.bounded(&mut open, prompt, now);
            self.staying(&mut open, prompt);
        }
        if open.is_empty() {
            // Those that load weights are back within a second or two.
            return Standing::Full;
        }
        let belief = |known: &Known| self.health.state(&known.entry.id);
        let reachable = |known: &Known| matches!(belief(known), HealthState::Live | HealthState::Suspected);
        if !prefer(&mut open, |known| self.is_sound(known, now)) {
            prefer(&mut open, reachable);
        }
        Standing::Some(open)
    }

    /// Endpoints that a prompt had better stay away from: those for long answers if it is long, and the others if its answer is.
    pub(super) fn apart(&self, wish: &PickContext<'_>, prompt: &Prompt, now: Duration) -> impl Fn(&Known) -> bool {
        let sound = |known: &&Known| !self.loading.contains(&known.entry.id) && self.is_sound(known, now);
        let everywhere = PickContext { avoid: &[], ..*wish };
        let all = self.serving(&everywhere).filter(sound).collect();
        let own = self.lanes.get(wish.service);
        let mut reads = own.map(|own| own.reads(now)).unwrap_or_default();
        reads.add(&self.others.reads(wish.service));
        let lane = reads.lane(all, |known| self.coming.contains(&known.entry.id));
        let generates = prompt.is_decode_heavy();
        move |known| !lane.is_empty() && lane.contains(&known.key) != generates
    }

    fn serving(&self, wish: &PickContext<'_>) -> impl Iterator<Item = &Known> {
        self.known
            .values()
            .filter(|known| known.entry.service == *wish.service && !known.entry.draining)
            .filter(|known| !wish.avoid.contains(&known.entry.id))
    }

    /// Leaves out endpoints that take no request from this router now; when to come back if there are no others.
    fn limited(&self, open: &mut Vec<&Known>, now: Duration) -> Option<Duration> {
        let allowed = |known: &Known| self.rates.allow(ShortKey::from(known.key), now);
        if self.rates.count() == 0 || prefer(open, allowed) {
            return None;
        }
        let after = open
            .iter()
            .map(|known| self.rates.after(ShortKey::from(known.key), now));
        after.min()
    }

    /// Whether an endpoint is reached and fails few of its attempts.
    fn is_sound(&self, known: &Known, now: Duration) -> bool {
        self.health.state(&known.entry.id) == HealthState::Live && known.trouble(now) < GREY
    }

    /// Leaves out endpoints that load soon, unless there are no others: an endpoint finishes what it runs before it loads, and
    /// serves nobody else while its last long answers are generated, for some seconds.
    fn staying(&self, open: &mut Vec<&Known>, prompt: &Prompt) {
        if prompt.is_decode_heavy() {
            prefer(open, |known| !self.coming.contains(&known.entry.id));
        }
    }

    /// Leaves out weights that are too old to begin on, unless no endpoint has newer ones. Prompts leave them one after the other
    /// over the second half of the time that is allowed. Were it at one moment, engines with old weights would have queues of
    /// seconds at that moment, and begin on what waits there long after it.
    fn weighed(&self, open: &mut Vec<&Known>, prompt: &Prompt, now: Duration) {
        let after = self.settings.soft_staleness.mul_f64((1.0 + prompt.draw()) / 2.0);
        let least = self.least_weights(&prompt.model, after, now);
        prefer(open, |known| known.serves(&prompt.model, least));
    }

    /// Leaves out weights on which a request would begin after the bound, even if no others are left: callers come back when there are.
    fn bounded(&self, open: &mut Vec<&Known>, prompt: &Prompt, now: Duration) {
        let model = &prompt.model;
        open.retain(|known| self.may_begin(model, known.weights(model), now + self.wait(known, now)));
    }

    /// Oldest weights that a request may begin on which leaves old ones this long after newer ones were named.
    fn least_weights(&self, model: &ModelId, after: Duration, now: Duration) -> u64 {
        let named = self.newest_that(model, |named| named.for_longer(after, now));
        named.map_or(0, |named| named.weights)
    }

    /// The newest weights of a model that a test holds for.
    pub(super) fn newest_that(&self, model: &ModelId, test: impl Fn(&Named) -> bool) -> Option<&Named> {
        self.wanted.get(model)?.newest_that(test)
    }
}

/// Keeps those that pass a test, if any does; tells whether one did.
fn prefer(open: &mut Vec<&Known>, test: impl Fn(&Known) -> bool) -> bool {
    let any = open.iter().any(|known| test(known));
    if any {
        open.retain(|known| test(known));
    }
    any
}
