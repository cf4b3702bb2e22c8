//! The members that an instance knows.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use crate::instance::Instance;

/// Silence after which a member counts as gone.
const SILENCE: Duration = Duration::from_secs(5);

#[derive(Clone, Debug)]
struct Member {
    heard: Duration,
    instance: Instance,
}

/// The members that an instance knows, itself left out.
#[derive(Clone, Debug)]
pub struct Members {
    members: BTreeMap<Box<str>, Member>,
    own: Box<str>,
}

impl Members {
    /// Creates the view of the instance named `own`, which knows nobody yet.
    pub fn new(own: &str) -> Self {
        Self {
            members: BTreeMap::new(),
            own: own.into(),
        }
    }

    /// Takes in a heartbeat that came from the instance itself.
    pub fn heard(&mut self, now: Duration, instance: Instance) {
        let known = self
            .members
            .get(&instance.name)
            .is_some_and(|member| member.instance.incarnation > instance.incarnation);
        if known || instance.name == self.own {
            return;
        }
        let member = Member {
            heard: now,
            instance,
        };
        self.members.insert(member.instance.name.clone(), member);
    }

    /// Takes in an instance that another one told of; a known one is left as it is.
    pub fn told(&mut self, now: Duration, instance: Instance) {
        if !self.members.contains_key(&instance.name) {
            self.heard(now, instance);
        }
    }

    /// Forgets the members that have been silent for too long.
    pub fn expire(&mut self, now: Duration) {
        self.members
            .retain(|_, member| now.saturating_sub(member.heard) < SILENCE);
    }

    /// The present members, in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = &Instance> {
        self.members.values().map(|member| &member.instance)
    }
}
