//! Packet throughput of a hop.

use std::{
    io,
    net::{
        SocketAddr,
        UdpSocket, //
    },
    time::Instant,
};

/// Sends `count` packets through `hop` to `sink`, with up to `window` in flight, and returns the
/// packets received per second. `send` sends the packet with a given number; lost packets are
/// resent.
///
/// # Errors
///
/// Returns an I/O error if a packet can't be sent.
pub fn throughput(
    hop: SocketAddr,
    sink: &UdpSocket,
    (count, window): (usize, usize),
    mut send: impl FnMut(usize, SocketAddr) -> io::Result<usize>,
) -> io::Result<f64> {
    let mut buffer = [0; 2048];
    let (mut sent, mut received) = (0, 0_u32);
    let start = Instant::now();
    loop {
        let delivered = usize::try_from(received).unwrap_or(usize::MAX);
        if delivered >= count {
            break;
        }
        while sent < count && sent - delivered < window {
            send(sent, hop)?;
            sent += 1;
        }
        match sink.recv_from(&mut buffer) {
            Ok(_) => received += 1,
            Err(_) if sent == count => break,
            Err(_) => sent = delivered,
        }
    }
    Ok(f64::from(received) / start.elapsed().as_secs_f64())
}
