//! Splitting of streams into complete events across broken connections.

use lifecycle::events::{Disorder, EventSplitter, EventTooLong, MAX_EVENT_BYTES, Place};
use quickcheck::quickcheck;

fn event(number: u64) -> Vec<u8> {
    format!("id: {number}\ndata: t{number}\n\n").into_bytes()
}

/// An endpoint crashes in the middle of an event, and another one continues after the last complete event. A partial
/// event joined to the continuation would be corrupt.
#[test]
fn a_partial_event_is_never_forwarded() {
    let mut splitter = EventSplitter::default();
    let mut forwarded = Vec::new();
    forwarded.extend(splitter.push(b"id: 1\ndata: t1\n\nid: 2\nda").bytes);
    splitter.discard_partial();
    assert_eq!(splitter.last_number(), Some(1));
    // The continuation starts with events that the client already has.
    for number in 1..=3 {
        forwarded.extend(splitter.push(&event(number)).bytes);
    }
    assert_eq!(splitter.partial_len(), 0);
    let expected: Vec<u8> = (1..=3).flat_map(event).collect();
    assert_eq!(forwarded, expected);
}

/// An event end that is missed would delay events; one that is found too early would split them.
#[test]
fn events_end_at_an_empty_line_with_lf_or_crlf() {
    struct Case {
        bytes: &'static [u8],
        complete: &'static [u8],
        last: Option<u64>,
    }
    let cases = [
        Case {
            bytes: b"data: a\n\nrest",
            complete: b"data: a\n\n",
            last: None,
        },
        Case {
            bytes: b"id:7\r\ndata: a\r\n\r\nrest",
            complete: b"id:7\r\ndata: a\r\n\r\n",
            last: Some(7),
        },
        Case {
            bytes: b"weights: 3\nid: 8\ndata: a\n\n",
            complete: b"weights: 3\nid: 8\ndata: a\n\n",
            last: Some(8),
        },
        Case {
            bytes: b"id: x\ndata: a\n\n",
            complete: b"id: x\ndata: a\n\n",
            last: None,
        },
        Case {
            bytes: b"data: a\n",
            complete: b"",
            last: None,
        },
    ];
    for case in cases {
        let mut splitter = EventSplitter::default();
        let complete = splitter.push(case.bytes);
        assert_eq!(
            (complete.bytes.as_slice(), splitter.last_number()),
            (case.complete, case.last),
            "{:?}",
            case.bytes
        );
    }
}

/// Another endpoint that continues a stream must neither repeat events nor complete a part that it did not send.
#[test]
fn another_endpoint_continues_after_the_last_forwarded_event() {
    let mut splitter = EventSplitter::default();
    splitter.push(b"id: 1\ndata: a\n\nid: 2\nda");
    assert_eq!(splitter.partial(), b"id: 2\nda");
    let mut other = splitter.without_partial();
    assert_eq!(other.push(b"id: 1\ndata: a\n\n").count, 0);
    assert_eq!(other.push(b"id: 2\ndata: b\n\n").bytes, b"id: 2\ndata: b\n\n");
    assert_eq!(splitter.push(b"ta: b\n\n").bytes, b"id: 2\ndata: b\n\n");
}

quickcheck! {
    /// However much of a stream arrives, the end of an event must not be seen anywhere else.
    fn a_cut_inside_an_event_leaves_a_partial_event(cut: usize, count: u8) -> bool {
        let stream: Vec<u8> = (1..=u64::from(count)).flat_map(event).collect();
        let cut = cut % (stream.len() + 1);
        let mut splitter = EventSplitter::default();
        let forwarded = splitter.push(&stream[..cut]).bytes;
        let at_event_end = cut == 0 || stream[..cut].ends_with(b"\n\n");
        at_event_end == (splitter.partial_len() == 0) && forwarded.len() + splitter.partial_len() == cut
    }

    /// However a stream is split into segments, its bytes must not change.
    fn segmentation_does_not_change_the_bytes(cuts: Vec<u8>, count: u8) -> bool {
        let stream: Vec<u8> = (1..=u64::from(count)).flat_map(event).collect();
        let mut splitter = EventSplitter::default();
        let mut forwarded = Vec::new();
        let mut rest = stream.as_slice();
        for cut in cuts {
            let (segment, left) = rest.split_at(usize::from(cut).min(rest.len()));
            forwarded.extend(splitter.push(segment).bytes);
            rest = left;
        }
        forwarded.extend(splitter.push(rest).bytes);
        splitter.partial_len() == 0 && forwarded == stream
    }
}

/// A resumed stream that lacks events, or repeats them, can't be told from a whole one unless each joint is checked.
#[test]
fn an_event_that_does_not_follow_is_reported() {
    struct Case {
        /// Last event of the client.
        taken: Option<u64>,
        /// Numbers by attempt.
        attempts: &'static [&'static [u64]],
        /// Number of the event that doesn't follow, the one before it, and its place.
        disorder: Option<(u64, u64, Place)>,
    }
    let case = |taken, attempts, disorder| Case {
        taken,
        attempts,
        disorder,
    };
    let cases = [
        case(None, &[&[1, 2, 3]], None),
        case(None, &[&[7, 9]], None),
        case(None, &[&[1, 2], &[3, 4]], None),
        case(None, &[&[1, 2], &[4]], Some((4, 2, Place::Joint))),
        case(None, &[&[1, 2], &[2, 3]], Some((2, 2, Place::Joint))),
        case(None, &[&[1, 2], &[], &[1]], Some((1, 2, Place::Joint))),
        case(None, &[&[1, 3, 2]], Some((2, 3, Place::Within))),
        case(Some(5), &[&[6, 7], &[8]], None),
        case(Some(5), &[&[7]], Some((7, 5, Place::Taken))),
        case(Some(5), &[&[], &[5]], Some((5, 5, Place::Taken))),
        case(Some(5), &[&[6], &[8]], Some((8, 6, Place::Joint))),
    ];
    for case in cases {
        let mut splitter = EventSplitter::after(case.taken);
        let mut found = Vec::new();
        for attempt in case.attempts {
            let stream: Vec<u8> = attempt.iter().copied().flat_map(event).collect();
            let whole = splitter.push(&stream);
            let ends = attempt.first().copied().zip(attempt.last().copied());
            assert_eq!(whole.numbers, ends, "{attempt:?}");
            found.extend(whole.disorder);
            splitter.discard_partial();
        }
        let expected = case
            .disorder
            .map(|(number, last, place)| Disorder { last, number, place });
        assert_eq!(found, expected.into_iter().collect::<Vec<_>>(), "{:?}", case.attempts);
    }
}

/// An endpoint sends bytes without the end of an event. They must not fill the memory, and searching all of them again with
/// each read would take minutes. A long event that ends is valid.
#[test]
fn an_event_without_end_is_too_long() {
    let mut splitter = EventSplitter::default();
    for _ in 0..MAX_EVENT_BYTES / 8 {
        assert_eq!(splitter.push(b"data: x\n").count, 0);
    }
    assert_eq!(splitter.check(), Ok(()));
    let mut long = splitter.clone();
    assert_eq!(long.push(b"\n").bytes.len(), MAX_EVENT_BYTES + 1);
    assert_eq!(long.check(), Ok(()));
    splitter.push(b"x");
    assert_eq!(splitter.check(), Err(EventTooLong));
}
