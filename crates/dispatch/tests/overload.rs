//! Load shedding across kinds of requests, and the exchange that it is based on.

use dispatch::fleet::{BacklogSource, Fleet, FleetSettings};
use dispatch::overload::{Admission, Kind};
use dispatch::retries::RetryLimits;
use ids::{DomainId, ServiceId, VmId, WorkspaceId};
use std::time::Duration;

const URGENT: Kind = Kind {
    rank: 0,
    objective: Duration::from_millis(400),
};
const PATIENT: Kind = Kind {
    rank: 2,
    objective: Duration::from_millis(1_500),
};
/// Tokens of an urgent and of a patient request.
const TOKENS: [u64; 2] = [1_000, 9_000];

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn service() -> ServiceId {
    ServiceId::from("chat")
}

fn router() -> Fleet {
    Fleet::new(FleetSettings {
        domain: DomainId::from("d1"),
        retries: RetryLimits {
            ratio: 0.2,
            extra: 1,
            window: ms(10_000),
            routers: 1,
        },
        soft_staleness: ms(5_000),
        hard_staleness: ms(6_000),
    })
}

fn admit(fleet: &mut Fleet, kind: Kind, workspace: &str, now: u64) -> Admission {
    let tokens = TOKENS[usize::from(kind == PATIENT)];
    fleet.admit_kind(&service(), kind, Some(&WorkspaceId::from(workspace)), tokens, ms(now))
}

/// Offers `count` requests of both kinds, whose first events take these multiples of their objectives.
fn offer(fleet: &mut Fleet, count: usize, urgent: f64, patient: f64, now: u64) {
    for _ in 0..count {
        for (kind, ratio) in [(URGENT, urgent), (PATIENT, patient)] {
            admit(fleet, kind, "w1", now);
            fleet.record_kind_delay(&service(), kind, kind.objective.mul_f64(ratio), ms(now));
        }
    }
}

/// A router of 136 sees too few first events to notice that they are late. All routers must learn it from the sums,
/// and none may count its own part, or a part that comes by two ways, twice.
#[test]
fn all_routers_decide_by_the_same_sums() {
    let (mut all, mut first, mut second) = (router(), router(), router());
    let names: Vec<VmId> = (0..8)
        .map(|number| VmId::from(format!("vm-{number}").as_str()))
        .collect();
    let mut followers: Vec<Fleet> = names.iter().map(|_| router()).collect();
    for follower in &mut followers {
        offer(follower, 1, 4.0, 1.0, 0);
        offer(&mut all, 1, 4.0, 1.0, 0);
    }
    for (index, (name, follower)) in names.iter().zip(&followers).enumerate() {
        let watcher = if index % 2 == 0 { &mut first } else { &mut second };
        let source = BacklogSource::Follower(name.clone());
        watcher.update_backlog(source, follower.own_backlog(ms(0)), ms(0));
    }
    let subtotals = [first.backlog_subtotal(ms(0)), second.backlog_subtotal(ms(0))];
    let [from_first, from_second] = subtotals;
    first.update_backlog(BacklogSource::Watcher(VmId::from("second")), from_second, ms(0));
    second.update_backlog(BacklogSource::Watcher(VmId::from("first")), from_first, ms(0));
    for (index, (name, follower)) in names.iter().zip(&mut followers).enumerate() {
        let watcher = if index % 2 == 0 { &first } else { &second };
        follower.update_backlog(BacklogSource::Upstream, watcher.backlog_without(name, ms(0)), ms(0));
    }
    let expected = admit(&mut all, PATIENT, "w1", 100);
    assert!(expected.share < 0.7, "{expected:?}");
    for fleet in followers.iter_mut().chain([&mut first, &mut second]) {
        let admission = admit(fleet, PATIENT, "w1", 100);
        assert!(
            (admission.pressure - expected.pressure).abs() < 1e-9,
            "{admission:?}, not {expected:?}"
        );
        assert!(
            (admission.share - expected.share).abs() < 1e-9,
            "{admission:?}, not {expected:?}"
        );
    }
    let alone = admit(&mut router(), PATIENT, "w1", 100);
    assert_eq!(alone.share, 1.0, "a router that has just started");
}

