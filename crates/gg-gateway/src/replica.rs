//! One replica as this gateway knows it.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::{Duration, Instant},
};

use gg_protocol::config::RANKS;
use gg_route::{Part, Service, Upstream, UpstreamState};
use tokio::sync::Notify;

use crate::{KeptParts, pool::Pool, state::lock};

/// Weight of the newest observation in a replica's mean delay.
const DELAY_WEIGHT: f64 = 0.2;

/// A replica's mean delay counts half after this time without another
/// observation, so that one that was slow gets tried again.
const DELAY_HALF_LIFE: Duration = Duration::from_secs(2);

/// Answers that are read this long after a connection broke may have been sent
/// before that: a slow instance reads them late.
const ANSWER_MARGIN: Duration = Duration::from_millis(25);

/// What all replicas of one service have of ours.
#[derive(Debug, Default)]
pub(crate) struct ServiceLoad {
    /// Told when a request leaves a replica of the service.
    pub(crate) freed: Notify,
    under_way: [AtomicU32; RANKS],
}

impl ServiceLoad {
    /// Requests by rank.
    pub(crate) fn under_way(&self) -> [u32; RANKS] {
        self.under_way.each_ref().map(|count| count.load(Ordering::Relaxed))
    }
}

/// A replica of one service.
#[derive(Debug)]
pub(crate) struct Replica {
    pub(crate) upstream: Upstream,
    pub(crate) pool: Pool,
    /// When it was listed here.
    listed: Instant,
    load: AtomicU32,
    leaving: AtomicBool,
    belief: Mutex<Belief>,
    /// When it was last tried whether it can be reached, and whether it was.
    reached: tokio::sync::Mutex<Option<(Instant, bool)>>,
    /// It is being made sure of that it has not crashed.
    confirming: AtomicBool,
    service_load: Arc<ServiceLoad>,
}

/// What was seen of a replica.
#[derive(Debug, Default)]
struct Belief {
    suspect_until: Option<Instant>,
    /// Prompts that it has read.
    kept: KeptParts,
    delay: Option<(f64, Instant)>,
    answered: Option<Instant>,
}

impl Replica {
    pub(crate) fn new(upstream: Upstream, service_load: Arc<ServiceLoad>) -> Self {
        Replica {
            pool: Pool::new(upstream.address),
            listed: Instant::now(),
            load: AtomicU32::new(0),
            leaving: AtomicBool::new(upstream.state == UpstreamState::Draining),
            belief: Mutex::default(),
            reached: tokio::sync::Mutex::default(),
            confirming: AtomicBool::new(false),
            service_load,
            upstream,
        }
    }

    /// Requests of ours that it has.
    pub(crate) fn load(&self) -> u32 {
        self.load.load(Ordering::Relaxed)
    }

    /// Whether it takes new work.
    pub(crate) fn is_open(&self) -> bool {
        !self.leaving.load(Ordering::Relaxed)
    }

    /// It gets no new work from here on.
    pub(crate) fn set_leaving(&self) {
        self.leaving.store(true, Ordering::Relaxed);
        self.pool.clear();
    }

    /// Whether it failed or refused lately.
    pub(crate) fn is_suspect(&self) -> bool {
        lock(&self.belief).suspect_until.is_some_and(|until| until > Instant::now())
    }

    /// It failed or refused; others go first for `time`.
    pub(crate) fn suspect(&self, time: Duration) {
        lock(&self.belief).suspect_until = Some(Instant::now() + time);
    }

    /// It has answered a request.
    pub(crate) fn note_answered(&self) {
        lock(&self.belief).answered = Some(Instant::now());
    }

    /// Whether it has answered since `began`, or takes a connection now, and when
    /// that was tried, in ms of its listing. One try serves all who ask at the
    /// same time.
    pub(crate) async fn reach(&self, began: Instant) -> (bool, u128) {
        let (is_reached, at) = self.try_reach(began).await;
        (is_reached, at.saturating_duration_since(self.listed).as_millis())
    }

    async fn try_reach(&self, began: Instant) -> (bool, Instant) {
        let sent_before = began + ANSWER_MARGIN;
        let has_answered = || lock(&self.belief).answered.is_some_and(|at| at > sent_before);
        if has_answered() {
            return (true, Instant::now());
        }
        let mut reached = self.reached.lock().await;
        match *reached {
            Some((at, was_reached)) if at > began => (was_reached, at),
            _ => {
                let at = Instant::now();
                let connected = self.pool.connect().await;
                let was_reached = connected.is_ok() || has_answered();
                connected.into_iter().for_each(|connection| self.pool.keep_new(connection));
                *reached = Some((at, was_reached));
                (was_reached, at)
            }
        }
    }

    /// Begins or ends to make sure that it has not crashed; returns whether
    /// that was under way.
    pub(crate) fn set_confirming(&self, is_confirming: bool) -> bool {
        self.confirming.swap(is_confirming, Ordering::Relaxed)
    }

    /// Tokens of a prompt that it is believed to have to read.
    pub(crate) fn unread(&self, prompt: &[Part], service: &Service) -> u64 {
        lock(&self.belief).kept.unread(prompt, room(service))
    }

    /// It has read a prompt, one of `gateways` that send it such.
    pub(crate) fn note_read(&self, prompt: &[Part], service: &Service, gateways: u32) {
        lock(&self.belief).kept.note(prompt, room(service), gateways);
    }

    /// Takes in the time that it took for a first byte.
    pub(crate) fn note_delay(&self, ms: f64) {
        let now = Instant::now();
        let mut belief = lock(&self.belief);
        let mean = belief.delay.map_or(ms, |(mean, _)| mean + DELAY_WEIGHT * (ms - mean));
        belief.delay = Some((mean, now));
    }

    /// Mean time to a first byte, in ms, fading with its age.
    pub(crate) fn delay_ms(&self) -> f64 {
        let Some((mean, at)) = lock(&self.belief).delay else { return 0.0 };
        mean * 0.5_f64.powf(at.elapsed().as_secs_f64() / DELAY_HALF_LIFE.as_secs_f64())
    }

    /// Takes a place on the replica until the result is dropped, for a
    /// request of `rank` that it is expected to take `reading` to read.
    pub(crate) fn occupy(self: &Arc<Self>, rank: u8, reading: Duration) -> Place {
        let place = Place { replica: self.clone(), rank, reading };
        self.load.fetch_add(1, Ordering::Relaxed);
        place.of_rank().fetch_add(1, Ordering::Relaxed);
        place
    }
}

/// Prompt tokens that a replica of a service keeps.
fn room(service: &Service) -> u64 {
    match service.kept_tokens {
        0 => u64::MAX,
        tokens => tokens,
    }
}

/// A place on a replica.
#[derive(Debug)]
pub(crate) struct Place {
    pub(crate) replica: Arc<Replica>,
    rank: u8,
    /// Expected time to read what the replica has not read yet.
    pub(crate) reading: Duration,
}

impl Place {
    /// Count of the requests of its rank.
    fn of_rank(&self) -> &AtomicU32 {
        &self.replica.service_load.under_way[usize::from(self.rank).min(RANKS - 1)]
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.replica.load.fetch_sub(1, Ordering::Relaxed);
        self.of_rank().fetch_sub(1, Ordering::Relaxed);
        self.replica.service_load.freed.notify_one();
    }
}
