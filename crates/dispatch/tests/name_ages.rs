//! How long ago weights were named, as far as routers can tell that start, freeze and ask each other.

use dispatch::fleet::{Choice, Fleet, FleetSettings, PickContext, Prompt, PromptPart, TargetAge};
use dispatch::retries::RetryLimits;
use dispatch::site::EndpointEntry;
use ids::{DomainId, EndpointId, Incarnation, ModelId, ServiceId};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use std::sync::Arc;
use std::time::Duration;

/// Nobody may begin on weights after newer ones have been named for this long.
const LAST: Duration = Duration::from_millis(9_500);
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
        hard_staleness: LAST,
    })
}

/// Whether a router would let a prompt begin on an engine with these weights, the only one there is.
fn begins(fleet: &mut Fleet, weights: u64, now: Duration) -> bool {
    fleet.remove_endpoint(&EndpointId::from("e"), now);
    fleet.upsert_endpoint(&Arc::new(entry(weights)), now);
    let prompt = Prompt {
        model: model(),
        parts: vec![PromptPart { id: 1, tokens: 100 }],
        tokens: 100,
        max_output: 10,
    };
    let wish = PickContext {
        service: &ServiceId::from("s"),
        avoid: &[],
        prompt: Some(&prompt),
        isolated: None,
    };
    matches!(fleet.choose(&wish, 1, now), Choice::Endpoint(_))
}

/// A router of the model: what it knows, and when the store last told it everything.
struct Router {
    fleet: Fleet,
    /// The store's last word, absent since its start.
    confirmed: Option<Duration>,
    frozen: Duration,
}

impl Router {
    fn start() -> Self {
        Self {
            fleet: fleet(),
            confirmed: None,
            frozen: Duration::ZERO,
        }
    }

    /// The store tells the newest weights, not those in between nor when they were named.
    fn hears(&mut self, newest: u64, now: Duration) {
        let age = TargetAge {
            lower: Duration::ZERO,
            upper: self.confirmed.map(|confirmed| now - confirmed),
        };
        self.fleet.set_target(&model(), newest, age, now);
        self.confirmed = Some(now);
    }

    fn asks(&mut self, told: &[(ModelId, u64, TargetAge)], under_way: Duration, now: Duration) {
        for (model, weights, age) in told {
            let age = TargetAge {
                lower: age.lower,
                upper: age.upper.map(|most| most + under_way),
            };
            self.fleet.merge_target_age(model, *weights, age, now);
        }
    }
}

#[derive(Debug, Clone)]
enum Move {
    Name,
    Follow(usize),
    Freeze(usize, u64),
    Restart(usize),
    Ask(usize, usize, u64),
}

#[derive(Debug, Clone)]
struct Moves(Vec<(u64, Move)>);

impl Arbitrary for Moves {
    fn arbitrary(random: &mut Gen) -> Self {
        let count = 20 + usize::arbitrary(random) % 120;
        let pause = |random: &mut Gen| u64::arbitrary(random) % 700;
        Self((0..count).map(|_| (pause(random), Move::arbitrary(random))).collect())
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        Box::new(self.0.shrink().map(Self))
    }
}

impl Arbitrary for Move {
    fn arbitrary(random: &mut Gen) -> Self {
        let router = |random: &mut Gen| usize::arbitrary(random) % ROUTERS;
        match u8::arbitrary(random) % 20 {
            0 => Self::Name,
            1 => Self::Restart(router(random)),
            2 => Self::Freeze(router(random), u64::arbitrary(random) % 8_000),
            3..=7 => Self::Ask(router(random), router(random), u64::arbitrary(random) % 300),
            _ => Self::Follow(router(random)),
        }
    }
}

/// When the first weights newer than these were named.
fn replaced(named: &[Duration], weights: u64) -> Option<Duration> {
    named.get(weights as usize).copied()
}

