//! Whether a request goes to another replica, and what its client is told.

use gg_gateway::{Next, Outcome, Tries};
use gg_route::RouteKind;

#[test]
fn at_most_once() {
    for kind in [RouteKind::AtMostOnce, RouteKind::Stream] {
        let mut tries = Tries::new(kind, 5);
        assert_eq!(tries.note(Outcome::Unsent, false), Next::Retry);
        assert_eq!(tries.note(Outcome::Unexecuted, false), Next::Retry);
        assert_eq!(tries.note(Outcome::Unknown, false), Next::GiveUp, "it may have run");
    }
}

#[test]
fn repeatable() {
    let mut tries = Tries::new(RouteKind::Idempotent, 3);
    assert_eq!(tries.note(Outcome::Unknown, false), Next::Retry);
    assert_eq!(tries.note(Outcome::Unexecuted, false), Next::Retry);
    assert_eq!(tries.note(Outcome::Unexecuted, false), Next::GiveUp, "the first may have run");
}

#[test]
fn attempts_spent() {
    let mut tries = Tries::new(RouteKind::AtMostOnce, 1);
    assert_eq!(tries.note(Outcome::Unexecuted, false), Next::Refuse, "it never ran");
    let mut tries = Tries::new(RouteKind::AtMostOnce, 2);
    for _ in 0..3 {
        assert_eq!(tries.note(Outcome::Unsent, false), Next::Retry);
    }
    assert_eq!(tries.note(Outcome::Unsent, false), Next::Refuse, "connections are bounded too");
}

#[test]
fn no_time_left() {
    let mut tries = Tries::new(RouteKind::Idempotent, 3);
    assert_eq!(tries.note(Outcome::Unexecuted, true), Next::Refuse);
    let mut tries = Tries::new(RouteKind::Idempotent, 3);
    assert_eq!(tries.note(Outcome::Unknown, true), Next::GiveUp);
}
