//! Fencing: a seal ends the owner's appends, and only one seal takes effect.

use std::time::Duration;

use gg_fakes::MemoryStore;
use gg_journal::{
    Journal, JournalError, JournalSettings, find_owner, incarnations, remove_records, replay, seal,
};
use gg_protocol::JournalId;
use proptest::prelude::*;
use tokio_util::sync::CancellationToken;

fn id(instance: &str) -> JournalId {
    JournalId { instance: instance.into(), incarnation: 1 }
}

fn settings() -> JournalSettings {
    JournalSettings {
        commit_interval: Duration::ZERO,
        retry_max: Duration::from_millis(1),
        ..JournalSettings::default()
    }
}

async fn open(store: &MemoryStore, instance: &str) -> Journal<MemoryStore> {
    loop {
        let stop = CancellationToken::new();
        if let Ok(journal) = Journal::open(store.clone(), instance, settings(), stop).await {
            return journal;
        }
    }
}

#[tokio::test]
async fn append_fails_after_seal() {
    let store = MemoryStore::new(1);
    let journal = open(&store, "a").await;
    journal.append(&["first"]).await.expect("append before the seal succeeds");
    assert_eq!(seal(&store, journal.id(), &id("b")).await.expect("seal succeeds"), id("b"));
    let refused = journal.append(&["second"]).await;
    assert!(matches!(refused, Err(JournalError::Sealed(by)) if by == id("b")));
    assert!(journal.fenced().is_cancelled());
    let found = replay::<String, _>(&store, journal.id()).await.expect("replay succeeds");
    assert_eq!(found.records, ["first"]);
    assert_eq!(found.sealed_by, Some(id("b")));
}

#[tokio::test]
async fn verify_detects_seal() {
    let store = MemoryStore::new(1);
    let journal = open(&store, "a").await;
    journal.verify().await.expect("unsealed journal verifies");
    seal(&store, journal.id(), &id("b")).await.expect("seal succeeds");
    assert!(matches!(journal.verify().await, Err(JournalError::Sealed(_))));
}

#[tokio::test]
async fn concurrent_seals_agree() {
    let store = MemoryStore::new(1);
    let journal = open(&store, "a").await;
    let (b, c) = (id("b"), id("c"));
    let (first, second) =
        tokio::join!(seal(&store, journal.id(), &b), seal(&store, journal.id(), &c));
    assert_eq!(first.expect("first seal succeeds"), second.expect("second seal succeeds"));
}

#[tokio::test]
async fn find_owner_follows_seals() {
    let store = MemoryStore::new(1);
    let (a, b) = (open(&store, "a").await, open(&store, "b").await);
    seal(&store, a.id(), b.id()).await.expect("seal succeeds");
    remove_records(&store, a.id()).await.expect("removing records succeeds");
    seal(&store, b.id(), &id("c")).await.expect("seal succeeds");
    assert_eq!(find_owner(&store, a.id()).await.expect("finding the owner succeeds"), id("c"));
}

#[tokio::test]
async fn incarnations_increase() {
    let store = MemoryStore::new(1);
    let first = open(&store, "a").await;
    let second = open(&store, "a").await;
    assert_eq!(second.id().incarnation, first.id().incarnation + 1);
    let known = incarnations(&store, Some("a")).await.expect("listing incarnations succeeds");
    assert_eq!(known, [first.id().clone(), second.id().clone()]);
}

#[tokio::test]
async fn large_record_round_trips() {
    let store = MemoryStore::new(1);
    let journal = open(&store, "a").await;
    let large = "\"glue\u{e9}".repeat(400_000);
    journal.append(&[large.clone(), "small".into()]).await.expect("append succeeds");
    let found = replay::<String, _>(&store, journal.id()).await.expect("replay succeeds");
    assert_eq!(found.records, [large, "small".into()]);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// With platform calls that fail and responses that are lost, a replay
    /// returns every acknowledged record exactly once and in order, and no
    /// record appended after the seal.
    #[test]
    fn replay_returns_acknowledged_records(
        seed in any::<u64>(),
        refuse_rate in 0.0..0.4,
        loss_rate in 0.0..0.4,
        before in 1_usize..20,
        after in 0_usize..5,
    ) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        runtime.expect("runtime starts").block_on(async {
            let store = MemoryStore::with_faults(seed, refuse_rate, loss_rate);
            let journal = open(&store, "a").await;
            let mut acknowledged = Vec::new();
            for number in 0..before {
                if journal.append(&[number]).await.is_ok() {
                    acknowledged.push(number);
                }
            }
            while seal(&store, journal.id(), &id("b")).await.is_err() {}
            for number in before..before + after {
                assert!(journal.append(&[number]).await.is_err(), "append succeeded after the seal");
            }
            let found = loop {
                if let Ok(found) = replay::<usize, _>(&store, journal.id()).await {
                    break found;
                }
            };
            assert_eq!(found.records, acknowledged);
            assert_eq!(found.sealed_by, Some(id("b")));
        });
    }
}
