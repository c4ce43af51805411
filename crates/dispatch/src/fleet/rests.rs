//! Rests that endpoints ask this router for when they turn a request away.
//!
//! A rest concerns the router that was asked; the others learn of theirs when they ask. After it the endpoint gets one
//! request, the trial, until it has answered that otherwise: if all waiting requests came back at once, they would meet an
//! endpoint that can't serve them yet.

use super::Fleet;
use crate::site::EndpointEntry;
use std::time::Duration;

/// Longest rest. After it a trial shows whether the endpoint wants more, as it may have misstated a time.
const MAX_REST: Duration = Duration::from_secs(300);
/// Time after which a trial without an answer doesn't keep others back. An endpoint turns requests away much sooner.
const TRIAL_TIMEOUT: Duration = Duration::from_millis(500);

/// What an endpoint last asked for. It is forgotten with the endpoint's incarnation.
#[derive(Debug, Default)]
pub(super) struct Rest {
    /// End of the rest, unless the endpoint has answered otherwise since.
    until: Option<Duration>,
    /// When the request was chosen that tries the endpoint after its rest.
    trial: Option<Duration>,
}

impl Rest {
    /// Time until a request may be chosen, unless it may be now.
    pub(super) fn pause(&self, now: Duration) -> Option<Duration> {
        let until = self.until?;
        let until = self.trial.map_or(until, |trial| until.max(trial + TRIAL_TIMEOUT));
        (now < until).then(|| until - now)
    }

    /// Records that a request is chosen. After a rest it is the trial.
    pub(super) fn chosen(&mut self, now: Duration) {
        if self.until.is_some() {
            self.trial = Some(now);
        }
    }

    /// Whether the request that was chosen then may be sent.
    fn admits(&self, chosen_at: Duration, now: Duration) -> bool {
        self.until
            .is_none_or(|until| until <= now && self.trial == Some(chosen_at))
    }

    /// Merges the rest in an answer to the request that was chosen then. Returns whether a rest begins.
    fn merge(&mut self, asked: Option<Duration>, chosen_at: Duration, now: Duration) -> bool {
        let was_resting = self.is_resting(now);
        if let Some(asked) = asked {
            let until = now + asked.min(MAX_REST);
            self.until = Some(self.until.map_or(until, |before| before.max(until)));
            self.trial = None;
        } else if self.until.is_some_and(|until| until <= chosen_at) {
            *self = Self::default();
        }
        !was_resting && self.is_resting(now)
    }

    fn is_resting(&self, now: Duration) -> bool {
        self.until.is_some_and(|until| now < until)
    }
}

impl Fleet {
    /// Records an answer to a request for which the endpoint was chosen at `chosen_at`, and the rest that it asks for if
    /// it turns the request away. Returns the length of the rest if one begins.
    pub fn record_rest(
        &mut self,
        entry: &EndpointEntry,
        asked: Option<Duration>,
        chosen_at: Duration,
        now: Duration,
    ) -> Option<Duration> {
        let asked = asked.filter(|asked| !asked.is_zero());
        let state = self.endpoint_mut(&entry.id, entry.incarnation)?;
        let begins = state.rest.merge(asked, chosen_at, now);
        begins.then(|| state.rest.pause(now)).flatten()
    }

    /// Returns whether a request may be sent now to the endpoint that was chosen for it at `chosen_at`. It may have asked
    /// for rest since.
    pub fn may_send(&self, entry: &EndpointEntry, chosen_at: Duration, now: Duration) -> bool {
        let state = self.endpoints.get(&entry.id);
        let state = state.filter(|state| state.entry.incarnation == entry.incarnation);
        state.is_none_or(|state| state.rest.admits(chosen_at, now))
    }

    /// Returns whether an endpoint wants no requests from this router.
    pub fn is_resting(&self, entry: &EndpointEntry, now: Duration) -> bool {
        let state = self.endpoints.get(&entry.id);
        let state = state.filter(|state| state.entry.incarnation == entry.incarnation);
        state.is_some_and(|state| state.rest.is_resting(now))
    }

    /// Returns the number of endpoints that want no requests from this router.
    pub fn resting_count(&self, now: Duration) -> usize {
        let states = self.endpoints.values();
        states.filter(|state| state.rest.is_resting(now)).count()
    }
}
