//! A minimal blocking HTTP/1.1 client, so that tests control every byte that is sent.

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

/// Timeout to connect and for each read.
const TIMEOUT: Duration = Duration::from_secs(10);

/// An HTTP response.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Response {
    /// Body.
    pub body: Vec<u8>,
    /// Headers, with names in lower case.
    pub headers: Vec<(Box<str>, Box<str>)>,
    /// Status code.
    pub status: u16,
}

impl Response {
    /// Value of a header, by name in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(key, _)| &**key == name)
            .map(|(_, value)| &**value)
    }

    /// Body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Reads one response from a connection.
    ///
    /// # Errors
    ///
    /// Returns an I/O error; `UnexpectedEof` for a truncated response.
    pub fn read(reader: &mut impl BufRead) -> io::Result<Self> {
        let mut response = Self {
            status: parse_status(&read_line(reader)?)?,
            ..Self::default()
        };
        loop {
            let text = read_line(reader)?;
            match text.split_once(':') {
                Some((name, value)) => {
                    let name = name.to_ascii_lowercase().into();
                    response.headers.push((name, value.trim().into()));
                }
                None => break,
            }
        }
        response.body = match response.header("content-length") {
            Some(length) => {
                let length = length.parse().map_err(io::Error::other)?;
                let mut body = vec![0; length];
                reader.read_exact(&mut body)?;
                body
            }
            None if response.header("transfer-encoding").is_some() => read_chunks(reader)?,
            None => Vec::new(),
        };
        Ok(response)
    }
}

/// Sends one request on a new connection and reads the response.
///
/// # Errors
///
/// Returns an I/O error; `UnexpectedEof` for a truncated response.
pub fn call(
    address: SocketAddr,
    head: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<Response> {
    call_with_timeout(TIMEOUT, address, head, headers, body)
}

/// Sends one request like [`call`], with a given timeout to connect and for each read.
///
/// # Errors
///
/// As for [`call`]; `WouldBlock` or `TimedOut` after the timeout.
pub fn call_with_timeout(
    timeout: Duration,
    address: SocketAddr,
    head: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<Response> {
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
    Response::read(&mut BufReader::new(stream))
}

fn read_chunks(reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let text = read_line(reader)?;
        let size = usize::from_str_radix(text.trim(), 16).map_err(io::Error::other)?;
        let mut chunk = vec![0; size];
        reader.read_exact(&mut chunk)?;
        body.extend_from_slice(&chunk);
        read_line(reader)?;
        if size == 0 {
            return Ok(body);
        }
    }
}

fn read_line(reader: &mut impl BufRead) -> io::Result<String> {
    let mut text = String::new();
    if reader.read_line(&mut text)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(text.trim_end().to_owned())
}

fn parse_status(line: &str) -> io::Result<u16> {
    line.split(' ')
        .nth(1)
        .and_then(|code| code.parse().ok())
        .ok_or_else(|| io::Error::other(format!("no status line: {line}")))
}
