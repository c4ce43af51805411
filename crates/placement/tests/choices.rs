//! Tests of choices: agreement, spill, hot levels, crashes, failure domains.

mod support;

use ids::Incarnation;
use placement::{Candidate, Choice, Pick, Placer, PrefixChain, Reason};
use std::collections::HashSet;
use support::{candidates, chain, secs, spread};

fn pick(placer: &mut Placer, chain: &PrefixChain, candidates: &[Candidate], draw: u64) -> Pick {
    let Choice::At(pick) = placer.choose(chain, candidates, secs(100.0), spread(draw)) else {
        panic!("some endpoint has room");
    };
    pick
}

/// Home that a newly started router chooses for `chain`.
fn home(chain: &PrefixChain, candidates: &[Candidate]) -> usize {
    let pick = pick(&mut Placer::builder().build(), chain, candidates, 1);
    assert_eq!(pick.reason, Reason::Home);
    pick.index
}

// Fourteen routers start at the same time without state. If they did not agree, each prefix would be computed at many
// endpoints, and clients would wait for prefills that were just done at another endpoint.
#[test]
fn new_routers_agree_on_homes() {
    let candidates = candidates(12);
    let homes = |draw: u64| -> Vec<usize> {
        let mut placer = Placer::builder().build();
        let prompt = |task| chain(task % 7, task / 7, task, 999 + draw);
        (0..200)
            .map(|task| pick(&mut placer, &prompt(task), &candidates, draw).index)
            .collect()
    };
    let first = homes(0);
    assert!((1..14).all(|router| homes(router) == first));
    let used: HashSet<&usize> = first.iter().collect();
    assert_eq!(used.len(), 12, "all endpoints must be used");
}

// Tasks of one tenant share the tenant's prefix, so they must be placed at the endpoint that caches it.
#[test]
fn tasks_of_a_tenant_share_a_home() {
    let candidates = candidates(12);
    for tenant in 0..20 {
        let homes: HashSet<usize> = (0..10)
            .map(|task| home(&chain(1, tenant, task, 0), &candidates))
            .collect();
        assert_eq!(homes.len(), 1, "tenant {tenant}");
    }
}

// An endpoint leaves or joins. If prefixes of other endpoints moved as well, a rolling restart would empty all caches.
#[test]
fn removing_an_endpoint_moves_only_its_homes() {
    let all = candidates(12);
    let mut moved = 0;
    for removed in 0..all.len() {
        let mut rest = all.clone();
        rest.remove(removed);
        let prompts = (0..300).map(|task| chain(task % 7, task / 7, task, 0));
        let homes = prompts.map(|prompt| (home(&prompt, &all), rest[home(&prompt, &rest)].endpoint));
        let others = homes.filter(|(before, _)| *before != removed);
        moved += others.filter(|(before, after)| all[*before].endpoint != *after).count();
    }
    // The outermost level selects 6 of 12 endpoints, then 6 of 11, so the last endpoints of that selection sometimes
    // change.
    assert!(moved < 12 * 300 / 12, "{moved} of {} moved", 12 * 300);
}

struct SpillCase {
    name: &'static str,
    /// Prompt tokens queued at the home and at each other endpoint.
    queued: (u64, u64),
    full: bool,
    reason: Reason,
}

// The home of a hot prefix is busy. Spilling too early recomputes the prefix repeatedly. Spilling too late makes
// clients wait in a queue of seconds while other endpoints are idle.
#[test]
fn busy_home_spills_when_cheaper() {
    let cases = [
        SpillCase {
            name: "idle",
            queued: (0, 0),
            full: false,
            reason: Reason::Home,
        },
        SpillCase {
            name: "a short queue",
            queued: (8_000, 0),
            full: false,
            reason: Reason::Home,
        },
        SpillCase {
            name: "seconds of queue",
            queued: (80_000, 0),
            full: false,
            reason: Reason::Spill,
        },
        SpillCase {
            name: "all busy",
            queued: (80_000, 80_000),
            full: false,
            reason: Reason::Home,
        },
        SpillCase {
            name: "its limit reached",
            queued: (0, 0),
            full: true,
            reason: Reason::Spill,
        },
    ];
    for case in cases {
        let mut candidates = candidates(12);
        let prompt = chain(1, 1, 1, 1);
        let home = home(&prompt, &candidates);
        candidates
            .iter_mut()
            .for_each(|candidate| candidate.queued = case.queued.1);
        candidates[home].queued = case.queued.0;
        candidates[home].in_flight = if case.full { candidates[home].limit } else { 0 };
        let picks: HashSet<usize> = (0..40)
            .map(|draw| pick(&mut Placer::builder().build(), &prompt, &candidates, draw).index)
            .collect();
        let pick = pick(&mut Placer::builder().build(), &prompt, &candidates, 3);
        assert_eq!(pick.reason, case.reason, "{}", case.name);
        assert_eq!(
            picks.len(),
            1,
            "{}: all routers must spill to the same endpoint",
            case.name
        );
    }
}

