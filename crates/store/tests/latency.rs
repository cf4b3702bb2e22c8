//! Elections after a simultaneous start, with short and long delays between the stores.

mod simulation;

use std::time::Duration;

use mimosausher_store::{
    Entry,
    Event,
    Index,
    Message,
    Payload,
    Position,
    Term,
    Timing, //
};
use simulation::Simulation;

/// Maximum time without a leader, since a change has to be in force within this time.
const TARGET: Duration = Duration::from_secs(5);

/// Time until one of three stores is the leader, with a one-way message delay of `delay`.
fn elect(delay: Duration, seed: u64) -> Option<Duration> {
    // The stores start `seed` milliseconds after each other.
    let starts = [0, 1, 2].map(|number| Duration::from_millis(number * seed));
    run(&mut Simulation::new(3, Timing::new()), starts, delay)
}

/// Runs stores that start at the given times until one is the leader.
fn run(sim: &mut Simulation, starts: [Duration; 3], delay: Duration) -> Option<Duration> {
    let mut in_flight: Vec<(Duration, Message)> = Vec::new();
    let mut now = Duration::ZERO;
    while now <= TARGET {
        let (due, later) = in_flight.into_iter().partition(|(at, _)| *at <= now);
        in_flight = later;
        let up: Vec<_> = (0..3).filter(|number| starts[*number] <= now).collect();
        for number in &up {
            sim.nodes[*number].clock = now - starts[*number];
        }
        for (_, message) in due {
            if up
                .iter()
                .any(|number| simulation::id(*number) == message.to)
            {
                sim.network.push(message);
                sim.deliver(sim.network.len() - 1);
            }
        }
        for number in up {
            let node = &sim.nodes[number];
            if node.raft.next_tick() <= node.clock {
                sim.event(number, Event::Tick);
            }
        }
        let sent = sim.network.drain(..).map(|message| (now + delay, message));
        in_flight.extend(sent);
        assert_eq!(sim.violation, None);
        if sim.leader().is_some() {
            return Some(now);
        }
        now += Duration::from_millis(1);
    }
    None
}

#[test]
fn elect_far_apart() {
    for delay in [1, 20, 40, 80, 120] {
        for seed in 0..20 {
            let elected = elect(Duration::from_millis(delay), seed);
            assert!(elected.is_some(), "{delay} ms, seed {seed}");
        }
    }
}

/// After a power loss of all stores, clients are not served until a leader is elected.
#[test]
fn elect_after_power_loss() {
    let times: Vec<_> = (0..20)
        .map(|seed| elect(Duration::from_millis(1), seed).unwrap())
        .collect();
    let total: Duration = times.iter().sum();
    let mean = total / 20;
    // Clients first resend after 200 ms; half of that is left for the entries.
    assert!(mean < Duration::from_millis(100), "{mean:?}");
}

/// The store with the longest log starts first, and its election timeout has grown by many failed
/// elections when the second store starts.
#[test]
fn elect_early_store() {
    for late in (3_000..3_600).step_by(30).map(Duration::from_millis) {
        let mut sim = Simulation::new(3, Timing::new());
        let last = Position {
            term: Term(1),
            index: Index(2),
        };
        sim.nodes[0].saved.entries.push(Entry {
            payload: Payload::Blank,
            position: last,
        });
        sim.crash(0);
        let starts = [Duration::ZERO, late, TARGET * 2];
        let elected = run(&mut sim, starts, Duration::from_millis(1)).unwrap();
        assert_eq!(sim.leader(), Some(0));
        assert!(elected - late < Duration::from_millis(200), "{elected:?}");
    }
}
