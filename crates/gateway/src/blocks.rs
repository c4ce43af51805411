//! Bytes in blocks of equal size, freed as they are taken from the front.
//!
//! A vector that grows to megabytes is copied several times, and what the allocator keeps of the copies can exceed the
//! budget of held bytes several times.

use std::collections::VecDeque;

/// Size of a block: one read from a socket.
const BLOCK_BYTES: usize = 16 << 10;

/// A queue of bytes.
#[derive(Debug, Default)]
pub struct Blocks {
    blocks: VecDeque<Vec<u8>>,
    /// Bytes that were taken of the first block.
    taken: usize,
    len: usize,
}

impl Blocks {
    /// Number of bytes.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether there are no bytes.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Appends bytes.
    pub fn push(&mut self, mut bytes: &[u8]) {
        self.len += bytes.len();
        while !bytes.is_empty() {
            if self.blocks.back().is_none_or(|block| block.len() >= BLOCK_BYTES) {
                self.blocks.push_back(Vec::new());
            }
            let Some(block) = self.blocks.back_mut() else { return };
            let (fits, rest) = bytes.split_at(bytes.len().min(BLOCK_BYTES - block.len()));
            block.extend_from_slice(fits);
            bytes = rest;
        }
    }

    /// Some of the first bytes; empty only if there are none.
    pub fn front(&self) -> &[u8] {
        self.blocks.front().map_or(&[], |block| &block[self.taken..])
    }

    /// Removes bytes of the front.
    pub fn consume(&mut self, count: usize) {
        self.taken += count;
        self.len -= count;
        if self.blocks.front().is_some_and(|block| block.len() == self.taken) {
            self.blocks.pop_front();
            self.taken = 0;
        }
    }
}
