//! The on-disk log: torn tails, checkpoints and disk identity.

use std::{fs, path::Path};

use gg_ledger::{
    LogEntry, LogFile, LogSettings, PartitionEntry, RecoveryStats, TurnRecord, encode_entry,
};
use proptest::prelude::*;
use tempfile::TempDir;

fn settings(folder: &Path) -> LogSettings {
    LogSettings { folder: folder.into(), checkpoint_bytes: 1 << 20 }
}

/// Opens the log and also returns its entries.
fn open(folder: &Path) -> (LogFile, RecoveryStats, Vec<PartitionEntry>) {
    let mut entries = Vec::new();
    let (log, recovered) =
        LogFile::open(settings(folder), |entry| entries.push(entry)).expect("open");
    assert_eq!(recovered.entries, entries.len());
    (log, recovered, entries)
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
    entries.iter().for_each(|entry| encode_entry(entry, &mut buffer));
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

#[test]
fn checkpoint_replaces_older_entries() {
    let folder = TempDir::new().expect("folder");
    let (mut log, ..) = open(folder.path());
    let entries: Vec<_> = (0..50).map(entry).collect();
    log.append(&encoded(&entries)).expect("append");
    log.checkpoint(&entries[40..]).expect("checkpoint");
    log.append(&encoded(&[entry(50)])).expect("append");
    drop(log);
    fs::write(folder.path().join("00000099.tmp"), b"unfinished").expect("write");
    let expected: Vec<_> = (40..51).map(entry).collect();
    assert_eq!(open(folder.path()).2, expected);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(60))]

    /// Whatever a power loss leaves of the tail, synced entries survive, the
    /// recovered entries are a prefix of the written ones, and later reads
    /// return the same ones.
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
        fs::write(&path, &content).expect("write");
        let (mut log, _, found) = open(folder.path());
        prop_assert!(found.len() >= synced);
        prop_assert_eq!(&found[..], &entries[..found.len()]);
        log.append(&encoded(&[entry(999)])).expect("append");
        drop(log);
        let (.., again) = open(folder.path());
        prop_assert_eq!(&again[..found.len()], &found[..]);
        prop_assert_eq!(again.last(), Some(&entry(999)));
    }
}
