//! Load shedding across kinds of requests, and the exchange that it is based on.

use dispatch::fleet::{BacklogSource, Fleet, FleetSettings};
use dispatch::overload::{
    Admission, Entry, Kind, KindLoad, Offer, PatientStep, QueueWait, WaitQueue, is_unsent, may_seek, patient_step,
    retry_after, seek_pause,
};
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
    let offer = Offer {
        kind,
        is_patient: kind == PATIENT,
        workspace: Some(&WorkspaceId::from(workspace)),
        tokens: TOKENS[usize::from(kind == PATIENT)],
    };
    fleet.admit_kind(&service(), &offer, ms(now))
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
        case(0.8, 0.8, [1.0..=1.0, 1.0..=1.0]),
        case(1.0, 0.4, [1.0..=1.0, 0.5..=0.9]),
        case(0.4, 1.0, [1.0..=1.0, 0.5..=0.9]),
        case(4.0, 4.0, [0.7..=0.8, 0.25..=0.25]),
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
    assert!((0.25..0.5).contains(&urgent), "{urgent}");
}

/// A late patient kind must not make routers refuse urgent requests that are in time.
#[test]
fn a_late_patient_kind_does_not_cut_a_punctual_urgent_one() {
    let mut fleet = observed(0.5, 4.0);
    assert_eq!(admit(&mut fleet, PATIENT, "w1", 0).share, 0.25);
    assert_eq!(admit(&mut fleet, URGENT, "w1", 0).share, 1.0);
}

/// The urgent kind must not be cut at moderate pressure when no patient request has been seen.
#[test]
fn the_only_known_kind_is_cut_early_only_if_it_is_patient() {
    for (kind, shares) in [(URGENT, 1.0..=1.0), (PATIENT, 0.25..=0.9)] {
        let mut fleet = router();
        for _ in 0..100 {
            admit(&mut fleet, kind, "w1", 0);
            fleet.record_kind_delay(&service(), kind, kind.objective.mul_f64(1.2), ms(0));
        }
        let share = admit(&mut fleet, kind, "w1", 0).share;
        assert!(shares.contains(&share), "{share} of {kind:?}");
    }
}

