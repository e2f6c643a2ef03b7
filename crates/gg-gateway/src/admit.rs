//! Admission control: admits new work only while the replicas can finish it in
//! time.

use std::time::{Duration, Instant};

use gg_dispatch::{Admission, NewWork, Occupancy, PeerLoad};
use gg_ledger::{CreditUse, OverloadReport};
use gg_protocol::{Code, Failure, Name, OverloadStats};
use gg_route::RouteKind;
use rand::Rng;

use crate::{
    call::refusal,
    credit,
    fleet::Service,
    pacing,
    place::{no_permit, permit_wait, untried},
    proxy::Job,
    state::{State, lock},
};

/// A stream counts as late if its first event takes longer than this share of
/// its latency objective: it then waited in the replica's queue. On idle
/// replicas the first event takes a tenth of the objective.
pub const STREAM_LATE_SHARE: f64 = 0.25;

/// The same limit for the complete response of a call, most of which is
/// processing time.
const CALL_LATE_SHARE: f64 = 0.6;

/// New work may wait for a permit for this share of its latency objective.
const NEW_WORK_WAIT_SHARE: f64 = 0.5;

/// The overload statistics of a service with fewer recent responses than this
/// and no requests in flight are not shared with other gateways.
const SHARED_RESPONSES_MIN: f32 = 0.1;

/// Decides on a request that starts new work: the first turn of a program, or a
/// request outside any program. All other requests belong to work that was
/// admitted before; they are always admitted, so that it can finish, if their
/// account has credit for them.
pub(crate) async fn admit<D>(state: &State<D>, job: &Job) -> Result<(), Failure> {
    let program = job.program();
    let is_continuation = match (job.route.kind, &program) {
        (RouteKind::Stream, _) if job.envelope.turn.previous.is_some() => true,
        (RouteKind::Stream, Some(program)) => {
            lock(&state.programs).is_active(program, Instant::now())
        }
        (_, program) => program.is_some(),
    };
    if is_continuation {
        return credit::admit(state, job, CreditUse::InProgress).await;
    }
    let checked = check_buffers(state, job)
        .and_then(|()| check_permits(state, job))
        .and_then(|()| check_capacity(state, job));
    let admitted = match checked {
        Ok(()) => credit::admit(state, job, CreditUse::New).await,
        refused => refused,
    };
    let Err(refusal) = admitted else { return Ok(()) };
    // Earlier turns of the program may have been handled by other gateways.
    if let Some(program) = &program
        && state.ledger.has_account(program, job.deadline).await
    {
        state.metrics.count("known_by_account", &[]);
        log::info!("event=under_way request={} program={program}", job.id());
        return credit::admit(state, job, CreditUse::InProgress).await;
    }
    state.metrics.count("refused_new", &[("rank", &job.rank().to_string())]);
    Err(refusal)
}

/// Records that a turn was admitted and opened, so its program is now in
/// progress.
pub(crate) fn record_opened<D>(state: &State<D>, job: &Job) {
    if let Some(program) = job.program() {
        lock(&state.programs).record(&program, Instant::now());
    }
}

/// Refuses new work while buffered responses take most of their memory budget: the rest
/// is left to work that was admitted before.
fn check_buffers<D>(state: &State<D>, job: &Job) -> Result<(), Failure> {
    if state.buffer_budget.has_room() {
        return Ok(());
    }
    let held = state.buffer_budget.bytes();
    log::info!("event=refused_buffers request={} held_bytes={held}", job.id());
    Err(refusal("the memory for responses is used up"))
}

/// Refuses new work while all replicas announce rate limits and no permit is due
/// soon: the permits that are due are left to work that was admitted before.
fn check_permits<D>(state: &State<D>, job: &Job) -> Result<(), Failure> {
    let Some(service) = state.fleet.service(&job.service.name) else { return Ok(()) };
    let wait_max = job.route.target.mul_f64(NEW_WORK_WAIT_SHARE);
    let available = untried(&service, &[]);
    if permit_wait(&available) <= wait_max { Ok(()) } else { Err(no_permit(job, &available)) }
}

/// Checks whether the service has capacity for new work.
fn check_capacity<D>(state: &State<D>, job: &Job) -> Result<(), Failure> {
    let Some(service) = state.fleet.service(&job.service.name) else { return Ok(()) };
    let work = NewWork { rank: job.rank(), objective: job.route.target };
    let occupancy = occupancy(state, &service);
    let draw = rand::rng().random_range(0.0..1.0);
    let admitted =
        update(state, &job.service.name, |control, now| control.admit(work, occupancy, now, draw));
    let Err(refusal) = admitted else { return Ok(()) };
    let retry_ms = refusal.retry.as_millis() as u64;
    log::info!(
        "event=refused_new request={} service={} rank={} under_way={:?} places={:.1} limit={:.1} \
         late={:.0}/{:.0} slow={:.0}/{:.0} retry_ms={retry_ms}",
        job.id(),
        job.service.name,
        work.rank,
        occupancy.in_flight,
        occupancy.capacity,
        refusal.limit,
        refusal.stats.late,
        refusal.stats.started,
        refusal.stats.slow,
        refusal.stats.timed,
    );
    let message = "the replicas can't finish more work in time";
    Err(Failure::unexecuted(Code::Overloaded, message).retry_in(retry_ms))
}

