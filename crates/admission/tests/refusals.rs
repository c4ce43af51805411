//! Reasons of refusals, and whether a retry after the returned delay is admitted.

use admission::{Admission, Job, Next, Offer, Outcome, Reason, Refusal, Settings, Ticket, Tokens};
use ids::{Priority, WorkspaceId};
use std::collections::VecDeque;
use std::time::Duration;

const SLOTS: u32 = 4;
/// Expected service time of a job of `OUTPUT` tokens without a prompt in a new pool.
const SERVICE: Duration = Duration::from_millis(520);
const OUTPUT: u64 = 25;
const START: Duration = Duration::from_secs(500);

struct Case {
    name: &'static str,
    slots: u32,
    /// Jobs offered before, all without a deadline.
    preceding: u32,
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

/// Serves jobs with the initially assumed service time, one after the other, until `now`.
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

fn filled_pool(slots: u32, preceding: u32) -> (Admission, VecDeque<(Duration, Ticket)>) {
    let mut pool = Admission::new(Settings::default());
    learn(&mut pool, &job("one", None), (10, OUTPUT), START);
    pool.set_capacity(slots, START);
    let mut running = VecDeque::new();
    for _ in 0..preceding {
        if let Offer::Start(ticket) = pool.offer(&job("one", None), START) {
            running.push_back((START + SERVICE, ticket));
        }
    }
    (pool, running)
}

fn check(cases: &[Case]) {
    for case in cases {
        let (mut pool, _) = filled_pool(case.slots, case.preceding);
        let refused = match pool.offer(&job("one", case.slack.map(|slack| START + slack)), START) {
            Offer::Refuse(refusal) => Some(refusal),
            Offer::Start(_) | Offer::Wait(_) => None,
        };
        assert_eq!(refused.map(|refusal| refusal.reason), case.reason, "{}", case.name);
        let retry_after = refused.is_some_and(|refusal| refusal.retry_after.is_some());
        let expected = case.reason.is_some_and(|reason| reason != Reason::DeadlineShort);
        assert_eq!(retry_after, expected, "{}: retry-after", case.name);
    }
}

/// A wrong reason would mislead the client about whether to retry, to allow more time or to ask for less.
#[test]
fn refusals_name_their_reason() {
    let case = |name, slots, preceding, slack: Option<u64>, reason| {
        let slack = slack.map(Duration::from_millis);
        Case {
            name,
            slots,
            preceding,
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

/// A refused client retries after the returned delay, and no other job has arrived meanwhile. If it were refused again,
/// the delay would be useless and clients would retry all the time.
#[test]
fn retry_after_leads_to_admission() {
    for (preceding, slack) in [(20, 2_000), (40, 2_000), (40, 4_000), (60, 1_000)] {
        let slack = Duration::from_millis(slack);
        let (mut pool, mut running) = filled_pool(SLOTS, preceding);
        let offer = pool.offer(&job("two", Some(START + slack)), START);
        let other = pool.offer(&job("one", Some(START + slack)), START);
        assert!(
            matches!(offer, Offer::Wait(_)),
            "another workspace waits behind the queue of the first"
        );
        let Offer::Refuse(Refusal {
            retry_after: Some(retry_after),
            ..
        }) = other
        else {
            panic!("{preceding}: {other:?}")
        };
        let retry_at = START + retry_after;
        while let Some((end, ticket)) = running.pop_front_if(|(end, _)| *end <= retry_at) {
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
        let offer = pool.offer(&job("one", Some(retry_at + slack)), retry_at);
        assert!(
            !matches!(offer, Offer::Refuse(_)),
            "{preceding}: refused again after {retry_after:?}"
        );
        assert!(
            retry_after < SERVICE * preceding / SLOTS * 2,
            "{preceding}: retry-after of {retry_after:?} is too long"
        );
    }
}

/// All endpoints leave permanently. Queued clients must not be held until their deadlines.
#[test]
fn pool_without_endpoints_refuses_its_queue() {
    let (mut pool, _) = filled_pool(SLOTS, 20);
    pool.set_capacity(0, START);
    assert_eq!(pool.next(START), Next::Wait, "a short outage refuses no job");
    let later = START + Duration::from_millis(1_100);
    for _ in 0..16 {
        let Next::Expired(_, refusal) = pool.next(later) else {
            panic!("still waiting after {later:?}")
        };
        assert_eq!(refusal.reason, Reason::NoCapacity);
    }
    assert_eq!((pool.next(later), pool.next_check()), (Next::Wait, None));
}

/// A router starts while clients allow 4,000 tokens within five seconds and use 25. The initial assumption for 4,000
/// tokens is more than a minute. Applied to the deadline, it would refuse all of these jobs permanently. Jobs whose
/// answers do use the allowed length are refused once that has been observed, and admitted again once it has changed.
#[test]
fn new_router_does_not_refuse_on_assumptions() {
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

/// The queue's length bound is reached although the expected wait is short. The retry-after must follow from the queue
/// instead of a constant: it grows with the number of refused jobs.
#[test]
fn full_queue_returns_retry_after() {
    let mut pool = Admission::new(Settings::builder().max_queued(2).build());
    learn(&mut pool, &job("one", None), (10, OUTPUT), START);
    pool.set_capacity(SLOTS, START);
    let mut delays = Vec::new();
    for _ in 0..SLOTS + 2 + 3 {
        if let Offer::Refuse(Refusal { reason, retry_after }) = pool.offer(&job("one", None), START) {
            assert_eq!(reason, Reason::Overloaded);
            delays.push(retry_after.expect("a retry-after"));
        }
    }
    assert!(
        delays.len() == 3 && delays.is_sorted() && delays[0] < delays[2] && delays[2] < SERVICE * 3,
        "{delays:?}"
    );
}
