//! Directory of the endpoints known to an instance.

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
        PAUSE_GRACE,
        PAUSE_THRESHOLD, //
    },
};

/// Offset added to every time, so that events before the start of the process have a time too.
const CLOCK_OFFSET: Duration = Duration::from_secs(3600);

/// Directory of the endpoints known to an instance, each under a lease.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    /// Bindings in use, by address.
    addresses: BTreeMap<SocketAddr, EndpointKey>,
    bindings: SlotMap<EndpointKey, Binding>,
    generation: u64,
    last_tick: Option<Duration>,
    names: BTreeMap<Box<str>, EndpointKey>,
    /// Length of the last pause, and the time until which received messages may have been queued
    /// during it.
    pause: (Duration, Duration),
    services: BTreeMap<Box<str>, BTreeSet<EndpointKey>>,
}

impl Directory {
    /// Creates an empty directory.
    pub fn new() -> Self {
        Self::default()
    }

    /// Handles an announcement and renews the endpoint's lease.
    ///
    /// A new binding of an address waits for [`REBIND_DELAY`](crate::REBIND_DELAY) before it is
    /// used, unless the address belonged to the same endpoint and service, or this instance has run
    /// for less than [`LEASE`].
    ///
    /// # Errors
    ///
    /// [`Code::AnnouncementStale`] if a later one is already known, or it is older than the lease;
    /// the lease is not renewed. [`Code::AnnouncementConflict`] while the address is held by
    /// another endpoint, or if the incarnation had another address or service before.
    pub fn announce(&mut self, now: Duration, mut report: Report) -> Result<EndpointKey, Code> {
        let just_started = now < LEASE;
        let now = now + CLOCK_OFFSET;
        report.age += self.queued_for(now);
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
        self.try_activate(now, key, just_started)
    }

    /// Expires leases and ends waits; to be called every [`TICK`](crate::TICK).
    pub fn tick(&mut self, now: Duration) {
        let now = now + CLOCK_OFFSET;
        let gap = self
            .last_tick
            .map_or(Duration::ZERO, |last| now.saturating_sub(last));
        if gap > PAUSE_THRESHOLD {
            self.pause = (gap, now + PAUSE_GRACE);
        }
        self.last_tick = Some(now);
        self.expire(now);
        let keys: Vec<_> = self.bindings.keys().collect();
        for key in keys {
            let _result = self.try_activate(now, key, false);
        }
    }

    /// Ticks if the last tick is overdue.
    ///
    /// Code that may run before the first tick after a pause of the process calls this first, so
    /// that no lease that expired during the pause is used.
    pub fn catch_up(&mut self, now: Duration) {
        let overdue = self
            .last_tick
            .is_some_and(|last| (now + CLOCK_OFFSET).saturating_sub(last) > PAUSE_THRESHOLD);
        if overdue {
            self.tick(now);
        }
    }

    /// Increases with each change of the usable endpoints or their weights.
    pub const fn generation(&self) -> u64 {
        self.generation
    }

    /// The endpoint of a key while it is in use; its established flows still go to its address.
    ///
    /// A key whose lease has expired is in use again if the same incarnation is confirmed later;
    /// see [`contains_key`](Self::contains_key).
    pub fn get(&self, key: EndpointKey) -> Option<&Endpoint> {
        self.bindings
            .get(key)
            .filter(|binding| binding.phase == Phase::InUse)
            .map(|binding| &binding.endpoint)
    }

    /// The key of an endpoint by name, including one that waits for its address.
    pub fn key(&self, name: &str) -> Option<EndpointKey> {
        self.names.get(name).copied()
    }

    /// Whether the directory holds the key's binding, also an expired one; once removed, it never
    /// returns.
    pub fn contains_key(&self, key: EndpointKey) -> bool {
        self.bindings.contains_key(key)
    }

