//! Exhaustive exploration of the reuse of an address over two holders.
//!
//! One endpoint announces itself and then falls silent for good; another one of another service
//! comes back at its address. Each announcement reaches either holder or none, and the holder
//! passes it on in a message that is lost, or arrives at any later time with a true age. All
//! interleavings over [`STEPS`] steps of [`STEP`] are visited.

use std::{
    hash::{
        Hash,
        Hasher, //
    },
    time::Duration,
};

use mimosausher_directory::{
    Directory,
    Endpoint,
    Report,
    State,
    WAIT, //
};
use pathfinding::directed::bfs::bfs_reach;

/// Time between two choices.
const STEP: Duration = Duration::from_secs(3);

/// Time between two ticks of a holder.
const PAUSE: Duration = Duration::from_millis(250);

/// Depth of the exploration.
const STEPS: u64 = 6;

/// Long after the holders' start, so that new bindings wait.
const START: Duration = Duration::from_secs(1000);

/// Steps in which the first endpoint may announce itself.
const FIRST_STEPS: u64 = 3;

/// Messages under way at a time.
const FLIGHT: usize = 1;

#[derive(Clone)]
struct Message {
    report: Report,
    sent: Duration,
    to: usize,
}

#[derive(Clone)]
struct World {
    /// Whether a holder used the old binding while one used the new one.
    broken: bool,
    flight: Vec<Message>,
    holders: [Directory; 2],
    now: Duration,
    second: bool,
    step: u64,
}

fn endpoint(second: bool, sequence: u64) -> Endpoint {
    let (name, service) = match second {
        false => ("desk-1", "booking-desk"),
        true => ("updates-1", "booking-updates"),
    };
    Endpoint {
        address: "127.0.0.1:9000".parse().unwrap(),
        centre: "porto-a".into(),
        connections: 0,
        incarnation: 1,
        load: 0.0,
        name: name.into(),
        sequence,
        service: service.into(),
        slots: 3,
        state: State::Ready,
    }
}

impl World {
    fn new() -> Self {
        let mut holders = [Directory::new(), Directory::new()];
        for holder in &mut holders {
            holder.tick(START);
            let report = Report::new(endpoint(false, 0)).with_bound(WAIT);
            holder.announce(START, report).unwrap();
        }
        Self {
            broken: false,
            flight: Vec::new(),
            holders,
            now: START,
            second: false,
            step: 0,
        }
    }

    fn uses(&self, holder: usize, name: &str) -> bool {
        let mut used = self.holders[holder].iter();
        used.any(|(_, endpoint)| &*endpoint.name == name)
    }

    fn violated(&self) -> bool {
        let any = |name| (0..2).any(|holder| self.uses(holder, name));
        any("desk-1") && any("updates-1")
    }

    /// What the future depends on.
    fn key(&self) -> impl Eq + Hash {
        let known = |holder: &Directory, name: &str| {
            let key = holder.key(name)?;
            let report = holder.report(self.now, key)?;
            let used = holder.get(key).is_some();
            Some((used, report.age, report.bound, report.endpoint.sequence))
        };
        let holders = self
            .holders
            .each_ref()
            .map(|holder| (known(holder, "desk-1"), known(holder, "updates-1")));
        let mut flight: Vec<_> = self
            .flight
            .iter()
            .map(|message| {
                let endpoint = &message.report.endpoint;
                let order = (endpoint.name.clone(), endpoint.sequence);
                (message.to, order, message.report.bound, message.sent)
            })
            .collect();
        flight.sort();
        (holders, flight, self.second, self.step, self.broken)
    }

    /// All worlds one step later.
    fn next(&self) -> Vec<Self> {
        if self.step == STEPS {
            return Vec::new();
        }
        let mut worlds = vec![self.clone()];
        for number in (0..self.flight.len()).rev() {
            worlds = worlds
                .into_iter()
                .flat_map(|world| world.arrivals(number))
                .collect();
        }
        worlds
            .into_iter()
            .flat_map(|world| world.announcements())
            .map(Self::passed)
            .collect()
    }

    /// The message of that number stays under way, is lost or arrives.
    fn arrivals(self, number: usize) -> [Self; 3] {
        let (mut lost, mut arrived) = (self.clone(), self.clone());
        lost.flight.remove(number);
        let message = arrived.flight.remove(number);
        let age = message.report.age + (arrived.now - message.sent);
        let report = message.report.with_age(age);
        let _taken = arrived.holders[message.to].announce(arrived.now, report);
        [self, lost, arrived]
    }

    /// The present owner of the address announces itself to either holder, or to none; or the
    /// address changes hands.
    fn announcements(self) -> Vec<Self> {
        let mut worlds = vec![self.clone()];
        if self.second || self.step < FIRST_STEPS {
            worlds.extend((0..2).map(|holder| self.clone().announced(holder, self.second)));
        }
        if !self.second {
            worlds.extend((0..2).map(|holder| self.clone().announced(holder, true)));
        }
        worlds
    }

    fn announced(mut self, holder: usize, second: bool) -> Self {
        self.second = second;
        let report = Report::new(endpoint(second, self.step + 1));
        let name = report.endpoint.name.clone();
        let directory = &mut self.holders[holder];
        let _taken = directory.announce(self.now, report);
        let key = directory.key(&name).unwrap();
        let report = directory.report(self.now, key).unwrap();
        if self.flight.len() < FLIGHT {
            self.flight.push(Message {
                report,
                sent: self.now,
                to: 1 - holder,
            });
        }
        self
    }

    fn passed(mut self) -> Self {
        let end = self.now + STEP;
        while self.now < end {
            self.now += PAUSE;
            for holder in &mut self.holders {
                holder.tick(self.now);
            }
            self.broken |= self.violated();
        }
        self.step += 1;
        self
    }
}

impl PartialEq for World {
    fn eq(&self, other: &Self) -> bool {
        self.key() == other.key()
    }
}

impl Eq for World {}

impl Hash for World {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.key().hash(state);
    }
}

#[test]
fn reuse_two_holders() {
    let mut worlds = 0_u64;
    let mut reused = 0_u64;
    for world in bfs_reach(World::new(), World::next) {
        assert!(!world.broken, "at step {}", world.step);
        worlds += 1;
        reused += u64::from((0..2).any(|holder| world.uses(holder, "updates-1")));
    }
    println!("{worlds} worlds, {reused} in which the address is used again");
    assert!(reused > 0);
}