// A tenant suddenly gets nearly all requests. More than one endpoint must serve them, and the number must shrink again
// once the load has dropped.
#[test]
fn hot_level_spreads_and_shrinks_back() {
    let candidates = candidates(12);
    let mut placer = Placer::builder().learning(false).build();
    let homes = |placer: &mut Placer, now: f64| -> usize {
        let mut homes = HashSet::new();
        for task in 0..200 {
            let Choice::At(pick) = placer.choose(&chain(1, 1, task, 0), &candidates, secs(now), task) else {
                continue;
            };
            homes.insert(pick.index);
        }
        homes.len()
    };
    assert_eq!(homes(&mut placer, 0.0), 1);
    for number in 0..300u32 {
        let now = secs(f64::from(number) / 10.0);
        placer.learn(
            candidates[0].endpoint,
            Incarnation(1),
            &chain(1, 1, u64::from(number), 0),
            0,
            now,
        );
    }
    let hot = homes(&mut placer, 30.0);
    assert!(hot >= 6, "hot: {hot}");
    for number in 0..900u32 {
        let now = secs(30.0 + f64::from(number) / 10.0);
        placer.learn(
            candidates[0].endpoint,
            Incarnation(1),
            &chain(2, u64::from(number), 0, 0),
            0,
            now,
        );
    }
    assert_eq!(homes(&mut placer, 120.0), 1);
}

struct IndexCase {
    name: &'static str,
    /// Seconds since the reply.
    after: f64,
    incarnation: u64,
    uncertain: bool,
    learnt: bool,
}

// A reply showed the prefix at an endpoint that is not its home. Then the engine crashes, its events have a gap, or
// enough time passes for an eviction. If requests were still sent there, clients would wait for an unexpected prefill.
#[test]
fn outdated_index_entries_are_ignored() {
    let cases = [
        IndexCase {
            name: "fresh",
            after: 1.0,
            incarnation: 1,
            uncertain: false,
            learnt: true,
        },
        IndexCase {
            name: "old",
            after: 6.0,
            incarnation: 1,
            uncertain: false,
            learnt: false,
        },
        IndexCase {
            name: "crashed",
            after: 1.0,
            incarnation: 2,
            uncertain: false,
            learnt: false,
        },
        IndexCase {
            name: "gap in events",
            after: 1.0,
            incarnation: 1,
            uncertain: true,
            learnt: false,
        },
    ];
    for case in cases {
        let mut candidates = candidates(12);
        let prompt = chain(1, 1, 1, 1);
        let home = home(&prompt, &candidates);
        let other = (0..12).find(|index| *index != home).expect("there are others");
        let mut placer = Placer::builder().build();
        placer.learn(candidates[other].endpoint, Incarnation(1), &prompt, 0, secs(10.0));
        if case.uncertain {
            placer.mark_uncertain(candidates[other].endpoint);
        }
        candidates[other].incarnation = Incarnation(case.incarnation);
        candidates[home].queued = 4_000;
        let choice = placer.choose(&prompt, &candidates, secs(10.0 + case.after), 1);
        let Choice::At(pick) = choice else {
            panic!("{}", case.name)
        };
        let learnt = pick.reason == Reason::Learnt && pick.index == other;
        assert_eq!(learnt, case.learnt, "{}: {pick:?}", case.name);
    }
}

