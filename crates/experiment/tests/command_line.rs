//! The command line of the experiments.

use std::{
    fs,
    process::{
        Command,
        Output, //
    },
};

fn run(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_mimosausher-experiment"))
        .args(arguments)
        .output()
        .unwrap()
}

#[test]
fn run_help() {
    let output = run(&["--help"]);
    assert!(output.status.success());
    let text = String::from_utf8(output.stdout).unwrap();
    assert!(text.starts_with("Usage: mimosausher-experiment [OPTIONS] SCENARIO\n"));
    assert!(text.contains("--loads LIST"));
}

#[test]
fn run_unknown_option() {
    let output = run(&["--speed"]);
    assert_eq!(output.status.code(), Some(2));
}

#[test]
fn run_unknown_scenario() {
    let output = run(&["huge"]);
    assert_eq!(output.status.code(), Some(1));
    let text = String::from_utf8(output.stderr).unwrap();
    assert!(text.contains("no scenario `huge`"), "{text}");
}

#[test]
fn run_loads_that_are_no_numbers() {
    let output = run(&["--loads", "1,much", "small"]);
    let text = String::from_utf8(output.stderr).unwrap();
    assert!(
        text.contains("`1,much` is not a list of positive numbers"),
        "{text}"
    );
}

/// A short scenario of the user's own: the table, the JSON and the plot.
#[test]
fn run_own_scenario() {
    let folder = tempfile::tempdir().unwrap();
    let path = |name: &str| folder.path().join(name).to_str().unwrap().to_owned();
    let text = include_str!("../scenarios/small.toml").replace("seconds = 30.0", "seconds = 3.0");
    fs::write(path("own.toml"), text).unwrap();
    let output = run(&[
        "--loads",
        "0.5",
        "--seeds",
        "1",
        "--json",
        &path("runs.json"),
        "--plot",
        &path("worth.svg"),
        &path("own.toml"),
    ]);
    assert!(output.status.success(), "{output:?}");
    let table = String::from_utf8(output.stdout).unwrap();
    let lines: Vec<_> = table.lines().collect();
    assert_eq!(lines.len(), 6);
    assert!(lines[0].contains("worth") && lines[5].contains("central-queue"));
    let runs: serde_json::Value =
        serde_json::from_str(&fs::read_to_string(path("runs.json")).unwrap()).unwrap();
    assert_eq!(runs.as_array().unwrap().len(), 5);
    assert!(runs[1]["worth"].as_f64().unwrap() > 0.9);
    assert!(
        fs::read_to_string(path("worth.svg"))
            .unwrap()
            .starts_with("<svg")
    );
}
