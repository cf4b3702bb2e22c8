//! Checks the framing of requests before they are parsed.

use crate::head::{
    self,
    Body, //
};

/// Largest size of a request's headers, in bytes.
pub const HEADER_BYTES: usize = 64 * 1024;

/// What is delivered in place of a request whose framing is refused: one without a host, after
/// which the connection is closed.
const REFUSED: &[u8] = b"GET / HTTP/1.1\r\nconnection: close\r\n\r\n";

/// Digits of a chunk's size that are taken at most.
const SIZE_DIGITS: usize = 12;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    /// Between the bytes of a body of known length, with the bytes that are left.
    Body(u64),
    /// In a chunk, with the bytes that are left and the line end behind it.
    Chunk(u64),
    /// In the line with the size of a chunk.
    ChunkSize,
    /// In the headers.
    Head,
    /// After a refused request: nothing more is delivered.
    Refused,
    /// In the trailers.
    Trailers,
}

/// The body's framing is not valid.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Broken;

/// Follows the bytes of one connection from request to request.
///
/// It holds the headers of a request back until they are whole, and refuses what two readers could
/// understand as requests of different lengths (RFC 9112, section 11.2): line ends other than CRLF,
/// folded lines, and any doubt about the length of the body.
#[derive(Clone, Debug)]
pub struct Framing {
    line: Vec<u8>,
    state: State,
}

impl Framing {
    /// Creates the state of a new connection.
    pub const fn new() -> Self {
        Self {
            line: Vec::new(),
            state: State::Head,
        }
    }

    /// Whether a request was refused, after which nothing more is delivered.
    pub fn refused(&self) -> bool {
        self.state == State::Refused
    }

    /// Takes in received bytes and adds to `out` what may be parsed.
    ///
    /// # Errors
    ///
    /// [`Broken`] if the framing of a body is not valid; the connection has to be closed.
    pub fn feed(&mut self, bytes: &[u8], out: &mut Vec<u8>) -> Result<(), Broken> {
        let mut rest = bytes;
        while !rest.is_empty() {
            rest = match self.state {
                State::Body(left) => self.body(left, rest, out),
                State::Chunk(left) => self.chunk(left, rest, out)?,
                State::ChunkSize | State::Head | State::Trailers => self.lines(rest, out)?,
                State::Refused => return Ok(()),
            };
        }
        Ok(())
    }

    fn body<'a>(&mut self, left: u64, rest: &'a [u8], out: &mut Vec<u8>) -> &'a [u8] {
        let (now, later) = split(rest, left);
        out.extend_from_slice(now);
        let left = left.saturating_sub(length(now));
        self.state = if left == 0 {
            State::Head
        } else {
            State::Body(left)
        };
        later
    }

    fn chunk<'a>(
        &mut self,
        left: u64,
        rest: &'a [u8],
        out: &mut Vec<u8>,
    ) -> Result<&'a [u8], Broken> {
        // The last two bytes are the line end behind the chunk.
        let (now, later) = split(rest, left.saturating_sub(2).max(1));
        let valid = match left {
            2 => now == b"\r",
            1 => now == b"\n",
            _ => true,
        };
        if !valid {
            return Err(Broken);
        }
        out.extend_from_slice(now);
        let left = left.saturating_sub(length(now));
        self.state = if left == 0 {
            State::ChunkSize
        } else {
            State::Chunk(left)
        };
        Ok(later)
    }

    /// Collects one line, and acts on it when it is whole.
    fn lines<'a>(&mut self, rest: &'a [u8], out: &mut Vec<u8>) -> Result<&'a [u8], Broken> {
        let end = rest.iter().position(|byte| *byte == b'\n');
        let (now, later) = rest.split_at(end.map_or(rest.len(), |end| end + 1));
        self.line.extend_from_slice(now);
        if self.line.len() > HEADER_BYTES {
            // The parser refuses headers of this size by itself.
            out.append(&mut self.line);
            self.state = State::Refused;
            return Ok(later);
        }
        if end.is_none() {
            return Ok(later);
        }
        match self.state {
            State::ChunkSize => self.size(out)?,
            State::Trailers => self.trailer(out)?,
            _ => self.head(out),
        }
        Ok(later)
    }

    fn head(&mut self, out: &mut Vec<u8>) {
        if self.line == b"\r\n" || self.line == b"\n" {
            // Empty lines before a request are passed over (RFC 9112, section 2.2).
            self.line.clear();
            return;
        }
        let whole = self.line.ends_with(b"\r\n\r\n");
        // A line end of another kind could end the headers for another reader.
        let bare = self.line.ends_with(b"\n\n") || self.line.ends_with(b"\n\r\n") && !whole;
        if !whole && !bare {
            return;
        }
        match head::check(&self.line) {
            Some(body) if whole => {
                out.append(&mut self.line);
                self.state = match body {
                    Body::Chunked => State::ChunkSize,
                    Body::Length(0) => State::Head,
                    Body::Length(length) => State::Body(length),
                };
            }
            Some(_) | None => {
                self.line.clear();
                out.extend_from_slice(REFUSED);
                self.state = State::Refused;
            }
        }
    }

    fn size(&mut self, out: &mut Vec<u8>) -> Result<(), Broken> {
        let line = self.line.strip_suffix(b"\r\n").ok_or(Broken)?;
        let digits = line.split(|byte| *byte == b';').next().unwrap_or_default();
        let text = std::str::from_utf8(digits).map_err(|_| Broken)?;
        let hex = text.bytes().all(|byte| byte.is_ascii_hexdigit());
        if !hex || text.is_empty() || text.len() > SIZE_DIGITS || line.contains(&b'\r') {
            return Err(Broken);
        }
        let size = u64::from_str_radix(text, 16).map_err(|_| Broken)?;
        out.append(&mut self.line);
        self.state = match size {
            0 => State::Trailers,
            size => State::Chunk(size + 2),
        };
        Ok(())
    }

    fn trailer(&mut self, out: &mut Vec<u8>) -> Result<(), Broken> {
        if !self.line.ends_with(b"\r\n") {
            return Err(Broken);
        }
        if self.line == b"\r\n" {
            self.state = State::Head;
        }
        out.append(&mut self.line);
        Ok(())
    }
}

fn length(bytes: &[u8]) -> u64 {
    u64::try_from(bytes.len()).unwrap_or(u64::MAX)
}

fn split(bytes: &[u8], at: u64) -> (&[u8], &[u8]) {
    let at = usize::try_from(at).unwrap_or(usize::MAX);
    bytes.split_at(at.min(bytes.len()))
}
