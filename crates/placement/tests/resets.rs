//! Which resets are ever given: all short orders of what may happen to two flows of one endpoint, and
//! many long ones drawn by lot.

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

/// Steps of each order in CI; `EXPLORE_DEPTH=8` takes two minutes.
const DEPTH: u32 = 6;

/// Long orders, and the steps of each.
const WALKS: u32 = 5_000;
const WALK: usize = 60;

/// Time for which a fault of an endpoint or its ways may explain a reset: the users' bound.
const CONTACT: Duration = Duration::from_secs(4);

/// Time after which a caller sends a packet again that was not acknowledged, at first.
const RESEND: Duration = Duration::from_millis(200);

/// Longest time after which it does.
const RESEND_LAST: Duration = Duration::from_millis(1_600);

/// What may happen next.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// A caller takes note of an answer; the packet passes this entry.
    Acknowledge(usize),
    /// The endpoint can no longer be reached, or can again.
    Darken(bool),
    /// The endpoint ends for good and is announced to have left.
    Leave,
    /// The endpoint is announced in a phase while it lives.
    Phase(Phase),
    /// A caller sends a request or sends it again, through this entry or another one.
    Send(usize, bool),
    /// Time passes.
    Wait(u64),
}

const STEPS: [Step; 13] = [
    Step::Acknowledge(0),
    Step::Acknowledge(1),
    Step::Darken(false),
    Step::Darken(true),
    Step::Leave,
    Step::Phase(Phase::Draining),
    Step::Phase(Phase::Silent),
    Step::Send(0, false),
    Step::Send(0, true),
    Step::Send(1, true),
    Step::Wait(160),
    Step::Wait(450),
    Step::Wait(4_000),
];

/// A flow as its caller sees it.
#[derive(Clone, Copy, Debug, Default, Hash)]
struct Caller {
    /// Answers that it has taken note of.
    acknowledged: u32,
    /// Answers that it has got.
    answered: u32,
    /// When it sent its request last, if no answer has come.
    open: Option<Duration>,
    sequence: u32,
}

/// The entry's pool beside what is really so.
#[derive(Clone, Debug)]
struct World {
    callers: [Caller; 2],
    /// When the endpoint was dark last.
    dark: Option<Duration>,
    gone: bool,
    is_dark: bool,
    now: Duration,
    pool: Pool,
    service: ServiceKey,
}

fn flow(number: usize) -> FlowKey {
    FlowKey {
        caller: format!("100.64.0.1:{}", number + 1).parse().unwrap(),
        route: "198.18.0.1:443".parse().unwrap(),
    }
}

impl World {
    fn new() -> Self {
        let mut pool = Pool::new();
        let service = pool.service("s");
        let mut world = Self {
            callers: Default::default(),
            dark: None,
            gone: false,
            is_dark: false,
            now: Duration::from_secs(10),
            pool,
            service,
        };
        world.announce(Phase::Ready);
        world.pool.tick(world.now);
        world
    }

    fn announce(&mut self, phase: Phase) {
        let address = "10.0.0.1:80".parse().unwrap();
        let endpoint = Endpoint::new("i-1", 1, address, self.service);
        self.pool.update(endpoint.with_phase(phase));
    }

    /// Whether a reset is right: the endpoint has ended, or was out of reach lately.
    fn excused(&self) -> bool {
        let lately = |at| self.now.saturating_sub(at) <= CONTACT;
        self.gone || self.dark.is_some_and(lately)
    }

