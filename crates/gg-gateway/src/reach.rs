//! Decides whether a replica is connected to directly or through another
//! gateway, from the results of connection attempts. Performs no I/O.
//!
//! A replica that this gateway can't reach is down, or the gateway is cut off
//! from it. Only an attempt by another gateway tells which.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use gg_protocol::Name;
use indexmap::IndexSet;

/// The gateway counts as cut off from all replicas once its connection attempts
/// to this many have failed in a row while another gateway reached them, and as
/// isolated if none did. A deployment with fewer replicas needs all of them.
const CUT_OFF_REPLICAS: usize = 3;

/// After this many failed attempts in a row, each to another replica, this
/// gateway doesn't tell others that a replica is unreachable.
const DOUBT_REPLICAS: usize = 2;

/// A replica that no other gateway reached either is not tried through one
/// again within this time.
const DOWN_TIME: Duration = Duration::from_secs(1);

/// Way to a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Path {
    /// A connection of this gateway.
    Direct,
    /// A tunnel through another gateway.
    Tunnel,
}

/// Why a direct connection attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectFailure {
    /// Nothing was received in time.
    Silent,
    /// The attempt was refused or reset.
    Refused,
}

impl ConnectFailure {
    /// Name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            ConnectFailure::Silent => "silent",
            ConnectFailure::Refused => "refused",
        }
    }
}

/// A change of what is known about the paths to replicas.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PathChange {
    /// The replica can only be reached through other gateways.
    Lost(ConnectFailure),
    /// As before, and with it all replicas count as lost.
    CutOff(ConnectFailure),
    /// The replica can be reached directly again.
    Regained,
    /// The gateway is no longer cut off; all replicas are tried directly again.
    Reconnected {
        /// How long it was cut off.
        after: Duration,
    },
}

/// What connection attempts have shown about the paths to all replicas.
#[derive(Clone, Debug, Default)]
pub struct Reachability {
    /// Last direct failure of replicas that were not reached directly since.
    failed: HashMap<Name, ConnectFailure>,
    /// Replicas that another gateway reached after the direct failure.
    lost: IndexSet<Name>,
    /// Replicas that failed since the last direct success of any replica.
    failed_in_row: IndexSet<Name>,
    /// Replicas of these that another gateway reached.
    lost_in_row: IndexSet<Name>,
    /// Replicas that no other gateway reached either, and when.
    down: HashMap<Name, Instant>,
    cut_off_since: Option<Instant>,
    /// Replicas that could be reached neither directly nor through others, since
    /// the last replica that could. Those that others say are down don't count.
    unreached_in_row: IndexSet<Name>,
    is_isolated: bool,
}

impl Reachability {
    /// The path that a new connection to a replica takes.
    pub fn path(&self, replica: &str) -> Path {
        let is_lost = self.cut_off_since.is_some() || self.lost.contains(replica);
        if is_lost { Path::Tunnel } else { Path::Direct }
    }

    /// Whether a tunnel to a replica may be tried after a direct failure.
    pub fn may_tunnel(&self, replica: &str, now: Instant) -> bool {
        self.cut_off_since.is_some()
            || self.down.get(replica).is_none_or(|at| now.duration_since(*at) >= DOWN_TIME)
    }

    /// Why the last direct attempt to a replica failed, if it did.
    pub fn failure(&self, replica: &str) -> Option<ConnectFailure> {
        self.failed.get(replica).copied()
    }

    /// Whether the gateway is cut off from all replicas.
    pub fn is_cut_off(&self) -> bool {
        self.cut_off_since.is_some()
    }

    /// Whether the gateway reaches no replica, neither directly nor through
    /// other gateways.
    pub fn is_isolated(&self) -> bool {
        self.is_isolated
    }

    /// Whether this gateway may be cut off itself, so that its failures say
    /// little about the replicas.
    pub fn is_doubtful(&self) -> bool {
        self.is_cut_off() || self.is_isolated || self.failed_in_row.len() >= DOUBT_REPLICAS
    }

    /// Replicas whose paths are lost, to probe directly.
    pub fn lost(&self) -> impl ExactSizeIterator<Item = &Name> {
        self.lost.iter()
    }

    /// Records that a replica accepted a direct connection.
    pub fn record_connected(&mut self, replica: &str, now: Instant) -> Option<PathChange> {
        self.failed_in_row.clear();
        self.lost_in_row.clear();
        self.end_isolation();
        self.failed.remove(replica);
        self.down.remove(replica);
        let was_lost = self.lost.swap_remove(replica);
        if let Some(since) = self.cut_off_since.take() {
            self.lost.clear();
            self.failed.clear();
            return Some(PathChange::Reconnected { after: now.saturating_duration_since(since) });
        }
        was_lost.then_some(PathChange::Regained)
    }

    /// Records that a direct connection attempt failed.
    pub fn record_failed(&mut self, replica: &Name, failure: ConnectFailure) {
        self.failed.insert(replica.clone(), failure);
        self.failed_in_row.insert(replica.clone());
    }

    /// Records that another gateway reached a replica. `replicas` is the number
    /// of replicas that are known.
    pub fn record_tunnel(
        &mut self,
        replica: &Name,
        replicas: usize,
        now: Instant,
    ) -> Option<PathChange> {
        self.end_isolation();
        self.down.remove(replica);
        let failure = *self.failed.get(replica)?;
        let is_new = self.lost.insert(replica.clone());
        if self.cut_off_since.is_some() {
            return None;
        }
        if self.failed_in_row.contains(replica) {
            self.lost_in_row.insert(replica.clone());
        }
        if self.lost_in_row.len() >= CUT_OFF_REPLICAS.min(replicas.max(1)) {
            self.cut_off_since = Some(now);
            return Some(PathChange::CutOff(failure));
        }
        is_new.then_some(PathChange::Lost(failure))
    }

    /// Records that no other gateway opened a tunnel to a replica. `is_down`
    /// means that one that reaches others tried and failed. Returns whether the
    /// gateway has become isolated by that.
    pub fn record_tunnel_failed(
        &mut self,
        replica: &Name,
        is_down: bool,
        replicas: usize,
        now: Instant,
    ) -> bool {
        if is_down {
            self.down.insert(replica.clone(), now);
            self.failed_in_row.swap_remove(replica);
            self.unreached_in_row.swap_remove(replica);
            return false;
        }
        self.unreached_in_row.insert(replica.clone());
        let is_isolated = self.unreached_in_row.len() >= CUT_OFF_REPLICAS.min(replicas.max(1));
        is_isolated && !std::mem::replace(&mut self.is_isolated, true)
    }

    fn end_isolation(&mut self) {
        self.unreached_in_row.clear();
        self.is_isolated = false;
    }

    /// Forgets replicas other than these.
    pub fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.failed.retain(|name, _| is_known(name));
        self.down.retain(|name, _| is_known(name));
        for names in [
            &mut self.lost,
            &mut self.failed_in_row,
            &mut self.lost_in_row,
            &mut self.unreached_in_row,
        ] {
            names.retain(|name| is_known(name));
        }
    }
}
