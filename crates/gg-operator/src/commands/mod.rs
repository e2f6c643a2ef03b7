//! Commands of the command line tool, one per file.

mod apply;
mod check;
mod cli;
mod digest;
mod drain;
mod explain;
mod log_lines;
mod output;
mod page;
mod profile;
mod program;
mod report;
mod status;
mod trace;

pub use cli::{CommandLine, run};
