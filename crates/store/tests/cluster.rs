//! The group that stores form by themselves: founders, joins, lost disks, publications and reads.

mod world;

use codes::Code;
use mimosausher_store::{
    Answer,
    Event,
    Outcome,
    Publication,
    Published,
    StoreId,
    Timing,
    Token, //
};
use rand::{
    Rng as _,
    SeedableRng as _, //
};
use rand_chacha::ChaCha8Rng;
use world::World;

fn timing() -> Timing {
    Timing::new().with_snapshot(8).with_voters(3)
}

fn publication(version: u64, text: &str) -> Publication {
    Publication::new(version, text.as_bytes())
}

fn all(world: &World) -> Vec<usize> {
    (0..world.nodes.len()).collect()
}

fn formed(count: usize) -> World {
    let mut world = World::founded(count, 3, timing());
    let numbers = all(&world);
    world.run(&numbers, 20);
    assert!(world.leader().is_some());
    world
}

fn voters(world: &World) -> Vec<StoreId> {
    let leader = world.leader().unwrap();
    let members = world.nodes[leader].raft.members().0.iter();
    let voters = members.filter(|member| member.voter);
    voters.map(|member| member.id).collect()
}

fn publish(world: &mut World, version: u64, text: &str, token: u64) {
    let leader = world.leader().unwrap();
    let event = Event::Publish(publication(version, text), Token(token));
    world.event(leader, event);
}

fn published(world: &World, token: u64) -> Option<Published> {
    match world.answers.get(&Token(token)) {
        Some(Answer::Published(published)) => Some(*published),
        _ => None,
    }
}

#[test]
fn found_three_of_four() {
    let world = formed(4);
    assert_eq!(voters(&world).len(), 3);
    let leader = world.leader().unwrap();
    assert_eq!(world.nodes[leader].raft.members().0.len(), 4);
}

#[test]
fn found_wanted_voters() {
    let timing = Timing::new().with_voters(5);
    let mut world = World::founded(8, 3, timing);
    let numbers = all(&world);
    world.run(&numbers, 40);
    assert_eq!(voters(&world).len(), 5);
}

#[test]
fn found_one_late_founder() {
    let mut world = World::founded(3, 3, timing());
    world.run(&[0, 1], 20);
    publish(&mut world, 7, "a", 1);
    world.settle(&[0, 1]);
    assert_eq!(published(&world, 1), Some(Published::Accepted));
    world.run(&[0, 1, 2], 20);
    let held = world.nodes[2].raft.ledger().published().unwrap();
    assert_eq!(held.version, 7);
}

#[test]
fn publish_any_order() {
    let mut world = formed(3);
    let numbers = all(&world);
    for (token, version, text, expected) in [
        (1, 7, "a", Published::Accepted),
        (2, 7, "a", Published::Repeated),
        (3, 7, "b", Published::Conflict),
        (4, 9, "c", Published::Accepted),
        (5, 7, "a", Published::Superseded),
        (6, 8, "d", Published::Superseded),
        (7, 9, "d", Published::Conflict),
    ] {
        publish(&mut world, version, text, token);
        world.settle(&numbers);
        assert_eq!(published(&world, token), Some(expected), "{version} {text}");
    }
}

/// A conflict and a late version that came through the log stand in the audit trail; repeats do not.
#[test]
fn publish_audit() {
    let mut world = formed(3);
    let numbers = all(&world);
    for (token, version, text) in [(1, 7, "a"), (2, 7, "b"), (3, 7, "a"), (4, 6, "c")] {
        publish(&mut world, version, text, token);
    }
    world.settle(&numbers);
    for node in &world.nodes {
        let lines = node.raft.ledger().audit().iter();
        let codes: Vec<_> = lines
            .map(|line| match &line.outcome {
                Outcome::Accepted { version, .. } => Ok(version.0),
                Outcome::Refused { code, .. } => Err(*code),
            })
            .collect();
        let refused = [Code::PublicationConflict, Code::PublicationSuperseded].map(Err);
        assert_eq!(codes, [&[Ok(7)], &refused[..]].concat());
    }
}

