//! Streams over broken connections against the text that the engine would send in one go.

use ids::RequestId;
use lifecycle::stream::{AnswerVerdict, ConnectionEnd, HeadVerdict, PieceVerdict, ReceivedAnswer, StreamAssembler};
use quickcheck::{Gen, QuickCheck};

/// Each run tries the same cases, so that its verdict is the same.
const SEED: u64 = 8;

fn seeded() -> QuickCheck {
    QuickCheck::new().rng(Gen::from_size_and_seed(100, SEED))
}

const LENGTH: u64 = 9;

/// One connection: what its head says, where it starts relative to what was asked for, and where it ends.
fn connect(stream: &mut StreamAssembler, seen: &mut Vec<(u64, u8)>, connection: (u8, u8, u8)) {
    let (kind, start, pieces) = connection;
    let weights = if kind % 5 == 0 { 2 } else { 1 };
    let named = if weights == 2 { "w2" } else { "w1" };
    let echoed = if kind % 7 == 0 { "other" } else { "mine" };
    let head = stream.on_head(Some(echoed), Some(named));
    assert!(
        echoed == "mine" || head == HeadVerdict::OtherRequest,
        "another request's answer was accepted"
    );
    let first = (stream.resume_from() + 1).saturating_sub(u64::from(start % 3));
    let end = (first + u64::from(pieces % 8)).min(LENGTH);
    for number in first..end {
        let verdict = stream.on_piece(number);
        assert!(
            verdict != PieceVerdict::Deliver || head == HeadVerdict::Accept,
            "delivered although the head was refused"
        );
        match verdict {
            PieceVerdict::Deliver => seen.push((number, weights)),
            PieceVerdict::Gap | PieceVerdict::Unexpected => return,
            PieceVerdict::Duplicate => {}
        }
    }
    // The end mark bears no number: an engine that skips the last pieces and sends only the mark is not noticed.
    let skipped = first == LENGTH && (seen.len() as u64) < LENGTH;
    let cut = kind % 3 == 0;
    if end == LENGTH && first <= LENGTH && !cut && !skipped && stream.on_done() {
        assert_eq!(
            (head, seen.len() as u64),
            (HeadVerdict::Accept, LENGTH),
            "ended before it was whole"
        );
    }
}

// Connections break between pieces and are taken up again too early, too late, at other weights or with another
// request's answer. A reader would see words doubled, missing, or from a different model's continuation.
#[test]
fn any_broken_connections() {
    fn holds(connections: Vec<(u8, u8, u8)>) -> bool {
        let mut stream = StreamAssembler::new(RequestId::from("mine"));
        let mut seen = Vec::new();
        for connection in connections {
            let was = stream.is_complete();
            connect(&mut stream, &mut seen, connection);
            let numbers: Vec<u64> = seen.iter().map(|piece| piece.0).collect();
            assert_eq!(
                numbers,
                (0..numbers.len() as u64).collect::<Vec<_>>(),
                "doubled, missing or out of order"
            );
            assert!(seen.iter().all(|piece| piece.1 == seen[0].1), "mixed weights");
            assert!(!was || stream.is_complete(), "a whole stream opened again");
            let wanted = match stream.on_break() {
                ConnectionEnd::Complete => LENGTH,
                ConnectionEnd::Restart => 0,
                ConnectionEnd::Resume { from, weights } => {
                    assert!(weights.is_some());
                    from
                }
            };
            assert_eq!(wanted, seen.len() as u64, "resumes from the wrong piece");
        }
        true
    }
    seeded()
        .tests(20_000)
        .quickcheck(holds as fn(Vec<(u8, u8, u8)>) -> bool);
}

/// Declared length, chunked, bytes read, echoed id, and the verdict.
struct Case(Option<u64>, bool, u64, Option<&'static str>, AnswerVerdict);

#[track_caller]
fn check(case: &Case) {
    let Case(declared, chunked, read, echoed, verdict) = *case;
    let answer = ReceivedAnswer {
        declared,
        chunked,
        read,
        echoed,
    };
    assert_eq!(answer.check(&RequestId::from("mine")), verdict, "{answer:?}");
}

// The HTTP library reports a body that was cut short, or that nobody declared, as whole. The caller would take half
// an order confirmation for all of it, or read one that is somebody else's.
#[test]
fn whole_answers() {
    let mine = Some("mine");
    let cases = [
        Case(Some(10), false, 10, mine, AnswerVerdict::Complete),
        Case(Some(10), false, 5, mine, AnswerVerdict::WrongLength),
        Case(Some(5), false, 10, mine, AnswerVerdict::WrongLength),
        Case(None, true, 7, mine, AnswerVerdict::Complete),
        Case(None, false, 0, mine, AnswerVerdict::LengthUnknown),
        Case(Some(10), false, 10, Some("other"), AnswerVerdict::OtherRequest),
        Case(Some(10), false, 10, None, AnswerVerdict::OtherRequest),
    ];
    cases.iter().for_each(check);
}
