//! Chains of which members lack a part, because they were down when it was
//! stored.

mod support;

use std::{path::Path, time::Duration};

use gg_ledger::{LedgerError, LogEntry, LogFile, LogTime, encode_entry};
use support::{Deployment, Disks, WAIT_TIMEOUT, key, record, request};
use tokio::time::Instant;

/// Number of turns in the chain, ten seconds apart: longer than turns are
/// retained.
const TURNS: usize = 12;

fn name(number: usize) -> String {
    format!("c{number}")
}

/// Text of the first `count` turns.
fn text(count: usize) -> String {
    (0..count).map(|number| format!("{number},")).collect()
}

/// Writes the chain to a disk that lacks these turns.
fn write_chain(folder: &Path, lacking: &[usize]) {
    let (mut log, _) = LogFile::open(folder, |_| ()).expect("open");
    let mut encoded = Vec::new();
    for number in (0..TURNS).filter(|number| !lacking.contains(number)) {
        let previous = number.checked_sub(1).map(name);
        let turn = record(&name(number), previous.as_deref(), format!("{number},"));
        let at = LogTime::BEGIN + Duration::from_secs(10 * number as u64);
        encode_entry(&(0, LogEntry::Turn(turn)), at, &mut encoded);
    }
    log.append(&encoded).expect("append");
}

/// Opens a turn that continues `previous`, and records it as a gateway does.
async fn run_turn(deployment: &Deployment, turn: &str, previous: &str, history: &str) -> bool {
    let next = request("p", turn, Some(previous));
    let opened = deployment.ledger.open(&next, Instant::now() + WAIT_TIMEOUT).await;
    let opened = opened.expect("a stored chain");
    assert_eq!(opened.history, history);
    let stored = match opened.needs_history {
        true => record(turn, None, format!("{history}{turn},")),
        false => record(turn, Some(previous), format!("{turn},")),
    };
    deployment.ledger.close(&key("p", turn), Some(1), stored).await.expect("stored");
    opened.needs_history
}

/// Two members that lacked one turn each let the turns before it expire; both
/// then denied them, and a stored chain was answered as unknown.
#[tokio::test]
async fn chain_with_two_gaps() {
    let disks = Disks::new();
    for (disk, lacking) in disks.0.iter().zip([2, 1, TURNS]) {
        write_chain(disk.path(), &[lacking]);
    }
    let deployment = disks.start(1 << 30).await;
    let last = name(TURNS - 1);
    for attempt in 0..20 {
        let next = request("p", &format!("attempt-{attempt}"), Some(&last));
        let opened = deployment.ledger.open(&next, Instant::now() + WAIT_TIMEOUT).await;
        let opened = opened.expect("a stored chain");
        assert_eq!(opened.history, text(TURNS));
        assert!(opened.needs_history, "a member lacks a part");
    }
}

/// The turn behind a gap holds the whole history, so the members that lacked a
/// part hold the chain again, and those behind it are stored as usual.
#[tokio::test]
async fn gaps_are_closed() {
    let disks = Disks::new();
    for (disk, lacking) in disks.0.iter().zip([2, 1, TURNS]) {
        write_chain(disk.path(), &[lacking]);
    }
    let deployment = disks.start(1 << 30).await;
    let history = text(TURNS);
    assert!(run_turn(&deployment, "x", &name(TURNS - 1), &history).await);
    assert!(!run_turn(&deployment, "y", "x", &format!("{history}x,")).await, "no gap any more");
    assert!(!run_turn(&deployment, "z", "y", &format!("{history}x,y,")).await);
}

/// A turn that no member has is still denied.
#[tokio::test]
async fn unknown_turn_is_denied() {
    let disks = Disks::new();
    disks.0.iter().for_each(|disk| write_chain(disk.path(), &[]));
    let deployment = disks.start(1 << 30).await;
    let next = request("p", "next", Some("unknown"));
    let opened = deployment.ledger.open(&next, Instant::now() + WAIT_TIMEOUT).await;
    assert_eq!(opened.expect_err("unknown"), LedgerError::NoSuchTurn);
    assert!(!run_turn(&deployment, "x", &name(TURNS - 1), &text(TURNS)).await, "no gap");
}
