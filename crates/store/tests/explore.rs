//! Exhaustive exploration of three stores, breadth first, to a stated depth.

mod world;

use std::hash::{
    Hash,
    Hasher, //
};

use mimosausher_store::{
    Body,
    Event,
    StoreId,
    Timing,
    Token, //
};
use pathfinding::directed::bfs::bfs_reach;
use world::{
    Fault,
    World, //
};

/// A state on the way, equal to all that behave alike; breadth first meets each at its least depth.
#[derive(Clone, Debug)]
struct Step {
    crashes: usize,
    depth: usize,
    edits: u64,
    mark: u64,
    world: World,
}

impl PartialEq for Step {
    fn eq(&self, other: &Self) -> bool {
        (self.mark, self.crashes, self.edits) == (other.mark, other.crashes, other.edits)
    }
}

impl Eq for Step {}

impl Hash for Step {
    fn hash<H: Hasher>(&self, state: &mut H) {
        (self.mark, self.crashes, self.edits).hash(state);
    }
}

impl Step {
    fn new(world: World) -> Self {
        Self {
            crashes: 0,
            depth: 0,
            edits: 0,
            mark: world.fingerprint(),
            world,
        }
    }

    fn next(&self, change: impl FnOnce(&mut Self)) -> Self {
        let mut next = self.clone();
        change(&mut next);
        next.depth += 1;
        next.mark = next.world.fingerprint();
        next
    }

    /// All states one step on: a message arrives, a time runs out, a store is started again with
    /// its disk or without, a leader takes an edit, stores ask to be taken in where the leader keeps
    /// the members by itself. A message that never arrives is lost.
    fn successors(&self, depth: usize) -> Vec<Self> {
        let mut next = Vec::new();
        if self.depth == depth || self.world.wrong.is_some() {
            return next;
        }
        for place in 0..self.world.network.len() {
            next.push(self.next(|step| step.world.deliver(place)));
        }
        if self.world.timing.voters.is_some() {
            next.push(self.next(|step| step.world.join()));
        }
        for number in 0..self.world.nodes.len() {
            next.push(self.next(|step| step.world.tick(number)));
            if self.crashes == 0 {
                next.push(self.next(|step| {
                    step.crashes += 1;
                    step.world.crash(number);
                }));
                next.push(self.next(|step| {
                    step.crashes += 1;
                    step.world.wipe(number, StoreId(100));
                }));
            }
            if self.edits == 0 && self.world.nodes[number].raft.leads() {
                next.push(self.next(|step| {
                    step.edits += 1;
                    let edit = world::edit("explored", 0);
                    step.world.event(number, Event::Edit(edit, Token(9)));
                }));
            }
        }
        next
    }
}

/// Number of distinct states within the depth, or the first one that is wrong.
fn explore(world: World, depth: usize) -> Result<usize, String> {
    explore_from(Step::new(world), depth)
}

fn explore_from(first: Step, depth: usize) -> Result<usize, String> {
    let mut count = 0;
    for step in bfs_reach(first, |step| step.successors(depth)) {
        count += 1;
        if let Some(wrong) = step.world.wrong {
            return Err(wrong);
        }
    }
    Ok(count)
}

/// Three stores, none of which leads.
fn fresh() -> World {
    World::new(3, Timing::new())
}

/// The first store leads with the second one's vote; the third heard nothing of it.
fn elected() -> World {
    elected_with(Fault::None)
}

fn elected_with(fault: Fault) -> World {
    let mut world = fresh();
    world.fault = fault;
    world.tick(0);
    while let Some(place) = world.network.iter().position(|message| {
        message.to != world::id(2) && !matches!(message.body, Body::Append { .. })
    }) {
        world.deliver(place);
    }
    assert_eq!(world.leader(), Some(0));
    world.network.clear();
    world
}

/// The first two stores committed an edit that the third one lacks.
fn committed() -> World {
    let mut world = fresh();
    world.tick(0);
    world.settle(&[0, 1]);
    world.event(0, Event::Edit(world::edit("first", 0), Token(1)));
    world.settle(&[0, 1]);
    assert!(world.answers.contains_key(&Token(1)));
    world
}

/// Four stores of which three vote: the leader and one more committed an edit that the third one
/// lacks, and that other one has just lost its disk. The fourth one is a learner.
fn disk_lost() -> World {
    let mut world = World::founded(4, 3, Timing::new().with_voters(3));
    let all = [0, 1, 2, 3];
    for _ in 0..8 {
        world.tick(0);
        world.settle(&all);
        world.join();
        world.settle(&all);
    }
    assert_eq!(world.leader(), Some(0));
    assert_eq!(world.nodes[0].raft.members().0.len(), 4);
    world.event(0, Event::Edit(world::edit("first", 0), Token(1)));
    world.settle(&[0, 1]);
    assert!(world.answers.contains_key(&Token(1)));
    world.wipe(1, StoreId(99));
    world.network.clear();
    world
}

#[test]
fn explore_disk_lost() {
    let mut step = Step::new(disk_lost());
    // One disk at a time: none but the lost one.
    step.crashes = 1;
    let count = explore_from(step, 8).unwrap();
    println!("{count} states from a lost disk to depth 8");
}

/// The only other copy is lost with the first one's disk: more than may be lost at once.
#[test]
fn explore_two_disks_lost() {
    let mut world = disk_lost();
    world.fault = Fault::Forget;
    world.crash(0);
    let wrong = explore_from(Step::new(world), 8).unwrap_err();
    assert!(wrong.starts_with("lost"), "{wrong}");
}

#[test]
fn explore_fresh_stores() {
    let count = explore(fresh(), 8).unwrap();
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

#[test]
fn explore_forgotten_entries() {
    let mut world = committed();
    world.fault = Fault::Forget;
    let wrong = explore(world, 7).unwrap_err();
    assert!(wrong.starts_with("lost"), "{wrong}");
}

#[test]
fn explore_unsynced_vote() {
    let wrong = explore(elected_with(Fault::Unsynced), 7).unwrap_err();
    assert!(wrong.starts_with("two leaders"), "{wrong}");
}
