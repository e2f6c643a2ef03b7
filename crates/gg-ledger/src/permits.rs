//! Send permits, as clients request them from their issuers.

use std::{sync::Arc, time::Duration};

use tokio::time;

use crate::{
    Layout, Ledger, LimitReport, PermitReply, PermitRequest,
    hash::mix,
    link::{Link, Scope},
    node::lock,
    protocol::{Op, ReplyBody},
    set::fnv1a,
};

/// Timeout of a permit request to one issuer. A link is slow, and then not used
/// for permits, from about this time on.
const PERMIT_TIMEOUT: Duration = Duration::from_millis(300);

/// Wait of a client that reaches no issuer, in milliseconds.
const NO_ISSUER_WAIT_MS: u32 = 100;

/// Shares of a replica's limit that its first and second issuer may grant. The
/// second one is used by clients that don't reach the first one. The sum bounds
/// what a replica gets while some clients use either.
const ISSUER_SHARES: [f64; 2] = [1.0, 0.3];

/// Disks of the instances that issue the permits of a replica, best first. All
/// clients and instances with the same layout agree on them (rendezvous
/// hashing).
pub fn permit_issuers(layout: &Layout, replica: &str) -> [Option<u64>; 2] {
    let key = fnv1a(replica.as_bytes());
    let sets = layout.partitions.iter();
    let disks = sets.flat_map(|set| set.members.iter().chain(set.next.iter().flatten()));
    let mut best: [Option<(u64, u64)>; 2] = [None, None];
    for member in disks {
        let candidate = Some((mix(key ^ member.disk), member.disk));
        if candidate > best[0] {
            best = [candidate, best[0]];
        } else if candidate != best[0] && candidate > best[1] {
            best[1] = candidate;
        }
    }
    best.map(|issuer| issuer.map(|(_, disk)| disk))
}

/// Share of a replica's limit that the instance with this disk may grant, if it
/// is one of the replica's issuers.
pub(crate) fn issuer_share(layout: &Layout, replica: &str, disk: u64) -> Option<f64> {
    let rank = permit_issuers(layout, replica).iter().position(|issuer| *issuer == Some(disk))?;
    Some(ISSUER_SHARES[rank])
}

impl Ledger {
    /// Requests a permit to send one request to a replica that announces a rate
    /// limit. Returns the share of the limit that the replying issuer may grant
    /// as well. Without a reachable issuer the permit is denied, as nobody
    /// would count the request.
    pub async fn request_permit(&self, request: &PermitRequest) -> (PermitReply, f64) {
        for (link, share) in self.issuer_links(&request.replica) {
            let call = link.call(Scope::NO_PARTITION, Op::Permit(request.clone()));
            match time::timeout(PERMIT_TIMEOUT, call).await {
                Ok(Ok(ReplyBody::Permit(PermitReply::NotIssuer))) => {}
                Ok(Ok(ReplyBody::Permit(reply))) => return (reply, share),
                _ => log::info!(
                    "event=permit_unanswered replica={} instance={}",
                    request.replica,
                    link.member.instance
                ),
            }
        }
        (PermitReply::Denied { wait_ms: NO_ISSUER_WAIT_MS }, 0.0)
    }

    /// Reports a replica's limit to its issuers. Used for the end of a limit;
    /// permit requests carry all other changes.
    pub fn report_limit(&self, replica: &str, limit: LimitReport) {
        for (link, _) in self.issuer_links(replica) {
            link.notify(Scope::NO_PARTITION, Op::ReportLimit(replica.into(), limit));
        }
    }

    /// Links to the issuers of a replica that respond in time, best first, with
    /// their shares.
    fn issuer_links(&self, replica: &str) -> Vec<(Arc<Link>, f64)> {
        let state = lock(&self.state);
        let issuers = permit_issuers(&state.layout, replica).into_iter().zip(ISSUER_SHARES);
        issuers
            .filter_map(|(disk, share)| Some((state.links.get(disk?)?.clone(), share)))
            .filter(|(link, _)| link.is_usable())
            .collect()
    }
}
