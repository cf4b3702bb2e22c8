//! Routes whose requests may run in some regions only.

use std::time::Duration;

use codes::Code;
use mimosausher_placement::{
    Distance,
    Endpoint,
    FlowKey,
    Phase,
    Pool,
    ServiceKey,
    Target, //
};
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

const NOW: Duration = Duration::from_secs(1);

/// An endpoint of each region at each distance.
const ENDPOINTS: [(&str, &str, Distance); 4] = [
    ("i-near", "east", Distance::Centre),
    ("i-beside", "east", Distance::Region),
    ("i-far", "west", Distance::Far),
    ("i-farther", "north", Distance::Far),
];

struct Harness {
    pool: Pool,
    random: ChaCha8Rng,
    service: ServiceKey,
}

impl Harness {
    fn new() -> Self {
        let mut pool = Pool::new();
        let service = pool.service("s");
        let mut harness = Self {
            pool,
            random: ChaCha8Rng::seed_from_u64(1),
            service,
        };
        for (name, _, _) in ENDPOINTS {
            harness.update(name, Phase::Ready);
        }
        harness
    }

    fn update(&mut self, name: &str, phase: Phase) {
        let endpoint = ENDPOINTS
            .iter()
            .position(|(other, _, _)| *other == name)
            .unwrap();
        let (_, region, distance) = ENDPOINTS[endpoint];
        let region = self.pool.region(region);
        let address = format!("10.0.0.{endpoint}:80").parse().unwrap();
        let endpoint = Endpoint::new(name, 1, address, self.service)
            .with_distance(distance)
            .with_phase(phase)
            .with_region(Some(region));
        self.pool.update(endpoint);
    }

    fn open(&mut self, port: u16, homes: &[&str]) -> Result<Box<str>, Code> {
        let homes = self.pool.homes(homes.iter().copied());
        let targets = [Target::new(self.service, 1).with_homes(homes)];
        let flow = FlowKey {
            client: format!("100.64.0.1:{port}").parse().unwrap(),
            destination: "198.18.0.1:443".parse().unwrap(),
        };
        let key = self.pool.open(NOW, flow, &targets, &mut self.random)?;
        Ok(self.pool.get(key).unwrap().name.clone())
    }
}

/// The home is the entry's own region, another, or two others.
#[test]
fn homes_each_distance() {
    let mut harness = Harness::new();
    for port in 1024..1224 {
        assert_ne!(harness.open(port, &["east"]).unwrap(), "i-far".into());
        assert_eq!(harness.open(port + 1000, &["west"]), Ok("i-far".into()));
        let name = harness.open(port + 2000, &["north", "west"]).unwrap();
        assert!(["i-far", "i-farther"].contains(&&*name));
    }
    assert_eq!(harness.open(5000, &[]), Ok("i-near".into()));
}

/// Copies of an opening packet: the only endpoint at home did not answer the first.
#[test]
fn homes_copies() {
    let mut harness = Harness::new();
    for _ in 0..4 {
        assert_eq!(harness.open(1024, &["west"]), Ok("i-far".into()));
    }
}

/// A cut, or a release of all endpoints at home: no other region takes over.
#[test]
fn homes_nothing_left() {
    let mut harness = Harness::new();
    harness.update("i-far", Phase::Silent);
    assert_eq!(harness.open(1024, &["west"]), Ok("i-far".into()));
    for phase in [Phase::Draining, Phase::Gone] {
        harness.update("i-far", phase);
        assert_eq!(harness.open(1025, &["west"]), Err(Code::FlowNoEndpoint));
    }
    assert_eq!(harness.open(1026, &["south"]), Err(Code::FlowNoEndpoint));
}

/// Where the region of an endpoint is not known, it may be another one.
#[test]
fn homes_unknown_region() {
    let mut harness = Harness::new();
    let address = "10.0.0.9:80".parse().unwrap();
    harness
        .pool
        .update(Endpoint::new("i-unknown", 1, address, harness.service));
    harness.update("i-far", Phase::Gone);
    assert_eq!(harness.open(1024, &["west"]), Err(Code::FlowNoEndpoint));
}
