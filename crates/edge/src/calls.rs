//! Datagrams by which a store that has started calls the entries that it knew.

use std::{
    cell::RefCell,
    io,
    net::{
        SocketAddr,
        SocketAddrV4, //
    },
    rc::Rc, //
};

use compio::{
    BufResult,
    net::UdpSocket, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    beacons::Beacons,
    entry::Entry,
    sockets::bind_datagrams,
    state::StoreState, //
};

/// Largest datagram, in bytes.
const DATAGRAM_BYTES: usize = 64;

/// A datagram between a store and an entry.
#[derive(Clone, Copy, Debug)]
#[derive(Deserialize, Serialize)]
enum Datagram {
    /// The entry with this internal address follows a store.
    Follows(SocketAddrV4),
    /// The store with this internal address has started.
    Started(SocketAddrV4),
}

/// Calls entries after the start of a store, until each has answered or the time is over.
pub async fn call_entries(state: Rc<StoreState>, mut beacons: Beacons) {
    // Any port: an entry on the same instance receives calls at the internal one.
    let local = SocketAddrV4::new(state.settings.address, 0);
    let socket = match bind_datagrams(local) {
        Ok(socket) => Rc::new(socket),
        Err(error) => {
            log::warn!("cannot call the entries: {error}");
            return;
        }
    };
    let answers = Rc::new(RefCell::new(Vec::new()));
    let receiving = compio::runtime::spawn(receive_answers(socket.clone(), answers.clone()));
    let call = Datagram::Started(state.settings.advertised_address());
    while let Some(next) = beacons.next_at() {
        compio::time::sleep(next.saturating_sub(state.clock.now())).await;
        for entry in answers.borrow_mut().drain(..) {
            beacons.record_answer(entry);
        }
        for entry in beacons.due(state.clock.now()) {
            if let Err(error) = send(&socket, entry, call).await {
                log::debug!(entry = entry.to_string(); "cannot call an entry: {error}");
            }
        }
    }
    drop(receiving);
}

async fn receive_answers(socket: Rc<UdpSocket>, answers: Rc<RefCell<Vec<SocketAddrV4>>>) {
    loop {
        match receive(&socket).await {
            Ok((Some(Datagram::Follows(entry)), _)) => answers.borrow_mut().push(entry),
            Ok((Some(Datagram::Started(_)) | None, _)) => {}
            Err(error) => {
                log::debug!("cannot receive an answer of an entry: {error}");
                return;
            }
        }
    }
}

/// Receives the calls of stores until the process ends. A failure to listen is only logged: the
/// seeds are tried all the while.
pub async fn receive_calls(entry: Rc<Entry>) {
    let address = entry.settings.listen_address();
    let socket = match bind_datagrams(address) {
        Ok(socket) => socket,
        Err(error) => {
            log::warn!("cannot receive calls of stores: {error}");
            return;
        }
    };
    loop {
        let (store, from) = match receive(&socket).await {
            Ok((Some(Datagram::Started(store)), from)) => (store, from),
            Ok((Some(Datagram::Follows(_)) | None, _)) => continue,
            Err(error) => {
                log::debug!("cannot receive a call of a store: {error}");
                continue;
            }
        };
        if entry.view.borrow().followed_stores() == 0 {
            log::debug!(store = store.to_string(); "a store has called");
            entry.called.set(Some(store));
            entry.call.notify(usize::MAX);
            continue;
        }
        let answer = Datagram::Follows(entry.settings.advertised_address());
        if let Err(error) = send(&socket, from, answer).await {
            log::debug!(store = store.to_string(); "cannot answer a store: {error}");
        }
    }
}

async fn send(socket: &UdpSocket, to: impl Into<SocketAddr>, datagram: Datagram) -> io::Result<()> {
    let bytes = postcard::to_stdvec(&datagram).map_err(io::Error::other)?;
    let BufResult(sent, _) = socket.send_to(bytes, to.into()).await;
    sent.map(drop)
}

/// The next datagram, or none if it cannot be decoded, and its sender.
async fn receive(socket: &UdpSocket) -> io::Result<(Option<Datagram>, SocketAddr)> {
    let buffer = Vec::with_capacity(DATAGRAM_BYTES);
    let BufResult(received, bytes) = socket.recv_from(buffer).await;
    let (_, from) = received?;
    Ok((postcard::from_bytes(&bytes).ok(), from))
}
