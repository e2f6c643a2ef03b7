//! What connection attempts show about the paths to replicas.

use std::time::{Duration, Instant};

use gg_gateway::{ConnectFailure, Path, PathChange, Reachability};
use gg_protocol::Name;
use proptest::{collection::vec, prelude::*};

const REPLICAS: usize = 5;

fn name(index: usize) -> Name {
    format!("r-{index}").as_str().into()
}

/// Direct attempts to these replicas fail while tunnels reach them.
fn lose(reach: &mut Reachability, replicas: impl IntoIterator<Item = usize>, now: Instant) {
    for replica in replicas {
        reach.record_failed(&name(replica), ConnectFailure::Silent);
        reach.record_tunnel(&name(replica), REPLICAS, now);
    }
}

#[test]
fn crashed_replica_stays_direct() {
    let now = Instant::now();
    let mut reach = Reachability::default();
    reach.record_failed(&name(0), ConnectFailure::Refused);
    assert!(reach.may_tunnel("r-0", now));
    assert!(!reach.record_tunnel_failed(&name(0), true, REPLICAS, now));
    assert_eq!(reach.path("r-0"), Path::Direct);
    assert!(!reach.may_tunnel("r-0", now), "others have just failed as well");
    assert!(reach.may_tunnel("r-0", now + Duration::from_secs(2)));
}

#[test]
fn lost_path_takes_tunnel() {
    let now = Instant::now();
    let mut reach = Reachability::default();
    reach.record_failed(&name(0), ConnectFailure::Silent);
    let change = reach.record_tunnel(&name(0), REPLICAS, now);
    assert_eq!(change, Some(PathChange::Lost(ConnectFailure::Silent)));
    assert_eq!((reach.path("r-0"), reach.path("r-1")), (Path::Tunnel, Path::Direct));
    assert_eq!(reach.record_connected("r-0", now), Some(PathChange::Regained));
    assert_eq!(reach.path("r-0"), Path::Direct);
}

#[test]
fn three_lost_paths_cut_off() {
    let now = Instant::now();
    let mut reach = Reachability::default();
    lose(&mut reach, [0, 1], now);
    assert!(reach.is_doubtful() && !reach.is_cut_off());
    lose(&mut reach, [2], now);
    assert!(reach.is_cut_off());
    assert_eq!(reach.path("r-4"), Path::Tunnel, "without an attempt of its own");
    let later = now + Duration::from_secs(3);
    let change = reach.record_connected("r-4", later);
    assert_eq!(change, Some(PathChange::Reconnected { after: later - now }));
    assert!((0..REPLICAS).all(|replica| reach.path(&name(replica)) == Path::Direct));
}

#[test]
fn reached_replica_ends_doubt() {
    let now = Instant::now();
    let mut reach = Reachability::default();
    lose(&mut reach, [0, 1], now);
    reach.record_connected("r-3", now);
    assert!(!reach.is_doubtful());
    lose(&mut reach, [2], now);
    assert!(!reach.is_cut_off(), "only some replicas are lost");
}

#[test]
fn unreached_replicas_isolate() {
    let now = Instant::now();
    let mut reach = Reachability::default();
    let became: Vec<bool> = (0..4)
        .map(|replica| {
            reach.record_failed(&name(replica), ConnectFailure::Silent);
            reach.record_tunnel_failed(&name(replica), false, REPLICAS, now)
        })
        .collect();
    assert_eq!(became, [false, false, true, false]);
    reach.record_tunnel(&name(0), REPLICAS, now);
    assert!(!reach.is_isolated());
}

/// Replicas that are down don't make a gateway believe that it is cut off.
#[test]
fn crashed_replicas_cut_nothing_off() {
    let now = Instant::now();
    let mut reach = Reachability::default();
    for replica in 0..REPLICAS {
        reach.record_failed(&name(replica), ConnectFailure::Refused);
        reach.record_tunnel_failed(&name(replica), true, REPLICAS, now);
    }
    assert!(!reach.is_doubtful() && !reach.is_cut_off() && !reach.is_isolated());
}

proptest! {
    /// However attempts ended before, one direct success and a second without
    /// failures lead all connections back to direct paths.
    #[test]
    fn direct_paths_return(steps in vec((0..4_u8, 0..REPLICAS), 0..60)) {
        let now = Instant::now();
        let mut reach = Reachability::default();
        for (step, replica) in steps {
            let replica = name(replica);
            match step {
                0 => reach.record_failed(&replica, ConnectFailure::Silent),
                1 => {
                    reach.record_tunnel(&replica, REPLICAS, now);
                }
                2 => {
                    reach.record_tunnel_failed(&replica, false, REPLICAS, now);
                }
                _ => {
                    reach.record_connected(&replica, now);
                }
            }
        }
        let lost: Vec<Name> = reach.lost().cloned().collect();
        reach.record_connected("r-0", now);
        prop_assert!(!reach.is_cut_off() && !reach.is_isolated() && !reach.is_doubtful());
        for replica in &lost {
            reach.record_connected(replica, now);
        }
        prop_assert!((0..REPLICAS).all(|replica| reach.path(&name(replica)) == Path::Direct));
    }
}
