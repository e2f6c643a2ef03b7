//! Whether new work is let in, by how the work under way fares.
//!
//! Answers the load pattern in which more programs begin than the replicas
//! can finish in time: if all are let in, all wait alike and all are late.
//! Work under way is never refused here, so what was begun finishes, and the
//! rest hears at once when to come back.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use gg_protocol::{Strain, config::RANKS};

/// Past that the shares of late and slow answers look at.
const ANSWERS_HALF_LIFE: Duration = Duration::from_millis(500);

/// What other gateways saw counts for this long; they tell several times as
/// often.
const SHARED_TIME: Duration = Duration::from_secs(1);

/// An answer that is produced this many times slower than on free replicas is
/// late. Past twice the time of an idle system, more load adds waiting and
/// hardly any work done (Kleinrock's power).
const PACE_STRETCH: f64 = 2.0;

/// Weight of a faster answer in the pace of free replicas.
const PACE_WEIGHT: f64 = 0.25;

/// Time in which the pace of free replicas is believed to have become twice
/// as slow, if no fast answer shows otherwise.
const PACE_DOUBLING: Duration = Duration::from_secs(600);

/// Time between two changes of the limit; a replica's queue takes longer to
/// grow or shrink visibly.
const STEP: Duration = Duration::from_millis(100);

/// With more than this share of answers late or slow, replicas have queues;
/// a few slow replicas among many stay below it.
const LATE_HIGH: f32 = 0.4;

/// With less than this share late there is room for more.
const LATE_LOW: f32 = 0.25;

/// While less than this share of all places is taken, or of our part of them,
/// nothing is refused.
const FREE_SHARE: f64 = 0.5;

/// With more than this share of all places taken, work begins to wait at the
/// replicas, which shows in answers only later.
const FULL_SHARE: f64 = 1.0;

/// Factor on the limit in a step with too many late answers: half in about a
/// second, as long as a turn takes.
const DECREASE: f64 = 0.95;

/// Requests added to the limit in a step with room.
const INCREASE: f64 = 0.2;

/// A rank that gets in less often than this share of all counts as starved
/// and is let in as if it were the most urgent one.
const FLOOR_SHARE: f64 = 0.3;

/// Part of the limit that the next lower rank may fill; the rest is for more
/// urgent work.
const RANK_SHARE: f64 = 0.8;

/// Share of the limit that work of a rank and more urgent ranks may fill
/// whatever is under way of less urgent ones.
const KEPT_SHARE: f64 = 0.5;

/// Past that the floor of a rank looks at.
const HALF_LIFE: Duration = Duration::from_secs(3);

/// Offers of a rank below which it doesn't matter any more.
const OFFERS_MIN: f64 = 0.01;

/// Refused work should come back after this share of its objective, up to
/// three times as long: places get free all the time, and work that comes
/// later would be late even if it were let in.
const RETRY_SHARE: f64 = 0.25;

/// A piece of work that would begin here.
#[derive(Clone, Copy, Debug)]
pub struct NewWork {
    /// Its rank; 0 is the most urgent.
    pub rank: u8,
    /// Time within which it should be answered.
    pub objective: Duration,
}

/// How much a gateway has on the replicas of a service.
#[derive(Clone, Copy, Debug)]
pub struct Fill {
    /// Requests of ours, by rank.
    pub under_way: [u32; RANKS],
    /// Our part of the replicas' places.
    pub places: f64,
}

impl Fill {
    /// Requests as urgent as `rank` or more.
    fn urgent(&self, rank: u8) -> f64 {
        let count = usize::from(rank).min(RANKS - 1) + 1;
        f64::from(self.under_way[..count].iter().sum::<u32>())
    }

    /// All requests.
    fn total(&self) -> f64 {
        f64::from(self.under_way.iter().sum::<u32>())
    }
}

/// Work that is turned away.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Refusal {
    /// When it should come back.
    pub retry: Duration,
    /// Limit on the requests under way that are as urgent or more.
    pub limit: f64,
    /// How answers fared lately.
    pub strain: Strain,
}

/// Recent offers of one rank.
#[derive(Clone, Copy, Debug, Default)]
struct Demand {
    offered: f64,
    admitted: f64,
}

/// Lets new work of one service in, or not.
#[derive(Clone, Debug)]
pub struct Admission {
    /// How our answers fared lately.
    own: Strain,
    noted: Instant,
    /// How those of many gateways did, and when that was heard.
    shared: Option<(Strain, Instant)>,
    /// Time between events on free replicas, in ms, and when it was last
    /// updated.
    pace: Option<(f64, Instant)>,
    /// Most requests under way; infinite until answers come late.
    limit: f64,
    stepped: Instant,
    demands: BTreeMap<u8, Demand>,
    faded: Instant,
}

impl Admission {
    /// Lets everything in until answers come late.
    pub fn new(now: Instant) -> Self {
        Admission {
            own: Strain::default(),
            noted: now,
            shared: None,
            pace: None,
            limit: f64::INFINITY,
            stepped: now,
            demands: BTreeMap::new(),
            faded: now,
        }
    }

    /// Takes in whether an answer began late, with `fill` on the replicas.
    pub fn note(&mut self, is_late: bool, fill: Fill, now: Instant) {
        let own = self.recent(now);
        own.begun += 1.0;
        own.late += f32::from(u8::from(is_late));
        self.step(fill, now);
    }