    /// All endpoints in use, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = (EndpointKey, &Endpoint)> {
        self.bindings
            .iter()
            .filter(|(_, binding)| binding.phase == Phase::InUse)
            .map(|(key, binding)| (key, &binding.endpoint))
    }

    /// The endpoints of a service in use, ordered by key.
    pub fn by_service(&self, service: &str) -> impl Iterator<Item = (EndpointKey, &Endpoint)> {
        self.services
            .get(service)
            .into_iter()
            .flatten()
            .filter_map(|key| Some((*key, self.get(*key)?)))
    }

    /// Whether the endpoint may get new work now: it is ready, was confirmed within [`FRESHNESS`]
    /// and is the only holder of its address.
    ///
    /// [`FRESHNESS`]: crate::FRESHNESS
    pub fn accepts_work(&self, now: Duration, key: EndpointKey) -> bool {
        self.bindings
            .get(key)
            .is_some_and(|binding| binding.accepts_work(now + CLOCK_OFFSET))
    }

    /// The endpoint's weight for new work, in thousandths of full weight; 0 if it may get none.
    pub fn weight(&self, now: Duration, key: EndpointKey) -> u16 {
        self.bindings
            .get(key)
            .map_or(0, |binding| binding.weight_at(now + CLOCK_OFFSET))
    }

    /// Time since the endpoint's last confirmation; `None` for an unknown key.
    pub fn age(&self, now: Duration, key: EndpointKey) -> Option<Duration> {
        let binding = self.bindings.get(key)?;
        Some(binding.age(now + CLOCK_OFFSET))
    }

    /// Report of the endpoint's latest announcement, to send to another instance.
    pub fn report(&self, now: Duration, key: EndpointKey) -> Option<Report> {
        let binding = self.bindings.get(key)?;
        Some(binding.report(now + CLOCK_OFFSET))
    }

    /// Endpoints that wait to use their address.
    pub fn waiting(&self) -> impl Iterator<Item = &Endpoint> {
        self.bindings
            .values()
            .filter(|binding| binding.phase == Phase::Waiting)
            .map(|binding| &binding.endpoint)
    }

    /// Maximum time for which a message received now was queued during a pause of the process.
    fn queued_for(&self, now: Duration) -> Duration {
        let (length, until) = self.pause;
        let since_tick = self
            .last_tick
            .map_or(Duration::ZERO, |last| now.saturating_sub(last));
        match () {
            () if since_tick > PAUSE_THRESHOLD => since_tick,
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
            let (new, old_endpoint) = (&binding.endpoint, &old.endpoint);
            let same = (new.address, &new.service) == (old_endpoint.address, &old_endpoint.service);
            match old.phase {
                Phase::InUse if same && old.leased(now) => {
                    binding.inherit(&old);
                    binding.activate();
                }
                Phase::Waiting if same && old.leased(now) => binding.inherit(&old),
                Phase::Expired | Phase::InUse | Phase::Waiting => {}
            }
        }
        self.insert(now, binding)
    }

    fn insert(&mut self, now: Duration, binding: Binding) -> EndpointKey {
        let name = binding.endpoint.name.clone();
        let service = binding.endpoint.service.clone();
        let (address, in_use) = (binding.endpoint.address, binding.phase == Phase::InUse);
        let key = self.bindings.insert(binding);
        if in_use {
            self.addresses.insert(address, key);
        }
        self.names.insert(name, key);
        self.services.entry(service).or_default().insert(key);
        self.update_weight(now, key);
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

    /// Puts a binding in use if its wait is over and its address is free.
    fn try_activate(
        &mut self,
        now: Duration,
        key: EndpointKey,
        just_started: bool,
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
            Phase::InUse => {}
            Phase::Expired | Phase::Waiting if !binding.leased(now) => {}
            Phase::Expired | Phase::Waiting if !free => return Err(Code::AnnouncementConflict),
            Phase::Expired | Phase::Waiting if just_started || binding.wait_over(now) => {
                binding.phase = Phase::InUse;
                self.addresses.insert(address, key);
                self.generation += 1;
            }
            Phase::Expired | Phase::Waiting => {}
        }
        self.update_weight(now, key);
        Ok(key)
    }

    fn update_weight(&mut self, now: Duration, key: EndpointKey) {
        if let Some(binding) = self.bindings.get_mut(key) {
            let weight = binding.weight_at(now);
            self.generation += u64::from(weight != binding.weight);
            binding.weight = weight;
        }
    }

    fn expire(&mut self, now: Duration) {
        let mut removable = Vec::new();
        for (key, binding) in &mut self.bindings {
            if !binding.retained(now) {
                removable.push(key);
            } else if binding.phase == Phase::InUse && !binding.leased(now) {
                binding.phase = Phase::Expired;
                self.addresses.remove(&binding.endpoint.address);
                self.generation += 1;
            }
        }
        for key in removable {
            self.remove(key);
        }
    }
}
