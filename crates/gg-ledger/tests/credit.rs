//! Credit of client accounts with a request rate, from several issuers.

use std::time::{Duration, Instant};

use gg_ledger::{CreditIssuer, CreditLimit, CreditReply, CreditRequest, CreditUse, QuotaBounds};
use proptest::prelude::*;

const BOUNDS: QuotaBounds =
    QuotaBounds { window: Duration::from_secs(5), overage: 0.1, slack: 20.0 };

/// Disks of the first layout.
const DISKS: [u64; 3] = [11, 12, 13];

/// Most requests of an account in any window.
fn allowed(rate: f64, burst: f64) -> f64 {
    (rate * BOUNDS.window.as_secs_f64() + burst) * (1.0 + BOUNDS.overage) + BOUNDS.slack
}

/// Largest number of requests in any window.
fn busiest(sent: &mut [Instant]) -> usize {
    sent.sort_unstable();
    let within = |first: &Instant| {
        let from = sent.partition_point(|at| at < first);
        sent.partition_point(|at| *at < *first + BOUNDS.window) - from
    };
    sent.iter().map(within).max().unwrap_or_default()
}

fn request(limit: CreditLimit, count: u32) -> CreditRequest {
    CreditRequest {
        account: "a".into(),
        limit,
        work: CreditUse::InProgress,
        program: Some(1),
        count,
        returned: 0,
        used: Vec::new(),
    }
}

fn ask(issuer: &mut CreditIssuer, disk: u64, request: &CreditRequest, now: Instant) -> CreditReply {
    issuer.observe(&request.account, request.limit, now);
    issuer.request(request, disk, now)
}

fn issuer(disks: &[u64], now: Instant) -> CreditIssuer {
    let mut issuer = CreditIssuer::default();
    issuer.record_layout(disks.to_vec(), false, now);
    issuer
}

fn granted(reply: CreditReply) -> u32 {
    match reply {
        CreditReply::Granted(count) => count,
        _ => 0,
    }
}

fn at(start: Instant, ms: u64) -> Instant {
    start + Duration::from_millis(ms)
}

/// All credit that an instance grants between two times, asked each millisecond.
fn drain(issuer: &mut CreditIssuer, disk: u64, limit: CreditLimit, from: Instant, ms: u64) -> u32 {
    (0..ms).map(|ms| granted(ask(issuer, disk, &request(limit, 1), at(from, ms)))).sum()
}

#[test]
fn rate_is_granted() {
    let start = Instant::now();
    let limit = BOUNDS.limit(1, 60.0, 0.0);
    let mut sum = 0;
    for disk in DISKS {
        let mut issuer = issuer(&DISKS, start);
        drain(&mut issuer, disk, limit, at(start, 20_000), 1_000);
        sum += drain(&mut issuer, disk, limit, at(start, 21_000), 10_000);
    }
    assert!((595..=601).contains(&sum), "{sum} of 600 in ten seconds");
}

#[test]
fn single_instance_grants_whole_rate() {
    let start = Instant::now();
    let (limit, mut issuer) = (BOUNDS.limit(1, 60.0, 0.0), issuer(&[7], start));
    drain(&mut issuer, 7, limit, at(start, 20_000), 1_000);
    let sum = drain(&mut issuer, 7, limit, at(start, 21_000), 10_000);
    assert!((599..=601).contains(&sum), "{sum} of 600 in ten seconds");
}

/// A denied request succeeds at the time that the reply names.
#[test]
fn wait_is_true() {
    let start = at(Instant::now(), 0);
    let (limit, mut issuer) = (BOUNDS.limit(1, 3.0, 2.0), issuer(&DISKS, start));
    let now = at(start, 60_000);
    while granted(ask(&mut issuer, 11, &request(limit, 1), now)) > 0 {}
    let CreditReply::Denied { wait_ms } = ask(&mut issuer, 11, &request(limit, 1), now) else {
        panic!("granted");
    };
    let early = ask(&mut issuer, 11, &request(limit, 1), at(now, u64::from(wait_ms) - 2));
    assert_eq!(granted(early), 0);
    assert_eq!(granted(ask(&mut issuer, 11, &request(limit, 1), at(now, wait_ms.into()))), 1);
}

/// Who has just become an issuer grants little until it earned more.
#[test]
fn new_issuer_starts_low() {
    let start = Instant::now();
    let (limit, mut issuer) = (BOUNDS.limit(1, 30.0, 0.0), issuer(&DISKS, start));
    let first = drain(&mut issuer, 11, limit, start, 2_000);
    assert_eq!(first, 2, "a part of the slack");
    let later = drain(&mut issuer, 11, limit, at(start, 2_000), 2_000);
    assert!((19..=21).contains(&later), "{later} at 10 a second");
}

/// After a restart with the same layout, nobody else has granted in its place.
#[test]
fn restarted_issuer_earns_at_once() {
    let start = Instant::now();
    let (limit, mut issuer) = (BOUNDS.limit(1, 30.0, 0.0), CreditIssuer::default());
    issuer.record_layout(DISKS.to_vec(), true, start);
    let first = drain(&mut issuer, 11, limit, start, 2_000);
    assert!((21..=22).contains(&first), "{first}: a part of the slack, and 10 a second");
}

