//! Ends connections whose peer has become unreachable.
//!
//! The kernel alone gives up after many minutes. `TCP_USER_TIMEOUT` would shorten that, but Linux applies it to closed
//! windows too: it also ends the connection of a peer that acknowledges every window probe and only reads slowly.
//! Therefore the acknowledgements themselves are checked here.

use crate::conn::Socket;
use crate::tcp_info::TcpInfo;
use async_std::task;
use std::sync::{Arc, Mutex, MutexGuard, Once, PoisonError, Weak};
use std::time::Duration;

/// Interval between two checks of all connections.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
static WATCHED: Mutex<Vec<Weak<Socket>>> = Mutex::new(Vec::new());
static START: Once = Once::new();

/// Ends the connection once its peer leaves segments unacknowledged for 2 s.
pub(crate) fn watch(socket: &Arc<Socket>) {
    START.call_once(|| drop(task::spawn(check_all())));
    lock().push(Arc::downgrade(socket));
}

fn lock() -> MutexGuard<'static, Vec<Weak<Socket>>> {
    WATCHED.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn check_all() {
    loop {
        task::sleep(CHECK_INTERVAL).await;
        let mut lost = 0;
        lock().retain(|socket| {
            let Some(socket) = socket.upgrade() else {
                return false;
            };
            let is_lost = is_unreachable(&socket);
            if is_lost {
                socket.abort();
                lost += 1;
            }
            !is_lost
        });
        if lost > 0 {
            log::warn!(connections = lost; "connections: ended, their peers are unreachable");
        }
    }
}

fn is_unreachable(socket: &Socket) -> bool {
    if socket.is_acknowledged() {
        return false;
    }
    let written = socket.written();
    // Fails only if the connection has failed; its next use returns the error.
    let Ok(info) = TcpInfo::read(socket) else {
        return false;
    };
    if info.is_acknowledged() {
        socket.set_acknowledged(written);
        return false;
    }
    info.is_unreachable()
}
