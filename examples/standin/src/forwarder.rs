//! A TCP forwarder that can drop or freeze what passes through it.

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

/// Pause between two looks at the state of the forwarder.
const PAUSE: Duration = Duration::from_millis(10);

/// How long bytes are held back while the passage is delayed.
const DELAY: Duration = Duration::from_millis(60);

/// What the forwarder does with connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub enum Passage {
    /// Carries bytes both ways.
    Open,
    /// Closes all connections, and each new one at once.
    Cut,
    /// Keeps connections open and carries nothing.
    Frozen,
    /// Carries bytes both ways after a while.
    Delayed,
    /// Carries only what the callers send.
    OneWay,
}

/// A direction, as the caller sees it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Way {
    Back,
    There,
}

/// Forwards connections to one address.
#[derive(Debug)]
pub struct Forwarder {
    /// Where connections are taken.
    pub address: SocketAddr,
    passage: Arc<AtomicU8>,
}

impl Forwarder {
    /// Begins to forward to `target`.
    ///
    /// # Errors
    ///
    /// What the system reported.
    pub fn start(target: SocketAddr) -> io::Result<Self> {
        Self::start_at((Ipv4Addr::LOCALHOST, 0).into(), target)
    }

    /// Begins to forward from an address to `target`.
    ///
    /// # Errors
    ///
    /// What the system reported.
    pub fn start_at(address: SocketAddr, target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let passage = Arc::new(AtomicU8::new(Passage::Open as u8));
        let state = passage.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let state = state.clone();
                thread::spawn(move || connection(&stream, target, &state));
            }
        });
        Ok(Self { address, passage })
    }

    /// Sets what is done with connections, the open ones too.
    pub fn set(&self, passage: Passage) {
        self.passage.store(passage as u8, Ordering::SeqCst);
    }
}

fn connection(near: &TcpStream, target: SocketAddr, state: &Arc<AtomicU8>) {
    if !open(state, Way::There) {
        return;
    }
    let Ok(far) = TcpStream::connect(target) else {
        return;
    };
    thread::scope(|scope| {
        scope.spawn(|| carry(near, &far, state, Way::There));
        carry(&far, near, state, Way::Back);
    });
}

/// Carries one direction until either end closes.
fn carry(mut from: &TcpStream, mut to: &TcpStream, state: &Arc<AtomicU8>, way: Way) {
    let mut buffer = vec![0; 64 * 1024];
    // A failure to set it shows as a connection that is not cut.
    let _set = from.set_read_timeout(Some(PAUSE));
    while open(state, way) {
        let length = match from.read(&mut buffer) {
            Ok(0) => break,
            Ok(length) => length,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => continue,
            Err(_) => break,
        };
        let bytes = buffer.get(..length).unwrap_or_default();
        if state.load(Ordering::SeqCst) == Passage::Delayed as u8 {
            thread::sleep(DELAY);
        }
        if !open(state, way) || to.write_all(bytes).is_err() {
            break;
        }
    }
    for stream in [from, to] {
        // It may be closed already.
        let _closed = stream.shutdown(Shutdown::Both);
    }
}

/// Waits while nothing is carried that way; false if cut.
fn open(state: &Arc<AtomicU8>, way: Way) -> bool {
    loop {
        match state.load(Ordering::SeqCst) {
            state if state == Passage::Frozen as u8 => thread::sleep(PAUSE),
            state if state == Passage::OneWay as u8 && way == Way::Back => thread::sleep(PAUSE),
            state => return state != Passage::Cut as u8,
        }
    }
}
