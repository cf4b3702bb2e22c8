//! Tests of admission, queueing, placement, retries and ejection.

use std::time::Duration;

use codes::Code;
use mimosausher_dispatch::{
    Action,
    Candidate,
    Event,
    LeastRequests,
    Limits,
    Outcome,
    Pool,
    Ticket, //
};

const SECOND: Duration = Duration::from_secs(1);

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn candidate(key: u32, slots: u16) -> Candidate<u32> {
    Candidate {
        key,
        reported: 0.0,
        slots,
    }
}

fn pool(endpoints: u32, slots: u16, limits: Limits) -> Pool<LeastRequests<u32>> {
    let mut pool = Pool::new(LeastRequests::new(7), limits);
    let candidates = (0..endpoints).map(|key| candidate(key, slots)).collect();
    assert_eq!(
        pool.handle(Duration::ZERO, Event::Endpoints(candidates)),
        []
    );
    pool
}

fn arrive(pool: &mut Pool<LeastRequests<u32>>, now: Duration, ticket: u64) -> Vec<Action<u32>> {
    arrive_by(pool, now, ticket, now + SECOND)
}

fn arrive_by(
    pool: &mut Pool<LeastRequests<u32>>,
    now: Duration,
    ticket: u64,
    deadline: Duration,
) -> Vec<Action<u32>> {
    let ticket = Ticket(ticket);
    pool.handle(now, Event::Arrived { deadline, ticket })
}

fn end(
    pool: &mut Pool<LeastRequests<u32>>,
    now: Duration,
    ticket: u64,
    outcome: Outcome,
) -> Vec<Action<u32>> {
    let ticket = Ticket(ticket);
    pool.handle(now, Event::Ended { outcome, ticket })
}

fn key(actions: &[Action<u32>]) -> u32 {
    match actions {
        [Action::Place { key, .. }] => *key,
        other => panic!("no single placement: {other:?}"),
    }
}

fn codes(actions: &[Action<u32>]) -> Vec<(u64, Code)> {
    actions
        .iter()
        .filter_map(|action| match action {
            Action::Refuse { code, ticket, .. } => Some((ticket.0, *code)),
            Action::Place { .. } => None,
        })
        .collect()
}

#[test]
fn admit_no_endpoint() {
    let mut pool = pool(0, 1, Limits::new());
    let actions = arrive(&mut pool, SECOND, 1);
    assert_eq!(codes(&actions), [(1, Code::RequestNoEndpoint)]);
}

#[test]
fn admit_expired_deadline() {
    let mut pool = pool(1, 1, Limits::new());
    let actions = arrive_by(&mut pool, SECOND, 1, SECOND);
    assert_eq!(codes(&actions), [(1, Code::RequestDeadline)]);
}

#[test]
fn admit_running_limit() {
    let mut pool = pool(4, 3, Limits::new().with_running(2));
    arrive(&mut pool, SECOND, 1);
    arrive(&mut pool, SECOND, 2);
    let actions = arrive(&mut pool, SECOND, 3);
    assert_eq!(codes(&actions), [(3, Code::RequestShed)]);
}

#[test]
fn queue_by_deadline() {
    let mut pool = pool(1, 1, Limits::new());
    arrive(&mut pool, SECOND, 1);
    assert_eq!(arrive_by(&mut pool, SECOND, 2, SECOND * 9), []);
    assert_eq!(arrive_by(&mut pool, SECOND, 3, SECOND * 5), []);
    let actions = end(&mut pool, SECOND + millis(9), 1, Outcome::Answered);
    assert_eq!(
        actions,
        [Action::Place {
            key: 0,
            ticket: Ticket(3)
        }]
    );
}

#[test]
fn queue_overflow_latest_deadline() {
    let mut pool = pool(1, 1, Limits::new().with_queue(1));
    arrive(&mut pool, SECOND, 1);
    arrive_by(&mut pool, SECOND, 2, SECOND * 9);
    let actions = arrive_by(&mut pool, SECOND, 3, SECOND * 5);
    assert_eq!(codes(&actions), [(2, Code::RequestShed)]);
}

