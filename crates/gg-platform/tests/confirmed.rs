//! Age of copies over several hops.

use std::time::{Duration, Instant};

use gg_platform::Confirmed;

const MS: Duration = Duration::from_millis(1);

#[test]
fn ages_add_up() {
    let start = Instant::now();
    let direct = Confirmed::at(start);
    // The peer's reply, whose age was taken at 700 ms, answers a request of 600 ms.
    let age = direct.age(start + 700 * MS);
    let copied = Confirmed::from_peer(age, start + 600 * MS).expect("a confirmation");
    assert_eq!(copied.age(start + 900 * MS), 1_000 * MS, "never younger than the source");
    let age = copied.age(start + 900 * MS);
    let further = Confirmed::from_peer(age, start + 900 * MS).expect("a confirmation");
    assert_eq!(further.age(start + 950 * MS), 1_050 * MS);
}

#[test]
fn later_one_counts() {
    let start = Instant::now();
    let (old, new) = (Confirmed::at(start), Confirmed::at(start + MS));
    assert_eq!(old.max(new), new);
    assert_eq!(new.max(old), new);
    assert_eq!(None.max(Some(old)), Some(old));
    assert_eq!(new.age(start), Duration::ZERO, "a later confirmation has no negative age");
}
