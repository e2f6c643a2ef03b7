//! The on-disk log: torn tails, removed segments and disk identity.

use std::{fs, path::Path};

use gg_ledger::{
    LogEntry, LogFile, LogTime, PartitionEntry, RecoveryStats, StoredContent, StoredEntry,
    TurnRecord, encode_entry,
};
use proptest::prelude::*;
use tempfile::TempDir;

/// Log time of the entries.
const TIME: LogTime = LogTime(77);

/// Opens the log and also returns its entries.
fn open(folder: &Path) -> (LogFile, RecoveryStats, Vec<PartitionEntry>) {
    let mut entries = Vec::new();
    let (log, recovered) = LogFile::open(folder, |entry| entries.push(known(entry))).expect("open");
    assert_eq!(recovered.entries, entries.len());
    (log, recovered, entries)
}

fn known(stored: StoredEntry) -> PartitionEntry {
    match stored.content {
        StoredContent::Known(entry, at) => {
            assert_eq!(at, Some(TIME));
            entry
        }
        StoredContent::Unknown(_) => panic!("an entry of an unknown kind"),
    }
}

fn entry(number: usize) -> PartitionEntry {
    let record = LogEntry::Turn(TurnRecord {
        turn: format!("turn-{number}").into(),
        previous: None,
        text: vec![b'x'; number % 90].into(),
        upstream: "replica".into(),
        keep_ms: 1,
    });
    (number as u16 % 3, record)
}

fn encoded(entries: &[PartitionEntry]) -> Vec<u8> {
    let mut buffer = Vec::new();
    entries.iter().for_each(|entry| {
        encode_entry(entry, TIME, &mut buffer);
    });
    buffer
}

fn last_segment(folder: &Path) -> std::path::PathBuf {
    let names = fs::read_dir(folder).expect("folder").map(|entry| entry.expect("entry").path());
    let mut segments: Vec<_> = names.filter(|path| path.extension().is_some()).collect();
    segments.sort();
    segments.pop().expect("a segment")
}

#[test]
fn entries_survive_restart() {
    let folder = TempDir::new().expect("folder");
    let (mut log, first, _) = open(folder.path());
    let entries: Vec<_> = (0..20).map(entry).collect();
    log.append(&encoded(&entries[..10])).expect("append");
    drop(log);
    let (mut log, second, found) = open(folder.path());
    assert_eq!(found, entries[..10]);
    log.append(&encoded(&entries[10..])).expect("append");
    drop(log);
    let (_, third, found) = open(folder.path());
    assert_eq!(found, entries);
    assert_eq!((first.disk, second.disk), (third.disk, third.disk), "the same disk");
}

#[test]
fn new_folder_gets_new_identity() {
    let folders = [TempDir::new().expect("folder"), TempDir::new().expect("folder")];
    let disks = folders.map(|folder| open(folder.path()).1.disk);
    assert_ne!(disks[0], disks[1], "an empty folder gets a new identity");
}

/// The oldest segment is removed once the entries that are needed of it were
/// appended; all others stay, also after a restart. What an unfinished
/// checkpoint of an earlier version left is removed.
#[test]
fn needed_entries_survive_removal() {
    let folder = TempDir::new().expect("folder");
    let entries: Vec<_> = (0..50).map(entry).collect();
    let (mut log, ..) = open(folder.path());
    assert!(!log.is_removal_due(0), "the only segment is never removed");
    log.append(&encoded(&entries)).expect("append");
    drop(log);
    let (mut log, ..) = open(folder.path());
    log.append(&encoded(&[entry(50)])).expect("append");
    let first_segment = folder.path().join("00000001.log");
    while first_segment.exists() {
        assert!(log.is_removal_due(0));
        let oldest = log.read_oldest().expect("read");
        let needed: Vec<_> = oldest.iter().cloned().map(known).collect();
        let needed = needed.iter().position(|known| *known == entries[40]).map(|at| &needed[at..]);
        let needed = encoded(needed.unwrap_or_default());
        log.append(&needed).expect("append");
        log.advance(&oldest, needed.len() as u64).expect("advance");
    }
    drop(log);
    fs::write(folder.path().join("00000099.tmp"), b"unfinished").expect("write");
    let expected: Vec<_> = [50].into_iter().chain(40..50).map(entry).collect();
    assert_eq!(open(folder.path()).2, expected);
    assert!(!folder.path().join("00000099.tmp").exists());
}

