//! Whole programs of client accounts that send more than their request rate, in
//! simulated time.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    time::{Duration, Instant},
};

use gg_fakes::Random;
use gg_ledger::{CreditIssuer, CreditLimit, CreditReply, CreditRequest, CreditUse, QuotaBounds};

const BOUNDS: QuotaBounds =
    QuotaBounds { window: Duration::from_secs(5), overage: 0.1, slack: 20.0 };

/// Disks of the issuers.
const DISKS: [u64; 3] = [11, 12, 13];

/// Time from the start of the issuers to the first program, in ms.
const LEAD_MS: u64 = 14_000;

/// Time in which programs begin, in ms.
const LENGTH_MS: u64 = 34_000;

/// Time from a request of a program to the next one, in ms.
const STEP_MS: (u64, u64) = (200, 700);

/// Longest wait of a request of a program in progress for credit, in ms.
const WAIT_MAX_MS: u64 = 900;

/// Times that a client sends a request before its program has failed.
const SENDS_MAX: u32 = 3;

/// Pause of a client before it sends a refused request again, in ms, unless the
/// refusal names another one.
const RETRY_MS: (u64, u64) = (100, 400);

/// Longest pause that a client accepts, in ms.
const RETRY_MAX_MS: u64 = 1_000;

/// Number of seeds that each load is played with.
const SEEDS: u64 = 4;

/// What one account sends, and may send.
#[derive(Clone, Copy, Debug)]
struct Load {
    /// Programs begun per second.
    programs: f64,
    /// Mean number of requests of a program.
    requests: f64,
    /// Times in ms between which it begins more programs, and how many times as
    /// many.
    surge: (u64, u64, f64),
    /// Requests per second that are allowed, and from a time in ms on. The burst
    /// is that of a second.
    rate: f64,
    cut: (u64, f64),
}

impl Load {
    /// An account that usually needs this share of `rate`.
    fn usual(rate: f64, share: f64, requests: f64) -> Self {
        let programs = share * rate / requests;
        let (surge, cut) = ((0, 0, 1.0), (u64::MAX, rate));
        Load { programs, requests, surge, rate, cut }
    }

    fn programs_at(&self, ms: u64) -> f64 {
        let (from, to, factor) = self.surge;
        if (from..to).contains(&ms) { self.programs * factor } else { self.programs }
    }

    fn rate_at(&self, ms: u64) -> f64 {
        if ms < self.cut.0 { self.rate } else { self.cut.1 }
    }
}

/// What came of an account's programs.
#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    begun: u32,
    completed: u32,
    /// Programs that began and did not end.
    broken: u32,
    /// Programs whose requests are within the limit.
    owed: f64,
    /// Requests in the busiest window, as a share of those allowed.
    busiest: f64,
}

impl Outcome {
    /// Completed programs as a share of those owed.
    fn share(&self) -> f64 {
        if self.owed > 0.0 { f64::from(self.completed) / self.owed } else { 1.0 }
    }
}

/// A request that is sent, or sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Event {
    ms: u64,
    program: usize,
}

#[derive(Clone, Copy, Debug)]
struct Program {
    account: usize,
    requests: u32,
    sent: u32,
    sends: u32,
    waiting_since: Option<u64>,
}

struct Simulation<'a> {
    loads: &'a [Load],
    start: Instant,
    issuers: Vec<CreditIssuer>,
    programs: Vec<Program>,
    events: BinaryHeap<Reverse<Event>>,
    sent: Vec<Vec<u64>>,
    outcomes: Vec<Outcome>,
    random: Random,
}

impl<'a> Simulation<'a> {
    fn new(loads: &'a [Load], seed: u64) -> Self {
        let start = Instant::now();
        let issuers = DISKS.iter().map(|_| {
            let mut issuer = CreditIssuer::default();
            issuer.record_layout(DISKS.to_vec(), false, start);
            issuer
        });
        Simulation {
            loads,
            start,
            issuers: issuers.collect(),
            programs: Vec::new(),
            events: BinaryHeap::new(),
            sent: vec![Vec::new(); loads.len()],
            outcomes: vec![Outcome::default(); loads.len()],
            random: Random::new(seed),
        }
    }

