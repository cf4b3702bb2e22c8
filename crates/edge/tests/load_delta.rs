//! Loads travel as changes.

use mimosausher_edge::{
    LoadDelta, //
    Loaded,
};

fn loaded(reference: u32, busy: u32) -> Loaded {
    Loaded {
        busy,
        flows: 1,
        reference,
    }
}

#[test]
fn update_first_call() {
    let loads = vec![loaded(1, 0), loaded(2, 3)];
    assert_eq!(LoadDelta::default().update(loads.clone()), loads);
}

#[test]
fn update_same_loads() {
    let mut delta = LoadDelta::default();
    let loads = vec![loaded(1, 0), loaded(2, 3)];
    delta.update(loads.clone());
    assert_eq!(delta.update(loads), []);
}

#[test]
fn update_some_changes() {
    let mut delta = LoadDelta::default();
    delta.update(vec![loaded(1, 0), loaded(2, 3), loaded(3, 1)]);
    let idle = Loaded {
        busy: 0,
        flows: 0,
        reference: 3,
    };
    let changes = delta.update(vec![loaded(1, 0), loaded(2, 4)]);
    assert_eq!(changes, [loaded(2, 4), idle]);
}
