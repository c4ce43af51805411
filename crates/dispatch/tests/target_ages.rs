//! Target ages as seen by routers that start, freeze and ask each other.

use dispatch::fleet::{Choice, Fleet, FleetSettings, PickContext, Prompt, PromptPart, SoftwareRule, TargetAge};
use dispatch::retries::RetryLimits;
use dispatch::site::EndpointEntry;
use ids::{DomainId, EndpointId, Incarnation, ModelId, ServiceId, SoftwareVersion};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use std::sync::Arc;
use std::time::Duration;

/// No request may begin on weights after newer ones have been the target for this long.
const HARD_STALENESS: Duration = Duration::from_millis(9_500);
const ROUTERS: usize = 4;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn model() -> ModelId {
    ModelId::from("m")
}

fn entry(weights: u64) -> EndpointEntry {
    EndpointEntry {
        id: EndpointId::from("e"),
        service: ServiceId::from("s"),
        address: "10.0.0.1:80".parse().expect("an address"),
        domain: DomainId::from("here"),
        slots: 8,
        software: SoftwareVersion::from("v1"),
        draining: false,
        incarnation: Incarnation(1),
        weights: vec![(model(), weights)],
    }
}

fn fleet() -> Fleet {
    Fleet::new(FleetSettings {
        domain: DomainId::from("here"),
        retries: RetryLimits {
            ratio: 0.2,
            extra: 100,
            window: ms(10_000),
            routers: 1,
        },
        soft_staleness: ms(7_500),
        hard_staleness: HARD_STALENESS,
    })
}

/// Whether a router would let a prompt begin on an engine with these weights, the only one in the pool.
fn can_begin(fleet: &mut Fleet, weights: u64, now: Duration) -> bool {
    fleet.remove_endpoint(&EndpointId::from("e"), now);
    fleet.upsert_endpoint(&Arc::new(entry(weights)), now);
    let prompt = Prompt {
        model: model(),
        parts: vec![PromptPart { id: 1, tokens: 100 }],
        tokens: 100,
        max_output: 10,
    };
    let context = PickContext {
        service: &ServiceId::from("s"),
        avoid: &[],
        prompt: Some(&prompt),
        scope: 0,
        objective: None,
        pause: None,
        unread: &[],
        rank: 0,
        attempts: 2,
        software: SoftwareRule::Any,
    };
    matches!(fleet.choose(&context, 1, now), Choice::Endpoint(_))
}

/// A simulated router and when it last read the store.
struct Router {
    fleet: Fleet,
    /// Last read of the store; `None` after a start.
    last_read: Option<Duration>,
    frozen_until: Duration,
}

impl Router {
    fn start() -> Self {
        Self {
            fleet: fleet(),
            last_read: None,
            frozen_until: Duration::ZERO,
        }
    }

    /// Reads the newest target. The store shows neither the targets in between nor when they were set.
    fn read_store(&mut self, newest: u64, now: Duration) {
        let age = TargetAge {
            lower: Duration::ZERO,
            upper: self.last_read.map(|last_read| now - last_read),
        };
        self.fleet.set_target(&model(), newest, age, now);
        self.last_read = Some(now);
    }

    fn merge_ages(&mut self, ages: &[(ModelId, u64, TargetAge)], transit: Duration, now: Duration) {
        for (model, weights, age) in ages {
            let age = TargetAge {
                lower: age.lower,
                upper: age.upper.map(|upper| upper + transit),
            };
            self.fleet.merge_target_age(model, *weights, age, now);
        }
    }
}

#[derive(Debug, Clone)]
enum Action {
    SetTarget,
    ReadStore(usize),
    Freeze(usize, u64),
    Restart(usize),
    AskPeer(usize, usize, u64),
}

#[derive(Debug, Clone)]
struct Actions(Vec<(u64, Action)>);

impl Arbitrary for Actions {
    fn arbitrary(random: &mut Gen) -> Self {
        let count = 20 + usize::arbitrary(random) % 120;
        let pause = |random: &mut Gen| u64::arbitrary(random) % 700;
        Self((0..count).map(|_| (pause(random), Action::arbitrary(random))).collect())
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        Box::new(self.0.shrink().map(Self))
    }
}

impl Arbitrary for Action {
    fn arbitrary(random: &mut Gen) -> Self {
        let router = |random: &mut Gen| usize::arbitrary(random) % ROUTERS;
        match u8::arbitrary(random) % 20 {
            0 => Self::SetTarget,
            1 => Self::Restart(router(random)),
            2 => Self::Freeze(router(random), u64::arbitrary(random) % 8_000),
            3..=7 => Self::AskPeer(router(random), router(random), u64::arbitrary(random) % 300),
            _ => Self::ReadStore(router(random)),
        }
    }
}

