//! Truncated responses that async-h1 reports as complete, and connections that close while they are in use.

use async_std::io::{ReadExt, WriteExt};
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use http::{BodyError, Client, Method, Request, SendError, Url};
use socket2::SockRef;
use std::net::{Shutdown, SocketAddr};
use std::time::Duration;

const WAIT: Duration = Duration::from_secs(20);
const LIMIT: u64 = 100;
/// Body of each request.
const BODY: &[u8] = b"{}";

/// The result of one exchange.
#[derive(Debug, PartialEq, Eq)]
enum Outcome {
    Complete(&'static str),
    NoAnswer,
    LengthMismatch,
    Failed,
    Unframed,
    TooLarge,
}

struct Case {
    name: &'static str,
    /// Written by the peer, which then closes.
    answer: &'static str,
    expected: Outcome,
}

/// A peer that accepts `answers` connections, writes the same bytes to each and closes it.
async fn peer(answer: &'static str, answers: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    task::spawn(async move {
        for _ in 0..answers {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            read_request(&mut stream).await;
            let _ = stream.write_all(answer.as_bytes()).await;
        }
    });
    address
}

/// Reads all of a request. Closing with a part of it unread would reset the connection instead of ending the response.
async fn read_request(stream: &mut TcpStream) {
    let mut request = Vec::new();
    let mut part = [0; 1024];
    while !request.ends_with(BODY) {
        match stream.read(&mut part).await {
            Ok(count) if count > 0 => request.extend_from_slice(&part[..count]),
            _ => return,
        }
    }
}

fn request(to: SocketAddr) -> Request {
    let url = Url::parse(&format!("http://{to}/")).expect("a URL");
    let mut request = Request::new(Method::Post, url);
    request.insert_header("content-type", "application/json");
    request
}

fn check(case: &Case) {
    let outcome = task::block_on(async {
        let to = peer(case.answer, 1).await;
        let reply = match Client::new().send_once(to, request(to), BODY, WAIT, || true).await {
            Ok(reply) => reply,
            Err(SendError::NoAnswer) => return Outcome::NoAnswer,
            Err(err) => panic!("{}: {err}", case.name),
        };
        match reply.read_body(LIMIT, WAIT).await {
            Ok(body) if body == b"hello" => Outcome::Complete("hello"),
            Ok(body) => panic!("{}: {}", case.name, String::from_utf8_lossy(&body)),
            Err(BodyError::LengthMismatch(..)) => Outcome::LengthMismatch,
            Err(BodyError::Io(_)) => Outcome::Failed,
            Err(BodyError::Unframed) => Outcome::Unframed,
            Err(BodyError::TooLarge(_)) => Outcome::TooLarge,
            Err(BodyError::Timeout) => panic!("{}: no body", case.name),
        }
    });
    assert_eq!(outcome, case.expected, "{}", case.name);
}

/// An engine crashes, or a network device closes a connection, anywhere in a response. async-h1 reports some truncated
/// responses as complete; if one were forwarded, the client would act on part of a response.
#[test]
fn a_truncated_response_is_never_complete() {
    let chunked = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    let cases = [
        Case {
            name: "whole",
            answer: "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello",
            expected: Outcome::Complete("hello"),
        },
        Case {
            name: "nothing",
            answer: "",
            expected: Outcome::NoAnswer,
        },
        Case {
            name: "half a head",
            answer: "HTTP/1.1 200 OK\r\ncontent-le",
            expected: Outcome::NoAnswer,
        },
        Case {
            name: "short",
            answer: "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhello",
            expected: Outcome::LengthMismatch,
        },
        Case {
            name: "undeclared",
            answer: "HTTP/1.1 200 OK\r\n\r\nhello",
            expected: Outcome::Unframed,
        },
        Case {
            name: "no number",
            answer: "HTTP/1.1 200 OK\r\ncontent-length: x\r\n\r\nhello",
            expected: Outcome::NoAnswer,
        },
        Case {
            name: "too large",
            answer: concat!(
                "HTTP/1.1 200 OK\r\ncontent-length: 120\r\n\r\n",
                "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx",
                "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx",
            ),
            expected: Outcome::TooLarge,
        },
    ];
    cases.iter().for_each(check);
    let chunks = [
        ("whole chunks", "5\r\nhello\r\n0\r\n\r\n", Outcome::Complete("hello")),
        ("no last chunk", "5\r\nhello\r\n", Outcome::Failed),
        ("inside a chunk", "9\r\nhello", Outcome::Failed),
    ];
    for (name, body, expected) in chunks {
        let answer: &'static str = Box::leak(format!("{chunked}{body}").into_boxed_str());
        check(&Case { name, answer, expected });
    }
}

