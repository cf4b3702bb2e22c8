//! Claims on idempotency keys among the entries.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::BTreeSet,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use dispatch::{
    Claim,
    ClaimId,
    Holder,
    KeyHash,
    Member,
    Record,
    Reply,
    Ring,
    Settled,
    Verdict,
    Vote, //
};
use futures::{
    StreamExt,
    stream::FuturesUnordered, //
};
use prometheus_client::metrics::gauge::Gauge;
use settings::Settings;

use crate::{
    clients::Clients,
    convert_claims,
    known::Known,
    pending::{
        Pending,
        Untold, //
    },
};

/// Time after which a holder that does not reply is given up.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// The same for all claims of a holder, which are more than one packet.
const RECORDS_TIMEOUT: Duration = Duration::from_secs(2);

/// Attempts to tell a holder how a request ended.
const SETTLE_ATTEMPTS: u32 = 4;

/// Time after the first document in which the other entries become known; keys are not claimed
/// earlier.
const START: Duration = Duration::from_millis(1_500);

/// Time between two looks at the membership.
const PAUSE: Duration = Duration::from_millis(250);

/// This entry's part in the claims.
#[derive(Debug)]
pub struct Claims {
    clients: Clients,
    holder: RefCell<Holder>,
    instance: settings::Instance,
    known: Rc<Known>,
    opened: Cell<Option<Duration>>,
    ring: RefCell<Ring>,
    seeds: Box<[SocketAddr]>,
    serial: Cell<u64>,
    /// Whether all claims on this entry's keys are known, as others see it.
    settled: Gauge,
    untold: Rc<Untold>,
}

impl Claims {
    /// Creates the part of an entry, which may have missed earlier claims.
    pub fn new(known: Rc<Known>, settings: &Settings, settled: Gauge) -> Self {
        let retention = Duration::from_millis(settings::KEEP_MS);
        let holder = Holder::new(Duration::ZERO, &settings.instance.name, retention);
        Self {
            clients: Clients::new(known.clone()),
            holder: RefCell::new(holder),
            instance: settings.instance.clone(),
            known,
            opened: Cell::new(None),
            ring: RefCell::new(Ring::new()),
            seeds: settings.seeds.clone(),
            serial: Cell::new(0),
            settled,
            untold: Rc::default(),
        }
    }

    /// Counts a request until the holders of its key are told how it ended.
    pub fn pending(&self) -> Pending {
        Pending::new(self.untold.clone())
    }

    /// Waits for a while until the holders are told how all requests ended.
    pub async fn idle(&self) {
        self.untold.none().await;
    }

    /// Creates a new claim of this entry.
    pub fn new_claim(&self, key: KeyHash, print: u64) -> Claim {
        let serial = self.serial.get() + 1;
        self.serial.set(serial);
        Claim {
            id: ClaimId {
                claimant: self.instance.name.clone(),
                incarnation: self.known.incarnation(),
                serial,
            },
            key,
            print,
        }
    }

    /// Follows the membership and takes claims over from other holders until the process ends;
    /// `asked` says whether the stores have told already if any document was ever in force.
    pub async fn maintain(self: Rc<Self>, mut asked: bool) {
        loop {
            self.refresh();
            if !asked {
                asked = self.ask_unused().await;
            }
            let wants = self.holder.borrow().wants(self.known.now());
            if wants {
                self.take_over().await;
            }
            let settled = self.holder.borrow().settled(self.known.now());
            self.settled.set(i64::from(settled));
            compio::time::sleep(PAUSE).await;
        }
    }

    /// Asks the holders of a key for it.
    pub async fn claim(self: &Rc<Self>, claim: &Claim) -> Verdict {
        self.refresh();
        let opened = self.opened.get();
        if opened.is_none_or(|opened| self.known.now() < opened + START) {
            return Verdict::Unknown;
        }
        let (holders, quorum) = {
            let ring = self.ring.borrow();
            let holders: Vec<_> = ring.holders(&claim.key).into_iter().cloned().collect();
            (holders, ring.quorum())
        };
        let mut vote = Vote::new(holders.len(), quorum);
        let mut replies: FuturesUnordered<_> = holders
            .into_iter()
            .map(|member| self.clone().ask(member, claim.clone()))
            .collect();
        while let Some(reply) = replies.next().await {
            if let Some(verdict) = vote.reply(reply) {
                // The others are still asked, so that as many holders as possible know the claim.
                compio::runtime::spawn(async move { while replies.next().await.is_some() {} })
                    .detach();
                return verdict;
            }
        }
        vote.last()
    }

