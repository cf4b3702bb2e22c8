//! One queue that knows every slot at every moment.

use std::{
    cmp::Reverse,
    collections::{
        BTreeMap,
        BinaryHeap,
        VecDeque, //
    },
    time::Duration, //
};

use hdrhistogram::Histogram;

use super::{
    Case, DEADLINE, Deployment, ENDPOINTS, LENGTH, Result, WARM, WINDOW, WORK, imbalance,
    plan::{
        Planned,
        factor,
        plan,
        serving, //
    },
};

/// Runs a single queue in order of arrival that gives each request to the endpoint with the most
/// free slots, those of ordinary speed first, at the cost of one way there and back.
pub fn omniscient(deployment: &Deployment, case: &Case, seed: u64) -> Result {
    let requests = plan(deployment, case, seed);
    let mut ends: BinaryHeap<Reverse<(Duration, u32)>> = BinaryHeap::new();
    let mut free: BTreeMap<u32, u16> = (0..ENDPOINTS + 4).map(|e| (e, deployment.slots)).collect();
    let mut queue: VecDeque<Planned> = VecDeque::new();
    let mut busy: BTreeMap<u64, BTreeMap<u32, f64>> = BTreeMap::new();
    let mut times = Histogram::new(3).unwrap();
    let (mut good, mut total, mut late) = (0.0, 0.0, 0.0);
    let mut arrivals = requests.into_iter().peekable();
    loop {
        let arrival = arrivals.peek().map(|request| request.at);
        let end = ends.peek().map(|Reverse((at, _))| *at);
        let now = match (arrival, end) {
            (Some(arrival), Some(end)) => arrival.min(end),
            (Some(at), None) | (None, Some(at)) => at,
            (None, None) => break,
        };
        if end == Some(now) {
            if let Some(Reverse((_, endpoint))) = ends.pop() {
                *free.get_mut(&endpoint).unwrap() += 1;
            }
        } else if let Some(request) = arrivals.next() {
            queue.push_back(request);
        }
        while let Some(request) = queue.front().copied() {
            if now > request.at + DEADLINE {
                queue.pop_front();
                late += 1.0;
                total += 1.0;
                continue;
            }
            let Some(endpoint) = serving(case, now)
                .filter(|endpoint| free[endpoint] > 0)
                .max_by_key(|e| (factor(case, *e, now) < 1.5, free[e], Reverse(*e)))
            else {
                break;
            };
            queue.pop_front();
            *free.get_mut(&endpoint).unwrap() -= 1;
            let work = request.work.mul_f64(factor(case, endpoint, now));
            ends.push(Reverse((now + work, endpoint)));
            total += 1.0;
            if now > WARM && now < LENGTH {
                let window = ((now - WARM).as_millis() / WINDOW.as_millis())
                    .try_into()
                    .unwrap();
                let shares = busy.entry(window).or_default();
                *shares.entry(endpoint).or_default() += work.as_secs_f64();
                let time = now + work + deployment.hop * 2 - request.at;
                times.record(time.as_micros().try_into().unwrap()).unwrap();
                good += if time <= DEADLINE {
                    request.work.as_secs_f64()
                } else {
                    0.0
                };
            }
        }
    }
    let capacity = f64::from(ENDPOINTS * u32::from(deployment.slots));
    let _mean = WORK;
    Result {
        double: 0,
        false_not: 0,
        free: 0.0,
        goodput: good / (LENGTH - WARM).as_secs_f64() / capacity,
        imbalance: imbalance(&busy),
        refused: late / total,
        shed: 0.0,
        times,
        usable: 0.0,
    }
}
