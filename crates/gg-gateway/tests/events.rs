//! Events of a stream, and the memory budget for buffered responses.

use gg_gateway::{BufferBudget, EventCount, EventSplitter, Repeated};
use proptest::prelude::*;

fn complete_events(stream: &str) -> u32 {
    stream.as_bytes().windows(2).filter(|pair| pair == b"\n\n").count() as u32
}

proptest! {
    /// Pieces of any size give the same count as the whole stream.
    #[test]
    fn count_ignores_chunking(stream in "([a-z\n]{0,6}\n{0,2}){0,20}", size in 1..9_usize) {
        let mut count = EventCount::default();
        stream.as_bytes().chunks(size).for_each(|piece| count.add(piece));
        prop_assert_eq!(count.complete(), complete_events(&stream));
        let open = stream.rfind("\n\n").map_or(stream.len(), |end| stream.len() - end - 2);
        prop_assert_eq!(count.partial_bytes(), open);
    }

    /// Pieces of any size are split at the same place as the whole stream.
    #[test]
    fn split_ignores_chunking(stream in "([a-z\n]{0,6}\n{0,2}){0,20}", size in 1..9_usize) {
        let mut splitter = EventSplitter::default();
        let mut relayed = Vec::new();
        for piece in stream.as_bytes().chunks(size) {
            relayed.extend_from_slice(&splitter.push(piece).expect("no ids"));
        }
        let end = stream.rfind("\n\n").map_or(0, |end| end + 2);
        prop_assert_eq!(relayed, &stream.as_bytes()[..end]);
        prop_assert_eq!(splitter.partial_bytes(), stream.len() - end);
    }
}

#[test]
fn dropped_reservation_is_released() {
    let budget = BufferBudget::default();
    let mut reservations: Vec<_> = (0..30).map(|_| budget.reservation()).collect();
    let fitting = reservations
        .iter_mut()
        .filter_map(|reservation| reservation.grow(1 << 20).then_some(()))
        .count();
    assert_eq!(fitting, 16);
    assert_eq!(reservations[0].reserved(), 1 << 20);
    drop(reservations);
    assert_eq!(budget.bytes(), 0);
    assert!(budget.reservation().grow(1 << 20));
}

#[test]
fn repeated_event_is_rejected() {
    let mut splitter = EventSplitter::default();
    splitter.push(b"id: 7\ndata: a\n\nid: 8\nda").expect("new events");
    assert_eq!(splitter.last_id(), Some("7"));
    assert!(splitter.has_partial());
    splitter.drop_partial();
    splitter.push(b"id: 8\ndata: b\n\n").expect("a new event");
    assert_eq!((splitter.last_id(), splitter.has_partial()), (Some("8"), false));
    assert_eq!(splitter.push(b"id: 8\ndata: b\n\n"), Err(Repeated::Event(8)));
}