    /// Tells the holders of a key how its request ended.
    pub fn settle(self: &Rc<Self>, claim: &Claim, settled: &Settled) {
        let ring = self.ring.borrow();
        for member in ring.holders(&claim.key) {
            let pending = self.pending();
            let task = self
                .clone()
                .tell(member.clone(), claim.clone(), settled.clone());
            compio::runtime::spawn(async move {
                task.await;
                drop(pending);
            })
            .detach();
        }
    }

    /// Replies to a claim as one of its holders.
    pub fn reply(&self, claim: Claim) -> Reply {
        self.refresh();
        self.holder.borrow_mut().claim(self.known.now(), claim)
    }

    /// Takes in how the request of a claim ended, as one of its holders.
    pub fn settled(&self, claim: &Claim, settled: Settled) {
        let mut holder = self.holder.borrow_mut();
        holder.settle(&claim.key, &claim.id, settled);
    }

    /// All claims, for a new holder.
    pub fn records(&self) -> Option<Vec<Record>> {
        self.refresh();
        self.holder.borrow().records(self.known.now())
    }

    /// Whether the process that made a claim is still known.
    pub fn present(&self, id: &ClaimId) -> bool {
        let ring = self.ring.borrow();
        ring.member(&id.claimant)
            .is_some_and(|member| member.incarnation == id.incarnation)
    }

    /// Asks the stores whether any document was ever in force; returns whether one of them knew.
    ///
    /// If there was none, no request can have run, and this entry has missed no claim.
    pub async fn ask_unused(&self) -> bool {
        let stores: BTreeSet<SocketAddr> = {
            let members = self.known.members.borrow();
            let stores = members.iter().filter(|member| member.store);
            let stores = stores.map(|member| member.inner);
            stores.chain(self.seeds.iter().copied()).collect()
        };
        for address in stores {
            let unused = self
                .clients
                .call_at(address, CALL_TIMEOUT, async |client, context| {
                    client.unused(context).await
                });
            if let Some(Some(unused)) = unused.await {
                if unused {
                    self.holder.borrow_mut().first();
                }
                return true;
            }
        }
        false
    }

    fn refresh(&self) {
        let configuration = self.known.configuration.borrow();
        let members = self.known.members.borrow();
        let own = Member {
            centre: self.instance.centre.clone(),
            incarnation: members.own().incarnation,
            name: self.instance.name.clone(),
        };
        let others = members
            .iter()
            .filter(|member| member.requests.is_some())
            .map(|member| Member {
                centre: member.centre.clone(),
                incarnation: member.incarnation,
                name: member.name.clone(),
            });
        let ring = self.ring.borrow().with_members(others.chain([own]));
        if self.opened.get().is_none() && configuration.revision() > 0 {
            self.opened.set(Some(self.known.now()));
        }
        let mut holder = self.holder.borrow_mut();
        holder.retain(configuration.retention());
        holder.view(self.known.now(), ring.clone());
        *self.ring.borrow_mut() = ring;
    }

    async fn ask(self: Rc<Self>, member: Member, claim: Claim) -> Option<Reply> {
        if member.name == self.instance.name {
            return Some(self.reply(claim));
        }
        let claim = convert_claims::claim(claim);
        let reply = self
            .clients
            .call(&member.name, CALL_TIMEOUT, async |client, context| {
                client.claim(context, claim).await
            });
        reply.await.map(convert_claims::reply)
    }

    async fn tell(self: Rc<Self>, member: Member, claim: Claim, settled: Settled) {
        if member.name == self.instance.name {
            return self.settled(&claim, settled);
        }
        let claim = convert_claims::claim(claim);
        let end = convert_claims::end(settled);
        for _ in 0..SETTLE_ATTEMPTS {
            let told = self
                .clients
                .call(&member.name, CALL_TIMEOUT, async |client, context| {
                    client.settle(context, claim.clone(), end.clone()).await
                });
            if told.await.is_some() {
                break;
            }
        }
    }

    /// Takes the claims of all other entries over that know all claims on their keys.
    async fn take_over(&self) {
        let others: Vec<Box<str>> = {
            let ring = self.ring.borrow();
            let others = ring.members().map(|member| member.name.clone());
            others.filter(|name| *name != self.instance.name).collect()
        };
        for name in others {
            let records = self
                .clients
                .call(&name, RECORDS_TIMEOUT, async |client, context| {
                    client.claims(context).await
                });
            if let Some(Some(records)) = records.await {
                let records = records.into_iter().map(convert_claims::record).collect();
                let mut holder = self.holder.borrow_mut();
                holder.take(self.known.now(), &name, records);
            }
        }
    }
}
