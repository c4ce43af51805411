//! A request's life against a naive model that only remembers which sends could have been acted on.

use lifecycle::request::{Repeat, Request, RequestEvent as E, RequestState as S, RequestStep as T};
use quickcheck::{Gen, QuickCheck};
use wire::client::Ran;

/// Each run tries the same cases, so that its verdict is the same.
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
    E::AnswerBroke,
    E::AnswerWhole,
    E::GiveUp,
];
const REPEATS: [Repeat; 3] = [Repeat::Idempotent, Repeat::Once, Repeat::Claimed];

/// What an observer outside the machine knows.
#[derive(Default)]
struct Naive {
    claimed: bool,
    sends: u32,
    open: bool,
    exposed: bool,
    delivered: bool,
    ends: u32,
}

impl Naive {
    fn check(&mut self, repeat: Repeat, event: E, step: T, request: &Request) {
        match step {
            T::Send => {
                assert!(!self.open && self.ends == 0, "two sends at once, or one after the end");
                assert!(
                    repeat == Repeat::Idempotent || !self.exposed,
                    "sent again after it may have run"
                );
                assert!(repeat != Repeat::Claimed || self.claimed, "sent without a claim");
                self.open = true;
                self.sends += 1;
            }
            T::Choose if event == E::ClaimHeld => self.claimed = true,
            T::Choose | T::Resume => {
                assert!(
                    step == T::Resume || !self.delivered,
                    "starts anew after the caller has seen a part"
                );
                self.exposed |= event != E::EndpointRefused;
                self.open = false;
            }
            T::Deliver => {
                assert!(self.open, "a part of no send is delivered");
                self.delivered = true;
            }
            T::RefuseNotRun => assert!(!self.open && !self.exposed, "refused as not run, and it may have run"),
            _ => {}
        }
        self.ends += u32::from(matches!(step, T::Answer | T::RefuseNotRun | T::FailUnknown));
        assert_eq!(self.ends > 0, request.ended());
        assert!(self.ends <= 1, "a request ended twice");
        let untouched = !self.open && !self.exposed && self.ends == 0 || request.state() == S::Refused;
        assert_eq!(
            request.ran() == Ran::NotRun,
            untouched,
            "{event:?} {step:?} {:?}",
            request.state()
        );
    }
}

// Connections break, endpoints refuse, answers come late and callers leave, in any order and at any moment. A caller
// would notice a doubled command, a false "not run" or a second answer.
#[test]
fn any_order_of_events() {
    fn holds(repeat: usize, events: Vec<usize>) -> bool {
        let repeat = REPEATS[repeat % REPEATS.len()];
        let mut request = Request::new(repeat);
        let mut naive = Naive::default();
        for event in events {
            let event = EVENTS[event % EVENTS.len()];
            let before = (request.state(), request.ran());
            let step = request.on(event);
            if step == T::Forbidden || step == T::Ignore {
                assert_eq!(
                    before,
                    (request.state(), request.ran()),
                    "a refused event changed something"
                );
                continue;
            }
            naive.check(repeat, event, step, &request);
        }
        true
    }
    seeded()
        .tests(20_000)
        .quickcheck(holds as fn(usize, Vec<usize>) -> bool);
}

/// How often it may be sent, what happens, the last step, and what may be said then.
struct Case(Repeat, &'static [E], T, Ran);

#[track_caller]
fn check(case: &Case) {
    let Case(repeat, events, last, ran) = case;
    let mut request = Request::new(*repeat);
    let steps: Vec<T> = events.iter().map(|event| request.on(*event)).collect();
    assert_eq!(
        (steps.last(), request.ran()),
        (Some(last), *ran),
        "{repeat:?} {events:?}"
    );
}

// An endpoint dies while it works, and nobody can tell whether the fan command was carried out. The caller must
// read "unknown", never "not run"; a completion is simply sent again.
#[test]
fn what_the_caller_is_told() {
    use Repeat::{Claimed, Idempotent, Once};
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
            &[E::SendStarts, E::HeadArrived, E::AnswerBroke],
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
            &[E::SendStarts, E::HeadArrived, E::PartArrived, E::AnswerBroke],
            T::Resume,
            Ran::Unknown,
        ),
        Case(
            Idempotent,
            &[E::SendStarts, E::HeadArrived, E::AnswerWhole, E::PartArrived],
            T::Ignore,
            Ran::Unknown,
        ),
    ];
    cases.iter().for_each(check);
}
