//! The choice of the gateway through which a tunnel is opened.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use gg_gateway::TunnelPeers;
use gg_ledger::TunnelOffer;
use rand::{SeedableRng, rngs::StdRng};

fn offers(peers: &[(&str, &str)]) -> Vec<TunnelOffer> {
    let offer = |(index, (instance, centre)): (usize, &(&str, &str))| TunnelOffer {
        instance: (*instance).into(),
        centre: (*centre).into(),
        address: ([127, 0, 0, 1], 7000 + index as u16).into(),
    };
    peers.iter().enumerate().map(offer).collect()
}

#[test]
fn detours_are_avoided() {
    let (now, mut rng) = (Instant::now(), StdRng::seed_from_u64(1));
    let mut peers = TunnelPeers::default();
    peers.update(offers(&[("far", "c"), ("near", "b")]), now);
    for _ in 0..50 {
        let peer = peers.choose(("a", "b"), &[], now, &mut rng).expect("a peer");
        assert_eq!(&*peer.instance, "near");
    }
    let tried = ["near".into()];
    let peer = peers.choose(("a", "b"), &tried, now, &mut rng).expect("a peer");
    assert_eq!(&*peer.instance, "far");
}

#[test]
fn failed_peer_rests() {
    let (now, mut rng) = (Instant::now(), StdRng::seed_from_u64(2));
    let mut peers = TunnelPeers::default();
    peers.update(offers(&[("p", "a")]), now);
    peers.record_failed("p", now);
    assert_eq!(peers.choose(("a", "a"), &[], now, &mut rng), None);
    // It is listed again, which says nothing about this gateway's way to it.
    peers.update(offers(&[("p", "a")]), now);
    assert_eq!(peers.choose(("a", "a"), &[], now, &mut rng), None);
    let later = now + Duration::from_secs(2);
    assert!(peers.choose(("a", "a"), &[], later, &mut rng).is_some());
}

/// Six of nine gateways are cut off: each knows the three others only by what
/// they reply, and none of these carries much more than its part.
#[test]
fn cut_gateways_share_peers() {
    const TUNNELS: u32 = 600;
    let (now, mut rng) = (Instant::now(), StdRng::seed_from_u64(3));
    let centres = ["a", "b", "c"];
    let mut origins: Vec<TunnelPeers> = vec![TunnelPeers::default(); 6];
    for peers in &mut origins {
        peers.update(offers(&[("p-a", "a"), ("p-b", "b"), ("p-c", "c")]), now);
    }
    let mut carried: HashMap<String, u32> = HashMap::new();
    for tunnel in 0..TUNNELS {
        let index = tunnel as usize % origins.len();
        let (from, to) = (centres[index % 3], centres[tunnel as usize / 7 % 3]);
        let peer = origins[index].choose((from, to), &[], now, &mut rng).expect("a peer");
        let count = carried.entry(peer.instance.to_string()).or_default();
        *count += 1;
        origins[index].record_opened(&peer.instance, *count);
    }
    let most = carried.values().max().copied().unwrap_or_default();
    assert!(most <= TUNNELS / 3 * 3 / 2, "{carried:?}");
}
