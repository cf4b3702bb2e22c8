//! Background work of the steering: copies flows to other entries, and hands them over at shutdown.

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
    FlowCopy,
    InstanceId,
    Steer, //
};
use wire::FlowDatagram;

use crate::{
    convert,
    node::Node, //
};

/// Interval between ticks.
const TICK: Duration = Duration::from_millis(100);

/// Time without a tick after which the process counts as paused.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(1);

/// Time for which a stopping entry continues to forward packets after it has handed over its flows.
const LINGER: Duration = Duration::from_secs(1);

/// Time limit for handing over all flows at shutdown.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(20);

/// Maximum number of flows in one datagram.
const MAX_COPIES: usize = 128;

/// Does the background work until a graceful shutdown has handed over the flows.
pub async fn run(node: Rc<Node>, socket: Rc<UdpSocket>) {
    let mut last = node.now();
    while !node.shutdown.begun() {
        tick(&node, &socket, &mut last).await;
        compio::time::sleep(TICK).await;
    }
    hand_over(&node, &socket, &mut last).await;
}

async fn hand_over(node: &Node, socket: &UdpSocket, last: &mut Duration) {
    let start = node.now();
    let flows = node.router.borrow().steering.len();
    node.router.borrow_mut().steering.leave(start);
    while !node.router.borrow().steering.handed_off() && node.now() < start + HANDOVER_TIMEOUT {
        tick(node, socket, last).await;
        compio::time::sleep(TICK).await;
    }
    let complete = node.router.borrow().steering.handed_off();
    log::info!(flows = flows, complete = complete; "flows handed over");
}

/// Continues to forward packets for as long as other entries may still hand some over to this one.
pub async fn linger(node: &Node) {
    if !node.router.borrow().steering.is_empty() {
        compio::time::sleep(LINGER).await;
    }
}

async fn tick(node: &Node, socket: &UdpSocket, last: &mut Duration) {
    let now = node.now();
    let mut copies = Vec::new();
    {
        let mut router = node.router.borrow_mut();
        if now.saturating_sub(*last) > PAUSE_THRESHOLD {
            router.steering.mark_unstable(now);
        }
        *last = now;
        router.refresh();
        router.steering.tick(now, &mut copies);
        node.metrics
            .flows
            .set(i64::try_from(router.steering.len()).unwrap_or(i64::MAX));
    }
    send_copies(node, socket, copies).await;
}

async fn send_copies(node: &Node, socket: &UdpSocket, copies: Vec<(InstanceId, FlowCopy)>) {
    let mut batches: BTreeMap<InstanceId, Vec<FlowCopy>> = BTreeMap::new();
    for (to, copy) in copies {
        batches.entry(to).or_default().push(copy);
    }
    for (to, batch) in batches {
        let Some(address) = node.router.borrow().entry_address(to) else {
            continue;
        };
        for part in batch.chunks(MAX_COPIES) {
            let groups = convert::copies_to_wire(part);
            let Ok(bytes) = FlowDatagram::encode_copies(&groups) else {
                continue;
            };
            let length = u64::try_from(bytes.len()).unwrap_or(u64::MAX);
            node.metrics.flow_bytes.inc_by(length);
            let BufResult(sent, _) = socket.send_to(bytes, address).await;
            if let Err(error) = sent {
                log::debug!("cannot send flow copies to {address}: {error}");
            }
        }
    }
}
