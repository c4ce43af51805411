//! Times of a graceful shutdown, and what a stopping router still sends.
//!
//! A router is given a grace period and then killed. Until the end of its notice it serves as before, because the load
//! balancer in front notices the stop late. After that it sends a request only if nothing is lost by it: if the request's own
//! time limit ends before the router answers everything, or if it can no longer be refused as not run. At the end it answers
//! all requests in flight, and leaves some time for the answers to be delivered.

use std::time::Duration;

/// How long a stopping router accepts requests. The load balancer checks readiness every second and stops sending after two
/// failed checks.
const NOTICE_PERIOD: Duration = Duration::from_millis(2_600);
/// Extra time for requests that were in transit when the notice ended.
const TRANSIT_TIME: Duration = Duration::from_millis(100);
/// Part of the grace period for the delivery of the last answers.
const DELIVERY_TIME: Duration = Duration::from_millis(600);
/// Part of that time that is kept free, so that the process exits before it is killed.
const EXIT_MARGIN: Duration = Duration::from_millis(200);

/// Times of a shutdown, on the router's clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Shutdown {
    /// When the router stops accepting requests.
    pub notice_end: Duration,
    /// When it answers the requests in flight.
    pub answer_at: Duration,
    /// When the process exits at the latest.
    pub exit_at: Duration,
}

impl Shutdown {
    /// A shutdown that begins at `now` and may take `grace`. Without time for a notice nothing more is accepted.
    pub fn new(now: Duration, grace: Duration) -> Self {
        let answer_at = now + grace.saturating_sub(DELIVERY_TIME);
        Self {
            notice_end: answer_at.min(now + NOTICE_PERIOD),
            answer_at,
            exit_at: now + grace.saturating_sub(EXIT_MARGIN),
        }
    }

    /// Whether a request that has not been sent may be sent now. Its `deadline` is when its client stops waiting.
    pub fn may_send(&self, now: Duration, deadline: Duration) -> bool {
        now < self.settled_at() || deadline <= self.answer_at
    }

    /// Whether the process may exit once nothing is in flight.
    pub fn may_exit(&self, now: Duration) -> bool {
        now >= self.settled_at()
    }

    /// When all requests that were in transit at the end of the notice have arrived.
    fn settled_at(&self) -> Duration {
        self.answer_at.min(self.notice_end + TRANSIT_TIME)
    }
}
