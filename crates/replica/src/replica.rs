//! This instance's replica of the configuration.

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
    Error,
    Event,
    Folder,
    Ledger,
    Message,
    Raft,
    StoreId,
    Timing,
    Token, //
};

/// Most messages of other stores that wait to be handled.
const QUEUED_MESSAGES: usize = 1024;

/// The state machine of this store's part in the log, with the events that wait for it.
#[derive(Debug)]
pub struct Replica {
    answers: BTreeMap<Token, oneshot::Sender<Answer>>,
    /// Why nothing can be written at present.
    blocked: Option<Code>,
    /// Inner addresses of stores that sent a message.
    heard: BTreeMap<StoreId, SocketAddr>,
    queue: VecDeque<Event>,
    raft: Raft,
    tokens: u64,
    wake: Rc<Wake>,
}

impl Replica {
    /// Opens the data folder, or makes one with the id `fresh`; the folder goes to the driver.
    ///
    /// # Errors
    ///
    /// Any failure of the data folder.
    pub fn open(path: &Path, fresh: StoreId, timing: Timing) -> Result<(Self, Folder), Error> {
        let (folder, saved) = Folder::open(path, fresh)?;
        let random = ChaCha8Rng::seed_from_u64(rand::random());
        let raft = Raft::new(folder.id(), saved, timing, random).ok_or_else(|| Error::Damaged {
            offset: 0,
            path: path.join("snapshot"),
        })?;
        let replica = Self {
            answers: BTreeMap::new(),
            blocked: None,
            heard: BTreeMap::new(),
            queue: VecDeque::new(),
            raft,
            tokens: 0,
            wake: Rc::new(Wake::new()),
        };
        Ok((replica, folder))
    }

    /// Where a store is reached.
    pub fn address(&self, id: StoreId) -> Option<SocketAddr> {
        let member = self.raft.members().get(id);
        let known = member.map(|member| member.address);
        known.or_else(|| self.heard.get(&id).copied())
    }

    /// Answers a request.
    pub fn answer(&mut self, token: Token, answer: Answer) {
        if let Some(sender) = self.answers.remove(&token) {
            // The asker may have given up.
            let _gone = sender.send(answer);
        }
    }

    /// Refuses all requests, because nothing can be written at present.
    pub fn block(&mut self, code: Code) {
        self.blocked = Some(code);
        for event in mem::take(&mut self.queue) {
            match event {
                Event::Change(_, token)
                | Event::Edit(_, token)
                | Event::Publish(_, token)
                | Event::Read(token) => {
                    let advice = "the store's disk takes nothing at present";
                    self.answer(token, Answer::Refused(code, advice.into()));
                }
                Event::Found(..)
                | Event::Init(..)
                | Event::Join(_)
                | Event::Message(_)
                | Event::Synced(_)
                | Event::Tick => {}
                // Said once a connection, and nothing is written for it.
                Event::Locate(..) => self.queue.push_back(event),
            }
        }
        for (_, sender) in mem::take(&mut self.answers) {
            let advice = "the store's disk failed while the entry was written";
            let answer = Answer::Refused(Code::EditUnknown, advice.into());
            let _gone = sender.send(answer);
        }
    }

    /// Takes requests again.
    pub fn unblock(&mut self) {
        self.blocked = None;
    }

    /// Whether the store was in contact with a quorum within the last election timeout.
    pub fn confirmed(&self, now: Duration) -> bool {
        self.raft.confirmed(now)
    }

    /// Handles all waiting events, and a tick if one is due.
    pub fn handle(&mut self, now: Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        for event in mem::take(&mut self.queue) {
            actions.extend(self.raft.handle(now, event));
        }
        if self.raft.due() <= now {
            actions.extend(self.raft.handle(now, Event::Tick));
        }
        actions
    }

    /// The state that the committed edits made: audit trail, history and sections.
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

    /// Queues a message of the store at `address`; it is lost if too many wait.
    pub fn receive(&mut self, address: SocketAddr, message: Message) {
        self.heard.insert(message.from, address);
        if self.queue.len() < QUEUED_MESSAGES && self.blocked.is_none() {
            self.push(Event::Message(message));
        }
    }

    /// Queues a request; its answer comes through the channel.
    pub fn submit(&mut self, event: impl FnOnce(Token) -> Event) -> oneshot::Receiver<Answer> {
        let (sender, receiver) = oneshot::channel();
        self.tokens += 1;
        let token = Token(self.tokens);
        self.answers.insert(token, sender);
        match self.blocked {
            Some(code) => {
                let advice = "the store's disk takes nothing at present";
                self.answer(token, Answer::Refused(code, advice.into()));
            }
            None => self.push(event(token)),
        }
        receiver
    }

    /// Whether no document was ever decided; none unless this store leads and has the whole log.
    pub fn unused(&self, now: Duration) -> Option<bool> {
        let raft = &self.raft;
        match raft.ledger().revision().0 {
            0 if !raft.leads() || !raft.confirmed(now) => None,
            0 => (raft.commit() == raft.log().last().index).then_some(true),
            _ => Some(false),
        }
    }

    /// Whether an event waits.
    pub fn waits(&self) -> bool {
        !self.queue.is_empty()
    }

    /// Notified when an event is queued.
    pub fn wake(&self) -> Rc<Wake> {
        self.wake.clone()
    }
}
