//! Validation of request headers that two parsers could read differently.

/// How the length of a request body is determined.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyLength {
    /// By chunked transfer encoding.
    Chunked,
    /// By `Content-Length`, in bytes; 0 without the header.
    Length(u64),
}

/// Checks a complete request head with the empty line at its end; none if it is rejected.
pub fn check(head: &[u8]) -> Option<BodyLength> {
    let head = std::str::from_utf8(head).ok()?;
    let head = head.strip_suffix("\r\n\r\n")?;
    let mut lines = head.split("\r\n");
    let request_line = lines.next()?;
    let (mut length, mut chunked, mut hosts) = (None, false, 0);
    for line in std::iter::once(request_line).chain(lines.clone()) {
        if line
            .chars()
            .any(|character| character.is_control() && character != '\t')
        {
            return None;
        }
    }
    for line in lines {
        let (name, value) = line.split_once(':')?;
        if name.is_empty() || name.contains([' ', '\t']) {
            return None;
        }
        let value = value.trim_matches([' ', '\t']);
        match name.to_ascii_lowercase().as_str() {
            "content-length" if length.is_some() => return None,
            "content-length" => length = Some(parse_digits(value)?),
            "host" if hosts > 0 => return None,
            "host" => hosts += 1,
            "transfer-encoding" if chunked || !value.eq_ignore_ascii_case("chunked") => {
                return None;
            }
            "transfer-encoding" => chunked = true,
            _ => {}
        }
    }
    match (length, chunked) {
        (None, true) if request_line.ends_with("HTTP/1.1") => Some(BodyLength::Chunked),
        (_, true) => None,
        (length, false) => Some(BodyLength::Length(length.unwrap_or_default())),
    }
}

/// Parses a number that consists of decimal digits only.
fn parse_digits(text: &str) -> Option<u64> {
    let digits = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    digits.then(|| text.parse().ok()).flatten()
}
