//! Decoding of the settings file, and the result codes of its faults.

use std::{
    fs,
    time::Duration, //
};

use mimosausher_edge::Settings;

const ENTRY: &str = r#"
name = "front-1"
centre = "a"
address = "10.0.0.1"
role = "entry"
packets = "10.0.0.1:8172"
readiness = "10.0.0.1:8167"
metrics = 9464
inner = 7720
seeds = ["10.0.0.2:8166", "10.0.0.3:8166"]
founding = true
losses = 1
heartbeat = 770
stop = 6
"#;

fn read(text: &str) -> Result<Settings, String> {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("settings.toml");
    fs::write(&path, text).unwrap();
    Settings::read(&path).map_err(|error| error.to_string())
}

#[test]
fn read_entry() {
    let settings = read(ENTRY).unwrap();
    assert_eq!(settings.heartbeat(), Duration::from_millis(770));
    assert_eq!(settings.stop(), Duration::from_secs(6));
    let seeds = settings.seed_addresses();
    assert_eq!(seeds[0], "10.0.0.2:7720".parse().unwrap());
}

#[test]
fn read_regions() {
    let text = format!("{ENTRY}[regions]\nporto-a = \"pt-norte\"\n");
    let regions = read(&text).unwrap().regions;
    assert_eq!(
        regions.get("porto-a").map(|region| &**region),
        Some("pt-norte")
    );
    assert!(read(ENTRY).unwrap().regions.is_empty());
}

#[test]
fn read_fractions() {
    let text = ENTRY.replace("stop = 6", "stop = 2.5");
    assert_eq!(read(&text).unwrap().stop(), Duration::from_millis(2_500));
}

#[test]
fn read_faults() {
    for (from, to, code) in [
        ("stop = 6", "stop = -1", "[1003]"),
        ("heartbeat = 770", "heartbeat = nan", "[1003]"),
        ("role = \"entry\"", "role = \"relay\"", "[1002]"),
        ("losses = 1", "losses = \"one\"", "[1002]"),
        ("inner = 7720", "", "[1002]"),
        ("metrics", "metric", "[1002]"),
        ("name =", "name", "[1002]"),
    ] {
        let error = read(&ENTRY.replace(from, to)).unwrap_err();
        assert!(error.starts_with(code), "{error}");
    }
    let missing = Settings::read("/nowhere/settings.toml".as_ref()).unwrap_err();
    assert!(missing.to_string().starts_with("[1001]"));
}