/// Records how long a replica took for the first event of a stream, or for a
/// whole call. `prefill` is the expected time for uncached prompt tokens; it is
/// no sign of a queue and is allowed on top of the limit.
pub(crate) fn record_delay<D>(state: &State<D>, job: &Job, delay: Duration, prefill: Duration) {
    let share = match job.route.kind {
        RouteKind::Stream => STREAM_LATE_SHARE,
        _ => CALL_LATE_SHARE,
    };
    record_outcome(state, job, delay > job.route.target.mul_f64(share) + prefill);
}

/// Minimum number of events from which the interval between the events of a
/// stream is computed.
const INTERVAL_EVENTS_MIN: u32 = 4;

/// Records that `events` events of a stream arrived within `time` of the first
/// one.
pub(crate) fn record_event_interval<D>(state: &State<D>, job: &Job, events: u32, time: Duration) {
    let Some(service) = state.fleet.service(&job.service.name) else { return };
    if events < INTERVAL_EVENTS_MIN {
        return;
    }
    let interval_ms = time.as_secs_f64() * 1e3 / f64::from(events - 1);
    let occupancy = occupancy(state, &service);
    update(state, &job.service.name, |control, now| {
        control.record_interval(interval_ms, occupancy, now);
    });
}

/// Records that a replica was full or did not respond in time.
pub(crate) fn record_full<D>(state: &State<D>, job: &Job) {
    record_outcome(state, job, true);
}

/// Recent overload statistics of all services, and answers of new replicas, as
/// sent to other gateways.
pub(crate) fn overload_statistics<D>(state: &State<D>) -> OverloadReport {
    let now = Instant::now();
    let mut admissions = lock(&state.admissions);
    let statistics = admissions.iter_mut().map(|(name, control)| {
        let service = state.fleet.service(name).unwrap_or_default();
        let in_flight: u32 = service.load.in_flight().iter().sum();
        let stats = OverloadStats { in_flight: in_flight as f32, ..control.own_stats(now) };
        (name.clone(), stats)
    });
    let mut report: OverloadReport = statistics
        .filter(|(_, stats)| stats.started >= SHARED_RESPONSES_MIN || stats.in_flight > 0.0)
        .collect();
    report.extend(pacing::report(&state.fleet, &state.centre));
    report
}

/// Load of a replica of `service` as all gateways have it on the mean.
pub(crate) fn peer_load<D>(state: &State<D>, name: &Name, service: &Service) -> PeerLoad {
    let gateways = state.gateways();
    let own = f64::from(service.load.in_flight().iter().sum::<u32>());
    let mean = lock(&state.admissions).get(name).and_then(|own| own.mean_in_flight(Instant::now()));
    let replicas = service.replicas.iter().filter(|replica| replica.is_open()).count().max(1);
    let in_flight = mean.unwrap_or(own) * f64::from(gateways) / replicas as f64;
    PeerLoad { in_flight, gateways }
}

/// Applies the overload statistics summed over many gateways.
pub(crate) fn record_shared<D>(state: &State<D>, overload: OverloadReport) {
    for (name, stats) in overload {
        if pacing::record_shared(&state.fleet, &name, stats, state.gateways(), Instant::now()) {
            continue;
        }
        let Some(service) = state.fleet.service(&name) else { continue };
        let occupancy = occupancy(state, &service);
        update(state, &name, |control, now| control.record_shared(stats, occupancy, now));
    }
}

fn record_outcome<D>(state: &State<D>, job: &Job, is_late: bool) {
    let Some(service) = state.fleet.service(&job.service.name) else { return };
    let occupancy = occupancy(state, &service);
    update(state, &job.service.name, |control, now| control.record_start(is_late, occupancy, now));
}

/// Requests of this gateway in flight on the replicas of a service, and its
/// share of their capacity.
fn occupancy<D>(state: &State<D>, service: &Service) -> Occupancy {
    let capacity: f64 = service.replicas.iter().map(|replica| service.load.capacity(replica)).sum();
    let capacity = capacity / f64::from(state.gateways());
    Occupancy { in_flight: service.load.in_flight(), capacity }
}

fn update<D, T>(
    state: &State<D>,
    service: &Name,
    apply: impl FnOnce(&mut Admission, Instant) -> T,
) -> T {
    let now = Instant::now();
    let mut admissions = lock(&state.admissions);
    let control = admissions.entry(service.clone()).or_insert_with(|| Admission::new(now));
    apply(control, now)
}
