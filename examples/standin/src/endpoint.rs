//! An endpoint that answers HTTP/1.1 requests and GRE-in-UDP packets on one port.

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

/// A request that an endpoint received.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Request {
    /// Idempotency key, if any.
    pub key: Option<Box<str>>,
    /// Request line.
    pub line: Box<str>,
}

/// Packets and requests that an endpoint received, in order.
#[derive(Clone, Debug, Default)]
pub struct Served {
    /// Source ports of the packets.
    pub packets: Vec<u16>,
    /// Received requests.
    pub requests: Vec<Request>,
}

/// A running endpoint, stopped on drop.
#[derive(Debug)]
pub struct Endpoint {
    /// Address that it listens on, over TCP and UDP.
    pub address: SocketAddr,
    served: Arc<Mutex<Served>>,
    stop: Arc<AtomicBool>,
}

impl Endpoint {
    /// Starts an endpoint that answers each request with its name, after `delay`.
    ///
    /// # Errors
    ///
    /// Returns an I/O error if the ports can't be opened.
    pub fn start(name: &str, delay: Duration) -> io::Result<Self> {
        let (listener, socket) = bind()?;
        let address = listener.local_addr()?;
        let served = Arc::new(Mutex::new(Served::default()));
        let stop = Arc::new(AtomicBool::new(false));
        let endpoint = Self {
            address,
            served: served.clone(),
            stop: stop.clone(),
        };
        socket.set_read_timeout(Some(Duration::from_millis(100)))?;
        let body: Box<str> = name.into();
        let (log, stopped) = (served.clone(), stop.clone());
        thread::spawn(move || serve_packets(&body, &socket, &log, &stopped));
        let body: Box<str> = name.into();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                if stop.load(Ordering::Relaxed) {
                    return;
                }
                let (body, log) = (body.clone(), served.clone());
                thread::spawn(move || serve_requests(&body, delay, stream, &log));
            }
        });
        Ok(endpoint)
    }

    /// Announces the endpoint at intervals until it is dropped, each time to the first instance
    /// that accepts the announcement.
    pub fn announce(&self, mut announcer: Announcer, instances: Vec<SocketAddr>) {
        let stop = self.stop.clone();
        thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                let _announced = instances
                    .iter()
                    .any(|instance| announcer.announce(*instance).is_ok());
                thread::sleep(ANNOUNCE_INTERVAL);
            }
        });
    }

    /// Packets and requests received so far.
    pub fn served(&self) -> Served {
        lock(&self.served).clone()
    }
}

impl Drop for Endpoint {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        // Wakes the accepting thread, so that it checks the flag.
        let _woken = TcpStream::connect(self.address);
    }
}

/// Opens the same port for TCP and UDP.
fn bind() -> io::Result<(TcpListener, UdpSocket)> {
    loop {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        if let Ok(socket) = UdpSocket::bind(listener.local_addr()?) {
            return Ok((listener, socket));
        }
    }
}

fn lock(served: &Mutex<Served>) -> MutexGuard<'_, Served> {
    served.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Decapsulates each packet and replies directly to its source address with `body`.
fn serve_packets(body: &str, socket: &UdpSocket, served: &Mutex<Served>, stop: &AtomicBool) {
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
        lock(served).packets.push(port);
        let _sent = socket.send_to(body.as_bytes(), (ip.header().source_addr(), port));
    }
}

fn serve_requests(body: &str, delay: Duration, stream: TcpStream, served: &Mutex<Served>) {
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Ok(Some(request)) = read_request(&mut reader) {
        lock(served).requests.push(request);
        thread::sleep(delay);
        let length = body.len();
        let response = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{body}");
        if writer.write_all(response.as_bytes()).is_err() {
            return;
        }
    }
}

/// Reads one request with its body; `None` if the client has closed the connection.
fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Request>> {
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
