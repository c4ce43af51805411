//! Answers that async-h1 would report as whole, and connections that close at the wrong moment.

use async_std::io::{ReadExt, WriteExt};
use async_std::net::TcpListener;
use async_std::task;
use http::{BodyError, Client, Method, Request, SendError, Url};
use std::net::SocketAddr;
use std::time::Duration;

const WAIT: Duration = Duration::from_secs(20);
const LIMIT: u64 = 100;

/// What came of one exchange.
#[derive(Debug, PartialEq, Eq)]
enum Came {
    Whole(&'static str),
    NoAnswer,
    LengthMismatch,
    Broken,
    Unframed,
    TooLarge,
}

struct Case {
    name: &'static str,
    /// Written by the peer, which then closes.
    answer: &'static str,
    came: Came,
}

/// A peer that answers each of `answers` connections with the same bytes and closes it.
async fn peer(answer: &'static str, answers: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    task::spawn(async move {
        for _ in 0..answers {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            let mut head = [0; 1024];
            let _ = stream.read(&mut head).await;
            let _ = stream.write_all(answer.as_bytes()).await;
        }
    });
    address
}

fn request(to: SocketAddr) -> Request {
    let url = Url::parse(&format!("http://{to}/")).expect("a URL");
    let mut request = Request::new(Method::Post, url);
    request.insert_header("content-type", "application/json");
    request
}

fn check(case: &Case) {
    let came = task::block_on(async {
        let to = peer(case.answer, 1).await;
        let reply = match Client::new().send_once(to, request(to), b"{}", WAIT, || true).await {
            Ok(reply) => reply,
            Err(SendError::NoAnswer) => return Came::NoAnswer,
            Err(err) => panic!("{}: {err}", case.name),
        };
        match reply.read_body(LIMIT).await {
            Ok(body) if body == b"hello" => Came::Whole("hello"),
            Ok(body) => panic!("{}: {}", case.name, String::from_utf8_lossy(&body)),
            Err(BodyError::LengthMismatch(..)) => Came::LengthMismatch,
            Err(BodyError::Io(_)) => Came::Broken,
            Err(BodyError::Unframed) => Came::Unframed,
            Err(BodyError::TooLarge(_)) => Came::TooLarge,
        }
    });
    assert_eq!(came, case.came, "{}", case.name);
}

/// An engine dies, or a network device cuts a connection, anywhere in an answer. The library reports some of these as
/// whole; passed on, a caller would act on half an answer.
#[test]
fn a_cut_answer_is_never_whole() {
    let chunked = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    let cases = [
        Case {
            name: "whole",
            answer: "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello",
            came: Came::Whole("hello"),
        },
        Case {
            name: "nothing",
            answer: "",
            came: Came::NoAnswer,
        },
        Case {
            name: "half a head",
            answer: "HTTP/1.1 200 OK\r\ncontent-le",
            came: Came::NoAnswer,
        },
        Case {
            name: "short",
            answer: "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhello",
            came: Came::LengthMismatch,
        },
        Case {
            name: "undeclared",
            answer: "HTTP/1.1 200 OK\r\n\r\nhello",
            came: Came::Unframed,
        },
        Case {
            name: "no number",
            answer: "HTTP/1.1 200 OK\r\ncontent-length: x\r\n\r\nhello",
            came: Came::NoAnswer,
        },
        Case {
            name: "too large",
            answer: concat!(
                "HTTP/1.1 200 OK\r\ncontent-length: 120\r\n\r\n",
                "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx",
                "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx",
            ),
            came: Came::TooLarge,
        },
    ];
    cases.iter().for_each(check);
    let chunks = [
        ("whole chunks", "5\r\nhello\r\n0\r\n\r\n", Came::Whole("hello")),
        ("no last chunk", "5\r\nhello\r\n", Came::Broken),
        ("inside a chunk", "9\r\nhello", Came::Broken),
    ];
    for (name, body, came) in chunks {
        let answer: &'static str = Box::leak(format!("{chunked}{body}").into_boxed_str());
        check(&Case { name, answer, came });
    }
}

/// A peer closes a connection that lies idle in the pool just as a request goes out on it. A request that may be sent
/// twice goes out again; one that may not never uses a connection that has been used before.
#[test]
fn a_stale_connection_is_replaced() {
    task::block_on(async {
        let to = peer("HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello", 2).await;
        let client = Client::new();
        for _ in 0..2 {
            let reply = client.send(to, request(to), b"{}", WAIT).await.expect("an answer");
            assert_eq!(reply.read_body(LIMIT).await.expect("a body"), b"hello");
        }
    });
}

/// A call is withdrawn after its connection stands, as when its holder was paused for too long. Not a byte may leave.
#[test]
fn a_withheld_call_sends_nothing() {
    task::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        let to = listener.local_addr().expect("an address");
        let withheld = Client::new().send_once(to, request(to), b"{}", WAIT, || false).await;
        assert!(matches!(withheld, Err(SendError::Cancelled)));
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut bytes = Vec::new();
        stream.read_to_end(&mut bytes).await.expect("the end of the connection");
        assert!(bytes.is_empty(), "{bytes:?}");
    });
}

/// Nobody listens where an endpoint was: nothing has been sent, and a refusal may say so.
#[test]
fn a_refused_connection_is_told_from_a_lost_answer() {
    task::block_on(async {
        let to = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a listener")
            .local_addr()
            .expect("an address");
        let refused = Client::new().send(to, request(to), b"{}", WAIT).await;
        assert!(refused.is_err_and(|err| err.not_sent()));
    });
}

/// The body is set after the headers, and must not replace the caller's content type.
#[test]
fn headers_survive_the_body() {
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
            .send(to, request(to), b"{}", WAIT)
            .await
            .expect("an answer");
        let head = served.await;
        assert!(head.contains("content-type: application/json\r\n"), "{head}");
        assert!(head.contains("content-length: 2\r\n"), "{head}");
    });
}
