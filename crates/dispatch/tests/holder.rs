//! Which router may send orders, and when.

use dispatch::holder::{
    Event, ForeignOrders, HANDOVER_SLACK, Holder, HolderRecord, HolderTimes, LIST_VALIDITY, Step, created, fence,
    list_is_current,
};
use ids::{EndpointId, Fence};
use std::time::Duration;

const TIMES: HolderTimes = HolderTimes {
    ttl: Duration::from_millis(2_000),
    renew_interval: Duration::from_millis(500),
    margin: Duration::from_millis(400),
    retry_delay: Duration::from_millis(500),
};

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn record(name: &str, lease: u64) -> HolderRecord {
    HolderRecord {
        name: name.to_owned(),
        created: Fence(40),
        lease,
    }
}

fn candidate() -> Holder {
    let mut holder = Holder::new("me".to_owned(), TIMES, Duration::ZERO);
    holder.on(Event::Candidate(true), at(0));
    holder
}

/// A router that requested its lease at 100 ms and has read its own name from the key.
fn holding() -> Holder {
    let mut holder = candidate();
    holder.on(Event::KeyObserved(None), at(0));
    assert_eq!(holder.on(Event::Tick, at(100)), Some(Step::Acquire(TIMES.ttl)));
    let granted = Event::Granted {
        lease: 7,
        ttl: TIMES.ttl,
        requested: at(100),
    };
    holder.on(granted, at(110));
    holder.on(Event::KeyObserved(Some(record("me", 7))), at(120));
    holder
}

/// The VM of a holder is suspended for seconds. When it resumes, its lease has expired and another router sends orders.
/// Engines that don't check generation numbers would switch back and forth between the weights of both.
#[test]
fn no_order_is_sent_once_the_lease_may_have_expired() {
    let mut holder = holding();
    assert_eq!(holder.may_order(at(200)), Some(Fence(40)));
    assert_eq!(holder.may_order(at(1_699)), Some(Fence(40)));
    assert_eq!(holder.may_order(at(1_700)), None);
    // The renewal counts from when it was requested, however late its response arrives.
    let renewed = Event::Renewed {
        ttl: TIMES.ttl,
        requested: at(600),
    };
    holder.on(renewed, at(1_650));
    assert_eq!(holder.may_order(at(2_199)), Some(Fence(40)));
    assert_eq!(holder.may_order(at(2_200)), None);
    holder.on(Event::Tick, at(9_000));
    assert_eq!(holder.lease(), None);
}

/// A holder that reaches no endpoint would keep them all on old weights.
#[test]
fn a_holder_that_is_cut_off_hands_the_lease_over() {
    let mut holder = holding();
    assert_eq!(holder.on(Event::CutOff(false), at(200)), None);
    assert_eq!(holder.on(Event::CutOff(true), at(300)), Some(Step::Release(7)));
    assert_eq!((holder.may_order(at(300)), holder.lease()), (None, None));
    holder.on(Event::KeyObserved(None), at(310));
    assert_eq!(holder.on(Event::CutOff(true), at(320)), None);
    assert_eq!(holder.on(Event::Tick, at(9_000)), None);
    assert_eq!(holder.on(Event::CutOff(false), at(9_100)), None);
    assert_eq!(holder.on(Event::Tick, at(9_200)), Some(Step::Acquire(TIMES.ttl)));
}

#[test]
fn only_the_router_named_in_the_key_sends_orders() {
    let mut waiting = candidate();
    waiting.on(Event::KeyObserved(Some(record("other", 3))), at(0));
    assert_eq!(waiting.on(Event::Tick, at(500)), None);
    assert_eq!(waiting.may_order(at(500)), None);

    let mut replaced = holding();
    let step = replaced.on(Event::KeyObserved(Some(record("other", 8))), at(300));
    assert_eq!(step, Some(Step::Release(7)));
    assert_eq!(replaced.may_order(at(300)), None);

    // The same name with another lease is not this router's key.
    let mut restarted = holding();
    restarted.on(Event::KeyObserved(Some(record("me", 6))), at(300));
    assert_eq!(restarted.may_order(at(300)), None);

    let mut stopped = holding();
    assert_eq!(stopped.on(Event::Stop, at(300)), Some(Step::Release(7)));
    stopped.on(Event::KeyObserved(None), at(310));
    assert_eq!(stopped.on(Event::Tick, at(5_000)), None);
}

