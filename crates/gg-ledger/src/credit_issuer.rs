//! Issues credit for requests of client accounts with a request rate. All
//! gateways ask the same few instances for the credit of an account, so that the
//! requests of all of them together keep to its rate. Performs no I/O.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use gg_protocol::Name;
use serde::{Deserialize, Serialize};

use crate::{
    CREDIT_ISSUERS, CreditLimit, CreditState, ProgramAdmission, ProgramMeans, issuers::issuers,
    permit_issuer::ceil_ms,
};

/// An instance that becomes an issuer earns no credit for this long. The former
/// one learns within it that it was replaced, and gateways that reach only that one
/// stop using it.
const HOLD: Duration = Duration::from_secs(2);

/// Share of the depth that is left to others when an instance asks for more than
/// one request.
const SURPLUS_RESERVE_SHARE: f64 = 0.5;

/// An account without requests for this long is forgotten.
const IDLE_TTL: Duration = Duration::from_secs(120);

/// Interval between searches for accounts to forget.
const SWEEP_INTERVAL: Duration = Duration::from_secs(5);

/// A layout that was replaced this long ago no longer matters.
const LAYOUTS_TTL: Duration = Duration::from_secs(120);

/// Weight of an account's means in those that are assumed for others.
const ASSUMED_WEIGHT: f64 = 0.02;

/// Interval between reports of what accounts use.
const REPORT_INTERVAL: Duration = Duration::from_secs(10);

/// Number of accounts in a report.
const REPORT_MAX: usize = 8;

/// Work that a request belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum CreditUse {
    /// The first request of a program, or one outside any program, as far as the
    /// gateway knows.
    New,
    /// A further request of a program.
    InProgress,
}

/// Request for credit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CreditRequest {
    /// Account of the requests.
    pub account: Name,
    /// The account's limit, as the client's configuration holds it.
    pub limit: CreditLimit,
    /// Work that the first request belongs to.
    pub work: CreditUse,
    /// Digest of its program.
    pub program: Option<u32>,
    /// Number of requests; 0 if credit is only returned.
    pub count: u32,
    /// Granted requests that were not sent and never will be.
    pub returned: u32,
    /// Programs whose requests were sent with credit beyond the first request of
    /// an earlier call.
    pub used: Vec<u32>,
}

/// Reply to a [`CreditRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CreditReply {
    /// The client may send so many requests, at least one.
    Granted(u32),
    /// There is no credit for work of this kind.
    Denied {
        /// Time in milliseconds after which there is, if nobody else takes it.
        wait_ms: u32,
    },
    /// Other instances issue the credit of the account.
    NotIssuer,
}

/// What an account got from one issuer since the last report.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AccountUse {
    /// Requests that were granted.
    pub granted: u32,
    /// Calls that were denied for programs in progress.
    pub denied: u32,
    /// Calls that were denied for new work.
    pub denied_new: u32,
    /// Requests that may be granted now.
    pub level: f64,
    /// Programs in progress.
    pub programs: usize,
}

/// Credit of all accounts for which one instance is an issuer.
#[derive(Clone, Debug, Default)]
pub struct CreditIssuer {
    accounts: HashMap<Name, AccountCredit>,
    /// Disks of the layouts that this instance has followed, oldest first, and
    /// from when on those that came in with each earn credit.
    layouts: Vec<(Instant, Vec<u64>)>,
    /// Means over the programs of all accounts.
    means: ProgramMeans,
    swept_at: Option<Instant>,
    reported_at: Option<Instant>,
}

/// Credit of one account.
#[derive(Clone, Debug)]
struct AccountCredit {
    limit: CreditLimit,
    /// From when on the instance has earned credit as an issuer of the account.
    since: Option<Instant>,
    /// Requests that may be granted, as of `updated_at`.
    level: f64,
    updated_at: Instant,
    programs: ProgramAdmission,
    used: AccountUse,
}

