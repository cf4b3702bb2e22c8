//! The state machines of all entries, and what surrounds them.

use std::{
    cmp::Reverse,
    collections::{
        BTreeMap,
        BTreeSet,
        BinaryHeap, //
    },
    time::Duration, //
};

use hdrhistogram::Histogram;
use mimosausher_dispatch::{
    Action,
    Candidate,
    Claim,
    ClaimId,
    Event,
    Holder,
    KeyHash,
    Limits,
    Member,
    Outcome,
    Policy,
    Pool,
    Ring,
    Settled,
    Ticket,
    Verdict,
    Vote, //
};

use super::{
    Case, DEADLINE, Deployment, ENDPOINTS, ENTRIES, LENGTH, Result, WARM,
    endpoint::Endpoint,
    happening::Happening,
    imbalance,
    plan::{
        COLD,
        Planned,
        plan,
        serving, //
    },
};

/// Time between two exchanges of an entry with its peers.
const EXCHANGE: Duration = Duration::from_millis(250);

/// The entry that dies in the case of an entry's death.
const VICTIM: u32 = 3;

/// Time after which the callers of a dead entry send again.
const RESEND: Duration = Duration::from_millis(100);

/// Everything that takes part in a run.
pub struct World<P: Policy<Key = u32>> {
    pub(super) busy: BTreeMap<u64, BTreeMap<u32, f64>>,
    pub(super) case: Case,
    pub(super) dead: BTreeSet<u32>,
    pub(super) deployment: Deployment,
    pub(super) endpoints: BTreeMap<u32, Endpoint>,
    pub(super) exchange: bool,
    pub(super) events: BinaryHeap<Reverse<(Duration, u64, Happening)>>,
    pub(super) good: f64,
    pub(super) holders: BTreeMap<Box<str>, Holder>,
    pub(super) not_run: BTreeSet<u64>,
    pub(super) placed: BTreeMap<u64, (u32, u32)>,
    pub(super) pools: Vec<Pool<P>>,
    pub(super) refused: [f64; 3],
    pub(super) reports: Vec<(Duration, Vec<Candidate<u32>>)>,
    pub(super) requests: Vec<Planned>,
    pub(super) ring: Ring,
    pub(super) runs: BTreeMap<u64, u32>,
    pub(super) sequence: u64,
    pub(super) shed: f64,
    pub(super) ticking: BTreeSet<u32>,
    pub(super) times: Histogram<u64>,
}

impl<P: Policy<Key = u32>> World<P> {
    pub fn new(
        deployment: Deployment,
        case: Case,
        seed: u64,
        exchange: bool,
        policy: impl Fn(u32) -> P,
    ) -> Self {
        let ring = Ring::new().with_members((0..ENTRIES).map(|entry| Member {
            centre: format!("centre-{}", entry / 2).into(),
            incarnation: 1,
            name: name(entry),
        }));
        let holder = |entry| {
            let mut holder = Holder::new(Duration::ZERO, &name(entry), LENGTH * 2);
            holder.first();
            holder.view(Duration::ZERO, ring.clone());
            (name(entry), holder)
        };
        let mut world = Self {
            busy: BTreeMap::new(),
            case,
            dead: BTreeSet::new(),
            deployment,
            endpoints: (0..ENDPOINTS + 4)
                .map(|e| (e, Endpoint::default()))
                .collect(),
            events: BinaryHeap::new(),
            exchange,
            good: 0.0,
            holders: (0..ENTRIES).map(holder).collect(),
            not_run: BTreeSet::new(),
            placed: BTreeMap::new(),
            pools: (0..ENTRIES)
                .map(|entry| Pool::new(policy(entry), Limits::new()))
                .collect(),
            refused: [0.0; 3],
            reports: Vec::new(),
            requests: plan(&deployment, &case, seed),
            ring,
            runs: BTreeMap::new(),
            sequence: 0,
            shed: 0.0,
            ticking: BTreeSet::new(),
            times: Histogram::new(3).unwrap(),
        };
        world.begin();
        world
    }

