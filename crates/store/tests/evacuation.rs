//! Evacuation orders in the replicated log: they hold through snapshots, restarts, changes of the
//! leader and partitions.

mod simulation;

use mimosausher_store::{
    Answer,
    Evacuated,
    Evacuation,
    Event,
    Ledger,
    Members,
    Position,
    Revision,
    Snapshot,
    StoreId,
    Timing,
    Token, //
};
use simulation::Simulation;

const ALL: [usize; 3] = [0, 1, 2];

fn formed() -> Simulation {
    let timing = Timing::new().with_snapshot_entries(4).with_voters(3);
    let mut sim = Simulation::founded(3, 3, timing);
    sim.run(&ALL, 20);
    sim
}

fn order(sim: &mut Simulation, number: usize, evacuation: Evacuation, token: u64) {
    sim.event(number, Event::Evacuate(evacuation, Token(token)));
}

/// Orders at the leader, with all stores connected.
fn order_all(sim: &mut Simulation, evacuation: Evacuation, token: u64) {
    let leader = sim.leader().unwrap();
    order(sim, leader, evacuation, token);
    sim.deliver_all(&ALL);
}

fn acknowledged(sim: &Simulation, token: u64) -> Option<u64> {
    match sim.answers.get(&Token(token)) {
        Some(Answer::Evacuated(revision)) => Some(revision.0),
        _ => None,
    }
}

fn evacuated(centres: &[&str], revision: u64) -> Evacuated {
    Evacuated {
        centres: centres.iter().map(|centre| Box::from(*centre)).collect(),
        revision: Revision(revision),
    }
}

fn assert_in_force(sim: &Simulation, numbers: &[usize], expected: &Evacuated) {
    for number in numbers {
        let held = sim.nodes[*number].raft.ledger().evacuated();
        assert_eq!(held, expected, "store {number}");
    }
    assert_eq!(sim.violation, None);
}

/// An operator resends an order whose acknowledgement was lost.
#[test]
fn evacuate_resent() {
    let mut sim = formed();
    for (token, evacuation, revision) in [
        (1, Evacuation::start("a"), 1),
        (2, Evacuation::start("a"), 1),
        (3, Evacuation::start("b"), 2),
        (4, Evacuation::end("a"), 3),
        (5, Evacuation::end("a"), 3),
    ] {
        order_all(&mut sim, evacuation, token);
        assert_eq!(acknowledged(&sim, token), Some(revision), "order {token}");
    }
    assert_in_force(&sim, &ALL, &evacuated(&["b"], 3));
    let audit = sim.nodes[0].raft.ledger().audit().iter();
    let ids: Vec<_> = audit.map(|record| &*record.id).collect();
    assert_eq!(ids, ["start a", "start b", "end a"]);
}

/// A start and an end are under way at once: what was acknowledged last is in force everywhere.
#[test]
fn evacuate_start_end_race() {
    let mut sim = formed();
    let leader = sim.leader().unwrap();
    order(&mut sim, leader, Evacuation::start("a"), 1);
    order(&mut sim, leader, Evacuation::end("a"), 2);
    order(&mut sim, leader, Evacuation::start("a"), 3);
    sim.deliver_all(&ALL);
    assert_eq!(acknowledged(&sim, 2), Some(2));
    assert_eq!(acknowledged(&sim, 3), Some(3));
    assert_in_force(&sim, &ALL, &evacuated(&["a"], 3));
}

/// All stores lose power after snapshots have replaced the orders' entries.
#[test]
fn evacuate_snapshot_restart() {
    let mut sim = formed();
    order_all(&mut sim, Evacuation::start("a"), 1);
    for token in 2..12 {
        order_all(&mut sim, Evacuation::start("a"), token);
    }
    sim.run(&ALL, 3);
    for number in ALL {
        let base = sim.nodes[number].raft.log().base().index;
        assert!(base.0 > 4, "store {number} has no later snapshot");
        sim.crash(number);
    }
    assert_in_force(&sim, &ALL, &evacuated(&["a"], 1));
    sim.run(&ALL, 20);
    order_all(&mut sim, Evacuation::end("a"), 12);
    assert_in_force(&sim, &ALL, &evacuated(&[], 2));
}

