//! The replicated log's state machine.

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
        Encoded,
        Record,
        Saved, //
    },
    role::Role,
    snapshot::Snapshot,
    timing::Timing,
};

/// One store's part in the replicated log.
///
/// It has no clock, socket or disk: [`Raft::handle`] takes the time and an event and returns what
/// is to be done. Times count from the process's start.
#[derive(Clone, Debug)]
pub struct Raft {
    pub(crate) actions: Vec<Action>,
    pub(crate) applied: Index,
    pub(crate) ballot: Ballot,
    /// Data centres of the stores, by the store's name, as far as they have said.
    pub(crate) centres: BTreeMap<Box<str>, Box<str>>,
    pub(crate) cluster: Option<ClusterId>,
    pub(crate) commit: Index,
    /// When the next election begins.
    pub(crate) deadline: Duration,
    /// When the leader was heard last.
    pub(crate) heard: Option<Duration>,
    pub(crate) id: StoreId,
    /// A snapshot that arrives in parts.
    pub(crate) incoming: Option<(Position, Vec<u8>)>,
    pub(crate) leader: Option<StoreId>,
    pub(crate) ledger: Ledger,
    pub(crate) log: Log,
    pub(crate) now: Duration,
    pub(crate) random: ChaCha8Rng,
    pub(crate) role: Role,
    pub(crate) snapshot: Option<Encoded>,
    /// Elections that it has stood for without hearing of a leader since its start.
    pub(crate) stood: u32,
    pub(crate) timing: Timing,
    /// Last entry that a leader said is committed.
    pub(crate) leader_commit: Index,
}

impl Raft {
    /// Creates the state machine from what the disk holds; none if its snapshot has no meaning.
    pub fn new(id: StoreId, saved: Saved, timing: Timing, random: ChaCha8Rng) -> Option<Self> {
        let held = match &saved.snapshot {
            Some(encoded) => Some(Snapshot::decode(&encoded.bytes)?),
            None => None,
        };
        let (base, members, ledger) = match held {
            Some(held) => (held.position, held.members, held.ledger),
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
            deadline: Duration::ZERO,
            heard: None,
            id,
            incoming: None,
            leader: None,
            ledger,
            log,
            now: Duration::ZERO,
            random,
            role: Role::Follower,
            snapshot: saved.snapshot,
            stood: 0,
            timing,
            leader_commit: Index::default(),
        };
        if !raft.alone() {
            raft.postpone();
        }
        Some(raft)
    }

    /// Takes an event and returns what is to be done.
    pub fn handle(&mut self, now: Duration, event: Event) -> Vec<Action> {
        self.now = now;
        match event {
            Event::Change(change, token) => self.change(change, token),
            Event::Edit(edit, token) => self.edit(edit, token),
            Event::Found(cluster, members) => self.found(cluster, members),
            Event::Init(cluster, member) => self.init(cluster, member),
            Event::Join(member) => self.join(member),
            Event::Locate(name, centre) => {
                self.centres.insert(name, centre);
            }
            Event::Message(message) => self.receive(message),
            Event::Publish(publication, token) => self.publish(publication, token),
            Event::Read(token) => self.read(token),
            Event::Synced(position) => self.synced(position),
            Event::Tick => self.tick(),
        }
        self.advance();
        self.apply();
        self.confirm();
        self.compact();
        self.reconcile();
        self.replicate();
        mem::take(&mut self.actions)
    }

    /// Last entry that is known to be committed.
    pub const fn commit(&self) -> Index {
        self.commit
    }

    /// Whether the store was in contact with a quorum within the last election timeout.
    pub fn confirmed(&self, now: Duration) -> bool {
        let recent = |at: Duration| now.saturating_sub(at) < self.timing.election;
        match &self.role {
            Role::Leader(leader) => self.log.members().quorum(|id| {
                let peer = leader.peers.get(&id);
                id == self.id || peer.is_some_and(|peer| recent(peer.contact))
            }),
            Role::Candidate(_) | Role::Follower | Role::PreCandidate(_) => {
                self.heard.is_some_and(recent)
            }
        }
    }

