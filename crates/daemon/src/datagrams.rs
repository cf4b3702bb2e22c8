//! Datagrams between instances: heartbeats and announcements.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    rc::Rc,
    time::Duration, //
};

use compio::{
    BufResult,
    net::UdpSocket, //
};
use wire::{
    Datagram,
    MAX_DATAGRAM_BYTES, //
};

use crate::{
    convert,
    node::Node, //
};

/// Time between two heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(500);

/// Receives datagrams until the process ends.
pub async fn receive(node: Rc<Node>, socket: Rc<UdpSocket>) {
    let mut buffer = Vec::with_capacity(MAX_DATAGRAM_BYTES);
    loop {
        let BufResult(received, filled) = socket.recv_from(buffer).await;
        buffer = filled;
        match received {
            Ok(_) => take(&node, &buffer),
            Err(error) => log::debug!("no datagram received: {error}"),
        }
        buffer.clear();
    }
}

/// Sends heartbeats, and lets what is silent expire, until the process ends.
pub async fn beat(node: Rc<Node>) {
    loop {
        let now = node.now();
        node.directory.borrow_mut().expire(now);
        node.members.borrow_mut().expire(now);
        observe(&node);
        let known = node
            .members
            .borrow()
            .iter()
            .map(convert::heartbeat)
            .collect();
        let from = node.describe();
        tell(&node, &Datagram::Heartbeat { from, known }).await;
        compio::time::sleep(HEARTBEAT).await;
    }
}

/// Sends a datagram to all other instances that are known.
pub async fn tell(node: &Node, datagram: &Datagram) {
    let Ok(bytes) = datagram.encode() else {
        return;
    };
    let Some(socket) = node.socket.get() else {
        return;
    };
    for address in targets(node) {
        let BufResult(sent, _) = socket.send_to(bytes.clone(), address).await;
        if let Err(error) = sent {
            log::debug!("no datagram sent to {address}: {error}");
        }
    }
}

fn targets(node: &Node) -> BTreeSet<SocketAddr> {
    let members = node.members.borrow();
    let mut targets: BTreeSet<_> = members.iter().map(|member| member.inner).collect();
    targets.extend(&node.settings.seeds);
    targets.remove(&node.addresses.inner);
    targets
}

fn take(node: &Node, bytes: &[u8]) {
    let now = node.now();
    match Datagram::decode(bytes) {
        Ok(Datagram::Announcement(announcement)) => {
            let endpoint = convert::endpoint(announcement);
            if let Err(code) = node.directory.borrow_mut().announce(now, endpoint) {
                log::trace!(code = code.number(); "announcement passed over");
            }
        }
        Ok(Datagram::Heartbeat { from, known }) => {
            let mut members = node.members.borrow_mut();
            members.heard(now, convert::instance(from));
            for instance in known {
                members.told(now, convert::instance(instance));
            }
        }
        Err(error) => {
            node.metrics.refuse(error.code());
            log::info!(code = error.code().number(); "{error}");
        }
    }
}

fn observe(node: &Node) {
    let count = |count: usize| i64::try_from(count).unwrap_or(i64::MAX);
    let endpoints = node.directory.borrow().iter().count();
    let instances = node.members.borrow().iter().count();
    node.metrics.endpoints.set(count(endpoints));
    node.metrics.instances.set(count(instances));
}
