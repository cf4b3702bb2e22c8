//! Endpoint selection for new flows, lookup by reference, and resets of flows.

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

/// The flow of a port, each of a client of its own.
fn flow(port: u16) -> FlowKey {
    let [_, low] = port.to_be_bytes();
    FlowKey {
        client: format!("100.64.0.{low}:{port}").parse().unwrap(),
        destination: "198.18.0.1:443".parse().unwrap(),
    }
}

struct Harness {
    pool: Pool,
    random: ChaCha8Rng,
    targets: [Target; 1],
}

impl Harness {
    /// Creates a pool of `count` endpoints of one service, past their slow start.
    fn new(count: u8) -> Self {
        let mut pool = Pool::new();
        let service = pool.service("s");
        for number in 0..count {
            pool.update(endpoint(service, &format!("i-{number}"), number));
        }
        Self {
            pool,
            random: ChaCha8Rng::seed_from_u64(1),
            targets: [Target::new(service, 1)],
        }
    }

    fn open(&mut self, now: Duration, port: u16) -> Result<EndpointKey, Code> {
        self.pool.tick(now);
        self.pool
            .open(now, flow(port), &self.targets, &mut self.random)
    }

    /// Two flows find an endpoint unreachable by 600 ms.
    fn find_unreachable(&mut self, name: &str, ports: [u16; 2]) {
        for at in [0, 200, 600] {
            let found = ports.map(|port| self.lookup(ms(at), port, name, REQUEST));
            let expected = match at {
                600 => [Ok(()), Err(Code::FlowEndpointUnreachable)],
                _ => [Ok(()), Ok(())],
            };
            assert_eq!(found, expected);
        }
    }

    fn name(&self, key: EndpointKey) -> Box<str> {
        self.pool.get(key).unwrap().name.clone()
    }

    fn lookup(
        &mut self,
        now: Duration,
        port: u16,
        name: &str,
        packet: Progress,
    ) -> Result<(), Code> {
        self.pool.tick(now);
        self.lookup_without_tick(now, port, name, packet, true)
    }

