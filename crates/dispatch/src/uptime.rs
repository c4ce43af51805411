//! Since when the store is known to answer, without a break in which an endpoint's lease can have ended.
//!
//! A router that gets no answers can't tell an outage of the store from a cut of its own path, or of the path of a router that it follows.
//! In an outage the entries of living endpoints lapse; behind a cut an entry that goes was removed. So a break in a router's own answers
//! is no outage yet: what the store answered others in that time counts as well.

use std::time::Duration;

/// Shortest break in which a lease can end: it lasts for three heartbeats, 3.6 s at the sites, and is renewed at each of them.
const BREAK: Duration = Duration::from_millis(2_000);

/// A time in which the store answered without a break.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Span {
    /// First answer.
    pub from: Duration,
    /// Last answer.
    pub until: Duration,
}

impl Span {
    fn meets(&self, other: &Self) -> bool {
        self.from < other.until + BREAK && other.from < self.until + BREAK
    }

    fn join(&self, other: &Self) -> Self {
        Self {
            from: self.from.min(other.from),
            until: self.until.max(other.until),
        }
    }
}

/// What a router knows of the store's uptime.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Uptime {
    span: Option<Span>,
    /// Last answer before the break that the span follows.
    before: Option<Duration>,
    /// When an answer to this router was overdue last.
    failed: Option<Duration>,
}

impl Uptime {
    /// The span of the last answer; absent before the first.
    pub fn span(&self) -> Option<Span> {
        self.span
    }

    /// Time since the last answer.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.span.map(|span| now.saturating_sub(span.until))
    }

    /// The break before the span; absent if there was none since the start.
    pub fn last_break(&self) -> Option<Span> {
        let (before, span) = self.before.zip(self.span)?;
        Some(Span {
            from: before,
            until: span.from,
        })
    }

    /// When an answer to this router was overdue last, in the break before the span.
    pub fn overdue_at(&self) -> Option<Duration> {
        let gap = self.last_break()?;
        self.failed.filter(|failed| gap.from < *failed && *failed < gap.until)
    }

    /// A call failed whose answer was due then.
    pub fn failed(&mut self, due: Duration) {
        self.failed = self.failed.max(Some(due));
    }

    /// The store answered this router, or one that it follows.
    pub fn answered(&mut self, answers: Span) {
        match self.span {
            None => self.span = Some(answers),
            Some(span) if span.meets(&answers) => self.span = Some(span.join(&answers)),
            Some(_) => self.resumed(answers),
        }
    }

    /// The same, after a break however short it was. Answers from before it change nothing.
    pub fn resumed(&mut self, answers: Span) {
        let last = self.span.map(|span| span.until);
        if last < Some(answers.until) {
            self.span = Some(answers);
            self.before = last;
        }
    }

    /// The store answered another router. That may fill the break before the span, and tells nothing of how current the list is.
    pub fn witness(&mut self, answers: Span) {
        if let Some(span) = self.span.filter(|span| span.meets(&answers)) {
            self.span = Some(Span {
                from: span.from.min(answers.from),
                until: span.until,
            });
        }
    }
}
