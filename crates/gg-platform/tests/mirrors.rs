//! What a mirror says of its copies.

use std::time::{Duration, Instant};

use bytes::Bytes;
use gg_platform::{
    Change, Confirmed, CopyAges, DirectoryUpdate, Entry, Kind, Mirror, MirrorUpdate, PlatformError,
};

const KIND: Kind = Kind::Upstreams;

/// Age from which on a copy is not called current.
const CURRENT_AGE: Duration = Duration::from_secs(2);

fn entry(name: &str, revision: u64) -> Entry {
    Entry { name: name.into(), revision, body: Bytes::new() }
}

fn mirror() -> Mirror {
    let ages = CopyAges { current: CURRENT_AGE, ..CopyAges::default() };
    let mut mirror = Mirror::new(&ages);
    mirror.apply(KIND, &DirectoryUpdate::Snapshot(5, vec![entry("a", 4)]));
    mirror
}

fn update(mirror: &Mirror, now: Instant) -> MirrorUpdate {
    mirror.updates(&[(KIND, 0)], now).remove(0)
}

#[test]
fn old_copy_is_not_current() {
    let (mut mirror, start) = (mirror(), Instant::now());
    let unconfirmed = update(&mirror, start);
    assert_eq!((unconfirmed.is_current, unconfirmed.age), (false, None));
    mirror.apply(KIND, &DirectoryUpdate::Confirmed(Confirmed::at(start)));
    let young = update(&mirror, start + CURRENT_AGE / 2);
    assert_eq!((young.is_current, young.age), (true, Some(CURRENT_AGE / 2)));
    // Changes that arrive confirm nothing by themselves.
    mirror.apply(KIND, &DirectoryUpdate::Changes(6, vec![Change::Put(entry("b", 6))]));
    let old = update(&mirror, start + CURRENT_AGE);
    assert_eq!((old.is_current, old.age), (false, Some(CURRENT_AGE)));
    assert_eq!(old.entries.map(|entries| entries.len()), Some(2));
    mirror.apply(KIND, &DirectoryUpdate::Confirmed(Confirmed::at(start + CURRENT_AGE)));
    mirror.apply(KIND, &DirectoryUpdate::Confirmed(Confirmed::at(start)));
    assert!(update(&mirror, start + CURRENT_AGE).is_current, "the later one counts");
}

/// A snapshot from another instance, which may be out of date itself, makes no
/// copy current.
#[test]
fn lost_directory() {
    let (mut mirror, start) = (mirror(), Instant::now());
    mirror.apply(KIND, &DirectoryUpdate::Confirmed(Confirmed::at(start)));
    let lost = || DirectoryUpdate::Lost(PlatformError::Unavailable("down".into()));
    mirror.apply(KIND, &lost());
    assert!(!update(&mirror, start).is_current);
    mirror.apply(KIND, &DirectoryUpdate::Snapshot(7, vec![entry("c", 7)]));
    let update = update(&mirror, start + CURRENT_AGE / 4);
    assert_eq!((update.is_current, update.age), (false, Some(CURRENT_AGE / 4)));
}
