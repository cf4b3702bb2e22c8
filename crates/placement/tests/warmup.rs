//! The limit of new flows to endpoints in their slow start, over all entries.
//!
//! The load pattern: every entry has more new flows than the cold endpoints bear, and hears of the
//! other entries half a second late.

use std::{
    collections::{
        BTreeMap,
        VecDeque, //
    },
    net::SocketAddrV4,
    time::Duration, //
};

use codes::Code;
use mimosausher_placement::{
    Distance,
    Endpoint,
    EndpointKey,
    FlowKey,
    Pool,
    Progress,
    ServiceKey,
    Target, //
};
use rand::{
    Rng as _,
    SeedableRng as _, //
};
use rand_chacha::ChaCha8Rng;

const CENTRES: [&str; 3] = ["a", "b", "c"];
const ENTRIES: u16 = 68;
const ENDPOINTS: u8 = 12;
const STALENESS: u64 = 500;
const STEP: u64 = 5;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

struct Entry {
    address: SocketAddrV4,
    centre: usize,
    /// Whether stores reach it.
    in_touch: bool,
    pool: Pool,
    running: bool,
    service: ServiceKey,
}

impl Entry {
    fn new(number: u16, rate: f32) -> Self {
        let mut pool = Pool::new();
        let service = pool.service("s");
        pool.set_warmup_rates([(service, rate)].into_iter());
        let address = format!("10.0.0.1:{}", 1000 + number).parse().unwrap();
        pool.set_own_address(address);
        Self {
            address,
            centre: usize::from(number) % CENTRES.len(),
            in_touch: true,
            pool,
            running: true,
            service,
        }
    }

    fn update(&mut self, number: u8, incarnation: u64, slow_until: Duration) {
        let address = format!("10.0.1.{number}:80").parse().unwrap();
        let endpoint = Endpoint::new(&format!("i-{number}"), incarnation, address, self.service);
        let centre = self.pool.centre("a");
        let endpoint = endpoint.with_centre(centre).with_slots(2);
        self.pool.update(endpoint.with_slow_until(slow_until));
    }

    fn open(
        &mut self,
        now: Duration,
        flow: FlowKey,
        random: &mut ChaCha8Rng,
    ) -> Result<EndpointKey, Code> {
        let targets = [Target::new(self.service, 1)];
        self.pool.open(now, flow, &targets, random)
    }
}

/// Entries, and the stores that tell them of each other.
struct Harness {
    entries: Vec<Entry>,
    /// What stores knew of the entries at each time; the last is the newest.
    known: VecDeque<(u64, Vec<(SocketAddrV4, usize)>)>,
    now: u64,
    /// Until when stores have only heard of their own followers.
    partial_until: u64,
    /// Times of the flows that each endpoint got.
    placed: BTreeMap<Box<str>, Vec<u64>>,
    random: ChaCha8Rng,
    rate: f32,
}

impl Harness {
    fn new(rate: f32, endpoints: u8) -> Self {
        let mut harness = Self {
            entries: (0..ENTRIES)
                .map(|number| Entry::new(number, rate))
                .collect(),
            known: VecDeque::new(),
            now: 0,
            partial_until: 0,
            placed: BTreeMap::new(),
            random: ChaCha8Rng::seed_from_u64(7),
            rate,
        };
        for entry in &mut harness.entries {
            for number in 0..endpoints {
                entry.update(number, 1, Duration::MAX);
            }
        }
        harness.tell();
        harness
    }

    fn join(&mut self, endpoints: u8) {
        let number = u16::try_from(self.entries.len()).unwrap();
        let mut entry = Entry::new(number, self.rate);
        for number in 0..endpoints {
            entry.update(number, 1, Duration::MAX);
        }
        self.entries.push(entry);
        self.tell();
    }

    /// Stores learn of the entries; those that have died stay for a minute.
    fn tell(&mut self) {
        let known = self
            .entries
            .iter()
            .map(|entry| (entry.address, entry.centre));
        self.known.push_back((self.now, known.collect()));
    }

    /// Each entry is told twice a second, at a time of its own, of what the stores knew up to half
    /// a second before; a new entry is told of itself at once.
    fn exchange(&mut self) {
        for (number, entry) in (0u64..).zip(&mut self.entries) {
            if !entry.in_touch || (self.now + number * 35) % STALENESS >= STEP {
                continue;
            }
            let delay = number * 97 % STALENESS;
            let known = self.known.iter().rev().find(|(at, known)| {
                let own = known.iter().any(|(address, _)| *address == entry.address);
                own && *at + delay <= self.now
            });
            let (_, known) = known.unwrap_or(self.known.back().unwrap());
            let keys = CENTRES.map(|name| entry.pool.centre(name));
            let partial = self.now < self.partial_until;
            let known = known
                .iter()
                .filter(|(address, _)| !partial || *address == entry.address);
            let known = known.map(|(address, centre)| (*address, keys[*centre]));
            entry.pool.record_entries(ms(self.now), known);
        }
    }

