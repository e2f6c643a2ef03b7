//! State that this gateway keeps about one replica.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::{Duration, Instant},
};

use gg_dispatch::{Pace, PaceView, PacedAnswer, PeerLoad};
use gg_protocol::{Name, OverloadStats, config::RANKS};
use gg_route::{PromptPart, Service, Upstream, UpstreamState};
use tokio::sync::Notify;

use crate::{
    LimitChange, PrefixCache, RateLimit,
    connect::ConnectError,
    permit::Permit,
    pool::{Connection, Pool},
    state::lock,
};

/// Weight of the newest observation in a replica's mean delay.
const DELAY_WEIGHT: f64 = 0.2;

/// Weight of the newest request in the share of those without history.
const FREE_WEIGHT: f64 = 0.05;

/// Weight of the newest observation in the mean time that a request occupies a
/// replica.
const OCCUPIED_WEIGHT: f64 = 0.05;

/// A replica's mean delay decays by half in this time without another
/// observation, so that a slow replica is tried again.
const DELAY_HALF_LIFE: Duration = Duration::from_secs(2);

/// A response that is read within this time after a connection was lost may
/// have been sent before the loss, as a slow instance reads it late.
const RESPONSE_MARGIN: Duration = Duration::from_millis(25);

/// After this time a replica takes part like all others in any case; whatever
/// still slows it down isn't its start.
const PACE_TIME_MAX: Duration = Duration::from_secs(30);

/// After this time a new replica of another data centre takes part like all
/// others; by then the gateways there have found its pace.
const REMOTE_START_TIME: Duration = Duration::from_secs(5);

/// Requests of this gateway in flight on all replicas of one service, or waiting
/// for one of them.
#[derive(Debug, Default)]
pub(crate) struct ServiceLoad {
    /// Notified when a request on a replica of the service ends, or a replica
    /// is added.
    pub(crate) freed: Notify,
    in_flight: [AtomicU32; RANKS],
    /// Mean time that a request occupies a replica, in seconds.
    occupied_s: Mutex<Option<f64>>,
    /// Share of the requests that may go to any replica, as they have no history
    /// on one.
    free_share: Mutex<Option<f64>>,
}

impl ServiceLoad {
    /// Requests in flight, by rank.
    pub(crate) fn in_flight(&self) -> [u32; RANKS] {
        self.in_flight.each_ref().map(|count| count.load(Ordering::Relaxed))
    }

    /// Counts a request of `rank` as in flight until the result is dropped.
    pub(crate) fn enter(self: &Arc<Self>, rank: u8) -> InFlight {
        let in_flight = InFlight { load: self.clone(), rank };
        in_flight.count().fetch_add(1, Ordering::Relaxed);
        in_flight
    }

    /// Requests that a replica runs at a time at most: its slots, or fewer if it
    /// announces a rate limit (Little's law).
    pub(crate) fn capacity(&self, replica: &Replica) -> f64 {
        let slots = f64::from(replica.upstream.slots);
        match (replica.rate_limit(), *lock(&self.occupied_s)) {
            (Some(rate), Some(occupied_s)) => slots.min(rate * occupied_s),
            _ => slots,
        }
    }

    /// Records whether a request may go to any replica; returns the share of those
    /// that may.
    pub(crate) fn record_free(&self, is_free: bool) -> f64 {
        let mut mean = lock(&self.free_share);
        let free = f64::from(u8::from(is_free));
        let share = mean.map_or(free, |mean| mean + FREE_WEIGHT * (free - mean));
        *mean.insert(share)
    }

    fn record_occupied(&self, time: Duration) {
        let mut mean = lock(&self.occupied_s);
        let seconds = time.as_secs_f64();
        *mean = Some(mean.map_or(seconds, |mean| mean + OCCUPIED_WEIGHT * (seconds - mean)));
    }
}

/// A request that counts as in flight.
#[derive(Debug)]
pub(crate) struct InFlight {
    load: Arc<ServiceLoad>,
    rank: u8,
}

impl InFlight {
    /// Counter of the requests of the same rank.
    fn count(&self) -> &AtomicU32 {
        &self.load.in_flight[usize::from(self.rank).min(RANKS - 1)]
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.count().fetch_sub(1, Ordering::Relaxed);
    }
}

