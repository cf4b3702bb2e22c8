//! Runs one network and prints its figures.

use std::time::Duration;

use mimosausher_distribution::{
    Machine,
    NodeKey, //
};
use rand::{
    Rng,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;
use standin::Figure;

use crate::network::Network;

/// Time between two changes on average, at 18,000 a day.
const PERIOD: Duration = Duration::from_millis(4_800);

/// Periods with one change each that are measured; nodes die in the middle.
const PERIODS: u32 = 12;

/// Time in which the network settles before it is measured.
const SETTLE: Duration = Duration::from_secs(40);

/// Time from the deaths to the next change.
const SOON: Duration = Duration::from_millis(100);

/// Time that the target allows until a change is in force everywhere.
const TARGET: Duration = Duration::from_secs(5);

/// What a network consists of.
pub struct Case {
    /// What is printed beside the figures.
    pub name: String,
    /// Nodes set aside, the stores among them; they have the first keys.
    pub aside: usize,
    /// Nodes that die together.
    pub dying: Vec<NodeKey>,
    /// The stores.
    pub stores: Vec<NodeKey>,
}

/// Runs a network and prints its figures.
pub fn measure<M: Machine>(case: &Case, mut network: Network<M>) {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    network.publish(&case.stores);
    network.run(SETTLE);
    network.reset();
    for period in 0..PERIODS {
        let mut pause = rng.random_range(Duration::ZERO..PERIOD);
        if period == PERIODS / 2 {
            pause = SOON;
            for key in &case.dying {
                network.kill(*key);
            }
        }
        network.run(pause);
        network.publish(&case.stores);
        network.run(PERIOD - pause);
    }
    traffic(case, &network);
    network.run(2 * TARGET);
    // The first revision is the document that the nodes start with.
    let times = network.times().split_off(1);
    let (calm, deaths) = times.split_at(times.len() / 2);
    for (times, when) in [(calm, "no deaths"), (deaths, "deaths")] {
        let case = format!("{}, {when}; target 5 s", case.name);
        Figure::new("config.in_force_last", &case, last(times), "s").print();
    }
}

/// The longest time in seconds; infinite if a change did not reach every node.
fn last(times: &[Option<Duration>]) -> f64 {
    times
        .iter()
        .map(|time| time.map_or(f64::INFINITY, |time| time.as_secs_f64()))
        .fold(0.0, f64::max)
}

fn traffic<M: Machine>(case: &Case, network: &Network<M>) {
    let seconds = (PERIOD * PERIODS).as_secs_f64();
    let rate = |bytes: u64| bytes as f64 / seconds;
    let (aside, daemons): (Vec<_>, Vec<_>) = network
        .traffic()
        .map(|(index, traffic)| (index, rate(traffic.received + traffic.sent)))
        .partition(|(index, _)| *index < case.aside);
    let mean = |rates: &[(usize, f64)]| {
        rates.iter().map(|(_, rate)| rate).sum::<f64>() / rates.len().max(1) as f64
    };
    let most = |rates: &[(usize, f64)]| rates.iter().map(|(_, rate)| *rate).fold(0.0, f64::max);
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
            most(&daemons),
        ),
        ("config.bytes_set_aside", "mean", mean(&aside)),
        ("config.bytes_set_aside", "highest", most(&aside)),
        (
            "config.bytes_between_regions",
            "all",
            rate(network.far_bytes),
        ),
    ];
    for (figure, what, value) in rows {
        Figure::new(figure, &format!("{name}, {what}"), value, "B/s").print();
    }
}
