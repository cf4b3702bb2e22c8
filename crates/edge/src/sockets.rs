//! Sockets that are opened in place: the runtime opens its own on a thread pool, whose threads and
//! hand-overs delay the first packets of an entry by many milliseconds.

use std::{
    io,
    net::{
        SocketAddrV4,
        TcpListener as StdTcpListener,
        UdpSocket as StdUdpSocket, //
    },
};

use compio::net::{
    TcpListener,
    TcpSocket,
    TcpStream,
    UdpSocket, //
};
use rustix::net::{
    AddressFamily,
    SocketFlags,
    SocketType,
    socket_with, //
};

/// Listens for connections.
///
/// # Errors
///
/// The error of the system.
pub fn listen(address: SocketAddrV4) -> io::Result<TcpListener> {
    TcpListener::from_std(StdTcpListener::bind(address)?)
}

/// Opens a socket for datagrams.
///
/// # Errors
///
/// The error of the system.
pub fn bind_datagrams(address: SocketAddrV4) -> io::Result<UdpSocket> {
    UdpSocket::from_std(StdUdpSocket::bind(address)?)
}

/// Connects to an address.
///
/// # Errors
///
/// The error of the system.
pub async fn connect(address: SocketAddrV4) -> io::Result<TcpStream> {
    let flags = SocketFlags::CLOEXEC;
    let socket = socket_with(AddressFamily::INET, SocketType::STREAM, flags, None)?;
    let socket = TcpSocket::from_std_stream(socket.into())?;
    socket.connect(address.into()).await
}
