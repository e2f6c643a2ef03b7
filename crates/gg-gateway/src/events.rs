//! The events of a stream, in its bytes as they come. Plain types.

use bytes::{Bytes, BytesMut};
use gg_protocol::Name;
use quick_error::quick_error;

/// Whole events so far, and the one that has begun.
#[derive(Clone, Copy, Debug, Default)]
pub struct EventCount {
    whole: u32,
    open_bytes: usize,
    was_line_end: bool,
}

impl EventCount {
    /// Takes in the next bytes, however they are cut into pieces.
    pub fn take(&mut self, bytes: &[u8]) {
        for byte in bytes {
            let is_line_end = *byte == b'\n';
            self.open_bytes += 1;
            if is_line_end && self.was_line_end {
                self.whole += 1;
                self.open_bytes = 0;
            }
            self.was_line_end = is_line_end;
        }
    }

    /// Whole events: those that an empty line has ended.
    pub fn whole(&self) -> u32 {
        self.whole
    }

    /// Bytes of the event that has not ended yet.
    pub fn open_bytes(&self) -> usize {
        self.open_bytes
    }
}

quick_error! {
    /// An event that came before, or an earlier one.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum Repeated {
        /// Its number.
        Event(number: u64) {
            display("event {number} came again")
        }
    }
}

/// Cuts a stream's bytes behind whole events, so that it can go on elsewhere
/// after the last one.
#[derive(Clone, Debug, Default)]
pub struct WholeEvents {
    open: BytesMut,
    was_line_end: bool,
    last: Option<Name>,
}

impl WholeEvents {
    /// Takes in the next bytes; returns the events that are whole now.
    pub fn take(&mut self, bytes: &[u8]) -> Result<Bytes, Repeated> {
        let mut end = None;
        for (index, byte) in bytes.iter().enumerate() {
            let is_line_end = *byte == b'\n';
            if is_line_end && self.was_line_end {
                end = Some(self.open.len() + index + 1);
            }
            self.was_line_end = is_line_end;
        }
        self.open.extend_from_slice(bytes);
        let Some(end) = end else { return Ok(Bytes::new()) };
        let whole = self.open.split_to(end).freeze();
        for line in whole.split(|byte| *byte == b'\n') {
            let Some(id) = line.strip_prefix(b"id:") else { continue };
            let id = String::from_utf8_lossy(id);
            self.note(id.trim())?;
        }
        Ok(whole)
    }

    fn note(&mut self, id: &str) -> Result<(), Repeated> {
        let number = |id: &str| id.parse::<u64>().ok();
        if let (Some(new), Some(last)) = (number(id), self.last.as_deref().and_then(number))
            && new <= last
        {
            return Err(Repeated::Event(new));
        }
        self.last = Some(id.into());
        Ok(())
    }

    /// Identity of the last whole event.
    pub fn last(&self) -> Option<&str> {
        self.last.as_deref()
    }

    /// Whether an event has begun and is not whole.
    pub fn has_open(&self) -> bool {
        !self.open.is_empty()
    }

    /// Bytes of the event that is not whole.
    pub fn open_bytes(&self) -> usize {
        self.open.len()
    }

    /// Throws away the event that is not whole.
    pub fn drop_open(&mut self) {
        self.open.clear();
        self.was_line_end = false;
    }
}
