//! Events of a stream and the memory that answers take.

use gg_gateway::{EventCount, Held, Repeated, WholeEvents};
use proptest::prelude::*;

fn whole(stream: &str) -> u32 {
    stream.as_bytes().windows(2).filter(|pair| pair == b"\n\n").count() as u32
}

proptest! {
    /// Pieces of any size count like the whole stream.
    #[test]
    fn pieces_count_alike(stream in "([a-z\n]{0,6}\n{0,2}){0,20}", size in 1..9_usize) {
        let mut count = EventCount::default();
        stream.as_bytes().chunks(size).for_each(|piece| count.take(piece));
        prop_assert_eq!(count.whole(), whole(&stream));
        let open = stream.rfind("\n\n").map_or(stream.len(), |end| stream.len() - end - 2);
        prop_assert_eq!(count.open_bytes(), open);
    }

    /// Pieces of any size are cut like the whole stream.
    #[test]
    fn cut_behind_events(stream in "([a-z\n]{0,6}\n{0,2}){0,20}", size in 1..9_usize) {
        let mut cut = WholeEvents::default();
        let mut passed = Vec::new();
        for piece in stream.as_bytes().chunks(size) {
            passed.extend_from_slice(&cut.take(piece).expect("no ids"));
        }
        let end = stream.rfind("\n\n").map_or(0, |end| end + 2);
        prop_assert_eq!(passed, &stream.as_bytes()[..end]);
        prop_assert_eq!(cut.open_bytes(), stream.len() - end);
    }
}

#[test]
fn room_is_given_back() {
    let held = Held::default();
    let mut rooms: Vec<_> = (0..30).map(|_| held.room()).collect();
    let fitting = rooms.iter_mut().filter_map(|room| room.take(1 << 20).then_some(())).count();
    assert_eq!(fitting, 16);
    assert_eq!(rooms[0].taken(), 1 << 20);
    drop(rooms);
    assert_eq!(held.bytes(), 0);
    assert!(held.room().take(1 << 20));
}

#[test]
fn last_event() {
    let mut cut = WholeEvents::default();
    cut.take(b"id: 7\ndata: a\n\nid: 8\nda").expect("new events");
    assert_eq!(cut.last(), Some("7"));
    assert!(cut.has_open());
    cut.drop_open();
    cut.take(b"id: 8\ndata: b\n\n").expect("a new event");
    assert_eq!((cut.last(), cut.has_open()), (Some("8"), false));
    assert_eq!(cut.take(b"id: 8\ndata: b\n\n"), Err(Repeated::Event(8)));
}
