//! Encoding of log entries: a header with length and checksum, the entry in the
//! postcard encoding, and the log time. Versions that know no log time ignore
//! what follows the entry, so fields may be added at the end.

use crate::{LogEntry, LogTime, PartitionEntry, protocol::FIELDS_BYTES};

/// Size of the header before each entry: its length and checksum,
/// little-endian.
pub(crate) const HEADER_BYTES: usize = 8;

/// Size of the largest entry. A turn arrives in one frame.
pub(crate) const CONTENT_BYTES_MAX: usize = 17 << 20;

/// Content of a sound entry.
#[derive(Debug)]
pub(crate) enum Content {
    /// An entry and its log time, if it has one.
    Known(PartitionEntry, Option<LogTime>),
    /// An entry of a kind that this version doesn't know.
    Unknown,
}

/// Length and checksum of an entry.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Header {
    pub(crate) length: usize,
    checksum: u32,
}

impl Header {
    /// Reads a header. Returns `None` if it can't be one of an entry that fits
    /// into `remaining` bytes, including the header.
    pub(crate) fn read(bytes: [u8; HEADER_BYTES], remaining: u64) -> Option<Self> {
        let [a, b, c, d, e, f, g, h] = bytes;
        let length = u32::from_le_bytes([a, b, c, d]) as usize;
        let is_plausible = length > 0
            && length <= CONTENT_BYTES_MAX
            && (HEADER_BYTES + length) as u64 <= remaining;
        is_plausible.then_some(Header { length, checksum: u32::from_le_bytes([e, f, g, h]) })
    }

    /// The header and its content as they stand in the log.
    pub(crate) fn encode(&self, content: &[u8]) -> Vec<u8> {
        let mut encoded = Vec::with_capacity(HEADER_BYTES + content.len());
        encoded.extend_from_slice(&(self.length as u32).to_le_bytes());
        encoded.extend_from_slice(&self.checksum.to_le_bytes());
        encoded.extend_from_slice(content);
        encoded
    }

    /// Whether the content is what was written.
    pub(crate) fn matches(&self, content: &[u8]) -> bool {
        crc32fast::hash(content) == self.checksum
    }
}

/// Appends an entry in its on-disk encoding to `buffer`. Returns its size.
pub fn encode_entry(entry: &PartitionEntry, at: LogTime, buffer: &mut Vec<u8>) -> usize {
    let start = buffer.len();
    if let (_, LogEntry::Turn(record)) = entry {
        // Otherwise the buffer doubles behind the text.
        buffer.reserve(HEADER_BYTES + record.text.len() + FIELDS_BYTES);
    }
    buffer.extend_from_slice(&[0; HEADER_BYTES]);
    // Serialization into memory can't fail for log entries.
    let _ = postcard::to_io(entry, &mut *buffer);
    let _ = postcard::to_io(&at.0, &mut *buffer);
    let content = &buffer[start + HEADER_BYTES..];
    let (length, checksum) = (content.len() as u32, crc32fast::hash(content));
    buffer[start..start + 4].copy_from_slice(&length.to_le_bytes());
    buffer[start + 4..start + HEADER_BYTES].copy_from_slice(&checksum.to_le_bytes());
    buffer.len() - start
}

/// Decodes the content of an entry whose checksum is right.
pub(crate) fn decode_content(content: &[u8]) -> Content {
    match postcard::take_from_bytes::<PartitionEntry>(content) {
        Ok((entry, rest)) => {
            let at = postcard::take_from_bytes::<u64>(rest).ok();
            Content::Known(entry, at.map(|(at, _)| LogTime(at)))
        }
        Err(_) => Content::Unknown,
    }
}
