//! Splits the bytes of a stream into events. Pure data types without I/O.

use bytes::{Bytes, BytesMut};
use gg_protocol::Name;
use quick_error::quick_error;

/// Counts complete events and the bytes of a partial one.
#[derive(Clone, Copy, Debug, Default)]
pub struct EventCount {
    complete: u32,
    partial_bytes: usize,
    was_line_end: bool,
}

impl EventCount {
    /// Adds the next bytes, which may be cut anywhere.
    pub fn add(&mut self, bytes: &[u8]) {
        for byte in bytes {
            let is_line_end = *byte == b'\n';
            self.partial_bytes += 1;
            if is_line_end && self.was_line_end {
                self.complete += 1;
                self.partial_bytes = 0;
            }
            self.was_line_end = is_line_end;
        }
    }

    /// Number of complete events: those ended by an empty line.
    pub fn complete(&self) -> u32 {
        self.complete
    }

    /// Bytes of the partial event.
    pub fn partial_bytes(&self) -> usize {
        self.partial_bytes
    }
}

quick_error! {
    /// An event has the id of the last complete event, or a lower one.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum Repeated {
        /// Id of the event.
        Event(number: u64) {
            display("event {number} was repeated")
        }
    }
}

/// Splits a stream after complete events, so that another replica can continue
/// it after the last one.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
    was_line_end: bool,
    last_id: Option<Name>,
}

impl EventSplitter {
    /// Adds the next bytes and returns the events that are complete now.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Bytes, Repeated> {
        let mut end = None;
        for (index, byte) in bytes.iter().enumerate() {
            let is_line_end = *byte == b'\n';
            if is_line_end && self.was_line_end {
                end = Some(self.partial.len() + index + 1);
            }
            self.was_line_end = is_line_end;
        }
        self.partial.extend_from_slice(bytes);
        let Some(end) = end else { return Ok(Bytes::new()) };
        let complete = self.partial.split_to(end).freeze();
        for line in complete.split(|byte| *byte == b'\n') {
            let Some(id) = line.strip_prefix(b"id:") else { continue };
            let id = String::from_utf8_lossy(id);
            self.check_id(id.trim())?;
        }
        Ok(complete)
    }

    fn check_id(&mut self, id: &str) -> Result<(), Repeated> {
        let number = |id: &str| id.parse::<u64>().ok();
        if let (Some(new), Some(last_id)) = (number(id), self.last_id.as_deref().and_then(number))
            && new <= last_id
        {
            return Err(Repeated::Event(new));
        }
        self.last_id = Some(id.into());
        Ok(())
    }

    /// Id of the last complete event.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Whether there is a partial event.
    pub fn has_partial(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Bytes of the partial event.
    pub fn partial_bytes(&self) -> usize {
        self.partial.len()
    }

    /// Discards the partial event.
    pub fn drop_partial(&mut self) {
        self.partial.clear();
        self.was_line_end = false;
    }
}
