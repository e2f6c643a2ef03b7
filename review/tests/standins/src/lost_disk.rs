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

/// Time from the request to empty one machine to the loss of another one's disk.
const LOSS_DELAY: Duration = Duration::from_millis(20);

/// Returns whether the rules held.
pub fn run(deployment: &mut Deployment, has_trouble: bool) -> bool {
    let mut kept = Vec::new();
    serve_programs(deployment, "before", &mut kept);
    if has_trouble {
        retire::request(deployment, 0);
        thread::sleep(LOSS_DELAY);
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

/// Ends a machine, which comes back with an empty disk.
pub fn lose_disk(deployment: &mut Deployment, number: usize) {
    deployment.ledgers[number].kill();
    deployment.ledgers[number].wipe();
    thread::sleep(DOWN_TIME);
    deployment.ledgers[number].start(false);
}
