//! Claims on idempotency keys among the entries.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::{
        BTreeMap,
        BTreeSet, //
    },
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
    Reply,
    Ring,
    Settled,
    Verdict,
    Vote, //
};
use event_listener::Event;
use futures::{
    StreamExt,
    stream::FuturesUnordered, //
};
use tarpc::context;
use wire::Client;

use crate::{
    convert_claims,
    node::Node,
    pending::Pending, //
};

/// Time after which a holder that does not reply is given up.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Attempts to tell a holder how a request ended.
const SETTLE_ATTEMPTS: u32 = 4;

/// Time after the first document in which the other entries become known; keys are not claimed
/// earlier.
const START: Duration = Duration::from_millis(1_500);

/// Time between two looks at the membership.
const PAUSE: Duration = Duration::from_millis(250);

/// Time for which a stop waits until the holders are told how the last requests ended.
const STOP_PATIENCE: Duration = Duration::from_secs(30);

/// This entry's part in the claims.
#[derive(Debug)]
pub struct Claims {
    clients: RefCell<BTreeMap<SocketAddr, Client>>,
    holder: RefCell<Holder>,
    opened: Cell<Option<Duration>>,
    ring: RefCell<Ring>,
    serial: Cell<u64>,
    told: Event,
    untold: Cell<usize>,
}

impl Claims {
    /// Creates the part of the entry `own`, which may have missed earlier claims.
    pub fn new(own: &str) -> Self {
        let retention = Duration::from_millis(settings::KEEP_MS);
        Self {
            clients: RefCell::new(BTreeMap::new()),
            holder: RefCell::new(Holder::new(Duration::ZERO, own, retention)),
            opened: Cell::new(None),
            ring: RefCell::new(Ring::new()),
            serial: Cell::new(0),
            told: Event::new(),
            untold: Cell::new(0),
        }
    }

    /// Takes note of something that the holders are not told yet.
    pub fn begun(&self) {
        self.untold.set(self.untold.get() + 1);
    }

    /// Takes note that the holders are told.
    pub fn ended(&self) {
        self.untold.set(self.untold.get().saturating_sub(1));
        self.told.notify(usize::MAX);
    }

    /// Waits for a while until the holders are told how all requests ended.
    pub async fn idle(&self) {
        let wait = async {
            while self.untold.get() > 0 {
                let listener = self.told.listen();
                if self.untold.get() > 0 {
                    listener.await;
                }
            }
        };
        let _late = compio::time::timeout(STOP_PATIENCE, wait).await;
    }
}

/// A new claim of this entry.
pub fn new(node: &Node, key: KeyHash, print: u64) -> Claim {
    let serial = node.claims.serial.get() + 1;
    node.claims.serial.set(serial);
    Claim {
        id: ClaimId {
            claimant: node.settings.instance.name.clone(),
            incarnation: node.members.borrow().own().incarnation,
            serial,
        },
        key,
        print,
    }
}

/// Follows the membership and takes claims over from other holders until the process ends;
/// `asked` says whether the stores have told already if any document was ever in force.
pub async fn maintain(node: Rc<Node>, mut asked: bool) {
    loop {
        refresh(&node);
        if !asked {
            asked = ask_unused(&node).await;
        }
        let wants = node.claims.holder.borrow().wants(node.now());
        if wants {
            take_over(&node).await;
        }
        let settled = node.claims.holder.borrow().settled(node.now());
        node.metrics.claims.set(i64::from(settled));
        compio::time::sleep(PAUSE).await;
    }
}

/// Asks the holders of a key for it.
pub async fn claim(node: &Rc<Node>, claim: &Claim) -> Verdict {
    refresh(node);
    let opened = node.claims.opened.get();
    if opened.is_none_or(|opened| node.now() < opened + START) {
        return Verdict::Unknown;
    }
    let (holders, quorum) = {
        let ring = node.claims.ring.borrow();
        let holders: Vec<_> = ring.holders(&claim.key).into_iter().cloned().collect();
        (holders, ring.quorum())
    };
    let mut vote = Vote::new(holders.len(), quorum);
    let mut replies: FuturesUnordered<_> = holders
        .into_iter()
        .map(|member| ask(node.clone(), member, claim.clone()))
        .collect();
    while let Some(reply) = replies.next().await {
        if let Some(verdict) = vote.reply(reply) {
            // The others are still asked, so that as many holders as possible know the claim.
            compio::runtime::spawn(async move { while replies.next().await.is_some() {} }).detach();
            return verdict;
        }
    }
    vote.last()
}

/// Tells the holders of a key how its request ended.
pub fn settle(node: &Rc<Node>, claim: &Claim, settled: Settled) {
    let ring = node.claims.ring.borrow();
    for member in ring.holders(&claim.key) {
        let (pending, claim) = (Pending::new(node.clone()), claim.clone());
        let task = tell(node.clone(), member.clone(), claim, settled.clone());
        compio::runtime::spawn(async move {
            task.await;
            drop(pending);
        })
        .detach();
    }
}

/// Replies to a claim as one of its holders.
pub fn reply(node: &Node, claim: Claim) -> Reply {
    refresh(node);
    node.claims.holder.borrow_mut().claim(node.now(), claim)
}

/// Takes in how the request of a claim ended, as one of its holders.
pub fn settled(node: &Node, claim: &Claim, settled: Settled) {
    let mut holder = node.claims.holder.borrow_mut();
    holder.settle(&claim.key, &claim.id, settled);
}

