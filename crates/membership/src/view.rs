//! The members that are known, and what is to be told of them.

use std::{
    collections::BTreeMap,
    hash::{
        Hash,
        Hasher, //
    },
    net::SocketAddr,
    time::Duration, //
};

use siphasher::sip::SipHasher13;

use crate::{
    event::Action,
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
        LEFT_KEPT,
        RUMOURS,
        SUSPICION, //
    },
};

/// The members that are known, the instance itself left out.
#[derive(Clone, Debug)]
pub struct View {
    /// Whether a planned stop has begun.
    pub leaving: bool,
    generation: u64,
    members: BTreeMap<Box<str>, Member>,
    own: Instance,
    rumours: Rumours,
}

impl View {
    /// Creates the view of an instance that knows nobody yet.
    pub fn new(own: Instance) -> Self {
        Self {
            generation: 0,
            leaving: false,
            members: BTreeMap::new(),
            own,
            rumours: Rumours::default(),
        }
    }

    /// A member; none if it is not known.
    pub fn get(&self, name: &str) -> Option<&Member> {
        self.members.get(name)
    }

    /// Number of members that are remembered.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Inner addresses of the members with that standing.
    pub fn addresses(&self, standing: Standing) -> Vec<SocketAddr> {
        self.all()
            .filter(|member| member.standing == standing)
            .map(|member| member.instance.inner)
            .collect()
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

    /// Lets suspicions and memories run out.
    pub fn expire(&mut self, now: Duration) {
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

    /// Gives all suspected members the whole time to refute the suspicion again.
    pub fn resume(&mut self, now: Duration) {
        for member in self.members.values_mut() {
            if member.standing == Standing::Suspected {
                member.since = now;
            }
        }
    }

    /// Changes the standing of a member.
    pub fn judge(&mut self, now: Duration, name: &str, standing: Standing) {
        if let Some(member) = self.members.get_mut(name) {
            member.standing = standing;
            member.since = now;
            self.generation += 1;
            self.rumours.add(name);
        }
    }

    /// Takes in what is said of an instance, unless later news of it are known.
    ///
    /// Returns whether the instance was not known before.
    pub fn learn(&mut self, now: Duration, instance: Instance, standing: Standing) -> bool {
        if instance.name == self.own.name {
            self.refute(&instance, standing);
            return false;
        }
        let known = self.members.get(&instance.name);
        let rank = order(&instance, standing);
        let later = known.is_none_or(|known| rank > order(&known.instance, known.standing));
        let new = known.is_none();
        if !later || new && !self.wanted(&instance) {
            return false;
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
        new
    }

    /// A message with the news that are due.
    pub fn message(&mut self, to: SocketAddr, body: Body) -> Action {
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

    /// Answers a false rumour of the instance itself with a higher refutation.
    fn refute(&mut self, instance: &Instance, standing: Standing) {
        if self.leaving || order(instance, standing) <= order(&self.own, Standing::Alive) {
            return;
        }
        if instance.incarnation == self.own.incarnation {
            self.own.refutation = instance.refutation + 1;
        } else {
            // An earlier run of this instance, whose clock was ahead.
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
}

/// What is told of a member.
pub fn rumour(member: &Member) -> Rumour {
    Rumour {
        instance: member.instance.clone(),
        standing: member.standing,
    }
}

/// What decides which of two rumours of an instance holds: the greater one.
const fn order(instance: &Instance, standing: Standing) -> (u64, u32, Standing) {
    (instance.incarnation, instance.refutation, standing)
}
