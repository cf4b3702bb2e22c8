//! The registry: order of records, delayed announcements, reused addresses and silence.

use std::time::Duration;

use mimosausher_announcements::{
    Announcement,
    Record,
    Registry,
    State,
    TOMBSTONE_RETENTION, //
};
use rand::{
    Rng as _,
    SeedableRng as _,
    seq::SliceRandom as _, //
};
use rand_chacha::ChaCha8Rng;

const TIMEOUT: Duration = Duration::from_secs(3);

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn announcement(name: &str, incarnation: u64, sequence: u64) -> Announcement {
    Announcement {
        address: "10.0.0.1:80".parse().unwrap(),
        centre: "a".into(),
        incarnation,
        name: name.into(),
        sequence,
        service: "s".into(),
        slots: 2,
        state: State::Ready,
        warmup: 0,
    }
}

fn draining(name: &str, incarnation: u64, sequence: u64) -> Announcement {
    Announcement {
        state: State::Draining,
        ..announcement(name, incarnation, sequence)
    }
}

fn record(announcement: Announcement, departed: bool) -> Record {
    Record {
        age: 0,
        announcement,
        departed,
        silent: false,
    }
}

#[test]
fn announce_earlier_sequence() {
    let mut registry = Registry::new(TIMEOUT);
    assert!(registry.announce(at(1), draining("a", 5, 9)));
    assert!(!registry.announce(at(2), announcement("a", 5, 8)));
    assert_eq!(
        registry.get("a").unwrap().announcement.state,
        State::Draining
    );
}

#[test]
fn announce_new_incarnation() {
    let mut registry = Registry::new(TIMEOUT);
    registry.announce(at(1), announcement("a", 5, 900));
    registry.depart(at(2), "a", Some(5)).unwrap();
    assert!(registry.announce(at(3), announcement("a", 6, 1)));
    assert!(!registry.get("a").unwrap().departed);
    assert!(!registry.announce(at(4), announcement("a", 5, 901)));
    assert_eq!(registry.get("a").unwrap().announcement.incarnation, 6);
}

#[test]
fn announce_after_departure() {
    let mut registry = Registry::new(TIMEOUT);
    registry.announce(at(1), announcement("a", 5, 1));
    registry.depart(at(2), "a", None).unwrap();
    assert!(!registry.announce(at(3), announcement("a", 5, 7)));
    assert!(registry.get("a").unwrap().departed);
}

#[test]
fn depart_earlier_incarnation() {
    let mut registry = Registry::new(TIMEOUT);
    registry.announce(at(1), announcement("a", 6, 1));
    assert_eq!(registry.depart(at(2), "a", Some(5)), None);
    assert!(!registry.get("a").unwrap().departed);
}

#[test]
fn announce_reused_address() {
    let mut registry = Registry::new(TIMEOUT);
    registry.announce(at(1), announcement("a", 5, 1));
    registry.announce(at(9), announcement("b", 8, 1));
    assert!(registry.get("a").unwrap().departed);
    // An announcement of the crashed endpoint, delayed by a network partition.
    registry.announce(at(10), announcement("a", 5, 2));
    assert!(registry.get("a").unwrap().departed);
    assert!(!registry.get("b").unwrap().departed);
}

#[test]
fn merge_delayed_record_of_unknown_endpoint() {
    let mut registry = Registry::new(TIMEOUT);
    registry.announce(at(9), announcement("b", 8, 1));
    registry.merge(at(10), record(announcement("a", 5, 2), false));
    assert!(registry.get("a").unwrap().departed);
    assert!(!registry.get("b").unwrap().departed);
}

#[test]
fn tick_silent_endpoint() {
    let mut registry = Registry::new(TIMEOUT);
    registry.announce(at(1), announcement("a", 5, 1));
    let seen = registry.last_change();
    registry.tick(at(5));
    assert!(registry.get("a").unwrap().silent);
    assert_eq!(registry.changed_since(at(5), seen).len(), 1);
    assert!(registry.updated_since(at(5), seen).is_empty());
    registry.merge(at(6), record(announcement("a", 5, 2), false));
    assert!(!registry.get("a").unwrap().silent);
}

#[test]
fn merge_old_record() {
    let mut registry = Registry::new(TIMEOUT);
    let mut old = record(announcement("a", 5, 4), false);
    old.age = 9_000;
    registry.merge(at(20), old);
    assert!(registry.get("a").unwrap().silent);
}

#[test]
fn updated_since_merged_renewal() {
    let mut registry = Registry::new(TIMEOUT);
    registry.merge(at(1), record(announcement("a", 5, 1), false));
    let seen = registry.last_change();
    registry.merge(at(2), record(announcement("a", 5, 2), false));
    assert!(registry.updated_since(at(2), seen).is_empty());
    registry.merge(at(3), record(draining("a", 5, 3), false));
    assert_eq!(registry.updated_since(at(3), seen).len(), 1);
}

#[test]
fn tick_old_departure() {
    let mut registry = Registry::new(TIMEOUT);
    registry.announce(at(1), announcement("a", 5, 1));
    registry.depart(at(2), "a", None).unwrap();
    registry.tick(at(2) + TOMBSTONE_RETENTION);
    assert!(registry.get("a").is_some());
    registry.tick(at(3) + TOMBSTONE_RETENTION);
    assert!(registry.get("a").is_none());
}

/// Two stores that receive the same records in different orders converge to the same state.
#[test]
fn merge_any_order() {
    for seed in 0..500 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut records: Vec<_> = (0..24)
            .map(|_| {
                let name = ["a", "b", "c"][random.random_range(0..3)];
                let number = random.random_range(1..4);
                // Each incarnation has one name and one address.
                let incarnation = number * 10 + u64::from(name.as_bytes()[0] - b'a');
                let mut own = announcement(name, incarnation, random.random_range(1..6));
                if own.sequence > 3 {
                    own.state = State::Draining;
                }
                own.address = format!("10.0.0.{}:80", incarnation % 2).parse().unwrap();
                record(own, random.random_range(0..8) == 0)
            })
            .collect();
        let mut stores = [Registry::new(TIMEOUT), Registry::new(TIMEOUT)];
        for store in &mut stores {
            records.shuffle(&mut random);
            for record in &records {
                store.merge(at(1), record.clone());
            }
        }
        // The stores exchange their records, as they do after a network partition.
        for _ in 0..3 {
            let [one, two] = &mut stores;
            for record in one.updated_since(at(1), 0) {
                two.merge(at(1), record);
            }
            for record in two.updated_since(at(1), 0) {
                one.merge(at(1), record);
            }
        }
        let states = stores.each_ref().map(|store| {
            let known = store.iter();
            known
                .map(|known| (known.announcement.clone(), known.departed))
                .collect::<Vec<_>>()
        });
        assert_eq!(states[0], states[1], "seed {seed}");
    }
}
