//! Turns and chains that are longer than a message.

mod support;

use gg_ledger::{LedgerError, TEXT_MAX_BYTES};
use support::{WAIT_TIMEOUT, cluster::Cluster, key, record, request};
use tokio::time::Instant;

/// Number of turns whose texts together are longer than a message.
const TURNS: usize = 20;
const TURN_BYTES: usize = TEXT_MAX_BYTES / TURNS + 1;

/// A turn that is too long to be stored, and one that continues too long a
/// chain, are refused for good. Each try ended the connection, and with it the
/// calls of all others.
#[tokio::test]
async fn too_long_texts() {
    let cluster = Cluster::start(1).await;
    let ledger = cluster.connect("gateway-1").await;
    let deadline = || Instant::now() + WAIT_TIMEOUT;
    let connections = cluster.connections();

    let stored = record("long", None, "x".repeat(TEXT_MAX_BYTES + 1));
    let closed = ledger.close(&key("p", "long"), Some(1), stored).await;
    assert_eq!(closed, Err(LedgerError::TooLong));

    let name = |number: usize| format!("turn-{number}");
    for number in 0..TURNS {
        let previous = number.checked_sub(1).map(name);
        let stored = record(&name(number), previous.as_deref(), "x".repeat(TURN_BYTES));
        ledger.close(&key("p", &name(number)), Some(1), stored).await.expect("stored");
    }
    for program in ["p", "other"] {
        let next = request(program, "next", Some(&name(TURNS - 1)));
        let opened = ledger.open(&next, deadline()).await;
        assert_eq!(opened.map(|opened| opened.history.len()), Err(LedgerError::TooLong));
    }
    let opened = ledger.open(&request("p", "short", Some(&name(0))), deadline()).await;
    assert_eq!(opened.expect("a chain that fits").history.len(), TURN_BYTES);
    assert_eq!((cluster.connections(), ledger.connected()), (connections, 3));
}
