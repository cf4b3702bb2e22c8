//! Request policies under load and faults, compared with an ideal single queue.
//!
//! One seeded event queue drives the state machines. All policies of a case get the same requests,
//! with the same arrival times and the same work. Endpoints refuse requests that find no free slot,
//! unless the case gives them a queue.

#![allow(missing_docs, reason = "a benchmark has no public items")]

mod sim;

use std::time::Duration;

use mimosausher_dispatch::{
    LeasedSlots,
    LeastReported,
    LeastRequests,
    Policy,
    TwoChoices, //
};
use sim::{
    Case,
    Deployment,
    RunResult,
    run,
    single_queue, //
};
use standin::Figure;

const SEED: u64 = 42;

const DEPLOYMENTS: [Deployment; 2] = [
    Deployment {
        name: "Mãos que Falam",
        hop: Duration::from_millis(1),
        slots: 3,
    },
    Deployment {
        name: "Brushline",
        hop: Duration::from_micros(500),
        slots: 2,
    },
];

fn main() {
    let steady = Case::new("steady");
    let cases = [
        steady,
        Case::new("cold start").with_cold(),
        Case::new("one endpoint 5 times slower").with_slow(),
        Case::new("reports 2 s late").with_late(),
        Case::new("reports stuck").with_stuck(),
        Case::new("overload 150%").with_load(1.5),
        Case::new("entry death").with_crash(),
        Case::new("endpoints queue").with_backlog(8),
    ];
    for deployment in DEPLOYMENTS {
        for case in cases {
            let ideal = single_queue(&deployment, &case, SEED);
            print(&deployment, &case, "single queue", &ideal, &ideal);
            for policy in ["reported", "two choices", "probing", "shared", "leased"] {
                let result = run_policy(policy, &deployment, &case);
                print(&deployment, &case, policy, &result, &ideal);
            }
        }
    }
}

fn run_policy(policy: &str, deployment: &Deployment, case: &Case) -> RunResult {
    match policy {
        "reported" => simulate(deployment, case, false, |entry| {
            LeastReported::new(seed(entry))
        }),
        "two choices" => simulate(deployment, case, false, |entry| {
            TwoChoices::new(seed(entry))
        }),
        "probing" => simulate(deployment, case, false, |entry| {
            LeastRequests::new(seed(entry))
        }),
        "shared" => simulate(deployment, case, true, |entry| {
            LeastRequests::new(seed(entry))
        }),
        _ => simulate(deployment, case, true, |entry| {
            LeasedSlots::new(entry, sim::ENTRIES)
        }),
    }
}

fn simulate<P: Policy<Key = u32>>(
    deployment: &Deployment,
    case: &Case,
    exchange: bool,
    policy: impl Fn(u32) -> P,
) -> RunResult {
    run(deployment, case, SEED, exchange, policy)
}

fn seed(entry: u32) -> u64 {
    SEED + 1000 + u64::from(entry)
}

fn print(
    deployment: &Deployment,
    case: &Case,
    policy: &str,
    result: &RunResult,
    ideal: &RunResult,
) {
    let text = format!("{}, {}, {policy}", deployment.name, case.name);
    let figure = |name: &str, value: f64, unit: &str| {
        Figure::new(&format!("requests.{name}"), &text, value, unit).print();
    };
    figure("imbalance", result.imbalance, "");
    figure("p99_ratio", result.p99() / ideal.p99(), "");
    figure("goodput", result.goodput * 100.0, "% of capacity");
    figure("refused", result.refused * 100.0, "%");
    figure("refused_with_free_slot", result.refused_free * 100.0, "%");
    figure(
        "refused_with_usable_slot",
        result.refused_usable * 100.0,
        "%",
    );
    figure("shed_by_endpoint", result.shed * 100.0, "%");
    figure("double_runs", f64::from(result.double_runs), "");
    figure("false_not_run", f64::from(result.false_not_run), "");
}
