//! Simulation of the endpoints.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use mimosausher_dispatch::{
    Candidate,
    Event,
    Policy, //
};

use super::{
    ENTRIES,
    RUN_TIME,
    WARM_UP,
    WINDOW,
    plan::{
        serving,
        slowdown, //
    },
    sim_event::SimEvent,
    simulation::{
        Simulation,
        measured, //
    }, //
};

/// Interval between an endpoint's reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

impl<P: Policy<Key = u32>> Simulation<P> {
    pub(super) fn deliver(&mut self, now: Duration, endpoint: u32, entry: u32, request: u64) {
        let slots = usize::from(self.deployment.slots);
        let hop = self.deployment.hop;
        let server = self.endpoints.get_mut(&endpoint).unwrap();
        if server.running.len() < slots {
            self.start_request(now, endpoint, request);
        } else if server.waiting.len() < self.case.backlog {
            server.waiting.push_back(request);
        } else {
            self.shed += f64::from(u8::from(measured(now)));
            self.schedule(now + hop, SimEvent::Shed { entry, request });
        }
    }

    pub(super) fn start_request(&mut self, now: Duration, endpoint: u32, request: u64) {
        self.sequence += 1;
        let run = self.sequence;
        let work = self.requests[request as usize].work;
        let time = work.mul_f64(slowdown(&self.case, endpoint, now));
        *self.runs.entry(request).or_default() += 1;
        let server = self.endpoints.get_mut(&endpoint).unwrap();
        server.running.insert(request, run);
        if measured(now) {
            let window = ((now - WARM_UP).as_millis() / WINDOW.as_millis())
                .try_into()
                .unwrap();
            let shares = self.busy_seconds.entry(window).or_default();
            *shares.entry(endpoint).or_default() += time.as_secs_f64();
        }
        self.schedule(
            now + time,
            SimEvent::Finish {
                endpoint,
                request,
                run,
            },
        );
    }

    pub(super) fn finish(&mut self, now: Duration, endpoint: u32, request: u64, run: u64) {
        let server = self.endpoints.get_mut(&endpoint).unwrap();
        if server.running.get(&request) != Some(&run) {
            return;
        }
        server.end(now, request, self.deployment.slots);
        if let Some((entry, _)) = self.placed.get(&request).copied() {
            let answer = SimEvent::Answer { entry, request };
            self.schedule(now + self.deployment.hop, answer);
        }
        self.start_next(now, endpoint);
    }

    pub(super) fn start_next(&mut self, now: Duration, endpoint: u32) {
        let server = self.endpoints.get_mut(&endpoint).unwrap();
        if let Some(request) = server.waiting.pop_front() {
            self.start_request(now, endpoint, request);
        }
    }

    pub(super) fn report(&mut self, now: Duration) {
        let slots = self.deployment.slots;
        let stuck = self.case.stuck;
        let candidates: Vec<_> = serving(&self.case, now)
            .map(|key| Candidate {
                key,
                reported: if stuck {
                    0.0
                } else {
                    self.endpoints[&key].load(slots)
                },
                slots,
            })
            .collect();
        let membership = candidates.iter().map(|c| c.key).collect::<Vec<_>>();
        self.reports.push((now, candidates));
        let lag = self.case.lag;
        let delayed = self
            .reports
            .iter()
            .rev()
            .find(|(at, _)| *at + lag <= now)
            .or(self.reports.first())
            .map(|(_, candidates)| candidates.clone())
            .unwrap_or_default();
        let mut delayed: BTreeMap<u32, Candidate<u32>> =
            delayed.into_iter().map(|c| (c.key, c)).collect();
        let current = membership
            .into_iter()
            .map(|key| {
                delayed.remove(&key).unwrap_or(Candidate {
                    key,
                    reported: 0.0,
                    slots,
                })
            })
            .collect::<Vec<_>>();
        for entry in 0..ENTRIES {
            self.pool_event(now, entry, Event::Endpoints(current.clone()));
        }
        if now < RUN_TIME {
            self.schedule(now + REPORT_INTERVAL, SimEvent::Report);
        }
    }
}
