//! What silence shows while packets wait for the entry's own link.

use std::time::Duration;

use codes::Code;
use mimosausher_placement::{
    Endpoint,
    EndpointKey,
    FlowKey,
    Pool,
    Progress,
    Reference,
    Target, //
};
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

/// Number of endpoints.
const ENDPOINTS: u8 = 4;

struct Entry {
    pool: Pool,
    random: ChaCha8Rng,
    targets: Vec<Target>,
}

impl Entry {
    fn new() -> Self {
        let mut pool = Pool::new();
        let service = pool.service("s");
        for number in 0..ENDPOINTS {
            let address = format!("10.0.0.{number}:80").parse().unwrap();
            pool.update(Endpoint::new(&format!("i-{number}"), 1, address, service));
        }
        Self {
            pool,
            random: ChaCha8Rng::seed_from_u64(1),
            targets: vec![Target::new(service, 1)],
        }
    }

    fn open(&mut self, now: Duration) -> EndpointKey {
        self.pool.tick(now);
        let opened = self.pool.open(now, flow(), &self.targets, &mut self.random);
        opened.unwrap()
    }

    /// Sends a request on the flow of each of two clients; returns where that of the second goes.
    fn request(&mut self, now: Duration, reference: Reference) -> Result<EndpointKey, Code> {
        let other = FlowKey {
            client: "100.64.0.9:40000".parse().unwrap(),
            ..flow()
        };
        let first = self.request_on(other, now, reference);
        assert!(first.is_ok());
        self.request_on(flow(), now, reference)
    }

    fn request_on(
        &mut self,
        flow: FlowKey,
        now: Duration,
        reference: Reference,
    ) -> Result<EndpointKey, Code> {
        self.pool.tick(now);
        let progress = Progress {
            acknowledged: 7,
            length: 100,
            sequence: 1,
            ..Progress::default()
        };
        self.pool.lookup(now, flow, Some(reference), progress, true)
    }
}

fn flow() -> FlowKey {
    FlowKey {
        client: "100.64.0.1:40000".parse().unwrap(),
        destination: "198.18.0.1:443".parse().unwrap(),
    }
}

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn lookup_retransmissions_on_full_link() {
    let mut entry = Entry::new();
    let reference = Reference::from_name("i-0");
    for at in [1_000, 1_200, 1_600, 2_400] {
        entry.pool.record_congestion(millis(at));
        assert!(entry.request(millis(at), reference).is_ok());
    }
}

#[test]
fn lookup_retransmissions_on_free_link() {
    let mut entry = Entry::new();
    entry.pool.record_congestion(millis(900));
    let reference = Reference::from_name("i-0");
    for at in [1_000, 1_200] {
        assert!(entry.request(millis(at), reference).is_ok());
    }
    assert_eq!(
        entry.request(millis(1_600), reference),
        Err(Code::FlowEndpointUnreachable),
    );
}

#[test]
fn open_copies_on_full_link() {
    // The copies go on to other endpoints unless the link explains the silence.
    for congested in [false, true] {
        let mut entry = Entry::new();
        let first = entry.open(millis(1_000));
        if congested {
            entry.pool.record_congestion(millis(1_150));
        }
        let mut random = ChaCha8Rng::seed_from_u64(2);
        let failed = entry.open(millis(1_200));
        assert!(congested || failed != first);
        let others = (0..50).map(|port| {
            let client = format!("100.64.0.2:{}", 1_000 + port).parse().unwrap();
            let flow = FlowKey { client, ..flow() };
            let opened = entry
                .pool
                .open(millis(1_201), flow, &entry.targets, &mut random);
            opened.unwrap()
        });
        assert_eq!(others.collect::<Vec<_>>().contains(&first), congested);
    }
}

#[test]
fn record_departure_late() {
    let mut entry = Entry::new();
    let reference = Reference::from_name("i-0");
    assert!(entry.request(millis(1_000), reference).is_ok());
    // The packet left 190 ms later, so its client's timer says nothing of the endpoint yet.
    entry.pool.record_departure(millis(1_190), flow(), 1);
    for at in [1_200, 1_600] {
        assert!(entry.request(millis(at), reference).is_ok());
    }
}