/// A faulty peer sends heads that are not valid. Other readers might find another body in them, or none.
#[test]
fn an_invalid_response_is_never_complete() {
    let cases = [
        (
            "two lengths",
            "HTTP/1.1 200 OK\r\ncontent-length: 9\r\ncontent-length: 5\r\n\r\nhello",
            Outcome::NoAnswer,
        ),
        (
            "same lengths",
            "HTTP/1.1 200 OK\r\ncontent-length: 5\r\ncontent-length: 5\r\n\r\nhello",
            Outcome::NoAnswer,
        ),
        (
            "signed length",
            "HTTP/1.1 200 OK\r\ncontent-length: +5\r\n\r\nhello",
            Outcome::NoAnswer,
        ),
        (
            "listed lengths",
            "HTTP/1.1 200 OK\r\ncontent-length: 5, 5\r\n\r\nhello",
            Outcome::NoAnswer,
        ),
        (
            "length and chunks",
            "HTTP/1.1 200 OK\r\ncontent-length: 5\r\ntransfer-encoding: chunked\r\n\r\nhello",
            Outcome::NoAnswer,
        ),
        (
            "two codings",
            "HTTP/1.1 200 OK\r\ntransfer-encoding: gzip\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
            Outcome::NoAnswer,
        ),
        (
            "other protocol",
            "HTTP/1.1 101 X\r\ncontent-length: 5\r\n\r\nhello",
            Outcome::NoAnswer,
        ),
        (
            "interim",
            "HTTP/1.1 103 X\r\ncontent-length: 5\r\n\r\nhello",
            Outcome::NoAnswer,
        ),
        (
            "status 000",
            "HTTP/1.1 000 X\r\ncontent-length: 5\r\n\r\nhello",
            Outcome::NoAnswer,
        ),
        (
            "status 600",
            "HTTP/1.1 600 X\r\ncontent-length: 5\r\n\r\nhello",
            Outcome::NoAnswer,
        ),
        (
            "blank in a name",
            "HTTP/1.1 200 OK\r\nx odd: 1\r\ncontent-length: 5\r\n\r\nhello",
            Outcome::NoAnswer,
        ),
        (
            "not ascii",
            "HTTP/1.1 200 OK\r\nx-odd: \u{e9}\r\ncontent-length: 5\r\n\r\nhello",
            Outcome::NoAnswer,
        ),
        (
            "chunk size",
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nffffffffffffffff\r\nhello\r\n0\r\n\r\n",
            Outcome::Failed,
        ),
        (
            "signed chunk",
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n+5\r\nhello\r\n0\r\n\r\n",
            Outcome::Failed,
        ),
        (
            "longer chunk",
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhelloo\r\n0\r\n\r\n",
            Outcome::Failed,
        ),
    ];
    let mut found = Vec::new();
    for (name, answer, expected) in cases {
        let case = Case { name, answer, expected };
        if std::panic::catch_unwind(|| check(&case)).is_err() {
            found.push(name);
        }
    }
    assert!(found.is_empty(), "{found:?}");
}

/// Body of an upload, bytes: more than the buffers of both sides hold.
const UPLOAD_BYTES: usize = 3_800_000;
/// Uploads for each end of a connection.
const UPLOADS: usize = 8;

