//! Connections of callers: one request after the other, within the document's limits.
//!
//! What follows a request in the same segment stays in the connection's buffer for the next one. After bytes that cannot
//! be told apart from another request the connection is closed, so that nothing is smuggled.

mod page;

pub use page::serve_page;

use crate::serve::{self, Caller, Ending, reply};
use crate::shared::Shared;
use async_std::future::timeout;
use async_std::io::WriteExt;
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use dispatch::attempt::Cause;
use dispatch::site::ClientLimits;
use futures::future::{Either, select};
use http::Conn;
use http::raw::{BodyReader, Framing, HeadError, RawBodyError, RequestHead, Source, request_framing, watch_peer};
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// Connections open at once; more are closed unanswered. Half of the descriptors of the users' smallest VMs.
const CONNECTIONS: usize = 1_400;
/// Pause after a failed accept: without it, a process out of descriptors would spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Longest time for a body. The sites' callers send 100 KB at most over links of hundreds of Mbit/s.
const BODY_TIME: Duration = Duration::from_secs(5);
/// Bytes of bodies held in memory at once: a third of the users' smallest VMs.
const HELD_BYTES: usize = 32 << 20;
/// How long a connection is drained after a refusal that came before the body was read: closed with unread bytes it
/// would be reset, and the refusal lost on its way.
const LINGER: Duration = Duration::from_millis(500);

