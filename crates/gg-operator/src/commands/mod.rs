//! The commands of the command line, one a file.

mod apply;
mod check;
mod digest;
mod drain;
mod explain;
mod line;
mod output;
mod profile;
mod program;
mod status;
mod trace;

pub use line::{CommandLine, run};
