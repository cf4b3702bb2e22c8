//! Time per request and per claim.

#![allow(missing_docs, reason = "a benchmark has no public items")]

use std::time::{
    Duration,
    Instant, //
};

use mimosausher_dispatch::{
    Candidate,
    Claim,
    ClaimId,
    Event,
    Holder,
    KeyHash,
    LeastRequests,
    Limits,
    Member,
    Outcome,
    Pool,
    Ring,
    Ticket, //
};
use standin::Fit;

/// Numbers of endpoints of one service.
const ENDPOINTS: [u32; 5] = [3, 14, 50, 200, 800];

/// Numbers of entries.
const ENTRIES: [u32; 5] = [8, 50, 200, 500, 1000];

const REQUESTS: u64 = 20_000;
const CLAIMS: u64 = 50_000;

fn main() {
    let times: Vec<_> = ENDPOINTS
        .map(|endpoints| (f64::from(endpoints), place_request(endpoints)))
        .to_vec();
    let case = "by endpoint of the service";
    Fit::new(&times).print("capacity.dispatch_ns", case, "ns/request");
    let times: Vec<_> = ENTRIES
        .map(|entries| (f64::from(entries), claim(entries)))
        .to_vec();
    let case = "by entry";
    Fit::new(&times).print("capacity.claim_ns", case, "ns/claim");
}

/// Nanoseconds to place and end a request.
fn place_request(endpoints: u32) -> f64 {
    let mut pool = Pool::new(LeastRequests::new(1), Limits::new());
    let candidates = (0..endpoints)
        .map(|key| Candidate {
            key,
            reported: 0.0,
            slots: 3,
        })
        .collect();
    pool.handle(Duration::ZERO, Event::Endpoints(candidates));
    let start = Instant::now();
    for number in 0..REQUESTS {
        let now = Duration::from_millis(number);
        let (deadline, ticket) = (now + Duration::from_secs(1), Ticket(number));
        pool.handle(now, Event::Arrived { deadline, ticket });
        let outcome = Outcome::Answered;
        pool.handle(now, Event::Ended { outcome, ticket });
    }
    nanos_each(start, REQUESTS)
}

/// Nanoseconds to claim a key.
fn claim(entries: u32) -> f64 {
    let name = |entry: u32| -> Box<str> { format!("entry-{entry}").into() };
    let ring = Ring::new().with_members((0..entries).map(|entry| Member {
        centre: format!("centre-{}", entry % 4).into(),
        incarnation: 1,
        name: name(entry),
    }));
    let mut holder = Holder::new(Duration::ZERO, "entry-0", Duration::from_secs(600));
    holder.mark_complete();
    holder.set_ring(Duration::ZERO, ring);
    let start = Instant::now();
    for serial in 0..CLAIMS {
        let claim = Claim {
            fingerprint: 1,
            id: ClaimId {
                claimant: name(1),
                incarnation: 1,
                serial,
            },
            key: KeyHash {
                hash: u128::from(serial),
                home: None,
            },
        };
        holder.claim(Duration::from_millis(serial), claim);
    }
    nanos_each(start, CLAIMS)
}

fn nanos_each(start: Instant, count: u64) -> f64 {
    start.elapsed().as_secs_f64() * 1e9 / count as f64
}
