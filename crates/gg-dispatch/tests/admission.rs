//! Admission of new work under simulated load patterns.

use std::time::{Duration, Instant};

use gg_dispatch::{Admission, NewWork, Occupancy};
use gg_protocol::OverloadStats;

const TICK: Duration = Duration::from_millis(10);

/// This gateway's part of the replicas' capacity.
const CAPACITY: f64 = 4.0;

/// A rank must be admitted at least at this share of the overall rate.
const FLOOR_SHARE: f64 = 0.3;

fn work(rank: u8) -> NewWork {
    NewWork { rank, objective: Duration::from_millis(200) }
}

/// Occupancy with requests of the most urgent rank only.
fn occupancy(in_flight: u32) -> Occupancy {
    occupancy_by_rank(in_flight, 0)
}

/// Occupancy with requests of the most urgent rank and of a lower rank.
fn occupancy_by_rank(urgent: u32, others: u32) -> Occupancy {
    Occupancy { in_flight: [urgent, 0, others, 0, 0, 0, 0, 0], capacity: CAPACITY }
}

/// Records responses, of which `late_of_ten` in every ten are late.
fn record_responses(
    admission: &mut Admission,
    late_of_ten: u32,
    in_flight: u32,
    now: &mut Instant,
) {
    for response in 0..200 {
        *now += TICK;
        admission.record_start(response % 10 < late_of_ten, occupancy(in_flight), *now);
    }
}

fn is_admitted(admission: &mut Admission, rank: u8, in_flight: u32, now: Instant) -> bool {
    admission.admit(work(rank), occupancy(in_flight), now, 0.5).is_ok()
}

#[test]
fn admits_all_without_late_responses() {
    let mut now = Instant::now();
    let mut admission = Admission::new(now);
    record_responses(&mut admission, 0, 10, &mut now);
    assert!(is_admitted(&mut admission, 0, 1_000, now));
    assert!(is_admitted(&mut admission, 2, 1_000, now));
}

/// One slow or cold replica among five is not an overload.
#[test]
fn tolerates_minority_of_late_responses() {
    let mut now = Instant::now();
    let mut admission = Admission::new(now);
    record_responses(&mut admission, 3, 10, &mut now);
    assert!(is_admitted(&mut admission, 0, 1_000, now));
}

#[test]
fn late_responses_lower_limit() {
    let mut now = Instant::now();
    let mut admission = Admission::new(now);
    record_responses(&mut admission, 10, 20, &mut now);
    assert!(!is_admitted(&mut admission, 0, 20, now));
    assert!(
        is_admitted(&mut admission, 0, 1, now),
        "nothing is rejected below the minimum occupancy"
    );
    record_responses(&mut admission, 0, 20, &mut now);
    assert!(is_admitted(&mut admission, 0, 5, now), "admits more after timely responses");
}

#[test]
fn slow_streams_lower_limit() {
    let mut now = Instant::now();
    let mut admission = Admission::new(now);
    let record_intervals = |admission: &mut Admission, interval_ms: f64, now: &mut Instant| {
        for _ in 0..200 {
            *now += TICK;
            admission.record_interval(interval_ms, occupancy(20), *now);
        }
    };
    record_intervals(&mut admission, 25.0, &mut now);
    record_intervals(&mut admission, 45.0, &mut now);
    assert!(is_admitted(&mut admission, 0, 20, now), "interval is below twice the baseline");
    record_intervals(&mut admission, 60.0, &mut now);
    assert!(!is_admitted(&mut admission, 0, 20, now));
}

