//! Speeds of endpoints, learned from samples of many routers.

mod support;

use dispatch::fleet::{BacklogSource, Fleet, LoadReport, ShortKey, SpeedKey, SpeedSum, Work, WorkKind, WorkTime};
use ids::{EndpointId, Incarnation};
use placement::EndpointKey;
use std::collections::BTreeMap;
use std::sync::Arc;
use support::fleet::{at, entry, fleet, prompt, send};
use support::speed_pool::{Outcome, Pool, id, simulate};

const POOL: Pool = Pool {
    routers: 13,
    endpoints: 20,
    rate: 150.0,
    seconds: 20,
    exchange: true,
    slowness: |_, _| 1.0,
    reported: |_, _| Some(100),
};

/// Geometric mean of the speeds that a router assumes, long after the last report.
fn speed(outcome: &Outcome, router: usize, endpoints: &[usize]) -> f64 {
    let fleet = &outcome.fleets[router];
    let speed = |endpoint: &usize| fleet.endpoint_speed(&id(*endpoint), at(60_000)).expect("a speed");
    let logs: f64 = endpoints.iter().map(|endpoint| speed(endpoint).ln()).sum();
    (logs / endpoints.len() as f64).exp()
}

/// A router that takes the speeds from queues, or from too few own samples, sends slow endpoints as much as others. A
/// false value must not look like a speed.
#[test]
fn speeds_are_told_from_load() {
    struct Case {
        name: &'static str,
        pool: Pool,
        /// Endpoints whose speed is compared with that of `others`, and the bounds of the ratio.
        endpoints: &'static [usize],
        others: &'static [usize],
        ratio: (f64, f64),
    }
    const EVEN: &[usize] = &[0, 2, 4, 6, 8, 10, 12, 14, 16, 18];
    const ODD: &[usize] = &[1, 3, 5, 7, 9, 11, 13, 15, 17, 19];
    let half: fn(usize, u64) -> f64 = |endpoint, _| if endpoint % 2 == 0 { 2.4 } else { 1.0 };
    let first: fn(usize, u64) -> f64 = |endpoint, _| if endpoint == 0 { 8.0 } else { 1.0 };
    let flaps: fn(usize, u64) -> f64 = |endpoint, now| if endpoint == 0 && now / 600 % 2 == 0 { 2.5 } else { 1.0 };
    let pools = [
        ("half is slow", Pool { slowness: half, ..POOL }, EVEN, ODD, (0.36, 0.5)),
        (
            "half is slow, 136 routers",
            Pool {
                routers: 136,
                slowness: half,
                ..POOL
            },
            EVEN,
            ODD,
            (0.36, 0.5),
        ),
        (
            "half is slow, no exchange",
            Pool {
                exchange: false,
                slowness: half,
                ..POOL
            },
            EVEN,
            ODD,
            (0.3, 0.75),
        ),
        (
            "one is very slow",
            Pool {
                slowness: first,
                ..POOL
            },
            &[0],
            ODD,
            (0.2, 0.4),
        ),
        (
            "one flaps and says so",
            Pool {
                slowness: flaps,
                reported: |endpoint, now| Some(if endpoint == 0 && now / 600 % 2 == 0 { 250 } else { 100 }),
                ..POOL
            },
            &[0],
            ODD,
            (0.7, 1.4),
        ),
        (
            "one reports a huge value",
            Pool {
                reported: |endpoint, _| Some(if endpoint == 0 { u64::MAX } else { 100 }),
                ..POOL
            },
            &[0],
            ODD,
            (1.0, 4.0),
        ),
        ("nobody is slow", POOL, EVEN, ODD, (0.85, 1.18)),
    ];
    let cases = pools.map(|(name, pool, endpoints, others, ratio)| Case {
        name,
        pool,
        endpoints,
        others,
        ratio,
    });
    for case in cases {
        let outcome = simulate(&case.pool);
        for router in [0, 1, case.pool.routers - 1] {
            let ratio = speed(&outcome, router, case.endpoints) / speed(&outcome, router, case.others);
            println!("{} at router {router}: {ratio:.3}", case.name);
            assert!((case.ratio.0..=case.ratio.1).contains(&ratio), "{}: {ratio}", case.name);
        }
        let most = outcome.streams.iter().max().expect("endpoints");
        let total: usize = outcome.streams.iter().sum();
        println!("{}: streams {:?}", case.name, outcome.streams);
        assert!(
            most * case.pool.endpoints < total * 3,
            "{}: {:?}",
            case.name,
            outcome.streams
        );
    }
}

/// Slow endpoints that get as many streams as the others make the slowest streams longer.
#[test]
fn slow_endpoints_get_fewer_streams() {
    // With few routers, each sees the running requests of slow endpoints in time and avoids them for those.
    for (routers, mean, slowest) in [(13, 1.02, 1.02), (136, 0.95, 0.7)] {
        let known = Pool {
            routers,
            slowness: |endpoint, _| if endpoint % 3 == 0 { 2.4 } else { 1.0 },
            ..POOL
        };
        let unknown = Pool {
            reported: |_, _| None,
            ..known
        };
        let [before, after] = [unknown, known].map(|pool| {
            let durations = simulate(&pool).durations;
            let sum: u64 = durations.iter().sum();
            let slowest = durations[durations.len() * 9 / 10];
            (sum as f64 / durations.len() as f64, slowest as f64)
        });
        println!("{routers} routers: mean and 90th percentile {before:.0?} ms before, {after:.0?} ms after");
        assert!(
            after.0 < before.0 * mean && after.1 < before.1 * slowest,
            "{routers}: {before:?}, {after:?}"
        );
    }
}

