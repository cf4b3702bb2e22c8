//! Joining, probing, suspicion, partitions and restarts of members.

mod net;

use std::time::Duration;

use mimosausher_membership::{
    Body,
    CONTACTS_PER_CENTRE,
    Event,
    Message,
    Rumour,
    Standing, //
};
use net::{
    Net,
    address,
    entry, //
};

const SECOND: Duration = Duration::from_secs(1);

fn converged_net(seed: u64, numbers: &[u16]) -> Net {
    let mut net = Net::new(seed);
    for number in numbers {
        net.start(*number, "porto-a", 1);
    }
    net.run(15 * SECOND);
    assert!(net.converged(numbers));
    net
}

#[test]
fn join_nine_entries() {
    let mut net = converged_net(1, &[1, 2]);
    for number in 3..=9 {
        net.start(number, "porto-a", 1);
        net.run(SECOND);
    }
    net.run(5 * SECOND);
    assert!(net.converged(&[1, 2, 3, 4, 5, 6, 7, 8, 9]));
}

#[test]
fn leave_seven_entries() {
    let mut net = converged_net(2, &[1, 2, 3, 4, 5, 6, 7, 8, 9]);
    for number in 3..=9 {
        net.event(number, Event::Leave);
        net.run(SECOND / 2);
        for viewer in [1, 2] {
            assert_eq!(net.standing(viewer, number), Some(Standing::Left));
        }
        net.members.remove(&number);
    }
    net.run(20 * SECOND);
    assert!(net.converged(&[1, 2]));
}

#[test]
fn probe_lost_messages() {
    let mut net = converged_net(3, &[1, 2, 3, 4, 5, 6, 7, 8]);
    net.loss = 0.2;
    for _ in 0..600 {
        net.run(SECOND / 2);
        for viewer in 1..=8 {
            assert_eq!(net.members[&viewer].iter().count(), 7);
        }
    }
}

#[test]
fn probe_short_pause() {
    let mut net = converged_net(4, &[1, 2, 3, 4]);
    net.frozen.insert(3);
    for _ in 0..4 {
        net.run(SECOND);
        for viewer in [1, 2, 4] {
            assert_ne!(net.standing(viewer, 3), Some(Standing::Dead));
        }
    }
    net.frozen.clear();
    net.run(10 * SECOND);
    assert!(net.converged(&[1, 2, 3, 4]));
}

#[test]
fn probe_silent_cut() {
    let mut net = converged_net(5, &[1, 2, 3, 4]);
    net.cut.insert((2, 3));
    for _ in 0..60 {
        net.run(SECOND);
        assert_eq!(net.standing(2, 3), Some(Standing::Alive));
        assert_eq!(net.standing(3, 2), Some(Standing::Alive));
    }
}

#[test]
fn restart_suspicions_long_pause() {
    let mut net = converged_net(6, &[1, 2, 3, 4]);
    net.frozen.insert(3);
    net.run(10 * SECOND);
    assert_eq!(net.standing(1, 3), Some(Standing::Dead));
    net.frozen.clear();
    net.run(12 * SECOND);
    assert!(net.converged(&[1, 2, 3, 4]));
    assert!(net.members[&3].own().refutation > 0);
    for viewer in [1, 2, 4] {
        assert_eq!(net.members[&viewer].own().refutation, 0);
    }
}

#[test]
fn restart_killed_entry() {
    let mut net = converged_net(7, &[1, 2, 3]);
    net.members.remove(&2);
    net.start(2, "porto-a", 50);
    net.run(10 * SECOND);
    assert!(net.converged(&[1, 2, 3]));
    let known = net.members[&1].iter().map(|member| member.incarnation);
    assert!(known.max() >= Some(50));
}

#[test]
fn restart_clock_behind() {
    let mut net = Net::new(8);
    net.start(1, "porto-a", 1);
    net.start(2, "porto-a", 900);
    net.run(5 * SECOND);
    net.members.remove(&2);
    net.run(15 * SECOND);
    assert_eq!(net.standing(1, 2), Some(Standing::Dead));
    net.start(2, "porto-a", 3);
    net.run(10 * SECOND);
    assert!(net.converged(&[1, 2]));
}

#[test]
fn partition_healed() {
    let mut net = converged_net(9, &[1, 2, 3, 4]);
    for left in [1, 2] {
        for right in [3, 4] {
            net.cut.insert((left, right));
        }
    }
    net.run(60 * SECOND);
    assert_eq!(net.standing(1, 3), Some(Standing::Dead));
    assert_eq!(net.standing(4, 2), Some(Standing::Dead));
    net.cut.clear();
    net.run(40 * SECOND);
    assert!(net.converged(&[1, 2, 3, 4]));
}

#[test]
fn handle_stale_after_leave() {
    let mut net = converged_net(10, &[1, 2, 3]);
    net.event(3, Event::Leave);
    net.members.remove(&3);
    net.run(SECOND);
    for standing in [Standing::Alive, Standing::Suspected, Standing::Dead] {
        let message = Message {
            body: Body::Tell,
            from: entry(3, "porto-a", 1),
            rumours: vec![Rumour {
                instance: entry(3, "porto-a", 1),
                standing,
            }],
        };
        let event = Event::Received {
            from: address(3),
            message: Box::new(message),
        };
        net.event(1, event);
        assert_eq!(net.standing(1, 3), Some(Standing::Left));
    }
}

#[test]
fn view_other_centres() {
    let mut net = Net::new(11);
    for number in 1..=10 {
        net.start(number, "porto-a", 1);
    }
    for number in 11..=30 {
        net.start(number, "braga-a", 1);
    }
    net.run(60 * SECOND);
    for number in 1..=10 {
        let members = &net.members[&number];
        assert_eq!(members.entries().count(), 9);
        let contacts = members.contacts();
        assert_eq!(contacts["braga-a"].len(), CONTACTS_PER_CENTRE);
    }
}
