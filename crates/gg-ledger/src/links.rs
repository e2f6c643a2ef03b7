//! Links to all members in use.

use std::{sync::Arc, time::Duration};

use indexmap::IndexMap;
use tokio_util::sync::CancellationToken;

use crate::{Member, link::Link};

/// Links by disk. A task per link keeps it connected.
#[derive(Debug)]
pub(crate) struct Links {
    links: IndexMap<u64, (Arc<Link>, CancellationToken)>,
    heartbeat: Option<Duration>,
    stop: CancellationToken,
}

impl Links {
    /// Creates a collection without links. With a `heartbeat`, each link pings
    /// its instance at that interval unless it has just received a reply. All
    /// links close when `stop` is cancelled.
    pub(crate) fn new(heartbeat: Option<Duration>, stop: CancellationToken) -> Self {
        Links { links: IndexMap::new(), heartbeat, stop }
    }

    /// Closes the links to all other members, and adds the missing ones to
    /// these members.
    pub(crate) fn set_members(&mut self, wanted: &[&Member]) {
        self.links.retain(|_, (link, stop)| {
            let is_wanted = wanted.contains(&&link.member);
            if !is_wanted {
                stop.cancel();
            }
            is_wanted
        });
        for member in wanted {
            if !self.links.contains_key(&member.disk) {
                self.add((*member).clone());
            }
        }
    }

    fn add(&mut self, member: Member) {
        let disk = member.disk;
        let (link, queued) = match self.heartbeat {
            Some(heartbeat) => Link::with_heartbeat(member, heartbeat),
            None => Link::new(member),
        };
        let link = Arc::new(link);
        let stop = self.stop.child_token();
        let (running, stopped) = (link.clone(), stop.clone());
        tokio::spawn(async move {
            stopped.run_until_cancelled(running.run(queued)).await;
            running.disconnect();
        });
        self.links.insert(disk, (link, stop));
    }

    /// The link to a disk.
    pub(crate) fn get(&self, disk: u64) -> Option<&Arc<Link>> {
        self.links.get(&disk).map(|(link, _)| link)
    }

    /// All links.
    pub(crate) fn all(&self) -> impl Iterator<Item = &Arc<Link>> {
        self.links.values().map(|(link, _)| link)
    }
}
