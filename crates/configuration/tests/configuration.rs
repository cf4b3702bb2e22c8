//! Changes apply in ascending order of revisions, affect only the sections that they name, and
//! remove all index entries of removed sections.

use std::time::Duration;

use mimosausher_configuration::{
    Change,
    Configuration,
    Text, //
};
use settings::{
    Address,
    Transport, //
};

fn text(name: &str, port: u16) -> Text {
    Text {
        name: name.into(),
        text: format!(
            "team = \"{name}\"\n[[service]]\nname = \"{name}-flows\"\nmode = \"flows\"\n\
             address = \"203.0.113.10\"\nport = {port}\ntransport = \"udp\"\nendpoints = [\"*\"]\n\
             [[service]]\nname = \"{name}-requests\"\nmode = \"requests\"\n\
             hosts = [\"{name}.example\"]\nendpoints = [\"*\"]\n"
        )
        .into(),
        version: 1,
    }
}

fn change(revision: u64, changed: Vec<Text>) -> Change {
    Change {
        changed,
        complete: false,
        removed: Vec::new(),
        revision,
    }
}

/// Prepares and applies a change; returns whether its revision was later than the one in force.
fn apply(configuration: &mut Configuration, change: Change) -> bool {
    match configuration.prepare(change).unwrap() {
        Some(prepared) => configuration.apply(prepared),
        None => false,
    }
}

fn address(port: u16) -> Address {
    Address {
        ip: "203.0.113.10".parse().unwrap(),
        port,
        transport: Transport::Udp,
    }
}

#[test]
fn apply_earlier_revision() {
    let mut configuration = Configuration::new();
    assert!(apply(&mut configuration, change(5, vec![text("a", 1)])));
    assert!(!apply(&mut configuration, change(5, vec![text("a", 2)])));
    assert!(!apply(&mut configuration, change(4, vec![text("a", 3)])));
    assert!(configuration.by_destination(&address(1)).is_some());
    assert_eq!(configuration.revision(), 5);
}

#[test]
fn apply_superseded_change() {
    let mut configuration = Configuration::new();
    let prepared = configuration.prepare(change(1, vec![text("a", 1)]));
    assert!(apply(&mut configuration, change(2, vec![text("a", 2)])));
    assert!(!configuration.apply(prepared.unwrap().unwrap()));
    assert!(configuration.by_destination(&address(2)).is_some());
}

#[test]
fn prepare_invalid_text() {
    let mut configuration = Configuration::new();
    apply(&mut configuration, change(1, vec![text("a", 1)]));
    let mut broken = text("b", 2);
    broken.text = "team = 3".into();
    let result = configuration.prepare(change(2, vec![text("a", 3), broken]));
    assert!(result.is_err());
    assert_eq!(configuration.revision(), 1);
    assert!(configuration.by_destination(&address(1)).is_some());
    assert!(configuration.by_destination(&address(3)).is_none());
}

#[test]
fn apply_moved_address() {
    let mut configuration = Configuration::new();
    let first = vec![text("a", 1), text("b", 2)];
    apply(&mut configuration, change(1, first));
    let swapped = vec![text("a", 2), text("b", 1)];
    apply(&mut configuration, change(2, swapped));
    let name = |port| {
        let service = configuration.by_destination(&address(port)).unwrap();
        service.name.to_string()
    };
    assert_eq!((name(1).as_str(), name(2).as_str()), ("b-flows", "a-flows"));
    assert_eq!(configuration.destinations().count(), 2);
}

#[test]
fn apply_removed_section() {
    let mut configuration = Configuration::new();
    let both = vec![text("a", 1), text("b", 2)];
    apply(&mut configuration, change(1, both));
    let mut removal = change(2, Vec::new());
    removal.removed.push("a".into());
    apply(&mut configuration, removal);
    assert!(configuration.by_host("a.example").is_none());
    assert!(configuration.service("a-flows").is_none());
    assert!(configuration.by_host("b.example").is_some());
    let names: Vec<_> = configuration.texts().map(|text| &*text.name).collect();
    assert_eq!(names, ["b"]);
}

#[test]
fn apply_whole_document() {
    let mut configuration = Configuration::new();
    apply(&mut configuration, change(1, vec![text("a", 1)]));
    let mut whole = change(9, vec![text("b", 2)]);
    whole.complete = true;
    apply(&mut configuration, whole);
    assert!(configuration.service("a-flows").is_none());
    assert!(configuration.service("b-flows").is_some());
    assert_eq!(configuration.revision(), 9);
}

#[test]
fn retention_longest_service() {
    let mut configuration = Configuration::new();
    let mut long = text("a", 1);
    long.text = format!("{}[service.requests]\nkeep_ms = 900000\n", long.text).into();
    apply(&mut configuration, change(1, vec![text("b", 2), long]));
    assert_eq!(configuration.retention(), Duration::from_secs(900));
}
