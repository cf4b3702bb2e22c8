//! Established flows during planned changes and failures, in a simulation.

mod driver;

use std::time::Duration;

use driver::Driver;
use mimosausher_steering::{
    OwnerSteering,
    ServiceId, //
};

const SEED: u64 = 7;

fn new_machine(now: Duration, own: mimosausher_steering::Peer, seed: u64) -> OwnerSteering {
    OwnerSteering::new(now, own, 60_000, seed)
}

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

/// A simulation with six endpoints and entries in four data centres that learn of changes at
/// different times.
fn cluster(entries: usize) -> Driver<OwnerSteering> {
    cluster_with_udp(entries, 25)
}

fn cluster_with_udp(entries: usize, udp: u32) -> Driver<OwnerSteering> {
    let mut driver = Driver::new(SEED, new_machine);
    driver.traffic.udp = udp;
    let service = ServiceId::new("booking-updates");
    for _ in 0..6 {
        driver.world.add(Duration::ZERO, service, 3);
    }
    for index in 0..entries {
        let lag = Duration::from_millis(350 * (index as u64 % 5));
        driver.start(index as u64 % 4, lag);
    }
    driver.run(seconds(3));
    driver.traffic.targets.insert(service, 1_500);
    driver.run(seconds(20));
    driver
}

#[test]
fn steady_no_change() {
    let mut driver = cluster(8);
    driver.traffic.reset_imbalance();
    driver.run(seconds(20));
    let [mean, _] = driver.traffic.imbalance;
    assert_eq!((driver.counts.broken, driver.counts.refused), (0, 0));
    assert!(mean <= 1.05, "{mean}");
}

#[test]
fn drain_uneven_updates() {
    let mut driver = cluster(8);
    let now = driver.now;
    driver.world.backends[0].drained = Some(now);
    driver.run(seconds(3));
    let held = driver.traffic.held()[0];
    driver.run(seconds(20));
    assert_eq!((driver.counts.broken, driver.counts.refused), (0, 0));
    assert!(driver.traffic.held()[0] <= held);
    assert!(driver.traffic.held()[0] > 0);
}

#[test]
fn replace_all_endpoints() {
    let mut driver = cluster(8);
    let service = driver.world.backends[0].service;
    for index in 0..6 {
        let now = driver.now;
        driver.world.add(now, service, 3);
        driver.run(seconds(3));
        driver.world.backends[index].drained = Some(driver.now);
        driver.run(seconds(6));
    }
    assert_eq!((driver.counts.broken, driver.counts.refused), (0, 0));
}

/// Opens flows that only their owners know, and stops the packets of all flows.
fn idle_cluster() -> Driver<OwnerSteering> {
    let mut driver = cluster(8);
    let service = driver.world.backends[0].service;
    driver.traffic.targets.insert(service, 4_000);
    driver.step();
    for flow in &mut driver.traffic.flows {
        flow.next = driver.now + seconds(3_600);
    }
    driver.traffic.targets.clear();
    driver
}

/// Sends a packet of each flow.
fn send_all(driver: &mut Driver<OwnerSteering>) {
    for flow in &mut driver.traffic.flows {
        flow.next = driver.now;
    }
    driver.run(seconds(40));
}

#[test]
fn kill_one_entry() {
    let mut driver = idle_cluster();
    driver.kill(2);
    send_all(&mut driver);
    assert_eq!((driver.counts.broken, driver.counts.refused), (0, 0));
}

#[test]
fn kill_second_after_copies() {
    let mut driver = idle_cluster();
    driver.kill(2);
    driver.run(seconds(20));
    driver.kill(5);
    send_all(&mut driver);
    assert_eq!((driver.counts.broken, driver.counts.refused), (0, 0));
}

#[test]
fn restart_all_entries() {
    let mut driver = cluster(8);
    for index in 0..8 {
        driver.stop(index);
        driver.run(seconds(2));
        driver.restart(index);
        driver.run(seconds(5));
    }
    driver.run(seconds(20));
    assert_eq!((driver.counts.broken, driver.counts.refused), (0, 0));
}

#[test]
fn grow_two_to_nine() {
    let mut driver = cluster(2);
    for index in 2..9 {
        driver.start(index % 4, Duration::from_millis(200 * index));
        driver.run(seconds(4));
    }
    for index in 0..7 {
        driver.stop(index);
        driver.run(seconds(2));
    }
    driver.run(seconds(20));
    assert_eq!((driver.counts.broken, driver.counts.refused), (0, 0));
}

#[test]
fn cut_within_centre() {
    let mut driver = cluster(8);
    driver.cut(0, 4);
    driver.run(seconds(6));
    driver.counts.dropped = 0;
    driver.run(seconds(24));
    assert_eq!(driver.counts.dropped, 0);
    driver.heal();
    driver.run(seconds(20));
    assert_eq!((driver.counts.broken, driver.counts.refused), (0, 0));
}

#[test]
fn freeze_and_resume() {
    let mut driver = cluster(8);
    driver.entries[3].frozen = true;
    driver.run(seconds(10));
    driver.entries[3].frozen = false;
    driver.run(seconds(20));
    assert_eq!((driver.counts.broken, driver.counts.refused), (0, 0));
}

#[test]
fn endpoint_dies() {
    let mut driver = cluster(8);
    driver.world.backends[1].died = Some(driver.now);
    let held = driver.traffic.held()[1];
    driver.run(seconds(40));
    assert_eq!(driver.counts.broken, 0);
    assert_eq!(driver.traffic.held()[1], 0);
    assert!(driver.counts.refused >= u64::from(held / 2));
}

#[test]
fn cut_off_centre() {
    // A UDP flow that is unknown on its side of the partition is indistinguishable from a new one.
    let mut driver = cluster_with_udp(8, 0);
    driver.partition(&[1, 5]);
    driver.run(seconds(30));
    driver.partition(&[]);
    driver.run(seconds(20));
    assert_eq!((driver.counts.broken, driver.counts.refused), (0, 0));
}

#[test]
fn add_uneven_updates() {
    let mut driver = cluster(8);
    let service = driver.world.backends[0].service;
    for _ in 0..4 {
        let now = driver.now;
        driver.world.add(now, service, 30);
        driver.run(seconds(3));
    }
    assert_eq!((driver.counts.broken, driver.counts.refused), (0, 0));
}
