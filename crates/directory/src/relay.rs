//! Passes announcements on between instances.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    hash::{
        Hash,
        Hasher, //
    },
    net::SocketAddr,
    time::Duration, //
};

use codes::Code;
use siphasher::sip::SipHasher13;
use slotmap::SecondaryMap;

use crate::{
    batch::{
        Batch,
        Route, //
    },
    directory::Directory,
    endpoint::{
        EndpointKey,
        State, //
    },
    outbox::Outbox,
    path::Path,
    report::Report, //
};

/// Time for which reports are gathered into one batch.
const GATHER: Duration = Duration::from_millis(500);

/// Shortest time between two reports of an endpoint whose state did not change.
const REPEAT: Duration = Duration::from_millis(800);

/// Reports in one batch, so that it fits a packet.
const REPORTS: usize = 10;

/// Entries of the own data centre that an endpoint is reported to.
const FOLLOWERS: usize = 16;

/// Difference from which another instance is told for how long an endpoint has held its address.
const CORRECTION: Duration = Duration::from_secs(1);

/// The instances that announcements are passed on to.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Peers {
    /// Inner addresses of entries of each other data centre.
    pub contacts: Vec<Vec<SocketAddr>>,
    /// Inner addresses of the other entries of the own data centre.
    pub entries: Vec<SocketAddr>,
}

/// Passes announcements on: from the entry that an endpoint spoke to, to the entries of its data
/// centre and one of each other data centre, which passes them on to its own.
#[derive(Clone, Debug, Default)]
pub struct Relay {
    outboxes: BTreeMap<SocketAddr, Outbox>,
    paths: BTreeMap<SocketAddr, Path>,
    peers: Peers,
    sent: SecondaryMap<EndpointKey, (Duration, State)>,
}

impl Relay {
    /// Creates a relay without peers.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the peers; new ones are greeted.
    pub fn set_peers(&mut self, now: Duration, peers: Peers) {
        if peers == self.peers {
            return;
        }
        let all: BTreeSet<_> = peers
            .contacts
            .iter()
            .flatten()
            .chain(&peers.entries)
            .copied()
            .collect();
        self.paths.retain(|address, _| all.contains(address));
        self.outboxes.retain(|address, _| all.contains(address));
        for address in all {
            self.paths.entry(address).or_insert_with(|| {
                self.outboxes.entry(address).or_default().hasten(now);
                Path::default()
            });
        }
        self.peers = peers;
    }

    /// Takes in an announcement from the endpoint itself.
    ///
    /// # Errors
    ///
    /// Those of [`Directory::announce`].
    pub fn announce(
        &mut self,
        now: Duration,
        directory: &mut Directory,
        report: Report,
    ) -> Result<EndpointKey, Code> {
        let state = report.endpoint.state;
        let name = report.endpoint.name.clone();
        let taken = directory.announce(now, report);
        // One that waits for its address is passed on as well: the others wait from then on.
        if let Some(key) = directory.key(&name)
            && !matches!(taken, Err(Code::AnnouncementStale))
        {
            self.pass_on(now, key, state, &name);
        }
        taken
    }

    /// Takes in a batch from another instance.
    pub fn receive(
        &mut self,
        now: Duration,
        directory: &mut Directory,
        from: SocketAddr,
        batch: Batch,
    ) {
        let path = self.paths.entry(from).or_default();
        let first = path.fresh();
        let transit = path.received(now, batch.stamp, batch.echo);
        if first {
            self.send_all(now, directory, from);
        }
        if batch.reports.is_empty() {
            return;
        }
        let answer = self.outboxes.entry(from).or_default();
        answer.hasten(now + transit.map_or(Duration::ZERO, |_| GATHER));
        let Some(transit) = transit else {
            return;
        };
        for mut report in batch.reports {
            report.age += transit;
            self.take(now, directory, from, batch.route, report);
        }
    }

    /// The batches that are due.
    pub fn flush(&mut self, now: Duration, directory: &Directory) -> Vec<(SocketAddr, Batch)> {
        let due: Vec<_> = self
            .outboxes
            .iter_mut()
            .filter(|(_, outbox)| outbox.due.is_some_and(|due| due <= now))
            .map(|(address, outbox)| (*address, std::mem::take(outbox)))
            .collect();
        let mut batches = Vec::new();
        for (to, outbox) in due {
            self.pack(now, directory, to, &outbox, &mut batches);
        }
        batches
    }

