//! Automatic cluster formation: first start, joins, lost disks, publications and reads.

mod simulation;

use codes::Code;
use mimosausher_store::{
    Answer,
    Evacuation,
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
use simulation::Simulation;

fn timing() -> Timing {
    Timing::new().with_snapshot_entries(8).with_voters(3)
}

fn publication(version: u64, text: &str) -> Publication {
    Publication::new(version, text.as_bytes())
}

fn all(sim: &Simulation) -> Vec<usize> {
    (0..sim.nodes.len()).collect()
}

fn formed(count: usize) -> Simulation {
    let mut sim = Simulation::founded(count, 3, timing());
    let numbers = all(&sim);
    sim.run(&numbers, 20);
    assert!(sim.leader().is_some());
    sim
}

fn voters(sim: &Simulation) -> Vec<StoreId> {
    let leader = sim.leader().unwrap();
    let members = sim.nodes[leader].raft.members().0.iter();
    let voters = members.filter(|member| member.voter);
    voters.map(|member| member.id).collect()
}

fn publish(sim: &mut Simulation, version: u64, text: &str, token: u64) {
    let leader = sim.leader().unwrap();
    let event = Event::Publish(publication(version, text), Token(token));
    sim.event(leader, event);
}

fn published(sim: &Simulation, token: u64) -> Option<Published> {
    match sim.answers.get(&Token(token)) {
        Some(Answer::Published(published)) => Some(*published),
        _ => None,
    }
}

#[test]
fn form_cluster_three_of_four() {
    let sim = formed(4);
    assert_eq!(voters(&sim).len(), 3);
    let leader = sim.leader().unwrap();
    assert_eq!(sim.nodes[leader].raft.members().0.len(), 4);
}

#[test]
fn form_cluster_wanted_voters() {
    let timing = Timing::new().with_voters(5);
    let mut sim = Simulation::founded(8, 3, timing);
    let numbers = all(&sim);
    sim.run(&numbers, 40);
    assert_eq!(voters(&sim).len(), 5);
}

#[test]
fn form_cluster_one_late_founder() {
    let mut sim = Simulation::founded(3, 3, timing());
    sim.run(&[0, 1], 20);
    publish(&mut sim, 7, "a", 1);
    sim.deliver_all(&[0, 1]);
    assert_eq!(published(&sim, 1), Some(Published::Accepted));
    sim.run(&[0, 1, 2], 20);
    let held = sim.nodes[2].raft.ledger().published().unwrap();
    assert_eq!(held.version, 7);
}

#[test]
fn publish_any_order() {
    let mut sim = formed(3);
    let numbers = all(&sim);
    for (token, version, text, expected) in [
        (1, 7, "a", Published::Accepted),
        (2, 7, "a", Published::Repeated),
        (3, 7, "b", Published::Conflict),
        (4, 9, "c", Published::Accepted),
        (5, 7, "a", Published::Superseded),
        (6, 8, "d", Published::Superseded),
        (7, 9, "d", Published::Conflict),
    ] {
        publish(&mut sim, version, text, token);
        sim.deliver_all(&numbers);
        assert_eq!(published(&sim, token), Some(expected), "{version} {text}");
    }
}

/// The audit trail contains conflicting and superseded publications from the log, but no repeats.
#[test]
fn publish_audit() {
    let mut sim = formed(3);
    let numbers = all(&sim);
    for (token, version, text) in [(1, 7, "a"), (2, 7, "b"), (3, 7, "a"), (4, 6, "c")] {
        publish(&mut sim, version, text, token);
    }
    sim.deliver_all(&numbers);
    for node in &sim.nodes {
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
    let mut sim = formed(3);
    let numbers = all(&sim);
    publish(&mut sim, 7, "a", 1);
    publish(&mut sim, 7, "b", 2);
    sim.deliver_all(&numbers);
    assert_eq!(published(&sim, 1), Some(Published::Accepted));
    assert_eq!(published(&sim, 2), Some(Published::Conflict));
}

#[test]
fn publish_without_quorum() {
    let mut sim = formed(3);
    let leader = sim.leader().unwrap();
    publish(&mut sim, 7, "a", 1);
    sim.deliver_all(&[leader]);
    assert_eq!(published(&sim, 1), None);
}

#[test]
fn read_idle_leader() {
    let mut sim = formed(4);
    let numbers = all(&sim);
    let leader = sim.leader().unwrap();
    sim.event(leader, Event::Read(Token(1)));
    assert!(!sim.answers.contains_key(&Token(1)));
    sim.deliver_all(&numbers);
    assert_eq!(sim.answers[&Token(1)], Answer::Current);
}

#[test]
fn read_follower() {
    let mut sim = formed(3);
    let leader = sim.leader().unwrap();
    sim.event((leader + 1) % 3, Event::Read(Token(1)));
    assert!(matches!(
        sim.answers[&Token(1)],
        Answer::Refused(Code::NoLeader, _)
    ));
}

/// A paused leader, whose clock did not advance meanwhile, is still in the leader role after
/// another one was elected; it must not answer a read.
#[test]
fn read_deposed_leader() {
    let mut sim = formed(3);
    let old = sim.leader().unwrap();
    let others: Vec<_> = (0..3).filter(|number| *number != old).collect();
    for _ in 0..20 {
        for number in &others {
            sim.tick(*number);
        }
        sim.deliver_all(&others);
    }
    let new = sim.leader().unwrap();
    assert_ne!(old, new);
    publish(&mut sim, 9, "new", 1);
    sim.deliver_all(&others);
    assert_eq!(published(&sim, 1), Some(Published::Accepted));
    assert!(sim.nodes[old].raft.is_leader());
    sim.event(old, Event::Read(Token(2)));
    sim.deliver_all(&all(&sim));
    assert_ne!(sim.answers.get(&Token(2)), Some(&Answer::Current));
}

#[test]
fn join_empty_disk() {
    let mut sim = formed(4);
    publish(&mut sim, 7, "a", 1);
    sim.deliver_all(&all(&sim));
    let leader = sim.leader().unwrap();
    let lost = (0..3).find(|number| *number != leader).unwrap();
    let old = sim.nodes[lost].raft.id();
    sim.wipe(lost, StoreId(99));
    let numbers = all(&sim);
    sim.run(&numbers, 20);
    let voters = voters(&sim);
    assert_eq!(voters.len(), 3);
    assert!(!voters.contains(&old));
    let leader = sim.leader().unwrap();
    let members = sim.nodes[leader].raft.members();
    assert!(members.get(StoreId(99)).is_some());
    let held = sim.nodes[lost].raft.ledger().published().unwrap();
    assert_eq!(held.version, 7);
}

/// A store with an empty disk and one that lacks an acknowledged version must not elect a leader
/// without the store that has this version.
#[test]
fn join_empty_disk_behind() {
    let mut sim = formed(3);
    let leader = sim.leader().unwrap();
    let others: Vec<_> = (0..3).filter(|number| *number != leader).collect();
    publish(&mut sim, 7, "a", 1);
    sim.deliver_all(&[leader, others[0]]);
    assert_eq!(published(&sim, 1), Some(Published::Accepted));
    sim.wipe(others[0], StoreId(99));
    sim.run(&others, 40);
    for number in others {
        assert!(!sim.nodes[number].raft.is_leader());
    }
}

#[test]
fn reconcile_silent_voter() {
    let mut sim = formed(4);
    let leader = sim.leader().unwrap();
    let silent = (0..3).find(|number| *number != leader).unwrap();
    let id = sim.nodes[silent].raft.id();
    let others: Vec<_> = (0..4).filter(|number| *number != silent).collect();
    // The heartbeat interval is 100 ms, and the replacement delay is 2 s.
    sim.run(&others, 15);
    assert!(voters(&sim).contains(&id));
    sim.run(&others, 10);
    let now = voters(&sim);
    assert_eq!(now.len(), 3);
    assert!(!now.contains(&id));
    let numbers = all(&sim);
    sim.run(&numbers, 20);
    let leader = sim.leader().unwrap();
    assert!(sim.nodes[leader].raft.members().get(id).is_some());
}

/// Starts a store with an empty disk at a new address.
fn add_store(sim: &mut Simulation) -> usize {
    let number = sim.nodes.len();
    let founded = Simulation::founded(number + 1, 0, timing());
    sim.nodes.extend(founded.nodes.into_iter().skip(number));
    number
}

/// Two stores are lost one after the other, the second 4 s after the replacement of the first has
/// started. The first one stayed a voter for 8 s, so that two of three voters were gone for good.
#[test]
fn reconcile_voters_lost_in_turn() {
    for leader_first in [true, false] {
        let mut sim = formed(3);
        let mut running = all(&sim);
        for leads in [leader_first, !leader_first] {
            let leader = sim.leader().unwrap();
            // A founder, so that the second one is lost that has always been a voter.
            let lost = running
                .iter()
                .position(|number| *number < 3 && (*number == leader) == leads);
            running.swap_remove(lost.unwrap());
            sim.run(&running, 10);
            running.push(add_store(&mut sim));
            sim.run(&running, 40);
        }
        publish(&mut sim, 7, "a", 1);
        sim.deliver_all(&running);
        let accepted = Some(Published::Accepted);
        assert_eq!(published(&sim, 1), accepted, "leader first: {leader_first}");
    }
}

/// The replacement of a lost store is lost as well, before it has stored anything as a voter. It
/// became a voter before the lost one was removed, so that the quorum depended on it.
#[test]
fn reconcile_lost_replacement() {
    let mut sim = formed(4);
    let leader = sim.leader().unwrap();
    let lost = (0..3).find(|number| *number != leader).unwrap();
    let founders: Vec<_> = (0..3).filter(|number| *number != lost).collect();
    let before = sim.nodes[leader].raft.members().clone();
    while *sim.nodes[leader].raft.members() == before {
        if sim.network.is_empty() {
            sim.tick(leader);
        }
        let message = sim.network.last().unwrap();
        match [message.to, message.from].contains(&simulation::id(lost)) {
            true => drop(sim.network.pop()),
            false => sim.deliver(sim.network.len() - 1),
        }
    }
    sim.run(&founders, 10);
    publish(&mut sim, 7, "a", 1);
    sim.deliver_all(&founders);
    assert_eq!(published(&sim, 1), Some(Published::Accepted));
}

/// A request to a store.
enum Request {
    /// Starts or ends an evacuation.
    Evacuate,
    /// Publishes a version.
    Publish(u64),
    /// Reads, when this version is the highest acknowledged one.
    Read(u64),
}

/// Version of the publication in force on a store.
fn stored_version(sim: &Simulation, number: usize) -> u64 {
    let held = sim.nodes[number].raft.ledger().published();
    held.map_or(0, |held| held.version)
}

/// A random run with lost, duplicated and reordered messages, crashes, and one lost disk at a time.
/// Acknowledged versions persist, and no read returns an older version than was acknowledged before
/// it.
fn history(seed: u64, count: usize) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut sim = Simulation::founded(count, 3, timing());
    let numbers = all(&sim);
    let (mut token, mut version, mut last_id) = (0, 0, 1_000);
    let mut pending: Vec<(Token, usize, Request)> = Vec::new();
    let (mut acknowledged, mut ordered) = (0, 0);
    for round in 0..12 {
        sim.run(&numbers, 20);
        let mut wipes = 1;
        for _ in 0..400 {
            let any = random.random_range(0..count);
            let number = match random.random_bool(0.7) {
                true => sim.leader().unwrap_or(any),
                false => any,
            };
            match random.random_range(0..200) {
                0..150 if !sim.network.is_empty() => {
                    let index = random.random_range(0..sim.network.len());
                    match random.random_range(0..12) {
                        0 => drop(sim.network.swap_remove(index)),
                        1 => sim.network.push(sim.network[index].clone()),
                        _ => sim.deliver(index),
                    }
                }
                0..170 => sim.tick(number),
                170..180 => {
                    token += 1;
                    version += random.random_range(0..3);
                    let text = format!("{version} {}", random.random_range(0..2));
                    let event = Event::Publish(publication(version, &text), Token(token));
                    pending.push((Token(token), number, Request::Publish(version)));
                    sim.event(number, event);
                    if version % 4 == 0 {
                        token += 1;
                        let order = match token % 2 {
                            0 => Evacuation::start("a"),
                            _ => Evacuation::end("a"),
                        };
                        pending.push((Token(token), number, Request::Evacuate));
                        sim.event(number, Event::Evacuate(order, Token(token)));
                    }
                }
                180..190 => {
                    token += 1;
                    sim.event(number, Event::Read(Token(token)));
                    pending.push((Token(token), number, Request::Read(acknowledged)));
                }
                190..194 => sim.join(),
                194..197 => sim.crash(any),
                197 if wipes > 0 => {
                    wipes -= 1;
                    last_id += 1;
                    sim.wipe(any, StoreId(last_id));
                }
                _ => sim.tick(any),
            }
            assert_eq!(sim.violation, None, "seed {seed} round {round}");
            pending.retain(|(token, number, request)| {
                let Some(answer) = sim.answers.get(token) else {
                    return true;
                };
                match (answer, request) {
                    (Answer::Evacuated(revision), Request::Evacuate) => {
                        ordered = ordered.max(revision.0);
                    }
                    (Answer::Published(outcome), Request::Publish(version)) => {
                        if matches!(outcome, Published::Accepted | Published::Repeated) {
                            acknowledged = acknowledged.max(*version);
                        }
                    }
                    (Answer::Current, Request::Read(least)) => {
                        let held = stored_version(&sim, *number);
                        assert!(held >= *least, "seed {seed}: read {held}, not {least}");
                    }
                    _ => {}
                }
                false
            });
        }
        sim.run(&numbers, 30);
        for number in &numbers {
            let held = stored_version(&sim, *number);
            assert!(
                held >= acknowledged,
                "seed {seed}: {held}, not {acknowledged}"
            );
            let revision = sim.nodes[*number].raft.ledger().evacuated().revision;
            assert!(
                revision.0 >= ordered,
                "seed {seed}: {revision}, not {ordered}"
            );
        }
    }
    assert!(acknowledged > 0 && ordered > 0, "seed {seed}");
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