    pub fn run(mut self) -> Result {
        while let Some(Reverse((now, _, happening))) = self.events.pop() {
            self.happen(now, happening);
        }
        let total = self.requests.iter().filter(|r| measured(r.at)).count() as f64;
        let capacity = f64::from(ENDPOINTS * u32::from(self.deployment.slots));
        let ran = |request: &&u64| self.runs.contains_key(*request);
        Result {
            double: self.runs.values().map(|runs| runs - 1).sum(),
            false_not: self.not_run.iter().filter(ran).count().try_into().unwrap(),
            free: self.refused[1] / total,
            goodput: self.good / (LENGTH - WARM).as_secs_f64() / capacity,
            imbalance: imbalance(&self.busy),
            refused: self.refused[0] / total,
            shed: self.shed / total,
            usable: self.refused[2] / total,
            times: self.times,
        }
    }

    fn begin(&mut self) {
        let arrivals: Vec<_> = (0..)
            .zip(&self.requests)
            .map(|(n, r)| (n, r.at, r.entry))
            .collect();
        for (request, at, entry) in arrivals {
            self.at(at, Happening::Arrive { entry, request });
        }
        self.at(Duration::ZERO, Happening::Report);
        self.at(Duration::ZERO, Happening::Exchange);
        if self.case.death {
            self.at(COLD, Happening::Die);
        }
    }

