//! When an entry leaves a store that is cut off from the others.

use std::time::Duration;

use mimosausher_edge::Staleness;

/// Pushes come twice a second at least.
const PUSH: u64 = 500;

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// The stores are split; the entry follows one of the smaller part, and has as long as a document may
/// take to be in force.
#[test]
fn note_isolated_store() {
    let mut staleness = Staleness::default();
    assert!(!staleness.note(at(0), true));
    let left = (1..)
        .map(|push| push * PUSH)
        .find(|millis| staleness.note(at(*millis), false));
    assert!(left.unwrap() < 3_000, "{left:?}");
}

#[test]
fn note_election() {
    let mut staleness = Staleness::default();
    for millis in [0, 500, 1_000] {
        assert!(!staleness.note(at(millis), false));
    }
    assert!(!staleness.note(at(1_150), true));
    assert!(!staleness.note(at(1_650), false));
}

/// No store has a quorum: each one is left, but less and less often.
#[test]
fn note_no_quorum_anywhere() {
    let mut staleness = Staleness::default();
    let left = (0..120).filter(|push| staleness.note(at(push * PUSH), false));
    assert!((5..=16).contains(&left.count()));
}
