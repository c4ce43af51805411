//! Who may give orders, and when.

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

fn occupant(name: &str, lease: u64) -> HolderRecord {
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

/// Asked for a lease at 100 ms, and sees its own name under the key.
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
    holder.on(Event::KeyObserved(Some(occupant("me", 7))), at(120));
    holder
}

/// The VM of a holder is suspended for seconds. Its lease has lapsed when it goes on, and another router gives orders;
/// engines that check nothing would change back and forth between the weights of both.
#[test]
fn no_order_leaves_once_the_lease_may_have_lapsed() {
    let mut holder = holding();
    assert_eq!(holder.may_order(at(200)), Some(Fence(40)));
    assert_eq!(holder.may_order(at(1_699)), Some(Fence(40)));
    assert_eq!(holder.may_order(at(1_700)), None);
    // The renewal counts from when it was asked for, however late its answer comes.
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

#[test]
fn whoever_does_not_stand_under_the_key_gives_no_orders() {
    let mut waiting = candidate();
    waiting.on(Event::KeyObserved(Some(occupant("other", 3))), at(0));
    assert_eq!(waiting.on(Event::Tick, at(500)), None);
    assert_eq!(waiting.may_order(at(500)), None);

    let mut replaced = holding();
    let step = replaced.on(Event::KeyObserved(Some(occupant("other", 8))), at(300));
    assert_eq!(step, Some(Step::Release(7)));
    assert_eq!(replaced.may_order(at(300)), None);

    // The name of an earlier life of this very process's VM under another lease is not its own.
    let mut restarted = holding();
    restarted.on(Event::KeyObserved(Some(occupant("me", 6))), at(300));
    assert_eq!(restarted.may_order(at(300)), None);

    let mut stopped = holding();
    assert_eq!(stopped.on(Event::Stop, at(300)), Some(Step::Release(7)));
    stopped.on(Event::KeyObserved(None), at(310));
    assert_eq!(stopped.on(Event::Tick, at(5_000)), None);
}

#[test]
fn the_lease_is_renewed_and_a_failed_claim_repeated() {
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

/// A holder is killed right after an order. Its successor holds the key a moment later; its own order to the same
/// endpoint could cross the last one.
#[test]
fn a_successor_leaves_recently_ordered_endpoints_alone() {
    let turn = at(3_300);
    let (ordered, other) = (EndpointId::from("a"), EndpointId::from("b"));
    let mut turns = ForeignOrders::default();
    turns.record(&ordered, at(1_000));
    assert!(!turns.may_order(&ordered, turn, at(4_299)));
    assert!(turns.may_order(&ordered, turn, at(4_300)));
    assert!(turns.may_order(&other, turn, at(1_000)));
}

/// An order leaves a second after its endpoint was listed. A successor counts its turn from the list, so it may order the same
/// endpoint too early.
#[test]
fn an_order_leaves_only_while_its_list_is_young() {
    assert!(!list_is_current(None, at(0)));
    assert!(list_is_current(Some(at(1_000)), at(1_399)));
    assert!(!list_is_current(Some(at(1_000)), at(1_400)));
    // What is left of the slack covers the order's way.
    assert!(LIST_VALIDITY + at(200) <= HANDOVER_SLACK);
}

/// The VM of the holder is restarted at once. Nobody may order until the lease of its earlier life lapses, two seconds in which
/// engines keep old weights. The new life knows that the earlier one is over, since both would listen at the same addresses.
#[test]
fn a_restarted_router_gives_back_what_its_earlier_life_held() {
    struct Case {
        seen: &'static [Option<(&'static str, u64)>],
        expected: &'static [Option<Step>],
    }
    let cases = [
        Case {
            seen: &[Some(("vm-1/old", 3))],
            expected: &[Some(Step::Release(3))],
        },
        Case {
            seen: &[Some(("vm-2/old", 3))],
            expected: &[None],
        },
        // Another VM's name that begins alike.
        Case {
            seen: &[Some(("vm-1/1/old", 3))],
            expected: &[None],
        },
        // Two processes are given one name by mistake: they must not take the key from each other again and again.
        Case {
            seen: &[None, Some(("vm-1/other", 3))],
            expected: &[None, None],
        },
        Case {
            seen: &[Some(("vm-1/old", 3)), None, Some(("vm-1/other", 4))],
            expected: &[Some(Step::Release(3)), None, None],
        },
    ];
    for (index, case) in cases.iter().enumerate() {
        let mut holder = Holder::new("vm-1/new".to_owned(), TIMES, Duration::ZERO);
        for (seen, expected) in case.seen.iter().zip(case.expected) {
            let occupant = seen.map(|(name, lease)| occupant(name, lease));
            assert_eq!(
                &holder.on(Event::KeyObserved(occupant), at(0)),
                expected,
                "case {index}"
            );
        }
    }
}

