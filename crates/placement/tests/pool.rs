//! Flows by reference: which endpoint gets one, which one has it, and when a flow is given up.

use std::{
    collections::HashMap,
    time::Duration, //
};

use codes::Code;
use mimosausher_placement::{
    Endpoint,
    EndpointKey,
    FlowKey,
    Phase,
    Pool,
    Progress,
    Reference,
    ServiceKey,
    Target, //
};
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn flow(port: u16) -> FlowKey {
    FlowKey {
        caller: format!("100.64.0.1:{port}").parse().unwrap(),
        route: "198.18.0.1:443".parse().unwrap(),
    }
}

struct World {
    pool: Pool,
    random: ChaCha8Rng,
    targets: [Target; 1],
}

impl World {
    /// A pool of `count` warm endpoints of one service.
    fn new(count: u8) -> Self {
        let mut pool = Pool::new();
        let service = pool.service("s");
        for number in 0..count {
            pool.update(endpoint(service, &format!("i-{number}"), number));
        }
        Self {
            pool,
            random: ChaCha8Rng::seed_from_u64(1),
            targets: [Target { service, weight: 1 }],
        }
    }

    fn open(&mut self, now: Duration, port: u16) -> Result<EndpointKey, Code> {
        self.pool.tick(now);
        self.pool
            .open(now, flow(port), &self.targets, &mut self.random)
    }

    fn name(&self, key: EndpointKey) -> Box<str> {
        self.pool.get(key).unwrap().name.clone()
    }

    fn pass(&mut self, now: Duration, port: u16, name: &str, packet: Progress) -> Result<(), Code> {
        self.pool.tick(now);
        self.late(now, port, name, packet, true)
    }

    /// A packet without a tick before it, as after the process stood still.
    fn late(
        &mut self,
        now: Duration,
        port: u16,
        name: &str,
        packet: Progress,
        repeatable: bool,
    ) -> Result<(), Code> {
        let reference = Some(Reference::to(name));
        let passed = self
            .pool
            .pass(now, flow(port), reference, packet, repeatable);
        passed.map(|key| assert_eq!(&*self.name(key), name))
    }
}

fn endpoint(service: ServiceKey, name: &str, number: u8) -> Endpoint {
    let address = format!("10.0.0.{number}:80").parse().unwrap();
    Endpoint::new(name, 1, address, service).with_slots(2)
}

const REQUEST: Progress = Progress {
    acknowledged: 1,
    closing: false,
    length: 100,
    sequence: 1,
};

const ANSWERED: Progress = Progress {
    acknowledged: 900,
    closing: false,
    length: 0,
    sequence: 101,
};

#[test]
fn pass_entry_without_state() {
    let mut one = World::new(5);
    let key = one.open(ms(0), 1).unwrap();
    let name = one.name(key);
    let mut other = World::new(5);
    assert_eq!(other.pass(ms(3), 1, &name, REQUEST), Ok(()));
}

#[test]
fn pass_unknown_reference() {
    let mut world = World::new(2);
    let unknown = world.pool.pass(ms(0), flow(1), None, REQUEST, true);
    assert_eq!(unknown, Err(Code::FlowUnknown));
    let other = Some(Reference::to("i-77"));
    let unknown = world.pool.pass(ms(0), flow(1), other, REQUEST, true);
    assert_eq!(unknown, Err(Code::FlowUnknown));
}

#[test]
fn pass_draining_endpoint() {
    let mut world = World::new(2);
    let held = world.pool.iter().find(|held| &*held.name == "i-0").unwrap();
    let draining = held.clone().with_phase(Phase::Draining);
    world.pool.update(draining);
    assert_eq!(world.pass(ms(0), 1, "i-0", REQUEST), Ok(()));
    for port in 2..20 {
        let key = world.open(ms(1), port).unwrap();
        assert_eq!(&*world.name(key), "i-1");
    }
}