#[test]
fn publish_two_at_once() {
    let mut world = formed(3);
    let numbers = all(&world);
    publish(&mut world, 7, "a", 1);
    publish(&mut world, 7, "b", 2);
    world.settle(&numbers);
    assert_eq!(published(&world, 1), Some(Published::Accepted));
    assert_eq!(published(&world, 2), Some(Published::Conflict));
}

#[test]
fn publish_without_quorum() {
    let mut world = formed(3);
    let leader = world.leader().unwrap();
    publish(&mut world, 7, "a", 1);
    world.settle(&[leader]);
    assert_eq!(published(&world, 1), None);
}

#[test]
fn read_calm_leader() {
    let mut world = formed(4);
    let numbers = all(&world);
    let leader = world.leader().unwrap();
    world.event(leader, Event::Read(Token(1)));
    assert!(!world.answers.contains_key(&Token(1)));
    world.settle(&numbers);
    assert_eq!(world.answers[&Token(1)], Answer::Current);
}

#[test]
fn read_follower() {
    let mut world = formed(3);
    let leader = world.leader().unwrap();
    world.event((leader + 1) % 3, Event::Read(Token(1)));
    assert!(matches!(
        world.answers[&Token(1)],
        Answer::Refused(Code::NoLeader, _)
    ));
}

/// A leader that was frozen, and whose clock did not count that, still believes that it leads.
#[test]
fn read_deposed_leader() {
    let mut world = formed(3);
    let old = world.leader().unwrap();
    let others: Vec<_> = (0..3).filter(|number| *number != old).collect();
    for _ in 0..20 {
        for number in &others {
            world.tick(*number);
        }
        world.settle(&others);
    }
    let new = world.leader().unwrap();
    assert_ne!(old, new);
    publish(&mut world, 9, "new", 1);
    world.settle(&others);
    assert_eq!(published(&world, 1), Some(Published::Accepted));
    assert!(world.nodes[old].raft.leads());
    world.event(old, Event::Read(Token(2)));
    world.settle(&all(&world));
    assert_ne!(world.answers.get(&Token(2)), Some(&Answer::Current));
}

#[test]
fn join_empty_disk() {
    let mut world = formed(4);
    publish(&mut world, 7, "a", 1);
    world.settle(&all(&world));
    let leader = world.leader().unwrap();
    let lost = (0..3).find(|number| *number != leader).unwrap();
    let old = world.nodes[lost].raft.id();
    world.wipe(lost, StoreId(99));
    let numbers = all(&world);
    world.run(&numbers, 20);
    let voters = voters(&world);
    assert_eq!(voters.len(), 3);
    assert!(!voters.contains(&old));
    let leader = world.leader().unwrap();
    let members = world.nodes[leader].raft.members();
    assert!(members.get(StoreId(99)).is_some());
    let held = world.nodes[lost].raft.ledger().published().unwrap();
    assert_eq!(held.version, 7);
}

/// A store with an empty disk meets only one that lacks the acknowledged version: they must not go
/// on without the one that has it.
#[test]
fn join_empty_disk_behind() {
    let mut world = formed(3);
    let leader = world.leader().unwrap();
    let others: Vec<_> = (0..3).filter(|number| *number != leader).collect();
    publish(&mut world, 7, "a", 1);
    world.settle(&[leader, others[0]]);
    assert_eq!(published(&world, 1), Some(Published::Accepted));
    world.wipe(others[0], StoreId(99));
    world.run(&others, 40);
    for number in others {
        assert!(!world.nodes[number].raft.leads());
    }
}

