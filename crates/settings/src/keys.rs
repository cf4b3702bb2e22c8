//! The key file, which lists the access keys of operators.

use std::path::Path;

use crate::{
    error::Error,
    raw,
    source::Source, //
};

/// Length of a SHA-256 digest, in bytes.
pub const DIGEST_BYTES: usize = 32;

/// The owner of a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum KeyOwner {
    /// An operator who may edit every section.
    Admin(Box<str>),
    /// A team, which may edit its own sections.
    Team(Box<str>),
}

impl KeyOwner {
    /// The owner's name, as shown in the audit trail.
    pub fn name(&self) -> &str {
        match self {
            Self::Admin(name) | Self::Team(name) => name,
        }
    }
}

/// An access key of an operator or a team.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Key {
    /// SHA-256 digest of the key's text.
    pub digest: [u8; DIGEST_BYTES],
    /// The owner of the key.
    pub owner: KeyOwner,
}

/// The access keys that an instance accepts.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Keys {
    /// Keys in file order.
    pub keys: Box<[Key]>,
}

impl Keys {
    /// Reads and validates a key file.
    ///
    /// # Errors
    ///
    /// [`Error`] if the file cannot be read or is not a valid key file.
    pub fn read(path: &Path) -> Result<Self, Error> {
        Self::parse(&Source::read(path)?)
    }

    /// Parses and validates the text of a key file.
    ///
    /// # Errors
    ///
    /// [`Error`] with its position if the text is not a valid key file.
    pub fn parse(source: &Source) -> Result<Self, Error> {
        let raw: raw::Keys = source.parse()?;
        let mut keys = Vec::<Key>::with_capacity(raw.key.len());
        for key in &raw.key {
            let span = key.get_ref().sha256.span();
            let key = key_from_raw(source, key.get_ref())?;
            if keys.iter().any(|other| other.digest == key.digest) {
                return Err(source.repeated(span, "the digest is given twice"));
            }
            keys.push(key);
        }
        Ok(Self { keys: keys.into() })
    }
}

fn key_from_raw(source: &Source, raw: &raw::Key) -> Result<Key, Error> {
    let span = raw.sha256.span();
    let owner = match (&raw.admin, &raw.team) {
        (Some(name), None) if !name.is_empty() => KeyOwner::Admin(name.clone()),
        (None, Some(name)) if !name.is_empty() => KeyOwner::Team(name.clone()),
        (Some(_), None) => return Err(source.invalid(span, "`admin` is empty")),
        (None, Some(_)) => return Err(source.invalid(span, "`team` is empty")),
        (Some(_), Some(_)) | (None, None) => {
            return Err(source.contradiction(span, "a key needs either `admin` or `team`"));
        }
    };
    match parse_digest(raw.sha256.get_ref()) {
        Some(digest) => Ok(Key { digest, owner }),
        None => Err(source.invalid(span, "`sha256` is not 64 hexadecimal digits")),
    }
}

fn parse_digest(text: &str) -> Option<[u8; DIGEST_BYTES]> {
    let mut digest = [0; DIGEST_BYTES];
    if text.len() != 2 * DIGEST_BYTES || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return None;
    }
    for (index, byte) in digest.iter_mut().enumerate() {
        let pair = text.get(2 * index..2 * index + 2)?;
        *byte = u8::from_str_radix(pair, 16).ok()?;
    }
    Some(digest)
}
