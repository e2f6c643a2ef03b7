//! Credit of an account, as one gateway holds it.

use std::time::{Duration, Instant};

use gg_gateway::AccountCredit;
use gg_ledger::CreditUse;
use gg_protocol::clock::BootTime;

const LEASE: Duration = Duration::from_millis(250);

/// An issuer.
const ISSUER: u64 = 11;

fn at(start: Instant, ms: u64) -> Instant {
    start + Duration::from_millis(ms)
}

/// Credit wanted for one request after `requests` of them at this interval.
fn wanted(requests: u64, interval_ms: u64, work: CreditUse) -> u32 {
    let (start, mut credit) = (Instant::now(), AccountCredit::default());
    let wanted = (0..requests)
        .map(|number| credit.prepare(ISSUER, work, LEASE, at(start, number * interval_ms)).0);
    wanted.last().expect("a request")
}

#[test]
fn demand_sizes_requests() {
    assert_eq!(wanted(1, 0, CreditUse::InProgress), 1);
    assert_eq!(wanted(50, 500, CreditUse::InProgress), 1, "two a second need no credit ahead");
    let many = wanted(400, 10, CreditUse::InProgress);
    assert!((8..=14).contains(&many), "{many} wanted ahead, of 25 a lease");
    assert_eq!(wanted(400, 10, CreditUse::New), 1, "new work takes none of it");
}

#[test]
fn credit_ahead_is_void_in_time() {
    let (start, clock) = (Instant::now(), BootTime::now());
    let mut credit = AccountCredit::default();
    credit.record_grant(ISSUER, 2, clock.after(LEASE));
    assert_eq!(credit.take(12, Some(1), clock, start), None, "another issuer's");
    assert_eq!(credit.take(ISSUER, Some(1), clock, start), Some(clock.after(LEASE)));
    let prepared = credit.prepare(ISSUER, CreditUse::InProgress, LEASE, start);
    assert_eq!(prepared.1, [1], "programs that used it are told");
    assert!(credit.prepare(ISSUER, CreditUse::New, LEASE, start).1.is_empty(), "once");
    assert_eq!(credit.take(ISSUER, Some(1), clock.after(LEASE), start), None, "void");
}

#[test]
fn denials_are_remembered_by_work() {
    let (start, mut credit) = (Instant::now(), AccountCredit::default());
    let wait = Duration::from_secs(3);
    credit.record_denial(ISSUER, CreditUse::New, wait, start);
    let denial = credit.denial(ISSUER, CreditUse::New, at(start, 499)).expect("denied");
    assert_eq!(denial.credit_at, Some(at(start, 3_000)), "the time that the issuer named");
    assert_eq!(credit.denial(ISSUER, CreditUse::New, at(start, 500)), None, "it is asked again");
    let wait = Duration::from_millis(200);
    credit.record_denial(ISSUER, CreditUse::New, wait, start);
    let denied = |credit: &AccountCredit, work, ms| {
        credit.denial(ISSUER, work, at(start, ms)).map(|denial| denial.credit_at.is_some())
    };
    assert_eq!(denied(&credit, CreditUse::New, 199), Some(true));
    assert_eq!(denied(&credit, CreditUse::New, 200), None);
    assert_eq!(denied(&credit, CreditUse::InProgress, 0), None);
    credit.record_denial(ISSUER, CreditUse::InProgress, wait, start);
    assert_eq!(denied(&credit, CreditUse::InProgress, 0), Some(true));
    credit.record_grant(ISSUER, 0, BootTime::now());
    assert_eq!(denied(&credit, CreditUse::New, 0), None);
    credit.record_silence(ISSUER, wait, start);
    assert_eq!(denied(&credit, CreditUse::New, 0), Some(false));
    credit.retain(&[12]);
    assert_eq!(denied(&credit, CreditUse::New, 0), None, "it is no issuer any more");
}
