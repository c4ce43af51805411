//! Responses without events, as far as they were read.

use crate::held::{HeldKind, Hold, NoRoom};
use crate::shared::Shared;
use http::raw::{Bound, Framing, Headers, RawBodyError, Response, Source};
use quick_error::quick_error;

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
    }
}

impl ReadError {
    /// The bound that the response exceeds, if it does.
    pub(super) fn bound(&self) -> Option<Bound> {
        match self {
            Self::Body(err) => err.bound(),
            Self::NoRoom(_) => None,
        }
    }
}

/// A response with its body.
pub struct CompleteResponse {
    /// Status code.
    pub status: u16,
    /// Headers for the client.
    pub headers: Headers,
    /// Body.
    pub body: Vec<u8>,
    /// Counts the body.
    pub hold: Hold,
}

/// A response and what was read of its body.
pub(super) struct ReadResponse {
    pub(super) answer: Response,
    pub(super) source: Source,
    pub(super) body: Vec<u8>,
    /// Counts the body.
    pub(super) hold: Hold,
}

impl ReadResponse {
    /// A response of which only the head was read.
    pub(super) fn new(shared: &Shared, answer: Response, source: Source) -> Self {
        Self {
            answer,
            source,
            body: Vec::new(),
            hold: Hold::new(&shared.held, HeldKind::Response),
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
            self.body.extend_from_slice(&part);
            self.hold.set(self.body.len());
            if self.body.len() as u64 > MAX_RESPONSE_BYTES {
                return Err(RawBodyError::TooLarge.into());
            }
        }
    }
}
