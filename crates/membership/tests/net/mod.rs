//! Simulated network of members in virtual time, with lost, delayed and blocked messages.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    net::SocketAddr,
    time::Duration, //
};

use mimosausher_membership::{
    Action,
    Event,
    Instance,
    Members,
    Message,
    Standing,
    TICK, //
};
use rand::{
    Rng,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;

/// Maximum delay of a message.
const DELAY: Duration = Duration::from_millis(20);

/// Inner address of an instance by number.
pub fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], number))
}

/// Name of an instance by number.
pub fn name(number: u16) -> String {
    format!("entry-{number}")
}

/// Description of an entry by number.
pub fn entry(number: u16, centre: &str, incarnation: u64) -> Instance {
    Instance {
        admin: address(number),
        centre: centre.into(),
        fabric: Some(address(number)),
        incarnation,
        inner: address(number),
        name: name(number).into(),
        refutation: 0,
        requests: Some(address(number)),
        store: false,
    }
}

/// Simulated network of members; entry 1 is the seed of all others.
pub struct Net {
    /// Number of messages sent, including lost ones.
    pub messages: u64,
    /// Pairs of instances whose messages to each other are dropped.
    pub cut: BTreeSet<(u16, u16)>,
    /// Paused instances; messages to them are held back.
    pub frozen: BTreeSet<u16>,
    /// Probability that a message is lost.
    pub loss: f64,
    pub members: BTreeMap<u16, Members>,
    /// Current virtual time.
    pub now: Duration,
    in_flight: Vec<(Duration, u16, u16, Message)>,
    random: ChaCha8Rng,
}

impl Net {
    pub fn new(seed: u64) -> Self {
        Self {
            cut: BTreeSet::new(),
            in_flight: Vec::new(),
            frozen: BTreeSet::new(),
            loss: 0.0,
            members: BTreeMap::new(),
            messages: 0,
            now: Duration::from_secs(100),
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    pub fn start(&mut self, number: u16, centre: &str, incarnation: u64) {
        let seed = self.random.random();
        let own = entry(number, centre, incarnation);
        let members = Members::new(own, &[address(1)], seed);
        self.members.insert(number, members);
    }

    /// Advances virtual time by `time`.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += TICK;
            self.deliver();
            let numbers: Vec<_> = self.members.keys().copied().collect();
            for number in numbers {
                if !self.frozen.contains(&number) {
                    self.event(number, Event::Tick);
                }
            }
        }
    }

    /// Passes an event to an instance and sends the resulting messages.
    pub fn event(&mut self, number: u16, event: Event) {
        let Some(members) = self.members.get_mut(&number) else {
            return;
        };
        let actions = members.handle(self.now, event);
        self.send(number, actions);
    }

    /// Standing of an instance in the view of `viewer`.
    pub fn standing(&self, viewer: u16, number: u16) -> Option<Standing> {
        self.members[&viewer].standing(&name(number))
    }

    /// Whether each of these instances has exactly the others as alive in its view.
    pub fn converged(&self, numbers: &[u16]) -> bool {
        numbers.iter().all(|viewer| {
            let alive = self.members[viewer]
                .all()
                .filter(|member| member.standing == Standing::Alive)
                .count();
            let known = numbers
                .iter()
                .filter(|number| *number != viewer)
                .all(|number| self.standing(*viewer, *number) == Some(Standing::Alive));
            known && alive == numbers.len() - 1
        })
    }

    fn send(&mut self, from: u16, actions: Vec<Action>) {
        for action in actions {
            self.messages += 1;
            let to = action.to.port();
            let lost = self.random.random_bool(self.loss);
            let cut = self.cut.contains(&(from, to)) || self.cut.contains(&(to, from));
            if !lost && !cut {
                let delay = DELAY.mul_f64(self.random.random());
                self.in_flight
                    .push((self.now + delay, from, to, action.message));
            }
        }
    }

    fn deliver(&mut self) {
        let in_flight = std::mem::take(&mut self.in_flight);
        let (due, later): (Vec<_>, Vec<_>) = in_flight
            .into_iter()
            .partition(|(at, _, to, _)| *at <= self.now && !self.frozen.contains(to));
        self.in_flight = later;
        for (_, from, to, message) in due {
            let event = Event::Received {
                from: address(from),
                message: Box::new(message),
            };
            self.event(to, event);
        }
    }
}