    /// Takes in the mean time between the events of a stream, in ms.
    pub fn note_pace(&mut self, pace_ms: f64, fill: Fill, now: Instant) {
        let free = match self.pace {
            None => pace_ms,
            Some((free, at)) => {
                let age = now.saturating_duration_since(at).as_secs_f64();
                let free = free * 2_f64.powf(age / PACE_DOUBLING.as_secs_f64());
                free + PACE_WEIGHT * (pace_ms - free).min(0.0)
            }
        };
        self.pace = Some((free, now));
        let is_slow = pace_ms > PACE_STRETCH * free;
        let own = self.recent(now);
        own.paced += 1.0;
        own.slow += f32::from(u8::from(is_slow));
        self.step(fill, now);
    }

    /// How our answers fared lately, for other gateways.
    pub fn own(&mut self, now: Instant) -> Strain {
        Strain { tellers: 1.0, ..*self.recent(now) }
    }

    /// Our recent answers, those before `now` weighing less.
    fn recent(&mut self, now: Instant) -> &mut Strain {
        let age = now.saturating_duration_since(self.noted);
        self.noted = now;
        let halves = age.as_secs_f32() / ANSWERS_HALF_LIFE.as_secs_f32();
        self.own.fade(0.5_f32.powf(halves));
        &mut self.own
    }

    /// Takes in how the answers of many gateways fared. Where each sees few,
    /// only together they see an overload soon enough.
    pub fn note_shared(&mut self, shared: Strain, fill: Fill, now: Instant) {
        self.shared = Some((shared, now));
        self.step(fill, now);
    }

    /// What is known best of how answers fared.
    fn strain(&self, now: Instant) -> Strain {
        let is_fresh = |at: &Instant| now.saturating_duration_since(*at) < SHARED_TIME;
        match &self.shared {
            Some((shared, at)) if is_fresh(at) && shared.begun > self.own.begun => *shared,
            _ => self.own,
        }
    }

    /// Moves the limit, at most once in each [`STEP`].
    fn step(&mut self, fill: Fill, now: Instant) {
        if now.saturating_duration_since(self.stepped) < STEP {
            return;
        }
        self.stepped = now;
        let strain = self.strain(now);
        let mean = strain.mean_under_way().map_or(0.0, f64::from);
        let worst = strain.worst();
        let under_way = fill.total();
        if mean > FULL_SHARE * fill.places || worst.is_some_and(|worst| worst > LATE_HIGH) {
            self.limit = self.limit.min(under_way) * DECREASE;
        } else if worst.is_some_and(|worst| worst < LATE_LOW) {
            // What is under way does well, so as much may be.
            self.limit = self.limit.max(under_way) + INCREASE;
        }
    }

    /// Decides on new work. `draw` is random between 0 and 1: it rounds the
    /// limit, which is small where many gateways share the replicas, and
    /// spreads the return of what is refused.
    pub fn admit(
        &mut self,
        work: NewWork,
        fill: Fill,
        now: Instant,
        draw: f64,
    ) -> Result<(), Refusal> {
        self.fade(now);
        let limit = self.limit.max(FREE_SHARE * fill.places);
        let is_free = fill.total() + draw < limit * self.share(work.rank);
        // Less urgent work that was let in does not keep urgent work out.
        let is_kept_free = fill.urgent(work.rank) + draw < limit * KEPT_SHARE;
        let mean = self.strain(now).mean_under_way();
        let is_calm = mean.is_some_and(|mean| f64::from(mean) < FREE_SHARE * fill.places);
        let is_admitted = is_calm || is_free || is_kept_free;
        let demand = self.demands.entry(work.rank).or_default();
        demand.offered += 1.0;
        if is_admitted {
            demand.admitted += 1.0;
            return Ok(());
        }
        let retry = work.objective.mul_f64(RETRY_SHARE * (1.0 + 2.0 * draw));
        Err(Refusal { retry, limit, strain: self.strain(now) })
    }

    /// Part of the limit that may be full when work of a rank is let in.
    fn share(&self, rank: u8) -> f64 {
        if self.is_starved(rank) {
            return 1.0;
        }
        let more_urgent = self.demands.range(..rank).count();
        RANK_SHARE.powi(i32::try_from(more_urgent).unwrap_or(i32::MAX))
    }

    fn is_starved(&self, rank: u8) -> bool {
        let Some(own) = self.demands.get(&rank) else { return false };
        let sum = |part: fn(&Demand) -> f64| self.demands.values().map(part).sum::<f64>();
        let (offered, admitted) = (sum(|demand| demand.offered), sum(|demand| demand.admitted));
        own.admitted * offered < FLOOR_SHARE * own.offered * admitted
    }

    fn fade(&mut self, now: Instant) {
        let age = now.saturating_duration_since(self.faded);
        self.faded = now;
        let rest = 0.5_f64.powf(age.as_secs_f64() / HALF_LIFE.as_secs_f64());
        for demand in self.demands.values_mut() {
            demand.offered *= rest;
            demand.admitted *= rest;
        }
        self.demands.retain(|_, demand| demand.offered > OFFERS_MIN);
    }
}
