//! The registry: order of records, delayed announcements, reused addresses and silence.

use std::time::Duration;

use mimosausher_announcements::{
    Announcement,
    Cursor,
    Departure,
    Digest,
    Lack,
    Record,
    Registry,
    Renewal,
    State,
    StateChange,
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
    registry.depart(at(2), "a", Some(5));
    assert!(registry.announce(at(3), announcement("a", 6, 1)));
    assert!(!registry.get("a").unwrap().departed);
    assert!(!registry.announce(at(4), announcement("a", 5, 901)));
    assert_eq!(registry.get("a").unwrap().announcement.incarnation, 6);
}

/// Ticks four times a second, as a store does.
fn tick(registry: &mut Registry, from: Duration, to: Duration) {
    let mut now = from;
    while now <= to {
        registry.tick(now, true);
        now += Duration::from_millis(250);
    }
}

#[test]
fn announce_after_departure() {
    let mut registry = Registry::new(TIMEOUT);
    registry.announce(at(1), draining("a", 5, 1));
    let departure = registry.depart(at(2), "a", None);
    assert!(matches!(departure, Departure::Applied(_)));
    assert!(!registry.announce(at(3), announcement("a", 5, 7)));
    assert!(registry.get("a").unwrap().departed);
    assert_eq!(registry.depart(at(4), "a", None), departure, "sent again");
}

#[test]
fn depart_earlier_incarnation() {
    let mut registry = Registry::new(TIMEOUT);
    registry.announce(at(1), announcement("a", 6, 1));
    assert_eq!(registry.depart(at(2), "a", Some(5)), Departure::Outdated);
    assert!(!registry.get("a").unwrap().departed);
}

#[test]
fn depart_unknown_incarnation() {
    let mut registry = Registry::new(TIMEOUT);
    assert_eq!(registry.depart(at(1), "a", None), Departure::Unknown);
    registry.announce(at(1), announcement("a", 6, 1));
    assert_eq!(registry.depart(at(2), "a", Some(7)), Departure::Unknown);
    assert!(!registry.get("a").unwrap().departed);
}

/// The departure of an earlier incarnation, without its start time, arrives after the endpoint has
/// restarted. It ended the new incarnation for good.
#[test]
fn depart_late_after_restart() {
    let mut registry = Registry::new(TIMEOUT);
    registry.announce(at(1), draining("a", 5, 40));
    registry.announce(at(3), announcement("a", 6, 1));
    assert_eq!(registry.depart(at(4), "a", None), Departure::Unknown);
    assert!(!registry.get("a").unwrap().departed);
}

/// The same while the new incarnation drains, too.
#[test]
fn depart_late_while_draining_again() {
    let mut registry = Registry::new(TIMEOUT);
    registry.announce(at(1), draining("a", 5, 40));
    registry.announce(at(3), draining("a", 6, 1));
    tick(&mut registry, at(1), at(4));
    assert_eq!(registry.depart(at(4), "a", None), Departure::Awaited);
    for second in 5..12 {
        registry.announce(at(second), draining("a", 6, second));
        tick(&mut registry, at(second), at(second + 1));
        assert!(!registry.get("a").unwrap().departed);
    }
}

/// An endpoint that has restarted leaves, and does not say which incarnation of it.
#[test]
fn depart_after_restart() {
    let mut registry = Registry::new(TIMEOUT);
    registry.announce(at(1), draining("a", 5, 40));
    registry.announce(at(3), draining("a", 6, 1));
    tick(&mut registry, at(1), at(4));
    assert_eq!(registry.depart(at(4), "a", None), Departure::Awaited);
    tick(&mut registry, at(4), at(9));
    assert!(!registry.get("a").unwrap().departed);
    let seen = registry.last_change();
    tick(&mut registry, at(9), at(10));
    assert!(registry.get("a").unwrap().departed);
    assert_eq!(registry.updated_since(at(10), seen).len(), 1);
}

