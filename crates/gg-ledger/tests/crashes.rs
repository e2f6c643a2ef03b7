//! Facts about requests that crash replicas.

use std::time::{Duration, Instant};

use gg_ledger::{AgedFact, CrashFact, CrashFacts, RequestFingerprint};
use proptest::prelude::*;

const HOUR: Duration = Duration::from_secs(3_600);

fn fingerprint(head: u64) -> RequestFingerprint {
    RequestFingerprint { head, body: 1, caller: 1 }
}

fn crashed_by(caller: u64, start: u64) -> CrashFact {
    let start = format!("r/{start}").as_str().into();
    CrashFact::Crashed { fingerprint: RequestFingerprint { caller, ..fingerprint(1) }, start }
}

fn crashed(head: u64, start: u64) -> CrashFact {
    CrashFact::Crashed {
        fingerprint: fingerprint(head),
        start: format!("r/{start}").as_str().into(),
    }
}

fn aged(fact: &CrashFact, age_ms: u64) -> AgedFact {
    AgedFact { fact: fact.clone(), age_ms }
}

/// Merges all facts of `from` into `to`.
fn merge_all(from: &CrashFacts, to: &mut CrashFacts, now: Instant) {
    to.merge(&from.since(0, now).0, now);
}

#[test]
fn three_crashed_starts_refuse() {
    let now = Instant::now();
    let mut crashes = CrashFacts::default();
    for start in [1, 2, 2, 1] {
        crashes.learn(&crashed(7, start), Duration::ZERO, now);
    }
    assert!(!crashes.is_refused(fingerprint(7)), "two crashed incarnations are too few");
    crashes.learn(&crashed(7, 3), Duration::ZERO, now);
    assert!(crashes.is_refused(fingerprint(7)));
    assert!(crashes.has_head(7) && !crashes.has_head(6) && !crashes.has_head(8));
}

/// A replica counts as crashed, at the time that the remaining requests tell, until all
/// requests that ran on it have completed.
#[test]
fn start_is_crashed_until_all_complete() {
    let now = Instant::now();
    let at = |s| now + Duration::from_secs(s);
    let mut crashes = CrashFacts::default();
    crashes.learn(&crashed(1, 1), Duration::ZERO, at(0));
    crashes.learn(&crashed(2, 1), Duration::ZERO, at(10));
    assert!(!crashes.has_crashed("r/1", at(5)) && crashes.has_crashed("r/1", at(11)));
    let completed = |head| CrashFact::Completed { fingerprint: fingerprint(head) };
    crashes.learn(&completed(2), Duration::ZERO, at(20));
    assert!(crashes.has_crashed("r/1", at(5)));
    assert_eq!((crashes.count(fingerprint(1)), crashes.count(fingerprint(2))), (1, 0));
    crashes.learn(&completed(1), Duration::ZERO, at(20));
    assert!(!crashes.has_crashed("r/1", at(30)));
}

/// Crashes caused by one caller don't affect another one; those caused by
/// several callers affect all.
#[test]
fn callers_are_counted_separately() {
    let now = Instant::now();
    let refused = |observed: &[(u64, u64)]| {
        let mut crashes = CrashFacts::default();
        for (caller, start) in observed {
            crashes.learn(&crashed_by(*caller, *start), Duration::ZERO, now);
        }
        [1, 2, 3].map(|caller| crashes.is_refused(RequestFingerprint { caller, ..fingerprint(1) }))
    };
    assert_eq!(refused(&[(1, 1), (1, 2), (1, 3)]), [true, false, false]);
    assert_eq!(refused(&[(1, 1), (2, 2), (1, 3)]), [true, true, true]);
    assert_eq!(refused(&[(1, 1), (2, 1), (3, 1)]), [false; 3], "one crash, three callers");
}

