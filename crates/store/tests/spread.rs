//! Voters and data centres: the loss of a whole data centre leaves a quorum, whichever stores founded
//! the group.

mod world;

use std::collections::BTreeMap;

use mimosausher_store::{
    Answer,
    Event,
    Payload,
    Publication,
    Published,
    StoreId,
    Timing,
    Token, //
};
use world::World;

/// Stores in the named data centres; the first three found the group.
fn formed(centres: &[&str], voters: usize) -> World {
    let timing = Timing::new().with_voters(voters);
    let mut world = World::founded(centres.len(), 3, timing);
    world.locate(centres);
    let numbers: Vec<_> = (0..centres.len()).collect();
    world.run(&numbers, 60);
    world
}

/// Number of voters in each data centre.
fn voters<'a>(world: &World, centres: &[&'a str]) -> BTreeMap<&'a str, usize> {
    let leader = world.leader().unwrap();
    let members = world.nodes[leader].raft.members();
    let mut counts = BTreeMap::new();
    for (number, centre) in centres.iter().enumerate() {
        let votes = members.votes(world.nodes[number].raft.id());
        *counts.entry(*centre).or_default() += usize::from(votes);
    }
    counts
}

/// The seeds that found the group may stand in one data centre.
#[test]
fn reconcile_founders_of_one_centre() {
    let centres = ["a", "a", "a", "b", "c"];
    let world = formed(&centres, 3);
    let expected = BTreeMap::from([("a", 1), ("b", 1), ("c", 1)]);
    assert_eq!(voters(&world, &centres), expected);
}

#[test]
fn reconcile_large_centres() {
    let centres = ["a", "a", "a", "b", "b", "b", "c", "c", "c"];
    let world = formed(&centres, 5);
    let voters = voters(&world, &centres);
    assert_eq!(voters.values().sum::<usize>(), 5);
    assert!(voters.values().all(|count| *count <= 2), "{voters:?}");
}

/// Number of changes of the members.
fn changes(world: &World) -> usize {
    let leader = world.leader().unwrap();
    let entries = world.nodes[leader].raft.log().entries();
    let changes = entries.filter(|entry| matches!(entry.payload, Payload::Members(_)));
    changes.count()
}

/// Two data centres: one of them holds a majority whatever is done, so nothing is changed for it.
#[test]
fn reconcile_two_centres() {
    let centres = ["a", "a", "b", "b"];
    let mut world = formed(&centres, 3);
    let before = voters(&world, &centres);
    assert_eq!(before.values().sum::<usize>(), 3);
    let count = changes(&world);
    world.run(&[0, 1, 2, 3], 60);
    assert_eq!(voters(&world, &centres), before);
    assert_eq!(changes(&world), count);
}

/// Each data centre in turn is lost right after the group has spread.
#[test]
fn publish_lost_centre() {
    let centres = ["a", "a", "b", "b", "c"];
    for lost in ["a", "b", "c"] {
        let mut world = formed(&centres, 3);
        let rest: Vec<_> = (0..centres.len())
            .filter(|number| centres[*number] != lost)
            .collect();
        // Less than the patience, so that no voter is replaced meanwhile.
        world.run(&rest, 30);
        let leader = rest
            .iter()
            .copied()
            .filter(|number| world.nodes[*number].raft.leads())
            .max_by_key(|number| world.nodes[*number].raft.term());
        let publication = Publication::new(7, b"a");
        world.event(leader.unwrap(), Event::Publish(publication, Token(1)));
        world.settle(&rest);
        let accepted = Answer::Published(Published::Accepted);
        assert_eq!(world.answers.get(&Token(1)), Some(&accepted), "{lost}");
    }
}

/// A store comes back with an empty disk: its new self is placed like the former one.
#[test]
fn reconcile_lost_disk() {
    let centres = ["a", "a", "b", "b", "c"];
    let mut world = formed(&centres, 3);
    let leader = world.leader().unwrap();
    let lost = (0..centres.len())
        .find(|number| {
            let id = world.nodes[*number].raft.id();
            *number != leader && world.nodes[leader].raft.members().votes(id)
        })
        .unwrap();
    world.wipe(lost, StoreId(99));
    world.locate(&centres);
    world.run(&[0, 1, 2, 3, 4], 60);
    let voters = voters(&world, &centres);
    assert_eq!(voters.values().sum::<usize>(), 3);
    assert!(voters.values().all(|count| *count <= 1), "{voters:?}");
}
