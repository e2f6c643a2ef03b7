//! Upkeep of a home: idle programs are ended, engines release what they
//! hold of ended ones, forgotten programs leave nothing, and the journal
//! stays short.

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
    home::{Home, Resident, anchor_key},
    lock::lock,
    outage,
};

/// Time between two rounds.
const ROUND: Duration = Duration::from_millis(500);

/// The journal is shortened when it is this many objects longer than at the
/// last time, or than its programs need.
const OBJECTS_KEPT: u64 = 64;

/// Programs whose state is written anew in one round.
const SNAPSHOTS_PER_ROUND: usize = 64;

/// Runs until the home is closed.
pub(crate) async fn run(home: Arc<Home>) {
    let mut trimmed = 1;
    let mut dropped = 0;
    loop {
        time::sleep(ROUND).await;
        if home.journal.is_stalled() {
            continue;
        }
        if let Some(settled) = home.settled_copies().filter(|settled| *settled > dropped) {
            outage::drop_copies(&home.shared, home.id(), settled).await;
            dropped = settled;
        }
        for resident in home.residents() {
            keep(&home, &resident).await;
        }
        shorten(&home, &mut trimmed).await;
    }
}

/// Does what is due for one program.
async fn keep(home: &Arc<Home>, resident: &Arc<Resident>) {
    if lock(&resident.running).is_some() {
        return;
    }
    let (id, state, touched_ms, profile) = {
        let program = lock(&resident.program);
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
            let clean = release(home, resident, &id).await;
            let retain = home.shared.settings.timing.retain.as_millis() as u64;
            if clean && wall_ms() > at_ms + retain {
                forget(home, resident, &id).await;
            }
        }
    }
}

/// Has the engines free what they hold of an ended program; returns whether
/// nothing is left to free.
async fn release(home: &Arc<Home>, resident: &Arc<Resident>, id: &ProgramId) -> bool {
    let upstreams = lock(&resident.program).upstreams.clone();
    let mut clean = true;
    for upstream in upstreams {
        if release_one(home, &upstream, id).await {
            lock(&resident.program).upstreams.retain(|known| *known != upstream);
            let record = Record::Released { program: id.clone(), upstream: upstream.clone() };
            let _ = home.journal.submit(&[record]);
            log::info!("event=released program={id} replica={upstream}");
        } else {
            clean = false;
        }
    }
    clean
}

/// An engine that is no longer configured holds nothing of ours.
async fn release_one(home: &Arc<Home>, upstream: &Name, id: &ProgramId) -> bool {
    let config = home.shared.config.get();
    let Some(engine) = config.upstream(upstream) else { return true };
    match home.shared.engine.release(&engine.address, id).await {
        Ok(()) | Err(EngineError::Refused(404, _)) => true,
        Err(_) => false,
    }
}

async fn forget(home: &Arc<Home>, resident: &Arc<Resident>, id: &ProgramId) {
    let start = lock(&resident.program).start.clone();
    if let Some(key) = &start.key {
        let object = anchor_key(&start.customer, key);
        if home.shared.platform.delete(&object).await.is_err() {
            return;
        }
    }
    let record = Record::Forgotten { program: id.clone() };
    if home.journal.submit(&[record]).is_ok() {
        home.remove(id);
    }
}

/// Writes old programs' state anew and removes objects that no replay needs.
async fn shorten(home: &Arc<Home>, trimmed: &mut u64) {
    let length = home.journal.length();
    if length < *trimmed + 2 * OBJECTS_KEPT {
        return;
    }
    let border = length - OBJECTS_KEPT;
    let mut old: Vec<Arc<Resident>> = home.residents();
    old.retain(|resident| resident.oldest.load(Ordering::SeqCst) < border);
    for resident in old.into_iter().take(SNAPSHOTS_PER_ROUND) {
        snapshot(home, &resident).await;
    }
    let residents = home.residents();
    let oldest = residents.iter().map(|resident| resident.oldest.load(Ordering::SeqCst)).min();
    let adoption = home.oldest_adoption().unwrap_or(border);
    let keep_from = oldest.unwrap_or(border).min(border).min(adoption);
    if keep_from > *trimmed && home.journal.trim(*trimmed, Position(keep_from)).await.is_ok() {
        log::info!("event=journal_trimmed journal={} from={trimmed} to={keep_from}", home.id());
        *trimmed = keep_from;
    }
}

/// Writes the whole state of a program that has no step under way.
async fn snapshot(home: &Arc<Home>, resident: &Arc<Resident>) {
    let submitted = {
        let running = lock(&resident.running);
        if running.is_some() {
            return;
        }
        let program = lock(&resident.program);
        home.journal.submit(&[Record::Snapshot(Box::new(program.clone()))])
    };
    let Ok(submitted) = submitted else { return };
    if let Ok(Ok(position)) = submitted.await {
        resident.oldest.store(position.0, Ordering::SeqCst);
    }
}
