//! The state machine of one store.

use std::{
    collections::BTreeMap,
    mem,
    time::Duration, //
};

use codes::Code;
use rand::Rng as _;
use rand_chacha::ChaCha8Rng;

use crate::{
    entry::{
        Entry,
        Payload, //
    },
    event::{
        Action,
        Answer,
        Event,
        Token, //
    },
    id::{
        ClusterId,
        StoreId, //
    },
    ledger::Ledger,
    log::Log,
    members::{
        Member,
        Members, //
    },
    message::{
        Body,
        Message, //
    },
    position::{
        Index,
        Position,
        Term, //
    },
    record::{
        Ballot,
        EncodedSnapshot,
        Record,
        Saved, //
    },
    role::Role,
    snapshot::Snapshot,
    timing::Timing,
};

/// The Raft state machine of one store.
///
/// It does no I/O and has no clock: [`Raft::handle`] takes the current time and an event, and
/// returns the actions to carry out. Times count from the start of the process.
#[derive(Clone, Debug)]
pub struct Raft {
    pub(crate) actions: Vec<Action>,
    pub(crate) applied: Index,
    pub(crate) ballot: Ballot,
    /// Data centres of the stores that reported one, by name of the store.
    pub(crate) centres: BTreeMap<Box<str>, Box<str>>,
    pub(crate) cluster: Option<ClusterId>,
    pub(crate) commit: Index,
    /// Time of the next election, unless a leader sends a message before.
    pub(crate) election_deadline: Duration,
    pub(crate) id: StoreId,
    /// Partially received snapshot.
    pub(crate) incoming_snapshot: Option<(Position, Vec<u8>)>,
    /// Time of the last message from a leader.
    pub(crate) last_contact: Option<Duration>,
    /// The leader that sent it.
    pub(crate) last_leader: Option<StoreId>,
    pub(crate) leader: Option<StoreId>,
    pub(crate) ledger: Ledger,
    pub(crate) log: Log,
    pub(crate) now: Duration,
    pub(crate) random: ChaCha8Rng,
    pub(crate) role: Role,
    pub(crate) snapshot: Option<EncodedSnapshot>,
    /// Election timeouts since the process started or last received a pre-vote request from a store
    /// whose log is behind. Each one doubles the timeout of a store without contact with a leader.
    pub(crate) timeouts: u32,
    pub(crate) timing: Timing,
    /// Highest commit index received from a leader.
    pub(crate) leader_commit: Index,
}

impl Raft {
    /// Creates the state machine from the saved state; none if the snapshot cannot be decoded.
    pub fn new(id: StoreId, saved: Saved, timing: Timing, random: ChaCha8Rng) -> Option<Self> {
        let snapshot = match &saved.snapshot {
            Some(encoded) => Some(Snapshot::decode(&encoded.bytes)?),
            None => None,
        };
        let (base, members, ledger) = match snapshot {
            Some(snapshot) => (snapshot.position, snapshot.members, snapshot.ledger),
            None => (Position::default(), Members::default(), Ledger::new()),
        };
        let mut log = Log::new(base, members);
        for entry in saved.entries {
            if entry.position.index > base.index {
                log.push(entry);
            }
        }
        let mut raft = Self {
            actions: Vec::new(),
            applied: base.index,
            ballot: saved.ballot,
            centres: BTreeMap::new(),
            cluster: saved.cluster,
            commit: base.index,
            election_deadline: Duration::ZERO,
            id,
            incoming_snapshot: None,
            last_contact: None,
            last_leader: None,
            leader: None,
            ledger,
            log,
            now: Duration::ZERO,
            random,
            role: Role::Follower,
            snapshot: saved.snapshot,
            timeouts: 0,
            timing,
            leader_commit: Index::default(),
        };
        if !raft.is_sole_voter() {
            raft.reset_deadline();
        }
        Some(raft)
    }

    /// Handles an event and returns the actions to carry out.
    pub fn handle(&mut self, now: Duration, event: Event) -> Vec<Action> {
        self.now = now;
        match event {
            Event::Change(change, token) => self.propose_change(change, token),
            Event::Edit(edit, token) => self.propose_edit(edit, token),
            Event::Evacuate(evacuation, token) => self.propose_evacuation(evacuation, token),
            Event::FormCluster(cluster, members) => self.form_cluster(cluster, members),
            Event::Init(cluster, member) => self.init(cluster, member),
            Event::Join(member) => self.join(member),
            Event::Locate(name, centre) => {
                self.centres.insert(name, centre);
            }
            Event::Message(message) => self.handle_message(message),
            Event::Publish(publication, token) => self.propose_publication(publication, token),
            Event::Read(token) => self.start_read(token),
            Event::Synced(position) => self.handle_synced(position),
            Event::Tick => self.tick(),
        }
        self.advance_commit();
        self.apply_committed();
        self.answer_reads();
        self.compact();
        self.reconcile();
        self.replicate();
        mem::take(&mut self.actions)
    }

    /// Index of the last entry that is known to be committed.
    pub const fn commit(&self) -> Index {
        self.commit
    }

    /// Whether the store, within the last election timeout, had contact with a quorum as the
    /// leader, or otherwise with a leader.
    pub fn in_contact(&self, now: Duration) -> bool {
        let recent = |at: Duration| now.saturating_sub(at) < self.timing.election_timeout;
        match &self.role {
            Role::Leader(leader) => self.log.members().is_quorum(|id| {
                let peer = leader.peers.get(&id);
                id == self.id || peer.is_some_and(|peer| recent(peer.last_contact))
            }),
            Role::Candidate(_) | Role::Follower | Role::PreCandidate(_) => {
                self.last_contact.is_some_and(recent)
            }
        }
    }

