//! Packets sent through a hop as fast as they come out again.

use std::{
    io,
    net::{
        SocketAddr,
        UdpSocket, //
    },
    time::Instant,
};

/// Sends `count` packets through `hop` to `sink`, `window` of them under way at once, and returns how
/// many came out each second. `send` sends the packet of a number; what is lost is sent again.
///
/// # Errors
///
/// What the system reported when a packet was sent.
pub fn pump(
    hop: SocketAddr,
    sink: &UdpSocket,
    (count, window): (usize, usize),
    mut send: impl FnMut(usize, SocketAddr) -> io::Result<usize>,
) -> io::Result<f64> {
    let mut buffer = [0; 2048];
    let (mut sent, mut received) = (0, 0_u32);
    let start = Instant::now();
    loop {
        let came = usize::try_from(received).unwrap_or(usize::MAX);
        if came >= count {
            break;
        }
        while sent < count && sent - came < window {
            send(sent, hop)?;
            sent += 1;
        }
        match sink.recv_from(&mut buffer) {
            Ok(_) => received += 1,
            Err(_) if sent == count => break,
            Err(_) => sent = came,
        }
    }
    Ok(f64::from(received) / start.elapsed().as_secs_f64())
}
