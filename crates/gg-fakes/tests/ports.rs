//! Ports of fleets that start side by side in one process.

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

/// While one thread tries ports, others start processes, which hold copies of
/// open sockets until their program runs.
#[test]
fn tried_ports_stay_free() {
    let is_over = Arc::new(AtomicBool::new(false));
    let starting: Vec<_> = (0..4)
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
    let taken: Vec<String> = (0..3_000)
        .map(|_| free_address())
        .filter(|address| TcpListener::bind(address).is_err())
        .collect();
    is_over.store(true, Ordering::Relaxed);
    starting.into_iter().for_each(|thread| thread.join().expect("a thread"));
    assert!(taken.is_empty(), "{taken:?}");
}
