//! What instances hold after a restart, and after segments were removed.

mod support;

use std::{fs, path::Path, time::Duration};

use gg_ledger::{
    Capacity, LogEntry, LogFile, LogTime, Node, NodeSettings, PartitionEntry, encode_entry,
};
use gg_metrics::{Metrics, Registry};
use support::{Disks, WAIT_TIMEOUT, free_address, record, request};
use tempfile::TempDir;
use tokio::time::{self, Instant};
use tokio_util::sync::{CancellationToken, DropGuard};

fn turn(name: &str, previous: Option<&str>, text: &str) -> PartitionEntry {
    (0, LogEntry::Turn(record(name, previous, text.into())))
}

fn settle(program: &str, turn: &str) -> PartitionEntry {
    (0, LogEntry::Settle { program: program.into(), turn: turn.into(), tokens: 7 })
}

/// Time in seconds after a log began.
fn at(seconds: u64) -> LogTime {
    LogTime::BEGIN + Duration::from_secs(seconds)
}

/// Appends a segment to the log in a folder.
fn write_segment(folder: &Path, entries: &[(PartitionEntry, LogTime)]) {
    let (mut log, _) = LogFile::open(folder, |_| ()).expect("open");
    let mut encoded = Vec::new();
    for (entry, at) in entries {
        encode_entry(entry, *at, &mut encoded);
    }
    log.append(&encoded).expect("append");
}

async fn start(folder: &Path, log_bytes_min: u64) -> (Node, DropGuard) {
    let capacity = Capacity { memory_bytes: 1 << 30, disk_bytes: u64::MAX, log_bytes_min };
    let settings = NodeSettings {
        listen: free_address(),
        folder: folder.into(),
        capacity,
        memory: gg_http::MemoryBudget::default(),
    };
    let stop = CancellationToken::new();
    let node = Node::start(settings, Metrics::new(&Registry::default()), stop.clone()).await;
    (node.expect("a node"), stop.drop_guard())
}

/// An instance counted all that its log held as used at its start. One that
/// restarted now and then filled up with what had long expired.
#[tokio::test]
async fn expired_turns_stay_expired() {
    let folder = TempDir::new().expect("folder");
    let entries = [
        (turn("old", None, "text"), at(0)),
        (settle("gone", "old"), at(0)),
        (turn("first", None, "a"), at(10)),
        (turn("second", Some("first"), "b"), at(80)),
        (settle("program", "second"), at(80)),
    ];
    write_segment(folder.path(), &entries);
    for _ in 0..3 {
        let (node, _stop) = start(folder.path(), 1 << 20).await;
        assert_eq!(node.len(), (2, 1), "a chain is as young as its last turn");
    }
}

/// Segments are removed once what is needed of them was written again. Nothing
/// that is needed is lost by it, also not after further restarts.
#[tokio::test]
async fn needed_turns_survive_removal() {
    let disks = Disks::new();
    let long = "x".repeat(100_000);
    for disk in &disks.0 {
        let expired = (0..20).map(|number| (turn(&format!("old-{number}"), None, &long), at(0)));
        let needed = [
            (turn("a", None, "a"), at(0)),
            (turn("b", Some("a"), "b"), at(1)),
            (settle("p", "b"), at(1)),
            ((0, LogEntry::Epoch(1)), at(1)),
        ];
        let entries: Vec<_> = expired.chain(needed).collect();
        write_segment(disk.path(), &entries);
        write_segment(disk.path(), &[(turn("c", Some("b"), "c"), at(90))]);
    }
    for _ in 0..2 {
        let deployment = disks.start(1 << 30).await;
        let deadline = Instant::now() + WAIT_TIMEOUT;
        let has_first = || disks.0.iter().any(|disk| disk.path().join("00000001.log").exists());
        while has_first() {
            assert!(Instant::now() < deadline, "the first segments stay");
            time::sleep(Duration::from_millis(50)).await;
        }
        let next = request("p", "next", Some("c"));
        let opened = deployment.ledger.open(&next, deadline).await.expect("opened");
        assert_eq!(opened.history, "abc");
    }
    for disk in &disks.0 {
        let segments =
            fs::read_dir(disk.path()).expect("folder").map(|entry| entry.expect("entry"));
        let bytes: u64 = segments.map(|entry| entry.metadata().expect("metadata").len()).sum();
        assert!(bytes < 100_000, "{bytes}");
    }
}

/// Texts that are on disk only are read again after a restart of all instances.
#[tokio::test]
async fn chains_after_restart() {
    let disks = Disks::new();
    let mut previous: Option<String> = None;
    let mut expected = String::new();
    {
        let deployment = disks.start(1 << 20).await;
        for number in 0..40 {
            let (turn, text) = (format!("t{number}"), format!("{number},"));
            let stored = record(&turn, previous.as_deref(), text.clone());
            deployment
                .ledger
                .close(&support::key("p", &turn), Some(3), stored)
                .await
                .expect("stored");
            expected.push_str(&text);
            previous = Some(turn);
        }
    }
    let deployment = disks.start(1 << 20).await;
    let next = request("p", "next", previous.as_deref());
    let opened = deployment.ledger.open(&next, Instant::now() + WAIT_TIMEOUT).await;
    assert_eq!(opened.expect("opened").history, expected);
}

/// The time for which budgets are retained was forgotten when the segment that
/// held it was removed, and a spent budget was granted again after a restart.
#[tokio::test]
async fn retention_survives_removal() {
    let folder = TempDir::new().expect("folder");
    let retention = (0, LogEntry::Retention(60_000));
    let garbage = turn("old", None, &"x".repeat(3 << 20));
    write_segment(folder.path(), &[(retention, at(0)), (garbage, at(0))]);
    write_segment(folder.path(), &[((0, LogEntry::Epoch(1)), at(500))]);
    {
        let (_node, _stop) = start(folder.path(), 1 << 20).await;
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while folder.path().join("00000001.log").exists() {
            assert!(Instant::now() < deadline, "the first segment stays");
            time::sleep(Duration::from_millis(50)).await;
        }
    }
    write_segment(
        folder.path(),
        &[(settle("p", "t"), at(600)), ((0, LogEntry::Epoch(1)), at(650))],
    );
    let (node, _stop) = start(folder.path(), 1 << 20).await;
    assert_eq!(node.len(), (0, 1), "the account is 50 s old");
}

/// Entries that are never dropped, beyond the size of the log at which segments
/// are removed, were written again without end.
#[tokio::test]
async fn removal_ends() {
    let folder = TempDir::new().expect("folder");
    let unknown = {
        let mut content = vec![0, 200];
        content.resize(100_000, b'u');
        let header = [content.len() as u32, crc32fast::hash(&content)].map(u32::to_le_bytes);
        [header.concat(), content].concat()
    };
    for _ in 0..3 {
        let (mut log, _) = LogFile::open(folder.path(), |_| ()).expect("open");
        log.append(&unknown.repeat(10)).expect("append");
    }
    let (node, _stop) = start(folder.path(), 1).await;
    let newest = || {
        let names = fs::read_dir(folder.path()).expect("folder");
        names.map(|entry| entry.expect("entry").file_name()).max().expect("a segment")
    };
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while folder.path().join("00000003.log").exists() {
        assert!(Instant::now() < deadline, "the third segment stays");
        time::sleep(Duration::from_millis(50)).await;
    }
    let after_pass = newest();
    // Each further pass would begin a segment of 16 MiB after a few rounds.
    time::sleep(Duration::from_secs(2)).await;
    assert_eq!(newest(), after_pass);
    assert!(node.log_bytes() < 4_000_000, "{}", node.log_bytes());
}
