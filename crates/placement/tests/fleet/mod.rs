//! Entries with pools of their own, and endpoints that take one request after the other.

use std::{
    cmp::Reverse,
    collections::{
        BTreeMap,
        BinaryHeap,
        HashMap, //
    },
    time::Duration, //
};

use mimosausher_placement::{
    Endpoint,
    FlowKey,
    MeanLoad,
    Performance,
    Pool,
    Progress,
    Reference,
    Target, //
};
use rand::{
    Rng as _,
    SeedableRng as _, //
};
use rand_chacha::ChaCha8Rng;

/// Requests that an endpoint queues.
const QUEUE: usize = 8;

/// One way between a client and an entry or endpoint.
const WAY: Duration = Duration::from_millis(3);

/// Time without an answer after which a client gives up.
const DEADLINE: f64 = 2.5;

/// How an endpoint treats its requests.
#[derive(Clone, Copy, Debug)]
pub struct Behaviour {
    /// Share of the requests that it drops.
    pub failing: f64,
    /// Requests at once above which it takes three times as long.
    pub knee: usize,
    pub speed: f64,
}

pub const USUAL: Behaviour = Behaviour {
    failing: 0.0,
    knee: usize::MAX,
    speed: 1.0,
};

#[derive(Clone, Debug, Default)]
struct Server {
    queue: Vec<usize>,
    running: usize,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrive,
    Exchange,
    Finish(usize),
    Tick,
}

/// A request: when it arrived, its endpoint, and its time if it was answered.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    pub at: f64,
    pub endpoint: usize,
    pub time: Option<f64>,
    entry: usize,
}

/// A deployment and its load.
pub struct Fleet<F> {
    /// Endpoint behaviour, by number and time.
    pub behaviour: F,
    pub endpoints: usize,
    pub entries: usize,
    /// Whether entries learn.
    pub learns: bool,
    pub rate: f64,
    pub seconds: u64,
    pub slots: u16,
    /// Mean work of a request, in seconds.
    pub work: f64,
}

impl<F: Fn(usize, f64) -> Behaviour> Fleet<F> {
    /// Plays the load; returns all requests.
    pub fn run(&self) -> Vec<Request> {
        let mut run = Run::new(self);
        while let Some(Reverse((now, _, event))) = run.events.pop() {
            if now >= Duration::from_secs(self.seconds) {
                break;
            }
            run.now = now;
            match event {
                Event::Arrive => run.arrive(),
                Event::Exchange => run.exchange(),
                Event::Finish(number) => run.finish(number),
                Event::Tick => {
                    run.pools.iter_mut().for_each(|pool| pool.tick(now));
                    run.after(Duration::from_millis(250), Event::Tick);
                }
            }
        }
        run.requests
    }
}

struct Run<'a, F> {
    events: BinaryHeap<Reverse<(Duration, usize, Event)>>,
    fleet: &'a Fleet<F>,
    /// What each entry reported last, as the others hear it at the next exchange.
    loads: Vec<BTreeMap<u32, (f32, u32)>>,
    now: Duration,
    numbers: HashMap<Box<str>, usize>,
    performance: Vec<HashMap<Reference, Performance>>,
    pools: Vec<Pool>,
    random: ChaCha8Rng,
    requests: Vec<Request>,
    sequence: usize,
    servers: Vec<Server>,
    target: Target,
}

impl<'a, F: Fn(usize, f64) -> Behaviour> Run<'a, F> {
    fn new(fleet: &'a Fleet<F>) -> Self {
        let pool = match fleet.learns {
            true => Pool::new().with_learning(),
            false => Pool::new(),
        };
        let mut pools = vec![pool; fleet.entries];
        let service = pools.iter_mut().map(|pool| pool.service("s")).next();
        let service = service.unwrap();
        let names = (0..fleet.endpoints).map(|number| Box::from(format!("i-{number}")));
        let numbers: HashMap<Box<str>, usize> = names.zip(0..).collect();
        for pool in &mut pools {
            let service = pool.service("s");
            for number in 0..fleet.endpoints {
                let (name, address) = (format!("i-{number}"), format!("10.0.0.{number}:80"));
                let endpoint = Endpoint::new(&name, 1, address.parse().unwrap(), service);
                pool.update(endpoint.with_slots(fleet.slots));
            }
        }
        let mut run = Self {
            events: BinaryHeap::new(),
            fleet,
            loads: vec![BTreeMap::new(); fleet.entries],
            now: Duration::ZERO,
            numbers,
            performance: vec![HashMap::new(); fleet.entries],
            pools,
            random: ChaCha8Rng::seed_from_u64(1),
            requests: Vec::new(),
            sequence: 0,
            servers: vec![Server::default(); fleet.endpoints],
            target: Target::new(service, 1),
        };
        run.after(Duration::ZERO, Event::Tick);
        run.after(Duration::from_millis(10), Event::Arrive);
        run.after(Duration::from_millis(500), Event::Exchange);
        run
    }