/// When the first target newer than these weights was set.
fn replaced_at(set_at: &[Duration], weights: u64) -> Option<Duration> {
    set_at.get(weights as usize).copied()
}

fn no_stale_begin(actions: Actions) -> bool {
    let mut now = ms(1_000);
    // Weights 1 were there before; `set_at[w]` is when weights `w + 1` were set.
    let mut set_at = vec![Duration::ZERO];
    let mut routers: Vec<Router> = (0..ROUTERS).map(|_| Router::start()).collect();
    for (pause, next) in actions.0 {
        now += ms(pause);
        let newest = set_at.len() as u64;
        let is_running = |router: &Router| router.frozen_until <= now;
        match next {
            Action::SetTarget => set_at.push(now),
            Action::Restart(at) => routers[at] = Router::start(),
            Action::Freeze(at, time) => routers[at].frozen_until = now + ms(time),
            Action::ReadStore(at) if is_running(&routers[at]) => routers[at].read_store(newest, now),
            Action::AskPeer(at, other, transit) if is_running(&routers[at]) && is_running(&routers[other]) => {
                let ages = routers[other].fleet.target_ages(now - ms(transit));
                routers[at].merge_ages(&ages, ms(transit), now);
            }
            Action::ReadStore(_) | Action::AskPeer(..) => {}
        }
        for router in routers.iter_mut().filter(|router| router.frozen_until <= now) {
            // A router that hasn't read the store for longer than this counts as cut off.
            let in_touch = router.last_read.is_some_and(|last_read| now - last_read < ms(1_000));
            for weights in 1..=set_at.len() as u64 {
                let expired = replaced_at(&set_at, weights).is_some_and(|at| now - at >= HARD_STALENESS + ms(1_000));
                if in_touch && expired && can_begin(&mut router.fleet, weights, now) {
                    return false;
                }
            }
        }
    }
    true
}

/// Routers start, freeze, miss targets and ask each other in any order, while new targets are set in quick
/// succession. No router that can read the store may let a request begin on weights that were replaced before the
/// hard limit.
#[test]
fn no_interleaving_allows_weights_past_the_hard_limit() {
    QuickCheck::new()
        .tests(3_000)
        .quickcheck(no_stale_begin as fn(Actions) -> bool);
}

/// A frozen router missed a target, because the store shows only the newest one. A peer's answer that the newest
/// target is a second old must not allow engines whose weights are two targets old.
#[test]
fn missed_target_counts_towards_staleness() {
    struct Case {
        ages: &'static [(u64, u64, Option<u64>)],
        serves: [bool; 3],
    }
    let cases = [
        // Without any age all old weights may be too old.
        Case {
            ages: &[],
            serves: [false, false, true],
        },
        Case {
            ages: &[(2, 9_500, Some(9_600)), (3, 900, Some(1_000))],
            serves: [false, true, true],
        },
        Case {
            ages: &[(2, 4_000, Some(5_000)), (3, 900, Some(1_000))],
            serves: [true, true, true],
        },
        // A peer that started in between knows only the age of the last target.
        Case {
            ages: &[(2, 100, None), (3, 900, Some(1_000))],
            serves: [false, true, true],
        },
        // Newer targets come from the store only.
        Case {
            ages: &[(4, 100, Some(200))],
            serves: [false, false, true],
        },
    ];
    for case in cases {
        let mut router = Router::start();
        let now = ms(100);
        router.read_store(3, now);
        let ages = |(weights, lower, upper): &(u64, u64, Option<u64>)| {
            let (lower, upper) = (ms(*lower), upper.map(ms));
            (model(), *weights, TargetAge { lower, upper })
        };
        let ages: Vec<_> = case.ages.iter().map(ages).collect();
        router.merge_ages(&ages, ms(0), now);
        let serves = [1, 2, 3].map(|weights| can_begin(&mut router.fleet, weights, now));
        assert_eq!(serves, case.serves, "{:?}", case.ages);
    }
}

/// Weights of pruned targets are past the limit, or their age is covered by the oldest target that is kept.
#[test]
fn pruned_targets_keep_their_age() {
    let mut router = Router::start();
    router.read_store(1, ms(0));
    for weights in 2..=40 {
        router.read_store(weights, ms(weights * 300));
    }
    let now = ms(40 * 300);
    assert!(!can_begin(&mut router.fleet, 1, now));
    assert!(can_begin(&mut router.fleet, 39, now));
}
