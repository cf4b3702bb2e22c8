//! Model checking: breadth-first exploration of all states of a few stores, up to a given depth.

mod simulation;

use std::hash::{
    Hash,
    Hasher, //
};

use mimosausher_store::{
    Body,
    Evacuation,
    Event,
    StoreId,
    Timing,
    Token, //
};
use pathfinding::directed::bfs::bfs_reach;
use simulation::{
    Fault,
    Simulation, //
};

/// An explored state. States that behave alike are equal; breadth-first search finds each one at
/// its minimum depth.
#[derive(Clone, Debug)]
struct State {
    crashes: usize,
    depth: usize,
    edits: u64,
    evacuations: u64,
    fingerprint: u64,
    sim: Simulation,
}

impl PartialEq for State {
    fn eq(&self, other: &Self) -> bool {
        (self.fingerprint, self.crashes, self.edits, self.evacuations)
            == (
                other.fingerprint,
                other.crashes,
                other.edits,
                other.evacuations,
            )
    }
}

impl Eq for State {}

impl Hash for State {
    fn hash<H: Hasher>(&self, state: &mut H) {
        (self.fingerprint, self.crashes, self.edits, self.evacuations).hash(state);
    }
}

impl State {
    fn new(sim: Simulation) -> Self {
        Self {
            crashes: 0,
            depth: 0,
            edits: 0,
            evacuations: 0,
            fingerprint: sim.fingerprint(),
            sim,
        }
    }

    fn next(&self, change: impl FnOnce(&mut Self)) -> Self {
        let mut next = self.clone();
        change(&mut next);
        next.depth += 1;
        next.fingerprint = next.sim.fingerprint();
        next
    }

    /// All successor states: a message is delivered, a timeout expires, a store restarts with its
    /// disk or with an empty one, a leader receives an edit or an evacuation order, or stores request to join if the
    /// leader manages the members. A message that is never delivered is a lost one.
    fn successors(&self, depth: usize) -> Vec<Self> {
        let mut next = Vec::new();
        if self.depth == depth || self.sim.violation.is_some() {
            return next;
        }
        for index in 0..self.sim.network.len() {
            next.push(self.next(|state| state.sim.deliver(index)));
        }
        if self.sim.timing.voters.is_some() {
            next.push(self.next(|state| state.sim.join()));
        }
        for number in 0..self.sim.nodes.len() {
            next.push(self.next(|state| state.sim.tick(number)));
            if self.crashes == 0 {
                next.push(self.next(|state| {
                    state.crashes += 1;
                    state.sim.crash(number);
                }));
                next.push(self.next(|state| {
                    state.crashes += 1;
                    state.sim.wipe(number, StoreId(100));
                }));
            }
            if self.edits == 0 && self.sim.nodes[number].raft.is_leader() {
                next.push(self.next(|state| {
                    state.edits += 1;
                    let edit = simulation::edit("explored", 0);
                    state.sim.event(number, Event::Edit(edit, Token(9)));
                }));
            }
            if self.evacuations > 0 && self.sim.nodes[number].raft.is_leader() {
                next.push(self.next(|state| {
                    state.evacuations -= 1;
                    let order = match state.evacuations % 2 {
                        0 => Evacuation::end("a"),
                        _ => Evacuation::start("a"),
                    };
                    state.sim.event(number, Event::Evacuate(order, Token(10)));
                }));
            }
        }
        next
    }
}

/// Number of distinct states up to the depth, or the first violation found.
fn explore(sim: Simulation, depth: usize) -> Result<usize, String> {
    explore_from(State::new(sim), depth)
}

fn explore_from(first: State, depth: usize) -> Result<usize, String> {
    let mut count = 0;
    for state in bfs_reach(first, |state| state.successors(depth)) {
        count += 1;
        if let Some(violation) = state.sim.violation {
            return Err(violation);
        }
    }
    Ok(count)
}

/// Three stores without a leader.
fn leaderless() -> Simulation {
    Simulation::new(3, Timing::new())
}

/// The first store leads with the vote of the second one; the third received no message.
fn elected() -> Simulation {
    elected_with(Fault::None)
}

