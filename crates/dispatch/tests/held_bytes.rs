//! The budget of bytes held for slow readers.

use dispatch::held_bytes::{AHEAD_RESERVE, HeldBytes, HolderId, MAX_HELD_BYTES, MAX_PAUSE, NextRead, READ_BYTES};
use std::time::Duration;

const LIMIT: usize = 64 * READ_BYTES;

fn full(holders: &[usize]) -> (HeldBytes, Vec<HolderId>) {
    let mut held = HeldBytes::new(LIMIT);
    let ids: Vec<HolderId> = (0..holders.len()).map(|at| held.open(seconds(at))).collect();
    for (id, reads) in ids.iter().zip(holders) {
        held.set(*id, reads * READ_BYTES);
    }
    (held, ids)
}

fn seconds(count: usize) -> Duration {
    Duration::from_secs(count as u64)
}

/// Another order could close a sound small response while an endless one goes on, or close several for one.
#[test]
fn holders_are_closed_in_the_stated_order() {
    struct Case {
        held: &'static [usize],
        asks: usize,
        at_once: NextReadOf,
        later: NextReadOf,
    }
    #[derive(Debug, PartialEq)]
    enum NextReadOf {
        Read,
        Pause,
        Close(usize),
    }
    use NextReadOf::{Close, Pause, Read};
    let cases = [
        Case {
            held: &[30, 10],
            asks: 1,
            at_once: Read,
            later: Read,
        },
        // A smaller holder displaces one at least twice as large at once.
        Case {
            held: &[40, 20, 4],
            asks: 2,
            at_once: Close(0),
            later: Pause,
        },
        Case {
            held: &[40, 24],
            asks: 1,
            at_once: Pause,
            later: Close(0),
        },
        // The largest waits, and is closed for its own growth.
        Case {
            held: &[40, 24],
            asks: 0,
            at_once: Pause,
            later: Close(0),
        },
        // Of equal ones, the oldest.
        Case {
            held: &[32, 32],
            asks: 1,
            at_once: Pause,
            later: Close(0),
        },
    ];
    for case in cases {
        let (mut held, ids) = full(case.held);
        let mut ask = |now| match held.next_read(ids[case.asks], now) {
            NextRead::Read => Read,
            NextRead::Pause => Pause,
            NextRead::Close(id) => Close(ids.iter().position(|other| *other == id).expect("a holder")),
        };
        let now = seconds(100);
        assert_eq!(ask(now), case.at_once, "{:?}", case.held);
        assert_eq!(ask(now + MAX_PAUSE), case.later, "{:?}", case.held);
    }
}

/// A holder that is told to close may not do so, for example while its task is busy. The others must not wait for it for ever.
#[test]
fn another_holder_is_closed_if_the_first_keeps_its_bytes() {
    let (mut held, ids) = full(&[40, 20, 4]);
    let now = seconds(100);
    assert_eq!(held.next_read(ids[2], now), NextRead::Close(ids[0]));
    assert_eq!(held.next_read(ids[2], now + MAX_PAUSE), NextRead::Pause);
    let late = now + MAX_PAUSE + Duration::from_millis(1);
    assert_eq!(held.next_read(ids[0], late), NextRead::Pause);
    assert_eq!(held.next_read(ids[2], late), NextRead::Close(ids[1]));
}

/// Reading ahead of slow clients must leave room for streams to fast ones, which would pause and have slow ones closed.
#[test]
fn reading_ahead_leaves_a_reserve() {
    let mut held = HeldBytes::new(MAX_HELD_BYTES);
    let (slow, fast) = (held.open(seconds(0)), held.open(seconds(1)));
    while held.has_room_ahead() {
        held.set(slow, held.bytes(slow) + READ_BYTES);
    }
    assert_eq!(held.used(), MAX_HELD_BYTES - AHEAD_RESERVE);
    for read in 1..=AHEAD_RESERVE / READ_BYTES {
        assert_eq!(held.next_read(fast, seconds(2)), NextRead::Read, "read {read}");
        held.set(fast, read * READ_BYTES);
    }
    assert_eq!(held.next_read(fast, seconds(2)), NextRead::Close(slow));
}

/// Endless and sound bodies are read side by side. The sound ones, of some hundred kilobytes, must be read to their end, and the
/// sum must stay within the budget and one read of each.
#[test]
fn sound_bodies_are_read_beside_endless_ones() {
    let mut held = HeldBytes::new(LIMIT);
    let mut now = Duration::ZERO;
    let mut endless: Vec<HolderId> = (0..40).map(|_| held.open(now)).collect();
    let mut sound: Vec<HolderId> = Vec::new();
    let mut done = 0;
    for step in 0..4_000 {
        now += Duration::from_millis(1);
        if step % 100 == 0 {
            sound.push(held.open(now));
        }
        for id in endless.clone().into_iter().chain(sound.clone()) {
            match held.next_read(id, now) {
                NextRead::Read => held.set(id, held.bytes(id) + READ_BYTES),
                NextRead::Pause => {}
                NextRead::Close(closed) => {
                    held.close(closed);
                    assert!(!sound.contains(&closed), "a sound body was closed at step {step}");
                    endless.retain(|other| *other != closed);
                    endless.push(held.open(now));
                }
            }
            assert!(held.used() <= LIMIT, "{}", held.used());
        }
        sound.retain(|id| {
            let whole = held.bytes(*id) >= 2 * READ_BYTES;
            if whole {
                held.close(*id);
                done += 1;
            }
            !whole
        });
    }
    assert!(done >= 38, "{done} of 40 sound bodies were read");
}
