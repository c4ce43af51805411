//! Streams as callers read them: only a whole, ordered stream of the right request counts.

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
    what: &'static str,
    lines: &'static [Line],
    whole: bool,
}

const CASES: &[Case] = &[
    Case {
        what: "whole",
        lines: &[Piece(0), Piece(1), Piece(2), Usage, Done],
        whole: true,
    },
    Case {
        what: "a piece missing",
        lines: &[Piece(0), Piece(2), Usage, Done],
        whole: false,
    },
    Case {
        what: "a piece twice",
        lines: &[Piece(0), Piece(1), Piece(1), Piece(2), Usage, Done],
        whole: false,
    },
    Case {
        what: "out of order",
        lines: &[Piece(0), Piece(2), Piece(1), Usage, Done],
        whole: false,
    },
    Case {
        what: "the last piece missing",
        lines: &[Piece(0), Piece(1), Usage, Done],
        whole: false,
    },
    Case {
        what: "a quiet end",
        lines: &[Piece(0), Piece(1), Piece(2), Usage],
        whole: false,
    },
    Case {
        what: "more after the end",
        lines: &[Piece(0), Piece(1), Usage, Done, Piece(2)],
        whole: false,
    },
    Case {
        what: "another request's",
        lines: &[Piece(0), PieceOf("other", 1), Piece(2), Usage, Done],
        whole: false,
    },
    Case {
        what: "an error event",
        lines: &[Piece(0), Error("unknown")],
        whole: false,
    },
];

#[test]
fn only_a_whole_stream_counts() {
    for case in CASES {
        let (attempt, got) = read(case.lines);
        assert_eq!(attempt == Attempt::Whole, case.whole, "{}: {attempt:?}", case.what);
        assert_eq!(got.is_some(), case.whole, "{}", case.what);
    }
}

#[test]
fn an_error_event_says_whether_it_ran() {
    assert_eq!(
        read(&[Error("not_run")]).0,
        Attempt::NotRun("endpoint_failed".to_owned())
    );
    assert_eq!(
        read(&[Error("unknown")]).0,
        Attempt::Unknown("endpoint_failed".to_owned())
    );
}

fn read(lines: &[Line]) -> (Attempt, Option<loadtool::run::Got>) {
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
