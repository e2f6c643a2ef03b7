//! Pace of new replicas, on the loads that it answers: a release and a flapping
//! replica behind many gateways of which each sends little.

use std::time::{Duration, Instant};

use gg_dispatch::{Pace, PacedAnswer, PeerLoad};
use gg_protocol::OverloadStats;
use rand::{Rng, SeedableRng, rngs::StdRng};

const GATEWAYS: usize = 54;
const TICK: Duration = Duration::from_millis(10);
/// Interval at which the gateways learn of each other's answers, in ticks.
const POLL_TICKS: u32 = 30;

/// A load on one new replica among its peers.
struct Load {
    /// Requests per second that each replica gets.
    per_second: f64,
    /// Requests in flight on each of its peers.
    peers_in_flight: f64,
    /// Time that a request takes on the replica, by the time since its start and
    /// by how many others are in flight.
    time: fn(Duration, usize) -> Duration,
    /// Time above which an answer is late.
    late: Duration,
    /// Recent ends of former incarnations.
    ends: u32,
    /// Whether polls get replies.
    has_polls: bool,
}

/// What happened on the replica.
struct Outcome {
    in_flight_max: usize,
    late: usize,
    /// Requests that began in each second.
    began: Vec<usize>,
}

/// Replays `seconds` of the load.
fn replay(load: &Load, seconds: u64, seed: u64) -> Outcome {
    let start = Instant::now();
    let mut rng = StdRng::seed_from_u64(seed);
    let mut paces = vec![Pace::new(load.ends, start); GATEWAYS];
    let mut running: Vec<(usize, Instant, Instant)> = Vec::new();
    let mut outcome = Outcome { in_flight_max: 0, late: 0, began: vec![0; seconds as usize] };
    let peers = PeerLoad { in_flight: load.peers_in_flight, gateways: GATEWAYS as u32 };
    for tick in 0..u32::try_from(seconds * 100).unwrap() {
        let now = start + TICK * tick;
        running.retain(|&(gateway, began, ends)| {
            if ends <= now {
                let is_late = ends - began > load.late;
                outcome.late += usize::from(is_late);
                paces[gateway].record_answer(PacedAnswer { is_late, was_cached: None }, now);
            }
            ends > now
        });
        let in_flight = |gateway: usize, running: &[(usize, Instant, Instant)]| {
            running.iter().filter(|request| request.0 == gateway).count() as u32
        };
        if load.has_polls && tick % POLL_TICKS == 0 {
            let mut sum = OverloadStats::default();
            for (gateway, pace) in paces.iter_mut().enumerate() {
                sum.add(&pace.own_answers(in_flight(gateway, &running), now));
            }
            paces.iter_mut().for_each(|pace| pace.record_shared(sum, now));
        }
        for (gateway, pace) in paces.iter().enumerate() {
            let mean = load.per_second * TICK.as_secs_f64() / GATEWAYS as f64;
            let own = in_flight(gateway, &running);
            let view = pace.view(GATEWAYS as u32, own, now);
            let share = match pace.is_established(&view) {
                true => 1.0,
                false => pace.share(&view, peers, true),
            };
            if rng.random_bool((mean * share).min(1.0)) {
                let time = (load.time)(now - start, running.len());
                running.push((gateway, now, now + time));
                outcome.began[(tick / 100) as usize] += 1;
            }
        }
        outcome.in_flight_max = outcome.in_flight_max.max(running.len());
    }
    outcome
}

/// A replica of 12 slots that needs longer the more it runs, and longer still
/// with an empty prompt cache.
fn warming(age: Duration, others: usize) -> Duration {
    let cold = if age < Duration::from_millis(800) { 60 } else { 0 };
    Duration::from_millis(120 + cold + 10 * others as u64)
}

fn release() -> Load {
    Load {
        per_second: 12.0,
        peers_in_flight: 2.0,
        time: warming,
        late: Duration::from_millis(400),
        ends: 0,
        has_polls: true,
    }
}

#[test]
fn full_use_soon() {
    for seed in 0..20 {
        let outcome = replay(&release(), 4, seed);
        let in_third = outcome.began[1] + outcome.began[2];
        assert!(in_third >= 12, "seed {seed}: {:?}", outcome.began);
        assert_eq!(outcome.late, 0, "seed {seed}");
    }
}

#[test]
fn no_flood() {
    // Peers are full, and each of them gets 50 requests a second.
    let load = Load { per_second: 50.0, peers_in_flight: 12.0, ..release() };
    for seed in 0..20 {
        let outcome = replay(&load, 4, seed);
        let began: usize = outcome.began.iter().sum();
        assert!(outcome.late * 20 <= began, "seed {seed}: {} of {began} late", outcome.late);
        assert!(outcome.in_flight_max <= 36, "seed {seed}: {}", outcome.in_flight_max);
        assert!(outcome.began[2] >= 35, "seed {seed}: {:?}", outcome.began);
    }
}

#[test]
fn slow_replica_waits() {
    // Each answer is late: the replica is probed, but gets little.
    let slow = |_, _| Duration::from_millis(900);
    let load = Load { per_second: 50.0, peers_in_flight: 8.0, time: slow, ..release() };
    let outcome = replay(&load, 8, 1);
    assert!(outcome.in_flight_max <= 16, "{}", outcome.in_flight_max);
    let later: usize = outcome.began[4..].iter().sum();
    assert!((1..=40).contains(&later), "{:?}", outcome.began);
}

#[test]
fn flaps_lose_trust() {
    let began = |ends| {
        let load = Load { per_second: 50.0, peers_in_flight: 8.0, ends, ..release() };
        (0..10).map(|seed| replay(&load, 2, seed).began[0]).sum::<usize>()
    };
    let (first, third) = (began(0), began(2));
    assert!(third * 2 < first, "{first} and {third}");
    let load = Load { ends: 2, ..release() };
    let outcome = replay(&load, 12, 1);
    assert!(outcome.began[11] >= 6, "trust returns: {:?}", outcome.began);
}

#[test]
fn cut_off_gateways_are_careful() {
    // Without sums, each gateway assumes that the others do as it does.
    let load = Load { per_second: 50.0, peers_in_flight: 8.0, has_polls: false, ..release() };
    let outcome = replay(&load, 4, 1);
    assert!(outcome.in_flight_max <= 24, "{}", outcome.in_flight_max);
    assert!(outcome.began[1] > 0, "{:?}", outcome.began);
}

#[test]
fn peers_slow_too() {
    // All replicas are slow at once: answers are late against the objective, but
    // not against the peers, so the replica is not held back.
    let slow = |_, _| Duration::from_millis(900);
    let load = Load { time: slow, late: Duration::from_millis(1_800), ..release() };
    let outcome = replay(&load, 6, 1);
    assert!(outcome.began[5] >= 6, "{:?}", outcome.began);
}

#[test]
fn cached_prompts_are_noticed() {
    let now = Instant::now();
    let mut pace = Pace::new(0, now);
    assert_eq!(pace.cached_share(GATEWAYS as u32, now), 0.0);
    for was_cached in [false, true, true, true] {
        pace.record_answer(PacedAnswer { is_late: false, was_cached: Some(was_cached) }, now);
    }
    assert_eq!(pace.cached_share(GATEWAYS as u32, now), 0.75);
}
