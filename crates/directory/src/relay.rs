//! Relays announcements between instances.

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

/// Time for which reports are collected into one batch.
const BATCH_DELAY: Duration = Duration::from_millis(500);

/// Minimum interval between reports of an endpoint whose state did not change.
const REPORT_INTERVAL: Duration = Duration::from_millis(800);

/// Maximum number of reports in a batch, so that it fits a packet.
const REPORTS_PER_BATCH: usize = 10;

/// Maximum number of entries in the same data centre that an endpoint is reported to.
const LOCAL_FANOUT: usize = 16;

/// Difference between two instances' values of [`Report::bound_for`] above which the sender of the
/// lower one is sent a report with the higher one.
const BOUND_TOLERANCE: Duration = Duration::from_secs(1);

/// The instances that announcements are relayed to.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Peers {
    /// Inner addresses of entries of each other data centre.
    pub contacts: Vec<Vec<SocketAddr>>,
    /// Inner addresses of the other entries of this instance's data centre.
    pub entries: Vec<SocketAddr>,
}

/// Relays announcements between instances.
///
/// The entry that an endpoint announced itself to relays the announcement to the entries of its
/// data centre and to one entry of each other data centre, which relays it to the others there.
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

    /// Sets the peers; new ones are sent an empty batch at once.
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
                self.outboxes.entry(address).or_default().schedule(now);
                Path::default()
            });
        }
        self.peers = peers;
    }

    /// Handles an announcement from the endpoint itself.
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
        let result = directory.announce(now, report);
        // A binding that waits for its address is relayed as well, so that the wait of the other
        // instances begins now.
        if let Some(key) = directory.key(&name)
            && !matches!(result, Err(Code::AnnouncementStale))
        {
            self.propagate(now, key, state, &name);
        }
        result
    }

    /// Handles a batch from another instance.
    pub fn receive(
        &mut self,
        now: Duration,
        directory: &mut Directory,
        from: SocketAddr,
        batch: Batch,
    ) {
        let path = self.paths.entry(from).or_default();
        let first = path.never_heard();
        let transit = path.record_receipt(now, batch.stamp, batch.echo);
        if first {
            self.send_all(now, directory, from);
        }
        if batch.reports.is_empty() {
            return;
        }
        let outbox = self.outboxes.entry(from).or_default();
        outbox.schedule(now + transit.map_or(Duration::ZERO, |_| BATCH_DELAY));
        let Some(transit) = transit else {
            return;
        };
        for mut report in batch.reports {
            report.age += transit;
            self.receive_report(now, directory, from, batch.route, report);
        }
    }

    /// Removes and returns the batches that are due.
    pub fn flush(&mut self, now: Duration, directory: &Directory) -> Vec<(SocketAddr, Batch)> {
        let due: Vec<_> = self
            .outboxes
            .iter_mut()
            .filter(|(_, outbox)| outbox.due.is_some_and(|due| due <= now))
            .map(|(address, outbox)| (*address, std::mem::take(outbox)))
            .collect();
        let mut batches = Vec::new();
        for (to, outbox) in due {
            self.build_batches(now, directory, to, &outbox, &mut batches);
        }
        batches
    }

    fn receive_report(
        &mut self,
        now: Duration,
        directory: &mut Directory,
        from: SocketAddr,
        route: Route,
        report: Report,
    ) {
        let (bound_for, name) = (report.bound_for, report.endpoint.name.clone());
        let result = directory.announce(now, report);
        let Some(key) = directory.key(&name) else {
            return;
        };
        let known = directory.report(now, key).map(|known| known.bound_for);
        if known.is_some_and(|known| known > bound_for + BOUND_TOLERANCE) {
            let outbox = self.outboxes.entry(from).or_default();
            outbox.add(Route::Direct, key, now + BATCH_DELAY);
        }
        match route {
            Route::Forward(to) => self.send(now, to, Route::Direct, key, now),
            Route::Spread if result.is_ok() => {
                let entries = self.entries_for(&name);
                for to in entries.into_iter().filter(|entry| *entry != from) {
                    self.send(now, to, Route::Direct, key, now);
                }
            }
            Route::Direct | Route::Spread => {}
        }
    }

    fn propagate(&mut self, now: Duration, key: EndpointKey, state: State, name: &str) {
        let due = match self.sent.get(key) {
            Some((at, known)) if *known == state && now.saturating_sub(*at) < REPORT_INTERVAL => {
                return;
            }
            Some((_, known)) if *known == state => now + BATCH_DELAY,
            Some(_) | None => now,
        };
        self.sent.insert(key, (now, state));
        for to in self.entries_for(name) {
            self.send(now, to, Route::Direct, key, due);
        }
        for contact in self.contacts_for(now, name) {
            self.send(now, contact, Route::Spread, key, due);
        }
    }

    /// The entries of this instance's data centre that an endpoint is reported to.
    fn entries_for(&self, name: &str) -> Vec<SocketAddr> {
        let mut entries = self.peers.entries.clone();
        if entries.len() > LOCAL_FANOUT {
            entries.sort_by_cached_key(|entry| rank(name, entry));
            entries.truncate(LOCAL_FANOUT);
        }
        entries
    }

    /// One contact of each other data centre, preferring reachable ones.
    fn contacts_for(&self, now: Duration, name: &str) -> Vec<SocketAddr> {
        self.peers
            .contacts
            .iter()
            .filter_map(|contacts| {
                contacts
                    .iter()
                    .min_by_key(|contact| (!self.reachable(now, **contact), rank(name, contact)))
            })
            .copied()
            .collect()
    }

    /// Queues a report; if the receiver is unreachable, also queues it for another instance to
    /// forward.
    fn send(
        &mut self,
        now: Duration,
        to: SocketAddr,
        route: Route,
        key: EndpointKey,
        due: Duration,
    ) {
        self.outboxes.entry(to).or_default().add(route, key, due);
        if self.reachable(now, to) || route != Route::Direct {
            return;
        }
        let forwarder = self
            .paths
            .iter()
            .filter(|(address, path)| **address != to && path.reachable(now) && !path.never_heard())
            .map(|(address, _)| *address)
            .min_by_key(|address| rank("", address));
        if let Some(forwarder) = forwarder {
            let outbox = self.outboxes.entry(forwarder).or_default();
            outbox.add(Route::Forward(to), key, due);
        }
    }

    fn send_all(&mut self, now: Duration, directory: &Directory, to: SocketAddr) {
        let outbox = self.outboxes.entry(to).or_default();
        for (key, _) in directory.iter() {
            outbox.add(Route::Direct, key, now);
        }
    }

    fn reachable(&self, now: Duration, address: SocketAddr) -> bool {
        self.paths
            .get(&address)
            .is_none_or(|path| path.reachable(now))
    }

    fn build_batches(
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
            for reports in reports.chunks(REPORTS_PER_BATCH) {
                batch(route, reports.to_vec());
            }
        }
        path.record_send(now);
    }
}

fn rank(name: &str, address: &SocketAddr) -> u64 {
    let mut hasher = SipHasher13::new();
    (name, address).hash(&mut hasher);
    hasher.finish()
}
