//! Reading from a connection.

use async_std::future::timeout;
use async_std::io::WriteExt;
use async_std::net::{TcpListener, TcpStream};
use async_std::task::block_on;
use http::Conn;
use http::raw::Source;
use std::time::Duration;

/// A read that times out must not leave bytes in the buffer that were never received.
#[test]
fn a_cancelled_read_leaves_the_buffer_as_it_is() {
    block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let stream = TcpStream::connect(address).await.expect("a connection");
        let (mut peer, _) = listener.accept().await.expect("a connection");
        let mut source = Source::new(Conn::new(stream));
        for (text, buffered) in [("one", "one"), ("two", "onetwo")] {
            let cancelled = timeout(Duration::from_millis(50), source.fill()).await;
            assert!(cancelled.is_err());
            peer.write_all(text.as_bytes()).await.expect("sent");
            let read = source.fill().await.expect("bytes");
            assert_eq!(read, text.len());
            assert!(source.buffered() == buffered.as_bytes(), "{text}");
        }
    });
}
