//! Datagrams between instances: membership and announcements.

use std::{
    net::SocketAddr,
    rc::Rc, //
};

use codes::Code;
use compio::{
    BufResult,
    net::UdpSocket, //
};
use directory::{
    EndpointKey,
    Peers,
    Report,
    TICK, //
};
use membership::{
    Action,
    Event,
    Members, //
};
use wire::{
    Announcement,
    Datagram,
    MAX_DATAGRAM_BYTES, //
};

use crate::{
    convert_endpoint,
    convert_member,
    node::Node, //
};

/// Receives datagrams until the process ends.
pub async fn receive(node: Rc<Node>, socket: Rc<UdpSocket>) {
    let mut buffer = Vec::with_capacity(MAX_DATAGRAM_BYTES);
    loop {
        let BufResult(received, filled) = socket.recv_from(buffer).await;
        buffer = filled;
        match received {
            Ok((_, from)) => take(&node, from, &buffer).await,
            Err(error) => log::debug!("no datagram received: {error}"),
        }
        buffer.clear();
    }
}

/// Lets time pass for the members and the directory until the process ends.
pub async fn beat(node: Rc<Node>) {
    loop {
        let now = node.now();
        let actions = node.known.members.borrow_mut().handle(now, Event::Tick);
        act(&node, &actions).await;
        node.known.directory.borrow_mut().tick(now);
        follow_members(&node);
        flush(&node).await;
        observe(&node);
        compio::time::sleep(TICK).await;
    }
}

/// Tells the other instances of a planned stop.
pub async fn leave(node: &Node) {
    let actions = node
        .known
        .members
        .borrow_mut()
        .handle(node.now(), Event::Leave);
    act(node, &actions).await;
}

/// Takes in an announcement from the endpoint itself, and passes it on.
///
/// # Errors
///
/// Those of [`Directory::announce`](directory::Directory::announce).
pub async fn announce(node: &Node, announcement: Announcement) -> Result<EndpointKey, Code> {
    let report = Report::new(convert_endpoint::endpoint(announcement));
    let taken = node.relay.borrow_mut().announce(
        node.now(),
        &mut node.known.directory.borrow_mut(),
        report,
    );
    flush(node).await;
    taken
}

async fn take(node: &Node, from: SocketAddr, bytes: &[u8]) {
    let now = node.now();
    match Datagram::decode(bytes) {
        Ok(Datagram::Batch(batch)) => {
            let batch = convert_endpoint::batch(batch);
            node.relay.borrow_mut().receive(
                now,
                &mut node.known.directory.borrow_mut(),
                from,
                batch,
            );
            flush(node).await;
        }
        Ok(Datagram::Member(message)) => {
            let message = Box::new(convert_member::message(message));
            let event = Event::Received { from, message };
            let actions = node.known.members.borrow_mut().handle(now, event);
            act(node, &actions).await;
        }
        Err(error) => {
            node.metrics.refuse(error.code());
            log::info!(code = error.code().number(); "{error}");
        }
    }
}

async fn act(node: &Node, actions: &[Action]) {
    for action in actions {
        let message = convert_member::sent_message(&action.message);
        send(node, action.to, &Datagram::Member(message)).await;
    }
}

async fn flush(node: &Node) {
    let batches = node
        .relay
        .borrow_mut()
        .flush(node.now(), &node.known.directory.borrow());
    for (to, batch) in batches {
        let batch = convert_endpoint::sent_batch(&batch);
        send(node, to, &Datagram::Batch(batch)).await;
    }
}

async fn send(node: &Node, to: SocketAddr, datagram: &Datagram) {
    let Ok(bytes) = datagram.encode() else {
        return;
    };
    let Some(socket) = node.socket.get() else {
        return;
    };
    node.metrics.sent(bytes.len());
    let BufResult(sent, _) = socket.send_to(bytes, to).await;
    if let Err(error) = sent {
        log::debug!("no datagram sent to {to}: {error}");
    }
}

/// Passes announcements on to the members that are present now.
fn follow_members(node: &Node) {
    let peers = peers(&node.known.members.borrow());
    node.relay.borrow_mut().set_peers(node.now(), peers);
}

fn peers(members: &Members) -> Peers {
    Peers {
        contacts: members
            .contacts()
            .into_values()
            .map(|contacts| contacts.iter().map(|contact| contact.inner).collect())
            .collect(),
        entries: members.entries().map(|entry| entry.inner).collect(),
    }
}

fn observe(node: &Node) {
    let count = |count: usize| i64::try_from(count).unwrap_or(i64::MAX);
    let endpoints = node.known.directory.borrow().iter().count();
    let instances = node.known.members.borrow().iter().count();
    node.metrics.endpoints.set(count(endpoints));
    node.metrics.instances.set(count(instances));
}
