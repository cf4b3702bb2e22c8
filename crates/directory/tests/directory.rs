//! Announcements, leases, weights and the reuse of addresses.

use std::time::Duration;

use codes::Code;
use mimosausher_directory::{
    Directory,
    Endpoint,
    FRESHNESS,
    LEASE,
    REBIND_DELAY,
    Report,
    SLOW_START,
    State,
    TICK,
    TOMBSTONE_RETENTION, //
};

/// Time later than one lease after the start, so that new bindings wait.
const START: Duration = Duration::from_secs(1000);

const SECOND: Duration = Duration::from_secs(1);

fn endpoint(name: &str, incarnation: u64, sequence: u64) -> Endpoint {
    Endpoint {
        address: "127.0.0.1:9000".parse().unwrap(),
        centre: "porto-a".into(),
        connections: 0,
        incarnation,
        load: 0.0,
        name: name.into(),
        sequence,
        service: "booking-desk".into(),
        slots: 3,
        state: State::Ready,
    }
}

fn report(name: &str, incarnation: u64, sequence: u64) -> Report {
    Report::new(endpoint(name, incarnation, sequence))
}

/// Advances virtual time in ticks.
fn run(directory: &mut Directory, now: &mut Duration, time: Duration) {
    let end = *now + time;
    while *now < end {
        *now += TICK;
        directory.tick(*now);
    }
}

/// A directory with `desk-1` in use, and the current time.
fn directory_in_use() -> (Directory, Duration) {
    let mut directory = Directory::new();
    directory.tick(START);
    let held = report("desk-1", 1, 1).with_bound_for(REBIND_DELAY);
    directory.announce(START, held).unwrap();
    (directory, START)
}

#[test]
fn announce_any_order() {
    bolero::check!()
        .with_type::<Vec<(u8, u8, bool)>>()
        .for_each(|announcements| {
            let mut directory = Directory::new();
            let mut last = None;
            for (incarnation, sequence, ready) in announcements {
                let order = (u64::from(*incarnation), u64::from(*sequence));
                let mut report = report("desk-1", order.0, order.1);
                if !ready {
                    report.endpoint.state = State::Draining;
                }
                let later = last.as_ref().is_none_or(|(known, _)| order > *known);
                let result = directory.announce(SECOND, report.clone());
                assert_eq!(result.is_ok(), later);
                if later {
                    last = Some((order, report.endpoint));
                }
                let known: Vec<_> = directory.iter().map(|(_, known)| known.clone()).collect();
                assert_eq!(known, Vec::from_iter(last.clone().map(|(_, known)| known)));
            }
        });
}

#[test]
fn announce_after_expiry() {
    let (mut directory, mut now) = directory_in_use();
    let key = directory.key("desk-1").unwrap();
    run(&mut directory, &mut now, LEASE + SECOND);
    assert_eq!(directory.get(key), None);
    let result = directory.announce(now, report("desk-1", 1, 1));
    assert_eq!(result, Err(Code::AnnouncementStale));
    let late = report("desk-1", 1, 2).with_age(LEASE);
    assert_eq!(directory.announce(now, late), Err(Code::AnnouncementStale));
    assert_eq!(directory.get(key), None);
    run(&mut directory, &mut now, TOMBSTONE_RETENTION);
    assert!(!directory.contains_key(key));
    let late = report("desk-1", 1, 2).with_age(LEASE);
    assert_eq!(directory.announce(now, late), Err(Code::AnnouncementStale));
    assert_eq!(directory.iter().count(), 0);
}

#[test]
fn announce_same_key_again() {
    let (mut directory, mut now) = directory_in_use();
    let key = directory.key("desk-1").unwrap();
    run(&mut directory, &mut now, LEASE + SECOND);
    let held = report("desk-1", 1, 2).with_bound_for(REBIND_DELAY);
    assert_eq!(directory.announce(now, held), Ok(key));
    assert!(directory.get(key).is_some());
}

#[test]
fn announce_expired_waits_again() {
    let (mut directory, mut now) = directory_in_use();
    run(&mut directory, &mut now, LEASE + SECOND);
    let key = directory.announce(now, report("desk-1", 1, 2)).unwrap();
    assert_eq!(directory.get(key), None);
}

#[test]
fn announce_changed_address() {
    let (mut directory, now) = directory_in_use();
    let mut moved = report("desk-1", 1, 2);
    moved.endpoint.address = "127.0.0.1:9001".parse().unwrap();
    let result = directory.announce(now, moved);
    assert_eq!(result, Err(Code::AnnouncementConflict));
}