fn elected_with(fault: Fault) -> Simulation {
    let mut sim = leaderless();
    sim.fault = fault;
    sim.tick(0);
    while let Some(index) = sim.network.iter().position(|message| {
        message.to != simulation::id(2) && !matches!(message.body, Body::Append { .. })
    }) {
        sim.deliver(index);
    }
    assert_eq!(sim.leader(), Some(0));
    sim.network.clear();
    sim
}

/// The first two stores have committed an edit that the third one lacks.
fn committed() -> Simulation {
    let mut sim = leaderless();
    sim.tick(0);
    sim.deliver_all(&[0, 1]);
    sim.event(0, Event::Edit(simulation::edit("first", 0), Token(1)));
    sim.deliver_all(&[0, 1]);
    assert!(sim.answers.contains_key(&Token(1)));
    sim
}

/// The first two stores have committed an evacuation that the third one lacks.
fn evacuated() -> Simulation {
    let mut sim = leaderless();
    sim.tick(0);
    sim.deliver_all(&[0, 1]);
    let order = Evacuation::start("a");
    sim.event(0, Event::Evacuate(order, Token(1)));
    sim.deliver_all(&[0, 1]);
    assert!(sim.answers.contains_key(&Token(1)));
    sim
}

/// Three voters and a learner: the leader and the second store have committed an edit that the
/// third one lacks, and the second store has just lost its disk.
fn disk_lost() -> Simulation {
    let mut sim = Simulation::founded(4, 3, Timing::new().with_voters(3));
    let all = [0, 1, 2, 3];
    for _ in 0..8 {
        sim.tick(0);
        sim.deliver_all(&all);
        sim.join();
        sim.deliver_all(&all);
    }
    assert_eq!(sim.leader(), Some(0));
    assert_eq!(sim.nodes[0].raft.members().0.len(), 4);
    sim.event(0, Event::Edit(simulation::edit("first", 0), Token(1)));
    sim.deliver_all(&[0, 1]);
    assert!(sim.answers.contains_key(&Token(1)));
    sim.wipe(1, StoreId(99));
    sim.network.clear();
    sim
}

#[test]
fn explore_disk_lost() {
    let mut state = State::new(disk_lost());
    // Only one disk may be lost at a time, and one already is.
    state.crashes = 1;
    let count = explore_from(state, 8).unwrap();
    println!("{count} states from a lost disk to depth 8");
}

/// The leader loses its entries as well, and with them the last copy of the edit. This is more than
/// may be lost at once, so exploration has to find the loss.
#[test]
fn explore_two_disks_lost() {
    let mut sim = disk_lost();
    sim.fault = Fault::LostEntries;
    sim.crash(0);
    let violation = explore_from(State::new(sim), 8).unwrap_err();
    assert!(violation.starts_with("lost"), "{violation}");
}

#[test]
fn explore_fresh_stores() {
    let count = explore(leaderless(), 8).unwrap();
    println!("{count} states from fresh stores to depth 8");
}

#[test]
fn explore_elected_leader() {
    let count = explore(elected(), 7).unwrap();
    println!("{count} states from an elected leader to depth 7");
}

#[test]
fn explore_committed_edit() {
    let count = explore(committed(), 7).unwrap();
    println!("{count} states from a committed edit to depth 7");
}

/// A start and an end of an evacuation follow a committed one, at any leader.
#[test]
fn explore_evacuations() {
    let mut state = State::new(evacuated());
    state.edits = 1;
    state.evacuations = 2;
    let count = explore_from(state, 7).unwrap();
    println!("{count} states from an evacuation to depth 7");
}

#[test]
fn explore_evacuation_lost() {
    let mut sim = evacuated();
    sim.fault = Fault::LostEntries;
    let mut state = State::new(sim);
    state.edits = 1;
    let violation = explore_from(state, 7).unwrap_err();
    assert!(violation.starts_with("lost"), "{violation}");
}

#[test]
fn explore_lost_entries() {
    let mut sim = committed();
    sim.fault = Fault::LostEntries;
    let violation = explore(sim, 7).unwrap_err();
    assert!(violation.starts_with("lost"), "{violation}");
}

#[test]
fn explore_unsynced_vote() {
    let violation = explore(elected_with(Fault::UnsyncedVote), 7).unwrap_err();
    assert!(violation.starts_with("two leaders"), "{violation}");
}
