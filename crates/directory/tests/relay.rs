//! Relay of announcements between data centres and around blocked paths, by entries whose clocks
//! differ.

mod net;

use std::time::Duration;

use mimosausher_directory::{
    ANNOUNCE_INTERVAL,
    REBIND_DELAY,
    State, //
};
use net::{
    Net,
    report, //
};

const SECOND: Duration = Duration::from_secs(1);

/// Announces endpoints to an entry for `time`; returns the next sequence number.
fn announce(net: &mut Net, number: usize, names: &[&str], first: u64, time: Duration) -> u64 {
    let mut sequence = first;
    let mut elapsed = Duration::ZERO;
    while elapsed < time {
        for name in names {
            net.announce(number, report(name, sequence, State::Ready));
        }
        net.run(ANNOUNCE_INTERVAL);
        sequence += 1;
        elapsed += ANNOUNCE_INTERVAL;
    }
    sequence
}

#[test]
fn announce_four_centres() {
    let mut net = Net::new(&[2, 2, 2, 2]);
    let names = ["desk-1", "desk-2", "desk-3"];
    let mut sequence = announce(&mut net, 3, &names, 1, REBIND_DELAY + 2 * SECOND);
    for _ in 0..20 {
        sequence = announce(&mut net, 3, &names, sequence, SECOND);
        for number in 0..8 {
            for name in names {
                assert!(net.accepts_work(number, name), "{name} at {number}");
            }
        }
    }
}

#[test]
fn drain_all_entries() {
    let mut net = Net::new(&[2, 2, 2, 2]);
    let sequence = announce(&mut net, 0, &["desk-1"], 1, REBIND_DELAY + 2 * SECOND);
    net.announce(0, report("desk-1", sequence, State::Draining));
    net.run(SECOND / 2);
    for number in 0..8 {
        assert!(!net.accepts_work(number, "desk-1"), "at {number}");
    }
}

#[test]
fn drain_cut_off_entry() {
    let mut net = Net::new(&[2, 2]);
    let sequence = announce(&mut net, 0, &["desk-1"], 1, REBIND_DELAY + 2 * SECOND);
    assert!((0..4).all(|number| net.accepts_work(number, "desk-1")));
    net.cut = (0..3).map(|number| (number, 3)).collect();
    net.announce(0, report("desk-1", sequence, State::Draining));
    net.run(3 * SECOND);
    for number in 0..4 {
        assert!(!net.accepts_work(number, "desk-1"), "at {number}");
    }
}

#[test]
fn announce_silent_cut() {
    let mut net = Net::new(&[2, 2]);
    let sequence = announce(&mut net, 0, &["desk-1"], 1, REBIND_DELAY + 2 * SECOND);
    net.cut.insert((0, 1));
    let mut sequence = announce(&mut net, 0, &["desk-1"], sequence, 6 * SECOND);
    for _ in 0..20 {
        sequence = announce(&mut net, 0, &["desk-1"], sequence, SECOND);
        assert!(net.accepts_work(1, "desk-1"));
    }
}

#[test]
fn announce_cut_healed() {
    let mut net = Net::new(&[2, 2]);
    let sequence = announce(&mut net, 0, &["desk-1"], 1, REBIND_DELAY + 2 * SECOND);
    net.cut = (0..3).map(|number| (number, 3)).collect();
    let sequence = announce(&mut net, 0, &["desk-1"], sequence, 15 * SECOND);
    assert!(!net.accepts_work(3, "desk-1"));
    net.cut.clear();
    announce(&mut net, 0, &["desk-1"], sequence, 5 * SECOND);
    assert!(net.accepts_work(3, "desk-1"));
}

#[test]
fn announce_bounded_reports() {
    let mut net = Net::new(&[2, 2, 2, 2]);
    let names: Vec<_> = (1..=18).map(|number| format!("desk-{number}")).collect();
    let names: Vec<_> = names.iter().map(String::as_str).collect();
    let sequence = announce(&mut net, 0, &names, 1, REBIND_DELAY + 2 * SECOND);
    net.sent = (0, 0);
    announce(&mut net, 0, &names, sequence, 20 * SECOND);
    let (batches, reports) = net.sent;
    assert!(reports <= 20 * 18 * 7, "{reports} reports");
    assert!(batches <= 21 * 7 * 4, "{batches} batches");
}
