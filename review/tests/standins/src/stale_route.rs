//! Two versions of the configuration come in quick succession, and the store is
//! down for a moment right after the second one was acknowledged. Requests that
//! are sent once all machines are in touch again have to follow it.

use std::{
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use crate::{
    deployment::{Deployment, OTHER_SERVICE, SERVICE, configuration},
    store::Change,
};

/// Time between the two versions.
const BETWEEN: Duration = Duration::from_millis(330);

/// Time that the store is down.
const DOWN_TIME: Duration = Duration::from_millis(500);

/// `contact-ms`, counted from the end of the outage, and `config-apply-ms`,
/// counted from the ack, with a margin that lets no request start too early.
const CONTACT_TIME: Duration = Duration::from_millis(3_000);
const APPLY_TIME: Duration = Duration::from_millis(2_000);
const MARGIN: Duration = Duration::from_millis(100);

/// Time after the ack for which requests are sent.
const CHECK_TIME: Duration = Duration::from_secs(8);

/// Replicas of the service to which the route moves.
const OTHER_REPLICAS: std::ops::Range<usize> = 10..12;

/// Time that the system runs before the first version.
const CALM_TIME: Duration = Duration::from_secs(6);

/// Returns whether the rule held.
pub fn run(deployment: &mut Deployment, has_trouble: bool) -> bool {
    let record = deployment.record.clone();
    OTHER_REPLICAS.for_each(|number| deployment.add_replica(number, OTHER_SERVICE));
    thread::sleep(CALM_TIME);
    deployment.store.put("config", "main", configuration(2, SERVICE));
    record.say("acked version=2");
    thread::sleep(BETWEEN);
    let version = Change {
        kind: "config".into(),
        name: "main".into(),
        spec: Some(configuration(3, OTHER_SERVICE)),
    };
    if has_trouble {
        deployment.store.change_and_go_down(&version, DOWN_TIME);
    } else {
        deployment.store.change(&version);
    }
    let acked_at = Instant::now();
    record.say(&format!("acked version=3 down_ms={}", if has_trouble { 500 } else { 0 }));
    let counted_from = acked_at + MARGIN + APPLY_TIME.max(DOWN_TIME + CONTACT_TIME);
    let (mut counted, mut old) = (0, 0);
    while acked_at.elapsed() < CHECK_TIME {
        for gateway in deployment.fronts() {
            let is_counted = Instant::now() >= counted_from;
            let is_old = runs_at_old_service(deployment, gateway);
            counted += u32::from(is_counted);
            old += u32::from(is_counted && is_old);
            if is_old {
                let after_s = acked_at.elapsed().as_secs_f64();
                record.line(&format!("old gateway={gateway} after_s={after_s:.3}"));
            }
        }
        thread::sleep(Duration::from_millis(50));
    }
    record.say(&format!("requests counted={counted} run by the old service={old}"));
    old == 0
}

/// Sends a call; returns whether a replica of the service that the route has left
/// runs it.
fn runs_at_old_service(deployment: &Deployment, gateway: SocketAddr) -> bool {
    let id = deployment.client.id();
    deployment.client.send(gateway, "GET", "/call/x", &id, "", "");
    let old = deployment.replicas.iter().filter(|replica| replica.service == SERVICE);
    old.into_iter().any(|replica| replica.has_run(&id))
}
