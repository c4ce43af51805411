//! Submits a change to the platform's service with calls that may fail or whose responses may be lost.
//!
//! A state machine without I/O: it returns one call after the other and receives their results. If the response to the
//! last write is lost, the document in force tells whether it took effect, so a change is neither lost nor applied twice.

mod loader;

pub use loader::{Loader, Loading, Stored};

use crate::{
    Change, ChangeId, ChangeRefused, HEAD_KEY, Head, OperatorKey, Plan, Settled, UnixMillis, Value, View, bootstrap,
    plan_change, settle,
};
use ids::{Revision, Version};

/// A call to the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Call {
    /// Read this key.
    Read(String),
    /// Write by compare-and-swap.
    Write {
        /// The key.
        key: String,
        /// The new text.
        text: String,
        /// The version it must have now.
        expect: Version,
    },
}

/// The result of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// The current value of the key: the result of a read, or of a write whose expected version did not match.
    Found(Stored),
    /// The write took effect.
    Written,
    /// No response: the call may or may not have taken effect.
    Failed,
}

/// The operation that an operator requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Intent {
    /// Change one section.
    Change(Change),
    /// Write the first document.
    First {
        /// Chosen by the command and reused in its retries.
        id: ChangeId,
        /// Name of the operator.
        operator: String,
        /// The complete document.
        text: String,
    },
}

impl Intent {
    fn id(&self) -> &ChangeId {
        match self {
            Self::Change(change) => &change.id,
            Self::First { id, .. } => id,
        }
    }
}

/// The result of a submission.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// In force as this revision. Unused keys may be deleted.
    Accepted {
        /// The revision.
        revision: Revision,
        /// Keys to delete, best effort.
        garbage: Vec<String>,
    },
    /// Refused; nothing changed.
    Refused(ChangeRefused),
    /// The stored document is damaged; nothing was changed.
    Damaged,
    /// Cancelled before the last write was sent; nothing changed.
    NotSent,
    /// Cancelled after the last write was sent and got no response: it may still be accepted. `history` shows whether it was.
    Undecided,
    /// The audit log no longer covers the time of the change.
    Unknown,
}

/// What to do next.
#[derive(Debug, Clone, PartialEq)]
pub enum Next {
    /// Make this call, and tell what came back.
    Call(Call),
    /// The platform does not respond: wait briefly, then make this call.
    Retry(Call),
    /// The submission has ended.
    Done(Outcome),
}

#[derive(Debug, Clone)]
enum Stage {
    Load,
    Put {
        plan: Box<Plan>,
        version: Version,
        place: usize,
    },
    Swap {
        plan: Box<Plan>,
        version: Version,
    },
}

/// One change that is being submitted.
#[derive(Clone)]
pub struct Submission {
    intent: Intent,
    key: OperatorKey,
    at: UnixMillis,
    loader: Loader,
    stage: Stage,
    /// The last write that was sent and got no response.
    sent: Option<(Box<Plan>, Version)>,
    /// Keys written for this change, whether in use or not.
    written: Vec<String>,
}

impl Submission {
    /// Creates a submission; `at` is the time for the audit trail.
    pub fn new(intent: Intent, key: OperatorKey, at: UnixMillis) -> Self {
        Self {
            intent,
            key,
            at,
            loader: Loader::new(),
            stage: Stage::Load,
            sent: None,
            written: Vec::new(),
        }
    }

    /// The pending call.
    pub fn call(&self) -> Call {
        match &self.stage {
            Stage::Load => self.loader.call(),
            Stage::Put { plan, place, .. } => {
                let put = &plan.puts[*place];
                Call::Write {
                    key: put.key.clone(),
                    text: put.text.clone(),
                    expect: Version(0),
                }
            }
            Stage::Swap { plan, version } => Call::Write {
                key: HEAD_KEY.to_owned(),
                text: plan.head.text(),
                expect: *version,
            },
        }
    }

