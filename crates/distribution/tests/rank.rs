//! Tests that upstreams are ordered nearest first, spread evenly, and stable.

use mimosausher_distribution::{
    Candidate,
    rank, //
};

fn candidates(count: u32) -> Vec<Candidate<u32>> {
    (0..count)
        .map(|key| Candidate {
            distance: key % 3,
            key,
            name: format!("store-{key}").into(),
        })
        .collect()
}

#[test]
fn rank_distances() {
    for name in ["a", "b", "c"] {
        let order = rank(name, candidates(6));
        let distances: Vec<_> = order.iter().map(|key| key % 3).collect();
        assert_eq!(distances, [0, 1, 1, 2, 2, 0]);
    }
}

#[test]
fn rank_without_one() {
    for name in ["a", "b", "c", "d"] {
        let order = rank(name, candidates(9));
        let fewer = candidates(9).into_iter().filter(|one| one.key != 4);
        let rest: Vec<_> = order.into_iter().filter(|key| *key != 4).collect();
        assert_eq!(rank(name, fewer.collect()), rest);
    }
}

#[test]
fn rank_even_spread() {
    let mut counts = [0_u32; 3];
    for name in 0..3_000 {
        let first = rank(&format!("entry-{name}"), candidates(9))[0];
        counts[usize::try_from(first / 3).unwrap()] += 1;
    }
    assert!(
        counts.iter().all(|count| (900..1_100).contains(count)),
        "{counts:?}"
    );
}
