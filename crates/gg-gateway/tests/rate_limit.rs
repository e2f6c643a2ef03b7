//! Rate limits that replicas announce.

use std::time::{Duration, Instant};

use gg_gateway::{LimitChange, RateLimit};
use gg_ledger::LimitReport;

fn at(start: Instant, ms: u64) -> Instant {
    start + Duration::from_millis(ms)
}

#[test]
fn limit_holds_while_announced() {
    let start = Instant::now();
    let mut limit = RateLimit::default();
    assert_eq!(limit.record_response(None, at(start, 0), at(start, 5)), None);
    let learned = limit.record_response(Some(3.5), at(start, 10), at(start, 20));
    assert_eq!(learned, Some(LimitChange::Learned(3.5)));
    assert_eq!(limit.record_response(Some(3.5), at(start, 30), at(start, 40)), None);
    let changed = limit.record_response(Some(7.0), at(start, 50), at(start, 60));
    assert_eq!(changed, Some(LimitChange::Changed { from: 3.5, to: 7.0 }));
    let ended = limit.record_response(None, at(start, 70), at(start, 80));
    assert_eq!(ended, Some(LimitChange::Ended(7.0)));
    assert_eq!(limit.rate(), None);
}

#[test]
fn overtaken_response_ends_no_limit() {
    let start = Instant::now();
    let mut limit = RateLimit::default();
    limit.record_response(Some(3.5), at(start, 10), at(start, 20));
    // Its request was sent before the limit was announced.
    assert_eq!(limit.record_response(None, at(start, 15), at(start, 30)), None);
    assert_eq!(limit.rate(), Some(3.5));
}

#[test]
fn permit_wait_belongs_to_limit() {
    let start = Instant::now();
    let mut limit = RateLimit::default();
    limit.record_response(Some(3.5), at(start, 10), at(start, 20));
    assert_eq!(limit.permit_wait(at(start, 20)), Duration::ZERO);
    limit.record_next_permit(at(start, 300));
    assert_eq!(limit.permit_wait(at(start, 100)), Duration::from_millis(200));
    assert_eq!(limit.permit_wait(at(start, 400)), Duration::ZERO);
    let report = limit.report(at(start, 120));
    assert_eq!((report.rate, report.age_ms), (Some(3.5), 100));
    assert_eq!(limit.record_end(at(start, 130)), Some(LimitChange::Ended(3.5)));
    assert_eq!(limit.record_end(at(start, 140)), None);
    assert_eq!(limit.permit_wait(at(start, 150)), Duration::ZERO);
}

#[test]
fn newer_report_counts() {
    let start = Instant::now();
    let mut limit = RateLimit::default();
    limit.record_response(None, at(start, 1_000), at(start, 1_010));
    let report = |rate, age_ms| LimitReport { rate, age_ms };
    assert_eq!(limit.record_report(report(Some(4.0), 100), at(start, 1_100)), None);
    let learned = limit.record_report(report(Some(4.0), 50), at(start, 1_100));
    assert_eq!(learned, Some(LimitChange::Learned(4.0)));
    assert_eq!(limit.record_report(report(None, 60), at(start, 1_100)), None, "it is older");
    assert_eq!(limit.rate(), Some(4.0));
}
