//! Logs of a process: one line of key=value pairs for each event, written by
//! a thread of its own so that no request waits for it.

mod logs;
mod writer;

pub use logs::init_logs;
pub use writer::LineWriter;
