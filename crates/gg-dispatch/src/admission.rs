//! Admission control for new work, based on the latency of requests in flight.
//!
//! Under overload, more programs start than the replicas can finish in time.
//! Admitting all of them delays all of them equally, and every one is late.
//! Work that has already started is never rejected here, so it can finish;
//! rejected work immediately receives a retry delay.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use gg_protocol::{OverloadStats, config::RANKS};

/// Half-life of the statistics on late and slow responses.
const RESPONSE_HALF_LIFE: Duration = Duration::from_millis(500);

/// Maximum age of statistics shared by other gateways, which are normally
/// updated several times within this period.
const SHARED_STATS_MAX_AGE: Duration = Duration::from_secs(1);

/// A response is slow if its events are this many times further apart than on
/// unloaded replicas. Beyond twice the time of an idle system, more load adds
/// waiting time and hardly any throughput (Kleinrock's power).
const SLOW_INTERVAL_FACTOR: f64 = 2.0;

/// Weight of a faster response in the baseline interval.
const BASELINE_WEIGHT: f64 = 0.25;

/// Time in which the baseline interval doubles, unless a faster response
/// lowers it again.
const BASELINE_DOUBLING_TIME: Duration = Duration::from_secs(600);

/// Minimum time between two updates of the limit. The queue of a replica takes
/// longer than this to grow or shrink noticeably.
const LIMIT_UPDATE_INTERVAL: Duration = Duration::from_millis(100);

/// Above this share of late or slow responses, the replicas have queues. A few
/// slow replicas among many stay below it.
const LATE_SHARE_HIGH: f32 = 0.4;

/// Below this share of late or slow responses, the limit can grow.
const LATE_SHARE_LOW: f32 = 0.25;

/// While the shared statistics show an occupancy below this share of the total
/// capacity, no work is rejected. The limit of a gateway is at least this share
/// of its part of the capacity.
const LOW_OCCUPANCY_SHARE: f64 = 0.5;

/// Above this share of the total capacity, requests start to queue at the
/// replicas. Response latency shows this only later.
const FULL_OCCUPANCY_SHARE: f64 = 1.0;

/// Factor applied to the limit in an update with too many late responses. It
/// halves the limit in about a second, which is how long a turn takes.
const DECREASE_FACTOR: f64 = 0.95;

/// Requests added to the limit in an update with few late responses.
const INCREASE_REQUESTS: f64 = 0.2;

/// A rank is starved if its admission rate is below this share of the overall
/// rate. A starved rank is admitted as if it were the most urgent one.
const FLOOR_SHARE: f64 = 0.3;

/// Share of the limit that the next lower rank may fill. The rest is reserved
/// for more urgent work.
const LOWER_RANK_SHARE: f64 = 0.8;

/// Share of the limit that a rank and all more urgent ranks may fill,
/// regardless of how many less urgent requests are in flight.
const RESERVED_SHARE: f64 = 0.5;

/// Half-life of the demand statistics that the floor of a rank is based on.
const DEMAND_HALF_LIFE: Duration = Duration::from_secs(3);

/// Demand of a rank below which its entry is removed.
const DEMAND_MIN: f64 = 0.01;

/// Retry delay of rejected work, as a share of its latency objective; the
/// delay is up to three times as long. Capacity is freed continuously, and
/// work that retries later would be late even if it were admitted.
const RETRY_DELAY_SHARE: f64 = 0.25;

/// New work that asks for admission.
#[derive(Clone, Copy, Debug)]
pub struct NewWork {
    /// Rank; 0 is the most urgent.
    pub rank: u8,
    /// Latency objective.
    pub objective: Duration,
}

/// Occupancy of a service's replicas, as seen by one gateway.
#[derive(Clone, Copy, Debug)]
pub struct Occupancy {
    /// Requests in flight from this gateway, by rank.
    pub in_flight: [u32; RANKS],
    /// This gateway's part of the replicas' capacity, in requests.
    pub capacity: f64,
}

impl Occupancy {
    /// Number of requests in flight of `rank` and all more urgent ranks.
    fn in_flight_up_to(&self, rank: u8) -> f64 {
        let count = usize::from(rank).min(RANKS - 1) + 1;
        f64::from(self.in_flight[..count].iter().sum::<u32>())
    }

