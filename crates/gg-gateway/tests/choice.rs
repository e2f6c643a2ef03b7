//! Selection of the replica for a request.

use gg_gateway::{Candidate, Choice, ChoiceSettings, choose};

const AVAILABLE: Candidate = Candidate {
    load: 0,
    load_max: 10,
    is_remote: false,
    uncached_tokens: 0,
    is_non_affinity: false,
    is_previous: false,
    is_suspect: false,
    delay_ms: 0.0,
    permit_wait_ms: 0.0,
};

fn best(candidates: &[Candidate]) -> Option<usize> {
    choose(candidates, 20_000, &ChoiceSettings::default(), || 0.0).map(|choice| choice.index)
}

#[test]
fn prefers_cached_prefix() {
    let previous = Candidate { is_previous: true, ..AVAILABLE };
    let uncached = Candidate { uncached_tokens: 12_600, ..AVAILABLE };
    assert_eq!(best(&[uncached, AVAILABLE, previous]), Some(2), "it ran the previous turn");
    assert_eq!(best(&[uncached, AVAILABLE]), Some(1), "it has the shared prefix cached");
}

#[test]
fn avoids_loaded_replica() {
    let loaded = Candidate { is_previous: true, load: 5, ..AVAILABLE };
    assert_eq!(
        best(&[loaded, AVAILABLE]),
        Some(1),
        "processing the prompt again costs less than the load"
    );
    let full = Candidate { is_previous: true, load: 10, ..AVAILABLE };
    assert_eq!(best(&[full]), None);
}

#[test]
fn avoids_suspect_replica() {
    let suspect = Candidate { is_previous: true, is_suspect: true, ..AVAILABLE };
    let slow = Candidate { delay_ms: 500.0, ..AVAILABLE };
    assert_eq!(best(&[suspect, slow]), Some(1));
    assert_eq!(best(&[suspect]), Some(0), "a suspect replica is better than none");
}

#[test]
fn avoids_slow_replica() {
    let slow = Candidate { is_previous: true, delay_ms: 200.0, ..AVAILABLE };
    assert_eq!(best(&[slow, AVAILABLE]), Some(1));
}

/// Traffic between data centres is charged: a far replica only takes requests
/// for which the near ones are too loaded.
#[test]
fn prefers_near_replica() {
    let far = Candidate { is_remote: true, ..AVAILABLE };
    assert_eq!(best(&[far, Candidate { load: 1, ..AVAILABLE }]), Some(1));
    assert_eq!(best(&[far, Candidate { load: 3, ..AVAILABLE }]), Some(0));
}

/// For a long history, the replica that has processed it is worth the round
/// trip.
#[test]
fn long_history_outweighs_distance() {
    let previous = Candidate { is_previous: true, is_remote: true, ..AVAILABLE };
    let choose = |history| {
        choose(&[AVAILABLE, previous], history, &ChoiceSettings::default(), || 0.0)
            .map(|choice| choice.index)
    };
    assert_eq!((choose(1_000), choose(40_000)), (Some(0), Some(1)));
}

/// A warm replica is worth a wait for a permit, up to the cost of the next one.
#[test]
fn waits_for_permit_while_cheaper() {
    let settings = ChoiceSettings::default();
    let wait = |permit_wait_ms| {
        let warm = Candidate { is_previous: true, permit_wait_ms, ..AVAILABLE };
        choose(&[warm, AVAILABLE], 20_000, &settings, || 0.0).expect("a choice")
    };
    assert_eq!(wait(0.0), Choice { index: 0, wait_max_ms: 40.0 });
    assert_eq!(wait(30.0), Choice { index: 0, wait_max_ms: 40.0 });
    assert_eq!(wait(50.0).index, 1);
    let only = Candidate { permit_wait_ms: 900.0, ..AVAILABLE };
    let choice = choose(&[only], 0, &settings, || 0.0).expect("a choice");
    assert_eq!(choice, Choice { index: 0, wait_max_ms: f64::INFINITY });
}