#[test]
fn pass_gone_endpoint() {
    let mut world = World::new(2);
    let held = world.pool.iter().find(|held| &*held.name == "i-0").unwrap();
    let gone = held.clone().with_phase(Phase::Gone);
    world.pool.update(gone);
    assert_eq!(
        world.pass(ms(0), 1, "i-0", REQUEST),
        Err(Code::FlowEndpointGone)
    );
}

/// A data centre is cut off, or an endpoint falls silent: its callers hear so after the second
/// repeat, and those of its other flows after the first.
#[test]
fn pass_endpoint_out_of_reach() {
    let mut world = World::new(2);
    world.pass(ms(0), 1, "i-0", REQUEST).unwrap();
    world.pass(ms(100), 2, "i-0", REQUEST).unwrap();
    assert_eq!(world.pass(ms(200), 1, "i-0", REQUEST), Ok(()));
    assert_eq!(
        world.pass(ms(600), 1, "i-0", REQUEST),
        Err(Code::FlowEndpointUnreachable)
    );
    assert_eq!(
        world.pass(ms(610), 2, "i-0", REQUEST),
        Err(Code::FlowEndpointUnreachable)
    );
    assert_eq!(world.pass(ms(610), 3, "i-1", REQUEST), Ok(()));
    for port in 10..20 {
        let key = world.open(ms(620), port).unwrap();
        assert_eq!(&*world.name(key), "i-1");
    }
}

/// The packet that begins a request also takes note of what the endpoint sent before it: the end of the
/// handshake, or the answer to the request before. That is no sign that the endpoint has the request.
#[test]
fn pass_endpoint_that_ended_after_its_last_answer() {
    let mut world = World::new(1);
    world.open(ms(0), 1).unwrap();
    for at in [3, 203] {
        assert_eq!(world.pass(ms(at), 1, "i-0", REQUEST), Ok(()));
    }
    assert_eq!(
        world.pass(ms(603), 1, "i-0", REQUEST),
        Err(Code::FlowEndpointUnreachable)
    );
    let mut world = World::new(1);
    world.pass(ms(0), 1, "i-0", REQUEST).unwrap();
    let next = Progress {
        length: REQUEST.length,
        ..ANSWERED
    };
    for at in [50, 250] {
        assert_eq!(world.pass(ms(at), 1, "i-0", next), Ok(()));
    }
    assert_eq!(
        world.pass(ms(650), 1, "i-0", next),
        Err(Code::FlowEndpointUnreachable)
    );
}

#[test]
fn pass_request_that_runs_once_at_most() {
    let mut world = World::new(2);
    for at in [0, 200, 600, 1400] {
        assert_eq!(world.late(ms(at), 1, "i-0", REQUEST, false), Ok(()));
        world.pool.tick(ms(at));
    }
}

/// One packet of a flow is lost twice while the endpoint answers others.
#[test]
fn pass_endpoint_that_answers_others() {
    let mut world = World::new(2);
    world.pass(ms(0), 1, "i-0", REQUEST).unwrap();
    world.pass(ms(10), 2, "i-0", REQUEST).unwrap();
    world.pass(ms(60), 2, "i-0", ANSWERED).unwrap();
    for at in [200, 600, 1400] {
        assert_eq!(world.pass(ms(at), 1, "i-0", REQUEST), Ok(()));
    }
}

#[test]
fn pass_endpoint_reached_again() {
    let mut world = World::new(2);
    for at in [0, 200] {
        world.pass(ms(at), 1, "i-0", REQUEST).unwrap();
    }
    assert!(world.pass(ms(600), 1, "i-0", REQUEST).is_err());
    world.pass(ms(700), 2, "i-0", REQUEST).unwrap();
    world.pass(ms(760), 2, "i-0", ANSWERED).unwrap();
    world.pass(ms(800), 3, "i-0", REQUEST).unwrap();
    assert_eq!(world.pass(ms(1000), 3, "i-0", REQUEST), Ok(()));
}

