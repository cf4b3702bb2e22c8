//! Checks the headers of a request for what two readers could understand differently.

/// How the length of a request's body is given.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Body {
    /// In chunks.
    Chunked,
    /// As a number of bytes.
    Length(u64),
}

/// Checks headers that are whole, the empty line at their end among them; none if they are refused.
pub fn check(head: &[u8]) -> Option<Body> {
    let head = std::str::from_utf8(head).ok()?;
    let head = head.strip_suffix("\r\n\r\n")?;
    let mut lines = head.split("\r\n");
    let first = lines.next()?;
    let (mut length, mut chunked, mut hosts) = (None, false, 0);
    for line in std::iter::once(first).chain(lines.clone()) {
        if line
            .chars()
            .any(|letter| letter.is_control() && letter != '\t')
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
            "content-length" => length = Some(number(value)?),
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
        (None, true) if first.ends_with("HTTP/1.1") => Some(Body::Chunked),
        (_, true) => None,
        (length, false) => Some(Body::Length(length.unwrap_or_default())),
    }
}

/// A number of decimal digits only.
fn number(text: &str) -> Option<u64> {
    let digits = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    digits.then(|| text.parse().ok()).flatten()
}