    fn run(mut self) -> Vec<Outcome> {
        self.begin_programs();
        while let Some(Reverse(event)) = self.events.pop() {
            self.send(event);
        }
        for (account, sent) in self.sent.iter_mut().enumerate() {
            sent.sort_unstable();
            let load = &self.loads[account];
            let window = BOUNDS.window.as_millis() as u64;
            let share = |first: &u64| {
                let from = sent.partition_point(|ms| ms < first);
                let count = sent.partition_point(|ms| *ms < first + window) - from;
                // A lower limit binds one window later.
                let rate = load.rate_at(first.saturating_sub(window));
                let allowed = rate * (BOUNDS.window.as_secs_f64() + 1.0) * 1.1 + 20.0;
                count as f64 / allowed
            };
            self.outcomes[account].busiest = sent.iter().map(share).fold(0.0, f64::max);
        }
        self.outcomes
    }

    fn begin_programs(&mut self) {
        for (account, load) in self.loads.iter().enumerate() {
            let mut needed: BTreeMap<u64, (u32, f64)> = BTreeMap::new();
            for ms in 0..LENGTH_MS {
                if !self.random.chance(load.programs_at(ms) / 1e3) {
                    continue;
                }
                let most = (2.0 * load.requests) as u64;
                let requests = self.random.between(1, most) as u32;
                let window = needed.entry(ms / 5_000).or_default();
                window.0 += 1;
                window.1 += f64::from(requests);
                let program = self.programs.len();
                let waiting_since = None;
                self.programs.push(Program { account, requests, sent: 0, sends: 0, waiting_since });
                self.events.push(Reverse(Event { ms, program }));
            }
            let owed = needed.iter().map(|(window, (programs, requests))| {
                let limit = load.rate_at(window * 5_000) * 6.0;
                f64::from(*programs) * (limit / requests).min(1.0)
            });
            self.outcomes[account].owed = owed.sum();
            self.outcomes[account].begun = needed.values().map(|(programs, _)| programs).sum();
        }
    }

    fn send(&mut self, event: Event) {
        let Event { ms, program } = event;
        let Program { account, requests, sent, sends, waiting_since } = self.programs[program];
        let work = if sent == 0 { CreditUse::New } else { CreditUse::InProgress };
        let Some(wait_ms) = self.ask(ms, program, work) else {
            self.sent[account].push(ms);
            let state = &mut self.programs[program];
            (state.sent, state.sends, state.waiting_since) = (sent + 1, 0, None);
            if sent + 1 == requests {
                self.outcomes[account].completed += 1;
            } else {
                let ms = ms + self.random.between(STEP_MS.0, STEP_MS.1);
                self.events.push(Reverse(Event { ms, program }));
            }
            return;
        };
        let since = waiting_since.unwrap_or(ms);
        if sent > 0 && ms + wait_ms <= since + WAIT_MAX_MS {
            self.programs[program].waiting_since = Some(since);
            self.events.push(Reverse(Event { ms: ms + wait_ms.max(10), program }));
            return;
        }
        if sends + 1 == SENDS_MAX {
            self.outcomes[account].broken += u32::from(sent > 0);
            return;
        }
        let state = &mut self.programs[program];
        (state.sends, state.waiting_since) = (sends + 1, None);
        let pause = self.random.between(RETRY_MS.0, RETRY_MS.1);
        let ms = ms + pause.max(wait_ms.min(RETRY_MAX_MS));
        self.events.push(Reverse(Event { ms, program }));
    }

