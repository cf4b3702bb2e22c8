//! Exhaustive exploration of the reuse of an address, with two instances.
//!
//! One endpoint announces itself and then stops; an endpoint of another service starts at its
//! address. Each announcement reaches either instance or none, and the instance relays it in a
//! message that is lost or arrives at any later time with a true age. All interleavings over
//! [`STEPS`] steps of [`STEP`] are visited. No instance may use the old binding while one uses the
//! new one.

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
    REBIND_DELAY,
    Report,
    State, //
};
use pathfinding::directed::bfs::bfs_reach;

/// Time between two choices.
const STEP: Duration = Duration::from_secs(3);

/// Interval between ticks of an instance.
const TICK_INTERVAL: Duration = Duration::from_millis(250);

/// Depth of the exploration.
const STEPS: u64 = 6;

/// Time later than one lease after the instances' start, so that new bindings wait.
const START: Duration = Duration::from_secs(1000);

/// Steps in which the first endpoint may announce itself.
const FIRST_STEPS: u64 = 3;

/// Maximum number of messages in flight.
const MAX_IN_FLIGHT: usize = 1;

#[derive(Clone)]
struct Message {
    report: Report,
    sent: Duration,
    to: usize,
}

#[derive(Clone)]
struct Model {
    /// Whether an instance used the old binding while one used the new one.
    conflict: bool,
    in_flight: Vec<Message>,
    instances: [Directory; 2],
    now: Duration,
    /// Whether the second endpoint has taken over the address.
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

impl Model {
    fn new() -> Self {
        let mut instances = [Directory::new(), Directory::new()];
        for instance in &mut instances {
            instance.tick(START);
            let report = Report::new(endpoint(false, 0)).with_bound_for(REBIND_DELAY);
            instance.announce(START, report).unwrap();
        }
        Self {
            conflict: false,
            in_flight: Vec::new(),
            instances,
            now: START,
            second: false,
            step: 0,
        }
    }

    fn uses(&self, instance: usize, name: &str) -> bool {
        let mut used = self.instances[instance].iter();
        used.any(|(_, endpoint)| &*endpoint.name == name)
    }

    fn conflicting(&self) -> bool {
        let any = |name| (0..2).any(|instance| self.uses(instance, name));
        any("desk-1") && any("updates-1")
    }

    /// The part of the state that later steps depend on.
    fn key(&self) -> impl Eq + Hash {
        let known = |instance: &Directory, name: &str| {
            let key = instance.key(name)?;
            let report = instance.report(self.now, key)?;
            let used = instance.get(key).is_some();
            Some((used, report.age, report.bound_for, report.endpoint.sequence))
        };
        let instances = self
            .instances
            .each_ref()
            .map(|instance| (known(instance, "desk-1"), known(instance, "updates-1")));
        let mut in_flight: Vec<_> = self
            .in_flight
            .iter()
            .map(|message| {
                let endpoint = &message.report.endpoint;
                let order = (endpoint.name.clone(), endpoint.sequence);
                (message.to, order, message.report.bound_for, message.sent)
            })
            .collect();
        in_flight.sort();
        (instances, in_flight, self.second, self.step, self.conflict)
    }

    /// All successor states.
    fn next(&self) -> Vec<Self> {
        if self.step == STEPS {
            return Vec::new();
        }
        let mut states = vec![self.clone()];
        for number in (0..self.in_flight.len()).rev() {
            states = states
                .into_iter()
                .flat_map(|model| model.deliveries(number))
                .collect();
        }
        states
            .into_iter()
            .flat_map(|model| model.announcements())
            .map(Self::advanced)
            .collect()
    }

    /// The states in which a message stays in flight, is lost or arrives.
    fn deliveries(self, number: usize) -> [Self; 3] {
        let (mut lost, mut arrived) = (self.clone(), self.clone());
        lost.in_flight.remove(number);
        let message = arrived.in_flight.remove(number);
        let age = message.report.age + (arrived.now - message.sent);
        let report = message.report.with_age(age);
        let _result = arrived.instances[message.to].announce(arrived.now, report);
        [self, lost, arrived]
    }

    /// The states in which the current endpoint of the address announces itself to one instance or
    /// to none, or the second endpoint takes over the address.
    fn announcements(self) -> Vec<Self> {
        let mut states = vec![self.clone()];
        if self.second || self.step < FIRST_STEPS {
            states.extend((0..2).map(|instance| self.clone().announced(instance, self.second)));
        }
        if !self.second {
            states.extend((0..2).map(|instance| self.clone().announced(instance, true)));
        }
        states
    }

    fn announced(mut self, instance: usize, second: bool) -> Self {
        self.second = second;
        let report = Report::new(endpoint(second, self.step + 1));
        let name = report.endpoint.name.clone();
        let directory = &mut self.instances[instance];
        let _result = directory.announce(self.now, report);
        let key = directory.key(&name).unwrap();
        let report = directory.report(self.now, key).unwrap();
        if self.in_flight.len() < MAX_IN_FLIGHT {
            self.in_flight.push(Message {
                report,
                sent: self.now,
                to: 1 - instance,
            });
        }
        self
    }

    fn advanced(mut self) -> Self {
        let end = self.now + STEP;
        while self.now < end {
            self.now += TICK_INTERVAL;
            for instance in &mut self.instances {
                instance.tick(self.now);
            }
            self.conflict |= self.conflicting();
        }
        self.step += 1;
        self
    }
}

impl PartialEq for Model {
    fn eq(&self, other: &Self) -> bool {
        self.key() == other.key()
    }
}

impl Eq for Model {}

impl Hash for Model {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.key().hash(state);
    }
}

#[test]
fn reuse_two_instances() {
    let mut states = 0_u64;
    let mut reused = 0_u64;
    for model in bfs_reach(Model::new(), Model::next) {
        assert!(!model.conflict, "at step {}", model.step);
        states += 1;
        reused += u64::from((0..2).any(|instance| model.uses(instance, "updates-1")));
    }
    println!("{states} states, {reused} of them with the address in use again");
    assert!(reused > 0);
}