#[test]
fn the_lease_is_renewed_and_a_failed_request_is_repeated() {
    let mut holder = holding();
    assert_eq!(holder.on(Event::Tick, at(599)), None);
    assert_eq!(holder.on(Event::Tick, at(600)), Some(Step::Renew(7)));
    assert_eq!(holder.on(Event::Tick, at(700)), None);

    let mut failed = candidate();
    failed.on(Event::KeyObserved(None), at(0));
    failed.on(Event::Tick, at(0));
    failed.on(Event::Failed, at(50));
    assert_eq!(failed.on(Event::Tick, at(549)), None);
    assert_eq!(failed.on(Event::Tick, at(550)), Some(Step::Acquire(TIMES.ttl)));
}

/// A holder is killed right after sending an order, and its successor gets the key a moment later. The successor's
/// order to the same endpoint could overtake the predecessor's.
#[test]
fn a_successor_waits_for_the_handover_delay() {
    let delay = at(3_300);
    let (ordered, other) = (EndpointId::from("a"), EndpointId::from("b"));
    let mut orders = ForeignOrders::default();
    orders.record(&ordered, at(1_000));
    assert!(!orders.may_order(&ordered, delay, at(4_299)));
    assert!(orders.may_order(&ordered, delay, at(4_300)));
    assert!(orders.may_order(&other, delay, at(1_000)));
}

/// An order is sent a second after its endpoint was added to the load list. A successor counts its handover delay from
/// the list, so it may order the same endpoint too early.
#[test]
fn an_order_is_sent_only_while_its_list_is_current() {
    assert!(!list_is_current(None, at(0)));
    assert!(list_is_current(Some(at(1_000)), at(1_399)));
    assert!(!list_is_current(Some(at(1_000)), at(1_400)));
    // The rest of the slack covers the transmission of the order.
    assert!(LIST_VALIDITY + at(200) <= HANDOVER_SLACK);
}

/// The VM of the holder restarts quickly. If the new process didn't revoke the lease of the earlier one, no router
/// could send orders until it expires, and engines would keep old weights for two seconds. The earlier process has
/// certainly ended, since both would listen on the same addresses.
#[test]
fn a_restarted_router_revokes_the_lease_of_its_earlier_process() {
    struct Case {
        observed: &'static [Option<(&'static str, u64)>],
        expected: &'static [Option<Step>],
    }
    let cases = [
        Case {
            observed: &[Some(("vm-1/old", 3))],
            expected: &[Some(Step::Release(3))],
        },
        Case {
            observed: &[Some(("vm-2/old", 3))],
            expected: &[None],
        },
        // Another VM whose name starts the same.
        Case {
            observed: &[Some(("vm-1/1/old", 3))],
            expected: &[None],
        },
        // Two processes have the same VM name by mistake: they must not keep revoking each other's lease.
        Case {
            observed: &[None, Some(("vm-1/other", 3))],
            expected: &[None, None],
        },
        Case {
            observed: &[Some(("vm-1/old", 3)), None, Some(("vm-1/other", 4))],
            expected: &[Some(Step::Release(3)), None, None],
        },
    ];
    for (index, case) in cases.iter().enumerate() {
        let mut holder = Holder::new("vm-1/new".to_owned(), TIMES, Duration::ZERO);
        for (observed, expected) in case.observed.iter().zip(case.expected) {
            let record = observed.map(|(name, lease)| record(name, lease));
            assert_eq!(&holder.on(Event::KeyObserved(record), at(0)), expected, "case {index}");
        }
    }
}

/// All candidates are killed at once. The other routers learn of the free key. If none of them requested it, no weights
/// would be ordered until a candidate is back.
#[test]
fn non_candidates_request_the_key_if_no_candidate_does() {
    let mut holder = Holder::new("vm-1/me".to_owned(), TIMES, at(100));
    holder.on(Event::KeyObserved(None), at(0));
    assert_eq!(holder.on(Event::Tick, at(2_599)), None);
    assert_eq!(holder.on(Event::Tick, at(2_600)), Some(Step::Acquire(TIMES.ttl)));

    let mut observer = Holder::new("vm-1/me".to_owned(), TIMES, at(100));
    observer.on(Event::KeyObserved(None), at(0));
    observer.on(Event::KeyObserved(Some(record("vm-2/it", 3))), at(500));
    assert_eq!(observer.on(Event::Tick, at(5_000)), None);
}

