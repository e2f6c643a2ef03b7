//! Reads the entries of one segment of the log.

use std::{
    fs::File,
    io::{self, BufReader, Read},
    os::unix::fs::FileExt,
    sync::Arc,
};

use crate::{
    LogTime, PartitionEntry,
    encoding::{Content, HEADER_BYTES, Header, decode_content},
};

/// Read buffer size.
const BUFFER_BYTES: usize = 64 << 10;

/// Number of bytes that may be checked for a sound entry after a damaged one.
/// A length field in random data may cover most of a segment.
const SEARCH_BYTES_MAX: usize = 64 << 20;

/// Where an entry stands in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Location {
    /// Number of the segment.
    pub segment: u32,
    /// Offset of the entry's header.
    pub offset: u32,
    /// Size of the entry with its header.
    pub bytes: u32,
}

/// An entry read from the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredEntry {
    /// Where the entry stands.
    pub location: Location,
    /// What the entry holds.
    pub content: StoredContent,
}

/// Content of an entry read from the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoredContent {
    /// An entry and its log time. Earlier versions wrote none.
    Known(PartitionEntry, Option<LogTime>),
    /// Encoding, with its header, of an entry of a kind that this version
    /// doesn't know.
    Unknown(Vec<u8>),
}

/// A segment that is open for reading.
#[derive(Clone, Debug)]
pub(crate) struct Segment {
    pub(crate) number: u32,
    pub(crate) file: Arc<File>,
    pub(crate) bytes: u64,
}

impl Segment {
    /// Reads the entry at a location.
    pub(crate) fn read(&self, location: Location) -> io::Result<PartitionEntry> {
        let damaged = || io::Error::new(io::ErrorKind::InvalidData, "the entry is damaged");
        let mut encoded = vec![0; location.bytes as usize];
        self.file.read_exact_at(&mut encoded, u64::from(location.offset))?;
        let (header, content) = encoded.split_first_chunk().ok_or_else(damaged)?;
        let header = Header::read(*header, u64::from(location.bytes)).ok_or_else(damaged)?;
        if !header.matches(content) {
            return Err(damaged());
        }
        match decode_content(content) {
            Content::Known(entry, _) => Ok(entry),
            Content::Unknown => Err(damaged()),
        }
    }
}

/// Reads from a file at its own offset, so that others can read it meanwhile.
#[derive(Debug)]
struct FileCursor {
    file: Arc<File>,
    offset: u64,
}

impl Read for FileCursor {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let count = self.file.read_at(buffer, self.offset)?;
        self.offset += count as u64;
        Ok(count)
    }
}

/// Reads the entries of a segment in their order. Holds one entry in memory at a
/// time.
#[derive(Debug)]
pub(crate) struct SegmentReader {
    segment: Segment,
    input: BufReader<FileCursor>,
    offset: u64,
    content: Vec<u8>,
    /// Bytes of damaged entries that sound ones follow.
    pub(crate) damaged_bytes: u64,
    /// Bytes at the end that no sound entry follows.
    pub(crate) unread_bytes: u64,
    /// Whether sound entries may follow all the same, as the search for them was
    /// given up.
    pub(crate) is_undecided: bool,
}

impl SegmentReader {
    /// Starts to read at an offset.
    pub(crate) fn new(segment: Segment, offset: u64) -> Self {
        let input = input_at(&segment, offset);
        let content = Vec::new();
        SegmentReader {
            segment,
            input,
            offset,
            content,
            damaged_bytes: 0,
            unread_bytes: 0,
            is_undecided: false,
        }
    }

    /// Offset of the next entry.
    pub(crate) fn offset(&self) -> u64 {
        self.offset
    }

    /// Reads the next sound entry.
    pub(crate) fn read_next(&mut self) -> io::Result<Option<StoredEntry>> {
        while self.offset < self.segment.bytes {
            if let Some(header) = self.read_entry()? {
                return Ok(Some(self.take_entry(header)));
            }
            let remaining = self.segment.bytes - self.offset;
            match self.find_sound()? {
                Some(next) => {
                    self.damaged_bytes += next - self.offset;
                    self.offset = next;
                    self.input = input_at(&self.segment, next);
                }
                None => {
                    self.unread_bytes = remaining;
                    self.offset = self.segment.bytes;
                }
            }
        }
        Ok(None)
    }

