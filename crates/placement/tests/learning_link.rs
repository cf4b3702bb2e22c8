//! What a full link of the entry keeps from what it learns of its endpoints.

use std::time::Duration;

use mimosausher_placement::{
    Endpoint,
    FlowKey,
    Pool,
    Progress,
    Reference,
    Target, //
};
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

const REFERENCE: &str = "i-0";

struct Entry {
    pool: Pool,
    random: ChaCha8Rng,
    target: Target,
}

impl Entry {
    fn new() -> Self {
        let mut pool = Pool::new().with_learning();
        let service = pool.service("s");
        let address = "10.0.0.1:80".parse().unwrap();
        pool.update(Endpoint::new(REFERENCE, 1, address, service));
        Self {
            pool,
            random: ChaCha8Rng::seed_from_u64(1),
            target: Target::new(service, 1),
        }
    }

    fn open(&mut self, at: u64) {
        self.pool.tick(millis(at));
        let opened = self
            .pool
            .open(millis(at), flow(), &[self.target], &mut self.random);
        assert!(opened.is_ok());
    }

    fn packet(&mut self, at: u64, acknowledged: u32, length: u16) {
        self.pool.tick(millis(at));
        let progress = Progress {
            acknowledged,
            length,
            sequence: acknowledged,
            ..Progress::default()
        };
        let reference = Some(Reference::from_name(REFERENCE));
        let found = self
            .pool
            .lookup(millis(at), flow(), reference, progress, false);
        assert!(found.is_ok());
    }

    /// Opens a flow at 1,000 ms and sends a request on it, which is answered after 40 ms.
    fn answered(congested_at: Option<u64>) -> Self {
        let mut entry = Self::new();
        entry.open(1_000);
        entry.packet(1_010, 1, 0);
        entry.packet(1_020, 1, 100);
        if let Some(at) = congested_at {
            entry.pool.record_congestion(millis(at));
        }
        entry.packet(1_060, 2, 0);
        entry
    }

    fn tick_until(&mut self, from: u64, to: u64) {
        for at in (from..to).step_by(100) {
            self.pool.tick(millis(at));
        }
    }

    /// Whether anything was observed since the last call.
    fn has_observed(&mut self) -> bool {
        !self.pool.observed_performance().is_empty()
    }
}

fn flow() -> FlowKey {
    FlowKey {
        client: "100.64.0.1:40000".parse().unwrap(),
        destination: "198.18.0.1:443".parse().unwrap(),
    }
}

const fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn answers_with_uploads_on_a_narrow_link() {
    assert!(Entry::answered(None).has_observed());
    assert!(Entry::answered(Some(1_015)).has_observed());
    assert!(!Entry::answered(Some(1_030)).has_observed());
}

#[test]
fn overdue_with_uploads_on_a_narrow_link() {
    for congested in [false, true] {
        let mut entry = Entry::answered(None);
        assert!(entry.has_observed());
        entry.packet(1_100, 2, 100);
        if congested {
            entry.pool.record_congestion(millis(1_200));
        }
        entry.tick_until(1_200, 5_000);
        assert_eq!(entry.has_observed(), !congested);
    }
}

#[test]
fn copies_with_uploads_on_a_narrow_link() {
    for congested in [false, true] {
        let mut entry = Entry::new();
        entry.open(1_000);
        if congested {
            entry.pool.record_congestion(millis(1_100));
        }
        entry.open(1_200);
        assert_eq!(entry.has_observed(), !congested);
    }
}

#[test]
fn resets_with_uploads_on_a_narrow_link() {
    for congested in [false, true] {
        let mut entry = Entry::new();
        entry.open(1_000);
        if congested {
            entry.pool.record_congestion(millis(1_100));
        }
        entry.tick_until(1_100, 1_600);
        assert_eq!(entry.has_observed(), !congested);
    }
}
