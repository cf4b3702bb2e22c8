//! The simulation of a run: the state machines of all entries, with their endpoints and clients.

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
    ClaimEnd,
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
    Tally,
    Ticket,
    Verdict, //
};

use super::{
    Case,
    DEADLINE,
    Deployment,
    ENDPOINTS,
    ENTRIES,
    RUN_TIME,
    RunResult,
    WARM_UP,
    endpoint::Endpoint,
    imbalance,
    plan::{
        FAULT_TIME,
        PlannedRequest,
        plan,
        serving, //
    },
    sim_event::SimEvent, //
};

/// Interval between load exchanges of an entry with its peers.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(250);

/// The entry that crashes.
const CRASHED_ENTRY: u32 = 3;

/// Time after which the clients of a crashed entry resend.
const RESEND_DELAY: Duration = Duration::from_millis(100);

/// A simulated run.
pub struct Simulation<P: Policy<Key = u32>> {
    pub(super) busy_seconds: BTreeMap<u64, BTreeMap<u32, f64>>,
    pub(super) case: Case,
    pub(super) crashed: BTreeSet<u32>,
    pub(super) deployment: Deployment,
    pub(super) endpoints: BTreeMap<u32, Endpoint>,
    pub(super) exchange: bool,
    pub(super) events: BinaryHeap<Reverse<(Duration, u64, SimEvent)>>,
    pub(super) good_work: f64,
    pub(super) holders: BTreeMap<Box<str>, Holder>,
    pub(super) not_run: BTreeSet<u64>,
    pub(super) placed: BTreeMap<u64, (u32, u32)>,
    pub(super) pools: Vec<Pool<P>>,
    /// Refused requests: all, those while a slot was free, and those while one was usable.
    pub(super) refused: [f64; 3],
    pub(super) reports: Vec<(Duration, Vec<Candidate<u32>>)>,
    pub(super) requests: Vec<PlannedRequest>,
    pub(super) ring: Ring,
    pub(super) runs: BTreeMap<u64, u32>,
    pub(super) sequence: u64,
    pub(super) shed: f64,
    pub(super) ticking: BTreeSet<u32>,
    pub(super) times: Histogram<u64>,
}

