//! Slots: granted, waited for, given back and taken back.

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
async fn dropped_waiter_leaves() {
    let dispatcher = dispatcher(1);
    assert!(is_granted(&dispatcher.acquire(request(1)).await));
    let patient = SlotRequest { patience_ms: 60_000, ..request(2) };
    let waiting = tokio::spawn({
        let dispatcher = dispatcher.clone();
        async move { dispatcher.acquire(patient).await }
    });
    while dispatcher.view(&"e1".into()).waiting[0] == 0 {
        tokio::task::yield_now().await;
    }
    waiting.abort();
    let _ = waiting.await;
    assert_eq!(dispatcher.view(&"e1".into()).waiting[0], 0);
}

#[tokio::test]
async fn leaving_takes_nothing() {
    let dispatcher = dispatcher(4);
    dispatcher.set_leaving(&"e1".into(), true);
    assert_eq!(dispatcher.acquire(request(1)).await, SlotReply::Closed);
    dispatcher.set_leaving(&"e1".into(), false);
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
    dispatcher.drop_home(&home());
    assert!(is_granted(&dispatcher.acquire(request(2)).await));
}

#[tokio::test]
async fn failing_replica_pauses() {
    let dispatcher = dispatcher(4);
    for ticket in 0..6 {
        dispatcher.release(&release(ticket, SlotOutcome::Failed));
    }
    // An engine that fails fast is not taken for an idle one.
    assert!(dispatcher.view(&"e1".into()).wait_ms[0] > 0);
    assert_eq!(dispatcher.acquire(request(2)).await, SlotReply::Expired);
}

#[tokio::test]
async fn failed_replica_comes_back() {
    let dispatcher = dispatcher(4);
    dispatcher.release(&release(1, SlotOutcome::Failed));
    let patient = SlotRequest { patience_ms: 60_000, ..request(2) };
    assert!(is_granted(&dispatcher.acquire(patient).await));
}

#[test]
fn limit_follows_target() {
    let now = Instant::now();
    let mut limit = AdaptiveLimit::new(LimitSettings::default(), 8);
    for _ in 0..20 {
        limit.sample(700.0, 20.0, now);
    }
    assert!(limit.get() < 8, "first token over target");
    let lowered = limit.get();
    for _ in 0..200 {
        limit.note_reached();
        limit.sample(100.0, 20.0, now);
    }
    assert!(limit.get() > lowered, "targets met and slots wanted");
}

#[test]
fn limit_holds_without_signal() {
    let mut limit = AdaptiveLimit::new(LimitSettings::default(), 8);
    for _ in 0..1_000 {
        limit.note_reached();
    }
    assert_eq!(limit.get(), 8);
}

#[test]
fn warm_unless_waiting_costs_more() {
    let candidate =
        |name: &str, wait_ms, warm| Candidate { name: name.into(), wait_ms, warm, far: false };
    let settings = PlacementSettings { prefill_per_ms: 10.0, far_ms: 0 };
    let warm = [candidate("warm", 300, 8_000), candidate("cold", 0, 0)];
    let choice = choose(&warm, 8_000, &settings).expect("a choice");
    assert_eq!((&*choice.name, choice.reason), ("warm", PlaceReason::Warm));
    let queued = [candidate("warm", 1_300, 8_000), candidate("cold", 0, 0)];
    let choice = choose(&queued, 8_000, &settings).expect("a choice");
    assert_eq!((&*choice.name, choice.reason), ("cold", PlaceReason::Moved));
}

#[test]
fn two_crashes_at_most() {
    let mut quarantine = Quarantine::default();
    assert_eq!(quarantine.verdict("x"), Verdict::Free);
    quarantine.note("x", ["e0/1".to_owned()]);
    quarantine.note("x", ["e0/1".to_owned()]);
    assert_eq!(quarantine.verdict("x"), Verdict::Alone);
    quarantine.note("x", ["e1/1".to_owned()]);
    quarantine.note("x", ["e0/1".to_owned()]);
    assert_eq!(quarantine.verdict("x"), Verdict::Quarantined);
}

/// Two daemons that each saw one crash at the same moment know of two.
#[test]
fn crashes_add_up() {
    let (mut one, mut other) = (Quarantine::default(), Quarantine::default());
    one.note("x", ["e0/1".to_owned()]);
    other.note("x", ["e1/1".to_owned()]);
    let (told, heard) = (one.crashes("x"), other.crashes("x"));
    one.note("x", heard);
    other.note("x", told);
    assert_eq!(one.verdict("x"), Verdict::Quarantined);
    assert_eq!(other.verdict("x"), Verdict::Quarantined);
}

proptest! {
    /// Taking a member away moves only what that member owned.
    #[test]
    fn rendezvous_moves_little(count in 2_usize..40, gone in any::<prop::sample::Index>()) {
        let members: Vec<Member> = (0..count)
            .map(|index| Member {
                name: format!("a{index}").into(),
                centre: format!("c{}", index % 3).into(),
            })
            .collect();
        let lost = &members[gone.index(count)];
        let rest: Vec<Member> =
            members.iter().filter(|member| *member != lost).cloned().collect();
        for key in 0..50 {
            let key = format!("e{key}");
            let before = owner(&key, Some("c1"), &members).expect("an owner");
            let after = owner(&key, Some("c1"), &rest).expect("an owner");
            prop_assert!(before == after || before == lost);
        }
    }
}
