//! The policy that ships: the entries' real endpoint pools.

use std::{
    collections::{
        BTreeMap,
        HashMap, //
    },
    net::{
        Ipv4Addr,
        SocketAddrV4, //
    },
    time::Duration,
};

use placement::{
    Distance,
    Endpoint,
    MeanLoad,
    Performance,
    Pool,
    Progress,
    Reference,
    Target, //
};
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

use crate::{
    endpoints::Endpoints,
    policy::{
        FlowView,
        Policy, //
    },
    scenario::Scenario,
};

/// Units of the loads that entries tell each other, as between real instances.
const BUSY_UNITS: u16 = 128;

/// Port of all endpoints; their addresses differ.
const PORT: u16 = 8080;

/// Loads of one entry, by reference: pending requests in [`BUSY_UNITS`], and flows.
type Report = BTreeMap<u32, (u32, u32)>;

/// The entries' real endpoint pools.
#[derive(Debug)]
pub struct ShippedPolicy {
    names: HashMap<Box<str>, usize>,
    now: Duration,
    /// What each entry has observed last of the endpoints' performance.
    performance: Vec<BTreeMap<u32, Performance>>,
    pools: Vec<Pool>,
    random: ChaCha8Rng,
    /// What each entry told last, which the others hear at the next exchange.
    reports: Vec<Report>,
    targets: Vec<Target>,
}

impl ShippedPolicy {
    /// Creates the pools of all entries of a scenario; `learns` is whether they learn how well the
    /// endpoints perform.
    pub fn new(scenario: &Scenario, endpoints: &Endpoints, learns: bool, seed: u64) -> Self {
        let mut policy = Self {
            names: HashMap::new(),
            now: Duration::ZERO,
            performance: Vec::new(),
            pools: Vec::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
            reports: Vec::new(),
            targets: Vec::new(),
        };
        for (centre, count) in scenario.entries.iter().enumerate() {
            for _ in 0..*count {
                policy.add_entry(scenario, endpoints, centre, learns);
            }
        }
        policy
    }

    fn add_entry(
        &mut self,
        scenario: &Scenario,
        endpoints: &Endpoints,
        centre: usize,
        learns: bool,
    ) {
        let mut pool = match learns {
            true => Pool::new().with_learning(),
            false => Pool::new(),
        };
        let services = scenario.services.iter();
        let keys: Vec<_> = services
            .map(|service| pool.service(&service.name))
            .collect();
        for (number, model) in endpoints.iter() {
            let Some(service) = keys.get(model.service) else {
                continue;
            };
            let name: Box<str> = format!("i-{number}").into();
            let host = u32::try_from(number).unwrap_or_default();
            let address = SocketAddrV4::new(Ipv4Addr::from_bits(0x0a00_0000 + host), PORT);
            let endpoint = Endpoint::new(&name, 1, address, *service).with_slots(model.slots);
            pool.update(match model.centre == centre {
                true => endpoint,
                false => endpoint.with_distance(Distance::Region),
            });
            self.names.insert(name, number);
        }
        self.targets = keys
            .into_iter()
            .map(|service| Target::new(service, 1))
            .collect();
        self.performance.push(BTreeMap::new());
        self.pools.push(pool);
        self.reports.push(Report::new());
    }
}

impl ShippedPolicy {
    /// Entries hear the sums of what all of them have observed by the last exchange.
    fn exchange_performance(&mut self) {
        let now = self.now;
        let mut sums: BTreeMap<u32, Performance> = BTreeMap::new();
        for (number, performance) in self.performance.iter().flatten() {
            sums.entry(*number).or_default().add(now, performance);
        }
        for (pool, observed) in self.pools.iter_mut().zip(&mut self.performance) {
            for (number, sum) in &sums {
                if let Some(reference) = Reference::from_number(*number) {
                    pool.set_shared_performance(now, reference, *sum);
                }
            }
            let changed = pool.observed_performance().into_iter();
            observed.extend(changed.map(|(reference, seen)| (reference.number(), seen)));
        }
    }
}

impl Policy for ShippedPolicy {
    fn exchange(&mut self) {
        self.exchange_performance();
        let mut totals = Report::new();
        for (reference, (busy, flows)) in self.reports.iter().flatten() {
            let total = totals.entry(*reference).or_default();
            total.0 += busy;
            total.1 += flows;
        }
        for (pool, own) in self.pools.iter_mut().zip(&self.reports) {
            pool.clear_external_loads();
            for (number, (busy, flows)) in &totals {
                let (own_busy, own_flows) = own.get(number).copied().unwrap_or_default();
                let busy = u16::try_from(busy.saturating_sub(own_busy)).unwrap_or(u16::MAX);
                let load = MeanLoad {
                    busy: f32::from(busy) / f32::from(BUSY_UNITS),
                    flows: flows.saturating_sub(own_flows),
                };
                if let Some(reference) = Reference::from_number(*number) {
                    pool.set_external_load(reference, load);
                }
            }
        }
        for (pool, report) in self.pools.iter().zip(&mut self.reports) {
            let loads = pool.in_use().map(|endpoint| {
                let busy = endpoint.mean_busy(BUSY_UNITS.into());
                (
                    endpoint.reference.number(),
                    (busy, endpoint.own_load().flows),
                )
            });
            *report = loads.collect();
        }
    }

    fn open(&mut self, now: Duration, flow: FlowView, _endpoints: &Endpoints) -> Option<usize> {
        let target = *self.targets.get(flow.service)?;
        let pool = self.pools.get_mut(flow.entry)?;
        let key = pool.open(now, flow.key, &[target], &mut self.random).ok()?;
        self.names.get(&pool.get(key)?.name).copied()
    }

    fn record(&mut self, now: Duration, flow: FlowView, endpoint: usize, progress: Progress) {
        let reference = Some(Reference::from_name(&format!("i-{endpoint}")));
        if let Some(pool) = self.pools.get_mut(flow.entry) {
            // A packet without an endpoint is dropped by the entry; the model has none.
            let _endpoint = pool.lookup(now, flow.key, reference, progress, false);
        }
    }

    fn tick(&mut self, now: Duration) {
        self.now = now;
        for pool in &mut self.pools {
            pool.tick(now);
            pool.track_remote(&mut self.random);
        }
    }
}
