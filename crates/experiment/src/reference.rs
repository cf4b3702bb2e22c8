//! What one queue for all endpoints of a service would achieve.

use std::{
    cmp::Reverse,
    collections::{
        BTreeSet,
        BinaryHeap, //
    },
    time::Duration,
};

use crate::{
    outcome::Outcome,
    plan::{
        Arrival,
        Plan, //
    },
    scenario::{
        Scenario,
        millis, //
    },
};

/// Serves a plan from one queue for each service, by one who knows the work of each request.
///
/// A free slot takes the request that earns most for its work of those that can still be in time,
/// and a late one only if there is none. Nothing is lost to flows, to loads that are out of date or
/// to refusals. It is a reference that no balancer of flows can reach, not a proven bound: choosing
/// otherwise now can be better later.
pub fn central_queue(scenario: &Scenario, plan: &Plan) -> Outcome {
    let mut outcome = Outcome::new(&scenario.kinds);
    for service in &scenario.services {
        let endpoints: usize = service.endpoints.iter().sum();
        let speeds = (0..endpoints).map(|number| service.speed(number));
        let slots: Vec<f64> = speeds
            .flat_map(|speed| std::iter::repeat_n(speed, service.slots.into()))
            .collect();
        let own = |arrival: &&Arrival| {
            let kind = scenario.kinds.get(arrival.kind);
            kind.is_some_and(|kind| kind.service == service.name)
        };
        let arrivals: Vec<_> = plan.arrivals.iter().filter(own).copied().collect();
        serve(scenario, &arrivals, &slots, &mut outcome);
    }
    outcome
}

fn serve(scenario: &Scenario, arrivals: &[Arrival], slots: &[f64], outcome: &mut Outcome) {
    let way = scenario.client_way() * 2 + scenario.way(0, 0);
    let mut free: BinaryHeap<_> = (0..slots.len())
        .map(|slot| Reverse((Duration::ZERO, slot)))
        .collect();
    let mut pending: Vec<Arrival> = Vec::new();
    let mut coming = arrivals.iter().peekable();
    while let Some(Reverse((mut now, slot))) = free.pop() {
        if pending.is_empty() {
            match coming.peek() {
                Some(next) => now = now.max(next.at),
                None => return,
            }
        }
        while let Some(next) = coming.next_if(|next| next.at <= now) {
            if let Some(kind) = scenario.kinds.get(next.kind) {
                outcome.record_owed(next.kind, kind);
            }
            pending.push(*next);
        }
        let expired: BTreeSet<usize> = (0..pending.len())
            .filter(|number| {
                let arrival = pending.get(*number);
                arrival.is_some_and(|arrival| now + way > deadline(scenario, arrival))
            })
            .collect();
        for number in expired.into_iter().rev() {
            let arrival = pending.swap_remove(number);
            outcome.record_failure(arrival.kind);
        }
        let down = scenario.is_down(now);
        let chosen = (0..pending.len()).max_by(|left, right| {
            let value = |number: &usize| {
                pending
                    .get(*number)
                    .map_or(0.0, |arrival| value(scenario, arrival, now + way))
            };
            value(left).total_cmp(&value(right))
        });
        match chosen {
            Some(number) if !down => {
                let arrival = pending.swap_remove(number);
                let speed = slots.get(slot).copied().unwrap_or(1.0);
                let end = now + arrival.work.div_f64(speed);
                if let Some(kind) = scenario.kinds.get(arrival.kind) {
                    let time = (end + way).saturating_sub(arrival.at);
                    outcome.record_answer(arrival.kind, kind, time);
                }
                free.push(Reverse((end, slot)));
            }
            Some(_) => free.push(Reverse((now + Duration::from_millis(10), slot))),
            None => free.push(Reverse((now, slot))),
        }
    }
}

fn deadline(scenario: &Scenario, arrival: &Arrival) -> Duration {
    let kind = scenario.kinds.get(arrival.kind);
    arrival.at + kind.map_or(Duration::ZERO, |kind| millis(kind.deadline_ms))
}

/// What a request earns for its work if it starts now.
fn value(scenario: &Scenario, arrival: &Arrival, now: Duration) -> f64 {
    let Some(kind) = scenario.kinds.get(arrival.kind) else {
        return 0.0;
    };
    let in_time = now + arrival.work <= arrival.at + millis(kind.aim_ms);
    let worth = match in_time {
        true => kind.worth,
        // All that can be in time go first.
        false => kind.late_worth * 1e-3,
    };
    worth / arrival.work.as_secs_f64().max(1e-6)
}
