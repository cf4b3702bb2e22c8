//! What the endpoints of a run do.

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
    ENTRIES, LENGTH, WARM, WINDOW,
    happening::Happening,
    plan::{
        factor,
        serving, //
    },
    world::{
        World,
        measured, //
    },
};

/// Time between two reports of an endpoint.
const REPORT: Duration = Duration::from_millis(500);

impl<P: Policy<Key = u32>> World<P> {
    pub(super) fn reach(&mut self, now: Duration, endpoint: u32, entry: u32, request: u64) {
        let slots = usize::from(self.deployment.slots);
        let hop = self.deployment.hop;
        let server = self.endpoints.get_mut(&endpoint).unwrap();
        if server.running.len() < slots {
            self.start(now, endpoint, request);
        } else if server.waiting.len() < self.case.backlog {
            server.waiting.push_back(request);
        } else {
            self.shed += f64::from(u8::from(measured(now)));
            self.at(now + hop, Happening::Shed { entry, request });
        }
    }

    pub(super) fn start(&mut self, now: Duration, endpoint: u32, request: u64) {
        self.sequence += 1;
        let run = self.sequence;
        let work = self.requests[request as usize].work;
        let time = work.mul_f64(factor(&self.case, endpoint, now));
        *self.runs.entry(request).or_default() += 1;
        let server = self.endpoints.get_mut(&endpoint).unwrap();
        server.running.insert(request, run);
        if measured(now) {
            let window = ((now - WARM).as_millis() / WINDOW.as_millis())
                .try_into()
                .unwrap();
            let shares = self.busy.entry(window).or_default();
            *shares.entry(endpoint).or_default() += time.as_secs_f64();
        }
        self.at(
            now + time,
            Happening::Finish {
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
            let answer = Happening::Answer { entry, request };
            self.at(now + self.deployment.hop, answer);
        }
        self.next(now, endpoint);
    }

    pub(super) fn next(&mut self, now: Duration, endpoint: u32) {
        let server = self.endpoints.get_mut(&endpoint).unwrap();
        if let Some(request) = server.waiting.pop_front() {
            self.start(now, endpoint, request);
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
        let known = self
            .reports
            .iter()
            .rev()
            .find(|(at, _)| *at + lag <= now)
            .or(self.reports.first())
            .map(|(_, candidates)| candidates.clone())
            .unwrap_or_default();
        let mut known: BTreeMap<u32, Candidate<u32>> =
            known.into_iter().map(|c| (c.key, c)).collect();
        let current = membership
            .into_iter()
            .map(|key| {
                known.remove(&key).unwrap_or(Candidate {
                    key,
                    reported: 0.0,
                    slots,
                })
            })
            .collect::<Vec<_>>();
        for entry in 0..ENTRIES {
            self.give(now, entry, Event::Endpoints(current.clone()));
        }
        if now < LENGTH {
            self.at(now + REPORT, Happening::Report);
        }
    }
}