/// Two holders fail within one handover delay. The third router started after the second one's load list replaced the
/// first one's. If it knew only that list, it could order an engine that the first holder has just ordered, and the two
/// orders would undo each other.
#[test]
fn orders_of_earlier_holders_are_passed_to_later_ones() {
    let (engine, delay) = (EndpointId::from("e1"), Duration::from_millis(3_000));
    let mut second = ForeignOrders::default();
    second.record(&engine, Duration::from_millis(1_000));
    let now = Duration::from_millis(2_000);
    let mut third = ForeignOrders::default();
    for (endpoint, age) in second.recent(delay, now) {
        third.record(endpoint, now - age);
    }
    assert!(!third.may_order(&engine, delay, Duration::from_millis(3_999)));
    assert!(third.may_order(&engine, delay, Duration::from_millis(4_000)));
    // An older time changes nothing.
    third.record(&engine, Duration::from_millis(500));
    assert!(!third.may_order(&engine, delay, Duration::from_millis(3_999)));
    assert_eq!(second.recent(delay, Duration::from_millis(4_000)).count(), 0);
}

/// The lease is granted, but the write of the key is lost: the key stays free and the watch reports no change. If the only
/// router of a deployment waited for a response forever, no orders would be sent and engines would keep old weights.
#[test]
fn a_lost_request_for_the_key_is_repeated() {
    let mut holder = Holder::new("vm-1/a".to_owned(), TIMES, at(0));
    holder.on(Event::Candidate(true), at(0));
    holder.on(Event::KeyObserved(None), at(0));
    assert!(matches!(holder.on(Event::Tick, at(0)), Some(Step::Acquire(_))));
    let granted = Event::Granted {
        lease: 7,
        ttl: TIMES.ttl,
        requested: at(1),
    };
    holder.on(granted, at(20));
    assert!(requests_again(&mut holder, 200));
}

/// The store expires a lease, and the watch reports the removed key before the renewal fails. The late failure must not
/// overwrite the state that the key is free.
#[test]
fn a_lease_expiry_reported_twice_leaves_the_key_free() {
    let mut holder = Holder::new("vm-1/a".to_owned(), TIMES, at(0));
    holder.on(Event::Candidate(true), at(0));
    holder.on(Event::KeyObserved(None), at(0));
    holder.on(Event::Tick, at(0));
    let granted = Event::Granted {
        lease: 7,
        ttl: TIMES.ttl,
        requested: at(1),
    };
    holder.on(granted, at(20));
    let own = HolderRecord {
        name: "vm-1/a".to_owned(),
        created: Fence(5),
        lease: 7,
    };
    holder.on(Event::KeyObserved(Some(own)), at(30));
    assert!(matches!(holder.on(Event::Tick, at(600)), Some(Step::Renew(7))));
    holder.on(Event::KeyObserved(None), at(700));
    holder.on(Event::LeaseExpired(7), at(701));
    assert!(requests_again(&mut holder, 800));
}

/// Whether the router requests the key within ten seconds.
fn requests_again(holder: &mut Holder, from: u64) -> bool {
    (from..from + 10_000).step_by(200).any(|ms| {
        holder.on(Event::Candidate(true), at(ms));
        matches!(holder.on(Event::Tick, at(ms)), Some(Step::Acquire(_)))
    })
}

/// A request for the key fails and is repeated. The failure is reported late, so the router makes a third request
/// although the second one succeeded, and a third lease is granted. If the router took it for the lease of the key, it
/// would renew it while the key's own lease expires, and send orders at the same time as a successor.
#[test]
fn a_lease_granted_late_does_not_replace_the_lease_of_the_key() {
    let mut holder = holding();
    let granted = Event::Granted {
        lease: 8,
        ttl: TIMES.ttl,
        requested: at(600),
    };
    assert_eq!(holder.on(granted, at(650)), Some(Step::Release(8)));
    assert_eq!(holder.lease(), Some(7));
    assert_eq!(holder.may_order(at(1_699)), Some(Fence(40)));
    assert_eq!(holder.may_order(at(1_700)), None);
    assert_eq!(holder.on(Event::Tick, at(700)), Some(Step::Renew(7)));
}

/// Revisions decrease when the store is restored from a backup. If generation numbers decreased with them, a late order
/// of the former holder would count as newer.
#[test]
fn generation_numbers_increase_across_eras() {
    let increasing = [(0, 1), (0, 900_000), (1, 1), (1, 5), (2, 3), (8_000, 1)];
    let fences: Vec<Fence> = increasing.iter().map(|(era, created)| fence(*era, *created)).collect();
    assert!(fences.is_sorted_by(|left, right| left < right), "{fences:?}");
    for ((_, revision), fence) in increasing.iter().zip(&fences) {
        assert_eq!(created(*fence), *revision);
        assert!(
            fence.0 < 1 << 53,
            "{fence:?} exceeds the exact integers of JSON readers"
        );
    }
    assert_eq!(fence(0, 41), Fence(41));
}
