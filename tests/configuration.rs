//! Configuration changes: concurrent changes are accepted only once, an accepted
//! change comes into force on every daemon, and no daemon reverts to an older
//! version.

mod support;

use std::time::Duration;

use gg_fakes::{CallResult, Faults, Fleet, FleetSettings};
use gg_operator::{OperatorClient, OperatorError};
use tokio::time;

/// Configuration key of the profile that the tests change.
const PROFILE_KEY: &str = "profile/changing";

fn operator(fleet: &Fleet, index: usize) -> OperatorClient {
    OperatorClient::new(&fleet.daemons[index].operators, "")
}

fn change(target_ms: u64, version: u64) -> String {
    format!("[profile changing]\nrank = 2\ntarget_ms = {target_ms}\nversion = {version}\n")
}

/// Returns the version of the profile in force at a daemon, or 0 if none is.
async fn version(fleet: &Fleet, index: usize) -> u64 {
    let versions = operator(fleet, index).versions().await.unwrap_or_default();
    versions.iter().find(|one| &*one.key == PROFILE_KEY).map_or(0, |one| one.version)
}

/// Waits until all daemons have at least this version in force; panics if a
/// daemon reverts to an older one.
async fn wait_in_force(fleet: &Fleet, wanted: u64) {
    let mut last = vec![0; fleet.daemons.len()];
    for _ in 0..600 {
        for (index, last) in last.iter_mut().enumerate() {
            let now = version(fleet, index).await;
            assert!(now >= *last || now == 0, "a{index} reverted from version {last} to {now}");
            *last = now;
        }
        if last.iter().all(|version| *version >= wanted) {
            return;
        }
        time::sleep(Duration::from_millis(20)).await;
    }
    panic!("version {wanted} is not in force everywhere: {last:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_changes_conflict() {
    let fleet = support::fleet(FleetSettings::default()).await;
    let (one, two) = (operator(&fleet, 0), operator(&fleet, 1));
    let first = one.apply(&change(1000, 0), false).await.expect("new profile is accepted");
    let base = first[0].version;
    let (left, right) = (change(2000, base), change(3000, base));
    let (left, right) = tokio::join!(one.apply(&left, false), two.apply(&right, false));
    assert_eq!(usize::from(left.is_ok()) + usize::from(right.is_ok()), 1);
    let rejected = left.and(right).expect_err("one change is refused");
    let OperatorError::Refused(status, _, _, body) = rejected else { panic!("{rejected}") };
    assert_eq!(status, 409);
    assert!(body["current"]["document"]["target_ms"].is_u64(), "{body}");
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_platform_response() {
    let fleet = support::fleet(FleetSettings::default()).await;
    fleet.platform.set_faults(Faults { lost_writes: 1.0, ..Faults::default() });
    let accepted =
        operator(&fleet, 0).apply(&change(1000, 0), false).await.expect("change is accepted");
    fleet.platform.set_faults(Faults::default());
    wait_in_force(&fleet, accepted[0].version).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_watch_events() {
    let fleet = support::fleet(FleetSettings::default()).await;
    fleet.platform.set_faults(Faults { drop_events: 1.0, ..Faults::default() });
    let accepted =
        operator(&fleet, 0).apply(&change(1000, 0), false).await.expect("change is accepted");
    wait_in_force(&fleet, accepted[0].version).await;
}

/// A change accepted just before a platform outage reaches the other daemons
/// from the daemon that accepted it; no change is accepted during the outage.
#[tokio::test(flavor = "multi_thread")]
async fn change_before_outage() {
    let fleet = support::fleet(FleetSettings::default()).await;
    fleet.platform.set_faults(Faults { drop_events: 1.0, ..Faults::default() });
    let accepted =
        operator(&fleet, 0).apply(&change(1000, 0), false).await.expect("change is accepted");
    fleet.platform.set_faults(Faults { outage: true, ..Faults::default() });
    wait_in_force(&fleet, accepted[0].version).await;
    let refused = operator(&fleet, 1).apply(&change(2000, accepted[0].version), false).await;
    assert!(refused.is_err(), "no change is accepted during a platform outage");
}

#[tokio::test(flavor = "multi_thread")]
async fn frozen_daemon_catches_up() {
    let fleet = support::fleet(FleetSettings::default()).await;
    fleet.daemons[2].signal(libc::SIGSTOP);
    let mut last = 0;
    for number in 0..10 {
        let text = change(1000 + number, last);
        last =
            operator(&fleet, 0).apply(&text, false).await.expect("change is accepted")[0].version;
    }
    fleet.daemons[2].signal(libc::SIGCONT);
    wait_in_force(&fleet, last).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn restart_keeps_version() {
    let mut fleet = support::fleet(FleetSettings::default()).await;
    let accepted =
        operator(&fleet, 0).apply(&change(1000, 0), false).await.expect("change is accepted");
    fleet.restart(1);
    wait_in_force(&fleet, accepted[0].version).await;
}

/// A daemon that restarts while the platform is slow does not refuse a valid
/// caller key with 401 because it has not read that key yet.
#[tokio::test(flavor = "multi_thread")]
async fn restart_accepts_valid_keys() {
    let mut fleet = support::fleet(FleetSettings::default()).await;
    fleet.platform.set_faults(Faults { delay: Duration::from_millis(40), ..Faults::default() });
    fleet.restart(1);
    for customer in ["ukhozi", "nyabugogo"] {
        let caller = fleet.daemon_caller(customer, 1);
        let deadline = time::Instant::now() + Duration::from_secs(30);
        while let Err(outcome) = caller.start("urgent", None).await {
            let is_denied = matches!(&outcome, CallResult::Refused { status: 401, .. });
            assert!(!is_denied, "valid key refused: {outcome:?}");
            assert!(time::Instant::now() < deadline, "not served: {outcome:?}");
            time::sleep(Duration::from_millis(5)).await;
        }
    }
}

/// A former content that was a removal has nothing to apply; the document in
/// force stays.
#[tokio::test(flavor = "multi_thread")]
async fn rollback_to_removal_refused() {
    let fleet = support::fleet(FleetSettings { daemons: 1, ..FleetSettings::default() }).await;
    let client = operator(&fleet, 0);
    client.apply(&change(1000, 0), false).await.expect("new profile is accepted");
    client.remove(PROFILE_KEY).await.expect("the profile is removed");
    client.apply(&change(3000, 0), true).await.expect("it is accepted again");
    let address = &fleet.daemons[0].operators;
    let rollback = ["--daemon", address, "profile", "rollback", "changing", "2"];
    let output = std::process::Command::new(env!("CARGO_BIN_EXE_greengagefork"))
        .args(rollback)
        .output()
        .expect("run command");
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(1), "{text}");
    assert!(text.contains("removal"), "{text}");
    let documents = client.documents().await.expect("documents");
    let found = documents.iter().find(|(key, _)| **key == *PROFILE_KEY).expect("the profile");
    let gg_protocol::Document::Profile(profile) = &found.1.doc.current.document else {
        panic!("{found:?}")
    };
    assert_eq!(profile.target_ms, 3000);
}
