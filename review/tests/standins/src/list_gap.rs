//! The store lists the replicas on two pages. Between them a replica's entry is
//! removed, and the operator writes a new version of the configuration. The
//! ledger machine that lists has just been restarted. Afterwards the replica gets
//! no requests later than `drain-ms`.

use std::{
    thread,
    time::{Duration, Instant},
};

use serde_json::json;

use crate::{
    deployment::{Deployment, OTHER_SERVICE, SERVICE, configuration},
    store::Change,
};

/// Entries of replicas of another service, which no request goes to. With them the
/// list has more than the 500 entries of a page.
const OTHER_ENTRIES: usize = 504;

/// `drain-ms`, with a margin.
const DRAIN_TIME: Duration = Duration::from_millis(2_000);
const MARGIN: Duration = Duration::from_millis(100);

/// Time after the removal for which requests are sent. A replica goes on for
/// `drain-ms` and longer, "at times many seconds".
const CHECK_TIME: Duration = Duration::from_secs(10);

/// Clients of each gateway.
const CLIENTS: usize = 4;

/// Time between the end of a process and its next start.
const DOWN_TIME: Duration = Duration::from_millis(1_000);

/// Time that a process has after SIGTERM (`grace-s`).
const GRACE: Duration = Duration::from_secs(8);

/// Longest wait for the list.
const LIST_TIMEOUT: Duration = Duration::from_secs(10);

/// Returns whether the rule held.
pub fn run(deployment: &mut Deployment, has_trouble: bool) -> bool {
    let record = deployment.record.clone();
    let store = deployment.store.clone();
    for number in 0..OTHER_ENTRIES {
        let entry = json!({
            "service": OTHER_SERVICE, "address": format!("127.1.{}.{}:8500", number / 250, 1 + number % 250),
            "zone": "z-a", "version": "v1", "capacity": 6, "state": "ready", "cold-left-ms": 0,
            "sequence": 1, "born": 1_700_000_000_000_u64,
        });
        store.put("servers", &format!("i-other-{number:04}"), entry);
    }
    // All requests before the restart may use the replica.
    thread::sleep(Duration::from_secs(3));
    let leaving = deployment.replicas[0].clone();
    let removal = Change { kind: "servers".into(), name: leaving.name.clone(), spec: None };
    let version = Change {
        kind: "config".into(),
        name: "main".into(),
        spec: Some(configuration(2, SERVICE)),
    };
    if has_trouble {
        deployment.ledgers[0].stop(GRACE);
        store.change_between_pages("servers", removal, vec![version]);
        thread::sleep(DOWN_TIME);
        deployment.ledgers[0].start(false);
        let until = Instant::now() + LIST_TIMEOUT;
        while !store.has_changed_between_pages() && Instant::now() < until {
            thread::sleep(Duration::from_millis(1));
        }
    } else {
        store.change(&removal);
        store.change(&version);
    }
    let removed_at = Instant::now();
    record.say(&format!("removed replica={}", leaving.name));
    let deployment = &*deployment;
    let send_calls = &|gateway| {
        while removed_at.elapsed() < CHECK_TIME {
            let id = deployment.client.id();
            deployment.client.send(gateway, "GET", "/call/x", &id, "", "");
            thread::sleep(Duration::from_millis(20));
        }
    };
    thread::scope(|scope| {
        for gateway in deployment.fronts() {
            (0..CLIENTS).for_each(|_| drop(scope.spawn(move || send_calls(gateway))));
        }
    });
    let late = removed_at + DRAIN_TIME + MARGIN;
    let runs = leaving.runs();
    let late_runs = runs.iter().filter(|run| run.at >= late).count();
    let last = runs.iter().map(|run| run.at.saturating_duration_since(removed_at)).max();
    record.say(&format!(
        "runs at the removed replica later than drain-ms={late_runs} last_after_s={:.1}",
        last.unwrap_or_default().as_secs_f64()
    ));
    late_runs == 0
}
