//! What clients hear of instances beside turns: news of the directory, how
//! answers fare at other clients, requests that crash replicas.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use futures::future::join_all;
use gg_platform::{Kind, MirrorNews};
use gg_protocol::Name;
use rand::seq::SliceRandom;
use tokio::time;

use crate::{
    Ledger, Strains,
    link::{Link, Scope},
    node::lock,
    protocol::{Answer, Ask},
};

/// Longest wait for an instance's news.
const NEWS_TIMEOUT: Duration = Duration::from_millis(300);

/// Calls that belong to no partition.
const NO_PARTITION: Scope = Scope { partition: 0, epoch: 0 };

/// What one instance told.
#[derive(Clone, Debug)]
pub struct Heard {
    /// What is new in the directory.
    pub news: Vec<MirrorNews>,
    /// Clients that asked it lately.
    pub clients: u32,
    /// How the answers fare that these pass on.
    pub strains: Strains,
    /// Digests of requests that crash replicas.
    pub quarantined: Vec<u64>,
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
    pub async fn news(&self, known: &[(Kind, u64)], strains: &Strains) -> Vec<Heard> {
        let calls = self.news_sources().into_iter().map(async |link| {
            let ask = Ask::News {
                from: self.client.clone(),
                known: known.to_vec(),
                strains: strains.clone(),
            };
            match time::timeout(NEWS_TIMEOUT, link.call(NO_PARTITION, ask)).await {
                Ok(Ok(Answer::News { news, askers, strains, quarantined })) => {
                    Some(Heard { news, clients: askers, strains, quarantined })
                }
                _ => None,
            }
        });
        let heard: Vec<Heard> = join_all(calls).await.into_iter().flatten().collect();
        // An instance that has just started knows of few.
        if let Some(clients) = heard.iter().map(|heard| heard.clients).max() {
            self.clients.store(clients, Ordering::Relaxed);
        }
        heard
    }

    fn news_sources(&self) -> Vec<Arc<Link>> {
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

    /// Tells all instances that a start of a replica crashed while it ran a
    /// request.
    pub fn report_crash(&self, content: u64, upstream: Name) {
        for link in lock(&self.state).links.all() {
            link.tell(NO_PARTITION, Ask::Crash { content, upstream: upstream.clone() });
        }
    }
}
