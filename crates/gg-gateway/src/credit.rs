//! Credit for requests of client accounts with a request rate. No request of
//! such an account is sent to an upstream without it.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use gg_ledger::{CreditLimit, CreditReply, CreditRequest, CreditUse, Ledger, QuotaBounds, digest};
use gg_protocol::{Code, Failure, Name, clock::BootTime};
use gg_settings::RateSettings;
use rand::Rng;
use tokio::time;

use crate::{
    AccountCredit,
    call::refusal,
    proxy::Job,
    state::{State, lock},
};

/// Work in progress may wait for credit for this share of its remaining time:
/// its program fails if it is refused.
const WAIT_SHARE: f64 = 0.3;

/// Shortest pause before credit is requested again.
const PAUSE_MIN: Duration = Duration::from_millis(10);

/// Credit that is void sooner than this is not relied on when a request is sent.
const VALIDITY_MIN: Duration = Duration::from_millis(5);

/// Time for which an issuer that doesn't reply is not asked.
const SILENCE_PAUSE: Duration = Duration::from_millis(300);

/// Longest time in which a second copy of a request gets credit. The first one is
/// not listened to meanwhile.
const HEDGE_TIMEOUT: Duration = Duration::from_millis(20);

/// Shortest time after which a refused client should retry.
const RETRY_MIN: Duration = Duration::from_millis(100);

/// Number of accounts above which those without credit in use are dropped.
const ACCOUNTS_MAX: usize = 8_192;

/// Credit of all accounts at this gateway.
#[derive(Debug)]
pub(crate) struct Credits {
    ledger: Arc<Ledger>,
    /// `None` if the deployment bounds no request rates.
    bounds: Option<QuotaBounds>,
    accounts: Mutex<HashMap<Name, AccountCredit>>,
}

/// What a request needs credit for.
#[derive(Clone, Debug)]
struct Claim {
    account: Name,
    limit: CreditLimit,
    program: Option<u32>,
}

/// Credit that a request holds and has not used yet.
#[derive(Debug, Default)]
pub(crate) struct HeldCredit {
    held: Mutex<Vec<Credit>>,
}

/// Credit to send one request. It goes back to its issuer unless it is spent.
#[derive(Debug)]
pub(crate) struct Credit {
    claim: Claim,
    issuer: u64,
    valid_until: BootTime,
    ledger: Arc<Ledger>,
    is_spent: bool,
}

/// Why there is no credit.
#[derive(Clone, Copy, Debug, Default)]
struct Shortage {
    /// Shortest wait that any issuer named.
    wait: Option<Duration>,
}

impl Credits {
    pub(crate) fn new(ledger: Arc<Ledger>, rate: Option<RateSettings>) -> Self {
        let bounds = rate.map(|rate| QuotaBounds {
            window: rate.window,
            overage: rate.overage,
            slack: rate.slack,
        });
        Credits { ledger, bounds, accounts: Mutex::default() }
    }

    fn with_account<T>(&self, name: &Name, apply: impl FnOnce(&mut AccountCredit) -> T) -> T {
        let mut accounts = lock(&self.accounts);
        if !accounts.contains_key(name) {
            if accounts.len() >= ACCOUNTS_MAX {
                accounts.clear();
            }
            accounts.insert(name.clone(), AccountCredit::default());
        }
        apply(accounts.entry(name.clone()).or_default())
    }

