//! Applies the pace of new and recovered replicas: which of them a request is
//! offered to, and what their answers say.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use gg_dispatch::{PaceView, PacedAnswer, PeerLoad};
use gg_ledger::OverloadReport;
use gg_protocol::{Name, OverloadStats};

use crate::{
    fleet::{Fleet, Service},
    replica::Replica,
};

/// Prefix of a replica's incarnation where the answers of replicas are listed
/// among the statistics of services.
const REPORT_PREFIX: &str = "replica/";

/// Share of a service's replicas that has to be established. Below it there is
/// nothing to compare new ones with, and all of them are needed.
const ESTABLISHED_SHARE_MIN: f64 = 0.5;

/// An answer is late beyond this many times the usual delay of the established
/// replicas.
const LATE_FACTOR: f64 = 2.0;

/// Delay, in ms, that is allowed on top; replicas have short hiccups.
const LATE_SLACK_MS: f64 = 40.0;

/// Expected time for uncached tokens, in ms, above which the answer shows whether
/// they were cached.
const COLD_PROMPT_MS: f64 = 20.0;

/// Replicas of a service among which a request is placed.
pub(crate) struct Paced<'a> {
    /// Replicas that take part like all others.
    pub(crate) established: Vec<&'a Arc<Replica>>,
    /// Replicas that are offered requests at their own pace.
    pub(crate) new: Vec<&'a Arc<Replica>>,
}

/// Separates the replicas that are still at their own pace.
pub(crate) fn split<'a>(available: &[&'a Arc<Replica>]) -> Paced<'a> {
    let (new, established): (Vec<_>, Vec<_>) =
        available.iter().copied().partition(|replica| replica.is_paced());
    let established_min = ESTABLISHED_SHARE_MIN * available.len() as f64;
    if new.is_empty() || (established.len() as f64) < established_min || established.is_empty() {
        return Paced { established: available.to_vec(), new: Vec::new() };
    }
    Paced { established, new }
}

/// Draws the new replica in this data centre that a request is offered to, if any.
/// Each replica in the data centre gets an equal part of its requests; `draw` is
/// random between 0 and the share of the requests that are offered.
pub(crate) fn offer<'a>(
    paced: &Paced<'a>,
    centre: &str,
    peers: PeerLoad,
    is_repeatable: bool,
    draw: f64,
) -> Option<(&'a Arc<Replica>, PaceView)> {
    let is_near = |replica: &&&Arc<Replica>| *replica.upstream.centre == *centre;
    let near = paced.established.iter().chain(&paced.new).filter(is_near).count() as f64;
    let mut rest = draw * near;
    for replica in paced.new.iter().filter(is_near) {
        let Some((view, share)) = replica.pace_share(peers, is_repeatable) else { continue };
        if rest < share {
            return Some((replica, view));
        }
        rest -= share;
    }
    None
}

/// Judges the first answer to a request that took `delay` on a new replica. Its
/// prompt was expected to take `prefill` because of uncached tokens.
pub(crate) fn judge(delay: Duration, prefill: Duration, usual_ms: f64) -> PacedAnswer {
    let (delay_ms, prefill_ms) = (delay.as_secs_f64() * 1e3, prefill.as_secs_f64() * 1e3);
    PacedAnswer {
        is_late: delay_ms > LATE_FACTOR * usual_ms + prefill_ms + LATE_SLACK_MS,
        was_cached: (prefill_ms >= COLD_PROMPT_MS)
            .then_some(delay_ms < usual_ms + prefill_ms / 2.0),
    }
}

/// Records the first answer of a replica of `service`, if it is at its own pace.
pub(crate) fn record_answer(
    service: Option<&Service>,
    replica: &Replica,
    delay: Duration,
    prefill: Duration,
) {
    let Some(service) = service.filter(|_| replica.is_paced()) else { return };
    replica.record_paced(judge(delay, prefill, usual_delay_ms(&service.replicas)));
}

/// Median delay of the established replicas, in ms.
pub(crate) fn usual_delay_ms(replicas: &[Arc<Replica>]) -> f64 {
    let known = replicas.iter().filter(|replica| replica.is_open() && !replica.is_paced());
    let mut delays: Vec<f64> =
        known.map(|replica| replica.delay_ms()).filter(|delay| *delay > 0.0).collect();
    delays.sort_by(f64::total_cmp);
    delays.get(delays.len() / 2).copied().unwrap_or(0.0)
}

/// Answers of the new replicas in `centre`, to be summed over all gateways that
/// send to them.
pub(crate) fn report(fleet: &Fleet, centre: &str) -> OverloadReport {
    let replicas = fleet.replicas();
    let near = replicas.iter().filter(|replica| *replica.upstream.centre == *centre);
    let own = |replica: &Arc<Replica>| {
        let answers = replica.paced_answers()?;
        Some((format!("{REPORT_PREFIX}{}", replica.incarnation()).as_str().into(), answers))
    };
    near.filter_map(own).collect()
}

/// Applies the sum of a replica's answers; returns whether `name` names one.
pub(crate) fn record_shared(
    fleet: &Fleet,
    name: &Name,
    answers: OverloadStats,
    gateways: u32,
    now: Instant,
) -> bool {
    let Some(incarnation) = name.strip_prefix(REPORT_PREFIX) else { return false };
    let id = incarnation.rsplit_once('/').map_or(incarnation, |(id, _)| id);
    if let Some(replica) = fleet.replica(id)
        && *replica.incarnation() == *incarnation
        && replica.record_paced_sum(answers, gateways, now)
        && let Some(service) = fleet.service(&replica.upstream.service)
    {
        // Gateways that have no answer of the replica yet would take it for the
        // fastest one and all prefer it.
        replica.assume_delay(usual_delay_ms(&service.replicas));
    }
    true
}
