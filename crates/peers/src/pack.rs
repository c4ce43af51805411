//! Compression of large values that routers send each other.
//!
//! A document of thousands of routes goes to all followers of a router at once, over links of 10 Mbit/s that also carry
//! client traffic. Routes resemble each other, so documents compress well.

use crate::service::PeerError;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;

/// Values of at least this length are compressed.
pub const PACK_MIN_BYTES: usize = 4 * 1024;
/// Maximum length of a decompressed value. Without a limit a small message could allocate any amount of memory.
const MAX_UNPACKED_BYTES: usize = 16 << 20;
/// The fastest zstd level. Higher levels take several times as long and save little on lists of routes.
const COMPRESSION_LEVEL: i32 = 1;

/// Compresses a value and encodes it as base64.
///
/// # Errors
/// Compression failed for lack of memory.
pub fn pack(value: &[u8]) -> Result<String, PeerError> {
    let packed = zstd::bulk::compress(value, COMPRESSION_LEVEL).map_err(|_| PeerError::Malformed)?;
    Ok(STANDARD.encode(packed))
}

/// Decodes and decompresses a value from [`pack`].
///
/// # Errors
/// The text is not a compressed value, or the value is too long.
pub fn unpack(text: &str) -> Result<Vec<u8>, PeerError> {
    let packed = STANDARD.decode(text).map_err(|_| PeerError::Malformed)?;
    if packed.is_empty() {
        return Err(PeerError::Malformed);
    }
    zstd::bulk::decompress(&packed, MAX_UNPACKED_BYTES).map_err(|_| PeerError::Malformed)
}
