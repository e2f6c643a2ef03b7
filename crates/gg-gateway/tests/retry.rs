//! Whether a request goes to another replica, and what its client is told.

use gg_gateway::{Next, Outcome, Tries};
use gg_route::RouteKind;

fn send(tries: &mut Tries, outcome: Outcome) -> Next {
    tries.begin();
    tries.note(outcome, false)
}

#[test]
fn at_most_once() {
    for kind in [RouteKind::AtMostOnce, RouteKind::Stream] {
        let mut tries = Tries::new(kind.is_repeatable(), 5);
        assert_eq!(send(&mut tries, Outcome::Unsent), Next::Retry);
        assert_eq!(send(&mut tries, Outcome::Unexecuted), Next::Retry);
        assert!(!tries.may_repeat());
        assert_eq!(send(&mut tries, Outcome::Unknown), Next::GiveUp, "it may have run");
    }
}

#[test]
fn repeatable() {
    let mut tries = Tries::new(RouteKind::Idempotent.is_repeatable(), 3);
    assert_eq!(send(&mut tries, Outcome::Unknown), Next::Retry);
    assert_eq!(send(&mut tries, Outcome::Unexecuted), Next::Retry);
    assert_eq!(send(&mut tries, Outcome::Unexecuted), Next::GiveUp, "the first may have run");
}

#[test]
fn attempts_spent() {
    let mut tries = Tries::new(RouteKind::AtMostOnce.is_repeatable(), 1);
    assert_eq!(send(&mut tries, Outcome::Unexecuted), Next::Refuse, "it never ran");
    let mut tries = Tries::new(RouteKind::AtMostOnce.is_repeatable(), 2);
    for _ in 0..3 {
        assert_eq!(send(&mut tries, Outcome::Unsent), Next::Retry);
    }
    assert_eq!(send(&mut tries, Outcome::Unsent), Next::Refuse, "connections are bounded too");
}

/// Attempts bound the replicas that have a request, also side by side.
#[test]
fn hedges() {
    let mut tries = Tries::new(RouteKind::Idempotent.is_repeatable(), 2);
    tries.begin();
    assert!(tries.may_repeat());
    tries.begin();
    assert!(!tries.may_repeat());
    assert_eq!(tries.note(Outcome::Unknown, false), Next::GiveUp);
}

#[test]
fn no_time_left() {
    let mut tries = Tries::new(RouteKind::Idempotent.is_repeatable(), 3);
    assert_eq!(tries.note(Outcome::Unexecuted, true), Next::Refuse);
    let mut tries = Tries::new(RouteKind::Idempotent.is_repeatable(), 3);
    assert_eq!(tries.note(Outcome::Unknown, true), Next::GiveUp);
}