/// Result of a check whether a replica can be reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reached {
    Yes,
    No,
    /// This gateway doesn't reach it, but may be cut off itself.
    Unknown,
}

/// How a new replica begins.
#[derive(Debug)]
pub(crate) enum Start {
    /// It is offered requests at its own pace.
    Paced(Pace),
    /// It is in another data centre, whose gateways find its pace.
    Remote,
}

impl Start {
    fn pace(&self) -> Option<&Pace> {
        match self {
            Start::Paced(pace) => Some(pace),
            Start::Remote => None,
        }
    }

    fn pace_mut(&mut self) -> Option<&mut Pace> {
        match self {
            Start::Paced(pace) => Some(pace),
            Start::Remote => None,
        }
    }
}

/// A replica of one service.
#[derive(Debug)]
pub(crate) struct Replica {
    pub(crate) upstream: Upstream,
    pub(crate) pool: Pool,
    /// When the replica was listed at this gateway.
    listed_at: Instant,
    load: AtomicU32,
    draining: AtomicBool,
    /// Until when it is used although its entry is missing.
    missing_until: Mutex<Option<Instant>>,
    observed: Mutex<Observations>,
    /// Time and result of the last reachability probe.
    last_probe: tokio::sync::Mutex<Option<(Instant, Reached)>>,
    /// A check that the replica has not crashed is in progress.
    confirming: AtomicBool,
    service_load: Arc<ServiceLoad>,
}

/// Observations of a replica's behaviour.
#[derive(Debug, Default)]
struct Observations {
    suspect_until: Option<Instant>,
    /// Model of its prefix cache.
    prefix_cache: PrefixCache,
    delay: Option<(f64, Instant)>,
    last_response: Option<Instant>,
    rate_limit: RateLimit,
    /// Set until the replica is established.
    start: Option<Start>,
    /// Share of the prompts unknown to this gateway that the replica has cached,
    /// as the answers of all gateways showed when it was established.
    cached_share: f64,
}

impl Observations {
    fn pace_mut(&mut self) -> Option<&mut Pace> {
        self.start.as_mut()?.pace_mut()
    }
}

impl Replica {
    /// A replica that was just listed; `start` is set if it is new.
    pub(crate) fn new(
        upstream: Upstream,
        service_load: Arc<ServiceLoad>,
        start: Option<Start>,
    ) -> Self {
        let observed = Mutex::new(Observations { start, ..Observations::default() });
        Replica {
            pool: Pool::new(upstream.address),
            listed_at: Instant::now(),
            load: AtomicU32::new(0),
            draining: AtomicBool::new(upstream.state == UpstreamState::Draining),
            missing_until: Mutex::default(),
            observed,
            last_probe: tokio::sync::Mutex::default(),
            confirming: AtomicBool::new(false),
            service_load,
            upstream,
        }
    }

    /// Requests of this gateway in flight on the replica.
    pub(crate) fn load(&self) -> u32 {
        self.load.load(Ordering::Relaxed)
    }

    /// Whether the replica accepts new work.
    pub(crate) fn is_open(&self) -> bool {
        !self.draining.load(Ordering::Relaxed)
            && lock(&self.missing_until).is_none_or(|until| Instant::now() < until)
    }

    /// Records until when the replica is used although its entry is missing; `None`
    /// if it is not missing.
    pub(crate) fn set_missing(&self, until: Option<Instant>) {
        *lock(&self.missing_until) = until;
    }

    /// Stops new work for the replica and closes its idle connections.
    pub(crate) fn set_draining(&self) {
        self.draining.store(true, Ordering::Relaxed);
        self.pool.clear();
    }

    /// Whether the replica recently failed or refused a request.
    pub(crate) fn is_suspect(&self) -> bool {
        lock(&self.observed).suspect_until.is_some_and(|until| until > Instant::now())
    }

    /// Records that the replica failed or refused a request; other replicas are
    /// preferred for `time`.
    pub(crate) fn mark_suspect(&self, time: Duration) {
        let now = Instant::now();
        let mut observed = lock(&self.observed);
        observed.suspect_until = Some(now + time);
        if let Some(pace) = observed.pace_mut() {
            pace.record_failure(now);
        }
    }

