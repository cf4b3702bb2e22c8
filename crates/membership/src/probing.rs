//! Probes: the own ones in turn, and those that are made for others.

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
        Favour,
        Probe, //
    },
    times::{
        INDIRECT,
        PERIOD,
        PROBE_TIMEOUT, //
    },
    view::rumour, //
};

impl Members {
    /// Answers a probe; a sender that others do not take for alive learns of it.
    pub(crate) fn answer(&mut self, to: SocketAddr, sender: &str, probe: u64) -> Action {
        let mut action = self.view.message(to, Body::Ack { probe });
        let known = self.view.get(sender);
        if let Some(member) = known.filter(|member| member.standing != Standing::Alive) {
            action.message.rumours.push(rumour(member));
        }
        action
    }

    pub(crate) fn acknowledged(&mut self, number: u64) -> Vec<Action> {
        let own = self
            .probe
            .as_ref()
            .is_some_and(|probe| probe.number == number);
        if own {
            self.probe = None;
            return Vec::new();
        }
        let Some(favour) = self.favours.remove(&number) else {
            return Vec::new();
        };
        vec![self.view.message(
            favour.asker,
            Body::Ack {
                probe: favour.number,
            },
        )]
    }

    pub(crate) fn favour(
        &mut self,
        now: Duration,
        asker: SocketAddr,
        number: u64,
        target: SocketAddr,
    ) -> Vec<Action> {
        let probe = self.next_number();
        let favour = Favour {
            asker,
            number,
            sent: now,
        };
        self.favours.insert(probe, favour);
        vec![self.view.message(target, Body::Ping { probe })]
    }

    /// Passes a late probe on to others, and suspects the member at the end of the period.
    pub(crate) fn late_probe(&mut self, now: Duration) -> Vec<Action> {
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
            Some((_, standing)) if age >= PERIOD => {
                self.probe = None;
                if standing == Standing::Alive {
                    self.view.judge(now, &probe.name, Standing::Suspected);
                }
            }
            Some((target, _)) if age >= PROBE_TIMEOUT && !probe.indirect => {
                return self.ask_others(&probe, target);
            }
            Some(_) => {}
        }
        Vec::new()
    }

    fn ask_others(&mut self, probe: &Probe, target: SocketAddr) -> Vec<Action> {
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
            .take(INDIRECT)
            .map(|to| self.view.message(to, body))
            .collect()
    }

    pub(crate) fn next_probe(&mut self, now: Duration) -> Option<Action> {
        if now < self.due.probe || self.probe.is_some() {
            return None;
        }
        self.due.probe = now + PERIOD;
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
            // So that it can refute the suspicion.
            action.message.rumours.push(rumour(member));
        }
        Some(action)
    }

    /// The next present member; each has its turn once before the order is drawn anew.
    fn next_target(&mut self) -> Option<(Box<str>, SocketAddr, u64)> {
        if self.queue.is_empty() {
            let mut names: Vec<_> = self.iter().map(|instance| instance.name.clone()).collect();
            names.shuffle(&mut self.random);
            self.queue = names.into();
        }
        while let Some(name) = self.queue.pop_front() {
            let member = self.view.get(&name);
            if let Some(member) = member.filter(|member| member.standing.present()) {
                let instance = &member.instance;
                return Some((name, instance.inner, instance.incarnation));
            }
        }
        None
    }

    fn next_number(&mut self) -> u64 {
        self.number += 1;
        self.number
    }
}
