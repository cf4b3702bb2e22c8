//! The Raft state machine: elections, log repair, snapshots and membership.

mod simulation;

use std::time::Duration;

use codes::Code;
use mimosausher_store::{
    Answer,
    Body,
    Change,
    ClusterId,
    Event,
    Index,
    Ledger,
    Message,
    Outcome,
    Position,
    Revision,
    Snapshot,
    StoreId,
    Term,
    Timing,
    Token,
    Version, //
};
use rand::{
    Rng as _,
    SeedableRng as _, //
};
use rand_chacha::ChaCha8Rng;
use simulation::{
    Simulation,
    edit,
    id,
    member, //
};

/// A simulation in which the first store leads.
fn with_leader(count: usize, timing: Timing) -> Simulation {
    let mut sim = Simulation::new(count, timing);
    let all: Vec<_> = (0..count).collect();
    sim.tick(0);
    sim.deliver_all(&all);
    assert_eq!(sim.leader(), Some(0));
    sim
}

fn accepted(number: u64) -> Answer {
    Answer::Outcome(Outcome::Accepted {
        revision: Revision(number),
        version: Version(number),
    })
}

/// Runs some heartbeats of the leader, so that the followers catch up.
fn heartbeats(sim: &mut Simulation, numbers: &[usize]) {
    for _ in 0..6 {
        let leader = sim.leader().unwrap();
        sim.tick(leader);
        sim.deliver_all(numbers);
    }
}

#[test]
fn elect_outdated_candidate() {
    let mut sim = with_leader(3, Timing::new());
    sim.event(0, Event::Edit(edit("e1", 0), Token(1)));
    sim.deliver_all(&[0, 1]);
    sim.crash(0);
    sim.crash(1);
    sim.tick(2);
    sim.deliver_all(&[0, 1, 2]);
    assert_eq!(sim.leader(), None);
    sim.tick(1);
    sim.deliver_all(&[0, 1, 2]);
    assert_eq!(sim.leader(), Some(1));
    heartbeats(&mut sim, &[0, 1, 2]);
    assert_eq!(sim.nodes[2].raft.ledger().revision(), Revision(1));
}

#[test]
fn elect_cut_off_store() {
    let mut sim = with_leader(3, Timing::new());
    let term = sim.nodes[2].raft.term();
    for _ in 0..10 {
        sim.tick(2);
        sim.network.clear();
    }
    assert_eq!(sim.nodes[2].raft.term(), term);
    heartbeats(&mut sim, &[0, 1, 2]);
    assert_eq!((sim.leader(), sim.nodes[0].raft.term()), (Some(0), term));
}

#[test]
fn heartbeat_without_quorum() {
    let mut sim = with_leader(3, Timing::new());
    sim.event(0, Event::Edit(edit("e1", 0), Token(1)));
    for _ in 0..10 {
        sim.tick(0);
        sim.network.clear();
    }
    assert_eq!(sim.leader(), None);
    let refused = |code, sim: &Simulation, token| match &sim.answers[&Token(token)] {
        Answer::Refused(other, _) => assert_eq!(*other, code),
        other => panic!("{other:?}"),
    };
    refused(Code::EditUnknown, &sim, 1);
    sim.event(0, Event::Edit(edit("e2", 0), Token(2)));
    refused(Code::NoLeader, &sim, 2);
}

#[test]
fn edit_resent_after_snapshot() {
    let timing = Timing::new().with_snapshot_entries(4);
    let mut sim = with_leader(3, timing);
    for number in 0..20 {
        let name = format!("e{number}");
        sim.event(0, Event::Edit(edit(&name, number), Token(number)));
        sim.deliver_all(&[0, 1]);
        assert_eq!(sim.answers[&Token(number)], accepted(number + 1));
    }
    assert!(sim.nodes[0].raft.log().base().index > Index(8));
    heartbeats(&mut sim, &[0, 1, 2]);
    assert_eq!(sim.nodes[2].raft.ledger().revision(), Revision(20));
    assert_eq!(sim.nodes[2].raft.ledger().audit().len(), 20);
    sim.crash(2);
    sim.crash(0);
    sim.tick(2);
    sim.deliver_all(&[0, 1, 2]);
    heartbeats(&mut sim, &[0, 1, 2]);
    assert_eq!(sim.leader(), Some(2));
    sim.event(2, Event::Edit(edit("e3", 3), Token(100)));
    sim.deliver_all(&[0, 1, 2]);
    assert_eq!(sim.answers[&Token(100)], accepted(4));
    assert_eq!(sim.nodes[2].raft.ledger().history("section").count(), 20);
}

