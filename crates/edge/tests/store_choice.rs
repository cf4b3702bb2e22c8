//! Which stores entries follow: their own data centre's first, evenly, without dead ones.

use std::{
    collections::BTreeMap,
    net::SocketAddrV4,
    time::Duration, //
};

use mimosausher_edge::{
    StoreChoice,
    StoreLocation, //
};
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

const CENTRES: [&str; 6] = ["a", "b", "c", "d", "e", "f"];

/// Slot of the store that sends loads, and of the other one.
const SLOTS: [usize; 2] = [0, 1];

fn store(number: u8) -> SocketAddrV4 {
    SocketAddrV4::new([10, 0, 0, number].into(), 7720)
}

fn stores(count: u8) -> Vec<SocketAddrV4> {
    (0..count).map(store).collect()
}

/// Stores that stand in the data centres by turns.
fn locations(count: u8) -> Vec<StoreLocation> {
    let numbers = 0..count;
    numbers
        .map(|number| StoreLocation {
            address: store(number),
            centre: CENTRES[usize::from(number) % CENTRES.len()].into(),
        })
        .collect()
}

/// Entries that start with three seeds, learn of all stores, and move until nobody wants to.
fn settled(entries: usize, count: u8) -> Vec<StoreChoice> {
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let seeds = stores(3);
    let choices = (0..entries).map(|number| {
        let centre = CENTRES[number % CENTRES.len()];
        let mut choice = StoreChoice::new(&format!("entry-{number}"), centre);
        for slot in SLOTS {
            let first = choice.candidates(Duration::ZERO, slot, &seeds, 1, &mut random);
            assert!(choice.reserve(slot, first[0]));
        }
        choice.set_known(&stores(count));
        choice.locate(locations(count));
        settle(&mut choice, Duration::ZERO);
        choice
    });
    choices.collect()
}

/// Moves until no slot has a better store; returns the number of moves.
fn settle(choice: &mut StoreChoice, now: Duration) -> usize {
    let mut moves = 0;
    loop {
        let better = SLOTS
            .iter()
            .find_map(|slot| Some((*slot, choice.better(now, *slot)?)));
        let Some((slot, better)) = better else {
            return moves;
        };
        assert!(choice.reserve(slot, better));
        moves += 1;
        assert!(moves < 10, "an entry moves for ever");
    }
}

fn followers(choices: &[StoreChoice], slot: usize) -> BTreeMap<SocketAddrV4, usize> {
    let mut followers = BTreeMap::new();
    for choice in choices {
        *followers.entry(choice.followed(slot).unwrap()).or_default() += 1;
    }
    followers
}

/// All entries start with the same three seeds of six stores: afterwards loads come from the own
/// data centre's store, and every store has about as many followers as the others.
#[test]
fn better_after_start_from_seeds() {
    let choices = settled(300, 6);
    for (number, choice) in choices.iter().enumerate() {
        let own = store(u8::try_from(number % CENTRES.len()).unwrap());
        assert_eq!(choice.followed(0), Some(own));
        assert_ne!(choice.followed(1), Some(own));
    }
    for slot in SLOTS {
        let followers = followers(&choices, slot);
        assert_eq!(followers.len(), 6);
        // The mean is 50.
        assert!(
            followers.values().all(|count| *count <= 75),
            "{followers:?}"
        );
    }
}

/// Two stores for each data centre, or fewer stores than data centres.
#[test]
fn better_other_numbers_of_stores() {
    for count in [4, 9, 15] {
        let choices = settled(300, count);
        for slot in SLOTS {
            let followers = followers(&choices, slot);
            let mean = 300 / usize::from(count);
            let most = followers.values().max().unwrap();
            assert!(*most <= 2 * mean, "{count} stores: {followers:?}");
        }
    }
}

/// A store is away and comes back: its followers avoid it meanwhile and return to it.
#[test]
fn better_store_that_was_away() {
    let mut choices = settled(60, 6);
    let before = followers(&choices, 0);
    let lost = Duration::from_secs(10);
    for choice in &mut choices {
        for slot in SLOTS {
            if choice.followed(slot) == Some(store(2)) {
                choice.record_failure(lost, store(2));
                choice.release(slot);
                let mut random = ChaCha8Rng::seed_from_u64(2);
                let next = choice.candidates(lost, slot, &stores(3), 1, &mut random);
                assert_ne!(next, [store(2)]);
                assert!(choice.reserve(slot, next[0]));
            }
        }
        settle(choice, lost);
    }
    assert_eq!(followers(&choices, 0).get(&store(2)), None);
    let back = Duration::from_secs(20);
    for choice in &mut choices {
        settle(choice, back);
    }
    assert_eq!(followers(&choices, 0), before);
}

/// The seeds have been exchanged: the entry goes on with stores that no seed names, and seeds that
/// are down come last.
#[test]
fn candidates_after_exchange_of_seeds() {
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let mut choice = StoreChoice::new("entry-1", "a");
    choice.set_known(&stores(6));
    choice.locate(locations(6));
    let seeds = [store(20), store(21), store(22)];
    let now = Duration::from_secs(1);
    let first = choice.candidates(now, 0, &seeds, 3, &mut random);
    assert_eq!(first.len(), 3);
    assert_eq!(
        first[0],
        store(0),
        "the own data centre's store comes first"
    );
    assert!(first.iter().all(|store| stores(6).contains(store)));
    for gone in stores(6) {
        choice.record_failure(now, gone);
    }
    let next = choice.candidates(now, 0, &seeds, 3, &mut random);
    assert_eq!(next.len(), 3);
    assert!(next.iter().all(|store| seeds.contains(store)), "{next:?}");
}

/// A store that stays down is tried less and less often, and is forgotten once no store names it.
#[test]
fn record_failure_dead_store() {
    let mut choice = StoreChoice::new("entry-1", "a");
    choice.set_known(&stores(2));
    choice.locate(locations(2));
    assert!(choice.reserve(0, store(1)));
    let (mut now, mut tries) = (Duration::ZERO, 0);
    while now < Duration::from_secs(60) {
        if choice.better(now, 0) == Some(store(0)) {
            choice.record_failure(now, store(0));
            tries += 1;
        }
        now += Duration::from_millis(100);
    }
    assert!(tries <= 11, "{tries} tries in a minute");
    choice.set_known(&[store(1)]);
    assert_eq!(choice.better(now + Duration::from_secs(60), 0), None);
}

#[test]
fn reserve_store_of_other_slot() {
    let mut choice = StoreChoice::new("entry-1", "a");
    assert!(choice.reserve(0, store(1)));
    assert!(!choice.reserve(1, store(1)));
    choice.release(0);
    assert!(choice.reserve(1, store(1)));
}
