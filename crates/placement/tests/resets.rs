//! Flows are reset only if their endpoint has left or was unreachable, checked over all short
//! sequences of events on three flows of two clients to one endpoint, and over many long random ones.

use std::{
    collections::HashSet,
    hash::{
        DefaultHasher,
        Hash,
        Hasher, //
    },
    time::Duration,
};

use mimosausher_placement::{
    Endpoint,
    FlowKey,
    Phase,
    Pool,
    Progress,
    Reference,
    ServiceKey, //
};
use rand::{
    SeedableRng as _,
    seq::IndexedRandom as _, //
};
use rand_chacha::ChaCha8Rng;

/// Length of the exhaustively checked sequences in CI; `EXPLORE_DEPTH=8` takes two minutes.
const DEPTH: u32 = 6;

/// Number of random sequences, and the length of each.
const RANDOM_SEQUENCES: u32 = 5_000;
const RANDOM_LENGTH: usize = 60;

/// Time for which a fault of an endpoint or its network path justifies a reset: a limit set by the
/// users.
const FAULT_LIMIT: Duration = Duration::from_secs(4);

/// Time after which a client first retransmits an unacknowledged packet.
const RETRANSMISSION_MIN: Duration = Duration::from_millis(200);

/// Longest retransmission interval.
const RETRANSMISSION_MAX: Duration = Duration::from_millis(1_600);

/// An event in a sequence.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// A client acknowledges a response; the packet passes through this entry.
    Acknowledge(usize),
    /// The first client receives nothing from now on, or receives again.
    Deaf(bool),
    /// The endpoint becomes unreachable, or reachable again.
    Unreachable(bool),
    /// The endpoint ends and is announced as gone.
    Leave,
    /// A running endpoint is announced in a phase.
    Phase(Phase),
    /// A client sends or retransmits a request, through this entry or another one.
    Send(usize, bool),
    /// Time passes.
    Wait(u64),
}

const EVENTS: [Event; 16] = [
    Event::Acknowledge(0),
    Event::Acknowledge(1),
    Event::Deaf(false),
    Event::Deaf(true),
    Event::Unreachable(false),
    Event::Unreachable(true),
    Event::Leave,
    Event::Phase(Phase::Draining),
    Event::Phase(Phase::Silent),
    Event::Send(0, false),
    Event::Send(0, true),
    Event::Send(1, true),
    Event::Send(2, true),
    Event::Wait(160),
    Event::Wait(450),
    Event::Wait(4_000),
];

/// The client side of a flow.
#[derive(Clone, Copy, Debug, Default, Hash)]
struct Client {
    /// Responses that it has acknowledged.
    acknowledged: u32,
    /// Responses that it has received.
    received: u32,
    /// When it last sent its unanswered request.
    pending_since: Option<Duration>,
    sequence: u32,
}

/// The entry's pool, and the actual state of the clients and the endpoint.
#[derive(Clone, Debug)]
struct Model {
    /// The client side of each flow.
    clients: [Client; 3],
    /// Whether the first client receives nothing.
    deaf: bool,
    /// When the endpoint was last unreachable.
    unreachable_at: Option<Duration>,
    gone: bool,
    unreachable: bool,
    now: Duration,
    pool: Pool,
    service: ServiceKey,
}

/// The flows of two clients: the first has two.
fn flow(number: usize) -> FlowKey {
    let host = number % 2 + 1;
    FlowKey {
        client: format!("100.64.0.{host}:{}", number + 1).parse().unwrap(),
        destination: "198.18.0.1:443".parse().unwrap(),
    }
}

impl Model {
    fn new() -> Self {
        let mut pool = Pool::new();
        let service = pool.service("s");
        let mut model = Self {
            clients: Default::default(),
            deaf: false,
            unreachable_at: None,
            gone: false,
            unreachable: false,
            now: Duration::from_secs(10),
            pool,
            service,
        };
        model.announce(Phase::Ready);
        // The pool takes its start for the end of a pause, and concludes nothing for a while.
        assert_eq!(model.wait(2_000), Ok(()));
        model
    }

    fn announce(&mut self, phase: Phase) {
        let address = "10.0.0.1:80".parse().unwrap();
        let endpoint = Endpoint::new("i-1", 1, address, self.service);
        self.pool.update(endpoint.with_phase(phase));
    }

    /// Whether a reset is justified: the endpoint has left, or was unreachable recently.
    fn justified(&self) -> bool {
        let recent = |at| self.now.saturating_sub(at) <= FAULT_LIMIT;
        self.gone || self.unreachable_at.is_some_and(recent)
    }

