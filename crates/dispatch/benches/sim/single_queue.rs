//! The ideal that policies are compared with: one queue with exact knowledge of every slot.

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
    Case,
    DEADLINE,
    Deployment,
    ENDPOINTS,
    MEAN_WORK,
    RUN_TIME,
    RunResult,
    WARM_UP,
    WINDOW,
    imbalance,
    plan::{
        PlannedRequest,
        plan,
        serving,
        slowdown, //
    }, //
};

/// Runs a single first-in, first-out queue. It sends each request to the endpoint with the most
/// free slots, endpoints of normal speed first; a request costs one round trip.
pub fn single_queue(deployment: &Deployment, case: &Case, seed: u64) -> RunResult {
    let requests = plan(deployment, case, seed);
    let mut ends: BinaryHeap<Reverse<(Duration, u32)>> = BinaryHeap::new();
    let mut free: BTreeMap<u32, u16> = (0..ENDPOINTS + 4).map(|e| (e, deployment.slots)).collect();
    let mut queue: VecDeque<PlannedRequest> = VecDeque::new();
    let mut busy_seconds: BTreeMap<u64, BTreeMap<u32, f64>> = BTreeMap::new();
    let mut times = Histogram::new(3).unwrap();
    let (mut good_work, mut total, mut late) = (0.0, 0.0, 0.0);
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
                .max_by_key(|e| (slowdown(case, *e, now) < 1.5, free[e], Reverse(*e)))
            else {
                break;
            };
            queue.pop_front();
            *free.get_mut(&endpoint).unwrap() -= 1;
            let work = request.work.mul_f64(slowdown(case, endpoint, now));
            ends.push(Reverse((now + work, endpoint)));
            total += 1.0;
            if now > WARM_UP && now < RUN_TIME {
                let window = ((now - WARM_UP).as_millis() / WINDOW.as_millis())
                    .try_into()
                    .unwrap();
                let shares = busy_seconds.entry(window).or_default();
                *shares.entry(endpoint).or_default() += work.as_secs_f64();
                let time = now + work + deployment.hop * 2 - request.at;
                times.record(time.as_micros().try_into().unwrap()).unwrap();
                good_work += if time <= DEADLINE {
                    request.work.as_secs_f64()
                } else {
                    0.0
                };
            }
        }
    }
    let capacity = f64::from(ENDPOINTS * u32::from(deployment.slots));
    let _mean = MEAN_WORK;
    RunResult {
        double_runs: 0,
        false_not_run: 0,
        goodput: good_work / (RUN_TIME - WARM_UP).as_secs_f64() / capacity,
        imbalance: imbalance(&busy_seconds),
        refused: late / total,
        refused_free: 0.0,
        refused_usable: 0.0,
        shed: 0.0,
        times,
    }
}
