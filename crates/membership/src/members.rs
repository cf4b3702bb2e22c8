//! The members that an instance knows.

use std::{
    collections::{
        BTreeMap,
        VecDeque, //
    },
    net::SocketAddr,
    time::Duration, //
};

use rand::{
    SeedableRng,
    seq::{
        IndexedRandom,
        SliceRandom, //
    },
};
use rand_chacha::ChaCha8Rng;

use crate::{
    event::{
        Action,
        Event, //
    },
    instance::Instance,
    member::{
        Member,
        Standing, //
    },
    message::{
        Body,
        Message,
        Rumour, //
    },
    times::{
        FAREWELLS,
        GREETINGS,
        INDIRECT,
        JOIN,
        PERIOD,
        PROBE_TIMEOUT,
        REJOIN,
        STALL,
        SYNC,
        SYNC_MEMBER,
        VIEW, //
    },
    view::{
        View,
        rumour, //
    },
};

/// A probe whose answer is awaited.
#[derive(Clone, Debug)]
struct Probe {
    incarnation: u64,
    indirect: bool,
    name: Box<str>,
    number: u64,
    sent: Duration,
}

/// A probe that is made for another instance.
#[derive(Clone, Copy, Debug)]
struct Favour {
    asker: SocketAddr,
    number: u64,
    sent: Duration,
}

/// Times of the next steps.
#[derive(Clone, Copy, Debug, Default)]
struct Due {
    join: Duration,
    probe: Duration,
    sync: Duration,
    tick: Option<Duration>,
}

/// The members that an instance knows, itself left out: all of its own data centre, all stores,
/// and a few entries of each other data centre.
///
/// Members are probed one a period in shuffled turns, directly and then through others, and
/// suspected before they are taken for dead (Das, Gupta and Motivala, "SWIM", 2002). An instance
/// that was paused itself suspects nobody for it (Dadgar, Phillips and Currey, "Lifeguard", 2018).
#[derive(Clone, Debug)]
pub struct Members {
    due: Due,
    favours: BTreeMap<u64, Favour>,
    greetings: usize,
    number: u64,
    probe: Option<Probe>,
    queue: VecDeque<Box<str>>,
    random: ChaCha8Rng,
    seeds: Box<[SocketAddr]>,
    view: View,
}

impl Members {
    /// Creates the view of an instance that knows nobody yet but the addresses of its seeds.
    pub fn new(own: Instance, seeds: &[SocketAddr], seed: u64) -> Self {
        Self {
            due: Due::default(),
            favours: BTreeMap::new(),
            greetings: GREETINGS,
            number: 0,
            probe: None,
            queue: VecDeque::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
            seeds: seeds.into(),
            view: View::new(own),
        }
    }

    /// Takes in an event and says which messages are to be sent.
    pub fn handle(&mut self, now: Duration, event: Event) -> Vec<Action> {
        match event {
            Event::Leave => self.leave(),
            Event::Received { from, message } => self.received(now, from, *message),
            Event::Tick => self.tick(now),
        }
    }

    /// Grows with each change of the members or of their standing.
    pub const fn generation(&self) -> u64 {
        self.view.generation()
    }

    /// The instance itself, with the incarnation that it has now.
    pub const fn own(&self) -> &Instance {
        self.view.own()
    }

