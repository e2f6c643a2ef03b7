//! Logging of a process: each event is one line of `key=value` pairs. A separate
//! thread writes the lines so that requests never wait for log output.

mod logs;
mod writer;

pub use logs::init_logs;
pub use writer::LineWriter;
