//! Tests of the stream reader: only a complete, ordered stream of the right request is accepted.

use async_std::io::Cursor;
use async_std::task::block_on;
use loadtool::run::{Attempt, Expected, read_stream};
use standins::engine::{piece, text_seed};
use std::time::Instant;

const TOKENS: u64 = 3;
const PROMPT: &str = "prompt";
const WEIGHTS: &str = "w1";

/// One line of a stream.
enum Line {
    Piece(u64),
    PieceOf(&'static str, u64),
    Usage,
    Error(&'static str),
    Done,
}

use Line::{Done, Error, Piece, PieceOf, Usage};

struct Case {
    name: &'static str,
    lines: &'static [Line],
    complete: bool,
}

const CASES: &[Case] = &[
    Case {
        name: "complete",
        lines: &[Piece(0), Piece(1), Piece(2), Usage, Done],
        complete: true,
    },
    Case {
        name: "a piece missing",
        lines: &[Piece(0), Piece(2), Usage, Done],
        complete: false,
    },
    Case {
        name: "a piece twice",
        lines: &[Piece(0), Piece(1), Piece(1), Piece(2), Usage, Done],
        complete: false,
    },
    Case {
        name: "out of order",
        lines: &[Piece(0), Piece(2), Piece(1), Usage, Done],
        complete: false,
    },
    Case {
        name: "the last piece missing",
        lines: &[Piece(0), Piece(1), Usage, Done],
        complete: false,
    },
    Case {
        name: "no end event",
        lines: &[Piece(0), Piece(1), Piece(2), Usage],
        complete: false,
    },
    Case {
        name: "more after the end",
        lines: &[Piece(0), Piece(1), Usage, Done, Piece(2)],
        complete: false,
    },
    Case {
        name: "another request's",
        lines: &[Piece(0), PieceOf("other", 1), Piece(2), Usage, Done],
        complete: false,
    },
    Case {
        name: "an error event",
        lines: &[Piece(0), Error("unknown")],
        complete: false,
    },
];

#[test]
fn only_a_complete_stream_is_accepted() {
    for case in CASES {
        let (attempt, usage) = read(case.lines);
        assert_eq!(
            attempt == Attempt::Complete,
            case.complete,
            "{}: {attempt:?}",
            case.name
        );
        assert_eq!(usage.is_some(), case.complete, "{}", case.name);
    }
}

#[test]
fn error_event_states_whether_the_call_ran() {
    assert_eq!(
        read(&[Error("not_run")]).0,
        Attempt::NotRun("endpoint_failed".to_owned())
    );
    assert_eq!(
        read(&[Error("unknown")]).0,
        Attempt::Unknown("endpoint_failed".to_owned())
    );
}

fn read(lines: &[Line]) -> (Attempt, Option<loadtool::run::CompletionUsage>) {
    let text: String = lines.iter().map(render).collect();
    let expected = Expected {
        weights: WEIGHTS,
        prompt: PROMPT,
        tokens: TOKENS,
        request: Some("r"),
        due: Instant::now(),
    };
    block_on(read_stream(expected, Cursor::new(text)))
}

fn render(line: &Line) -> String {
    let seed = text_seed(WEIGHTS, PROMPT);
    let event = |id: &str, number: u64| {
        format!(
            "id: {number}\ndata: {{\"id\":\"{id}\",\"choices\":[{{\"text\":\"{}\"}}]}}\n\n",
            piece(seed, number)
        )
    };
    match line {
        Piece(number) => event("r", *number),
        PieceOf(id, number) => event(id, *number),
        Usage => "data: {\"id\":\"r\",\"choices\":[{\"text\":\"\"}],\"usage\":{\"prompt_tokens\":2,\
                  \"prompt_tokens_details\":{\"cached_tokens\":0}}}\n\n"
            .to_owned(),
        Error(ran) => format!("data: {{\"error\":{{\"code\":\"endpoint_failed\",\"ran\":\"{ran}\"}}}}\n\n"),
        Done => "data: [DONE]\n\n".to_owned(),
    }
}
