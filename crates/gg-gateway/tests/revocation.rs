//! How old a configuration may be whose keys are trusted.

use std::time::Duration;

use gg_gateway::Revocation;
use proptest::prelude::*;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn without_bound() {
    let revocation = Revocation::new(None);
    assert!(revocation.is_current(None));
    assert!(revocation.is_current(Some(Duration::MAX)));
    assert_eq!(revocation.age_max(), None);
}

/// Instances that hear of the platform's store within 0.6 of the bound owe their
/// callers an answer.
#[test]
fn age_and_bound() {
    let revocation = Revocation::new(Some(ms(5_000)));
    assert!(!revocation.is_current(None));
    assert!(revocation.is_current(Some(Duration::ZERO)));
    assert!(revocation.is_current(Some(ms(4_500))));
    assert!(!revocation.is_current(Some(ms(5_000))));
    let max = revocation.age_max().expect("a bound");
    assert!(revocation.is_current(Some(max - ms(1))) && !revocation.is_current(Some(max)));
}

proptest! {
    /// A request that is accepted although its key was withdrawn was sent within
    /// the bound after the acknowledgement, whenever the copies were confirmed
    /// and passed on, and with clocks that differ by a hundredth.
    #[test]
    fn withdrawn_keys_expire(
        bound_ms in 500_u64..20_000,
        acknowledged_ms in 30_000_u64..60_000,
        before_ms in 0_u64..30_000,
        hops in prop::collection::vec((0_u64..3_000, 0_u64..1_000), 1..4),
        waited_ms in 0_u64..30_000,
        speed in 0.99_f64..1.01,
    ) {
        let revocation = Revocation::new(Some(ms(bound_ms)));
        // The first call was sent before the acknowledgement, so that its answer
        // may still hold the key.
        let confirmed_ms = acknowledged_ms - before_ms;
        let mut now_ms = confirmed_ms;
        let mut age = Duration::ZERO;
        for (held_ms, way_ms) in hops {
            // Each holder adds the time since its own call was sent.
            now_ms += held_ms + way_ms;
            age += ms(held_ms + way_ms).mul_f64(speed);
        }
        now_ms += waited_ms;
        age += ms(waited_ms).mul_f64(speed);
        // The client sent its request at the latest when it is checked.
        if revocation.is_current(Some(age)) {
            prop_assert!(now_ms <= acknowledged_ms + bound_ms);
        }
    }
}