    fn take(
        &mut self,
        now: Duration,
        directory: &mut Directory,
        from: SocketAddr,
        route: Route,
        report: Report,
    ) {
        let (bound, name) = (report.bound, report.endpoint.name.clone());
        let taken = directory.announce(now, report);
        let Some(key) = directory.key(&name) else {
            return;
        };
        let known = directory.report(now, key).map(|known| known.bound);
        if known.is_some_and(|known| known > bound + CORRECTION) {
            let outbox = self.outboxes.entry(from).or_default();
            outbox.add(Route::Direct, key, now + GATHER);
        }
        match route {
            Route::Forward(to) => self.send(now, to, Route::Direct, key, now),
            Route::Spread if taken.is_ok() => {
                let entries = self.followers(&name);
                for to in entries.into_iter().filter(|entry| *entry != from) {
                    self.send(now, to, Route::Direct, key, now);
                }
            }
            Route::Direct | Route::Spread => {}
        }
    }

    fn pass_on(&mut self, now: Duration, key: EndpointKey, state: State, name: &str) {
        let due = match self.sent.get(key) {
            Some((at, known)) if *known == state && now.saturating_sub(*at) < REPEAT => return,
            Some((_, known)) if *known == state => now + GATHER,
            Some(_) | None => now,
        };
        self.sent.insert(key, (now, state));
        for to in self.followers(name) {
            self.send(now, to, Route::Direct, key, due);
        }
        for contact in self.chosen(now, name) {
            self.send(now, contact, Route::Spread, key, due);
        }
    }

    /// The entries of the own data centre that an endpoint is reported to.
    fn followers(&self, name: &str) -> Vec<SocketAddr> {
        let mut entries = self.peers.entries.clone();
        if entries.len() > FOLLOWERS {
            entries.sort_by_cached_key(|entry| rank(name, entry));
            entries.truncate(FOLLOWERS);
        }
        entries
    }

    /// One contact of each other data centre, reached ones first.
    fn chosen(&self, now: Duration, name: &str) -> Vec<SocketAddr> {
        self.peers
            .contacts
            .iter()
            .filter_map(|contacts| {
                contacts
                    .iter()
                    .min_by_key(|contact| (!self.open(now, **contact), rank(name, contact)))
            })
            .copied()
            .collect()
    }

    /// Sends directly, or through another instance if the direct way is shut.
    fn send(
        &mut self,
        now: Duration,
        to: SocketAddr,
        route: Route,
        key: EndpointKey,
        due: Duration,
    ) {
        self.outboxes.entry(to).or_default().add(route, key, due);
        if self.open(now, to) || route != Route::Direct {
            return;
        }
        let other = self
            .paths
            .iter()
            .filter(|(address, path)| **address != to && path.open(now) && !path.fresh())
            .map(|(address, _)| *address)
            .min_by_key(|address| rank("", address));
        if let Some(other) = other {
            let outbox = self.outboxes.entry(other).or_default();
            outbox.add(Route::Forward(to), key, due);
        }
    }

    fn send_all(&mut self, now: Duration, directory: &Directory, to: SocketAddr) {
        let outbox = self.outboxes.entry(to).or_default();
        for (key, _) in directory.iter() {
            outbox.add(Route::Direct, key, now);
        }
    }

    fn open(&self, now: Duration, address: SocketAddr) -> bool {
        self.paths.get(&address).is_none_or(|path| path.open(now))
    }

    fn pack(
        &mut self,
        now: Duration,
        directory: &Directory,
        to: SocketAddr,
        outbox: &Outbox,
        batches: &mut Vec<(SocketAddr, Batch)>,
    ) {
        let path = self.paths.entry(to).or_default();
        let mut batch = |route, reports| {
            batches.push((
                to,
                Batch {
                    echo: path.echo(now),
                    reports,
                    route,
                    stamp: now,
                },
            ));
        };
        if outbox.keys.is_empty() {
            return batch(Route::Direct, Vec::new());
        }
        let mut routes: BTreeMap<Route, Vec<Report>> = BTreeMap::new();
        for (route, key) in &outbox.keys {
            let reports = routes.entry(*route).or_default();
            reports.extend(directory.report(now, *key));
        }
        for (route, reports) in routes {
            for reports in reports.chunks(REPORTS) {
                batch(route, reports.to_vec());
            }
        }
        path.sent(now);
    }
}

fn rank(name: &str, address: &SocketAddr) -> u64 {
    let mut hasher = SipHasher13::new();
    (name, address).hash(&mut hasher);
    hasher.finish()
}
