//! Cost of crash facts while there are many, in bytes that are allocated.

use std::{
    alloc::{GlobalAlloc, Layout, System},
    sync::atomic::{AtomicUsize, Ordering::Relaxed},
    time::{Duration, Instant},
};

use gg_ledger::{CrashFact, CrashFacts, RequestFingerprint};

/// Replicas that crash, and requests that run on each of them.
const STARTS: u64 = 1_000;
const REQUESTS: u64 = 8;

/// Bytes that may be allocated for a fact; none of it depends on the number of facts.
const FACT_ALLOCATED_MAX: usize = 4 << 10;

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

/// Bytes allocated so far, freed ones included.
static ALLOCATED: AtomicUsize = AtomicUsize::new(0);

struct CountingAllocator;

// SAFETY: all calls are passed on to the system's allocator.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATED.fetch_add(layout.size(), Relaxed);
        // SAFETY: the caller keeps to the contract of this trait.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, memory: *mut u8, layout: Layout) {
        // SAFETY: the caller keeps to the contract of this trait.
        unsafe { System.dealloc(memory, layout) }
    }
}

/// After a loss of many replicas, each request that ran on them completes elsewhere.
#[test]
fn requests_complete_after_a_loss() {
    let now = Instant::now();
    let start = |number| format!("r/{number}").as_str().into();
    let fingerprint = |start, request| RequestFingerprint { head: 1, body: start, caller: request };
    let mut crashes = CrashFacts::default();
    for number in 0..STARTS {
        for request in 0..REQUESTS {
            let fingerprint = fingerprint(number, request);
            let crashed = CrashFact::Crashed { fingerprint, start: start(number) };
            assert!(crashes.learn(&crashed, Duration::ZERO, now));
        }
    }
    let before = ALLOCATED.load(Relaxed);
    for number in 0..100 {
        let completed = CrashFact::Completed { fingerprint: fingerprint(number, 0) };
        assert!(crashes.learn(&completed, Duration::ZERO, now));
    }
    let fact = (ALLOCATED.load(Relaxed) - before) / 100;
    assert!(fact <= FACT_ALLOCATED_MAX, "{fact} bytes allocated for a fact");
}
