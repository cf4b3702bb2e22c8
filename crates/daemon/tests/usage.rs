//! The daemon's command line and exit codes.

use std::{
    fs,
    process::{
        Command,
        Output, //
    },
};

use tempfile::TempDir;

const SETTINGS: &str = r#"
[instance]
name = "porto-a-1"
centre = "porto-a"
roles = ["store"]

[listen]
admin = "127.0.0.1:0"
inner = "127.0.0.1:0"

[store]
data = "data"
"#;

fn run(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_mimosausherd"))
        .args(arguments)
        .output()
        .unwrap()
}

/// Runs `--check` on a settings text; returns the exit code and the report.
fn check(text: &str) -> (Option<i32>, String) {
    let folder = TempDir::new().unwrap();
    let path = folder.path().join("settings.toml");
    fs::write(&path, text).unwrap();
    let output = run(&["--check", path.to_str().unwrap()]);
    let report = String::from_utf8(output.stderr).unwrap();
    (output.status.code(), report)
}

#[test]
fn run_help() {
    let output = run(&["--help"]);
    let text = String::from_utf8(output.stdout).unwrap();
    assert_eq!(output.status.code(), Some(0));
    assert!(text.starts_with("Usage: mimosausherd [OPTIONS] SETTINGS\n"));
}

#[test]
fn run_version() {
    let output = run(&["--version"]);
    let text = String::from_utf8(output.stdout).unwrap();
    assert_eq!(output.status.code(), Some(0));
    assert_eq!(
        text,
        concat!("mimosausherd ", env!("CARGO_PKG_VERSION"), "\n")
    );
}

#[test]
fn run_unknown_option() {
    let output = run(&["--unknown"]);
    let text = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(2));
    assert_eq!(text, "mimosausherd: unrecognized option `--unknown`\n");
}

#[test]
fn run_without_settings() {
    let output = run(&[]);
    let text = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(2));
    assert_eq!(
        text,
        "mimosausherd: a settings file is needed; see --help\n"
    );
}

#[test]
fn check_valid_settings() {
    assert_eq!(check(SETTINGS), (Some(0), String::new()));
}

#[test]
fn check_unknown_key() {
    let (code, report) = check(&SETTINGS.replace("data =", "date ="));
    assert_eq!(code, Some(3));
    assert!(report.contains("1002"), "{report}");
    assert!(report.contains("unknown field `date`"), "{report}");
    assert!(report.contains("settings.toml:12"), "{report}");
}

#[test]
fn check_contradicting_keys() {
    let (code, report) = check(&SETTINGS.replace("\"store\"", "\"entry\""));
    assert_eq!(code, Some(3));
    assert!(report.contains("1004"), "{report}");
    assert!(report.contains("listen.fabric"), "{report}");
}
