//! Chains and accounts in memory.

use std::time::{Duration, Instant};

use gg_ledger::{Index, LastRun, LogEntry, TurnRecord};

fn turn(name: &str, previous: Option<&str>, text: &str) -> LogEntry {
    LogEntry::Turn(TurnRecord {
        turn: name.into(),
        previous: previous.map(Into::into),
        text: text.to_owned().into(),
        upstream: format!("replica-{name}").into(),
        keep_ms: 60_000,
    })
}

fn reserve(turn: &str, tokens: u32) -> LogEntry {
    LogEntry::Reserve { program: "p".into(), turn: turn.into(), tokens }
}

fn settle(turn: &str, tokens: u32) -> LogEntry {
    LogEntry::Settle { program: "p".into(), turn: turn.into(), tokens }
}

#[test]
fn chains_with_branches() {
    let (mut index, now) = (Index::default(), Instant::now());
    for entry in [
        turn("c", Some("a"), "c"),
        turn("b", Some("a"), "b"),
        turn("a", None, "a"),
        turn("d", Some("b"), "d"),
    ] {
        index.apply(entry, now);
    }
    let chain = index.chain(&"d".into(), now);
    assert_eq!((&*chain.text, chain.missing), (&b"abd"[..], None));
    assert_eq!(chain.upstream.as_deref(), Some("replica-d"));
    assert_eq!(&*index.chain(&"c".into(), now).text, b"ac");
}

#[test]
fn chain_with_missing_turn() {
    let (mut index, now) = (Index::default(), Instant::now());
    index.apply(turn("c", Some("b"), "c"), now);
    let chain = index.chain(&"c".into(), now);
    assert_eq!((&*chain.text, chain.missing.as_deref()), (&b"c"[..], Some("b")));
    let unknown = index.chain(&"x".into(), now);
    assert_eq!((unknown.text.len(), unknown.missing.as_deref()), (0, Some("x")));
}

#[test]
fn accounts_are_idempotent() {
    let (mut index, now) = (Index::default(), Instant::now());
    index.apply(reserve("a", 100), now);
    index.apply(reserve("b", 50), now);
    assert_eq!(index.others("p", "c"), 150);
    assert_eq!(index.others("p", "a"), 50, "a turn's own tokens are excluded");
    index.apply(settle("a", 30), now);
    assert_eq!(index.others("p", "c"), 80);
    index.apply(reserve("a", 100), now);
    index.apply(settle("a", 30), now);
    assert_eq!(index.others("p", "c"), 80, "repeated and late entries change nothing");
}

#[test]
fn copy_from_entries() {
    let (mut index, now) = (Index::default(), Instant::now());
    index.apply(turn("a", None, "a"), now);
    index.apply(reserve("a", 9), now);
    index.apply(settle("a", 4), now);
    let mut copy = Index::default();
    index.entries().into_iter().for_each(|entry| copy.apply(entry, now));
    assert_eq!(copy.others("p", "x"), 4);
    assert_eq!(&*copy.chain(&"a".into(), now).text, b"a");
}

#[test]
fn unused_turns_expire() {
    let (mut index, start) = (Index::default(), Instant::now());
    let margin = Duration::from_secs(1);
    index.apply(turn("a", None, "a"), start);
    index.apply(turn("b", Some("a"), "b"), start);
    let later = start + Duration::from_secs(50);
    index.chain(&"a".into(), later);
    index.expire(start + Duration::from_secs(70), margin);
    assert!(index.contains_turn("a"), "chains are retained while they are used");
    assert!(!index.contains_turn("b"));
    index.expire(later + Duration::from_secs(62), margin);
    assert!(index.is_empty());
}

/// Accounts without turns are retained as long as requested, also in a copy.
#[test]
fn accounts_without_turns() {
    let (mut index, start) = (Index::default(), Instant::now());
    let margin = Duration::from_secs(1);
    index.apply(LogEntry::Retention(60_000), start);
    index.apply(settle("a", 30), start);
    let mut copy = Index::default();
    index.entries().into_iter().for_each(|entry| copy.apply(entry, start));
    for index in [&mut index, &mut copy] {
        index.expire(start + Duration::from_secs(60), margin);
        assert_eq!(index.others("p", "x"), 30);
        assert!(index.has_account("p"));
        index.expire(start + Duration::from_secs(62), margin);
        assert!(!index.has_account("p"));
    }
}

/// A branch returns to its replica, and a new branch to that of the program's
/// last turn. The number of branches per program is bounded.
#[test]
fn last_run_per_branch() {
    let (mut index, now) = (Index::default(), Instant::now());
    let run =
        |branch: &str, upstream: &str| LastRun { branch: branch.into(), upstream: upstream.into() };
    index.record_run("p", run("l1", "r1"));
    assert_eq!(index.last_run("p", "l1"), None, "a program without an account");
    index.apply(reserve("a", 9), now);
    index.record_run("p", run("l1", "r1"));
    index.record_run("p", run("l2", "r2"));
    assert_eq!(index.last_run("p", "l1").as_deref(), Some("r1"));
    assert_eq!(index.last_run("p", "new").as_deref(), Some("r2"));
    index.record_run("p", run("l1", "r3"));
    assert_eq!(index.last_run("p", "l1").as_deref(), Some("r3"));
    for branch in 0..20 {
        index.record_run("p", run(&format!("m{branch}"), "r4"));
    }
    assert_eq!(
        index.last_run("p", "l1").as_deref(),
        Some("r4"),
        "the oldest branches were evicted"
    );
    assert_eq!(index.last_run("q", "l1"), None);
}

/// The reported memory use grows with the applied entries and returns to zero
/// when they expire, however often an entry is applied.
#[test]
fn memory_use_returns_to_zero() {
    let (mut index, start) = (Index::default(), Instant::now());
    for _ in 0..3 {
        index.apply(turn("a", None, &"x".repeat(10_000)), start);
        index.apply(reserve("a", 9), start);
        index.apply(settle("a", 4), start);
    }
    assert!((10_000..11_000).contains(&index.bytes()), "{}", index.bytes());
    index.expire(start + Duration::from_secs(99), Duration::from_secs(1));
    assert_eq!(index.bytes(), 0);
}
