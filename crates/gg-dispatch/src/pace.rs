//! Finds how much work a new or recovered replica is given, from how it
//! answers. Performs no I/O.
//!
//! Each gateway sends a replica so few requests that it can neither judge nor
//! flood it alone, but all of them together do both. The answers of all
//! gateways are therefore summed, and each one offers the replica a part of its
//! own requests that follows from the sum.

use std::time::{Duration, Instant};

use gg_protocol::OverloadStats;

/// Half-life of the counted answers; a replica that turns slow loses its credit
/// in a few seconds.
const ANSWER_HALF_LIFE: Duration = Duration::from_secs(2);

/// Maximum age of the answers of all gateways, which are normally updated
/// several times within this period.
const SHARED_MAX_AGE: Duration = Duration::from_secs(1);

/// Requests that all gateways together may have in flight on a replica that has
/// not answered yet.
const FIRST_WINDOW: f64 = 2.0;

/// Smallest window: a replica that gets nothing can't show that it recovered.
const WINDOW_MIN: f64 = 0.25;

/// A late answer takes back as much of the window as this many timely ones add.
const LATE_COST: f64 = 3.0;

/// A failure counts as this many late answers.
const FAILURE_WEIGHT: f32 = 2.0;

/// Largest part of a mean replica's requests that is offered, so that a replica
/// with nothing in flight catches up soon.
const CATCH_UP_MAX: f64 = 2.0;

/// With this many recent timely answers, a replica takes part like all others.
const ESTABLISHED_ANSWERS: f64 = 8.0;

/// Share of late answers above which a replica isn't established.
const ESTABLISHED_LATE_SHARE: f64 = 0.25;

/// Before this many timely answers, mainly repeatable requests are offered.
const PROBE_ANSWERS: f64 = 4.0;

/// Part of the other requests that is offered before that.
const PROBE_UNREPEATABLE_SHARE: f64 = 0.25;

/// Number of cold prompts from which their share is known.
const PROMPTS_MIN: f64 = 3.0;

/// Recent ends of a replica's former incarnations beyond this one make no
/// further difference.
const ENDS_MAX: u32 = 4;

/// One answer of a replica.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PacedAnswer {
    /// It began much later than those of other replicas, beyond the time to
    /// process its prompt.
    pub is_late: bool,
    /// For a prompt that this gateway believed to be missing in the replica's
    /// cache: whether it was cached after all.
    pub was_cached: Option<bool>,
}

/// Load of the established replicas of the same service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PeerLoad {
    /// Mean number of requests that all gateways have in flight on one replica.
    pub in_flight: f64,
    /// Number of gateways.
    pub gateways: u32,
}

/// What all gateways together know of a replica, with the inputs of a decision.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PaceView {
    /// Recent answers in time.
    pub timely: f64,
    /// Recent late answers and failures.
    pub late: f64,
    /// Requests in flight.
    pub in_flight: f64,
    /// Requests that may be in flight.
    pub window: f64,
    /// Age of the sums; `None` if only this gateway's own answers are known.
    pub age: Option<Duration>,
}

/// Pace of one replica at one gateway, from its listing until it is established.
#[derive(Clone, Debug)]
pub struct Pace {
    recent_ends: u32,
    own: OverloadStats,
    own_decayed: Instant,
    shared: Option<(OverloadStats, Instant)>,
}

impl Pace {
    /// Begins the pace of a replica whose former incarnations ended
    /// `recent_ends` times lately.
    pub fn new(recent_ends: u32, now: Instant) -> Self {
        Pace {
            recent_ends: recent_ends.min(ENDS_MAX),
            own: OverloadStats::default(),
            own_decayed: now,
            shared: None,
        }
    }

    /// Records an answer.
    pub fn record_answer(&mut self, answer: PacedAnswer, now: Instant) {
        let own = self.decay_own(now);
        own.started += 1.0;
        own.late += f32::from(u8::from(answer.is_late));
        if let Some(was_cached) = answer.was_cached {
            own.timed += 1.0;
            own.slow += f32::from(u8::from(!was_cached));
        }
    }

    /// Records that the replica refused a request or failed.
    pub fn record_failure(&mut self, now: Instant) {
        let own = self.decay_own(now);
        own.started += FAILURE_WEIGHT;
        own.late += FAILURE_WEIGHT;
    }