/// An endpoint that was taken for departed while it was out of reach announces itself again: a
/// departure was final for its incarnation, so that it got no new flows until it started again.
#[test]
fn announce_after_silence() {
    let (mut own, mut other) = (Registry::new(TIMEOUT), Registry::new(TIMEOUT));
    own.announce(at(1), draining("a", 5, 40));
    own.announce(at(3), draining("a", 6, 1));
    let mut cursor = told(&own);
    tick(&mut own, at(1), at(4));
    own.depart(at(4), "a", None);
    tick(&mut own, at(4), at(10));
    let mut follow = |own: &Registry, other: &mut Registry, now| {
        let page = own.updated_page(now, cursor, 9);
        cursor.advance(&page);
        for record in page.records {
            other.merge(now, record);
        }
    };
    follow(&own, &mut other, at(10));
    assert!(other.get("a").unwrap().departed);
    own.announce(at(11), draining("a", 6, 2));
    follow(&own, &mut other, at(11));
    for registry in [&own, &other] {
        let known = registry.get("a").unwrap();
        assert!(!known.departed && !known.silent);
    }
}

/// The same, where another store passes on that the endpoint runs.
#[test]
fn renew_after_silence() {
    let (mut own, mut other) = (Registry::new(TIMEOUT), Registry::new(TIMEOUT));
    for registry in [&mut own, &mut other] {
        registry.announce(at(1), draining("a", 5, 40));
        registry.announce(at(3), draining("a", 6, 1));
    }
    let known = told(&own);
    tick(&mut other, at(1), at(4));
    other.depart(at(4), "a", None);
    tick(&mut other, at(4), at(10));
    assert!(other.get("a").unwrap().departed);
    own.announce(at(11), draining("a", 6, 7));
    let renewal = own.updated_page(at(11), known, 9).renewals[0];
    let seen = other.last_change();
    assert!(other.renew(at(11), renewal));
    assert!(!other.get("a").unwrap().departed);
    assert_eq!(other.changed_since(at(11), seen).len(), 1);
}

/// A late departure of an endpoint that has not announced that it drains, from anyone.
#[test]
fn depart_ready_endpoint() {
    let mut registry = Registry::new(TIMEOUT);
    registry.announce(at(1), announcement("a", 5, 1));
    assert_eq!(registry.depart(at(2), "a", None), Departure::Unknown);
    assert!(!registry.get("a").unwrap().departed);
}

#[test]
fn announce_reused_address() {
    let mut registry = Registry::new(TIMEOUT);
    registry.announce(at(1), announcement("a", 5, 1));
    tick(&mut registry, at(1), at(9));
    registry.announce(at(9), announcement("b", 8, 1));
    tick(&mut registry, at(9), at(10));
    assert!(registry.get("a").unwrap().departed);
    // An announcement of the crashed endpoint, delayed by a network partition.
    registry.announce(at(10), announcement("a", 5, 2));
    for second in 10..20 {
        registry.announce(at(second), announcement("b", 8, second));
        tick(&mut registry, at(second), at(second + 1));
        assert!(registry.get("a").unwrap().silent, "gets no new flows");
        let owner = registry.get("b").unwrap();
        assert!(!owner.departed && !owner.silent);
    }
    assert!(registry.get("a").unwrap().departed);
}

#[test]
fn merge_delayed_record_of_unknown_endpoint() {
    let mut registry = Registry::new(TIMEOUT);
    registry.announce(at(9), announcement("b", 8, 1));
    registry.merge(at(10), record(announcement("a", 5, 2), false));
    assert!(registry.get("a").unwrap().silent, "gets no new flows");
    let owner = registry.get("b").unwrap();
    assert!(!owner.departed && !owner.silent);
}

