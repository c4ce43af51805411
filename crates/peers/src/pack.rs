//! Large values on their way between routers, compressed.
//!
//! Load pattern: a document of thousands of routes goes to all followers of a router at once, over links of 10 Mbit/s that
//! callers use as well. Routes are much alike.

use crate::service::PeerError;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;

/// Values from this length on are packed, bytes.
pub const PACK_MIN_BYTES: usize = 4 * 1024;
/// Longest value, bytes; without a bound a small message could take any amount of memory.
const UNPACKED_BYTES: usize = 16 << 20;
/// The fastest level: others take several times as long and save little on lists of routes.
const LEVEL: i32 = 1;

/// A value as compressed text.
///
/// # Errors
/// The compressor had no memory.
pub fn pack(value: &[u8]) -> Result<String, PeerError> {
    let packed = zstd::bulk::compress(value, LEVEL).map_err(|_| PeerError::Malformed)?;
    Ok(STANDARD.encode(packed))
}

/// The value of compressed text.
///
/// # Errors
/// It is no such text, or its value is too long.
pub fn unpack(text: &str) -> Result<Vec<u8>, PeerError> {
    let packed = STANDARD.decode(text).map_err(|_| PeerError::Malformed)?;
    if packed.is_empty() {
        return Err(PeerError::Malformed);
    }
    zstd::bulk::decompress(&packed, UNPACKED_BYTES).map_err(|_| PeerError::Malformed)
}
