//! How long the store has been available without a break in which an endpoint's lease may have expired.
//!
//! A router without responses can't distinguish an outage of the store from a network partition that affects only this
//! router or its upstream. In an outage the entries of healthy endpoints expire. During a partition an entry that
//! disappears was deregistered. So a break in a router's own responses doesn't count as an outage if the store
//! responded to peers meanwhile.

use std::time::Duration;

/// Shortest break in which a lease may expire. A lease lasts for three heartbeats, 3.6 s, and is renewed at each of
/// them.
const MIN_BREAK: Duration = Duration::from_millis(2_000);

/// A period in which the store responded without a break.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Span {
    /// First response.
    pub from: Duration,
    /// Last response.
    pub until: Duration,
}

impl Span {
    fn touches(&self, other: &Self) -> bool {
        self.from < other.until + MIN_BREAK && other.from < self.until + MIN_BREAK
    }

    fn merge(&self, other: &Self) -> Self {
        Self {
            from: self.from.min(other.from),
            until: self.until.max(other.until),
        }
    }
}

/// Availability of the store as far as a router knows.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Uptime {
    span: Option<Span>,
    /// Last response before the break that precedes the span.
    before: Option<Duration>,
    /// When a response to this router was last overdue.
    overdue: Option<Duration>,
}

impl Uptime {
    /// The span of the last response; `None` before the first.
    pub fn span(&self) -> Option<Span> {
        self.span
    }

    /// Time since the last response.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.span.map(|span| now.saturating_sub(span.until))
    }

    /// The break before the span; `None` if there was none since the start.
    pub fn last_break(&self) -> Option<Span> {
        let (before, span) = self.before.zip(self.span)?;
        Some(Span {
            from: before,
            until: span.from,
        })
    }

    /// When a response to this router was last overdue during the break before the span.
    pub fn overdue_at(&self) -> Option<Duration> {
        let gap = self.last_break()?;
        self.overdue.filter(|due| gap.from < *due && *due < gap.until)
    }

    /// Records a failed call whose response was due at `due`.
    pub fn failed(&mut self, due: Duration) {
        self.overdue = self.overdue.max(Some(due));
    }

    /// Records that the store responded to this router or its upstream.
    pub fn answered(&mut self, answers: Span) {
        match self.span {
            None => self.span = Some(answers),
            Some(span) if span.touches(&answers) => self.span = Some(span.merge(&answers)),
            Some(_) => self.answered_after_break(answers),
        }
    }

    /// Like [`Self::answered`], but always after a break, however short. Responses from before the break change
    /// nothing.
    pub fn answered_after_break(&mut self, answers: Span) {
        let last = self.span.map(|span| span.until);
        if last < Some(answers.until) {
            self.span = Some(answers);
            self.before = last;
        }
    }

    /// Records that the store responded to a peer. That may close the break before the span. It doesn't show
    /// that the endpoint list is current.
    pub fn answered_peer(&mut self, answers: Span) {
        if let Some(span) = self.span.filter(|span| span.touches(&answers)) {
            self.span = Some(Span {
                from: span.from.min(answers.from),
                until: span.until,
            });
        }
    }
}