/// All claims, for a new holder.
pub fn records(node: &Node) -> Option<Vec<dispatch::Record>> {
    refresh(node);
    node.claims.holder.borrow().records(node.now())
}

/// Whether the process that made a claim is still known.
pub fn present(node: &Node, id: &ClaimId) -> bool {
    let ring = node.claims.ring.borrow();
    ring.member(&id.claimant)
        .is_some_and(|member| member.incarnation == id.incarnation)
}

fn refresh(node: &Node) {
    let members = node.members.borrow();
    let own = Member {
        centre: node.settings.instance.centre.clone(),
        incarnation: node.members.borrow().own().incarnation,
        name: node.settings.instance.name.clone(),
    };
    let others = members
        .iter()
        .filter(|member| member.requests.is_some())
        .map(|member| Member {
            centre: member.centre.clone(),
            incarnation: member.incarnation,
            name: member.name.clone(),
        });
    let ring = node.claims.ring.borrow().with_members(others.chain([own]));
    if node.claims.opened.get().is_none() && node.configuration.borrow().revision() > 0 {
        node.claims.opened.set(Some(node.now()));
    }
    let mut holder = node.claims.holder.borrow_mut();
    holder.retain(node.configuration.borrow().retention());
    holder.view(node.now(), ring.clone());
    *node.claims.ring.borrow_mut() = ring;
}

async fn ask(node: Rc<Node>, member: Member, claim: Claim) -> Option<Reply> {
    if member.name == node.settings.instance.name {
        return Some(reply(&node, claim));
    }
    let client = client(&node, &member.name).await?;
    let call = client.claim(context::current(), convert_claims::claim(claim));
    match compio::time::timeout(CALL_TIMEOUT, call).await {
        Ok(Ok(reply)) => Some(convert_claims::reply(reply)),
        Ok(Err(_)) | Err(_) => {
            forget(&node, &member.name);
            None
        }
    }
}

async fn tell(node: Rc<Node>, member: Member, claim: Claim, end: Settled) {
    if member.name == node.settings.instance.name {
        settled(&node, &claim, end);
    } else {
        for _ in 0..SETTLE_ATTEMPTS {
            let Some(client) = client(&node, &member.name).await else {
                continue;
            };
            let end = convert_claims::end(end.clone());
            let call = client.settle(
                context::current(),
                convert_claims::claim(claim.clone()),
                end,
            );
            match compio::time::timeout(CALL_TIMEOUT, call).await {
                Ok(Ok(_)) => break,
                Ok(Err(_)) | Err(_) => forget(&node, &member.name),
            }
        }
    }
}

/// Takes the claims of all other entries over that know all claims on their keys.
async fn take_over(node: &Rc<Node>) {
    let others: Vec<Box<str>> = {
        let ring = node.claims.ring.borrow();
        let others = ring.members().map(|member| member.name.clone());
        others
            .filter(|name| *name != node.settings.instance.name)
            .collect()
    };
    for name in others {
        let Some(client) = client(node, &name).await else {
            continue;
        };
        let call = client.claims(context::current());
        match compio::time::timeout(CALL_TIMEOUT * 4, call).await {
            Ok(Ok(Some(records))) => {
                let records = records.into_iter().map(convert_claims::record).collect();
                let mut holder = node.claims.holder.borrow_mut();
                holder.take(node.now(), &name, records);
            }
            Ok(Ok(None)) => {}
            Ok(Err(_)) | Err(_) => forget(node, &name),
        }
    }
}

/// Asks the stores whether any document was ever in force; returns whether one of them knew.
///
/// If there was none, no request can have run, and this entry has missed no claim.
pub async fn ask_unused(node: &Rc<Node>) -> bool {
    let stores: BTreeSet<SocketAddr> = {
        let members = node.members.borrow();
        let stores = members.iter().filter(|member| member.store);
        let stores = stores.map(|member| member.inner);
        stores.chain(node.settings.seeds.iter().copied()).collect()
    };
    for address in stores {
        let Some(client) = connect(node, address).await else {
            continue;
        };
        let call = client.unused(context::current());
        match compio::time::timeout(CALL_TIMEOUT, call).await {
            Ok(Ok(Some(unused))) => {
                if unused {
                    node.claims.holder.borrow_mut().first();
                }
                return true;
            }
            Ok(Ok(None)) => {}
            Ok(Err(_)) | Err(_) => {
                node.claims.clients.borrow_mut().remove(&address);
            }
        }
    }
    false
}

fn address(node: &Node, name: &str) -> Option<SocketAddr> {
    let members = node.members.borrow();
    let member = members.iter().find(|member| &*member.name == name)?;
    Some(member.inner)
}

async fn client(node: &Node, name: &str) -> Option<Client> {
    let address = address(node, name)?;
    connect(node, address).await
}

async fn connect(node: &Node, address: SocketAddr) -> Option<Client> {
    let known = node.claims.clients.borrow().get(&address).cloned();
    if known.is_some() {
        return known;
    }
    match compio::time::timeout(CALL_TIMEOUT, wire::connect(address)).await {
        Ok(Ok(client)) => {
            let mut clients = node.claims.clients.borrow_mut();
            clients.insert(address, client.clone());
            Some(client)
        }
        Ok(Err(_)) | Err(_) => None,
    }
}

fn forget(node: &Node, name: &str) {
    if let Some(address) = address(node, name) {
        node.claims.clients.borrow_mut().remove(&address);
    }
}