#[test]
fn snapshot_many_chunks() {
    let mut sim = with_leader(3, Timing::new().with_snapshot_entries(4));
    for number in 0..12 {
        let mut large = edit(&format!("e{number}"), number);
        large.text = format!("team = \"t\"\n# {}\n", "x".repeat(100_000)).into();
        sim.event(0, Event::Edit(large, Token(number)));
        sim.deliver_all(&[0, 1]);
    }
    assert!(sim.nodes[0].saved.snapshot.as_ref().unwrap().bytes.len() > 512 * 1024);
    heartbeats(&mut sim, &[0, 1, 2]);
    assert_eq!(sim.nodes[2].raft.ledger().revision(), Revision(12));
}

/// A snapshot arrives after the entries that follow it, which the store has acknowledged.
#[test]
fn snapshot_late() {
    let mut sim = with_leader(3, Timing::new());
    sim.network.clear();
    for number in 0..2 {
        let edit = edit(&format!("e{number}"), number);
        sim.event(0, Event::Edit(edit, Token(number)));
    }
    let leader = &sim.nodes[0].raft;
    let (term, members) = (leader.term(), leader.members().clone());
    let position = |number| Position {
        term,
        index: Index(number),
    };
    let entries = leader.log().batch(Index(3));
    let snapshot = Snapshot {
        ledger: Ledger::new(),
        members,
        position: position(3),
    };
    let bytes = snapshot.encode().unwrap().bytes.to_vec();
    let append = Body::Append {
        commit: Index(2),
        entries,
        previous: position(2),
        round: 0,
    };
    let chunk = Body::Chunk {
        offset: 0,
        position: position(3),
        total: bytes.len() as u64,
        bytes,
    };
    for body in [append, chunk] {
        let message = Message {
            body,
            cluster: ClusterId(7),
            from: id(0),
            term,
            to: id(2),
        };
        sim.event(2, Event::Message(message));
    }
    let node = &sim.nodes[2];
    assert_eq!(node.raft.log().base(), position(3));
    assert_eq!(node.raft.log().last(), position(4));
    assert_eq!(node.saved.entries.last().unwrap().position, position(4));
}

#[test]
fn change_one_at_a_time() {
    let mut sim = with_leader(3, Timing::new());
    let add = |sim: &mut Simulation, number: usize, token| {
        let change = Change::Add(member(number));
        sim.event(0, Event::Change(change, Token(token)));
    };
    add(&mut sim, 3, 1);
    add(&mut sim, 4, 2);
    assert!(matches!(
        sim.answers[&Token(2)],
        Answer::Refused(Code::MembersRefused, _)
    ));
    sim.deliver_all(&[0, 1, 2]);
    assert_eq!(sim.answers[&Token(1)], Answer::Changed);
    let members = sim.nodes[1].raft.members();
    assert!(members.get(id(3)).is_some_and(|member| !member.voter));
    sim.event(0, Event::Change(Change::Remove("store-9".into()), Token(3)));
    assert!(matches!(
        sim.answers[&Token(3)],
        Answer::Refused(Code::MembersRefused, _)
    ));
}

#[test]
fn change_wiped_store() {
    let mut sim = with_leader(3, Timing::new());
    sim.event(0, Event::Edit(edit("e1", 0), Token(1)));
    sim.deliver_all(&[0, 1]);
    let new_id = StoreId(77);
    sim.wipe(1, new_id);
    sim.crash(0);
    for _ in 0..4 {
        sim.tick(1);
        sim.tick(2);
        sim.deliver_all(&[1, 2]);
    }
    assert_eq!(sim.leader(), None, "the wiped store granted a vote");
    sim.tick(0);
    sim.deliver_all(&[0, 1, 2]);
    heartbeats(&mut sim, &[0, 1, 2]);
    assert_eq!(sim.leader(), Some(0));
    sim.event(0, Event::Change(Change::Remove("store-2".into()), Token(2)));
    sim.deliver_all(&[0, 1, 2]);
    assert_eq!(sim.answers[&Token(2)], Answer::Changed);
    let fresh = mimosausher_store::Member {
        id: new_id,
        ..member(1)
    };
    sim.event(0, Event::Change(Change::Add(fresh), Token(3)));
    sim.deliver_all(&[0, 1, 2]);
    heartbeats(&mut sim, &[0, 1, 2]);
    assert_eq!(sim.answers[&Token(3)], Answer::Changed);
    assert!(sim.nodes[1].raft.members().is_voter(new_id));
    assert_eq!(sim.nodes[1].raft.ledger().revision(), Revision(1));
}

