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
    seq::IndexedRandom, //
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
    probe::{
        Favour,
        Probe, //
    },
    times::{
        FAREWELLS,
        GREETINGS,
        JOIN,
        PERIOD,
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

/// Times of the next steps.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Due {
    join: Duration,
    pub(crate) probe: Duration,
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
    pub(crate) due: Due,
    pub(crate) favours: BTreeMap<u64, Favour>,
    pub(crate) greetings: usize,
    pub(crate) number: u64,
    pub(crate) probe: Option<Probe>,
    pub(crate) queue: VecDeque<Box<str>>,
    pub(crate) random: ChaCha8Rng,
    pub(crate) seeds: Box<[SocketAddr]>,
    pub(crate) view: View,
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
}
