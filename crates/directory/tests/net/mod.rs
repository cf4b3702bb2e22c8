//! Simulated entries of several data centres that relay announcements, in virtual time.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    time::Duration, //
};

use mimosausher_directory::{
    Batch,
    Directory,
    Endpoint,
    Peers,
    Relay,
    Report,
    State,
    TICK, //
};

/// Transit time of a batch.
const DELAY: Duration = Duration::from_millis(100);

/// An entry with its own clock.
pub struct Entry {
    /// Directory of the entry.
    pub directory: Directory,
    /// Relay of the entry.
    pub relay: Relay,
    offset: Duration,
}

/// Simulated network of entries; an entry's number is the port of its address.
pub struct Net {
    /// Pairs of entries whose batches to each other are dropped.
    pub cut: BTreeSet<(usize, usize)>,
    /// The entries.
    pub entries: Vec<Entry>,
    /// Numbers of batches and reports sent.
    pub sent: (u64, u64),
    in_flight: Vec<(Duration, usize, usize, Batch)>,
    now: Duration,
}

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], u16::try_from(number).unwrap()))
}

/// Report of an endpoint's announcement.
pub fn report(name: &str, sequence: u64, state: State) -> Report {
    let port = name.bytes().map(u16::from).sum();
    Report::new(Endpoint {
        address: SocketAddr::from(([127, 0, 0, 2], port)),
        centre: "porto-a".into(),
        connections: 0,
        incarnation: 1,
        load: 0.0,
        name: name.into(),
        sequence,
        service: "booking-desk".into(),
        slots: 3,
        state,
    })
}

impl Net {
    /// Creates entries in data centres of the given sizes; their clocks start at an hour, each
    /// 17 seconds ahead of the one before.
    pub fn new(centres: &[usize]) -> Self {
        let count: usize = centres.iter().sum();
        let entries = (0..count).map(|number| Entry {
            directory: Directory::new(),
            offset: Duration::from_secs(3600 + 17 * u64::try_from(number).unwrap()),
            relay: Relay::new(),
        });
        let mut net = Self {
            cut: BTreeSet::new(),
            entries: entries.collect(),
            in_flight: Vec::new(),
            now: Duration::ZERO,
            sent: (0, 0),
        };
        let mut groups: Vec<Vec<usize>> = Vec::new();
        for size in centres {
            let start = groups.iter().map(Vec::len).sum();
            groups.push((start..start + size).collect());
        }
        for (own, group) in groups.iter().enumerate() {
            for number in group {
                let addresses = |numbers: &[usize]| {
                    let others = numbers.iter().filter(|other| *other != number);
                    others.map(|other| address(*other)).collect::<Vec<_>>()
                };
                let others = groups.iter().enumerate().filter(|(other, _)| *other != own);
                let peers = Peers {
                    contacts: others.map(|(_, numbers)| addresses(numbers)).collect(),
                    entries: addresses(group),
                };
                let entry = &mut net.entries[*number];
                entry.relay.set_peers(entry.offset, peers);
            }
        }
        net.run(Duration::from_secs(1));
        net
    }

    /// Time on an entry's clock.
    pub fn now(&self, number: usize) -> Duration {
        self.now + self.entries[number].offset
    }

    /// Passes an endpoint's announcement to an entry.
    pub fn announce(&mut self, number: usize, report: Report) {
        let now = self.now(number);
        let entry = &mut self.entries[number];
        let _result = entry.relay.announce(now, &mut entry.directory, report);
        self.flush(number);
    }

    /// Whether an endpoint may get new work from an entry.
    pub fn accepts_work(&self, number: usize, name: &str) -> bool {
        let directory = &self.entries[number].directory;
        let key = directory.key(name);
        key.is_some_and(|key| directory.accepts_work(self.now(number), key))
    }

    /// Advances virtual time by `time`.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += TICK;
            self.deliver();
            for number in 0..self.entries.len() {
                let now = self.now(number);
                self.entries[number].directory.tick(now);
                self.flush(number);
            }
        }
    }

    fn deliver(&mut self) {
        let in_flight = std::mem::take(&mut self.in_flight);
        let (due, later): (Vec<_>, Vec<_>) =
            in_flight.into_iter().partition(|(at, ..)| *at <= self.now);
        self.in_flight = later;
        for (_, from, to, batch) in due {
            let now = self.now(to);
            let entry = &mut self.entries[to];
            entry
                .relay
                .receive(now, &mut entry.directory, address(from), batch);
            self.flush(to);
        }
    }

    fn flush(&mut self, number: usize) {
        let now = self.now(number);
        let entry = &mut self.entries[number];
        for (to, batch) in entry.relay.flush(now, &entry.directory) {
            self.sent.0 += 1;
            self.sent.1 += u64::try_from(batch.reports.len()).unwrap();
            let to = usize::from(to.port());
            if !self.cut.contains(&(number, to)) && !self.cut.contains(&(to, number)) {
                self.in_flight.push((self.now + DELAY, number, to, batch));
            }
        }
    }
}