    pub(super) fn at(&mut self, at: Duration, happening: Happening) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, happening)));
    }

    fn happen(&mut self, now: Duration, happening: Happening) {
        match happening {
            Happening::Answer { entry, request } => self.answer(now, entry, request),
            Happening::Arrive { entry, request } => self.arrive(now, entry, request),
            Happening::Die => self.die(now),
            Happening::Exchange => self.tell(now),
            Happening::Finish {
                endpoint,
                request,
                run,
            } => self.finish(now, endpoint, request, run),
            Happening::Reach {
                endpoint,
                entry,
                request,
            } => {
                self.reach(now, endpoint, entry, request);
            }
            Happening::Report => self.report(now),
            Happening::Shed { entry, request } => {
                let ticket = Ticket(request);
                let outcome = Outcome::Shed;
                self.give(now, entry, Event::Ended { outcome, ticket });
            }
            Happening::Tick { entry } => {
                self.ticking.remove(&entry);
                self.give(now, entry, Event::Tick);
            }
            Happening::Told {
                counts,
                entry,
                peer,
                waiting,
            } => {
                self.give(
                    now,
                    entry,
                    Event::Peer {
                        counts,
                        peer,
                        waiting,
                    },
                );
            }
        }
    }

    /// Gives an event to an entry's pool and carries out what it wants.
    pub(super) fn give(&mut self, now: Duration, entry: u32, event: Event<u32>) {
        if self.dead.contains(&entry) {
            return;
        }
        let pool = &mut self.pools[entry as usize];
        let actions = pool.handle(now, event);
        let wake = pool.wake(now);
        if let Some(wake) = wake
            && self.ticking.insert(entry)
        {
            self.at(wake, Happening::Tick { entry });
        }
        for action in actions {
            match action {
                Action::Place { key, ticket } => {
                    let request = ticket.0;
                    self.placed.insert(request, (entry, key));
                    let reach = Happening::Reach {
                        endpoint: key,
                        entry,
                        request,
                    };
                    self.at(now + self.deployment.hop, reach);
                }
                Action::Refuse { ticket, .. } => self.refuse(now, entry, ticket.0),
            }
        }
    }

    fn arrive(&mut self, now: Duration, entry: u32, request: u64) {
        if self.dead.contains(&entry) {
            let entry = (entry + 1) % ENTRIES;
            self.at(now + RESEND, Happening::Arrive { entry, request });
            return;
        }
        let planned = self.requests[request as usize];
        // An answer that is joined or kept costs no run; one that is unknown may not run again.
        if planned.keyed && self.claim(now, entry, request) != Verdict::Granted {
            return;
        }
        let deadline = planned.at + DEADLINE;
        let ticket = Ticket(request);
        self.give(now, entry, Event::Arrived { deadline, ticket });
    }

    fn claim(&mut self, now: Duration, entry: u32, request: u64) -> Verdict {
        let claim = claim(entry, request);
        let asked = self.ring.holders(&claim.key);
        let mut vote = Vote::new(asked.len(), self.ring.quorum());
        let mut verdict = None;
        for member in asked {
            let holder = self.holders.get_mut(&member.name);
            let reply = holder.map(|holder| holder.claim(now, claim.clone()));
            verdict = verdict.or(vote.reply(reply));
        }
        verdict.unwrap_or(vote.last())
    }

    fn settle(&mut self, entry: u32, request: u64, settled: &Settled) {
        let claim = claim(entry, request);
        for holder in self.holders.values_mut() {
            holder.settle(&claim.key, &claim.id, settled.clone());
        }
    }

    fn answer(&mut self, now: Duration, entry: u32, request: u64) {
        if self.dead.contains(&entry) {
            return;
        }
        let planned = self.requests[request as usize];
        let time = now - planned.at;
        if measured(now) {
            self.times
                .record(time.as_micros().try_into().unwrap())
                .unwrap();
            let good = time <= DEADLINE;
            self.good += if good {
                planned.work.as_secs_f64()
            } else {
                0.0
            };
        }
        self.placed.remove(&request);
        if planned.keyed {
            self.settle(entry, request, &Settled::Answered(None));
        }
        let (outcome, ticket) = (Outcome::Answered, Ticket(request));
        self.give(now, entry, Event::Ended { outcome, ticket });
    }

    fn refuse(&mut self, now: Duration, entry: u32, request: u64) {
        self.not_run.insert(request);
        self.placed.remove(&request);
        if self.requests[request as usize].keyed {
            self.settle(entry, request, &Settled::NotRun);
        }
        if measured(now) {
            let (slots, hop) = (self.deployment.slots, self.deployment.hop);
            let free = |time| {
                let mut serving = serving(&self.case, now);
                serving.any(|endpoint| self.endpoints[&endpoint].idle(now, slots, time))
            };
            let (any, usable) = (free(Duration::ZERO), free(hop * 2));
            self.refused[0] += 1.0;
            self.refused[1] += f64::from(u8::from(any));
            self.refused[2] += f64::from(u8::from(usable));
        }
    }

    /// An entry dies: what it sent is cancelled, and its callers send again if they have a key.
    fn die(&mut self, now: Duration) {
        self.dead.insert(VICTIM);
        self.holders.remove(&name(VICTIM));
        let members: Vec<_> = self.ring.members().cloned().collect();
        let left = members
            .into_iter()
            .filter(|member| member.name != name(VICTIM));
        self.ring = self.ring.with_members(left);
        for holder in self.holders.values_mut() {
            holder.view(now, self.ring.clone());
        }
        let lost: Vec<_> = self
            .placed
            .iter()
            .filter(|(_, (entry, _))| *entry == VICTIM)
            .map(|(request, (_, endpoint))| (*request, *endpoint))
            .collect();
        for (request, endpoint) in lost {
            self.placed.remove(&request);
            let server = self.endpoints.get_mut(&endpoint).unwrap();
            server.end(now, request, self.deployment.slots);
            server.waiting.retain(|waiting| *waiting != request);
            self.next(now, endpoint);
            if self.requests[request as usize].keyed {
                let entry = VICTIM + 1;
                self.at(now + RESEND, Happening::Arrive { entry, request });
            }
        }
    }

    fn tell(&mut self, now: Duration) {
        if !self.exchange || now > LENGTH {
            return;
        }
        let dead = self.dead.clone();
        for peer in (0..ENTRIES).filter(|entry| !dead.contains(entry)) {
            let pool = &self.pools[peer as usize];
            let counts: Vec<_> = pool.counts().filter(|(_, count)| *count > 0).collect();
            let waiting = pool.waiting().try_into().unwrap();
            for entry in (0..ENTRIES).filter(|entry| *entry != peer) {
                let counts = counts.clone();
                let told = Happening::Told {
                    counts,
                    entry,
                    peer,
                    waiting,
                };
                self.at(now + self.deployment.hop, told);
            }
        }
        self.at(now + EXCHANGE, Happening::Exchange);
    }
}

fn claim(entry: u32, request: u64) -> Claim {
    Claim {
        id: ClaimId {
            claimant: name(entry),
            incarnation: 1,
            serial: request,
        },
        key: KeyHash {
            hash: u128::from(request),
            home: None,
        },
        print: 1,
    }
}

pub(super) fn measured(at: Duration) -> bool {
    at > WARM && at < LENGTH
}

fn name(entry: u32) -> Box<str> {
    format!("entry-{entry}").into()
}
