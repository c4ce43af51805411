//! Why jobs are refused, and whether the time to come back is true.

use admission::{Admission, Job, Next, Offer, Outcome, Reason, Refusal, Settings, Ticket, Tokens};
use ids::{Priority, WorkspaceId};
use std::collections::VecDeque;
use std::time::Duration;

const SLOTS: u32 = 4;
/// Expected of a fresh pool for a job of `OUTPUT` tokens without a prompt.
const SERVICE: Duration = Duration::from_millis(520);
const OUTPUT: u64 = 25;
const START: Duration = Duration::from_secs(500);

struct Case {
    name: &'static str,
    slots: u32,
    /// Jobs offered before, all without a deadline.
    before: u32,
    slack: Option<Duration>,
    reason: Option<Reason>,
}

fn job(workspace: &str, deadline: Option<Duration>) -> Job {
    let tokens = Tokens {
        uncached: 0,
        output: OUTPUT,
    };
    let workspace = WorkspaceId::from(workspace);
    Job {
        workspace,
        weight: 1,
        priority: Priority(5),
        tokens,
        deadline,
    }
}

/// Serves jobs that take as long as is assumed, one after the other, until `now`.
fn learn(pool: &mut Admission, job: &Job, answers: (u32, u64), now: Duration) {
    let (count, output) = answers;
    pool.set_capacity(1, Duration::ZERO);
    for _ in 0..count {
        let first_token = Duration::from_millis(20);
        let total = first_token + Duration::from_millis(20) * output as u32;
        let Offer::Start(ticket) = pool.offer(job, now - total) else {
            panic!("an idle pool starts it")
        };
        let tokens = Tokens { uncached: 0, output };
        pool.finish(ticket, Outcome::Served { first_token, tokens }, now)
            .expect("a running job");
    }
}

fn filled(slots: u32, before: u32) -> (Admission, VecDeque<(Duration, Ticket)>) {
    let mut pool = Admission::new(Settings::default());
    learn(&mut pool, &job("one", None), (10, OUTPUT), START);
    pool.set_capacity(slots, START);
    let mut running = VecDeque::new();
    for _ in 0..before {
        if let Offer::Start(ticket) = pool.offer(&job("one", None), START) {
            running.push_back((START + SERVICE, ticket));
        }
    }
    (pool, running)
}

fn check(cases: &[Case]) {
    for case in cases {
        let (mut pool, _) = filled(case.slots, case.before);
        let refused = match pool.offer(&job("one", case.slack.map(|slack| START + slack)), START) {
            Offer::Refuse(refusal) => Some(refusal),
            Offer::Start(_) | Offer::Wait(_) => None,
        };
        assert_eq!(refused.map(|refusal| refusal.reason), case.reason, "{}", case.name);
        let back = refused.is_some_and(|refusal| refusal.retry_after.is_some());
        let helps = case.reason.is_some_and(|reason| reason != Reason::DeadlineShort);
        assert_eq!(back, helps, "{}: when to come back", case.name);
    }
}

/// A refusal names what is wrong, so that the caller can tell whether to come back, to wait longer or to ask for less.
#[test]
fn reasons() {
    let case = |name, slots, before, slack: Option<u64>, reason| {
        let slack = slack.map(Duration::from_millis);
        Case {
            name,
            slots,
            before,
            slack,
            reason,
        }
    };
    check(&[
        case("idle", SLOTS, 0, Some(1_000), None),
        case("shorter than the job", SLOTS, 0, Some(500), Some(Reason::DeadlineShort)),
        case("short queue", SLOTS, 8, Some(3_000), None),
        case("long queue", SLOTS, 40, Some(3_000), Some(Reason::DeadlineUnreachable)),
        case("long queue, patient", SLOTS, 40, Some(60_000), None),
        case(
            "very long queue, patient",
            SLOTS,
            400,
            Some(60_000),
            Some(Reason::Overloaded),
        ),
        case(
            "very long queue, no deadline",
            SLOTS,
            400,
            None,
            Some(Reason::Overloaded),
        ),
        case("no endpoint", 0, 0, None, Some(Reason::NoCapacity)),
    ]);
}

