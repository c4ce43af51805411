//! Whole events of a stream, through breaks.

use lifecycle::events::EventSplitter;
use quickcheck::quickcheck;

fn event(number: u64) -> Vec<u8> {
    format!("id: {number}\ndata: t{number}\n\n").into_bytes()
}

/// An endpoint crashes in the middle of an event, and another one goes on after the last whole one. Half an event
/// joined to the next run's would be text that nobody made.
#[test]
fn half_an_event_is_never_passed_on() {
    let mut splitter = EventSplitter::default();
    let mut passed = Vec::new();
    passed.extend(splitter.push(b"id: 1\ndata: t1\n\nid: 2\nda").bytes);
    splitter.discard_partial();
    assert_eq!(splitter.last_number(), Some(1));
    // The next run begins with what the caller has already.
    for number in 1..=3 {
        passed.extend(splitter.push(&event(number)).bytes);
    }
    passed.extend(splitter.finish());
    let expected: Vec<u8> = (1..=3).flat_map(event).collect();
    assert_eq!(passed, expected);
}

#[test]
fn events_end_in_an_empty_line_of_either_kind() {
    struct Case {
        bytes: &'static [u8],
        whole: &'static [u8],
        last: Option<u64>,
    }
    let cases = [
        Case {
            bytes: b"data: a\n\nrest",
            whole: b"data: a\n\n",
            last: None,
        },
        Case {
            bytes: b"id:7\r\ndata: a\r\n\r\nrest",
            whole: b"id:7\r\ndata: a\r\n\r\n",
            last: Some(7),
        },
        Case {
            bytes: b"weights: 3\nid: 8\ndata: a\n\n",
            whole: b"weights: 3\nid: 8\ndata: a\n\n",
            last: Some(8),
        },
        Case {
            bytes: b"id: x\ndata: a\n\n",
            whole: b"id: x\ndata: a\n\n",
            last: None,
        },
        Case {
            bytes: b"data: a\n",
            whole: b"",
            last: None,
        },
    ];
    for case in cases {
        let mut splitter = EventSplitter::default();
        let whole = splitter.push(case.bytes);
        assert_eq!(
            (whole.bytes.as_slice(), splitter.last_number()),
            (case.whole, case.last),
            "{:?}",
            case.bytes
        );
    }
}

quickcheck! {
    /// However a stream is cut into segments, its bytes come out as they are.
    fn segments_do_not_matter(cuts: Vec<u8>, count: u8) -> bool {
        let stream: Vec<u8> = (1..=u64::from(count)).flat_map(event).collect();
        let mut splitter = EventSplitter::default();
        let mut passed = Vec::new();
        let mut rest = stream.as_slice();
        for cut in cuts {
            let (segment, left) = rest.split_at(usize::from(cut).min(rest.len()));
            passed.extend(splitter.push(segment).bytes);
            rest = left;
        }
        passed.extend(splitter.push(rest).bytes);
        passed.extend(splitter.finish());
        passed == stream
    }
}
