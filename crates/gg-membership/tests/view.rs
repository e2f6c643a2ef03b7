//! Classification of daemons as live or dead.

use std::time::Duration;

use gg_membership::{Membership, MembershipSettings};
use gg_platform::{InstanceInfo, InstanceKind, InstanceState};
use gg_protocol::{JournalId, Name};

fn info(name: &str) -> InstanceInfo {
    InstanceInfo {
        name: name.into(),
        kind: InstanceKind::Entry,
        centre: "north".into(),
        address: "127.0.0.1:1".into(),
        state: InstanceState::Live,
    }
}

/// A view of four daemons with a suspicion time of zero.
fn view() -> Membership {
    let settings = MembershipSettings { suspect: Duration::ZERO, witnesses: 2 };
    let view = Membership::new("a0".into(), settings);
    view.set_listed(["a0", "a1", "a2", "a3"].map(info).to_vec());
    view
}

fn respond(view: &Membership, name: &str, suspects: &[Name]) {
    let journal = JournalId { instance: name.into(), incarnation: 1 };
    view.record_response(&name.into(), &journal, 0, suspects);
}

fn fail_twice(view: &Membership, name: &str) {
    view.record_failure(&name.into());
    view.record_failure(&name.into());
}

fn live(view: &Membership) -> Vec<Name> {
    view.live().into_iter().map(|peer| peer.name).collect()
}

#[test]
fn unlisted_but_responding_is_live() {
    let view = view();
    respond(&view, "a1", &[]);
    view.set_listed(vec![info("a0")]);
    assert!(
        view.dead().is_empty(),
        "an unlisted peer that responds is not dead, since the list can lag"
    );
    assert!(live(&view).contains(&"a1".into()));
    fail_twice(&view, "a1");
    assert_eq!(view.dead(), ["a1".into()]);
}

#[test]
fn death_needs_witnesses() {
    let settings = MembershipSettings { suspect: Duration::from_millis(1), witnesses: 2 };
    let view = Membership::new("a0".into(), settings);
    view.set_listed(["a0", "a1", "a2", "a3"].map(info).to_vec());
    fail_twice(&view, "a1");
    std::thread::sleep(Duration::from_millis(2));
    assert_eq!(view.suspects(), ["a1".into()]);
    assert!(view.dead().is_empty(), "a suspicion without witnesses does not declare a peer dead");
}

#[test]
fn response_clears_suspicion() {
    let view = view();
    fail_twice(&view, "a1");
    assert_eq!(view.suspects(), ["a1".into()]);
    respond(&view, "a1", &[]);
    assert!(view.suspects().is_empty());
    assert!(live(&view).contains(&"a1".into()));
}

#[test]
fn paused_daemon_discards_failures() {
    let view = view();
    fail_twice(&view, "a1");
    fail_twice(&view, "a2");
    view.forget_failures();
    assert!(view.suspects().is_empty());
}

#[test]
fn suspects_are_probed_first() {
    let view = view();
    fail_twice(&view, "a3");
    for _ in 0..20 {
        assert_eq!(view.probe_targets(1)[0].name, "a3".into());
    }
}

#[test]
fn unlisted_daemons_are_probed() {
    let view = view();
    view.record_failure(&"a1".into());
    view.set_listed(["a0", "a2", "a3"].map(info).to_vec());
    view.set_listed(["a0", "a2", "a3"].map(info).to_vec());
    let targets = view.probe_targets(3);
    assert!(targets.iter().any(|peer| peer.name == "a1".into()), "{targets:?}");
}
