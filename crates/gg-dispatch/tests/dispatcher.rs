//! Dispatcher: granting, queueing and release of slots. Also covers the
//! adaptive limit, placement, quarantine and rendezvous hashing.

use std::time::Instant;

use gg_dispatch::{
    AdaptiveLimit, Candidate, Dispatcher, LimitSettings, Member, PlaceReason, PlacementSettings,
    Quarantine, Verdict, choose, owner,
};
use gg_protocol::{
    JournalId, Name, ProgramId, Rank,
    config::RANKS,
    peer::{SlotOutcome, SlotRelease, SlotReply, SlotRequest},
};
use proptest::prelude::*;

fn home() -> JournalId {
    JournalId { instance: "a".into(), incarnation: 1 }
}

fn request(ticket: u64) -> SlotRequest {
    SlotRequest {
        ticket,
        home: home(),
        upstream: "e1".into(),
        program: ProgramId { birth: home(), number: 1 },
        customer: "ukhozi".into(),
        rank: Rank(0),
        under_way: false,
        deadline_ms: u64::MAX / 2,
        patience_ms: 20,
        max_wait_ms: None,
        cost_ms: 10,
        alone: false,
    }
}

fn release(ticket: u64, outcome: SlotOutcome) -> SlotRelease {
    SlotRelease { ticket, home: home(), upstream: "e1".into(), outcome }
}

fn dispatcher(slots: u32) -> Dispatcher {
    let dispatcher = Dispatcher::default();
    dispatcher.configure([(Name::from("e1"), slots)].into_iter().collect(), [0.0; RANKS]);
    dispatcher
}

fn is_granted(reply: &SlotReply) -> bool {
    matches!(reply, SlotReply::Granted { .. })
}

#[tokio::test]
async fn slots_are_bounded() {
    let dispatcher = dispatcher(1);
    assert!(is_granted(&dispatcher.acquire(request(1)).await));
    assert_eq!(dispatcher.acquire(request(2)).await, SlotReply::Expired);
    dispatcher.release(&release(1, SlotOutcome::Cancelled));
    assert!(is_granted(&dispatcher.acquire(request(3)).await));
}

#[tokio::test]
async fn dropped_waiter_leaves_queue() {
    let dispatcher = dispatcher(1);
    assert!(is_granted(&dispatcher.acquire(request(1)).await));
    let long_wait = SlotRequest { patience_ms: 60_000, ..request(2) };
    let waiting = tokio::spawn({
        let dispatcher = dispatcher.clone();
        async move { dispatcher.acquire(long_wait).await }
    });
    while dispatcher.view(&"e1".into()).expect("configured").waiting[0] == 0 {
        tokio::task::yield_now().await;
    }
    waiting.abort();
    let _ = waiting.await;
    assert_eq!(dispatcher.view(&"e1".into()).expect("configured").waiting[0], 0);
}

/// Homes may still know an upstream that was removed from the configuration.
#[tokio::test]
async fn removed_replica_stays_closed() {
    let dispatcher = dispatcher(2);
    assert!(is_granted(&dispatcher.acquire(request(1)).await));
    dispatcher.configure([].into_iter().collect(), [0.0; RANKS]);
    assert_eq!(dispatcher.acquire(request(2)).await, SlotReply::Closed);
    dispatcher.release(&release(1, SlotOutcome::Cancelled));
    assert!(dispatcher.views().is_empty(), "{:?}", dispatcher.views());
    dispatcher.configure([(Name::from("e1"), 2)].into_iter().collect(), [0.0; RANKS]);
    assert!(is_granted(&dispatcher.acquire(request(3)).await));
}

#[tokio::test]
async fn draining_replica_rejects_requests() {
    let dispatcher = dispatcher(4);
    dispatcher.set_draining(&"e1".into(), true);
    assert_eq!(dispatcher.acquire(request(1)).await, SlotReply::Closed);
    dispatcher.set_draining(&"e1".into(), false);
    assert!(is_granted(&dispatcher.acquire(request(2)).await));
}

#[tokio::test]
async fn suspect_runs_alone() {
    let dispatcher = dispatcher(4);
    assert!(is_granted(&dispatcher.acquire(request(1)).await));
    let alone = SlotRequest { alone: true, ..request(2) };
    assert_eq!(dispatcher.acquire(alone.clone()).await, SlotReply::Expired);
    dispatcher.release(&release(1, SlotOutcome::Cancelled));
    assert!(is_granted(&dispatcher.acquire(alone).await));
    assert_eq!(dispatcher.acquire(request(3)).await, SlotReply::Expired);
}

