//! Lets new work in while the replicas can finish it in time.

use std::time::{Duration, Instant};

use gg_dispatch::{Admission, Fill, NewWork};
use gg_ledger::Strains;
use gg_protocol::{Code, Failure, Name, Strain};
use gg_route::RouteKind;
use rand::Rng;

use crate::{
    fleet::Service,
    proxy::Job,
    state::{State, lock},
};

/// A stream whose first event takes longer than this share of its objective
/// waited at the replica; on free ones it takes a tenth.
pub const STREAM_LATE_SHARE: f64 = 0.25;

/// The same for a call's whole answer, most of which is its work.
const CALL_LATE_SHARE: f64 = 0.6;

/// A service with fewer recent answers and nothing under way is not worth
/// telling others of.
const TOLD_MIN: f32 = 0.1;

/// Decides on a request that begins something: the first turn of a program,
/// or a request outside any. Everything else belongs to work under way, which
/// has been let in already and is finished.
pub(crate) async fn admit<D>(state: &State<D>, job: &Job) -> Result<(), Failure> {
    let turn = &job.envelope.turn;
    let is_begun = match (job.route.kind, &turn.program) {
        (RouteKind::Stream, _) if turn.previous.is_some() => true,
        (RouteKind::Stream, Some(program)) => {
            lock(&state.programs).is_under_way(program, Instant::now())
        }
        (_, program) => program.is_some(),
    };
    if is_begun {
        return Ok(());
    }
    let Err(refusal) = decide(state, job) else { return Ok(()) };
    // Its turns before may have come to other gateways.
    if let Some(program) = &turn.program
        && state.ledger.has_account(program, job.deadline).await
    {
        state.metrics.count("known_by_account", &[]);
        log::info!("event=under_way request={} program={program}", job.id());
        return Ok(());
    }
    state.metrics.count("refused_new", &[("rank", &job.route.rank.to_string())]);
    Err(refusal)
}

/// A turn was let in and opened, so its program is under way.
pub(crate) fn note_opened<D>(state: &State<D>, job: &Job) {
    if let Some(program) = &job.envelope.turn.program {
        lock(&state.programs).note(program, Instant::now());
    }
}

/// Decides on new work.
fn decide<D>(state: &State<D>, job: &Job) -> Result<(), Failure> {
    let Some(service) = state.fleet.service(&job.service.name) else { return Ok(()) };
    let work = NewWork { rank: job.route.rank, objective: job.route.target };
    let fill = fill(state, &service);
    let draw = rand::rng().random_range(0.0..1.0);
    let decided =
        with(state, &job.service.name, |admission, now| admission.admit(work, fill, now, draw));
    let Err(refusal) = decided else { return Ok(()) };
    let retry_ms = refusal.retry.as_millis() as u64;
    log::info!(
        "event=refused_new request={} service={} rank={} under_way={:?} places={:.1} limit={:.1} \
         late={:.0}/{:.0} slow={:.0}/{:.0} retry_ms={retry_ms}",
        job.id(),
        job.service.name,
        work.rank,
        fill.under_way,
        fill.places,
        refusal.limit,
        refusal.strain.late,
        refusal.strain.begun,
        refusal.strain.slow,
        refusal.strain.paced,
    );
    let message = "the replicas can't finish more in time now";
    Err(Failure::not_run(Code::Overloaded, message).retry_in(retry_ms))
}

/// Takes in how long a replica took until a stream's first event, or for a
/// whole call. The time of `reading` a prompt that it did not know is no sign
/// of a queue.
pub(crate) fn note_delay<D>(state: &State<D>, job: &Job, delay: Duration, reading: Duration) {
    let share = match job.route.kind {
        RouteKind::Stream => STREAM_LATE_SHARE,
        _ => CALL_LATE_SHARE,
    };
    note(state, job, delay > job.route.target.mul_f64(share) + reading);
}

/// Fewest events of a stream that tell its pace.
const PACE_EVENTS_MIN: u32 = 4;

/// Takes in that a stream's `events` came within `time` of the first one.
pub(crate) fn note_pace<D>(state: &State<D>, job: &Job, events: u32, time: Duration) {
    let Some(service) = state.fleet.service(&job.service.name) else { return };
    if events < PACE_EVENTS_MIN {
        return;
    }
    let pace_ms = time.as_secs_f64() * 1e3 / f64::from(events - 1);
    let fill = fill(state, &service);
    with(state, &job.service.name, |admission, now| {
        admission.note_pace(pace_ms, fill, now);
    });
}

/// Takes in that a replica was full, or gave no answer in time.
pub(crate) fn note_full<D>(state: &State<D>, job: &Job) {
    note(state, job, true);
}

/// How the answers of all services fared lately, for other gateways.
pub(crate) fn strains<D>(state: &State<D>) -> Strains {
    let now = Instant::now();
    let mut admissions = lock(&state.admissions);
    let told = admissions.iter_mut().map(|(name, admission)| {
        let service = state.fleet.service(name).unwrap_or_default();
        let under_way: u32 = service.load.under_way().iter().sum();
        let strain = Strain { under_way: under_way as f32, ..admission.own(now) };
        (name.clone(), strain)
    });
    told.filter(|(_, strain)| strain.begun >= TOLD_MIN || strain.under_way > 0.0).collect()
}

/// Takes in how those of many gateways did.
pub(crate) fn note_shared<D>(state: &State<D>, strains: Strains) {
    for (name, strain) in strains {
        let Some(service) = state.fleet.service(&name) else { continue };
        let fill = fill(state, &service);
        with(state, &name, |admission, now| admission.note_shared(strain, fill, now));
    }
}

fn note<D>(state: &State<D>, job: &Job, is_late: bool) {
    let Some(service) = state.fleet.service(&job.service.name) else { return };
    let fill = fill(state, &service);
    with(state, &job.service.name, |admission, now| admission.note(is_late, fill, now));
}

/// What this gateway has on the replicas of a service.
fn fill<D>(state: &State<D>, service: &Service) -> Fill {
    let slots: u32 = service.replicas.iter().map(|replica| replica.upstream.slots).sum();
    let places = f64::from(slots) / f64::from(state.gateways());
    Fill { under_way: service.load.under_way(), places }
}

fn with<D, T>(
    state: &State<D>,
    service: &Name,
    act: impl FnOnce(&mut Admission, Instant) -> T,
) -> T {
    let now = Instant::now();
    let mut admissions = lock(&state.admissions);
    let admission = admissions.entry(service.clone()).or_insert_with(|| Admission::new(now));
    act(admission, now)
}
