//! Runs of the model with links: what their order decides under each load.

use mimosausher_experiment::{
    Discipline,
    Endpoints,
    Outcome,
    Plan,
    Scenario,
    ShippedPolicy,
    Simulation, //
};

const SEED: u64 = 1;

fn play(name: &str, load: f64, discipline: Discipline) -> Outcome {
    let scenario = Scenario::load(name).unwrap();
    let plan = Plan::new(&scenario, load * scenario.capacity(), SEED);
    let policy = ShippedPolicy::new(&scenario, &Endpoints::new(&scenario), false, SEED);
    let simulation = Simulation::new(&scenario, &plan, policy, SEED);
    let outcome = simulation.with_discipline(discipline).run();
    let kinds = outcome.kinds.iter();
    let ended = kinds.map(|kind| kind.in_time + kind.late + kind.refused + kind.failed);
    assert_eq!(
        ended.sum::<u32>(),
        u32::try_from(plan.arrivals.len()).unwrap()
    );
    outcome
}

/// Share of the requests that are answered in time.
fn in_time(outcome: &Outcome) -> f64 {
    outcome.share(|kind| kind.in_time)
}

/// Commands wait behind uploads on links that are far from full in the mean.
#[test]
fn order_uploads_before_commands() {
    let [fifo, ordered] = [Discipline::Fifo, Discipline::Ordered]
        .map(|discipline| in_time(&play("uploads-before-commands", 0.6, discipline)));
    assert!(fifo < 0.95, "{fifo}");
    assert!(ordered > 0.995, "{ordered}");
}

/// Packets are sent again while their first copies wait, which an order without repetitions avoids.
#[test]
fn order_burst_three_times() {
    let [fifo, ordered, ideal] = [Discipline::Fifo, Discipline::Ordered, Discipline::Ideal]
        .map(|discipline| play("burst-three-times", 0.4, discipline).worth());
    assert!(ordered > fifo + 0.05, "{ordered} after {fifo}");
    assert!(ordered > ideal - 0.02, "{ordered} before {ideal}");
}

/// The callers of a data centre come through the entries of the others.
#[test]
fn order_zone_cut_in_a_burst() {
    let [fifo, ordered, ideal] = [Discipline::Fifo, Discipline::Ordered, Discipline::Ideal]
        .map(|discipline| play("zone-cut-in-a-burst", 0.4, discipline).worth());
    assert!(ordered > fifo + 0.05, "{ordered} after {fifo}");
    assert!(ordered > ideal - 0.02, "{ordered} before {ideal}");
}

/// A link that nothing crowds serves all, whoever orders it.
#[test]
fn order_calm() {
    for discipline in [
        Discipline::Fifo,
        Discipline::Ideal,
        Discipline::Ordered,
        Discipline::Wide,
    ] {
        let outcome = play("uploads-before-commands", 0.1, discipline);
        assert!(in_time(&outcome) > 0.995, "{discipline:?}: {outcome:?}");
    }
}
