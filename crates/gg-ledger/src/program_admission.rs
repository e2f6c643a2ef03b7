//! Decides whether a further program of a client account may begin, so that
//! those in progress have credit for their remaining requests. A program that
//! lacks credit for one request fails as a whole. Performs no I/O.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

/// Means that are assumed until programs have ended.
const MEANS_DEFAULT: ProgramMeans = ProgramMeans { requests: 8.0, seconds: 4.0 };

/// Number of programs that an assumed mean counts as.
const PRIOR_PROGRAMS: f64 = 3.0;

/// Number of recent programs over which means are taken, about.
const MEAN_PROGRAMS: f64 = 50.0;

/// A program without a request for this long has ended. Pauses between the
/// requests of a program are shorter.
const END_IDLE: Duration = Duration::from_secs(4);

/// A program whose pause is longer than this many mean intervals between its
/// requests, and than this many seconds, is expected to send no more.
const PAUSE_INTERVALS: f64 = 3.0;
const PAUSE_MIN_S: f64 = 0.5;

/// Interval between searches for programs that have ended.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);

/// Number of programs of an account that an issuer follows; about 40 bytes each.
/// Above it the least recent ones count as ended.
const PROGRAMS_MAX: usize = 1_024;

/// Share of the depth that is left to programs in progress.
const RESERVE_SHARE: f64 = 0.25;

/// Shortest time after which a program that may not begin should try again.
const RETRY_MIN: Duration = Duration::from_millis(100);

/// Means over ended programs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ProgramMeans {
    /// Requests of a program.
    pub requests: f64,
    /// Time from its first to its last request.
    pub seconds: f64,
}

impl ProgramMeans {
    /// Moves these means towards others.
    pub(crate) fn blend(&mut self, others: ProgramMeans, weight: f64) {
        self.requests += weight * (others.requests - self.requests);
        self.seconds += weight * (others.seconds - self.seconds);
    }
}

impl Default for ProgramMeans {
    fn default() -> Self {
        MEANS_DEFAULT
    }
}

/// Credit of an account at one of its issuers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CreditState {
    /// Requests that may be granted now.
    pub level: f64,
    /// Highest level.
    pub depth: f64,
    /// Requests per second by which the level rises.
    pub rate: f64,
    /// Part of the account's credit that the issuer holds. Programs get the rest
    /// of theirs from the other issuers when this one has none.
    pub share: f64,
}

impl CreditState {
    /// Time until the level has risen to `level`, unless it has.
    pub fn wait(&self, level: f64) -> Option<Duration> {
        let missing = level - self.level;
        let wait = Duration::try_from_secs_f64(missing.max(0.0) / self.rate);
        (missing > 0.0).then(|| wait.unwrap_or(Duration::MAX))
    }
}

/// A program in progress.
#[derive(Clone, Copy, Debug)]
struct ProgramUse {
    requests: u32,
    /// Whether it began here, so that all its requests were counted.
    is_whole: bool,
    begun_at: Instant,
    used_at: Instant,
}

/// Programs of an account that send requests with credit of one issuer.
#[derive(Clone, Debug, Default)]
pub struct ProgramAdmission {
    /// By digest of the program, least recently used first.
    programs: IndexMap<u32, ProgramUse>,
    learnt: Option<(ProgramMeans, f64)>,
    swept_at: Option<Instant>,
}

impl ProgramAdmission {
    /// Number of programs in progress.
    pub fn in_progress(&self) -> usize {
        self.programs.len()
    }

    /// Whether a program is in progress.
    pub fn is_active(&self, program: u32, now: Instant) -> bool {
        self.programs.get(&program).is_some_and(|program| idle_time(program, now) < END_IDLE)
    }

    /// Means over the account's programs.
    pub fn means(&self) -> Option<ProgramMeans> {
        self.learnt.map(|(means, _)| means)
    }