    /// Asks the issuers in turn.
    async fn request(
        &self,
        claim: &Claim,
        work: CreditUse,
        lease: Duration,
    ) -> Result<Credit, Shortage> {
        let program = claim.program.unwrap_or_else(rand::random);
        let issuers = self.ledger.credit_issuers(&claim.account, &claim.limit, program);
        self.with_account(&claim.account, |account| account.retain(&issuers));
        let mut shortage = Shortage::default();
        for issuer in issuers {
            let now = Instant::now();
            let known = self.with_account(&claim.account, |account| {
                if work == CreditUse::InProgress
                    && let Some(valid_until) =
                        account.take(issuer, claim.program, BootTime::now(), now)
                {
                    return Ok(Some(valid_until));
                }
                match account.denial(issuer, work, now) {
                    Some(denial) => Err(denial),
                    None => Ok(None),
                }
            });
            match known {
                Ok(Some(valid_until)) => return Ok(self.credit(claim, issuer, valid_until)),
                Ok(None) => {}
                Err(denial) => {
                    if let Some(credit_at) = denial.credit_at {
                        shortage.record(credit_at.saturating_duration_since(now));
                    }
                    continue;
                }
            }
            // Measured from here: the issuer has granted it later.
            let valid_until = BootTime::now().after(lease);
            let (count, used) = self
                .with_account(&claim.account, |account| account.prepare(issuer, work, lease, now));
            let request = CreditRequest { work, count, used, ..claim.request() };
            let reply = self.ledger.request_credit(issuer, request).await;
            let now = Instant::now();
            match reply {
                Some(CreditReply::Granted(count)) if count > 0 => {
                    self.with_account(&claim.account, |account| {
                        account.record_grant(issuer, count - 1, valid_until);
                    });
                    return Ok(self.credit(claim, issuer, valid_until));
                }
                Some(CreditReply::Denied { wait_ms }) => {
                    let wait = Duration::from_millis(wait_ms.into());
                    self.with_account(&claim.account, |account| {
                        account.record_denial(issuer, work, wait, now);
                    });
                    shortage.record(wait);
                }
                _ => self.with_account(&claim.account, |account| {
                    account.record_silence(issuer, SILENCE_PAUSE, now);
                }),
            }
        }
        Err(shortage)
    }

    fn credit(&self, claim: &Claim, issuer: u64, valid_until: BootTime) -> Credit {
        let (claim, ledger) = (claim.clone(), self.ledger.clone());
        Credit { claim, issuer, valid_until, ledger, is_spent: false }
    }
}

impl Claim {
    /// What a request needs credit for by the newest configuration; `None` if its
    /// account has no rate.
    fn new<D>(state: &State<D>, job: &Job) -> Option<(QuotaBounds, Claim)> {
        let (account, bounds) = (&job.account.as_ref()?.name, state.credits.bounds?);
        let table = state.table()?;
        let rate = table.account_named(account)?.rate.as_ref()?;
        let limit = bounds.limit(table.version, rate.per_second, rate.burst);
        let program = job.envelope.turn.program.as_deref().map(digest);
        Some((bounds, Claim { account: account.clone(), limit, program }))
    }

    /// A request that asks for nothing.
    fn request(&self) -> CreditRequest {
        CreditRequest {
            account: self.account.clone(),
            limit: self.limit,
            work: CreditUse::InProgress,
            program: self.program,
            count: 0,
            returned: 0,
            used: Vec::new(),
        }
    }
}

impl Shortage {
    fn record(&mut self, wait: Duration) {
        self.wait = Some(self.wait.map_or(wait, |known| known.min(wait)));
    }

    /// The answer for the client: when there is credit, or, if no issuer was
    /// reached, that another gateway may reach one.
    fn failure(self) -> Failure {
        let Some(wait) = self.wait else {
            return refusal("no instance that issues the account's credit responds");
        };
        let wait_ms = wait.max(RETRY_MIN).as_millis() as u64;
        let retry_ms = rand::rng().random_range(wait_ms..=wait_ms + wait_ms / 2);
        let message = "the account's request rate is used up";
        Failure::unexecuted(Code::Overloaded, message).retry_in(retry_ms)
    }
}

impl HeldCredit {
    /// Takes credit to send the request once.
    fn take(&self) -> Option<Credit> {
        let mut held = lock(&self.held);
        held.retain(Credit::is_valid);
        let mut credit = held.pop()?;
        // However the send ends, the request may have arrived.
        credit.is_spent = true;
        Some(credit)
    }

    fn has_valid(&self) -> bool {
        lock(&self.held).iter().any(Credit::is_valid)
    }

    /// Returns all credit to its issuers, as the request can't be sent yet.
    pub(crate) fn release(&self) {
        let held = std::mem::take(&mut *lock(&self.held));
        drop(held);
    }

    fn put(&self, credit: Credit) {
        lock(&self.held).push(credit);
    }
}