    /// Whether the store holds all that the leader it is in contact with said is committed.
    pub fn current(&self, now: Duration) -> bool {
        let started = match &self.role {
            Role::Leader(leader) => leader.start <= self.commit,
            Role::Candidate(_) | Role::Follower | Role::PreCandidate(_) => {
                self.heard.is_some() && self.applied >= self.leader_commit
            }
        };
        started && self.confirmed(now)
    }

    /// Whether the store has reason to ask to be taken in: as far as it knows it is no member, or
    /// it hears no leader, as after it was replaced while it was silent.
    pub fn needs_join(&self, now: Duration) -> bool {
        self.log.members().get(self.id).is_none() || !(self.leads() || self.confirmed(now))
    }

    /// When [`Event::Tick`] is due.
    pub fn due(&self) -> Duration {
        match &self.role {
            Role::Leader(leader) => leader.beat,
            Role::Candidate(_) | Role::Follower | Role::PreCandidate(_) => self.deadline,
        }
    }

    /// The store's own id.
    pub const fn id(&self) -> StoreId {
        self.id
    }

    /// The log that the store belongs to; none before the first start.
    pub const fn cluster(&self) -> Option<ClusterId> {
        self.cluster
    }

    /// The leader, if one was heard within the last election timeout.
    pub fn leader(&self, now: Duration) -> Option<&Member> {
        match self.leader {
            Some(id) if id == self.id || self.confirmed(now) => self.log.members().get(id),
            _ => None,
        }
    }

    /// Whether the store is the leader.
    pub const fn leads(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// The state that the committed entries made.
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

    /// The term.
    pub const fn term(&self) -> Term {
        self.ballot.term
    }

    /// Whether this store alone is the quorum.
    pub(crate) fn alone(&self) -> bool {
        self.log.members().quorum(|id| id == self.id)
    }

    /// Answers a request.
    pub(crate) fn answer(&mut self, token: Token, answer: Answer) {
        self.actions.push(Action::Answer(token, answer));
    }

    /// Refuses a request.
    pub(crate) fn refuse(&mut self, token: Token, code: Code, advice: &str) {
        self.answer(token, Answer::Refused(code, advice.into()));
    }

    /// Adds an entry behind the log's last one.
    pub(crate) fn append(&mut self, payload: Payload) -> Index {
        let position = Position {
            term: self.ballot.term,
            index: self.log.last().index.next(),
        };
        self.store(Entry { payload, position });
        position.index
    }

    /// Draws the time of the next election: a store that has heard no leader since its start waits
    /// for none to fall silent, but longer after each election, for stores that are far apart.
    pub(crate) fn postpone(&mut self) {
        let wait = match self.heard {
            Some(_) => self.timing.election,
            None => {
                let doubled = self.timing.first.saturating_mul(1 << self.stood.min(16));
                doubled.min(self.timing.election)
            }
        };
        let spread = wait.mul_f64(self.random.random::<f64>());
        self.deadline = self.now + wait + spread;
    }

    /// What the disk holds once all actions so far are done.
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

    /// Keeps an entry in memory and on disk.
    pub(crate) fn store(&mut self, entry: Entry) {
        self.log.push(entry.clone());
        self.actions.push(Action::Persist(Record::Entry(entry)));
    }

    /// Keeps a new ballot.
    pub(crate) fn vote(&mut self, term: Term, vote: Option<StoreId>) {
        self.ballot = Ballot { term, vote };
        self.actions
            .push(Action::Persist(Record::Ballot(self.ballot)));
    }

    fn init(&mut self, cluster: ClusterId, member: Member) {
        if self.cluster.is_some() {
            return;
        }
        self.adopt(cluster);
        self.vote(Term(1), Some(self.id));
        self.append(Payload::Members(Members([member].into())));
        self.campaign();
    }

    fn found(&mut self, cluster: ClusterId, members: Members) {
        if self.cluster.is_some() {
            return;
        }
        self.adopt(cluster);
        self.vote(Term(1), None);
        // The same entry on every founder, so that it counts as replicated from the start.
        self.append(Payload::Members(members));
    }

    /// Joins a log.
    pub(crate) fn adopt(&mut self, cluster: ClusterId) {
        self.cluster = Some(cluster);
        self.actions.push(Action::Persist(Record::Cluster(cluster)));
    }
}
