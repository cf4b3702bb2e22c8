//! Scenarios: the built-in ones, and what is wrong with others.

use std::time::Duration;

use mimosausher_experiment::{
    Error,
    Scenario, //
};

const SMALL: &str = include_str!("../scenarios/small.toml");

/// The message of the error for a scenario in which one text is replaced.
fn refused(from: &str, to: &str) -> String {
    assert!(SMALL.contains(from));
    Scenario::parse(&SMALL.replace(from, to))
        .unwrap_err()
        .to_string()
}

#[test]
fn load_built_in() {
    for name in Scenario::built_in() {
        let scenario = Scenario::load(name).unwrap();
        // All of them leave some capacity unused, apart from bursts.
        assert!(scenario.capacity() > 1.0, "{name}");
    }
}

#[test]
fn load_unknown_name() {
    let error = Scenario::load("huge").unwrap_err();
    assert_eq!(
        error.to_string(),
        "no scenario `huge`; built in are: burst, burst-three-times, half-failing, knees, large, \
         power-loss, retry-storm, slow-endpoints, small, squeezed-link, uneven-centres, \
         uneven-speeds, uploads-before-commands, zone-cut-in-a-burst"
    );
}

#[test]
fn load_missing_file() {
    let error = Scenario::load("missing.toml").unwrap_err();
    assert!(matches!(error, Error::Read { .. }), "{error}");
}

#[test]
fn parse_unknown_field() {
    let message = refused("hop-ms", "hops-ms");
    assert!(message.contains("unknown field `hops-ms`"), "{message}");
}

#[test]
fn parse_values_out_of_range() {
    for (from, to, message) in [
        (
            "[3, 3, 3]",
            "[3, 0, 3]",
            "the scenario's `entries` needs an entry in each data centre",
        ),
        (
            "seconds = 30.0",
            "seconds = 0.0",
            "the scenario's `seconds` is above 0 and at most 3600",
        ),
        (
            "hop-ms = 1.4",
            "hop-ms = -1.0",
            "the scenario's `hop-ms` is a time of 0 to 10000 ms",
        ),
        (
            "[5, 5, 4]",
            "[5, 5]",
            "the scenario's `services.endpoints` has one number for each data centre",
        ),
        (
            "slots = 2",
            "slots = 0",
            "the scenario's `services` each need an endpoint and a slot",
        ),
        (
            "service = \"files\"",
            "service = \"none\"",
            "the scenario's `kinds.service` is the name of a service",
        ),
        (
            "rate = 25.0",
            "rate = 0.0",
            "the scenario's `kinds` have times and rates above 0",
        ),
    ] {
        assert_eq!(refused(from, to), message);
    }
}

#[test]
fn spells_cover_their_time() {
    let scenario = Scenario::load("power-loss").unwrap();
    assert!(!scenario.is_down(Duration::from_millis(11_999)));
    assert!(scenario.is_down(Duration::from_millis(12_000)));
    assert!(!scenario.is_down(Duration::from_millis(13_300)));
    let scenario = Scenario::load("burst").unwrap();
    assert_eq!(scenario.burst(Duration::from_secs(13)), 2.0);
    assert_eq!(scenario.burst(Duration::from_secs(20)), 1.0);
}