/// An endpoint that has just crashed: its address is assigned to another one before it is silent.
#[test]
fn announce_reused_address_early() {
    let mut registry = Registry::new(TIMEOUT);
    registry.announce(at(4), announcement("a", 5, 1));
    registry.announce(at(6), announcement("b", 8, 1));
    tick(&mut registry, at(4), at(7));
    assert!(!registry.get("a").unwrap().departed);
    assert!(registry.get("b").unwrap().silent, "gets no new flows yet");
    registry.announce(at(7), announcement("b", 8, 2));
    let seen = registry.last_change();
    tick(&mut registry, at(7), at(8));
    assert!(!registry.get("a").unwrap().departed);
    assert!(registry.get("a").unwrap().silent);
    assert!(!registry.get("b").unwrap().silent);
    assert_eq!(registry.changed_since(at(8), seen).len(), 2);
    registry.announce(at(9), announcement("b", 8, 3));
    tick(&mut registry, at(8), at(11));
    assert!(registry.get("a").unwrap().departed);
}

/// Anyone announces the address of a live endpoint, with any start time: the endpoint was marked as
/// departed, for good.
#[test]
fn announce_address_of_live_endpoint() {
    for incarnation in [1, 5, 8, u64::MAX] {
        let mut registry = Registry::new(TIMEOUT);
        registry.announce(at(1), announcement("b", 5, 1));
        for second in 2..20 {
            registry.announce(at(second), announcement("b", 5, second));
            for name in ["a", "c"] {
                registry.announce(at(second), announcement(name, incarnation, second));
                assert!(registry.get(name).unwrap().silent, "gets no new flows");
            }
            tick(&mut registry, at(second), at(second + 1));
            let known = registry.get("b").unwrap();
            assert!(!known.departed && !known.silent);
        }
    }
}

/// The same, at a store that does not receive the endpoint's own announcements for a while, or that
/// was paused: their absence shows nothing.
#[test]
fn announce_address_of_endpoint_out_of_reach() {
    for connected in [false, true] {
        let mut registry = Registry::new(TIMEOUT);
        registry.announce(at(1), announcement("a", 5, 1));
        tick(&mut registry, at(1), at(2));
        if !connected {
            for second in 3..9 {
                registry.tick(at(second), false);
            }
        }
        registry.tick(at(9), connected);
        registry.announce(at(9), announcement("b", 8, 1));
        assert!(!registry.get("a").unwrap().departed);
        registry.announce(at(10), announcement("a", 5, 9));
        assert!(!registry.get("a").unwrap().silent);
    }
}

/// Two endpoints announce one address for a while: the one that remains gets it.
#[test]
fn announce_address_of_former_holder() {
    let mut registry = Registry::new(TIMEOUT);
    tick(&mut registry, at(0), at(1));
    registry.announce(at(1), announcement("b", 8, 1));
    registry.announce(at(1), announcement("a", 5, 1));
    assert!(registry.get("a").unwrap().silent);
    for second in 2..9 {
        tick(&mut registry, at(second), at(second + 1));
        registry.announce(at(second + 1), announcement("a", 5, second));
        let known = registry.get("a").unwrap();
        assert_eq!(known.silent, second < 4);
    }
    assert!(registry.get("b").unwrap().departed);
}