    /// Reads a header and its content. Returns `None` if either is damaged.
    fn read_entry(&mut self) -> io::Result<Option<Header>> {
        let remaining = self.segment.bytes - self.offset;
        if remaining < HEADER_BYTES as u64 {
            return Ok(None);
        }
        let mut bytes = [0; HEADER_BYTES];
        self.input.read_exact(&mut bytes)?;
        let Some(header) = Header::read(bytes, remaining) else { return Ok(None) };
        self.content.resize(header.length, 0);
        self.input.read_exact(&mut self.content)?;
        Ok(header.matches(&self.content).then_some(header))
    }

    fn take_entry(&mut self, header: Header) -> StoredEntry {
        let bytes = HEADER_BYTES + header.length;
        let location = Location {
            segment: self.segment.number,
            offset: self.offset as u32,
            bytes: bytes as u32,
        };
        self.offset += bytes as u64;
        let content = match decode_content(&self.content) {
            Content::Known(entry, at) => StoredContent::Known(entry, at),
            Content::Unknown => StoredContent::Unknown(header.encode(&self.content)),
        };
        StoredEntry { location, content }
    }

    /// Offset of the first sound entry after the damaged one at the current
    /// offset.
    fn find_sound(&mut self) -> io::Result<Option<u64>> {
        // Mostly a text is damaged and its length is not.
        if let Some(next) = self.end_of_entry()?
            && self.is_sound(next)?
        {
            return Ok(Some(next));
        }
        let mut input = input_at(&self.segment, self.offset + 1);
        let mut window = [0; HEADER_BYTES];
        let mut filled = 0;
        let mut checked = 0;
        let mut end = self.offset + 1;
        let mut content = Vec::new();
        for byte in input.by_ref().bytes() {
            window.rotate_left(1);
            window[HEADER_BYTES - 1] = byte?;
            (filled, end) = (filled + 1, end + 1);
            if filled < HEADER_BYTES {
                continue;
            }
            let start = end - HEADER_BYTES as u64;
            let Some(header) = Header::read(window, self.segment.bytes - start) else { continue };
            checked += header.length;
            if checked > SEARCH_BYTES_MAX {
                self.is_undecided = true;
                break;
            }
            content.resize(header.length, 0);
            self.segment.file.read_exact_at(&mut content, end)?;
            if header.matches(&content) {
                return Ok(Some(start));
            }
        }
        Ok(None)
    }
}

impl SegmentReader {
    /// Where the damaged entry at the current offset ends by its length.
    fn end_of_entry(&self) -> io::Result<Option<u64>> {
        let header = self.header_at(self.offset)?;
        Ok(header.map(|header| self.offset + (HEADER_BYTES + header.length) as u64))
    }

    /// Whether an entry at `offset` is sound.
    fn is_sound(&self, offset: u64) -> io::Result<bool> {
        let Some(header) = self.header_at(offset)? else { return Ok(false) };
        let mut content = vec![0; header.length];
        self.segment.file.read_exact_at(&mut content, offset + HEADER_BYTES as u64)?;
        Ok(header.matches(&content))
    }

    fn header_at(&self, offset: u64) -> io::Result<Option<Header>> {
        let remaining = self.segment.bytes.saturating_sub(offset);
        if remaining < HEADER_BYTES as u64 {
            return Ok(None);
        }
        let mut bytes = [0; HEADER_BYTES];
        self.segment.file.read_exact_at(&mut bytes, offset)?;
        Ok(Header::read(bytes, remaining))
    }
}

fn input_at(segment: &Segment, offset: u64) -> BufReader<FileCursor> {
    let cursor = FileCursor { file: segment.file.clone(), offset };
    BufReader::with_capacity(BUFFER_BYTES, cursor)
}