    fn after(&mut self, pause: Duration, event: Event) {
        self.sequence += 1;
        let at = self.now + pause;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn flow(number: usize) -> FlowKey {
        FlowKey {
            client: format!("100.64.{}.1:{}", number / 50_000, 1 + number % 50_000)
                .parse()
                .unwrap(),
            destination: "198.18.0.1:443".parse().unwrap(),
        }
    }

    fn behaviour(&self, endpoint: usize) -> Behaviour {
        (self.fleet.behaviour)(endpoint, self.now.as_secs_f64())
    }

    /// A client opens a flow and sends its request; the request is at its endpoint at once.
    fn arrive(&mut self) {
        let gap = -self.random.random_range(f64::EPSILON..1.0).ln() / self.fleet.rate;
        self.after(Duration::from_secs_f64(gap), Event::Arrive);
        let number = self.requests.len();
        let entry = self.random.random_range(0..self.fleet.entries);
        let pool = &mut self.pools[entry];
        let opened = pool.open(
            self.now,
            Self::flow(number),
            &[self.target],
            &mut self.random,
        );
        let name = pool.get(opened.unwrap()).unwrap().name.clone();
        let endpoint = self.numbers[&name];
        self.requests.push(Request {
            at: self.now.as_secs_f64(),
            endpoint,
            entry,
            time: None,
        });
        self.packet(number, 2 * WAY, 1, 100);
        let failing = self.behaviour(endpoint).failing;
        if self.random.random_bool(failing) {
            return;
        }
        let server = &mut self.servers[endpoint];
        match server.running < usize::from(self.fleet.slots) {
            true => self.start(number),
            false if server.queue.len() < QUEUE => server.queue.push(number),
            // An endpoint with a full queue says so at once.
            false => self.packet(number, 4 * WAY, 2, 0),
        }
    }

    /// A packet of the client passes through its entry.
    fn packet(&mut self, number: usize, after: Duration, acknowledged: u32, length: u16) {
        let request = self.requests[number];
        let reference = Reference::from_name(&format!("i-{}", request.endpoint));
        let progress = Progress {
            acknowledged,
            closing: length == 0,
            length,
            sequence: 1,
        };
        let (now, flow) = (self.now + after, Self::flow(number));
        let pool = &mut self.pools[request.entry];
        let found = pool.lookup(now, flow, Some(reference), progress, false);
        assert!(found.is_ok());
    }

    fn start(&mut self, number: usize) {
        let endpoint = self.requests[number].endpoint;
        let behaviour = self.behaviour(endpoint);
        let server = &mut self.servers[endpoint];
        server.running += 1;
        let knee = match server.running > behaviour.knee {
            true => 3.0,
            false => 1.0,
        };
        // Between a quarter and seven quarters of the mean.
        let work = self.fleet.work * self.random.random_range(0.25..1.75);
        let time = Duration::from_secs_f64(work * knee / behaviour.speed);
        self.after(time, Event::Finish(number));
    }

    fn finish(&mut self, number: usize) {
        let request = self.requests[number];
        let time = self.now.as_secs_f64() - request.at + 4.0 * WAY.as_secs_f64();
        if time < DEADLINE {
            self.requests[number].time = Some(time);
        }
        self.packet(number, 4 * WAY, 2, 0);
        let server = &mut self.servers[request.endpoint];
        server.running -= 1;
        if !server.queue.is_empty() {
            let next = server.queue.remove(0);
            self.start(next);
        }
    }

    /// Entries hear the sums of what all of them reported an exchange ago.
    fn exchange(&mut self) {
        let now = self.now;
        let mut loads: BTreeMap<u32, (f32, u32)> = BTreeMap::new();
        let mut sums: HashMap<Reference, Performance> = HashMap::new();
        for (reference, (busy, flows)) in self.loads.iter().flatten() {
            let sum = loads.entry(*reference).or_default();
            *sum = (sum.0 + busy, sum.1 + flows);
        }
        for (reference, performance) in self.performance.iter().flatten() {
            let sum = sums.entry(*reference).or_default();
            sum.add(now, performance);
        }
        for (number, pool) in self.pools.iter_mut().enumerate() {
            pool.clear_external_loads();
            for (reference, (busy, flows)) in &loads {
                let own = self.loads[number].get(reference);
                let (own_busy, own_flows) = own.copied().unwrap_or_default();
                let load = MeanLoad {
                    busy: busy - own_busy,
                    flows: flows - own_flows,
                };
                pool.set_external_load(Reference::from_number(*reference).unwrap(), load);
            }
            for (reference, sum) in &sums {
                pool.set_shared_performance(now, *reference, *sum);
            }
            self.performance[number].extend(pool.observed_performance());
            let used = pool.in_use();
            let used = used.map(|endpoint| {
                let busy = f32::from(u16::try_from(endpoint.mean_busy(128)).unwrap()) / 128.0;
                let flows = endpoint.own_load().flows;
                (endpoint.reference.number(), (busy, flows))
            });
            self.loads[number] = used.collect();
        }
        self.after(Duration::from_millis(500), Event::Exchange);
    }
}
