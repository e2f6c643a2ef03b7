//! Issues send permits for replicas that announce a rate limit. All gateways
//! ask the same instance for the permits of a replica, so that the requests of
//! all of them together keep to its limit. Performs no I/O.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use gg_protocol::Name;
use rand::{Rng, seq::IteratorRandom};
use serde::{Deserialize, Serialize};

/// Lowest rate, in requests per second, at which permits are issued. A replica
/// that gets no request can't show that its limit has ended.
const RATE_MIN: f64 = 0.1;

/// Permits of this much time may be issued at once after a pause.
const BURST: Duration = Duration::from_millis(500);

/// Number of limits sent with the reply to a poll; about 40 bytes each.
const SAMPLE_MAX: usize = 8;

/// A replica for which no permit was requested for this long is forgotten.
const IDLE_TTL: Duration = Duration::from_secs(60);

/// Rate limit of a replica as a client last observed it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LimitReport {
    /// Requests per second from all gateways together; `None` if the replica
    /// announced no limit.
    pub rate: Option<f64>,
    /// Time since the observation in milliseconds. Ages instead of times, as
    /// clocks of instances differ.
    pub age_ms: u64,
}

/// Request for a permit to send one request to a replica.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// Incarnation of the replica.
    pub replica: Name,
    /// Limit known to the client.
    pub limit: LimitReport,
    /// Longest time in milliseconds that the request can wait for its turn.
    pub max_wait_ms: u32,
}

/// Reply to a [`PermitRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitReply {
    /// The client may send one request.
    Granted {
        /// Time in milliseconds after which it may do so.
        wait_ms: u32,
        /// Time in milliseconds after which the next permit is due.
        next_ms: u32,
    },
    /// No permit is due in time.
    Denied {
        /// Time in milliseconds after which the next permit is due.
        wait_ms: u32,
    },
    /// The limit has ended, as another client has observed more recently.
    Unlimited,
    /// Another instance issues the permits of the replica.
    NotIssuer,
}

/// Permits of all replicas for which one instance is an issuer.
#[derive(Clone, Debug, Default)]
pub struct PermitIssuer {
    schedules: HashMap<Name, Schedule>,
}

/// Permits of one replica, at evenly spaced times.
#[derive(Clone, Copy, Debug)]
struct Schedule {
    rate: Option<f64>,
    observed_at: Instant,
    /// When the next permit is due; in the past after a pause.
    next_at: Instant,
    used_at: Instant,
}

impl PermitIssuer {
    /// Records a client's observation unless a more recent one is known.
    /// Returns whether the replica's limit is new or differs from before.
    pub fn observe(&mut self, replica: &Name, limit: LimitReport, now: Instant) -> bool {
        let age = Duration::from_millis(limit.age_ms);
        let observed_at = now.checked_sub(age).unwrap_or(now);
        let Some(schedule) = self.schedules.get_mut(replica) else {
            self.schedules
                .retain(|_, schedule| now.saturating_duration_since(schedule.used_at) < IDLE_TTL);
            let schedule = Schedule { rate: limit.rate, observed_at, next_at: now, used_at: now };
            self.schedules.insert(replica.clone(), schedule);
            return true;
        };
        schedule.used_at = now;
        if observed_at < schedule.observed_at {
            return false;
        }
        schedule.observed_at = observed_at;
        std::mem::replace(&mut schedule.rate, limit.rate) != limit.rate
    }

    /// Limits that are in force at some of the replicas, picked at random.
    /// Clients learn of limits from these before a response tells them.
    pub fn sample(&self, rng: &mut impl Rng, now: Instant) -> Vec<(Name, LimitReport)> {
        let limited = self.schedules.iter().filter(|(_, schedule)| schedule.rate.is_some());
        let sampled = limited.choose_multiple(rng, SAMPLE_MAX).into_iter();
        let report = |schedule: &Schedule| {
            let age = now.saturating_duration_since(schedule.observed_at);
            LimitReport { rate: schedule.rate, age_ms: age.as_millis() as u64 }
        };
        sampled.map(|(replica, schedule)| (replica.clone(), report(schedule))).collect()
    }

    /// Decides on a request whose observation was recorded. `share` is the part
    /// of the replica's limit that this instance may grant.
    pub fn request(&mut self, request: &PermitRequest, share: f64, now: Instant) -> PermitReply {
        let Some(schedule) = self.schedules.get_mut(&request.replica) else {
            return PermitReply::Unlimited;
        };
        let Some(rate) = schedule.rate else { return PermitReply::Unlimited };
        let interval = Duration::from_secs_f64(1.0 / (rate.max(RATE_MIN) * share));
        let earliest = now.checked_sub(BURST).unwrap_or(now);
        let due_at = schedule.next_at.max(earliest);
        let wait = due_at.saturating_duration_since(now);
        if wait > Duration::from_millis(request.max_wait_ms.into()) {
            return PermitReply::Denied { wait_ms: ceil_ms(wait) };
        }
        schedule.next_at = due_at + interval;
        let next = schedule.next_at.saturating_duration_since(now);
        PermitReply::Granted { wait_ms: ceil_ms(wait), next_ms: ceil_ms(next) }
    }
}

/// Whole milliseconds, rounded up: a permit is not used before it is due.
pub(crate) fn ceil_ms(time: Duration) -> u32 {
    u32::try_from(time.as_micros().div_ceil(1_000)).unwrap_or(u32::MAX)
}
