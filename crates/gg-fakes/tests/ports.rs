//! Ports of fleets that start concurrently in one process.

use std::{
    net::TcpListener,
    process::Command,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
};

use gg_fakes::{free_address, start_process};

/// Guards against returning a port that is still occupied: while one thread probes
/// ports, others start processes, which hold copies of open sockets until they
/// execute their program.
#[test]
fn probed_ports_are_free() {
    let is_over = Arc::new(AtomicBool::new(false));
    let starters: Vec<_> = (0..4)
        .map(|_| {
            let is_over = is_over.clone();
            thread::spawn(move || {
                while !is_over.load(Ordering::Relaxed) {
                    let child = start_process(&mut Command::new("true"));
                    let _ = child.and_then(|mut child| child.wait());
                }
            })
        })
        .collect();
    let occupied: Vec<String> = (0..3_000)
        .map(|_| free_address())
        .filter(|address| TcpListener::bind(address).is_err())
        .collect();
    is_over.store(true, Ordering::Relaxed);
    starters.into_iter().for_each(|thread| thread.join().expect("thread panicked"));
    assert!(occupied.is_empty(), "occupied: {occupied:?}");
}