    /// Whether the replica doesn't take part like all others yet.
    pub(crate) fn is_paced(&self) -> bool {
        let time_max = match &lock(&self.observed).start {
            None => return false,
            Some(Start::Paced(_)) => PACE_TIME_MAX,
            Some(Start::Remote) => REMOTE_START_TIME,
        };
        self.listed_at.elapsed() < time_max
    }

    /// Records an answer of a replica at its own pace.
    pub(crate) fn record_paced(&self, answer: PacedAnswer) {
        if let Some(pace) = lock(&self.observed).pace_mut() {
            pace.record_answer(answer, Instant::now());
        }
    }

    /// This gateway's recent answers of a replica at its own pace.
    pub(crate) fn paced_answers(&self) -> Option<OverloadStats> {
        let load = self.load();
        let mut observed = lock(&self.observed);
        observed.pace_mut().map(|pace| pace.own_answers(load, Instant::now()))
    }

    /// Records the answers of all gateways; ends the replica's own pace once it is
    /// established, and returns whether it did now.
    pub(crate) fn record_paced_sum(
        &self,
        answers: OverloadStats,
        gateways: u32,
        now: Instant,
    ) -> bool {
        let load = self.load();
        let mut observed = lock(&self.observed);
        let Some(pace) = observed.pace_mut() else { return false };
        pace.record_shared(answers, now);
        let view = pace.view(gateways, load, now);
        if !pace.is_established(&view) {
            return false;
        }
        let cached_share = pace.cached_share(gateways, now);
        log::info!(
            "event=replica_established replica={} after_ms={} timely={:.1} late={:.1} \
             cached={cached_share:.2}",
            self.upstream.id.name,
            now.saturating_duration_since(self.listed_at).as_millis(),
            view.timely,
            view.late,
        );
        observed.cached_share = cached_share;
        observed.start = None;
        true
    }

    /// Assumes this mean delay, in ms, until there are answers.
    pub(crate) fn assume_delay(&self, ms: f64) {
        lock(&self.observed).delay.get_or_insert((ms, Instant::now()));
    }

    /// The part of a mean replica's requests to offer to a replica at its own pace,
    /// and what it follows from.
    pub(crate) fn pace_share(
        &self,
        peers: PeerLoad,
        is_repeatable: bool,
    ) -> Option<(PaceView, f64)> {
        let (load, now) = (self.load(), Instant::now());
        let observed = lock(&self.observed);
        let pace = observed.start.as_ref()?.pace()?;
        let view = pace.view(peers.gateways, load, now);
        Some((view, pace.share(&view, peers, is_repeatable)))
    }

    /// Records that the replica responded to a request.
    pub(crate) fn record_response(&self) {
        lock(&self.observed).last_response = Some(Instant::now());
    }

    /// Requests per second that the replica takes from all gateways together,
    /// while it announces a limit.
    pub(crate) fn rate_limit(&self) -> Option<f64> {
        lock(&self.observed).rate_limit.rate()
    }

    /// Applies `action` to what is known of the replica's rate limit.
    pub(crate) fn with_limit<T>(&self, action: impl FnOnce(&mut RateLimit) -> T) -> T {
        action(&mut lock(&self.observed).rate_limit)
    }

    /// Expected wait for a permit to send to the replica.
    pub(crate) fn permit_wait(&self) -> Duration {
        lock(&self.observed).rate_limit.permit_wait(Instant::now())
    }

    /// Name of the replica's incarnation in crash facts and permit requests.
    pub(crate) fn incarnation(&self) -> Name {
        format!("{}/{}", self.upstream.id.name, self.upstream.id.started_ms).as_str().into()
    }

    /// Records the limit that a response to a request sent at `sent_at`
    /// announces.
    pub(crate) fn record_limit(&self, rate: Option<f64>, sent_at: Instant) -> Option<LimitChange> {
        let now = Instant::now();
        lock(&self.observed).rate_limit.record_response(rate, sent_at, now)
    }

    /// Returns whether the replica has responded since `since` or can be
    /// connected to now, and when that was checked, in ms since its listing.
    /// Concurrent callers share one attempt to `connect`.
    pub(crate) async fn check_reachable(
        &self,
        since: Instant,
        connect: impl Future<Output = Result<Connection, ConnectError>>,
    ) -> (Reached, u128) {
        let (reached, at) = self.probe(since, connect).await;
        (reached, at.saturating_duration_since(self.listed_at).as_millis())
    }