    /// Applies an event; returns false if it cannot occur in this state, and the violated property
    /// as an error.
    fn apply(&mut self, event: Event) -> Result<bool, &'static str> {
        match event {
            Event::Acknowledge(number) => {
                let client = &mut self.clients[number];
                if client.acknowledged == client.received {
                    return Ok(false);
                }
                client.acknowledged = client.received;
                self.forward(number, 0)?;
            }
            Event::Deaf(deaf) if deaf == self.deaf => return Ok(false),
            Event::Deaf(deaf) => self.deaf = deaf,
            Event::Unreachable(unreachable) if unreachable == self.unreachable || self.gone => {
                return Ok(false);
            }
            Event::Unreachable(unreachable) => {
                self.unreachable = unreachable;
                self.unreachable_at = Some(self.now);
            }
            Event::Leave if self.gone => return Ok(false),
            Event::Leave => {
                self.gone = true;
                self.announce(Phase::Gone);
            }
            Event::Phase(_) if self.gone => return Ok(false),
            Event::Phase(phase) => self.announce(phase),
            Event::Send(number, through_entry) => return self.send(number, through_entry),
            Event::Wait(millis) if self.retransmits_within(millis) => return Ok(false),
            Event::Wait(millis) => self.wait(millis)?,
        }
        Ok(true)
    }

    /// Sends a request, or retransmits it after the retransmission interval if it is unanswered.
    fn send(&mut self, number: usize, through_entry: bool) -> Result<bool, &'static str> {
        let unheard = self.deaf && flow(number).client.ip() == flow(0).client.ip();
        let (now, lost) = (self.now, self.unreachable || self.gone || unheard);
        let client = &mut self.clients[number];
        match client.pending_since {
            Some(at) if now.saturating_sub(at) < RETRANSMISSION_MIN => return Ok(false),
            Some(_) => {}
            None => client.sequence += 1,
        }
        if lost {
            client.pending_since = Some(now);
        } else {
            client.pending_since = None;
            client.received += 1;
        }
        if through_entry {
            self.forward(number, 10)?;
        }
        Ok(true)
    }

    /// Whether a client would retransmit a request before that time has passed.
    fn retransmits_within(&self, millis: u64) -> bool {
        let then = self.now + Duration::from_millis(millis);
        let mut pending = self
            .clients
            .iter()
            .filter_map(|client| client.pending_since);
        pending.any(|at| then.saturating_sub(at) > RETRANSMISSION_MAX)
    }

    fn wait(&mut self, millis: u64) -> Result<(), &'static str> {
        // The entry ticks four times a second.
        let end = self.now + Duration::from_millis(millis);
        while self.now < end {
            self.now = end.min(self.now + Duration::from_millis(250));
            if self.unreachable {
                self.unreachable_at = Some(self.now);
            }
            self.pool.tick(self.now);
            if !self.pool.orphans(self.now).is_empty() && !self.justified() {
                return Err("an idle flow was reset although its endpoint is reachable");
            }
        }
        Ok(())
    }

    fn forward(&mut self, number: usize, length: u16) -> Result<(), &'static str> {
        let client = self.clients[number];
        let progress = Progress {
            acknowledged: client.acknowledged,
            closing: false,
            length,
            sequence: client.sequence,
        };
        let reference = Some(Reference::from_name("i-1"));
        let found = self
            .pool
            .lookup(self.now, flow(number), reference, progress, true);
        match found.map(|key| self.pool.get(key).map(|endpoint| &*endpoint.name)) {
            Ok(Some("i-1")) => Ok(()),
            Ok(_) => Err("a packet was forwarded to another endpoint"),
            Err(_) if self.justified() => Ok(()),
            Err(_) => Err("a flow was reset although its endpoint is reachable"),
        }
    }

    /// Hash of the whole state.
    fn fingerprint(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        format!("{self:?}").hash(&mut hasher);
        hasher.finish()
    }
}

/// Applies all sequences of events; returns the number of states, and the first failing sequence.
fn explore(depth: u32) -> (usize, Option<(Vec<Event>, &'static str)>) {
    let mut seen = HashSet::new();
    let mut frontier = vec![(Model::new(), Vec::new())];
    for _ in 0..depth {
        let mut next = Vec::new();
        for (model, events) in &frontier {
            for event in EVENTS {
                let mut model = model.clone();
                let mut events = events.clone();
                events.push(event);
                match model.apply(event) {
                    Ok(true) if seen.insert(model.fingerprint()) => next.push((model, events)),
                    Ok(_) => {}
                    Err(violation) => return (seen.len(), Some((events, violation))),
                }
            }
        }
        frontier = next;
    }
    (seen.len(), None)
}

#[test]
fn explore_resets() {
    let depth = std::env::var("EXPLORE_DEPTH").map(|depth| depth.parse().unwrap());
    let (states, violation) = explore(depth.unwrap_or(DEPTH));
    assert!(violation.is_none(), "{violation:?}");
    // Far fewer would mean that events are no longer applied.
    assert!(states > 10_000, "{states}");
}

#[test]
fn random_resets() {
    let mut random = ChaCha8Rng::seed_from_u64(1);
    for _ in 0..RANDOM_SEQUENCES {
        let (mut model, mut events) = (Model::new(), Vec::new());
        while events.len() < RANDOM_LENGTH {
            let event = *EVENTS.choose(&mut random).unwrap();
            // Every reset is justified once the endpoint has left, so it leaves late.
            let leaves = matches!(event, Event::Leave) && events.len() < RANDOM_LENGTH / 2;
            if leaves || matches!(model.clone().apply(event), Ok(false)) {
                continue;
            }
            events.push(event);
            let applied = model.apply(event);
            assert!(applied.is_ok(), "{applied:?} {events:?}");
        }
    }
}
