//! Writes the log of an instance with histories: programs of a few turns, and one
//! long chain whose turns stand among theirs.

use std::{io, path::Path};

use gg_ledger::{LogEntry, LogFile, LogTime, PartitionEntry, TurnRecord, encode_entry};
use gg_protocol::Name;

pub const TEXT_BYTES: usize = 5_000;
pub const TURNS_PER_PROGRAM: usize = 6;
pub const LONG_TURNS: usize = 580;
pub const LONG_TEXT_BYTES: usize = 1_000_000 / LONG_TURNS;
const KEEP_MS: u32 = 600_000;
/// Bytes that are synced at a time.
const APPEND_BYTES: usize = 4 << 20;

/// Writes the turns of all programs in turn, and the long chain among them.
pub fn write_log(folder: &Path, programs: usize) -> io::Result<()> {
    let (mut log, _) = LogFile::open(folder, |_| ())?;
    let mut encoded = Vec::new();
    let total = programs * TURNS_PER_PROGRAM;
    let mut long_turns = 0;
    for number in 0..total {
        let (program, turn) = (number % programs, number / programs);
        let previous = turn.checked_sub(1).map(|turn| turn_name(program, turn));
        let stored = record(turn_name(program, turn), previous, TEXT_BYTES);
        push(name("program", program, 0), stored, &mut encoded);
        while long_turns < LONG_TURNS * (number + 1) / total {
            let previous = long_turns.checked_sub(1).map(|turn| name("long", turn, 0));
            let stored = record(name("long", long_turns, 0), previous, LONG_TEXT_BYTES);
            push("long".into(), stored, &mut encoded);
            long_turns += 1;
        }
        if encoded.len() >= APPEND_BYTES || number + 1 == total {
            log.append(&encoded)?;
            encoded.clear();
        }
    }
    Ok(())
}

fn push(program: Name, stored: TurnRecord, encoded: &mut Vec<u8>) {
    let turn = stored.turn.clone();
    let reserve = LogEntry::Reserve { program: program.clone(), turn: turn.clone(), tokens: 10 };
    let settle = LogEntry::Settle { program, turn, tokens: 7 };
    for entry in [reserve, LogEntry::Turn(stored), settle] {
        let entry: PartitionEntry = (0, entry);
        encode_entry(&entry, LogTime::BEGIN, encoded);
    }
}

pub fn record(turn: Name, previous: Option<Name>, bytes: usize) -> TurnRecord {
    let text = vec![b'x'; bytes].into();
    TurnRecord { turn, previous, text, upstream: "replica-of-a-service".into(), keep_ms: KEEP_MS }
}

pub fn programs(megabytes: usize) -> usize {
    megabytes * 1_000_000 / (TEXT_BYTES * TURNS_PER_PROGRAM)
}

pub fn turn_name(program: usize, turn: usize) -> Name {
    name("turn", program, turn)
}

/// A name as long as a UUID.
pub fn name(kind: &str, number: usize, part: usize) -> Name {
    format!("{kind:>8}-{number:018}-{part:08}").into()
}
