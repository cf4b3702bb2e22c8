//! The state machine of the log: elections, repair, snapshots and members.

mod world;

use std::time::Duration;

use codes::Code;
use mimosausher_store::{
    Answer,
    Body,
    Change,
    Event,
    Index,
    Message,
    Outcome,
    Position,
    Revision,
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
use world::{
    World,
    edit,
    id,
    member, //
};

/// A world whose first store leads.
fn led(count: usize, timing: Timing) -> World {
    let mut world = World::new(count, timing);
    let all: Vec<_> = (0..count).collect();
    world.tick(0);
    world.settle(&all);
    assert_eq!(world.leader(), Some(0));
    world
}

fn accepted(number: u64) -> Answer {
    Answer::Outcome(Outcome::Accepted {
        revision: Revision(number),
        version: Version(number),
    })
}

/// Lets the leader's heartbeats pass until the stores agree.
fn beat(world: &mut World, numbers: &[usize]) {
    for _ in 0..6 {
        let leader = world.leader().unwrap();
        world.tick(leader);
        world.settle(numbers);
    }
}

#[test]
fn elect_outdated_candidate() {
    let mut world = led(3, Timing::new());
    world.event(0, Event::Edit(edit("e1", 0), Token(1)));
    world.settle(&[0, 1]);
    world.crash(0);
    world.crash(1);
    world.tick(2);
    world.settle(&[0, 1, 2]);
    assert_eq!(world.leader(), None);
    world.tick(1);
    world.settle(&[0, 1, 2]);
    assert_eq!(world.leader(), Some(1));
    beat(&mut world, &[0, 1, 2]);
    assert_eq!(world.nodes[2].raft.ledger().revision(), Revision(1));
}

#[test]
fn elect_cut_off_store() {
    let mut world = led(3, Timing::new());
    let term = world.nodes[2].raft.term();
    for _ in 0..10 {
        world.tick(2);
        world.network.clear();
    }
    assert_eq!(world.nodes[2].raft.term(), term);
    beat(&mut world, &[0, 1, 2]);
    assert_eq!(
        (world.leader(), world.nodes[0].raft.term()),
        (Some(0), term)
    );
}

#[test]
fn lead_without_quorum() {
    let mut world = led(3, Timing::new());
    world.event(0, Event::Edit(edit("e1", 0), Token(1)));
    for _ in 0..10 {
        world.tick(0);
        world.network.clear();
    }
    assert_eq!(world.leader(), None);
    let refused = |code, world: &World, token| match &world.answers[&Token(token)] {
        Answer::Refused(other, _) => assert_eq!(*other, code),
        other => panic!("{other:?}"),
    };
    refused(Code::EditUnknown, &world, 1);
    world.event(0, Event::Edit(edit("e2", 0), Token(2)));
    refused(Code::NoLeader, &world, 2);
}

#[test]
fn edit_resent_after_snapshot() {
    let timing = Timing::new().with_snapshot(4);
    let mut world = led(3, timing);
    for number in 0..20 {
        let name = format!("e{number}");
        world.event(0, Event::Edit(edit(&name, number), Token(number)));
        world.settle(&[0, 1]);
        assert_eq!(world.answers[&Token(number)], accepted(number + 1));
    }
    assert!(world.nodes[0].raft.log().base().index > Index(8));
    beat(&mut world, &[0, 1, 2]);
    assert_eq!(world.nodes[2].raft.ledger().revision(), Revision(20));
    assert_eq!(world.nodes[2].raft.ledger().audit().len(), 20);
    world.crash(2);
    world.crash(0);
    world.tick(2);
    world.settle(&[0, 1, 2]);
    beat(&mut world, &[0, 1, 2]);
    assert_eq!(world.leader(), Some(2));
    world.event(2, Event::Edit(edit("e3", 3), Token(100)));
    world.settle(&[0, 1, 2]);
    assert_eq!(world.answers[&Token(100)], accepted(4));
    assert_eq!(world.nodes[2].raft.ledger().history("section").count(), 20);
}

#[test]
fn snapshot_many_parts() {
    let mut world = led(3, Timing::new().with_snapshot(4));
    for number in 0..12 {
        let mut large = edit(&format!("e{number}"), number);
        large.text = format!("team = \"t\"\n# {}\n", "x".repeat(100_000)).into();
        world.event(0, Event::Edit(large, Token(number)));
        world.settle(&[0, 1]);
    }
    assert!(world.nodes[0].saved.snapshot.as_ref().unwrap().bytes.len() > 512 * 1024);
    beat(&mut world, &[0, 1, 2]);
    assert_eq!(world.nodes[2].raft.ledger().revision(), Revision(12));
}

#[test]
fn change_one_at_a_time() {
    let mut world = led(3, Timing::new());
    let add = |world: &mut World, number: usize, token| {
        let change = Change::Add(member(number));
        world.event(0, Event::Change(change, Token(token)));
    };
    add(&mut world, 3, 1);
    add(&mut world, 4, 2);
    assert!(matches!(
        world.answers[&Token(2)],
        Answer::Refused(Code::MembersRefused, _)
    ));
    world.settle(&[0, 1, 2]);
    assert_eq!(world.answers[&Token(1)], Answer::Changed);
    let members = world.nodes[1].raft.members();
    assert!(members.get(id(3)).is_some_and(|member| !member.voter));
    world.event(0, Event::Change(Change::Remove("store-9".into()), Token(3)));
    assert!(matches!(
        world.answers[&Token(3)],
        Answer::Refused(Code::MembersRefused, _)
    ));
}

#[test]
fn change_wiped_store() {
    let mut world = led(3, Timing::new());
    world.event(0, Event::Edit(edit("e1", 0), Token(1)));
    world.settle(&[0, 1]);
    let stranger = StoreId(77);
    world.wipe(1, stranger);
    world.crash(0);
    for _ in 0..4 {
        world.tick(1);
        world.tick(2);
        world.settle(&[1, 2]);
    }
    assert_eq!(world.leader(), None, "the wiped store gave a vote");
    world.tick(0);
    world.settle(&[0, 1, 2]);
    beat(&mut world, &[0, 1, 2]);
    assert_eq!(world.leader(), Some(0));
    world.event(0, Event::Change(Change::Remove("store-2".into()), Token(2)));
    world.settle(&[0, 1, 2]);
    assert_eq!(world.answers[&Token(2)], Answer::Changed);
    let fresh = mimosausher_store::Member {
        id: stranger,
        ..member(1)
    };
    world.event(0, Event::Change(Change::Add(fresh), Token(3)));
    world.settle(&[0, 1, 2]);
    beat(&mut world, &[0, 1, 2]);
    assert_eq!(world.answers[&Token(3)], Answer::Changed);
    assert!(world.nodes[1].raft.members().votes(stranger));
    assert_eq!(world.nodes[1].raft.ledger().revision(), Revision(1));
}

#[test]
fn receive_other_log() {
    let mut world = led(3, Timing::new());
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
    world.event(0, Event::Message(other));
    assert_eq!(world.leader(), Some(0));
    assert!(world.network.is_empty());
}

/// One random run: messages are lost, doubled and reordered, stores are started again, and edits
/// are resent with the same id until they are answered.
fn run(seed: u64, count: usize) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut world = World::new(count, Timing::new().with_snapshot(8));
    let mut token = 0;
    for _ in 0..6000 {
        let any = random.random_range(0..count);
        let leader = world.leader().unwrap_or(any);
        let number = if random.random_bool(0.8) { leader } else { any };
        match random.random_range(0..200) {
            0..180 if !world.network.is_empty() => {
                let place = random.random_range(0..world.network.len());
                match random.random_range(0..20) {
                    0 => drop(world.network.swap_remove(place)),
                    1 => world.network.push(world.network[place].clone()),
                    _ => world.deliver(place),
                }
            }
            0..188 => world.tick(number),
            188..199 => {
                token += 1;
                let base = world.nodes[number].raft.ledger().revision().0;
                let name = format!("e{}", random.random_range(0..200));
                world.event(number, Event::Edit(edit(&name, base), Token(token)));
            }
            _ => world.crash(any),
        }
        assert_eq!(world.wrong, None, "seed {seed}");
    }
    heal(&mut world, count);
    let first = world.nodes[0].raft.ledger();
    for node in &world.nodes {
        assert_eq!(node.raft.ledger().audit(), first.audit(), "seed {seed}");
    }
    assert!(first.revision() > Revision(0), "seed {seed}");
}

