//! Pieces of a response that are kept until its end.

use bytes::Bytes;

/// Size of a block that holds several small pieces.
const BLOCK_BYTES: usize = 4 << 10;

/// Copies of pieces. A piece itself shares the read buffer of its connection, which
/// takes 8 KB of memory for an event of some hundred bytes. Blocks don't grow, as a
/// growing buffer takes up to three times the memory of its content.
#[derive(Debug, Default)]
pub(crate) struct Pieces {
    blocks: Vec<Vec<u8>>,
}

impl Pieces {
    /// Adds a copy of the next piece.
    pub(crate) fn push(&mut self, piece: &[u8]) {
        let free = self.blocks.last().map_or(0, |block| block.capacity() - block.len());
        let (head, rest) = piece.split_at(free.min(piece.len()));
        if let Some(block) = self.blocks.last_mut() {
            block.extend_from_slice(head);
        }
        if !rest.is_empty() {
            let mut block = Vec::with_capacity(rest.len().max(BLOCK_BYTES));
            block.extend_from_slice(rest);
            self.blocks.push(block);
        }
    }

    /// All pieces in one buffer.
    pub(crate) fn join(mut self) -> Bytes {
        match self.blocks.len() {
            1 => self.blocks.swap_remove(0).into(),
            _ => self.blocks.concat().into(),
        }
    }
}
