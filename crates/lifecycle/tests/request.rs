//! Compares the request state machine with a reference model that only records which sends may have been acted on.

use lifecycle::request::{Request, RequestEvent as E, RequestState as S, RequestStep as T, RetryPolicy};
use quickcheck::{Gen, QuickCheck};
use wire::client::Ran;

/// Fixed, so that every run tests the same cases.
const SEED: u64 = 9;

fn seeded() -> QuickCheck {
    QuickCheck::new().rng(Gen::from_size_and_seed(100, SEED))
}

const EVENTS: [E; 9] = [
    E::ClaimHeld,
    E::SendStarts,
    E::SendFailed,
    E::EndpointRefused,
    E::HeadArrived,
    E::PartArrived,
    E::AnswerFailed,
    E::AnswerComplete,
    E::GiveUp,
];
const POLICIES: [RetryPolicy; 3] = [RetryPolicy::Idempotent, RetryPolicy::Once, RetryPolicy::Claimed];

/// What an observer outside the state machine can see.
#[derive(Default)]
struct ReferenceModel {
    claimed: bool,
    sends: u32,
    sending: bool,
    may_have_run: bool,
    delivered: bool,
    ends: u32,
}

impl ReferenceModel {
    fn check(&mut self, policy: RetryPolicy, event: E, step: T, request: &Request) {
        match step {
            T::Send => {
                assert!(
                    !self.sending && self.ends == 0,
                    "two sends at once, or one after the end"
                );
                assert!(
                    policy == RetryPolicy::Idempotent || !self.may_have_run,
                    "sent again after it may have run"
                );
                assert!(policy != RetryPolicy::Claimed || self.claimed, "sent without a claim");
                self.sending = true;
                self.sends += 1;
            }
            T::Choose if event == E::ClaimHeld => self.claimed = true,
            T::Choose | T::Resume => {
                assert!(
                    step == T::Resume || !self.delivered,
                    "restarted after the client received a part"
                );
                self.may_have_run |= event != E::EndpointRefused;
                self.sending = false;
            }
            T::Deliver => {
                assert!(self.sending, "delivered a part without a send");
                self.delivered = true;
            }
            T::RefuseNotRun => assert!(
                !self.sending && !self.may_have_run,
                "refused as not run although it may have run"
            ),
            _ => {}
        }
        self.ends += u32::from(matches!(step, T::Answer | T::RefuseNotRun | T::FailUnknown));
        assert_eq!(self.ends > 0, request.ended());
        assert!(self.ends <= 1, "a request ended twice");
        let not_sent = !self.sending && !self.may_have_run && self.ends == 0 || request.state() == S::Refused;
        assert_eq!(
            request.ran() == Ran::NotRun,
            not_sent,
            "{event:?} {step:?} {:?}",
            request.state()
        );
    }
}

// Connections break, endpoints refuse, answers arrive late and clients disconnect, in any order. Guards against a
// command that runs twice, a wrong "not run" and a second answer.
#[test]
fn no_order_of_events_repeats_or_misreports_a_call() {
    fn check_events(policy: usize, events: Vec<usize>) -> bool {
        let policy = POLICIES[policy % POLICIES.len()];
        let mut request = Request::new(policy);
        let mut reference = ReferenceModel::default();
        for event in events {
            let event = EVENTS[event % EVENTS.len()];
            let before = (request.state(), request.ran());
            let step = request.on(event);
            if step == T::Forbidden || step == T::Ignore {
                assert_eq!(
                    before,
                    (request.state(), request.ran()),
                    "a rejected event changed the state"
                );
                continue;
            }
            reference.check(policy, event, step, &request);
        }
        true
    }
    seeded()
        .tests(20_000)
        .quickcheck(check_events as fn(usize, Vec<usize>) -> bool);
}

/// The retry policy, the events, the last step, and what a refusal may state afterwards.
struct Case(RetryPolicy, &'static [E], T, Ran);

#[track_caller]
fn check(case: &Case) {
    let Case(policy, events, last, ran) = case;
    let mut request = Request::new(*policy);
    let steps: Vec<T> = events.iter().map(|event| request.on(*event)).collect();
    assert_eq!(
        (steps.last(), request.ran()),
        (Some(last), *ran),
        "{policy:?} {events:?}"
    );
}

// An endpoint fails while it handles a call, so that it is unknown whether a fan command was executed. The client must
// get "unknown", never "not run". A completion is sent again.
#[test]
fn a_call_that_may_have_run_is_not_reported_as_not_run() {
    use RetryPolicy::{Claimed, Idempotent, Once};
    let cases = [
        Case(Claimed, &[E::SendStarts], T::Forbidden, Ran::NotRun),
        Case(Claimed, &[E::ClaimHeld, E::GiveUp], T::RefuseNotRun, Ran::NotRun),
        Case(
            Claimed,
            &[E::ClaimHeld, E::SendStarts, E::SendFailed],
            T::FailUnknown,
            Ran::Unknown,
        ),
        Case(Once, &[E::SendStarts, E::EndpointRefused], T::Choose, Ran::NotRun),
        Case(
            Once,
            &[E::SendStarts, E::HeadArrived, E::AnswerFailed],
            T::FailUnknown,
            Ran::Unknown,
        ),
        Case(Idempotent, &[E::SendStarts, E::SendFailed], T::Choose, Ran::Unknown),
        Case(
            Idempotent,
            &[E::SendStarts, E::SendFailed, E::GiveUp],
            T::FailUnknown,
            Ran::Unknown,
        ),
        Case(
            Idempotent,
            &[E::SendStarts, E::HeadArrived, E::PartArrived, E::AnswerFailed],
            T::Resume,
            Ran::Unknown,
        ),
        Case(
            Idempotent,
            &[E::SendStarts, E::HeadArrived, E::AnswerComplete, E::PartArrived],
            T::Ignore,
            Ran::Unknown,
        ),
    ];
    cases.iter().for_each(check);
}
