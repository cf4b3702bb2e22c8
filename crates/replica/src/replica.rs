//! This instance's replica of the log.

use std::{
    collections::{
        BTreeMap,
        VecDeque, //
    },
    mem,
    net::SocketAddr,
    path::Path,
    rc::Rc,
    time::Duration, //
};

use codes::Code;
use event_listener::Event as Wake;
use futures::channel::oneshot;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use store::{
    Action,
    Answer,
    DataFolder,
    Error,
    Event,
    Ledger,
    Message,
    Raft,
    StoreId,
    Timing,
    Token, //
};

/// Length of the event queue at which messages from other stores are dropped.
const QUEUE_LIMIT: usize = 1024;

/// The state machine of this store, with its event queue and pending requests.
#[derive(Debug)]
pub struct Replica {
    /// Channels for the answers to pending requests.
    answer_senders: BTreeMap<Token, oneshot::Sender<Answer>>,
    /// Reason why nothing can be written at present.
    blocked: Option<Code>,
    /// Inner addresses of the stores that sent messages.
    inner_addresses: BTreeMap<StoreId, SocketAddr>,
    queue: VecDeque<Event>,
    raft: Raft,
    token_count: u64,
    wake: Rc<Wake>,
}

impl Replica {
    /// Opens the data folder, or creates one with the id `new_id`. The folder is for the driver.
    ///
    /// # Errors
    ///
    /// Any error of the data folder.
    pub fn open(path: &Path, new_id: StoreId, timing: Timing) -> Result<(Self, DataFolder), Error> {
        let (folder, saved) = DataFolder::open(path, new_id)?;
        let random = ChaCha8Rng::seed_from_u64(rand::random());
        let raft = Raft::new(folder.id(), saved, timing, random).ok_or_else(|| Error::Damaged {
            offset: 0,
            path: path.join("snapshot"),
        })?;
        let replica = Self {
            answer_senders: BTreeMap::new(),
            blocked: None,
            inner_addresses: BTreeMap::new(),
            queue: VecDeque::new(),
            raft,
            token_count: 0,
            wake: Rc::new(Wake::new()),
        };
        Ok((replica, folder))
    }

    /// Inner address of a store, as a member or else from its last message.
    pub fn address(&self, id: StoreId) -> Option<SocketAddr> {
        let member = self.raft.members().get(id);
        let configured = member.map(|member| member.address);
        configured.or_else(|| self.inner_addresses.get(&id).copied())
    }

    /// Answers a request.
    pub fn answer(&mut self, token: Token, answer: Answer) {
        if let Some(sender) = self.answer_senders.remove(&token) {
            // The client may have given up.
            let _closed = sender.send(answer);
        }
    }

    /// Refuses all queued and pending requests, and new ones until [`Replica::unblock`], because
    /// nothing can be written at present.
    pub fn block(&mut self, code: Code) {
        self.blocked = Some(code);
        for event in mem::take(&mut self.queue) {
            match event {
                Event::Change(_, token)
                | Event::Edit(_, token)
                | Event::Evacuate(_, token)
                | Event::Publish(_, token)
                | Event::Read(token) => {
                    let advice = "the store's disk takes nothing at present";
                    self.answer(token, Answer::Refused(code, advice.into()));
                }
                Event::FormCluster(..)
                | Event::Init(..)
                | Event::Join(_)
                | Event::Message(_)
                | Event::Synced(_)
                | Event::Tick => {}
                // Kept, because it is sent only once per connection and needs no write.
                Event::Locate(..) => self.queue.push_back(event),
            }
        }
        for (_, sender) in mem::take(&mut self.answer_senders) {
            let advice = "the store's disk failed while the entry was written";
            let answer = Answer::Refused(Code::EditUnknown, advice.into());
            let _closed = sender.send(answer);
        }
    }

    /// Accepts requests again.
    pub fn unblock(&mut self) {
        self.blocked = None;
    }

    /// Whether the store, within the last election timeout, had contact with a quorum as the
    /// leader, or otherwise with a leader.
    pub fn in_contact(&self, now: Duration) -> bool {
        self.raft.in_contact(now)
    }

    /// Handles all queued events, and a tick if one is due.
    pub fn handle(&mut self, now: Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        for event in mem::take(&mut self.queue) {
            actions.extend(self.raft.handle(now, event));
        }
        if self.raft.next_tick() <= now {
            actions.extend(self.raft.handle(now, Event::Tick));
        }
        actions
    }

    /// The state after the applied entries: audit trail, history and sections.
    pub const fn ledger(&self) -> &Ledger {
        self.raft.ledger()
    }

    /// The state machine.
    pub const fn raft(&self) -> &Raft {
        &self.raft
    }

    /// Queues an event.
    pub fn push(&mut self, event: Event) {
        self.queue.push_back(event);
        self.wake.notify(usize::MAX);
    }

    /// Queues a message from the store at `address`; drops it if the queue is full or nothing can
    /// be written.
    pub fn receive(&mut self, address: SocketAddr, message: Message) {
        self.inner_addresses.insert(message.from, address);
        if self.queue.len() < QUEUE_LIMIT && self.blocked.is_none() {
            self.push(Event::Message(message));
        }
    }

    /// Queues a request; the answer is sent through the returned channel.
    pub fn submit(&mut self, event: impl FnOnce(Token) -> Event) -> oneshot::Receiver<Answer> {
        let (sender, receiver) = oneshot::channel();
        self.token_count += 1;
        let token = Token(self.token_count);
        self.answer_senders.insert(token, sender);
        match self.blocked {
            Some(code) => {
                let advice = "the store's disk takes nothing at present";
                self.answer(token, Answer::Refused(code, advice.into()));
            }
            None => self.push(event(token)),
        }
        receiver
    }

    /// Whether no edit was ever accepted; none if this is unknown. Only a leader that has contact
    /// with a quorum and has committed all its entries can rule out an accepted edit.
    pub fn never_edited(&self, now: Duration) -> Option<bool> {
        let raft = &self.raft;
        match raft.ledger().revision().0 {
            0 if !raft.is_leader() || !raft.in_contact(now) => None,
            0 => (raft.commit() == raft.log().last().index).then_some(true),
            _ => Some(false),
        }
    }

    /// Whether events are queued.
    pub fn has_events(&self) -> bool {
        !self.queue.is_empty()
    }

    /// Event listener that is notified when an event is queued.
    pub fn wake(&self) -> Rc<Wake> {
        self.wake.clone()
    }
}
