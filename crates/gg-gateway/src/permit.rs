//! Permits to send requests to replicas. No request is sent without one.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use gg_ledger::{LimitReport, PermitReply, PermitRequest};
use gg_protocol::Name;
use tokio::time;

use crate::{LimitChange, proxy::Job, replica::Replica, state::State};

/// A permit that is used later than this after its time, because the process
/// was stopped or starved meanwhile, is void: others may have been granted
/// since.
const VALIDITY: Duration = Duration::from_millis(500);

/// Permit to send one request to a replica.
#[derive(Debug)]
pub(crate) struct Permit {
    replica: Arc<Replica>,
}

impl Permit {
    /// A permit for a replica that announces no limit; `None` for others.
    pub(crate) fn unlimited(replica: &Arc<Replica>) -> Option<Self> {
        replica.rate_limit().is_none().then(|| Permit { replica: replica.clone() })
    }

    /// Requests a permit and waits until it is due, at most for `max_wait`.
    /// Returns `None` if no permit is due in time.
    pub(crate) async fn acquire<D>(
        state: &State<D>,
        job: &Job,
        replica: &Arc<Replica>,
        max_wait: Duration,
    ) -> Option<Self> {
        if let Some(permit) = Permit::unlimited(replica) {
            return Some(permit);
        }
        let requested_at = Instant::now();
        let request = PermitRequest {
            replica: replica.incarnation(),
            limit: replica.with_limit(|limit| limit.report(requested_at)),
            max_wait_ms: u32::try_from(max_wait.as_millis()).unwrap_or(u32::MAX),
        };
        let (reply, share) = state.ledger.request_permit(&request).await;
        let from_request = |ms: u32| requested_at + Duration::from_millis(ms.into());
        let result = match reply {
            PermitReply::Granted { wait_ms, next_ms } => {
                replica.with_limit(|limit| limit.record_next_permit(from_request(next_ms)));
                wait_until_due(from_request(wait_ms)).await
            }
            PermitReply::Denied { wait_ms } => {
                replica.with_limit(|limit| limit.record_next_permit(from_request(wait_ms)));
                PermitResult::Denied { wait_ms }
            }
            PermitReply::Unlimited => {
                record_end(state, replica);
                PermitResult::Granted
            }
            PermitReply::NotIssuer => PermitResult::Denied { wait_ms: 0 },
        };
        state.metrics.count(
            "permits",
            &[("service", &replica.upstream.service), ("result", result.as_str())],
        );
        match result {
            PermitResult::Granted => Some(Permit { replica: replica.clone() }),
            PermitResult::Void => None,
            PermitResult::Denied { wait_ms } => {
                log::info!(
                    "event=permit_denied request={} replica={} limit={} share={share} \
                     wait_ms={wait_ms} max_wait_ms={}",
                    job.id(),
                    replica.upstream.id.name,
                    request.limit.rate.unwrap_or_default(),
                    request.max_wait_ms
                );
                None
            }
        }
    }

    /// Uses the permit.
    pub(crate) fn into_replica(self) -> Arc<Replica> {
        self.replica
    }
}

/// What came of a request for a permit.
enum PermitResult {
    Granted,
    /// No permit is due in time; the next one is due after `wait_ms`.
    Denied {
        wait_ms: u32,
    },
    /// The permit was used too late.
    Void,
}

impl PermitResult {
    fn as_str(&self) -> &'static str {
        match self {
            PermitResult::Granted => "granted",
            PermitResult::Denied { .. } => "denied",
            PermitResult::Void => "void",
        }
    }
}

/// Waits until a granted permit is due.
async fn wait_until_due(due_at: Instant) -> PermitResult {
    time::sleep_until(due_at.into()).await;
    if due_at.elapsed() > VALIDITY { PermitResult::Void } else { PermitResult::Granted }
}

fn record_end<D>(state: &State<D>, replica: &Replica) {
    let now = Instant::now();
    if let Some(change) = replica.with_limit(|limit| limit.record_end(now)) {
        log_limit_change(state, replica, change, "issuer");
    }
}

/// Records limits of replicas' incarnations that other gateways observed.
pub(crate) fn record_limits<D>(state: &State<D>, limits: Vec<(Name, LimitReport)>) {
    let now = Instant::now();
    for (incarnation, report) in limits {
        let name = incarnation.rsplit_once('/').map_or(&*incarnation, |(name, _)| name);
        let replica = state.fleet.replica(name);
        let Some(replica) = replica.filter(|replica| replica.incarnation() == incarnation) else {
            continue;
        };
        if let Some(change) = replica.with_limit(|limit| limit.record_report(report, now)) {
            log_limit_change(state, &replica, change, "poll");
        }
    }
}

/// Logs how a replica's limit changed and how the gateway learned of it.
pub(crate) fn log_limit_change<D>(
    state: &State<D>,
    replica: &Replica,
    change: LimitChange,
    told_by: &str,
) {
    let (event, rate, was) = match change {
        LimitChange::Learned(rate) => ("limit_learned", rate, None),
        LimitChange::Changed { from, to } => ("limit_changed", to, Some(from)),
        LimitChange::Ended(rate) => ("limit_ended", 0.0, Some(rate)),
    };
    let name = &replica.upstream.id.name;
    let was = was.map_or("-".to_owned(), |was| was.to_string());
    log::info!("event={event} replica={name} rate={rate} was={was} told_by={told_by}");
    state.metrics.count("limit_changes", &[("event", event)]);
}