/// All routers that watch the store are killed together. The others hear of the free key from routers that are back, and none of
/// them asks for it: no weights are ordered until one that watches is there.
#[test]
fn others_ask_for_the_key_if_no_candidate_does() {
    let mut holder = Holder::new("vm-1/me".to_owned(), TIMES, at(100));
    holder.on(Event::KeyObserved(None), at(0));
    assert_eq!(holder.on(Event::Tick, at(2_599)), None);
    assert_eq!(holder.on(Event::Tick, at(2_600)), Some(Step::Acquire(TIMES.ttl)));

    let mut taken = Holder::new("vm-1/me".to_owned(), TIMES, at(100));
    taken.on(Event::KeyObserved(None), at(0));
    taken.on(Event::KeyObserved(Some(occupant("vm-2/it", 3))), at(500));
    assert_eq!(taken.on(Event::Tick, at(5_000)), None);
}

/// Two holders are lost within one turn. The third has started after the first one's list was replaced by the second's; were it to
/// know only that one, it would order an engine that the first has just ordered, and the two orders would undo each other.
#[test]
fn what_an_earlier_holder_ordered_is_told_on() {
    let (engine, turn) = (EndpointId::from("e1"), Duration::from_millis(3_000));
    let mut second = ForeignOrders::default();
    second.record(&engine, Duration::from_millis(1_000));
    let now = Duration::from_millis(2_000);
    let mut third = ForeignOrders::default();
    for (endpoint, age) in second.recent(turn, now) {
        third.record(endpoint, now - age);
    }
    assert!(!third.may_order(&engine, turn, Duration::from_millis(3_999)));
    assert!(third.may_order(&engine, turn, Duration::from_millis(4_000)));
    // An older word changes nothing.
    third.record(&engine, Duration::from_millis(500));
    assert!(!third.may_order(&engine, turn, Duration::from_millis(3_999)));
    assert_eq!(second.recent(turn, Duration::from_millis(4_000)).count(), 0);
}

/// The answer to a claim is lost, and the claim was not carried out: the key stays free and the watch tells nothing. Were the router to
/// wait for a word that never comes, nobody would give orders where it is the only one, and engines would keep old weights.
#[test]
fn a_lost_claim_is_made_again() {
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
    assert!(asks_again(&mut holder, 200));
}

/// The store ends a lease; the watch tells that the key has gone before the answer to the renewal does. The late answer must not
/// make the router forget that the key is free.
#[test]
fn the_end_of_a_lease_that_is_told_twice_leaves_the_key_free() {
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
    assert!(asks_again(&mut holder, 800));
}

/// Whether the router asks for the key within ten seconds.
fn asks_again(holder: &mut Holder, from: u64) -> bool {
    (from..from + 10_000).step_by(200).any(|ms| {
        holder.on(Event::Candidate(true), at(ms));
        matches!(holder.on(Event::Tick, at(ms)), Some(Step::Acquire(_)))
    })
}

/// A claim fails and the router asks again; the word of the failure is late, so that it asks a third time while the second claim holds.
/// The third lease is granted then. Were it taken for the one that the key hangs on, the router would renew it while the key's own
/// lapses, and give orders beside a successor.
#[test]
fn a_lease_that_is_granted_late_is_not_the_keys() {
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

/// Generation numbers that fall with the store's revisions make a late order of the former leader the newer one.
#[test]
fn generation_numbers_rise_over_eras() {
    let rising = [(0, 1), (0, 900_000), (1, 1), (1, 5), (2, 3), (8_000, 1)];
    let fences: Vec<Fence> = rising.iter().map(|(era, created)| fence(*era, *created)).collect();
    assert!(fences.is_sorted_by(|left, right| left < right), "{fences:?}");
    for ((_, revision), fence) in rising.iter().zip(&fences) {
        assert_eq!(created(*fence), *revision);
        assert!(fence.0 < 1 << 53, "{fence:?} is a whole number to every reader of JSON");
    }
    assert_eq!(fence(0, 41), Fence(41));
}
