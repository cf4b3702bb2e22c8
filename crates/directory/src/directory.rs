//! The endpoints that an instance knows.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    net::SocketAddr,
    time::Duration, //
};

use codes::Code;
use slotmap::SlotMap;

use crate::{
    binding::{
        Binding,
        Phase, //
    },
    endpoint::{
        Endpoint,
        EndpointKey, //
    },
    report::Report,
    times::{
        LEASE,
        STALL,
        STALL_ECHO, //
    },
};

/// Added to every time, so that what happened before the process started has a time as well.
const ORIGIN: Duration = Duration::from_secs(3600);

/// The endpoints that an instance knows, each under a lease.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    /// Bindings that are used, by address.
    addresses: BTreeMap<SocketAddr, EndpointKey>,
    bindings: SlotMap<EndpointKey, Binding>,
    generation: u64,
    names: BTreeMap<Box<str>, EndpointKey>,
    services: BTreeMap<Box<str>, BTreeSet<EndpointKey>>,
    /// Length of the last pause, and until when what arrives may have waited through it.
    stall: (Duration, Duration),
    ticked: Option<Duration>,
}

impl Directory {
    /// Creates an empty directory.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in an announcement and renews the endpoint's lease.
    ///
    /// A new binding of an address waits for [`WAIT`](crate::WAIT) before it is used, unless the address
    /// belonged to the same endpoint and service, or this instance itself has run for less.
    ///
    /// # Errors
    ///
    /// [`Code::AnnouncementStale`] if a later one is known already, or it is older than the lease;
    /// nothing is changed. [`Code::AnnouncementConflict`] while the address is held by another
    /// endpoint, or if the incarnation had another address or service before.
    pub fn announce(&mut self, now: Duration, mut report: Report) -> Result<EndpointKey, Code> {
        let young = now < LEASE;
        let now = now + ORIGIN;
        report.age += self.pause(now);
        if report.age >= LEASE {
            return Err(Code::AnnouncementStale);
        }
        let known = self.names.get(&report.endpoint.name).copied();
        let key = match known.and_then(|key| Some((key, self.bindings.get(key)?))) {
            Some((key, old)) if old.endpoint.incarnation == report.endpoint.incarnation => {
                self.renew(now, key, report)?
            }
            Some((_, old)) if old.endpoint.incarnation > report.endpoint.incarnation => {
                return Err(Code::AnnouncementStale);
            }
            Some((key, _)) => self.replace(now, key, report),
            None => self.insert(now, Binding::new(now, report)),
        };
        self.settle(now, key, young)
    }

    /// Lets leases and waits run out; to be called every [`TICK`](crate::TICK).
    pub fn tick(&mut self, now: Duration) {
        let now = now + ORIGIN;
        let gap = self
            .ticked
            .map_or(Duration::ZERO, |ticked| now.saturating_sub(ticked));
        if gap > STALL {
            self.stall = (gap, now + STALL_ECHO);
        }
        self.ticked = Some(now);
        self.expire(now);
        let keys: Vec<_> = self.bindings.keys().collect();
        for key in keys {
            let _waiting = self.settle(now, key, false);
        }
    }

    /// Ticks if the last tick is overdue.
    ///
    /// A face that may run first after a pause of the process calls it before it decides, so that
    /// no lease that ran out in the pause is used.
    pub fn catch_up(&mut self, now: Duration) {
        let overdue = self
            .ticked
            .is_some_and(|ticked| (now + ORIGIN).saturating_sub(ticked) > STALL);
        if overdue {
            self.tick(now);
        }
    }

    /// Grows with each change of who may take work, and with which weight.
    pub const fn generation(&self) -> u64 {
        self.generation
    }

    /// The endpoint of that key while its lease runs; established flows go on to its address.
    ///
    /// A key without an endpoint gets it back if the same incarnation is confirmed later; see
    /// [`knows`](Self::knows).
    pub fn get(&self, key: EndpointKey) -> Option<&Endpoint> {
        self.bindings
            .get(key)
            .filter(|binding| binding.phase == Phase::Used)
            .map(|binding| &binding.endpoint)
    }

    /// The key of the endpoint of that name, also of one that waits for its address.
    pub fn key(&self, name: &str) -> Option<EndpointKey> {
        self.names.get(name).copied()
    }

    /// Whether the key may have an endpoint now or later; if not, it never has one again.
    pub fn knows(&self, key: EndpointKey) -> bool {
        self.bindings.contains_key(key)
    }

