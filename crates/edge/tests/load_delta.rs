//! Delta encoding of loads.

use mimosausher_edge::{
    EndpointLoad,
    LoadDelta,
    LoadStep,
    LoadSums, //
};
use rand::{
    Rng as _,
    SeedableRng as _, //
};
use rand_chacha::ChaCha8Rng;

/// The receiver ends up with the loads of the sender after any changes.
#[test]
fn merge_any_changes() {
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let mut delta = LoadDelta::default();
    let mut sums = LoadSums::new(LoadStep { busy: 1, flows: 1 });
    let source = sums.add_source();
    for _ in 0..1_000 {
        let known = (1..40).filter(|_| random.random_bool(0.5));
        let loads: Vec<_> = known
            .map(|reference| loaded(reference, reference % 3))
            .collect();
        sums.report(source, delta.update(loads.clone()), |_| Some("a"));
        let mut received: Vec<_> = sums.changed_since("a", 0).collect();
        received.retain(|load| *load != EndpointLoad::idle(load.reference));
        received.sort_by_key(|load| load.reference);
        assert_eq!(received, loads);
    }
}

fn loaded(reference: u32, busy: u32) -> EndpointLoad {
    EndpointLoad {
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
    let idle = EndpointLoad {
        busy: 0,
        flows: 0,
        reference: 3,
    };
    let changes = delta.update(vec![loaded(1, 0), loaded(2, 4)]);
    assert_eq!(changes, [loaded(2, 4), idle]);
}
