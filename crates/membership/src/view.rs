//! The members known to an instance and the rumours to send about them.

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
        CONTACTS_PER_CENTRE,
        DEAD_RETENTION,
        LEFT_RETENTION,
        RUMOURS_PER_MESSAGE,
        SUSPICION_TIMEOUT, //
    },
};

/// The members known to an instance, excluding itself.
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
    /// Creates an empty view.
    pub fn new(own: Instance) -> Self {
        Self {
            generation: 0,
            leaving: false,
            members: BTreeMap::new(),
            own,
            rumours: Rumours::default(),
        }
    }

    /// A member; `None` if it is not in the view.
    pub fn get(&self, name: &str) -> Option<&Member> {
        self.members.get(name)
    }

    /// Number of members in the view, including dead and departed ones.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Inner addresses of the members with a standing.
    pub fn addresses(&self, standing: Standing) -> Vec<SocketAddr> {
        self.all()
            .filter(|member| member.standing == standing)
            .map(|member| member.instance.inner)
            .collect()
    }

    /// Increases with each change of the members or of their standing.
    pub const fn generation(&self) -> u64 {
        self.generation
    }

    /// This instance, with its current incarnation and refutation.
    pub const fn own(&self) -> &Instance {
        &self.own
    }

    /// The present members (alive or suspected), ordered by name.
    pub fn iter(&self) -> impl Iterator<Item = &Instance> {
        self.all()
            .filter(|member| member.standing.present())
            .map(|member| &member.instance)
    }

    /// All members in the view, including dead and departed ones, ordered by name.
    pub fn all(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// The present entries of this instance's data centre, excluding itself.
    pub fn entries(&self) -> impl Iterator<Item = &Instance> {
        self.iter()
            .filter(|instance| instance.centre == self.own.centre && instance.fabric.is_some())
    }

    /// The present entries of other data centres, by data centre.
    pub fn contacts(&self) -> BTreeMap<&str, Vec<&Instance>> {
        let mut contacts: BTreeMap<&str, Vec<&Instance>> = BTreeMap::new();
        for instance in self.iter().filter(|instance| instance.fabric.is_some()) {
            if instance.centre != self.own.centre {
                contacts.entry(&instance.centre).or_default().push(instance);
            }
        }
        contacts
    }

    /// Declares members dead whose suspicion timed out, and removes dead and departed ones after
    /// their retention time.
    pub fn expire(&mut self, now: Duration) {
        let mut dead = Vec::new();
        self.members.retain(|name, member| {
            let age = now.saturating_sub(member.since);
            match member.standing {
                Standing::Alive => true,
                Standing::Suspected => {
                    if age >= SUSPICION_TIMEOUT {
                        dead.push(name.clone());
                    }
                    true
                }
                Standing::Dead => age < DEAD_RETENTION,
                Standing::Left => age < LEFT_RETENTION,
            }
        });
        for name in dead {
            self.set_standing(now, &name, Standing::Dead);
        }
    }

    /// Restarts the suspicion timeout of all suspected members.
    pub fn restart_suspicions(&mut self, now: Duration) {
        for member in self.members.values_mut() {
            if member.standing == Standing::Suspected {
                member.since = now;
            }
        }
    }

    /// Changes the standing of a member and queues a rumour of it.
    pub fn set_standing(&mut self, now: Duration, name: &str, standing: Standing) {
        if let Some(member) = self.members.get_mut(name) {
            member.standing = standing;
            member.since = now;
            self.generation += 1;
            self.rumours.add(name);
        }
    }

    /// Merges a rumour of an instance, unless a newer one is known.
    ///
    /// Returns whether the instance was added to the view.
    pub fn merge(&mut self, now: Duration, instance: Instance, standing: Standing) -> bool {
        if instance.name == self.own.name {
            self.refute(&instance, standing);
            return false;
        }
        let known = self.members.get(&instance.name);
        let rank = precedence(&instance, standing);
        let newer = known.is_none_or(|known| rank > precedence(&known.instance, known.standing));
        let new = known.is_none();
        if !newer || new && !self.admit(&instance) {
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

    /// Builds a message with the next rumours to send.
    pub fn message(&mut self, to: SocketAddr, body: Body) -> Action {
        let names = self.rumours.take(RUMOURS_PER_MESSAGE, self.members.len());
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

    /// Refutes a false rumour about this instance by raising its refutation or incarnation.
    fn refute(&mut self, instance: &Instance, standing: Standing) {
        if self.leaving || precedence(instance, standing) <= precedence(&self.own, Standing::Alive)
        {
            return;
        }
        if instance.incarnation == self.own.incarnation {
            self.own.refutation = instance.refutation + 1;
        } else {
            // The rumour is of an earlier run of this instance, whose clock was ahead.
            self.own.incarnation = instance.incarnation + 1;
        }
    }

    /// Whether an unknown instance is admitted to the view.
    ///
    /// Of each other data centre only [`CONTACTS_PER_CENTRE`] non-store members are kept, those
    /// with the smallest hashes; an instance with a smaller hash evicts the one with the largest.
    fn admit(&mut self, instance: &Instance) -> bool {
        if instance.store || instance.centre == self.own.centre {
            return true;
        }
        let hash_of = |name: &str| {
            let mut hasher = SipHasher13::new();
            (&self.own.name, name).hash(&mut hasher);
            hasher.finish()
        };
        let new_hash = hash_of(&instance.name);
        let contacts: Vec<_> = self
            .iter()
            .filter(|known| !known.store && known.centre == instance.centre)
            .map(|known| (hash_of(&known.name), known.name.clone()))
            .collect();
        match contacts.iter().max() {
            Some(_) if contacts.len() < CONTACTS_PER_CENTRE => true,
            Some((largest, _)) if new_hash > *largest => false,
            Some((_, name)) => {
                let name = name.clone();
                self.members.remove(&name);
                true
            }
            None => true,
        }
    }
}

/// The rumour of a member's standing.
pub fn rumour(member: &Member) -> Rumour {
    Rumour {
        instance: member.instance.clone(),
        standing: member.standing,
    }
}

/// Precedence of a rumour; of two rumours of an instance the greater one wins.
const fn precedence(instance: &Instance, standing: Standing) -> (u64, u32, Standing) {
    (instance.incarnation, instance.refutation, standing)
}