/// An instance's place among the issuers of an account.
#[derive(Clone, Copy, Debug)]
struct Place {
    /// Number of issuers, each with an equal part.
    issuers: usize,
    since: Instant,
}

impl CreditIssuer {
    /// Records the disks of a layout from `now` on. `is_former` says that nobody
    /// else was an issuer in the instance's place before: it is the first layout of
    /// the deployment, or the one that the instance followed before a restart.
    pub fn record_layout(&mut self, disks: Vec<u64>, is_former: bool, now: Instant) {
        if self.layouts.last().is_some_and(|(_, known)| *known == disks) {
            return;
        }
        let is_former = is_former && self.layouts.is_empty();
        self.layouts.push((if is_former { now } else { now + HOLD }, disks));
        let is_old = |at: Instant| now.saturating_duration_since(at) > LAYOUTS_TTL;
        while self.layouts.get(1).is_some_and(|(at, _)| is_old(*at)) {
            self.layouts.remove(0);
        }
    }

    /// Records an account's limit unless one of a newer configuration is known.
    /// Returns whether it is new or differs from before.
    pub fn observe(&mut self, account: &Name, limit: CreditLimit, now: Instant) -> bool {
        self.sweep(now);
        let Some(known) = self.accounts.get_mut(account) else {
            let credit = AccountCredit {
                limit,
                since: None,
                level: 0.0,
                updated_at: now,
                programs: ProgramAdmission::default(),
                used: AccountUse::default(),
            };
            self.accounts.insert(account.clone(), credit);
            return true;
        };
        if limit.version <= known.limit.version {
            return false;
        }
        let known = std::mem::replace(&mut known.limit, limit);
        CreditLimit { version: limit.version, ..known } != limit
    }

    /// Decides on a request whose limit was recorded. `disk` is that of this
    /// instance.
    pub fn request(&mut self, request: &CreditRequest, disk: u64, now: Instant) -> CreditReply {
        let Some(account) = self.accounts.get_mut(&request.account) else {
            return CreditReply::NotIssuer;
        };
        let place = find_place(&self.layouts, &request.account, &account.limit, disk);
        let Some(place) = place else { return CreditReply::NotIssuer };
        let part = account.limit.part(place.issuers);
        account.earn(part, place.since, now);
        account.take_back(request, part);
        request.used.iter().for_each(|program| account.programs.record_use(*program, now));
        if request.count == 0 {
            return CreditReply::Granted(0);
        }
        let assumed = self.means;
        let reply = account.decide(request, part, place, assumed, now);
        account.count(request.work, reply);
        if let (CreditReply::Granted(_), Some(means)) = (reply, account.programs.means()) {
            self.means.blend(means, ASSUMED_WEIGHT);
        }
        reply
    }

    /// Reports what the accounts used that used most, and what the others used
    /// together under the name `-`; at most once every 10 s.
    pub fn report(&mut self, now: Instant) -> Vec<(Name, AccountUse)> {
        let reported_at = *self.reported_at.get_or_insert(now);
        if now.saturating_duration_since(reported_at) < REPORT_INTERVAL {
            return Vec::new();
        }
        self.reported_at = Some(now);
        let used = self.accounts.iter_mut().map(|(name, account)| (name.clone(), account.report()));
        let mut used: Vec<_> = used.filter(|(_, used)| used.calls() > 0).collect();
        used.sort_by_key(|(_, used)| std::cmp::Reverse(used.calls()));
        let others = used.split_off(used.len().min(REPORT_MAX));
        if !others.is_empty() {
            let sum = others.into_iter().map(|(_, used)| used).reduce(AccountUse::sum);
            used.extend(sum.map(|sum| ("-".into(), sum)));
        }
        used
    }

    /// Removes accounts without recent requests.
    fn sweep(&mut self, now: Instant) {
        let is_recent = |at: Instant, time: Duration| now.saturating_duration_since(at) < time;
        if self.swept_at.is_some_and(|at| is_recent(at, SWEEP_INTERVAL)) {
            return;
        }
        self.swept_at = Some(now);
        self.accounts.retain(|_, account| is_recent(account.updated_at, IDLE_TTL));
    }
}

