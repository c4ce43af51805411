//! Incremental reading of message bodies.

use super::{Framing, Source};
use quick_error::quick_error;
use std::io::ErrorKind;

/// Longest line between chunks, bytes: a hexadecimal size and extensions, which no known peer sends.
const MAX_CHUNK_LINE: usize = 1024;
/// Most bytes of the extensions of all chunks of one body. Without this bound, a body of one-byte chunks could carry a
/// thousand times as many bytes as are counted for it.
const MAX_EXTENSION_BYTES: usize = 64 * 1024;
/// Most bytes of all trailer lines of one body, as many as proxies allow for a head; trailers are dropped.
const MAX_TRAILER_BYTES: usize = 16 * 1024;
/// Most hexadecimal digits of a chunk size, so that it fits a `u64`.
const MAX_SIZE_DIGITS: usize = 15;

quick_error! {
    /// Why a body cannot be read to its end.
    #[derive(Debug)]
    pub enum RawBodyError {
        /// The connection ended before the body did.
        Truncated {
            display("the connection ended within the body")
        }
        /// It is longer than the caller allows.
        TooLarge {
            display("the body is too long")
        }
        /// The chunked encoding is malformed.
        Chunk {
            display("the chunked encoding is malformed")
        }
        /// The lines between its chunks are too long.
        Extensions {
            display("the chunk extensions are too long")
        }
        /// Its trailers are too long.
        Trailers {
            display("the trailers are too long")
        }
        /// The connection failed. A body that ends with its connection is incomplete after a reset, too.
        Io(err: std::io::Error) {
            from()
            display("{err}")
        }
    }
}

impl RawBodyError {
    /// Name in logs.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Truncated => "fin",
            Self::TooLarge | Self::Extensions | Self::Trailers => "too_long",
            Self::Chunk => "malformed",
            Self::Io(err) if err.kind() == ErrorKind::ConnectionReset => "reset",
            Self::Io(_) => "lost",
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Length(u64),
    ChunkSize,
    ChunkData(u64),
    ChunkEnd,
    Trailers,
    UntilClose,
    Complete,
}

/// Reads one body.
#[derive(Debug)]
pub struct BodyReader {
    framing: Framing,
    state: State,
    /// Bytes of chunk extensions, or of trailers, so far.
    extra: usize,
}

impl BodyReader {
    /// Creates a reader for a body with this framing.
    pub fn new(framing: Framing) -> Self {
        let state = match framing {
            Framing::Length(0) | Framing::NoBody => State::Complete,
            Framing::Length(length) => State::Length(length),
            Framing::Chunked => State::ChunkSize,
            Framing::UntilClose => State::UntilClose,
        };
        Self {
            framing,
            state,
            extra: 0,
        }
    }

    /// How the body is framed.
    pub fn framing(&self) -> Framing {
        self.framing
    }

    /// Whether the end of the body was read.
    pub fn is_complete(&self) -> bool {
        self.state == State::Complete
    }

    /// The next bytes; `None` once the body is complete.
    ///
    /// # Errors
    /// The body is incomplete and its rest cannot be read.
    pub async fn next_part(&mut self, source: &mut Source) -> Result<Option<Vec<u8>>, RawBodyError> {
        loop {
            let advanced = match self.state {
                State::Complete => return Ok(None),
                State::Length(remaining) => return self.read_counted(remaining, source, State::Length).await.map(Some),
                State::ChunkData(remaining) => {
                    return self.read_counted(remaining, source, State::ChunkData).await.map(Some);
                }
                State::UntilClose => return self.read_until_close(source).await,
                State::ChunkSize => self.chunk_size(source)?,
                State::ChunkEnd => self.chunk_end(source)?,
                State::Trailers => self.trailers(source)?,
            };
            if !advanced && source.fill().await? == 0 {
                return Err(RawBodyError::Truncated);
            }
        }
    }

    /// Reads the complete body of at most `limit` bytes.
    ///
    /// # Errors
    /// The body is incomplete or longer than `limit`.
    pub async fn read_to_end(&mut self, source: &mut Source, limit: u64) -> Result<Vec<u8>, RawBodyError> {
        let mut body = Vec::new();
        if matches!(self.state, State::Length(length) if length > limit) {
            return Err(RawBodyError::TooLarge);
        }
        while let Some(part) = self.next_part(source).await? {
            body.extend_from_slice(&part);
            if body.len() as u64 > limit {
                return Err(RawBodyError::TooLarge);
            }
        }
        Ok(body)
    }