fn report(fleet: &mut Fleet, endpoint: &str, percent: u64, now: u64) {
    let report = LoadReport {
        work_time: WorkTime::from_percent(percent),
        ..LoadReport::default()
    };
    fleet.record_load(&EndpointId::from(endpoint), report, at(now));
}

/// Routers with the same view would all send their next call to the endpoint that looks fastest, which has six slots.
#[test]
fn routers_do_not_all_choose_the_fastest_endpoint() {
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for router in 0..136_u64 {
        let entries: Vec<_> = (0..4).map(|at| entry(&format!("e{at}"), 1)).collect();
        let mut fleet = fleet(&entries);
        for (endpoint, percent) in [("e0", 50), ("e1", 100), ("e2", 100), ("e3", 250)] {
            report(&mut fleet, endpoint, percent, 1_000);
        }
        let draw = router.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        *counts
            .entry(send(&mut fleet, None, &[], draw, at(1_050)).expect("an endpoint"))
            .or_default() += 1;
    }
    println!("{counts:?}");
    assert!(
        counts["e0"] < 136 * 3 / 5 && counts["e1"] > 13 && counts["e2"] > 13,
        "{counts:?}"
    );
    assert!(!counts.contains_key("e3"), "{counts:?}");
}

/// A disturbance ends within a second, so a value that is older says nothing.
#[test]
fn reported_work_times_expire() {
    let mut fleet = fleet(&[entry("e0", 1)]);
    report(&mut fleet, "e0", 250, 1_000);
    let speed = |now| fleet.endpoint_speed(&EndpointId::from("e0"), at(now)).expect("a speed");
    assert!(
        speed(1_010) < 0.5 && speed(1_200) > speed(1_010),
        "{} {}",
        speed(1_010),
        speed(1_200)
    );
    assert_eq!(speed(1_500), 1.0);
}

/// A hundred samples with this mean logarithm of the duration.
fn speed_sum(endpoint: ShortKey, log: f64) -> (SpeedKey, SpeedSum) {
    let sum = SpeedSum {
        weight: 100.0,
        log: log * 100.0,
        ..SpeedSum::default()
    };
    ((endpoint, Incarnation(1), WorkKind::Events), sum)
}

/// An endpoint that restarts on another machine must not keep the speed of the one before, also not through a router that
/// has not heard of the restart.
#[test]
fn a_new_incarnation_has_the_speed_of_the_median() {
    let mut fleet = support::fleet::pool(&[1, 1, 1]);
    report(&mut fleet, "e0", 100, 1_000);
    for id in ["e1", "e2"] {
        report(&mut fleet, id, 100, 1_000);
    }
    let slow = ShortKey::from(EndpointKey::from(&EndpointId::from("e0")));
    let sums: Vec<_> = fleet
        .loads_since(at(0), true)
        .into_iter()
        .map(|load| speed_sum(load.endpoint, if load.endpoint == slow { 0.9 } else { 0.0 }))
        .collect();
    let speed_of = |fleet: &mut Fleet, now: u64| {
        fleet.update_speeds(BacklogSource::Upstream, sums.clone(), at(now));
        send(fleet, None, &[], 0, at(now));
        fleet.endpoint_speed(&EndpointId::from("e0"), at(now)).expect("a speed")
    };
    let before = speed_of(&mut fleet, 10_000);
    assert!((0.38..0.46).contains(&before), "{before}");
    let mut restarted = entry("e0", 1);
    restarted.incarnation = Incarnation(2);
    fleet.upsert_endpoint(&Arc::new(restarted), at(10_100));
    assert_eq!(speed_of(&mut fleet, 11_000), 1.0);
}

/// Deployments whose endpoints don't report a work time choose exactly as without samples and messages from others.
#[test]
fn without_work_times_choices_stay_the_same() {
    let entries: Vec<_> = (0..9).map(|at| entry(&format!("e{at}"), 1)).collect();
    let (mut plain, mut sampled) = (fleet(&entries), fleet(&entries));
    for step in 0..400_u64 {
        let (now, draw) = (at(step * 20), step.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let prompt = prompt(step % 17, step);
        let prompt = (step % 3 > 0).then_some(&prompt);
        let used = send(&mut plain, prompt, &[], draw, now);
        assert_eq!(send(&mut sampled, prompt, &[], draw, now), used, "{step}");
        let endpoint = entries.iter().find(|entry| Some(entry.id.as_str()) == used.as_deref());
        let endpoint = endpoint.expect("a known endpoint");
        let load = LoadReport::new(step as u32 % 5, step as u32 % 2);
        for fleet in [&mut plain, &mut sampled] {
            fleet.record_load(&endpoint.id, load, now);
            fleet.request_finished(&endpoint.id, Incarnation(1));
            fleet.prefill_finished(&endpoint.id, Incarnation(1), now);
        }
        assert!(!sampled.record_work(endpoint, Work::Call, at(1 + step % 900), now));
        let sums = sampled.loads_since(at(0), true).into_iter();
        let sums = sums.map(|load| speed_sum(load.endpoint, (step % 3) as f64)).collect();
        sampled.update_speeds(BacklogSource::Upstream, sums, now);
    }
    assert!(sampled.take_share_changes().is_empty());
}