impl AccountUse {
    fn calls(&self) -> u32 {
        self.granted + self.denied + self.denied_new
    }

    fn sum(self, other: Self) -> Self {
        AccountUse {
            granted: self.granted + other.granted,
            denied: self.denied + other.denied,
            denied_new: self.denied_new + other.denied_new,
            level: self.level + other.level,
            programs: self.programs + other.programs,
        }
    }
}

impl AccountCredit {
    /// Adds the credit that was earned since the last call. Whoever has just
    /// become an issuer doesn't know what was granted before; whoever has granted
    /// credit since then does, also if its former layouts are forgotten.
    fn earn(&mut self, part: CreditLimit, since: Instant, now: Instant) {
        let has_granted = self.since.is_some() && self.updated_at >= since;
        if self.since != Some(since) && !has_granted {
            self.level = part.start;
            self.updated_at = since;
        }
        self.since = Some(since);
        let earned = now.saturating_duration_since(self.updated_at).as_secs_f64();
        self.level = (self.level + part.rate * earned).min(part.depth);
        self.updated_at = self.updated_at.max(now);
    }

    /// Takes credit back that was granted and not used.
    fn take_back(&mut self, request: &CreditRequest, part: CreditLimit) {
        if request.returned == 0 {
            return;
        }
        self.level = (self.level + f64::from(request.returned)).min(part.depth);
        if let Some(program) = request.program {
            self.programs.record_return(program);
        }
    }

    fn count(&mut self, work: CreditUse, reply: CreditReply) {
        match (reply, work) {
            (CreditReply::Granted(count), _) => self.used.granted += count,
            (_, CreditUse::New) => self.used.denied_new += 1,
            (_, CreditUse::InProgress) => self.used.denied += 1,
        }
    }

    fn report(&mut self) -> AccountUse {
        let used = std::mem::take(&mut self.used);
        AccountUse { level: self.level, programs: self.programs.in_progress(), ..used }
    }

    fn decide(
        &mut self,
        request: &CreditRequest,
        part: CreditLimit,
        place: Place,
        assumed: ProgramMeans,
        now: Instant,
    ) -> CreditReply {
        let credit = CreditState {
            level: self.level,
            depth: part.depth,
            rate: part.rate,
            share: 1.0 / place.issuers as f64,
        };
        let is_known = request.program.is_some_and(|program| self.programs.is_active(program, now));
        let admitted = match request.work {
            CreditUse::New if !is_known => {
                self.programs.admit(request.program, credit, assumed, now)
            }
            _ => credit.wait(1.0).map_or(Ok(()), Err),
        };
        if let Err(wait) = admitted {
            return CreditReply::Denied { wait_ms: ceil_ms(wait) };
        }
        let surplus = self.level - 1.0 - SURPLUS_RESERVE_SHARE * part.depth;
        let count = 1 + (request.count - 1).min(surplus.max(0.0) as u32);
        self.level -= f64::from(count);
        if let Some(program) = request.program {
            self.programs.record_use(program, now);
        }
        CreditReply::Granted(count)
    }
}

/// Finds the place of `disk` among an account's issuers; `None` if it is not one
/// of them now.
fn find_place(
    layouts: &[(Instant, Vec<u64>)],
    account: &str,
    limit: &CreditLimit,
    disk: u64,
) -> Option<Place> {
    let issuers_of = |disks: &[u64]| {
        let all: [Option<u64>; CREDIT_ISSUERS] = issuers(disks, account);
        let available = all.iter().flatten().count();
        let count = limit.issuers(available);
        all[..count].contains(&Some(disk)).then_some(count)
    };
    let (_, disks) = layouts.last()?;
    let issuers = issuers_of(disks)?;
    let held = layouts.iter().rev().take_while(|(_, disks)| issuers_of(disks).is_some());
    held.last().map(|(since, _)| Place { issuers, since: *since })
}
