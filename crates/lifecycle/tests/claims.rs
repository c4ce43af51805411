//! Simulation of several routers that claim the same key, over a platform that loses, delays and refuses writes.

use ids::{Digest, Version};
use lifecycle::claims::*;
use quickcheck::{Gen, QuickCheck};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;
use wire::client::Ran;

/// Fixed, so that every run tests the same cases.
const SEED: u64 = 7;

fn seeded() -> QuickCheck {
    QuickCheck::new().rng(Gen::from_size_and_seed(100, SEED))
}

/// Minimum number of faults in the long run. Set `LIFECYCLE_FAULTS` for a longer one.
const FAULTS: u64 = 20_000;
const SEND_WINDOW: Duration = Duration::from_secs(5);

enum Task {
    Claiming(Claim, ClaimStep),
    Settling(Settle, SettleStep),
    Idle,
}

struct Router {
    first_attempt: bool,
    call: Digest,
    started: Duration,
    sends: u32,
    response: Option<&'static str>,
    task: Task,
}

#[derive(Default)]
struct Simulation {
    now: Duration,
    value: Option<String>,
    version: u64,
    delayed_writes: Vec<(Option<String>, Version)>,
    executed: Vec<Digest>,
    result: Option<StoredAnswer>,
    faults: u64,
    responses: Vec<&'static str>,
}

impl Simulation {
    fn seen(&self) -> EntryState<'_> {
        EntryState {
            version: Version(self.version),
            value: self.value.as_deref(),
        }
    }

    fn apply(&mut self, value: Option<String>, expect: Version) -> bool {
        if expect.0 != self.version {
            return false;
        }
        let state = |value: &Option<String>| value.as_deref().and_then(Record::from_value).map(|record| record.state);
        let (was, is) = (state(&self.value), state(&value));
        assert!(
            !matches!(was, Some(ClaimState::Done(_))) || was == is,
            "a stored result was lost"
        );
        assert!(
            is.is_some() || self.executed.is_empty(),
            "the key was freed after its call ran"
        );
        self.value = value;
        self.version += 1;
        true
    }

    /// Performs a write with a random fault and returns the event for its sender.
    fn write(&mut self, random: &mut ChaCha8Rng, value: Option<String>, expect: Version) -> ClaimEvent<'_> {
        let fault = random.random_range(0..8);
        self.faults += u64::from(fault < 4);
        match fault {
            0 => return ClaimEvent::Unreachable,
            1 => return ClaimEvent::Lost,
            2 => {
                self.delayed_writes.push((value, expect));
                return ClaimEvent::Lost;
            }
            _ => {}
        }
        let applied = self.apply(value, expect);
        match (fault, applied) {
            (3, _) => ClaimEvent::Lost,
            (_, true) => ClaimEvent::Written(Version(self.version)),
            (_, false) => ClaimEvent::Conflict(self.seen()),
        }
    }

    fn read(&mut self, random: &mut ChaCha8Rng) -> ClaimEvent<'_> {
        if random.random_range(0..4) == 0 {
            self.faults += 1;
            return ClaimEvent::Lost;
        }
        ClaimEvent::Read(self.seen())
    }

    /// Sends the call of a held claim and starts to settle the outcome.
    fn send(&mut self, random: &mut ChaCha8Rng, router: &mut Router, mut held: HeldClaim) -> Task {
        if random.random_range(0..4) == 0 {
            self.faults += 1;
            self.now += Duration::from_secs(random.random_range(0..12));
        }
        let mut outcome = Outcome::NotSent;
        let mut response = "not run";
        if held.may_send(self.now) == MaySend::Now {
            assert!(self.now <= router.started + SEND_WINDOW, "a paused holder sent");
            assert_eq!(held.may_send(self.now), MaySend::Never, "one claim allowed two sends");
            router.sends += 1;
            let kept = StoredAnswer {
                status: 200,
                content: None,
                body: Body::from_bytes(format!("{:?}", self.now).as_bytes()),
            };
            let fault = random.random_range(0..4);
            self.faults += u64::from(fault < 2);
            if fault > 0 {
                self.executed.push(router.call);
                self.result = Some(kept.clone());
            }
            outcome = if fault < 2 {
                Outcome::Unknown
            } else {
                Outcome::Done(kept)
            };
            response = if fault < 2 { "unknown" } else { "answer" };
            // Settling an interrupted send as not sent must not free the key either.
            if fault < 2 && random.random_range(0..2) == 0 {
                outcome = Outcome::NotSent;
            }
        }
        self.respond(router, response);
        let (settle, step) = Settle::start(held, outcome, Duration::from_millis(50), self.now + SEND_WINDOW);
        Task::Settling(settle, step)
    }

    fn respond(&mut self, router: &mut Router, response: &'static str) {
        assert_eq!(router.response.replace(response), None, "a request ended twice");
        let ran = self.executed.contains(&router.call);
        assert!(
            response != "not run" || router.sends == 0 && self.executed.is_empty(),
            "reported as not run although it ran"
        );
        assert!(
            response != "key reused" || !ran,
            "reported as another call's key although it ran"
        );
        self.responses.push(response);
    }

    fn step_claim(&mut self, random: &mut ChaCha8Rng, router: &mut Router, mut claim: Claim, step: ClaimStep) -> Task {
        let response = match step {
            ClaimStep::Won(held) => {
                assert!(
                    claim.clear(SEND_WINDOW, SEND_WINDOW).is_none(),
                    "a held claim would be freed"
                );
                return self.send(random, router, held);
            }
            ClaimStep::Write { .. } | ClaimStep::Read | ClaimStep::Wait(_) => {
                let now = self.now;
                let event = match step {
                    ClaimStep::Write { value, expect } => self.write(random, Some(value), expect),
                    ClaimStep::Read => self.read(random),
                    _ => ClaimEvent::Tick,
                };
                let step = claim.on(event, now);
                return Task::Claiming(claim, step);
            }
            ClaimStep::Answer(kept) => {
                assert_eq!(Some(&kept), self.result.as_ref(), "not the complete answer");
                "stored answer"
            }
            ClaimStep::InProgress => "in progress",
            ClaimStep::Unknown => "unknown to all",
            ClaimStep::KeyReused => "key reused",
            ClaimStep::Unavailable(Ran::Unknown) => "unavailable",
            // The client stated that there was no earlier attempt. Concurrent attempts are the client's responsibility.
            ClaimStep::Unavailable(Ran::NotRun) => {
                assert!(
                    router.first_attempt || self.executed.is_empty(),
                    "an earlier attempt ran"
                );
                "unavailable first"
            }
            ClaimStep::Ended => panic!("no event was sent after the end"),
        };
        self.respond(router, response);
        match claim.clear(Duration::from_millis(50), self.now + SEND_WINDOW) {
            Some((settle, step)) => Task::Settling(settle, step),
            None => Task::Idle,
        }
    }

    fn step_settle(
        &mut self,
        random: &mut ChaCha8Rng,
        response: Option<&str>,
        mut settle: Settle,
        step: SettleStep,
    ) -> Task {
        let now = self.now;
        let event = match step {
            SettleStep::Write { value, expect } => self.write(random, value, expect),
            SettleStep::Read => self.read(random),
            SettleStep::Wait(_) => ClaimEvent::Tick,
            SettleStep::GaveUp => return Task::Idle,
            SettleStep::Settled => {
                let record = self.value.as_deref().and_then(Record::from_value);
                let stored = record.is_some_and(|record| matches!(record.state, ClaimState::Done(_)));
                assert!(
                    response != Some("answer") || stored,
                    "settled without storing the result"
                );
                return Task::Idle;
            }
        };
        let step = settle.on(event, now);
        Task::Settling(settle, step)
    }

    fn step(&mut self, random: &mut ChaCha8Rng, router: &mut Router) {
        let task = std::mem::replace(&mut router.task, Task::Idle);
        router.task = match task {
            Task::Claiming(claim, step) => self.step_claim(random, router, claim, step),
            Task::Settling(settle, step) => self.step_settle(random, router.response, settle, step),
            Task::Idle => Task::Idle,
        };
        assert!(self.executed.len() <= 1, "the call ran twice");
    }
}

