//! Calls of a store that has started to the entries that it knew.

use std::{
    net::SocketAddrV4,
    time::Duration, //
};

use mimosausher_edge::{
    Beacons,
    KnownEntries, //
};

fn entry(number: u8) -> SocketAddrV4 {
    SocketAddrV4::new([10, 0, 1, number].into(), 7720)
}

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Two hundred entries that are down: each is called ten times a second, for a few seconds.
#[test]
fn due_entries_that_are_down() {
    let mut beacons = Beacons::new(at(0), (0..200).map(entry));
    let (mut calls, mut last) = (0, at(0));
    while let Some(next) = beacons.next_at() {
        assert!(next >= last);
        last = next;
        calls += beacons.due(next).len();
    }
    assert!(last < at(3_000));
    assert_eq!(calls, 200 * 30);
}

/// An entry that has answered is not called again, and the calls end with the last answer.
#[test]
fn record_answer_all_entries() {
    let mut beacons = Beacons::new(at(0), [entry(1), entry(2)]);
    assert_eq!(beacons.due(at(0)), [entry(1), entry(2)]);
    assert_eq!(beacons.due(at(50)), []);
    beacons.record_answer(entry(1));
    assert_eq!(beacons.due(at(100)), [entry(2)]);
    beacons.record_answer(entry(2));
    assert_eq!(beacons.next_at(), None);
}

#[test]
fn next_at_first_start() {
    assert_eq!(Beacons::new(at(0), []).next_at(), None);
}

/// An entry is known through its own connection or another store, survives a short absence, and is
/// forgotten after a long one.
#[test]
fn tick_entry_that_left() {
    let mut known = KnownEntries::new(at(0), [entry(1)]);
    known.add_follower(at(0), entry(2));
    known.record(at(0), [entry(3)]);
    assert_eq!(known.all().len(), 3);
    for second in 0..50 {
        known.tick(at(second * 1_000));
        known.record(at(second * 1_000), [entry(3)]);
    }
    assert_eq!(known.all().len(), 3);
    known.tick(at(61_000));
    assert_eq!(
        known.all().into_iter().collect::<Vec<_>>(),
        [entry(2), entry(3)]
    );
    known.remove_follower(at(61_000), entry(2));
    known.tick(at(122_000));
    assert!(known.all().is_empty());
}

/// An entry connects twice to one store, and one connection ends.
#[test]
fn remove_follower_one_of_two_connections() {
    let mut known = KnownEntries::default();
    known.add_follower(at(0), entry(1));
    known.add_follower(at(1), entry(1));
    known.remove_follower(at(2), entry(1));
    assert_eq!(known.followers().len(), 1);
    known.remove_follower(at(3), entry(1));
    known.remove_follower(at(4), entry(1));
    assert!(known.followers().is_empty());
}