/// How a peer ends the connection of an upload that it has not read.
#[derive(Debug, Clone, Copy)]
enum End {
    Reset,
    /// The kernel turns a close with unread bytes into a reset.
    Close,
    /// The peer ends its side regularly.
    Finish,
}

/// A peer that answers uploads with a part of a response without a length and then ends the connection.
async fn hasty_peer(end: End) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let narrow = SockRef::from(&listener).set_recv_buffer_size(64 << 10);
    narrow.expect("a buffer size");
    let address = listener.local_addr().expect("an address");
    task::spawn(async move {
        for _ in 0..UPLOADS {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            let mut part = [0; 1024];
            let _ = stream.read(&mut part).await;
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\n\r\nhello").await;
            match end {
                End::Reset => SockRef::from(&stream)
                    .set_linger(Some(Duration::ZERO))
                    .expect("an option"),
                End::Close => {}
                End::Finish => {
                    // Fails if the client has closed the connection.
                    let _ = stream.shutdown(Shutdown::Write);
                    task::sleep(Duration::from_millis(100)).await;
                }
            }
        }
    });
    address
}

/// A peer answers a long upload at once and breaks off. Guards against a part of its response that is taken for the whole.
#[test]
fn a_response_that_breaks_off_during_an_upload_is_never_complete() {
    let upload = vec![b'x'; UPLOAD_BYTES];
    for end in [End::Reset, End::Close, End::Finish] {
        task::block_on(async {
            let to = hasty_peer(end).await;
            for number in 0..UPLOADS {
                let sent = Client::new().send_once(to, request(to), &upload, WAIT, || true).await;
                let Ok(reply) = sent else { continue };
                let body = reply.read_body(LIMIT, WAIT).await;
                assert!(body.is_err(), "{end:?}, upload {number}: {body:?}");
            }
        });
    }
}

/// A peer closes an idle pooled connection just as a request is sent on it. A request that may be sent twice is retried on
/// a new connection; a request that may not always uses a new connection.
#[test]
fn a_stale_connection_is_replaced() {
    task::block_on(async {
        let to = peer("HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello", 2).await;
        let client = Client::new();
        for _ in 0..2 {
            let reply = client.send(to, request(to), BODY, WAIT).await.expect("an answer");
            assert_eq!(reply.read_body(LIMIT, WAIT).await.expect("a body"), b"hello");
        }
    });
}

/// A request is cancelled after its connection is established, for example because the process was paused for too long. No
/// byte may be sent.
#[test]
fn a_cancelled_request_sends_nothing() {
    task::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        let to = listener.local_addr().expect("an address");
        let cancelled = Client::new().send_once(to, request(to), BODY, WAIT, || false).await;
        assert!(matches!(cancelled, Err(SendError::Cancelled)));
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut bytes = Vec::new();
        stream.read_to_end(&mut bytes).await.expect("the end of the connection");
        assert!(bytes.is_empty(), "{bytes:?}");
    });
}

/// No process listens at an endpoint's address: nothing was sent, and the error says so.
#[test]
fn a_refused_connection_differs_from_a_lost_response() {
    task::block_on(async {
        let to = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a listener")
            .local_addr()
            .expect("an address");
        let refused = Client::new().send(to, request(to), BODY, WAIT).await;
        assert!(refused.is_err_and(|err| err.not_sent()));
    });
}

/// The body is set after the headers and must not replace the content type that the caller set.
#[test]
fn setting_the_body_keeps_the_content_type() {
    task::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        let to = listener.local_addr().expect("an address");
        let served = task::spawn(async move {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            let mut head = vec![0; 4096];
            let count = stream.read(&mut head).await.expect("a head");
            let answer = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
            stream.write_all(answer.as_bytes()).await.expect("written");
            String::from_utf8_lossy(&head[..count]).into_owned()
        });
        Client::new()
            .send(to, request(to), BODY, WAIT)
            .await
            .expect("an answer");
        let head = served.await;
        assert!(head.contains("content-type: application/json\r\n"), "{head}");
        assert!(head.contains("content-length: 2\r\n"), "{head}");
    });
}
