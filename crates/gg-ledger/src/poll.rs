//! Data that clients exchange with instances besides turns: directory updates,
//! overload statistics of other clients, and requests that crash replicas.

use std::{
    sync::{Arc, MutexGuard, atomic::Ordering},
    time::{Duration, Instant},
};

use futures::future::join_all;
use gg_platform::{AnswerSpan, Kind, MirrorUpdate};
use gg_protocol::Name;
use rand::seq::SliceRandom;
use tokio::time;

use crate::{
    AgedFact, CrashFact, CrashFacts, Ledger, LimitReport, OverloadReport, RequestFingerprint,
    TunnelOffer,
    crashes::log_fact,
    link::{CrashCursor, Link, Scope},
    node::lock,
    protocol::{CrashUpdates, Op, ReplyBody},
};

/// Timeout of a poll.
const POLL_TIMEOUT: Duration = Duration::from_millis(300);

/// Reply of one instance to a poll.
#[derive(Clone, Debug)]
pub struct PollReply {
    /// The instance that replied.
    pub instance: Name,
    /// When the poll was sent.
    pub sent_at: Instant,
    /// Directory updates.
    pub updates: Vec<MirrorUpdate>,
    /// Number of clients that polled the instance recently.
    pub clients: u32,
    /// Overload statistics summed over these clients.
    pub overload: OverloadReport,
    /// Rate limits of some replicas' incarnations.
    pub limits: Vec<(Name, LimitReport)>,
    /// Offers of tunnels, if they were asked for.
    pub peers: Vec<TunnelOffer>,
    /// When the directory has answered the instance or its peers.
    pub answers: Option<AnswerSpan>,
}

/// What a client tells and asks of tunnels in a poll.
#[derive(Clone, Debug, Default)]
pub struct PollTunnels {
    /// Its own offer, if it makes one.
    pub offer: Option<TunnelOffer>,
    /// Whether it asks for the offers of others.
    pub wants_peers: bool,
}

impl Ledger {
    /// Number of polling clients including this one; 0 before the first reply.
    pub fn clients(&self) -> u32 {
        self.clients.load(Ordering::Relaxed)
    }

    /// Polls two instances for directory updates since these revisions and
    /// reports this client's overload statistics to them. If possible, one is in
    /// this client's data centre and one in another.
    pub async fn poll(
        &self,
        known: &[(Kind, u64)],
        overload: &OverloadReport,
        tunnels: &PollTunnels,
    ) -> Vec<PollReply> {
        let calls = self.poll_targets().into_iter().map(async |link| {
            let (crashes, sent) = self.crash_updates(&link);
            let op = Op::Poll {
                from: self.client.clone(),
                known: known.to_vec(),
                overload: overload.clone(),
                crashes,
                offer: tunnels.offer.clone(),
                wants_peers: tunnels.wants_peers,
            };
            let sent_at = Instant::now();
            match time::timeout(POLL_TIMEOUT, link.call(Scope::NO_PARTITION, op)).await {
                Ok(Ok(ReplyBody::Poll {
                    updates,
                    polling_clients,
                    overload,
                    crashes,
                    limits,
                    peers,
                    answers,
                })) => {
                    self.apply_crash_updates(&link, sent, &crashes);
                    let clients = polling_clients;
                    let instance = link.member.instance.clone();
                    let span = |report| AnswerSpan::from_peer(report, sent_at, Instant::now());
                    let answers = answers.and_then(span);
                    Some(PollReply {
                        instance,
                        sent_at,
                        updates,
                        clients,
                        overload,
                        limits,
                        peers,
                        answers,
                    })
                }
                _ => None,
            }
        });
        let replies: Vec<PollReply> = join_all(calls).await.into_iter().flatten().collect();
        // An instance that has just started knows few clients.
        if let Some(clients) = replies.iter().map(|reply| reply.clients).max() {
            self.clients.store(clients, Ordering::Relaxed);
        }
        replies
    }

    fn poll_targets(&self) -> Vec<Arc<Link>> {
        let state = lock(&self.state);
        let mut usable: Vec<&Arc<Link>> =
            state.links.all().filter(|link| link.is_usable()).collect();
        usable.shuffle(&mut rand::rng());
        usable.sort_by_key(|link| link.member.centre != self.centre);
        let Some(first) = usable.first() else { return Vec::new() };
        let other = usable.iter().find(|link| link.member.centre != first.member.centre);
        [Some(first), other.or(usable.get(1))]
            .into_iter()
            .flatten()
            .map(|link| (*link).clone())
            .collect()
    }

    /// Name of this client.
    pub fn client(&self) -> &str {
        &self.client
    }

    /// Crash facts known to this client.
    pub fn crashes(&self) -> MutexGuard<'_, CrashFacts> {
        lock(&self.crashes)
    }

    /// Records a crash fact observed here `age` ago and reports it to all
    /// connected instances. The following polls send it again, in case the
    /// report was lost.
    pub fn report_crash(&self, fact: CrashFact, age: Duration) {
        {
            let mut crashes = self.crashes();
            if !crashes.learn(&fact, age, Instant::now()) {
                return;
            }
            log_fact(&crashes, &fact, "here");
        }
        let aged = AgedFact { fact, age_ms: age.as_millis() as u64 };
        for link in lock(&self.state).links.all() {
            link.notify(Scope::NO_PARTITION, Op::ReportCrash(aged.clone()));
        }
    }

    /// Whether a request fingerprint is refused. Without a connected instance
    /// this client doesn't learn of crashes at other clients, so a single crash
    /// is enough.
    pub fn is_refused(&self, fingerprint: RequestFingerprint) -> bool {
        let is_isolated = self.connected() == 0;
        let crashes = self.crashes();
        crashes.is_refused(fingerprint) || (is_isolated && crashes.count(fingerprint) > 0)
    }

    /// Records that a request fingerprint was refused here. Reported with the
    /// next poll.
    pub fn record_refusal(&self, fingerprint: RequestFingerprint) {
        let mut crashes = self.crashes();
        crashes.learn(&CrashFact::Refused { fingerprint }, Duration::ZERO, Instant::now());
    }

    /// Crash facts that an instance may not know, and the serial of the last of
    /// them.
    fn crash_updates(&self, link: &Link) -> (CrashUpdates, u64) {
        let cursor = link.cursor();
        let (facts, sent) = self.crashes().since(cursor.sent, Instant::now());
        (CrashUpdates { incarnation: cursor.incarnation, last: cursor.received, facts }, sent)
    }

    /// Applies an instance's crash facts and records that it has received ours
    /// up to `sent`. A restarted instance may not know earlier ones, so all are
    /// sent to it again.
    fn apply_crash_updates(&self, link: &Link, sent: u64, updates: &CrashUpdates) {
        let has_restarted = link.cursor().incarnation != updates.incarnation;
        let sent = if has_restarted { 0 } else { sent };
        link.set_cursor(CrashCursor {
            incarnation: updates.incarnation,
            received: updates.last,
            sent,
        });
        let mut crashes = self.crashes();
        for fact in crashes.merge(&updates.facts, Instant::now()) {
            log_fact(&crashes, &fact, &link.member.instance);
        }
    }
}