    /// Processes the result of [`call`](Self::call) and returns the next step.
    pub fn on(&mut self, answer: Answer) -> Next {
        match (&mut self.stage, answer) {
            (Stage::Swap { plan, version }, Answer::Failed) => {
                self.sent = Some((plan.clone(), *version));
                self.stage = Stage::Load;
                Next::Retry(self.call())
            }
            (_, Answer::Failed) => Next::Retry(self.call()),
            (Stage::Load, Answer::Found(stored)) => match self.loader.on(stored) {
                Loading::Read(_) => Next::Call(self.call()),
                Loading::Empty(version) => self.decide(None, version),
                Loading::Loaded(view, version) => self.decide(Some(&view), version),
                Loading::Damaged(_) => Next::Done(Outcome::Damaged),
            },
            (Stage::Load, Answer::Written) => Next::Call(self.call()),
            (Stage::Put { .. }, answer) => self.put(&answer),
            (Stage::Swap { plan, .. }, Answer::Written) => Next::Done(Outcome::Accepted {
                revision: plan.head.revision,
                garbage: plan.garbage.clone(),
            }),
            (Stage::Swap { .. }, Answer::Found(_)) => self.load(),
        }
    }

    /// The outcome if no further call is made.
    pub fn give_up(&self) -> Outcome {
        if self.sent.is_some() || matches!(self.stage, Stage::Swap { .. }) {
            return Outcome::Undecided;
        }
        Outcome::NotSent
    }

    /// Keys that were written and never used, once the submission has ended with `outcome`. The caller should delete them,
    /// best effort. Empty as long as the change may still be accepted.
    pub fn leftovers(&self, outcome: &Outcome) -> Vec<String> {
        let in_use: &[Value] = match (outcome, &self.stage, &self.sent) {
            (Outcome::Refused(_) | Outcome::NotSent, ..) => &[],
            (Outcome::Accepted { .. }, Stage::Swap { plan, .. }, _) => &plan.puts,
            (Outcome::Accepted { .. }, _, Some((plan, _))) => &plan.puts,
            _ => return Vec::new(),
        };
        let unused = self
            .written
            .iter()
            .filter(|key| in_use.iter().all(|put| put.key != **key));
        unused.cloned().collect()
    }

    fn load(&mut self) -> Next {
        self.stage = Stage::Load;
        Next::Call(self.call())
    }

    /// A key that already exists was written by an earlier attempt of the same change.
    fn put(&mut self, answer: &Answer) -> Next {
        let Stage::Put { plan, version, place } = &mut self.stage else {
            return self.load();
        };
        if let Answer::Found(stored) = answer
            && stored.text.as_ref() != Some(&plan.puts[*place].text)
        {
            return Next::Done(Outcome::Damaged);
        }
        self.written.push(plan.puts[*place].key.clone());
        *place += 1;
        if *place == plan.puts.len() {
            self.stage = Stage::Swap {
                plan: plan.clone(),
                version: *version,
            };
        }
        Next::Call(self.call())
    }

    fn decide(&mut self, view: Option<&View>, version: Version) -> Next {
        if let Some((plan, sent)) = &self.sent {
            match settled(self.intent.id(), plan.base, view) {
                Settled::Accepted(revision) => {
                    return Next::Done(Outcome::Accepted {
                        revision,
                        garbage: plan.garbage.clone(),
                    });
                }
                Settled::NotYet => {
                    self.stage = Stage::Swap {
                        plan: plan.clone(),
                        version: *sent,
                    };
                    return Next::Call(self.call());
                }
                Settled::Unknown => return Next::Done(Outcome::Unknown),
                Settled::Lost => self.sent = None,
            }
        }
        match self.plan(view) {
            Err(ChangeRefused::Accepted(revision)) => Next::Done(Outcome::Accepted {
                revision,
                garbage: Vec::new(),
            }),
            Err(refused) => Next::Done(Outcome::Refused(refused)),
            Ok(plan) => {
                self.stage = Stage::Put {
                    plan: Box::new(plan),
                    version,
                    place: 0,
                };
                Next::Call(self.call())
            }
        }
    }

    fn plan(&self, view: Option<&View>) -> Result<Plan, ChangeRefused> {
        match (&self.intent, view) {
            (Intent::Change(change), Some(view)) => plan_change(view, change, &self.key, self.at),
            (Intent::Change(_), None) => Err(ChangeRefused::Empty),
            (Intent::First { id, operator, text }, None) => bootstrap(id, operator, &self.key, text, self.at),
            (Intent::First { id, .. }, Some(view)) => Err(match view.log.find(id) {
                Some(record) => ChangeRefused::Accepted(record.revision),
                None => ChangeRefused::NotEmpty,
            }),
        }
    }
}

fn settled(id: &ChangeId, base: Revision, view: Option<&View>) -> Settled {
    let Some(view) = view else {
        return Settled::NotYet;
    };
    let head: &Head = &view.head;
    settle(id, base, head, &view.log)
}
