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
    ClaimEnd,
    ClaimId,
    Holder,
    KeyHash,
    Member,
    Record,
    Reply,
    Ring,
    Tally,
    Verdict, //
};
use futures::{
    StreamExt,
    stream::FuturesUnordered, //
};
use prometheus_client::metrics::gauge::Gauge;
use settings::Settings;

use crate::{
    convert_claims,
    local_view::LocalView,
    pending::{
        Pending,
        PendingCount, //
    },
    rpc_clients::RpcClients, //
};

/// Time limit for a holder to reply.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Time limit for a holder to send all its claims, which take more than one packet.
const RECORDS_TIMEOUT: Duration = Duration::from_secs(2);

/// Attempts to report the outcome of a request to a holder.
const SETTLE_ATTEMPTS: u32 = 4;

/// Time after the first document during which no key is claimed, so that the other entries become
/// known first.
const CLAIM_DELAY: Duration = Duration::from_millis(1_500);

/// Interval at which the membership is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// This entry's own claims, and the claims that it holds for other entries.
#[derive(Debug)]
pub struct Claims {
    clients: RpcClients,
    holder: RefCell<Holder>,
    instance: settings::Instance,
    view: Rc<LocalView>,
    first_document: Cell<Option<Duration>>,
    ring: RefCell<Ring>,
    seeds: Box<[SocketAddr]>,
    serial: Cell<u64>,
    /// Gauge that is 1 while all claims on this entry's keys are known, and 0 otherwise.
    known_gauge: Gauge,
    unreported: Rc<PendingCount>,
}

impl Claims {
    /// Creates the state of a new entry, which may have missed earlier claims.
    pub fn new(view: Rc<LocalView>, settings: &Settings, known_gauge: Gauge) -> Self {
        let retention = Duration::from_millis(settings::DEFAULT_KEEP_MS);
        let holder = Holder::new(Duration::ZERO, &settings.instance.name, retention);
        Self {
            clients: RpcClients::new(view.clone()),
            holder: RefCell::new(holder),
            instance: settings.instance.clone(),
            view,
            first_document: Cell::new(None),
            ring: RefCell::new(Ring::new()),
            seeds: settings.seeds.clone(),
            serial: Cell::new(0),
            known_gauge,
            unreported: Rc::default(),
        }
    }

    /// Counts a request as pending until its outcome is reported to the holders of its key.
    pub fn pending(&self) -> Pending {
        Pending::new(self.unreported.clone())
    }

    /// Waits for a limited time until the outcomes of all requests are reported.
    pub async fn wait_reported(&self) {
        self.unreported.wait_reported().await;
    }

    /// Creates a new claim of this entry.
    pub fn new_claim(&self, key: KeyHash, fingerprint: u64) -> Claim {
        let serial = self.serial.get() + 1;
        self.serial.set(serial);
        Claim {
            fingerprint,
            id: ClaimId {
                claimant: self.instance.name.clone(),
                incarnation: self.view.incarnation(),
                serial,
            },
            key,
        }
    }