/// A caller is refused, comes back when it is told to and nobody else has come meanwhile. Were it refused again, the time
/// was a lie, and callers would learn to ask all the time.
#[test]
fn coming_back_helps() {
    for (before, slack) in [(20, 2_000), (40, 2_000), (40, 4_000), (60, 1_000)] {
        let slack = Duration::from_millis(slack);
        let (mut pool, mut running) = filled(SLOTS, before);
        let offer = pool.offer(&job("two", Some(START + slack)), START);
        let other = pool.offer(&job("one", Some(START + slack)), START);
        assert!(
            matches!(offer, Offer::Wait(_)),
            "another workspace waits behind the queue of the first"
        );
        let Offer::Refuse(Refusal {
            retry_after: Some(back),
            ..
        }) = other
        else {
            panic!("{before}: {other:?}")
        };
        let again = START + back;
        while let Some((end, ticket)) = running.pop_front_if(|(end, _)| *end <= again) {
            let first_token = Duration::from_millis(20);
            pool.finish(
                ticket,
                Outcome::Served {
                    first_token,
                    tokens: job("one", None).tokens,
                },
                end,
            )
            .expect("running");
            while let Next::Start(ticket) = pool.next(end) {
                running.push_back((end + SERVICE, ticket));
            }
        }
        let offer = pool.offer(&job("one", Some(again + slack)), again);
        assert!(
            !matches!(offer, Offer::Refuse(_)),
            "{before}: refused again after {back:?}"
        );
        assert!(back < SERVICE * before / SLOTS * 2, "{before}: sent away for {back:?}");
    }
}

/// All endpoints go away for good. Callers in the queue must not be held until their deadlines.
#[test]
fn an_empty_pool_gives_up_its_queue() {
    let (mut pool, _) = filled(SLOTS, 20);
    pool.set_capacity(0, START);
    assert_eq!(pool.next(START), Next::Wait, "a short outage does not refuse anyone");
    let later = START + Duration::from_millis(1_100);
    for _ in 0..16 {
        let Next::Expired(_, refusal) = pool.next(later) else {
            panic!("still waiting after {later:?}")
        };
        assert_eq!(refusal.reason, Reason::NoCapacity);
    }
    assert_eq!((pool.next(later), pool.next_check()), (Next::Wait, None));
}

/// A router starts while callers allow 4,000 tokens within five seconds, as ever, and get 25. It assumes more than a minute
/// for them; were that held against the deadline it would refuse all of them for good. Answers that do become as long as
/// they may are refused once that is known, and no longer once that has changed.
#[test]
fn a_new_router_serves_what_it_cannot_judge() {
    let histories = [
        (vec![(10, 25)], true),
        (vec![(10, 4_000)], false),
        (vec![(40, 4_000), (80, 25)], true),
    ];
    for (answers, admitted) in histories {
        let mut pool = Admission::new(Settings::default());
        let mut job = job("one", Some(START + Duration::from_secs(5)));
        job.tokens = Tokens {
            uncached: 100_000,
            output: 4_000,
        };
        pool.set_capacity(SLOTS, START);
        let Offer::Start(ticket) = pool.offer(&job, START) else {
            panic!("refused by a new router")
        };
        pool.cancel(ticket);
        job.tokens.uncached = 0;
        for answers in &answers {
            learn(
                &mut pool,
                &Job {
                    deadline: None,
                    ..job.clone()
                },
                *answers,
                START,
            );
        }
        assert_eq!(
            matches!(pool.offer(&job, START), Offer::Start(_)),
            admitted,
            "after {answers:?}"
        );
    }
}

/// The queue's memory bound is reached though nobody would wait long. The caller is told a time from the queue, not a
/// constant: the more are refused, the later they are to come.
#[test]
fn a_full_queue_says_when() {
    let mut pool = Admission::new(Settings::builder().max_queued(2).build());
    learn(&mut pool, &job("one", None), (10, OUTPUT), START);
    pool.set_capacity(SLOTS, START);
    let mut told = Vec::new();
    for _ in 0..SLOTS + 2 + 3 {
        if let Offer::Refuse(Refusal { reason, retry_after }) = pool.offer(&job("one", None), START) {
            assert_eq!(reason, Reason::Overloaded);
            told.push(retry_after.expect("a time to come back"));
        }
    }
    assert!(
        told.len() == 3 && told.is_sorted() && told[0] < told[2] && told[2] < SERVICE * 3,
        "{told:?}"
    );
}
