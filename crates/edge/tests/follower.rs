//! What a store sends to an entry that follows it.

use std::time::Duration;

use announcements::{
    Announcement,
    Digest,
    Lack,
    Registry,
    State, //
};
use mimosausher_edge::{
    EndpointLoad,
    Follower,
    StoreLoads, //
};
use placement::Reference;

fn announcement(name: &str, centre: &str) -> Announcement {
    Announcement {
        address: format!("10.0.0.{}:80", &name[2..]).parse().unwrap(),
        centre: centre.into(),
        incarnation: 1,
        name: name.into(),
        sequence: 1,
        service: "s".into(),
        slots: 2,
        state: State::Ready,
        warmup: 0,
    }
}

fn reference(name: &str) -> u32 {
    Reference::from_name(name).number()
}

fn load(name: &str, busy: u32) -> EndpointLoad {
    EndpointLoad {
        busy,
        flows: 1,
        reference: reference(name),
    }
}

fn loads() -> StoreLoads {
    let mut loads = StoreLoads::new();
    for (name, centre) in [("i-1", "a"), ("i-2", "b"), ("i-3", "b")] {
        loads.locate(&announcement(name, centre));
    }
    loads
}

/// A follower gets the loads of its data centre and of the endpoints that it tracks, each once.
#[test]
fn changed_loads_tracked_endpoint() {
    let mut loads = loads();
    let other = loads.add_follower("entry-2");
    loads.report(
        other,
        vec![load("i-1", 200), load("i-2", 200), load("i-3", 200)],
    );
    let key = loads.add_follower("entry-1");
    let follower = Follower::new("a".into(), Some(key));
    assert_eq!(follower.changed_loads(&loads), [load("i-1", 200)]);
    assert_eq!(follower.changed_loads(&loads), []);
    follower.track(vec![reference("i-3")]);
    assert_eq!(follower.changed_loads(&loads), [load("i-3", 200)]);
    assert_eq!(follower.changed_loads(&loads), []);
}

/// A follower that was slow gets the newest load, not each one in turn.
#[test]
fn changed_loads_after_many_reports() {
    let mut loads = loads();
    let key = loads.add_follower("entry-2");
    let follower = Follower::new("a".into(), Some(key));
    for busy in 1..100 {
        loads.report(key, vec![load("i-1", busy * 50)]);
    }
    assert_eq!(follower.changed_loads(&loads), [load("i-1", 99 * 50)]);
}

/// An entry connects again before its old connection is closed: its loads count once, and the end
/// of the old connection changes nothing.
#[test]
fn add_follower_again() {
    let mut loads = loads();
    let old = loads.add_follower("entry-1");
    loads.report(old, vec![load("i-1", 200)]);
    let new = loads.add_follower("entry-1");
    loads.report(new, vec![load("i-1", 300)]);
    loads.report(old, vec![load("i-1", 500)]);
    loads.remove_follower("entry-1", old);
    assert_eq!(loads.followers(), 1);
    let total = loads.total().changed(reference("i-1"), 0);
    assert_eq!(total, Some(load("i-1", 300)));
}

/// Endpoints change all the time: the pushes of a store, each after a batch time, are bounded
/// however many entries follow it, and do not fall into one turn of the loop.
#[test]
fn batch_time_many_followers() {
    let mut loads = StoreLoads::new();
    for count in [3_u32, 30, 100] {
        let mut times = Vec::new();
        for number in 0..count {
            let key = loads.add_follower(&format!("entry-{count}-{number}"));
            let follower = Follower::new("a".into(), Some(key));
            let followers = usize::try_from(count).unwrap();
            times.push(follower.batch_time(followers));
        }
        let pushes: f64 = times.iter().map(|time| 1.0 / time.as_secs_f64()).sum();
        assert!(
            pushes <= 2_000.0,
            "{pushes} pushes a second to {count} entries"
        );
        times.sort();
        assert!(times[0] >= Duration::from_millis(10));
        times.dedup();
        assert!(times.len() >= 3, "{times:?}");
    }
}

/// An entry that connects while an endpoint is in its slow start: digests say nothing of that.
#[test]
fn lacks_slow_start() {
    let mut registry = Registry::new(Duration::from_secs(3));
    registry.announce(Duration::ZERO, announcement("i-1", "a"));
    registry.announce(
        Duration::ZERO,
        Announcement {
            warmup: 2_000,
            ..announcement("i-2", "a")
        },
    );
    let digest = Digest::new(registry.iter(), |_| false);
    let key = StoreLoads::new().add_follower("entry-1");
    let follower = Follower::new("a".into(), Some(key)).with_known(digest, &registry);
    let lack = |name: &str, limited| follower.lacks(registry.get(name).unwrap(), limited);
    assert_eq!(lack("i-1", true), Lack::Nothing);
    assert_eq!(lack("i-2", true), Lack::Everything);
    // Where nothing is limited, it is not worth its bytes.
    assert_eq!(lack("i-2", false), Lack::Nothing);
}
