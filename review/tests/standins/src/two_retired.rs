//! Two of three ledger machines are emptied and taken away, one after the other.
//! Then, as the final fault, the last one loses its disk, which is as many as may
//! be lost. What was kept has to be served again `recover-s` after that.

use std::{thread, time::Duration};

use crate::{
    deployment::Deployment,
    lost_disk::lose_disk,
    programs::{check_recovery, serve_programs},
    retire,
};

/// Time between the two retirements, and from the second one to the final fault:
/// more than `contact-ms` + `catch-up-s`.
const CALM_TIME: Duration = Duration::from_millis(8_500);

/// Returns whether the rules held.
pub fn run(deployment: &mut Deployment, has_trouble: bool) -> bool {
    let mut kept = Vec::new();
    let mut served = serve_programs(deployment, "before", &mut kept);
    for number in 0..2 {
        if has_trouble {
            retire::request(deployment, number);
            retire::complete(deployment, number);
        }
        thread::sleep(CALM_TIME);
    }
    served = served.min(serve_programs(deployment, "calm", &mut kept));
    if has_trouble {
        deployment.record.say("final fault");
        lose_disk(deployment, 2);
    }
    check_recovery(deployment, &kept, served)
}