/// The kinds of a service that has many first events with these multiples of the objectives.
fn observed(urgent: f64, patient: f64) -> Fleet {
    let mut fleet = router();
    offer(&mut fleet, 100, urgent, patient, 0);
    fleet
}

/// The late kind itself must not be refused while a less urgent one is admitted above its floor, and an overload that
/// the least urgent kind can't relieve alone must reach the next one.
#[test]
fn the_least_urgent_kind_is_reduced_first_down_to_its_floor() {
    struct Case {
        urgent: f64,
        patient: f64,
        shares: [std::ops::RangeInclusive<f64>; 2],
    }
    let case = |urgent, patient, shares| Case {
        urgent,
        patient,
        shares,
    };
    let cases = [
        case(0.5, 0.5, [1.0..=1.0, 1.0..=1.0]),
        case(0.9, 0.9, [1.0..=1.0, 1.0..=1.0]),
        case(1.4, 0.4, [1.0..=1.0, 0.5..=0.9]),
        case(0.4, 1.4, [1.0..=1.0, 0.5..=0.9]),
        case(4.0, 4.0, [1.0..=1.0, 0.25..=0.5]),
    ];
    for case in cases {
        let mut fleet = observed(case.urgent, case.patient);
        for (kind, range) in [URGENT, PATIENT].into_iter().zip(case.shares) {
            let share = admit(&mut fleet, kind, "w1", 0).share;
            assert!(
                range.contains(&share),
                "{share} of {kind:?} at {} and {}",
                case.urgent,
                case.patient
            );
        }
    }
    let mut mostly_urgent = router();
    for _ in 0..100 {
        admit(&mut mostly_urgent, URGENT, "w1", 0);
        mostly_urgent.record_kind_delay(&service(), URGENT, ms(1_600), ms(0));
    }
    let patient = admit(&mut mostly_urgent, PATIENT, "w1", 0).share;
    let urgent = admit(&mut mostly_urgent, URGENT, "w1", 0).share;
    assert_eq!(patient, 0.25);
    assert!((0.4..0.7).contains(&urgent), "{urgent}");
}

/// One late first event, or two, must not refuse anything, and refusals must not outlast their cause.
#[test]
fn shedding_needs_several_late_events_and_ends_soon_after_them() {
    let mut fleet = router();
    offer(&mut fleet, 2, 10.0, 10.0, 0);
    assert_eq!(
        admit(&mut fleet, PATIENT, "w1", 0).share,
        1.0,
        "after two late events of each kind"
    );
    let mut fleet = observed(4.0, 1.0);
    assert!(admit(&mut fleet, PATIENT, "w1", 0).share < 0.6);
    for step in 1..=20 {
        offer(&mut fleet, 10, 0.5, 0.5, step * 100);
    }
    assert_eq!(
        admit(&mut fleet, PATIENT, "w1", 2_000).share,
        1.0,
        "two seconds after lateness ended"
    );
}

/// One workspace sends most of the load. The others must not be refused for it, and it keeps its floor.
#[test]
fn workspaces_above_their_fair_share_are_refused_first() {
    let mut fleet = observed(2.0, 0.5);
    for count in 0..500 {
        admit(&mut fleet, PATIENT, "heavy", 0);
        if count % 25 == 0 {
            admit(&mut fleet, PATIENT, "light", 0);
        }
    }
    let heavy = admit(&mut fleet, PATIENT, "heavy", 0).share;
    let light = admit(&mut fleet, PATIENT, "light", 0).share;
    assert!((0.25..0.7).contains(&heavy), "{heavy}");
    assert_eq!(light, 1.0);
}
