//! Bounds the memory of the histories of ended programs.

use std::sync::Arc;

use gg_program::State;

use crate::{home::HostedProgram, lock::lock};

/// Memory, in bytes, of the histories of ended programs that are kept to be read.
const ENDED_HISTORIES_BYTES: usize = 16 << 20;

/// Drops the histories of those programs that ended first, while all of them take too much
/// memory. Their turns can still be read.
pub(crate) fn drop_excess(programs: &[Arc<HostedProgram>]) {
    let ended_at = |hosted: &HostedProgram| match lock(&hosted.program).state {
        State::Ended { at_ms, .. } => Some(at_ms),
        State::Running => None,
    };
    let mut ended: Vec<_> = programs
        .iter()
        // A step in progress refers to the history.
        .filter(|hosted| lock(&hosted.running).is_none())
        .filter_map(|hosted| Some((ended_at(hosted)?, hosted)))
        .collect();
    ended.sort_by_key(|(at_ms, _)| std::cmp::Reverse(*at_ms));
    let mut kept = 0;
    for (_, hosted) in ended {
        let mut program = lock(&hosted.program);
        let bytes = program.history_bytes();
        if bytes > 0 && kept + bytes > ENDED_HISTORIES_BYTES {
            program.history = Vec::new();
            hosted.memory.settle(0);
            log::info!("event=history_dropped program={} bytes={bytes}", program.id());
        } else {
            kept += bytes;
        }
    }
}
