//! Chains and accounts in memory.

use std::time::Duration;

use gg_ledger::{Index, LastRun, Location, LogEntry, LogTime, StoredText, TurnRecord};

/// Any time after a log began.
const START: LogTime = LogTime::BEGIN;

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

/// Text of the chain that ends with a turn, whose texts are all in memory.
fn text(index: &mut Index, turn: &str, now: LogTime) -> String {
    let texts = index.chain(&turn.into(), now).texts.into_iter().map(|text| match text {
        StoredText::Loaded(text) => String::from_utf8(text.into()).expect("text"),
        StoredText::Logged(location) => panic!("not in memory: {location:?}"),
    });
    texts.collect()
}

#[test]
fn chains_with_branches() {
    let (mut index, now) = (Index::default(), START);
    for entry in [
        turn("c", Some("a"), "c"),
        turn("b", Some("a"), "b"),
        turn("a", None, "a"),
        turn("d", Some("b"), "d"),
    ] {
        index.apply(entry, now);
    }
    let chain = index.chain(&"d".into(), now);
    assert_eq!(chain.missing, None);
    assert_eq!(chain.upstream.as_deref(), Some("replica-d"));
    assert_eq!(text(&mut index, "d", now), "abd");
    assert_eq!(text(&mut index, "c", now), "ac");
}

#[test]
fn chain_with_missing_turn() {
    let (mut index, now) = (Index::default(), START);
    index.apply(turn("c", Some("b"), "c"), now);
    let chain = index.chain(&"c".into(), now);
    assert_eq!(chain.missing.as_deref(), Some("b"));
    assert_eq!(text(&mut index, "c", now), "c");
    let unknown = index.chain(&"x".into(), now);
    assert_eq!((unknown.texts.len(), unknown.missing.as_deref()), (0, Some("x")));
}

#[test]
fn accounts_are_idempotent() {
    let (mut index, now) = (Index::default(), START);
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

/// A copy of the accounts, and of a turn if it is needed.
fn copy(index: &Index, turn: &LogEntry) -> Index {
    let mut copy = Index::default();
    index.account_entries().into_iter().for_each(|(entry, at)| copy.apply(entry, at));
    index.retention_entry().into_iter().for_each(|entry| copy.apply(entry, START));
    if let LogEntry::Turn(record) = turn
        && let Some((_, _, used)) = index.turn(&record.turn)
    {
        copy.apply(turn.clone(), used);
    }
    copy
}

#[test]
fn copy_from_entries() {
    let (mut index, now) = (Index::default(), START);
    index.apply(turn("a", None, "a"), now);
    index.apply(reserve("a", 9), now);
    index.apply(settle("a", 4), now);
    let copy = copy(&index, &turn("a", None, "a"));
    assert_eq!(copy.others("p", "x"), 4);
    assert!(copy.contains_turn("a"));
}

#[test]
fn unused_turns_expire() {
    let (mut index, start) = (Index::default(), START);
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
    let (mut index, start) = (Index::default(), START);
    let margin = Duration::from_secs(1);
    index.apply(LogEntry::Retention(60_000), start);
    index.apply(settle("a", 30), start);
    let mut copy = copy(&index, &LogEntry::DropPartition);
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
    let (mut index, now) = (Index::default(), START);
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
    let (mut index, start) = (Index::default(), START);
    for _ in 0..3 {
        index.apply(turn("a", None, &"x".repeat(10_000)), start);
        index.apply(reserve("a", 9), start);
        index.apply(settle("a", 4), start);
    }
    let memory = index.bytes().memory();
    assert!((10_000..11_000).contains(&memory), "{memory}");
    index.expire(start + Duration::from_secs(99), Duration::from_secs(1));
    assert_eq!(index.bytes(), gg_ledger::IndexBytes::default());
}

/// Texts that are in the log leave memory; those that aren't stay.
#[test]
fn texts_are_unloaded() {
    let (mut index, location) = (Index::default(), Location { segment: 1, offset: 5, bytes: 200 });
    index.apply(turn("a", None, "a"), START);
    index.apply(turn("b", Some("a"), "b"), START);
    assert!(index.set_location("a", Location { segment: 0, ..location }));
    assert!(!index.set_location("a", location), "the turn was moved");
    assert!(!index.set_location("x", location), "an unknown turn");
    assert_eq!(text(&mut index, "b", START), "ab");
    ["a", "b"].into_iter().for_each(|turn| index.unload(turn));
    let chain = index.chain(&"b".into(), START);
    assert_eq!(chain.texts, [StoredText::Logged(location), StoredText::Loaded("b".into())]);
    assert_eq!(index.bytes().texts, 1);
}

/// Members that served no read lost the beginning of a chain that was still
/// being continued, as only reads extended its retention.
#[test]
fn continued_chains_are_retained() {
    let (mut index, margin) = (Index::default(), Duration::from_secs(1));
    let mut now = START;
    for (number, name) in ["a", "b", "c", "d"].into_iter().enumerate() {
        now = START + Duration::from_secs(50 * number as u64);
        let previous = ["a", "b", "c"].get(number.wrapping_sub(1)).copied();
        index.apply(turn(name, previous, name), now);
        index.expire(now, margin);
    }
    assert_eq!(text(&mut index, "d", now), "abcd");
    index.expire(now + Duration::from_secs(62), margin);
    assert!(index.is_empty());
}
