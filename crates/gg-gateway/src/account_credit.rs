//! Credit for requests of one client account, as this gateway got it from the
//! account's issuers. A pure data type.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use gg_ledger::CreditUse;
use gg_protocol::clock::BootTime;
use indexmap::IndexMap;

/// Half-life of the requests from which the demand is estimated.
const DEMAND_HALF_LIFE: Duration = Duration::from_secs(1);

/// Share of the demand during a lease for which credit is requested ahead. What
/// is left at its end is lost to the account.
const SURPLUS_SHARE: f64 = 0.5;

/// Most requests for which credit is requested ahead.
const SURPLUS_MAX: u32 = 64;

/// An issuer that denied credit is asked again after this time at the latest:
/// programs may have ended meanwhile.
const DENIAL_MAX: Duration = Duration::from_millis(500);

/// What an issuer last replied to requests of one kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Denial {
    /// Until when the issuer is not asked.
    pub until: Instant,
    /// When it will have credit, as it replied; `None` if it doesn't respond, or is
    /// no issuer.
    pub credit_at: Option<Instant>,
}

/// Credit of one account.
#[derive(Clone, Debug, Default)]
pub struct AccountCredit {
    issuers: IndexMap<u64, IssuerCredit>,
}

/// Credit from one issuer.
#[derive(Clone, Debug, Default)]
struct IssuerCredit {
    /// Numbers of requests and when credit for them is void, oldest first.
    surplus: VecDeque<(BootTime, u32)>,
    /// Programs that used the surplus, not reported yet.
    used: Vec<u32>,
    new_denied: Option<Denial>,
    denied: Option<Denial>,
    /// Decayed number of requests, and its time.
    demand: Option<(f64, Instant)>,
}

impl AccountCredit {
    /// Takes credit for a request, of `program` if of any, that was granted ahead.
    /// Returns when it is void.
    pub fn take(
        &mut self,
        issuer: u64,
        program: Option<u32>,
        clock: BootTime,
        now: Instant,
    ) -> Option<BootTime> {
        let credit = self.issuers.get_mut(&issuer)?;
        credit.surplus.retain(|(valid_until, _)| *valid_until > clock);
        let (valid_until, left) = credit.surplus.front_mut()?;
        let valid_until = *valid_until;
        *left -= 1;
        if *left == 0 {
            credit.surplus.pop_front();
        }
        credit.used.extend(program);
        credit.add_demand(now);
        Some(valid_until)
    }

    /// Prepares a request to an issuer. Returns for how many requests credit is
    /// wanted, and the programs that used credit granted before. Credit is wanted
    /// ahead only for work in progress, as new work takes none of it.
    pub fn prepare(
        &mut self,
        issuer: u64,
        work: CreditUse,
        lease: Duration,
        now: Instant,
    ) -> (u32, Vec<u32>) {
        let credit = self.issuers.entry(issuer).or_default();
        let used = std::mem::take(&mut credit.used);
        if work == CreditUse::New {
            return (1, used);
        }
        let demand = credit.add_demand(now);
        let per_second = demand * std::f64::consts::LN_2 / DEMAND_HALF_LIFE.as_secs_f64();
        let ahead = (per_second * lease.as_secs_f64() * SURPLUS_SHARE) as u32;
        (1 + ahead.min(SURPLUS_MAX), used)
    }

    /// Records credit that was granted beyond the first request.
    pub fn record_grant(&mut self, issuer: u64, surplus: u32, valid_until: BootTime) {
        let credit = self.issuers.entry(issuer).or_default();
        credit.new_denied = None;
        credit.denied = None;
        if surplus > 0 {
            credit.surplus.push_back((valid_until, surplus));
        }
    }

    /// Records that an issuer has no credit for work of this kind until then.
    pub fn record_denial(&mut self, issuer: u64, work: CreditUse, wait: Duration, now: Instant) {
        let credit_at = now.checked_add(wait);
        let denial = Denial { until: now + wait.min(DENIAL_MAX), credit_at };
        let credit = self.issuers.entry(issuer).or_default();
        credit.new_denied = Some(denial);
        if work == CreditUse::InProgress {
            credit.denied = Some(denial);
        }
    }

    /// Records that an issuer didn't reply, or is none.
    pub fn record_silence(&mut self, issuer: u64, pause: Duration, now: Instant) {
        let denial = Some(Denial { until: now + pause, credit_at: None });
        let credit = self.issuers.entry(issuer).or_default();
        (credit.new_denied, credit.denied) = (denial, denial);
    }

    /// The denial that still holds for work of this kind.
    pub fn denial(&self, issuer: u64, work: CreditUse, now: Instant) -> Option<Denial> {
        let credit = self.issuers.get(&issuer)?;
        let denial = match work {
            CreditUse::New => credit.new_denied,
            CreditUse::InProgress => credit.denied,
        };
        denial.filter(|denial| denial.until > now)
    }

    /// Drops what belongs to instances that are no issuers any more.
    pub fn retain(&mut self, issuers: &[u64]) {
        self.issuers.retain(|issuer, _| issuers.contains(issuer));
    }
}

impl IssuerCredit {
    /// Counts a request. Returns the decayed number of them.
    fn add_demand(&mut self, now: Instant) -> f64 {
        let (demand, at) = self.demand.unwrap_or((0.0, now));
        let age = now.saturating_duration_since(at).as_secs_f64();
        let demand = demand * 0.5_f64.powf(age / DEMAND_HALF_LIFE.as_secs_f64()) + 1.0;
        self.demand = Some((demand, now));
        demand
    }
}