#[test]
fn reconcile_silent_voter() {
    let mut world = formed(4);
    let leader = world.leader().unwrap();
    let silent = (0..3).find(|number| *number != leader).unwrap();
    let id = world.nodes[silent].raft.id();
    let others: Vec<_> = (0..4).filter(|number| *number != silent).collect();
    // Heartbeats come every 100 ms; the patience is 8 s.
    world.run(&others, 30);
    assert!(voters(&world).contains(&id));
    world.run(&others, 100);
    let now = voters(&world);
    assert_eq!(now.len(), 3);
    assert!(!now.contains(&id));
    let numbers = all(&world);
    world.run(&numbers, 20);
    let leader = world.leader().unwrap();
    assert!(world.nodes[leader].raft.members().get(id).is_some());
}

/// What a store was asked.
enum Asked {
    /// To publish a version.
    Publish(u64),
    /// To read, when that version was the highest acknowledged one.
    Read(u64),
}

/// Version that a store has.
fn held(world: &World, number: usize) -> u64 {
    let held = world.nodes[number].raft.ledger().published();
    held.map_or(0, |held| held.version)
}

/// One random run with lost, doubled and reordered messages, crashes, and one lost disk at a time.
/// What was acknowledged stays, and no read answers with less than was acknowledged before it.
fn history(seed: u64, count: usize) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut world = World::founded(count, 3, timing());
    let numbers = all(&world);
    let (mut token, mut version, mut fresh) = (0, 0, 1_000);
    let mut pending: Vec<(Token, usize, Asked)> = Vec::new();
    let mut acknowledged = 0;
    for round in 0..12 {
        world.run(&numbers, 20);
        let mut wipes = 1;
        for _ in 0..400 {
            let any = random.random_range(0..count);
            let number = match random.random_bool(0.7) {
                true => world.leader().unwrap_or(any),
                false => any,
            };
            match random.random_range(0..200) {
                0..150 if !world.network.is_empty() => {
                    let place = random.random_range(0..world.network.len());
                    match random.random_range(0..12) {
                        0 => drop(world.network.swap_remove(place)),
                        1 => world.network.push(world.network[place].clone()),
                        _ => world.deliver(place),
                    }
                }
                0..170 => world.tick(number),
                170..180 => {
                    token += 1;
                    version += random.random_range(0..3);
                    let text = format!("{version} {}", random.random_range(0..2));
                    let event = Event::Publish(publication(version, &text), Token(token));
                    pending.push((Token(token), number, Asked::Publish(version)));
                    world.event(number, event);
                }
                180..190 => {
                    token += 1;
                    world.event(number, Event::Read(Token(token)));
                    pending.push((Token(token), number, Asked::Read(acknowledged)));
                }
                190..194 => world.join(),
                194..197 => world.crash(any),
                197 if wipes > 0 => {
                    wipes -= 1;
                    fresh += 1;
                    world.wipe(any, StoreId(fresh));
                }
                _ => world.tick(any),
            }
            assert_eq!(world.wrong, None, "seed {seed} round {round}");
            pending.retain(|(token, number, asked)| {
                let Some(answer) = world.answers.get(token) else {
                    return true;
                };
                match (answer, asked) {
                    (Answer::Published(outcome), Asked::Publish(version)) => {
                        if matches!(outcome, Published::Accepted | Published::Repeated) {
                            acknowledged = acknowledged.max(*version);
                        }
                    }
                    (Answer::Current, Asked::Read(least)) => {
                        let held = held(&world, *number);
                        assert!(held >= *least, "seed {seed}: read {held}, not {least}");
                    }
                    _ => {}
                }
                false
            });
        }
        world.run(&numbers, 30);
        for number in &numbers {
            let held = held(&world, *number);
            assert!(
                held >= acknowledged,
                "seed {seed}: {held}, not {acknowledged}"
            );
        }
    }
    assert!(acknowledged > 0, "seed {seed}");
}

#[test]
fn history_four_stores() {
    for seed in 0..40 {
        history(seed, 4);
    }
}

#[test]
fn history_three_stores() {
    for seed in 100..120 {
        history(seed, 3);
    }
}
