//! Time in which the machine was suspended.

use std::time::{Duration, Instant};

use gg_protocol::{clock::BootTime, suspension::Suspensions};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Clocks that both advance, and of which one stops during suspensions.
struct Clocks {
    now: Instant,
    boot: BootTime,
}

impl Clocks {
    fn run(&mut self, time: Duration) -> Instant {
        self.now += time;
        self.boot = self.boot.after(time);
        self.now
    }

    fn suspend(&mut self, time: Duration) {
        self.boot = self.boot.after(time);
    }
}

#[test]
fn suspensions_are_found() {
    let mut clocks = Clocks { now: Instant::now(), boot: BootTime::now() };
    let mut suspensions = Suspensions::new(clocks.now, clocks.boot);
    let start = clocks.now;
    let before = clocks.run(ms(1_000));
    clocks.suspend(ms(5_000));
    clocks.run(ms(10));
    suspensions.observe(clocks.now, clocks.boot);
    let after = clocks.run(ms(10));
    assert_eq!((suspensions.since(before), suspensions.since(after)), (ms(5_000), ms(0)));
    clocks.suspend(ms(300));
    clocks.run(ms(10));
    suspensions.observe(clocks.now, clocks.boot);
    assert_eq!((suspensions.since(start), suspensions.since(after)), (ms(5_300), ms(300)));
}

/// Readings some microseconds apart, in either order, are no suspension.
#[test]
fn late_readings() {
    let mut clocks = Clocks { now: Instant::now(), boot: BootTime::now() };
    let mut suspensions = Suspensions::new(clocks.now, clocks.boot);
    let start = clocks.now;
    for _ in 0..1_000 {
        clocks.run(ms(100));
        suspensions.observe(clocks.now + ms(400), clocks.boot);
        suspensions.observe(clocks.now, clocks.boot.after(ms(5)));
    }
    assert_eq!(suspensions.since(start), ms(0));
}

/// However many there are, none is forgotten.
#[test]
fn many_suspensions() {
    let mut clocks = Clocks { now: Instant::now(), boot: BootTime::now() };
    let mut suspensions = Suspensions::new(clocks.now, clocks.boot);
    let start = clocks.now;
    for number in 1..100 {
        let before = clocks.run(ms(100));
        clocks.suspend(ms(50));
        clocks.run(ms(100));
        suspensions.observe(clocks.now, clocks.boot);
        assert_eq!(suspensions.since(before), ms(50));
        assert_eq!(suspensions.since(start), ms(50 * number));
    }
}
