//! Peers that stop acknowledging.

use async_std::net::TcpListener;
use async_std::task::block_on;
use http::raw::{ExchangeError, HeadError, connect};
use std::io::{Error, ErrorKind};
use std::time::Duration;

/// A request on a reused connection to a peer behind a cut is repeated at the same peer, and waits a second time.
#[test]
fn only_a_closed_connection_is_replaced_by_one_to_the_same_peer() {
    struct Case {
        err: HeadError,
        expected: bool,
    }
    let cases = [
        Case {
            err: HeadError::Closed,
            expected: true,
        },
        Case {
            err: HeadError::Io(Error::from(ErrorKind::ConnectionReset)),
            expected: true,
        },
        Case {
            err: HeadError::Io(Error::from(ErrorKind::BrokenPipe)),
            expected: true,
        },
        Case {
            err: HeadError::Io(Error::from(ErrorKind::TimedOut)),
            expected: false,
        },
        Case {
            err: HeadError::Truncated,
            expected: false,
        },
    ];
    for Case { err, expected } in cases {
        let err = ExchangeError::Head(err);
        assert_eq!(err.is_closed(), expected, "{err:?}");
    }
}

/// The kernel keeps its default of minutes, so a request to an unreachable peer waits for its deadline.
#[test]
fn the_user_timeout_of_a_connection_can_be_shortened() {
    block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        let address = listener.local_addr().expect("an address");
        let source = connect(address, Duration::from_secs(2)).await.expect("a connection");
        let timeout = Duration::from_millis(700);
        source.conn().set_user_timeout(timeout);
        assert_eq!(source.conn().user_timeout(), Some(timeout));
    });
}