    /// This gateway's recent answers and requests in flight, to be summed over
    /// all gateways. Cold prompts count as `timed`, those of them that were
    /// really not cached as `slow`.
    pub fn own_answers(&mut self, in_flight: u32, now: Instant) -> OverloadStats {
        OverloadStats { in_flight: in_flight as f32, reporters: 1.0, ..*self.decay_own(now) }
    }

    /// Records the sum over many gateways, including this one.
    pub fn record_shared(&mut self, shared: OverloadStats, now: Instant) {
        self.shared = Some((shared, now));
    }

    fn decay_own(&mut self, now: Instant) -> &mut OverloadStats {
        let age = now.saturating_duration_since(self.own_decayed);
        self.own_decayed = now;
        let half_lives = age.as_secs_f32() / ANSWER_HALF_LIFE.as_secs_f32();
        self.own.decay(0.5_f32.powf(half_lives));
        &mut self.own
    }

    /// Answers of all gateways, extrapolated from those that reported, and their
    /// age. Without recent sums, the other gateways are assumed to have as many
    /// requests in flight as this one, and no answers.
    fn totals(
        &self,
        gateways: u32,
        in_flight: u32,
        now: Instant,
    ) -> (OverloadStats, Option<Duration>) {
        let age = |at: &Instant| now.saturating_duration_since(*at);
        let gateways = gateways.max(1) as f32;
        match &self.shared {
            Some((sum, at)) if age(at) < SHARED_MAX_AGE && sum.reporters > 0.0 => {
                let scale = (gateways / sum.reporters).max(1.0);
                let scaled = OverloadStats {
                    started: sum.started * scale,
                    late: sum.late * scale,
                    timed: sum.timed * scale,
                    slow: sum.slow * scale,
                    in_flight: sum.in_flight * scale,
                    reporters: gateways,
                };
                (scaled, Some(age(at)))
            }
            _ => {
                let in_flight = in_flight as f32 * gateways;
                (OverloadStats { in_flight, reporters: 1.0, ..self.own }, None)
            }
        }
    }

    /// The state of the replica as all gateways know it. This gateway has
    /// `in_flight` requests on it.
    pub fn view(&self, gateways: u32, in_flight: u32, now: Instant) -> PaceView {
        let (totals, age) = self.totals(gateways, in_flight, now);
        let late = f64::from(totals.late);
        let timely = f64::from(totals.started) - late;
        let trust = 0.5_f64.powi(self.recent_ends as i32);
        let window = trust * (FIRST_WINDOW + timely) - LATE_COST * late;
        PaceView {
            timely,
            late,
            in_flight: f64::from(totals.in_flight).max(in_flight.into()),
            window: window.max(WINDOW_MIN),
            age,
        }
    }

    /// The part of a mean replica's requests to offer to this one now: 1 means as
    /// many as to any other, 0 none. It raises or lowers the requests in flight
    /// towards those of the peers, within the window.
    pub fn share(&self, view: &PaceView, peers: PeerLoad, is_repeatable: bool) -> f64 {
        let usual = peers.in_flight.max(1.0);
        let target = view.window.min(usual);
        if view.in_flight >= 2.0 * target {
            return 0.0;
        }
        let catch_up = (target / view.in_flight.max(target / CATCH_UP_MAX)).min(CATCH_UP_MAX);
        let caution = match !is_repeatable && view.timely < PROBE_ANSWERS {
            true => PROBE_UNREPEATABLE_SHARE,
            false => 1.0,
        };
        catch_up * caution * target / usual
    }

    /// Whether the replica is to take part like all others.
    pub fn is_established(&self, view: &PaceView) -> bool {
        let answers = view.timely + view.late;
        view.timely >= ESTABLISHED_ANSWERS * 2.0_f64.powi(self.recent_ends as i32)
            && view.late < ESTABLISHED_LATE_SHARE * answers
    }

    /// Share of the prompts believed to be cold that the replica had cached, as
    /// other gateways had sent it the same before.
    pub fn cached_share(&self, gateways: u32, now: Instant) -> f64 {
        let (totals, _) = self.totals(gateways, 0, now);
        let (cold, uncached) = (f64::from(totals.timed), f64::from(totals.slow));
        if cold < PROMPTS_MIN { 0.0 } else { (1.0 - uncached / cold).clamp(0.0, 1.0) }
    }
}
