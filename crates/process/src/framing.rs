//! Validation of HTTP/1.1 request framing ahead of the parser.

use crate::head::{
    self,
    BodyLength, //
};

/// Maximum size of a request's headers, in bytes.
pub const MAX_HEADER_BYTES: usize = 64 * 1024;

/// Passed to the parser in place of a request whose framing is rejected: a request without a `Host`
/// header, which is answered with an error and closes the connection.
const REJECTED_REQUEST: &[u8] = b"GET / HTTP/1.1\r\nconnection: close\r\n\r\n";

/// Maximum number of hexadecimal digits in a chunk size.
const MAX_SIZE_DIGITS: usize = 12;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    /// In a body of known length; holds the number of remaining bytes.
    Body(u64),
    /// In a chunk; holds the number of remaining bytes, the trailing CRLF included.
    Chunk(u64),
    /// In a chunk size line.
    ChunkSize,
    /// In the request line or the headers.
    Head,
    /// After a rejected request: further bytes are discarded.
    Rejected,
    /// In the trailers.
    Trailers,
}

/// The framing of a body is invalid.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct InvalidBody;

/// Validates the request framing of one connection.
///
/// It buffers the headers of a request until they are complete. Against request smuggling (RFC
/// 9112, section 11.2) it rejects requests whose length two parsers could read differently: line
/// ends other than CRLF, folded lines and ambiguous body lengths.
#[derive(Clone, Debug)]
pub struct FramingChecker {
    line: Vec<u8>,
    state: State,
}

impl FramingChecker {
    /// Creates the state of a new connection.
    pub const fn new() -> Self {
        Self {
            line: Vec::new(),
            state: State::Head,
        }
    }

    /// Whether a request was rejected, after which nothing more is passed on.
    pub fn rejected(&self) -> bool {
        self.state == State::Rejected
    }

    /// Validates received bytes and appends to `out` those that may be parsed.
    ///
    /// # Errors
    ///
    /// [`InvalidBody`] if the framing of a body is invalid; the connection has to be closed.
    pub fn feed(&mut self, bytes: &[u8], out: &mut Vec<u8>) -> Result<(), InvalidBody> {
        let mut rest = bytes;
        while !rest.is_empty() {
            rest = match self.state {
                State::Body(remaining) => self.body(remaining, rest, out),
                State::Chunk(remaining) => self.chunk(remaining, rest, out)?,
                State::ChunkSize | State::Head | State::Trailers => self.line(rest, out)?,
                State::Rejected => return Ok(()),
            };
        }
        Ok(())
    }

    fn body<'a>(&mut self, remaining: u64, rest: &'a [u8], out: &mut Vec<u8>) -> &'a [u8] {
        let (current, later) = split(rest, remaining);
        out.extend_from_slice(current);
        let remaining = remaining.saturating_sub(byte_count(current));
        self.state = if remaining == 0 {
            State::Head
        } else {
            State::Body(remaining)
        };
        later
    }

    fn chunk<'a>(
        &mut self,
        remaining: u64,
        rest: &'a [u8],
        out: &mut Vec<u8>,
    ) -> Result<&'a [u8], InvalidBody> {
        // The last two bytes are the CRLF after the chunk data.
        let (current, later) = split(rest, remaining.saturating_sub(2).max(1));
        let valid = match remaining {
            2 => current == b"\r",
            1 => current == b"\n",
            _ => true,
        };
        if !valid {
            return Err(InvalidBody);
        }
        out.extend_from_slice(current);
        let remaining = remaining.saturating_sub(byte_count(current));
        self.state = if remaining == 0 {
            State::ChunkSize
        } else {
            State::Chunk(remaining)
        };
        Ok(later)
    }

    /// Buffers bytes up to the end of the line, and processes the line once it is complete.
    fn line<'a>(&mut self, rest: &'a [u8], out: &mut Vec<u8>) -> Result<&'a [u8], InvalidBody> {
        let end = rest.iter().position(|byte| *byte == b'\n');
        let (current, later) = rest.split_at(end.map_or(rest.len(), |end| end + 1));
        self.line.extend_from_slice(current);
        if self.line.len() > MAX_HEADER_BYTES {
            // The parser itself rejects headers of this size.
            out.append(&mut self.line);
            self.state = State::Rejected;
            return Ok(later);
        }
        if end.is_none() {
            return Ok(later);
        }
        match self.state {
            State::ChunkSize => self.chunk_size(out)?,
            State::Trailers => self.trailer(out)?,
            _ => self.head(out),
        }
        Ok(later)
    }

    fn head(&mut self, out: &mut Vec<u8>) {
        if self.line == b"\r\n" || self.line == b"\n" {
            // Empty lines before a request are ignored (RFC 9112, section 2.2).
            self.line.clear();
            return;
        }
        let complete = self.line.ends_with(b"\r\n\r\n");
        // Another parser could take a bare LF for the end of the headers.
        let bare_lf = self.line.ends_with(b"\n\n") || self.line.ends_with(b"\n\r\n") && !complete;
        if !complete && !bare_lf {
            return;
        }
        match head::check(&self.line) {
            Some(body) if complete => {
                out.append(&mut self.line);
                self.state = match body {
                    BodyLength::Chunked => State::ChunkSize,
                    BodyLength::Length(0) => State::Head,
                    BodyLength::Length(length) => State::Body(length),
                };
            }
            Some(_) | None => {
                self.line.clear();
                out.extend_from_slice(REJECTED_REQUEST);
                self.state = State::Rejected;
            }
        }
    }

    fn chunk_size(&mut self, out: &mut Vec<u8>) -> Result<(), InvalidBody> {
        let line = self.line.strip_suffix(b"\r\n").ok_or(InvalidBody)?;
        let digits = line.split(|byte| *byte == b';').next().unwrap_or_default();
        let text = std::str::from_utf8(digits).map_err(|_| InvalidBody)?;
        let hex = text.bytes().all(|byte| byte.is_ascii_hexdigit());
        if !hex || text.is_empty() || text.len() > MAX_SIZE_DIGITS || line.contains(&b'\r') {
            return Err(InvalidBody);
        }
        let size = u64::from_str_radix(text, 16).map_err(|_| InvalidBody)?;
        out.append(&mut self.line);
        self.state = match size {
            0 => State::Trailers,
            size => State::Chunk(size + 2),
        };
        Ok(())
    }

    fn trailer(&mut self, out: &mut Vec<u8>) -> Result<(), InvalidBody> {
        if !self.line.ends_with(b"\r\n") {
            return Err(InvalidBody);
        }
        if self.line == b"\r\n" {
            self.state = State::Head;
        }
        out.append(&mut self.line);
        Ok(())
    }
}

fn byte_count(bytes: &[u8]) -> u64 {
    u64::try_from(bytes.len()).unwrap_or(u64::MAX)
}

fn split(bytes: &[u8], at: u64) -> (&[u8], &[u8]) {
    let at = usize::try_from(at).unwrap_or(usize::MAX);
    bytes.split_at(at.min(bytes.len()))
}
