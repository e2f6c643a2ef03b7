//! Turns whose texts exceed an instance's memory.

mod support;

use support::{Disks, WAIT_TIMEOUT, key, record, request};
use tokio::time::Instant;

/// Memory limit of an instance in these tests, in bytes.
const MEMORY_LIMIT: usize = 1 << 20;

/// Number of programs, each with one turn. Their texts need twice the memory
/// limit.
const PROGRAMS: usize = 400;

fn text(program: usize) -> String {
    format!("{program:08}").repeat(650)
}

/// Turns of sound programs were refused on all instances, because the texts of
/// the retention time exceeded the memory limit.
#[tokio::test]
async fn texts_beyond_memory_limit() {
    let disks = Disks::new();
    let deployment = disks.start(MEMORY_LIMIT).await;
    for number in 0..PROGRAMS {
        let (program, turn) = (format!("p{number}"), format!("t{number}"));
        let stored = record(&turn, None, text(number));
        deployment.ledger.close(&key(&program, &turn), Some(5), stored).await.expect("stored");
    }
    for number in [0, PROGRAMS / 2, PROGRAMS - 1] {
        let (program, previous) = (format!("p{number}"), format!("t{number}"));
        let next = request(&program, "next", Some(&previous));
        let opened = deployment.ledger.open(&next, Instant::now() + WAIT_TIMEOUT).await;
        assert_eq!(opened.expect("opened").history, text(number));
    }
}