fn start_attempt(simulation: &Simulation, random: &mut ChaCha8Rng, index: u128) -> Router {
    let call = Digest::of(if random.random_range(0..6) == 0 {
        b"other call"
    } else {
        b"the call"
    });
    let attempt = if index == 0 { Attempt::First } else { Attempt::Unstated };
    let skew = random.random_range(0..60_000);
    let wall_ms = 1_000_000 + simulation.now.as_millis() as u64 + skew;
    let request = ClaimRequest {
        nonce: Nonce::from(index),
        call,
        wall_ms,
        attempt,
    };
    let limits = ClaimLimits {
        send_window: SEND_WINDOW,
        ..ClaimLimits::default()
    };
    let (claim, step) = Claim::start(request, limits, simulation.now);
    Router {
        first_attempt: index == 0,
        call,
        started: simulation.now,
        sends: 0,
        response: None,
        task: Task::Claiming(claim, step),
    }
}

/// Simulates one key with up to seven attempts at as many routers, in a random order of steps, pauses, router failures
/// and lost answers.
fn run(seed: u64) -> Simulation {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut simulation = Simulation::default();
    let mut routers = Vec::new();
    for _ in 0..160 {
        simulation.now += Duration::from_millis(random.random_range(0..30));
        match random.random_range(0..40) {
            0 => {
                simulation.faults += 1;
                simulation.now += Duration::from_secs(random.random_range(0..200));
            }
            1 if !routers.is_empty() => {
                simulation.faults += 1;
                let failed = random.random_range(0..routers.len());
                routers[failed] = Router {
                    task: Task::Idle,
                    ..start_attempt(&simulation, &mut random, 0)
                };
            }
            2..6 if !simulation.delayed_writes.is_empty() => {
                let (value, expect) = simulation.delayed_writes.remove(0);
                simulation.apply(value, expect);
            }
            6..10 if routers.len() < 7 => routers.push(start_attempt(&simulation, &mut random, routers.len() as u128)),
            _ if !routers.is_empty() => {
                let router = random.random_range(0..routers.len());
                simulation.step(&mut random, &mut routers[router]);
            }
            _ => {}
        }
    }
    simulation
}

