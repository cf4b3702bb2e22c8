//! The command line.

use std::{
    fs,
    path::Path,
    process::ExitCode, //
};

use gumdrop::{
    Options as _,
    ParsingStyle, //
};
use indicatif::ProgressBar;
use miette::Report;

use crate::{
    error::Error,
    experiment::{
        Experiment,
        Measurement, //
    },
    options::Options,
    outcome::KindOutcome,
    plot,
    scenario::Scenario, //
};

/// Exit code for a command line that cannot be understood.
const USAGE: u8 = 2;

/// Runs the program with the process's command line.
pub fn run() -> ExitCode {
    let arguments: Vec<_> = std::env::args().skip(1).collect();
    let options = match Options::parse_args(&arguments, ParsingStyle::AllOptions) {
        Ok(options) => options,
        Err(error) => {
            eprintln!("mimosausher-experiment: {error}");
            return ExitCode::from(USAGE);
        }
    };
    if options.help {
        let usage = Options::usage();
        println!("Usage: mimosausher-experiment [OPTIONS] SCENARIO\n\n{usage}");
        return ExitCode::SUCCESS;
    }
    if options.version {
        println!("mimosausher-experiment {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    match play(&options) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{:?}", Report::new(error));
            ExitCode::FAILURE
        }
    }
}

fn play(options: &Options) -> Result<(), Error> {
    let name = options.scenario.as_deref().unwrap_or("small");
    let experiment = Experiment {
        loads: options.parse_loads()?,
        scenario: Scenario::load(name)?,
        seeds: options.seeds,
    };
    let bar = ProgressBar::new(experiment.runs());
    let measurements = experiment.run(|| bar.inc(1));
    bar.finish_and_clear();
    let policies = experiment.policies();
    print!("{}", table(&policies, &measurements));
    if let Some(path) = &options.json {
        let json = serde_json::to_string_pretty(&measurements).unwrap_or_default();
        write(path, &json)?;
    }
    match &options.plot {
        Some(path) => plot::draw(path, name, &policies, &measurements),
        None => Ok(()),
    }
}

fn write(path: &Path, text: &str) -> Result<(), Error> {
    fs::write(path, text).map_err(|cause| Error::Write {
        cause,
        path: path.into(),
    })
}

/// The mean of each policy at each load, over all seeds.
fn table(policies: &[&str], measurements: &[Measurement]) -> String {
    let mut table = format!(
        "{:>5}  {:<14} {:>6} {:>8} {:>6} {:>8} {:>7}\n",
        "load", "policy", "worth", "in time", "late", "refused", "failed"
    );
    let mut loads: Vec<_> = measurements.iter().map(|run| run.load).collect();
    loads.dedup();
    for load in loads {
        for policy in policies {
            let runs = measurements.iter();
            let runs: Vec<_> = runs
                .filter(|run| run.load == load && run.policy == *policy)
                .collect();
            let count = u32::try_from(runs.len()).map_or(1.0, f64::from).max(1.0);
            let mean = |value: &dyn Fn(&Measurement) -> f64| {
                runs.iter().map(|run| value(run)).sum::<f64>() / count
            };
            let share = |pick: fn(&KindOutcome) -> u32| mean(&|run| run.outcome.share(pick));
            table += &format!(
                "{load:>5}  {policy:<14} {:>6.3} {:>8.4} {:>6.4} {:>8.4} {:>7.4}\n",
                mean(&|run| run.worth),
                share(|kind| kind.in_time),
                share(|kind| kind.late),
                share(|kind| kind.refused),
                share(|kind| kind.failed),
            );
        }
    }
    table
}
