//! When an entry stops following a store without a quorum.

use std::time::Duration;

use mimosausher_edge::Staleness;

/// Longest interval of pushes, in milliseconds.
const PUSH_INTERVAL_MS: u64 = 500;

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// The stores are partitioned and the entry follows one without a quorum: it must switch within the
/// time in which a document must come into force.
#[test]
fn record_isolated_store() {
    let mut staleness = Staleness::default();
    assert!(!staleness.record(at(0), true));
    let switched = (1..)
        .map(|push| push * PUSH_INTERVAL_MS)
        .find(|millis| staleness.record(at(*millis), false));
    assert!(switched.unwrap() < 3_000, "{switched:?}");
}

#[test]
fn record_election() {
    let mut staleness = Staleness::default();
    for millis in [0, 500, 1_000] {
        assert!(!staleness.record(at(millis), false));
    }
    assert!(!staleness.record(at(1_150), true));
    assert!(!staleness.record(at(1_650), false));
}

/// No store has a quorum: the entry switches stores, but less and less often.
#[test]
fn record_no_quorum_anywhere() {
    let mut staleness = Staleness::default();
    let switched = (0..120).filter(|push| staleness.record(at(push * PUSH_INTERVAL_MS), false));
    assert!((5..=16).contains(&switched.count()));
}