#[test]
fn tick_silent_endpoint() {
    let mut registry = Registry::new(TIMEOUT);
    registry.announce(at(1), announcement("a", 5, 1));
    let seen = registry.last_change();
    registry.tick(at(5), true);
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
    registry.depart(at(2), "a", Some(5));
    registry.tick(at(2) + TOMBSTONE_RETENTION, true);
    assert!(registry.get("a").is_some());
    registry.tick(at(3) + TOMBSTONE_RETENTION, true);
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

/// The cursor of a process that was told everything.
fn told(registry: &Registry) -> Cursor {
    let mut cursor = Cursor::default();
    cursor.advance(&registry.changed_page(at(0), cursor, usize::MAX, |_| Lack::Everything));
    cursor
}

/// Announcements of `count` endpoints, each at an address of its own.
fn many(count: u8) -> Vec<Announcement> {
    let numbers = 0..count;
    numbers
        .map(|number| Announcement {
            address: format!("10.0.0.{number}:80").parse().unwrap(),
            ..announcement(&format!("i-{number}"), 5, 1)
        })
        .collect()
}

/// Heartbeats travel to another store in a few bytes each, and it knows as much as by records.
#[test]
fn updated_page_heartbeats() {
    let (mut own, mut other) = (Registry::new(TIMEOUT), Registry::new(TIMEOUT));
    for announcement in many(100) {
        own.announce(at(1), announcement);
    }
    let mut cursor = Cursor::default();
    let first = own.updated_page(at(1), cursor, usize::MAX);
    cursor.advance(&first);
    assert_eq!((first.records.len(), first.renewals.len()), (100, 0));
    for record in first.records {
        other.merge(at(1), record);
    }
    for mut announcement in many(100) {
        announcement.sequence = 2;
        own.announce(at(3), announcement);
    }
    let second = own.updated_page(at(3), cursor, usize::MAX);
    assert_eq!((second.records.len(), second.renewals.len()), (0, 100));
    let bytes = postcard::to_stdvec(&second.renewals).unwrap().len();
    assert!(bytes <= 100 * 16, "{bytes} bytes");
    for renewal in second.renewals {
        assert!(other.renew(at(3), renewal));
        assert!(!other.renew(at(3), renewal), "known already");
    }
    other.tick(at(5), true);
    assert!(
        other
            .iter()
            .all(|known| !known.silent && known.announcement.sequence == 2)
    );
    other.tick(at(7), true);
    assert!(other.iter().all(|known| known.silent));
}

/// A renewal that was delayed changes nothing about a departure, a later incarnation or a later
/// announcement.
#[test]
fn renew_late() {
    let (mut own, mut other) = (Registry::new(TIMEOUT), Registry::new(TIMEOUT));
    own.announce(at(1), announcement("a", 5, 1));
    let known = told(&own);
    own.announce(at(2), announcement("a", 5, 2));
    let renewal = own.updated_page(at(2), known, 9).renewals[0];
    assert!(!other.renew(at(2), renewal), "not known at all");
    other.announce(at(1), announcement("a", 5, 1));
    other.depart(at(2), "a", Some(5));
    assert!(!other.renew(at(2), renewal));
    assert!(other.get("a").unwrap().departed);
    other.announce(at(3), announcement("a", 6, 1));
    assert!(!other.renew(at(3), renewal));
    assert_eq!(other.get("a").unwrap().announcement.sequence, 1);
}

/// A store that has heard nothing of an endpoint for a while learns by a renewal that it runs.
#[test]
fn renew_silent_endpoint() {
    let (mut own, mut other) = (Registry::new(TIMEOUT), Registry::new(TIMEOUT));
    own.announce(at(1), announcement("a", 5, 1));
    other.announce(at(1), announcement("a", 5, 1));
    let known = told(&own);
    other.tick(at(9), true);
    let silent = other.last_change();
    own.announce(at(9), announcement("a", 5, 2));
    let renewal = own.updated_page(at(9), known, 9).renewals[0];
    assert!(other.renew(at(9), renewal));
    let changed = other.changed_since(at(9), silent);
    assert_eq!(changed.len(), 1);
    assert!(!changed[0].silent);
}

/// A change that is no renewal travels as a record, also if a heartbeat follows it.
#[test]
fn updated_page_change_before_heartbeat() {
    let mut registry = Registry::new(TIMEOUT);
    registry.announce(at(1), announcement("a", 5, 1));
    let known = told(&registry);
    registry.announce(at(2), draining("a", 5, 2));
    registry.announce(at(3), draining("a", 5, 3));
    let page = registry.updated_page(at(3), known, 9);
    assert_eq!((page.records.len(), page.renewals.len()), (1, 0));
    let page = registry.updated_page(at(3), told(&registry), 9);
    assert_eq!((page.records.len(), page.renewals.len()), (0, 0));
}

/// The pages together hold each change once, whatever their size.
#[test]
fn changed_page_any_limit() {
    for limit in [1, 7, 100, 1_000] {
        let mut registry = Registry::new(TIMEOUT);
        for announcement in many(100) {
            registry.announce(at(1), announcement);
        }
        let (mut cursor, mut names) = (Cursor::default(), Vec::new());
        loop {
            let page = registry.changed_page(at(1), cursor, limit, |_| Lack::Everything);
            assert!(page.records.len() <= limit);
            names.extend(
                page.records
                    .iter()
                    .map(|record| record.announcement.name.clone()),
            );
            cursor.advance(&page);
            if !page.more {
                break;
            }
        }
        assert_eq!(cursor.sent(), registry.last_change());
        names.sort();
        names.dedup();
        assert_eq!(names.len(), 100);
    }
}

/// A process that knows nearly all endpoints is told of the others, and of few more.
#[test]
fn digest_few_differences() {
    let (mut own, mut other) = (Registry::new(TIMEOUT), Registry::new(Duration::MAX / 4));
    for announcement in many(250) {
        own.announce(at(1), announcement.clone());
        other.announce(at(1), announcement);
    }
    let digest = |registry: &Registry| Digest::new(registry.iter(), |known| known.silent);
    let differing = |own: &Registry, other: &Registry| {
        let (own_digest, other_digest) = (digest(own), digest(other));
        let known = own.iter().map(|known| known.announcement.name.clone());
        known
            .filter(|name| !own_digest.matches(&other_digest, name))
            .collect::<Vec<_>>()
    };
    assert!(differing(&own, &other).is_empty());
    for mut announcement in many(250) {
        announcement.sequence = 9;
        own.announce(at(2), announcement);
    }
    assert!(
        differing(&own, &other).is_empty(),
        "heartbeats change no digest"
    );
    own.announce(at(2), draining("i-7", 5, 10));
    own.depart(at(2), "i-30", Some(5));
    let names = differing(&own, &other);
    assert!(names.contains(&"i-7".into()) && names.contains(&"i-30".into()));
    assert!(names.len() <= 30, "{} of 250 endpoints", names.len());
}

/// Without a digest everything is sent.
#[test]
fn digest_without_buckets() {
    let none = Digest::default();
    assert!(!none.matches(&none, "i-1"));
    let garbled = Digest::from_buckets(vec![0; 3]);
    let full = Digest::new([].into_iter(), |_| false);
    let unmatched = (0..100).filter(|number| !full.matches(&garbled, &format!("i-{number}")));
    assert!(unmatched.count() > 80);
}

/// A release of half of the endpoints: an entry that knows them is told in a few bytes that they
/// drain, fall silent and leave, and it ends up with the same records.
#[test]
fn changed_page_release() {
    let (mut store, mut entry) = (Registry::new(TIMEOUT), Registry::new(Duration::MAX / 4));
    let mut cursor = Cursor::default();
    let mut follow = |store: &Registry, entry: &mut Registry, seconds| {
        let page = store.changed_page(at(seconds), cursor, usize::MAX, |_| Lack::Everything);
        cursor.advance(&page);
        let counts = (page.records.len(), page.states.len());
        let bytes = postcard::to_stdvec(&page.states).unwrap().len();
        for record in page.records {
            entry.merge(at(seconds), record);
        }
        for change in page.states {
            assert!(entry.change_state(at(seconds), change).is_some());
        }
        (counts, bytes)
    };
    for announcement in many(100) {
        store.announce(at(1), announcement);
    }
    assert_eq!(follow(&store, &mut entry, 1).0, (100, 0));
    for mut announcement in many(50) {
        announcement.state = State::Draining;
        announcement.sequence = 2;
        store.announce(at(2), announcement);
    }
    let (counts, bytes) = follow(&store, &mut entry, 2);
    assert_eq!(counts, (0, 50));
    assert!(bytes <= 50 * 18, "{bytes} bytes");
    for number in 0..50 {
        store.depart(at(3), &format!("i-{number}"), Some(5));
    }
    assert_eq!(follow(&store, &mut entry, 3).0, (0, 50));
    for known in store.iter() {
        let told = entry.get(&known.announcement.name).unwrap();
        assert_eq!(told.announcement.state, known.announcement.state);
        assert_eq!(told.departed, known.departed);
    }
    store.announce(
        at(4),
        Announcement {
            slots: 9,
            ..announcement("i-99", 6, 1)
        },
    );
    assert_eq!(follow(&store, &mut entry, 4).0, (1, 0), "a new incarnation");
}

/// A change of an endpoint that is unknown, or known by another incarnation, is not applied.
#[test]
fn change_state_unknown_endpoint() {
    let (mut store, mut entry) = (Registry::new(TIMEOUT), Registry::new(TIMEOUT));
    store.announce(at(1), announcement("a", 5, 1));
    let known = told(&store);
    store.announce(at(2), draining("a", 5, 2));
    let change = store
        .changed_page(at(2), known, 9, |_| Lack::Everything)
        .states[0];
    assert_eq!(entry.change_state(at(2), change), None);
    entry.announce(at(1), announcement("a", 6, 1));
    assert_eq!(entry.change_state(at(2), change), None);
    assert_eq!(entry.get("a").unwrap().announcement.state, State::Ready);
}

/// Endpoints change and send heartbeats while a process catches up page by page: what was not told
/// yet must not be taken as known, since its first change was overtaken by a later one.
#[test]
fn page_while_endpoints_change() {
    for limit in [3, 10, 40] {
        let mut store = Registry::new(TIMEOUT);
        let (mut entry, mut other) = (Registry::new(TIMEOUT), Registry::new(TIMEOUT));
        for announcement in many(100) {
            store.announce(at(1), announcement);
        }
        let (mut entry_cursor, mut store_cursor) = (Cursor::default(), Cursor::default());
        for round in 0..200_u8 {
            if round < 60 {
                // The first ones, which come in the first pages, change again in the meantime.
                let mut changed = many(100).remove(usize::from(round % 20));
                changed.sequence = u64::from(round) + 2;
                changed.state = State::Draining;
                store.announce(at(1), changed);
            }
            let page = store.changed_page(at(1), entry_cursor, limit, |_| Lack::Everything);
            entry_cursor.advance(&page);
            for record in page.records {
                entry.merge(at(1), record);
            }
            for change in page.states {
                assert!(entry.change_state(at(1), change).is_some(), "limit {limit}");
            }
            let page = store.updated_page(at(1), store_cursor, limit);
            store_cursor.advance(&page);
            for record in page.records {
                other.merge(at(1), record);
            }
            for renewal in page.renewals {
                assert!(other.renew(at(1), renewal), "limit {limit}");
            }
        }
        for follower in [&entry, &other] {
            assert_eq!(follower.iter().count(), 100);
            let draining = follower
                .iter()
                .filter(|known| known.announcement.state == State::Draining);
            assert_eq!(draining.count(), 20);
        }
    }
}

fn cold(name: &str, sequence: u64, warmup: u32) -> Announcement {
    Announcement {
        warmup,
        ..announcement(name, 5, sequence)
    }
}

/// A running endpoint that has lost what it had warmed up: other stores and entries are told.
#[test]
fn announce_slow_start_again() {
    let (mut direct, mut other) = (Registry::new(TIMEOUT), Registry::new(TIMEOUT));
    direct.announce(at(1), announcement("a", 5, 1));
    let (mut store, mut entry) = (Cursor::default(), Cursor::default());
    for record in sent_to_store(&direct, at(1), &mut store).0 {
        other.merge(at(1), record);
    }
    entry.advance(&other.changed_page(at(1), entry, 9, |_| Lack::Everything));
    direct.announce(at(2), cold("a", 2, 4_000));
    let (records, renewals) = sent_to_store(&direct, at(2), &mut store);
    assert_eq!((records.len(), renewals.len()), (1, 0));
    for record in records {
        other.merge(at(2), record);
    }
    let page = other.changed_page(at(2), entry, 9, |_| Lack::Everything);
    entry.advance(&page);
    assert_eq!(page.records[0].announcement.warmup, 4_000);
    // It goes on: a renewal tells other stores, and entries need not be told.
    direct.announce(at(3), cold("a", 3, 3_010));
    let (records, renewals) = sent_to_store(&direct, at(3), &mut store);
    assert_eq!((records.len(), renewals.len()), (0, 1));
    assert!(other.renew(at(3), renewals[0]));
    assert_eq!(other.get("a").unwrap().slow_start(at(4)), at(2));
    let page = other.changed_page(at(3), entry, 9, |_| Lack::Everything);
    assert!(page.records.is_empty() && page.states.is_empty());
}

/// An entry that connects late, and one that is told of a change of state, don't take the slow
/// start for a longer one.
#[test]
fn renew_slow_start() {
    let mut store = Registry::new(TIMEOUT);
    store.merge(at(1), record(cold("a", 1, 4_000), false));
    let renewal = Renewal {
        age: 0,
        incarnation: 5,
        key: key_of(&store, "a"),
        sequence: 2,
    };
    assert!(store.renew(at(3), renewal));
    let known = store.get("a").unwrap();
    assert_eq!(known.announcement.warmup, 2_000);
    let change = StateChange {
        age: 500,
        departed: false,
        incarnation: 5,
        key: renewal.key,
        sequence: 3,
        silent: false,
        state: State::Draining,
    };
    assert_eq!(store.change_state(at(4), change), Some("a".into()));
    assert_eq!(store.get("a").unwrap().slow_start(at(4)), at(1));
}

fn sent_to_store(
    registry: &Registry,
    now: Duration,
    cursor: &mut Cursor,
) -> (Vec<Record>, Vec<Renewal>) {
    let page = registry.updated_page(now, *cursor, 9);
    cursor.advance(&page);
    (page.records, page.renewals)
}

/// The key of an endpoint, taken from a renewal to a store that knows it.
fn key_of(registry: &Registry, name: &str) -> u32 {
    let mut registry = registry.clone();
    let mut cursor = Cursor::default();
    sent_to_store(&registry, at(1), &mut cursor);
    registry.announce(at(2), announcement(name, 5, 99));
    sent_to_store(&registry, at(2), &mut cursor).1[0].key
}

/// Announcements that were accepted by an earlier version: they made the frames that stores send too
/// large for any receiver.
#[test]
fn merge_odd_announcements() {
    let plain = announcement("a", 5, 1);
    let long: Box<str> = "x".repeat(256).into();
    let odd = [
        Announcement {
            centre: long.clone(),
            ..plain.clone()
        },
        Announcement {
            name: long.clone(),
            ..plain.clone()
        },
        Announcement {
            service: long,
            ..plain.clone()
        },
        Announcement {
            address: "10.0.0.1:0".parse().unwrap(),
            ..plain.clone()
        },
        Announcement {
            address: "255.255.255.255:80".parse().unwrap(),
            ..plain.clone()
        },
    ];
    let mut registry = Registry::new(TIMEOUT);
    for announcement in odd {
        assert!(announcement.check().is_err());
        assert!(!registry.merge(at(1), record(announcement, false)));
    }
    assert!(registry.merge(at(1), record(plain, false)));
    assert_eq!(registry.iter().count(), 1);
}
