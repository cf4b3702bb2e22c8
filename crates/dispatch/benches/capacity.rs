//! What one request and one claim cost.

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
    Limits,
    Member,
    Observed,
    Outcome,
    Pool,
    Ring,
    Ticket, //
};
use standin::Figure;

const REQUESTS: u64 = 20_000;
const CLAIMS: u64 = 50_000;

fn main() {
    for endpoints in [14, 100, 1000] {
        place(endpoints);
    }
    for entries in [8, 100] {
        claim(entries);
    }
}

fn place(endpoints: u32) {
    let mut pool = Pool::new(Observed::new(1), Limits::new());
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
    print(
        "capacity.dispatch_request",
        &format!("{endpoints} endpoints"),
        start,
        REQUESTS,
    );
}

fn claim(entries: u32) {
    let name = |entry: u32| -> Box<str> { format!("entry-{entry}").into() };
    let ring = Ring::new().with_members((0..entries).map(|entry| Member {
        centre: format!("centre-{}", entry % 4).into(),
        incarnation: 1,
        name: name(entry),
    }));
    let mut holder = Holder::new(Duration::ZERO, "entry-0", Duration::from_secs(600));
    holder.first();
    holder.view(Duration::ZERO, ring);
    let start = Instant::now();
    for serial in 0..CLAIMS {
        let claim = Claim {
            id: ClaimId {
                claimant: name(1),
                incarnation: 1,
                serial,
            },
            key: KeyHash {
                hash: u128::from(serial),
                home: None,
            },
            print: 1,
        };
        holder.claim(Duration::from_millis(serial), claim);
    }
    print(
        "capacity.dispatch_claim",
        &format!("{entries} entries"),
        start,
        CLAIMS,
    );
}

fn print(figure: &str, case: &str, start: Instant, count: u64) {
    let micros = start.elapsed().as_secs_f64() * 1e6 / count as f64;
    Figure::new(figure, case, micros, "us").print();
}