    /// Every entry offers some forty flows a second until a time.
    fn run(&mut self, until: u64) {
        while self.now < until {
            self.exchange();
            let now = ms(self.now);
            let mut port = 0;
            for entry in self.entries.iter_mut().filter(|entry| entry.running) {
                port += 1;
                if self.now.is_multiple_of(250) {
                    entry.pool.tick(now);
                }
                if !self.random.random_bool(0.2) {
                    continue;
                }
                let flow = FlowKey {
                    client: format!("100.64.0.{}:{}", self.now / STEP % 250, 1024 + port)
                        .parse()
                        .unwrap(),
                    destination: "198.18.0.1:443".parse().unwrap(),
                };
                match entry.open(now, flow, &mut self.random) {
                    Ok(key) => {
                        let endpoint = entry.pool.get(key).unwrap();
                        let reference = Some(endpoint.reference);
                        self.placed
                            .entry(endpoint.name.clone())
                            .or_default()
                            .push(self.now);
                        let closing = Progress {
                            closing: true,
                            ..Progress::default()
                        };
                        entry
                            .pool
                            .lookup(now, flow, reference, closing, false)
                            .unwrap();
                    }
                    Err(Code::FlowNoEndpoint) => assert_eq!(entry.pool.iter().count(), 0),
                    Err(code) => assert_eq!(code, Code::FlowSlowStart),
                }
            }
            self.now += STEP;
        }
    }

    /// The most flows that an endpoint got in any second.
    fn peak(&self) -> usize {
        let peaks = self.placed.values().map(|times| {
            let windows = times.iter().enumerate();
            let counts = windows.map(|(first, start)| {
                times[first..]
                    .iter()
                    .take_while(|time| **time < start + 1000)
                    .count()
            });
            counts.max().unwrap_or_default()
        });
        peaks.max().unwrap_or_default()
    }

    /// Flows that all endpoints together got between two times, relative to their rates.
    fn use_between(&self, from: u64, to: u64, endpoints: u8) -> f32 {
        let times = self.placed.values().flatten();
        let count = times.filter(|time| (from..to).contains(*time)).count();
        let seconds = ms(to - from).as_secs_f32();
        f32::from(u16::try_from(count).unwrap()) / (self.rate * seconds * f32::from(endpoints))
    }

    fn assert_within_limit(&self) {
        let limit = self.rate * 1.5 + 5.0;
        let peak = f32::from(u16::try_from(self.peak()).unwrap());
        assert!(
            peak <= limit,
            "{peak} flows in a second at a rate of {}",
            self.rate
        );
    }
}

/// All endpoints that are left are cold: the sum holds at each rate, and is used.
#[test]
fn warmup_many_entries() {
    for rate in [0.5, 1.0, 2.0, 5.0, 10.0, 25.0] {
        let mut harness = Harness::new(rate, ENDPOINTS);
        harness.run(16_000);
        harness.assert_within_limit();
        let used = harness.use_between(7_000, 16_000, ENDPOINTS);
        assert!(
            (0.5..=1.1).contains(&used),
            "{used} of a rate of {rate} was used"
        );
    }
}

/// Entries start, die, are cut off while they go on with what they know, and come back.
#[test]
fn warmup_entries_change() {
    let mut harness = Harness::new(10.0, ENDPOINTS);
    harness.run(8_000);
    for _ in 0..16 {
        harness.join(ENDPOINTS);
        let next = harness.now + 200;
        harness.run(next);
    }
    for entry in harness.entries.iter_mut().skip(3).step_by(7) {
        entry.running = false;
        entry.in_touch = false;
    }
    for entry in harness.entries.iter_mut().step_by(5) {
        entry.in_touch = false;
    }
    harness.run(24_000);
    let used = harness.use_between(20_000, 24_000, ENDPOINTS);
    assert!(used >= 0.5, "{used} was used while entries were away");
    for entry in &mut harness.entries {
        entry.in_touch = true;
    }
    harness.run(34_000);
    harness.assert_within_limit();
    let used = harness.use_between(30_000, 34_000, ENDPOINTS);
    assert!(used >= 0.5, "{used} was used in the end");
}

/// One data centre's entries are cut off, and stay out longer than stores remember them: others take
/// their shares, and those that come back leave them the rates at first.
#[test]
fn warmup_centre_returns() {
    let mut harness = Harness::new(10.0, ENDPOINTS);
    harness.run(8_000);
    for entry in harness.entries.iter_mut().filter(|entry| entry.centre == 0) {
        entry.in_touch = false;
    }
    harness.run(12_000);
    let known = harness.entries.iter().filter(|entry| entry.in_touch);
    let known = known.map(|entry| (entry.address, entry.centre)).collect();
    harness.now += 60_000;
    harness.known.push_back((harness.now, known));
    let forgotten = harness.now;
    harness.run(forgotten + 12_000);
    let used = harness.use_between(forgotten + 8_000, forgotten + 12_000, ENDPOINTS);
    assert!(
        used >= 0.5,
        "{used} was used without the data centre's entries"
    );
    for entry in &mut harness.entries {
        entry.in_touch = true;
    }
    harness.tell();
    let back = harness.now;
    harness.run(back + 10_000);
    harness.assert_within_limit();
}

