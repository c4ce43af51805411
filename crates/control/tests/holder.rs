//! When a holder may give orders, at the edges of its lease.

use control::orders::{
    Assignment, Event, LEASE_MARGIN, LEASE_TTL, MAX_ORDER_DURATION, OrderHolder, Runner, SlotState, Step,
};
use ids::{EndpointId, Fence, Incarnation, ModelId, WeightsVersion};
use std::time::Duration;

const TICK: Duration = Duration::from_millis(1);

fn engine() -> EndpointId {
    EndpointId::from("engine")
}

/// A candidate that was granted a lease at 0, and has an empty runner to load.
fn granted() -> OrderHolder {
    let mut holder = OrderHolder::new();
    let runner = Runner {
        endpoint: engine(),
        incarnation: Incarnation(1),
        model: ModelId::from("grain"),
        weights: None,
        available: true,
    };
    let wanted = Assignment {
        endpoint: engine(),
        model: ModelId::from("grain"),
        weights: WeightsVersion::from("1"),
    };
    holder.on(Event::Assignments(vec![wanted]), Duration::ZERO);
    holder.on(Event::Runners(vec![runner]), Duration::ZERO);
    holder.on(Event::Candidate(true), Duration::ZERO);
    holder.on(Event::HolderAbsent, Duration::ZERO);
    let steps = holder.on(grant(Duration::ZERO), Duration::ZERO);
    assert_eq!(steps, [Step::Claim(Fence(1))]);
    holder
}

fn grant(requested: Duration) -> Event {
    Event::Granted {
        id: Fence(1),
        ttl: LEASE_TTL,
        requested,
    }
}

/// Holds since 0 and has just decided on a load, whose slot it has; gives the time.
fn ordering() -> (OrderHolder, Duration) {
    let mut holder = granted();
    holder.on(Event::Claimed(Fence(1)), Duration::ZERO);
    let now = MAX_ORDER_DURATION;
    holder.on(grant(now), now);
    holder.on(Event::Slots([SlotState::Free; 2]), now);
    let steps = holder.on(Event::SlotTaken(0), now);
    assert!(steps.iter().any(|step| matches!(step, Step::Send { .. })), "{steps:?}");
    (holder, now)
}

/// A lease lapsed while its holder was paused in the middle of an order, which still reaches an engine that ignores
/// fences. A successor that began at once would let two orders run side by side, and the old one could end last.
#[test]
fn a_successor_waits_for_the_longest_order() {
    let mut holder = granted();
    holder.on(Event::Claimed(Fence(1)), Duration::ZERO);
    let early = holder.on(Event::Tick, MAX_ORDER_DURATION - TICK);
    assert!(!early.contains(&Step::ReadSlots(Fence(1))), "{early:?}");
    let then = holder.on(Event::Tick, MAX_ORDER_DURATION);
    assert!(then.contains(&Step::ReadSlots(Fence(1))), "{then:?}");
}

/// The holder is paused between its decision and the write. The lease may be over before the engine has the order.
#[test]
fn no_order_leaves_in_the_last_part_of_a_lease() {
    let cases = [
        (Duration::ZERO, true),
        (LEASE_TTL - LEASE_MARGIN - TICK, true),
        (LEASE_TTL - LEASE_MARGIN, false),
        (LEASE_TTL, false),
    ];
    for (pause, expected) in cases {
        let (mut holder, now) = ordering();
        // The time of the order's decision passes with the pause, and is not what is tested here.
        if pause < MAX_ORDER_DURATION {
            assert_eq!(holder.may_send(&engine(), now + pause), expected, "after {pause:?}");
            continue;
        }
        assert!(holder.may_send(&engine(), now));
        holder.may_send(&engine(), now + MAX_ORDER_DURATION - TICK);
        assert_eq!(holder.may_send(&engine(), now + pause), expected, "after {pause:?}");
    }
}

/// An order is written some time after its decision. Its load may run that much longer, and a slot that is freed
/// by the time of the decision would let a third runner load beside it.
#[test]
fn a_late_write_keeps_its_slot_longer() {
    let (mut holder, now) = ordering();
    let written = now + Duration::from_secs(3);
    assert!(holder.may_send(&engine(), written));
    holder.on(grant(written), written);
    let before = holder.on(Event::Tick, written + MAX_ORDER_DURATION - TICK);
    assert!(!before.contains(&Step::FreeSlot(0)), "{before:?}");
    let then = holder.on(Event::Tick, written + MAX_ORDER_DURATION);
    assert!(then.contains(&Step::FreeSlot(0)), "{then:?}");
}

/// Another domain's holder lost its lease while its runner loads. Its slot is gone from the platform at once, and the
/// load is not.
#[test]
fn a_lapsed_slot_is_taken_after_the_longest_order() {
    let mut holder = granted();
    holder.on(Event::Claimed(Fence(1)), Duration::ZERO);
    let mut now = MAX_ORDER_DURATION;
    holder.on(grant(now), now);
    let lapsed = || Event::Slots([SlotState::Held, SlotState::Lapsed]);
    let free_at = now + MAX_ORDER_DURATION;
    while now < free_at {
        let steps = holder.on(lapsed(), now);
        assert!(
            !steps.iter().any(|step| matches!(step, Step::TakeSlot { .. })),
            "{steps:?} at {now:?}"
        );
        holder.on(grant(now), now);
        now += Duration::from_millis(500);
    }
    let steps = holder.on(lapsed(), now);
    assert!(
        steps.contains(&Step::TakeSlot {
            slot: 1,
            lease: Fence(1)
        }),
        "{steps:?}"
    );
}

/// The platform takes two seconds to answer. Its clock began somewhere in between, so that only the time of asking
/// is safe to count from.
#[test]
fn a_lease_is_counted_from_when_it_was_asked_for() {
    let (mut holder, now) = ordering();
    holder.on(grant(now), now + Duration::from_secs(2));
    assert!(!holder.may_send(&engine(), now + LEASE_TTL - LEASE_MARGIN));
    assert_eq!(holder.fence(), Some(Fence(1)));
    holder.on(Event::Tick, now + LEASE_TTL);
    assert_eq!(holder.fence(), None);
}
