//! When an announcement survives the loss of stores and of a data centre.

use std::{
    net::SocketAddrV4,
    time::Duration, //
};

use mimosausher_edge::{
    Peers,
    Protocol, //
};

/// Number of this store's change that is replicated.
const CHANGE: u64 = 7;

fn address(number: u8) -> SocketAddrV4 {
    SocketAddrV4::new([10, 0, 0, number].into(), 7600)
}

/// The peers of a store in data centre `a`, each with its data centre and whether it has a copy.
fn peers(others: &[(Option<&str>, bool)]) -> Peers {
    let mut peers = Peers::new(address(0));
    for (number, (centre, copied)) in (1..).zip(others) {
        let address = address(number);
        peers.add(Duration::ZERO, address);
        if let Some(centre) = centre {
            peers.record_accepted(address, (*centre).into(), Protocol::CURRENT);
        }
        let peer = peers.get_mut(address).unwrap();
        peer.acknowledged = if *copied { CHANGE } else { CHANGE - 1 };
    }
    peers
}

#[test]
fn replicated_too_few() {
    let peers = peers(&[(Some("b"), true), (Some("c"), false)]);
    assert!(peers.replicated(CHANGE, 1, "a"));
    assert!(!peers.replicated(CHANGE, 2, "a"));
}

/// Two stores in each data centre: a copy in the same data centre is lost with it.
#[test]
fn replicated_same_centre_only() {
    let same_centre = [(Some("a"), true), (Some("b"), false), (None, false)];
    assert!(!peers(&same_centre).replicated(CHANGE, 1, "a"));
    let two_centres = [(Some("a"), true), (Some("b"), true), (None, false)];
    assert!(peers(&two_centres).replicated(CHANGE, 1, "a"));
}

/// All stores are in one data centre, so a copy elsewhere is impossible.
#[test]
fn replicated_one_centre() {
    let peers = peers(&[(Some("a"), true), (Some("a"), false)]);
    assert!(peers.replicated(CHANGE, 1, "a"));
}

#[test]
fn replicated_no_losses() {
    assert!(peers(&[(Some("b"), false)]).replicated(CHANGE, 0, "a"));
}