    /// Tracks the membership and imports claims from other holders until the process ends;
    /// `unused_known` says whether a store has already answered
    /// [`query_unused`](Self::query_unused).
    pub async fn maintain(self: Rc<Self>, mut unused_known: bool) {
        loop {
            self.refresh();
            if !unused_known {
                unused_known = self.query_unused().await;
            }
            let import_due = self.holder.borrow().needs_transfer(self.view.now());
            if import_due {
                self.import_claims().await;
            }
            let complete = self.holder.borrow().is_complete(self.view.now());
            self.known_gauge.set(i64::from(complete));
            compio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Requests a claim from the holders of its key.
    pub async fn claim(self: &Rc<Self>, claim: &Claim) -> Verdict {
        self.refresh();
        let first_document = self.first_document.get();
        if first_document.is_none_or(|since| self.view.now() < since + CLAIM_DELAY) {
            return Verdict::Unknown;
        }
        let (holders, quorum) = {
            let ring = self.ring.borrow();
            let holders: Vec<_> = ring.holders(&claim.key).into_iter().cloned().collect();
            (holders, ring.quorum())
        };
        let mut tally = Tally::new(holders.len(), quorum);
        let mut replies: FuturesUnordered<_> = holders
            .into_iter()
            .map(|member| self.clone().send_claim(member, claim.clone()))
            .collect();
        while let Some(reply) = replies.next().await {
            if let Some(verdict) = tally.reply(reply) {
                // The other calls continue, so that as many holders as possible record the claim.
                compio::runtime::spawn(async move { while replies.next().await.is_some() {} })
                    .detach();
                return verdict;
            }
        }
        tally.final_verdict()
    }

    /// Reports the outcome of a request to the holders of its key.
    pub fn settle(self: &Rc<Self>, claim: &Claim, end: &ClaimEnd) {
        let ring = self.ring.borrow();
        for member in ring.holders(&claim.key) {
            let pending = self.pending();
            let task = self
                .clone()
                .send_outcome(member.clone(), claim.clone(), end.clone());
            compio::runtime::spawn(async move {
                task.await;
                drop(pending);
            })
            .detach();
        }
    }

    /// Replies to a claim as one of its holders.
    pub fn handle_claim(&self, claim: Claim) -> Reply {
        self.refresh();
        self.holder.borrow_mut().claim(self.view.now(), claim)
    }

    /// Records the outcome of a claim's request, as one of its holders.
    pub fn record_settled(&self, claim: &Claim, end: ClaimEnd) {
        let mut holder = self.holder.borrow_mut();
        holder.settle(&claim.key, &claim.id, end);
    }

    /// Returns all claims for a new holder; none while this entry may have missed some.
    pub fn records(&self) -> Option<Vec<Record>> {
        self.refresh();
        self.holder.borrow().export(self.view.now())
    }

    /// Whether the process that made a claim is still a member.
    pub fn claimant_present(&self, id: &ClaimId) -> bool {
        let ring = self.ring.borrow();
        ring.member(&id.claimant)
            .is_some_and(|member| member.incarnation == id.incarnation)
    }

    /// Queries the stores for whether any document was ever in force; returns whether one of them
    /// gave a definite answer.
    ///
    /// If there was none, no request can have run, so this entry has missed no claim.
    pub async fn query_unused(&self) -> bool {
        let stores: BTreeSet<SocketAddr> = {
            let members = self.view.members.borrow();
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
                    self.holder.borrow_mut().mark_complete();
                }
                return true;
            }
        }
        false
    }

    fn refresh(&self) {
        let configuration = self.view.configuration.borrow();
        let members = self.view.members.borrow();
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
        if self.first_document.get().is_none() && configuration.revision() > 0 {
            self.first_document.set(Some(self.view.now()));
        }
        let mut holder = self.holder.borrow_mut();
        holder.set_retention(configuration.retention());
        holder.set_ring(self.view.now(), ring.clone());
        *self.ring.borrow_mut() = ring;
    }

    async fn send_claim(self: Rc<Self>, member: Member, claim: Claim) -> Option<Reply> {
        if member.name == self.instance.name {
            return Some(self.handle_claim(claim));
        }
        let claim = convert_claims::claim_to_wire(claim);
        let reply = self
            .clients
            .call(&member.name, CALL_TIMEOUT, async |client, context| {
                client.claim(context, claim).await
            });
        reply.await.map(convert_claims::reply_from_wire)
    }

    async fn send_outcome(self: Rc<Self>, member: Member, claim: Claim, end: ClaimEnd) {
        if member.name == self.instance.name {
            return self.record_settled(&claim, end);
        }
        let claim = convert_claims::claim_to_wire(claim);
        let end = convert_claims::claim_end_to_wire(end);
        for _ in 0..SETTLE_ATTEMPTS {
            let reply = self
                .clients
                .call(&member.name, CALL_TIMEOUT, async |client, context| {
                    client.settle(context, claim.clone(), end.clone()).await
                });
            if reply.await.is_some() {
                break;
            }
        }
    }

    /// Imports the claims of all other entries that know all claims on their keys.
    async fn import_claims(&self) {
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
                let records = records
                    .into_iter()
                    .map(convert_claims::record_from_wire)
                    .collect();
                let mut holder = self.holder.borrow_mut();
                holder.import(self.view.now(), &name, records);
            }
        }
    }
}