/// Single entries are read at their locations while others are appended.
#[test]
fn entries_at_locations() {
    let folder = TempDir::new().expect("folder");
    let entries: Vec<_> = (0..20).map(entry).collect();
    let (mut log, ..) = open(folder.path());
    log.append(&encoded(&entries[..7])).expect("append");
    log.append(&encoded(&entries[7..])).expect("append");
    drop(log);
    let mut locations = Vec::new();
    let opened = LogFile::open(folder.path(), |stored| locations.push(stored.location));
    let (log, _) = opened.expect("open");
    let read = locations.iter().map(|location| log.reader().read(*location).expect("read"));
    assert_eq!(read.collect::<Vec<_>>(), entries);
    let wrong = gg_ledger::Location { offset: 1, ..locations[0] };
    assert!(log.reader().read(wrong).is_err());
}

/// A damaged text, whose bytes look like lengths of entries, cut off all entries
/// that followed as if a power loss had torn them.
#[test]
fn damaged_binary_text() {
    let folder = TempDir::new().expect("folder");
    let (mut log, ..) = open(folder.path());
    let mut state = 88_172_645_463_325_252_u64;
    let mut random = || {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        (state >> 32) as u8
    };
    let turn = |number: usize, text: Vec<u8>| {
        let (turn, upstream) = (format!("turn-{number}").into(), "replica".into());
        let text = text.into();
        (0, LogEntry::Turn(TurnRecord { turn, previous: None, text, upstream, keep_ms: 1 }))
    };
    let entries: Vec<_> =
        (0..600).map(|number| turn(number, (0..8_000).map(|_| random()).collect())).collect();
    log.append(&encoded(&entries)).expect("append");
    drop(log);
    let path = folder.path().join("00000001.log");
    let mut content = fs::read(&path).expect("read");
    let damaged = encoded(&entries[..100]).len() + 300;
    content[damaged] ^= 1;
    fs::write(&path, &content).expect("write");
    let (_, recovered, found) = open(folder.path());
    assert_eq!(found.len(), 599);
    assert_eq!((recovered.torn_bytes, recovered.damaged_bytes > 8_000), (0, true));
    assert_eq!(fs::read(&path).expect("read"), content, "nothing is cut off");
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(60))]

    /// Whatever a power loss leaves of the tail, every entry that is whole on disk
    /// is recovered, in order, and later reads return the same ones.
    #[test]
    fn torn_tail_is_truncated(synced in 0usize..20, unsynced in 1usize..20, keep in 0.0f64..1.0, flip: bool) {
        let folder = TempDir::new().expect("folder");
        let (mut log, ..) = open(folder.path());
        let entries: Vec<_> = (0..synced + unsynced).map(entry).collect();
        let synced_bytes = encoded(&entries[..synced]).len();
        log.append(&encoded(&entries)).expect("append");
        drop(log);
        let path = last_segment(folder.path());
        let mut content = fs::read(&path).expect("read");
        let cut = synced_bytes + ((content.len() - synced_bytes) as f64 * keep) as usize;
        match flip {
            true if cut < content.len() => content[cut] ^= 0xff,
            _ => content.truncate(cut),
        }
        let is_whole = |index: &usize| {
            let (start, end) = (encoded(&entries[..*index]).len(), encoded(&entries[..=*index]).len());
            end <= content.len() && !(flip && (start..end).contains(&cut))
        };
        let whole: Vec<_> = (0..entries.len()).filter(is_whole).map(entry).collect();
        fs::write(&path, &content).expect("write");
        let (mut log, _, found) = open(folder.path());
        prop_assert!(whole.len() >= synced);
        prop_assert_eq!(&found, &whole);
        log.append(&encoded(&[entry(999)])).expect("append");
        drop(log);
        let (.., again) = open(folder.path());
        prop_assert_eq!(&again[..found.len()], &found[..]);
        prop_assert_eq!(again.last(), Some(&entry(999)));
    }
}