/// All entries start anew at once, as after a loss of power, and stores hear of each other's
/// followers later.
#[test]
fn warmup_entries_restart() {
    let mut harness = Harness::new(5.0, ENDPOINTS);
    harness.run(10_000);
    for number in 0..ENTRIES {
        let mut entry = Entry::new(number, harness.rate);
        for number in 0..ENDPOINTS {
            entry.update(number, 1, Duration::MAX);
        }
        harness.entries[usize::from(number)] = entry;
    }
    harness.partial_until = 12_000;
    harness.run(20_000);
    harness.assert_within_limit();
    let used = harness.use_between(17_000, 20_000, ENDPOINTS);
    assert!(used >= 0.5, "{used} was used after the start");
}

/// Endpoints of a data centre that was evacuated may have become cold before they say so: until
/// then they count as cold, and those that were not take all flows afterwards.
#[test]
fn warmup_after_evacuation() {
    let mut harness = Harness::new(2.0, 0);
    harness.run(8_000);
    let now = ms(harness.now);
    for entry in &mut harness.entries {
        for number in 0..ENDPOINTS {
            entry.update(number, 1, Duration::ZERO);
        }
        let centre = entry.pool.centre("a");
        entry.pool.presume_slow(now, centre);
    }
    harness.run(9_500);
    for entry in &mut harness.entries {
        entry.update(0, 1, ms(14_000));
    }
    harness.run(10_000);
    harness.assert_within_limit();
    harness.placed.clear();
    harness.run(12_000);
    let cold = harness.placed.remove("i-0").map_or(0, |times| times.len());
    assert!(cold <= 2 * 4, "{cold} flows went to the cold endpoint");
    assert!(harness.placed.values().all(|times| times.len() > 100));
}

/// Flows that carry many requests: each further one counts as much as a new flow.
#[test]
fn warmup_long_flows() {
    let mut harness = Harness::new(4.0, 1);
    harness.entries.truncate(1);
    harness.known.clear();
    harness.tell();
    harness.run(7_000);
    let entry = &mut harness.entries[0];
    let flow = FlowKey {
        client: "100.65.0.1:1024".parse().unwrap(),
        destination: "198.18.0.1:443".parse().unwrap(),
    };
    let now = ms(8_000);
    entry.pool.record_entries(now, std::iter::empty());
    let key = entry.open(now, flow, &mut harness.random).unwrap();
    let reference = Some(entry.pool.get(key).unwrap().reference);
    for number in 0..8 {
        let progress = Progress {
            acknowledged: number,
            length: 100,
            sequence: number * 100,
            ..Progress::default()
        };
        entry
            .pool
            .lookup(now, flow, reference, progress, false)
            .unwrap();
    }
    let next = FlowKey {
        client: "100.65.0.1:1025".parse().unwrap(),
        ..flow
    };
    let early = entry.open(ms(9_100), next, &mut harness.random);
    assert_eq!(early, Err(Code::FlowSlowStart));
    assert!(entry.open(ms(9_300), next, &mut harness.random).is_ok());
}

/// Warm endpoints of another data centre take what the cold ones may not, at once.
#[test]
fn warmup_others_left() {
    let mut harness = Harness::new(1.0, ENDPOINTS);
    for entry in &mut harness.entries {
        entry.update(ENDPOINTS, 1, Duration::ZERO);
    }
    harness.run(10_000);
    let warm = format!("i-{ENDPOINTS}");
    let taken = harness.placed.remove(&*warm).unwrap();
    assert!(taken.len() > 10_000, "refused though an endpoint was warm");
    harness.assert_within_limit();
}

/// Neither rates nor homes: flows are placed as by the version before both, with the same seed.
#[test]
fn warmup_no_terms() {
    let mut pool = Pool::new();
    let service = pool.service("s");
    for number in 0..40 {
        let address = format!("10.0.1.{number}:80").parse().unwrap();
        let distance = match number % 3 {
            0 => Distance::Centre,
            1 => Distance::Region,
            _ => Distance::Far,
        };
        let endpoint = Endpoint::new(&format!("i-{number}"), 1, address, service)
            .with_distance(distance)
            .with_slots(2)
            .with_slow_until(ms(number * 50));
        pool.update(endpoint);
    }
    let mut random = ChaCha8Rng::seed_from_u64(3);
    pool.track_remote(&mut random);
    let mut hash = 0u32;
    for number in 0..2000u32 {
        let now = ms(u64::from(number));
        if number % 250 == 0 {
            pool.tick(now);
        }
        let flow = FlowKey {
            client: format!("100.64.0.1:{}", 1024 + number % 1500)
                .parse()
                .unwrap(),
            destination: "198.18.0.1:443".parse().unwrap(),
        };
        let targets = [Target::new(service, 1)];
        let key = pool.open(now, flow, &targets, &mut random).unwrap();
        let reference = pool.get(key).unwrap().reference.number();
        hash = hash.rotate_left(5) ^ reference;
    }
    assert_eq!(hash, 3849429800);
}
