//! Resets of connections that are still read from.

use async_std::io::WriteExt;
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use futures::FutureExt;
use http::Conn;
use http::raw::{BodyReader, Framing, RawBodyError, Source};
use socket2::SockRef;
use std::time::Duration;

/// What notices the reset before the body is read.
#[derive(Debug, Clone, Copy)]
enum First {
    Write,
    Peek,
    Read,
}

/// The kernel reports a reset once. If that is to a write, the reader sees the end of the stream, and a part of a body that
/// ends with its connection looks complete.
#[test]
fn a_body_that_is_reset_is_never_complete() {
    let cases = [
        (First::Write, &b"a part"[..]),
        (First::Write, b""),
        (First::Peek, b""),
        (First::Read, b"a part"),
        (First::Read, b""),
    ];
    for (first, part) in cases {
        let body = task::block_on(async {
            let mut source = reset_source(part).await;
            match first {
                First::Write => assert!(source.conn().clone().write_all(b"more").await.is_err(), "reset"),
                First::Peek => assert!(source.conn().readable().now_or_never().is_some(), "reset"),
                First::Read => {}
            }
            let mut body = BodyReader::new(Framing::UntilClose);
            let read = body.read_to_end(&mut source, 100).await;
            assert!(
                source.fill().await.is_err(),
                "{first:?}: a later read returned a regular end"
            );
            read
        });
        assert!(
            matches!(body, Err(RawBodyError::Io(_))),
            "{first:?}, {part:?}: {body:?}"
        );
    }
}

/// A source whose peer has sent `part` and reset the connection.
async fn reset_source(part: &[u8]) -> Source {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let stream = TcpStream::connect(address).await.expect("a connection");
    let (mut peer, _) = listener.accept().await.expect("a connection");
    peer.write_all(part).await.expect("written");
    let socket = SockRef::from(&peer);
    socket.set_linger(Some(Duration::ZERO)).expect("an option");
    drop(peer);
    task::sleep(Duration::from_millis(20)).await;
    Source::new(Conn::new(stream))
}
