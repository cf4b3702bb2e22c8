//! Stores that start at the same time, near each other and far apart.

mod world;

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
use world::World;

/// Longest time without a leader: a change has to be in force within this.
const TARGET: Duration = Duration::from_secs(5);

/// Time until one of three stores leads, with messages that take `delay` each way.
fn elect(delay: Duration, seed: u64) -> Option<Duration> {
    // They start within a few milliseconds of each other.
    let starts = [0, 1, 2].map(|number| Duration::from_millis(number * seed));
    run(&mut World::new(3, Timing::new()), starts, delay)
}

/// Runs stores that start at these times until one leads.
fn run(world: &mut World, starts: [Duration; 3], delay: Duration) -> Option<Duration> {
    let mut under_way: Vec<(Duration, Message)> = Vec::new();
    let mut now = Duration::ZERO;
    while now <= TARGET {
        let (due, later) = under_way.into_iter().partition(|(at, _)| *at <= now);
        under_way = later;
        let up: Vec<_> = (0..3).filter(|number| starts[*number] <= now).collect();
        for number in &up {
            world.nodes[*number].clock = now - starts[*number];
        }
        for (_, message) in due {
            if up.iter().any(|number| world::id(*number) == message.to) {
                world.network.push(message);
                world.deliver(world.network.len() - 1);
            }
        }
        for number in up {
            let node = &world.nodes[number];
            if node.raft.due() <= node.clock {
                world.event(number, Event::Tick);
            }
        }
        let sent = world
            .network
            .drain(..)
            .map(|message| (now + delay, message));
        under_way.extend(sent);
        assert_eq!(world.wrong, None);
        if world.leader().is_some() {
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

/// All stores have lost power; each moment until one leads is one in which no caller is served.
#[test]
fn elect_after_power_loss() {
    let times: Vec<_> = (0..20)
        .map(|seed| elect(Duration::from_millis(1), seed).unwrap())
        .collect();
    let total: Duration = times.iter().sum();
    let mean = total / 20;
    // Callers resend after 200 ms first: half of that is left for the entries.
    assert!(mean < Duration::from_millis(100), "{mean:?}");
}

/// The store with the longest log was back first, and has stood for election in vain for long.
#[test]
fn elect_early_starter() {
    for late in (3_000..3_600).step_by(30).map(Duration::from_millis) {
        let mut world = World::new(3, Timing::new());
        let last = Position {
            term: Term(1),
            index: Index(2),
        };
        world.nodes[0].saved.entries.push(Entry {
            payload: Payload::Blank,
            position: last,
        });
        world.crash(0);
        let starts = [Duration::ZERO, late, TARGET * 2];
        let elected = run(&mut world, starts, Duration::from_millis(1)).unwrap();
        assert_eq!(world.leader(), Some(0));
        assert!(elected - late < Duration::from_millis(200), "{elected:?}");
    }
}
