//! A TCP forwarder for fault injection.

use std::{
    io::{
        self,
        Read,
        Write, //
    },
    net::{
        Ipv4Addr,
        Shutdown,
        SocketAddr,
        TcpListener,
        TcpStream, //
    },
    sync::{
        Arc,
        atomic::{
            AtomicU8,
            Ordering, //
        },
    },
    thread,
    time::Duration, //
};

/// Pause between two checks of the forwarder's state.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Delay of each chunk of bytes in the state `Delayed`.
const DELAY: Duration = Duration::from_millis(60);

/// State of a forwarder, which applies to open and new connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub enum LinkState {
    /// Forwards both ways.
    Open,
    /// Closes all connections, and new ones at once.
    Closed,
    /// Keeps connections open and forwards nothing.
    Stalled,
    /// Forwards both ways with a delay.
    Delayed,
    /// Forwards only from clients to the target.
    OneWay,
}

/// Direction of bytes: downstream is towards the client, upstream towards the target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Direction {
    Downstream,
    Upstream,
}

/// Forwards TCP connections to one address.
#[derive(Debug)]
pub struct Forwarder {
    /// Address that it listens on.
    pub address: SocketAddr,
    state: Arc<AtomicU8>,
}

impl Forwarder {
    /// Starts a forwarder to `target` on a free port.
    ///
    /// # Errors
    ///
    /// Returns an I/O error if the port can't be opened.
    pub fn start(target: SocketAddr) -> io::Result<Self> {
        Self::start_at((Ipv4Addr::LOCALHOST, 0).into(), target)
    }

    /// Starts a forwarder to `target` that listens on `address`.
    ///
    /// # Errors
    ///
    /// Returns an I/O error if the port can't be opened.
    pub fn start_at(address: SocketAddr, target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let state = Arc::new(AtomicU8::new(LinkState::Open as u8));
        let shared = state.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let state = shared.clone();
                thread::spawn(move || forward(&stream, target, &state));
            }
        });
        Ok(Self { address, state })
    }

    /// Sets the state, also for open connections.
    pub fn set(&self, state: LinkState) {
        self.state.store(state as u8, Ordering::SeqCst);
    }
}

fn forward(client: &TcpStream, target: SocketAddr, state: &Arc<AtomicU8>) {
    if !await_open(state, Direction::Upstream) {
        return;
    }
    let Ok(upstream) = TcpStream::connect(target) else {
        return;
    };
    thread::scope(|scope| {
        scope.spawn(|| copy(client, &upstream, state, Direction::Upstream));
        copy(&upstream, client, state, Direction::Downstream);
    });
}

/// Copies bytes in one direction until either end closes.
fn copy(mut from: &TcpStream, mut to: &TcpStream, state: &Arc<AtomicU8>, direction: Direction) {
    let mut buffer = vec![0; 64 * 1024];
    // If this fails, a read can block and the connection isn't closed in time.
    let _set = from.set_read_timeout(Some(POLL_INTERVAL));
    while await_open(state, direction) {
        let length = match from.read(&mut buffer) {
            Ok(0) => break,
            Ok(length) => length,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => continue,
            Err(_) => break,
        };
        let bytes = buffer.get(..length).unwrap_or_default();
        if state.load(Ordering::SeqCst) == LinkState::Delayed as u8 {
            thread::sleep(DELAY);
        }
        if !await_open(state, direction) || to.write_all(bytes).is_err() {
            break;
        }
    }
    for stream in [from, to] {
        // It may be closed already.
        let _closed = stream.shutdown(Shutdown::Both);
    }
}

/// Waits while nothing is forwarded in this direction; false if connections are to be closed.
fn await_open(state: &Arc<AtomicU8>, direction: Direction) -> bool {
    loop {
        match state.load(Ordering::SeqCst) {
            state if state == LinkState::Stalled as u8 => thread::sleep(POLL_INTERVAL),
            state if state == LinkState::OneWay as u8 && direction == Direction::Downstream => {
                thread::sleep(POLL_INTERVAL)
            }
            state => return state != LinkState::Closed as u8,
        }
    }
}
