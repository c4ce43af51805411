//! When a watch is known to have delivered all changes.

use dispatch::catch_up::CatchUp;
use std::time::Duration;

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[derive(Debug, Clone, Copy)]
enum Step {
    /// A watch sent at this time returned changes up to this revision.
    Changes(u64, u64),
    /// A watch sent at this time returned none.
    None(u64),
    /// The store named this revision in the response to a call sent at this time, while the watch had reached another.
    Named { revision: u64, sent: u64, reached: u64 },
}

/// Part of the missed changes must not be taken for all of them.
#[test]
fn only_proofs_confirm_the_contents() {
    struct Case {
        name: &'static str,
        steps: &'static [Step],
        /// What each step shows.
        complete: &'static [Option<u64>],
    }
    let cases = [
        Case {
            name: "changes alone show nothing",
            steps: &[Step::Changes(100, 5), Step::Changes(200, 9)],
            complete: &[None, None],
        },
        Case {
            name: "a response without changes shows that there were none when it was asked for",
            steps: &[Step::Changes(100, 5), Step::None(200)],
            complete: &[None, Some(200)],
        },
        Case {
            name: "the watch has reached the named revision before",
            steps: &[
                Step::Changes(100, 5),
                Step::Named {
                    revision: 5,
                    sent: 110,
                    reached: 5,
                },
            ],
            complete: &[None, Some(110)],
        },
        Case {
            name: "the watch reaches the named revision in parts",
            steps: &[
                Step::Changes(100, 5),
                Step::Named {
                    revision: 9,
                    sent: 110,
                    reached: 5,
                },
                Step::Changes(120, 8),
                Step::Changes(130, 10),
                Step::Changes(140, 12),
            ],
            complete: &[None, None, None, Some(110), None],
        },
        Case {
            name: "a response without changes replaces a revision that was named before",
            steps: &[
                Step::Named {
                    revision: 9,
                    sent: 110,
                    reached: 5,
                },
                Step::None(200),
                Step::Changes(300, 20),
            ],
            complete: &[None, Some(200), None],
        },
    ];
    for case in cases {
        let mut catch_up = CatchUp::after_read(at(10));
        for (step, expected) in case.steps.iter().zip(case.complete) {
            let complete = match *step {
                Step::Changes(sent, revision) => catch_up.watched(at(sent), true, revision),
                Step::None(sent) => catch_up.watched(at(sent), false, 0),
                Step::Named {
                    revision,
                    sent,
                    reached,
                } => catch_up.revision_named(revision, at(sent), reached),
            };
            assert_eq!(complete, expected.map(at), "{}: {step:?}", case.name);
        }
    }
}

/// Each call to the store is billed, and on a busy store no other proof comes.
#[test]
fn the_revision_is_asked_for_only_without_a_recent_proof() {
    let mut catch_up = CatchUp::after_read(at(0));
    catch_up.watched(at(100), true, 5);
    assert!(!catch_up.needs_revision(at(200)));
    assert!(catch_up.needs_revision(at(300)));
    catch_up.revision_named(9, at(300), 5);
    assert!(!catch_up.needs_revision(at(1_600)), "it is known already");
    assert!(catch_up.is_behind(at(1_600)));
    catch_up.watched(at(1_600), true, 9);
    assert!(!catch_up.is_behind(at(1_700)));
    assert!(catch_up.needs_revision(at(1_700)));
}