#[test]
fn queue_longest_wait() {
    let mut pool = pool(1, 1, Limits::new().with_wait(millis(100)));
    arrive(&mut pool, SECOND, 1);
    arrive_by(&mut pool, SECOND, 2, SECOND * 9);
    assert_eq!(pool.handle(SECOND + millis(99), Event::Tick), []);
    let actions = pool.handle(SECOND + millis(100), Event::Tick);
    assert_eq!(codes(&actions), [(2, Code::RequestShed)]);
}

/// A request that cannot meet its deadline at the median latency is refused at once.
#[test]
fn queue_unmeetable_deadline() {
    let mut pool = pool(1, 1, Limits::new().with_wait(SECOND * 9));
    arrive(&mut pool, SECOND, 1);
    end(&mut pool, SECOND + millis(400), 1, Outcome::Answered);
    let now = SECOND * 2;
    arrive_by(&mut pool, now, 2, now + SECOND);
    let actions = arrive_by(&mut pool, now, 3, now + millis(300));
    assert_eq!(codes(&actions), [(3, Code::RequestDeadline)]);
}

#[test]
fn cancelled_frees_slot() {
    let mut pool = pool(1, 1, Limits::new());
    arrive(&mut pool, SECOND, 1);
    arrive(&mut pool, SECOND, 2);
    let actions = pool.handle(SECOND, Event::Cancelled(Ticket(1)));
    assert_eq!(
        actions,
        [Action::Place {
            key: 0,
            ticket: Ticket(2)
        }]
    );
    pool.handle(SECOND, Event::Cancelled(Ticket(2)));
    assert_eq!((pool.running(), pool.waiting()), (0, 0));
}

#[test]
fn cancelled_while_waiting() {
    let mut pool = pool(1, 1, Limits::new());
    arrive(&mut pool, SECOND, 1);
    arrive(&mut pool, SECOND, 2);
    pool.handle(SECOND, Event::Cancelled(Ticket(2)));
    assert_eq!(end(&mut pool, SECOND, 1, Outcome::Answered), []);
    assert_eq!((pool.running(), pool.waiting()), (0, 0));
}

#[test]
fn retry_not_run() {
    for outcome in [Outcome::Shed, Outcome::Unreachable] {
        let mut pool = pool(2, 1, Limits::new());
        let first = key(&arrive(&mut pool, SECOND, 1));
        arrive(&mut pool, SECOND, 2);
        end(&mut pool, SECOND, 2, Outcome::Answered);
        let again = end(&mut pool, SECOND, 1, outcome);
        match outcome {
            Outcome::Shed => assert_ne!(key(&again), first),
            _ => assert_eq!(again.len(), 1),
        }
    }
}

#[test]
fn retry_never_after_loss() {
    let mut pool = pool(2, 1, Limits::new());
    arrive(&mut pool, SECOND, 1);
    assert_eq!(end(&mut pool, SECOND, 1, Outcome::Lost), []);
    assert_eq!((pool.running(), pool.waiting()), (0, 0));
}

#[test]
fn retry_budget_spent() {
    let limits = Limits::new().with_retry(1000, 0).with_wait(SECOND * 99);
    let mut pool = pool(60, 3, limits);
    arrive_by(&mut pool, SECOND, 1, SECOND * 99);
    let mut retries = 0;
    let mut actions = end(&mut pool, SECOND, 1, Outcome::Unreachable);
    while codes(&actions).is_empty() && retries < 200 {
        retries += 1;
        actions = end(&mut pool, SECOND, 1, Outcome::Unreachable);
    }
    assert_eq!(retries, 50);
    assert_eq!(codes(&actions), [(1, Code::EndpointUnreachable)]);
}

