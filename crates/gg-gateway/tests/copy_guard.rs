//! Decisions on copies of the directory that have grown old.

use std::time::Duration;

use gg_gateway::{ANSWER_TIME, CopyUse, copy_use, is_doubtful};

const MS: Duration = Duration::from_millis(1);

const LIMIT: Duration = Duration::from_millis(1_960);

#[test]
fn recent_copy_is_used() {
    for noticed in [Duration::ZERO, ANSWER_TIME, ANSWER_TIME * 10] {
        assert_eq!(copy_use(LIMIT, Some(LIMIT - MS), noticed), CopyUse::Recent);
    }
}

/// After a stall the age is noticed only now.
#[test]
fn old_copy_waits() {
    for age in [None, Some(LIMIT), Some(LIMIT * 10)] {
        assert_eq!(copy_use(LIMIT, age, Duration::ZERO), CopyUse::Unconfirmed);
        assert_eq!(copy_use(LIMIT, age, ANSWER_TIME - MS), CopyUse::Unconfirmed);
    }
}

/// While nobody confirms the copy of a running gateway, requests go on with it, and
/// don't wait when it reaches the limit.
#[test]
fn outage_uses_old_copy() {
    for age in [None, Some(LIMIT), Some(LIMIT * 10)] {
        assert_eq!(copy_use(LIMIT, age, ANSWER_TIME), CopyUse::Outage);
        assert!(is_doubtful(LIMIT, age));
    }
    assert!(is_doubtful(LIMIT, Some(LIMIT - ANSWER_TIME)));
    assert!(!is_doubtful(LIMIT, Some(LIMIT - ANSWER_TIME - MS)));
}
