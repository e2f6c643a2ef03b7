//! Entries that can't be read cost nothing of what follows them, and stay in
//! their segment.

mod support;

use std::{fs, path::Path};

use gg_ledger::OpenRequest;
use support::{
    WAIT_TIMEOUT, free_address,
    recorded::{self, Entry, KEEP_MS, Record, frame_entry, program_in},
    request, settings, start_single,
};
use tempfile::TempDir;
use tokio::time::Instant;

/// Position of a kind of entry that no version has.
const UNKNOWN_KIND: u8 = 200;

/// Size of an entry's header.
const HEADER_BYTES: usize = 8;

/// A stored turn as it stands in a segment.
fn turn(name: &str, previous: Option<&str>) -> Vec<u8> {
    let entry = Entry::Turn(Record {
        turn: name.into(),
        previous: previous.map(Into::into),
        text: format!("{name}. ").into_bytes(),
        upstream: "replica".into(),
        keep_ms: KEEP_MS,
    });
    frame_entry(&postcard::to_allocvec(&(0_u16, entry)).expect("encoded"))
}

/// An entry with a valid checksum that no version decodes.
fn unknown() -> Vec<u8> {
    frame_entry(&[0, UNKNOWN_KIND, 1, 7, 7, 7])
}

/// A turn whose text has changed on the disk.
fn damaged() -> Vec<u8> {
    let mut entry = turn("damaged", None);
    let middle = HEADER_BYTES + (entry.len() - HEADER_BYTES) / 2;
    entry[middle] ^= 0xff;
    entry
}

fn write_segment(folder: &Path, number: u32, entries: &[Vec<u8>]) {
    fs::write(folder.join(format!("{number:08}.log")), entries.concat()).expect("written");
}

/// A disk with two segments; `entry` is in the middle of the older one.
fn disk(entry: Vec<u8>) -> TempDir {
    let folder = TempDir::new().expect("folder");
    fs::write(folder.path().join("identity"), format!("{}\n", recorded::DISK)).expect("written");
    let first = turn("turn-1", None);
    write_segment(folder.path(), 1, &[first, entry, turn("turn-2", Some("turn-1"))]);
    write_segment(folder.path(), 2, &[turn("turn-3", Some("turn-2"))]);
    folder
}

/// Starts an instance twice on a disk, and reads the chain of all turns.
async fn assert_served(disk: &TempDir) {
    let written = recorded::segments(disk.path());
    for run in 1..=2 {
        let single = start_single(settings(free_address(), disk.path(), usize::MAX)).await;
        let next = OpenRequest { budget: None, ..request(&program_in(0), "next", Some("turn-3")) };
        let opened = single.ledger.open(&next, Instant::now() + WAIT_TIMEOUT).await;
        let history = opened.map(|opened| opened.history);
        assert_eq!(history.as_deref().ok(), Some(&b"turn-1. turn-2. turn-3. "[..]), "run {run}");
        let segments = recorded::segments(disk.path());
        assert!(segments.len() >= written.len(), "run {run}: a segment is gone");
        for (found, before) in segments.iter().zip(&written) {
            assert_eq!((&found.0, found.1.len()), (&before.0, before.1.len()), "run {run}");
            assert!(found.1 == before.1, "run {run}: {} was rewritten", found.0);
        }
    }
}

#[tokio::test]
async fn sound_segments() {
    assert_served(&disk(turn("sound", None))).await;
}

/// A later version wrote a kind of entry that this one doesn't know.
#[tokio::test]
async fn unknown_kind() {
    assert_served(&disk(unknown())).await;
}

#[tokio::test]
async fn damaged_entry() {
    assert_served(&disk(damaged())).await;
}

/// The damage hides where the next entry begins.
#[tokio::test]
async fn damaged_length() {
    let mut entry = turn("damaged", None);
    entry[..4].copy_from_slice(&u32::MAX.to_le_bytes());
    assert_served(&disk(entry)).await;
}

/// The instance serves what surrounds an unknown entry in its newest segment, to
/// which it appends nothing.
#[tokio::test]
async fn unknown_kind_in_newest() {
    let disk = disk(turn("sound", None));
    let last = [turn("turn-3", Some("turn-2")), unknown(), turn("turn-4", None)];
    write_segment(disk.path(), 2, &last);
    assert_served(&disk).await;
}

/// Entries written after a restart are read beside the unknown one.
#[tokio::test]
async fn append_after_unknown() {
    let disk = disk(unknown());
    let program = program_in(0);
    let kept = OpenRequest { keep_ms: Some(KEEP_MS), ..request(&program, "reserved", None) };
    {
        let single = start_single(settings(free_address(), disk.path(), usize::MAX)).await;
        single.ledger.open(&kept, Instant::now() + WAIT_TIMEOUT).await.expect("opened");
    }
    assert_served(&disk).await;
    let single = start_single(settings(free_address(), disk.path(), usize::MAX)).await;
    let program = program.as_str().into();
    assert!(single.ledger.has_account(&program, Instant::now() + WAIT_TIMEOUT).await);
}
