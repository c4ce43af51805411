//! Bodies, part by part as they arrive.

use super::{Framing, Source};
use quick_error::quick_error;

/// Longest line between chunks, bytes: a size in hexadecimal and extensions, which nobody here sends.
const CHUNK_LINE: usize = 1024;
/// Longest trailers, bytes; they are dropped.
const TRAILERS: usize = 16 * 1024;
/// Hexadecimal digits of a chunk's size; more would not fit a length.
const SIZE_DIGITS: usize = 15;

quick_error! {
    /// Why a body is not whole.
    #[derive(Debug)]
    pub enum RawBodyError {
        /// The connection ended before the body did.
        Truncated {
            display("the connection ended within the body")
        }
        /// It is longer than the reader allows.
        TooLarge {
            display("the body is too long")
        }
        /// The chunks cannot be read.
        Chunk {
            display("a chunk cannot be read")
        }
        /// The connection failed, also where the body ends with its connection: after a reset it is not whole.
        Io(err: std::io::Error) {
            from()
            display("{err}")
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
    Whole,
}

/// Reads one body.
#[derive(Debug)]
pub struct BodyReader {
    state: State,
}

impl BodyReader {
    /// A body that is framed like this.
    pub fn new(framing: Framing) -> Self {
        let state = match framing {
            Framing::Length(0) => State::Whole,
            Framing::Length(length) => State::Length(length),
            Framing::Chunked => State::ChunkSize,
            Framing::UntilClose => State::UntilClose,
        };
        Self { state }
    }

    /// Whether the end was read.
    pub fn is_complete(&self) -> bool {
        self.state == State::Whole
    }

    /// The next bytes, none once the body is whole.
    ///
    /// # Errors
    /// The body is not whole and cannot be read on.
    pub async fn next_part(&mut self, source: &mut Source) -> Result<Option<Vec<u8>>, RawBodyError> {
        loop {
            let step = match self.state {
                State::Whole => return Ok(None),
                State::Length(left) => return self.counted(left, source, State::Length).await.map(Some),
                State::ChunkData(left) => return self.counted(left, source, State::ChunkData).await.map(Some),
                State::UntilClose => return self.rest(source).await,
                State::ChunkSize => self.chunk_size(source)?,
                State::ChunkEnd => self.chunk_end(source)?,
                State::Trailers => self.trailers(source)?,
            };
            if !step && source.fill().await? == 0 {
                return Err(RawBodyError::Truncated);
            }
        }
    }

    /// The whole body of at most `limit` bytes.
    ///
    /// # Errors
    /// The body is not whole, or longer.
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

    async fn counted(
        &mut self,
        left: u64,
        source: &mut Source,
        next: impl Fn(u64) -> State,
    ) -> Result<Vec<u8>, RawBodyError> {
        if source.buffered().is_empty() && source.fill().await? == 0 {
            return Err(RawBodyError::Truncated);
        }
        let length = source.buffered().len().min(usize::try_from(left).unwrap_or(usize::MAX));
        let part = source.buffered()[..length].to_vec();
        source.consume(length);
        let left = left - length as u64;
        self.state = match (left, next(left)) {
            (0, State::ChunkData(_)) => State::ChunkEnd,
            (0, _) => State::Whole,
            (_, state) => state,
        };
        Ok(part)
    }

    async fn rest(&mut self, source: &mut Source) -> Result<Option<Vec<u8>>, RawBodyError> {
        if source.buffered().is_empty() && source.fill().await? == 0 {
            self.state = State::Whole;
            return Ok(None);
        }
        let part = source.buffered().to_vec();
        source.consume(part.len());
        Ok(Some(part))
    }

    fn chunk_size(&mut self, source: &mut Source) -> Result<bool, RawBodyError> {
        let Some(line) = line(source, CHUNK_LINE)? else {
            return Ok(false);
        };
        let size = line.split(|byte| *byte == b';').next().unwrap_or_default();
        let size = size.trim_ascii_end();
        let digits = !size.is_empty() && size.len() <= SIZE_DIGITS && size.iter().all(u8::is_ascii_hexdigit);
        if !digits {
            return Err(RawBodyError::Chunk);
        }
        let text = std::str::from_utf8(size).map_err(|_| RawBodyError::Chunk)?;
        let size = u64::from_str_radix(text, 16).map_err(|_| RawBodyError::Chunk)?;
        self.state = if size == 0 {
            State::Trailers
        } else {
            State::ChunkData(size)
        };
        Ok(true)
    }

    fn chunk_end(&mut self, source: &mut Source) -> Result<bool, RawBodyError> {
        let Some(line) = line(source, CHUNK_LINE)? else {
            return Ok(false);
        };
        if !line.is_empty() {
            return Err(RawBodyError::Chunk);
        }
        self.state = State::ChunkSize;
        Ok(true)
    }

    fn trailers(&mut self, source: &mut Source) -> Result<bool, RawBodyError> {
        let Some(line) = line(source, TRAILERS)? else {
            return Ok(false);
        };
        if line.is_empty() {
            self.state = State::Whole;
        }
        Ok(true)
    }
}

/// Takes a line that ends in CR LF; `None` while it is not whole.
fn line(source: &mut Source, limit: usize) -> Result<Option<Vec<u8>>, RawBodyError> {
    let buffered = source.buffered();
    let Some(end) = buffered.iter().position(|byte| *byte == b'\n') else {
        if buffered.len() > limit {
            return Err(RawBodyError::Chunk);
        }
        return Ok(None);
    };
    let Some(text) = buffered[..end].strip_suffix(b"\r") else {
        return Err(RawBodyError::Chunk);
    };
    let text = text.to_vec();
    source.consume(end + 1);
    Ok(Some(text))
}