    /// Whether the store is up to date: it has contact with a leader and has applied all entries
    /// that a leader reported as committed, or it leads with a quorum and has committed an entry of
    /// its own term.
    pub fn is_current(&self, now: Duration) -> bool {
        let caught_up = match &self.role {
            Role::Leader(leader) => leader.start_index <= self.commit,
            Role::Candidate(_) | Role::Follower | Role::PreCandidate(_) => {
                self.last_contact.is_some() && self.applied >= self.leader_commit
            }
        };
        caught_up && self.in_contact(now)
    }

    /// Whether the store should request to join: it is not a member according to its log, or it has
    /// no contact with a leader, for example because it was replaced while it was unreachable.
    pub fn needs_join(&self, now: Duration) -> bool {
        self.log.members().get(self.id).is_none() || !(self.is_leader() || self.in_contact(now))
    }

    /// Time of the next [`Event::Tick`].
    pub fn next_tick(&self) -> Duration {
        match &self.role {
            Role::Leader(leader) => leader.next_heartbeat,
            Role::Candidate(_) | Role::Follower | Role::PreCandidate(_) => self.election_deadline,
        }
    }

    /// Id of this store.
    pub const fn id(&self) -> StoreId {
        self.id
    }

    /// The cluster that the store belongs to; none before it forms or joins one.
    pub const fn cluster(&self) -> Option<ClusterId> {
        self.cluster
    }

    /// The leader, if this store is it or had contact with it within the last election timeout.
    pub fn leader(&self, now: Duration) -> Option<&Member> {
        match self.leader {
            Some(id) if id == self.id || self.in_contact(now) => self.log.members().get(id),
            _ => None,
        }
    }

    /// Whether the store is the leader.
    pub const fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// The state after the applied entries.
    pub const fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// The entries after the snapshot.
    pub const fn log(&self) -> &Log {
        &self.log
    }

    /// The members in effect.
    pub fn members(&self) -> &Members {
        self.log.members()
    }

    /// The current term.
    pub const fn term(&self) -> Term {
        self.ballot.term
    }

    /// Whether this store is the only voter.
    pub(crate) fn is_sole_voter(&self) -> bool {
        self.log.members().is_quorum(|id| id == self.id)
    }

    /// Answers a request.
    pub(crate) fn answer(&mut self, token: Token, answer: Answer) {
        self.actions.push(Action::Answer(token, answer));
    }

    /// Refuses a request.
    pub(crate) fn refuse(&mut self, token: Token, code: Code, advice: &str) {
        self.answer(token, Answer::Refused(code, advice.into()));
    }

    /// Appends a new entry of the current term to the log.
    pub(crate) fn append(&mut self, payload: Payload) -> Index {
        let position = Position {
            term: self.ballot.term,
            index: self.log.last().index.next(),
        };
        self.persist_entry(Entry { payload, position });
        position.index
    }

    /// Draws the time of the next election. A store without contact with a leader since its start
    /// has no leader's timeout to wait for and uses a short timeout, which doubles each time it
    /// expires, so that stores with a long delay between them can elect one, too.
    pub(crate) fn reset_deadline(&mut self) {
        let wait = match self.last_contact {
            Some(_) => self.timing.election_timeout,
            None => {
                let doubled = self
                    .timing
                    .first_timeout
                    .saturating_mul(1 << self.timeouts.min(16));
                doubled.min(self.timing.election_timeout)
            }
        };
        let jitter = wait.mul_f64(self.random.random::<f64>());
        self.election_deadline = self.now + wait + jitter;
    }

    /// The state on disk once all actions returned so far are carried out.
    pub(crate) fn saved(&self) -> Saved {
        Saved {
            ballot: self.ballot,
            cluster: self.cluster,
            entries: self.log.entries().cloned().collect(),
            snapshot: self.snapshot.clone(),
        }
    }

    /// Sends a message.
    pub(crate) fn send(&mut self, to: StoreId, body: Body) {
        if let Some(cluster) = self.cluster {
            self.actions.push(Action::Send(Message {
                body,
                cluster,
                from: self.id,
                term: self.ballot.term,
                to,
            }));
        }
    }

    /// Adds an entry to the log in memory and on disk.
    pub(crate) fn persist_entry(&mut self, entry: Entry) {
        self.log.push(entry.clone());
        self.actions.push(Action::Persist(Record::Entry(entry)));
    }

    /// Sets and persists the ballot.
    pub(crate) fn set_ballot(&mut self, term: Term, vote: Option<StoreId>) {
        self.ballot = Ballot { term, vote };
        self.actions
            .push(Action::Persist(Record::Ballot(self.ballot)));
    }

    fn init(&mut self, cluster: ClusterId, member: Member) {
        if self.cluster.is_some() {
            return;
        }
        self.set_cluster(cluster);
        self.set_ballot(Term(1), Some(self.id));
        self.append(Payload::Members(Members([member].into())));
        self.start_election();
    }

    fn form_cluster(&mut self, cluster: ClusterId, members: Members) {
        if self.cluster.is_some() {
            return;
        }
        self.set_cluster(cluster);
        self.set_ballot(Term(1), None);
        // Every founding store has the same first entry, so that it counts as replicated from the
        // start.
        self.append(Payload::Members(members));
    }

    /// Sets and persists the cluster that this store belongs to.
    pub(crate) fn set_cluster(&mut self, cluster: ClusterId) {
        self.cluster = Some(cluster);
        self.actions.push(Action::Persist(Record::Cluster(cluster)));
    }
}