    /// Number of requests in flight of all ranks.
    fn in_flight(&self) -> f64 {
        f64::from(self.in_flight.iter().sum::<u32>())
    }
}

/// Rejection of new work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Refusal {
    /// Delay before the work should be retried.
    pub retry: Duration,
    /// Limit on requests in flight that applied to this decision.
    pub limit: f64,
    /// Recent overload statistics.
    pub stats: OverloadStats,
}

/// Recent demand of one rank.
#[derive(Clone, Copy, Debug, Default)]
struct RankDemand {
    offered: f64,
    admitted: f64,
}

/// Admission controller for new work of one service.
#[derive(Clone, Debug)]
pub struct Admission {
    /// Overload statistics of this gateway.
    local: OverloadStats,
    own_decayed: Instant,
    /// Combined overload statistics of many gateways, and when they were
    /// received.
    shared: Option<(OverloadStats, Instant)>,
    /// Baseline: time between events on unloaded replicas, in ms, and when it
    /// was last updated.
    baseline: Option<(f64, Instant)>,
    /// Maximum number of requests in flight; infinite until responses are
    /// late.
    limit: f64,
    limit_updated: Instant,
    demands: BTreeMap<u8, RankDemand>,
    demands_decayed: Instant,
}

impl Admission {
    /// Creates a controller that admits all work until responses are late.
    pub fn new(now: Instant) -> Self {
        Admission {
            local: OverloadStats::default(),
            own_decayed: now,
            shared: None,
            baseline: None,
            limit: f64::INFINITY,
            limit_updated: now,
            demands: BTreeMap::new(),
            demands_decayed: now,
        }
    }

    /// Records whether a response started late, given the occupancy of the
    /// replicas.
    pub fn record_start(&mut self, is_late: bool, occupancy: Occupancy, now: Instant) {
        let own = self.decay_own(now);
        own.started += 1.0;
        own.late += f32::from(u8::from(is_late));
        self.update_limit(occupancy, now);
    }

    /// Records the mean interval between the events of a stream, in ms.
    pub fn record_interval(&mut self, interval_ms: f64, occupancy: Occupancy, now: Instant) {
        let baseline_ms = match self.baseline {
            None => interval_ms,
            Some((baseline_ms, at)) => {
                let age = now.saturating_duration_since(at).as_secs_f64();
                let baseline_ms =
                    baseline_ms * 2_f64.powf(age / BASELINE_DOUBLING_TIME.as_secs_f64());
                baseline_ms + BASELINE_WEIGHT * (interval_ms - baseline_ms).min(0.0)
            }
        };
        self.baseline = Some((baseline_ms, now));
        let is_slow = interval_ms > SLOW_INTERVAL_FACTOR * baseline_ms;
        let own = self.decay_own(now);
        own.timed += 1.0;
        own.slow += f32::from(u8::from(is_slow));
        self.update_limit(occupancy, now);
    }

    /// Overload statistics of this gateway, to be shared with other gateways.
    pub fn own_stats(&mut self, now: Instant) -> OverloadStats {
        OverloadStats { reporters: 1.0, ..*self.decay_own(now) }
    }

    /// Statistics of this gateway, decayed to `now`.
    fn decay_own(&mut self, now: Instant) -> &mut OverloadStats {
        let age = now.saturating_duration_since(self.own_decayed);
        self.own_decayed = now;
        let half_lives = age.as_secs_f32() / RESPONSE_HALF_LIFE.as_secs_f32();
        self.local.decay(0.5_f32.powf(half_lives));
        &mut self.local
    }

    /// Records the combined statistics of many gateways. If each gateway sees
    /// only a few responses, only the combination shows an overload soon
    /// enough.
    pub fn record_shared(&mut self, shared: OverloadStats, occupancy: Occupancy, now: Instant) {
        self.shared = Some((shared, now));
        self.update_limit(occupancy, now);
    }

