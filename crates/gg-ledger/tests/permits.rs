//! Send permits of replicas that announce a rate limit.

use std::time::{Duration, Instant};

use gg_ledger::{
    Layout, LimitReport, Member, PermitIssuer, PermitReply, PermitRequest, permit_issuers,
};
use gg_protocol::Name;
use proptest::prelude::*;

/// Length of the time in which requests to a replica are counted.
const WINDOW: Duration = Duration::from_secs(4);

fn request(rate: f64, max_wait_ms: u32) -> PermitRequest {
    let limit = LimitReport { rate: Some(rate), age_ms: 0 };
    PermitRequest { replica: "r/1".into(), limit, max_wait_ms }
}

fn grant(
    issuer: &mut PermitIssuer,
    request: &PermitRequest,
    share: f64,
    now: Instant,
) -> PermitReply {
    issuer.observe(&request.replica, request.limit, now);
    issuer.request(request, share, now)
}

fn at(start: Instant, ms: u64) -> Instant {
    start + Duration::from_millis(ms)
}

#[test]
fn permits_are_spaced() {
    let (start, mut issuer) = (Instant::now(), PermitIssuer::default());
    let mut ask = |ms, max_wait| grant(&mut issuer, &request(4.0, max_wait), 1.0, at(start, ms));
    assert_eq!(ask(0, 0), PermitReply::Granted { wait_ms: 0, next_ms: 250 });
    assert_eq!(ask(0, 100), PermitReply::Denied { wait_ms: 250 });
    assert_eq!(ask(0, 300), PermitReply::Granted { wait_ms: 250, next_ms: 500 });
    assert_eq!(ask(400, 300), PermitReply::Granted { wait_ms: 100, next_ms: 350 });
}

#[test]
fn newest_observation_counts() {
    let (start, mut issuer) = (Instant::now(), PermitIssuer::default());
    let replica: Name = "r/1".into();
    let report = |rate, age_ms| LimitReport { rate, age_ms };
    assert!(issuer.observe(&replica, report(Some(4.0), 0), at(start, 1_000)));
    assert!(!issuer.observe(&replica, report(None, 500), at(start, 1_100)), "it is older");
    assert!(issuer.observe(&replica, report(Some(8.0), 0), at(start, 1_200)));
    assert!(issuer.observe(&replica, report(None, 0), at(start, 1_300)));
    let late =
        PermitRequest { replica: replica.clone(), limit: report(Some(8.0), 500), max_wait_ms: 0 };
    assert_eq!(grant(&mut issuer, &late, 1.0, at(start, 1_400)), PermitReply::Unlimited);
    let again = PermitRequest { limit: report(Some(2.0), 0), ..late };
    let granted = grant(&mut issuer, &again, 1.0, at(start, 1_500));
    assert!(matches!(granted, PermitReply::Granted { .. }));
}

/// The end of a limit shows only in a response, so the replica gets a request
/// now and then.
#[test]
fn zero_limit_is_probed() {
    let (start, mut issuer) = (Instant::now(), PermitIssuer::default());
    let granted = (0..60)
        .filter(|second| {
            let reply = grant(&mut issuer, &request(0.0, 0), 1.0, at(start, second * 1_000));
            matches!(reply, PermitReply::Granted { .. })
        })
        .count();
    assert_eq!(granted, 6);
}

fn layout(disks: &[u64]) -> Layout {
    let member = |disk: &u64| Member {
        instance: format!("ledger-{disk}").as_str().into(),
        disk: disk.wrapping_mul(0x9e37_79b9_7f4a_7c15),
        address: "127.0.0.1:1".parse().expect("an address"),
        centre: "a".into(),
    };
    Layout::initial(&disks.iter().map(member).collect::<Vec<_>>(), 1)
}

/// A new layout moves only the replicas whose issuer left it.
#[test]
fn issuers_change_with_their_instance() {
    let before = layout(&[1, 2, 3, 4, 5, 6, 7, 8]);
    let after = layout(&[1, 2, 3, 4, 5, 6, 7]);
    let mut first = std::collections::HashMap::<u64, u32>::new();
    for number in 0..800 {
        let replica = format!("r-{number}/1");
        let [old, second] = permit_issuers(&before, &replica);
        assert_ne!(old, second);
        *first.entry(old.expect("an issuer")).or_default() += 1;
        let new = permit_issuers(&after, &replica)[0];
        let has_left = !after.members().iter().any(|member| Some(member.disk) == old);
        assert_eq!(new, if has_left { second } else { old });
    }
    assert!(first.len() == 8 && first.values().all(|count| *count > 50), "{first:?}");
}

#[test]
fn single_instance_issues_alone() {
    let [first, second] = permit_issuers(&layout(&[1]), "r/1");
    assert!(first.is_some() && second.is_none());
    assert_eq!(permit_issuers(&Layout::default(), "r/1"), [None, None]);
}

/// A client's request for a permit.
#[derive(Clone, Debug)]
struct Ask {
    after_ms: u64,
    issuer: usize,
    max_wait_ms: u32,
}

fn asks() -> impl Strategy<Value = Vec<Ask>> {
    let pause = prop_oneof![8 => 0..60_u64, 1 => 0..4_000_u64];
    let ask = (pause, 0..2_usize, 0..1_500_u32);
    let ask = ask.prop_map(|(after_ms, issuer, max_wait_ms)| Ask { after_ms, issuer, max_wait_ms });
    proptest::collection::vec(ask, 1..600)
}

proptest! {
    /// Whichever of the two issuers each client uses, and whenever it asks, a
    /// replica gets at most one and a half times its limit and five requests.
    #[test]
    fn any_split_stays_within_bound(asks in asks(), rate in 0.2..60.0_f64) {
        let start = Instant::now();
        let mut issuers = [PermitIssuer::default(), PermitIssuer::default()];
        let mut now_ms = 0;
        let mut sent = Vec::new();
        for ask in asks {
            now_ms += ask.after_ms;
            let share = [1.0, 0.3][ask.issuer];
            let now = at(start, now_ms);
            let request = request(rate, ask.max_wait_ms);
            let reply = grant(&mut issuers[ask.issuer], &request, share, now);
            if let PermitReply::Granted { wait_ms, .. } = reply {
                sent.push(now + Duration::from_millis(wait_ms.into()));
            }
        }
        for from in &sent {
            let count = sent.iter().filter(|at| (*from..*from + WINDOW).contains(at)).count();
            let allowed = 1.5 * rate * WINDOW.as_secs_f64() + 5.0;
            prop_assert!(count as f64 <= allowed, "{} of {} allowed", count, allowed);
        }
    }
}