/// The entry was frozen: what its callers sent meanwhile waited in its socket.
#[test]
fn pass_after_a_freeze() {
    let mut world = World::new(2);
    world.pass(ms(0), 1, "i-0", REQUEST).unwrap();
    for at in [3_000, 3_001, 3_002, 3_200] {
        assert_eq!(world.late(ms(at), 1, "i-0", REQUEST, true), Ok(()));
    }
}

/// A request of several packets is no repeat of itself.
#[test]
fn pass_long_request() {
    let mut world = World::new(1);
    for (at, sequence) in [(0, 1), (200, 1201), (400, 2401), (600, 3601)] {
        let packet = Progress {
            sequence,
            ..REQUEST
        };
        assert_eq!(world.pass(ms(at), 1, "i-0", packet), Ok(()));
    }
}

/// Callers with idle flows to an endpoint that fell silent hear of it before their next request,
/// which may be one that runs once at most.
#[test]
fn orphans_endpoint_out_of_reach() {
    let mut world = World::new(2);
    for (port, name) in [(1, "i-0"), (2, "i-0"), (3, "i-1"), (4, "i-0")] {
        world.pass(ms(0), port, name, REQUEST).unwrap();
        world.pass(ms(50), port, name, ANSWERED).unwrap();
    }
    let next = Progress {
        acknowledged: 900,
        sequence: 101,
        ..REQUEST
    };
    for at in [1_000, 1_200] {
        assert_eq!(world.late(ms(at), 4, "i-0", next, false), Ok(()));
        world.pool.tick(ms(at));
        assert!(world.pool.orphans(ms(at)).is_empty());
    }
    assert_eq!(world.late(ms(1_600), 4, "i-0", next, false), Ok(()));
    let mut orphans = world.pool.orphans(ms(1_600));
    orphans.sort_by_key(|(flow, _)| flow.caller);
    // The request that runs once at most keeps waiting on its flow.
    assert_eq!(orphans, [(flow(1), 900), (flow(2), 900)]);
    assert!(world.pool.orphans(ms(1_700)).is_empty());
}

/// A cut has healed, but none of this entry's callers has used the endpoint since. What a flow that
/// moved here shows later, one lost packet among it, is no word on the cut.
#[test]
fn orphans_long_after_a_cut() {
    let mut world = World::new(2);
    for at in [0, 200, 600] {
        let _reset = world.late(ms(at), 1, "i-0", REQUEST, true);
        world.pool.tick(ms(at));
    }
    for at in (1_000..6_000).step_by(250) {
        world.pool.tick(ms(at));
    }
    let acknowledgement = Progress {
        length: 0,
        ..ANSWERED
    };
    assert_eq!(world.pass(ms(6_000), 2, "i-0", acknowledgement), Ok(()));
    assert!(world.pool.orphans(ms(6_250)).is_empty());
    for at in [6_300, 6_500] {
        assert_eq!(world.pass(ms(at), 3, "i-0", REQUEST), Ok(()));
    }
}

/// A flow that moves to this entry during the cut has shown nothing yet.
#[test]
fn orphans_flow_seen_since() {
    let mut world = World::new(2);
    for at in [0, 200, 600] {
        let _reset = world.late(ms(at), 1, "i-0", REQUEST, true);
        world.pool.tick(ms(at));
    }
    assert_eq!(world.pass(ms(700), 2, "i-0", ANSWERED), Ok(()));
    assert!(world.pool.orphans(ms(800)).is_empty());
}

