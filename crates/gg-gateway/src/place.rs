//! Places a request on a replica: rates each replica by its cost, and waits for
//! capacity while all are full.

use std::{sync::Arc, time::Duration};

use gg_ledger::OpenedTurn;
use gg_protocol::{Code, Failure};
use gg_route::{Deployment, UpstreamId};
use rand::Rng;
use tokio::time::{self, Instant};

use crate::{
    admit::peer_load,
    call::{limited, refusal},
    choice::{Candidate, ChoiceSettings, choose},
    crash, credit,
    fleet::Service,
    pacing::{self, Paced},
    permit::Permit,
    proxy::{Job, hash},
    replica::{InFlight, Placement, Replica},
    retry::{Attempts, RetryDecision},
    state::State,
};

/// Minimum limit on the requests of this gateway on one replica.
const LOAD_LIMIT_MIN: u32 = 3;

/// Share of the remaining time that a request may wait for capacity.
const WAIT_SHARE: f64 = 0.3;

/// Denied permits after which a request goes to a replica whose wait is known:
/// one without a limit, or one of those that were asked for.
const DENIALS_MAX: usize = 3;

/// Less urgent requests wait less for a permit, by this factor for each rank, so
/// that the permits that are due later are left to more urgent ones.
const RANK_WAIT_FACTOR: f64 = 0.8;

/// Cost of another data centre for calls, in ms: only the round trip, as calls
/// are small.
const CALL_FAR_COST_MS: f64 = 3.0;

/// Maximum random cost added to a replica, in ms, so that equal replicas share
/// the load.
const TIE_BREAK_MS: f64 = 2.0;

/// Places a request on the best replica that was not tried yet; waits for
/// capacity if all are full, and for a permit if its replica announces a rate
/// limit.
pub(crate) async fn place<D: Deployment>(
    state: &State<D>,
    job: &Job,
    tried: &[UpstreamId],
    attempts: &Attempts,
    opened: &OpenedTurn,
) -> Result<Placement, Failure> {
    let started_at = Instant::now();
    let wait_max = job.deadline.saturating_duration_since(started_at).mul_f64(WAIT_SHARE);
    let limit = started_at + wait_max;
    let rank_factor = RANK_WAIT_FACTOR.powi(job.rank().into());
    let permit_limit = started_at + wait_max.mul_f64(rank_factor);
    let unplaced = |failure: Failure| match attempts.final_decision() {
        RetryDecision::Abandon => Failure::unknown(Code::UpstreamFailed, failure.message),
        _ => failure,
    };
    let mut denied: Vec<Arc<Replica>> = Vec::new();
    loop {
        if !state.replicas_guard.until_usable().await {
            return Err(unplaced(refusal("the list of replicas may be out of date")));
        }
        credit::renew(state, job).await.map_err(unplaced)?;
        // Similar requests may have crashed replicas while this one waited, or
        // while it was on a replica that then refused it.
        crash::check(state, job).map_err(unplaced)?;
        job.check_key(state).map_err(unplaced)?;
        let Some(service) = state.fleet.service(&job.service.name) else {
            return Err(unplaced(refusal("no replica of the service is known")));
        };
        let load = service.load.clone();
        // Requests that wait count as well: admission has to see them.
        let in_flight = load.enter(job.rank());
        let notified = load.freed.notified();
        let available = untried(&service, tried);
        if available.is_empty() {
            return Err(unplaced(refusal("all replicas were tried")));
        }
        let available = reachable(state, available);
        if available.is_empty() {
            return Err(unplaced(refusal("no replica can be reached")));
        }
        let permit_max = permit_limit.saturating_duration_since(Instant::now());
        let in_time: Vec<_> = available
            .iter()
            .copied()
            .filter(|replica| replica.permit_wait() <= permit_max)
            .collect();
        if in_time.is_empty() {
            return Err(unplaced(no_permit(job, &available)));
        }
        let candidates = after_denials(&in_time, &denied);
        let paced = pacing::split(&candidates);
        let selected = select_new(state, job, &service, &paced, opened)
            .or_else(|| select(state, job, &paced.established, opened))
            .or_else(|| select(state, job, &paced.new, opened));
        if let Some(selected) = selected {
            let wait_max = selected.wait_max.min(permit_max);
            if let Some(permit) = Permit::acquire(state, job, &selected.replica, wait_max).await {
                credit::renew(state, job).await.map_err(unplaced)?;
                return Ok(selected.occupy(permit, in_flight, job, started_at, tried.len() + 1));
            }
            if Instant::now() >= permit_limit {
                return Err(unplaced(no_permit(job, &available)));
            }
            // The wait for a permit is known better now.
            denied.push(selected.replica);
            continue;
        }
        // Credit would be void, and lost to the account, before there is room.
        job.credit.release();
        if time::timeout_at(limit, notified).await.is_err() {
            return Err(unplaced(refusal("all replicas are full")));
        }
    }
}