    async fn read_counted(
        &mut self,
        remaining: u64,
        source: &mut Source,
        next: impl Fn(u64) -> State,
    ) -> Result<Vec<u8>, RawBodyError> {
        if source.buffered().is_empty() && source.fill().await? == 0 {
            return Err(RawBodyError::Truncated);
        }
        let length = source
            .buffered()
            .len()
            .min(usize::try_from(remaining).unwrap_or(usize::MAX));
        let part = source.buffered()[..length].to_vec();
        source.consume(length);
        let remaining = remaining - length as u64;
        self.state = match (remaining, next(remaining)) {
            (0, State::ChunkData(_)) => State::ChunkEnd,
            (0, _) => State::Complete,
            (_, state) => state,
        };
        Ok(part)
    }

    async fn read_until_close(&mut self, source: &mut Source) -> Result<Option<Vec<u8>>, RawBodyError> {
        if source.buffered().is_empty() && source.fill().await? == 0 {
            if !source.conn().is_delivered() {
                return Err(RawBodyError::Truncated);
            }
            self.state = State::Complete;
            return Ok(None);
        }
        let part = source.buffered().to_vec();
        source.consume(part.len());
        Ok(Some(part))
    }

    fn chunk_size(&mut self, source: &mut Source) -> Result<bool, RawBodyError> {
        let Some(line) = line(source, MAX_CHUNK_LINE, RawBodyError::Extensions)? else {
            return Ok(false);
        };
        let size = line.split(|byte| *byte == b';').next().unwrap_or_default();
        // Spaces after the size count as extensions, since a peer could pass the bound with them.
        let size = size.trim_ascii_end();
        self.extra += line.len() - size.len();
        if self.extra > MAX_EXTENSION_BYTES {
            return Err(RawBodyError::Extensions);
        }
        let digits = !size.is_empty() && size.len() <= MAX_SIZE_DIGITS && size.iter().all(u8::is_ascii_hexdigit);
        if !digits {
            return Err(RawBodyError::Chunk);
        }
        let text = std::str::from_utf8(size).map_err(|_| RawBodyError::Chunk)?;
        let size = u64::from_str_radix(text, 16).map_err(|_| RawBodyError::Chunk)?;
        self.state = if size == 0 {
            self.extra = 0;
            State::Trailers
        } else {
            State::ChunkData(size)
        };
        Ok(true)
    }

    fn chunk_end(&mut self, source: &mut Source) -> Result<bool, RawBodyError> {
        let Some(line) = line(source, MAX_CHUNK_LINE, RawBodyError::Chunk)? else {
            return Ok(false);
        };
        if !line.is_empty() {
            return Err(RawBodyError::Chunk);
        }
        self.state = State::ChunkSize;
        Ok(true)
    }

    fn trailers(&mut self, source: &mut Source) -> Result<bool, RawBodyError> {
        let limit = MAX_TRAILER_BYTES - self.extra;
        let Some(line) = line(source, limit, RawBodyError::Trailers)? else {
            return Ok(false);
        };
        self.extra += line.len();
        if line.is_empty() {
            self.state = State::Complete;
        }
        Ok(true)
    }
}

/// Consumes a line that ends in CR LF; `None` while it is incomplete. Returns `too_long` if it has more than `limit` bytes.
fn line(source: &mut Source, limit: usize, too_long: RawBodyError) -> Result<Option<Vec<u8>>, RawBodyError> {
    let buffered = source.buffered();
    let end = buffered.iter().position(|byte| *byte == b'\n');
    // The CR isn't part of the line.
    if end.unwrap_or(buffered.len()) > limit + 1 {
        return Err(too_long);
    }
    let Some(end) = end else {
        return Ok(None);
    };
    let Some(text) = buffered[..end].strip_suffix(b"\r") else {
        return Err(RawBodyError::Chunk);
    };
    let text = text.to_vec();
    source.consume(end + 1);
    Ok(Some(text))
}