    /// Looks up a packet without a tick before it, as after a pause of the process.
    fn lookup_without_tick(
        &mut self,
        now: Duration,
        port: u16,
        name: &str,
        packet: Progress,
        repeatable: bool,
    ) -> Result<(), Code> {
        let reference = Some(Reference::from_name(name));
        let found = self
            .pool
            .lookup(now, flow(port), reference, packet, repeatable);
        found.map(|key| assert_eq!(&*self.name(key), name))
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
fn lookup_without_flow_state() {
    let mut one = Harness::new(5);
    let key = one.open(ms(0), 1).unwrap();
    let name = one.name(key);
    let mut other = Harness::new(5);
    assert_eq!(other.lookup(ms(3), 1, &name, REQUEST), Ok(()));
}

#[test]
fn lookup_unknown_reference() {
    let mut harness = Harness::new(2);
    let unknown = harness.pool.lookup(ms(0), flow(1), None, REQUEST, true);
    assert_eq!(unknown, Err(Code::FlowUnknown));
    let other = Some(Reference::from_name("i-77"));
    let unknown = harness.pool.lookup(ms(0), flow(1), other, REQUEST, true);
    assert_eq!(unknown, Err(Code::FlowUnknown));
}

#[test]
fn lookup_draining_endpoint() {
    let mut harness = Harness::new(2);
    let endpoint = harness
        .pool
        .iter()
        .find(|endpoint| &*endpoint.name == "i-0")
        .unwrap();
    let draining = endpoint.clone().with_phase(Phase::Draining);
    harness.pool.update(draining);
    assert_eq!(harness.lookup(ms(0), 1, "i-0", REQUEST), Ok(()));
    for port in 2..20 {
        let key = harness.open(ms(1), port).unwrap();
        assert_eq!(&*harness.name(key), "i-1");
    }
}

#[test]
fn lookup_gone_endpoint() {
    let mut harness = Harness::new(2);
    let endpoint = harness
        .pool
        .iter()
        .find(|endpoint| &*endpoint.name == "i-0")
        .unwrap();
    let gone = endpoint.clone().with_phase(Phase::Gone);
    harness.pool.update(gone);
    assert_eq!(
        harness.lookup(ms(0), 1, "i-0", REQUEST),
        Err(Code::FlowEndpointGone)
    );
}

/// A data centre is partitioned off, or an endpoint stops responding: the flow of a second client is
/// reset at its second retransmission, and further flows to the endpoint at the first.
#[test]
fn lookup_unreachable_endpoint() {
    let mut harness = Harness::new(2);
    harness.lookup(ms(0), 1, "i-0", REQUEST).unwrap();
    harness.lookup(ms(50), 2, "i-0", REQUEST).unwrap();
    harness.lookup(ms(100), 3, "i-0", REQUEST).unwrap();
    for (at, port) in [(200, 1), (250, 2), (600, 1)] {
        assert_eq!(harness.lookup(ms(at), port, "i-0", REQUEST), Ok(()));
    }
    assert_eq!(
        harness.lookup(ms(650), 2, "i-0", REQUEST),
        Err(Code::FlowEndpointUnreachable)
    );
    assert_eq!(
        harness.lookup(ms(660), 3, "i-0", REQUEST),
        Err(Code::FlowEndpointUnreachable)
    );
    assert_eq!(harness.lookup(ms(660), 4, "i-1", REQUEST), Ok(()));
    for port in 10..20 {
        let key = harness.open(ms(670), port).unwrap();
        assert_eq!(&*harness.name(key), "i-1");
    }
}

/// One acknowledgement is lost while the endpoint works on a request, or a client receives nothing:
/// all flows of the entry to this endpoint were reset.
#[test]
fn lookup_lost_acknowledgement() {
    let mut harness = Harness::new(2);
    for (port, host) in [(1, 1), (2, 1), (3, 2)] {
        let client = format!("100.64.0.{host}:{port}").parse().unwrap();
        let flow = FlowKey {
            client,
            ..flow(port)
        };
        let reference = Some(Reference::from_name("i-0"));
        for at in [0, 200, 600, 1_400, 3_000] {
            if host == 2 && at > 0 {
                continue;
            }
            harness.pool.tick(ms(at));
            let found = harness.pool.lookup(ms(at), flow, reference, REQUEST, true);
            assert!(found.is_ok(), "{flow:?} at {at}");
            assert!(harness.pool.orphans(ms(at)).is_empty());
        }
    }
}

/// Two clients lose an acknowledgement, seconds apart.
#[test]
fn lookup_lost_acknowledgements_apart() {
    let mut harness = Harness::new(2);
    for (start, port) in [(0, 1), (3_200, 2)] {
        for at in [0, 200, 600] {
            let found = harness.lookup(ms(start + at), port, "i-0", REQUEST);
            assert_eq!(found, Ok(()));
        }
    }
}

/// The first packet of a request also acknowledges what the endpoint sent before: the end of the
/// handshake, or the previous response. That must not count as an answer to this request.
#[test]
fn lookup_endpoint_that_ended_after_its_last_answer() {
    let mut harness = Harness::new(1);
    for port in [1, 2] {
        harness.open(ms(0), port).unwrap();
    }
    for at in [3, 203, 603] {
        assert_eq!(harness.lookup(ms(at), 1, "i-0", REQUEST), Ok(()));
        if at < 603 {
            assert_eq!(harness.lookup(ms(at), 2, "i-0", REQUEST), Ok(()));
        }
    }
    assert_eq!(
        harness.lookup(ms(603), 2, "i-0", REQUEST),
        Err(Code::FlowEndpointUnreachable)
    );
    let mut harness = Harness::new(1);
    let next = Progress {
        length: REQUEST.length,
        ..ANSWERED
    };
    for port in [1, 2] {
        harness.lookup(ms(0), port, "i-0", REQUEST).unwrap();
    }
    for (at, port) in [(50, 1), (50, 2), (250, 1), (250, 2), (650, 1)] {
        assert_eq!(harness.lookup(ms(at), port, "i-0", next), Ok(()));
    }
    assert_eq!(
        harness.lookup(ms(650), 2, "i-0", next),
        Err(Code::FlowEndpointUnreachable)
    );
}

#[test]
fn lookup_request_that_runs_at_most_once() {
    let mut harness = Harness::new(2);
    for at in [0, 200, 600, 1400] {
        assert_eq!(
            harness.lookup_without_tick(ms(at), 1, "i-0", REQUEST, false),
            Ok(())
        );
        harness.pool.tick(ms(at));
    }
}

/// One packet of a flow is lost twice while the endpoint answers other flows.
#[test]
fn lookup_endpoint_that_answers_others() {
    let mut harness = Harness::new(2);
    harness.lookup(ms(0), 1, "i-0", REQUEST).unwrap();
    harness.lookup(ms(10), 2, "i-0", REQUEST).unwrap();
    harness.lookup(ms(60), 2, "i-0", ANSWERED).unwrap();
    for at in [200, 600, 1400] {
        assert_eq!(harness.lookup(ms(at), 1, "i-0", REQUEST), Ok(()));
    }
}

#[test]
fn lookup_endpoint_reachable_again() {
    let mut harness = Harness::new(2);
    harness.find_unreachable("i-0", [8, 9]);
    harness.lookup(ms(700), 2, "i-0", REQUEST).unwrap();
    harness.lookup(ms(760), 2, "i-0", ANSWERED).unwrap();
    harness.lookup(ms(800), 3, "i-0", REQUEST).unwrap();
    assert_eq!(harness.lookup(ms(1000), 3, "i-0", REQUEST), Ok(()));
}

/// The entry was paused, and the packets of its clients queued up in its socket.
#[test]
fn lookup_after_pause() {
    let mut harness = Harness::new(2);
    harness.lookup(ms(0), 1, "i-0", REQUEST).unwrap();
    for at in [3_000, 3_001, 3_002, 3_200] {
        assert_eq!(
            harness.lookup_without_tick(ms(at), 1, "i-0", REQUEST, true),
            Ok(())
        );
    }
}

/// Several packets of one request are not retransmissions.
#[test]
fn lookup_long_request() {
    let mut harness = Harness::new(1);
    for (at, sequence) in [(0, 1), (200, 1201), (400, 2401), (600, 3601)] {
        let packet = Progress {
            sequence,
            ..REQUEST
        };
        assert_eq!(harness.lookup(ms(at), 1, "i-0", packet), Ok(()));
    }
}

/// Idle flows to an unreachable endpoint are reset before their clients send the next request,
/// which may be one that must run at most once.
#[test]
fn orphans_unreachable_endpoint() {
    let mut harness = Harness::new(2);
    for (port, name) in [(1, "i-0"), (2, "i-0"), (3, "i-1"), (4, "i-0"), (5, "i-0")] {
        harness.lookup(ms(0), port, name, REQUEST).unwrap();
        harness.lookup(ms(50), port, name, ANSWERED).unwrap();
    }
    let next = Progress {
        acknowledged: 900,
        sequence: 101,
        ..REQUEST
    };
    for (at, port) in [(1_000, 4), (1_010, 5), (1_200, 4), (1_210, 5), (1_600, 4)] {
        assert_eq!(
            harness.lookup_without_tick(ms(at), port, "i-0", next, false),
            Ok(())
        );
        harness.pool.tick(ms(at));
        assert!(harness.pool.orphans(ms(at)).is_empty());
    }
    assert_eq!(
        harness.lookup_without_tick(ms(1_610), 5, "i-0", next, false),
        Ok(())
    );
    let mut orphans = harness.pool.orphans(ms(1_610));
    orphans.sort_by_key(|(flow, _)| flow.client);
    // The flows whose pending requests must run at most once are kept.
    assert_eq!(orphans, [(flow(1), 900), (flow(2), 900)]);
    assert!(harness.pool.orphans(ms(1_700)).is_empty());
}

/// A partition has healed, but no client of this entry has used the endpoint since. Packets of a
/// flow that moves to this entry later, one of them lost, must not count as evidence of the
/// partition.
#[test]
fn orphans_long_after_partition() {
    let mut harness = Harness::new(2);
    harness.find_unreachable("i-0", [1, 8]);
    for at in (1_000..6_000).step_by(250) {
        harness.pool.tick(ms(at));
    }
    let acknowledgement = Progress {
        length: 0,
        ..ANSWERED
    };
    assert_eq!(harness.lookup(ms(6_000), 2, "i-0", acknowledgement), Ok(()));
    assert!(harness.pool.orphans(ms(6_250)).is_empty());
    for at in [6_300, 6_500] {
        assert_eq!(harness.lookup(ms(at), 3, "i-0", REQUEST), Ok(()));
    }
}

/// A flow that moves to this entry during the partition is not reset before it shows a failure.
#[test]
fn orphans_flow_seen_since() {
    let mut harness = Harness::new(2);
    harness.find_unreachable("i-0", [1, 8]);
    assert_eq!(harness.lookup(ms(700), 2, "i-0", ANSWERED), Ok(()));
    assert!(harness.pool.orphans(ms(800)).is_empty());
}

#[test]
fn orphans_gone_endpoint() {
    let mut harness = Harness::new(2);
    harness.lookup(ms(0), 1, "i-0", REQUEST).unwrap();
    harness.lookup(ms(50), 1, "i-0", ANSWERED).unwrap();
    let endpoint = harness
        .pool
        .iter()
        .find(|endpoint| &*endpoint.name == "i-0")
        .unwrap();
    let draining = endpoint.clone().with_phase(Phase::Draining);
    harness.pool.update(draining.clone());
    assert!(harness.pool.orphans(ms(100)).is_empty());
    harness.pool.update(draining.with_phase(Phase::Gone));
    assert_eq!(harness.pool.orphans(ms(100)), [(flow(1), 900)]);
}

#[test]
fn open_copy_elsewhere() {
    let mut harness = Harness::new(3);
    for port in 0..50 {
        let at = u64::from(port) * 5_000;
        let first = harness.open(ms(at), port).unwrap();
        let second = harness.open(ms(at + 200), port).unwrap();
        assert_ne!(first, second);
    }
}

#[test]
fn open_only_endpoint() {
    let mut harness = Harness::new(1);
    for at in [0, 200, 600] {
        assert!(harness.open(ms(at), 1).is_ok());
    }
}

#[test]
fn open_no_endpoint() {
    let mut harness = Harness::new(0);
    assert_eq!(harness.open(ms(0), 1), Err(Code::FlowNoEndpoint));
}

#[test]
fn open_weighted_services() {
    let mut harness = Harness::new(3);
    let service = harness.pool.service("t");
    let address = "10.0.1.1:80".parse().unwrap();
    harness
        .pool
        .update(Endpoint::new("i-99", 1, address, service));
    let [first] = harness.targets;
    let targets = [Target { weight: 9, ..first }, Target::new(service, 1)];
    let mut counts: HashMap<Box<str>, u32> = HashMap::new();
    for port in 0..10_000 {
        let key = harness
            .pool
            .open(ms(0), flow(port), &targets, &mut harness.random)
            .unwrap();
        *counts.entry(harness.name(key)).or_default() += 1;
    }
    // Four standard deviations of a binomial draw.
    assert!(counts["i-99"].abs_diff(1_000) < 120, "{counts:?}");
}

/// Many clients connect at once to an entry without load reports of other entries.
#[test]
fn open_burst_of_clients() {
    let mut harness = Harness::new(14);
    let mut counts: HashMap<EndpointKey, u32> = HashMap::new();
    for port in 0..140 {
        let key = harness.open(ms(u64::from(port) / 4), port).unwrap();
        *counts.entry(key).or_default() += 1;
    }
    assert!(
        counts.values().all(|count| (9..=11).contains(count)),
        "{counts:?}"
    );
}

#[test]
fn update_restarted_endpoint() {
    let mut harness = Harness::new(2);
    harness.lookup(ms(0), 1, "i-0", REQUEST).unwrap();
    let endpoint = harness
        .pool
        .iter()
        .find(|endpoint| &*endpoint.name == "i-0")
        .unwrap();
    let mut restarted = endpoint.clone();
    restarted.incarnation += 1;
    harness.pool.update(restarted);
    let endpoint = harness
        .pool
        .iter()
        .find(|endpoint| &*endpoint.name == "i-0")
        .unwrap();
    assert_eq!(
        (endpoint.own_load().busy, endpoint.own_load().flows),
        (0, 0)
    );
}

/// Two endpoint names hash to the same reference: on every entry, the endpoint that started first
/// gets it, and the other gets no flow, since its packets could reach the wrong endpoint.
#[test]
fn open_shared_reference() {
    let mut seen = HashMap::new();
    let (one, two) = (0_u64..)
        .find_map(|number| {
            let name = format!("i-{number:x}");
            let former = seen.insert(Reference::from_name(&name), name.clone());
            former.map(|former| (former, name))
        })
        .unwrap();
    for order in [[&one, &two], [&two, &one]] {
        let mut harness = Harness::new(0);
        let service = harness.targets[0].service;
        for name in order {
            let mut endpoint = endpoint(service, name, u8::from(*name == one));
            endpoint.incarnation = if *name == one { 7 } else { 8 };
            harness.pool.update(endpoint);
        }
        for port in 0..20 {
            let key = harness.open(ms(0), port).unwrap();
            assert_eq!(*harness.name(key), *one);
        }
        harness.pool.remove_endpoint(&one);
        let key = harness.open(ms(0), 30).unwrap();
        assert_eq!(*harness.name(key), *two);
    }
}