/// The replicas to which this gateway has or may open a connection: while it is
/// isolated, those with an idle one.
fn reachable<'a, D>(state: &State<D>, available: Vec<&'a Arc<Replica>>) -> Vec<&'a Arc<Replica>> {
    if !state.connector.is_isolated() {
        return available;
    }
    available.into_iter().filter(|replica| replica.pool.has_idle()).collect()
}

/// Replicas that are considered after some were `denied` a permit: with many
/// limited replicas, asking for one after the other would take longer than to
/// wait for a known one.
fn after_denials<'a>(
    available: &[&'a Arc<Replica>],
    denied: &[Arc<Replica>],
) -> Vec<&'a Arc<Replica>> {
    let is_known = |replica: &&Arc<Replica>| {
        replica.rate_limit().is_none() || denied.iter().any(|known| Arc::ptr_eq(known, replica))
    };
    let known: Vec<_> = available.iter().copied().filter(is_known).collect();
    if denied.len() < DENIALS_MAX || known.is_empty() { available.to_vec() } else { known }
}

/// A refusal as the announced limits of all replicas leave no room in time. It
/// tells the client to retry when the next permit is due.
pub(crate) fn no_permit(job: &Job, available: &[&Arc<Replica>]) -> Failure {
    let wait = permit_wait(available);
    log::info!(
        "event=refused_limited request={} service={} rank={} replicas={} wait_ms={}",
        job.id(),
        job.service.name,
        job.rank(),
        available.len(),
        wait.as_millis()
    );
    limited(wait)
}

/// Shortest expected wait for a permit at any of the replicas.
pub(crate) fn permit_wait(replicas: &[&Arc<Replica>]) -> Duration {
    replicas.iter().map(|replica| replica.permit_wait()).min().unwrap_or_default()
}

/// Replicas of a service that accept work and were not tried yet.
pub(crate) fn untried<'a>(service: &'a Service, tried: &[UpstreamId]) -> Vec<&'a Arc<Replica>> {
    let replicas = service.replicas.iter();
    replicas.filter(|replica| replica.is_open() && !tried.contains(&replica.upstream.id)).collect()
}

/// A replica selected for a request, which still needs a permit.
pub(crate) struct Selected {
    pub(crate) replica: Arc<Replica>,
    candidate: Candidate,
    /// Wait for a permit up to which this replica remains the best one.
    wait_max: Duration,
    candidates: usize,
    history: usize,
    /// Expected time to process the uncached prompt tokens.
    prefill: Duration,
}

impl Selected {
    /// Places the request, whose placement began at `started_at`. `attempt` is
    /// the number of the send, starting at 1.
    pub(crate) fn occupy(
        self,
        permit: Permit,
        in_flight: InFlight,
        job: &Job,
        started_at: Instant,
        attempt: usize,
    ) -> Placement {
        let Selected { replica, candidate, .. } = &self;
        let limit = replica.rate_limit().map_or("-".to_owned(), |rate| rate.to_string());
        log::info!(
            "event=placed request={} replica={} candidates={} history={} load={} far={} \
             parts={} unread={} stray={} previous={} suspect={} delay_ms={:.0} \
             attempt={attempt} limit={limit} wait_ms={}",
            job.id(),
            replica.upstream.id.name,
            self.candidates,
            self.history,
            candidate.load,
            candidate.is_remote,
            job.envelope.parts.len(),
            candidate.uncached_tokens,
            candidate.is_non_affinity,
            candidate.is_previous,
            candidate.is_suspect,
            candidate.delay_ms,
            started_at.elapsed().as_millis()
        );
        Placement::new(permit, in_flight, self.prefill)
    }
}

