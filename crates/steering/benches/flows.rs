//! Comparison of the steering methods with the same seed, flows and schedule of changes.

#![allow(missing_docs, reason = "a benchmark has no public items")]

#[path = "../tests/driver/mod.rs"]
mod driver;

use std::{
    hint::black_box,
    thread,
    time::{
        Duration,
        Instant, //
    },
};

use driver::Driver;
use mimosausher_steering::{
    Endpoint,
    EndpointId,
    FlowId,
    FlowPacket,
    HistorySteering,
    Learning,
    OwnerSteering,
    Peer,
    Phase,
    ServiceId,
    StatelessSteering,
    Steer, //
};
use rand::{
    Rng,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;
use standin::Figure;

const SEED: u64 = 20;

/// Size of an entry's flow table.
const LIMIT: usize = 150_000;

/// Number of flows held when decisions are timed.
const HELD: usize = 500_000;

/// Number of timed decisions.
const DECISIONS: usize = 2_000_000;

/// Number of connections per endpoint.
const CONNECTIONS: usize = 2_000;

struct Deployment {
    name: &'static str,
    services: [(&'static str, usize); 2],
    slots: u32,
}

const DEPLOYMENTS: [Deployment; 2] = [
    Deployment {
        name: "maos",
        services: [("booking-desk", 14), ("assignment-document", 4)],
        slots: 3,
    },
    Deployment {
        name: "brushline",
        services: [("live-classroom", 14), ("reference-pack", 4)],
        slots: 2,
    },
];

fn main() {
    for deployment in &DEPLOYMENTS {
        thread::scope(|scope| {
            scope.spawn(|| run(deployment, "stateless", |_, _, _| StatelessSteering::new()));
            scope.spawn(|| {
                run(deployment, "history", |now, own, _| {
                    HistorySteering::new(now, own)
                })
            });
            scope.spawn(|| {
                run(deployment, "owners, messages", |now, own, seed| {
                    OwnerSteering::new(now, own, LIMIT, seed).with_learning(Learning::Message)
                });
            });
            scope.spawn(|| {
                run(deployment, "owners, packets", |now, own, seed| {
                    OwnerSteering::new(now, own, LIMIT, seed)
                });
            });
        });
    }
    decide();
}

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

/// Runs the schedule with one steering method.
fn run<S: Steer + Clone>(
    deployment: &Deployment,
    method: &str,
    new_machine: fn(Duration, Peer, u64) -> S,
) {
    let mut driver = Driver::new(SEED, new_machine);
    for (name, count) in deployment.services {
        let service = ServiceId::new(name);
        for _ in 0..count {
            driver.world.add(Duration::ZERO, service, deployment.slots);
        }
        driver.traffic.targets.insert(service, 0);
    }
    for index in 0..8 {
        driver.start(index / 2, Duration::from_millis(250 * index));
    }
    driver.run(seconds(11));
    for (name, count) in deployment.services {
        let target = count * CONNECTIONS;
        driver.traffic.targets.insert(ServiceId::new(name), target);
    }
    driver.run(seconds(6));
    steady(&mut driver, deployment, method);
    planned(driver.clone(), deployment, method);
    crashes(driver, deployment, method);
}

fn figure(deployment: &Deployment, method: &str, name: &str, case: &str, value: f64, unit: &str) {
    let case = format!("{}, {method}, {case}", deployment.name);
    Figure::new(name, &case, value, unit).print();
}

fn steady<S: Steer>(driver: &mut Driver<S>, deployment: &Deployment, method: &str) {
    driver.counts = Default::default();
    driver.traffic.reset_imbalance();
    driver.run(seconds(10));
    let counts = driver.counts;
    let [mean, best] = driver.traffic.imbalance;
    let show = |name, case, value, unit| figure(deployment, method, name, case, value, unit);
    show(
        "flows.imbalance",
        "steady, over mean, target 1.05",
        mean,
        "",
    );
    show("flows.imbalance", "steady, over best possible", best, "");
    let hops = counts.hops as f64 / counts.packets as f64;
    show("flows.extra_hops", "steady", hops, "hops/packet");
    let bytes = counts.control_bytes as f64 / 8.0 / 10.0;
    show("flows.control_bytes", "steady, target 4096", bytes, "B/s");
    let broken = counts.broken as f64;
    show("flows.broken", "steady", broken, "flows");
}

fn planned<S: Steer>(mut driver: Driver<S>, deployment: &Deployment, method: &str) {
    driver.counts = Default::default();
    driver.traffic.reset_imbalance();
    let started = driver.now;
    let (first, _) = deployment.services[0];
    let service = ServiceId::new(first);
    driver.world.backends[0].drained = Some(driver.now);
    driver.run(seconds(5));
    let now = driver.now;
    driver.world.add(now, service, deployment.slots);
    driver.run(seconds(5));
    for index in 0..8 {
        driver.stop(index);
        driver.restart(index);
        driver.run(seconds(3));
    }
    driver.start(1, seconds(1));
    driver.run(seconds(5));
    let counts = driver.counts;
    let show = |name, case, value, unit| figure(deployment, method, name, case, value, unit);
    let broken = counts.broken as f64;
    show("flows.broken", "planned changes, target 0", broken, "flows");
    let [mean, best] = driver.traffic.imbalance;
    show(
        "flows.imbalance",
        "changing, over mean, target 1.15",
        mean,
        "",
    );
    show("flows.imbalance", "changing, over best possible", best, "");
    let hops = counts.hops as f64 / counts.packets as f64;
    show("flows.extra_hops", "changing", hops, "hops/packet");
    let time = (driver.now - started).as_secs_f64();
    let bytes = counts.control_bytes as f64 / 8.0 / time;
    show("flows.control_bytes", "changing, target 4096", bytes, "B/s");
}

fn crashes<S: Steer>(mut driver: Driver<S>, deployment: &Deployment, method: &str) {
    let show = |name, case, value, unit| figure(deployment, method, name, case, value, unit);
    for (case, index) in [("one death", 2), ("second death 15 s later", 5)] {
        driver.counts = Default::default();
        driver.kill(index);
        driver.run(seconds(15));
        let broken = driver.counts.broken as f64;
        show("flows.broken", case, broken, "flows");
        let bytes = driver.counts.control_bytes as f64 / 8.0 / 15.0;
        show("flows.control_bytes", case, bytes, "B/s");
    }
}

/// Measures the time of a decision and the memory per flow with many flows held.
fn decide() {
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let service = ServiceId::new("booking-desk");
    let own = Peer {
        centre: 0,
        id: mimosausher_steering::InstanceId::new("entry-0"),
        incarnation: 1,
        leaving: false,
        reachable: true,
    };
    let mut machine = OwnerSteering::new(Duration::ZERO, own, HELD * 16 / 7 + 16, SEED);
    let now = seconds(60);
    let endpoints: Vec<_> = (0..14)
        .map(|index| Endpoint {
            id: EndpointId::new("endpoint", "booking-desk", index),
            load: 0.0,
            service,
            share: Endpoint::FULL_SHARE,
            weight: 3,
        })
        .collect();
    machine.set_endpoints(now, &endpoints);
    let flows: Vec<_> = (0..HELD).map(|_| FlowId(rng.random())).collect();
    for phase in [Phase::Opens, Phase::Follows] {
        for flow in &flows {
            if phase == Phase::Opens {
                machine.handle_packet(
                    now,
                    &FlowPacket {
                        flow: *flow,
                        phase,
                        service,
                    },
                );
            }
            machine.handle_packet(
                now,
                &FlowPacket {
                    flow: *flow,
                    phase: Phase::Follows,
                    service,
                },
            );
        }
    }
    let order: Vec<_> = (0..DECISIONS)
        .map(|_| flows[rng.random_range(0..HELD)])
        .collect();
    let start = Instant::now();
    for flow in order {
        black_box(machine.handle_packet(
            now,
            &FlowPacket {
                flow,
                phase: Phase::Follows,
                service,
            },
        ));
    }
    let time = start.elapsed().as_nanos() as f64 / DECISIONS as f64;
    let case = format!("owners, packets, {} flows held", machine.len());
    Figure::new("flows.decide", &case, time, "ns/packet").print();
    let bytes = machine.bytes() as f64 / machine.len() as f64;
    Figure::new("flows.bytes_per_flow", &case, bytes, "B").print();
}