/// Lets all messages pass until one store leads and all have applied the same.
fn heal(world: &mut World, count: usize) {
    let all: Vec<_> = (0..count).collect();
    for _ in 0..1000 {
        for number in 0..count {
            world.tick(number);
            world.settle(&all);
        }
        let commits = world.nodes.iter().map(|node| node.raft.commit());
        let last = world.nodes.iter().map(|node| node.raft.log().last().index);
        if world.leader().is_some()
            && commits.max() == last.clone().min()
            && last.clone().min() == last.max()
        {
            return;
        }
    }
    panic!("the stores did not come to agree");
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
    let mut world = led(3, Timing::new());
    world.event(0, Event::Edit(edit("e1", 0), Token(1)));
    let earlier = world.nodes[0].raft.log().last().index;
    world.network.clear();
    world.crash(0);
    world.nodes[1].clock += Duration::from_secs(1);
    world.tick(0);
    while let Some(place) = world
        .network
        .iter()
        .position(|message| message.to != id(2) && !matches!(message.body, Body::Append { .. }))
    {
        world.deliver(place);
    }
    assert_eq!(world.leader(), Some(0));
    let held = Message {
        body: Body::Appended {
            matched: earlier,
            round: 0,
        },
        cluster: mimosausher_store::ClusterId(7),
        from: id(1),
        term: world.nodes[0].raft.term(),
        to: id(0),
    };
    world.event(0, Event::Message(held));
    assert!(world.nodes[0].raft.commit() < earlier);
}

#[test]
fn edit_twice_in_flight() {
    let mut world = led(3, Timing::new());
    world.event(0, Event::Edit(edit("e1", 0), Token(1)));
    world.event(0, Event::Edit(edit("e1", 0), Token(2)));
    world.settle(&[0, 1, 2]);
    assert_eq!(world.answers[&Token(1)], accepted(1));
    assert_eq!(world.answers[&Token(2)], accepted(1));
    assert_eq!(world.nodes[0].raft.ledger().audit().len(), 1);
}