/// Back among the issuers, an instance doesn't know what its successor granted.
#[test]
fn returned_issuer_starts_low() {
    let start = Instant::now();
    let (limit, mut issuer) = (BOUNDS.limit(1, 30.0, 60.0), issuer(&DISKS, start));
    assert!(drain(&mut issuer, 11, limit, at(start, 60_000), 1) > 0);
    issuer.record_layout(vec![21, 22, 23], false, at(start, 61_000));
    let gone = ask(&mut issuer, 11, &request(limit, 1), at(start, 61_500));
    assert_eq!(gone, CreditReply::NotIssuer);
    issuer.record_layout(DISKS.to_vec(), false, at(start, 62_000));
    let first = drain(&mut issuer, 11, limit, at(start, 62_000), 2_000);
    assert_eq!(first, 2, "a part of the slack");
}

/// An issuer that keeps its place doesn't refill when an old layout is forgotten.
#[test]
fn old_layouts_refill_nothing() {
    let start = Instant::now();
    let (limit, mut issuer) = (BOUNDS.limit(1, 30.0, 60.0), issuer(&DISKS, start));
    issuer.record_layout(vec![11, 12, 13, 14], false, at(start, 100_000));
    for second in 60..300 {
        drain(&mut issuer, 11, limit, at(start, second * 1_000), 2_000);
    }
    assert_eq!(drain(&mut issuer, 11, limit, at(start, 299_000), 1), 0, "it is used up");
    issuer.record_layout(vec![11, 12, 13, 15], false, at(start, 299_001));
    let more = drain(&mut issuer, 11, limit, at(start, 299_001), 1);
    assert_eq!(more, 0, "the layout of the first 100 s is forgotten");
}

#[test]
fn lower_limit_binds() {
    let start = Instant::now();
    let (high, low) = (BOUNDS.limit(1, 300.0, 90.0), BOUNDS.limit(2, 3.0, 0.0));
    let mut issuer = issuer(&DISKS, start);
    drain(&mut issuer, 11, high, at(start, 60_000), 10);
    assert_eq!(granted(ask(&mut issuer, 11, &request(low, 1), at(start, 60_020))), 1);
    let sum = drain(&mut issuer, 11, high, at(start, 60_021), 5_000);
    assert!(sum <= 9, "{sum} by an instance that doesn't know of the change");
}

/// Ahead of their use, credit is granted only from what is there in plenty.
#[test]
fn scarce_credit_is_granted_singly() {
    let start = Instant::now();
    let (limit, mut issuer) = (BOUNDS.limit(1, 30.0, 60.0), issuer(&DISKS, start));
    let now = at(start, 60_000);
    assert!(granted(ask(&mut issuer, 11, &request(limit, 10), now)) > 1);
    while granted(ask(&mut issuer, 11, &request(limit, 10), now)) > 1 {}
    assert_eq!(granted(ask(&mut issuer, 11, &request(limit, 10), now)), 1);
}

#[test]
fn unused_credit_returns() {
    let start = Instant::now();
    let (limit, mut issuer) = (BOUNDS.limit(1, 0.3, 0.0), issuer(&DISKS, start));
    let now = at(start, 60_000);
    let mut taken = 0;
    while granted(ask(&mut issuer, 11, &request(limit, 1), now)) > 0 {
        taken += 1;
    }
    let back = CreditRequest { returned: taken, ..request(limit, 0) };
    assert_eq!(ask(&mut issuer, 11, &back, now), CreditReply::Granted(0));
    assert_eq!(drain(&mut issuer, 11, limit, now, 1), 1);
}

/// A program keeps its credit beside a flood of new work, also at an issuer where it
/// didn't begin.
#[test]
fn program_from_elsewhere_keeps_credit() {
    let start = Instant::now();
    let (limit, mut issuer) = (BOUNDS.limit(1, 20.0, 10.0), issuer(&DISKS, start));
    let new = CreditRequest { work: CreditUse::New, program: None, ..request(limit, 1) };
    let mut denied = 0;
    for ms in 0..10_000 {
        let now = at(start, 60_000 + ms);
        if ms % 300 == 0 {
            let reply = ask(&mut issuer, 11, &request(limit, 1), now);
            assert_eq!(granted(reply), 1, "after {ms} ms: {reply:?}");
        }
        denied += u32::from(granted(ask(&mut issuer, 11, &new, now)) == 0);
    }
    assert!(denied > 9_000, "{denied} denied: a flood");
}

/// A call for each request has to fit into the traffic for control.
#[test]
fn messages_are_small() {
    let account = "account-of-usual-length".into();
    let limit = BOUNDS.limit(4_000, 136.2, 40.3);
    let asked = CreditRequest { account, program: Some(u32::MAX), ..request(limit, 1) };
    let asked = postcard::to_allocvec(&asked).expect("encoded").len();
    let denied = CreditReply::Denied { wait_ms: 4_000 };
    let denied = postcard::to_allocvec(&denied).expect("encoded").len();
    println!("{asked} and {denied} bytes");
    assert!(asked <= 64 && denied <= 4, "{asked} and {denied} bytes");
}

