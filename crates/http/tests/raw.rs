//! Heads and bodies are read unchanged, over real sockets.

use async_std::io::{ReadExt, WriteExt};
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use http::Conn;
use http::raw::{
    BodyReader, Bound, ExchangeError, Framing, FramingError, RawBodyError, RequestHead, ResponseHead, Source, exchange,
    request_framing, response_framing,
};
use std::time::Duration;

/// A source whose peer writes `bytes` and then closes the connection.
async fn source(bytes: &[u8]) -> Source {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let mut peer = TcpStream::connect(address).await.expect("a connection");
    let (stream, _) = listener.accept().await.expect("a connection");
    peer.write_all(bytes).await.expect("written");
    drop(peer);
    Source::new(Conn::new(stream))
}

fn request(text: &str) -> RequestHead {
    let parsed = RequestHead::parse(text.as_bytes()).expect("a head");
    parsed.expect("a complete head").0
}

/// If two parties disagree on where a body ends, one of them parses its rest as a request that was never sent.
#[test]
fn ambiguous_bodies_are_errors() {
    struct Case {
        lines: &'static str,
        expected: Result<Framing, FramingError>,
    }
    let cases = [
        Case {
            lines: "",
            expected: Ok(Framing::Length(0)),
        },
        Case {
            lines: "Content-Length: 5\r\n",
            expected: Ok(Framing::Length(5)),
        },
        Case {
            lines: "Transfer-Encoding: Chunked\r\n",
            expected: Ok(Framing::Chunked),
        },
        Case {
            lines: "Content-Length: 5\r\nContent-Length: 6\r\n",
            expected: Err(FramingError::Length),
        },
        Case {
            lines: "Content-Length: 5\r\nContent-Length: 5\r\n",
            expected: Err(FramingError::Length),
        },
        Case {
            lines: "Content-Length: +5\r\n",
            expected: Err(FramingError::Length),
        },
        Case {
            lines: "Content-Length: 5, 5\r\n",
            expected: Err(FramingError::Length),
        },
        Case {
            lines: "Content-Length: 0x5\r\n",
            expected: Err(FramingError::Length),
        },
        Case {
            lines: "Content-Length:\r\n",
            expected: Err(FramingError::Length),
        },
        Case {
            lines: "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
            expected: Err(FramingError::Both),
        },
        Case {
            lines: "Transfer-Encoding: gzip, chunked\r\n",
            expected: Err(FramingError::Coding),
        },
        Case {
            lines: "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n",
            expected: Err(FramingError::Coding),
        },
    ];
    for case in cases {
        let head = request(&format!("POST /x HTTP/1.1\r\nHost: a\r\n{}\r\n", case.lines));
        assert_eq!(request_framing(&head), case.expected, "{:?}", case.lines);
    }
}

#[test]
fn targets_and_headers_are_kept_unchanged() {
    let head = request("POST /a/../b%2Fc//d?q=%20+;x#f HTTP/1.1\r\nhOsT: a\r\nX-Odd: caf\u{e9}\r\nX-Odd: 2\r\n\r\n");
    assert_eq!(head.target, "/a/../b%2Fc//d?q=%20+;x#f");
    assert_eq!(head.path(), "/a/../b%2Fc//d");
    let names: Vec<&str> = head.headers.iter().map(|(name, _)| name).collect();
    assert_eq!(names, ["hOsT", "X-Odd", "X-Odd"]);
    assert_eq!(head.headers.one("host"), Some("a"));
    assert_eq!(head.headers.one("x-odd"), None);
}

#[test]
fn responses_are_framed_by_status_and_method() {
    struct Case {
        head: &'static str,
        method: &'static str,
        expected: Framing,
    }
    let cases = [
        Case {
            head: "HTTP/1.1 200 OK\r\n\r\n",
            method: "GET",
            expected: Framing::UntilClose,
        },
        Case {
            head: "HTTP/1.1 204 No Content\r\n\r\n",
            method: "GET",
            expected: Framing::NoBody,
        },
        Case {
            head: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n",
            method: "HEAD",
            expected: Framing::NoBody,
        },
        Case {
            head: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n",
            method: "GET",
            expected: Framing::Length(9),
        },
    ];
    for case in cases {
        let (head, _) = ResponseHead::parse(case.head.as_bytes())
            .expect("a head")
            .expect("a complete head");
        assert_eq!(
            response_framing(&head, case.method),
            Ok(case.expected),
            "{:?}",
            case.head
        );
    }
}

