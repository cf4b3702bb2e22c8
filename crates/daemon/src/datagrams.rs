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
            Ok((_, from)) => handle_datagram(&node, from, &buffer).await,
            Err(error) => log::debug!("cannot receive a datagram: {error}"),
        }
        buffer.clear();
    }
}

/// Ticks the membership and the directory until the process ends.
pub async fn run_ticks(node: Rc<Node>) {
    loop {
        let now = node.now();
        let actions = node.view.members.borrow_mut().handle(now, Event::Tick);
        send_actions(&node, &actions).await;
        node.view.directory.borrow_mut().tick(now);
        update_peers(&node);
        flush_relay(&node).await;
        update_gauges(&node);
        compio::time::sleep(TICK).await;
    }
}

/// Announces the graceful shutdown to the other instances.
pub async fn leave(node: &Node) {
    let actions = node
        .view
        .members
        .borrow_mut()
        .handle(node.now(), Event::Leave);
    send_actions(node, &actions).await;
}

/// Accepts an announcement from the endpoint itself, and relays it.
///
/// # Errors
///
/// Those of [`Directory::announce`](directory::Directory::announce).
pub async fn announce(node: &Node, announcement: Announcement) -> Result<EndpointKey, Code> {
    let report = Report::new(convert_endpoint::endpoint_from_wire(announcement));
    let accepted =
        node.relay
            .borrow_mut()
            .announce(node.now(), &mut node.view.directory.borrow_mut(), report);
    flush_relay(node).await;
    accepted
}

async fn handle_datagram(node: &Node, from: SocketAddr, bytes: &[u8]) {
    let now = node.now();
    match Datagram::decode(bytes) {
        Ok(Datagram::Batch(batch)) => {
            let batch = convert_endpoint::batch_from_wire(batch);
            node.relay.borrow_mut().receive(
                now,
                &mut node.view.directory.borrow_mut(),
                from,
                batch,
            );
            flush_relay(node).await;
        }
        Ok(Datagram::Member(message)) => {
            let message = Box::new(convert_member::message_from_wire(message));
            let event = Event::Received { from, message };
            let actions = node.view.members.borrow_mut().handle(now, event);
            send_actions(node, &actions).await;
        }
        Err(error) => {
            node.metrics.count_refusal(error.code());
            log::info!(code = error.code().number(); "{error}");
        }
    }
}

async fn send_actions(node: &Node, actions: &[Action]) {
    for action in actions {
        let message = convert_member::message_to_wire(&action.message);
        send(node, action.to, &Datagram::Member(message)).await;
    }
}

async fn flush_relay(node: &Node) {
    let batches = node
        .relay
        .borrow_mut()
        .flush(node.now(), &node.view.directory.borrow());
    for (to, batch) in batches {
        let batch = convert_endpoint::batch_to_wire(&batch);
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
    node.metrics.count_datagram(bytes.len());
    let BufResult(sent, _) = socket.send_to(bytes, to).await;
    if let Err(error) = sent {
        log::debug!("cannot send a datagram to {to}: {error}");
    }
}

/// Sets the peers of the relay to those in the current membership.
fn update_peers(node: &Node) {
    let peers = peers(&node.view.members.borrow());
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

fn update_gauges(node: &Node) {
    let count = |count: usize| i64::try_from(count).unwrap_or(i64::MAX);
    let endpoints = node.view.directory.borrow().iter().count();
    let instances = node.view.members.borrow().iter().count();
    node.metrics.endpoints.set(count(endpoints));
    node.metrics.instances.set(count(instances));
}
