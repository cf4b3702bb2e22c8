//! Direct and indirect probes of members.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use rand::seq::SliceRandom as _;

use crate::{
    event::Action,
    member::Standing,
    members::Members,
    message::Body,
    probe::{
        ForwardedProbe,
        Probe, //
    },
    times::{
        INDIRECT_PROBES,
        PROBE_INTERVAL,
        PROBE_TIMEOUT, //
    },
    view::rumour, //
};

impl Members {
    /// Acknowledges a probe; if the sender is not known as alive, adds its standing so that it can
    /// refute it.
    pub(crate) fn acknowledge(&mut self, to: SocketAddr, sender: &str, probe: u64) -> Action {
        let mut action = self.view.message(to, Body::Ack { probe });
        let known = self.view.get(sender);
        if let Some(member) = known.filter(|member| member.standing != Standing::Alive) {
            action.message.rumours.push(rumour(member));
        }
        action
    }

    pub(crate) fn handle_ack(&mut self, number: u64) -> Vec<Action> {
        let own = self
            .probe
            .as_ref()
            .is_some_and(|probe| probe.number == number);
        if own {
            self.probe = None;
            return Vec::new();
        }
        let Some(forwarded) = self.forwarded.remove(&number) else {
            return Vec::new();
        };
        vec![self.view.message(
            forwarded.from,
            Body::Ack {
                probe: forwarded.number,
            },
        )]
    }

    pub(crate) fn forward_probe(
        &mut self,
        now: Duration,
        from: SocketAddr,
        number: u64,
        target: SocketAddr,
    ) -> Vec<Action> {
        let probe = self.next_number();
        let forwarded = ForwardedProbe {
            from,
            number,
            sent: now,
        };
        self.forwarded.insert(probe, forwarded);
        vec![self.view.message(target, Body::Ping { probe })]
    }

    /// Requests indirect probes after [`PROBE_TIMEOUT`], and suspects the member after
    /// [`PROBE_INTERVAL`].
    pub(crate) fn check_probe(&mut self, now: Duration) -> Vec<Action> {
        let Some(probe) = self.probe.clone() else {
            return Vec::new();
        };
        let age = now.saturating_sub(probe.sent);
        let target = self
            .view
            .get(&probe.name)
            .filter(|member| member.instance.incarnation == probe.incarnation)
            .map(|member| (member.instance.inner, member.standing));
        match target {
            None => self.probe = None,
            Some((_, standing)) if age >= PROBE_INTERVAL => {
                self.probe = None;
                if standing == Standing::Alive {
                    self.view
                        .set_standing(now, &probe.name, Standing::Suspected);
                }
            }
            Some((target, _)) if age >= PROBE_TIMEOUT && !probe.indirect => {
                return self.request_probes(&probe, target);
            }
            Some(_) => {}
        }
        Vec::new()
    }

    fn request_probes(&mut self, probe: &Probe, target: SocketAddr) -> Vec<Action> {
        if let Some(probe) = &mut self.probe {
            probe.indirect = true;
        }
        let mut others = self.view.addresses(Standing::Alive);
        others.retain(|address| *address != target);
        others.shuffle(&mut self.random);
        let body = Body::Request {
            probe: probe.number,
            target,
        };
        others
            .into_iter()
            .take(INDIRECT_PROBES)
            .map(|to| self.view.message(to, body))
            .collect()
    }

    pub(crate) fn next_probe(&mut self, now: Duration) -> Option<Action> {
        if now < self.due.probe || self.probe.is_some() {
            return None;
        }
        self.due.probe = now + PROBE_INTERVAL;
        let (name, to, incarnation) = self.next_target()?;
        let number = self.next_number();
        self.probe = Some(Probe {
            incarnation,
            indirect: false,
            name: name.clone(),
            number,
            sent: now,
        });
        let mut action = self.view.message(to, Body::Ping { probe: number });
        let known = self.view.get(&name);
        if let Some(member) = known.filter(|member| member.standing != Standing::Alive) {
            // Lets the member refute the suspicion.
            action.message.rumours.push(rumour(member));
        }
        Some(action)
    }

    /// The next present member; the order is reshuffled once all have been probed.
    fn next_target(&mut self) -> Option<(Box<str>, SocketAddr, u64)> {
        if self.probe_queue.is_empty() {
            let mut names: Vec<_> = self.iter().map(|instance| instance.name.clone()).collect();
            names.shuffle(&mut self.random);
            self.probe_queue = names.into();
        }
        while let Some(name) = self.probe_queue.pop_front() {
            let member = self.view.get(&name);
            if let Some(member) = member.filter(|member| member.standing.present()) {
                let instance = &member.instance;
                return Some((name, instance.inner, instance.incarnation));
            }
        }
        None
    }

    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }
}