/// A request that only ran concurrently with a crashing one is not refused.
/// Requests that always run together are both refused eventually.
#[test]
fn concurrent_requests_are_not_refused() {
    let now = Instant::now();
    let refused = |observed: &[(u64, u64)]| {
        let mut crashes = CrashFacts::default();
        for (head, start) in observed {
            crashes.learn(&crashed(*head, *start), Duration::ZERO, now);
        }
        [1, 2].map(|head| crashes.is_refused(fingerprint(head)))
    };
    let beside = [(1, 1), (1, 2), (1, 3), (2, 1), (2, 2), (2, 3)];
    assert_eq!(refused(&beside), [false, false], "the next run decides which one it is");
    let shown = [&beside[..], &[(1, 4)]].concat();
    assert_eq!(refused(&shown), [true, false]);
    let apart = [&beside[..], &[(1, 4), (2, 5)]].concat();
    assert_eq!(refused(&apart), [false, false]);
    let more = [&apart[..], &[(2, 6)]].concat();
    assert_eq!(refused(&more), [false, true]);
    let always = [&beside[..], &[(1, 4), (2, 4), (1, 5), (2, 5)]].concat();
    assert_eq!(refused(&always), [true, true]);
    assert_eq!(refused(&[(1, 1), (1, 2), (1, 3), (2, 1), (2, 2)]), [true, false]);
}

/// An exchange between two sets ends, although ages grow with each message.
#[test]
fn exchange_converges() {
    let mut now = Instant::now();
    let (mut one, mut other) = (CrashFacts::default(), CrashFacts::default());
    one.learn(&crashed(1, 1), Duration::ZERO, now);
    other.learn(&crashed(1, 2), Duration::ZERO, now);
    let (mut of_one, mut of_other) = (0, 0);
    for round in 0..6 {
        now += Duration::from_millis(300);
        let (facts, last) = one.since(of_one, now);
        of_one = last;
        other.merge(&facts, now + Duration::from_millis(40));
        let (back, last) = other.since(of_other, now);
        of_other = last;
        one.merge(&back, now + Duration::from_millis(40));
        assert!(round < 3 || (facts.is_empty() && back.is_empty()), "round {round}: {facts:?}");
    }
    assert_eq!((one.count(fingerprint(1)), other.count(fingerprint(1))), (2, 2));
}

/// Facts that don't fit into a message are sent with the next ones.
#[test]
fn messages_are_bounded() {
    let now = Instant::now();
    let (mut from, mut to) = (CrashFacts::default(), CrashFacts::default());
    (0..2_000).for_each(|start| {
        from.learn(&crashed(start % 400, start), Duration::ZERO, now);
    });
    let mut last = 0;
    while to.len() < 2_000 {
        let (facts, next) = from.since(last, now);
        assert!(facts.len() <= 512 && next > last);
        to.merge(&facts, now);
        last = next;
    }
}

/// A refused request stays refused while it is still sent, and is forgotten an
/// hour after that.
#[test]
fn refused_is_kept_while_requested() {
    let start = Instant::now();
    let mut crashes = CrashFacts::default();
    (0..3).for_each(|upstream| {
        crashes.learn(&crashed(1, upstream), Duration::ZERO, start);
    });
    let mut now = start;
    for _ in 0..30 {
        now += HOUR / 10;
        crashes.learn(&CrashFact::Refused { fingerprint: fingerprint(1) }, Duration::ZERO, now);
        crashes.expire(now);
        assert!(crashes.is_refused(fingerprint(1)));
    }
    crashes.expire(now + HOUR);
    assert!(crashes.is_empty());
}

/// When facts are evicted, those of refused requests stay.
#[test]
fn eviction_keeps_refused() {
    let start = Instant::now();
    let mut crashes = CrashFacts::default();
    (0..3).for_each(|upstream| {
        crashes.learn(&crashed(1, upstream), Duration::ZERO, start);
    });
    for number in 0..40_000_u64 {
        let now = start + Duration::from_millis(number);
        crashes.learn(&crashed(number + 2, 1), Duration::ZERO, now);
    }
    assert!(crashes.len() <= 16_384);
    assert!(crashes.is_refused(fingerprint(1)));
}

