//! Client connections: requests are read and served one at a time, within the document's limits.
//!
//! Bytes that arrive after a request remain in the connection's buffer for the next one. If it is ambiguous where a
//! request ends, the connection is closed, which prevents request smuggling.

mod page;

pub use page::serve_page;

use crate::serve::{self, ConnectionAction, IncomingRequest, reply};
use crate::shared::Shared;
use async_std::future::timeout;
use async_std::io::WriteExt;
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use dispatch::attempt::Cause;
use dispatch::site::ClientLimits;
use futures::future::{Either, select};
use http::raw::{BodyReader, Framing, HeadError, RawBodyError, RequestHead, Source, request_framing};
use http::{Conn, OpenConnection};
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Most open connections; further ones are closed without a response. This is half of the file descriptors on the
/// users' smallest VMs.
const MAX_CONNECTIONS: usize = 1_400;
/// Pause after a failed accept. Without it, a process that has run out of file descriptors would busy-loop.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Longest time for reading a body. The sites' clients send 100 KB at most, over links of hundreds of Mbit/s.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);
/// Bytes of request bodies held in memory at once: a third of the memory of the users' smallest VMs.
const MAX_BODY_MEMORY: usize = 32 << 20;
/// How long a connection is drained after a refusal that was sent before the body was read. Closing it with unread
/// bytes would reset it, and the client could lose the response.
const LINGER_TIME: Duration = Duration::from_millis(500);

/// Accepts clients until the router stops accepting requests.
pub async fn serve_clients(shared: Arc<Shared>, listener: TcpListener) {
    loop {
        let accept = pin!(listener.accept());
        let closed = pin!(shared.stop.intake_closed());
        let accepted = match select(accept, closed).await {
            Either::Left((accepted, _)) => accepted,
            // Dropping the listener refuses further connections, so clients try another router at once.
            Either::Right(_) => return,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(err) => {
                log::warn!("cannot accept a client connection: {err}");
                task::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        if shared.callers.load(Ordering::Relaxed) >= MAX_CONNECTIONS {
            log::warn!("client connection closed: {MAX_CONNECTIONS} connections are open");
            continue;
        }
        if !shared.intake.accepts(shared.clock.now()) {
            // The client goes to another router at once, since nothing of its request was read.
            continue;
        }
        let guard = OpenConnection::new(&shared.callers);
        let shared = shared.clone();
        task::spawn(async move {
            serve_connection(&shared, stream).await;
            drop(guard);
        });
    }
}

/// Counts the bytes of a request body until dropped.
struct BodyMemory<'a>(&'a Shared, usize);

impl<'a> BodyMemory<'a> {
    fn reserve(shared: &'a Shared, bytes: usize) -> Option<Self> {
        let before = shared.body_bytes.fetch_add(bytes, Ordering::Relaxed);
        let memory = Self(shared, bytes);
        (before + bytes <= MAX_BODY_MEMORY).then_some(memory)
    }

    /// Counts this many bytes in total, if that is more than before. If there is no memory for them, counts none and returns
    /// false, so that other bodies fit at once.
    fn grow(&mut self, bytes: usize) -> bool {
        let added = bytes.saturating_sub(self.1);
        let counted = &self.0.body_bytes;
        let fits = |before: usize| (before + added <= MAX_BODY_MEMORY).then_some(before + added);
        if added == 0 || counted.fetch_update(Ordering::Relaxed, Ordering::Relaxed, fits).is_ok() {
            self.1 += added;
            return true;
        }
        counted.fetch_sub(std::mem::take(&mut self.1), Ordering::Relaxed);
        false
    }
}

impl Drop for BodyMemory<'_> {
    fn drop(&mut self) {
        self.0.body_bytes.fetch_sub(self.1, Ordering::Relaxed);
    }
}

/// How reading a body ended.
enum BodyRead {
    Whole(Vec<u8>),
    Refuse(Cause),
    Abort,
}

/// Reads a body of at most `limit` bytes. The memory of one whose length isn't known before is counted as it arrives.
async fn read_body(reader: &mut BodyReader, source: &mut Source, limit: u64, memory: &mut BodyMemory<'_>) -> BodyRead {
    let mut body = Vec::with_capacity(memory.1);
    loop {
        match reader.next_part(source).await {
            Ok(Some(part)) => {
                let length = body.len() + part.len();
                if length as u64 > limit {
                    return BodyRead::Refuse(Cause::BodyTooLarge);
                }
                if !memory.grow(length) {
                    return BodyRead::Refuse(Cause::NotReady);
                }
                body.extend_from_slice(&part);
            }
            Ok(None) => return BodyRead::Whole(body),
            Err(RawBodyError::Chunk | RawBodyError::Extensions | RawBodyError::Trailers) => {
                return BodyRead::Refuse(Cause::Malformed);
            }
            Err(_) => return BodyRead::Abort,
        }
    }
}

async fn serve_connection(shared: &Arc<Shared>, stream: TcpStream) {
    let conn = Conn::watched(stream);
    let mut source = Source::new(conn.clone());
    loop {
        if source.buffered().is_empty() {
            source.shrink();
            if !wait_for_request(shared, &mut source, limits(shared).idle_time).await {
                return;
            }
        }
        let in_flight = shared.in_flight.begun.add();
        // The limits may have changed while the connection was idle.
        let action = serve_request(shared, &conn, &mut source, limits(shared)).await;
        drop(in_flight);
        match action {
            ConnectionAction::Keep => {}
            ConnectionAction::Close => return linger(&conn, &mut source).await,
            ConnectionAction::Abort => return conn.close(),
            ConnectionAction::Reset => return conn.reset_on_drop(true),
        }
    }
}

