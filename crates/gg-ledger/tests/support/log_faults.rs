//! Changes the log of a stopped instance.

use std::{
    fs::{self, OpenOptions},
    io::Write,
    os::unix::fs::FileExt,
    path::{Path, PathBuf},
    time::Duration,
};

use gg_fakes::Random;
use gg_ledger::{LogEntry, LogFile, LogTime, StoredContent, encode_entry};

use crate::support::record;

/// Segments of a log and their sizes, oldest first.
pub fn segments(folder: &Path) -> Vec<(PathBuf, u64)> {
    let paths = fs::read_dir(folder).expect("folder").map(|entry| entry.expect("entry").path());
    let mut segments: Vec<PathBuf> =
        paths.filter(|path| path.extension().is_some_and(|ending| ending == "log")).collect();
    segments.sort();
    // A segment may be removed meanwhile.
    let sized = segments.into_iter().filter_map(|path| {
        let bytes = fs::metadata(&path).ok()?.len();
        Some((path, bytes))
    });
    sized.collect()
}

/// Number of a segment.
pub fn segment_number(path: &Path) -> usize {
    let stem = path.file_stem().and_then(|stem| stem.to_str()).expect("name");
    stem.parse().expect("number")
}

/// Lets time pass on the clock of a stopped instance's log.
pub fn advance_clock(folder: &Path, step: Duration) {
    let mut newest = LogTime::BEGIN;
    let (mut log, _) = LogFile::open(folder, |stored| {
        if let StoredContent::Known(_, Some(at)) = stored.content {
            newest = newest.max(at);
        }
    })
    .expect("open");
    let mut encoded = Vec::new();
    encode_entry(&(0, LogEntry::Epoch(1)), newest + step, &mut encoded);
    log.append(&encoded).expect("append");
}

/// Leaves an interrupted write at the end of the newest segment that holds any.
pub fn tear(folder: &Path, random: &mut Random) {
    let Some((newest, _)) = written(folder).pop() else { return };
    let entry = (0, LogEntry::Turn(record("torn", None, "text".repeat(50))));
    let mut torn = Vec::new();
    let bytes = encode_entry(&entry, LogTime::BEGIN, &mut torn);
    torn.truncate(random.between(1, bytes as u64) as usize);
    if random.chance(0.5) {
        torn.fill_with(|| random.between(0, 256) as u8);
    }
    let mut file = OpenOptions::new().append(true).open(newest).expect("segment");
    file.write_all(&torn).expect("append");
}

/// Flips a bit in the newest segment but one.
pub fn damage(folder: &Path, random: &mut Random) {
    let Some((path, bytes)) = written(folder).into_iter().nth_back(1) else { return };
    let file = OpenOptions::new().read(true).write(true).open(path).expect("segment");
    let (mut byte, offset) = ([0], random.between(0, bytes));
    file.read_exact_at(&mut byte, offset).expect("read");
    file.write_all_at(&[byte[0] ^ 0x10], offset).expect("write");
}

fn written(folder: &Path) -> Vec<(PathBuf, u64)> {
    segments(folder).into_iter().filter(|(_, bytes)| *bytes > 0).collect()
}
