//! What clients hear of instances beside turns: news of the directory, how
//! answers fare at other clients, requests that crash replicas.

use std::{
    sync::{Arc, MutexGuard, atomic::Ordering},
    time::{Duration, Instant},
};

use futures::future::join_all;
use gg_platform::{Kind, MirrorNews};
use rand::seq::SliceRandom;
use tokio::time;

use crate::{
    AgedFact, Content, CrashFact, Crashes, Ledger, Strains,
    crashes::log_fact,
    link::{CrashCursor, Link, Scope},
    node::lock,
    protocol::{Answer, CrashUpdates, Op},
};

/// Longest wait for an instance's news.
const POLL_TIMEOUT: Duration = Duration::from_millis(300);

/// Calls that belong to no partition.
const NO_PARTITION: Scope = Scope { partition: 0, epoch: 0 };

/// What one instance told.
#[derive(Clone, Debug)]
pub struct PollReply {
    /// What is new in the directory.
    pub news: Vec<MirrorNews>,
    /// Clients that asked it lately.
    pub clients: u32,
    /// How the answers fare that these pass on.
    pub strains: Strains,
}

impl Ledger {
    /// Number of clients that ask for news, this one included; 0 before any
    /// news.
    pub fn clients(&self) -> u32 {
        self.clients.load(Ordering::Relaxed)
    }

    /// Asks two instances, the nearest and one in another data centre, what
    /// is new in the directory since these revisions; tells them how the
    /// answers fare that are passed on here.
    pub async fn news(&self, known: &[(Kind, u64)], strains: &Strains) -> Vec<PollReply> {
        let calls = self.poll_targets().into_iter().map(async |link| {
            let (crashes, sent) = self.crash_updates(&link);
            let op = Op::Poll {
                from: self.client.clone(),
                known: known.to_vec(),
                strains: strains.clone(),
                crashes,
            };
            match time::timeout(POLL_TIMEOUT, link.call(NO_PARTITION, op)).await {
                Ok(Ok(Answer::Poll { news, polling_clients, strains, crashes })) => {
                    self.apply_crash_updates(&link, sent, &crashes);
                    Some(PollReply { news, clients: polling_clients, strains })
                }
                _ => None,
            }
        });
        let replies: Vec<PollReply> = join_all(calls).await.into_iter().flatten().collect();
        // An instance that has just started knows of few.
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

    /// What is known of crashes here.
    pub fn crashes(&self) -> MutexGuard<'_, Crashes> {
        lock(&self.crashes)
    }

    /// Takes in a fact about crashes that was seen here `age` ago, and tells it to
    /// all instances that are connected. What does not arrive is told with the
    /// news until it does.
    pub fn note_crash(&self, fact: CrashFact, age: Duration) {
        {
            let mut crashes = self.crashes();
            if !crashes.learn(&fact, age, Instant::now()) {
                return;
            }
            log_fact(&crashes, &fact, "here");
        }
        let aged = AgedFact { fact, age_ms: age.as_millis() as u64 };
        for link in lock(&self.state).links.all() {
            link.notify(NO_PARTITION, Op::ReportCrash(aged.clone()));
        }
    }

    /// Whether a content is not to be sent. Without any instance nothing is
    /// heard of the crashes that other clients see, so one counts as enough.
    pub fn is_refused(&self, content: Content) -> bool {
        let is_isolated = self.connected() == 0;
        let crashes = self.crashes();
        crashes.is_refused(content) || (is_isolated && crashes.count(content) > 0)
    }

    /// Takes in that a content was refused here; told with the news.
    pub fn note_refused(&self, content: Content) {
        let mut crashes = self.crashes();
        crashes.learn(&CrashFact::Refused { content }, Duration::ZERO, Instant::now());
    }

    /// What an instance is to hear of crashes, and the number of the last fact
    /// of that.
    fn crash_updates(&self, link: &Link) -> (CrashUpdates, u64) {
        let cursor = link.cursor();
        let (facts, sent) = self.crashes().since(cursor.sent, Instant::now());
        (CrashUpdates { incarnation: cursor.incarnation, last: cursor.received, facts }, sent)
    }

    /// Takes in what an instance knows of crashes; it knows ours up to `sent`
    /// now. An instance that has started again since may not know earlier ones.
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
