//! Tests that deltas, applied to an earlier document, give the current one.

use std::collections::BTreeMap;

use mimosausher_distribution::{
    Changes,
    Delta,
    MAX_REMOVED,
    Section, //
};

type Versions = BTreeMap<Box<str>, u64>;

fn sections(versions: &Versions) -> impl Iterator<Item = Section> {
    versions.iter().map(|(name, version)| Section {
        name: name.clone(),
        version: *version,
    })
}

fn versions(rows: &[(&str, u64)]) -> Versions {
    rows.iter()
        .map(|(name, version)| ((*name).into(), *version))
        .collect()
}

fn names(list: &[&str]) -> Vec<Box<str>> {
    list.iter().map(|name| (*name).into()).collect()
}

#[test]
fn since_changed_and_removed() {
    let mut changes = Changes::new();
    changes.record(3, sections(&versions(&[("a", 1), ("b", 2)])));
    changes.record(4, sections(&versions(&[("a", 1), ("b", 3), ("c", 1)])));
    changes.record(5, sections(&versions(&[("b", 3), ("c", 1)])));
    let delta = Delta {
        changed: names(&["b", "c"]),
        complete: false,
        removed: names(&["a"]),
    };
    assert_eq!(changes.since(3), delta);
    assert_eq!(changes.since(4).removed, names(&["a"]));
    assert_eq!(changes.since(4).changed, names(&[]));
    assert_eq!(changes.since(5), Delta::default());
}

#[test]
fn since_before_first() {
    let mut changes = Changes::new();
    changes.record(3, sections(&versions(&[("a", 1), ("b", 2)])));
    let delta = Delta {
        changed: names(&["a", "b"]),
        complete: true,
        removed: Vec::new(),
    };
    assert_eq!(changes.since(2), delta);
}

#[test]
fn since_dropped_removal() {
    let mut changes = Changes::new();
    let count = u64::try_from(MAX_REMOVED).unwrap() + 1;
    for step in 0..count {
        let name = format!("s{step}");
        changes.record(2 * step + 1, sections(&versions(&[(&name, 1)])));
        changes.record(2 * step + 2, sections(&Versions::new()));
    }
    assert!(changes.since(1).complete);
    assert!(!changes.since(2).complete);
}

#[test]
fn since_any_history() {
    bolero::check!()
        .with_type::<Vec<(u8, u8)>>()
        .for_each(|steps| {
            let mut changes = Changes::new();
            let mut document = versions(&[("0", 1)]);
            let mut states = vec![document.clone()];
            changes.record(1, sections(&document));
            for (name, kind) in steps {
                let name: Box<str> = (name % 5).to_string().into();
                let revision = u64::try_from(states.len()).unwrap() + 1;
                match kind % 3 {
                    0 => document.remove(&name),
                    _ => document.insert(name, revision),
                };
                changes.record(revision, sections(&document));
                states.push(document.clone());
            }
            for (index, state) in states.iter().enumerate() {
                let delta = changes.since(u64::try_from(index).unwrap() + 1);
                let mut copy = state.clone();
                for name in &delta.removed {
                    copy.remove(name);
                }
                for name in &delta.changed {
                    copy.insert(name.clone(), document[name]);
                }
                assert_eq!(copy, document);
            }
        });
}
