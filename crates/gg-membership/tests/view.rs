//! Who counts as live and who as dead.

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

/// A view of four daemons in which silence counts at once.
fn view() -> Membership {
    let settings = MembershipSettings { suspect: Duration::ZERO, witnesses: 2 };
    let view = Membership::new("a0".into(), settings);
    view.update_list(["a0", "a1", "a2", "a3"].map(info).to_vec());
    view
}

fn answer(view: &Membership, name: &str, suspects: &[Name]) {
    let journal = JournalId { instance: name.into(), incarnation: 1 };
    view.note_answer(&name.into(), &journal, 0, suspects);
}

fn fail(view: &Membership, name: &str) {
    view.note_failure(&name.into());
    view.note_failure(&name.into());
}

fn live(view: &Membership) -> Vec<Name> {
    view.live().into_iter().map(|peer| peer.name).collect()
}

#[test]
fn unlisted_but_answering() {
    let view = view();
    answer(&view, "a1", &[]);
    view.update_list(vec![info("a0")]);
    assert!(view.dead().is_empty(), "the list may lag");
    assert!(live(&view).contains(&"a1".into()));
    fail(&view, "a1");
    assert_eq!(view.dead(), ["a1".into()]);
}

#[test]
fn suspicion_needs_witnesses() {
    let settings = MembershipSettings { suspect: Duration::from_millis(1), witnesses: 2 };
    let view = Membership::new("a0".into(), settings);
    view.update_list(["a0", "a1", "a2", "a3"].map(info).to_vec());
    fail(&view, "a1");
    std::thread::sleep(Duration::from_millis(2));
    assert_eq!(view.suspects(), ["a1".into()]);
    assert!(view.dead().is_empty(), "one daemon's word is not enough");
}

#[test]
fn answer_clears_suspicion() {
    let view = view();
    fail(&view, "a1");
    assert_eq!(view.suspects(), ["a1".into()]);
    answer(&view, "a1", &[]);
    assert!(view.suspects().is_empty());
    assert!(live(&view).contains(&"a1".into()));
}

#[test]
fn paused_daemon_forgets() {
    let view = view();
    fail(&view, "a1");
    fail(&view, "a2");
    view.forget_failures();
    assert!(view.suspects().is_empty());
}

#[test]
fn doubtful_probed_first() {
    let view = view();
    fail(&view, "a3");
    for _ in 0..20 {
        assert_eq!(view.probe_targets(1)[0].name, "a3".into());
    }
}

#[test]
fn unlisted_still_probed() {
    let view = view();
    view.note_failure(&"a1".into());
    view.update_list(["a0", "a2", "a3"].map(info).to_vec());
    view.update_list(["a0", "a2", "a3"].map(info).to_vec());
    let targets = view.probe_targets(3);
    assert!(targets.iter().any(|peer| peer.name == "a1".into()), "{targets:?}");
}