#[tokio::test]
async fn dead_home_frees_slots() {
    let dispatcher = dispatcher(1);
    assert!(is_granted(&dispatcher.acquire(request(1)).await));
    dispatcher.release_home(&home());
    assert!(is_granted(&dispatcher.acquire(request(2)).await));
}

#[tokio::test]
async fn failing_replica_is_ejected() {
    let dispatcher = dispatcher(4);
    for ticket in 0..6 {
        dispatcher.release(&release(ticket, SlotOutcome::Failed));
    }
    // An engine that fails fast is not treated as idle.
    assert!(dispatcher.view(&"e1".into()).expect("configured").wait_ms[0] > 0);
    assert_eq!(dispatcher.acquire(request(2)).await, SlotReply::Expired);
}

#[tokio::test]
async fn ejected_replica_recovers() {
    let dispatcher = dispatcher(4);
    dispatcher.release(&release(1, SlotOutcome::Failed));
    let long_wait = SlotRequest { patience_ms: 60_000, ..request(2) };
    assert!(is_granted(&dispatcher.acquire(long_wait).await));
}

#[test]
fn limit_adapts_to_targets() {
    let now = Instant::now();
    let mut limit = AdaptiveLimit::new(LimitSettings::default(), 8);
    for _ in 0..20 {
        limit.sample(700.0, 20.0, now);
    }
    assert!(limit.get() < 8, "time to first token is above the target");
    let lowered = limit.get();
    for _ in 0..200 {
        limit.record_limit_reached();
        limit.sample(100.0, 20.0, now);
    }
    assert!(limit.get() > lowered, "targets are met and the limit was reached");
}

#[test]
fn limit_is_stable_without_samples() {
    let mut limit = AdaptiveLimit::new(LimitSettings::default(), 8);
    for _ in 0..1_000 {
        limit.record_limit_reached();
    }
    assert_eq!(limit.get(), 8);
}

#[test]
fn prefers_warm_unless_wait_costs_more() {
    let candidate = |name: &str, wait_ms, cached_tokens| Candidate {
        name: name.into(),
        wait_ms,
        cached_tokens,
        is_remote: false,
    };
    let settings = PlacementSettings { prefill_per_ms: 10.0, remote_cost_ms: 0 };
    let warm = [candidate("warm", 300, 8_000), candidate("cold", 0, 0)];
    let choice = choose(&warm, 8_000, &settings).expect("a choice");
    assert_eq!((&*choice.name, choice.reason), ("warm", PlaceReason::Warm));
    let queued = [candidate("warm", 1_300, 8_000), candidate("cold", 0, 0)];
    let choice = choose(&queued, 8_000, &settings).expect("a choice");
    assert_eq!((&*choice.name, choice.reason), ("cold", PlaceReason::Moved));
}

#[test]
fn quarantined_after_two_crashes() {
    let mut quarantine = Quarantine::default();
    assert_eq!(quarantine.verdict("x"), Verdict::Allowed);
    quarantine.record("x", ["e0/1".to_owned()]);
    quarantine.record("x", ["e0/1".to_owned()]);
    assert_eq!(quarantine.verdict("x"), Verdict::Alone);
    quarantine.record("x", ["e1/1".to_owned()]);
    quarantine.record("x", ["e0/1".to_owned()]);
    assert_eq!(quarantine.verdict("x"), Verdict::Quarantined);
}

/// Two daemons that each saw one crash at the same time count two after
/// exchanging them.
#[test]
fn crashes_merge_across_daemons() {
    let (mut first, mut second) = (Quarantine::default(), Quarantine::default());
    first.record("x", ["e0/1".to_owned()]);
    second.record("x", ["e1/1".to_owned()]);
    let (first_crashes, second_crashes) = (first.crashes("x"), second.crashes("x"));
    first.record("x", second_crashes);
    second.record("x", first_crashes);
    assert_eq!(first.verdict("x"), Verdict::Quarantined);
    assert_eq!(second.verdict("x"), Verdict::Quarantined);
}

proptest! {
    /// Removing a member moves only the keys that it owned.
    #[test]
    fn rendezvous_moves_minimum(count in 2_usize..40, removed in any::<prop::sample::Index>()) {
        let members: Vec<Member> = (0..count)
            .map(|index| Member {
                name: format!("a{index}").into(),
                centre: format!("c{}", index % 3).into(),
            })
            .collect();
        let removed_member = &members[removed.index(count)];
        let rest: Vec<Member> =
            members.iter().filter(|member| *member != removed_member).cloned().collect();
        for key in 0..50 {
            let key = format!("e{key}");
            let before = owner(&key, Some("c1"), &members).expect("an owner");
            let after = owner(&key, Some("c1"), &rest).expect("an owner");
            prop_assert!(before == after || before == removed_member);
        }
    }
}