    /// Decides whether a program may begin with its first request, or a request
    /// outside any program; otherwise returns the time until credit for it is
    /// there. `assumed` are the means of other accounts.
    pub fn admit(
        &mut self,
        program: Option<u32>,
        credit: CreditState,
        assumed: ProgramMeans,
        now: Instant,
    ) -> Result<(), Duration> {
        self.sweep(assumed, now);
        let means = self.means().unwrap_or(assumed);
        let owed: f64 = self.programs.values().map(|program| remaining(program, means, now)).sum();
        if owed > 0.0 {
            // A program may take its time for its requests, and earns credit meanwhile.
            let earned = credit.rate * means.seconds;
            let needed = program.map_or(1.0, |_| means.requests) * credit.share;
            let level = (1.0 + RESERVE_SHARE * credit.depth).max(owed + needed - earned);
            if let Some(wait) = credit.wait(level) {
                return Err(wait.max(RETRY_MIN));
            }
        } else if let Some(wait) = credit.wait(1.0) {
            return Err(wait.max(RETRY_MIN));
        }
        let Some(program) = program else { return Ok(()) };
        self.begin(program, true, now);
        Ok(())
    }

    /// Records a request of a program. One that began elsewhere is owed the rest of
    /// its requests here too: its issuer was lost, or had no credit.
    pub fn record_use(&mut self, program: u32, now: Instant) {
        if !self.programs.contains_key(&program) {
            self.begin(program, false, now);
        }
        if let Some(mut used) = self.programs.shift_remove(&program) {
            used.requests += 1;
            used.used_at = now;
            self.programs.insert(program, used);
        }
    }

    fn begin(&mut self, program: u32, is_whole: bool, now: Instant) {
        if self.programs.len() >= PROGRAMS_MAX {
            self.programs.shift_remove_index(0);
        }
        let begun = ProgramUse { requests: 0, is_whole, begun_at: now, used_at: now };
        self.programs.insert(program, begun);
    }

    /// Records that a request of a program was not sent.
    pub fn record_return(&mut self, program: u32) {
        let Some(returned) = self.programs.get_mut(&program) else { return };
        returned.requests = returned.requests.saturating_sub(1);
        if returned.requests == 0 {
            self.programs.shift_remove(&program);
        }
    }

    /// Removes programs that have ended, and learns from them.
    fn sweep(&mut self, assumed: ProgramMeans, now: Instant) {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < SWEEP_INTERVAL;
        if self.swept_at.is_some_and(is_recent) {
            return;
        }
        self.swept_at = Some(now);
        while let Some((_, program)) = self.programs.first() {
            if idle_time(program, now) < END_IDLE {
                break;
            }
            let ended = *program;
            self.programs.shift_remove_index(0);
            if ended.is_whole {
                self.learn(&ended, assumed);
            }
        }
    }

    fn learn(&mut self, ended: &ProgramUse, assumed: ProgramMeans) {
        let (means, programs) = self.learnt.unwrap_or((assumed, PRIOR_PROGRAMS));
        let programs = (programs + 1.0).min(MEAN_PROGRAMS);
        let seconds = ended.used_at.saturating_duration_since(ended.begun_at).as_secs_f64();
        let requests = f64::from(ended.requests);
        let means = ProgramMeans {
            requests: means.requests + (requests - means.requests) / programs,
            seconds: means.seconds + (seconds - means.seconds) / programs,
        };
        self.learnt = Some((means, programs));
    }
}

/// Requests that a program will still need. One that pauses for longer than
/// usual has probably ended.
fn remaining(program: &ProgramUse, means: ProgramMeans, now: Instant) -> f64 {
    let interval = means.seconds / (means.requests - 1.0).max(1.0);
    let pause_max = (PAUSE_INTERVALS * interval).clamp(PAUSE_MIN_S, END_IDLE.as_secs_f64());
    let idle = idle_time(program, now).as_secs_f64() / pause_max;
    (means.requests - f64::from(program.requests)).max(1.0) * (1.0 - idle).max(0.0)
}

fn idle_time(program: &ProgramUse, now: Instant) -> Duration {
    now.saturating_duration_since(program.used_at)
}