    async fn probe(
        &self,
        since: Instant,
        connect: impl Future<Output = Result<Connection, ConnectError>>,
    ) -> (Reached, Instant) {
        let sent_before = since + RESPONSE_MARGIN;
        let has_responded =
            || lock(&self.observed).last_response.is_some_and(|at| at > sent_before);
        if has_responded() {
            return (Reached::Yes, Instant::now());
        }
        let mut last_probe = self.last_probe.lock().await;
        match *last_probe {
            Some((at, reached)) if at > since => (reached, at),
            _ => {
                let at = Instant::now();
                let reached = match connect.await {
                    Ok(connection) => {
                        self.pool.add_unused(connection);
                        Reached::Yes
                    }
                    Err(_) if has_responded() => Reached::Yes,
                    Err(err) if err.is_uncertain => Reached::Unknown,
                    Err(_) => Reached::No,
                };
                *last_probe = Some((at, reached));
                (reached, at)
            }
        }
    }

    /// Marks the start or end of a check that the replica has not crashed;
    /// returns whether one was in progress.
    pub(crate) fn set_confirming(&self, is_confirming: bool) -> bool {
        self.confirming.swap(is_confirming, Ordering::Relaxed)
    }

    /// Estimate of the tokens of a prompt that are not in the replica's prefix
    /// cache.
    pub(crate) fn uncached_tokens(&self, prompt: &[PromptPart], service: &Service) -> u64 {
        let observed = lock(&self.observed);
        let tokens = observed.prefix_cache.uncached_tokens(prompt, cache_capacity(service));
        // The first part is often common to many requests.
        let first = prompt.first().map_or(0, |part| u64::from(part.tokens));
        match observed.cached_share {
            share if share > 0.0 && tokens >= first => tokens - (first as f64 * share) as u64,
            _ => tokens,
        }
    }

    /// Records that the replica has processed a prompt. `gateways` gateways are
    /// assumed to send it similar ones.
    pub(crate) fn record_prompt(&self, prompt: &[PromptPart], service: &Service, gateways: u32) {
        lock(&self.observed).prefix_cache.record_prompt(prompt, cache_capacity(service), gateways);
    }

    /// Records how long the replica took for the first event of a stream, or
    /// for a whole call.
    pub(crate) fn record_delay(&self, ms: f64) {
        let now = Instant::now();
        let mut observed = lock(&self.observed);
        let mean = observed.delay.map_or(ms, |(mean, _)| mean + DELAY_WEIGHT * (ms - mean));
        observed.delay = Some((mean, now));
    }

    /// Mean of these times, in ms; it decays with its age.
    pub(crate) fn delay_ms(&self) -> f64 {
        let Some((mean, at)) = lock(&self.observed).delay else { return 0.0 };
        mean * 0.5_f64.powf(at.elapsed().as_secs_f64() / DELAY_HALF_LIFE.as_secs_f64())
    }
}

/// Capacity of the prefix cache of a service's replicas, in tokens; unlimited if
/// it is not known.
fn cache_capacity(service: &Service) -> u64 {
    match service.cache_tokens {
        0 => u64::MAX,
        tokens => tokens,
    }
}

/// A request placed on a replica, which needs a [`Permit`]; it counts towards the replica's load until it
/// is dropped.
#[derive(Debug)]
pub(crate) struct Placement {
    pub(crate) replica: Arc<Replica>,
    _in_flight: InFlight,
    started_at: Instant,
    /// Expected time to process the uncached prompt tokens.
    pub(crate) prefill: Duration,
}

impl Placement {
    /// Adds a request to the load of the permit's replica.
    pub(crate) fn new(permit: Permit, in_flight: InFlight, prefill: Duration) -> Self {
        let replica = permit.into_replica();
        replica.load.fetch_add(1, Ordering::Relaxed);
        Placement { replica, _in_flight: in_flight, started_at: Instant::now(), prefill }
    }
}

impl Drop for Placement {
    fn drop(&mut self) {
        self.replica.load.fetch_sub(1, Ordering::Relaxed);
        self.replica.service_load.record_occupied(self.started_at.elapsed());
        self.replica.service_load.freed.notify_one();
    }
}
