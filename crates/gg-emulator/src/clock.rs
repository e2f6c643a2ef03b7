//! Virtual time: events in the order of their moments.

use std::{cmp::Reverse, collections::BinaryHeap};

/// Virtual microseconds since the start.
pub(crate) type Micros = u64;

/// Milliseconds as virtual time.
pub(crate) fn micros(ms: f64) -> Micros {
    (ms * 1e3).max(0.0) as Micros
}

/// Events to come; those of one moment in the order in which they were added.
#[derive(Debug)]
pub(crate) struct Agenda<E> {
    events: BinaryHeap<Reverse<(Micros, u64)>>,
    bodies: std::collections::HashMap<u64, E>,
    next: u64,
}

impl<E> Agenda<E> {
    pub(crate) fn new() -> Self {
        Agenda { events: BinaryHeap::new(), bodies: std::collections::HashMap::new(), next: 0 }
    }

    pub(crate) fn add(&mut self, at: Micros, event: E) {
        self.events.push(Reverse((at, self.next)));
        self.bodies.insert(self.next, event);
        self.next += 1;
    }

    pub(crate) fn pop(&mut self) -> Option<(Micros, E)> {
        let Reverse((at, number)) = self.events.pop()?;
        self.bodies.remove(&number).map(|event| (at, event))
    }
}
