//! Measures one network and prints the figures.

use std::time::Duration;

use mimosausher_distribution::{
    NodeKey,
    StateMachine, //
};
use rand::{
    Rng,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;
use standin::Figure;

use crate::network::Network;

/// Mean interval between changes, at 18,000 a day.
const CHANGE_INTERVAL: Duration = Duration::from_millis(4_800);

/// Number of measured changes, one per interval; nodes die before the middle one.
const CHANGES: u32 = 12;

/// Time for the network to stabilise before the measurement.
const WARM_UP: Duration = Duration::from_secs(40);

/// Delay from the deaths to the next change.
const DEATH_DELAY: Duration = Duration::from_millis(100);

/// Target for the time until a change is in force at all nodes.
const TARGET: Duration = Duration::from_secs(5);

/// A measured network.
pub struct Case {
    /// Label of the figures.
    pub name: String,
    /// Number of dedicated nodes, including the stores; they have the first keys.
    pub dedicated: usize,
    /// Nodes that die at the same time.
    pub dying: Vec<NodeKey>,
    /// The stores.
    pub stores: Vec<NodeKey>,
}

/// Measures a network and prints the figures.
pub fn measure<M: StateMachine>(case: &Case, mut network: Network<M>) {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    network.publish(&case.stores);
    network.run(WARM_UP);
    network.reset();
    for number in 0..CHANGES {
        let mut pause = rng.random_range(Duration::ZERO..CHANGE_INTERVAL);
        if number == CHANGES / 2 {
            pause = DEATH_DELAY;
            for key in &case.dying {
                network.kill(*key);
            }
        }
        network.run(pause);
        network.publish(&case.stores);
        network.run(CHANGE_INTERVAL - pause);
    }
    traffic(case, &network);
    network.run(2 * TARGET);
    // The first revision is the nodes' initial document.
    let times = network.times().split_off(1);
    let (before, after) = times.split_at(times.len() / 2);
    for (times, when) in [(before, "no deaths"), (after, "deaths")] {
        let case = format!("{}, {when}; target 5 s", case.name);
        Figure::new("config.in_force_last", &case, longest(times), "s").print();
    }
}

/// The longest time in seconds; infinite if a change is not in force at all nodes.
fn longest(times: &[Option<Duration>]) -> f64 {
    times
        .iter()
        .map(|time| time.map_or(f64::INFINITY, |time| time.as_secs_f64()))
        .fold(0.0, f64::max)
}

fn traffic<M: StateMachine>(case: &Case, network: &Network<M>) {
    let seconds = (CHANGE_INTERVAL * CHANGES).as_secs_f64();
    let rate = |bytes: u64| bytes as f64 / seconds;
    let (dedicated, daemons): (Vec<_>, Vec<_>) = network
        .traffic()
        .map(|(index, traffic)| (index, rate(traffic.received + traffic.sent)))
        .partition(|(index, _)| *index < case.dedicated);
    let mean = |rates: &[(usize, f64)]| {
        rates.iter().map(|(_, rate)| rate).sum::<f64>() / rates.len().max(1) as f64
    };
    let highest = |rates: &[(usize, f64)]| rates.iter().map(|(_, rate)| *rate).fold(0.0, f64::max);
    let name = &case.name;
    let rows = [
        (
            "config.bytes_per_daemon",
            "mean; target 2048",
            mean(&daemons),
        ),
        (
            "config.bytes_per_daemon",
            "highest; target 2048",
            highest(&daemons),
        ),
        ("config.bytes_set_aside", "mean", mean(&dedicated)),
        ("config.bytes_set_aside", "highest", highest(&dedicated)),
        (
            "config.bytes_between_regions",
            "all",
            rate(network.cross_region_bytes),
        ),
    ];
    for (figure, what, value) in rows {
        Figure::new(figure, &format!("{name}, {what}"), value, "B/s").print();
    }
}
