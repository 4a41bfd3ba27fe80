//! Which peers a host that is cut off asks for tunnels.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by panicking")]

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use guavaspread_fleet::{HostLease, TunnelFailure, TunnelPeers};
use test_case::test_case;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n as u8], 7_000))
}

/// Returns one host for each zone given.
fn hosts(zones: &[&str]) -> Vec<HostLease> {
    let host = |(n, zone): (usize, &&str)| HostLease {
        holder: format!("front-{n}").into(),
        address: address(n),
        zone: (*zone).into(),
        link_mbps: 0,
        until_ms: 1,
        revision: 1,
        era: 0,
    };
    zones.iter().enumerate().map(host).collect()
}

fn names(candidates: &[HostLease]) -> Vec<&str> {
    candidates.iter().map(|host| &*host.holder).collect()
}

#[test]
fn the_own_zone_goes_first_and_the_host_itself_is_left_out() {
    let hosts = hosts(&["north", "south", "north", "south"]);
    let candidates = TunnelPeers::default().candidates("front-0", "north", &hosts, ms(0));
    assert_eq!(candidates.len(), 3);
    assert_eq!(&*candidates[0].holder, "front-2");
}

#[test]
fn a_peer_that_helped_goes_before_the_own_zone() {
    let hosts = hosts(&["north", "south", "north", "south"]);
    let mut peers = TunnelPeers::default();
    peers.on_opened(address(3), ms(100));
    let candidates = peers.candidates("front-0", "north", &hosts, ms(200));
    assert_eq!(names(&candidates)[..2], ["front-3", "front-2"]);
    // Its help is too long ago.
    let candidates = peers.candidates("front-0", "north", &hosts, ms(5_000));
    assert_eq!(&*candidates[0].holder, "front-2");
}

#[test_case(TunnelFailure::Refused, 900, 1_000; "refused")]
#[test_case(TunnelFailure::NoResponse, 1_900, 2_000; "no response")]
#[test_case(TunnelFailure::Closed, 9_900, 10_000; "closed by an older build")]
#[test_case(TunnelFailure::ServerUnreachable, 300, 400; "server unreachable")]
fn a_peer_that_failed_is_not_asked_for_a_while(failure: TunnelFailure, until: u64, from: u64) {
    let hosts = hosts(&["north", "north"]);
    let mut peers = TunnelPeers::default();
    peers.on_failed(address(1), failure, ms(0));
    assert!(peers.candidates("front-0", "north", &hosts, ms(until)).is_empty());
    assert_eq!(peers.candidates("front-0", "north", &hosts, ms(from)).len(), 1);
}

#[test]
fn a_server_out_of_reach_does_not_count_against_a_peer_that_helps() {
    let hosts = hosts(&["north", "north"]);
    let mut peers = TunnelPeers::default();
    peers.on_opened(address(1), ms(0));
    peers.on_failed(address(1), TunnelFailure::ServerUnreachable, ms(100));
    assert_eq!(peers.candidates("front-0", "north", &hosts, ms(200)).len(), 1);
}

/// Five of nine hosts are cut off; the other four share their load.
#[test]
fn helpers_share_the_load() {
    let hosts = hosts(&["a", "a", "a", "b", "b", "b", "c", "c", "c"]);
    let cut = [0, 1, 3, 4, 6];
    let mut tunnels: BTreeMap<usize, u32> = BTreeMap::new();
    for own in cut {
        let mut peers = TunnelPeers::default();
        for n in 0..400 {
            let now = ms(n * 25);
            let (holder, zone) = (&hosts[own].holder, &hosts[own].zone);
            let mut asked = peers.candidates(holder, zone, &hosts, now);
            asked.extend(peers.take_exploration(holder, zone, &hosts, now));
            let mut is_open = false;
            for peer in asked {
                let index = hosts.iter().position(|host| host.holder == peer.holder).unwrap();
                if cut.contains(&index) {
                    peers.on_failed(peer.address, TunnelFailure::Refused, now);
                } else if !is_open {
                    is_open = true;
                    peers.on_opened(peer.address, now);
                    *tunnels.entry(index).or_default() += 1;
                } else {
                    peers.on_opened(peer.address, now);
                }
            }
        }
    }
    let total: u32 = tunnels.values().sum();
    assert!(total >= 1_900, "{total} of 2000 tunnels opened: {tunnels:?}");
    let most = tunnels.values().max().unwrap();
    assert!(f64::from(*most) <= f64::from(total) * 0.6, "{tunnels:?}");
}

#[test]
fn a_host_without_help_is_helpless_only_after_a_while() {
    let mut peers = TunnelPeers::default();
    assert!(!peers.is_helpless(ms(10_000)));
    peers.on_failed(address(1), TunnelFailure::Refused, ms(10_000));
    assert!(!peers.is_helpless(ms(11_900)));
    assert!(peers.is_helpless(ms(12_000)));
    peers.on_opened(address(2), ms(12_100));
    assert!(!peers.is_helpless(ms(30_000)));
    peers.on_no_peer(ms(30_000));
    assert!(peers.is_helpless(ms(32_000)));
    peers.clear();
    assert!(!peers.is_helpless(ms(40_000)));
}

#[test]
fn exploration_asks_all_peers_in_turn_at_intervals() {
    let hosts = hosts(&["north", "south", "north", "south"]);
    let mut peers = TunnelPeers::default();
    let mut asked = Vec::new();
    for now in (0..1_500).step_by(50) {
        if let Some(peer) = peers.take_exploration("front-0", "north", &hosts, ms(now)) {
            peers.on_opened(peer.address, ms(now));
            asked.push(peer.holder.to_string());
        }
    }
    assert_eq!(asked.len(), 3);
    assert_eq!(asked[0], "front-2");
    asked.sort();
    asked.dedup();
    assert_eq!(asked.len(), 3, "{asked:?}");
}
