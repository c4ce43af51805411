//! Decisions of one router on the classes of a workspace's requests.

use dispatch::quotas::{Admission, Class, Demand, Level, QuotaBounds, Quotas, Subtotal, Usage};
use dispatch::site::{QuotaSpec, QuotaUnit};
use ids::{VmId, WorkspaceId};
use std::time::Duration;

const RATE: f64 = 29_000.0;
const PROMPT: u64 = 9_197;
const CALL: u64 = 200;

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn workspace() -> WorkspaceId {
    WorkspaceId::from("grain")
}

fn router(is_watcher: bool, routers: u32) -> Quotas {
    let bounds = QuotaBounds {
        window: Duration::from_secs(8),
        excess: 0.1,
        slack: 110_000.0,
    };
    let spec = QuotaSpec {
        rate: RATE,
        burst: RATE,
        unit: QuotaUnit::Tokens { unstated: CALL },
    };
    let mut quotas = Quotas::new(bounds);
    quotas.configure([(&workspace(), spec)], at(0));
    quotas.set_role(is_watcher, routers, at(0));
    quotas
}

/// A router that has just received a quota refuses requests until the next report.
#[test]
fn a_new_quota_is_used_in_its_first_40_ms() {
    let mut watcher = router(true, 2);
    let mut follower = router(false, 2);
    let levels = watcher.receive_report(&VmId::from("follower"), &[], at(1));
    follower.apply_levels(&[], &levels, at(1));
    for quotas in [&mut watcher, &mut follower] {
        for (class, tokens) in [(Class::Patient, PROMPT), (Class::Urgent, CALL)] {
            let admission = quotas.admit(&workspace(), class, Some(tokens), u64::MAX / 2, at(20));
            assert_eq!(admission, Admission::Granted(tokens as f64), "{class:?}");
        }
    }
}

/// Refused clients return before there is room for their request, or all at once.
#[test]
fn times_to_retry_depend_on_the_class_and_are_spread() {
    let demand = Demand {
        rate: RATE,
        urgent: RATE / 5.0,
        patient: RATE * 3.0,
    };
    // Urgent requests are admitted again half a band, 17,012 units, below zero.
    let call_wait = (CALL as f64 + 30_000.0 - 17_013.0) / RATE;
    let prompt_wait = (PROMPT as f64 + 30_000.0) / (RATE - demand.urgent);
    let cases = [(Class::Urgent, CALL, call_wait), (Class::Patient, PROMPT, prompt_wait)];
    for (class, tokens, earliest) in cases {
        let mut follower = router(false, 100);
        let level = Level {
            level: -30_000.0,
            share: 0.3,
            demand: Some(demand),
        };
        follower.apply_levels(&[], &[(workspace(), level)], at(1_000));
        let draws = (0..10).map(|index| u64::MAX - u64::MAX / 20 * index);
        let retry = |draw| match follower.admit(&workspace(), class, Some(tokens), draw, at(1_000)) {
            Admission::Denied(after) => after.as_secs_f64(),
            granted => panic!("{class:?}: {granted:?}"),
        };
        let times: Vec<f64> = draws.map(retry).collect();
        assert!(
            times.iter().all(|time| (earliest..=10.0).contains(time)),
            "{class:?}, {earliest}: {times:?}"
        );
        let (first, last) = (times[0], times[times.len() - 1]);
        assert!(first - last > 0.25, "{class:?}: {times:?}");
    }
}

/// The debt of one long prompt refuses all calls at a router that has lost the others.
#[test]
fn prompts_leave_a_router_without_news_to_its_calls() {
    let mut quotas = router(false, 136);
    let (mut prompts, mut calls) = (0, 0);
    for index in 0..200_u64 {
        let now = at(5_000 + index * 50);
        let draw = u64::MAX / 100 * (index * 37 % 90 + 10);
        let prompt = quotas.admit(&workspace(), Class::Patient, Some(PROMPT), draw, now);
        let call = quotas.admit(&workspace(), Class::Urgent, Some(CALL), draw, now);
        prompts += u32::from(matches!(prompt, Admission::Granted(_)));
        calls += u32::from(matches!(call, Admission::Granted(_)));
    }
    // An even share of the rate is one call a second.
    assert!(prompts == 0 && calls >= 10, "{prompts} prompts, {calls} calls");
}

/// A workspace is refused more, or beyond its quota admitted more, because some routers don't report classes.
#[test]
fn demand_without_classes_counts_as_urgent() {
    let asked = |patient: f64| Usage {
        spent: 0.0,
        asked: 4.0 * RATE,
        patient_spent: 0.0,
        patient_asked: patient,
    };
    let demand = |usage: Usage| {
        let mut watcher = router(true, 1);
        let levels = watcher.receive_report(&VmId::from("follower"), &[(workspace(), usage)], at(1));
        levels[0].1
    };
    let old: Level = demand(asked(0.0));
    assert!(old.demand.is_none() && (old.share - 0.25).abs() < 0.01, "{old:?}");
    let new = demand(asked(3.5 * RATE));
    assert_eq!(new.share, old.share, "older followers admit the same share");
    let by_class = new.demand.expect("patient demand");
    assert_eq!(by_class.share(Class::Urgent), 1.0);
    let patient = by_class.share(Class::Patient);
    assert!((patient - 0.5 / 3.5).abs() < 0.01, "{patient}");
}

/// Watchers disagree on the demand by class, because subtotals omit it.
#[test]
fn subtotals_carry_the_demand_by_class() {
    let (mut first, mut second) = (router(true, 2), router(true, 2));
    let vm = VmId::from("first");
    second.receive_subtotal(&vm, 1, &first.subtotal(true, at(100)), at(100));
    for _ in 0..40 {
        first.admit(&workspace(), Class::Patient, Some(PROMPT), u64::MAX, at(150));
    }
    let subtotal: Subtotal = first.subtotal(false, at(200));
    second.receive_subtotal(&vm, 1, &subtotal, at(200));
    second.admit(&workspace(), Class::Urgent, Some(CALL), u64::MAX, at(200));
    let denial = second.denial(&workspace(), at(200));
    let levels = second.receive_report(&VmId::from("follower"), &[], at(200));
    let demand = levels[0].1.demand.expect("patient demand");
    assert!(
        (demand.patient - 40.0 * PROMPT as f64).abs() < 1.0,
        "{demand:?} {denial:?}"
    );
    assert_eq!(demand.urgent, CALL as f64);
}