impl Credit {
    fn is_valid(&self) -> bool {
        BootTime::now().after(VALIDITY_MIN) < self.valid_until
    }
}

impl Drop for Credit {
    fn drop(&mut self) {
        if !self.is_spent && self.is_valid() {
            let request = CreditRequest { returned: 1, ..self.claim.request() };
            self.ledger.return_credit(self.issuer, request);
        }
    }
}

/// Gets credit for a request before anything else is done for it. New work is
/// refused at once without it; work in progress waits a little.
pub(crate) async fn admit<D>(state: &State<D>, job: &Job, work: CreditUse) -> Result<(), Failure> {
    let Some((bounds, claim)) = Claim::new(state, job) else { return Ok(()) };
    let started_at = time::Instant::now();
    let wait_max = match work {
        CreditUse::New => Duration::ZERO,
        CreditUse::InProgress => {
            job.deadline.saturating_duration_since(started_at).mul_f64(WAIT_SHARE)
        }
    };
    loop {
        let requested = state.credits.request(&claim, work, bounds.lease()).await;
        let shortage = match requested {
            Ok(credit) => {
                job.credit.put(credit);
                record(state, job, &claim, work, "granted", started_at, None);
                return Ok(());
            }
            Err(shortage) => shortage,
        };
        let pause = shortage.wait.unwrap_or(SILENCE_PAUSE).max(PAUSE_MIN);
        if started_at.elapsed() + pause > wait_max {
            let failure = shortage.failure();
            let result = if shortage.wait.is_some() { "denied" } else { "unanswered" };
            record(state, job, &claim, work, result, started_at, failure.retry_ms);
            return Err(failure);
        }
        time::sleep(pause).await;
    }
}

/// Makes sure that a request which was admitted before still has credit to be
/// sent: it may have waited, or been sent before.
pub(crate) async fn renew<D>(state: &State<D>, job: &Job) -> Result<(), Failure> {
    match job.credit.has_valid() {
        true => Ok(()),
        false => admit(state, job, CreditUse::InProgress).await,
    }
}

/// Whether a second copy of a request may be sent: it has to have credit of its
/// own.
pub(crate) async fn may_hedge<D>(state: &State<D>, job: &Job) -> bool {
    time::timeout(HEDGE_TIMEOUT, renew(state, job)).await.is_ok_and(|renewed| renewed.is_ok())
}

/// Runs one send with credit for it; `None` if what the request held is void.
/// `has_arrived` tells from the result whether the request may have reached an
/// upstream that runs it.
pub(crate) async fn spend<D, T>(
    state: &State<D>,
    job: &Job,
    sending: impl Future<Output = T>,
    has_arrived: impl FnOnce(&T) -> bool,
) -> Option<T> {
    if Claim::new(state, job).is_none() {
        return Some(sending.await);
    }
    let Some(mut credit) = job.credit.take() else {
        log::info!("event=credit_void request={}", job.id());
        return None;
    };
    let sent = sending.await;
    if !has_arrived(&sent) {
        credit.is_spent = false;
        job.credit.put(credit);
    }
    Some(sent)
}

/// Logs a decision. Requests with credit are logged where they are placed.
fn record<D>(
    state: &State<D>,
    job: &Job,
    claim: &Claim,
    work: CreditUse,
    result: &str,
    started_at: time::Instant,
    retry_ms: Option<u64>,
) {
    let work = match work {
        CreditUse::New => "new",
        CreditUse::InProgress => "in_progress",
    };
    state.metrics.count("account_rate", &[("work", work), ("result", result)]);
    let waited_ms = started_at.elapsed().as_millis();
    if result == "granted" && waited_ms < PAUSE_MIN.as_millis() {
        return;
    }
    log::info!(
        "event=account_rate request={} account={} result={result} work={work} program={} rate={:.2} \
         waited_ms={waited_ms} retry_ms={}",
        job.id(),
        claim.account,
        job.envelope.turn.program.as_deref().unwrap_or("-"),
        claim.limit.rate,
        retry_ms.map_or("-".to_owned(), |ms| ms.to_string())
    );
}