/// Accepts callers until the process ends.
pub async fn serve_callers(shared: Arc<Shared>, listener: TcpListener) {
    let open = Arc::new(AtomicUsize::new(0));
    loop {
        let accept = pin!(listener.accept());
        let closed = pin!(shared.closed());
        let accepted = match select(accept, closed).await {
            Either::Left((accepted, _)) => accepted,
            // Dropping the listener refuses callers, who then try another router at once.
            Either::Right(_) => return,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(err) => {
                log::warn!("a caller could not be accepted: {err}");
                task::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        if open.load(Ordering::Relaxed) >= CONNECTIONS {
            log::warn!("a caller was turned away: {CONNECTIONS} connections are open");
            continue;
        }
        let held = Counted::new(&open);
        let shared = shared.clone();
        task::spawn(async move {
            connection(&shared, stream).await;
            drop(held);
        });
    }
}

/// Counts one thing until dropped.
struct Counted(Arc<AtomicUsize>);

impl Counted {
    fn new(counter: &Arc<AtomicUsize>) -> Self {
        counter.fetch_add(1, Ordering::Relaxed);
        Self(counter.clone())
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Counts bytes of a body until dropped.
struct HeldBytes<'a>(&'a Shared, usize);

impl<'a> HeldBytes<'a> {
    fn take(shared: &'a Shared, bytes: usize) -> Option<Self> {
        let before = shared.held.fetch_add(bytes, Ordering::Relaxed);
        let held = Self(shared, bytes);
        (before + bytes <= HELD_BYTES).then_some(held)
    }
}

impl Drop for HeldBytes<'_> {
    fn drop(&mut self) {
        self.0.held.fetch_sub(self.1, Ordering::Relaxed);
    }
}

/// Counts a request in flight until dropped.
struct InFlight<'a>(&'a Shared);

impl<'a> InFlight<'a> {
    fn new(shared: &'a Shared) -> Self {
        shared.in_flight.fetch_add(1, Ordering::SeqCst);
        Self(shared)
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}

async fn connection(shared: &Arc<Shared>, stream: TcpStream) {
    watch_peer(&stream);
    let conn = Conn::new(stream);
    let mut source = Source::new(conn.clone());
    loop {
        let limits = shared
            .site
            .load()
            .as_ref()
            .map(|site| site.limits())
            .unwrap_or_default();
        if source.buffered().is_empty() {
            source.shrink();
            if !next_request(shared, &mut source, limits.idle_time).await {
                return;
            }
        }
        let in_flight = InFlight::new(shared);
        let ending = request(shared, &conn, &mut source, limits).await;
        drop(in_flight);
        match ending {
            Ending::Keep => {}
            Ending::Close => return linger(&conn, &mut source).await,
            Ending::Abort => return conn.close(),
        }
    }
}

/// Waits for the first byte of a request; false if none comes, or none is taken any more.
async fn next_request(shared: &Shared, source: &mut Source, idle: Duration) -> bool {
    let fill = pin!(timeout(idle, source.fill()));
    let closed = pin!(shared.closed());
    match select(fill, closed).await {
        Either::Left((filled, _)) => matches!(filled, Ok(Ok(count)) if count > 0),
        Either::Right(_) => false,
    }
}

async fn request(shared: &Arc<Shared>, conn: &Conn, source: &mut Source, limits: ClientLimits) -> Ending {
    let arrived = shared.clock.now();
    let head = match timeout(limits.head_time, source.request_head(limits.head_bytes)).await {
        Ok(Ok(head)) => head,
        Ok(Err(HeadError::TooLarge)) => return refuse(shared, conn, Cause::HeadTooLarge).await,
        Ok(Err(HeadError::Malformed(_))) => return refuse(shared, conn, Cause::Malformed).await,
        Ok(Err(_)) => return Ending::Abort,
        Err(_) => return refuse(shared, conn, Cause::SlowClient).await,
    };
    let framing = match request_framing(&head) {
        Ok(framing) => framing,
        Err(err) => {
            log::info!(why:% = err; "request refused: its framing is ambiguous");
            return refuse(shared, conn, Cause::Malformed).await;
        }
    };
    let size = match framing {
        Framing::Length(length) if length > limits.body_bytes => {
            return refuse(shared, conn, Cause::BodyTooLarge).await;
        }
        Framing::Length(length) => usize::try_from(length).unwrap_or(usize::MAX),
        Framing::Chunked | Framing::UntilClose => 0,
    };
    let Some(_held) = HeldBytes::take(shared, size) else {
        return refuse(shared, conn, Cause::NotReady).await;
    };
    if expects_interim(&head) && !interim(conn).await {
        return Ending::Abort;
    }
    let mut reader = BodyReader::new(framing);
    let body = match timeout(BODY_TIME, reader.whole(source, limits.body_bytes)).await {
        Ok(Ok(body)) => body,
        Ok(Err(RawBodyError::TooLarge)) => return refuse(shared, conn, Cause::BodyTooLarge).await,
        Ok(Err(RawBodyError::Chunk)) => return refuse(shared, conn, Cause::Malformed).await,
        Ok(Err(_)) => return Ending::Abort,
        Err(_) => return refuse(shared, conn, Cause::SlowClient).await,
    };
    let caller = Caller {
        conn: conn.clone(),
        head,
        body,
        arrived,
    };
    serve::answer(shared, &caller).await
}

fn expects_interim(head: &RequestHead) -> bool {
    !head.old && head.headers.lists("expect", "100-continue")
}

async fn interim(conn: &Conn) -> bool {
    conn.clone().write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await.is_ok()
}

async fn refuse(shared: &Shared, conn: &Conn, cause: Cause) -> Ending {
    let refusal = dispatch::attempt::refusal(cause, lifecycle::request::RequestState::Queued);
    shared
        .metrics
        .requests
        .with_label_values(&["unread", cause.name()])
        .inc();
    log::info!(status = refusal.status, why = cause.name(); "request refused before it was read");
    reply::refusal(conn, &refusal, true).await;
    Ending::Close
}

/// Ends a connection so that what was written arrives.
async fn linger(conn: &Conn, source: &mut Source) {
    conn.finish();
    let drained = async {
        while source.fill().await.is_ok_and(|count| count > 0) {
            source.discard();
        }
    };
    // Whoever goes on sending after this time loses the answer.
    let _ = timeout(LINGER, drained).await;
}
