//! Programs in progress that a gateway knows.

use std::time::{Duration, Instant};

use gg_gateway::Programs;

/// A program whose turns continue stays known, however many others begin and end.
#[test]
fn long_program_is_kept() {
    let (mut programs, start) = (Programs::default(), Instant::now());
    for second in 0..3_600 {
        let now = start + Duration::from_secs(second);
        programs.record(&"long".into(), now);
        for other in 0..10 {
            programs.record(&format!("{second}-{other}").as_str().into(), now);
        }
        assert!(programs.is_active("long", now), "dropped after {second} s");
    }
}

/// Of more programs in progress than are tracked, the ones whose last turn is the longest
/// ago are dropped.
#[test]
fn least_recent_are_dropped() {
    let (mut programs, start) = (Programs::default(), Instant::now());
    let at = |ms| start + Duration::from_millis(ms);
    for ms in 0..30_000 {
        programs.record(&"busy".into(), at(ms));
        programs.record(&format!("p{ms}").as_str().into(), at(ms));
    }
    let now = at(30_000);
    assert!(programs.is_active("busy", now) && programs.is_active("p29999", now));
    let tracked = (0..30_000).filter(|ms| programs.is_active(&format!("p{ms}"), now)).count();
    assert!((4_000..=8_192).contains(&tracked), "{tracked}");
}
