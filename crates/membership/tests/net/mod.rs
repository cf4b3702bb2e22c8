//! A network of members in virtual time that loses, delays and cuts messages.

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

/// Longest delay of a message.
const DELAY: Duration = Duration::from_millis(20);

/// The inner address of the instance with that number.
pub fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], number))
}

/// The name of the instance with that number.
pub fn name(number: u16) -> String {
    format!("entry-{number}")
}

/// The entry of that number.
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

/// A network of members; the entry with number 1 is every other one's seed.
pub struct Net {
    /// Bytes are counted by messages and rumours here.
    pub messages: u64,
    /// Pairs of numbers between which nothing arrives.
    pub cut: BTreeSet<(u16, u16)>,
    /// Numbers of instances that do nothing and whose messages wait.
    pub frozen: BTreeSet<u16>,
    /// Share of messages that are lost.
    pub loss: f64,
    pub members: BTreeMap<u16, Members>,
    /// The time.
    pub now: Duration,
    flight: Vec<(Duration, u16, u16, Message)>,
    random: ChaCha8Rng,
}

impl Net {
    pub fn new(seed: u64) -> Self {
        Self {
            cut: BTreeSet::new(),
            flight: Vec::new(),
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

    /// Lets time pass.
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

    /// Gives an event to one instance and sends what it answers.
    pub fn event(&mut self, number: u16, event: Event) {
        let Some(members) = self.members.get_mut(&number) else {
            return;
        };
        let actions = members.handle(self.now, event);
        self.send(number, actions);
    }

    /// The standing of one instance in the view of another.
    pub fn standing(&self, viewer: u16, number: u16) -> Option<Standing> {
        self.members[&viewer].standing(&name(number))
    }

    /// Whether each of the numbers takes all the others for alive, and knows of no more.
    pub fn agreed(&self, numbers: &[u16]) -> bool {
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
                self.flight
                    .push((self.now + delay, from, to, action.message));
            }
        }
    }

    fn deliver(&mut self) {
        let flight = std::mem::take(&mut self.flight);
        let (due, later): (Vec<_>, Vec<_>) = flight
            .into_iter()
            .partition(|(at, _, to, _)| *at <= self.now && !self.frozen.contains(to));
        self.flight = later;
        for (_, from, to, message) in due {
            let event = Event::Received {
                from: address(from),
                message: Box::new(message),
            };
            self.event(to, event);
        }
    }
}
