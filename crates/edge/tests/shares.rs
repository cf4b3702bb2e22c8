//! Loads travel as changes.

use mimosausher_edge::{
    Loaded,
    Shares, //
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
    assert_eq!(Shares::default().update(loads.clone()), loads);
}

#[test]
fn update_same_loads() {
    let mut shares = Shares::default();
    let loads = vec![loaded(1, 0), loaded(2, 3)];
    shares.update(loads.clone());
    assert_eq!(shares.update(loads), []);
}

#[test]
fn update_some_changes() {
    let mut shares = Shares::default();
    shares.update(vec![loaded(1, 0), loaded(2, 3), loaded(3, 1)]);
    let idle = Loaded {
        busy: 0,
        flows: 0,
        reference: 3,
    };
    let changes = shares.update(vec![loaded(1, 0), loaded(2, 4)]);
    assert_eq!(changes, [loaded(2, 4), idle]);
}
