//! When an announcement survives the loss of stores and of a data centre.

use std::{
    net::SocketAddrV4,
    time::Duration, //
};

use mimosausher_edge::Peers;

/// Own change that the copies are about.
const CHANGE: u64 = 7;

fn address(number: u8) -> SocketAddrV4 {
    SocketAddrV4::new([10, 0, 0, number].into(), 7600)
}

/// A store of data centre `a` that knows others, each with its data centre and whether it has a copy.
fn peers(others: &[(Option<&str>, bool)]) -> Peers {
    let mut peers = Peers::new(address(0));
    for (number, (centre, copied)) in (1..).zip(others) {
        let address = address(number);
        peers.learn(Duration::ZERO, address);
        if let Some(centre) = centre {
            peers.called(address, (*centre).into());
        }
        let peer = peers.get_mut(address).unwrap();
        peer.receipt = if *copied { CHANGE } else { CHANGE - 1 };
    }
    peers
}

#[test]
fn copied_too_few() {
    let peers = peers(&[(Some("b"), true), (Some("c"), false)]);
    assert!(peers.copied(CHANGE, 1, "a"));
    assert!(!peers.copied(CHANGE, 2, "a"));
}

/// Two stores a data centre: a copy at the neighbour is lost with it.
#[test]
fn copied_own_centre_alone() {
    let near = [(Some("a"), true), (Some("b"), false), (None, false)];
    assert!(!peers(&near).copied(CHANGE, 1, "a"));
    let far = [(Some("a"), true), (Some("b"), true), (None, false)];
    assert!(peers(&far).copied(CHANGE, 1, "a"));
}

/// All stores stand in one data centre: there is no better copy.
#[test]
fn copied_one_centre() {
    let peers = peers(&[(Some("a"), true), (Some("a"), false)]);
    assert!(peers.copied(CHANGE, 1, "a"));
}

#[test]
fn copied_nothing_to_lose() {
    assert!(peers(&[(Some("b"), false)]).copied(CHANGE, 0, "a"));
}