/// Urgent work is admitted after a burst of lower-rank work was admitted
/// before the overload was detected.
#[test]
fn urgent_work_passes_lower_rank_burst() {
    let mut now = Instant::now();
    let mut admission = Admission::new(now);
    // Both ranks are admitted equally often before capacity becomes scarce.
    for _ in 0..20 {
        is_admitted(&mut admission, 0, 0, now);
        is_admitted(&mut admission, 2, 0, now);
    }
    record_responses(&mut admission, 10, 20, &mut now);
    let burst = occupancy_by_rank(1, 40);
    assert!(admission.admit(work(2), burst, now, 0.5).is_err());
    assert!(admission.admit(work(0), burst, now, 0.5).is_ok());
    let urgent_burst = occupancy_by_rank(40, 0);
    assert!(admission.admit(work(0), urgent_burst, now, 0.5).is_err());
}

/// The lower rank is admitted at nearly its floor rate, regardless of the
/// amount of urgent work.
#[test]
fn lower_rank_keeps_floor() {
    let mut now = Instant::now();
    let mut admission = Admission::new(now);
    record_responses(&mut admission, 10, 200, &mut now);
    record_responses(&mut admission, 3, 200, &mut now);
    let limit = admission
        .admit(work(0), occupancy(1_000), now, 0.5)
        .expect_err("work at the limit is rejected")
        .limit;
    let mut admitted = [0_u32; 2];
    let mut offered = [0_u32; 2];
    for step in 0..4_000_u32 {
        now += TICK;
        // Urgent work varies between just at the limit and just below it.
        let in_flight = (limit as u32).saturating_sub(step % 8 / 7);
        let rank = u8::from(step % 4 == 3);
        offered[usize::from(rank)] += 1;
        let was_admitted =
            admission.admit(work(rank), occupancy_by_rank(in_flight, 0), now, 0.5).is_ok();
        admitted[usize::from(rank)] += u32::from(was_admitted);
    }
    let share = |rank: usize| f64::from(admitted[rank]) / f64::from(offered[rank]);
    assert!(share(0) > 0.1, "{admitted:?} of {offered:?}");
    let all = f64::from(admitted[0] + admitted[1]) / f64::from(offered[0] + offered[1]);
    assert!(share(1) >= 0.9 * FLOOR_SHARE * all, "{admitted:?} of {offered:?}");
}

/// Rejected work retries while it can still meet its objective, and the
/// retries are spread over time.
#[test]
fn retries_are_spread() {
    let mut now = Instant::now();
    let mut admission = Admission::new(now);
    record_responses(&mut admission, 10, 20, &mut now);
    let retries = [0.0, 0.5, 0.99].map(|draw| {
        admission
            .admit(work(0), occupancy(1_000), now, draw)
            .expect_err("work at the limit is rejected")
            .retry
            .as_millis()
    });
    assert_eq!(retries, [50, 100, 149]);
}

/// Shared statistics reveal an overload that each gateway alone has too few
/// responses to detect.
#[test]
fn shared_statistics_apply() {
    let mut now = Instant::now();
    let mut admission = Admission::new(now);
    let share_stats = |admission: &mut Admission, stats: OverloadStats, now: &mut Instant| {
        for _ in 0..30 {
            *now += TICK * 10;
            admission.record_start(false, occupancy(3), *now);
            admission.record_shared(stats, occupancy(3), *now);
        }
    };
    let normal = OverloadStats {
        started: 100.0,
        in_flight: 200.0,
        reporters: 100.0,
        ..OverloadStats::default()
    };
    share_stats(&mut admission, normal, &mut now);
    assert!(is_admitted(&mut admission, 0, 3, now));
    let mut late = admission.clone();
    share_stats(&mut late, OverloadStats { late: 60.0, ..normal }, &mut now);
    assert!(!is_admitted(&mut late, 0, 3, now), "responses are late at other gateways");
    let underloaded = OverloadStats { late: 60.0, in_flight: 150.0, ..normal };
    share_stats(&mut late, underloaded, &mut now);
    assert!(is_admitted(&mut late, 0, 3, now), "less than half of the total capacity is occupied");
    share_stats(&mut admission, OverloadStats { in_flight: 500.0, ..normal }, &mut now);
    assert!(!is_admitted(&mut admission, 0, 3, now), "the total capacity is fully occupied");
}