#[test]
fn handle_message_other_cluster() {
    let mut sim = with_leader(3, Timing::new());
    let other = Message {
        body: Body::Vote {
            last: Position {
                term: Term(9),
                index: Index(9),
            },
        },
        cluster: mimosausher_store::ClusterId(8),
        from: id(1),
        term: Term(9),
        to: id(0),
    };
    sim.event(0, Event::Message(other));
    assert_eq!(sim.leader(), Some(0));
    assert!(sim.network.is_empty());
}

/// A random run with lost, duplicated and reordered messages, restarts, and edits that are resent
/// with the same id.
fn run(seed: u64, count: usize) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut sim = Simulation::new(count, Timing::new().with_snapshot_entries(8));
    let mut token = 0;
    for _ in 0..6000 {
        let any = random.random_range(0..count);
        let leader = sim.leader().unwrap_or(any);
        let number = if random.random_bool(0.8) { leader } else { any };
        match random.random_range(0..200) {
            0..180 if !sim.network.is_empty() => {
                let index = random.random_range(0..sim.network.len());
                match random.random_range(0..20) {
                    0 => drop(sim.network.swap_remove(index)),
                    1 => sim.network.push(sim.network[index].clone()),
                    _ => sim.deliver(index),
                }
            }
            0..188 => sim.tick(number),
            188..199 => {
                token += 1;
                let base = sim.nodes[number].raft.ledger().revision().0;
                let name = format!("e{}", random.random_range(0..200));
                sim.event(number, Event::Edit(edit(&name, base), Token(token)));
            }
            _ => sim.crash(any),
        }
        assert_eq!(sim.violation, None, "seed {seed}");
    }
    converge(&mut sim, count);
    let first = sim.nodes[0].raft.ledger();
    for node in &sim.nodes {
        assert_eq!(node.raft.ledger().audit(), first.audit(), "seed {seed}");
    }
    assert!(first.revision() > Revision(0), "seed {seed}");
}

/// Delivers all messages until one store leads and all logs are equally long and committed.
fn converge(sim: &mut Simulation, count: usize) {
    let all: Vec<_> = (0..count).collect();
    for _ in 0..1000 {
        for number in 0..count {
            sim.tick(number);
            sim.deliver_all(&all);
        }
        let commits = sim.nodes.iter().map(|node| node.raft.commit());
        let last = sim.nodes.iter().map(|node| node.raft.log().last().index);
        if sim.leader().is_some()
            && commits.max() == last.clone().min()
            && last.clone().min() == last.max()
        {
            return;
        }
    }
    panic!("the stores did not converge");
}

#[test]
fn run_three_stores() {
    for seed in 0..40 {
        run(seed, 3);
    }
}

#[test]
fn run_five_stores() {
    for seed in 100..120 {
        run(seed, 5);
    }
}

#[test]
fn commit_earlier_term() {
    let mut sim = with_leader(3, Timing::new());
    sim.event(0, Event::Edit(edit("e1", 0), Token(1)));
    let earlier = sim.nodes[0].raft.log().last().index;
    sim.network.clear();
    sim.crash(0);
    sim.nodes[1].clock += Duration::from_secs(1);
    sim.tick(0);
    while let Some(index) = sim
        .network
        .iter()
        .position(|message| message.to != id(2) && !matches!(message.body, Body::Append { .. }))
    {
        sim.deliver(index);
    }
    assert_eq!(sim.leader(), Some(0));
    let response = Message {
        body: Body::Appended {
            matched: earlier,
            round: 0,
        },
        cluster: mimosausher_store::ClusterId(7),
        from: id(1),
        term: sim.nodes[0].raft.term(),
        to: id(0),
    };
    sim.event(0, Event::Message(response));
    assert!(sim.nodes[0].raft.commit() < earlier);
}

#[test]
fn edit_twice_in_flight() {
    let mut sim = with_leader(3, Timing::new());
    sim.event(0, Event::Edit(edit("e1", 0), Token(1)));
    sim.event(0, Event::Edit(edit("e1", 0), Token(2)));
    sim.deliver_all(&[0, 1, 2]);
    assert_eq!(sim.answers[&Token(1)], accepted(1));
    assert_eq!(sim.answers[&Token(2)], accepted(1));
    assert_eq!(sim.nodes[0].raft.ledger().audit().len(), 1);
}