/// A store that lost its disk gets the order with the leader's snapshot.
#[test]
fn evacuate_disk_lost() {
    let mut sim = formed();
    order_all(&mut sim, Evacuation::start("a"), 1);
    for token in 2..12 {
        order_all(&mut sim, Evacuation::start("a"), token);
    }
    let lost = (sim.leader().unwrap() + 1) % 3;
    sim.wipe(lost, StoreId(99));
    sim.run(&ALL, 40);
    assert_in_force(&sim, &ALL, &evacuated(&["a"], 1));
}

/// The leader dies once a quorum has an order and before it answers; the order comes again, to
/// its successor, which must not count it twice.
#[test]
fn evacuate_leader_change() {
    let mut sim = formed();
    let old = sim.leader().unwrap();
    let others: Vec<_> = ALL.into_iter().filter(|number| *number != old).collect();
    order(&mut sim, old, Evacuation::start("a"), 1);
    while let Some(index) = sim.network.iter().position(|message| {
        let to_others = others.iter().map(|number| sim.nodes[*number].raft.id());
        to_others.clone().any(|id| id == message.to)
    }) {
        sim.deliver(index);
    }
    assert_eq!(acknowledged(&sim, 1), None);
    sim.network.clear();
    sim.run(&others, 20);
    let new = sim.leader().unwrap();
    assert_ne!(new, old);
    assert_in_force(&sim, &others, &evacuated(&["a"], 1));
    order(&mut sim, new, Evacuation::start("a"), 2);
    sim.deliver_all(&others);
    assert_eq!(acknowledged(&sim, 2), Some(1));
}

/// Half of the stores are cut off with the former leader: it acknowledges nothing, neither a new
/// order nor one that it believes to be in force, and later goes by what the others decided.
#[test]
fn evacuate_leader_cut_off() {
    let mut sim = formed();
    order_all(&mut sim, Evacuation::start("a"), 1);
    let old = sim.leader().unwrap();
    let others: Vec<_> = ALL.into_iter().filter(|number| *number != old).collect();
    for _ in 0..20 {
        for number in &others {
            sim.tick(*number);
        }
        sim.deliver_all(&others);
    }
    let new = sim.leader().unwrap();
    order(&mut sim, new, Evacuation::end("a"), 2);
    sim.deliver_all(&others);
    assert_eq!(acknowledged(&sim, 2), Some(2));
    assert!(sim.nodes[old].raft.is_leader());
    order(&mut sim, old, Evacuation::start("a"), 3);
    order(&mut sim, old, Evacuation::start("b"), 4);
    sim.deliver_all(&[old]);
    assert_eq!((acknowledged(&sim, 3), acknowledged(&sim, 4)), (None, None));
    sim.run(&ALL, 20);
    assert_eq!((acknowledged(&sim, 3), acknowledged(&sim, 4)), (None, None));
    assert_in_force(&sim, &ALL, &evacuated(&[], 2));
}

fn snapshot(ledger: Ledger) -> Snapshot {
    Snapshot {
        ledger,
        members: Members::default(),
        position: Position::default(),
    }
}

/// A snapshot without evacuations is that of earlier versions, which also read a later one.
#[test]
fn decode_snapshot_earlier_version() {
    let plain = snapshot(Ledger::new());
    let earlier = postcard::to_stdvec(&plain).unwrap();
    assert_eq!(*plain.encode().unwrap().bytes, *earlier);
    let decoded = Snapshot::decode(&earlier).unwrap();
    assert_eq!(*decoded.ledger.evacuated(), Evacuated::default());
    let mut ledger = Ledger::new();
    ledger.evacuate(&Evacuation::start("a"));
    let later = snapshot(ledger).encode().unwrap().bytes;
    let decoded = Snapshot::decode(&later).unwrap();
    assert_eq!(*decoded.ledger.evacuated(), evacuated(&["a"], 1));
    let (read, rest): (Snapshot, _) = postcard::take_from_bytes(&later).unwrap();
    assert_eq!(read.ledger.audit().len(), 1);
    for length in (0..later.len()).filter(|length| *length != later.len() - rest.len()) {
        assert!(Snapshot::decode(&later[..length]).is_none(), "{length}");
    }
}
