//! Tokens that are reserved for turns that don't run.

mod support;

use std::time::Duration;

use gg_ledger::{LedgerError, OpenRequest};
use support::{WAIT_TIMEOUT, cluster::Cluster, key, request};
use tokio::time::{self, Instant};

/// A turn that is refused, or whose client leaves while it is opened, keeps no
/// tokens reserved.
#[tokio::test]
async fn refused_turns_release_tokens() {
    let cluster = Cluster::start(1).await;
    let ledger = cluster.connect("gateway-1").await;
    let deadline = Instant::now() + WAIT_TIMEOUT;
    let budget = Some((100, 60));
    let unknown = OpenRequest { budget, ..request("p", "a", Some("unknown")) };
    assert_eq!(ledger.open(&unknown, deadline).await.err(), Some(LedgerError::NoSuchTurn));
    let next = OpenRequest { budget, ..request("p", "b", None) };
    ledger.open(&next, deadline).await.expect("all tokens are left");
    ledger.settle(&key("p", "b"), 0, None);

    let next = OpenRequest { budget, ..request("p", "c", None) };
    let silence = &cluster.instances[1].silence;
    silence.send_replace(true);
    cluster.instances[2].silence.send_replace(true);
    let before = cluster.needed_bytes(0);
    let reserved = async {
        while cluster.needed_bytes(0) == before {
            time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::select! {
        opened = ledger.open(&next, deadline) => panic!("one member only: {opened:?}"),
        () = reserved => {}
    }
    cluster.instances.iter().for_each(|instance| {
        instance.silence.send_replace(false);
    });
    let last = OpenRequest { budget, ..request("p", "d", None) };
    while let Err(err) = ledger.open(&last, deadline).await {
        assert!(matches!(err, LedgerError::Unavailable(_)), "{err}");
    }
}
