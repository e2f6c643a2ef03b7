//! Places a request on a replica: rates each replica by its cost, and waits for
//! capacity while all are full.

use std::{sync::Arc, time::Duration};

use gg_ledger::OpenedTurn;
use gg_protocol::{Code, Failure};
use gg_route::{Deployment, UpstreamId};
use rand::Rng;
use tokio::time::{self, Instant};

use crate::{
    call::refusal,
    choice::{Candidate, ChoiceSettings, choose},
    crash,
    fleet::Service,
    proxy::{Job, hash},
    replica::{Placement, Replica},
    retry::{Attempts, RetryDecision},
    state::State,
};

/// Minimum limit on the requests of this gateway on one replica.
const LOAD_LIMIT_MIN: u32 = 3;

/// Share of the remaining time that a request may wait for capacity.
const WAIT_SHARE: f64 = 0.3;

/// Cost of another data centre for calls, in ms: only the round trip, as calls
/// are small.
const CALL_FAR_COST_MS: f64 = 3.0;

/// Maximum random cost added to a replica, in ms, so that equal replicas share
/// the load.
const TIE_BREAK_MS: f64 = 2.0;

/// Places a request on the best replica that was not tried yet; waits for
/// capacity if all are full.
pub(crate) async fn place<D: Deployment>(
    state: &State<D>,
    job: &Job,
    tried: &[UpstreamId],
    attempts: &Attempts,
    opened: &OpenedTurn,
) -> Result<Placement, Failure> {
    let remaining = job.deadline.saturating_duration_since(Instant::now());
    let limit = Instant::now() + remaining.mul_f64(WAIT_SHARE);
    let unplaced = |message| match attempts.final_decision() {
        RetryDecision::Abandon => Failure::unknown(Code::UpstreamFailed, message),
        _ => refusal(message),
    };
    loop {
        // Similar requests may have crashed replicas while this one waited, or
        // while it was on a replica that then refused it.
        if let Err(failure) = crash::check(state, job) {
            return Err(match attempts.final_decision() {
                RetryDecision::Abandon => unplaced("similar requests crashed replicas"),
                _ => failure,
            });
        }
        let Some(service) = state.fleet.service(&job.service.name) else {
            return Err(unplaced("no replica of the service is known"));
        };
        let load = service.load.clone();
        let notified = load.freed.notified();
        let available = untried(&service, tried);
        if available.is_empty() {
            return Err(unplaced("all replicas were tried"));
        }
        let attempt = tried.len() + 1;
        if let Some(place) = place_on_best(state, job, &available, opened, attempt) {
            return Ok(place);
        }
        if time::timeout_at(limit, notified).await.is_err() {
            return Err(unplaced("all replicas are full"));
        }
    }
}

/// Replicas of a service that accept work and were not tried yet.
pub(crate) fn untried<'a>(service: &'a Service, tried: &[UpstreamId]) -> Vec<&'a Arc<Replica>> {
    let replicas = service.replicas.iter();
    replicas.filter(|replica| replica.is_open() && !tried.contains(&replica.upstream.id)).collect()
}

/// Places a request on the best of the `available` replicas; `None` if all are
/// full. `attempt` is the number of the send, starting at 1.
pub(crate) fn place_on_best<D>(
    state: &State<D>,
    job: &Job,
    available: &[&Arc<Replica>],
    opened: &OpenedTurn,
    attempt: usize,
) -> Option<Placement> {
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
        })
        .collect();
    let settings = match is_model {
        true => ChoiceSettings::default(),
        false => ChoiceSettings { remote_cost_ms: CALL_FAR_COST_MS, ..ChoiceSettings::default() },
    };
    let draw = || rand::rng().random_range(0.0..TIE_BREAK_MS);
    let index = choose(&candidates, opened.history.len(), &settings, draw)?;
    let (replica, chosen) = (available[index], &candidates[index]);
    let limit = replica.rate_limit().map_or("-".to_owned(), |rate| rate.to_string());
    log::info!(
        "event=placed request={} replica={} candidates={} history={} load={} far={} parts={} \
         unread={} stray={} previous={} suspect={} delay_ms={:.0} attempt={attempt} limit={limit}",
        job.id(),
        replica.upstream.id.name,
        available.len(),
        opened.history.len(),
        chosen.load,
        chosen.is_remote,
        job.envelope.parts.len(),
        chosen.uncached_tokens,
        chosen.is_non_affinity,
        chosen.is_previous,
        chosen.is_suspect,
        chosen.delay_ms
    );
    let prefill_ms = chosen.prefill_ms(opened.history.len(), &settings);
    Some(replica.occupy(job.route.rank, Duration::from_secs_f64(prefill_ms / 1e3)))
}

/// The affinity replica for the object of a call: all gateways choose the same
/// one while it accepts work (rendezvous hashing).
fn affinity_replica<'a>(job: &Job, available: &[&'a Arc<Replica>]) -> Option<&'a Arc<Replica>> {
    let object = job.envelope.object.as_ref().filter(|_| job.route.is_sticky)?;
    let weight = |replica: &Arc<Replica>| {
        hash([object.as_bytes(), replica.upstream.id.name.as_bytes()].concat().as_slice())
    };
    available.iter().copied().max_by_key(|replica| weight(replica))
}
