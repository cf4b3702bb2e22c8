//! What entries learn of their endpoints' performance, under the load patterns that call for it.

mod fleet;

use std::time::Duration;

use fleet::{
    Behaviour,
    Fleet,
    Request,
    USUAL, //
};
use mimosausher_placement::{
    Endpoint,
    Observations,
    Performance,
    Pool,
    Reference, //
};

fn fleet<F: Fn(usize, f64) -> Behaviour>(behaviour: F) -> Fleet<F> {
    Fleet {
        behaviour,
        endpoints: 24,
        entries: 20,
        learns: true,
        rate: 1_000.0,
        seconds: 20,
        slots: 2,
        work: 0.025,
    }
}

fn within(requests: &[Request], from: f64, to: f64) -> Vec<Request> {
    let requests = requests.iter().copied();
    requests
        .filter(|request| (from..to).contains(&request.at))
        .collect()
}

fn share(requests: &[Request], pick: impl Fn(&Request) -> bool) -> f64 {
    let picked = requests.iter().filter(|request| pick(request)).count();
    f64::from(u32::try_from(picked).unwrap()) / f64::from(u32::try_from(requests.len()).unwrap())
}

/// Share of the requests that were not answered within four times the usual work.
fn late(requests: &[Request]) -> f64 {
    share(requests, |request| {
        request.time.is_none_or(|time| time > 0.1)
    })
}

#[test]
fn uneven_speeds_load_of_half() {
    let uneven = |number: usize, _| Behaviour {
        speed: [0.55, 1.2, 1.2, 1.2][number % 4],
        ..USUAL
    };
    let requests = within(&fleet(uneven).run(), 5.0, 19.0);
    // In proportion to their speed, the slow quarter gets 0.13 of the requests.
    let slow = share(&requests, |request| request.endpoint % 4 == 0);
    assert!((0.09..0.17).contains(&slow), "{slow}");
    assert!(late(&requests) < 0.03, "{}", late(&requests));
}

#[test]
fn knee_before_full_half_of_the_endpoints() {
    let knee = |number: usize, _| Behaviour {
        knee: match number % 2 {
            0 => 3,
            _ => usize::MAX,
        },
        ..USUAL
    };
    let mut fleet = fleet(knee);
    (fleet.slots, fleet.rate) = (8, 2_600.0);
    let requests = within(&fleet.run(), 6.0, 19.0);
    let share = share(&requests, |request| request.endpoint % 2 == 0);
    assert!(share < 0.35, "{share}");
    assert!(late(&requests) < 0.12, "{}", late(&requests));
}

#[test]
fn slow_spell_ends_of_a_quarter() {
    let spell = |number: usize, at| Behaviour {
        speed: match number.is_multiple_of(4) && (5.0..11.0).contains(&at) {
            true => 0.17,
            false => 1.0,
        },
        ..USUAL
    };
    let requests = fleet(spell).run();
    let slow = |from, to| {
        let requests = within(&requests, from, to);
        share(&requests, |request| request.endpoint % 4 == 0)
    };
    assert!(slow(8.0, 10.0) < 0.06, "{}", slow(8.0, 10.0));
    assert!(slow(16.0, 19.0) > 0.15, "{}", slow(16.0, 19.0));
    let spell = late(&within(&requests, 7.0, 10.0));
    assert!(spell < 0.12, "{spell}");
}

#[test]
fn half_failing_healthy_of_a_sixth() {
    let failing = |number: usize, at| Behaviour {
        failing: match number.is_multiple_of(6) && (5.0..11.0).contains(&at) {
            true => 0.45,
            false => 0.0,
        },
        ..USUAL
    };
    let requests = fleet(failing).run();
    let failed = |from, to| {
        let requests = within(&requests, from, to);
        share(&requests, |request| request.time.is_none())
    };
    assert!(failed(8.0, 11.0) < 0.025, "{}", failed(8.0, 11.0));
    // It is tried again, and gets flows as before.
    let recovered = within(&requests, 15.0, 19.0);
    let recovered = share(&recovered, |request| request.endpoint % 6 == 0);
    assert!(recovered > 0.08, "{recovered}");
}

#[test]
fn stale_views_of_many_entries_short_requests() {
    let mut fleet = fleet(|_, _| USUAL);
    (fleet.entries, fleet.rate) = (68, 1_400.0);
    let requests = fleet.run();
    for second in 5..19 {
        let from = f64::from(second);
        let requests = within(&requests, from, from + 1.0);
        for endpoint in 0..fleet.endpoints {
            // Of 58 requests on average; entries at one mind would send four times as many.
            let share = 24.0 * share(&requests, |request| request.endpoint == endpoint);
            assert!(share < 2.0, "{second} s, endpoint {endpoint}: {share}");
        }
    }
    let late = late(&within(&requests, 5.0, 19.0));
    assert!(late < 0.12, "{late}");
}

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn observed(now: Duration, count: f64, time: f64) -> Performance {
    let mean = Observations {
        count,
        time: count * time,
    };
    Performance::new(now, [mean; 3])
}

/// A pool with one endpoint of which others report that it takes thrice as long.
fn slow_pool() -> (Pool, Endpoint, Reference) {
    let mut pool = Pool::new().with_learning();
    let service = pool.service("s");
    let endpoint = Endpoint::new("i-1", 1, "10.0.0.1:80".parse().unwrap(), service);
    let reference = endpoint.reference;
    pool.update(endpoint.clone());
    pool.set_shared_performance(seconds(1), reference, observed(seconds(1), 50.0, 3.0));
    (pool, endpoint, reference)
}

fn time(pool: &Pool, now: Duration) -> f64 {
    let endpoint = pool.iter().next().unwrap();
    endpoint.expected_time(now)
}

#[test]
fn restarted_endpoint_under_its_name() {
    let (mut pool, endpoint, _) = slow_pool();
    assert!(time(&pool, seconds(1)) > 2.5);
    pool.update(endpoint.clone());
    assert!(time(&pool, seconds(1)) > 2.5);
    let mut restarted = endpoint;
    restarted.incarnation = 2;
    pool.update(restarted);
    assert!((time(&pool, seconds(1)) - 1.0).abs() < f64::EPSILON);
}

#[test]
fn restarted_store_with_empty_sums() {
    let (mut pool, _, reference) = slow_pool();
    let now = seconds(2);
    pool.set_shared_performance(now, reference, observed(now, 1.0, 1.0));
    assert!(time(&pool, now) > 2.5);
    // What it has heard since counts once what was known has faded.
    let now = seconds(12);
    pool.set_shared_performance(now, reference, observed(now, 20.0, 1.0));
    assert!(time(&pool, now) < 1.5);
}

#[test]
fn assess_once_for_each_change() {
    let (mut pool, _, reference) = slow_pool();
    let poor = |pool: &mut Pool, now| {
        let changes = pool.assess(now).into_iter();
        changes.map(|change| change.poor).collect::<Vec<_>>()
    };
    assert_eq!(poor(&mut pool, seconds(1)), [true]);
    assert_eq!(poor(&mut pool, seconds(2)), []);
    pool.set_shared_performance(seconds(3), reference, observed(seconds(3), 50.0, 1.0));
    assert_eq!(poor(&mut pool, seconds(3)), [false]);
}