/// The most urgent kind must not be cut while the one before it in the order of the cuts is above its floor.
#[test]
fn a_kind_is_cut_only_if_all_less_urgent_ones_are_at_their_floors() {
    let middle = Kind {
        rank: 1,
        objective: ms(800),
    };
    let mut fleet = router();
    for _ in 0..100 {
        for kind in [URGENT, middle, PATIENT] {
            admit(&mut fleet, kind, "w1", 0);
            fleet.record_kind_delay(&service(), kind, kind.objective.mul_f64(2.5), ms(0));
        }
        // The cuts of the less urgent kinds must not be enough, so most of the load is urgent.
        for _ in 0..20 {
            admit(&mut fleet, URGENT, "w1", 0);
        }
    }
    let share = |fleet: &mut Fleet, kind| admit(fleet, kind, "w1", 0).share;
    let shares = [PATIENT, middle, URGENT].map(|kind| share(&mut fleet, kind));
    assert!(shares[1] > 0.25 && shares[1] < 1.0, "{shares:?}");
    assert_eq!((shares[0], shares[2]), (0.25, 1.0));
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

/// A request that can still be in time must not be refused, one that can't must be refused at once, and none may be sent
/// into a long queue. The wait told to a refused client must be the expected one, also if old reports don't prove it.
#[test]
fn a_patient_request_waits_while_it_can_be_in_time() {
    struct Case {
        name: &'static str,
        /// Expected and certain wait, read time and time since arrival, milliseconds.
        times: [u64; 4],
        step: PatientStep,
    }
    let case = |name, times, step| Case { name, times, step };
    let cases = [
        case("no queue", [0, 0, 250, 0], PatientStep::Send),
        case("short queue, late", [100, 100, 250, 1_400], PatientStep::Send),
        case("queue", [600, 600, 250, 0], PatientStep::Wait(ms(600))),
        case(
            "looks hopeless by old reports",
            [9_000, 0, 250, 0],
            PatientStep::Wait(ms(9_000)),
        ),
        case(
            "hopeless by recent reports",
            [9_000, 9_000, 250, 0],
            PatientStep::Refuse(ms(9_000)),
        ),
        case(
            "too late to be read in time",
            [600, 0, 250, 1_100],
            PatientStep::Refuse(ms(600)),
        ),
        case(
            "no time left, nothing to read",
            [600, 0, 0, 2_000],
            PatientStep::Refuse(ms(600)),
        ),
    ];
    for case in cases {
        let [expected, certain, read, since_arrival] = case.times.map(ms);
        let queue = QueueWait {
            expected,
            certain,
            read,
        };
        let step = patient_step(&queue, since_arrival, PATIENT.objective);
        assert_eq!(step, case.step, "{}", case.name);
    }
}

/// A workspace that sends many requests must not keep those of others behind all of its own, and a stalled pool must not
/// fill the memory of a router.
#[test]
fn waiting_requests_are_ordered_by_workspace_and_due_time_and_bounded() {
    let entry = |workspace: &str, due: u64| Entry {
        workspace: Some(WorkspaceId::from(workspace)),
        due: ms(due),
        bytes: 1_000,
    };
    let mut queue = WaitQueue::default();
    let numbers = [("heavy", 10), ("heavy", 5), ("heavy", 20), ("light", 30), ("other", 7)]
        .map(|(workspace, due)| queue.join(entry(workspace, due)).expect("room"));
    let ahead = |queue: &WaitQueue| numbers.map(|number| queue.ahead(number));
    assert_eq!(ahead(&queue), [3, 0, 4, 2, 1]);
    queue.leave(numbers[1]);
    assert_eq!(queue.ahead(numbers[0]), 1);
    let mut join = |workspace| {
        (0..1_000)
            .filter(|_| queue.join(entry(workspace, 40)).is_some())
            .count()
    };
    assert_eq!(join("heavy"), 30, "with two before, half of the 64 places");
    assert_eq!((join("other"), join("light")), (30, 0), "all places");
    numbers.iter().for_each(|number| queue.leave(*number));
    assert!(
        queue
            .join(Entry {
                bytes: 100 << 20,
                ..entry("light", 1)
            })
            .is_none(),
        "too many bytes"
    );
    assert!(queue.join(entry("light", 1)).is_some());
}

/// A request that an endpoint rejected for other weights must not wait a second time.
#[test]
fn a_rejected_request_counts_as_having_had_its_turn() {
    assert!(is_unsent(0, 0));
    assert!(!is_unsent(0, 1));
    assert!(!is_unsent(1, 0));
}

/// Waiting requests must not use up the processor of the smallest VMs with choices.
#[test]
fn waiting_requests_choose_some_twenty_times_a_second_together() {
    let seekers = (0..100).filter(|ahead| may_seek(*ahead)).count();
    let mean_pause = (seek_pause(0) + seek_pause(u64::MAX)) / 2;
    let choices = seekers as f64 / mean_pause.as_secs_f64();
    assert!((15.0..=21.0).contains(&choices), "{choices}");
}

/// A false report must not outweigh all true ones, and requests without stated tokens must count.
#[test]
fn the_weight_of_a_report_is_bounded_and_tokens_have_a_floor() {
    let mut sum = KindLoad::new(URGENT);
    let report = KindLoad {
        log_sum: 1e12,
        weight: 1e12,
        ..sum.clone()
    };
    sum.add(&report, 1.0);
    assert!(sum.weight <= 2_000.0, "{}", sum.weight);
    let mut fleet = router();
    let offer = Offer {
        kind: URGENT,
        is_patient: false,
        workspace: None,
        tokens: 0,
    };
    fleet.admit_kind(&service(), &offer, ms(0));
    assert_eq!(fleet.own_backlog(ms(0)).kinds[0].1[0].tokens, [(None, 200.0)]);
}

/// Requests that are refused together must not return together.
#[test]
fn retry_after_follows_the_wait_and_is_spread() {
    let draws = [0, u64::MAX / 2, u64::MAX];
    assert_eq!(draws.map(|draw| retry_after(ms(0), draw)), [ms(500), ms(625), ms(750)]);
    assert!(retry_after(ms(1_500), 0) >= ms(1_500));
    assert!(retry_after(ms(60_000), u64::MAX) <= ms(4_500));
    assert_eq!(
        retry_after(Duration::MAX, u64::MAX),
        ms(4_500),
        "an unknown wait overflowed"
    );
}
