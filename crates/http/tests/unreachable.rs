//! Peers that read slowly, and peers that vanish without closing their connections.

use async_std::future::timeout;
use async_std::io::{ReadExt, WriteExt};
use async_std::net::{TcpListener, TcpStream};
use async_std::task::{block_on, sleep, spawn};
use http::Conn;
use http::raw::connect;
use socket2::{SockFilter, SockRef};
use std::time::{Duration, Instant};

/// Receive buffer of a peer that reads slowly, bytes.
const SMALL_BUFFER: usize = 4 * 1024;
/// Data that is much longer than this buffer but fits into the sender's.
const MESSAGE: usize = 12 * 1024;
/// Time in which a vanished peer must be noticed.
const DETECTION_TIME: Duration = Duration::from_secs(4);

/// A connection and its peer's end.
async fn pair() -> (Conn, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    // Accepted connections inherit the buffer size.
    SockRef::from(&listener)
        .set_recv_buffer_size(SMALL_BUFFER)
        .expect("a buffer size");
    let address = listener.local_addr().expect("an address");
    let source = connect(address, Duration::from_secs(1)).await.expect("a connection");
    let (peer, _) = listener.accept().await.expect("a connection");
    (source.conn().clone(), peer)
}

/// Drops all segments that arrive at this end from now on, as if the machine had lost its network.
fn vanish(end: &TcpStream) {
    // The instruction `ret #0` of a classic BPF program keeps no byte of a segment.
    let drop_all = SockFilter::new(0x06, 0, 0, 0);
    SockRef::from(end).attach_filter(&[drop_all]).expect("a filter");
}

/// A timer of the kernel that took a closed window for a lost peer would cut off peers that only read slowly.
#[test]
fn a_peer_that_reads_slowly_keeps_its_connection() {
    struct Case {
        name: &'static str,
        /// Time before the peer reads for the first time.
        delay: Duration,
        /// Bytes that the peer reads at once, and the pause after them.
        bite: usize,
        pause: Duration,
    }
    let cases = [
        Case {
            name: "steady",
            delay: Duration::ZERO,
            bite: 200,
            pause: Duration::from_millis(125),
        },
        Case {
            name: "late",
            delay: Duration::from_millis(3_500),
            bite: MESSAGE,
            pause: Duration::ZERO,
        },
    ];
    for case in cases {
        block_on(async {
            let (mut conn, mut peer) = pair().await;
            conn.write_all(&[b'x'; MESSAGE]).await.expect("written");
            sleep(case.delay).await;
            let mut bite = vec![0; case.bite];
            let mut received = 0;
            while received < MESSAGE {
                let count = peer.read(&mut bite).await;
                received += count.unwrap_or_else(|err| panic!("{}: {err} after {received} bytes", case.name));
                sleep(case.pause).await;
            }
            conn.write_all(b"more").await.expect(case.name);
        });
    }
}

/// Without this a request, a tunnel or a stream would wait for a lost machine until its own deadline.
#[test]
fn a_peer_that_vanishes_is_noticed() {
    struct Case {
        name: &'static str,
        /// Bytes sent before the peer vanishes, which it doesn't read.
        before: usize,
        /// Time between these bytes and the loss of the peer.
        delay: Duration,
        /// Bytes sent after that.
        after: usize,
    }
    let cases = [
        Case {
            name: "a short request",
            before: 0,
            delay: Duration::ZERO,
            after: 100,
        },
        Case {
            name: "the kernel's buffer is full",
            before: 0,
            delay: Duration::ZERO,
            after: 16 << 20,
        },
        Case {
            name: "the peer's window is closed",
            before: MESSAGE,
            delay: Duration::from_millis(300),
            after: 0,
        },
    ];
    for case in cases {
        block_on(async {
            let (conn, peer) = pair().await;
            let mut writer = conn.clone();
            writer.write_all(&vec![b'x'; case.before]).await.expect("written");
            sleep(case.delay).await;
            vanish(&peer);
            let vanished = Instant::now();
            let sending = spawn(async move { writer.write_all(&vec![b'x'; case.after]).await });
            let mut byte = [0];
            let read = timeout(Duration::from_secs(20), conn.clone().read(&mut byte)).await;
            let read = read.unwrap_or_else(|_| panic!("{}: not noticed", case.name));
            let elapsed = vanished.elapsed();
            // The end of the connection must not look like the regular end of a response.
            assert!(read.is_err(), "{}: {read:?}", case.name);
            assert!(elapsed < DETECTION_TIME, "{}: noticed after {elapsed:?}", case.name);
            let sent = timeout(DETECTION_TIME, sending).await.expect("the write ends");
            assert_eq!(sent.is_ok(), case.after < MESSAGE, "{}: {sent:?}", case.name);
            timeout(DETECTION_TIME, conn.peer_closed()).await.expect("it is closed");
        });
    }
}
