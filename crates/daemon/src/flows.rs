//! The background work of steering: copies of flows to other entries, and the planned stop.

use std::{
    collections::BTreeMap,
    rc::Rc,
    time::Duration, //
};

use compio::{
    BufResult,
    net::UdpSocket, //
};
use steering::{
    Copied,
    InstanceId,
    Steer, //
};
use wire::FlowDatagram;

use crate::{
    convert,
    node::Node, //
};

/// Time between two runs.
const TICK: Duration = Duration::from_millis(100);

/// Time without a run after which the process counts as paused.
const PAUSE: Duration = Duration::from_secs(1);

/// Time for which a stopping entry goes on forwarding after it has given its flows away.
const LINGER: Duration = Duration::from_secs(1);

/// Longest time for giving flows away.
const LEAVE: Duration = Duration::from_secs(20);

/// Flows in one datagram at most.
const COPIES: usize = 128;

/// Does the background work until a planned stop has given all flows away.
pub async fn tend(node: Rc<Node>, socket: Rc<UdpSocket>) {
    let mut last = node.now();
    while !node.stop.begun() {
        run(&node, &socket, &mut last).await;
        compio::time::sleep(TICK).await;
    }
    leave(&node, &socket, &mut last).await;
}

async fn leave(node: &Node, socket: &UdpSocket, last: &mut Duration) {
    let begin = node.now();
    let flows = node.router.borrow().machine.len();
    node.router.borrow_mut().machine.leave(begin);
    while !node.router.borrow().machine.left() && node.now() < begin + LEAVE {
        run(node, socket, last).await;
        compio::time::sleep(TICK).await;
    }
    let complete = node.router.borrow().machine.left();
    log::info!(flows = flows, complete = complete; "flows handed over");
}

/// Goes on forwarding for as long as other entries may still hand packets to this one.
pub async fn linger(node: &Node) {
    if !node.router.borrow().machine.is_empty() {
        compio::time::sleep(LINGER).await;
    }
}

async fn run(node: &Node, socket: &UdpSocket, last: &mut Duration) {
    let now = node.now();
    let mut copies = Vec::new();
    {
        let mut router = node.router.borrow_mut();
        if now.saturating_sub(*last) > PAUSE {
            router.machine.unsettle(now);
        }
        *last = now;
        router.refresh();
        router.machine.tick(now, &mut copies);
        node.metrics
            .flows
            .set(i64::try_from(router.machine.len()).unwrap_or(i64::MAX));
    }
    send(node, socket, copies).await;
}

async fn send(node: &Node, socket: &UdpSocket, copies: Vec<(InstanceId, Copied)>) {
    let mut batches: BTreeMap<InstanceId, Vec<Copied>> = BTreeMap::new();
    for (to, copy) in copies {
        batches.entry(to).or_default().push(copy);
    }
    for (to, batch) in batches {
        let Some(face) = node.router.borrow().face(to) else {
            continue;
        };
        for part in batch.chunks(COPIES) {
            let groups = convert::copied_flows(part);
            let Ok(bytes) = FlowDatagram::encode_copies(&groups) else {
                continue;
            };
            let length = u64::try_from(bytes.len()).unwrap_or(u64::MAX);
            node.metrics.flow_bytes.inc_by(length);
            let BufResult(sent, _) = socket.send_to(bytes, face).await;
            if let Err(error) = sent {
                log::debug!("no flows copied to {face}: {error}");
            }
        }
    }
}