    /// Takes a step; false if it can't come now. Returns what was wrong as an error.
    fn step(&mut self, step: Step) -> Result<bool, &'static str> {
        match step {
            Step::Acknowledge(number) => {
                let caller = &mut self.callers[number];
                if caller.acknowledged == caller.answered {
                    return Ok(false);
                }
                caller.acknowledged = caller.answered;
                self.pass(number, 0)?;
            }
            Step::Darken(dark) if dark == self.is_dark || self.gone => return Ok(false),
            Step::Darken(dark) => {
                self.is_dark = dark;
                self.dark = Some(self.now);
            }
            Step::Leave if self.gone => return Ok(false),
            Step::Leave => {
                self.gone = true;
                self.announce(Phase::Gone);
            }
            Step::Phase(_) if self.gone => return Ok(false),
            Step::Phase(phase) => self.announce(phase),
            Step::Send(number, here) => return self.send(number, here),
            Step::Wait(millis) if self.overdue(millis) => return Ok(false),
            Step::Wait(millis) => self.wait(millis)?,
        }
        Ok(true)
    }

    /// A caller sends a request again only after its pause, and then not if it was acknowledged.
    fn send(&mut self, number: usize, here: bool) -> Result<bool, &'static str> {
        let (now, lost) = (self.now, self.is_dark || self.gone);
        let caller = &mut self.callers[number];
        match caller.open {
            Some(at) if now.saturating_sub(at) < RESEND => return Ok(false),
            Some(_) => {}
            None => caller.sequence += 1,
        }
        if lost {
            caller.open = Some(now);
        } else {
            caller.open = None;
            caller.answered += 1;
        }
        if here {
            self.pass(number, 10)?;
        }
        Ok(true)
    }

    /// Whether a caller sends a request again before that time has passed.
    fn overdue(&self, millis: u64) -> bool {
        let then = self.now + Duration::from_millis(millis);
        let mut open = self.callers.iter().filter_map(|caller| caller.open);
        open.any(|at| then.saturating_sub(at) > RESEND_LAST)
    }

    fn wait(&mut self, millis: u64) -> Result<(), &'static str> {
        // The entry looks at what is over four times a second.
        let end = self.now + Duration::from_millis(millis);
        while self.now < end {
            self.now = end.min(self.now + Duration::from_millis(250));
            if self.is_dark {
                self.dark = Some(self.now);
            }
            self.pool.tick(self.now);
            if !self.pool.orphans(self.now).is_empty() && !self.excused() {
                return Err("an idle flow was reset whose endpoint lives");
            }
        }
        Ok(())
    }

    fn pass(&mut self, number: usize, length: u16) -> Result<(), &'static str> {
        let caller = self.callers[number];
        let progress = Progress {
            acknowledged: caller.acknowledged,
            closing: false,
            length,
            sequence: caller.sequence,
        };
        let reference = Some(Reference::to("i-1"));
        let passed = self
            .pool
            .pass(self.now, flow(number), reference, progress, true);
        match passed.map(|key| self.pool.get(key).map(|endpoint| &*endpoint.name)) {
            Ok(Some("i-1")) => Ok(()),
            Ok(_) => Err("a packet went to another endpoint"),
            Err(_) if self.excused() => Ok(()),
            Err(_) => Err("a flow was reset whose endpoint lives"),
        }
    }

    /// Hash of all that decides what comes later.
    fn fingerprint(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        format!("{self:?}").hash(&mut hasher);
        hasher.finish()
    }
}

/// Tries all orders; returns the first one that goes wrong, and how many states there were.
fn explore(depth: u32) -> (usize, Option<(Vec<Step>, &'static str)>) {
    let mut seen = HashSet::new();
    let mut front = vec![(World::new(), Vec::new())];
    for _ in 0..depth {
        let mut next = Vec::new();
        for (world, path) in &front {
            for step in STEPS {
                let mut world = world.clone();
                let mut path = path.clone();
                path.push(step);
                match world.step(step) {
                    Ok(true) if seen.insert(world.fingerprint()) => next.push((world, path)),
                    Ok(_) => {}
                    Err(wrong) => return (seen.len(), Some((path, wrong))),
                }
            }
        }
        front = next;
    }
    (seen.len(), None)
}

#[test]
fn explore_resets() {
    let depth = std::env::var("EXPLORE_DEPTH").map(|depth| depth.parse().unwrap());
    let (states, wrong) = explore(depth.unwrap_or(DEPTH));
    assert!(wrong.is_none(), "{wrong:?}");
    // Far fewer would mean that the steps no longer reach anything.
    assert!(states > 10_000, "{states}");
}

#[test]
fn walk_resets() {
    let mut random = ChaCha8Rng::seed_from_u64(1);
    for _ in 0..WALKS {
        let (mut world, mut path) = (World::new(), Vec::new());
        while path.len() < WALK {
            let step = *STEPS.choose(&mut random).unwrap();
            // An endpoint that has left ends all that may go wrong.
            let leaves = matches!(step, Step::Leave) && path.len() < WALK / 2;
            if leaves || matches!(world.clone().step(step), Ok(false)) {
                continue;
            }
            path.push(step);
            let taken = world.step(step);
            assert!(taken.is_ok(), "{taken:?} {path:?}");
        }
    }
}
