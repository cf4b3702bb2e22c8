//! Policies for requests under load and faults, against an omniscient single queue.
//!
//! The state machines are driven by one seeded event queue. All ways of a case see the same
//! requests: the same times of arrival and the same work. Endpoints refuse what finds no free
//! slot, unless the case says that they queue it.

#![allow(missing_docs, reason = "a benchmark has no public items")]

mod sim;

use std::time::Duration;

use mimosausher_dispatch::{
    Leased,
    Observed,
    Policy,
    Reported,
    TwoChoices, //
};
use sim::{
    Case,
    Deployment,
    Result,
    omniscient,
    run, //
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
        Case::new("entry death").with_death(),
        Case::new("endpoints queue").with_backlog(8),
    ];
    for deployment in DEPLOYMENTS {
        for case in cases {
            let best = omniscient(&deployment, &case, SEED);
            print(&deployment, &case, "single queue", &best, &best);
            for way in ["reported", "two choices", "probing", "shared", "leased"] {
                let result = by_name(way, &deployment, &case);
                print(&deployment, &case, way, &result, &best);
            }
        }
    }
}

fn by_name(way: &str, deployment: &Deployment, case: &Case) -> Result {
    match way {
        "reported" => go(deployment, case, false, |entry| Reported::new(seed(entry))),
        "two choices" => go(deployment, case, false, |entry| {
            TwoChoices::new(seed(entry))
        }),
        "probing" => go(deployment, case, false, |entry| Observed::new(seed(entry))),
        "shared" => go(deployment, case, true, |entry| Observed::new(seed(entry))),
        _ => go(deployment, case, true, |entry| {
            Leased::new(entry, sim::ENTRIES)
        }),
    }
}

fn go<P: Policy<Key = u32>>(
    deployment: &Deployment,
    case: &Case,
    exchange: bool,
    policy: impl Fn(u32) -> P,
) -> Result {
    run(deployment, case, SEED, exchange, policy)
}

fn seed(entry: u32) -> u64 {
    SEED + 1000 + u64::from(entry)
}

fn print(deployment: &Deployment, case: &Case, way: &str, result: &Result, best: &Result) {
    let text = format!("{}, {}, {way}", deployment.name, case.name);
    let figure = |name: &str, value: f64, unit: &str| {
        Figure::new(&format!("requests.{name}"), &text, value, unit).print();
    };
    figure("imbalance", result.imbalance, "");
    figure("p99_ratio", result.p99() / best.p99(), "");
    figure("goodput", result.goodput * 100.0, "% of capacity");
    figure("refused", result.refused * 100.0, "%");
    figure("refused_with_free_slot", result.free * 100.0, "%");
    figure("refused_with_usable_slot", result.usable * 100.0, "%");
    figure("shed_by_endpoint", result.shed * 100.0, "%");
    figure("double_runs", f64::from(result.double), "");
    figure("false_not_run", f64::from(result.false_not), "");
}
