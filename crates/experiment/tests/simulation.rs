//! Runs of the model, and how well the shipped placement does in them.

use std::time::Duration;

use mimosausher_experiment::{
    Endpoints,
    Outcome,
    Plan,
    RandomPolicy,
    Scenario,
    ShippedPolicy,
    ShortestPolicy,
    Simulation,
    central_queue, //
};

const SEED: u64 = 1;

fn scenario(name: &str) -> Scenario {
    Scenario::load(name).unwrap()
}

fn plan(scenario: &Scenario) -> Plan {
    Plan::new(scenario, 1.0, SEED)
}

fn pools(scenario: &Scenario, plan: &Plan, learns: bool) -> Outcome {
    let endpoints = Endpoints::new(scenario);
    let policy = ShippedPolicy::new(scenario, &endpoints, learns, SEED);
    Simulation::new(scenario, plan, policy, SEED).run()
}

fn shipped(scenario: &Scenario, plan: &Plan) -> Outcome {
    pools(scenario, plan, false)
}

fn learnt(scenario: &Scenario, plan: &Plan) -> Outcome {
    pools(scenario, plan, true)
}

fn shortest(scenario: &Scenario, plan: &Plan) -> Outcome {
    Simulation::new(scenario, plan, ShortestPolicy, SEED).run()
}

/// Each request ends in exactly one way.
fn assert_complete(outcome: &Outcome, plan: &Plan) {
    let kinds = outcome.kinds.iter();
    let ended = kinds.map(|kind| kind.in_time + kind.late + kind.refused + kind.failed);
    let owed = outcome.kinds.iter().map(|kind| kind.owed);
    assert_eq!(ended.sum::<u32>(), owed.clone().sum::<u32>());
    assert_eq!(
        owed.sum::<u32>(),
        u32::try_from(plan.arrivals.len()).unwrap()
    );
}

#[test]
fn plan_same_seed() {
    let scenario = scenario("small");
    assert_eq!(plan(&scenario).arrivals, plan(&scenario).arrivals);
    let other = Plan::new(&scenario, 1.0, SEED + 1);
    assert_ne!(plan(&scenario).arrivals, other.arrivals);
}

/// Arrivals follow the rates, and double during a burst.
#[test]
fn plan_burst() {
    let scenario = scenario("burst");
    let plan = plan(&scenario);
    let count = |from: u64, to: u64| {
        let range = Duration::from_secs(from)..Duration::from_secs(to);
        let arrivals = plan.arrivals.iter();
        arrivals
            .filter(|arrival| range.contains(&arrival.at))
            .count()
    };
    // 400 a second.
    assert!((2_200..2_600).contains(&count(0, 6)), "{}", count(0, 6));
    assert!((4_500..5_100).contains(&count(12, 18)), "{}", count(12, 18));
}

#[test]
fn run_same_seed() {
    let scenario = scenario("burst");
    let plan = plan(&scenario);
    let (one, other) = (shipped(&scenario, &plan), shipped(&scenario, &plan));
    assert_eq!(format!("{one:?}"), format!("{other:?}"));
}

#[test]
fn run_every_request_ends() {
    for name in Scenario::built_in().filter(|name| *name != "large") {
        let scenario = scenario(name);
        let plan = plan(&scenario);
        assert_complete(&learnt(&scenario, &plan), &plan);
        assert_complete(&shipped(&scenario, &plan), &plan);
        assert_complete(&shortest(&scenario, &plan), &plan);
        assert_complete(&central_queue(&scenario, &plan), &plan);
        let random = Simulation::new(&scenario, &plan, RandomPolicy::new(SEED), SEED).run();
        assert_complete(&random, &plan);
    }
}

/// Nothing is wrong: nearly all answers are in time.
#[test]
fn run_calm() {
    let scenario = scenario("small");
    let plan = plan(&scenario);
    let outcome = shipped(&scenario, &plan);
    assert!(outcome.share(|kind| kind.in_time) > 0.995, "{outcome:?}");
}

/// Requests double for six seconds, all power is lost, endpoints turn slow: placement by loads that
/// are half a second old loses little against one who sees every queue at once.
#[test]
fn run_placement_against_all_queues() {
    for name in ["burst", "power-loss", "slow-endpoints", "small"] {
        let scenario = scenario(name);
        let plan = plan(&scenario);
        let (own, best) = (shipped(&scenario, &plan), shortest(&scenario, &plan));
        let gap = best.worth() - own.worth();
        assert!(
            gap < 0.02,
            "{name}: {} against {}",
            own.worth(),
            best.worth()
        );
    }
}

/// Half of the endpoints slow down long before their slots are full: entries that learn so serve
/// more. Where all are alike, they serve as much.
#[test]
fn run_learnt_against_shipped() {
    let gain = |name| {
        let scenario = scenario(name);
        let plan = Plan::new(&scenario, 0.5 * scenario.capacity(), SEED);
        learnt(&scenario, &plan).worth() - shipped(&scenario, &plan).worth()
    };
    assert!(gain("knees") > 0.02, "{}", gain("knees"));
    for name in [
        "burst",
        "half-failing",
        "power-loss",
        "slow-endpoints",
        "small",
    ] {
        assert!(gain(name) > -0.01, "{name}: {}", gain(name));
    }
}

/// One queue for all endpoints loses less than any placement of flows.
#[test]
fn central_queue_overload() {
    let scenario = scenario("burst");
    let plan = plan(&scenario);
    let central = central_queue(&scenario, &plan);
    assert!(central.worth() > shipped(&scenario, &plan).worth());
    assert!(central.worth() > shortest(&scenario, &plan).worth());
    assert!(central.worth() <= 1.0);
}
