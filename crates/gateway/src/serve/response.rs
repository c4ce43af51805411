//! Responses without events, as far as they were read.

use http::raw::{RawBodyError, Response, Source};

/// Longest response without streaming, bytes.
const MAX_RESPONSE_BYTES: u64 = 8 << 20;

/// A response and what was read of its body.
pub(super) struct ReadResponse {
    pub(super) answer: Response,
    pub(super) source: Source,
    pub(super) body: Vec<u8>,
}

impl ReadResponse {
    /// A response of which only the head was read.
    pub(super) fn new(answer: Response, source: Source) -> Self {
        Self {
            answer,
            source,
            body: Vec::new(),
        }
    }

    /// Reads the rest of the body. What was read is kept if the future is dropped.
    ///
    /// # Errors
    /// The body is incomplete or too long.
    pub(super) async fn finish(&mut self) -> Result<(), RawBodyError> {
        while let Some(part) = self.answer.body.next_part(&mut self.source).await? {
            self.body.extend_from_slice(&part);
            if self.body.len() as u64 > MAX_RESPONSE_BYTES {
                return Err(RawBodyError::TooLarge);
            }
        }
        Ok(())
    }
}
