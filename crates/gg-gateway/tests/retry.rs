//! Retries on other replicas, and the decision when no retry is left.

use gg_gateway::{Attempts, Outcome, RetryDecision};
use gg_route::RouteKind;

fn send_once(attempts: &mut Attempts, outcome: Outcome) -> RetryDecision {
    attempts.begin_send();
    attempts.record(outcome, false)
}

#[test]
fn at_most_once() {
    for kind in [RouteKind::AtMostOnce, RouteKind::Stream] {
        let mut attempts = Attempts::new(kind.is_repeatable(), 5);
        assert_eq!(send_once(&mut attempts, Outcome::Unsent), RetryDecision::Retry);
        assert_eq!(send_once(&mut attempts, Outcome::Unexecuted), RetryDecision::Retry);
        assert!(!attempts.may_repeat());
        assert_eq!(
            send_once(&mut attempts, Outcome::Unknown),
            RetryDecision::Abandon,
            "it may have been executed"
        );
    }
}

#[test]
fn repeatable_request() {
    let mut attempts = Attempts::new(RouteKind::Idempotent.is_repeatable(), 3);
    assert_eq!(send_once(&mut attempts, Outcome::Unknown), RetryDecision::Retry);
    assert_eq!(send_once(&mut attempts, Outcome::Unexecuted), RetryDecision::Retry);
    assert_eq!(
        send_once(&mut attempts, Outcome::Unexecuted),
        RetryDecision::Abandon,
        "the first send may have been executed"
    );
}

#[test]
fn attempts_spent() {
    let mut attempts = Attempts::new(RouteKind::AtMostOnce.is_repeatable(), 1);
    assert_eq!(
        send_once(&mut attempts, Outcome::Unexecuted),
        RetryDecision::Refuse,
        "it was not executed"
    );
    let mut attempts = Attempts::new(RouteKind::AtMostOnce.is_repeatable(), 2);
    for _ in 0..3 {
        assert_eq!(send_once(&mut attempts, Outcome::Unsent), RetryDecision::Retry);
    }
    assert_eq!(
        send_once(&mut attempts, Outcome::Unsent),
        RetryDecision::Refuse,
        "failed connections are bounded too"
    );
}

/// Attempts bound the number of replicas that have a request, also for parallel
/// sends.
#[test]
fn attempts_bound_parallel_sends() {
    let mut attempts = Attempts::new(RouteKind::Idempotent.is_repeatable(), 2);
    attempts.begin_send();
    assert!(attempts.may_repeat());
    attempts.begin_send();
    assert!(!attempts.may_repeat());
    assert_eq!(attempts.record(Outcome::Unknown, false), RetryDecision::Abandon);
}

#[test]
fn deadline_passed() {
    let mut attempts = Attempts::new(RouteKind::Idempotent.is_repeatable(), 3);
    assert_eq!(attempts.record(Outcome::Unexecuted, true), RetryDecision::Refuse);
    let mut attempts = Attempts::new(RouteKind::Idempotent.is_repeatable(), 3);
    assert_eq!(attempts.record(Outcome::Unknown, true), RetryDecision::Abandon);
}
