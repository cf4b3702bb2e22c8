//! A blocking HTTP/1.1 client, small enough to see every byte that is sent.

use std::{
    io::{
        self,
        BufRead,
        BufReader,
        Write, //
    },
    net::{
        SocketAddr,
        TcpStream, //
    },
    time::Duration, //
};

/// Time after which a silent peer is given up.
const TIMEOUT: Duration = Duration::from_secs(10);

/// An HTTP answer.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Answer {
    /// Its body.
    pub body: Vec<u8>,
    /// Its headers, names in lower case.
    pub headers: Vec<(Box<str>, Box<str>)>,
    /// Its status code.
    pub status: u16,
}

impl Answer {
    /// The value of a header, by its name in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(key, _)| &**key == name)
            .map(|(_, value)| &**value)
    }

    /// The body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Reads one answer from a connection.
    ///
    /// # Errors
    ///
    /// What the system reported, or `UnexpectedEof` for an answer that is not whole.
    pub fn read(reader: &mut impl BufRead) -> io::Result<Self> {
        let mut answer = Self {
            status: status(&line(reader)?)?,
            ..Self::default()
        };
        loop {
            let text = line(reader)?;
            match text.split_once(':') {
                Some((name, value)) => {
                    let name = name.to_ascii_lowercase().into();
                    answer.headers.push((name, value.trim().into()));
                }
                None => break,
            }
        }
        answer.body = match answer.header("content-length") {
            Some(length) => {
                let length = length.parse().map_err(io::Error::other)?;
                let mut body = vec![0; length];
                reader.read_exact(&mut body)?;
                body
            }
            None if answer.header("transfer-encoding").is_some() => chunks(reader)?,
            None => Vec::new(),
        };
        Ok(answer)
    }
}

/// Sends one request on a connection of its own and reads the answer.
///
/// # Errors
///
/// What the system reported, or `UnexpectedEof` for an answer that is not whole.
pub fn call(
    address: SocketAddr,
    head: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<Answer> {
    call_within(TIMEOUT, address, head, headers, body)
}

/// Sends one request as [`call`] does, and gives up a peer that is silent for a time.
///
/// # Errors
///
/// As for [`call`]; `WouldBlock` or `TimedOut` for a silent peer.
pub fn call_within(
    timeout: Duration,
    address: SocketAddr,
    head: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<Answer> {
    let mut stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_read_timeout(Some(timeout))?;
    let mut text = format!("{head} HTTP/1.1\r\nconnection: close\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    if !headers.iter().any(|(name, _)| *name == "host") {
        text += &format!("host: {address}\r\n");
    }
    text += &format!("content-length: {}\r\n\r\n", body.len());
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    Answer::read(&mut BufReader::new(stream))
}

fn chunks(reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let text = line(reader)?;
        let size = usize::from_str_radix(text.trim(), 16).map_err(io::Error::other)?;
        let mut chunk = vec![0; size];
        reader.read_exact(&mut chunk)?;
        body.extend_from_slice(&chunk);
        line(reader)?;
        if size == 0 {
            return Ok(body);
        }
    }
}

fn line(reader: &mut impl BufRead) -> io::Result<String> {
    let mut text = String::new();
    if reader.read_line(&mut text)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(text.trim_end().to_owned())
}

fn status(line: &str) -> io::Result<u16> {
    line.split(' ')
        .nth(1)
        .and_then(|word| word.parse().ok())
        .ok_or_else(|| io::Error::other(format!("no status line: {line}")))
}
