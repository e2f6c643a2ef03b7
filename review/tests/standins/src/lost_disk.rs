//! One ledger machine is emptied and taken away while another one loses its
//! disk. Later, as the final fault, a third one loses its disk. What was kept has
//! to be served again `recover-s` after that.

use std::{
    thread,
    time::{Duration, Instant},
};

use crate::{
    deployment::Deployment,
    programs::{check_recovery, serve_programs},
    retire,
};

/// Time after which a machine that has lost its disk is back.
pub const DOWN_TIME: Duration = Duration::from_millis(1_000);

/// Time from the return of the second machine to the final fault: more than
/// `contact-ms` + `catch-up-s` + `contact-ms`.
const CALM_TIME: Duration = Duration::from_millis(12_000);

/// Longest wait for the change of the layout that empties the machine. The other
/// one loses its disk while the change is in progress, which lasts as long as the
/// copies take.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(2);

/// Returns whether the rules held.
pub fn run(deployment: &mut Deployment, has_trouble: bool) -> bool {
    let mut kept = Vec::new();
    serve_programs(deployment, "before", &mut kept);
    if has_trouble {
        retire::request(deployment, 0);
        await_change(deployment);
        lose_disk(deployment, 1);
    }
    let returned_at = Instant::now();
    if has_trouble {
        retire::complete(deployment, 0);
    }
    thread::sleep(CALM_TIME.saturating_sub(returned_at.elapsed()));
    let served = serve_programs(deployment, "calm", &mut kept);
    if has_trouble {
        deployment.record.say("final fault");
        lose_disk(deployment, 2);
    }
    check_recovery(deployment, &kept, served)
}

/// Waits until a change of the layout is in progress.
fn await_change(deployment: &Deployment) {
    let until = Instant::now() + CHANGE_TIMEOUT;
    let layout = || deployment.store.spec("gg-ledgers", "layout");
    while layout()["partitions"][0]["next"].is_null() && Instant::now() < until {
        thread::sleep(Duration::from_millis(1));
    }
    deployment.record.say(&format!("layout={}", layout()));
}

/// Ends a machine, which comes back with an empty disk.
pub fn lose_disk(deployment: &mut Deployment, number: usize) {
    deployment.ledgers[number].kill();
    deployment.ledgers[number].wipe();
    thread::sleep(DOWN_TIME);
    deployment.ledgers[number].start(false);
}
