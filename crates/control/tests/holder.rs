//! When a holder may send orders, at the limits of its lease.

use control::orders::{
    Assignment, Event, LEASE_MARGIN, LEASE_TTL, MAX_ORDER_DURATION, OrderHolder, Runner, SlotState, Step,
};
use ids::{EndpointId, Fence, Incarnation, ModelId, WeightsVersion};
use std::time::Duration;

const TICK: Duration = Duration::from_millis(1);

fn engine() -> EndpointId {
    EndpointId::from("engine")
}

/// A candidate that was granted a lease at time 0 and has one empty runner to load.
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

/// A holder since time 0 that has a slot and has just issued a load order, and the time of the order.
fn with_order() -> (OrderHolder, Duration) {
    let mut holder = granted();
    holder.on(Event::Claimed(Fence(1)), Duration::ZERO);
    let now = MAX_ORDER_DURATION;
    holder.on(grant(now), now);
    holder.on(Event::Slots([SlotState::Free; 2]), now);
    let steps = holder.on(Event::SlotTaken(0), now);
    assert!(steps.iter().any(|step| matches!(step, Step::Send { .. })), "{steps:?}");
    (holder, now)
}

/// A lease lapses while its holder is paused during an order, and the order still reaches an engine that ignores
/// fencing tokens. If the new holder started at once, two orders would run concurrently, and the old one could end
/// last.
#[test]
fn a_new_holder_waits_for_the_last_order_of_the_old_one() {
    let mut holder = granted();
    holder.on(Event::Claimed(Fence(1)), Duration::ZERO);
    let early = holder.on(Event::Tick, MAX_ORDER_DURATION - TICK);
    assert!(!early.contains(&Step::ReadSlots(Fence(1))), "{early:?}");
    let then = holder.on(Event::Tick, MAX_ORDER_DURATION);
    assert!(then.contains(&Step::ReadSlots(Fence(1))), "{then:?}");
}

/// The holder is paused between issuing an order and writing it. The lease may expire before the engine gets the order.
#[test]
fn no_order_is_sent_within_the_lease_margin() {
    let cases = [
        (Duration::ZERO, true),
        (LEASE_TTL - LEASE_MARGIN - TICK, true),
        (LEASE_TTL - LEASE_MARGIN, false),
        (LEASE_TTL, false),
    ];
    for (pause, expected) in cases {
        let (mut holder, now) = with_order();
        // The order itself would have expired during the pause, which is not tested here.
        if pause < MAX_ORDER_DURATION {
            assert_eq!(holder.may_send(&engine(), now + pause), expected, "after {pause:?}");
            continue;
        }
        assert!(holder.may_send(&engine(), now));
        holder.may_send(&engine(), now + MAX_ORDER_DURATION - TICK);
        assert_eq!(holder.may_send(&engine(), now + pause), expected, "after {pause:?}");
    }
}

/// An order is written some time after it was issued, so its load ends later as well. If the slot were freed relative
/// to the time of issue, a third runner could load at the same time.
#[test]
fn a_delayed_write_keeps_its_slot_longer() {
    let (mut holder, now) = with_order();
    let written = now + Duration::from_secs(3);
    assert!(holder.may_send(&engine(), written));
    holder.on(grant(written), written);
    let before = holder.on(Event::Tick, written + MAX_ORDER_DURATION - TICK);
    assert!(!before.contains(&Step::FreeSlot(0)), "{before:?}");
    let then = holder.on(Event::Tick, written + MAX_ORDER_DURATION);
    assert!(then.contains(&Step::FreeSlot(0)), "{then:?}");
}

/// The holder of another domain loses its lease while its runner loads. Its slot key disappears at once, but the load
/// still runs.
#[test]
fn a_lapsed_slot_is_taken_only_after_the_maximum_order_duration() {
    let mut holder = granted();
    holder.on(Event::Claimed(Fence(1)), Duration::ZERO);
    let mut now = MAX_ORDER_DURATION;
    holder.on(grant(now), now);
    let lapsed = || Event::Slots([SlotState::Held, SlotState::Expired]);
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

/// The platform takes two seconds to answer. The lease started at an unknown time in between, so only the time of the
/// request is a safe start.
#[test]
fn lease_time_is_measured_from_the_request() {
    let (mut holder, now) = with_order();
    holder.on(grant(now), now + Duration::from_secs(2));
    assert!(!holder.may_send(&engine(), now + LEASE_TTL - LEASE_MARGIN));
    assert_eq!(holder.fence(), Some(Fence(1)));
    holder.on(Event::Tick, now + LEASE_TTL);
    assert_eq!(holder.fence(), None);
}
