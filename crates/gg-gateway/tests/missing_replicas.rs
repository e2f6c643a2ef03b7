//! Replicas whose entries are missing: dropped, or kept until their entry may be back.

use std::time::{Duration, Instant};

use gg_gateway::{Fleet, FleetSettings, UpdateSource};
use gg_platform::{AnswerReport, AnswerSpan, Confirmed};
use gg_route::{Upstream, UpstreamId, UpstreamState};

const SECOND: Duration = Duration::from_secs(1);

/// Time in which entries return after an outage.
const RETURN_TIME: Duration = Duration::from_millis(2_200);

fn upstream() -> Upstream {
    Upstream {
        id: UpstreamId { name: "one".into(), started_ms: 5 },
        service: "app".into(),
        address: ([127, 0, 0, 1], 7000).into(),
        centre: "a".into(),
        slots: 8,
        state: UpstreamState::Ready,
    }
}

/// A list that holds all that was acknowledged `age` before `now`.
fn update(now: Instant, age: Duration) -> UpdateSource<'static> {
    UpdateSource { source: "ledger", known: Some(Confirmed::at(now - age)) }
}

/// A fleet of one replica that got answers at these times before `now`.
fn fleet(now: Instant, answers: &[Duration]) -> Fleet {
    let fleet = Fleet::new(FleetSettings::default());
    fleet.put(upstream());
    answers.iter().for_each(|age| fleet.record_answers(AnswerSpan::at(now - *age)));
    fleet
}

#[test]
fn removed_is_dropped() {
    let now = Instant::now();
    let fleet = fleet(now, &[SECOND * 2, SECOND, Duration::ZERO]);
    fleet.remove("one", &update(now, SECOND));
    assert!(!fleet.is_usable());
}

#[test]
fn expired_is_kept() {
    let now = Instant::now();
    let fleet = fleet(now, &[SECOND * 5, Duration::ZERO]);
    fleet.replace(Vec::new(), &update(now, SECOND * 5));
    fleet.replace(Vec::new(), &update(now, Duration::ZERO));
    fleet.sweep();
    assert!(fleet.is_usable());
    fleet.put(upstream());
    assert!(fleet.is_usable());
}

/// The time counts from the directory's return, not from when the gateway learns
/// of it.
#[test]
fn expired_is_awaited_once() {
    let now = Instant::now();
    let fleet = fleet(now, &[SECOND * 9, RETURN_TIME, SECOND]);
    fleet.remove("one", &update(now, SECOND * 9));
    assert!(!fleet.is_usable());
}

/// Its entry was there when the directory was back.
#[test]
fn removed_after_return() {
    let now = Instant::now();
    let fleet = fleet(now, &[SECOND * 6, SECOND, Duration::ZERO]);
    fleet.remove("one", &update(now, SECOND));
    assert!(!fleet.is_usable());
}

/// A replica that drains is awaited by nobody.
#[test]
fn draining_is_dropped() {
    let now = Instant::now();
    let fleet = fleet(now, &[SECOND * 5, Duration::ZERO]);
    fleet.put(Upstream { state: UpstreamState::Draining, ..upstream() });
    fleet.remove("one", &update(now, SECOND * 5));
    fleet.put(upstream());
    assert!(fleet.is_usable(), "listed anew");
}

/// A ledger instance tells later that the directory answered all the time.
#[test]
fn denied_outage() {
    let now = Instant::now();
    let fleet = fleet(now, &[SECOND * 5, Duration::ZERO]);
    fleet.remove("one", &update(now, SECOND * 5));
    assert!(fleet.is_usable());
    let report = AnswerReport { first_ms: 60_000, last_ms: 100 };
    let span = AnswerSpan::from_peer(report, now, now).expect("a span");
    fleet.record_answers(span);
    assert!(!fleet.is_usable());
}

/// Entries return after the second outage.
#[test]
fn two_outages() {
    let now = Instant::now();
    let fleet = fleet(now, &[SECOND * 9, SECOND * 4]);
    fleet.record_answers(AnswerSpan::at(now - SECOND));
    fleet.remove("one", &update(now, SECOND * 9));
    assert!(fleet.is_usable());
}
