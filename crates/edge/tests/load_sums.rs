//! Sums of reported loads, and how the work grows with entries and endpoints.

use std::collections::BTreeMap;

use mimosausher_edge::{
    EndpointLoad,
    LoadStep,
    LoadSums,
    SourceKey, //
};
use rand::{
    Rng as _,
    SeedableRng as _, //
};
use rand_chacha::ChaCha8Rng;

const CENTRES: [&str; 6] = ["a", "b", "c", "d", "e", "f"];

const EXACT: LoadStep = LoadStep { busy: 1, flows: 1 };

fn centre_of(reference: u32) -> Option<&'static str> {
    let index = usize::try_from(reference).unwrap() % CENTRES.len();
    Some(CENTRES[index])
}

fn load(reference: u32, busy: u32, flows: u32) -> EndpointLoad {
    EndpointLoad {
        busy,
        flows,
        reference,
    }
}

/// A follower that reads each change once ends up with the sums of what the sources last reported.
#[test]
fn report_any_changes() {
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let mut sums = LoadSums::new(EXACT);
    let mut sources: Vec<(SourceKey, BTreeMap<u32, EndpointLoad>)> = Vec::new();
    let mut received = BTreeMap::new();
    let mut sent = 0;
    for _ in 0..3_000 {
        match random.random_range(0..20) {
            0 => sources.push((sums.add_source(), BTreeMap::new())),
            1 if !sources.is_empty() => {
                let (key, _) = sources.swap_remove(random.random_range(0..sources.len()));
                sums.remove_source(key);
            }
            _ if !sources.is_empty() => {
                let number = random.random_range(0..sources.len());
                let (key, reported) = &mut sources[number];
                let changed = load(
                    random.random_range(1..30),
                    random.random_range(0..4),
                    random.random_range(0..4),
                );
                reported.insert(changed.reference, changed);
                sums.report(*key, vec![changed], centre_of);
            }
            _ => {}
        }
        if random.random_bool(0.3) {
            let changes = sums.changed_since("b", sent);
            received.extend(changes.map(|load| (load.reference, load)));
            sent = sums.last_change();
            for reference in (1..30).filter(|number| centre_of(*number) == Some("b")) {
                let reports = sources
                    .iter()
                    .filter_map(|(_, loads)| loads.get(&reference));
                let expected = reports.fold(load(reference, 0, 0), |sum, part| {
                    load(reference, sum.busy + part.busy, sum.flows + part.flows)
                });
                let known = received.get(&reference).copied();
                assert_eq!(known.unwrap_or(load(reference, 0, 0)), expected);
            }
        }
    }
}

/// Small changes wait until they add up, and an endpoint that becomes idle is passed on at once.
#[test]
fn report_small_changes() {
    let mut sums = LoadSums::new(LoadStep { busy: 32, flows: 4 });
    let key = sums.add_source();
    sums.report(key, vec![load(1, 5, 1)], centre_of);
    let first = sums.last_change();
    assert_eq!(sums.changed(1, 0), Some(load(1, 5, 1)));
    sums.report(key, vec![load(1, 30, 3)], centre_of);
    assert_eq!(sums.last_change(), first);
    sums.report(key, vec![load(1, 37, 3)], centre_of);
    assert_eq!(sums.changed(1, first), Some(load(1, 37, 3)));
    sums.report(key, vec![load(1, 0, 0)], centre_of);
    assert_eq!(sums.changed(1, first + 1), Some(load(1, 0, 0)));
}

/// An endpoint whose data centre becomes known later is then among that data centre's changes.
#[test]
fn report_endpoint_located_later() {
    let mut sums = LoadSums::new(EXACT);
    let key = sums.add_source();
    sums.report(key, vec![load(1, 5, 1)], |_| None);
    assert_eq!(sums.changed_since("b", 0).count(), 0);
    sums.report(key, vec![load(1, 6, 1)], centre_of);
    assert_eq!(
        sums.changed_since("b", 0).collect::<Vec<_>>(),
        [load(1, 6, 1)]
    );
    assert_eq!(sums.changed_elsewhere("b", 0).count(), 0);
}

#[test]
fn retain_departed_endpoint() {
    let mut sums = LoadSums::new(EXACT);
    let key = sums.add_source();
    sums.report(key, vec![load(1, 5, 1), load(2, 5, 1)], centre_of);
    sums.report(key, vec![load(1, 0, 0)], centre_of);
    sums.retain(|_| false);
    assert_eq!(sums.len(), 1);
    assert_eq!(sums.changed_since("b", 0).count(), 0);
    assert_eq!(sums.changed_since("c", 0).count(), 1);
}

/// Ten endpoints an entry, spread over six data centres: what one follower is sent in a round grows
/// with the endpoints of its own data centre, not with entries times endpoints.
#[test]
fn changed_since_as_deployment_grows() {
    for entries in [30, 100, 300] {
        let endpoints = entries * 10;
        let mut random = ChaCha8Rng::seed_from_u64(1);
        let mut sums = LoadSums::new(LoadStep { busy: 32, flows: 4 });
        let keys: Vec<_> = (0..entries).map(|_| sums.add_source()).collect();
        let mut sent = 0;
        for _ in 0..8 {
            for key in &keys {
                let loads = (0..10).map(|_| {
                    let reference = random.random_range(1..endpoints);
                    load(reference, random.random_range(0..128), 2)
                });
                let loads: Vec<_> = loads.collect();
                sums.report(*key, loads, centre_of);
            }
            let changes = sums.changed_since("a", sent).count();
            sent = sums.last_change();
            let own = usize::try_from(endpoints).unwrap() / CENTRES.len();
            assert!(changes <= own, "{changes} changes for {own} endpoints");
        }
    }
}
