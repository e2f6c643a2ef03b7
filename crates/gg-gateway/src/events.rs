//! The events of a stream, counted in its bytes as they come.

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