// Plain services have no cache. A call should stay in its failure domain unless the queue costs more than the round
// trip to another domain.
#[test]
fn calls_without_prompt_prefer_own_domain_and_short_queues() {
    let mut placer = Placer::builder().build();
    let nothing = PrefixChain::from_hashes(1, Vec::new(), &[]);
    let mut candidates = candidates(2);
    candidates[1].same_domain = false;
    let share = |placer: &mut Placer, candidates: &[Candidate]| {
        (0..100)
            .filter(|draw| pick(placer, &nothing, candidates, *draw).index == 0)
            .count()
    };
    assert!(share(&mut placer, &candidates) >= 60);
    candidates[0].queued = 10_000;
    assert!(share(&mut placer, &candidates) <= 40);
    candidates[1].in_flight = candidates[1].limit;
    assert_eq!(share(&mut placer, &candidates), 100);
    candidates[0].in_flight = candidates[0].limit;
    assert_eq!(placer.choose(&nothing, &candidates, secs(1.0), 1), Choice::Full);
    assert_eq!(placer.choose(&nothing, &[], secs(1.0), 1), Choice::Full);
}

// A rollout or a crash leaves few endpoints, and queues grow at the homes of busy prefixes. A prompt that waited for its
// home would be answered late although another endpoint could still answer in time.
#[test]
fn a_prompt_leaves_its_home_if_only_another_endpoint_answers_in_time() {
    struct Case {
        name: &'static str,
        home_queue: u64,
        other_queue: u64,
        late_tokens: f64,
        stays: bool,
    }
    let cases = [
        Case {
            name: "the home answers in time",
            home_queue: 5_000,
            other_queue: 0,
            late_tokens: 9_000.0,
            stays: true,
        },
        Case {
            name: "the home is late",
            home_queue: 14_000,
            other_queue: 0,
            late_tokens: 9_000.0,
            stays: false,
        },
        Case {
            name: "all are late",
            home_queue: 15_000,
            other_queue: 14_000,
            late_tokens: 9_000.0,
            stays: true,
        },
        Case {
            name: "no objective",
            home_queue: 14_000,
            other_queue: 0,
            late_tokens: f64::INFINITY,
            stays: true,
        },
    ];
    let prompt = chain(1, 2, 3, 0);
    for case in cases {
        let mut all = candidates(9);
        let home = home(&prompt, &all);
        for (index, candidate) in all.iter_mut().enumerate() {
            candidate.late_tokens = case.late_tokens;
            candidate.queued = if index == home {
                case.home_queue
            } else {
                case.other_queue
            };
        }
        let mut placer = Placer::builder().block_tokens(1_024).prefill_rate(40_000.0).build();
        let picked = pick(&mut placer, &prompt, &all, 1);
        assert_eq!(picked.index == home, case.stays, "{}", case.name);
    }
}

// All caches are empty after new weights are loaded. If homes counted as cached, prompts would queue there to be read
// while other endpoints are idle.
#[test]
fn a_cold_home_keeps_only_a_part_of_its_advantage() {
    struct Case {
        name: &'static str,
        cold: bool,
        home_queue: u64,
        stays: bool,
    }
    let cases = [
        Case {
            name: "warm and busy",
            cold: false,
            home_queue: 20_000,
            stays: true,
        },
        Case {
            name: "cold and idle",
            cold: true,
            home_queue: 0,
            stays: true,
        },
        Case {
            name: "cold and busy",
            cold: true,
            home_queue: 20_000,
            stays: false,
        },
    ];
    let prompt = chain(1, 2, 3, 0);
    for case in cases {
        let mut all = candidates(9);
        let home = home(&prompt, &all);
        all.iter_mut().for_each(|candidate| candidate.cold = case.cold);
        all[home].queued = case.home_queue;
        let mut placer = Placer::builder().block_tokens(1_024).prefill_rate(40_000.0).build();
        let picked = pick(&mut placer, &prompt, &all, 1);
        assert_eq!(picked.index == home, case.stays, "{}", case.name);
        assert_eq!(picked.cold, case.cold, "{}", case.name);
    }
}
