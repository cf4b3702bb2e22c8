//! The members that an instance knows.

use std::{
    collections::{
        BTreeMap,
        VecDeque, //
    },
    hash::{
        Hash,
        Hasher, //
    },
    net::SocketAddr,
    time::Duration, //
};

use rand::{
    SeedableRng,
    seq::{
        IndexedRandom,
        IteratorRandom,
        SliceRandom, //
    },
};
use rand_chacha::ChaCha8Rng;
use siphasher::sip::SipHasher13;

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
    rumours::Rumours,
    times::{
        CONTACTS,
        DEAD_KEPT,
        FAREWELLS,
        INDIRECT,
        JOIN,
        LEFT_KEPT,
        PERIOD,
        PROBE_TIMEOUT,
        REJOIN,
        RUMOURS,
        STALL,
        SUSPICION,
        SYNC,
        SYNC_MEMBER,
        VIEW, //
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
    generation: u64,
    leaving: bool,
    members: BTreeMap<Box<str>, Member>,
    number: u64,
    own: Instance,
    probe: Option<Probe>,
    queue: VecDeque<Box<str>>,
    random: ChaCha8Rng,
    rumours: Rumours,
    seeds: Box<[SocketAddr]>,
}

impl Members {
    /// Creates the view of an instance that knows nobody yet but the addresses of its seeds.
    pub fn new(own: Instance, seeds: &[SocketAddr], seed: u64) -> Self {
        Self {
            due: Due::default(),
            favours: BTreeMap::new(),
            generation: 0,
            leaving: false,
            members: BTreeMap::new(),
            number: 0,
            own,
            probe: None,
            queue: VecDeque::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
            rumours: Rumours::default(),
            seeds: seeds.into(),
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
        self.generation
    }

    /// The instance itself, with the incarnation that it has now.
    pub const fn own(&self) -> &Instance {
        &self.own
    }

    /// The present members, alive or suspected, in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = &Instance> {
        self.all()
            .filter(|member| member.standing.present())
            .map(|member| &member.instance)
    }