proptest! {
    /// All sets end with the same counts, and no count ever decreases, whatever
    /// the order, path and repetition of the facts.
    #[test]
    fn merge_is_monotonic(observed in prop::collection::vec((0..3_usize, 0..3_u64, 0..5_u64), 1..40),
                  exchanges in prop::collection::vec((0..3_usize, 0..3_usize), 0..40)) {
        let now = Instant::now();
        let mut sets = vec![CrashFacts::default(); 3];
        let mut exchanges = exchanges.into_iter();
        for (set, head, start) in &observed {
            sets[*set].learn(&crashed(*head, *start), Duration::ZERO, now);
            if let Some((from, to)) = exchanges.next() {
                let before: Vec<usize> = (0..3).map(|head| sets[to].count(fingerprint(head))).collect();
                let source = sets[from].clone();
                merge_all(&source, &mut sets[to], now);
                for (head, before) in (0..3).zip(before) {
                    prop_assert!(sets[to].count(fingerprint(head)) >= before);
                }
            }
        }
        for _ in 0..2 {
            for (from, to) in [(0, 1), (1, 2), (2, 0)] {
                let source = sets[from].clone();
                merge_all(&source, &mut sets[to], now);
            }
        }
        for head in 0..3 {
            let mut starts: Vec<u64> =
                observed.iter().filter(|(_, of, _)| *of == head).map(|(_, _, start)| *start).collect();
            starts.sort_unstable();
            starts.dedup();
            for set in &sets {
                prop_assert_eq!(set.count(fingerprint(head)), starts.len());
            }
        }
    }
}

fn alive(start: u64) -> CrashFact {
    CrashFact::Replied { start: format!("r/{start}").as_str().into() }
}

/// A more recent sign of life clears a crash, an older one does not, and a
/// cleared crash is not restored by a set that has not received the clearing
/// fact.
#[test]
fn liveness_clears_crashes() {
    let start = Instant::now();
    let at = |seconds| start + Duration::from_secs(seconds);
    let completed = CrashFact::Completed { fingerprint: fingerprint(1) };
    let mut crashes = CrashFacts::default();
    crashes.learn(&crashed(1, 1), Duration::ZERO, at(10));
    crashes.learn(&crashed(2, 1), Duration::ZERO, at(10));
    let outdated = crashes.clone();
    crashes.learn(&alive(1), Duration::from_secs(5), at(11));
    assert_eq!(crashes.count(fingerprint(1)), 1, "it responded before it crashed");
    assert!(crashes.has_crashed("r/1", at(11)) && !crashes.has_crashed("r/1", at(9)));
    crashes.learn(&completed, Duration::ZERO, at(19));
    crashes.learn(&crashed(1, 2), Duration::ZERO, at(20));
    crashes.learn(&completed, Duration::ZERO, at(20));
    assert_eq!((crashes.count(fingerprint(1)), crashes.count(fingerprint(2))), (0, 1));
    crashes.learn(&alive(1), Duration::ZERO, at(30));
    assert_eq!(crashes.count(fingerprint(2)), 0);
    assert!(!crashes.has_crashed("r/1", at(31)));
    merge_all(&outdated, &mut crashes, at(32));
    assert_eq!((crashes.count(fingerprint(1)), crashes.count(fingerprint(2))), (0, 0));
    crashes.learn(&crashed(1, 1), Duration::ZERO, at(40));
    assert_eq!(crashes.count(fingerprint(1)), 1, "a later crash counts");
}

proptest! {
    /// Sets that receive the same facts in any order agree.
    #[test]
    fn merge_is_order_independent(kinds in prop::collection::vec(0..6_u64, 1..12).prop_shuffle(),
                          keys in prop::collection::vec(any::<u64>(), 12)) {
        let now = Instant::now() + HOUR;
        let observed: Vec<AgedFact> = kinds.iter().enumerate().map(|(number, kind)| {
            let fact = match kind {
                0 => alive(1),
                1 => CrashFact::Completed { fingerprint: fingerprint(1) },
                start => crashed(start % 2, start / 2),
            };
            aged(&fact, 1_000 + number as u64 * 10_000)
        }).collect();
        let mut order: Vec<usize> = (0..observed.len()).collect();
        order.sort_by_key(|number| keys[*number]);
        let shuffled: Vec<AgedFact> = order.iter().map(|number| observed[*number].clone()).collect();
        let (mut one, mut other) = (CrashFacts::default(), CrashFacts::default());
        one.merge(&observed, now);
        other.merge(&shuffled, now);
        for head in 0..2 {
            prop_assert_eq!(one.count(fingerprint(head)), other.count(fingerprint(head)));
        }
    }
}

#[test]
fn expired_facts_are_ignored() {
    let now = Instant::now() + HOUR * 2;
    let mut crashes = CrashFacts::default();
    crashes.merge(&[aged(&crashed(1, 1), HOUR.as_millis() as u64)], now);
    assert!(crashes.is_empty(), "facts that have expired elsewhere are not restored");
}
