//! Virtual time and the queue of events, which are processed in time order.

use std::{cmp::Reverse, collections::BinaryHeap};

/// Virtual time in microseconds since the start of the run.
pub(crate) type Micros = u64;

/// Converts milliseconds to virtual time.
pub(crate) fn micros(ms: f64) -> Micros {
    (ms * 1e3).max(0.0) as Micros
}

/// Pending events in time order; events at the same time keep the order in which
/// they were added.
#[derive(Debug)]
pub(crate) struct EventQueue<E> {
    order: BinaryHeap<Reverse<(Micros, u64)>>,
    payloads: std::collections::HashMap<u64, E>,
    next_number: u64,
}

impl<E> EventQueue<E> {
    pub(crate) fn new() -> Self {
        EventQueue {
            order: BinaryHeap::new(),
            payloads: std::collections::HashMap::new(),
            next_number: 0,
        }
    }

    pub(crate) fn add(&mut self, at: Micros, event: E) {
        self.order.push(Reverse((at, self.next_number)));
        self.payloads.insert(self.next_number, event);
        self.next_number += 1;
    }

    pub(crate) fn pop(&mut self) -> Option<(Micros, E)> {
        let Reverse((at, number)) = self.order.pop()?;
        self.payloads.remove(&number).map(|event| (at, event))
    }
}
