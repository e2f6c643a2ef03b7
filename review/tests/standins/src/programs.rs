//! Programs whose turns are kept, and whether they go on after a final fault.

use std::{
    net::SocketAddr,
    sync::{
        Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    client::Turn,
    deployment::{Deployment, TURN_TOKENS},
};

/// Programs of each call of [`serve_programs`], with a first turn and one that
/// goes on each.
const PROGRAMS: usize = 400;

/// Programs that run at a time.
const PARALLEL: usize = 16;

/// Input of a turn in bytes, the mean of the users' tables.
const INPUT_BYTES: usize = 17_000;

/// `recover-s`, and the time after it in which requests are counted.
const RECOVER_TIME: Duration = Duration::from_secs(12);
const CHECK_TIME: Duration = Duration::from_secs(5);

/// Turns that were answered whole: their program and their request.
pub type Kept = Vec<(String, String)>;

/// Waits for `recover-s` after a final fault, then sends turns that go on from
/// `kept` ones and first turns. Returns whether these rules held:
///
/// - RECOVER: a quarter of the requests is served, as was before (`before` turns
///   of two for each program).
/// - LOST: a kept turn is continued.
pub fn check_recovery(deployment: &Deployment, kept: &Kept, before: usize) -> bool {
    thread::sleep(RECOVER_TIME);
    let (mut sent, mut served, mut kept_served) = (0, 0, 0);
    let until = Instant::now() + CHECK_TIME;
    while Instant::now() < until {
        let fronts = deployment.fronts();
        let gateway = fronts[sent % fronts.len()];
        let (program, last) = &kept[sent * kept.len() / 64 % kept.len()];
        let goes_on = is_served(deployment, gateway, program, Some(last));
        kept_served += usize::from(goes_on);
        served += usize::from(goes_on);
        served += usize::from(is_served(deployment, gateway, &format!("after-{sent}"), None));
        sent += 1;
        thread::sleep(Duration::from_millis(100));
    }
    deployment.record.say(&format!(
        "served before={before}/{} after={served}/{} kept={kept_served}/{sent}",
        2 * PROGRAMS,
        2 * sent
    ));
    let was_served = 4 * before >= 2 * PROGRAMS;
    !was_served || (4 * served >= 2 * sent && kept_served > 0)
}

/// Runs programs of two turns; returns how many turns were served.
pub fn serve_programs(deployment: &Deployment, phase: &str, kept: &mut Kept) -> usize {
    let fronts = deployment.fronts();
    let next = AtomicUsize::new(0);
    let ended = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for _ in 0..PARALLEL {
            scope.spawn(|| {
                loop {
                    let number = next.fetch_add(1, Ordering::Relaxed);
                    if number >= PROGRAMS {
                        return;
                    }
                    let program = format!("{phase}-{number}");
                    let gateway = fronts[number % fronts.len()];
                    let served = serve_program(deployment, gateway, &program);
                    ended.lock().expect("lock").push((program, served));
                }
            });
        }
    });
    let ended = ended.into_inner().expect("lock");
    let served = ended.iter().map(|(_, turns)| turns.len()).sum();
    let last = |(program, mut turns): (String, Vec<String>)| Some((program, turns.pop()?));
    kept.extend(ended.into_iter().filter_map(last));
    deployment.record.say(&format!("phase={phase} served={served}/{}", 2 * PROGRAMS));
    served
}

/// Runs a program of two turns; returns the ids of those that were served.
fn serve_program(deployment: &Deployment, gateway: SocketAddr, program: &str) -> Vec<String> {
    let mut turns: Vec<String> = Vec::new();
    for _ in 0..2 {
        let id = deployment.client.id();
        if !serve(deployment, gateway, program, &id, turns.last().map(String::as_str)) {
            break;
        }
        turns.push(id);
    }
    turns
}

fn is_served(
    deployment: &Deployment,
    gateway: SocketAddr,
    program: &str,
    previous: Option<&str>,
) -> bool {
    serve(deployment, gateway, program, &deployment.client.id(), previous)
}

fn serve(
    deployment: &Deployment,
    gateway: SocketAddr,
    program: &str,
    id: &str,
    previous: Option<&str>,
) -> bool {
    let turn = Turn {
        program,
        previous,
        budget: 1_000 * TURN_TOKENS,
        most: TURN_TOKENS,
        input_bytes: INPUT_BYTES,
    };
    deployment.client.turn(gateway, id, turn).is_served()
}