    /// Asks the issuers in turn. Returns the shortest wait if none has credit.
    fn ask(&mut self, ms: u64, program: usize, work: CreditUse) -> Option<u64> {
        let account = self.programs[program].account;
        let load = &self.loads[account];
        let rate = load.rate_at(ms);
        let version = if ms < load.cut.0 { 1 } else { 2 };
        let limit: CreditLimit = BOUNDS.limit(version, rate, rate);
        let request = CreditRequest {
            account: format!("account-{account}").as_str().into(),
            limit,
            work,
            program: Some(program as u32),
            count: 1,
            returned: 0,
            used: Vec::new(),
        };
        let now = self.start + Duration::from_millis(LEAD_MS + ms);
        let mut wait = u64::MAX;
        for turn in 0..DISKS.len() {
            let slot = (program + turn) % DISKS.len();
            let issuer = &mut self.issuers[slot];
            issuer.observe(&request.account, limit, now);
            match issuer.request(&request, DISKS[slot], now) {
                CreditReply::Granted(_) => return None,
                CreditReply::Denied { wait_ms } => wait = wait.min(wait_ms.into()),
                CreditReply::NotIssuer => {}
            }
        }
        Some(wait)
    }
}

/// Plays several seeds; the sums over them by account.
fn play(loads: &[Load]) -> Vec<Outcome> {
    let mut sums = vec![Outcome::default(); loads.len()];
    for seed in 1..=SEEDS {
        for (sum, outcome) in sums.iter_mut().zip(Simulation::new(loads, seed).run()) {
            assert!(outcome.busiest <= 1.0, "seed {seed}: {outcome:?}");
            sum.begun += outcome.begun;
            sum.completed += outcome.completed;
            sum.broken += outcome.broken;
            sum.owed += outcome.owed;
            sum.busiest = sum.busiest.max(outcome.busiest);
        }
    }
    for outcome in &sums {
        println!("{:.3} {outcome:?}", outcome.share());
    }
    sums
}

/// Share of owed programs that have to be completed near and beyond the limit.
const SHARE_MIN: f64 = 0.85;

/// Programs that break off after they began, as a share of those completed.
const BROKEN_MAX: f64 = 0.05;

fn check(outcome: &Outcome) {
    assert!(
        outcome.share() >= SHARE_MIN,
        "{:.3} of the owed programs: {outcome:?}",
        outcome.share()
    );
    let broken = f64::from(outcome.broken) / f64::from(outcome.completed.max(1));
    assert!(broken <= BROKEN_MAX, "{broken:.3} broke off: {outcome:?}");
}

#[test]
fn account_far_above_usual() {
    let surge =
        |rate, requests| Load { surge: (6_000, 13_000, 7.5), ..Load::usual(rate, 0.625, requests) };
    for load in [surge(40.0, 5.0), surge(40.0, 13.0), surge(136.0, 9.0), surge(8.0, 9.0)] {
        check(&play(&[load])[0]);
    }
}

#[test]
fn limit_far_below_use() {
    for (rate, requests) in [(40.0, 5.0), (136.0, 9.0)] {
        let load = Load { cut: (10_000, 0.2 * rate), ..Load::usual(rate, 0.625, requests) };
        check(&play(&[load])[0]);
    }
}

/// Accounts within their rates lose nothing beside one that isn't.
#[test]
fn small_accounts_beside_huge_one() {
    let huge = Load { surge: (0, LENGTH_MS, 4.0), ..Load::usual(136.0, 0.625, 9.0) };
    let small = (0..40).map(|number| Load::usual(0.7 + 0.1 * f64::from(number), 0.625, 5.0));
    let loads: Vec<Load> = [huge].into_iter().chain(small).collect();
    let outcomes = play(&loads);
    check(&outcomes[0]);
    let mut small = outcomes[1..].to_vec();
    small.sort_by(|a, b| a.share().total_cmp(&b.share()));
    let worst = &small[..4];
    let sum = |part: fn(&Outcome) -> f64, of: &[Outcome]| of.iter().map(part).sum::<f64>();
    let served = sum(|one| f64::from(one.completed), worst) / sum(|one| one.owed, worst);
    assert!(served >= 0.9, "{served:.3} of the programs of the worst tenth: {worst:?}");
}
