//! Takes a place on a replica for a job: what is known of each replica goes
//! into the choice, and jobs wait here while all are full.

use std::{sync::Arc, time::Duration};

use gg_ledger::Opened;
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
    replica::{Place, Replica},
    retry::{Next, Tries},
    state::State,
};

/// Fewest requests of ours that a replica may have.
const LOAD_MIN: u32 = 3;

/// Share of the time left that a request may wait for a place.
const WAIT_SHARE: f64 = 0.3;

/// Way to another data centre and back, in ms; calls are small.
const CALL_FAR_MS: f64 = 3.0;

/// Random part of a replica's cost, in ms, so that equal ones share.
const DRAW_MS: f64 = 2.0;

/// Takes a place on the best replica that was not tried yet; waits for one
/// if all are full.
pub(crate) async fn place<D: Deployment>(
    state: &State<D>,
    job: &Job,
    tried: &[UpstreamId],
    tries: &Tries,
    opened: &Opened,
) -> Result<Place, Failure> {
    let left = job.deadline.saturating_duration_since(Instant::now());
    let limit = Instant::now() + left.mul_f64(WAIT_SHARE);
    let give_up = |message| match tries.end() {
        Next::GiveUp => Failure::unknown(Code::UpstreamFailed, message),
        _ => refusal(message),
    };
    loop {
        // Others like it may have crashed replicas while it waited, or while a
        // replica had it that refused it then.
        if let Err(failure) = crash::check(state, job) {
            return Err(match tries.end() {
                Next::GiveUp => give_up("requests like this one crashed replicas"),
                _ => failure,
            });
        }
        let Some(service) = state.fleet.service(&job.service.name) else {
            return Err(give_up("no replica of the service is known"));
        };
        let load = service.load.clone();
        let notified = load.freed.notified();
        let open = untried(&service, tried);
        if open.is_empty() {
            return Err(give_up("no replica is left to try"));
        }
        if let Some(place) = best(state, job, &open, opened) {
            return Ok(place);
        }
        if time::timeout_at(limit, notified).await.is_err() {
            return Err(give_up("all replicas are full"));
        }
    }
}

/// Replicas of a service that take work and were not tried yet.
pub(crate) fn untried<'a>(service: &'a Service, tried: &[UpstreamId]) -> Vec<&'a Arc<Replica>> {
    let replicas = service.replicas.iter();
    replicas.filter(|replica| replica.is_open() && !tried.contains(&replica.upstream.id)).collect()
}

/// A place on the best of some replicas for a job; `None` if all are full.
pub(crate) fn best<D>(
    state: &State<D>,
    job: &Job,
    open: &[&Arc<Replica>],
    opened: &Opened,
) -> Option<Place> {
    let is_model = job.service.event_tokens > 0;
    let load_max = (job.service.connections / state.gateways()).max(LOAD_MIN);
    let fastest = open.iter().map(|replica| replica.delay_ms()).fold(f64::INFINITY, f64::min);
    let handler = handler(job, open);
    let candidates: Vec<Candidate> = open
        .iter()
        .map(|replica| Candidate {
            load: replica.load(),
            load_max,
            is_far: replica.upstream.centre != state.centre,
            unread: if is_model { replica.unread(job.prompt(), &job.service) } else { 0 },
            is_stray: handler.is_some_and(|handler| !Arc::ptr_eq(handler, replica)),
            is_previous: !is_model || opened.upstream.as_ref() == Some(&replica.upstream.id.name),
            is_suspect: replica.is_suspect(),
            delay_ms: (replica.delay_ms() - fastest).max(0.0),
        })
        .collect();
    let settings = match is_model {
        true => ChoiceSettings::default(),
        false => ChoiceSettings { far_ms: CALL_FAR_MS, ..ChoiceSettings::default() },
    };
    let draw = || rand::rng().random_range(0.0..DRAW_MS);
    let index = choose(&candidates, opened.history.len(), &settings, draw)?;
    let (replica, chosen) = (open[index], &candidates[index]);
    log::info!(
        "event=placed request={} replica={} candidates={} history={} load={} far={} parts={} \
         unread={} stray={} previous={} suspect={} delay_ms={:.0}",
        job.id(),
        replica.upstream.id.name,
        open.len(),
        opened.history.len(),
        chosen.load,
        chosen.is_far,
        job.envelope.parts.len(),
        chosen.unread,
        chosen.is_stray,
        chosen.is_previous,
        chosen.is_suspect,
        chosen.delay_ms
    );
    let reading_ms = chosen.reading_ms(opened.history.len(), &settings);
    Some(replica.occupy(job.route.rank, Duration::from_secs_f64(reading_ms / 1e3)))
}

/// The replica that handles the object of a call: the same one at all gateways
/// while it takes work (rendezvous hashing).
fn handler<'a>(job: &Job, open: &[&'a Arc<Replica>]) -> Option<&'a Arc<Replica>> {
    let object = job.envelope.object.as_ref().filter(|_| job.route.is_sticky)?;
    let weight = |replica: &Arc<Replica>| {
        hash([object.as_bytes(), replica.upstream.id.name.as_bytes()].concat().as_slice())
    };
    open.iter().copied().max_by_key(|replica| weight(replica))
}