fn holds(moves: Moves) -> bool {
    let mut now = ms(1_000);
    // Weights 1 were there before; `named[w]` is when weights `w + 1` were named.
    let mut named = vec![Duration::ZERO];
    let mut routers: Vec<Router> = (0..ROUTERS).map(|_| Router::start()).collect();
    for (pause, next) in moves.0 {
        now += ms(pause);
        let newest = named.len() as u64;
        let awake = |router: &Router| router.frozen <= now;
        match next {
            Move::Name => named.push(now),
            Move::Restart(at) => routers[at] = Router::start(),
            Move::Freeze(at, time) => routers[at].frozen = now + ms(time),
            Move::Follow(at) if awake(&routers[at]) => routers[at].hears(newest, now),
            Move::Ask(at, other, under_way) if awake(&routers[at]) && awake(&routers[other]) => {
                let told = routers[other].fleet.target_ages(now - ms(under_way));
                routers[at].asks(&told, ms(under_way), now);
            }
            Move::Follow(_) | Move::Ask(..) => {}
        }
        for router in routers.iter_mut().filter(|router| router.frozen <= now) {
            // A router that heard nothing of the store for longer than the bound is not in touch.
            let in_touch = router.confirmed.is_some_and(|confirmed| now - confirmed < ms(1_000));
            for weights in 1..=named.len() as u64 {
                let late = replaced(&named, weights).is_some_and(|at| now - at >= LAST + ms(1_000));
                if in_touch && late && begins(&mut router.fleet, weights, now) {
                    return false;
                }
            }
        }
    }
    true
}

/// Routers start, freeze, miss names and ask each other in any order, while weights are named in quick succession. No router that
/// is in touch with the store lets a request begin on weights that were replaced before the bound.
#[test]
fn no_interleaving_makes_a_name_younger_than_it_is() {
    QuickCheck::new().tests(3_000).quickcheck(holds as fn(Moves) -> bool);
}

/// A router missed the naming in between: it was frozen, and the store tells the newest weights only. A neighbour's word that the newest
/// are a second old must not let engines serve that are two names behind.
#[test]
fn a_name_that_was_missed_counts() {
    struct Case {
        told: &'static [(u64, u64, Option<u64>)],
        serves: [bool; 3],
    }
    let cases = [
        // Nobody tells anything: all old ones may be too old.
        Case {
            told: &[],
            serves: [false, false, true],
        },
        Case {
            told: &[(2, 9_500, Some(9_600)), (3, 900, Some(1_000))],
            serves: [false, true, true],
        },
        Case {
            told: &[(2, 4_000, Some(5_000)), (3, 900, Some(1_000))],
            serves: [true, true, true],
        },
        // A neighbour that started in between knows the last name's age only.
        Case {
            told: &[(2, 100, None), (3, 900, Some(1_000))],
            serves: [false, true, true],
        },
        // Newer names come from the store.
        Case {
            told: &[(4, 100, Some(200))],
            serves: [false, false, true],
        },
    ];
    for case in cases {
        let mut router = Router::start();
        let now = ms(100);
        router.hears(3, now);
        let told = |(weights, least, most): &(u64, u64, Option<u64>)| {
            let (least, most) = (ms(*least), most.map(ms));
            (
                model(),
                *weights,
                TargetAge {
                    lower: least,
                    upper: most,
                },
            )
        };
        let told: Vec<_> = case.told.iter().map(told).collect();
        router.asks(&told, ms(0), now);
        let serves = [1, 2, 3].map(|weights| begins(&mut router.fleet, weights, now));
        assert_eq!(serves, case.serves, "{:?}", case.told);
    }
}

/// Names that are too many to be remembered are too old as well, or stay in the age of the first that is.
#[test]
fn forgotten_names_keep_their_age() {
    let mut router = Router::start();
    router.hears(1, ms(0));
    for weights in 2..=40 {
        router.hears(weights, ms(weights * 300));
    }
    let now = ms(40 * 300);
    assert!(!begins(&mut router.fleet, 1, now));
    assert!(begins(&mut router.fleet, 39, now));
}
