//! Distribution of voters over data centres: the loss of a whole data centre leaves a quorum,
//! whichever stores formed the cluster.

mod simulation;

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
use simulation::Simulation;

/// A running cluster of stores in the given data centres; the first three form it.
fn formed(centres: &[&str], voters: usize) -> Simulation {
    let timing = Timing::new().with_voters(voters);
    let mut sim = Simulation::founded(centres.len(), 3, timing);
    sim.locate(centres);
    let numbers: Vec<_> = (0..centres.len()).collect();
    sim.run(&numbers, 60);
    sim
}

/// Number of voters in each data centre.
fn voters<'a>(sim: &Simulation, centres: &[&'a str]) -> BTreeMap<&'a str, usize> {
    let leader = sim.leader().unwrap();
    let members = sim.nodes[leader].raft.members();
    let mut counts = BTreeMap::new();
    for (number, centre) in centres.iter().enumerate() {
        let voter = members.is_voter(sim.nodes[number].raft.id());
        *counts.entry(*centre).or_default() += usize::from(voter);
    }
    counts
}

/// The stores that form the cluster may all be in one data centre.
#[test]
fn reconcile_founders_of_one_centre() {
    let centres = ["a", "a", "a", "b", "c"];
    let sim = formed(&centres, 3);
    let expected = BTreeMap::from([("a", 1), ("b", 1), ("c", 1)]);
    assert_eq!(voters(&sim, &centres), expected);
}

#[test]
fn reconcile_large_centres() {
    let centres = ["a", "a", "a", "b", "b", "b", "c", "c", "c"];
    let sim = formed(&centres, 5);
    let voters = voters(&sim, &centres);
    assert_eq!(voters.values().sum::<usize>(), 5);
    assert!(voters.values().all(|count| *count <= 2), "{voters:?}");
}

/// Number of membership changes in the leader's log.
fn changes(sim: &Simulation) -> usize {
    let leader = sim.leader().unwrap();
    let entries = sim.nodes[leader].raft.log().entries();
    let changes = entries.filter(|entry| matches!(entry.payload, Payload::Members(_)));
    changes.count()
}

/// With two data centres, one of them always holds a majority, so the voters are not moved.
#[test]
fn reconcile_two_centres() {
    let centres = ["a", "a", "b", "b"];
    let mut sim = formed(&centres, 3);
    let before = voters(&sim, &centres);
    assert_eq!(before.values().sum::<usize>(), 3);
    let count = changes(&sim);
    sim.run(&[0, 1, 2, 3], 60);
    assert_eq!(voters(&sim, &centres), before);
    assert_eq!(changes(&sim), count);
}

/// Each data centre in turn fails right after the voters were spread.
#[test]
fn publish_lost_centre() {
    let centres = ["a", "a", "b", "b", "c"];
    for lost in ["a", "b", "c"] {
        let mut sim = formed(&centres, 3);
        let rest: Vec<_> = (0..centres.len())
            .filter(|number| centres[*number] != lost)
            .collect();
        // Less than the replacement delay, so that no voter is replaced meanwhile.
        sim.run(&rest, 30);
        let leader = rest
            .iter()
            .copied()
            .filter(|number| sim.nodes[*number].raft.is_leader())
            .max_by_key(|number| sim.nodes[*number].raft.term());
        let publication = Publication::new(7, b"a");
        sim.event(leader.unwrap(), Event::Publish(publication, Token(1)));
        sim.deliver_all(&rest);
        let accepted = Answer::Published(Published::Accepted);
        assert_eq!(sim.answers.get(&Token(1)), Some(&accepted), "{lost}");
    }
}

/// A store that returns with an empty disk gets a new id; the voters stay spread.
#[test]
fn reconcile_lost_disk() {
    let centres = ["a", "a", "b", "b", "c"];
    let mut sim = formed(&centres, 3);
    let leader = sim.leader().unwrap();
    let lost = (0..centres.len())
        .find(|number| {
            let id = sim.nodes[*number].raft.id();
            *number != leader && sim.nodes[leader].raft.members().is_voter(id)
        })
        .unwrap();
    sim.wipe(lost, StoreId(99));
    sim.locate(&centres);
    sim.run(&[0, 1, 2, 3, 4], 60);
    let voters = voters(&sim, &centres);
    assert_eq!(voters.values().sum::<usize>(), 3);
    assert!(voters.values().all(|count| *count <= 1), "{voters:?}");
}
