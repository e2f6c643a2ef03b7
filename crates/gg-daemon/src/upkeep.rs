//! Periodic maintenance of a home: ends idle programs, has engines release the
//! cache of ended programs, removes ended programs after the retention time and
//! trims the journal.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use gg_engine::EngineError;
use gg_journal::Position;
use gg_platform::ObjectStore;
use gg_program::{EndReason, Record, State};
use gg_protocol::{Name, ProgramId, clock::wall_ms};
use tokio::time;

use crate::{
    ended_histories,
    home::{Home, HostedProgram, idempotency_object},
    lock::lock,
    outage,
};

/// Interval between maintenance rounds.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(500);

/// Number of newest journal objects that a trim always keeps. A trim starts when
/// the journal has twice this many objects after the last trim position.
const RETAINED_OBJECTS: u64 = 64;

/// Maximum number of program snapshots written in one round.
const SNAPSHOTS_PER_ROUND: usize = 64;

/// Runs until the home is closed.
pub(crate) async fn run(home: Arc<Home>) {
    let mut trimmed = 1;
    let mut dropped = 0;
    loop {
        time::sleep(MAINTENANCE_INTERVAL).await;
        if home.journal.is_stalled() {
            continue;
        }
        if let Some(settled) = home.settled_copies().filter(|settled| *settled > dropped) {
            outage::drop_copies(&home.shared, home.id(), settled).await;
            dropped = settled;
        }
        let programs = home.hosted_programs();
        ended_histories::drop_excess(&programs);
        for hosted in programs {
            maintain(&home, &hosted).await;
        }
        trim_journal(&home, &mut trimmed).await;
    }
}

/// Performs the maintenance that is due for one program.
async fn maintain(home: &Arc<Home>, hosted: &Arc<HostedProgram>) {
    if lock(&hosted.running).is_some() {
        return;
    }
    let (id, state, touched_ms, profile) = {
        let program = lock(&hosted.program);
        let profile = program.start.profile.clone();
        (program.id().clone(), program.state, program.touched_ms, profile)
    };
    match state {
        State::Running => {
            let config = home.shared.config.get();
            let idle_ms = config.profile(&profile).map(|profile| profile.idle_ms);
            if idle_ms.is_some_and(|idle_ms| wall_ms() > touched_ms + idle_ms) {
                let _ = home.end(&id, None, EndReason::Idle).await;
            }
        }
        State::Ended { at_ms, .. } => {
            let released = release_program(home, hosted, &id).await;
            let retain = home.shared.settings.timing.retain.as_millis() as u64;
            if released && wall_ms() > at_ms + retain {
                forget_program(home, hosted, &id).await;
            }
        }
    }
}

/// Has the engines release the cache of an ended program; returns whether all
/// of them have.
async fn release_program(home: &Arc<Home>, hosted: &Arc<HostedProgram>, id: &ProgramId) -> bool {
    let upstreams = lock(&hosted.program).upstreams.clone();
    let mut released = true;
    for upstream in upstreams {
        if release_on(home, &upstream, id).await {
            lock(&hosted.program).upstreams.retain(|known| *known != upstream);
            let record = Record::Released { program: id.clone(), upstream: upstream.clone() };
            let _ = home.journal.submit(&[record]);
            log::info!("event=released program={id} replica={upstream}");
        } else {
            released = false;
        }
    }
    released
}

/// Releases a program's cache on one engine. An engine that is no longer
/// configured, or that responds with status 404, counts as released.
async fn release_on(home: &Arc<Home>, upstream: &Name, id: &ProgramId) -> bool {
    let config = home.shared.config.get();
    let Some(engine) = config.upstream(upstream) else { return true };
    match home.shared.engine.release(&engine.address, id).await {
        Ok(()) | Err(EngineError::Refused(404, _)) => true,
        Err(_) => false,
    }
}

/// Removes an ended program with its idempotency key.
async fn forget_program(home: &Arc<Home>, hosted: &Arc<HostedProgram>, id: &ProgramId) {
    let start = lock(&hosted.program).start.clone();
    if let Some(key) = &start.key {
        let object = idempotency_object(&start.customer, key);
        if home.shared.platform.delete(&object).await.is_err() {
            return;
        }
    }
    let record = Record::Forgotten { program: id.clone() };
    if home.journal.submit(&[record]).is_ok() {
        home.remove(id);
    }
}

/// Writes snapshots of programs that need old journal objects, and removes the
/// objects that no replay needs.
async fn trim_journal(home: &Arc<Home>, trimmed: &mut u64) {
    let next_sequence = home.journal.next_sequence();
    if next_sequence < *trimmed + 2 * RETAINED_OBJECTS {
        return;
    }
    let trim_limit = next_sequence - RETAINED_OBJECTS;
    let mut outdated: Vec<Arc<HostedProgram>> = home.hosted_programs();
    outdated.retain(|hosted| hosted.oldest_object.load(Ordering::SeqCst) < trim_limit);
    for hosted in outdated.into_iter().take(SNAPSHOTS_PER_ROUND) {
        snapshot(home, &hosted).await;
    }
    let hosted_programs = home.hosted_programs();
    let oldest_object =
        hosted_programs.iter().map(|hosted| hosted.oldest_object.load(Ordering::SeqCst)).min();
    let adoption = home.oldest_adoption().unwrap_or(trim_limit);
    let keep_from = oldest_object.unwrap_or(trim_limit).min(trim_limit).min(adoption);
    if keep_from > *trimmed && home.journal.trim(*trimmed, Position(keep_from)).await.is_ok() {
        log::info!("event=journal_trimmed journal={} from={trimmed} to={keep_from}", home.id());
        *trimmed = keep_from;
    }
}

/// Writes a snapshot of a program, unless it has a step in progress.
async fn snapshot(home: &Arc<Home>, hosted: &Arc<HostedProgram>) {
    let submitted = {
        let running = lock(&hosted.running);
        if running.is_some() {
            return;
        }
        let program = lock(&hosted.program);
        home.journal.submit(&[Record::Snapshot(Box::new(program.clone()))])
    };
    let Ok(submitted) = submitted else { return };
    if let Ok(Ok(position)) = submitted.await {
        hosted.oldest_object.store(position.0, Ordering::SeqCst);
    }
}
