//! Server-sent events of a response.

use crate::conn::Conn;
use async_sse::{Decoder, Event};
use futures::StreamExt;
use http_types::Body;
use quick_error::quick_error;

/// Most bytes that are read until an event is complete. What is read ahead of it is a few KB.
const MAX_EVENT_BYTES: u64 = 1 << 20;

quick_error! {
    /// Why the next event could not be read.
    #[derive(Debug)]
    pub enum EventError {
        /// The connection failed or the stream is malformed.
        Broken(err: http_types::Error) {
            from()
            display("the event stream failed: {err}")
        }
        /// It is too long.
        TooLong {
            display("an event is longer than {MAX_EVENT_BYTES} bytes")
        }
        /// The data of an event is not UTF-8.
        Malformed {
            display("the stream contains a malformed event")
        }
    }
}

/// One event with data.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SseEvent {
    /// Its `id`, if it is a number.
    pub number: Option<u64>,
    /// Its data.
    pub data: String,
}

/// The events of one response in order.
pub struct EventStream {
    decoder: Decoder<Body>,
    conn: Conn,
}

impl EventStream {
    pub(crate) fn new(body: Body, conn: Conn) -> Self {
        Self {
            decoder: async_sse::decode(body),
            conn,
        }
    }

    /// The next event; `None` at the end of the body, which does not mean that the stream is complete.
    pub async fn next(&mut self) -> Result<Option<SseEvent>, EventError> {
        self.conn.limit_reads(MAX_EVENT_BYTES);
        loop {
            let next = self.decoder.next().await;
            if !matches!(next, Some(Ok(_))) && self.conn.is_read_limit_reached() {
                return Err(EventError::TooLong);
            }
            let Some(event) = next else {
                return Ok(None);
            };
            let Event::Message(message) = event? else {
                continue;
            };
            let number = message.id().as_deref().and_then(|id| id.parse().ok());
            let data = String::from_utf8(message.into_bytes()).map_err(|_| EventError::Malformed)?;
            return Ok(Some(SseEvent { number, data }));
        }
    }

    /// Closes the connection, so that the peer stops sending.
    pub fn close(&self) {
        self.conn.close();
    }
}