/// Endpoints in trouble send numbers as status that HTTP does not define, or change to another protocol unasked.
#[test]
fn responses_without_a_valid_status_are_errors() {
    struct Case {
        begin: &'static str,
        expected: Option<u16>,
    }
    let cases = [
        ("HTTP/1.1 100 Continue\r\n\r\n", Some(200)),
        ("HTTP/1.1 199 X\r\n\r\n", Some(200)),
        ("HTTP/1.1 599 X\r\nContent-Length: 0\r\n\r\n", Some(599)),
        ("HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n", None),
        ("HTTP/1.1 099 X\r\nContent-Length: 0\r\n\r\n", None),
        ("HTTP/1.1 600 X\r\nContent-Length: 0\r\n\r\n", None),
        ("HTTP/1.1 101 Switching Protocols\r\n\r\n", None),
    ];
    for case in cases.map(|(begin, expected)| Case { begin, expected }) {
        let answer = task::block_on(async {
            let bytes = case.begin.to_owned() + "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
            let mut source = source(bytes.as_bytes()).await;
            exchange(&mut source, REQUEST, "GET", |_| true).await
        });
        let status = answer.ok().map(|answer| answer.head.status);
        assert_eq!(status, case.expected, "{:?}", case.begin);
    }
}

/// An endpoint crashes in the middle of its response. If the truncated body were reported as complete, the client would
/// act on part of the response.
#[test]
fn truncated_bodies_are_errors() {
    struct Case {
        framing: Framing,
        bytes: &'static [u8],
        expected: Option<&'static [u8]>,
    }
    let cases = [
        Case {
            framing: Framing::Length(5),
            bytes: b"helloNEXT",
            expected: Some(b"hello"),
        },
        Case {
            framing: Framing::Length(5),
            bytes: b"hell",
            expected: None,
        },
        Case {
            framing: Framing::Chunked,
            bytes: b"3\r\nhel\r\n2;x=y\r\nlo\r\n0\r\nTrailer: x\r\n\r\n",
            expected: Some(b"hello"),
        },
        Case {
            framing: Framing::Chunked,
            bytes: b"3\r\nhel\r\n2\r\nlo\r\n",
            expected: None,
        },
        Case {
            framing: Framing::Chunked,
            bytes: b"3\r\nhelXX2\r\nlo\r\n0\r\n\r\n",
            expected: None,
        },
        Case {
            framing: Framing::Chunked,
            bytes: b"-3\r\nhel\r\n0\r\n\r\n",
            expected: None,
        },
        Case {
            framing: Framing::Chunked,
            bytes: b"3\nhel\n0\n\n",
            expected: None,
        },
        Case {
            framing: Framing::Chunked,
            bytes: b"ffffffffffffffff\r\nhel",
            expected: None,
        },
        Case {
            framing: Framing::Chunked,
            bytes: b"0\r\nTrailer: x\r\n",
            expected: None,
        },
        Case {
            framing: Framing::UntilClose,
            bytes: b"hello",
            expected: Some(b"hello"),
        },
    ];
    for case in cases {
        let body = task::block_on(async {
            let mut source = source(case.bytes).await;
            BodyReader::new(case.framing).read_to_end(&mut source, 1_000).await
        });
        assert_eq!(
            body.ok().as_deref(),
            case.expected,
            "{:?} {:?}",
            case.framing,
            case.bytes
        );
    }
}

#[test]
fn a_body_beyond_the_limit_is_not_read() {
    for (framing, bytes) in [
        (Framing::Length(50), &b""[..]),
        (Framing::Chunked, &b"8\r\n12345678\r\n8\r\n12345678\r\n0\r\n\r\n"[..]),
    ] {
        let body = task::block_on(async {
            let mut source = source(bytes).await;
            BodyReader::new(framing).read_to_end(&mut source, 10).await
        });
        assert!(matches!(body, Err(RawBodyError::TooLarge)), "{framing:?}");
    }
}

/// A client sends two requests in one segment. The second must be read too, with no byte lost.
#[test]
fn pipelined_requests_lose_no_bytes() {
    task::block_on(async {
        let bytes = b"POST /1 HTTP/1.1\r\nContent-Length: 3\r\n\r\nabcGET /2 HTTP/1.1\r\n\r\n";
        let mut source = source(bytes).await;
        let first = source.request_head(1_000).await.expect("a head");
        let framing = request_framing(&first).expect("a length");
        let body = BodyReader::new(framing)
            .read_to_end(&mut source, 100)
            .await
            .expect("a body");
        assert_eq!((first.target.as_str(), body.as_slice()), ("/1", &b"abc"[..]));
        assert_eq!(source.request_head(1_000).await.expect("a head").target, "/2");
    });
}

/// A late response to an earlier request arrives before the expected one. If it were forwarded, a client would get another
/// client's response.
#[test]
fn responses_to_other_requests_are_skipped() {
    task::block_on(async {
        let bytes = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 5\r\n\r\nwrong\
            HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 5\r\n\r\nright";
        let mut source = source(bytes).await;
        let is_ours = |head: &ResponseHead| head.headers.one("id") == Some("2");
        let mut answer = exchange(&mut source, b"GET / HTTP/1.1\r\n\r\n", "GET", is_ours)
            .await
            .expect("an answer");
        let body = answer.body.read_to_end(&mut source, 100).await.expect("a body");
        assert_eq!(body, b"right");
        assert!(!answer.reusable, "the connection must not be reused");
    });
}

