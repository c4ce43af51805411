//! Choices judged by what they are for: agreement, spill, hot levels, crashes, domains.

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

/// Where a router that has just started sends `chain`.
fn home(chain: &PrefixChain, candidates: &[Candidate]) -> usize {
    let pick = pick(&mut Placer::builder().build(), chain, candidates, 1);
    assert_eq!(pick.reason, Reason::Home);
    pick.index
}

// Fourteen routers start at the same moment and know nothing. If they did not agree, each prefix would be computed at
// many endpoints, and callers would wait for prefills that were done elsewhere a moment before.
#[test]
fn routers_without_state_agree() {
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
    assert_eq!(used.len(), 12, "all endpoints are used");
}

// Tasks of one tenant share the tenant's layer: they must meet where it is.
#[test]
fn tasks_meet_at_their_tenant() {
    let candidates = candidates(12);
    for tenant in 0..20 {
        let homes: HashSet<usize> = (0..10)
            .map(|task| home(&chain(1, tenant, task, 0), &candidates))
            .collect();
        assert_eq!(homes.len(), 1, "tenant {tenant}");
    }
}

// An endpoint leaves or joins. If other endpoints' prefixes moved as well, a rolling restart would empty all caches.
#[test]
fn only_the_share_of_a_lost_endpoint_moves() {
    let all = candidates(12);
    let mut moved = 0;
    for lost in 0..all.len() {
        let mut rest = all.clone();
        rest.remove(lost);
        let prompts = (0..300).map(|task| chain(task % 7, task / 7, task, 0));
        let homes = prompts.map(|prompt| (home(&prompt, &all), rest[home(&prompt, &rest)].endpoint));
        let others = homes.filter(|(before, _)| *before != lost);
        moved += others.filter(|(before, after)| all[*before].endpoint != *after).count();
    }
    // The outermost level selects 6 of 12 and 6 of 11: now and then the tail of that selection changes.
    assert!(moved < 12 * 300 / 12, "{moved} of {} moved", 12 * 300);
}

struct Busy {
    name: &'static str,
    /// Prompt tokens queued at the home, and everywhere else.
    queued: (u64, u64),
    full: bool,
    reason: Reason,
}

// The home of a hot prefix is busy. Leaving it too early computes the prefix again and again; too late, callers wait in a
// queue of seconds beside idle endpoints.
#[test]
fn a_busy_home_spills_when_it_pays() {
    let cases = [
        Busy {
            name: "idle",
            queued: (0, 0),
            full: false,
            reason: Reason::Home,
        },
        Busy {
            name: "a short queue",
            queued: (8_000, 0),
            full: false,
            reason: Reason::Home,
        },
        Busy {
            name: "seconds of queue",
            queued: (80_000, 0),
            full: false,
            reason: Reason::Spill,
        },
        Busy {
            name: "all busy",
            queued: (80_000, 80_000),
            full: false,
            reason: Reason::Home,
        },
        Busy {
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
        assert_eq!(picks.len(), 1, "{}: all routers spill to the same one", case.name);
    }
}

// A tenant suddenly gets nearly all requests. One endpoint cannot serve them; as many as needed must, and no more once it
// has cooled down.
#[test]
fn a_hot_level_spreads_and_shrinks_back() {
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

struct Forgotten {
    name: &'static str,
    /// Seconds after the reply.
    after: f64,
    incarnation: u64,
    uncertain: bool,
    learnt: bool,
}

// A reply showed the prefix at an endpoint that is no home of it. The engine crashes, or its events have a gap, or it has
// had time to evict: who still sends requests there makes the caller wait for a prefill that nobody expected.
#[test]
fn what_was_learnt_is_believed_only_while_it_can_be_true() {
    let cases = [
        Forgotten {
            name: "fresh",
            after: 1.0,
            incarnation: 1,
            uncertain: false,
            learnt: true,
        },
        Forgotten {
            name: "old",
            after: 6.0,
            incarnation: 1,
            uncertain: false,
            learnt: false,
        },
        Forgotten {
            name: "crashed",
            after: 1.0,
            incarnation: 2,
            uncertain: false,
            learnt: false,
        },
        Forgotten {
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
        let elsewhere = (0..12).find(|index| *index != home).expect("there are others");
        let mut placer = Placer::builder().build();
        placer.learn(candidates[elsewhere].endpoint, Incarnation(1), &prompt, 0, secs(10.0));
        if case.uncertain {
            placer.mark_uncertain(candidates[elsewhere].endpoint);
        }
        candidates[elsewhere].incarnation = Incarnation(case.incarnation);
        candidates[home].queued = 4_000;
        let choice = placer.choose(&prompt, &candidates, secs(10.0 + case.after), 1);
        let Choice::At(pick) = choice else {
            panic!("{}", case.name)
        };
        let learnt = pick.reason == Reason::Learnt && pick.index == elsewhere;
        assert_eq!(learnt, case.learnt, "{}: {pick:?}", case.name);
    }
}

// Plain services have no cache: a call should stay in its failure domain unless that costs more than crossing.
#[test]
fn calls_without_a_prompt_stay_near_and_avoid_queues() {
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