    /// All members that are remembered, in the order of their names.
    pub fn all(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// The present entries of the own data centre, the instance itself left out.
    pub fn entries(&self) -> impl Iterator<Item = &Instance> {
        self.iter()
            .filter(|instance| instance.centre == self.own.centre && instance.fabric.is_some())
    }

    /// The known entries of the other data centres that are present, by data centre.
    pub fn contacts(&self) -> BTreeMap<&str, Vec<&Instance>> {
        let mut contacts: BTreeMap<&str, Vec<&Instance>> = BTreeMap::new();
        for instance in self.iter().filter(|instance| instance.fabric.is_some()) {
            if instance.centre != self.own.centre {
                contacts.entry(&instance.centre).or_default().push(instance);
            }
        }
        contacts
    }

    /// The standing of a member; none if it is not known.
    pub fn standing(&self, name: &str) -> Option<Standing> {
        self.members.get(name).map(|member| member.standing)
    }

    fn leave(&mut self) -> Vec<Action> {
        self.leaving = true;
        let targets: Vec<_> = self.iter().map(|instance| instance.inner).collect();
        let rumour = Rumour {
            instance: self.own.clone(),
            standing: Standing::Left,
        };
        targets
            .choose_multiple(&mut self.random, FAREWELLS)
            .map(|to| Action {
                message: Message {
                    body: Body::Tell,
                    from: self.own.clone(),
                    rumours: vec![rumour.clone()],
                },
                to: *to,
            })
            .collect()
    }

    fn received(&mut self, now: Duration, from: SocketAddr, message: Message) -> Vec<Action> {
        let sender = message.from.name.clone();
        if sender == self.own.name && message.from.inner == self.own.inner {
            return Vec::new();
        }
        self.learn(now, message.from, Standing::Alive);
        for rumour in message.rumours {
            self.learn(now, rumour.instance, rumour.standing);
        }
        if self.leaving {
            return Vec::new();
        }
        match message.body {
            Body::Ack { probe } => self.acknowledged(probe),
            Body::Join => self.view(from),
            Body::Ping { probe } => vec![self.answer(from, &sender, probe)],
            Body::Request { probe, target } => self.favour(now, from, probe, target),
            Body::Tell => Vec::new(),
        }
    }

    /// Answers a probe; a sender that others do not take for alive learns of it.
    fn answer(&mut self, to: SocketAddr, sender: &str, probe: u64) -> Action {
        let mut action = self.message(to, Body::Ack { probe });
        let known = self.members.get(sender);
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
        vec![self.message(
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
        vec![self.message(target, Body::Ping { probe })]
    }

    /// The whole view in messages that each fit a packet.
    fn view(&mut self, to: SocketAddr) -> Vec<Action> {
        let rumours: Vec<_> = self.members.values().map(rumour).collect();
        let mut messages: Vec<_> = rumours
            .chunks(VIEW)
            .map(|chunk| Message {
                body: Body::Tell,
                from: self.own.clone(),
                rumours: chunk.to_vec(),
            })
            .collect();
        if messages.is_empty() {
            messages.push(self.message(to, Body::Tell).message);
        }
        messages
            .into_iter()
            .map(|message| Action { message, to })
            .collect()
    }

    fn tick(&mut self, now: Duration) -> Vec<Action> {
        if self.leaving {
            return Vec::new();
        }
        let gap = self
            .due
            .tick
            .map_or(Duration::ZERO, |tick| now.saturating_sub(tick));
        self.due.tick = Some(now);
        if gap > STALL {
            self.resume(now);
        }
        self.expire(now);
        let mut actions = self.late_probe(now);
        actions.extend(self.next_probe(now));
        actions.extend(self.join(now));
        actions.extend(self.sync(now));
        actions
    }

    /// After a pause of its own an instance has no ground to suspect anyone.
    fn resume(&mut self, now: Duration) {
        self.probe = None;
        for member in self.members.values_mut() {
            if member.standing == Standing::Suspected {
                member.since = now;
            }
        }
    }

    fn expire(&mut self, now: Duration) {
        self.favours
            .retain(|_, favour| now.saturating_sub(favour.sent) < PERIOD);
        let mut dead = Vec::new();
        self.members.retain(|name, member| {
            let age = now.saturating_sub(member.since);
            match member.standing {
                Standing::Alive => true,
                Standing::Suspected => {
                    if age >= SUSPICION {
                        dead.push(name.clone());
                    }
                    true
                }
                Standing::Dead => age < DEAD_KEPT,
                Standing::Left => age < LEFT_KEPT,
            }
        });
        for name in dead {
            self.judge(now, &name, Standing::Dead);
        }
    }

    fn judge(&mut self, now: Duration, name: &str, standing: Standing) {
        if let Some(member) = self.members.get_mut(name) {
            member.standing = standing;
            member.since = now;
            self.generation += 1;
            self.rumours.add(name);
        }
    }

    /// Passes a late probe on to others, and suspects the member at the end of the period.
    fn late_probe(&mut self, now: Duration) -> Vec<Action> {
        let Some(probe) = self.probe.clone() else {
            return Vec::new();
        };
        let age = now.saturating_sub(probe.sent);
        let target = self
            .members
            .get(&probe.name)
            .filter(|member| member.instance.incarnation == probe.incarnation)
            .map(|member| (member.instance.inner, member.standing));
        match target {
            None => self.probe = None,
            Some((_, standing)) if age >= PERIOD => {
                self.probe = None;
                if standing == Standing::Alive {
                    self.judge(now, &probe.name, Standing::Suspected);
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
        let mut others: Vec<_> = self
            .all()
            .filter(|member| member.standing == Standing::Alive)
            .map(|member| member.instance.inner)
            .filter(|address| *address != target)
            .collect();
        others.shuffle(&mut self.random);
        let body = Body::Request {
            probe: probe.number,
            target,
        };
        others
            .into_iter()
            .take(INDIRECT)
            .map(|to| self.message(to, body))
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
        let mut action = self.message(to, Body::Ping { probe: number });
        let known = self.members.get(&name);
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
            let member = self.members.get(&name);
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
        let dead = self
            .all()
            .filter(|member| member.standing == Standing::Dead)
            .map(|member| member.instance.inner);
        let absent: Vec<_> = self
            .seeds
            .iter()
            .copied()
            .chain(dead)
            .filter(|address| *address != self.own.inner && !present.contains(address))
            .collect();
        let to = *absent.choose(&mut self.random)?;
        Some(self.message(to, Body::Join))
    }

    /// Asks a present member for its whole view, less often the larger the own view is.
    fn sync(&mut self, now: Duration) -> Option<Action> {
        if now < self.due.sync {
            return None;
        }
        let count = u32::try_from(self.members.len()).unwrap_or(u32::MAX);
        let to = self
            .members
            .values()
            .filter(|member| member.standing == Standing::Alive)
            .map(|member| member.instance.inner)
            .choose(&mut self.random)?;
        self.due.sync = now + SYNC.max(SYNC_MEMBER.saturating_mul(count));
        Some(self.message(to, Body::Join))
    }

    /// Takes in what is said of an instance, unless later news of it are known.
    fn learn(&mut self, now: Duration, instance: Instance, standing: Standing) {
        if instance.name == self.own.name {
            return self.refute(&instance, standing);
        }
        let known = self.members.get(&instance.name);
        let order = (instance.incarnation, standing);
        let later = known.is_none_or(|known| order > (known.instance.incarnation, known.standing));
        if !later || known.is_none() && !self.wanted(&instance) {
            return;
        }
        let name = instance.name.clone();
        let member = Member {
            instance,
            since: now,
            standing,
        };
        self.members.insert(name.clone(), member);
        self.generation += 1;
        self.rumours.add(&name);
    }

    /// Answers a false rumour of the instance itself with a higher incarnation.
    fn refute(&mut self, instance: &Instance, standing: Standing) {
        let order = (instance.incarnation, standing);
        if !self.leaving && order > (self.own.incarnation, Standing::Alive) {
            self.own.incarnation = instance.incarnation + 1;
        }
    }

    /// Whether an unknown instance belongs into the view.
    fn wanted(&mut self, instance: &Instance) -> bool {
        if instance.store || instance.centre == self.own.centre {
            return true;
        }
        let rank = |name: &str| {
            let mut hasher = SipHasher13::new();
            (&self.own.name, name).hash(&mut hasher);
            hasher.finish()
        };
        let own = rank(&instance.name);
        let contacts: Vec<_> = self
            .iter()
            .filter(|known| !known.store && known.centre == instance.centre)
            .map(|known| (rank(&known.name), known.name.clone()))
            .collect();
        match contacts.iter().max() {
            Some(_) if contacts.len() < CONTACTS => true,
            Some((worst, _)) if own > *worst => false,
            Some((_, name)) => {
                let name = name.clone();
                self.members.remove(&name);
                true
            }
            None => true,
        }
    }

    fn message(&mut self, to: SocketAddr, body: Body) -> Action {
        let names = self.rumours.take(RUMOURS, self.members.len());
        let rumours = names
            .iter()
            .filter_map(|name| self.members.get(name))
            .map(rumour)
            .collect();
        Action {
            message: Message {
                body,
                from: self.own.clone(),
                rumours,
            },
            to,
        }
    }

    fn next_number(&mut self) -> u64 {
        self.number += 1;
        self.number
    }
}

fn rumour(member: &Member) -> Rumour {
    Rumour {
        instance: member.instance.clone(),
        standing: member.standing,
    }
}
