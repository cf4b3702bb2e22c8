//! State machine of the membership protocol.

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
        ForwardedProbe,
        Probe, //
    },
    times::{
        JOIN_FANOUT,
        JOIN_INTERVAL,
        LEAVE_FANOUT,
        PAUSE_THRESHOLD,
        PROBE_INTERVAL,
        REJOIN_INTERVAL,
        SYNC_INTERVAL,
        SYNC_PER_MEMBER,
        VIEW_CHUNK, //
    },
    view::{
        View,
        rumour, //
    },
};

/// When each periodic step is next due, and when the last tick ran.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Due {
    join: Duration,
    last_tick: Option<Duration>,
    pub(crate) probe: Duration,
    sync: Duration,
}

/// The members known to an instance, excluding itself: all of its own data centre, all stores,
/// and a few entries of each other data centre.
///
/// One member is probed in each interval, in shuffled order, first directly and then through
/// others; it is suspected before it is declared dead (Das, Gupta and Motivala, "SWIM", 2002).
/// An instance whose process was paused suspects no member because of the pause (Dadgar, Phillips
/// and Currey, "Lifeguard", 2018).
#[derive(Clone, Debug)]
pub struct Members {
    pub(crate) due: Due,
    pub(crate) forwarded: BTreeMap<u64, ForwardedProbe>,
    pub(crate) joins_left: usize,
    pub(crate) last_number: u64,
    pub(crate) probe: Option<Probe>,
    pub(crate) probe_queue: VecDeque<Box<str>>,
    pub(crate) random: ChaCha8Rng,
    pub(crate) seeds: Box<[SocketAddr]>,
    pub(crate) view: View,
}

impl Members {
    /// Creates the state of an instance that knows only the addresses of its seeds.
    pub fn new(own: Instance, seeds: &[SocketAddr], rng_seed: u64) -> Self {
        Self {
            due: Due::default(),
            forwarded: BTreeMap::new(),
            joins_left: JOIN_FANOUT,
            last_number: 0,
            probe: None,
            probe_queue: VecDeque::new(),
            random: ChaCha8Rng::seed_from_u64(rng_seed),
            seeds: seeds.into(),
            view: View::new(own),
        }
    }

    /// Handles an event; returns the messages to send.
    pub fn handle(&mut self, now: Duration, event: Event) -> Vec<Action> {
        match event {
            Event::Leave => self.leave(),
            Event::Received { from, message } => self.handle_message(now, from, *message),
            Event::Tick => self.tick(now),
        }
    }

    /// Increases with each change of the members or of their standing.
    pub const fn generation(&self) -> u64 {
        self.view.generation()
    }

    /// This instance, with its current incarnation and refutation.
    pub const fn own(&self) -> &Instance {
        self.view.own()
    }

    /// The present members (alive or suspected), ordered by name.
    pub fn iter(&self) -> impl Iterator<Item = &Instance> {
        self.view.iter()
    }

    /// All members in the view, including dead and departed ones, ordered by name.
    pub fn all(&self) -> impl Iterator<Item = &Member> {
        self.view.all()
    }

    /// The present entries of this instance's data centre, excluding itself.
    pub fn entries(&self) -> impl Iterator<Item = &Instance> {
        self.view.entries()
    }

    /// The present entries of other data centres, by data centre.
    pub fn contacts(&self) -> BTreeMap<&str, Vec<&Instance>> {
        self.view.contacts()
    }

    /// The standing of a member; `None` if it is not in the view.
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
            .choose_multiple(&mut self.random, LEAVE_FANOUT)
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

    fn handle_message(&mut self, now: Duration, from: SocketAddr, message: Message) -> Vec<Action> {
        let sender = message.from.name.clone();
        if sender == self.view.own().name && message.from.inner == self.view.own().inner {
            return Vec::new();
        }
        self.view.merge(now, message.from, Standing::Alive);
        let mut actions = Vec::new();
        for rumour in message.rumours {
            let (to, standing) = (rumour.instance.inner, rumour.standing);
            let new = self.view.merge(now, rumour.instance, standing);
            if new && standing == Standing::Alive && self.joins_left > 0 {
                self.joins_left -= 1;
                actions.push(self.view.message(to, Body::Tell));
            }
        }
        if self.view.leaving {
            return Vec::new();
        }
        actions.extend(match message.body {
            Body::Ack { probe } => self.handle_ack(probe),
            Body::Join => self.full_view(from),
            Body::Ping { probe } => vec![self.acknowledge(from, &sender, probe)],
            Body::Request { probe, target } => self.forward_probe(now, from, probe, target),
            Body::Tell => Vec::new(),
        });
        actions
    }

    /// The full view, split into messages that each fit a packet.
    fn full_view(&mut self, to: SocketAddr) -> Vec<Action> {
        let rumours: Vec<_> = self.view.all().map(rumour).collect();
        let mut messages: Vec<_> = rumours
            .chunks(VIEW_CHUNK)
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
            .last_tick
            .map_or(Duration::ZERO, |last| now.saturating_sub(last));
        self.due.last_tick = Some(now);
        if gap > PAUSE_THRESHOLD {
            // Missing acknowledgements may be due to this instance's own pause.
            self.probe = None;
            self.view.restart_suspicions(now);
        }
        self.forwarded
            .retain(|_, forwarded| now.saturating_sub(forwarded.sent) < PROBE_INTERVAL);
        self.view.expire(now);
        let mut actions = self.check_probe(now);
        actions.extend(self.next_probe(now));
        actions.extend(self.join(now));
        actions.extend(self.sync(now));
        actions
    }

    /// Requests the view of a random absent seed or dead member, more often while no member is
    /// present.
    fn join(&mut self, now: Duration) -> Option<Action> {
        if now < self.due.join {
            return None;
        }
        let alone = self.iter().next().is_none();
        self.due.join = now
            + if alone {
                JOIN_INTERVAL
            } else {
                REJOIN_INTERVAL
            };
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

    /// Requests the view of a random alive member, less often the larger this instance's view is.
    fn sync(&mut self, now: Duration) -> Option<Action> {
        if now < self.due.sync {
            return None;
        }
        let count = u32::try_from(self.view.len()).unwrap_or(u32::MAX);
        let alive = self.view.addresses(Standing::Alive);
        let to = *alive.choose(&mut self.random)?;
        self.due.sync = now + SYNC_INTERVAL.max(SYNC_PER_MEMBER.saturating_mul(count));
        Some(self.view.message(to, Body::Join))
    }
}