// Clients whose answer was lost retry at other routers, while the platform loses answers and delays writes and routers
// fail or pause for seconds. Guards against a call that runs twice and against a wrong "not run".
#[test]
fn no_order_of_faults_runs_a_call_twice() {
    fn check_seed(seed: u64) -> bool {
        run(seed);
        true
    }
    seeded().tests(500).quickcheck(check_seed as fn(u64) -> bool);
}

// The same over many seeds. Also checks that every kind of answer occurs, so that none is left untested.
#[test]
fn many_faults_run_no_call_twice() {
    let min_faults = std::env::var("LIFECYCLE_FAULTS")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(FAULTS);
    let mut faults = 0;
    let mut responses = std::collections::BTreeMap::<_, u64>::new();
    for seed in 0.. {
        let simulation = run(seed);
        faults += simulation.faults;
        simulation
            .responses
            .into_iter()
            .for_each(|response| *responses.entry(response).or_default() += 1);
        if faults >= min_faults {
            println!("{faults} faults over {} keys; responses {responses:?}", seed + 1);
            break;
        }
    }
    let all = [
        "answer",
        "in progress",
        "stored answer",
        "key reused",
        "not run",
        "unavailable",
        "unavailable first",
        "unknown",
    ];
    all.iter()
        .for_each(|response| assert!(responses.contains_key(response), "never happened: {response}"));
    assert!(responses.contains_key("unknown to all"));
}

/// The entry as read back, and the beginning of the expected step.
struct Case(Option<String>, &'static str);

fn entry(nonce: u128, call: &[u8], at: u64, state: ClaimState) -> Option<String> {
    Some(
        Record {
            nonce: Nonce::from(nonce),
            call: Digest::of(call),
            at,
            state,
        }
        .to_value(),
    )
}

#[track_caller]
fn check(case: &Case) {
    let call = Digest::of(b"mine");
    let request = ClaimRequest {
        nonce: Nonce::from(1),
        call,
        wall_ms: 1_000_000,
        attempt: Attempt::Unstated,
    };
    let (mut claim, _) = Claim::start(request, ClaimLimits::default(), Duration::ZERO);
    claim.on(ClaimEvent::Lost, Duration::ZERO);
    let seen = EntryState {
        version: Version(3),
        value: case.0.as_deref(),
    };
    let step = claim.on(ClaimEvent::Read(seen), Duration::ZERO);
    assert!(
        format!("{step:?}").starts_with(case.1),
        "{step:?} instead of {}",
        case.1
    );
}

// The answer to a claim's write is lost, and the router reads the entry back. A wrong decision would run the call twice
// or give the client a wrong answer.
#[test]
fn the_entry_read_back_decides_the_next_step() {
    let done = |body: &[u8]| {
        ClaimState::Done(StoredAnswer {
            status: 200,
            content: None,
            body: Body::from_bytes(body),
        })
    };
    let large = vec![b'x'; MAX_BODY_BYTES + 1];
    let cases = [
        Case(None, "Write"),
        Case(Some("written by a later release".into()), "Unknown"),
        Case(entry(1, b"mine", 990_000, ClaimState::Claimed), "Won"),
        Case(entry(2, b"mine", 990_000, ClaimState::Claimed), "InProgress"),
        Case(entry(2, b"mine", 800_000, ClaimState::Claimed), "Unknown"),
        Case(entry(2, b"mine", 990_000, ClaimState::Unknown), "Unknown"),
        Case(entry(2, b"other", 990_000, ClaimState::Claimed), "InProgress"),
        Case(entry(2, b"other", 990_000, ClaimState::Unknown), "KeyReused"),
        Case(entry(2, b"other", 1, done(b"whole")), "KeyReused"),
        Case(
            entry(2, b"mine", 1, done(b"whole")),
            "Answer(StoredAnswer { status: 200, content: None, body: Text(\"whole\") }",
        ),
        Case(
            entry(2, b"mine", 1, done(&[0xff, 0])),
            "Answer(StoredAnswer { status: 200, content: None, body: Bytes([255, 0]) })",
        ),
        Case(
            entry(2, b"mine", 1, done(&large)),
            "Answer(StoredAnswer { status: 200, content: None, body: TooLarge(65537) })",
        ),
    ];
    cases.iter().for_each(check);
}
