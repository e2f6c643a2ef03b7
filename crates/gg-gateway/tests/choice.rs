//! Which replica a request goes to.

use gg_gateway::{Candidate, ChoiceSettings, choose};

const OPEN: Candidate = Candidate {
    load: 0,
    load_max: 10,
    is_far: false,
    unread: 0,
    is_stray: false,
    is_previous: false,
    is_suspect: false,
    delay_ms: 0.0,
};

fn best(candidates: &[Candidate]) -> Option<usize> {
    choose(candidates, 20_000, &ChoiceSettings::default(), || 0.0)
}

#[test]
fn stays_warm() {
    let previous = Candidate { is_previous: true, ..OPEN };
    let cold = Candidate { unread: 12_600, ..OPEN };
    assert_eq!(best(&[cold, OPEN, previous]), Some(2), "the turn before ran there");
    assert_eq!(best(&[cold, OPEN]), Some(1), "the shared beginning is read there");
}

#[test]
fn leaves_crowd() {
    let crowded = Candidate { is_previous: true, load: 5, ..OPEN };
    assert_eq!(best(&[crowded, OPEN]), Some(1), "reading again costs less than the crowd");
    let full = Candidate { is_previous: true, load: 10, ..OPEN };
    assert_eq!(best(&[full]), None);
}

#[test]
fn avoids_suspects() {
    let suspect = Candidate { is_previous: true, is_suspect: true, ..OPEN };
    let slow = Candidate { delay_ms: 500.0, ..OPEN };
    assert_eq!(best(&[suspect, slow]), Some(1));
    assert_eq!(best(&[suspect]), Some(0), "a suspect is better than none");
}

#[test]
fn leaves_slow() {
    let slow = Candidate { is_previous: true, delay_ms: 200.0, ..OPEN };
    assert_eq!(best(&[slow, OPEN]), Some(1));
}

/// Bytes between data centres are priced: a far replica only takes what the
/// near ones are too crowded for.
#[test]
fn stays_near() {
    let far = Candidate { is_far: true, ..OPEN };
    assert_eq!(best(&[far, Candidate { load: 1, ..OPEN }]), Some(1));
    assert_eq!(best(&[far, Candidate { load: 3, ..OPEN }]), Some(0));
}

/// A long chain is worth the way to the replica that has read it.
#[test]
fn long_chains_return() {
    let previous = Candidate { is_previous: true, is_far: true, ..OPEN };
    let choose = |history| choose(&[OPEN, previous], history, &ChoiceSettings::default(), || 0.0);
    assert_eq!((choose(1_000), choose(40_000)), (Some(0), Some(1)));
}