#[test]
fn retry_attempts_spent() {
    let mut pool = pool(40, 3, Limits::new().with_retry(3, 100));
    arrive(&mut pool, SECOND, 1);
    assert_eq!(end(&mut pool, SECOND, 1, Outcome::Unreachable).len(), 1);
    assert_eq!(end(&mut pool, SECOND, 1, Outcome::Unreachable).len(), 1);
    let actions = end(&mut pool, SECOND, 1, Outcome::Unreachable);
    assert_eq!(codes(&actions), [(1, Code::EndpointUnreachable)]);
}

#[test]
fn ejection_bounded() {
    let mut pool = pool(6, 3, Limits::new());
    let mut now = SECOND;
    for ticket in 0..200 {
        let actions = arrive(&mut pool, now, ticket);
        assert_eq!(actions.len(), 1, "all endpoints were ejected");
        end(&mut pool, now, ticket, Outcome::Lost);
        now += millis(1);
    }
    let used: std::collections::BTreeSet<_> = (200..300)
        .map(|ticket| {
            let key = key(&arrive(&mut pool, now, ticket));
            pool.handle(now, Event::Cancelled(Ticket(ticket)));
            key
        })
        .collect();
    assert_eq!(used.len(), 4, "a third of the endpoints must be ejected");
}

#[test]
fn slow_start_share() {
    let mut pool = pool(1, 3, Limits::new().with_slow_start(SECOND * 3));
    let both = vec![candidate(0, 3), candidate(1, 3)];
    pool.handle(SECOND, Event::Endpoints(both));
    let mut placed_at_new = |now: Duration, from: u64| {
        let keys: Vec<_> = (from..from + 6)
            .flat_map(|ticket| arrive(&mut pool, now, ticket))
            .map(|action| match action {
                Action::Place { key, .. } => key,
                Action::Refuse { .. } => panic!("refused"),
            })
            .collect();
        for ticket in from..from + 6 {
            pool.handle(now, Event::Cancelled(Ticket(ticket)));
        }
        keys.iter().filter(|key| **key == 1).count()
    };
    assert_eq!(placed_at_new(SECOND, 0), 1);
    assert_eq!(placed_at_new(SECOND + millis(1500), 10), 2);
    assert_eq!(placed_at_new(SECOND * 4, 20), 3);
}

/// An endpoint that refuses requests is avoided even if it reports to be idle.
#[test]
fn report_contradicted_by_refusal() {
    let mut pool = pool(2, 3, Limits::new());
    let reports = vec![
        candidate(0, 3),
        Candidate {
            reported: 0.9,
            ..candidate(1, 3)
        },
    ];
    pool.handle(SECOND, Event::Endpoints(reports));
    assert_eq!(key(&arrive(&mut pool, SECOND, 1)), 0);
    assert_eq!(key(&end(&mut pool, SECOND, 1, Outcome::Shed)), 1);
    assert_eq!(key(&arrive(&mut pool, SECOND, 2)), 1);
}

#[test]
fn slow_endpoint_last() {
    let mut pool = pool(3, 3, Limits::new());
    let mut ticket = 0;
    let mut now = SECOND;
    for _ in 0..30 {
        ticket += 1;
        let key = key(&arrive(&mut pool, now, ticket));
        let time = if key == 0 { millis(500) } else { millis(50) };
        now += time;
        end(&mut pool, now, ticket, Outcome::Answered);
    }
    let used: Vec<_> = (100..106)
        .map(|ticket| key(&arrive(&mut pool, now, ticket)))
        .collect();
    assert!(!used.contains(&0), "{used:?}");
    assert_eq!(key(&arrive(&mut pool, now, 106)), 0);
}

#[test]
fn peer_load_counted() {
    let mut pool = pool(2, 3, Limits::new());
    let counts = vec![(0, 3)];
    let peer = Event::PeerLoad {
        counts,
        peer: 1,
        waiting: 0,
    };
    pool.handle(SECOND, peer);
    let used: Vec<_> = (0..3)
        .map(|ticket| key(&arrive(&mut pool, SECOND, ticket)))
        .collect();
    assert_eq!(used, [1, 1, 1]);
}