    /// The present members, alive or suspected, in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = &Instance> {
        self.view.iter()
    }

    /// All members that are remembered, in the order of their names.
    pub fn all(&self) -> impl Iterator<Item = &Member> {
        self.view.all()
    }

    /// The present entries of the own data centre, the instance itself left out.
    pub fn entries(&self) -> impl Iterator<Item = &Instance> {
        self.view.entries()
    }

    /// The known entries of the other data centres that are present, by data centre.
    pub fn contacts(&self) -> BTreeMap<&str, Vec<&Instance>> {
        self.view.contacts()
    }

    /// The standing of a member; none if it is not known.
    pub fn standing(&self, name: &str) -> Option<Standing> {
        self.view.get(name).map(|member| member.standing)
    }

    fn leave(&mut self) -> Vec<Action> {
        self.view.leaving = true;
        let targets: Vec<_> = self.iter().map(|instance| instance.inner).collect();
        let rumour = Rumour {
            instance: self.view.own().clone(),
            standing: Standing::Left,
        };
        targets
            .choose_multiple(&mut self.random, FAREWELLS)
            .map(|to| Action {
                message: Message {
                    body: Body::Tell,
                    from: self.view.own().clone(),
                    rumours: vec![rumour.clone()],
                },
                to: *to,
            })
            .collect()
    }

    fn received(&mut self, now: Duration, from: SocketAddr, message: Message) -> Vec<Action> {
        let sender = message.from.name.clone();
        if sender == self.view.own().name && message.from.inner == self.view.own().inner {
            return Vec::new();
        }
        self.view.learn(now, message.from, Standing::Alive);
        let mut actions = Vec::new();
        for rumour in message.rumours {
            let (to, standing) = (rumour.instance.inner, rumour.standing);
            let new = self.view.learn(now, rumour.instance, standing);
            if new && standing == Standing::Alive && self.greetings > 0 {
                self.greetings -= 1;
                actions.push(self.view.message(to, Body::Tell));
            }
        }
        if self.view.leaving {
            return Vec::new();
        }
        actions.extend(match message.body {
            Body::Ack { probe } => self.acknowledged(probe),
            Body::Join => self.whole_view(from),
            Body::Ping { probe } => vec![self.answer(from, &sender, probe)],
            Body::Request { probe, target } => self.favour(now, from, probe, target),
            Body::Tell => Vec::new(),
        });
        actions
    }

    /// Answers a probe; a sender that others do not take for alive learns of it.
    fn answer(&mut self, to: SocketAddr, sender: &str, probe: u64) -> Action {
        let mut action = self.view.message(to, Body::Ack { probe });
        let known = self.view.get(sender);
        if let Some(member) = known.filter(|member| member.standing != Standing::Alive) {
            action.message.rumours.push(rumour(member));
        }
        action
    }

    fn acknowledged(&mut self, number: u64) -> Vec<Action> {
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

    fn favour(
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

    /// The whole view in messages that each fit a packet.
    fn whole_view(&mut self, to: SocketAddr) -> Vec<Action> {
        let rumours: Vec<_> = self.view.all().map(rumour).collect();
        let mut messages: Vec<_> = rumours
            .chunks(VIEW)
            .map(|chunk| Message {
                body: Body::Tell,
                from: self.view.own().clone(),
                rumours: chunk.to_vec(),
            })
            .collect();
        if messages.is_empty() {
            messages.push(self.view.message(to, Body::Tell).message);
        }
        messages
            .into_iter()
            .map(|message| Action { message, to })
            .collect()
    }

    fn tick(&mut self, now: Duration) -> Vec<Action> {
        if self.view.leaving {
            return Vec::new();
        }
        let gap = self
            .due
            .tick
            .map_or(Duration::ZERO, |tick| now.saturating_sub(tick));
        self.due.tick = Some(now);
        if gap > STALL {
            // After a pause of its own an instance has no ground to suspect anyone.
            self.probe = None;
            self.view.resume(now);
        }
        self.favours
            .retain(|_, favour| now.saturating_sub(favour.sent) < PERIOD);
        self.view.expire(now);
        let mut actions = self.late_probe(now);
        actions.extend(self.next_probe(now));
        actions.extend(self.join(now));
        actions.extend(self.sync(now));
        actions
    }

    /// Passes a late probe on to others, and suspects the member at the end of the period.
    fn late_probe(&mut self, now: Duration) -> Vec<Action> {
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

    fn next_probe(&mut self, now: Duration) -> Option<Action> {
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

    /// Reaches out to a seed while nobody is known, and now and then to one that seems dead.
    fn join(&mut self, now: Duration) -> Option<Action> {
        if now < self.due.join {
            return None;
        }
        let alone = self.iter().next().is_none();
        self.due.join = now + if alone { JOIN } else { REJOIN };
        let present: Vec<_> = self.iter().map(|instance| instance.inner).collect();
        let dead = self.view.addresses(Standing::Dead);
        let absent: Vec<_> = self
            .seeds
            .iter()
            .copied()
            .chain(dead)
            .filter(|address| *address != self.view.own().inner && !present.contains(address))
            .collect();
        let to = *absent.choose(&mut self.random)?;
        Some(self.view.message(to, Body::Join))
    }

    /// Asks a present member for its whole view, less often the larger the own view is.
    fn sync(&mut self, now: Duration) -> Option<Action> {
        if now < self.due.sync {
            return None;
        }
        let count = u32::try_from(self.view.len()).unwrap_or(u32::MAX);
        let alive = self.view.addresses(Standing::Alive);
        let to = *alive.choose(&mut self.random)?;
        self.due.sync = now + SYNC.max(SYNC_MEMBER.saturating_mul(count));
        Some(self.view.message(to, Body::Join))
    }

    fn next_number(&mut self) -> u64 {
        self.number += 1;
        self.number
    }
}
