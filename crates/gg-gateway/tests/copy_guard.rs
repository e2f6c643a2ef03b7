//! Decisions on copies of the directory that have grown old.

use std::time::Duration;

use gg_gateway::{ANSWER_TIME, CopyUse, copy_use};

const LIMIT: Duration = Duration::from_millis(1_960);

const JUST_BEFORE: Duration = Duration::from_millis(1_959);

#[test]
fn recent_copy_is_used() {
    for asked in [None, Some(Duration::ZERO), Some(ANSWER_TIME)] {
        assert_eq!(copy_use(LIMIT, Some(JUST_BEFORE), asked), CopyUse::Recent);
    }
}

/// After a stall nobody was asked yet, or only a moment ago.
#[test]
fn old_copy_waits() {
    for age in [None, Some(LIMIT), Some(LIMIT * 10)] {
        assert_eq!(copy_use(LIMIT, age, None), CopyUse::Unconfirmed);
        let asked = ANSWER_TIME - Duration::from_millis(1);
        assert_eq!(copy_use(LIMIT, age, Some(asked)), CopyUse::Unconfirmed);
    }
}

/// While the directory doesn't answer, requests go on with what is known.
#[test]
fn outage_uses_old_copy() {
    for age in [None, Some(LIMIT), Some(LIMIT * 10)] {
        assert_eq!(copy_use(LIMIT, age, Some(ANSWER_TIME)), CopyUse::Outage);
    }
}
