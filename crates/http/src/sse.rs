//! Server-sent events of an answer.

use crate::conn::Conn;
use async_sse::{Decoder, Event};
use futures::StreamExt;
use http_types::Body;
use quick_error::quick_error;

quick_error! {
    /// Why no further piece came.
    #[derive(Debug)]
    pub enum EventError {
        /// The stream broke off or cannot be read.
        Broken(err: http_types::Error) {
            from()
            display("the stream broke off: {err}")
        }
        /// An event without a number where one is needed, or data that is not UTF-8.
        Malformed {
            display("the stream holds an event that cannot be read")
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

/// The events of one answer in order.
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

    /// The next event; `None` at the end of the body, which does not tell that the stream is complete.
    pub async fn next(&mut self) -> Result<Option<SseEvent>, EventError> {
        loop {
            let Some(event) = self.decoder.next().await else {
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

    /// Closes the connection, so that the peer notices that nobody reads on.
    pub fn close(&self) {
        self.conn.close();
    }
}
