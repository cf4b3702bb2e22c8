//! Client requests at the leader: edits, publications and membership changes.

use codes::Code;

use crate::{
    edit::Edit,
    entry::Payload,
    evacuation::Evacuation,
    event::{
        Answer,
        Change,
        Token, //
    },
    id::StoreId,
    members::{
        Member,
        Members, //
    },
    position::Index,
    publication::Publication,
    raft::Raft,
    role::Role, //
};

impl Raft {
    /// Proposes an edit, or answers it at once if its outcome is known.
    pub(crate) fn propose_edit(&mut self, edit: Edit, token: Token) {
        if let Some(outcome) = self.ledger.outcome(&edit.id) {
            return self.answer(token, Answer::Outcome(outcome.clone()));
        }
        self.propose(Payload::Edit(edit), token);
    }

    /// Proposes a membership change, or refuses it if another one is in progress.
    pub(crate) fn propose_change(&mut self, change: Change, token: Token) {
        if !self.can_change_members() {
            let advice = "an earlier change of the members is not yet committed";
            return self.refuse(token, Code::MembersRefused, advice);
        }
        match self.changed_members(change) {
            Ok(Some(members)) => self.propose(Payload::Members(members), token),
            Ok(None) => self.answer(token, Answer::Changed),
            Err(advice) => self.refuse(token, Code::MembersRefused, &advice),
        }
    }

    /// Proposes a publication. One that would change nothing is answered at once, which is safe
    /// because the ledger holds only committed state.
    pub(crate) fn propose_publication(&mut self, publication: Publication, token: Token) {
        match self.ledger.check_publication(&publication) {
            Some(known) => self.answer(token, Answer::Published(known)),
            None => self.propose(Payload::Publish(publication), token),
        }
    }

    /// Proposes an evacuation order, also one that seems to change nothing: this store may not have
    /// heard of a later leader yet, whose orders it lacks.
    pub(crate) fn propose_evacuation(&mut self, evacuation: Evacuation, token: Token) {
        self.propose(Payload::Evacuate(evacuation), token);
    }

    /// Promotes a learner that has caught up to voter, unless the leader manages the voters.
    pub(crate) fn promote(&mut self, id: StoreId) {
        if self.timing.voters.is_some() {
            return;
        }
        let Role::Leader(leader) = &self.role else {
            return;
        };
        let matched = leader.peers.get(&id).map(|peer| peer.matched);
        let caught_up = matched.is_some_and(|matched| matched >= self.commit);
        let members = self.log.members();
        let learner = members.get(id).is_some_and(|member| !member.voter);
        if learner && caught_up && self.can_change_members() {
            let members = members.with_voter(id);
            self.append(Payload::Members(members));
        }
    }

    /// Whether a leader may start a membership change: the previous one and an entry of its own
    /// term are committed. True for other roles, whose requests `propose` refuses.
    pub(crate) fn can_change_members(&self) -> bool {
        match &self.role {
            Role::Leader(leader) => {
                leader.start_index <= self.commit && self.log.members_index() <= self.commit
            }
            Role::Candidate(_) | Role::Follower | Role::PreCandidate(_) => true,
        }
    }

    fn changed_members(&self, change: Change) -> Result<Option<Members>, Box<str>> {
        let members = self.log.members();
        match change {
            Change::Add(member) => add_member(members, member),
            Change::Remove(name) => match members.by_name(&name) {
                Some(member) => remove_member(members, member.id).map(Some),
                None => Err(format!("there is no member `{name}`").into()),
            },
        }
    }

    fn propose(&mut self, payload: Payload, token: Token) {
        if !self.is_leader() || !self.in_contact(self.now) {
            return self.refuse(token, Code::NoLeader, "this store does not lead");
        }
        let index = self.append(payload);
        self.add_pending(index, token);
    }

    fn add_pending(&mut self, index: Index, token: Token) {
        if let Role::Leader(leader) = &mut self.role {
            leader.pending.insert(index, token);
        }
    }
}

fn add_member(members: &Members, member: Member) -> Result<Option<Members>, Box<str>> {
    match members.by_name(&member.name) {
        Some(other) if other.id == member.id => Ok(None),
        Some(other) => Err(format!(
            "member `{}` has data folder {}, not {}; remove it first",
            other.name, other.id, member.id
        )
        .into()),
        None => Ok(Some(members.with(Member {
            voter: false,
            ..member
        }))),
    }
}

pub(crate) fn remove_member(members: &Members, id: StoreId) -> Result<Members, Box<str>> {
    let rest = members.without(id);
    match rest.0.iter().any(|member| member.voter) {
        true => Ok(rest),
        false => Err("the last voter cannot be removed".into()),
    }
}