/// Selects a new replica if the request is offered to one. Only requests without
/// history are: others have to read it again there.
fn select_new<D>(
    state: &State<D>,
    job: &Job,
    service: &Service,
    paced: &Paced<'_>,
    opened: &OpenedTurn,
) -> Option<Selected> {
    if paced.new.is_empty() {
        return None;
    }
    let is_free = opened.history.is_empty() && opened.upstream.is_none();
    let free_share = service.load.record_free(is_free);
    if !is_free {
        return None;
    }
    let peers = peer_load(state, &job.service.name, service);
    // The requests without history make up for those that stay where they are.
    let draw = rand::rng().random_range(0.0..1.0) * free_share;
    let is_repeatable = job.route.is_repeatable();
    let (replica, view) = pacing::offer(paced, &state.centre, peers, is_repeatable, draw)?;
    let selected = select(state, job, &[replica], opened)?;
    log::info!(
        "event=offered request={} replica={} timely={:.1} late={:.1} in_flight={:.1} \
         window={:.1} peers={:.1} age_ms={}",
        job.id(),
        replica.upstream.id.name,
        view.timely,
        view.late,
        view.in_flight,
        view.window,
        peers.in_flight,
        view.age.map_or("-".to_owned(), |age| age.as_millis().to_string()),
    );
    Some(selected)
}

/// Selects the best of the `available` replicas; `None` if all are full.
pub(crate) fn select<D>(
    state: &State<D>,
    job: &Job,
    available: &[&Arc<Replica>],
    opened: &OpenedTurn,
) -> Option<Selected> {
    let is_model = job.service.event_tokens > 0;
    let load_max = (job.service.connections / state.gateways()).max(LOAD_LIMIT_MIN);
    let fastest = available.iter().map(|replica| replica.delay_ms()).fold(f64::INFINITY, f64::min);
    let affinity_replica = affinity_replica(job, available);
    let candidates: Vec<Candidate> = available
        .iter()
        .map(|replica| Candidate {
            load: replica.load(),
            load_max,
            is_remote: replica.upstream.centre != state.centre,
            uncached_tokens: if is_model {
                replica.uncached_tokens(job.prompt(), &job.service)
            } else {
                0
            },
            is_non_affinity: affinity_replica
                .is_some_and(|affinity_replica| !Arc::ptr_eq(affinity_replica, replica)),
            is_previous: !is_model || opened.upstream.as_ref() == Some(&replica.upstream.id.name),
            is_suspect: replica.is_suspect(),
            delay_ms: (replica.delay_ms() - fastest).max(0.0),
            permit_wait_ms: replica.permit_wait().as_secs_f64() * 1e3,
        })
        .collect();
    let settings = match is_model {
        true => ChoiceSettings::default(),
        false => ChoiceSettings { remote_cost_ms: CALL_FAR_COST_MS, ..ChoiceSettings::default() },
    };
    let draw = || rand::rng().random_range(0.0..TIE_BREAK_MS);
    let history = opened.history.len();
    let choice = choose(&candidates, history, &settings, draw)?;
    let candidate = candidates[choice.index];
    let wait_max = Duration::try_from_secs_f64(choice.wait_max_ms / 1e3).unwrap_or(Duration::MAX);
    let prefill_ms = candidate.prefill_ms(history, &settings);
    Some(Selected {
        replica: available[choice.index].clone(),
        candidate,
        wait_max,
        candidates: available.len(),
        history,
        prefill: Duration::from_secs_f64(prefill_ms / 1e3),
    })
}

/// The affinity replica for the object of a call: all gateways choose the same
/// one while it accepts work (rendezvous hashing).
fn affinity_replica<'a>(job: &Job, available: &[&'a Arc<Replica>]) -> Option<&'a Arc<Replica>> {
    let object = job.envelope.object.as_ref().filter(|_| job.route.is_sticky)?;
    let object = job.owned(object);
    let weight = |replica: &Arc<Replica>| {
        hash([object.as_bytes(), replica.upstream.id.name.as_bytes()].concat().as_slice())
    };
    available.iter().copied().max_by_key(|replica| weight(replica))
}