fn limits(shared: &Shared) -> ClientLimits {
    let site = shared.site.load();
    site.as_ref().map(|site| site.limits()).unwrap_or_default()
}

/// Waits for the first byte of a request. False if none arrives in time or the router stops accepting requests.
async fn wait_for_request(shared: &Shared, source: &mut Source, idle: Duration) -> bool {
    let fill = pin!(timeout(idle, source.fill()));
    let closed = pin!(shared.stop.intake_closed());
    match select(fill, closed).await {
        Either::Left((filled, _)) => matches!(filled, Ok(Ok(count)) if count > 0),
        Either::Right(_) => false,
    }
}

async fn serve_request(
    shared: &Arc<Shared>,
    conn: &Conn,
    source: &mut Source,
    limits: ClientLimits,
) -> ConnectionAction {
    let read = shared
        .stop
        .unless_ended(read_request(shared, conn, source, limits))
        .await;
    match read.unwrap_or(RequestRead::Refuse(Cause::Stopping)) {
        RequestRead::Whole(incoming, _memory) => {
            let _whole = shared.in_flight.whole.add();
            // Boxed: the future is large, and a connection that waits for a request needs no room for it.
            Box::pin(serve::respond(shared, &incoming)).await
        }
        RequestRead::Refuse(cause) => refuse(shared, conn, cause).await,
        RequestRead::Abort => ConnectionAction::Abort,
    }
}

/// How reading a request ended.
enum RequestRead<'a> {
    Whole(IncomingRequest, BodyMemory<'a>),
    Refuse(Cause),
    Abort,
}

async fn read_request<'a>(
    shared: &'a Shared,
    conn: &Conn,
    source: &mut Source,
    limits: ClientLimits,
) -> RequestRead<'a> {
    let arrived = shared.clock.now();
    let head = match timeout(limits.head_time, source.request_head(limits.head_bytes)).await {
        Ok(Ok(head)) => head,
        Ok(Err(HeadError::TooLarge)) => return RequestRead::Refuse(Cause::HeadTooLarge),
        Ok(Err(HeadError::Malformed(_))) => return RequestRead::Refuse(Cause::Malformed),
        Ok(Err(_)) => return RequestRead::Abort,
        Err(_) => return RequestRead::Refuse(Cause::SlowClient),
    };
    let framing = match request_framing(&head) {
        Ok(framing) => framing,
        Err(err) => {
            log::info!(why:% = err; "request refused: ambiguous body length");
            return RequestRead::Refuse(Cause::Malformed);
        }
    };
    let size = match framing {
        Framing::Length(length) if length > limits.body_bytes => {
            return RequestRead::Refuse(Cause::BodyTooLarge);
        }
        Framing::Length(length) => usize::try_from(length).unwrap_or(usize::MAX),
        Framing::Chunked | Framing::UntilClose | Framing::NoBody => 0,
    };
    let Some(mut memory) = BodyMemory::reserve(shared, size) else {
        return RequestRead::Refuse(Cause::NotReady);
    };
    if expects_continue(&head) && !send_continue(conn, limits.head_time).await {
        return RequestRead::Abort;
    }
    let mut reader = BodyReader::new(framing);
    let reading = read_body(&mut reader, source, limits.body_bytes, &mut memory);
    let body = match timeout(BODY_TIMEOUT, reading).await {
        Ok(BodyRead::Whole(body)) => body,
        Ok(BodyRead::Refuse(cause)) => return RequestRead::Refuse(cause),
        Ok(BodyRead::Abort) => return RequestRead::Abort,
        Err(_) => return RequestRead::Refuse(Cause::SlowClient),
    };
    let incoming = IncomingRequest {
        conn: conn.clone(),
        head,
        body,
        arrived,
    };
    RequestRead::Whole(incoming, memory)
}

fn expects_continue(head: &RequestHead) -> bool {
    !head.http10 && head.headers.has_token("expect", "100-continue")
}

async fn send_continue(conn: &Conn, within: Duration) -> bool {
    let mut conn = conn.clone();
    let write = conn.write_all(b"HTTP/1.1 100 Continue\r\n\r\n");
    timeout(within, write).await.is_ok_and(|written| written.is_ok())
}

async fn refuse(shared: &Shared, conn: &Conn, cause: Cause) -> ConnectionAction {
    let refusal = dispatch::attempt::refusal(cause, lifecycle::request::RequestState::Queued);
    shared
        .metrics
        .requests
        .with_label_values(&["unread", cause.name()])
        .inc();
    log::info!(status = refusal.status, why = cause.name(); "request refused before it was read");
    reply::refusal(conn, &refusal, true, true).await;
    ConnectionAction::Close
}

/// Closes a connection so that the client receives the response that was written.
async fn linger(conn: &Conn, source: &mut Source) {
    conn.shutdown_write();
    let drained = async {
        while source.fill().await.is_ok_and(|count| count > 0) {
            source.discard();
        }
    };
    // A client that keeps sending after this time may lose the response.
    let _ = timeout(LINGER_TIME, drained).await;
}