#[test]
fn orphans_gone_endpoint() {
    let mut world = World::new(2);
    world.pass(ms(0), 1, "i-0", REQUEST).unwrap();
    world.pass(ms(50), 1, "i-0", ANSWERED).unwrap();
    let held = world.pool.iter().find(|held| &*held.name == "i-0").unwrap();
    let draining = held.clone().with_phase(Phase::Draining);
    world.pool.update(draining.clone());
    assert!(world.pool.orphans(ms(100)).is_empty());
    world.pool.update(draining.with_phase(Phase::Gone));
    assert_eq!(world.pool.orphans(ms(100)), [(flow(1), 900)]);
}

#[test]
fn open_copy_elsewhere() {
    let mut world = World::new(3);
    for port in 0..50 {
        let at = u64::from(port) * 5_000;
        let first = world.open(ms(at), port).unwrap();
        let second = world.open(ms(at + 200), port).unwrap();
        assert_ne!(first, second);
    }
}

#[test]
fn open_only_endpoint() {
    let mut world = World::new(1);
    for at in [0, 200, 600] {
        assert!(world.open(ms(at), 1).is_ok());
    }
}

#[test]
fn open_no_endpoint() {
    let mut world = World::new(0);
    assert_eq!(world.open(ms(0), 1), Err(Code::FlowNoEndpoint));
}

#[test]
fn open_exact_weights() {
    let mut world = World::new(3);
    let service = world.pool.service("t");
    let address = "10.0.1.1:80".parse().unwrap();
    world
        .pool
        .update(Endpoint::new("i-99", 1, address, service));
    let [first] = world.targets;
    let targets = [Target { weight: 9, ..first }, Target { service, weight: 1 }];
    let mut counts: HashMap<Box<str>, u32> = HashMap::new();
    for port in 0..10_000 {
        let key = world
            .pool
            .open(ms(0), flow(port), &targets, &mut world.random)
            .unwrap();
        *counts.entry(world.name(key)).or_default() += 1;
    }
    // Four standard deviations of a binomial draw.
    assert!(counts["i-99"].abs_diff(1_000) < 120, "{counts:?}");
}

/// Many callers come at once to an entry that hears nothing of the others.
#[test]
fn open_burst_of_callers() {
    let mut world = World::new(14);
    let mut counts: HashMap<EndpointKey, u32> = HashMap::new();
    for port in 0..140 {
        let key = world.open(ms(u64::from(port) / 4), port).unwrap();
        *counts.entry(key).or_default() += 1;
    }
    assert!(
        counts.values().all(|count| (9..=11).contains(count)),
        "{counts:?}"
    );
}

#[test]
fn update_born_again() {
    let mut world = World::new(2);
    world.pass(ms(0), 1, "i-0", REQUEST).unwrap();
    let held = world.pool.iter().find(|held| &*held.name == "i-0").unwrap();
    let mut reborn = held.clone();
    reborn.incarnation += 1;
    world.pool.update(reborn);
    let held = world.pool.iter().find(|held| &*held.name == "i-0").unwrap();
    assert_eq!((held.own().busy, held.own().flows), (0, 0));
}

/// Two endpoints whose names give one reference: the one that started first keeps it on every entry,
/// and the other gets no flow that could reach the wrong one.
#[test]
fn open_shared_reference() {
    let mut seen = HashMap::new();
    let (one, two) = (0_u64..)
        .find_map(|number| {
            let name = format!("i-{number:x}");
            let former = seen.insert(Reference::to(&name), name.clone());
            former.map(|former| (former, name))
        })
        .unwrap();
    for order in [[&one, &two], [&two, &one]] {
        let mut world = World::new(0);
        let service = world.targets[0].service;
        for name in order {
            let mut endpoint = endpoint(service, name, u8::from(*name == one));
            endpoint.incarnation = if *name == one { 7 } else { 8 };
            world.pool.update(endpoint);
        }
        for port in 0..20 {
            let key = world.open(ms(0), port).unwrap();
            assert_eq!(*world.name(key), *one);
        }
        world.pool.forget(&one);
        let key = world.open(ms(0), 30).unwrap();
        assert_eq!(*world.name(key), *two);
    }
}