    /// All endpoints under a lease, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = (EndpointKey, &Endpoint)> {
        self.bindings
            .iter()
            .filter(|(_, binding)| binding.phase == Phase::Used)
            .map(|(key, binding)| (key, &binding.endpoint))
    }

    /// The endpoints of one service under a lease, in the order of their keys.
    pub fn by_service(&self, service: &str) -> impl Iterator<Item = (EndpointKey, &Endpoint)> {
        self.services
            .get(service)
            .into_iter()
            .flatten()
            .filter_map(|key| Some((*key, self.get(*key)?)))
    }

    /// Whether the endpoint may take new work now: it is ready, was confirmed lately and holds
    /// its address alone.
    pub fn takes(&self, now: Duration, key: EndpointKey) -> bool {
        self.bindings
            .get(key)
            .is_some_and(|binding| binding.takes(now + ORIGIN))
    }

    /// The endpoint's share of new work in thousandths of a warm one's; 0 if it may take none.
    pub fn weight(&self, now: Duration, key: EndpointKey) -> u16 {
        self.bindings
            .get(key)
            .map_or(0, |binding| binding.weigh(now + ORIGIN))
    }

    /// Time since the endpoint's last confirmation; none for an unknown key.
    pub fn age(&self, now: Duration, key: EndpointKey) -> Option<Duration> {
        let binding = self.bindings.get(key)?;
        Some(binding.age(now + ORIGIN))
    }

    /// The endpoint's last announcement, with its age, for another instance.
    pub fn report(&self, now: Duration, key: EndpointKey) -> Option<Report> {
        let binding = self.bindings.get(key)?;
        Some(binding.report(now + ORIGIN))
    }

    /// Endpoints that wait for their address to be free.
    pub fn waiting(&self) -> impl Iterator<Item = &Endpoint> {
        self.bindings
            .values()
            .filter(|binding| binding.phase == Phase::Waiting)
            .map(|binding| &binding.endpoint)
    }

    fn pause(&self, now: Duration) -> Duration {
        let (length, until) = self.stall;
        let running = self
            .ticked
            .map_or(Duration::ZERO, |ticked| now.saturating_sub(ticked));
        match () {
            () if running > STALL => running,
            () if now < until => length,
            () => Duration::ZERO,
        }
    }

    fn renew(
        &mut self,
        now: Duration,
        key: EndpointKey,
        report: Report,
    ) -> Result<EndpointKey, Code> {
        let binding = self.bindings.get_mut(key).ok_or(Code::AnnouncementStale)?;
        let (old, new) = (&binding.endpoint, &report.endpoint);
        if new.sequence < old.sequence {
            return Err(Code::AnnouncementStale);
        }
        if (new.address, &new.service) != (old.address, &old.service) {
            return Err(Code::AnnouncementConflict);
        }
        if new.sequence == old.sequence {
            binding.merge(now, &report);
            return Err(Code::AnnouncementStale);
        }
        let changed = (old.state, old.slots) != (new.state, new.slots);
        binding.renew(now, report);
        self.generation += u64::from(changed);
        Ok(key)
    }

    fn replace(&mut self, now: Duration, key: EndpointKey, report: Report) -> EndpointKey {
        let mut binding = Binding::new(now, report);
        if let Some(old) = self.remove(key) {
            let (new, old_end) = (&binding.endpoint, &old.endpoint);
            let same = (new.address, &new.service) == (old_end.address, &old_end.service);
            match old.phase {
                Phase::Used if same && old.leased(now) => {
                    binding.inherit(&old);
                    binding.waive();
                }
                Phase::Waiting if same && old.leased(now) => binding.inherit(&old),
                Phase::Lapsed | Phase::Used | Phase::Waiting => {}
            }
        }
        self.insert(now, binding)
    }

    fn insert(&mut self, now: Duration, binding: Binding) -> EndpointKey {
        let name = binding.endpoint.name.clone();
        let service = binding.endpoint.service.clone();
        let (address, used) = (binding.endpoint.address, binding.phase == Phase::Used);
        let key = self.bindings.insert(binding);
        if used {
            self.addresses.insert(address, key);
        }
        self.names.insert(name, key);
        self.services.entry(service).or_default().insert(key);
        self.weigh(now, key);
        self.generation += 1;
        key
    }

    fn remove(&mut self, key: EndpointKey) -> Option<Binding> {
        let binding = self.bindings.remove(key)?;
        let endpoint = &binding.endpoint;
        if self.addresses.get(&endpoint.address) == Some(&key) {
            self.addresses.remove(&endpoint.address);
        }
        if self.names.get(&endpoint.name) == Some(&key) {
            self.names.remove(&endpoint.name);
        }
        if let Some(keys) = self.services.get_mut(&endpoint.service) {
            keys.remove(&key);
        }
        self.services.retain(|_, keys| !keys.is_empty());
        self.generation += 1;
        Some(binding)
    }

    /// Lets a binding be used as soon as it is settled and its address is free.
    fn settle(
        &mut self,
        now: Duration,
        key: EndpointKey,
        young: bool,
    ) -> Result<EndpointKey, Code> {
        let Some(binding) = self.bindings.get_mut(key) else {
            return Err(Code::AnnouncementStale);
        };
        let address = binding.endpoint.address;
        let free = self
            .addresses
            .get(&address)
            .is_none_or(|holder| *holder == key);
        match binding.phase {
            Phase::Used => {}
            Phase::Lapsed | Phase::Waiting if !binding.leased(now) => {}
            Phase::Lapsed | Phase::Waiting if !free => return Err(Code::AnnouncementConflict),
            Phase::Lapsed | Phase::Waiting if young || binding.settled(now) => {
                binding.phase = Phase::Used;
                self.addresses.insert(address, key);
                self.generation += 1;
            }
            Phase::Lapsed | Phase::Waiting => {}
        }
        self.weigh(now, key);
        Ok(key)
    }

    fn weigh(&mut self, now: Duration, key: EndpointKey) {
        if let Some(binding) = self.bindings.get_mut(key) {
            let weight = binding.weigh(now);
            self.generation += u64::from(weight != binding.weight);
            binding.weight = weight;
        }
    }

    fn expire(&mut self, now: Duration) {
        let mut forgotten = Vec::new();
        for (key, binding) in &mut self.bindings {
            if !binding.remembered(now) {
                forgotten.push(key);
            } else if binding.phase == Phase::Used && !binding.leased(now) {
                binding.phase = Phase::Lapsed;
                self.addresses.remove(&binding.endpoint.address);
                self.generation += 1;
            }
        }
        for key in forgotten {
            self.remove(key);
        }
    }
}