/// A faulty peer sends heads, chunk lines or trailers without end. Without a bound the caller would read until its deadline,
/// and the memory of some would grow.
#[test]
fn responses_without_end_are_cut_off_at_their_bounds() {
    struct Case {
        begin: &'static str,
        repeated: &'static str,
        bound: Bound,
    }
    let chunked = "HTTP/1.1 200 OK\r\nId: 2\r\nTransfer-Encoding: chunked\r\n\r\n";
    let cases = [
        Case {
            begin: "HTTP/1.1 200 OK\r\nX: ",
            repeated: "x",
            bound: Bound::Head,
        },
        Case {
            begin: "",
            repeated: "HTTP/1.1 103 Early\r\n\r\n",
            bound: Bound::Interim,
        },
        Case {
            begin: "",
            repeated: "HTTP/1.1 204 No\r\nId: 1\r\n\r\n",
            bound: Bound::Skipped,
        },
        Case {
            begin: "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n",
            repeated: "x",
            bound: Bound::Skipped,
        },
        Case {
            begin: chunked,
            repeated: "1;name=value-of-an-extension\r\nx\r\n",
            bound: Bound::Extensions,
        },
        // Spaces count as extensions, too.
        Case {
            begin: chunked,
            repeated: "1                            \r\nx\r\n",
            bound: Bound::Extensions,
        },
        Case {
            begin: chunked,
            repeated: "1",
            bound: Bound::Extensions,
        },
        Case {
            begin: "HTTP/1.1 200 OK\r\nId: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
            repeated: "X: y\r\n",
            bound: Bound::Trailers,
        },
    ];
    for case in cases {
        let bytes = case.begin.to_owned() + &case.repeated.repeat((2 << 20) / case.repeated.len());
        let read = task::block_on(async {
            let mut source = endless(bytes.into_bytes()).await;
            let is_ours = |head: &ResponseHead| head.headers.one("id") != Some("1");
            let mut answer = exchange(&mut source, REQUEST, "GET", is_ours).await?;
            Ok(answer.body.read_to_end(&mut source, 4 << 20).await?)
        });
        let bound = read.map_err(|err: ExchangeError| err.bound());
        assert_eq!(bound, Err(Some(case.bound)), "{:?}", case.repeated);
    }
}

/// The request that the peer of [`endless`] reads.
const REQUEST: &[u8] = b"GET / HTTP/1.1\r\n\r\n";

/// A source whose peer writes `bytes` in the background, since they may not fit into the sockets' buffers. It reads the
/// request first: closing a socket with unread bytes resets the connection, and the reader loses what it has not read.
async fn endless(bytes: Vec<u8>) -> Source {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let mut peer = TcpStream::connect(address).await.expect("a connection");
    let (stream, _) = listener.accept().await.expect("a connection");
    task::spawn(async move {
        let mut request = [0; REQUEST.len()];
        peer.read_exact(&mut request).await.expect("the request");
        // Fails once the source is dropped.
        let _ = peer.write_all(&bytes).await;
    });
    Source::new(Conn::new(stream))
}

/// A connection and its peer, which reads nothing.
async fn connected() -> (Source, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let connecting = http::raw::connect(address, Duration::from_secs(5));
    let source = connecting.await.expect("a connection");
    let (peer, _) = listener.accept().await.expect("a connection");
    (source, peer)
}

/// An endpoint rejects a long request before it has read it, and keeps reading. Anything sent later on that connection
/// would be read as the rest of that body.
#[test]
fn a_response_before_the_request_is_sent_prevents_reuse() {
    task::block_on(async {
        let (mut source, mut peer) = connected().await;
        let rejection = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";
        peer.write_all(rejection).await.expect("written");
        // More than the sockets' buffers hold, and the peer reads nothing.
        let long = vec![b'x'; 64 << 20];
        let answer = exchange(&mut source, &long, "POST", |_| true).await.expect("an answer");
        assert_eq!((answer.head.status, answer.reusable), (503, false));
    });
}

/// An endpoint answers a long request before it has read it. If the answer ends with the connection, a part of it can't be told
/// from the whole.
#[test]
fn a_response_before_the_request_is_sent_must_tell_its_length() {
    for (head, expected) in [
        (&b"HTTP/1.1 413 X\r\nContent-Length: 4\r\n\r\npart"[..], Some(413)),
        (b"HTTP/1.1 413 X\r\n\r\npart", None),
    ] {
        let answer = task::block_on(async {
            let (mut source, mut peer) = connected().await;
            peer.write_all(head).await.expect("written");
            // More than the sockets' buffers hold.
            let long = vec![b'x'; 64 << 20];
            let answer = exchange(&mut source, &long, "POST", |_| true).await;
            answer.map(|answer| answer.head.status)
        });
        assert_eq!(answer.ok(), expected, "{:?}", String::from_utf8_lossy(head));
    }
}
