//! Internal connections that a store accepts from entries and other stores.

use std::{
    io,
    net::{
        SocketAddr,
        SocketAddrV4, //
    },
    pin::pin,
    rc::Rc,
    time::Duration, //
};

use announcements::Digest;
use compio::{
    net::{
        TcpListener,
        TcpStream, //
    },
    runtime::spawn,
};
use futures::future::{
    Either,
    select, //
};
use store::{
    Event,
    Member,
    Message, //
};

use crate::{
    centre_entries::CentreEntries,
    feed::Feed,
    follower::Follower,
    frames::{
        Receiver,
        Sender,
        split_frames, //
    },
    links,
    load_sums::SourceKey,
    message::{
        EarlierGossip,
        EndpointLoad,
        FollowerReport,
        Gossip,
        GossipAck,
        Hello,
        Protocol,
        Push, //
    },
    state::StoreState,
};

/// Pause after a failure to accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts connections of entries and other stores until the process ends.
pub async fn accept(state: Rc<StoreState>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                spawn(serve_connection(state.clone(), stream, peer)).detach();
            }
            Err(error) => {
                log::warn!("cannot accept a connection: {error}");
                compio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_connection(state: Rc<StoreState>, stream: TcpStream, peer: SocketAddr) {
    let (sender, mut receiver) = split_frames::<GossipAck, (Hello, Protocol)>(stream);
    let result = match receiver.next_or_earlier::<Hello>().await {
        Ok((hello, protocol)) => serve(&state, hello, protocol, sender, receiver).await,
        Err(error) => Err(error),
    };
    if let Err(error) = result {
        log::debug!("connection from {peer} closed: {error}");
    }
}

async fn serve(
    state: &Rc<StoreState>,
    hello: Hello,
    protocol: Protocol,
    sender: Sender<GossipAck>,
    receiver: Receiver<(Hello, Protocol)>,
) -> io::Result<()> {
    match hello {
        Hello::Entry { name, version } => {
            log::info!(entry = &*name; "an entry of an earlier version follows; it gets no loads");
            serve_earlier_entry(state, version, sender.retype(), receiver.retype()).await
        }
        Hello::Follower {
            address,
            centre,
            digest,
            name,
            version,
        } => {
            let key = state.loads.borrow_mut().add_follower(&name);
            let now = state.clock.now();
            let located = CentreEntries {
                centre: centre.clone(),
                entries: vec![address],
            };
            state.entries.borrow_mut().add_follower(now, address);
            state.entries.borrow_mut().locate([located]);
            let follower = Follower::new(centre, Some(key))
                .with_known(Digest::from_buckets(digest), &state.registry.borrow());
            let (sender, receiver) = (sender.retype(), receiver.retype());
            let result = serve_follower(state, &follower, version, sender, receiver).await;
            state.loads.borrow_mut().remove_follower(&name, key);
            let now = state.clock.now();
            state.performance.borrow_mut().remove(now, key.source());
            state.entries.borrow_mut().remove_follower(now, address);
            result
        }
        Hello::Store { centre, member } => {
            let key = state.loads.borrow_mut().add_store();
            let source = GossipSource {
                centre,
                key,
                member,
                protocol,
            };
            let result = receive_gossip(state, source, sender, receiver.retype()).await;
            state.loads.borrow_mut().remove_store(key);
            let now = state.clock.now();
            state.performance.borrow_mut().remove(now, key);
            result
        }
    }
}

async fn serve_follower(
    state: &StoreState,
    follower: &Follower,
    version: u64,
    sender: Sender<Push>,
    receiver: Receiver<FollowerReport>,
) -> io::Result<()> {
    let sending = pin!(push(state, follower, version, sender));
    let receiving = pin!(receive_reports(state, follower, receiver));
    match select(sending, receiving).await {
        Either::Left((result, _)) | Either::Right((result, _)) => result,
    }
}

/// Serves an entry of an earlier version, which may be upgraded after the stores.
async fn serve_earlier_entry(
    state: &StoreState,
    version: u64,
    sender: Sender<Push>,
    mut receiver: Receiver<(Vec<EndpointLoad>, bool)>,
) -> io::Result<()> {
    let follower = Follower::new(Box::default(), None);
    let sending = pin!(push(state, &follower, version, sender));
    let receiving = pin!(async {
        loop {
            receiver.next().await?;
        }
    });
    match select(sending, receiving).await {
        Either::Left((result, _)) | Either::Right((result, _)) => result,
    }
}

/// Sends an entry all changes since its last push, and keepalives.
async fn push(
    state: &StoreState,
    follower: &Follower,
    version: u64,
    mut sender: Sender<Push>,
) -> io::Result<()> {
    let mut feed = Feed::new(follower, version);
    loop {
        let listener = state.changed.listen();
        let now = state.clock.now();
        if let Some(push) = feed.next(state, now) {
            send_push(state, &mut sender, &push).await?;
            if push.more {
                continue;
            }
        }
        let remaining = feed.next_keepalive().saturating_sub(state.clock.now());
        if compio::time::timeout(remaining, listener).await.is_ok() {
            let followers = state.loads.borrow().followers();
            compio::time::sleep(follower.batch_time(followers)).await;
        }
    }
}

async fn send_push(state: &StoreState, sender: &mut Sender<Push>, push: &Push) -> io::Result<()> {
    let bytes = sender.send(push).await?;
    let metrics = &state.metrics;
    metrics.count_sent("documents", push.document.iter().count());
    metrics.count_sent("loads", push.loads.len());
    metrics.count_sent("performance", push.performance.len());
    metrics.count_sent("records", push.records.len());
    metrics.count_sent("states", push.states.len());
    metrics.count_sent_bytes("entries", bytes);
    Ok(())
}

/// Receives the reports of an entry.
async fn receive_reports(
    state: &StoreState,
    follower: &Follower,
    mut receiver: Receiver<FollowerReport>,
) -> io::Result<()> {
    loop {
        let report = receiver.next().await?;
        if let Some(tracked) = report.tracked {
            follower.track(tracked);
        }
        if let Some(key) = follower.key() {
            state.loads.borrow_mut().report(key, report.loads);
            let now = state.clock.now();
            let mut performance = state.performance.borrow_mut();
            performance.report(now, key.source(), &report.performance);
        }
    }
}

/// A store that sends gossip over a connection.
struct GossipSource {
    centre: Box<str>,
    key: SourceKey,
    member: Member,
    protocol: Protocol,
}

/// Receives gossip from another store and acknowledges it.
async fn receive_gossip(
    state: &Rc<StoreState>,
    source: GossipSource,
    mut sender: Sender<GossipAck>,
    mut receiver: Receiver<Gossip>,
) -> io::Result<()> {
    let (member, key) = (&source.member, source.key);
    let SocketAddr::V4(address) = member.address else {
        return Err(io::ErrorKind::InvalidData.into());
    };
    links::connect_stores(state, [address]);
    let located = Event::Locate(member.name.clone(), source.centre.clone());
    state.replica.borrow_mut().push(located);
    let (centre, protocol) = (source.centre, source.protocol);
    state
        .peers
        .borrow_mut()
        .record_accepted(address, centre, protocol);
    loop {
        let mut gossip = receiver.next_or_earlier::<EarlierGossip>().await?;
        let upto = gossip.upto;
        if let Some(changes) = gossip.loads.take() {
            state.loads.borrow_mut().merge(key, changes);
        }
        let now = state.clock.now();
        let reports = &gossip.performance;
        state.performance.borrow_mut().merge(now, key, reports);
        apply_gossip(state, member, address, gossip);
        sender.send(&GossipAck { upto }).await?;
    }
}

fn apply_gossip(state: &Rc<StoreState>, member: &Member, address: SocketAddrV4, gossip: Gossip) {
    let now = state.clock.now();
    links::connect_stores(state, gossip.stores);
    if let Some(peer) = state.peers.borrow_mut().get_mut(address) {
        peer.seen = now;
    }
    let before = state.registry.borrow().last_change();
    state.merge(gossip.records);
    if let Some(entries) = gossip.entries {
        state.entries.borrow_mut().record(now, entries);
    }
    if let Some(located) = gossip.located {
        state.entries.borrow_mut().locate(located);
    }
    for renewal in gossip.renewals {
        state.registry.borrow_mut().renew(now, renewal);
    }
    let changed = !state
        .registry
        .borrow()
        .changed_since(now, before)
        .is_empty();
    let mut replica = state.replica.borrow_mut();
    for bytes in gossip.log {
        match Message::decode(&bytes) {
            Some(message) => replica.receive(member.address, message),
            None => {
                log::warn!(store = member.name.to_string(); "cannot decode a message of the replicated log")
            }
        }
    }
    if let Some(member) = gossip.join {
        replica.push(Event::Join(member));
    }
    drop(replica);
    if changed {
        state.notify();
    }
}