impl<P: Policy<Key = u32>> Simulation<P> {
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
            let mut holder = Holder::new(Duration::ZERO, &name(entry), RUN_TIME * 2);
            holder.mark_complete();
            holder.set_ring(Duration::ZERO, ring.clone());
            (name(entry), holder)
        };
        let mut simulation = Self {
            busy_seconds: BTreeMap::new(),
            case,
            crashed: BTreeSet::new(),
            deployment,
            endpoints: (0..ENDPOINTS + 4)
                .map(|e| (e, Endpoint::default()))
                .collect(),
            events: BinaryHeap::new(),
            exchange,
            good_work: 0.0,
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
        simulation.schedule_start();
        simulation
    }

    pub fn run(mut self) -> RunResult {
        while let Some(Reverse((now, _, sim_event))) = self.events.pop() {
            self.handle(now, sim_event);
        }
        let total = self.requests.iter().filter(|r| measured(r.at)).count() as f64;
        let capacity = f64::from(ENDPOINTS * u32::from(self.deployment.slots));
        let ran = |request: &&u64| self.runs.contains_key(*request);
        RunResult {
            double_runs: self.runs.values().map(|runs| runs - 1).sum(),
            false_not_run: self.not_run.iter().filter(ran).count().try_into().unwrap(),
            goodput: self.good_work / (RUN_TIME - WARM_UP).as_secs_f64() / capacity,
            imbalance: imbalance(&self.busy_seconds),
            refused: self.refused[0] / total,
            refused_free: self.refused[1] / total,
            refused_usable: self.refused[2] / total,
            shed: self.shed / total,
            times: self.times,
        }
    }

    fn schedule_start(&mut self) {
        let arrivals: Vec<_> = (0..)
            .zip(&self.requests)
            .map(|(n, r)| (n, r.at, r.entry))
            .collect();
        for (request, at, entry) in arrivals {
            self.schedule(at, SimEvent::Arrive { entry, request });
        }
        self.schedule(Duration::ZERO, SimEvent::Report);
        self.schedule(Duration::ZERO, SimEvent::Exchange);
        if self.case.crash {
            self.schedule(FAULT_TIME, SimEvent::Crash);
        }
    }

    pub(super) fn schedule(&mut self, at: Duration, sim_event: SimEvent) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, sim_event)));
    }

    fn handle(&mut self, now: Duration, sim_event: SimEvent) {
        match sim_event {
            SimEvent::Answer { entry, request } => self.answer(now, entry, request),
            SimEvent::Arrive { entry, request } => self.arrive(now, entry, request),
            SimEvent::Crash => self.crash(now),
            SimEvent::Exchange => self.exchange_loads(now),
            SimEvent::Finish {
                endpoint,
                request,
                run,
            } => self.finish(now, endpoint, request, run),
            SimEvent::Deliver {
                endpoint,
                entry,
                request,
            } => {
                self.deliver(now, endpoint, entry, request);
            }
            SimEvent::Report => self.report(now),
            SimEvent::Shed { entry, request } => {
                let ticket = Ticket(request);
                let outcome = Outcome::Shed;
                self.pool_event(now, entry, Event::Ended { outcome, ticket });
            }
            SimEvent::Tick { entry } => {
                self.ticking.remove(&entry);
                self.pool_event(now, entry, Event::Tick);
            }
            SimEvent::PeerLoad {
                counts,
                entry,
                peer,
                waiting,
            } => {
                self.pool_event(
                    now,
                    entry,
                    Event::PeerLoad {
                        counts,
                        peer,
                        waiting,
                    },
                );
            }
        }
    }

    /// Passes an event to an entry's pool and performs the resulting actions.
    pub(super) fn pool_event(&mut self, now: Duration, entry: u32, event: Event<u32>) {
        if self.crashed.contains(&entry) {
            return;
        }
        let pool = &mut self.pools[entry as usize];
        let actions = pool.handle(now, event);
        let next_tick = pool.next_tick(now);
        if let Some(next_tick) = next_tick
            && self.ticking.insert(entry)
        {
            self.schedule(next_tick, SimEvent::Tick { entry });
        }
        for action in actions {
            match action {
                Action::Place { key, ticket } => {
                    let request = ticket.0;
                    self.placed.insert(request, (entry, key));
                    let deliver = SimEvent::Deliver {
                        endpoint: key,
                        entry,
                        request,
                    };
                    self.schedule(now + self.deployment.hop, deliver);
                }
                Action::Refuse { ticket, .. } => self.refuse(now, entry, ticket.0),
            }
        }
    }

    fn arrive(&mut self, now: Duration, entry: u32, request: u64) {
        if self.crashed.contains(&entry) {
            let entry = (entry + 1) % ENTRIES;
            self.schedule(now + RESEND_DELAY, SimEvent::Arrive { entry, request });
            return;
        }
        let planned = self.requests[request as usize];
        // Without a grant the request must not run: it is pending, answered, or may have run.
        if planned.keyed && self.claim(now, entry, request) != Verdict::Granted {
            return;
        }
        let deadline = planned.at + DEADLINE;
        let ticket = Ticket(request);
        self.pool_event(now, entry, Event::Arrived { deadline, ticket });
    }

    fn claim(&mut self, now: Duration, entry: u32, request: u64) -> Verdict {
        let claim = claim(entry, request);
        let holders = self.ring.holders(&claim.key);
        let mut tally = Tally::new(holders.len(), self.ring.quorum());
        let mut verdict = None;
        for member in holders {
            let holder = self.holders.get_mut(&member.name);
            let reply = holder.map(|holder| holder.claim(now, claim.clone()));
            verdict = verdict.or(tally.reply(reply));
        }
        verdict.unwrap_or(tally.final_verdict())
    }

    fn settle(&mut self, entry: u32, request: u64, end: &ClaimEnd) {
        let claim = claim(entry, request);
        for holder in self.holders.values_mut() {
            holder.settle(&claim.key, &claim.id, end.clone());
        }
    }

    fn answer(&mut self, now: Duration, entry: u32, request: u64) {
        if self.crashed.contains(&entry) {
            return;
        }
        let planned = self.requests[request as usize];
        let time = now - planned.at;
        if measured(now) {
            self.times
                .record(time.as_micros().try_into().unwrap())
                .unwrap();
            let in_time = time <= DEADLINE;
            self.good_work += if in_time {
                planned.work.as_secs_f64()
            } else {
                0.0
            };
        }
        self.placed.remove(&request);
        if planned.keyed {
            self.settle(entry, request, &ClaimEnd::Answered(None));
        }
        let (outcome, ticket) = (Outcome::Answered, Ticket(request));
        self.pool_event(now, entry, Event::Ended { outcome, ticket });
    }

    fn refuse(&mut self, now: Duration, entry: u32, request: u64) {
        self.not_run.insert(request);
        self.placed.remove(&request);
        if self.requests[request as usize].keyed {
            self.settle(entry, request, &ClaimEnd::NotRun);
        }
        if measured(now) {
            let (slots, hop) = (self.deployment.slots, self.deployment.hop);
            let slot_free = |time| {
                let mut serving = serving(&self.case, now);
                serving.any(|endpoint| self.endpoints[&endpoint].idle(now, slots, time))
            };
            let (any, long) = (slot_free(Duration::ZERO), slot_free(hop * 2));
            self.refused[0] += 1.0;
            self.refused[1] += f64::from(u8::from(any));
            self.refused[2] += f64::from(u8::from(long));
        }
    }

    /// Crashes an entry: its requests are cancelled, and clients resend those with a key.
    fn crash(&mut self, now: Duration) {
        self.crashed.insert(CRASHED_ENTRY);
        self.holders.remove(&name(CRASHED_ENTRY));
        let members: Vec<_> = self.ring.members().cloned().collect();
        let remaining = members
            .into_iter()
            .filter(|member| member.name != name(CRASHED_ENTRY));
        self.ring = self.ring.with_members(remaining);
        for holder in self.holders.values_mut() {
            holder.set_ring(now, self.ring.clone());
        }
        let cancelled: Vec<_> = self
            .placed
            .iter()
            .filter(|(_, (entry, _))| *entry == CRASHED_ENTRY)
            .map(|(request, (_, endpoint))| (*request, *endpoint))
            .collect();
        for (request, endpoint) in cancelled {
            self.placed.remove(&request);
            let server = self.endpoints.get_mut(&endpoint).unwrap();
            server.end(now, request, self.deployment.slots);
            server.waiting.retain(|waiting| *waiting != request);
            self.start_next(now, endpoint);
            if self.requests[request as usize].keyed {
                let entry = CRASHED_ENTRY + 1;
                self.schedule(now + RESEND_DELAY, SimEvent::Arrive { entry, request });
            }
        }
    }

    fn exchange_loads(&mut self, now: Duration) {
        if !self.exchange || now > RUN_TIME {
            return;
        }
        let crashed = self.crashed.clone();
        for peer in (0..ENTRIES).filter(|entry| !crashed.contains(entry)) {
            let pool = &self.pools[peer as usize];
            let counts: Vec<_> = pool
                .running_counts()
                .filter(|(_, count)| *count > 0)
                .collect();
            let waiting = pool.waiting().try_into().unwrap();
            for entry in (0..ENTRIES).filter(|entry| *entry != peer) {
                let counts = counts.clone();
                let load = SimEvent::PeerLoad {
                    counts,
                    entry,
                    peer,
                    waiting,
                };
                self.schedule(now + self.deployment.hop, load);
            }
        }
        self.schedule(now + EXCHANGE_INTERVAL, SimEvent::Exchange);
    }
}

fn claim(entry: u32, request: u64) -> Claim {
    Claim {
        fingerprint: 1,
        id: ClaimId {
            claimant: name(entry),
            incarnation: 1,
            serial: request,
        },
        key: KeyHash {
            hash: u128::from(request),
            home: None,
        },
    }
}

pub(super) fn measured(at: Duration) -> bool {
    at > WARM_UP && at < RUN_TIME
}

fn name(entry: u32) -> Box<str> {
    format!("entry-{entry}").into()
}