#[test]
fn announce_address_of_another() {
    let (mut directory, mut now) = directory_in_use();
    let old = directory.key("desk-1").unwrap();
    for sequence in 1.. {
        let result = directory.announce(now, report("desk-2", 1, sequence));
        let Some(new) = directory.key("desk-2") else {
            panic!("the waiting endpoint is not in the directory");
        };
        match directory.get(new) {
            Some(_) => break,
            None if directory.get(old).is_some() => {
                assert_eq!(result, Err(Code::AnnouncementConflict));
            }
            None => assert_eq!(result, Ok(new)),
        }
        run(&mut directory, &mut now, SECOND);
    }
    assert_eq!(directory.get(old), None);
    assert!(now - START >= REBIND_DELAY);
}

#[test]
fn announce_restarted_endpoint() {
    let (mut directory, now) = directory_in_use();
    let old = directory.key("desk-1").unwrap();
    let key = directory.announce(now, report("desk-1", 2, 1)).unwrap();
    assert_ne!(key, old);
    assert!(directory.accepts_work(now, key));
    assert!(!directory.contains_key(old));
}

#[test]
fn accepts_work_silent_endpoint() {
    let (mut directory, mut now) = directory_in_use();
    let key = directory.key("desk-1").unwrap();
    let generation = directory.generation();
    run(&mut directory, &mut now, FRESHNESS - TICK);
    assert!(directory.accepts_work(now, key));
    run(&mut directory, &mut now, TICK);
    assert!(!directory.accepts_work(now, key));
    assert!(directory.get(key).is_some());
    assert_ne!(directory.generation(), generation);
    assert!(FRESHNESS + TICK < 3 * SECOND);
}

#[test]
fn accepts_work_draining_endpoint() {
    let (mut directory, now) = directory_in_use();
    let key = directory.key("desk-1").unwrap();
    let generation = directory.generation();
    let mut draining = report("desk-1", 1, 2);
    draining.endpoint.state = State::Draining;
    directory.announce(now, draining).unwrap();
    assert!(!directory.accepts_work(now, key));
    assert!(directory.get(key).is_some());
    assert_ne!(directory.generation(), generation);
}

#[test]
fn accepts_work_old_report() {
    let (mut directory, now) = directory_in_use();
    let key = directory.key("desk-1").unwrap();
    let late = report("desk-1", 1, 2).with_age(FRESHNESS);
    directory.announce(now, late).unwrap();
    assert!(directory.accepts_work(now, key));
    let mut directory = Directory::new();
    let late = report("desk-1", 1, 2).with_age(FRESHNESS);
    let key = directory.announce(SECOND, late).unwrap();
    assert!(!directory.accepts_work(SECOND, key));
}

#[test]
fn accepts_work_after_own_pause() {
    let (mut directory, mut now) = directory_in_use();
    let key = directory.key("desk-1").unwrap();
    now += 5 * SECOND;
    directory.announce(now, report("desk-1", 1, 2)).unwrap();
    assert!(!directory.accepts_work(now, key));
    directory.tick(now);
    directory.announce(now, report("desk-1", 1, 3)).unwrap();
    assert!(!directory.accepts_work(now, key));
    run(&mut directory, &mut now, 2 * SECOND);
    directory.announce(now, report("desk-1", 1, 4)).unwrap();
    assert!(directory.accepts_work(now, key));
}

#[test]
fn catch_up_after_pause() {
    let (mut directory, now) = directory_in_use();
    let key = directory.key("desk-1").unwrap();
    directory.catch_up(now + LEASE);
    assert_eq!(directory.get(key), None);
}

#[test]
fn weight_newly_ready_endpoint() {
    let (mut directory, mut now) = directory_in_use();
    let key = directory.key("desk-1").unwrap();
    let mut weights = vec![directory.weight(now, key)];
    for sequence in 2..14 {
        run(&mut directory, &mut now, SECOND);
        directory
            .announce(now, report("desk-1", 1, sequence))
            .unwrap();
        weights.push(directory.weight(now, key));
    }
    assert_eq!(weights[0], 100);
    assert!(weights.is_sorted());
    assert_eq!(weights.last(), Some(&1000));
    assert!(12 * SECOND > SLOW_START);
}

#[test]
fn by_service_two_services() {
    let (mut directory, now) = directory_in_use();
    let mut other = report("updates-1", 1, 1).with_bound_for(REBIND_DELAY);
    other.endpoint.address = "127.0.0.1:9001".parse().unwrap();
    other.endpoint.service = "booking-updates".into();
    let key = directory.announce(now, other).unwrap();
    let keys: Vec<_> = directory
        .by_service("booking-updates")
        .map(|(key, _)| key)
        .collect();
    assert_eq!(keys, [key]);
    assert_eq!(directory.by_service("unknown").count(), 0);
}
