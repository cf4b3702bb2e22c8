//! An endpoint: answers requests over HTTP/1.1 and packets as GRE in UDP, both on one port.

use std::{
    io::{
        self,
        BufRead,
        BufReader,
        Write, //
    },
    net::{
        Ipv4Addr,
        SocketAddr,
        TcpListener,
        TcpStream,
        UdpSocket, //
    },
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{
            AtomicBool,
            Ordering, //
        },
    },
    thread,
    time::Duration, //
};

use etherparse::{
    SlicedPacket,
    TransportSlice, //
};

use crate::announcer::Announcer;

/// Time between two announcements.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(200);

/// A request that an endpoint has received.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Request {
    /// Its idempotency key, if it had one.
    pub key: Option<Box<str>>,
    /// Its first line.
    pub line: Box<str>,
}

/// What an endpoint has served, in order.
#[derive(Clone, Debug, Default)]
pub struct Served {
    /// Source ports of packets.
    pub packets: Vec<u16>,
    /// Requests.
    pub requests: Vec<Request>,
}

/// A running endpoint; it ends with the process, or when it is dropped.
#[derive(Debug)]
pub struct Endpoint {
    /// Where it is reached, over TCP and UDP.
    pub address: SocketAddr,
    served: Arc<Mutex<Served>>,
    stop: Arc<AtomicBool>,
}

impl Endpoint {
    /// Starts an endpoint that answers each request with its name after `delay`.
    ///
    /// # Errors
    ///
    /// What the system reported when the ports were opened.
    pub fn start(name: &str, delay: Duration) -> io::Result<Self> {
        let (listener, socket) = ports()?;
        let address = listener.local_addr()?;
        let served = Arc::new(Mutex::new(Served::default()));
        let stop = Arc::new(AtomicBool::new(false));
        let endpoint = Self {
            address,
            served: served.clone(),
            stop: stop.clone(),
        };
        socket.set_read_timeout(Some(Duration::from_millis(100)))?;
        let own: Box<str> = name.into();
        let (log, ended) = (served.clone(), stop.clone());
        thread::spawn(move || packets(&own, &socket, &log, &ended));
        let own: Box<str> = name.into();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                if stop.load(Ordering::Relaxed) {
                    return;
                }
                let (own, log) = (own.clone(), served.clone());
                thread::spawn(move || requests(&own, delay, stream, &log));
            }
        });
        Ok(endpoint)
    }

    /// Announces the endpoint to the first instance that takes it, again and again until the
    /// endpoint is dropped.
    pub fn announce(&self, mut announcer: Announcer, instances: Vec<SocketAddr>) {
        let stop = self.stop.clone();
        thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                let _taken = instances
                    .iter()
                    .any(|instance| announcer.announce(*instance).is_ok());
                thread::sleep(ANNOUNCE_INTERVAL);
            }
        });
    }

    /// What it has served so far.
    pub fn served(&self) -> Served {
        guard(&self.served).clone()
    }
}

impl Drop for Endpoint {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        // Wakes the accepting thread, so that it sees the flag.
        let _woken = TcpStream::connect(self.address);
    }
}

/// Opens one port for TCP and UDP alike.
fn ports() -> io::Result<(TcpListener, UdpSocket)> {
    loop {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        if let Ok(socket) = UdpSocket::bind(listener.local_addr()?) {
            return Ok((listener, socket));
        }
    }
}

fn guard(served: &Mutex<Served>) -> MutexGuard<'_, Served> {
    served.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Takes the encapsulation off each packet and answers its source directly with the name.
fn packets(name: &str, socket: &UdpSocket, served: &Mutex<Served>, stop: &AtomicBool) {
    let mut buffer = [0; 2048];
    while !stop.load(Ordering::Relaxed) {
        let Ok((length, _)) = socket.recv_from(&mut buffer) else {
            continue;
        };
        let Some(packet) = buffer.get(4..length) else {
            continue;
        };
        let Ok(sliced) = SlicedPacket::from_ip(packet) else {
            continue;
        };
        let (Some(etherparse::NetSlice::Ipv4(ip)), Some(transport)) =
            (sliced.net, sliced.transport)
        else {
            continue;
        };
        let port = match transport {
            TransportSlice::Tcp(tcp) => tcp.source_port(),
            TransportSlice::Udp(udp) => udp.source_port(),
            _ => continue,
        };
        guard(served).packets.push(port);
        let _sent = socket.send_to(name.as_bytes(), (ip.header().source_addr(), port));
    }
}

fn requests(name: &str, delay: Duration, stream: TcpStream, served: &Mutex<Served>) {
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Ok(Some(request)) = request(&mut reader) {
        guard(served).requests.push(request);
        thread::sleep(delay);
        let length = name.len();
        let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{name}");
        if writer.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

/// Reads one request with its body; none if the caller has closed the connection.
fn request(reader: &mut impl BufRead) -> io::Result<Option<Request>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut request = Request {
        key: None,
        line: first.trim_end().into(),
    };
    let mut length = 0;
    loop {
        let mut text = String::new();
        reader.read_line(&mut text)?;
        match text.trim_end().split_once(':') {
            Some((name, value)) if name.eq_ignore_ascii_case("content-length") => {
                length = value.trim().parse().map_err(io::Error::other)?;
            }
            Some((name, value)) if name.eq_ignore_ascii_case("idempotency-key") => {
                request.key = Some(value.trim().into());
            }
            Some(_) => {}
            None => break,
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(Some(request))
}
