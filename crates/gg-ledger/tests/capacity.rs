//! Which turns a nearly full instance opens.

mod support;

use gg_ledger::{Capacity, LedgerError, Opener, Usage};
use support::{Disks, WAIT_TIMEOUT, key, record, request};
use tokio::time::Instant;

const CAPACITY: Capacity =
    Capacity { memory_bytes: 68 << 20, disk_bytes: 470 << 20, log_bytes_min: 128 << 20 };

#[test]
fn new_programs_first() {
    let admits = |memory, opener| {
        let (fill, bound) = CAPACITY.fill(Usage { memory, ..Usage::default() });
        assert_eq!(bound, "memory");
        CAPACITY.admits(fill, opener)
    };
    let mib = |count: u64| count << 20;
    for (memory, new, in_progress) in [
        (mib(50), true, true),
        (mib(56), false, true),
        (mib(67), false, true),
        (mib(68), false, false),
    ] {
        assert_eq!(admits(memory, Opener::NewProgram), new, "{memory}");
        assert_eq!(admits(memory, Opener::InProgress), in_progress, "{memory}");
    }
}

/// Whatever is needed, the log and what is written again of it fit on the disk.
#[test]
fn log_fits_disk() {
    for percent in 0..=100 {
        let needed = CAPACITY.disk_bytes / 100 * percent;
        let (fill, _) = CAPACITY.fill(Usage { needed, ..Usage::default() });
        if CAPACITY.admits(fill, Opener::InProgress) {
            let room = CAPACITY.disk_bytes - CAPACITY.log_bytes(needed).max(2 * needed);
            assert!(room > 48 << 20, "{percent}%");
        }
    }
    let small = Capacity { disk_bytes: 10 << 20, ..CAPACITY };
    assert!(small.log_bytes(0) < small.disk_bytes / 2);
}

/// A full ledger refused turns of programs in progress and of new ones alike,
/// and each refused turn left an account behind.
#[tokio::test]
async fn programs_in_progress_continue() {
    let disks = Disks::new();
    // Four fifths are reached with the 22nd turn in an account.
    let deployment = disks.start(27 * 120).await;
    let open = async |program: &str, turn: &str, previous: Option<&str>| {
        let request = request(program, turn, previous);
        deployment.ledger.open(&request, Instant::now() + WAIT_TIMEOUT).await
    };
    let mut count = 0;
    while open("known", &format!("t{count}"), None).await.is_ok() && count < 22 {
        count += 1;
    }
    assert_eq!(count, 22, "turns of a program in progress");
    let accounts = || deployment.nodes.iter().map(|node| node.len().1).collect::<Vec<_>>();
    assert_eq!(accounts(), [1, 1, 1]);
    for attempt in 0..60 {
        let refused = open(&format!("new-{}", attempt / 2), &format!("a{attempt}"), None).await;
        assert_eq!(refused.expect_err("a new program"), LedgerError::Full);
    }
    open("known", "next", None).await.expect("a program in progress");
    assert_eq!(accounts(), [1, 1, 1], "refused turns leave no accounts");
}

/// A new program that continues a stored turn is in progress on all members,
/// not only on the one that sends the chain.
#[tokio::test]
async fn stored_turns_are_continued() {
    let disks = Disks::new();
    let deployment = disks.start(12 * 320).await;
    for number in 0..10 {
        let turn = format!("t{number}");
        let stored = record(&turn, None, String::new());
        deployment.ledger.close(&key("old", &turn), None, stored).await.expect("stored");
    }
    let deadline = Instant::now() + WAIT_TIMEOUT;
    let refused = deployment.ledger.open(&request("new", "a", None), deadline).await;
    assert_eq!(refused.expect_err("a new program"), LedgerError::Full);
    let opened = deployment.ledger.open(&request("new", "b", Some("t3")), deadline).await;
    opened.expect("a stored turn is continued");
}