    /// The statistics that are based on more responses: the shared ones, if
    /// they are fresh, or those of this gateway.
    fn stats(&self, now: Instant) -> OverloadStats {
        let is_fresh = |at: &Instant| now.saturating_duration_since(*at) < SHARED_STATS_MAX_AGE;
        match &self.shared {
            Some((shared, at)) if is_fresh(at) && shared.started > self.local.started => *shared,
            _ => self.local,
        }
    }

    /// Mean number of requests in flight per gateway, if it is known.
    pub fn mean_in_flight(&self, now: Instant) -> Option<f64> {
        self.stats(now).mean_in_flight().map(f64::from)
    }

    /// Updates the limit, at most once per [`LIMIT_UPDATE_INTERVAL`].
    fn update_limit(&mut self, occupancy: Occupancy, now: Instant) {
        if now.saturating_duration_since(self.limit_updated) < LIMIT_UPDATE_INTERVAL {
            return;
        }
        self.limit_updated = now;
        let stats = self.stats(now);
        let mean = stats.mean_in_flight().map_or(0.0, f64::from);
        let worst_share = stats.worst_share();
        let in_flight = occupancy.in_flight();
        if mean > FULL_OCCUPANCY_SHARE * occupancy.capacity
            || worst_share.is_some_and(|worst_share| worst_share > LATE_SHARE_HIGH)
        {
            self.limit = self.limit.min(in_flight) * DECREASE_FACTOR;
        } else if worst_share.is_some_and(|worst_share| worst_share < LATE_SHARE_LOW) {
            // The current load meets its latency objectives, so the limit can
            // rise at least to it.
            self.limit = self.limit.max(in_flight) + INCREASE_REQUESTS;
        }
    }

    /// Decides whether to admit new work. `draw` is random between 0 and 1. It
    /// rounds the limit, which is small if many gateways share the replicas,
    /// and spreads the retries of rejected work.
    pub fn admit(
        &mut self,
        work: NewWork,
        occupancy: Occupancy,
        now: Instant,
        draw: f64,
    ) -> Result<(), Refusal> {
        self.decay(now);
        let limit = self.limit.max(LOW_OCCUPANCY_SHARE * occupancy.capacity);
        let is_within_share = occupancy.in_flight() + draw < limit * self.limit_share(work.rank);
        // Less urgent requests in flight do not block urgent work.
        let is_within_reserve =
            occupancy.in_flight_up_to(work.rank) + draw < limit * RESERVED_SHARE;
        let mean = self.stats(now).mean_in_flight();
        let is_underloaded =
            mean.is_some_and(|mean| f64::from(mean) < LOW_OCCUPANCY_SHARE * occupancy.capacity);
        let is_admitted = is_underloaded || is_within_share || is_within_reserve;
        let demand = self.demands.entry(work.rank).or_default();
        demand.offered += 1.0;
        if is_admitted {
            demand.admitted += 1.0;
            return Ok(());
        }
        let retry = work.objective.mul_f64(RETRY_DELAY_SHARE * (1.0 + 2.0 * draw));
        Err(Refusal { retry, limit, stats: self.stats(now) })
    }

    /// Share of the limit that may be occupied when work of `rank` is
    /// admitted.
    fn limit_share(&self, rank: u8) -> f64 {
        if self.is_starved(rank) {
            return 1.0;
        }
        let more_urgent = self.demands.range(..rank).count();
        LOWER_RANK_SHARE.powi(i32::try_from(more_urgent).unwrap_or(i32::MAX))
    }

    fn is_starved(&self, rank: u8) -> bool {
        let Some(own) = self.demands.get(&rank) else { return false };
        let sum = |part: fn(&RankDemand) -> f64| self.demands.values().map(part).sum::<f64>();
        let (offered, admitted) = (sum(|demand| demand.offered), sum(|demand| demand.admitted));
        own.admitted * offered < FLOOR_SHARE * own.offered * admitted
    }

    fn decay(&mut self, now: Instant) {
        let age = now.saturating_duration_since(self.demands_decayed);
        self.demands_decayed = now;
        let factor = 0.5_f64.powf(age.as_secs_f64() / DEMAND_HALF_LIFE.as_secs_f64());
        for demand in self.demands.values_mut() {
            demand.offered *= factor;
            demand.admitted *= factor;
        }
        self.demands.retain(|_, demand| demand.offered > DEMAND_MIN);
    }
}
