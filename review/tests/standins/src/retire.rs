//! Requests to empty a ledger machine.

use std::{
    thread,
    time::{Duration, Instant},
};

use serde_json::json;

use crate::deployment::Deployment;

/// Time that a machine is to be emptied in (`duration-s`), and longest wait for
/// the status that says so.
const RETIRE_S: f64 = 8.9;
const RETIRE_TIMEOUT: Duration = Duration::from_secs(15);

/// Asks for the machine with this number to be emptied.
pub fn request(deployment: &Deployment, number: usize) {
    let name = &deployment.ledgers[number].name;
    deployment.store.put("retirements", name, json!({"duration-s": RETIRE_S}));
    deployment.record.say(&format!("retirement requested machine={name}"));
}

/// Waits until the machine's status says that it is empty, and removes it then, as
/// the operator does.
pub fn complete(deployment: &mut Deployment, number: usize) {
    let name = deployment.ledgers[number].name.clone();
    let until = Instant::now() + RETIRE_TIMEOUT;
    let mut is_completed = false;
    while !is_completed && Instant::now() < until {
        thread::sleep(Duration::from_millis(20));
        let status = deployment.store.status("retirements", &name);
        is_completed = status["state"] == "completed";
    }
    deployment.record.say(&format!("retirement machine={name} completed={is_completed}"));
    deployment.record.say(&format!("layout={}", deployment.store.spec("gg-ledgers", "layout")));
    if is_completed {
        deployment.ledgers[number].kill();
        deployment.ledgers[number].wipe();
    }
}
