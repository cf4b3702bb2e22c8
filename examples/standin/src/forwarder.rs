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
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
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
    if !open(state) {
        return;
    }
    let Ok(far) = TcpStream::connect(target) else {
        return;
    };
    thread::scope(|scope| {
        scope.spawn(|| carry(near, &far, state));
        carry(&far, near, state);
    });
}

/// Carries one direction until either end closes.
fn carry(mut from: &TcpStream, mut to: &TcpStream, state: &Arc<AtomicU8>) {
    let mut buffer = vec![0; 64 * 1024];
    // A failure to set it shows as a connection that is not cut.
    let _set = from.set_read_timeout(Some(PAUSE));
    while open(state) {
        let length = match from.read(&mut buffer) {
            Ok(0) => break,
            Ok(length) => length,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => continue,
            Err(_) => break,
        };
        let bytes = buffer.get(..length).unwrap_or_default();
        if !open(state) || to.write_all(bytes).is_err() {
            break;
        }
    }
    for stream in [from, to] {
        // It may be closed already.
        let _closed = stream.shutdown(Shutdown::Both);
    }
}

/// Waits while frozen; false if cut.
fn open(state: &Arc<AtomicU8>) -> bool {
    loop {
        match state.load(Ordering::SeqCst) {
            state if state == Passage::Frozen as u8 => thread::sleep(PAUSE),
            state => return state == Passage::Open as u8,
        }
    }
}
