//! Responses without events, as far as they were read.

use super::{fate, reply};
use crate::blocks::Blocks;
use crate::held::{HeldKind, Hold, NoRoom};
use crate::shared::Shared;
use async_std::io::WriteExt;
use dispatch::site::EndpointEntry;
use http::Conn;
use http::raw::{Bound, Framing, Headers, RawBodyError, Response, Source, stated_length};
use quick_error::quick_error;
use std::time::Duration;

/// Longest response without streaming, bytes: twice the longest request, and half of the budget of held bytes.
const MAX_RESPONSE_BYTES: u64 = 8 << 20;

quick_error! {
    /// Why a response could not be read to its end.
    #[derive(Debug)]
    pub enum ReadError {
        /// The body is incomplete or too long.
        Body(err: RawBodyError) {
            from()
            display("{err}")
        }
        /// Its bytes are needed for others.
        NoRoom(err: NoRoom) {
            from()
            display("there is no room for the response")
        }
        /// The endpoint may have ended with its response.
        Unconfirmed {
            display("the response ended with its connection, and its endpoint may have ended too")
        }
    }
}

impl ReadError {
    /// The bound that the response exceeds, if it does.
    pub(super) fn bound(&self) -> Option<Bound> {
        match self {
            Self::Body(err) => err.bound(),
            Self::NoRoom(_) | Self::Unconfirmed => None,
        }
    }
}

/// A response with its body.
pub struct CompleteResponse {
    /// Status code.
    pub status: u16,
    /// Headers for the client.
    pub headers: Headers,
    /// The length that its head states.
    pub length: Option<u64>,
    /// Body.
    pub body: Blocks,
    /// Counts the body.
    pub hold: Hold,
}

impl CompleteResponse {
    /// Writes the response. Returns false if the client closed the connection, or if the bytes are needed for others.
    pub async fn write(&mut self, conn: &Conn, close: bool) -> bool {
        let mut conn = conn.clone();
        let mut bytes = reply::response_head(self.status, &self.headers, self.length, close);
        loop {
            // The head is sent together with the first bytes of the body, and so is the whole of a short response.
            let taken = self.body.front().len();
            bytes.extend_from_slice(self.body.front());
            self.body.consume(taken);
            if self
                .hold
                .unless_closed(conn.write_all(&bytes))
                .await
                .is_ok_and(|written| written.is_ok())
            {
                self.hold.set(self.body.len());
            } else {
                return false;
            }
            if self.body.is_empty() {
                return true;
            }
            bytes.clear();
        }
    }
}

/// A response and what was read of its body.
pub(super) struct ReadResponse {
    pub(super) answer: Response,
    pub(super) source: Source,
    pub(super) body: Blocks,
    /// Counts the body.
    pub(super) hold: Hold,
}

impl ReadResponse {
    /// A response of which only the head was read.
    pub(super) fn new(shared: &Shared, answer: Response, source: Source) -> Self {
        Self {
            answer,
            source,
            body: Blocks::default(),
            hold: Hold::new(&shared.held, HeldKind::Response),
        }
    }

    /// The response for the client once the body was read, with these headers, and the connection that it came over.
    pub(super) fn complete(self, headers: Headers) -> (CompleteResponse, Source) {
        let (status, length) = (self.answer.head.status, self.length());
        let response = CompleteResponse {
            status,
            headers,
            length,
            body: self.body,
            hold: self.hold,
        };
        (response, self.source)
    }

    /// The length that the client is told once the body was read.
    fn length(&self) -> Option<u64> {
        if self.answer.has_body() {
            return Some(self.body.len() as u64);
        }
        stated_length(&self.answer.head)
    }

    /// Reads the rest of the body like [`Self::finish`]. An end that only its connection tells must be confirmed within this
    /// time.
    ///
    /// # Errors
    /// Those of [`Self::finish`], and the end was not confirmed.
    pub(super) async fn finish_confirmed(
        &mut self,
        shared: &Shared,
        endpoint: &EndpointEntry,
        within: Duration,
    ) -> Result<(), ReadError> {
        self.finish().await?;
        if fate::confirms_end(shared, endpoint, self.answer.body.framing(), within).await {
            Ok(())
        } else {
            Err(ReadError::Unconfirmed)
        }
    }

    /// Reads the rest of the body. What was read is kept if the future is dropped.
    ///
    /// # Errors
    /// The body is incomplete or too long, or there is no room for it.
    pub(super) async fn finish(&mut self) -> Result<(), ReadError> {
        let framing = self.answer.body.framing();
        if matches!(framing, Framing::Length(length) if length > MAX_RESPONSE_BYTES) {
            return Err(RawBodyError::TooLarge.into());
        }
        loop {
            self.hold.room().await?;
            let part = self.answer.body.next_part(&mut self.source);
            let Some(part) = self.hold.unless_closed(part).await?? else {
                return Ok(());
            };
            self.body.push(&part);
            self.hold.set(self.body.len());
            if self.body.len() as u64 > MAX_RESPONSE_BYTES {
                return Err(RawBodyError::TooLarge.into());
            }
        }
    }
}