/// A report names the accounts that used most, and sums up the rest.
#[test]
fn use_is_reported() {
    let start = Instant::now();
    let (limit, mut issuer) = (BOUNDS.limit(1, 30.0, 60.0), issuer(&[11], start));
    let now = at(start, 60_000);
    assert_eq!(issuer.report(now), []);
    for number in 0..12_u32 {
        let account = format!("account-{number}").as_str().into();
        let request = CreditRequest { account, ..request(limit, 1) };
        for _ in 0..=number {
            assert_eq!(granted(ask(&mut issuer, 11, &request, now)), 1);
        }
    }
    assert_eq!(issuer.report(now), [], "too early");
    let report = issuer.report(at(now, 10_000));
    let granted: Vec<_> = report.iter().map(|(name, used)| (&**name, used.granted)).collect();
    assert_eq!(granted.len(), 9);
    assert_eq!((granted[0], granted[8]), (("account-11", 12), ("-", 1 + 2 + 3 + 4)));
    assert_eq!(issuer.report(at(now, 20_000)), [], "nothing since");
}

/// What happens next in a trial of the bound.
#[derive(Clone, Debug)]
enum Step {
    /// A gateway asks an issuer for credit, and may not get the reply.
    Ask { gateway: usize, slot: usize, count: u32, is_lost: bool },
    /// A gateway sends what it holds, unless it is void.
    Send { gateway: usize },
    /// A gateway gives back what it holds.
    GiveBack { gateway: usize },
    /// Time passes: a gateway that does nothing meanwhile may be paused.
    Pause { ms: u64 },
    /// An issuer loses its memory.
    Restart { slot: usize },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let ask = (0..4_usize, 0..3_usize, 1..20_u32, prop::bool::weighted(0.1));
    let ask =
        ask.prop_map(|(gateway, slot, count, is_lost)| Step::Ask { gateway, slot, count, is_lost });
    let step = prop_oneof![
        30 => ask,
        30 => (0..4_usize).prop_map(|gateway| Step::Send { gateway }),
        1 => (0..4_usize).prop_map(|gateway| Step::GiveBack { gateway }),
        30 => (0..40_u64).prop_map(|ms| Step::Pause { ms }),
        1 => (300..4_000_u64).prop_map(|ms| Step::Pause { ms }),
    ];
    // A process is restarted once in a window.
    let restarts = proptest::sample::subsequence(vec![0_usize, 1, 2], 0..=3);
    (proptest::collection::vec(step, 50..900), restarts).prop_map(|(mut steps, restarts)| {
        for (number, slot) in restarts.into_iter().enumerate() {
            let at = (number + 1) * steps.len() / 4;
            steps.insert(at, Step::Restart { slot });
        }
        steps
    })
}

proptest! {
    /// Whatever issuers gateways reach, whichever replies are lost, gateways
    /// paused and issuers restarted: no window holds more than is allowed.
    #[test]
    fn any_window_stays_within_bound(
        steps in steps(),
        rate in 0.2..400.0_f64,
        burst in 0.0..100.0_f64,
    ) {
        let start = Instant::now();
        let limit = BOUNDS.limit(1, rate, burst);
        let mut now = at(start, 20_000);
        let mut issuers: Vec<_> = DISKS.iter().map(|_| issuer(&DISKS, start)).collect();
        let mut held: Vec<Vec<(Instant, usize, u32)>> = vec![Vec::new(); 4];
        let mut sent = Vec::new();
        for step in steps {
            match step {
                Step::Ask { gateway, slot, count, is_lost } => {
                    let reply = ask(&mut issuers[slot], DISKS[slot], &request(limit, count), now);
                    if granted(reply) > 0 && !is_lost {
                        held[gateway].push((now + BOUNDS.lease(), slot, granted(reply)));
                    }
                }
                Step::Send { gateway } => {
                    for (valid_until, _, count) in held[gateway].drain(..) {
                        if now < valid_until {
                            sent.extend((0..count).map(|_| now));
                        }
                    }
                }
                Step::GiveBack { gateway } => {
                    for (valid_until, slot, returned) in held[gateway].drain(..) {
                        let back = CreditRequest { returned, ..request(limit, 0) };
                        if now < valid_until {
                            ask(&mut issuers[slot], DISKS[slot], &back, now);
                        }
                    }
                }
                Step::Pause { ms } => now += Duration::from_millis(ms),
                Step::Restart { slot } => {
                    issuers[slot] = CreditIssuer::default();
                    issuers[slot].record_layout(DISKS.to_vec(), true, now);
                }
            }
        }
        let busiest = busiest(&mut sent) as f64;
        let allowed = allowed(rate, burst);
        prop_assert!(busiest <= allowed, "{busiest} of {allowed} allowed");
    }
}
